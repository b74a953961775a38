// Tests of merging updates of several controllers, and of compatibility with a later version.
#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <random>

#include "base/runtime/capnp_codec.h"
#include "cluster/registry/next_registry.capnp.h"
#include "cluster/registry/registry_helpers.h"

using namespace shaletray;
using namespace shaletray::registry;
using namespace std::chrono_literals;

namespace {

// The updates of two controllers that servers send heartbeats to, and the final state of each server.
struct History {
    std::vector<std::string> updates;    // for gateways, in the order of their encoding
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

Test(endpoint_directory, converges_regardless_of_the_order_of_updates) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        const auto history = make_history(seed);
        std::mt19937_64 random(seed);
        for (int reader = 0; reader < 3; ++reader) {
            EndpointDirectory directory;
            std::vector<std::string> updates = history->updates;
            std::shuffle(updates.begin(), updates.end(), random);
            std::map<std::string, std::uint64_t> draining_call_counts;
            for (const std::string& update : updates) {
                for (std::uint64_t repeats = random() % 3 + 1; repeats > 0; --repeats)
                    cr_assert(directory.apply_changes(update, history->ended_at));
                for (const auto& [id, server] : directory.servers()) {    // no older entry reverts Draining
                    if (server.state == State::Draining)
                        draining_call_counts.try_emplace(id, server.call_count);
                    cr_assert(server.state != State::InService || !draining_call_counts.contains(id) ||
                              server.call_count > draining_call_counts[id]);
                }
            }
            for (const auto& [id, expected_state] : history->expected_states)
                cr_assert(has_state(directory.servers(), id, expected_state), "seed %lu, %s", seed,
                          id.c_str());
        }
    }
}

Test(service_registry, merging_is_commutative_and_idempotent) {
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

Test(service_registry, resends_lost_updates) {
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
              known_sequence);    // the lost update is still missing
    second.merge_changes(controller_address(1), first.encode_changes(known_sequence, true, time_at(3s)),
                         time_at(3s));
    cr_assert(second.servers().contains("j") &&
              second.known_sequence(controller_address(1), 1) == first.sequence());
    cr_assert(second.known_sequence(controller_address(1), 2) == 0);
    second.merge_changes("10.0.0.9:7100", lost_update, time_at(3s));    // from another sender
    cr_assert(second.malformed_messages() == 1);
}

Test(endpoint_directory, handles_malformed_updates) {
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

Test(service_registry, exchanges_updates_with_a_later_version) {
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

// Updates that listed all controllers would use most of the bandwidth when many servers start at once.
Test(service_registry, update_lists_only_the_owners_that_it_refers_to) {
    ServiceRegistry service_registry = make_registry(1);
    for (int host = 2; host <= 25; ++host) {
        const ServiceRegistry other = make_registry(host);
        service_registry.merge_changes(controller_address(host), other.encode_changes(0, true, time_at(0s)),
                                       time_at(0s));
    }
    std::size_t change_bytes = 0;
    EndpointDirectory reader;
    for (int i = 0; i < 120; ++i) {
        const std::uint64_t since = service_registry.sequence();
        service_registry.record_heartbeat(make_heartbeat("i-" + std::to_string(i), 1, State::InService, i),
                                          time_at(0s));
        const std::string change = service_registry.encode_changes(since, false, time_at(0s));
        change_bytes += change.size();
        cr_assert(reader.apply_changes(change, time_at(0s)));
    }
    cr_assert(reader.servers().size() == 120);
    cr_assert(change_bytes / 120 < 300, "%zu bytes per change", change_bytes / 120);
}
