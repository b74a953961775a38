// One admitted try, as it is written down before its first attempt is sent: sixty-four bytes, in a segment of
// many. Pure. Little-endian, as all machines are that this runs on.
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

struct UsageRecord {
    enum class Kind : std::uint16_t {
        Request,
        Unrecorded
    };                             // Gap: `rows` tries of `units` in all could not be written
    std::uint64_t sequence = 0;    // from 1 in each life of a gateway
    TimePoint admitted_at{};
    CustomerId customer{};
    std::int64_t unit_millionths = 0;    // in millionths, so that sums are exact
    std::uint32_t plan_version = 0, record_count = 1;
    std::uint16_t plan_index = 0, class_index = 0;    // the platform's numbers
    Kind kind = Kind::Request;
    std::uint64_t reservation_version = 0;    // its version in the plan book; 0: none
    bool operator==(const UsageRecord&) const = default;
};
constexpr double kMillionths = 1e6;
std::int64_t to_millionths(double units);

constexpr std::size_t kSlotSize = 64;
using Slot = std::array<std::byte, kSlotSize>;

struct SegmentHeader {
    std::uint32_t gateway_index = 0, capacity = 0;    // slots behind the head
    std::uint64_t incarnation = 0;
    std::uint64_t segment_number = 0;    // of the segment in this life, from 0
    std::uint64_t first_sequence = 0;    // the sequence of its first slot
    bool operator==(const SegmentHeader&) const = default;
};

// `incarnation` goes into the check, so that a slot of another life is none.
void write_record(const UsageRecord& record, std::uint64_t incarnation, std::span<std::byte, kSlotSize> slot);
// What stands in a slot. Empty: nothing was written. Torn: it was not written to its end.
enum class SlotState { Record, Empty, Torn };
SlotState read_record(std::span<const std::byte, kSlotSize> slot, std::uint64_t incarnation,
                      UsageRecord& record);
void write_header(const SegmentHeader& header, std::span<std::byte, kSlotSize> slot);
std::optional<SegmentHeader> read_header(std::span<const std::byte, kSlotSize> slot);

// "use-<gateway>-<incarnation, hexadecimal>-<number>.seg"
std::string segment_name(const SegmentHeader& header);
struct SegmentName {
    std::uint32_t gateway_index = 0;
    std::uint64_t incarnation = 0, segment_number = 0;
    auto operator<=>(const SegmentName&) const = default;
};
std::optional<SegmentName> read_segment_name(std::string_view name);

}    // namespace shaletray::usage_log
