// The convoy in virtual time: many members in one process, and a network that loses, cuts and delays.
#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <criterion/criterion.h>

#include <cstdio>

#include "cluster/membership/network.h"
#include "cluster/membership/packet.h"
#include "cluster/membership/versions.capnp.h"

using namespace shaletray;
using namespace shaletray::membership;
using namespace std::chrono_literals;

namespace {

bool all_joined(Network& net) {
    return std::all_of(net.processes.begin(), net.processes.end(), [](const auto& process) {
        return process.second.member == nullptr || process.second.member->joined();
    });
}

// Eleven pilots and three lighthouses that know each other, and some calm.
void start_stable_cluster(Network& net) {
    net.start_all(3, 11, 300ms);
    net.run_for(3s);
    cr_assert(net.all_agree() && all_joined(net));
}

std::vector<std::string> seed_addresses() {
    return {Network::controller_address(0), Network::controller_address(1), Network::controller_address(2)};
}

// Who came to hold whom for Suspected or Gone, for all the time that this stands.
struct StateObserver {
    explicit StateObserver(Network& net) {
        net.on_actions = [this, &net](const std::string& observer, const Actions& actions) {
            if (net.processes[observer].member == nullptr) return;
            for (const std::string& address : actions.changed_members) {
                const State state = net[observer].members().at(address).state;
                if (state == State::Suspect) suspected.insert({observer, address});
                if (state == State::Dead) dead.insert({observer, address});
            }
        };
    }
    std::set<std::pair<std::string, std::string>> suspected, dead;    // who, whom
};

}    // namespace

Test(convoy, started_together_all_know_all_within_a_moment) {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        Network net(seed);
        net.loss = seed % 2 == 0 ? 0.02 : 0.0;
        net.start_all(3, 11, 300ms);
        net.run_for(300ms);
        cr_assert(net.run_until(1s, [&] { return all_joined(net); }), "seed %lu", seed);
        cr_assert(net.run_until(1500ms, [&] { return net.all_agree(); }), "seed %lu", seed);
    }
}

// A clock set back gives the later life the lower number, until it hears of the earlier one.
Test(convoy, a_later_life_takes_over_its_address_whatever_its_clock_says) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Network net(seed);
        start_stable_cluster(net);
        const std::string subject =
            seed % 2 == 0 ? Network::gateway_address(4) : Network::controller_address(1);
        const std::uint64_t previous_incarnation = net[subject].self().incarnation;
        net.stop_process(subject);
        net.run_for(seed % 3 == 0 ? 4s : 300ms);
        net.start_process(subject, seed_addresses(), previous_incarnation - 5'000'000);
        net[subject].set_quota_divisor(7);
        cr_assert(net.run_until(1s, [&] { return net[subject].joined() && net.all_agree(); }), "seed %lu",
                  seed);
        cr_assert_gt(net[subject].self().incarnation, previous_incarnation);
        net.run_for(5s);
        cr_assert(net.all_agree(), "seed %lu", seed);
    }
}

Test(convoy, counts_of_all_reach_all_within_a_second) {
    Network net(5);
    start_stable_cluster(net);
    net.loss = 0.03;
    for (std::uint32_t divisor = 1; divisor <= 30; ++divisor) {
        for (int i = 0; i < 11; ++i) {
            net[Network::gateway_address(i)].set_quota_divisor(divisor);
            net.reschedule_tick(Network::gateway_address(i));
        }
        cr_assert(net.run_until(1s, [&] { return net.all_agree(); }), "counts %u", divisor);
    }
}

