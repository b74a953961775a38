#include "cluster/consensus/random_source.h"

#include <algorithm>

namespace shaletray::consensus {
namespace {

constexpr std::uint64_t kGoldenGamma = 0x9e3779b97f4a7c15ull;    // SplitMix64's increment

std::uint64_t mix_bits(std::uint64_t value) {
    value += kGoldenGamma;
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ull;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebull;
    return value ^ (value >> 31);
}

}    // namespace

RandomSource::RandomSource(std::uint64_t seed, TimePoint started_at, std::uint64_t disk_id,
                           const std::string& address) {
    const auto start_ticks = static_cast<std::uint64_t>(started_at.time_since_epoch().count());
    state_ = mix_bits(mix_bits(seed) ^ mix_bits(start_ticks) ^ disk_id);
    for (const char character : address) state_ = mix_bits(state_ ^ static_cast<unsigned char>(character));
}

std::uint64_t RandomSource::next() {
    state_ += kGoldenGamma;
    return mix_bits(state_);
}

Duration RandomSource::next(Duration lower, Duration upper) {
    const auto range = std::max<Duration::rep>((upper - lower).count(), 1);
    return lower + Duration(static_cast<Duration::rep>(next() % static_cast<std::uint64_t>(range)));
}

std::string to_hex(std::uint64_t value) {
    std::string text(16, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit, value >>= 4)
        *digit = "0123456789abcdef"[value & 15];
    return text;
}

}    // namespace shaletray::consensus
