// What one gateway says of one customer, and how that is written down. Text, so that an operator can read the
// store with its own tools. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "decision/control.h"

namespace shaletray::limits {

// Leases are whole parts of a baseline; each equal division over up to 16 gateways comes out even.
constexpr std::uint32_t kFullBaseline = 720720;
constexpr int kMaxGatewaySet = 64;    // the largest set of gateways that a row can hold

struct QuotaRow {
    struct Part {    // towards the gateway at this place of the set; the writer's own is all nothing
        std::uint64_t echo_incarnation = 0;    // its life, as last read; 0: never
        std::uint64_t echo_stamp = 0;          // the stamp of its row that was read last
        std::uint32_t lease_parts = 0;         // of the writer's baseline, in parts of kWhole
        bool operator==(const Part&) const = default;
    };
    std::uint64_t incarnation = 0;
    std::uint64_t row_stamp =
        0;    // microseconds since the writer's start; grows with each row of a customer
    int plan_index = 0, first_gateway = 0, set_size = 1;
    double demand = 0.0;        // units a second asked for at the writer
    double fill_level = 0.0;    // how full the writer's part of the quota is, 0 to 1
    std::vector<Part> parts;
    bool operator==(const QuotaRow&) const = default;
};

// Customers that the writer newly has requests of, so that the others of their sets begin to exchange rows.
struct Announcement {
    struct Item {
        decision::CustomerId customer{};
        int plan_index = 0, first_gateway = 0, set_size = 1;
        bool operator==(const Item&) const = default;
    };
    std::uint64_t incarnation = 0;
    std::uint64_t item_count = 0;    // how many there have been in this life, the newest here included
    std::vector<Item> items;         // the newest last
    bool operator==(const Announcement&) const = default;
};

std::string serialize_row(const QuotaRow& row);
// Nothing where the text is not exactly one row with figures that make sense.
std::optional<QuotaRow> parse_row(std::string_view text);
std::string serialize_announcement(const Announcement& announcement);
std::optional<Announcement> parse_announcement(std::string_view text);

}    // namespace shaletray::limits