Test(convoy, losses_of_a_few_percent_make_nobody_suspected) {
    for (const int gateway_count : {11, 87}) {
        Network net(static_cast<std::uint64_t>(gateway_count));
        net.loss = 0.03;
        net.start_all(3, gateway_count, 500ms);
        net.run_for(3s);
        StateObserver observer(net);
        double min_heard_fraction = 1.0;
        for (int i = 0; i < (gateway_count < 20 ? 180 : 60); ++i) {
            net.run_for(1s);
            min_heard_fraction =
                std::min(min_heard_fraction, net[Network::gateway_address(3)].heard_fraction(net.now, 3s));
        }
        cr_expect(observer.suspected.empty(), "%zu with %d pilots", observer.suspected.size(), gateway_count);
        cr_expect(observer.dead.empty());
        cr_expect_gt(min_heard_fraction, 0.98);
        cr_expect(net.all_agree());
    }
}

Test(convoy, who_is_cut_off_is_suspected_then_forgotten_and_returns) {
    for (std::uint64_t seed = 1; seed <= 24; ++seed) {
        Network net(seed);
        start_stable_cluster(net);
        const std::string subject =
            seed % 2 == 0 ? Network::gateway_address(7) : Network::controller_address(2);
        const bool inbound_cut = seed % 3 != 1, outbound_cut = seed % 3 != 2;    // what is cut
        net.is_cut = [&](const std::string& from, const std::string& to) {
            return (inbound_cut && to == subject) || (outbound_cut && from == subject);
        };
        const bool long_cut = seed % 4 < 2;
        net.run_for(3500ms);
        // Who is heard runs, whether it hears or not.
        cr_expect_eq(net.count_seen_as(subject, State::Suspect), outbound_cut ? 13 : 0, "seed %lu", seed);
        if (inbound_cut) cr_expect_lt(net[subject].heard_fraction(net.now, 2s), 0.1);
        if (!inbound_cut) cr_expect_eq(net[subject].heard_fraction(net.now, 2s), 1.0);
        cr_expect_eq(net[subject].acknowledged_fraction(net.now, 2s), 0.0);
        cr_expect_gt(net[Network::gateway_address(1)].heard_fraction(net.now, 1500ms), 0.85);
        net.run_for(long_cut ? 25s : 2s);
        cr_expect_eq(net.count_seen_as(subject, State::Dead), long_cut && outbound_cut ? 13 : 0, "seed %lu",
                     seed);
        if (outbound_cut && long_cut)
            cr_expect_not(net[Network::gateway_address(1)].members().at(subject).departed);
        net.is_cut = nullptr;
        cr_assert(net.run_until(2500ms, [&] { return net.all_agree(); }), "seed %lu", seed);
        net.run_for(1500ms);
        cr_expect_eq(net[subject].heard_fraction(net.now, 1500ms), 1.0);
        cr_expect_eq(net[subject].acknowledged_fraction(net.now, 1s), 1.0);
    }
}

// Who is unheard for so long that all take it for Gone may run all the same: newcomers are told of it, as of
// nobody that said goodbye, and it makes no difference between what they know.
Test(convoy, a_joiner_is_told_of_those_that_are_unheard) {
    Network net(5);
    start_stable_cluster(net);
    const std::string unheard = Network::gateway_address(3);
    net.is_cut = [&](const std::string& from, const std::string& to) {
        return from == unheard || to == unheard;
    };
    net.depart(Network::gateway_address(4));
    net.run_for(25s);
    const std::string late_joiner = Network::gateway_address(40);
    net.start_process(late_joiner, seed_addresses(), 1);
    net.run_for(2s);
    const auto& known = net[late_joiner].members();
    cr_assert(known.contains(unheard) && known.at(unheard).state == State::Dead);
    cr_assert(!known.at(unheard).departed && known.at(unheard).last_heard == TimePoint{});
    cr_assert_not(known.contains(Network::gateway_address(4)));
    cr_assert_gt((known.at(Network::controller_address(1)).last_in_sync - net.now) / 1ms, -4000);
    net.is_cut = nullptr;
    cr_assert(net.run_until(4s, [&] { return net.all_agree(); }));
}

