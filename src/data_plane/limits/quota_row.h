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

// A baseline is divided into this many parts, so that leases are integers and a division into up to 16 equal
// parts is exact.
constexpr std::uint32_t kFullBaseline = 720720;
// The largest gateway set that a row can describe.
constexpr int kMaxGatewaySet = 64;

// State of one customer at one gateway: its demand, the leases it grants and the rows that it has read.
struct QuotaRow {
    // Entry for the gateway at the same position of the set; the writer's own entry is all zero.
    struct PeerEntry {
        std::uint64_t echo_incarnation = 0;    // its incarnation in the row read last; 0: never read
        std::uint64_t echo_stamp = 0;          // stamp of the row read last
        std::uint32_t lease_parts = 0;         // leased to it, in kFullBaseline-ths of the writer's baseline
        bool operator==(const PeerEntry&) const = default;
    };
    std::uint64_t incarnation = 0;
    // Microseconds since the writer's start; increases with each row of a customer.
    std::uint64_t row_stamp = 0;
    int plan_index = 0, first_gateway = 0, set_size = 1;
    double demand = 0.0;        // units per second requested at the writer
    double fill_level = 0.0;    // fill of the writer's quota bucket, 0 to 1
    std::vector<PeerEntry> peer_entries;
    bool operator==(const QuotaRow&) const = default;
};

// Customers that recently began to need an exchange of rows, published so that the other gateways of their
// sets exchange rows as well.
struct Announcement {
    struct Item {
        decision::CustomerId customer{};
        int plan_index = 0, first_gateway = 0, set_size = 1;
        bool operator==(const Item&) const = default;
    };
    std::uint64_t incarnation = 0;
    std::uint64_t item_count = 0;    // announced in this incarnation, including `items`
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
