// Failure detection: pings, relayed pings, suspicion, and the expiry of members.
#include <algorithm>

#include "cluster/membership/membership_impl.h"

namespace shaletray::membership {

TimePoint Membership::Impl::reachable_since(const Record& record) const {
    return std::max({record.member->last_heard, record.known_since, resumed_at_});
}

void Membership::Impl::handle_ack(const std::string& from, const Packet& packet, TimePoint now,
                                  Actions& actions) {
    if (!packet.target.empty()) {
        handle_relayed_ack(packet, now, actions);
        return;
    }
    if (const Record* const record = table_.find(from); record != nullptr)
        samples_.acknowledge(*record, packet.sequence_number);
    forward_ack(from, packet.sequence_number, actions);
}

// A ping that another member sent for this process was answered. Counts only for the probed incarnation.
void Membership::Impl::handle_relayed_ack(const Packet& packet, TimePoint now, Actions& actions) {
    Record* const record = table_.find(packet.target);
    if (record == nullptr || record->member->departed) return;
    const bool own_probe = std::any_of(probes_.begin(), probes_.end(), [&](const Probe& probe) {
        return probe.record == record && probe.sequence_number == packet.sequence_number;
    });
    const bool same_incarnation =
        std::any_of(packet.hashed_heartbeats.begin(), packet.hashed_heartbeats.end(),
                    [&](const HashedHeartbeat& heartbeat) { return heartbeat.hash == record->hash; });
    if (!own_probe || !same_incarnation) return;
    confirm_alive(*record, now, actions.changed_members);
    samples_.acknowledge(*record, packet.sequence_number);
}

// Reports the ack to the process that requested the ping, if there is one.
void Membership::Impl::forward_ack(const std::string& from, std::uint32_t sequence_number, Actions& actions) {
    const auto relay = std::find_if(relays_.begin(), relays_.end(), [&](const RelayedPing& candidate) {
        return candidate.sequence_number == sequence_number && candidate.target == from;
    });
    if (relay == relays_.end()) return;
    if (const Record* const record = table_.find(from); record != nullptr) {
        Packet ack = make_packet(PacketKind::Ack, relay->origin_sequence_number);
        ack.target = from;
        ack.hashed_heartbeats.push_back({record->hash, record->heartbeat});
        send_packet(relay->requester, ack, actions);
    }
    relays_.erase(relay);
}

void Membership::Impl::relay_ping(const std::string& requester, const Packet& packet, Actions& actions) {
    const Record* const record = table_.find(packet.target);
    if (record == nullptr || record->member->departed) return;
    if (relays_.size() >= kMaxRelays) relays_.pop_front();
    relays_.push_back({++sequence_number_, packet.sequence_number, packet.target, requester});
    Packet ping = make_packet(PacketKind::Ping, sequence_number_);
    send_packet(packet.target, ping, actions);
}

void Membership::Impl::send_ping(Record& record, std::uint32_t sequence_number, bool include_entry,
                                 TimePoint now, Actions& actions) {
    Packet packet = make_packet(PacketKind::Ping, sequence_number);
    if (include_entry) packet.entries.push_back(record.to_entry());
    add_gossip(packet, 1, max_transmissions());
    add_ordered_heartbeats(packet, now);
    send_packet(record.address, packet, actions);
}

void Membership::Impl::send_ping_requests(const Record& record, std::uint32_t sequence_number,
                                          std::size_t helper_count, Actions& actions) {
    for (const Record* helper : choose_alive(helper_count, &record)) {
        Packet packet = make_packet(PacketKind::PingRequest, sequence_number);
        packet.target = record.address;
        send_packet(helper->address, packet, actions);
    }
}

bool Membership::Impl::start_probe(Record& record, TimePoint now, Actions& actions) {
    if (record.probing || probes_.size() >= kMaxProbes) return false;
    record.probing = true;
    probes_.push_back({&record, now, now + kAckTimeout, 1, ++sequence_number_});
    send_ping(record, sequence_number_, false, now, actions);
    return true;
}

void Membership::Impl::retry_probes(TimePoint now, Actions& actions) {
    std::erase_if(probes_, [](const Probe& probe) {
        return !probe.record->probing || probe.record->member->state != State::Alive;
    });
    for (Probe& probe : probes_) {
        if (now < probe.next_attempt_at) continue;
        if (may_suspect(probe, now)) {
            suspect(*probe.record, now, actions);
            continue;
        }
        ++probe.attempts;
        probe.next_attempt_at = now + kAckTimeout;
        send_ping(*probe.record, probe.sequence_number, false, now, actions);
        send_ping_requests(*probe.record, probe.sequence_number, kProbeHelpers, actions);
    }
    std::erase_if(probes_, [](const Probe& probe) { return !probe.record->probing; });
}

bool Membership::Impl::may_suspect(const Probe& probe, TimePoint now) const {
    if (probe.attempts < kMinProbeAttempts) return false;
    if (now - reachable_since(*probe.record) < settings_.suspect_after) return false;
    // In large clusters a member may have been silent for long before it is probed.
    const Duration min_probe_time = is_large() ? settings_.suspect_after : settings_.suspect_after / 2;
    return now - probe.started_at >= min_probe_time;
}

void Membership::Impl::suspect(Record& record, TimePoint now, Actions& actions) {
    record.probing = false;
    table_.set_state(record, State::Suspect, now);
    // An isolated process is likely to be partitioned itself, so it does not pass the suspicion on.
    record.suspected_in_isolation = samples_.is_isolated(now);
    const int transmissions = record.suspected_in_isolation ? max_transmissions() : 0;
    publish_change(record, EntryForm::Brief, transmissions, now, actions);
}

void Membership::Impl::run_probe_round(TimePoint now, Actions& actions) {
    schedule_next_round(now);
    self_record_.heartbeat = static_cast<std::uint8_t>(self_record_.heartbeat % 255 + 1);
    ++round_count_;
    expire_members(now, actions);
    for (Record* target : choose_probe_targets(now)) {
        if (!start_probe(*target, now, actions)) break;
        samples_.add(*target, now, sequence_number_);
    }
    ping_unreachable_member(now, actions);
    if (round_count_ % kRoundsPerSeedCheck == 0) ping_missing_seed(actions);
}

// The interval varies randomly by up to a sixteenth in both directions, so that processes do not probe in
// step.
void Membership::Impl::schedule_next_round(TimePoint now) {
    const Duration::rep interval = settings_.probe_interval.count();
    const auto jitter_range = static_cast<std::size_t>(std::max<Duration::rep>(1, interval / 8));
    const auto jitter = static_cast<Duration::rep>(random_index(jitter_range));
    next_round_at_ = now + settings_.probe_interval - Duration(interval / 16) + Duration(jitter);
}

void Membership::Impl::ping_unreachable_member(TimePoint now, Actions& actions) {
    std::vector<Record*> candidates;
    for (Record* record : table_.unreachable())
        if (!record->member->departed) candidates.push_back(record);
    if (candidates.empty()) return;
    Record& record = *candidates[random_index(candidates.size())];
    send_ping(record, ++sequence_number_, true, now, actions);
    if (record.member->state == State::Suspect)
        send_ping_requests(record, sequence_number_, kSuspectHelpers, actions);
}

// Lets parts of a cluster that consider each other dead, or started separately, find each other.
void Membership::Impl::ping_missing_seed(Actions& actions) {
    if (!joined_ || seeds_.empty()) return;
    const Seed& seed = seeds_[random_index(seeds_.size())];
    const Record* const record = table_.find(seed.address);
    if (record != nullptr && record->member->state == State::Alive) return;
    Packet packet = make_packet(PacketKind::Ping, ++sequence_number_);
    packet.entries.push_back(self_record_.to_full_entry());
    send_packet(seed.address, packet, actions);
}

void Membership::Impl::expire_members(TimePoint now, Actions& actions) {
    table_.prune_unreachable();
    std::vector<Record*> expired;
    for (Record* record : table_.unreachable()) {
        const Member& member = *record->member;
        if (member.state == State::Suspect) {
            if (now - record->suspected_since < settings_.dead_after - settings_.suspect_after) continue;
            table_.set_state(*record, State::Dead, now);
            add_changed_member(record->address, actions.changed_members);
            last_change_at_ = now;
        } else if (now - member.state_changed_at > (member.departed ? kDepartedRetention : kDeadRetention)) {
            expired.push_back(record);
        }
    }
    for (Record* record : expired) erase_member(*record);
}

void Membership::Impl::erase_member(Record& record) {
    gossip_queue_.remove(record);
    samples_.remove_record(record);
    std::erase_if(probes_, [&](const Probe& probe) { return probe.record == &record; });
    table_.erase(record);
}

}    // namespace shaletray::membership