// Each member's proof that it hears this process is renewed all the while, and ends with the way to it alone.
Test(convoy, each_shows_that_it_hears_this_process) {
    for (const int gateway_count : {2, 11, 18}) {
        Network net(static_cast<std::uint64_t>(gateway_count));
        net.start_all(3, gateway_count, 300ms);
        net.run_for(8s);
        net.loss = 0.02;
        const auto acknowledgement_age = [&](const std::string& address, const std::string& peer) {
            const Member& member = net[address].members().at(peer);
            cr_assert(net[address].contacts_every_member() && member.last_acknowledged <= net.now);
            return net.now - member.last_acknowledged;
        };
        for (int check = 0; check < 200; ++check) {
            net.run_for(100ms);
            for (const auto& [address, process] : net.processes)
                for (const auto& [peer, m] : net[address].members())
                    cr_assert_leq(acknowledgement_age(address, peer) / 1ms, 4000, "%d pilots", gateway_count);
        }
        const std::string deaf = Network::gateway_address(0), hearing = Network::gateway_address(1);
        net.is_cut = [&](const std::string&, const std::string& to) { return to == deaf; };
        const TimePoint since = net.now;
        net.run_for(15s);
        cr_assert_leq((net[hearing].members().at(deaf).last_acknowledged - since) / 1ms, 1000,
                      "it cannot have heard it");
        cr_assert_gt((net[hearing].members().at(deaf).last_heard - since) / 1ms, 12'000);
        cr_assert_gt((net[deaf].members().at(hearing).last_acknowledged - since) / 1ms, -4000);
        cr_assert_leq((net[deaf].members().at(hearing).last_heard - since) / 1ms, 1000);
    }
}

// In a large convoy suspicions are spread by word; not the suspicions of one that hears nobody.
Test(convoy, who_is_alone_keeps_its_suspicions_to_itself) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        Network net(seed);
        net.start_all(3, 150, 500ms);
        net.run_for(6s);
        cr_assert(net.all_agree());
        StateObserver observer(net);
        const std::string subject = Network::gateway_address(5);
        net.is_cut = [&](const std::string& from, const std::string& to) {
            return from == subject || to == subject;
        };
        net.run_for(seed % 2 == 0 ? 3s : 8s);
        cr_expect_eq(net.count_seen_as(subject, State::Suspect), 152);
        cr_expect_lt(net[subject].heard_fraction(net.now, 2s), 0.2);
        net.is_cut = nullptr;
        cr_assert(net.run_until(1500ms, [&] { return net.all_agree(); }), "seed %lu", seed);
        for (const auto& [observer_address, suspect] : observer.suspected)
            cr_expect(observer_address == subject || suspect == subject);
    }
}

// Two that do not hear each other, or one that does not hear the other, know by the rest that both run.
Test(convoy, a_cut_between_two_makes_nobody_suspected) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Network net(seed);
        start_stable_cluster(net);
        StateObserver observer(net);
        const std::string first = Network::gateway_address(1), second = Network::gateway_address(2);
        net.is_cut = [&, both = seed % 2 == 0](const std::string& from, const std::string& to) {
            return (from == first && to == second) || (both && from == second && to == first);
        };
        net.run_for(40s);
        cr_expect(observer.suspected.empty() && observer.dead.empty(), "seed %lu", seed);
        cr_expect_eq(net[first].heard_fraction(net.now, 2s), 1.0);
    }
}

Test(convoy, two_halves_change_apart_and_agree_again) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Network net(seed);
        start_stable_cluster(net);
        const auto side = [](const std::string& address) {
            return address < Network::gateway_address(5);    // two or three lighthouses and as many pilots
        };
        net.is_cut = [&](const std::string& from, const std::string& to) { return side(from) != side(to); };
        net.run_for(4s);
        net[Network::gateway_address(0)].set_quota_divisor(5);
        net[Network::gateway_address(9)].set_quota_divisor(6);
        net.stop_process(Network::gateway_address(10));
        net.run_for(1s);
        net.start_process(Network::gateway_address(10), seed_addresses(), 1);
        net.depart(Network::gateway_address(8));
        net.run_for(3s);
        cr_expect_lt(net[Network::gateway_address(0)].heard_fraction(net.now, 2s), 0.7);
        if (seed % 2 == 0) net.run_for(30s);
        net.is_cut = nullptr;
        cr_assert(net.run_until(3s, [&] { return net.all_agree() && all_joined(net); }), "seed %lu", seed);
    }
}

