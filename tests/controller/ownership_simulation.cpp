#include "controller/ownership_simulation.h"

#include <criterion/criterion.h>

#include <algorithm>

#include "controller/ownership_simulation_nodes.h"

namespace shaletray::controller::test {

OwnershipSimulation::OwnershipSimulation(std::uint64_t seed, bool accepts_late_responses)
    : seed_(seed), accepts_late_responses_(accepts_late_responses), random_(seed) {
    for (std::size_t i = 0; i < kControllers; ++i) {
        controllers_.push_back(std::make_unique<ControllerNode>());
        controllers_.back()->simulation = this;
        controllers_.back()->index = i;
    }
    for (std::size_t i = 0; i < kControllers; ++i) start_controller(i, true);
    for (std::size_t i = 0; i < kInitialServers; ++i) add_server();
}

OwnershipSimulation::~OwnershipSimulation() = default;

void OwnershipSimulation::push(Event event) {
    event.sequence = ++last_sequence_;
    events_.push(std::move(event));
}

// ---- controllers ----

void OwnershipSimulation::start_controller(std::size_t index, bool is_first) {
    ControllerNode& node = *controllers_[index];
    node.incarnation = ++last_incarnation_;
    node.starts_at = TimePoint::max();
    node.frozen_until = TimePoint{};
    node.next_read_at = TimePoint{};
    node.servers.clear();
    consensus::Settings settings;
    settings.self = {address_of(index), node.disk.disk_id};
    if (is_first)
        for (std::size_t i = 0; i < kControllers; ++i) settings.founders.push_back(address_of(i));
    settings.seed = random_();
    settings.max_retry_interval = 1s;
    node.replica.emplace(settings, node.disk, clock_.now());
    std::vector<std::string> peers;
    for (std::size_t i = 0; i < kControllers; ++i) peers.push_back(address_of(i));
    node.replica->set_peers(peers);
    node.coordinator.emplace(
        OwnershipCoordinator::Settings{address_of(index), kHeartbeatInterval, 10s}, clock_, node,
        node.servers,
        OwnershipCoordinator::Callbacks{[](TimePoint) {}, [](const ownership::OwnershipTable&) {}});
    node.coordinator->set_sharded_services({kService});
    node.coordinator->on_entry_committed();
}

// Unsynced writes may be lost or kept.
void OwnershipSimulation::stop_controller(std::size_t index, bool wipe_disk) {
    ControllerNode& node = *controllers_[index];
    if (!node.replica) return;
    if (!node.unsynced_writes.empty() && random_chance(0.5))
        node.disk = node.unsynced_writes[random_below(node.unsynced_writes.size())].state;
    node.unsynced_writes.clear();
    counts_.settled_by_release += node.coordinator->statistics().settled_by_release;
    node.coordinator.reset();
    node.replica.reset();
    if (wipe_disk) {
        node.disk = {};
        node.disk.disk_id = random_() | 1;
        wiped_voter_ = {address_of(index), node.disk.disk_id};
    }
    node.starts_at = clock_.now() + 200ms + random_duration(4s);
}

void OwnershipSimulation::apply(std::size_t index, consensus::Actions&& actions) {
    ControllerNode& node = *controllers_[index];
    for (auto& write : actions.writes) {
        Event stored{.delivery_time = clock_.now() + 1ms + random_duration(6ms), .kind = Event::Kind::Stored};
        stored.recipient = index;
        stored.incarnation = node.incarnation;
        stored.token = write.token;
        node.unsynced_writes.push_back(std::move(write));
        push(std::move(stored));
    }
    for (const auto& message : actions.messages) {
        Event sent{.delivery_time =
                       clock_.now() + 1ms + random_duration(random_disturbance(0.02) ? 400ms : 5ms)};
        sent.sender = index;
        for (std::size_t i = 0; i < kControllers; ++i)
            if (address_of(i) == message.to) sent.recipient = i;
        sent.bytes = message.bytes;
        if (!blocked_links_.contains({sent.sender, sent.recipient}) && !random_disturbance(0.01))
            push(std::move(sent));
    }
    if (actions.entry_changed && node.coordinator) node.coordinator->on_entry_committed();
}

void OwnershipSimulation::report_key_samples(OwnershipCoordinator& coordinator) {
    const TimePoint now = clock_.now();
    if (now >= sampling_ends_at_) return;
    if (now >= next_hot_key_at_) {
        hot_key_ = static_cast<ownership::Key>(random_below(ownership::kKeyCount));
        next_hot_key_at_ = now + kHotKeyDuration;
    }
    ownership::KeySamples samples{kService, {}, kSamplesPerReport};
    for (std::uint32_t i = 0; i < kSamplesPerReport; ++i)
        samples.keys.push_back(static_cast<ownership::Key>(
            random_chance(0.7) ? hot_key_ + random_below(2000) : random_below(ownership::kKeyCount)));
    coordinator.on_key_samples({samples});
}

void OwnershipSimulation::tick_controllers() {
    const TimePoint now = clock_.now();
    for (std::size_t i = 0; i < kControllers; ++i) {
        ControllerNode& node = *controllers_[i];
        if (!node.replica && now >= node.starts_at) start_controller(i, false);
        if (!node.is_responsive()) continue;
        consensus::Actions actions;
        if (const auto due = node.replica->next_deadline(); due && *due <= now)
            node.replica->tick(now, actions);
        if (now >= node.next_read_at) {
            node.next_read_at = now + kReadInterval;
            node.replica->quorum_read(++last_sequence_, now + kReadTimeout, now, actions);
        }
        apply(i, std::move(actions));
        for (auto& [id, server] : node.servers) {
            const bool is_running =
                server.state == registry::State::InService || server.state == registry::State::Draining;
            if (is_running && now - server.last_called_at > kHeartbeatExpiry)
                server.state = registry::State::Expired;
        }
        if (now >= node.next_samples_at) {
            node.next_samples_at = now + kSampleInterval;
            report_key_samples(*node.coordinator);
        }
        node.coordinator->tick(now);
    }
    replace_wiped_voter();
}

// As the voter reconciler does: the new, empty disk replaces the voter with the former disk at its address.
void OwnershipSimulation::replace_wiped_voter() {
    if (!wiped_voter_) return;
    for (std::size_t i = 0; i < kControllers; ++i) {
        ControllerNode& node = *controllers_[i];
        if (!node.is_responsive() || address_of(i) == wiped_voter_->address || !node.is_quorum_held())
            continue;
        std::vector<consensus::Replica> voters = node.committed_entry().voters;
        if (std::find(voters.begin(), voters.end(), *wiped_voter_) != voters.end())
            return wiped_voter_.reset();
        for (consensus::Replica& voter : voters)
            if (voter.address == wiped_voter_->address) voter = *wiped_voter_;
        std::sort(voters.begin(), voters.end());
        consensus::Actions actions;
        node.replica->change_voters(node.committed_entry().voters, voters, clock_.now(), actions);
        return apply(i, std::move(actions));
    }
}

void OwnershipSimulation::record_registry(std::size_t controller, const registry::Heartbeat& heartbeat) {
    registry::Server& known = controllers_[controller]->servers[heartbeat.server.id];
    if (heartbeat.server.call_count < known.call_count || known.state == registry::State::Departed) return;
    known = heartbeat.server;
    known.last_called_at = clock_.now();
}

// ---- servers ----

void OwnershipSimulation::deliver(Event event) {
    if (event.kind == Event::Kind::Response) return on_response(event);
    ControllerNode& node = *controllers_[event.recipient];
    if (!node.replica) return;
    if (!node.is_responsive()) {    // delivered when it resumes
        event.delivery_time = node.frozen_until + random_duration(5ms);
        return push(std::move(event));
    }
    consensus::Actions actions;
    switch (event.kind) {
        case Event::Kind::Consensus:
            node.replica->on_message(address_of(event.sender), event.bytes, clock_.now(), actions);
            return apply(event.recipient, std::move(actions));
        case Event::Kind::Stored: {
            if (event.incarnation != node.incarnation) return;
            const auto written = std::find_if(node.unsynced_writes.begin(), node.unsynced_writes.end(),
                                              [&](const auto& write) { return write.token == event.token; });
            if (written != node.unsynced_writes.end()) {
                node.disk = written->state;
                node.unsynced_writes.erase(node.unsynced_writes.begin(), written + 1);
            }
            node.replica->on_stored(event.token, clock_.now(), actions);
            return apply(event.recipient, std::move(actions));
        }
        case Event::Kind::Heartbeat: return on_heartbeat(event);
        case Event::Kind::RegistryChange: return record_registry(event.recipient, event.heartbeat);
        case Event::Kind::Response: break;
    }
}

void OwnershipSimulation::repair_links() {
    blocked_links_.clear();
    blocked_calls_.clear();
    links_repaired_at_ = TimePoint::max();
}

void OwnershipSimulation::inject_fault() {
    ++counts_.faults;
    const std::size_t victim = random_below(kControllers);
    const auto staying_servers =
        static_cast<std::size_t>(std::count_if(servers_.begin(), servers_.end(), [](const auto& server) {
            return server->is_up && !server->is_draining;
        }));
    ServerNode& server = *servers_[random_below(servers_.size())];
    switch (random_below(10)) {
        case 0: return stop_controller(victim, false);
        case 1:
            for (std::size_t i = 0; i < kControllers; ++i) stop_controller(i, false);
            return;
        case 2: {
            const bool all_responsive = std::all_of(controllers_.begin(), controllers_.end(),
                                                    [](const auto& node) { return node->is_responsive(); });
            if (all_responsive && !wiped_voter_ && blocked_links_.empty()) stop_controller(victim, true);
            return;
        }
        case 3: controllers_[victim]->frozen_until = clock_.now() + random_duration(6s); return;
        case 4:    // partitions one controller from the others, possibly in one direction
            for (std::size_t i = 0; i < kControllers; ++i) {
                if (i == victim) continue;
                blocked_links_.insert({victim, i});
                if (random_chance(0.6)) blocked_links_.insert({i, victim});
            }
            links_repaired_at_ = clock_.now() + 500ms + random_duration(8s);
            return;
        case 5:    // some servers cannot reach one controller
            for (std::size_t s = 0; s < servers_.size(); ++s)
                if (random_chance(0.5)) blocked_calls_.insert({s, victim});
            links_repaired_at_ = clock_.now() + 500ms + random_duration(8s);
            return;
        case 6:
            if (staying_servers > 2) server.is_up = false;
            return;
        case 7:
            if (staying_servers > 2) server.is_draining = true;
            server.next_call_at = clock_.now();
            return;
        case 8:
            if (servers_.size() < kMaxServers) add_server();
            return;
        default:    // one controller wrongly considers a server expired
            if (controllers_[victim]->replica) {
                for (auto& [id, known] : controllers_[victim]->servers)
                    if (id == server.id) known.state = registry::State::Expired;
            }
            return;
    }
}

void OwnershipSimulation::run(Duration fault_time, Duration total_time) {
    const TimePoint start = clock_.now();
    TimePoint next_fault_at = start + 4s + random_duration(4s);
    sampling_ends_at_ = fault_time == Duration(0) ? start : start + fault_time + kSamplingTimeAfterFaults;
    while (clock_.now() < start + total_time) {
        clock_.time += kStepInterval;
        const TimePoint now = clock_.now();
        has_disturbances_ = now < start + fault_time;
        if (now >= links_repaired_at_) repair_links();
        if (now >= next_fault_at && now < start + fault_time) {
            inject_fault();
            next_fault_at = now + (random_chance(0.4) ? random_duration(500ms) : random_duration(4s));
        }
        while (!events_.empty() && events_.top().delivery_time <= now) {
            Event event = events_.top();
            events_.pop();
            deliver(std::move(event));
        }
        tick_controllers();
        for (std::size_t i = 0; i < servers_.size(); ++i) step_server(i);
    }
    for (const auto& node : controllers_)
        if (node->coordinator)
            counts_.settled_by_release += node->coordinator->statistics().settled_by_release;
}

void OwnershipSimulation::check_progress() const {
    const auto seed = static_cast<unsigned long>(seed_);
    for (const auto& node : controllers_) {
        cr_assert(node->is_responsive(), "seed %lu", seed);
        const ownership::OwnershipTable& table = node->coordinator->table();
        cr_assert(table.services.contains(kService), "seed %lu: no table", seed);
        for (const ownership::Assignment& row : table.services.at(kService)) {
            const auto owner = std::find_if(servers_.begin(), servers_.end(),
                                            [&](const auto& server) { return server->id == row.owner; });
            cr_assert(row.settled && owner != servers_.end() && (*owner)->is_up,
                      "seed %lu: keys %u to %u of %s have no owner", seed, row.keys.first, row.keys.last,
                      row.owner.c_str());
            const std::vector<ownership::HeldRange> held = (*owner)->holds.held(clock_.now());
            const bool is_held = std::any_of(held.begin(), held.end(), [&](const auto& range) {
                return range.fence == row.fence && range.keys.contains(row.keys);
            });
            cr_assert(is_held, "seed %lu: %s does not hold %u to %u", seed, row.owner.c_str(), row.keys.first,
                      row.keys.last);
        }
    }
}

}    // namespace shaletray::controller::test
