#include "cluster/ownership/grant_rules.h"

#include <algorithm>

namespace shaletray::ownership {

Duration choose_hold(Duration heartbeat_interval, Duration max_hold) {
    return std::min(2 * heartbeat_interval + kHeartbeatResponseTimeout, max_hold);
}

Duration settle_wait(Duration hold) {
    return kMaxConfirmationAge + hold + hold / kClockLagDivisor + kClockMargin;
}

bool may_grant(std::optional<TimePoint> confirmed_at, TimePoint now) {
    return confirmed_at && now - *confirmed_at <= kMaxConfirmationAge;
}

std::vector<const Assignment*> granted_rows(const Assignments& rows, const std::string& server_id) {
    std::vector<const Assignment*> granted;
    for (const Assignment& row : rows)
        if (row.settled && row.owner == server_id) granted.push_back(&row);
    return granted;
}

}    // namespace shaletray::ownership
