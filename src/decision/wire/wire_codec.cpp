#include "decision/wire/wire_codec.h"

#include <array>
#include <charconv>
#include <cmath>
#include <limits>
#include <unordered_map>

namespace shaletray::decision::wire {
namespace {

[[noreturn]] void bad_field(const std::string& event, const std::string& field, const std::string& what) {
    throw BadMessage("event " + event + ", field " + field + ": " + what);
}

// Typed access to the fields of one object; `where` names it in errors.
struct Fields {
    const Json& object;
    std::string where;

    const Json* find(const char* name) const {
        if (!object.is_object()) bad_field(where, name, "its parent is not an object");
        const auto it = object.find(name);
        return it == object.end() || it->is_null() ? nullptr : &*it;
    }
    double number(const char* name, double fallback) const {
        const Json* value = find(name);
        if (value == nullptr) return fallback;
        if (!value->is_number()) bad_field(where, name, "not a number");
        return value->get<double>();
    }
    std::int64_t integer(const char* name, std::int64_t fallback) const {
        const Json* value = find(name);
        if (value == nullptr) return fallback;
        if (!value->is_number()) bad_field(where, name, "not a whole number");
        if (value->is_number_float()) {
            const double number = value->get<double>();
            if (number != std::floor(number) || std::abs(number) > 9e15) {
                bad_field(where, name, "not a whole number");
            }
            return static_cast<std::int64_t>(number);
        }
        if (value->is_number_unsigned() && value->get<std::uint64_t>() > INT64_MAX) {
            bad_field(where, name, "out of range");
        }
        return value->get<std::int64_t>();
    }
    std::int64_t required(const char* name) const {
        if (find(name) == nullptr) bad_field(where, name, "missing");
        return integer(name, 0);
    }
    int small(const char* name, std::int64_t value) const {
        if (value < std::numeric_limits<int>::min() || value > std::numeric_limits<int>::max()) {
            bad_field(where, name, "out of range");
        }
        return static_cast<int>(value);
    }
    int small_or(const char* name, int fallback) const { return small(name, integer(name, fallback)); }
    std::uint32_t id(const char* name) const {
        const std::int64_t value = required(name);
        if (value < 0 || value > UINT32_MAX) bad_field(where, name, "not an id");
        return static_cast<std::uint32_t>(value);
    }
    Duration duration(const char* name) const { return Duration(integer(name, 0)); }
    bool flag(const char* name) const {
        const Json* value = find(name);
        if (value == nullptr) return false;
        if (!value->is_boolean()) bad_field(where, name, "not true or false");
        return value->get<bool>();
    }
    std::string text(const char* name, bool required_field = true) const {
        const Json* value = find(name);
        if (value == nullptr) {
            if (required_field) bad_field(where, name, "missing");
            return {};
        }
        if (!value->is_string()) bad_field(where, name, "not text");
        return value->get<std::string>();
    }
    // An absent object reads as one without fields, an absent list as an empty one.
    Fields inner(const char* name) const {
        static const Json kEmpty = Json::object();
        const Json* value = find(name);
        if (value != nullptr && !value->is_object()) bad_field(where, name, "not an object");
        return {value == nullptr ? kEmpty : *value, where + "." + name};
    }
    const Json& list(const char* name) const {
        static const Json kEmpty = Json::array();
        const Json* value = find(name);
        if (value != nullptr && !value->is_array()) bad_field(where, name, "not a list");
        return value == nullptr ? kEmpty : *value;
    }
};

Outcome parse_outcome(const Fields& fields) {
    switch (fields.required("status")) {
        case 200: return Outcome::Ok;
        case 502: return Outcome::Error;
        case 429: return Outcome::Full;
        case 408: return Outcome::Timeout;
        case 521: return Outcome::ConnectFailed;
        case 520: return Outcome::Reset;
        case 444: return Outcome::Cancelled;
        case 409: return Outcome::NotSent;
        default: bad_field(fields.where, "status", "unknown outcome");
    }
}

LoadReport parse_report(const Fields& fields) {
    LoadReport report;
    const Fields load = fields.inner("telemetry");
    for (const auto& [name, value] : load.object.items()) {
        if (!value.is_number()) bad_field(load.where, name, "not a number");
        report.emplace(name, value.get<double>());
    }
    return report;
}

HostList parse_list(const Fields& fields) {
    HostList list;
    const std::string how = fields.text("how");
    if (how == "full") list.kind = ListKind::Full;
    else if (how == "delta") list.kind = ListKind::Delta;
    else if (how == "cached") list.kind = ListKind::Cached;
    else if (how == "failed") list.kind = ListKind::Failed;
    else bad_field(fields.where, "how", "unknown kind of list");
    for (const Json& line : fields.list("lines")) {
        const Fields entry{line, fields.where + ".lines"};
        HostEntry host;
        host.host = HostId{entry.id("host")};
        const std::string state = entry.text("state");
        if (state == "healthy") host.state = HostState::Healthy;
        else if (state == "cordoned") host.state = HostState::Draining;
        else if (state == "deregistered") host.state = HostState::Gone;
        else bad_field(entry.where, "state", "unknown state");
        host.born = TimePoint(entry.duration("born"));
        host.rating = entry.number("rating", 1.0);
        host.kind = entry.small_or("kind", 0);
        host.zone = entry.small_or("az", 0);
        host.cell = entry.small_or("unitGroup", 0);
        list.hosts.push_back(host);
    }
    return list;
}

CustomerId parse_customer(const Fields& fields) {
    const std::string text = fields.text("member");
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    if (error != std::errc{} || end != text.data() + text.size() || text.size() != 16) {
        bad_field(fields.where, "member", "not 16 hex digits");
    }
    return CustomerId{value};
}

RequestArrived parse_request(const Fields& fields) {
    RequestArrived request;
    request.request = RequestId{fields.id("msgId")};
    request.customer = parse_customer(fields);
    request.class_index = fields.small_or("profile", 0);
    request.plan_index = fields.small_or("tariff", 0);
    request.units = fields.number("sizeUnits", 0.0);
    request.budget = Duration(fields.required("budget"));
    request.first_gateway = fields.small_or("fromNo", 0);
    request.width = fields.small_or("width", 1);
    return request;
}

constexpr char kBase64[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::array<std::int8_t, 256> base64_values() {
    std::array<std::int8_t, 256> values{};
    values.fill(-1);
    for (int i = 0; i < 64; ++i) values[static_cast<unsigned char>(kBase64[i])] = static_cast<std::int8_t>(i);
    return values;
}

Json fields_of(const Send& action) {
    return {{"msgId", static_cast<std::uint32_t>(action.request)},
            {"host", static_cast<std::uint32_t>(action.host)},
            {"limit", action.limit.count()}};
}
Json fields_of(const CancelAttempt& action) {
    return {{"msgId", static_cast<std::uint32_t>(action.request)}, {"n", action.attempt}};
}
Json fields_of(const Refuse& action) {
    return {{"msgId", static_cast<std::uint32_t>(action.request)}, {"wait", action.retry_after.count()}};
}
Json fields_of(const Fail& action) { return {{"msgId", static_cast<std::uint32_t>(action.request)}}; }
Json fields_of(const SetTimer& action) {
    return {{"time", action.at.time_since_epoch().count()}, {"tag", std::to_string(action.token)}};
}
Json fields_of(const Probe& action) { return {{"host", static_cast<std::uint32_t>(action.host)}}; }
Json fields_of(const TellPeer& action) {
    return {{"whom", static_cast<std::int32_t>(action.peer)}, {"octets", base64_encode(action.bytes)}};
}
Json fields_of(const Subscribe&) { return {{"on", true}}; }

constexpr std::array<const char*, std::variant_size_v<Action>> kActionNames = {
    "ROUTE", "STOP_ATTEMPT", "REJECT", "LOSE", "SLEEP", "POLL", "MEMO_TO", "STREAM_CHANGES"};

}    // namespace

std::int64_t Message::integer(const char* field) const { return Fields{fields, name}.required(field); }
std::int64_t Message::integer_or(const char* field, std::int64_t fallback) const {
    return Fields{fields, name}.integer(field, fallback);
}
double Message::number_or(const char* field, double fallback) const {
    return Fields{fields, name}.number(field, fallback);
}
std::string Message::text(const char* field) const { return Fields{fields, name}.text(field); }

Message parse_line(const std::string& line) {
    Json value = Json::parse(line, nullptr, false);
    if (value.is_discarded()) throw BadMessage("event ?, field ?: not JSON");
    if (!value.is_object() || value.size() != 1)
        throw BadMessage("event ?, field ?: not an object with one key");
    const auto it = value.begin();
    if (!it.value().is_object()) bad_field(it.key(), "?", "the event is not an object");
    return {it.key(), std::move(it.value())};
}

Settings parse_settings(const Json& setup) {
    const Fields top{setup, "BOOT.setup"};
    Settings settings;
    settings.me = top.small_or("me", 0);
    settings.gateways = top.small_or("replicasOfMe", 1);
    settings.zone = top.small_or("zone", 0);
    for (const Json& item : top.list("classes")) {
        const Fields fields{item, "BOOT.setup.classes"};
        ClassSettings request_class;
        request_class.name = fields.text("name", false);
        const std::string repeat = fields.text("idempotency");
        if (repeat == "safe") request_class.repeat = Repeat::Safe;
        else if (repeat == "keyed") request_class.repeat = Repeat::Keyed;
        else if (repeat == "unsafe") request_class.repeat = Repeat::Unsafe;
        else bad_field(fields.where, "idempotency", "unknown");
        const std::string group = fields.text("group", false);
        request_class.group = group == "cell"   ? KeyGroup::Cell
                              : group == "zone" ? KeyGroup::Zone
                                                : KeyGroup::All;
        request_class.window = fields.duration("window");
        request_class.aim = fields.duration("slo");
        request_class.give_up = fields.duration("hardLimit");
        request_class.worth = fields.number("gain", 1.0);
        request_class.late_share = fields.number("lateShare", 0.0);
        settings.classes.push_back(request_class);
    }
    for (const Json& item : top.list("tiersOfService")) {
        const Fields fields{item, "BOOT.setup.tiersOfService"};
        PlanSettings plan;
        plan.name = fields.text("name", false);
        plan.rate = fields.number("unitsPerS", 0.0);
        plan.burst = fields.number("peakUnits", 0.0);
        plan.max_out = fields.small_or("maxOut", 0);
        plan.ceiling_rate = fields.number("ceilingRate", 0.0);
        plan.ceiling_burst = fields.number("hardBurst", 0.0);
        plan.ceiling_slack = fields.number("hardSlack", 0.0);
        plan.price = fields.number("pays", 1.0);
        plan.over_worth = fields.number("overWorth", 0.0);
        plan.over_cost = fields.number("overCost", 0.0);
        settings.plans.push_back(plan);
    }
    const Fields limits = top.inner("limits");
    settings.send_cap = limits.small_or("sendCap", 1);
    settings.second_copies = limits.flag("secondCopies");
    settings.may_cancel = limits.flag("mayCancel");
    settings.may_probe = limits.flag("mayProbe");
    settings.may_tell = limits.flag("mayTell");
    settings.max_retry_after = limits.flag("retryAfter") ? limits.duration("maxRetryAfter") : Duration(0);
    settings.max_open = limits.small_or("maxOpen", settings.max_open);
    const Fields rules = top.inner("rules");
    settings.drain_grace = rules.duration("drainGrace");
    settings.cold = rules.duration("cold");
    settings.start_capacity = rules.number("startCapacity", 1.0);
    settings.fall_multiple = rules.number("fallMultiple", 1.0);
    settings.fall = rules.duration("fall");
    settings.ask_for_list = top.text("membershipMode", false) == "ask";
    const std::string via = top.inner("loadInfo").text("via", false);
    settings.reports = via == "inline"     ? ReportVia::Inline
                       : via == "on_probe" ? ReportVia::Probe
                                           : ReportVia::Off;
    const Fields specifics = top.inner("specifics");
    settings.peer_messages_per_s = specifics.number("mailPerS", 0.0);
    settings.most_units = specifics.number("mostUnits", 1.0);
    settings.settles = specifics.flag("settles");
    return settings;
}

bool parse_event(const Message& message, Event& event) {
    const Fields fields{message.fields, message.name};
    const std::string& name = message.name;
    if (name == "REQUEST") {
        event = parse_request(fields);
    } else if (name == "FINISHED") {
        AttemptFinished finished;
        finished.request = RequestId{fields.id("msgId")};
        finished.attempt = fields.small_or("n", 0);
        finished.host = HostId{fields.id("host")};
        finished.outcome = parse_outcome(fields);
        finished.took = fields.duration("costTime");
        finished.settled_units = fields.number("cost", 0.0);
        finished.final = fields.flag("final");
        finished.report = parse_report(fields);
        event = std::move(finished);
    } else if (name == "STARTED") {
        event =
            AttemptStarted{RequestId{fields.id("msgId")}, fields.small_or("n", 0), HostId{fields.id("host")}};
    } else if (name == "ABORTED") {
        event = RequestAborted{RequestId{fields.id("msgId")}};
    } else if (name == "ELAPSED") {
        const std::string tag = fields.text("tag");
        std::uint64_t token = 0;
        const auto [end, error] = std::from_chars(tag.data(), tag.data() + tag.size(), token);
        if (error != std::errc{} || end != tag.data() + tag.size())
            bad_field(name, "tag", "not a timer of this module");
        event = TimerFired{token};
    } else if (name == "CHECKED") {
        event = ProbeFinished{HostId{fields.id("host")}, parse_outcome(fields), fields.duration("costTime"),
                              parse_report(fields)};
    } else if (name == "DISCOVERY") {
        event = parse_list(fields);
    } else if (name == "PEER_DATA") {
        const int from = fields.small("from", fields.required("from"));
        try {
            event = PeerBytes{PeerId{from}, base64_decode(fields.text("octets"))};
        } catch (const std::invalid_argument& error) {
            bad_field(name, "octets", error.what());
        }
    } else if (name == "SUM") {
        return false;
    } else {
        throw BadMessage("event " + name + ", field ?: unknown event");
    }
    return true;
}

void write_action(std::int64_t who, const Action& action, std::string& out) {
    Json fields = std::visit([](const auto& typed) { return fields_of(typed); }, action);
    fields["who"] = who;
    out += Json{{kActionNames[action.index()], std::move(fields)}}.dump();
    out += '\n';
}

std::string base64_encode(const std::vector<std::uint8_t>& bytes) {
    std::string out;
    out.reserve((bytes.size() + 2) / 3 * 4);
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        const std::size_t left = std::min<std::size_t>(3, bytes.size() - i);
        std::uint32_t chunk = 0;
        for (std::size_t k = 0; k < 3; ++k) chunk = chunk << 8 | (k < left ? bytes[i + k] : 0U);
        for (std::size_t k = 0; k < 4; ++k) {
            out += k <= left ? kBase64[chunk >> (18 - 6 * k) & 63] : '=';
        }
    }
    return out;
}

std::vector<std::uint8_t> base64_decode(const std::string& text) {
    static const std::array<std::int8_t, 256> kValues = base64_values();
    if (text.size() % 4 != 0) throw std::invalid_argument("not padded base64");
    std::vector<std::uint8_t> out;
    out.reserve(text.size() / 4 * 3);
    for (std::size_t i = 0; i < text.size(); i += 4) {
        std::uint32_t chunk = 0;
        std::size_t padding = 0;
        for (std::size_t k = 0; k < 4; ++k) {
            const char c = text[i + k];
            const bool may_pad = k >= 2 && i + 4 == text.size();
            if (c == '=' && may_pad) {
                ++padding;
                chunk <<= 6;
                continue;
            }
            const std::int8_t value = kValues[static_cast<unsigned char>(c)];
            if (value < 0 || padding > 0) throw std::invalid_argument("not base64");
            chunk = chunk << 6 | static_cast<std::uint32_t>(value);
        }
        for (std::size_t k = 0; k < 3 - padding; ++k) {
            out.push_back(static_cast<std::uint8_t>(chunk >> (16 - 8 * k)));
        }
    }
    return out;
}

}    // namespace shaletray::decision::wire
