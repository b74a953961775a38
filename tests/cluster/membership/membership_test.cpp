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
    return std::all_of(net.processes.begin(), net.processes.end(),
                       [](const auto& p) { return p.second.convoy == nullptr || p.second.convoy->joined(); });
}

// Eleven pilots and three lighthouses that know each other, and some calm.
void calm(Network& net) {
    net.start_all(3, 11, 300ms);
    net.run(3s);
    cr_assert(net.agree() && all_joined(net));
}

std::vector<std::string> seeds() {
    return {Network::lighthouse(0), Network::lighthouse(1), Network::lighthouse(2)};
}

// Who came to hold whom for Suspected or Gone, for all the time that this stands.
struct Watch {
    explicit Watch(Network& net) {
        net.after = [this, &net](const std::string& at, const Actions& out) {
            if (net.processes[at].convoy == nullptr) return;
            for (const std::string& address : out.changed) {
                const State state = net[at].members().at(address).state;
                if (state == State::Suspected) suspected.insert({at, address});
                if (state == State::Gone) gone.insert({at, address});
            }
        };
    }
    std::set<std::pair<std::string, std::string>> suspected, gone;    // who, whom
};

}    // namespace

Test(convoy, started_together_all_know_all_within_a_moment) {
    for (std::uint64_t seed = 1; seed <= 30; ++seed) {
        Network net(seed);
        net.loss = seed % 2 == 0 ? 0.02 : 0.0;
        net.start_all(3, 11, 300ms);
        net.run(300ms);
        cr_assert(net.until(1s, [&] { return all_joined(net); }), "seed %lu", seed);
        cr_assert(net.until(1500ms, [&] { return net.agree(); }), "seed %lu", seed);
    }
}

// A clock set back gives the later life the lower number, until it hears of the earlier one.
Test(convoy, a_later_life_takes_over_its_address_whatever_its_clock_says) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Network net(seed);
        calm(net);
        const std::string at = seed % 2 == 0 ? Network::pilot(4) : Network::lighthouse(1);
        const std::uint64_t before = net[at].me().life;
        net.stop(at);
        net.run(seed % 3 == 0 ? 4s : 300ms);
        net.start(at, seeds(), before - 5'000'000);
        net[at].counts(7);
        cr_assert(net.until(1s, [&] { return net[at].joined() && net.agree(); }), "seed %lu", seed);
        cr_assert_gt(net[at].me().life, before);
        net.run(5s);
        cr_assert(net.agree(), "seed %lu", seed);
    }
}

Test(convoy, counts_of_all_reach_all_within_a_second) {
    Network net(5);
    calm(net);
    net.loss = 0.03;
    for (std::uint32_t counts = 1; counts <= 30; ++counts) {
        for (int i = 0; i < 11; ++i) {
            net[Network::pilot(i)].counts(counts);
            net.touched(Network::pilot(i));
        }
        cr_assert(net.until(1s, [&] { return net.agree(); }), "counts %u", counts);
    }
}

Test(convoy, losses_of_a_few_percent_make_nobody_suspected) {
    for (const int pilots : {11, 87}) {
        Network net(static_cast<std::uint64_t>(pilots));
        net.loss = 0.03;
        net.start_all(3, pilots, 500ms);
        net.run(3s);
        Watch watch(net);
        double heard = 1.0;
        for (int i = 0; i < (pilots < 20 ? 180 : 60); ++i) {
            net.run(1s);
            heard = std::min(heard, net[Network::pilot(3)].heard_part(net.now, 3s));
        }
        cr_expect(watch.suspected.empty(), "%zu with %d pilots", watch.suspected.size(), pilots);
        cr_expect(watch.gone.empty());
        cr_expect_gt(heard, 0.98);
        cr_expect(net.agree());
    }
}

