// Beats, and what lighthouses and pilots make of each other's words.
#include "cluster/registry/service_registry.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <random>

#include "base/runtime/capnp_codec.h"
#include "cluster/registry/next_registry.capnp.h"
#include "cluster/registry/registry.capnp.h"

using namespace shaletray;
using namespace shaletray::registry;
using namespace std::chrono_literals;

namespace {

TimePoint time_at(Duration offset) { return TimePoint(1'000'000s + offset); }

Heartbeat make_heartbeat(const std::string& id, std::uint64_t call_count, State state = State::InService,
                         int host = 1) {
    Heartbeat heartbeat;
    heartbeat.server.id = id;
    heartbeat.server.service = "recibos";
    heartbeat.server.address = "10.128.0." + std::to_string(host) + ":8080";
    heartbeat.server.zone = "santander-a";
    heartbeat.server.revision = "v1";
    heartbeat.server.capacity = 6;
    heartbeat.server.state = state;
    heartbeat.server.call_count = call_count;
    return heartbeat;
}

ServiceRegistry make_registry(int host, std::uint64_t incarnation = 1) {
    return ServiceRegistry({"10.0.0." + std::to_string(host) + ":7100", incarnation, 1500ms, 4});
}
std::string controller_address(int host) { return "10.0.0." + std::to_string(host) + ":7100"; }

State state_of(const std::map<std::string, Server>& servers, const std::string& id) {
    const auto it = servers.find(id);
    cr_assert(it != servers.end(), "%s is not known", id.c_str());
    return it->second.state;
}
bool has_state(const std::map<std::string, Server>& servers, const std::string& id, State expected) {
    const auto it = servers.find(id);
    return it != servers.end() && it->second.state == expected;
}

// The words of two lighthouses that servers call in turn, and what is true in the end.
struct History {
    std::vector<std::string> updates;    // for pilots, in the order of their making
    std::map<std::string, State> expected_states;
    ServiceRegistry first = make_registry(1), second = make_registry(2);
    TimePoint ended_at;
};
std::unique_ptr<History> make_history(std::uint64_t seed) {
    auto history = std::make_unique<History>();
    std::mt19937_64 random(seed);
    std::map<std::string, std::uint64_t> call_counts;
    std::uint64_t first_sequence = 0, second_sequence = 0;
    TimePoint now = time_at(0s);
    for (int step = 0; step < 200; ++step) {
        now += std::chrono::milliseconds(random() % 50);
        const int server_number = static_cast<int>(random() % 12);
        const std::string id = "i-" + std::to_string(server_number);
        ServiceRegistry& target = random() % 4 == 0 ? history->second : history->first;
        if (history->expected_states[id] == State::Departed) continue;
        if (random() % 40 == 0) {
            history->expected_states[id] = State::Departed;
            target.deregister(id, now);
        } else {
            const State server_state = history->expected_states[id] == State::Draining || random() % 10 == 0
                                           ? State::Draining
                                           : State::InService;
            history->expected_states[id] = server_state;
            target.record_heartbeat(make_heartbeat(id, ++call_counts[id], server_state, server_number), now);
        }
        if (random() % 3 == 0) {
            history->updates.push_back(history->first.encode_changes(first_sequence, false, now));
            first_sequence = history->first.sequence();
            history->updates.push_back(history->second.encode_changes(second_sequence, false, now));
            second_sequence = history->second.sequence();
        }
        if (random() % 5 == 0) {
            history->first.merge_changes(controller_address(2), history->second.encode_changes(0, true, now),
                                         now);
            history->second.merge_changes(controller_address(1), history->first.encode_changes(0, true, now),
                                          now);
        }
    }
    history->updates.push_back(history->first.encode_changes(0, false, now));
    history->updates.push_back(history->second.encode_changes(0, false, now));
    history->ended_at = now;
    return history;
}

}    // namespace

Test(beat, is_read_with_and_without_what_may_be_left_out) {
    const auto heartbeat = parse_heartbeat(
        "i-7f3a91c2",
        R"({"address":"10.128.0.9:8080","news":[1],"system_info":{"service":"huvo11a","revision":"v1","zone":"z",
            "capacity":2},"status":{"state":"draining","call_count":4,"ramp_left":"2.5s"}})");
    cr_assert(heartbeat.value().server.id == "i-7f3a91c2" && heartbeat->server.address == "10.128.0.9:8080");
    cr_assert(heartbeat->server.service == "huvo11a" && heartbeat->server.revision == "v1" &&
              heartbeat->server.zone == "z");
    cr_assert(heartbeat->server.capacity == 2 && heartbeat->server.state == State::Draining &&
              heartbeat->server.call_count == 4);
    cr_assert(heartbeat->server.slow_start_left == 2500ms);
    const auto minimal =
        parse_heartbeat("i", R"({"address":"a:1","system_info":{"service":"s","slots":3,"version":"v2"},
                                          "status":{"state":"in_service","call_count":0}})");
    cr_assert(minimal.value().server.capacity == 3 && minimal->server.revision == "v2");
}

