#include "controller/controller_cluster.h"

#include <algorithm>

namespace shaletray::controller::test {

ControllerCluster::ControllerCluster(std::uint64_t seed, std::size_t founder_count, std::size_t machine_count,
                                     std::size_t tolerated_failures)
    : random(seed), max_failures(tolerated_failures) {
    for (std::size_t i = 0; i < machine_count; ++i) machines.push_back(make_machine(i));
    for (std::size_t i = 0; i < machine_count; ++i) {
        if (i >= founder_count) machines[i].persisted_state.disk_id = random() | 1;
        start_machine(i, founder_count);
    }
}

ControllerCluster::Machine ControllerCluster::make_machine(std::size_t index) {
    Machine machine;
    machine.address =
        "10.1." + std::to_string(index / 100) + "." + std::to_string(10 + index % 100) + ":7100";
    return machine;
}

bool ControllerCluster::random_chance(double probability) {
    return std::uniform_real_distribution<>()(random) < probability;
}

bool ControllerCluster::is_up(std::size_t index) const {
    return machines[index].replica && machines[index].frozen_until <= now;
}

void ControllerCluster::start_machine(std::size_t index, std::size_t founder_count) {
    Machine& machine = machines[index];
    if (is_diskless && machine.incarnation != 0) {
        machine.persisted_state = {};
        machine.persisted_state.disk_id = random() | 1;
    }
    std::vector<std::string> seeds;
    if (founder_count > 0)
        for (std::size_t other = 0; other < founder_count; ++other) seeds.push_back(machines[other].address);
    for (std::size_t other = 0; founder_count == 0 && other < machines.size() && seeds.size() < 3; ++other)
        if (!machines[other].is_removed && other != index) seeds.push_back(machines[other].address);
    machine.incarnation = static_cast<std::uint64_t>(now.time_since_epoch().count()) + ++last_sequence;
    consensus::Settings register_settings;
    register_settings.self = {machine.address, machine.persisted_state.disk_id};
    if (founder_count > 0) register_settings.founders = seeds;
    register_settings.seed = random();
    machine.replica.emplace(register_settings, machine.persisted_state, now);
    membership::Settings member_settings;
    member_settings.self = {machine.address,
                            membership::Role::Controller,
                            machine.address,
                            "z" + std::to_string(index % 3),
                            "r",
                            machine.address,
                            true,
                            machine.persisted_state.disk_id,
                            machine.incarnation,
                            0};
    member_settings.seeds = seeds;
    member_settings.random_seed = random();
    machine.member_view = std::make_unique<membership::Membership>(member_settings, now);
    machine.reconciler.emplace(
        VoterReconciler::Settings{
            {machine.address, machine.persisted_state.disk_id}, max_failures, kCatchUpTime},
        now);
    machine.next_read_at = machine.next_check_at = now;
    machine.leaves_at = machine.frozen_until = machine.starts_at = TimePoint{};
    machine.has_vote_handover = false;
    update_peers(index);
    record_committed_entry(index);
}

void ControllerCluster::stop_machine(std::size_t index, bool power_loss) {
    Machine& machine = machines[index];
    if (!power_loss && !machine.unsynced_writes.empty() && random_chance(0.5))
        machine.persisted_state = machine.unsynced_writes[random_below(machine.unsynced_writes.size())].state;
    machine.unsynced_writes.clear();
    machine.replica.reset();
    machine.member_view.reset();
    machine.reconciler.reset();
}

void ControllerCluster::crash_machine(std::size_t index, Duration downtime, bool power_loss,
                                      bool disk_wiped) {
    stop_machine(index, power_loss || disk_wiped);
    if (disk_wiped) {
        machines[index].persisted_state = {};
        machines[index].persisted_state.disk_id = random() | 1;
    }
    machines[index].starts_at = now + downtime;
    mark_unavailable(index, downtime);
}

void ControllerCluster::mark_unavailable(std::size_t index, Duration downtime) {
    machines[index].unavailable_until =
        std::max(machines[index].unavailable_until, now + downtime + kCatchUpTime);
}

void ControllerCluster::start_departure(std::size_t index) {
    Machine& machine = machines[index];
    machine.leaves_at = now + 300ms;
    machine.reconciler->start_leaving();
    machine.member_view->set_voter_eligible(false);
    reconcile_voters(index);
}

std::size_t ControllerCluster::add_machine() {
    machines.push_back(make_machine(machines.size()));
    machines.back().persisted_state.disk_id = random() | 1;
    start_machine(machines.size() - 1);
    mark_unavailable(machines.size() - 1, 0s);
    return machines.size() - 1;
}

std::size_t ControllerCluster::replace_machine(std::size_t index) {
    machines[index].is_removed = true;
    if (machines[index].replica) stop_machine(index, true);
    machines[index].is_counted = false;
    return add_machine();
}

std::size_t ControllerCluster::unavailable_count() const {
    return static_cast<std::size_t>(
        std::count_if(machines.begin(), machines.end(), [&](const Machine& machine) {
            return machine.is_counted &&
                   (!machine.replica || machine.unavailable_until > now || machine.frozen_until > now);
        }));
}

void ControllerCluster::apply_actions(std::size_t index, const membership::Actions& actions) {
    for (const auto& effect : actions.sends) send_message(index, effect.to, true, effect.bytes);
    if (!actions.changed_members.empty()) update_peers(index);
}

void ControllerCluster::apply_actions(std::size_t index, consensus::Actions& actions) {
    Machine& machine = machines[index];
    if (actions.entry_changed) record_committed_entry(index);
    for (consensus::Actions::StateWrite& effect : actions.writes) {
        events.push({now + 1ms + Duration(random_below(4000)),
                     ++last_sequence,
                     index,
                     index,
                     machine.incarnation,
                     effect.token,
                     0,
                     false,
                     {}});
        machine.unsynced_writes.push_back(std::move(effect));
    }
    for (const auto& effect : actions.messages) send_message(index, effect.to, false, effect.bytes);
    for (const auto& completion : actions.completions) {
        const auto found = requests.find(completion.request_id);
        if (found == requests.end()) continue;
        const PendingRequest request = found->second;
        requests.erase(found);
        if (completion.outcome == consensus::Outcome::Indeterminate) {
            ++indeterminate_count;
            continue;
        }
        ++committed_count;
        const std::uint64_t current_version = machine.replica->committed_entry().version;
        cr_assert(current_version >= request.min_version,
                  "request completed at version %lu after %lu was acknowledged", current_version,
                  request.min_version);
        committed.acknowledged_version = std::max(committed.acknowledged_version, current_version);
    }
}

void ControllerCluster::record_committed_entry(std::size_t index) {
    const std::string error = committed.record_entry(machines[index].replica->committed_entry());
    cr_assert(error.empty(), "%s", error.c_str());
}

void ControllerCluster::send_message(std::size_t sender, const std::string& recipient_address,
                                     bool is_membership, const std::string& bytes) {
    for (std::size_t recipient = 0; recipient < machines.size(); ++recipient)
        if (machines[recipient].address == recipient_address)
            events.push({now + 1ms + Duration(random_below(1000)), ++last_sequence, recipient, sender, 0, 0,
                         machines[sender].incarnation, is_membership, bytes});
}

void ControllerCluster::update_peers(std::size_t index) {
    std::vector<std::string> peers;
    for (const auto& [address, member] : machines[index].member_view->members())
        if (member.state != membership::State::Dead) peers.push_back(address);
    machines[index].replica->set_peers(std::move(peers));
}

void ControllerCluster::reconcile_voters(std::size_t index) {
    Machine& machine = machines[index];
    const auto is_caught_up = [&](const consensus::Replica& voter) {
        return machine.replica->is_caught_up(voter, 2s);
    };
    const auto change = machine.reconciler->next_change(machine.replica->committed_entry(),
                                                        machine.member_view->members(), is_caught_up, now);
    machine.has_vote_handover = change.has_value();
    if (!change) return;
    consensus::Actions actions;
    machine.replica->change_voters(change->current_voters, change->new_voters, now, actions);
    apply_actions(index, actions);
}

void ControllerCluster::submit_request(std::size_t index, bool is_read) {
    requests[++last_request_id] = {is_read ? 0 : ++last_version, committed.acknowledged_version, now,
                                   is_read};
    consensus::Actions actions;
    if (is_read) machines[index].replica->quorum_read(last_request_id, now + 900ms, now, actions);
    else
        machines[index].replica->propose(last_request_id, last_version, "v" + std::to_string(last_version),
                                         now + 900ms, now, actions);
    apply_actions(index, actions);
}

TimePoint ControllerCluster::next_deadline(std::size_t index) const {
    const Machine& machine = machines[index];
    if (!machine.replica)
        return machine.is_removed || machine.starts_at == TimePoint{} ? TimePoint::max() : machine.starts_at;
    TimePoint deadline =
        std::min({machine.member_view->next_deadline(), machine.next_read_at, machine.next_check_at});
    if (const auto replica_deadline = machine.replica->next_deadline())
        deadline = std::min(deadline, *replica_deadline);
    if (machine.leaves_at != TimePoint{}) deadline = std::min(deadline, machine.leaves_at);
    return std::max(deadline, machine.frozen_until);
}

void ControllerCluster::tick_machine(std::size_t index) {
    Machine& machine = machines[index];
    if (!machine.replica) return start_machine(index);
    if (machine.member_view->next_deadline() <= now) {
        membership::Actions actions;
        machine.member_view->tick(now, actions);
        apply_actions(index, actions);
    }
    consensus::Actions actions;
    machine.replica->tick(now, actions);
    if (machine.next_read_at <= now) {
        machine.next_read_at = now + 500ms;
        machine.replica->quorum_read(0, now + 900ms, now, actions);
    }
    apply_actions(index, actions);
    if (machine.next_check_at <= now) {
        machine.next_check_at = now + 250ms;
        reconcile_voters(index);
    }
    if (machine.leaves_at == TimePoint{} || machine.leaves_at > now) return;
    if (machine.has_vote_handover && machine.replica->is_voter() && now < machine.leaves_at + 1200ms) {
        machine.leaves_at = now + 50ms;
        return;
    }
    membership::Actions departure_actions;
    machine.member_view->announce_departure(now, departure_actions);
    apply_actions(index, departure_actions);
    stop_machine(index, false);
    machine.leaves_at = TimePoint{};
}

void ControllerCluster::run(TimePoint deadline) {
    for (;;) {
        TimePoint next_time = deadline;
        std::size_t next_machine = machines.size();
        for (std::size_t i = 0; i < machines.size(); ++i)
            if (const TimePoint machine_deadline = next_deadline(i); machine_deadline < next_time) {
                next_time = machine_deadline;
                next_machine = i;
            }
        if (!events.empty() && events.top().delivery_time <= next_time) {
            Event event = events.top();
            events.pop();
            now = std::max(now, event.delivery_time);
            deliver_event(std::move(event));
            continue;
        }
        now = std::max(now, next_time);
        if (next_machine == machines.size()) return;
        tick_machine(next_machine);
    }
}

void ControllerCluster::deliver_event(Event event) {
    Machine& machine = machines[event.recipient];
    if (!machine.replica || (event.incarnation != 0 && event.incarnation != machine.incarnation) ||
        (event.incarnation == 0 && partitioned_links.contains({event.sender, event.recipient})))
        return;
    if (machine.frozen_until > now) {    // delivered when the machine resumes
        event.delivery_time = machine.frozen_until;
        event.sequence = ++last_sequence;
        events.push(std::move(event));
        return;
    }
    if (event.is_membership) {
        membership::Actions actions;
        machine.member_view->on_message(machines[event.sender].address, event.bytes, now, actions);
        apply_actions(event.recipient, actions);
        return;
    }
    consensus::Actions actions;
    if (event.token != 0) {
        while (!machine.unsynced_writes.empty() && machine.unsynced_writes.front().token <= event.token) {
            machine.persisted_state = std::move(machine.unsynced_writes.front().state);
            machine.unsynced_writes.erase(machine.unsynced_writes.begin());
        }
        machine.replica->on_stored(event.token, now, actions);
    } else {
        machine.member_view->record_contact(machines[event.sender].address, event.sender_incarnation, now);
        machine.replica->on_message(machines[event.sender].address, event.bytes, now, actions);
    }
    apply_actions(event.recipient, actions);
}

const ControllerCluster::Machine* ControllerCluster::machine_of_voter(const consensus::Replica& voter) const {
    for (const Machine& machine : machines)
        if (machine.replica && machine.address == voter.address &&
            machine.persisted_state.disk_id == voter.disk_id)
            return &machine;
    return nullptr;
}

void ControllerCluster::check_fault_tolerance(const char* phase) const {
    const consensus::LogEntry& entry = newest_entry();
    std::size_t responding = 0, up_to_date = 0;
    for (const consensus::Replica& voter : entry.voters)
        if (const Machine* machine = machine_of_voter(voter)) {
            ++responding;
            up_to_date +=
                machine->persisted_state.committed.version >= committed.acknowledged_version ||
                (machine->persisted_state.accepted_entry &&
                 machine->persisted_state.accepted_entry->version >= committed.acknowledged_version);
        }
    cr_assert(VoterReconciler::tolerated_failures(responding, entry.voters.size()) >=
                  static_cast<int>(max_failures),
              "%s, at %.3f s: %zu of %zu voters respond, entry %lu", phase, elapsed_seconds(), responding,
              entry.voters.size(), entry.number);
    cr_assert(up_to_date > max_failures, "%s, at %.3f s: %zu disks hold what was acknowledged", phase,
              elapsed_seconds(), up_to_date);
}

double ControllerCluster::elapsed_seconds() const {
    return std::chrono::duration<double>(now.time_since_epoch() - 1000s).count();
}

void ControllerCluster::check_progress(const char* phase) {
    for (const bool is_read : {false, true}) {
        const TimePoint started_at = now;
        const std::uint64_t target_version = is_read ? committed.acknowledged_version : last_version + 1;
        std::uint64_t previous_count = committed_count;
        while (previous_count == committed_count) {
            std::size_t index = random_below(machines.size());
            while (!is_up(index) || machines[index].leaves_at != TimePoint{})
                index = random_below(machines.size());
            if (is_read) submit_request(index, true);
            else {
                last_version = target_version - 1;    // repeats the same proposal
                submit_request(index, false);
            }
            run(1s);
            cr_assert(now - started_at <= kAckTimeout || previous_count != committed_count,
                      "%s, at %.3f s: no %s", phase, elapsed_seconds(), is_read ? "read" : "acknowledgement");
        }
        cr_assert(committed.acknowledged_version >= target_version, "%s", phase);
    }
}

}    // namespace shaletray::controller::test
