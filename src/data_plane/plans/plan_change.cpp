#include "data_plane/plans/plan_change.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <xxhash.h>

#include <charconv>
#include <cmath>
#include <ctime>
#include <nlohmann/json.hpp>
#include <set>

namespace shaletray::plans {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kMaxTextLength = 4096;    // bytes of one change; no legitimate one is as long

std::int64_t to_microseconds(TimePoint time) { return time.time_since_epoch().count(); }

Json body_to_json(const ChangeBody& body) {
    struct BodyToJson {
        Json operator()(const DefinePlan& definition) const {
            return {{"kind", "define"},
                    {"plan", definition.plan_name},
                    {"like", definition.base_plan},
                    {"rate", definition.terms.rate},
                    {"burst", definition.terms.burst},
                    {"ceiling_rate", definition.terms.ceiling_rate},
                    {"ceiling_burst", definition.terms.ceiling_burst},
                    {"ceiling_slack", definition.terms.ceiling_slack}};
        }
        Json operator()(const WithdrawPlan& withdrawal) const {
            return {{"kind", "withdraw"}, {"plan", withdrawal.plan}, {"successor", withdrawal.successor}};
        }
        Json operator()(const AssignPlan& assignment) const {
            return {{"kind", "assign"},
                    {"customer", format_customer(assignment.customer)},
                    {"plan", assignment.plan}};
        }
        Json operator()(const MakeReservation& reservation) const {
            return {{"kind", "reserve"},
                    {"id", reservation.reservation_id},
                    {"customer", format_customer(reservation.customer)},
                    {"units", reservation.units},
                    {"plan", reservation.plan},
                    {"from", to_microseconds(reservation.starts_at)},
                    {"until", to_microseconds(reservation.ends_at)}};
        }
        Json operator()(const ReleaseReservation& reservation) const {
            return {{"kind", "release"}, {"id", reservation.reservation_id}};
        }
    };
    return std::visit(BodyToJson{}, body);
}

// Reads the fields of one JSON object. Unknown fields are errors, since ignoring them would lose data
// silently.
class FieldReader {
public:
    explicit FieldReader(std::string_view text) {
        if (text.size() > kMaxTextLength) throw InvalidChange("longer than 4096 bytes");
        json_ = Json::parse(text, nullptr, false);
        if (!json_.is_object()) throw InvalidChange("expected one JSON object");
    }
    std::string read_text(const char* name, bool required = true) {
        const Json* const field_value = find(name, required);
        if (field_value == nullptr) return {};
        if (!field_value->is_string())
            throw InvalidChange(fmt::format("{}: expected a string, found {}", name, field_value->dump()));
        return field_value->get<std::string>();
    }
    double read_number(const char* name, bool required = true) {
        const Json* const field_value = find(name, required);
        if (field_value == nullptr) return 0.0;
        if (!field_value->is_number())
            throw InvalidChange(fmt::format("{}: expected a number, found {}", name, field_value->dump()));
        return field_value->get<double>();
    }
    std::uint64_t read_integer(const char* name, bool required = true) {
        const Json* const field_value = find(name, required);
        if (field_value == nullptr) return 0;
        if (!field_value->is_number_unsigned())
            throw InvalidChange(
                fmt::format("{}: expected a whole number from 0, found {}", name, field_value->dump()));
        return field_value->get<std::uint64_t>();
    }
    std::optional<TimePoint> read_time(const char* name, bool required = true) {
        const Json* const field_value = find(name, required);
        if (field_value == nullptr) return std::nullopt;
        if (field_value->is_number_integer()) return TimePoint(Duration(field_value->get<std::int64_t>()));
        const auto parsed_time =
            field_value->is_string() ? parse_time(field_value->get<std::string>()) : std::nullopt;
        if (!parsed_time)
            throw InvalidChange(fmt::format("{}: expected a time such as 2026-12-01T08:00:00Z, found {}",
                                            name, field_value->dump()));
        return parsed_time;
    }
    CustomerId read_customer(const char* name) {
        const std::string digits = read_text(name);
        const auto customer_id = parse_customer(digits);
        if (!customer_id)
            throw InvalidChange(
                fmt::format("{}: expected sixteen hexadecimal digits, found \"{}\"", name, digits));
        return *customer_id;
    }
    void reject_unread_fields() const {
        for (const auto& [name, value] : json_.items()) {
            if (!read_fields_.contains(name))
                throw InvalidChange(fmt::format("{}: no such field here", name));
        }
    }

private:
    const Json* find(const char* name, bool required) {
        read_fields_.insert(name);
        const auto found = json_.find(name);
        if (found != json_.end()) return &*found;
        if (required) throw InvalidChange(fmt::format("{}: missing", name));
        return nullptr;
    }
    Json json_;
    std::set<std::string, std::less<>> read_fields_;
};

ChangeBody parse_body(FieldReader& reader) {
    const std::string kind = reader.read_text("kind");
    if (kind == "define") {
        return DefinePlan{
            reader.read_text("plan"), reader.read_text("like"),
            PlanTerms{reader.read_number("rate"), reader.read_number("burst"),
                      reader.read_number("ceiling_rate", false), reader.read_number("ceiling_burst", false),
                      reader.read_number("ceiling_slack", false)}};
    }
    if (kind == "withdraw")
        return WithdrawPlan{reader.read_text("plan"), reader.read_text("successor", false)};
    if (kind == "assign")
        return AssignPlan{reader.read_customer("customer"), reader.read_text("plan", false)};
    if (kind == "reserve") {
        return MakeReservation{reader.read_text("id"),      reader.read_customer("customer"),
                               reader.read_number("units"), *reader.read_time("from"),
                               *reader.read_time("until"),  reader.read_text("plan", false)};
    }
    if (kind == "release") return ReleaseReservation{reader.read_text("id")};
    throw InvalidChange(
        fmt::format("kind: expected define, withdraw, assign, reserve or release, found \"{}\"", kind));
}

Json change_to_json(const PlanChange& change) {
    Json json = body_to_json(change.body);
    json.update({{"version", change.version},
                 {"against", change.expected_version},
                 {"made", to_microseconds(change.made_at)},
                 {"at", to_microseconds(change.effective_at)},
                 {"author", change.author},
                 {"note", change.note},
                 {"request", change.request_key}});
    return json;
}

}    // namespace