Test(beat, says_which_field_is_wrong) {
    const auto error_of = [](std::string_view body) {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::string> {
                BOOST_LEAF_CHECK(parse_heartbeat("i", body));
                return std::string("good");
            },
            [](const std::string& text) { return text; }, [] { return std::string("?"); });
    };
    const std::string info = R"("system_info":{"service":"s"})",
                      status = R"("status":{"state":"draining","call_count":1)";
    const std::string address = R"({"address":"a:1",)";
    cr_assert(error_of(address + info + "," + status + "}}") == "good");
    for (const auto& [body, field] : std::vector<std::pair<std::string, std::string>>{
             {"", "body:"},
             {"[]", "body:"},
             {"{}", "address:"},
             {R"({"address":7})", "address:"},
             {address + status + "}}", "system_info.service:"},
             {address + R"("system_info":{"service":""},)" + status + "}}", "system_info.service:"},
             {address + R"("system_info":{"service":"s","capacity":0},)" + status + "}}",
              "system_info.capacity:"},
             {address + info + "}", "status.state:"},
             {address + info + R"(,"status":{"state":"well","call_count":1}})", "status.state:"},
             {address + info + R"(,"status":{"state":"draining","call_count":-1}})", "status.call_count:"},
             {address + info + R"(,"status":{"state":"draining","call_count":1.5}})", "status.call_count:"},
             {address + info + "," + status + R"(,"ramp_left":"soon"}})", "status.ramp_left:"}})
        cr_assert(error_of(body).starts_with(field), "%s gives %s", body.c_str(), error_of(body).c_str());
}

Test(muster, takes_each_call_once_and_no_late_one) {
    ServiceRegistry service_registry = make_registry(1);
    cr_assert(service_registry.record_heartbeat(make_heartbeat("i", 5), time_at(0s)));
    const auto sequence = service_registry.sequence();
    cr_assert(service_registry.record_heartbeat(make_heartbeat("i", 6), time_at(1s)));
    cr_assert(service_registry.sequence() == sequence);    // nothing that others need to know
    cr_assert(service_registry.record_heartbeat(make_heartbeat("i", 8, State::Draining), time_at(2s)));
    cr_assert(service_registry.sequence() > sequence);
    cr_assert(!service_registry.record_heartbeat(make_heartbeat("i", 7), time_at(3s)) &&
              !service_registry.record_heartbeat(make_heartbeat("i", 8), time_at(3s)));
    cr_assert(state_of(service_registry.servers(), "i") == State::Draining);
    cr_assert(service_registry.deregister("i", time_at(4s)) &&
              !service_registry.deregister("i", time_at(4s)));
    cr_assert(!service_registry.record_heartbeat(make_heartbeat("i", 9), time_at(5s)));
    cr_assert(state_of(service_registry.servers(), "i") == State::Departed);
    // Also where only the farewell was heard; and in the end it is forgotten.
    cr_assert(service_registry.deregister("j", time_at(5s)) &&
              !service_registry.record_heartbeat(make_heartbeat("j", 1), time_at(6s)));
    for (Duration elapsed = 6s; elapsed < 80s; elapsed += 500ms) service_registry.tick(time_at(elapsed));
    cr_assert(service_registry.servers().empty());
}

Test(roster, holds_the_same_whatever_order_words_come_in) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        const auto history = make_history(seed);
        std::mt19937_64 random(seed);
        for (int reader = 0; reader < 3; ++reader) {
            EndpointDirectory directory;
            std::vector<std::string> updates = history->updates;
            std::shuffle(updates.begin(), updates.end(), random);
            std::map<std::string, std::uint64_t> drained_at_call;
            for (const std::string& update : updates) {
                for (std::uint64_t repeats = random() % 3 + 1; repeats > 0; --repeats)
                    cr_assert(directory.apply_changes(update, history->ended_at));
                for (const auto& [id, server] : directory.servers()) {    // no older word undoes a drain
                    if (server.state == State::Draining) drained_at_call.try_emplace(id, server.call_count);
                    cr_assert(server.state != State::InService || !drained_at_call.contains(id) ||
                              server.call_count > drained_at_call[id]);
                }
            }
            for (const auto& [id, expected_state] : history->expected_states)
                cr_assert(has_state(directory.servers(), id, expected_state), "seed %lu, %s", seed,
                          id.c_str());
        }
    }
}

