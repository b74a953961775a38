// The tick: what is done as time passes.
#include "decision/policy_constants.h"

namespace shaletray::decision {

constexpr Duration kIdleTick = 100ms;
constexpr Duration kSweepEvery = 50ms;    // of all servers: budgets, silence, probes due

// Brings the next tick forward: a client may leave before an idle gateway's tick. Overtaken timers are
// ignored.
void Gateway::Impl::arm(TimePoint at) {
    if (next_tick_ <= at) return;
    next_tick_ = at;
    actions_->push_back(SetTimer{at, 0});
}

void Gateway::Impl::tick(TimePoint now) {
    if (now < next_tick_) return;
    next_tick_ = TimePoint::max();
    if (ask_list_at_ != TimePoint{} && now >= ask_list_at_) {
        ask_list_at_ = TimePoint{};
        actions_->push_back(Subscribe{});
    }
    if (now >= next_sweep_) {
        next_sweep_ = now + kSweepEvery;
        feed_cold(now);
        watch_servers(now);
        watch_attempts(now);
        watch_pace(now);
    }
    pump(now);
    tell_neighbours(now);
    expire(now);
    arm(now + (held_.empty() && in_flight_ == 0 ? kIdleTick : kBusyTick));
}

}    // namespace shaletray::decision
