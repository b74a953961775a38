// Dissemination of changes as gossip: piggybacked on packets, and the newest ones eagerly.
#include <algorithm>
#include <bit>

#include "cluster/membership/membership_impl.h"

namespace shaletray::membership {

int Membership::Impl::max_transmissions() const {
    const int logarithm = static_cast<int>(std::bit_width(table_.live_count() + 1));
    return kTransmissionFactor * logarithm + kExtraTransmissions;
}

int Membership::Impl::max_eager_transmissions() const {
    return is_large() ? kEagerTransmissionsLarge : kEagerTransmissions;
}

void Membership::Impl::queue_gossip(Record& record, EntryForm form, int transmissions) {
    if (transmissions >= max_transmissions()) return;
    gossip_queue_.push(record, form, transmissions);
    if (transmissions < max_eager_transmissions()) schedule_push();
}

void Membership::Impl::add_gossip(Packet& packet, int copies, int transmission_limit) {
    std::size_t packet_bytes = estimate_size(packet);
    const std::size_t queued_count = gossip_queue_.size();
    std::vector<Record*> unfinished;
    for (std::size_t i = 0; i < queued_count; ++i) {
        if (gossip_queue_.front().transmissions >= transmission_limit) break;    // likewise all later ones
        Entry entry = gossip_queue_.front().to_entry();
        const std::size_t entry_bytes = entry_size(entry);
        if (packet_bytes + entry_bytes > settings_.max_datagram_bytes) break;
        Record& record = gossip_queue_.pop_front();
        if (is_gossip_obsolete(record)) {
            record.gossip_queued = false;
            continue;
        }
        record.transmissions += copies;
        if (record.transmissions < max_transmissions()) {
            unfinished.push_back(&record);
        } else {
            record.gossip_queued = false;
        }
        packet_bytes += entry_bytes;
        packet.entries.push_back(std::move(entry));
    }
    for (Record* record : unfinished) gossip_queue_.put_back(*record);
}

// Suspicions that are old or from before a pause, and deaths only presumed from silence, are not sent.
bool Membership::Impl::is_gossip_obsolete(const Record& record) const {
    const Member& member = *record.member;
    if (member.state == State::Suspect)
        return last_call_at_ - record.suspected_since > kSuspicionGossipTime ||
               record.suspected_since <= resumed_at_;
    return member.state == State::Dead && !member.departed;
}

void Membership::Impl::schedule_push() {
    const Duration push_interval = is_large() ? kPushIntervalLarge : kPushInterval;
    const TimePoint earliest = std::max(last_call_at_ + kEagerDelay, last_push_at_ + push_interval);
    next_push_at_ = std::min(next_push_at_, earliest);
}

void Membership::Impl::push_gossip(TimePoint now, Actions& actions) {
    next_push_at_ = TimePoint::max();
    const std::vector<Record*> peers = choose_alive(is_large() ? kEagerPeersLarge : kEagerPeers, nullptr);
    if (peers.empty() || gossip_queue_.empty()) return;
    Packet packet = make_packet(PacketKind::Gossip);
    add_gossip(packet, static_cast<int>(peers.size()), max_eager_transmissions());
    last_push_at_ = now;
    if (!packet.entries.empty()) {
        const std::string bytes = encode_fitting(packet, settings_.max_datagram_bytes);
        for (const Record* peer : peers) send_bytes(peer->address, bytes, actions);
    }
    if (!gossip_queue_.empty() && gossip_queue_.front().transmissions < max_eager_transmissions())
        schedule_push();
}

}    // namespace shaletray::membership
