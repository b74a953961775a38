// What an operator may change in service, and how a change is written down. Pure.
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

// The figures of a plan that may change in service. Everything else of it stays that of the platform's plan
// which it is like.
struct PlanTerms {
    double rate = 0.0, burst = 0.0;    // units a second; units
    double ceiling_rate = 0.0, ceiling_burst = 0.0, ceiling_slack = 0.0;
    bool operator==(const PlanTerms&) const = default;
};

struct DefinePlan {
    std::string plan_name, base_plan;    // like: the platform's plan that gives price and worth
    PlanTerms terms;
    bool operator==(const DefinePlan&) const = default;
};
// No new customers from then on. Those it has keep its last terms, or get those of the successor.
struct WithdrawPlan {
    std::string plan, successor;
    bool operator==(const WithdrawPlan&) const = default;
};
struct AssignPlan {
    CustomerId customer{};
    std::string plan;    // empty: back to what its requests say
    bool operator==(const AssignPlan&) const = default;
};
// Units carved out of the customer's quota from the change's effect until `from` (over the window itself
// where that has begun), for requests that carry the id until `until`.
struct MakeReservation {
    std::string reservation_id;
    CustomerId customer{};
    double units = 0.0;
    TimePoint starts_at{}, ends_at{};
    std::string plan;    // what is carved from, where the book assigns the customer none
    bool operator==(const MakeReservation&) const = default;
};
struct ReleaseReservation {
    std::string reservation_id;
    bool operator==(const ReleaseReservation&) const = default;
};
using ChangeBody = std::variant<DefinePlan, WithdrawPlan, AssignPlan, MakeReservation, ReleaseReservation>;

// What an operator asks for.
struct ChangeProposal {
    ChangeBody body;
    std::uint64_t expected_version = 0;       // the subject's version that was looked at; 0: there was none
    std::optional<TimePoint> effective_at;    // none: as soon as all can have heard of it
    std::string author, note;
    std::string request_key;    // of the caller's own choice: the same one twice is one change
};

// What was made of it: one entry of the book, numbered from 1.
struct PlanChange {
    std::uint64_t version = 0, expected_version = 0;
    TimePoint made_at{}, effective_at{};
    std::string author, note, request_key;
    ChangeBody body;
    std::uint64_t chain_hash = 0;    // over this entry and all before it
    bool operator==(const PlanChange&) const = default;
};

// "plan:NAME", "customer:HEX", "reservation:ID".
std::string subject_of(const ChangeBody& body);
std::uint64_t chain_hash(std::uint64_t previous_hash, const PlanChange& change);

class InvalidChange : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// One line of JSON each. Reading throws BadChange with what is wrong, by field.
std::string serialize_change(const PlanChange& change);
PlanChange parse_change(std::string_view text);
std::string serialize_proposal(const ChangeProposal& proposal);
ChangeProposal parse_proposal(std::string_view text);

std::string format_customer(CustomerId customer_id);    // sixteen hexadecimal digits
std::optional<CustomerId> parse_customer(std::string_view text);
// Microseconds of Unix time, or "2026-12-01T08:00:00Z" with a fraction or without.
std::optional<TimePoint> parse_time(std::string_view text);
std::string format_time(TimePoint time);

}    // namespace shaletray::plans