Test(convoy, who_is_cut_off_is_suspected_then_forgotten_and_returns) {
    for (std::uint64_t seed = 1; seed <= 24; ++seed) {
        Network net(seed);
        calm(net);
        const std::string at = seed % 2 == 0 ? Network::pilot(7) : Network::lighthouse(2);
        const bool to_it = seed % 3 != 1, from_it = seed % 3 != 2;    // what is cut
        net.cut = [&](const std::string& from, const std::string& to) {
            return (to_it && to == at) || (from_it && from == at);
        };
        const bool long_time = seed % 4 < 2;
        net.run(3500ms);
        // Who is heard runs, whether it hears or not.
        cr_expect_eq(net.seen_as(at, State::Suspected), from_it ? 13 : 0, "seed %lu", seed);
        if (to_it) cr_expect_lt(net[at].heard_part(net.now, 2s), 0.1);
        if (!to_it) cr_expect_eq(net[at].heard_part(net.now, 2s), 1.0);
        cr_expect_eq(net[at].answered_part(net.now, 2s), 0.0);
        cr_expect_gt(net[Network::pilot(1)].heard_part(net.now, 1500ms), 0.85);
        net.run(long_time ? 25s : 2s);
        cr_expect_eq(net.seen_as(at, State::Gone), long_time && from_it ? 13 : 0, "seed %lu", seed);
        if (from_it && long_time) cr_expect_not(net[Network::pilot(1)].members().at(at).ended);
        net.cut = nullptr;
        cr_assert(net.until(2500ms, [&] { return net.agree(); }), "seed %lu", seed);
        net.run(1500ms);
        cr_expect_eq(net[at].heard_part(net.now, 1500ms), 1.0);
        cr_expect_eq(net[at].answered_part(net.now, 1s), 1.0);
    }
}

// Who is unheard for so long that all take it for Gone may run all the same: newcomers are told of it, as of
// nobody that said goodbye, and it makes no difference between what they know.
Test(convoy, a_joiner_is_told_of_those_that_are_unheard) {
    Network net(5);
    calm(net);
    const std::string unheard = Network::pilot(3);
    net.cut = [&](const std::string& from, const std::string& to) {
        return from == unheard || to == unheard;
    };
    net.leave(Network::pilot(4));
    net.run(25s);
    const std::string late = Network::pilot(40);
    net.start(late, seeds(), 1);
    net.run(2s);
    const auto& known = net[late].members();
    cr_assert(known.contains(unheard) && known.at(unheard).state == State::Gone);
    cr_assert(!known.at(unheard).ended && known.at(unheard).heard == TimePoint{});
    cr_assert_not(known.contains(Network::pilot(4)));
    cr_assert_gt((known.at(Network::lighthouse(1)).agreed - net.now) / 1ms, -4000);
    net.cut = nullptr;
    cr_assert(net.until(4s, [&] { return net.agree(); }));
}

// Each member's proof that it hears this process is renewed all the while, and ends with the way to it alone.
Test(convoy, each_shows_that_it_hears_this_process) {
    for (const int pilots : {2, 11, 18}) {
        Network net(static_cast<std::uint64_t>(pilots));
        net.start_all(3, pilots, 300ms);
        net.run(8s);
        net.loss = 0.02;
        const auto oldest = [&](const std::string& at, const std::string& of) {
            const Member& m = net[at].members().at(of);
            cr_assert(net[at].meets_each() && m.answered <= net.now);
            return net.now - m.answered;
        };
        for (int look = 0; look < 200; ++look) {
            net.run(100ms);
            for (const auto& [at, process] : net.processes)
                for (const auto& [of, m] : net[at].members())
                    cr_assert_leq(oldest(at, of) / 1ms, 4000, "%d pilots", pilots);
        }
        const std::string deaf = Network::pilot(0), me = Network::pilot(1);
        net.cut = [&](const std::string&, const std::string& to) { return to == deaf; };
        const TimePoint since = net.now;
        net.run(15s);
        cr_assert_leq((net[me].members().at(deaf).answered - since) / 1ms, 1000, "it cannot have heard it");
        cr_assert_gt((net[me].members().at(deaf).heard - since) / 1ms, 12'000);
        cr_assert_gt((net[deaf].members().at(me).answered - since) / 1ms, -4000);
        cr_assert_leq((net[deaf].members().at(me).heard - since) / 1ms, 1000);
    }
}

// In a large convoy suspicions are spread by word; not the suspicions of one that hears nobody.
Test(convoy, who_is_alone_keeps_its_suspicions_to_itself) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        Network net(seed);
        net.start_all(3, 150, 500ms);
        net.run(6s);
        cr_assert(net.agree());
        Watch watch(net);
        const std::string at = Network::pilot(5);
        net.cut = [&](const std::string& from, const std::string& to) { return from == at || to == at; };
        net.run(seed % 2 == 0 ? 3s : 8s);
        cr_expect_eq(net.seen_as(at, State::Suspected), 152);
        cr_expect_lt(net[at].heard_part(net.now, 2s), 0.2);
        net.cut = nullptr;
        cr_assert(net.until(1500ms, [&] { return net.agree(); }), "seed %lu", seed);
        for (const auto& [who, whom] : watch.suspected) cr_expect(who == at || whom == at);
    }
}