Test(muster, merges_the_same_either_way_and_twice) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        const auto history = make_history(seed);
        const std::string first_update = history->first.encode_changes(0, true, history->ended_at),
                          second_update = history->second.encode_changes(0, true, history->ended_at);
        ServiceRegistry first = make_registry(3), second = make_registry(3);
        first.merge_changes(controller_address(1), first_update, history->ended_at);
        first.merge_changes(controller_address(2), second_update, history->ended_at);
        second.merge_changes(controller_address(2), second_update, history->ended_at);
        second.merge_changes(controller_address(1), first_update, history->ended_at);
        const auto sequence = second.sequence();
        second.merge_changes(controller_address(2), second_update, history->ended_at);
        second.merge_changes(controller_address(1), first_update, history->ended_at);
        cr_assert(second.sequence() == sequence && second.malformed_messages() == 0);
        cr_assert(first.servers().size() == second.servers().size());
        for (const auto& [id, server] : first.servers()) {
            cr_assert(has_state(second.servers(), id, server.state));
            cr_assert(server.state == State::Departed ||
                      second.servers().at(id).call_count == server.call_count);
            if (history->expected_states[id] == State::Departed) cr_assert(server.state == State::Departed);
        }
    }
}

Test(muster, tells_a_reader_that_missed_something_from_where_he_stands) {
    ServiceRegistry first = make_registry(1), second = make_registry(2);
    first.record_heartbeat(make_heartbeat("i", 1, State::InService, 1), time_at(0s));
    second.merge_changes(controller_address(1), first.encode_changes(0, true, time_at(0s)), time_at(0s));
    const auto known_sequence = second.known_sequence(controller_address(1), 1);
    cr_assert(known_sequence == first.sequence());
    first.record_heartbeat(make_heartbeat("j", 1, State::InService, 2), time_at(1s));
    const std::string lost_update = first.encode_changes(known_sequence, true, time_at(1s));
    const auto pushed_sequence = first.sequence();
    first.record_heartbeat(make_heartbeat("k", 1, State::InService, 3), time_at(2s));
    second.merge_changes(controller_address(1), first.encode_changes(pushed_sequence, true, time_at(2s)),
                         time_at(2s));
    cr_assert(second.servers().contains("k") && !second.servers().contains("j"));
    cr_assert(second.known_sequence(controller_address(1), 1) ==
              known_sequence);    // it still lacks what was lost
    second.merge_changes(controller_address(1), first.encode_changes(known_sequence, true, time_at(3s)),
                         time_at(3s));
    cr_assert(second.servers().contains("j") &&
              second.known_sequence(controller_address(1), 1) == first.sequence());
    cr_assert(second.known_sequence(controller_address(1), 2) == 0);
    second.merge_changes("10.0.0.9:7100", lost_update, time_at(3s));    // under another's name
    cr_assert(second.malformed_messages() == 1);
}

// A and B run on, as far as their links go; servers call A at first.
struct RegistryPair {
    ServiceRegistry first = make_registry(1), second = make_registry(2);
    EndpointDirectory directory;    // hears b, and a where it runs
    Duration now = 0s;
    void run_until(Duration end, bool linked, std::function<void(Duration)> send_heartbeats) {
        for (; now < end; now += 500ms) {
            send_heartbeats(now);
            first.tick(time_at(now));
            second.tick(time_at(now));
            if (linked) {
                second.merge_changes(
                    controller_address(1),
                    first.encode_changes(second.known_sequence(controller_address(1), 1), true, time_at(now)),
                    time_at(now));
                first.merge_changes(
                    controller_address(2),
                    second.encode_changes(first.known_sequence(controller_address(2), 1), true, time_at(now)),
                    time_at(now));
            }
            cr_assert(directory.apply_changes(second.encode_changes(0, false, time_at(now)), time_at(now)));
        }
    }
};

Test(muster, calls_lost_whom_its_keeper_misses) {
    RegistryPair pair;
    std::uint64_t call_count = 0;
    pair.run_until(8s, true, [&](Duration) {
        pair.first.record_heartbeat(make_heartbeat("i", ++call_count), time_at(pair.now));
    });
    cr_assert(has_state(pair.directory.servers(), "i", State::InService));
    pair.run_until(13s, true, [](Duration) {});
    cr_assert(has_state(pair.first.servers(), "i", State::InService));
    pair.run_until(16s, true, [](Duration) {});
    cr_assert(has_state(pair.first.servers(), "i", State::Expired) &&
              has_state(pair.second.servers(), "i", State::Expired));
    cr_assert(has_state(pair.directory.servers(), "i", State::Expired));
    pair.run_until(18s, true, [&](Duration) {
        pair.second.record_heartbeat(make_heartbeat("i", ++call_count), time_at(pair.now));
    });    // it calls another now
    cr_assert(has_state(pair.first.servers(), "i", State::InService) &&
              has_state(pair.directory.servers(), "i", State::InService));
}

