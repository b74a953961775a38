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

// Writes the fields of a slot one after another, without padding.
class SlotWriter {
public:
    explicit SlotWriter(std::byte* start) : position_(start) {}
    template <class T>
    void append(T value) {
        std::memcpy(position_, &value, sizeof value);
        position_ += sizeof value;
    }

private:
    std::byte* position_;
};
// Reads fields as SlotWriter writes them.
class SlotReader {
public:
    explicit SlotReader(const std::byte* start) : position_(start) {}
    template <class T>
    T read() {
        T value;
        std::memcpy(&value, position_, sizeof value);
        position_ += sizeof value;
        return value;
    }

private:
    const std::byte* position_;
};

// Copies `bytes` to the slot and adds the checksum.
void write_checksummed(std::span<std::byte, kSlotSize> slot, const Slot& bytes, std::uint64_t seed) {
    const std::uint64_t checksum_value = XXH64(bytes.data(), kChecksummedSize, seed);
    // The checksum is written last, so that a concurrent reader, or one after a kill, detects a torn slot.
    std::memcpy(slot.data(), bytes.data(), kChecksummedSize);
    std::atomic_signal_fence(std::memory_order_release);
    std::memcpy(slot.data() + kChecksummedSize, &checksum_value, sizeof checksum_value);
}

bool has_valid_checksum(std::span<const std::byte, kSlotSize> slot, std::uint64_t seed) {
    return SlotReader(slot.data() + kChecksummedSize).read<std::uint64_t>() ==
           XXH64(slot.data(), kChecksummedSize, seed);
}

}    // namespace

std::int64_t to_millionths(double units) { return std::llround(units * kMillionths); }

void write_record(const UsageRecord& record, std::uint64_t incarnation,
                  std::span<std::byte, kSlotSize> slot) {
    Slot bytes{};
    SlotWriter writer(bytes.data());
    writer.append(record.sequence);
    writer.append(static_cast<std::int64_t>(record.admitted_at.time_since_epoch().count()));
    writer.append(static_cast<std::uint64_t>(record.customer));
    writer.append(record.unit_millionths);
    writer.append(record.plan_version);
    writer.append(record.record_count);
    writer.append(record.plan_index);
    writer.append(record.class_index);
    writer.append(static_cast<std::uint16_t>(record.kind));
    writer.append(std::uint16_t{0});
    writer.append(record.reservation_version);
    write_checksummed(slot, bytes, incarnation);
}

SlotState read_record(std::span<const std::byte, kSlotSize> slot, std::uint64_t incarnation,
                      UsageRecord& record) {
    Slot slot_copy;    // a writer may be changing the slot
    std::memcpy(slot_copy.data(), slot.data(), kSlotSize);
    SlotReader reader(slot_copy.data());
    record.sequence = reader.read<std::uint64_t>();
    record.admitted_at = TimePoint(decision::Duration(reader.read<std::int64_t>()));
    record.customer = CustomerId{reader.read<std::uint64_t>()};
    record.unit_millionths = reader.read<std::int64_t>();
    record.plan_version = reader.read<std::uint32_t>();
    record.record_count = reader.read<std::uint32_t>();
    record.plan_index = reader.read<std::uint16_t>();
    record.class_index = reader.read<std::uint16_t>();
    const auto kind = reader.read<std::uint16_t>();
    reader.read<std::uint16_t>();
    record.reservation_version = reader.read<std::uint64_t>();
    record.kind = static_cast<UsageRecord::Kind>(kind);
    if (slot_copy == Slot{}) return SlotState::Empty;
    if (!has_valid_checksum(slot_copy, incarnation) || kind > 1) return SlotState::Torn;
    return SlotState::Record;
}

void write_header(const SegmentHeader& header, std::span<std::byte, kSlotSize> slot) {
    Slot bytes{};
    SlotWriter writer(bytes.data());
    writer.append(kMagic);
    writer.append(header.gateway_index);
    writer.append(header.capacity);
    writer.append(header.incarnation);
    writer.append(header.segment_number);
    writer.append(header.first_sequence);
    write_checksummed(slot, bytes, kMagic);
}

std::optional<SegmentHeader> read_header(std::span<const std::byte, kSlotSize> slot) {
    SlotReader reader(slot.data());
    if (reader.read<std::uint64_t>() != kMagic || !has_valid_checksum(slot, kMagic)) return std::nullopt;
    SegmentHeader header;
    header.gateway_index = reader.read<std::uint32_t>();
    header.capacity = reader.read<std::uint32_t>();
    header.incarnation = reader.read<std::uint64_t>();
    header.segment_number = reader.read<std::uint64_t>();
    header.first_sequence = reader.read<std::uint64_t>();
    return header;
}

std::string segment_name(const SegmentHeader& header) {
    return fmt::format("use-{}-{:016x}-{:08}.seg", header.gateway_index, header.incarnation,
                       header.segment_number);
}

std::optional<SegmentName> read_segment_name(std::string_view name) {
    SegmentName result;
    const auto parse_number = [&](std::string_view prefix, auto& value, int base) {
        if (!name.starts_with(prefix)) return false;
        name.remove_prefix(prefix.size());
        const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), value, base);
        if (error != std::errc{}) return false;
        name.remove_prefix(static_cast<std::size_t>(end - name.data()));
        return true;
    };
    if (!parse_number("use-", result.gateway_index, 10) || !parse_number("-", result.incarnation, 16) ||
        !parse_number("-", result.segment_number, 10) || name != ".seg")
        return std::nullopt;
    return result;
}

}    // namespace shaletray::usage_log
