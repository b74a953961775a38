// The servers of OwnershipSimulation: they call controllers, hold the granted keys, and check the invariant.
#include <criterion/criterion.h>

#include <algorithm>

#include "controller/ownership_simulation.h"
#include "controller/ownership_simulation_nodes.h"

namespace shaletray::controller::test {

void OwnershipSimulation::add_server() {
    auto server = std::make_unique<ServerNode>();
    server->id = "i-" + std::to_string(servers_.size());
    server->clock_rate = 1.0 - 0.02 * std::uniform_real_distribution<>()(random_);
    server->next_call_at = clock_.now() + random_duration(500ms);
    server->controller = random_below(kControllers);
    servers_.push_back(std::move(server));
}

void OwnershipSimulation::step_server(std::size_t index) {
    ServerNode& server = *servers_[index];
    if (!server.is_up) return;
    const TimePoint now = clock_.now();
    if (now >= server.ends_at) {
        server.is_up = false;
        return;
    }
    if (server.pending_call != 0 && now - server.call_sent_at >= kResponseTimeout) {
        server.pending_call = 0;
        server.controller = (server.controller + 1) % kControllers;
        server.next_call_at = now + random_duration(200ms);
    }
    if (server.pending_call == 0 && now >= server.next_call_at) send_heartbeat(index);
}

void OwnershipSimulation::send_heartbeat(std::size_t index) {
    ServerNode& server = *servers_[index];
    const TimePoint now = clock_.now();
    Event call{.delivery_time = now + 1ms + random_duration(random_disturbance(0.05) ? 3s : 20ms),
               .kind = Event::Kind::Heartbeat};
    call.sender = index;
    call.recipient = server.controller;
    call.token = server.pending_call = ++server.call_count;
    call.sent_at = server.call_sent_at = now;
    registry::Server& reported = call.heartbeat.server;
    reported.id = server.id;
    reported.service = kService;
    reported.address = "10.2.0." + std::to_string(index) + ":80";
    reported.state = server.is_draining ? registry::State::Draining : registry::State::InService;
    reported.call_count = server.call_count;
    call.heartbeat.holds = {server.holds.held(now), server.released};
    // A blocked link loses the call or delays it until the link is repaired.
    if (blocked_calls_.contains({index, server.controller})) {
        if (random_chance(0.5)) return;
        call.delivery_time = std::max(call.delivery_time, links_repaired_at_ + random_duration(50ms));
    }
    if (random_disturbance(0.03)) {
        Event duplicate = call;
        duplicate.delivery_time += random_duration(6s);
        duplicate.recipient = random_below(kControllers);
        push(std::move(duplicate));
    }
    push(std::move(call));
}

void OwnershipSimulation::on_heartbeat(const Event& event) {
    ControllerNode& node = *controllers_[event.recipient];
    record_registry(event.recipient, event.heartbeat);
    for (std::size_t i = 0; i < kControllers; ++i) {
        if (i == event.recipient || blocked_links_.contains({event.recipient, i})) continue;
        Event change{.delivery_time = clock_.now() + 20ms + random_duration(300ms),
                     .kind = Event::Kind::RegistryChange};
        change.recipient = i;
        change.heartbeat = event.heartbeat;
        push(std::move(change));
    }
    node.coordinator->on_heartbeat(event.heartbeat);
    Event response{.kind = Event::Kind::Response};
    response.grant = node.coordinator->grant_for(kService, event.heartbeat.server.id);
    counts_.unconfirmed_responses += response.grant.kind == KeyGrant::Kind::Unconfirmed;
    // The process may freeze between the decision and the sending of the response.
    response.delivery_time = clock_.now() + 1ms + random_duration(random_disturbance(0.05) ? 4s : 20ms);
    response.sender = event.recipient;
    response.recipient = event.sender;
    response.token = event.token;
    response.sent_at = event.sent_at;
    push(std::move(response));
}

void OwnershipSimulation::on_response(const Event& event) {
    ServerNode& server = *servers_[event.recipient];
    if (!server.is_up) return;
    const TimePoint now = clock_.now();
    const bool is_expected = server.pending_call == event.token && now - event.sent_at < kResponseTimeout;
    if (!is_expected && !accepts_late_responses_) return;
    if (event.grant.kind == KeyGrant::Kind::Unconfirmed) {
        if (!is_expected) return;
        server.pending_call = 0;
        server.controller = (server.controller + 1) % kControllers;
        server.next_call_at = now + 20ms + random_duration(200ms);
        return;
    }
    if (is_expected) {
        server.pending_call = 0;
        server.controller = event.sender;
        server.released.clear();
        server.next_call_at = now + kHeartbeatInterval - 75ms + random_duration(150ms);
    }
    if (event.grant.kind == KeyGrant::Kind::Rows) apply_grant(server, event.grant, event.sent_at);
    if (!server.released.empty()) server.next_call_at = now + 100ms;
    if (is_expected && server.is_draining && server.ends_at == TimePoint::max())
        server.ends_at = now + kDrainTime + random_duration(3s);
}

void OwnershipSimulation::apply_grant(ServerNode& server, const KeyGrant& grant, TimePoint sent_at) {
    const TimePoint now = clock_.now();
    const TimePoint expires_at =
        sent_at +
        Duration(static_cast<Duration::rep>(static_cast<double>(grant.hold.count()) / server.clock_rate));
    server.holds.begin_response();
    for (const ownership::Assignment& row : grant.rows) {
        if (!server.holds.accept(row.keys, row.fence, expires_at)) {
            ++counts_.refused_rows;
            continue;
        }
        ++counts_.accepted_rows;
        if (expires_at > now) check_sole_holder(server, row.keys);
    }
    for (const ownership::KeyRange& keys : server.holds.release_ungranted(now))
        server.released.push_back({keys, "5c0e"});
}

void OwnershipSimulation::check_sole_holder(const ServerNode& server, const ownership::KeyRange& keys) const {
    for (const auto& other : servers_) {
        if (other.get() == &server || !other->is_up) continue;
        cr_assert(!other->holds.holds_any(keys, clock_.now()), "seed %lu: %s and %s hold a key of %u to %u",
                  static_cast<unsigned long>(seed_), server.id.c_str(), other->id.c_str(), keys.first,
                  keys.last);
    }
}

}    // namespace shaletray::controller::test
