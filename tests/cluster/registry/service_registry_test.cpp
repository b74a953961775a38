// Tests of heartbeats, deregistration, expiry and displacement.
#include "cluster/registry/service_registry.h"

#include <criterion/criterion.h>

#include <functional>

#include "cluster/registry/registry_helpers.h"

using namespace shaletray;
using namespace shaletray::registry;
using namespace std::chrono_literals;

Test(service_registry, accepts_each_heartbeat_once_and_rejects_late_ones) {
    ServiceRegistry service_registry = make_registry(1);
    cr_assert(service_registry.record_heartbeat(make_heartbeat("i", 5), time_at(0s)));
    const auto sequence = service_registry.sequence();
    cr_assert(service_registry.record_heartbeat(make_heartbeat("i", 6), time_at(1s)));
    cr_assert(service_registry.sequence() == sequence);    // nothing to announce
    cr_assert(service_registry.record_heartbeat(make_heartbeat("i", 8, State::Draining), time_at(2s)));
    cr_assert(service_registry.sequence() > sequence);
    cr_assert(!service_registry.record_heartbeat(make_heartbeat("i", 7), time_at(3s)) &&
              !service_registry.record_heartbeat(make_heartbeat("i", 8), time_at(3s)));
    cr_assert(state_of(service_registry.servers(), "i") == State::Draining);
    cr_assert(service_registry.deregister("i", time_at(4s)) &&
              !service_registry.deregister("i", time_at(4s)));
    cr_assert(!service_registry.record_heartbeat(make_heartbeat("i", 9), time_at(5s)));
    cr_assert(state_of(service_registry.servers(), "i") == State::Departed);
    // Late heartbeats are also rejected where only the deregistration arrived. Later the server is erased.
    cr_assert(service_registry.deregister("j", time_at(5s)) &&
              !service_registry.record_heartbeat(make_heartbeat("j", 1), time_at(6s)));
    for (Duration elapsed = 6s; elapsed < 80s; elapsed += 500ms) service_registry.tick(time_at(elapsed));
    cr_assert(service_registry.servers().empty());
}

namespace {

// Two controllers that exchange updates while `linked`, and a gateway that receives those of the second one.
struct RegistryPair {
    ServiceRegistry first = make_registry(1), second = make_registry(2);
    EndpointDirectory directory;
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

}    // namespace

Test(service_registry, expires_servers_whose_heartbeats_stop) {
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
    });    // the server sends its heartbeats to the other controller now
    cr_assert(has_state(pair.first.servers(), "i", State::InService) &&
              has_state(pair.directory.servers(), "i", State::InService));
}

Test(service_registry, keeps_servers_whose_owner_is_unreachable_for_a_while) {
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
    // After twice the timeout the second controller assumes that the servers ended with their owner.
    pair.run_until(30s, false, send_heartbeats);
    cr_assert(has_state(pair.second.servers(), "i", State::Expired) &&
              has_state(pair.directory.servers(), "j", State::Expired));
    pair.run_until(31s, true, send_heartbeats);
    cr_assert(has_state(pair.second.servers(), "i", State::InService) &&
              has_state(pair.second.servers(), "j", State::Draining));
    cr_assert(has_state(pair.directory.servers(), "i", State::InService));
}

Test(service_registry, keeps_servers_that_another_owner_took_over_and_expires_the_rest) {
    RegistryPair pair;
    std::uint64_t call_count = 0;
    pair.run_until(4s, true, [&](Duration) {
        pair.first.record_heartbeat(make_heartbeat("i", ++call_count, State::InService, 1),
                                    time_at(pair.now));
        pair.first.record_heartbeat(make_heartbeat("j", call_count, State::InService, 2), time_at(pair.now));
    });
    pair.first = make_registry(1, 2);    // restarted with an empty registry
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

Test(service_registry, new_server_at_an_address_displaces_the_old_one) {
    ServiceRegistry first = make_registry(1), second = make_registry(2);
    first.record_heartbeat(make_heartbeat("old", 7), time_at(0s));
    second.merge_changes(controller_address(1), first.encode_changes(0, true, time_at(0s)), time_at(0s));
    second.record_heartbeat(make_heartbeat("new", 1), time_at(4s));
    cr_assert(has_state(second.servers(), "old", State::Departed) &&
              has_state(second.servers(), "new", State::InService));
    // Whatever the order of updates, the old server does not displace the new one.
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

Test(service_registry, heartbeat_reverts_a_displacement_by_a_late_update) {
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
    // The owner announces the next heartbeat even where it displaced nothing itself.
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
