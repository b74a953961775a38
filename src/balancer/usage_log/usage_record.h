// The record of one admitted request, written before its first attempt is sent, as a slot of 64 bytes in a
// segment. Pure functions. The format is little-endian, like all supported machines.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "decision/control.h"

namespace shaletray::usage_log {

using decision::CustomerId;
using decision::TimePoint;

// One request, or the sum of requests that could not be recorded.
struct UsageRecord {
    // Unrecorded: `record_count` requests that use `unit_millionths` in total could not be written.
    enum class Kind : std::uint16_t { Request, Unrecorded };
    std::uint64_t sequence = 0;    // from 1 in each incarnation of a gateway
    TimePoint admitted_at{};
    CustomerId customer{};
    std::int64_t unit_millionths = 0;    // an integer, so that sums are exact
    std::uint32_t plan_version = 0, record_count = 1;
    std::uint16_t plan_index = 0, class_index = 0;    // indexes into the platform's lists
    Kind kind = Kind::Request;
    std::uint64_t reservation_version = 0;    // in the plan table; 0: no reservation
    bool operator==(const UsageRecord&) const = default;
};
constexpr double kMillionths = 1e6;
std::int64_t to_millionths(double units);

// Bytes per record or header.
constexpr std::size_t kSlotSize = 64;
using Slot = std::array<std::byte, kSlotSize>;

// The first slot of a segment.
struct SegmentHeader {
    std::uint32_t gateway_index = 0, capacity = 0;    // slots after the header
    std::uint64_t incarnation = 0;
    std::uint64_t segment_number = 0;    // within this incarnation, from 0
    std::uint64_t first_sequence = 0;    // sequence number of its first record
    bool operator==(const SegmentHeader&) const = default;
};

// `incarnation` is part of the checksum, so that a slot of another incarnation is not accepted.
void write_record(const UsageRecord& record, std::uint64_t incarnation, std::span<std::byte, kSlotSize> slot);
// The content of a slot. Empty: nothing was written. Torn: it was not written completely.
enum class SlotState { Record, Empty, Torn };
SlotState read_record(std::span<const std::byte, kSlotSize> slot, std::uint64_t incarnation,
                      UsageRecord& record);
void write_header(const SegmentHeader& header, std::span<std::byte, kSlotSize> slot);
std::optional<SegmentHeader> read_header(std::span<const std::byte, kSlotSize> slot);

// File name: "use-<gateway>-<incarnation, hexadecimal>-<number>.seg"
std::string segment_name(const SegmentHeader& header);
struct SegmentName {
    std::uint32_t gateway_index = 0;
    std::uint64_t incarnation = 0, segment_number = 0;
    auto operator<=>(const SegmentName&) const = default;
};
std::optional<SegmentName> read_segment_name(std::string_view name);

}    // namespace shaletray::usage_log
