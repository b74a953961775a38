// The rows that gateways exchange through the shared store, and their text form, which an operator can read
// with the store's own tools. Pure functions and values.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "decision/control.h"

namespace shaletray::limits {

// A baseline is divided into this many parts, so that leases are integers and an equal division over up to 16
// gateways is exact.
constexpr std::uint32_t kFullBaseline = 720720;
// The largest gateway set that a row can describe.
constexpr int kMaxGatewaySet = 64;

// What one gateway states about one customer: its demand, its leases and what it has read of the others.
struct QuotaRow {
    // For the gateway at this position of the set; the writer's own entry is all zero.
    struct Part {
        std::uint64_t echo_incarnation = 0;    // its incarnation as last read; 0: never read
        std::uint64_t echo_stamp = 0;          // the stamp of its row that was read last
        std::uint32_t lease_parts = 0;         // leased to it, in kFullBaseline-ths of the writer's baseline
        bool operator==(const Part&) const = default;
    };
    std::uint64_t incarnation = 0;
    // Microseconds since the writer's start; grows with each row of a customer.
    std::uint64_t row_stamp = 0;
    int plan_index = 0, first_gateway = 0, set_size = 1;
    double demand = 0.0;        // units per second requested at the writer
    double fill_level = 0.0;    // fill of the writer's quota bucket, 0 to 1
    std::vector<Part> parts;
    bool operator==(const QuotaRow&) const = default;
};

// Customers that recently began to need an exchange of rows, so that the other gateways of their sets begin
// it as well.
struct Announcement {
    struct Item {
        decision::CustomerId customer{};
        int plan_index = 0, first_gateway = 0, set_size = 1;
        bool operator==(const Item&) const = default;
    };
    std::uint64_t incarnation = 0;
    std::uint64_t item_count = 0;    // announced in this incarnation, including these
    std::vector<Item> items;         // newest last
    bool operator==(const Announcement&) const = default;
};

// One line of text, without its end.
std::string serialize_row(const QuotaRow& row);
// Empty unless the text is exactly one row with valid values.
std::optional<QuotaRow> parse_row(std::string_view text);
std::string serialize_announcement(const Announcement& announcement);
std::optional<Announcement> parse_announcement(std::string_view text);

}    // namespace shaletray::limits