// What it finds when it wakes is old; it suspicions nobody for it, and neither do others by its word.
Test(convoy, who_was_frozen_hears_others_before_it_suspects_them) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Network net(seed);
        start_stable_cluster(net);
        const std::string subject = Network::gateway_address(3);
        // Cut off first, so that it suspicions all when it freezes.
        const bool cut_before_freeze = seed % 2 == 0;
        if (cut_before_freeze) {
            net.is_cut = [&](const std::string& from, const std::string& to) {
                return from == subject || to == subject;
            };
            net.run_for(4s);
            net.is_cut = nullptr;
        }
        net.freeze_process(subject, seed % 3 == 0 ? 30s : 5s);
        net.run_for(4900ms);
        cr_expect_eq(net.count_seen_as(subject, State::Alive), 0);
        if (seed % 3 == 0) net.run_for(25s);
        StateObserver observer(net);
        cr_assert(net.run_until(2500ms, [&] { return net.all_agree(); }), "seed %lu", seed);
        net.run_for(5s);
        for (const auto& [observer_address, suspect] : observer.suspected)
            cr_expect(suspect == subject || (cut_before_freeze && observer_address == subject),
                      "seed %lu: %s suspected %s", seed, observer_address.c_str(), suspect.c_str());
        cr_expect(net.all_agree());
    }
}

Test(convoy, a_goodbye_is_known_at_once_and_is_final) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Network net(seed);
        start_stable_cluster(net);
        net.loss = 0.03;
        const std::string subject = Network::gateway_address(6);
        const std::uint64_t incarnation = net[subject].self().incarnation;
        net.depart(subject);
        cr_assert(net.run_until(500ms, [&] { return net.count_seen_as(subject, State::Dead) == 13; }),
                  "seed %lu", seed);
        for (auto& [address, process] : net.processes) {
            if (process.member == nullptr) continue;
            cr_expect(process.member->members().at(subject).departed);
            process.member->record_contact(subject, incarnation, net.now);    // a late message
        }
        net.run_for(10s);
        cr_expect_eq(net.count_seen_as(subject, State::Dead), 13);
        net.start_process(subject, seed_addresses(), incarnation + 1);
        cr_assert(net.run_until(1s, [&] { return net.all_agree(); }));
    }
}

Test(convoy, seeds_may_be_dead_or_wrong_and_be_replaced) {
    Network net(3);
    start_stable_cluster(net);
    // Dead, a pilot's, and one that runs.
    net.start_process(Network::gateway_address(20),
                      {"10.9.9.9:7100", Network::gateway_address(0), Network::controller_address(2)}, 1);
    cr_assert(
        net.run_until(1500ms, [&] { return net[Network::gateway_address(20)].joined() && net.all_agree(); }));
    net.start_process(Network::gateway_address(21), {"10.9.9.9:7100", "10.9.9.8:7100"}, 1);
    const std::uint64_t sent = net[Network::gateway_address(21)].statistics().sent;
    net.run_for(20s);
    cr_assert_not(net[Network::gateway_address(21)].joined());
    cr_expect_lt(net[Network::gateway_address(21)].statistics().sent - sent, 40);    // ever slower
    net[Network::gateway_address(21)].set_seeds({"10.9.9.7:7100", Network::controller_address(1)});
    net.reschedule_tick(Network::gateway_address(21));
    cr_assert(
        net.run_until(2s, [&] { return net[Network::gateway_address(21)].joined() && net.all_agree(); }));
    // All seeds of the start are gone; those that came later are enough.
    net.start_process(Network::controller_address(10), {Network::controller_address(2), "10.9.9.9:7100"}, 1);
    cr_assert(
        net.run_until(2s, [&] { return net[Network::controller_address(10)].joined() && net.all_agree(); }));
    for (const std::string& seed : seed_addresses()) net.stop_process(seed);
    net.start_process(Network::gateway_address(22),
                      {Network::controller_address(10), Network::controller_address(0)}, 1);
    cr_assert(net.run_until(1500ms, [&] { return net[Network::gateway_address(22)].joined(); }));
    cr_assert(net.run_until(25s, [&] { return net.all_agree(); }));
}

