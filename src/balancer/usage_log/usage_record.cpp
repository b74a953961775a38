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
constexpr std::size_t kChecked = kSlot - 8;

// The figures of a slot one behind the other, without gaps, whatever the compiler would put between them.
class Cursor {
public:
    explicit Cursor(std::byte* at) : at_(at) {}
    template <class T>
    void put(T value) {
        std::memcpy(at_, &value, sizeof value);
        at_ += sizeof value;
    }

private:
    std::byte* at_;
};
class Reader {
public:
    explicit Reader(const std::byte* at) : at_(at) {}
    template <class T>
    T get() {
        T value;
        std::memcpy(&value, at_, sizeof value);
        at_ += sizeof value;
        return value;
    }

private:
    const std::byte* at_;
};

void seal(std::span<std::byte, kSlot> slot, const Slot& bytes, std::uint64_t seed) {
    const std::uint64_t check = XXH64(bytes.data(), kChecked, seed);
    // The check comes last: who reads along, or after a kill, sees a whole slot or a torn one.
    std::memcpy(slot.data(), bytes.data(), kChecked);
    std::atomic_signal_fence(std::memory_order_release);
    std::memcpy(slot.data() + kChecked, &check, sizeof check);
}

bool sealed(std::span<const std::byte, kSlot> slot, std::uint64_t seed) {
    return Reader(slot.data() + kChecked).get<std::uint64_t>() == XXH64(slot.data(), kChecked, seed);
}

}    // namespace

std::int64_t millionths(double units) { return std::llround(units * kMillionths); }

void write_use(const Use& use, std::uint64_t incarnation, std::span<std::byte, kSlot> slot) {
    Slot bytes{};
    Cursor c(bytes.data());
    c.put(use.sequence);
    c.put(static_cast<std::int64_t>(use.at.time_since_epoch().count()));
    c.put(static_cast<std::uint64_t>(use.customer));
    c.put(use.units);
    c.put(use.plan_version);
    c.put(use.rows);
    c.put(use.plan);
    c.put(use.class_index);
    c.put(static_cast<std::uint16_t>(use.kind));
    c.put(std::uint16_t{0});
    c.put(use.reservation);
    seal(slot, bytes, incarnation);
}

Found read_use(std::span<const std::byte, kSlot> slot, std::uint64_t incarnation, Use& use) {
    Slot copy;    // a writer may be at it
    std::memcpy(copy.data(), slot.data(), kSlot);
    Reader r(copy.data());
    use.sequence = r.get<std::uint64_t>();
    use.at = TimePoint(decision::Duration(r.get<std::int64_t>()));
    use.customer = CustomerId{r.get<std::uint64_t>()};
    use.units = r.get<std::int64_t>();
    use.plan_version = r.get<std::uint32_t>();
    use.rows = r.get<std::uint32_t>();
    use.plan = r.get<std::uint16_t>();
    use.class_index = r.get<std::uint16_t>();
    const auto kind = r.get<std::uint16_t>();
    r.get<std::uint16_t>();
    use.reservation = r.get<std::uint64_t>();
    use.kind = static_cast<Use::Kind>(kind);
    if (copy == Slot{}) return Found::Empty;
    if (!sealed(copy, incarnation) || kind > 1) return Found::Torn;
    return Found::Use;
}

void write_head(const SegmentHead& head, std::span<std::byte, kSlot> slot) {
    Slot bytes{};
    Cursor c(bytes.data());
    c.put(kMagic);
    c.put(head.gateway);
    c.put(head.capacity);
    c.put(head.incarnation);
    c.put(head.number);
    c.put(head.first);
    seal(slot, bytes, kMagic);
}

std::optional<SegmentHead> read_head(std::span<const std::byte, kSlot> slot) {
    Reader r(slot.data());
    if (r.get<std::uint64_t>() != kMagic || !sealed(slot, kMagic)) return std::nullopt;
    SegmentHead head;
    head.gateway = r.get<std::uint32_t>();
    head.capacity = r.get<std::uint32_t>();
    head.incarnation = r.get<std::uint64_t>();
    head.number = r.get<std::uint64_t>();
    head.first = r.get<std::uint64_t>();
    return head;
}

std::string segment_name(const SegmentHead& head) {
    return fmt::format("use-{}-{:016x}-{:08}.seg", head.gateway, head.incarnation, head.number);
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
    if (!take("use-", out.gateway, 10) || !take("-", out.incarnation, 16) || !take("-", out.number, 10) ||
        name != ".seg")
        return std::nullopt;
    return out;
}

}    // namespace shaletray::usage_log
