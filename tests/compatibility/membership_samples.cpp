// Membership packets of every kind, with every form of an entry.
#include "cluster/membership/packet.h"
#include "compatibility/field_list.h"
#include "compatibility/samples.h"

namespace shaletray::compatibility {
namespace {

using membership::Entry;
using membership::Facts;
using membership::Kind;
using membership::Packet;
using membership::Role;
using membership::State;

std::string fields_of(const Packet& packet) {
    FieldList fields;
    fields.add("kind", packet.kind).add("who", packet.who).add("joined", packet.joined);
    fields.add("lighthouse", packet.lighthouse).add("last", packet.last).add("more", packet.more);
    fields.add("check", packet.check).add("members", packet.members).add("number", packet.number);
    fields.add("life", packet.life).add("version", packet.version).add("beat", packet.beat);
    fields.add("digest", packet.digest).add("about", packet.about).add("after", packet.after);
    fields.add("next", packet.next).add("entries", packet.entries.size());
    for (const Entry& entry : packet.entries) {
        fields.within("entry");
        fields.add("address", entry.facts.address).add("role", entry.facts.role);
        fields.add("name", entry.facts.name).add("zone", entry.facts.zone);
        fields.add("region", entry.facts.region).add("control", entry.facts.control);
        fields.add("quorum", entry.facts.quorum).add("disk", entry.facts.disk);
        fields.add("life", entry.facts.life).add("counts", entry.facts.counts);
        fields.add("state", entry.state).add("version", entry.version);
        fields.add("brief", entry.brief).add("unheard", entry.unheard);
    }
    fields.within("");
    fields.add("row", std::string(packet.row.begin(), packet.row.end()));
    for (const auto& [hash, beat] : packet.beats) fields.add("beat.hash", hash).add("beat.beat", beat);
    for (const std::uint64_t bucket : packet.buckets) fields.add("bucket", bucket);
    return fields.text();
}

std::string read(std::string_view bytes) {
    const auto packet = membership::decode(bytes);
    return packet ? fields_of(*packet) : std::string(kUnreadable);
}

MessageSample sample(const std::string& name, const Packet& packet) {
    return {"membership-" + name, encode(packet), fields_of(packet), read};
}

Packet packet(Kind kind) {
    Packet sample;
    sample.kind = kind;
    sample.members = 513;
    sample.number = 0x01020304;
    sample.life = 0x0001020304050607;
    sample.version = 9;
    sample.beat = 254;
    sample.digest = 0xa1b2c3d4e5f60718;
    return sample;
}

Entry gateway() {
    return {{"10.1.0.30:7100", Role::Pilot, "gateway-a", "room-a", "north", "", false, 0, 1700000001, 12},
            State::Alive,
            3,
            false,
            false};
}
Entry coordinator() {
    return {{"10.1.0.24:7100", Role::Lighthouse, "coordinator-a", "room-b", "north", "10.1.0.24:8080", true,
             0xd15c000000000024, 1700000002, 0},
            State::Suspected,
            4,
            false,
            true};
}
Entry named_host() {
    return {{"coordinator.example:7100", Role::Lighthouse, "", "", "", "", false, 0, 5, 0},
            State::Gone,
            1,
            false,
            false};
}
// Only its address, life, state, counts and disk are told.
Entry brief() {
    Entry entry;
    entry.facts.address = "10.1.0.31:7100";
    entry.facts.life = 1700000003;
    entry.facts.counts = 11;
    entry.facts.disk = 21;
    entry.state = State::Suspected;
    entry.version = 6;
    entry.brief = true;
    return entry;
}

}    // namespace

std::vector<MessageSample> membership_packet_samples() {
    Packet ping = packet(Kind::Ping);
    ping.who = ping.lighthouse = true;
    ping.row = {0, 1, 254, 255};
    ping.entries = {brief()};
    Packet answer = packet(Kind::Answer);
    answer.joined = true;
    answer.beats = {{0xdeadbeef, 7}, {1, 255}};
    Packet answer_about = packet(Kind::Answer);
    answer_about.about = "10.1.0.31:7100";
    Packet ping_for = packet(Kind::PingFor);
    ping_for.about = "10.1.0.31:7100";
    Packet told = packet(Kind::Told);
    told.check = true;
    told.entries = {gateway(), coordinator(), named_host(), brief()};
    Packet ask = packet(Kind::Ask);
    ask.after = "10.1.0.24:7100";
    ask.buckets = {1, 0, 0xffffffffffffffff, 4};
    Packet page = packet(Kind::Page);
    page.more = page.joined = page.lighthouse = true;
    page.after = "10.1.0.24:7100";
    page.next = "10.1.0.31:7100";
    page.entries = {gateway(), coordinator()};
    Packet last_page = packet(Kind::Page);
    last_page.last = true;
    return {sample("ping", ping),         sample("answer", answer),      sample("answer-about", answer_about),
            sample("ping-for", ping_for), sample("told", told),          sample("ask", ask),
            sample("page", page),         sample("page-last", last_page)};
}

}    // namespace shaletray::compatibility
