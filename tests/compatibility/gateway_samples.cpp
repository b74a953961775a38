// The balancer: datagrams between gateways, and what a process hands over to its successor.
#include <stdexcept>

#include "balancer/handover/handover_state.h"
#include "compatibility/field_list.h"
#include "compatibility/samples.h"
#include "decision/control.h"
#include "decision/peer_message.h"

namespace shaletray::compatibility {
namespace {

using namespace std::chrono_literals;
using decision::CustomerId;
using decision::PeerEntry;
using decision::PeerHeader;
using decision::PeerMessage;

// ---- datagrams ----

std::string fields_of(const PeerMessage& message) {
    FieldList fields;
    const PeerHeader& header = message.header;
    fields.add("incarnation", header.incarnation).add("sequence", header.sequence);
    fields.add("stamp_ms", header.stamp_ms).add("echo_incarnation", header.echo_incarnation);
    fields.add("echo_stamp_ms", header.echo_stamp_ms).add("entries", message.entries.size());
    for (const PeerEntry& entry : message.entries) {
        fields.within("entry");
        fields.add("customer", entry.customer).add("free", entry.free).add("passed", entry.passed);
        fields.add("rights", entry.rights).add("introduced", entry.introduction.has_value());
        const auto introduction = entry.introduction.value_or(decision::PeerIntroduction{});
        fields.add("plan", introduction.plan).add("first_gateway", introduction.first_gateway);
        fields.add("width", introduction.width);
    }
    return fields.text();
}

std::string read_datagram(std::string_view bytes) {
    const auto message = decision::parse_peer_message({bytes.begin(), bytes.end()});
    return message ? fields_of(*message) : std::string(kUnreadable);
}

MessageSample datagram_sample(const std::string& name, const PeerMessage& message) {
    decision::PeerMessageWriter writer(message.header);
    for (const PeerEntry& entry : message.entries)
        if (!writer.add(entry)) throw std::logic_error("a sample longer than a datagram");
    const auto bytes = writer.take();
    return {"peer-datagram-" + name, {bytes.begin(), bytes.end()}, fields_of(message), read_datagram};
}

// ---- the module's state ----

decision::Settings site() {
    decision::Settings settings;
    settings.gateways = 3;
    settings.may_tell = true;
    settings.peer_messages_per_s = 40.0;
    settings.most_units = 6.0;
    decision::ClassSettings read, pay;
    read.name = "read";
    read.aim = pay.aim = 1s;
    pay.name = "pay";
    settings.classes = {read, pay};
    decision::PlanSettings plain, ceiling;
    plain.rate = ceiling.rate = 30.0;
    plain.burst = ceiling.burst = 60.0;
    ceiling.ceiling_rate = 60.0;
    ceiling.ceiling_burst = 120.0;
    ceiling.ceiling_slack = 12.0;
    settings.plans = {plain, ceiling};
    return settings;
}

constexpr decision::TimePoint kHandedOver{200s};

// Every kind of record, each field with a value of its own; as version 1 of the form defines them.
constexpr std::string_view kState =
    "module 1 100000001 199000002 17.5 0.25 3.75 0.125\n"
    "usual 0.0625 read\n"
    "usual 0.1875 pay\n"
    "server 4 90000001 95000002 1.5 1.25 20.5 2.25 199000003 3 1 0 201000004\n"
    "server 5 80000005 0 0 0.75 30.5 4.25 199000006 2 0 1 202000007\n"
    "peer 1 1764633599412000 42 77000 43 198000008 198000009 1 1\n"
    "peer 2 1764633599412001 44 77001 45 198000010 198000011 0 0\n"
    "customer 7 1 0 3 12.5 19.5 9.5 6.25 38.5 18.5 199000012\n"
    "lent 1.75 205000013\n"
    "lent 2.75 206000014\n"
    "link 1 1 8.5 197000015 9.25 197000016 10.75 -11.5\n"
    "link 2 0 0 197000017 12.25 197000018 13.75 -14.5\n"
    "customer 18446744073709551615 0 0 1 -3.5 59.5 29.5 0 0 0 199000019\n";

std::string handed_on(std::string_view state) {
    decision::Gateway gateway(site(), 1);
    std::vector<decision::Action> actions;
    gateway.handle(kHandedOver, decision::TimerFired{0}, actions);
    gateway.take_over(state, kHandedOver);
    return gateway.hand_over(kHandedOver);
}

std::string read_state(std::string_view bytes) {
    try {
        return handed_on(bytes);
    } catch (const std::invalid_argument&) {
        return std::string(kUnreadable);
    }
}

// ---- the handover around it ----

std::string fields_of(const handover::HandoverState& handover) {
    FieldList fields;
    fields.add("draining", handover.is_draining).add("module", handover.module_state);
    for (const EjectedHost& out : handover.ejected_hosts)
        fields.add("out.id", out.id).add("out.since", out.ejected_at);
    return fields.text();
}

std::string read_handover(std::string_view bytes) {
    try {
        return fields_of(handover::parse_state(bytes));
    } catch (const std::invalid_argument&) {
        return std::string(kUnreadable);
    }
}

MessageSample handover_sample(const std::string& name, const handover::HandoverState& handover) {
    return {"handover-" + name, serialize_state(handover), fields_of(handover), read_handover};
}

}    // namespace

std::vector<MessageSample> peer_datagram_samples() {
    const PeerHeader first{1764633599412000, 1, 25000, 0, 0};
    const PeerHeader later{1764633599412000, 1000, 25000, 1764633599512000, 24975};
    const std::vector<PeerEntry> entries{
        {CustomerId{0x91f03b7c55d20a64}, -3.5, -2.0, 0.0, decision::PeerIntroduction{1, 300, 135}},
        {CustomerId{1}, 1000.25, 12.125, 3.0, std::nullopt},
        {CustomerId{(1ULL << 33) - 1}, 0.0, 0.0, 0.0078125, decision::PeerIntroduction{0, 0, 2}},
        {CustomerId{0}, -0.0078125, 0.5, 0.0, std::nullopt}};
    return {datagram_sample("first", {first, {}}), datagram_sample("entries", {later, entries})};
}

std::vector<MessageSample> handover_samples() {
    return {{"handover-module-state", handed_on(kState), std::string(kState), read_state},
            handover_sample("empty", {}),
            handover_sample("draining",
                            {true,
                             {{"server-a", TimePoint(1764633599412000us)}, {"server b", TimePoint(5us)}},
                             std::string(kState)})};
}

}    // namespace shaletray::compatibility
