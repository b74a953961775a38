#include "system/shard_key_load.h"

#include <cstdint>

#include "system/shard_holds.h"

namespace shaletray::testbed {
namespace {

// Of ten requests, how many ask for one of so many busy keys, which are others after so long.
constexpr std::uint64_t kBusyKeyTenths = 6;
constexpr std::size_t kBusyKeys = 300;
constexpr Duration kBusyKeyTime = std::chrono::seconds(12);

}    // namespace

std::size_t draw_shard_key(std::mt19937_64& random, TimePoint now) {
    if (random() % 10 >= kBusyKeyTenths) return random() % kShardKeyCount;
    const auto period = static_cast<std::uint64_t>(now.time_since_epoch() / kBusyKeyTime);
    const std::size_t busy_place = std::mt19937_64(period)() % kShardKeyCount;
    return (busy_place + random() % kBusyKeys) % kShardKeyCount;
}

}    // namespace shaletray::testbed
