#include "system/shard_key_load.h"

#include <cstdint>

#include "system/shard_holds.h"

namespace shaletray::testbed {
namespace {

// Requests in ten that use a busy key, the number of busy keys, and the time until the busy range moves.
constexpr std::uint64_t kBusyKeyTenths = 6;
constexpr std::size_t kBusyKeys = 300;
constexpr Duration kBusyRangePeriod = std::chrono::seconds(12);

}    // namespace

std::size_t draw_shard_key(std::mt19937_64& random, TimePoint now) {
    if (random() % 10 >= kBusyKeyTenths) return random() % kShardKeyCount;
    const auto period = static_cast<std::uint64_t>(now.time_since_epoch() / kBusyRangePeriod);
    const std::size_t first_busy_key = std::mt19937_64(period)() % kShardKeyCount;
    return (first_busy_key + random() % kBusyKeys) % kShardKeyCount;
}

}    // namespace shaletray::testbed
