#include "balancer/usage_log/usage_record.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <bit>
#include <charconv>
#include <cmath>
#include <cstring>

namespace shaletray::usage_log {
namespace {

static_assert(std::endian::native == std::endian::little);

constexpr std::uint64_t kMagic = 0x3165737579617274;    // "trayuse1"
constexpr std::size_t kChecksummedSize = kSlotSize - 8;

// The figures of a slot one behind the other, without gaps, whatever the compiler would put between them.
class SlotWriter {
public:
    explicit SlotWriter(std::byte* at) : offset_(at) {}
    template <class T>
    void append(T value) {
        std::memcpy(offset_, &value, sizeof value);
        offset_ += sizeof value;
    }

private:
    std::byte* offset_;
};
class SlotReader {
public:
    explicit SlotReader(const std::byte* at) : offset_(at) {}
    template <class T>
    T get() {
        T value;
        std::memcpy(&value, offset_, sizeof value);
        offset_ += sizeof value;
        return value;
    }

private:
    const std::byte* offset_;
};

void checksum(std::span<std::byte, kSlotSize> slot, const Slot& bytes, std::uint64_t seed) {
    const std::uint64_t check = XXH64(bytes.data(), kChecksummedSize, seed);
    // The check comes last: who reads along, or after a kill, sees a whole slot or a torn one.
    std::memcpy(slot.data(), bytes.data(), kChecksummedSize);
    std::atomic_signal_fence(std::memory_order_release);
    std::memcpy(slot.data() + kChecksummedSize, &check, sizeof check);
}

bool has_valid_checksum(std::span<const std::byte, kSlotSize> slot, std::uint64_t seed) {
    return SlotReader(slot.data() + kChecksummedSize).get<std::uint64_t>() ==
           XXH64(slot.data(), kChecksummedSize, seed);
}

}    // namespace

std::int64_t to_millionths(double units) { return std::llround(units * kMillionths); }

void write_record(const UsageRecord& record, std::uint64_t incarnation,
                  std::span<std::byte, kSlotSize> slot) {
    Slot bytes{};
    SlotWriter c(bytes.data());
    c.append(record.sequence);
    c.append(static_cast<std::int64_t>(record.admitted_at.time_since_epoch().count()));
    c.append(static_cast<std::uint64_t>(record.customer));
    c.append(record.unit_millionths);
    c.append(record.plan_version);
    c.append(record.record_count);
    c.append(record.plan_index);
    c.append(record.class_index);
    c.append(static_cast<std::uint16_t>(record.kind));
    c.append(std::uint16_t{0});
    c.append(record.reservation_version);
    checksum(slot, bytes, incarnation);
}

SlotState read_record(std::span<const std::byte, kSlotSize> slot, std::uint64_t incarnation,
                      UsageRecord& record) {
    Slot copy;    // a writer may be at it
    std::memcpy(copy.data(), slot.data(), kSlotSize);
    SlotReader r(copy.data());
    record.sequence = r.get<std::uint64_t>();
    record.admitted_at = TimePoint(decision::Duration(r.get<std::int64_t>()));
    record.customer = CustomerId{r.get<std::uint64_t>()};
    record.unit_millionths = r.get<std::int64_t>();
    record.plan_version = r.get<std::uint32_t>();
    record.record_count = r.get<std::uint32_t>();
    record.plan_index = r.get<std::uint16_t>();
    record.class_index = r.get<std::uint16_t>();
    const auto kind = r.get<std::uint16_t>();
    r.get<std::uint16_t>();
    record.reservation_version = r.get<std::uint64_t>();
    record.kind = static_cast<UsageRecord::Kind>(kind);
    if (copy == Slot{}) return SlotState::Empty;
    if (!has_valid_checksum(copy, incarnation) || kind > 1) return SlotState::Torn;
    return SlotState::Record;
}

void write_header(const SegmentHeader& header, std::span<std::byte, kSlotSize> slot) {
    Slot bytes{};
    SlotWriter c(bytes.data());
    c.append(kMagic);
    c.append(header.gateway_index);
    c.append(header.capacity);
    c.append(header.incarnation);
    c.append(header.segment_number);
    c.append(header.first_sequence);
    checksum(slot, bytes, kMagic);
}

std::optional<SegmentHeader> read_header(std::span<const std::byte, kSlotSize> slot) {
    SlotReader r(slot.data());
    if (r.get<std::uint64_t>() != kMagic || !has_valid_checksum(slot, kMagic)) return std::nullopt;
    SegmentHeader header;
    header.gateway_index = r.get<std::uint32_t>();
    header.capacity = r.get<std::uint32_t>();
    header.incarnation = r.get<std::uint64_t>();
    header.segment_number = r.get<std::uint64_t>();
    header.first_sequence = r.get<std::uint64_t>();
    return header;
}

std::string segment_name(const SegmentHeader& header) {
    return fmt::format("use-{}-{:016x}-{:08}.seg", header.gateway_index, header.incarnation,
                       header.segment_number);
}

std::optional<SegmentName> read_segment_name(std::string_view name) {
    SegmentName out;
    const auto take = [&](std::string_view before, auto& value, int base) {
        if (!name.starts_with(before)) return false;
        name.remove_prefix(before.size());
        const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), value, base);
        if (error != std::errc{}) return false;
        name.remove_prefix(static_cast<std::size_t>(end - name.data()));
        return true;
    };
    if (!take("use-", out.gateway_index, 10) || !take("-", out.incarnation, 16) ||
        !take("-", out.segment_number, 10) || name != ".seg")
        return std::nullopt;
    return out;
}

}    // namespace shaletray::usage_log
