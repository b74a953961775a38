// How much may be out at once, what goes beyond a quota, and what is too slow for its class.
#include "decision/policy_constants.h"

namespace shaletray::decision {

constexpr double kBeyondRoom = 0.5;      // of the limit and of the latency goal, for requests beyond quota
constexpr int kSlowAfter = 5;            // times the class's usual latency: far over it
constexpr double kSlowHalfLife = 4.0;    // seconds
constexpr double kSlowSeen = 2.5;        // slow attempts of a class at a server before it may stand out,
constexpr double kSlowShare = 0.3;       // their share of all there,
constexpr double kSlowApart = 3.0;       // and how many times the middle server's

// One concurrency limit over all servers, so that queues stay inside the aim; each gateway finds its own.
void Gateway::Impl::pressed(TimePoint now, double by) {
    lateness_ = 0.95 * lateness_ + 0.05 * by;
    const double n = static_cast<double>(servers_.size());
    if (lateness_ > s_.latency_goal && now - limit_cut_ > 200ms) {
        const double used = std::min(limit_, 1.2 * static_cast<double>(in_flight_ + 1));
        limit_ = std::max(1.0 + s_.least_out * n / sharing(), used * 0.85);
        limit_cut_ = now;
    } else if (lateness_ <= s_.latency_goal && static_cast<double>(in_flight_) > 0.8 * limit_) {
        limit_ = std::min(100.0 * n, limit_ + std::max(1.0, n / 4) / limit_);
    }
}

// Beyond quota: only where the plan pays more than it costs, and of the room, which others may need soon, a
// part.
bool Gateway::Impl::beyond_pays(const Request& r) const {
    const PlanSettings& p = plan(r.ask.plan_index);
    if (r.counted || r.beyond || p.over_worth <= p.over_cost) return false;
    return lateness_ < kBeyondRoom * s_.latency_goal &&
           static_cast<double>(in_flight_) < kBeyondRoom * limit_;
}

// Part of one class may hang at a server that answers all else quickly: then neither silence nor errors show
// it.
void Gateway::Impl::note_pace(Server& v, int class_index, bool slow, TimePoint now) {
    Slow& s = v.slow[class_index];
    s.decay(now, kSlowHalfLife);
    (slow ? s.slow : s.ok) += 1.0;
}

// Costly requests are slow at all servers alike, and where all are slow the load is: neither says anything of
// one.
bool Gateway::Impl::stands_out(const Server& v, int class_index, TimePoint now) const {
    const auto paced = [&](const Server& server) {
        const auto it = server.slow.find(class_index);
        Slow s = it == server.slow.end() ? Slow{} : it->second;
        s.decay(now, kSlowHalfLife);
        return s;
    };
    const Slow own = paced(v);
    if (own.slow < kSlowSeen || own.share() < kSlowShare) return false;
    std::vector<double> shares;
    for (const Server* other : by_draw_) shares.push_back(paced(*other).share());
    const auto middle = shares.begin() + static_cast<std::ptrdiff_t>(shares.size() / 2);
    std::nth_element(shares.begin(), middle, shares.end());
    return own.share() > kSlowApart * *middle;
}

// Attempts far over their class's usual time, and what they say of their server.
void Gateway::Impl::watch_pace(TimePoint now) {
    for (auto& [id, r] : requests_) {
        if (r.attempts.empty() || r.attempts.back().ran != Ran::Out || r.streaming) continue;
        Attempt& a = r.attempts.back();
        if (now - a.sent < kSlowAfter * typical_latency(r)) continue;
        const auto it = servers_.find(a.host);
        if (it == servers_.end()) continue;
        if (!std::exchange(a.slow, true)) note_pace(it->second, r.ask.class_index, true, now);
        if (stands_out(it->second, r.ask.class_index, now)) give_up_attempt(id, r, now);
    }
}

}    // namespace shaletray::decision
