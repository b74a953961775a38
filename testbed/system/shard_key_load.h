// The distribution of shard keys over the callers' requests.
#pragma once

#include <cstddef>
#include <random>

#include "base/common/clock.h"

namespace shaletray::testbed {

// Most requests use keys from a small busy range, which moves every few seconds.
std::size_t draw_shard_key(std::mt19937_64& random, TimePoint now);

}    // namespace shaletray::testbed