// Two that do not hear each other, or one that does not hear the other, know by the rest that both run.
Test(convoy, a_cut_between_two_makes_nobody_suspected) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Network net(seed);
        calm(net);
        Watch watch(net);
        const std::string a = Network::pilot(1), b = Network::pilot(2);
        net.cut = [&, both = seed % 2 == 0](const std::string& from, const std::string& to) {
            return (from == a && to == b) || (both && from == b && to == a);
        };
        net.run(40s);
        cr_expect(watch.suspected.empty() && watch.gone.empty(), "seed %lu", seed);
        cr_expect_eq(net[a].heard_part(net.now, 2s), 1.0);
    }
}

Test(convoy, two_halves_change_apart_and_agree_again) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Network net(seed);
        calm(net);
        const auto side = [](const std::string& address) {
            return address < Network::pilot(5);    // two or three lighthouses and as many pilots
        };
        net.cut = [&](const std::string& from, const std::string& to) { return side(from) != side(to); };
        net.run(4s);
        net[Network::pilot(0)].counts(5);
        net[Network::pilot(9)].counts(6);
        net.stop(Network::pilot(10));
        net.run(1s);
        net.start(Network::pilot(10), seeds(), 1);
        net.leave(Network::pilot(8));
        net.run(3s);
        cr_expect_lt(net[Network::pilot(0)].heard_part(net.now, 2s), 0.7);
        if (seed % 2 == 0) net.run(30s);
        net.cut = nullptr;
        cr_assert(net.until(3s, [&] { return net.agree() && all_joined(net); }), "seed %lu", seed);
    }
}

// What it finds when it wakes is old; it suspicions nobody for it, and neither do others by its word.
Test(convoy, who_was_frozen_hears_others_before_it_suspects_them) {
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Network net(seed);
        calm(net);
        const std::string at = Network::pilot(3);
        // Cut off first, so that it suspicions all when it freezes.
        const bool suspicions = seed % 2 == 0;
        if (suspicions) {
            net.cut = [&](const std::string& from, const std::string& to) { return from == at || to == at; };
            net.run(4s);
            net.cut = nullptr;
        }
        net.freeze(at, seed % 3 == 0 ? 30s : 5s);
        net.run(4900ms);
        cr_expect_eq(net.seen_as(at, State::Alive), 0);
        if (seed % 3 == 0) net.run(25s);
        Watch watch(net);
        cr_assert(net.until(2500ms, [&] { return net.agree(); }), "seed %lu", seed);
        net.run(5s);
        for (const auto& [who, whom] : watch.suspected)
            cr_expect(whom == at || (suspicions && who == at), "seed %lu: %s suspected %s", seed, who.c_str(),
                      whom.c_str());
        cr_expect(net.agree());
    }
}

Test(convoy, a_goodbye_is_known_at_once_and_is_final) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Network net(seed);
        calm(net);
        net.loss = 0.03;
        const std::string at = Network::pilot(6);
        const std::uint64_t life = net[at].me().life;
        net.leave(at);
        cr_assert(net.until(500ms, [&] { return net.seen_as(at, State::Gone) == 13; }), "seed %lu", seed);
        for (auto& [address, p] : net.processes) {
            if (p.convoy == nullptr) continue;
            cr_expect(p.convoy->members().at(at).ended);
            p.convoy->seen(at, life, net.now);    // a late message
        }
        net.run(10s);
        cr_expect_eq(net.seen_as(at, State::Gone), 13);
        net.start(at, seeds(), life + 1);
        cr_assert(net.until(1s, [&] { return net.agree(); }));
    }
}

