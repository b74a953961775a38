// Changes that an operator may make to plans at runtime, and their text form. Pure functions and values.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>

#include "decision/control.h"

namespace shaletray::plans {

using decision::CustomerId;
using decision::Duration;
using decision::TimePoint;

// The values of a plan that may change at runtime. All others are taken from its base plan.
struct PlanTerms {
    double rate = 0.0, burst = 0.0;    // units per second; units
    double ceiling_rate = 0.0, ceiling_burst = 0.0, ceiling_slack = 0.0;
    bool operator==(const PlanTerms&) const = default;
};

// Creates a plan or changes its terms. `base_plan`: the platform's plan that all other values are taken from.
struct DefinePlan {
    std::string plan_name, base_plan;
    PlanTerms terms;
    bool operator==(const DefinePlan&) const = default;
};
// Closes a plan to new customers. Existing customers keep its last terms, or get those of the successor.
struct WithdrawPlan {
    std::string plan, successor;
    bool operator==(const WithdrawPlan&) const = default;
};
// Assigns a plan to a customer. Empty: the plan that its requests name.
struct AssignPlan {
    CustomerId customer{};
    std::string plan;
    bool operator==(const AssignPlan&) const = default;
};
// Reserves units for requests that carry the id between `starts_at` and `ends_at`. They are taken from the
// customer's quota evenly, from the change's effective time until `starts_at`, or over the window itself if
// it has begun by then.
struct MakeReservation {
    std::string reservation_id;
    CustomerId customer{};
    double units = 0.0;
    TimePoint starts_at{}, ends_at{};
    std::string plan;    // whose quota is used, if the customer has no assigned plan
    bool operator==(const MakeReservation&) const = default;
};
// Ends a reservation early.
struct ReleaseReservation {
    std::string reservation_id;
    bool operator==(const ReleaseReservation&) const = default;
};
using ChangeBody = std::variant<DefinePlan, WithdrawPlan, AssignPlan, MakeReservation, ReleaseReservation>;

// A change that an operator proposes.
struct ChangeProposal {
    ChangeBody body;
    std::uint64_t expected_version = 0;       // the subject's version that it is based on; 0: none
    std::optional<TimePoint> effective_at;    // none: as soon as all gateways can have received it
    std::string author, note;
    std::string request_key;    // the caller's idempotency key: a repetition with it gives the same change
};

// An accepted change: one entry of the change log, numbered from 1.
struct PlanChange {
    std::uint64_t version = 0, expected_version = 0;
    TimePoint made_at{}, effective_at{};
    std::string author, note, request_key;
    ChangeBody body;
    std::uint64_t chain_hash = 0;    // covers this entry and all earlier ones
    bool operator==(const PlanChange&) const = default;
};

// The subject of a change: "plan:NAME", "customer:HEX" or "reservation:ID".
std::string subject_of(const ChangeBody& body);
// The hash of an entry and all entries before it, which shows whether two change logs agree.
std::uint64_t chain_hash(std::uint64_t previous_hash, const PlanChange& change);

// Thrown for a change that cannot be parsed or appended; holds the reason.
class InvalidChange : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// Text form: one line of JSON each. Parsing throws InvalidChange with the field and the reason.
std::string serialize_change(const PlanChange& change);
PlanChange parse_change(std::string_view text);
std::string serialize_proposal(const ChangeProposal& proposal);
ChangeProposal parse_proposal(std::string_view text);

std::string format_customer(CustomerId customer_id);    // sixteen hexadecimal digits
std::optional<CustomerId> parse_customer(std::string_view text);
// Reads microseconds of Unix time, or "2026-12-01T08:00:00Z" with or without a fraction.
std::optional<TimePoint> parse_time(std::string_view text);
std::string format_time(TimePoint time);

}    // namespace shaletray::plans