// The cost of a process in calm does not grow with their number, and all know all.
Test(convoy, hundreds_converge_at_a_cost_that_does_not_grow) {
    for (const int gateway_count : {10, 97, 297}) {
        Network net(2);
        net.loss = 0.01;
        net.start_all(3, gateway_count, 500ms);
        net.run_for(500ms);
        const auto agreed_after = net.run_until(10s, [&] { return net.all_agree() && all_joined(net); });
        cr_assert(agreed_after, "%d pilots", gateway_count);
        net.run_for(5s);
        const auto total_statistics = [&] {
            Statistics total;
            for (const auto& [address, process] : net.processes) {
                total.sent += process.member->statistics().sent;
                total.sent_bytes += process.member->statistics().sent_bytes;
            }
            return total;
        };
        const Statistics before = total_statistics();
        StateObserver observer(net);
        net.run_for(10s);
        const Statistics after = total_statistics();
        const double process_seconds = 10.0 * (gateway_count + 3);
        const double messages = static_cast<double>(after.sent - before.sent) / process_seconds;
        const double bytes = static_cast<double>(after.sent_bytes - before.sent_bytes) / process_seconds;
        std::printf("%4d processes: agree after %ld ms, %.1f messages and %.0f bytes a second each\n",
                    gateway_count + 3, static_cast<long>(agreed_after->count() / 1000), messages, bytes);
        cr_expect_lt(messages, 14.0);
        cr_expect_lt(bytes, 1500.0);
        cr_expect(observer.suspected.empty());
        cr_expect_gt(net[Network::gateway_address(2)].heard_fraction(net.now, 3s), 0.95);
        // A tenth dies, a tenth leaves; one is changed.
        net.on_actions = nullptr;
        for (int i = 0; i < gateway_count / 10; ++i) {
            net.stop_process(Network::gateway_address(3 * i + 1));
            net.depart(Network::gateway_address(3 * i + 2));
        }
        net[Network::gateway_address(0)].set_quota_divisor(9);
        net.reschedule_tick(Network::gateway_address(0));
        net.run_for(1200ms);
        for (const auto& [address, process] : net.processes)
            if (process.member != nullptr && address != Network::gateway_address(0))
                cr_assert_eq(process.member->members().at(Network::gateway_address(0)).info.quota_divisor,
                             9u);
        cr_assert(net.run_until(30s, [&] { return net.all_agree(); }), "%d pilots", gateway_count);
        cr_expect_eq(net.count_seen_as(Network::gateway_address(2), State::Dead),
                     gateway_count + 3 - 2 * (gateway_count / 10));
    }
}

