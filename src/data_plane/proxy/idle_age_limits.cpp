#include "data_plane/proxy/idle_age_limits.h"

#include <algorithm>

namespace shaletray {
namespace {

using namespace std::chrono_literals;

// Fraction of the idle age at which a connection was reset; others may be discarded somewhat sooner.
constexpr double kSafeIdleAgeFraction = 0.7;
// A response of the host later than this after a reset confirms nothing: the host may have been restarted.
constexpr Duration kConfirmationTime = 3s;
constexpr std::size_t kMaxUnconfirmed = 256;

}    // namespace

void IdleAgeLimits::expire_evidence(TimePoint now) {
    if (now - recent_since_ < kEvidenceLifetime) return;
    earlier_ = now - recent_since_ < 2 * kEvidenceLifetime ? recent_ : Evidence{};
    recent_ = Evidence{};
    recent_since_ = now;
    std::erase_if(unconfirmed_,
                  [&](const auto& item) { return now - item.second.seen_at > kConfirmationTime; });
}

void IdleAgeLimits::record_reuse(Duration idle_age, TimePoint now) {
    expire_evidence(now);
    recent_.longest_reuse = std::max(recent_.longest_reuse.value_or(Duration(0)), idle_age);
}

void IdleAgeLimits::record_reset(decision::HostId host, Duration idle_age, TimePoint now) {
    expire_evidence(now);
    const auto existing_reset = unconfirmed_.find(host);
    if (existing_reset != unconfirmed_.end()) {
        existing_reset->second = {std::min(existing_reset->second.idle_age, idle_age), now};
    } else if (unconfirmed_.size() < kMaxUnconfirmed) {
        unconfirmed_.emplace(host, UnconfirmedReset{idle_age, now});
    }
}

void IdleAgeLimits::record_new_connection(decision::HostId host, TimePoint now) {
    expire_evidence(now);
    const auto reset = unconfirmed_.find(host);
    if (reset == unconfirmed_.end()) return;
    if (now - reset->second.seen_at <= kConfirmationTime)
        recent_.shortest_reset =
            std::min(recent_.shortest_reset.value_or(Duration::max()), reset->second.idle_age);
    unconfirmed_.erase(reset);
}

std::optional<Duration> IdleAgeLimits::shortest_reset() const {
    if (!recent_.shortest_reset) return earlier_.shortest_reset;
    return std::min(*recent_.shortest_reset, earlier_.shortest_reset.value_or(Duration::max()));
}

Duration IdleAgeLimits::longest_reuse() const {
    return std::max(recent_.longest_reuse.value_or(Duration(0)),
                    earlier_.longest_reuse.value_or(Duration(0)));
}

bool IdleAgeLimits::may_carry(Duration idle_age, Repetition repetition, bool idle_timeout_stated,
                              TimePoint now) {
    expire_evidence(now);
    if (const std::optional<Duration> reset = shortest_reset()) {
        const auto limit = std::chrono::duration_cast<Duration>(*reset * kSafeIdleAgeFraction);
        if (idle_age > limit) return false;
    }
    return repetition == Repetition::Allowed || idle_timeout_stated || idle_age <= longest_reuse();
}

}    // namespace shaletray
