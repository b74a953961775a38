// Which shard keys callers ask for.
#pragma once

#include <cstddef>
#include <random>

#include "base/common/clock.h"

namespace shaletray::testbed {

// Most requests ask for keys that lie near one another; where, changes every few seconds.
std::size_t draw_shard_key(std::mt19937_64& random, TimePoint now);

}    // namespace shaletray::testbed
