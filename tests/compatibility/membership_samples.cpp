// Membership packets of every kind, with every form of an entry.
#include "cluster/membership/packet.h"
#include "compatibility/field_list.h"
#include "compatibility/samples.h"

namespace shaletray::compatibility {
namespace {

using membership::Entry;
using membership::MemberInfo;
using membership::Packet;
using membership::PacketKind;
using membership::Role;
using membership::State;

std::string fields_of(const Packet& packet) {
    FieldList fields;
    fields.add("kind", packet.kind).add("who", packet.wants_info).add("joined", packet.joined);
    fields.add("lighthouse", packet.from_controller)
        .add("last", packet.last_page)
        .add("more", packet.request_more);
    fields.add("check", packet.verify_suspicions)
        .add("members", packet.member_count)
        .add("number", packet.sequence_number);
    fields.add("life", packet.incarnation).add("version", packet.version).add("beat", packet.heartbeat);
    fields.add("digest", packet.digest).add("about", packet.target).add("after", packet.after_address);
    fields.add("next", packet.up_to_address).add("entries", packet.entries.size());
    for (const Entry& entry : packet.entries) {
        fields.within("entry");
        fields.add("address", entry.info.address).add("role", entry.info.role);
        fields.add("name", entry.info.name).add("zone", entry.info.zone);
        fields.add("region", entry.info.region).add("control", entry.info.control_address);
        fields.add("quorum", entry.info.voter_eligible).add("disk", entry.info.disk_id);
        fields.add("life", entry.info.incarnation).add("counts", entry.info.quota_divisor);
        fields.add("state", entry.state).add("version", entry.version);
        fields.add("brief", entry.brief).add("unheard", entry.unheard);
    }
    fields.within("");
    fields.add("row", std::string(packet.ordered_heartbeats.begin(), packet.ordered_heartbeats.end()));
    for (const auto& [hash, heartbeat] : packet.hashed_heartbeats)
        fields.add("beat.hash", hash).add("beat.beat", heartbeat);
    for (const std::uint64_t bucket : packet.digest_buckets) fields.add("bucket", bucket);
    return fields.text();
}

std::string read(std::string_view bytes) {
    const auto packet = membership::decode(bytes);
    return packet ? fields_of(*packet) : std::string(kUnreadable);
}

MessageSample sample(const std::string& name, const Packet& packet) {
    return {"membership-" + name, encode(packet), fields_of(packet), read};
}

Packet packet(PacketKind kind) {
    Packet sample;
    sample.kind = kind;
    sample.member_count = 513;
    sample.sequence_number = 0x01020304;
    sample.incarnation = 0x0001020304050607;
    sample.version = 9;
    sample.heartbeat = 254;
    sample.digest = 0xa1b2c3d4e5f60718;
    return sample;
}

Entry gateway() {
    return {{"10.1.0.30:7100", Role::Gateway, "gateway-a", "room-a", "north", "", false, 0, 1700000001, 12},
            State::Alive,
            3,
            false,
            false};
}
Entry controller() {
    return {{"10.1.0.24:7100", Role::Controller, "coordinator-a", "room-b", "north", "10.1.0.24:8080", true,
             0xd15c000000000024, 1700000002, 0},
            State::Suspect,
            4,
            false,
            true};
}
Entry named_host() {
    return {{"coordinator.example:7100", Role::Controller, "", "", "", "", false, 0, 5, 0},
            State::Dead,
            1,
            false,
            false};
}
// Carries only address, incarnation, version, state, quota divisor and disk id.
Entry brief() {
    Entry entry;
    entry.info.address = "10.1.0.31:7100";
    entry.info.incarnation = 1700000003;
    entry.info.quota_divisor = 11;
    entry.info.disk_id = 21;
    entry.state = State::Suspect;
    entry.version = 6;
    entry.brief = true;
    return entry;
}

}    // namespace

std::vector<MessageSample> membership_packet_samples() {
    Packet ping = packet(PacketKind::Ping);
    ping.wants_info = ping.from_controller = true;
    ping.ordered_heartbeats = {0, 1, 254, 255};
    ping.entries = {brief()};
    Packet ack = packet(PacketKind::Ack);
    ack.joined = true;
    ack.hashed_heartbeats = {{0xdeadbeef, 7}, {1, 255}};
    Packet relayed_ack = packet(PacketKind::Ack);
    relayed_ack.target = "10.1.0.31:7100";
    Packet ping_request = packet(PacketKind::PingRequest);
    ping_request.target = "10.1.0.31:7100";
    Packet gossip = packet(PacketKind::Gossip);
    gossip.verify_suspicions = true;
    gossip.entries = {gateway(), controller(), named_host(), brief()};
    Packet sync_request = packet(PacketKind::SyncRequest);
    sync_request.after_address = "10.1.0.24:7100";
    sync_request.digest_buckets = {1, 0, 0xffffffffffffffff, 4};
    Packet page = packet(PacketKind::SyncPage);
    page.request_more = page.joined = page.from_controller = true;
    page.after_address = "10.1.0.24:7100";
    page.up_to_address = "10.1.0.31:7100";
    page.entries = {gateway(), controller()};
    Packet last_page = packet(PacketKind::SyncPage);
    last_page.last_page = true;
    return {sample("ping", ping),
            sample("answer", ack),
            sample("answer-about", relayed_ack),
            sample("ping-for", ping_request),
            sample("told", gossip),
            sample("ask", sync_request),
            sample("page", page),
            sample("page-last", last_page)};
}

}    // namespace shaletray::compatibility
