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

struct Use {
    enum class Kind : std::uint16_t {
        Try,
        Gap
    };                             // Gap: `rows` tries of `units` in all could not be written
    std::uint64_t sequence = 0;    // from 1 in each life of a gateway
    TimePoint at{};
    CustomerId customer{};
    std::int64_t units = 0;    // in millionths, so that sums are exact
    std::uint32_t plan_version = 0, rows = 1;
    std::uint16_t plan = 0, class_index = 0;    // the platform's numbers
    Kind kind = Kind::Try;
    std::uint64_t reservation = 0;    // its version in the plan book; 0: none
    bool operator==(const Use&) const = default;
};
constexpr double kMillionths = 1e6;
std::int64_t millionths(double units);

constexpr std::size_t kSlot = 64;
using Slot = std::array<std::byte, kSlot>;

struct SegmentHead {
    std::uint32_t gateway = 0, capacity = 0;    // slots behind the head
    std::uint64_t incarnation = 0;
    std::uint64_t number = 0;    // of the segment in this life, from 0
    std::uint64_t first = 0;     // the sequence of its first slot
    bool operator==(const SegmentHead&) const = default;
};

// `incarnation` goes into the check, so that a slot of another life is none.
void write_use(const Use& use, std::uint64_t incarnation, std::span<std::byte, kSlot> slot);
// What stands in a slot. Empty: nothing was written. Torn: it was not written to its end.
enum class Found { Use, Empty, Torn };
Found read_use(std::span<const std::byte, kSlot> slot, std::uint64_t incarnation, Use& use);
void write_head(const SegmentHead& head, std::span<std::byte, kSlot> slot);
std::optional<SegmentHead> read_head(std::span<const std::byte, kSlot> slot);

// "use-<gateway>-<incarnation, hexadecimal>-<number>.seg"
std::string segment_name(const SegmentHead& head);
struct SegmentName {
    std::uint32_t gateway = 0;
    std::uint64_t incarnation = 0, number = 0;
    auto operator<=>(const SegmentName&) const = default;
};
std::optional<SegmentName> read_segment_name(std::string_view name);

}    // namespace shaletray::usage_log