Test(muster, does_not_call_lost_whose_keeper_is_out_of_reach_for_a_while) {
    RegistryPair pair;
    std::uint64_t call_count = 0;
    const auto send_heartbeats = [&](Duration) {
        pair.first.record_heartbeat(make_heartbeat("i", ++call_count, State::InService, 1),
                                    time_at(pair.now));
        pair.first.record_heartbeat(make_heartbeat("j", call_count, State::Draining, 2), time_at(pair.now));
    };
    pair.run_until(4s, true, send_heartbeats);
    pair.run_until(12s, false, send_heartbeats);
    cr_assert(has_state(pair.second.servers(), "i", State::InService));
    pair.run_until(
        30s, false,
        send_heartbeats);    // for twice the time: as far as b can know they ended with their keeper
    cr_assert(has_state(pair.second.servers(), "i", State::Expired) &&
              has_state(pair.directory.servers(), "j", State::Expired));
    pair.run_until(31s, true, send_heartbeats);
    cr_assert(has_state(pair.second.servers(), "i", State::InService) &&
              has_state(pair.second.servers(), "j", State::Draining));
    cr_assert(has_state(pair.directory.servers(), "i", State::InService));
}

Test(muster, keeps_whom_another_took_over_and_loses_whom_nobody_did) {
    RegistryPair pair;
    std::uint64_t call_count = 0;
    pair.run_until(4s, true, [&](Duration) {
        pair.first.record_heartbeat(make_heartbeat("i", ++call_count, State::InService, 1),
                                    time_at(pair.now));
        pair.first.record_heartbeat(make_heartbeat("j", call_count, State::InService, 2), time_at(pair.now));
    });
    pair.first = make_registry(1, 2);    // began anew, knows nothing
    const auto send_heartbeat = [&](Duration) {
        pair.second.record_heartbeat(make_heartbeat("i", ++call_count, State::InService, 1),
                                     time_at(pair.now));
    };
    for (; pair.now < 40s; pair.now += 500ms) {
        send_heartbeat(pair.now);
        pair.first.tick(time_at(pair.now));
        pair.second.tick(time_at(pair.now));
        pair.second.merge_changes(
            controller_address(1),
            pair.first.encode_changes(pair.second.known_sequence(controller_address(1), 2), true,
                                      time_at(pair.now)),
            time_at(pair.now));
        pair.first.merge_changes(controller_address(2),
                                 pair.second.encode_changes(0, true, time_at(pair.now)), time_at(pair.now));
        cr_assert(pair.directory.apply_changes(pair.second.encode_changes(0, false, time_at(pair.now)),
                                               time_at(pair.now)));
    }
    cr_assert(has_state(pair.second.servers(), "i", State::InService) &&
              has_state(pair.first.servers(), "i", State::InService));
    cr_assert(has_state(pair.second.servers(), "j", State::Expired) &&
              has_state(pair.directory.servers(), "j", State::Expired));
}

Test(muster, takes_a_new_server_at_an_old_address_as_its_end) {
    ServiceRegistry first = make_registry(1), second = make_registry(2);
    first.record_heartbeat(make_heartbeat("old", 7), time_at(0s));
    second.merge_changes(controller_address(1), first.encode_changes(0, true, time_at(0s)), time_at(0s));
    second.record_heartbeat(make_heartbeat("new", 1), time_at(4s));
    cr_assert(has_state(second.servers(), "old", State::Departed) &&
              has_state(second.servers(), "new", State::InService));
    // The words cross: neither side lets the old one end the new one.
    ServiceRegistry third = make_registry(3);
    third.merge_changes(controller_address(2), second.encode_changes(0, true, time_at(4s)), time_at(4s));
    third.merge_changes(controller_address(1), first.encode_changes(0, true, time_at(4s)), time_at(4s));
    cr_assert(has_state(third.servers(), "new", State::InService) &&
              has_state(third.servers(), "old", State::Departed));
    EndpointDirectory directory;
    cr_assert(directory.apply_changes(second.encode_changes(0, false, time_at(4s)), time_at(4s)) &&
              directory.apply_changes(first.encode_changes(0, false, time_at(4s)), time_at(4s)));
    cr_assert(has_state(directory.servers(), "new", State::InService) &&
              has_state(directory.servers(), "old", State::Departed));
}

