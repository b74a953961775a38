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
struct Terms {
    double rate = 0.0, burst = 0.0;    // units a second; units
    double ceiling_rate = 0.0, ceiling_burst = 0.0, ceiling_slack = 0.0;
    bool operator==(const Terms&) const = default;
};

struct Define {
    std::string plan, like;    // like: the platform's plan that gives price and worth
    Terms terms;
    bool operator==(const Define&) const = default;
};
// No new customers from then on. Those it has keep its last terms, or get those of the successor.
struct Withdraw {
    std::string plan, successor;
    bool operator==(const Withdraw&) const = default;
};
struct Assign {
    CustomerId customer{};
    std::string plan;    // empty: back to what its requests say
    bool operator==(const Assign&) const = default;
};
// Units carved out of the customer's quota from the change's effect until `from` (over the window itself
// where that has begun), for requests that carry the id until `until`.
struct Reserve {
    std::string id;
    CustomerId customer{};
    double units = 0.0;
    TimePoint from{}, until{};
    std::string plan;    // what is carved from, where the book assigns the customer none
    bool operator==(const Reserve&) const = default;
};
struct Release {
    std::string id;
    bool operator==(const Release&) const = default;
};
using Body = std::variant<Define, Withdraw, Assign, Reserve, Release>;

// What an operator asks for.
struct Proposal {
    Body body;
    std::uint64_t against = 0;      // the subject's version that was looked at; 0: there was none
    std::optional<TimePoint> at;    // none: as soon as all can have heard of it
    std::string author, note;
    std::string request;    // of the caller's own choice: the same one twice is one change
};

// What was made of it: one entry of the book, numbered from 1.
struct Change {
    std::uint64_t version = 0, against = 0;
    TimePoint made{}, at{};
    std::string author, note, request;
    Body body;
    std::uint64_t chain = 0;    // over this entry and all before it
    bool operator==(const Change&) const = default;
};

// "plan:NAME", "customer:HEX", "reservation:ID".
std::string subject_of(const Body& body);
std::uint64_t chain_of(std::uint64_t before, const Change& change);

class BadChange : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// One line of JSON each. Reading throws BadChange with what is wrong, by field.
std::string write_change(const Change& change);
Change read_change(std::string_view text);
std::string write_proposal(const Proposal& proposal);
Proposal read_proposal(std::string_view text);

std::string customer_text(CustomerId customer);    // sixteen hexadecimal digits
std::optional<CustomerId> read_customer(std::string_view text);
// Microseconds of Unix time, or "2026-12-01T08:00:00Z" with a fraction or without.
std::optional<TimePoint> read_time(std::string_view text);
std::string time_text(TimePoint time);

}    // namespace shaletray::plans