Test(convoy, seeds_may_be_dead_or_wrong_and_be_replaced) {
    Network net(3);
    calm(net);
    // Dead, a pilot's, and one that runs.
    net.start(Network::pilot(20), {"10.9.9.9:7100", Network::pilot(0), Network::lighthouse(2)}, 1);
    cr_assert(net.until(1500ms, [&] { return net[Network::pilot(20)].joined() && net.agree(); }));
    net.start(Network::pilot(21), {"10.9.9.9:7100", "10.9.9.8:7100"}, 1);
    const std::uint64_t sent = net[Network::pilot(21)].tallies().sent;
    net.run(20s);
    cr_assert_not(net[Network::pilot(21)].joined());
    cr_expect_lt(net[Network::pilot(21)].tallies().sent - sent, 40);    // ever slower
    net[Network::pilot(21)].seeds({"10.9.9.7:7100", Network::lighthouse(1)});
    net.touched(Network::pilot(21));
    cr_assert(net.until(2s, [&] { return net[Network::pilot(21)].joined() && net.agree(); }));
    // All seeds of the start are gone; those that came later are enough.
    net.start(Network::lighthouse(10), {Network::lighthouse(2), "10.9.9.9:7100"}, 1);
    cr_assert(net.until(2s, [&] { return net[Network::lighthouse(10)].joined() && net.agree(); }));
    for (const std::string& seed : seeds()) net.stop(seed);
    net.start(Network::pilot(22), {Network::lighthouse(10), Network::lighthouse(0)}, 1);
    cr_assert(net.until(1500ms, [&] { return net[Network::pilot(22)].joined(); }));
    cr_assert(net.until(25s, [&] { return net.agree(); }));
}

// The cost of a process in calm does not grow with their number, and all know all.
Test(convoy, hundreds_converge_at_a_cost_that_does_not_grow) {
    for (const int pilots : {10, 97, 297}) {
        Network net(2);
        net.loss = 0.01;
        net.start_all(3, pilots, 500ms);
        net.run(500ms);
        const auto agreed = net.until(10s, [&] { return net.agree() && all_joined(net); });
        cr_assert(agreed, "%d pilots", pilots);
        net.run(5s);
        const auto tallied = [&] {
            Tallies all;
            for (const auto& [address, p] : net.processes) {
                all.sent += p.convoy->tallies().sent;
                all.sent_bytes += p.convoy->tallies().sent_bytes;
            }
            return all;
        };
        const Tallies before = tallied();
        Watch watch(net);
        net.run(10s);
        const Tallies after = tallied();
        const double each = 10.0 * (pilots + 3);
        const double messages = static_cast<double>(after.sent - before.sent) / each;
        const double bytes = static_cast<double>(after.sent_bytes - before.sent_bytes) / each;
        std::printf("%4d processes: agree after %ld ms, %.1f messages and %.0f bytes a second each\n",
                    pilots + 3, static_cast<long>(agreed->count() / 1000), messages, bytes);
        cr_expect_lt(messages, 14.0);
        cr_expect_lt(bytes, 1500.0);
        cr_expect(watch.suspected.empty());
        cr_expect_gt(net[Network::pilot(2)].heard_part(net.now, 3s), 0.95);
        // A tenth dies, a tenth leaves; one is changed.
        net.after = nullptr;
        for (int i = 0; i < pilots / 10; ++i) {
            net.stop(Network::pilot(3 * i + 1));
            net.leave(Network::pilot(3 * i + 2));
        }
        net[Network::pilot(0)].counts(9);
        net.touched(Network::pilot(0));
        net.run(1200ms);
        for (const auto& [address, p] : net.processes)
            if (p.convoy != nullptr && address != Network::pilot(0))
                cr_assert_eq(p.convoy->members().at(Network::pilot(0)).facts.counts, 9u);
        cr_assert(net.until(30s, [&] { return net.agree(); }), "%d pilots", pilots);
        cr_expect_eq(net.seen_as(Network::pilot(2), State::Gone), pilots + 3 - 2 * (pilots / 10));
    }
}