Test(muster, takes_back_what_late_words_made_it_conclude_of_an_address) {
    ServiceRegistry first = make_registry(1), second = make_registry(2);
    first.record_heartbeat(make_heartbeat("old", 7), time_at(0s));
    const std::string late_update = first.encode_changes(0, true, time_at(0s));
    second.record_heartbeat(make_heartbeat("new", 1), time_at(4s));
    EndpointDirectory directory;
    cr_assert(directory.apply_changes(second.encode_changes(0, false, time_at(4s)), time_at(4s)) &&
              directory.apply_changes(late_update, time_at(10s)));
    second.merge_changes(controller_address(1), late_update, time_at(10s));
    cr_assert(has_state(directory.servers(), "new", State::Departed) &&
              has_state(second.servers(), "new", State::Departed));
    second.record_heartbeat(make_heartbeat("new", 2), time_at(10s));
    cr_assert(has_state(second.servers(), "new", State::InService));
    cr_assert(directory.apply_changes(second.encode_changes(0, false, time_at(10s)), time_at(10s)));
    cr_assert(has_state(directory.servers(), "new", State::InService));
    // Where its keeper concluded nothing, the next call is told nevertheless.
    ServiceRegistry third = make_registry(3), fourth = make_registry(4);
    third.record_heartbeat(make_heartbeat("new", 5), time_at(20s));
    fourth.merge_changes(controller_address(3), third.encode_changes(0, true, time_at(20s)), time_at(20s));
    fourth.record_heartbeat(make_heartbeat("old", 8), time_at(22s));
    cr_assert(has_state(fourth.servers(), "new", State::Departed));
    third.record_heartbeat(make_heartbeat("new", 6), time_at(21500ms));
    third.merge_changes(controller_address(4), fourth.encode_changes(0, true, time_at(22s)), time_at(22s));
    third.record_heartbeat(make_heartbeat("new", 7), time_at(23s));
    fourth.merge_changes(
        controller_address(3),
        third.encode_changes(fourth.known_sequence(controller_address(3), 1), true, time_at(23s)),
        time_at(23s));
    cr_assert(has_state(fourth.servers(), "new", State::InService));
}

Test(muster, survives_bytes_that_are_no_words) {
    const auto history = make_history(3);
    const std::string valid_bytes = history->first.encode_changes(0, false, history->ended_at);
    std::mt19937_64 random(11);
    EndpointDirectory directory;
    cr_assert(!directory.apply_changes("", history->ended_at));
    for (int i = 0; i < 5000; ++i) {
        std::string bytes = valid_bytes;
        for (int change = 0; change < 4; ++change)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        if (random() % 3 == 0) bytes.resize(random() % bytes.size());
        static_cast<void>(directory.apply_changes(bytes, history->ended_at));
    }
}

Test(muster, understands_words_of_a_later_version_and_is_understood_by_it) {
    ServiceRegistry service_registry = make_registry(1, 9);
    service_registry.record_heartbeat(make_heartbeat("i", 3, State::Draining), time_at(0s));
    const std::string encoded = service_registry.encode_changes(0, true, time_at(0s));
    const auto decoded = runtime::unpack<next::RegistryUpdate>(
        encoded, [](next::RegistryUpdate::Reader update) -> boost::leaf::result<int> {
            cr_assert(update.getOwners()[0].getIncarnation() == 9 &&
                      update.getOwners()[0].getLocation().size() == 0);
            cr_assert(update.getEntries()[0].getCallCount() == 3 &&
                      update.getEntries()[0].getNote().size() == 0);
            return 1;
        });
    cr_assert(decoded);
    capnp::MallocMessageBuilder message;
    auto update = message.initRoot<next::RegistryUpdate>();
    auto owner = update.initOwners(1)[0];
    owner.setAddress("10.0.0.2:7100");
    owner.setIncarnation(4);
    owner.setLocation("hall 3");
    update.initNames(1).set(0, "recibos");
    update.setSequence(1);
    auto entry = update.initEntries(1)[0];
    entry.setId("n");
    entry.setAddress("10.128.0.7:8080");
    entry.setCallCount(2);
    entry.setNote("new");
    ServiceRegistry receiver = make_registry(1);
    receiver.merge_changes(controller_address(2), runtime::pack(message), time_at(0s));
    cr_assert(receiver.malformed_messages() == 0 && has_state(receiver.servers(), "n", State::InService) &&
              receiver.known_sequence(controller_address(2), 4) == 1);
}
