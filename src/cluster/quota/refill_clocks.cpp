#include "cluster/quota/refill_clocks.h"

#include <algorithm>

namespace shaletray::quota {
namespace {

template <std::size_t... Classes>
std::array<RefillClock, sizeof...(Classes)> make_clocks(TimePoint start, std::index_sequence<Classes...>) {
    return {((void)Classes, RefillClock(start))...};
}

}    // namespace

RefillClocks::RefillClocks(TimePoint start)
    : clocks_(make_clocks(start, std::make_index_sequence<kMaxSetSizeClass + 1>{})) {}

void RefillClocks::advance(TimePoint now) {
    for (RefillClock& clock : clocks_) clock.advance(now);
}

double RefillClocks::member_share(std::uint32_t divisor, std::size_t known_count, SetSizeClass size_class) {
    const auto known_gateways =
        std::clamp(static_cast<double>(known_count), 1.0, static_cast<double>(divisor));
    const double members = std::min(known_gateways, static_cast<double>(set_size(size_class)));
    return known_gateways / divisor / members;
}

void RefillClocks::set_divisor(std::uint32_t divisor, std::size_t known_count, TimePoint deadline,
                               TimePoint now) {
    const auto known_divisor = static_cast<std::uint32_t>(std::max<std::size_t>(1, known_count));
    for (std::size_t i = 0; i < clocks_.size(); ++i) {
        const auto size_class = static_cast<SetSizeClass>(i);
        if (divisor > 0) clocks_[i].start(member_share(divisor, known_count, size_class), deadline, now);
        else clocks_[i].stop(member_share(known_divisor, known_count, size_class), now);
    }
}

}    // namespace shaletray::quota
