#include "controller/notification_pacer.h"

#include <algorithm>

namespace shaletray::controller {

void NotificationPacer::record_round(std::size_t recipients, TimePoint now) {
    const Duration interval = settings_.interval_per_recipient * static_cast<Duration::rep>(recipients);
    next_round_ = now + std::clamp(interval, settings_.min_interval, settings_.max_interval);
}

}    // namespace shaletray::controller
