// The periodic tick.
#include "decision/policy_constants.h"

namespace shaletray::decision {

constexpr Duration kIdleTick = 100ms;
constexpr Duration kServerCheckInterval = 50ms;

void Gateway::Impl::schedule_tick(TimePoint at) {
    if (next_tick_at_ <= at) return;
    next_tick_at_ = at;
    actions_->push_back(SetTimer{at, 0});
}

void Gateway::Impl::on_timer(TimePoint now) {
    if (now < next_tick_at_) return;
    next_tick_at_ = TimePoint::max();
    if (resubscribe_at_ != TimePoint{} && now >= resubscribe_at_) {
        resubscribe_at_ = TimePoint{};
        actions_->push_back(Subscribe{});
    }
    if (now >= next_server_check_at_) {
        next_server_check_at_ = now + kServerCheckInterval;
        refill_slow_start_budgets(now);
        check_servers(now);
        detect_hung_attempts(now);
        detect_slow_attempts(now);
    }
    dispatch_queue(now);
    send_peer_update(now);
    expire_customers(now);
    schedule_tick(now + (queued_.empty() && in_flight_ == 0 ? kIdleTick : kBusyTick));
}

}    // namespace shaletray::decision
