#include "controller/unconfirmed_updates.h"

#include <algorithm>

#include "cluster/subscription/subscription.h"

namespace shaletray::controller {

bool GatewayPosition::is_behind(const GatewayPosition& other) const {
    return version < other.version || sequence < other.sequence ||
           ownership_version < other.ownership_version;
}

void UnconfirmedUpdates::record_sent(std::uint32_t number, const GatewayPosition& position_after) {
    if (in_flight_.size() < kMaxTracked) in_flight_.push_back({number, position_after});
    else in_flight_.back() = {number, position_after};
}

GatewayPosition UnconfirmedUpdates::on_report(std::uint32_t last_update, const GatewayPosition& reported) {
    const bool has_subscribed_anew = last_update == subscription::kNoUpdate && last_update != last_reported_;
    if (last_update == subscription::kNotTold || has_subscribed_anew) clear();
    last_reported_ = last_update;
    if (last_update != subscription::kNoUpdate) confirm_up_to(last_update);
    if (confirmed_ && reported.is_behind(*confirmed_)) clear();
    if (in_flight_.empty()) return reported;
    GatewayPosition position = in_flight_.back().position_after;
    if (reported.version >= position.version) {    // it has it from another controller
        position.version = reported.version;
        position.digest = reported.digest;
    }
    position.ownership_version = std::max(position.ownership_version, reported.ownership_version);
    return position;
}

void UnconfirmedUpdates::confirm_up_to(std::uint32_t number) {
    while (!in_flight_.empty() && !subscription::is_later_update(in_flight_.front().number, number)) {
        confirmed_ = in_flight_.front().position_after;
        in_flight_.pop_front();
    }
}

void UnconfirmedUpdates::clear() {
    in_flight_.clear();
    confirmed_.reset();
}

}    // namespace shaletray::controller