namespace {

std::string sealed(capnp::MessageBuilder& message) {
    kj::VectorOutputStream out;
    const kj::byte room[kSumBytes] = {};
    out.write(room, kSumBytes);
    capnp::writePackedMessage(out, message);
    std::string bytes(out.getArray().asChars().begin(), out.getArray().size());
    seal(bytes);
    return bytes;
}

// A packet as a version would have written it that knows only the first fields, or as one that knows more.
std::string as_written_by(bool older, const std::string& bytes) {
    kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size())
                                .slice(kSumBytes, bytes.size()));
    capnp::PackedMessageReader reader(in);
    capnp::MallocMessageBuilder room, out;
    auto holder = room.initRoot<versions::Holder>();
    if (older) {
        holder.initOld(1).setWithCaveats(0, reader.getRoot<versions::OldPacket>());
        out.setRoot(holder.getOld()[0].asReader());
    } else {
        auto list = holder.initNew(1);
        list.setWithCaveats(0, reader.getRoot<versions::NewPacket>());
        const auto entries = reader.getRoot<versions::NewPacket>().getEntries();
        auto newer = list[0].initEntries(entries.size());
        for (unsigned i = 0; i < entries.size(); ++i) {
            newer.setWithCaveats(i, entries[i]);
            newer[i].setLoad(0.5);
            newer[i].initLabels(1).set(0, "canary");
        }
        list[0].initSizes(3).set(1, 77);
        list[0].initOffer().setName("more");
        list[0].setFormat(2);
        out.setRoot(list[0].asReader());
    }
    return sealed(out);
}

}    // namespace

Test(convoy, older_and_newer_versions_sail_together) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Network net(seed);
        net.change = [](const std::string& from, std::string bytes) {
            const std::size_t kind = std::hash<std::string>{}(from) % 3;
            return kind == 0 ? std::move(bytes) : as_written_by(kind == 1, bytes);
        };
        calm(net);
        Watch watch(net);
        net[Network::pilot(2)].counts(4);
        net.touched(Network::pilot(2));
        cr_assert(net.until(1s, [&] { return net.agree(); }), "seed %lu", seed);
        net.run(20s);
        cr_expect(net.agree() && watch.suspected.empty(), "seed %lu", seed);
        for (const auto& [address, p] : net.processes) cr_expect_eq(p.convoy->tallies().spoilt, 0u);
    }
}

Test(convoy, damaged_bytes_are_dropped_and_counted) {
    Network net(9);
    calm(net);
    std::mt19937_64 random(4);
    std::uint64_t damaged = 0;
    net.change = [&](const std::string&, std::string bytes) {
        if (random() % 10 != 0) return bytes;
        ++damaged;
        if (random() % 3 == 0) return bytes.substr(0, random() % bytes.size());
        const auto flipped = static_cast<int>(1 + random() % 255);
        char& byte = bytes[random() % bytes.size()];
        byte = static_cast<char>(byte ^ flipped);
        return bytes;
    };
    net.run(30s);
    net.change = nullptr;
    net.run(1s);
    std::uint64_t spoilt = 0;
    for (const auto& [address, p] : net.processes) spoilt += p.convoy->tallies().spoilt;
    cr_expect_eq(spoilt, damaged);
    cr_expect(net.agree());
    // With a sum that fits: whatever it means then, nothing breaks.
    Actions out;
    Convoy& target = net[Network::pilot(0)];
    std::vector<std::string> packets;
    net.change = [&](const std::string&, std::string bytes) {
        return packets.emplace_back(std::move(bytes));
    };
    net.leave(Network::pilot(5));
    net.start(Network::pilot(5), seeds(), 9);
    net.run(5s);
    for (int i = 0; i < 30000; ++i) {
        std::string bytes = packets[random() % packets.size()];
        for (std::uint64_t k = random() % 4 + 1; k > 0; --k)
            bytes[kSumBytes + random() % (bytes.size() - kSumBytes)] = static_cast<char>(random());
        if (random() % 4 == 0) bytes.resize(kSumBytes + 1 + random() % (bytes.size() - kSumBytes));
        seal(bytes);
        target.heard(Network::pilot(static_cast<int>(random() % 12) + 1), bytes, net.now, out);
        target.tick(net.now, out);
    }
    cr_expect_leq(target.members().size(), 8000);
}
