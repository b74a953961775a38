// Which server a request may go to, and which it goes to.
#include "decision/policy_constants.h"

namespace shaletray::decision {

constexpr std::size_t kCandidates = 4;
constexpr double kSlowCost = 20.0;    // of a server that stands out as slow for the class
constexpr int kAimPerUsual = 8;       // the aim over the usual latency, until that is seen

// The one place that says whether a request may be sent to `target`, or refused (no target).
bool Gateway::Impl::legal(const Request& r, const Server* target, TimePoint now) const {
    const ClassSettings& c = class_of(r);
    const Attempt* first = nullptr;    // the first that may have run
    for (const Attempt& a : r.attempts) {
        if (a.ran == Ran::Out && target != nullptr) return false;    // never two at once
        if (a.ran != Ran::Never && first == nullptr) first = &a;
    }
    if (target == nullptr) {
        if (first == nullptr || c.repeat == Repeat::Safe) return true;
        return c.repeat == Repeat::Keyed && c.group == KeyGroup::All;
    }
    if (r.streaming || static_cast<int>(r.attempts.size()) >= most_attempts(r) || now >= r.deadline)
        return false;
    if (r.ask.only_host != HostId{} && r.ask.only_host != target->entry.host) return false;
    if (target->entry.state != HostState::Healthy) return false;    // drains: nothing new, at once
    if (first == nullptr || c.repeat == Repeat::Safe) return true;
    if (c.repeat == Repeat::Unsafe || now - first->sent >= c.window) return false;
    if (c.group == KeyGroup::All) return true;
    const auto it = servers_.find(first->host);
    if (it == servers_.end()) return false;
    return c.group == KeyGroup::Zone ? it->second.entry.zone == target->entry.zone
                                     : it->second.entry.cell == target->entry.cell;
}

Duration Gateway::Impl::typical_latency(std::size_t class_index) const {
    const double seen = typical_latency_[class_index];
    return seen > 0.0 ? from_seconds(seen) : s_.classes[class_index].aim / kAimPerUsual;
}

bool Gateway::Impl::usable(const Request& r, const Server& v, TimePoint now, bool any) const {
    if (!legal(r, &v, now)) return false;
    const double warm = coldness(v, now);
    if (warm < 1.0 && v.cold_work <= 0.0) return false;
    if (any) return true;
    for (const Attempt& a : r.attempts) {
        if (a.host == v.entry.host) return false;    // avoid the one that just failed
    }
    if (now < v.avoid_until) return false;
    if (v.ejected) {
        // Trial traffic: one at a time, and nothing that could be lost for good.
        return now >= v.ejected_until && !v.hard && v.in_flight == 0 && class_of(r).repeat == Repeat::Safe;
    }
    return !suspect(v, now);
}

double Gateway::Impl::cost(const Request& r, const Server& v, TimePoint now) const {
    const double others =
        v.reported == TimePoint{} ? 0.0 : v.others * std::exp2(-seconds(now - v.reported) / 0.5);
    const double keep = std::exp2(-seconds(now - v.counted) / kFailHalfLife);
    const double failing = v.bad * keep / (1.0 + (v.ok + v.bad) * keep);
    const double far = v.entry.zone == s_.zone ? 1.0 : 1.1;
    // In a sparse fleet cold servers are drawn less often; what is out there would not make up for their
    // size.
    const double size = std::max(0.01, v.entry.rating * (fleet::sparse(s_) ? 1.0 : coldness(v, now)));
    const double slow = stands_out(v, r.ask.class_index, now) ? kSlowCost : 1.0;
    return (1.0 + v.in_flight + others) * v.slowness * (1.0 + 10.0 * failing) * slow * far / size;
}

// Least expected wait among a few random candidates, so that gateways do not all run to the same server.
Gateway::Impl::Server* Gateway::Impl::choose(const Request& r, TimePoint now) {
    std::vector<Server*> fit;
    // A few draws find candidates in a large fleet without testing every host.
    for (std::size_t i = 0; i < by_draw_.size() && fit.size() < kCandidates; ++i) {
        std::swap(by_draw_[i], by_draw_[i + random_() % (by_draw_.size() - i)]);
        if (!usable(r, *by_draw_[i], now, false)) continue;
        const double share = coldness(*by_draw_[i], now);
        if (share >= 1.0 || !fleet::sparse(s_) || fleet::cold_drawn(s_, share, random_()))
            fit.push_back(by_draw_[i]);
    }
    for (std::size_t i = 0; i < by_draw_.size() && fit.empty(); ++i) {
        if (usable(r, *by_draw_[i], now, true)) fit.push_back(by_draw_[i]);
    }
    if (fit.empty()) return nullptr;
    const auto cheaper = [&](const Server* a, const Server* b) {
        return cost(r, *a, now) < cost(r, *b, now);
    };
    return *std::min_element(fit.begin(), fit.end(), cheaper);
}

}    // namespace shaletray::decision
