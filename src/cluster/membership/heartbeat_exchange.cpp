// The exchange of all members' heartbeats in the packets of small and medium-sized clusters.
#include <algorithm>

#include "cluster/membership/membership_impl.h"

namespace shaletray::membership {
namespace {

// Heartbeats count from 1 to 255 and start again at 1.
constexpr int kHeartbeatPeriod = 255;

// How far `later` is ahead of `earlier`, from 0 to 254.
int heartbeat_distance(std::uint8_t later, std::uint8_t earlier) {
    return (later - earlier + kHeartbeatPeriod) % kHeartbeatPeriod;
}

// A heartbeat that is ahead by more than half the period is an old one.
constexpr int kMaxHeartbeatAdvance = kHeartbeatPeriod / 2;

}    // namespace

std::uint8_t Membership::Impl::current_heartbeat(const Record& record, TimePoint now) const {
    if (&record == &self_record_) return self_record_.heartbeat;
    return now - record.heartbeat_at <= settings_.suspect_after ? record.heartbeat : 0;
}

void Membership::Impl::add_ordered_heartbeats(Packet& packet, TimePoint now) {
    if (is_large()) return;
    packet.ordered_heartbeats.reserve(table_.live_count() + 1);
    for_each_in_order("", [&](const Record& record) {
        packet.ordered_heartbeats.push_back(current_heartbeat(record, now));
        return true;
    });
}

void Membership::Impl::add_hashed_heartbeats(Packet& packet, TimePoint now) {
    if (is_large()) return;
    for (std::size_t i = 0; i < table_.size() && packet.hashed_heartbeats.size() < kHeartbeatsPerPacket;
         ++i) {
        heartbeat_cursor_ = (heartbeat_cursor_ + 1) % table_.size();
        const Record& record = *table_.record_at(heartbeat_cursor_);
        if (record.member->state == State::Dead || current_heartbeat(record, now) == 0) continue;
        packet.hashed_heartbeats.push_back({record.hash, record.heartbeat});
    }
}

void Membership::Impl::learn_heartbeat(Record& record, std::uint8_t heartbeat, TimePoint now,
                                       Actions& actions) {
    if (heartbeat == 0 || record.member->departed || &record == &self_record_) return;
    if (record.heartbeat != 0) {
        const int advance = heartbeat_distance(heartbeat, record.heartbeat);
        if (advance == 0 || advance > kMaxHeartbeatAdvance) return;
        confirm_alive(record, now, actions.changed_members);
    }
    record.heartbeat = heartbeat;
    record.heartbeat_at = now;
}

void Membership::Impl::learn_echo(Record* sender, std::uint8_t heartbeat, TimePoint now) {
    if (sender == nullptr || heartbeat == 0 || sender->member->departed) return;
    const int age = heartbeat_distance(self_record_.heartbeat, heartbeat);
    if (age > kMaxEchoAge) return;
    TimePoint& last_acknowledged = sender->member->last_acknowledged;
    last_acknowledged = std::max(last_acknowledged, now - age * settings_.probe_interval);
}

void Membership::Impl::learn_heartbeats(Record* sender, const Packet& packet, TimePoint now,
                                        Actions& actions) {
    for (const auto& [hash, heartbeat] : packet.hashed_heartbeats) {
        if (hash == self_record_.hash) learn_echo(sender, heartbeat, now);
        if (Record* const record = table_.find_by_hash(hash); record != nullptr)
            learn_heartbeat(*record, heartbeat, now, actions);
    }
    if (packet.ordered_heartbeats.empty() || packet.digest != digest()) return;
    if (packet.ordered_heartbeats.size() != table_.live_count() + 1) return;
    learn_ordered_heartbeats(sender, packet, now, actions);
}

void Membership::Impl::learn_ordered_heartbeats(Record* sender, const Packet& packet, TimePoint now,
                                                Actions& actions) {
    const std::vector<std::uint8_t>& heartbeats = packet.ordered_heartbeats;
    std::size_t index = 0;
    for_each_in_order("", [&](Record& record) {
        if (&record == &self_record_) learn_echo(sender, heartbeats[index], now);
        learn_heartbeat(record, heartbeats[index], now, actions);
        return ++index < heartbeats.size();
    });
}

}    // namespace shaletray::membership