std::string format_customer(CustomerId customer_id) {
    return fmt::format("{:016x}", static_cast<std::uint64_t>(customer_id));
}

std::optional<CustomerId> parse_customer(std::string_view text) {
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, 16);
    if (text.size() != 16 || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return CustomerId{number};
}

std::optional<TimePoint> parse_time(std::string_view text) {
    std::int64_t number = 0;
    const char* const last = text.data() + text.size();
    if (const auto [end, error] = std::from_chars(text.data(), last, number);
        error == std::errc{} && end == last && number >= 0)
        return TimePoint(Duration(number));
    const std::string terminated_text(text);
    std::tm tm{};
    const char* rest = strptime(terminated_text.c_str(), "%Y-%m-%dT%H:%M:%S", &tm);
    if (rest == nullptr) return std::nullopt;
    double fraction = 0.0;
    if (*rest == '.') {
        const auto [end, error] =
            std::from_chars(rest, terminated_text.c_str() + terminated_text.size(), fraction);
        if (error != std::errc{} || !(fraction >= 0.0 && fraction < 1.0)) return std::nullopt;
        rest = end;
    }
    if (std::string_view(rest) != "Z") return std::nullopt;
    // strptime accepts days like the 31st of February, which the calendar does not have.
    const int day = tm.tm_mday;
    const std::int64_t seconds = timegm(&tm);
    const std::time_t unix_seconds = seconds;
    std::tm calendar_time{};
    if (seconds < 0 || gmtime_r(&unix_seconds, &calendar_time) == nullptr || calendar_time.tm_mday != day)
        return std::nullopt;
    return TimePoint(Duration(seconds * 1'000'000 + std::llround(fraction * 1e6)));
}

std::string format_time(TimePoint time) {
    const std::int64_t microseconds = to_microseconds(time);
    const std::int64_t whole_seconds =
        microseconds >= 0 ? microseconds / 1'000'000 : -((-microseconds + 999'999) / 1'000'000);
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06}Z", fmt::gmtime(static_cast<std::time_t>(whole_seconds)),
                       microseconds - whole_seconds * 1'000'000);
}

std::string subject_of(const ChangeBody& body) {
    struct SubjectName {
        std::string operator()(const DefinePlan& definition) const { return "plan:" + definition.plan_name; }
        std::string operator()(const WithdrawPlan& withdrawal) const { return "plan:" + withdrawal.plan; }
        std::string operator()(const AssignPlan& assignment) const {
            return "customer:" + format_customer(assignment.customer);
        }
        std::string operator()(const MakeReservation& reservation) const {
            return "reservation:" + reservation.reservation_id;
        }
        std::string operator()(const ReleaseReservation& reservation) const {
            return "reservation:" + reservation.reservation_id;
        }
    };
    return std::visit(SubjectName{}, body);
}

std::uint64_t chain_hash(std::uint64_t previous_hash, const PlanChange& change) {
    const std::string text = change_to_json(change).dump();
    return XXH64(text.data(), text.size(), previous_hash);
}

std::string serialize_change(const PlanChange& change) {
    Json json = change_to_json(change);
    json["chain"] = change.chain_hash;
    return json.dump();
}

PlanChange parse_change(std::string_view text) {
    FieldReader reader(text);
    PlanChange change;
    change.body = parse_body(reader);
    change.version = reader.read_integer("version");
    change.expected_version = reader.read_integer("against");
    change.made_at = *reader.read_time("made");
    change.effective_at = *reader.read_time("at");
    change.author = reader.read_text("author");
    change.note = reader.read_text("note");
    change.request_key = reader.read_text("request");
    change.chain_hash = reader.read_integer("chain");
    reader.reject_unread_fields();
    return change;
}

std::string serialize_proposal(const ChangeProposal& proposal) {
    Json json = body_to_json(proposal.body);
    json.update({{"against", proposal.expected_version},
                 {"author", proposal.author},
                 {"note", proposal.note},
                 {"request", proposal.request_key}});
    if (proposal.effective_at) json["at"] = to_microseconds(*proposal.effective_at);
    return json.dump();
}

ChangeProposal parse_proposal(std::string_view text) {
    FieldReader reader(text);
    ChangeProposal proposal;
    proposal.body = parse_body(reader);
    proposal.expected_version = reader.read_integer("against", false);
    proposal.effective_at = reader.read_time("at", false);
    proposal.author = reader.read_text("author");
    proposal.note = reader.read_text("note", false);
    proposal.request_key = reader.read_text("request", false);
    reader.reject_unread_fields();
    return proposal;
}

}    // namespace shaletray::plans
