#include "cluster/transport/backoff.h"

#include <algorithm>

namespace shaletray::transport {

Duration Backoff::next_delay() {
    const auto jitter = std::uniform_int_distribution<Duration::rep>(0, delay_.count() / 4)(random_);
    const Duration delay = delay_ - Duration(jitter);
    delay_ = std::min(delay_ * 2, kMaxDelay);
    return std::max(delay, kInitialDelay * 3 / 4);
}

}    // namespace shaletray::transport