namespace {

std::string pack_with_checksum(capnp::MessageBuilder& message) {
    kj::VectorOutputStream stream;
    const kj::byte checksum_space[kChecksumBytes] = {};
    stream.write(checksum_space, kChecksumBytes);
    capnp::writePackedMessage(stream, message);
    std::string bytes(stream.getArray().asChars().begin(), stream.getArray().size());
    write_checksum(bytes);
    return bytes;
}

// A packet as a version would have written it that knows only the first fields, or as one that knows more.
std::string rewrite_as_version(bool older, const std::string& bytes) {
    kj::ArrayInputStream stream(kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size())
                                    .slice(kChecksumBytes, bytes.size()));
    capnp::PackedMessageReader reader(stream);
    capnp::MallocMessageBuilder holder_message, rewritten;
    auto holder = holder_message.initRoot<versions::Holder>();
    if (older) {
        holder.initOld(1).setWithCaveats(0, reader.getRoot<versions::OldPacket>());
        rewritten.setRoot(holder.getOld()[0].asReader());
    } else {
        auto packets = holder.initNew(1);
        packets.setWithCaveats(0, reader.getRoot<versions::NewPacket>());
        const auto entries = reader.getRoot<versions::NewPacket>().getEntries();
        auto newer = packets[0].initEntries(entries.size());
        for (unsigned i = 0; i < entries.size(); ++i) {
            newer.setWithCaveats(i, entries[i]);
            newer[i].setLoad(0.5);
            newer[i].initLabels(1).set(0, "canary");
        }
        packets[0].initSizes(3).set(1, 77);
        packets[0].initOffer().setName("more");
        packets[0].setFormat(2);
        rewritten.setRoot(packets[0].asReader());
    }
    return pack_with_checksum(rewritten);
}

}    // namespace

Test(convoy, older_and_newer_versions_sail_together) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Network net(seed);
        net.alter_bytes = [](const std::string& from, std::string bytes) {
            const std::size_t kind = std::hash<std::string>{}(from) % 3;
            return kind == 0 ? std::move(bytes) : rewrite_as_version(kind == 1, bytes);
        };
        start_stable_cluster(net);
        StateObserver observer(net);
        net[Network::gateway_address(2)].set_quota_divisor(4);
        net.reschedule_tick(Network::gateway_address(2));
        cr_assert(net.run_until(1s, [&] { return net.all_agree(); }), "seed %lu", seed);
        net.run_for(20s);
        cr_expect(net.all_agree() && observer.suspected.empty(), "seed %lu", seed);
        for (const auto& [address, process] : net.processes)
            cr_expect_eq(process.member->statistics().malformed, 0u);
    }
}

Test(convoy, damaged_bytes_are_dropped_and_counted) {
    Network net(9);
    start_stable_cluster(net);
    std::mt19937_64 random(4);
    std::uint64_t damaged = 0;
    net.alter_bytes = [&](const std::string&, std::string bytes) {
        if (random() % 10 != 0) return bytes;
        ++damaged;
        if (random() % 3 == 0) return bytes.substr(0, random() % bytes.size());
        const auto flipped = static_cast<int>(1 + random() % 255);
        char& byte = bytes[random() % bytes.size()];
        byte = static_cast<char>(byte ^ flipped);
        return bytes;
    };
    net.run_for(30s);
    net.alter_bytes = nullptr;
    net.run_for(1s);
    std::uint64_t malformed = 0;
    for (const auto& [address, process] : net.processes) malformed += process.member->statistics().malformed;
    cr_expect_eq(malformed, damaged);
    cr_expect(net.all_agree());
    // With a sum that fits: whatever it means then, nothing breaks.
    Actions actions;
    Membership& target = net[Network::gateway_address(0)];
    std::vector<std::string> packets;
    net.alter_bytes = [&](const std::string&, std::string bytes) {
        return packets.emplace_back(std::move(bytes));
    };
    net.depart(Network::gateway_address(5));
    net.start_process(Network::gateway_address(5), seed_addresses(), 9);
    net.run_for(5s);
    for (int i = 0; i < 30000; ++i) {
        std::string bytes = packets[random() % packets.size()];
        for (std::uint64_t changes_left = random() % 4 + 1; changes_left > 0; --changes_left)
            bytes[kChecksumBytes + random() % (bytes.size() - kChecksumBytes)] = static_cast<char>(random());
        if (random() % 4 == 0) bytes.resize(kChecksumBytes + 1 + random() % (bytes.size() - kChecksumBytes));
        write_checksum(bytes);
        target.on_message(Network::gateway_address(static_cast<int>(random() % 12) + 1), bytes, net.now,
                          actions);
        target.tick(net.now, actions);
    }
    cr_expect_leq(target.members().size(), 8000);
}
