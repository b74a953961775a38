// Construction, sending and handling of packets.
#include <algorithm>

#include "cluster/membership/membership_impl.h"

namespace shaletray::membership {
namespace {

// Upper estimates of encoded sizes: of a packet's header, and of each element of its lists.
constexpr std::size_t kHeaderBytes = 100;
constexpr std::size_t kHashedHeartbeatBytes = 6;
constexpr std::size_t kBucketBytes = 9;

// Cap'n Proto's packed encoding adds one tag byte per eight bytes.
constexpr std::size_t packed_size(std::size_t bytes) { return bytes * 9 / 8; }

}    // namespace

Packet Membership::Impl::make_packet(PacketKind kind, std::uint32_t sequence_number) const {
    Packet packet;
    packet.kind = kind;
    packet.sequence_number = sequence_number;
    packet.joined = joined_;
    packet.from_controller = self_member_.info.role == Role::Controller;
    packet.member_count = static_cast<std::uint16_t>(table_.live_count());
    packet.incarnation = self_member_.info.incarnation;
    packet.version = self_record_.version;
    packet.heartbeat = self_record_.heartbeat;
    packet.digest = digest();
    return packet;
}

void Membership::Impl::send_bytes(const std::string& to, std::string bytes, Actions& actions) {
    ++statistics_.sent;
    statistics_.sent_bytes += bytes.size();
    actions.sends.push_back({to, std::move(bytes)});
}

void Membership::Impl::send_packet(const std::string& to, Packet& packet, Actions& actions) {
    send_bytes(to, encode_fitting(packet, settings_.max_datagram_bytes), actions);
}

std::size_t Membership::Impl::estimate_size(const Packet& packet) {
    std::size_t bytes = kHeaderBytes + packet.hashed_heartbeats.size() * kHashedHeartbeatBytes +
                        packed_size(packet.ordered_heartbeats.size()) +
                        packet.digest_buckets.size() * kBucketBytes;
    for (const Entry& entry : packet.entries) bytes += entry_size(entry);
    return bytes;
}

void Membership::Impl::handle_packet(const std::string& from, const Packet& packet, TimePoint now,
                                     Actions& actions) {
    Reception reception{from, packet, now, actions, table_.find(from)};
    bool was_unreachable = false;
    std::uint32_t previous_version = 0;
    if (const Record* const sender = reception.sender; sender != nullptr) {
        const bool same_incarnation = has_sender_incarnation(reception);
        if (sender->member->departed && same_incarnation) return;    // sent before its departure
        if (packet.incarnation < sender->member->info.incarnation)
            reception.corrections.push_back(sender->to_full_entry());
        was_unreachable = sender->member->state != State::Alive && same_incarnation;
        previous_version = sender->version;
    }
    merge_entries(reception);
    reception.sender = table_.find(from);
    reception.is_fresh = is_fresh(packet, now);
    reception.wants_info = needs_sender_info(reception);
    if (reception.is_fresh) {
        confirm_sender(reception, was_unreachable, previous_version);
        learn_from_sender(reception);
    }
    dispatch_packet(reception);
}

// Right after a pause, only acks of pings sent since then are known to be new.
bool Membership::Impl::is_fresh(const Packet& packet, TimePoint now) const {
    if (resumed_at_ == TimePoint{} || now - resumed_at_ > kPauseDrainTime) return true;
    return packet.kind == PacketKind::Ack &&
           static_cast<std::int32_t>(packet.sequence_number - sequence_at_resume_) > 0;
}

bool Membership::Impl::has_sender_incarnation(const Reception& reception) const {
    return reception.sender != nullptr &&
           reception.packet.incarnation == reception.sender->member->info.incarnation;
}

bool Membership::Impl::needs_sender_info(const Reception& reception) const {
    const Record* const sender = reception.sender;
    if (sender == nullptr) return !table_.full();
    if (sender->member->departed) return false;
    const std::uint64_t known_incarnation = sender->member->info.incarnation;
    if (reception.packet.incarnation != known_incarnation)
        return reception.packet.incarnation > known_incarnation;
    return reception.packet.version > sender->version;
}

// Records that the sender runs. If it was considered unreachable, it is sent its own entry as Suspect, which
// it refutes by a new version.
void Membership::Impl::confirm_sender(Reception& reception, bool was_unreachable,
                                      std::uint32_t previous_version) {
    if (!has_sender_incarnation(reception) || reception.sender->member->departed) return;
    if (!reception.packet.target.empty()) return;    // a relayed ack, which is about a third member
    Record& sender = *reception.sender;
    sender.heartbeat = reception.packet.heartbeat;
    sender.heartbeat_at = reception.now;
    confirm_alive(sender, reception.now, reception.actions.changed_members);
    if (!was_unreachable || sender.version != previous_version) return;
    Entry entry = sender.to_entry();
    entry.state = State::Suspect;
    reception.corrections.push_back(std::move(entry));
}

void Membership::Impl::learn_from_sender(Reception& reception) {
    const Packet& packet = reception.packet;
    Record* const sender = has_sender_incarnation(reception) ? reception.sender : nullptr;
    if (sender != nullptr) {
        if (packet.digest == digest() || packet.member_count <= table_.live_count())
            sender->member->last_in_sync = reception.now;
        if (packet.kind == PacketKind::SyncPage)    // a reply to a request of this process
            sender->member->last_acknowledged = reception.now;
    }
    learn_heartbeats(sender, packet, reception.now, reception.actions);
}

void Membership::Impl::dispatch_packet(Reception& reception) {
    const std::string& from = reception.from;
    const Packet& packet = reception.packet;
    const TimePoint now = reception.now;
    Actions& actions = reception.actions;
    switch (packet.kind) {
        case PacketKind::Ping:
            answer_ping(reception);
            compare_digest(from, packet, now, actions);
            break;
        case PacketKind::Ack:
            handle_ack(from, packet, now, actions);
            send_corrections(reception);
            if (packet.target.empty()) compare_digest(from, packet, now, actions);
            break;
        case PacketKind::PingRequest:
            relay_ping(from, packet, actions);
            send_corrections(reception);
            break;
        case PacketKind::Gossip: send_corrections(reception); break;
        case PacketKind::SyncRequest:
            send_corrections(reception);
            send_sync_pages(from, packet, actions);
            break;
        case PacketKind::SyncPage:
            handle_sync_page(reception);
            send_corrections(reception);
            break;
    }
}

void Membership::Impl::answer_ping(Reception& reception) {
    Packet ack = make_packet(PacketKind::Ack, reception.packet.sequence_number);
    add_reply_entries(ack, reception);
    add_gossip(ack, 1, max_transmissions());
    if (reception.packet.digest == digest()) {
        add_ordered_heartbeats(ack, reception.now);
    } else {
        add_hashed_heartbeats(ack, reception.now);
    }
    send_packet(reception.from, ack, reception.actions);
}

// Sends corrections to the sender, and requests its full entry if needed. Sends nothing if there is neither.
void Membership::Impl::send_corrections(Reception& reception) {
    if (!reception.wants_info && !reception.packet.wants_info && reception.corrections.empty()) return;
    Packet gossip = make_packet(PacketKind::Gossip);
    add_reply_entries(gossip, reception);
    add_gossip(gossip, 1, max_transmissions());
    send_packet(reception.from, gossip, reception.actions);
}

void Membership::Impl::add_reply_entries(Packet& reply, Reception& reception) {
    std::vector<Entry>& corrections = reception.corrections;
    reply.wants_info = reception.wants_info;
    reply.verify_suspicions = !corrections.empty();
    if (corrections.size() > kMaxCorrections) corrections.resize(kMaxCorrections);
    for (Entry& entry : corrections) reply.entries.push_back(std::move(entry));
    if (reception.packet.wants_info) reply.entries.push_back(self_record_.to_full_entry());
}

}    // namespace shaletray::membership
