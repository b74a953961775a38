// The servers of OwnershipWorld: they call controllers, take what these grant, and are judged.
#include <criterion/criterion.h>

#include <algorithm>

#include "controller/ownership_world.h"
#include "controller/ownership_world_nodes.h"

namespace shaletray::controller::test {

void OwnershipWorld::add_server() {
    auto server = std::make_unique<ServerNode>();
    server->id = "i-" + std::to_string(servers_.size());
    server->clock_rate = 1.0 - 0.02 * std::uniform_real_distribution<>()(random_);
    server->next_call_at = clock_.now() + up_to(500ms);
    server->controller = below(kControllers);
    servers_.push_back(std::move(server));
}

void OwnershipWorld::step_server(std::size_t index) {
    ServerNode& server = *servers_[index];
    if (!server.is_up) return;
    const TimePoint now = clock_.now();
    if (now >= server.ends_at) {
        server.is_up = false;
        return;
    }
    if (server.open_call != 0 && now - server.call_sent_at >= kAnswerLimit) {
        server.open_call = 0;
        server.controller = (server.controller + 1) % kControllers;
        server.next_call_at = now + up_to(200ms);
    }
    if (server.open_call == 0 && now >= server.next_call_at) send_heartbeat(index);
}

void OwnershipWorld::send_heartbeat(std::size_t index) {
    ServerNode& server = *servers_[index];
    const TimePoint now = clock_.now();
    Event call{.at = now + 1ms + up_to(disturbed(0.05) ? 3s : 20ms), .kind = Event::Kind::Heartbeat};
    call.from = index;
    call.to = server.controller;
    call.token = server.open_call = ++server.call_count;
    call.sent_at = server.call_sent_at = now;
    registry::Server& told = call.heartbeat.server;
    told.id = server.id;
    told.service = kService;
    told.address = "10.2.0." + std::to_string(index) + ":80";
    told.state = server.is_draining ? registry::State::Draining : registry::State::InService;
    told.call_count = server.call_count;
    call.heartbeat.holds = {server.holds.held(now), server.released};
    // A cut holds bytes up for as long as it lasts, or for good.
    if (cut_calls_.contains({index, server.controller})) {
        if (chance(0.5)) return;
        call.at = std::max(call.at, heal_at_ + up_to(50ms));
    }
    if (disturbed(0.03)) {
        Event again = call;
        again.at += up_to(6s);
        again.to = below(kControllers);
        push(std::move(again));
    }
    push(std::move(call));
}

void OwnershipWorld::on_heartbeat(const Event& event) {
    ControllerNode& node = *controllers_[event.to];
    record_registry(event.to, event.heartbeat);
    for (std::size_t i = 0; i < kControllers; ++i) {
        if (i == event.to || cut_links_.contains({event.to, i})) continue;
        Event told{.at = clock_.now() + 20ms + up_to(300ms), .kind = Event::Kind::RegistryChange};
        told.to = i;
        told.heartbeat = event.heartbeat;
        push(std::move(told));
    }
    node.coordinator->on_heartbeat(event.heartbeat);
    Event answer{.kind = Event::Kind::Answer};
    answer.grant = node.coordinator->grant_for(kService, event.heartbeat.server.id);
    counts_.unconfirmed_answers += answer.grant.kind == KeyGrant::Kind::Unconfirmed;
    // The process may freeze between the decision and the sending.
    answer.at = clock_.now() + 1ms + up_to(disturbed(0.05) ? 4s : 20ms);
    answer.from = event.to;
    answer.to = event.from;
    answer.token = event.token;
    answer.sent_at = event.sent_at;
    push(std::move(answer));
}

void OwnershipWorld::on_answer(const Event& event) {
    ServerNode& server = *servers_[event.to];
    if (!server.is_up) return;
    const TimePoint now = clock_.now();
    const bool is_expected = server.open_call == event.token && now - event.sent_at < kAnswerLimit;
    if (!is_expected && !lenient_servers_) return;
    if (event.grant.kind == KeyGrant::Kind::Unconfirmed) {
        if (!is_expected) return;
        server.open_call = 0;
        server.controller = (server.controller + 1) % kControllers;
        server.next_call_at = now + 20ms + up_to(200ms);
        return;
    }
    if (is_expected) {
        server.open_call = 0;
        server.controller = event.from;
        server.released.clear();
        server.next_call_at = now + kHeartbeat - 75ms + up_to(150ms);
    }
    if (event.grant.kind == KeyGrant::Kind::Rows) take_grant(server, event.grant, event.sent_at);
    if (!server.released.empty()) server.next_call_at = now + 100ms;
    if (is_expected && server.is_draining && server.ends_at == TimePoint::max())
        server.ends_at = now + kDrainTime + up_to(3s);
}

void OwnershipWorld::take_grant(ServerNode& server, const KeyGrant& grant, TimePoint sent_at) {
    const TimePoint now = clock_.now();
    const TimePoint until =
        sent_at +
        Duration(static_cast<Duration::rep>(static_cast<double>(grant.hold.count()) / server.clock_rate));
    server.holds.begin_answer();
    for (const ownership::Assignment& row : grant.rows) {
        if (!server.holds.take(row.keys, row.fence, until)) {
            ++counts_.refused_rows;
            continue;
        }
        ++counts_.takes;
        if (until > now) check_alone(server, row.keys);
    }
    for (const ownership::KeyRange& keys : server.holds.release_rest(now))
        server.released.push_back({keys, "5c0e"});
}

void OwnershipWorld::check_alone(const ServerNode& server, const ownership::KeyRange& keys) const {
    for (const auto& other : servers_) {
        if (other.get() == &server || !other->is_up) continue;
        cr_assert(!other->holds.holds_any(keys, clock_.now()), "seed %lu: %s and %s hold a key of %u to %u",
                  static_cast<unsigned long>(seed_), server.id.c_str(), other->id.c_str(), keys.first,
                  keys.last);
    }
}

// ---- time ----

}    // namespace shaletray::controller::test
