// The view of servers: lists, health, reports and cold starts.
#include "decision/policy_constants.h"

namespace shaletray::decision {

constexpr Duration kAskAgain = 1s;
constexpr double kColdFleetWork = 1.0;    // core seconds a second a warm host surely does, where none is warm
constexpr int kBroken = 4;    // resets in a row, or half as many failed connects: its process ended

void Gateway::Impl::list_heard(const HostList& e, TimePoint now) {
    if (e.kind == ListKind::Failed) {
        if (s_.ask_for_list) ask_list_at_ = now + kAskAgain;    // at once would add to what made it fail
        return;
    }
    if (e.kind != ListKind::Delta) {
        for (auto& [id, v] : servers_)
            v.entry.state = HostState::Gone;    // what a whole list leaves out is gone
    }
    for (const HostEntry& entry : e.hosts) {
        const bool is_new = !servers_.contains(entry.host);
        Server& v = servers_[entry.host];
        const bool restarted = is_new || entry.born > v.entry.born;
        v.entry = entry;
        if (!restarted) continue;
        const int in_flight = v.in_flight;
        v = Server{};    // nothing learned of an earlier process holds for this one
        v.entry = entry;
        v.in_flight = in_flight;
        v.quiet_since = v.counted = now;
        if (entry.born > TimePoint{} && now - entry.born < s_.cold) set_cold(v, entry.born);
    }
    std::erase_if(servers_, [](const auto& item) {
        return item.second.entry.state == HostState::Gone && item.second.in_flight == 0 &&
               !item.second.probing;
    });
    by_draw_.clear();
    for (auto& [id, v] : servers_) by_draw_.push_back(&v);
    const double start = fleet::kStartOut * static_cast<double>(servers_.size()) / sharing();
    if (limit_cut_ == TimePoint{}) limit_ = std::max(limit_, start);    // lists may grow one by one at first
}

// A budget may be overdrawn by one request. That hundreds of gateways do not all begin with that, each starts
// with a seeded part of one owed, so that their sum follows the budgets from the first second.
void Gateway::Impl::set_cold(Server& v, TimePoint since) {
    double work = 0.0;
    for (std::size_t i = 0; i < typical_latency_.size(); ++i)
        work = std::max(work, seconds(typical_latency(i)));
    v.cold_since = since;
    v.cold_work = -work * static_cast<double>(random_() % 1024) / 1024.0;
}

void Gateway::Impl::feed_cold(TimePoint now) {
    const double dt = std::min(1.0, seconds(now - warm_seen_));
    warm_seen_ = now;
    const auto warm = std::count_if(by_draw_.begin(), by_draw_.end(), [&](const Server* v) {
        return v->entry.state == HostState::Healthy && !v->ejected && coldness(*v, now) >= 1.0;
    });
    warm_work_ *= std::exp(-dt / 3.0);
    const double each = warm > 0 ? warm_work_ / 3.0 / static_cast<double>(warm) : kColdFleetWork / sharing();
    for (auto& [id, v] : servers_) {
        const double share = coldness(v, now);
        if (share >= 1.0) {
            v.cold_since = TimePoint{};
            continue;
        }
        v.cold_work = fleet::cold_budget(s_, v.cold_work, share, each, warm > 0, dt);
    }
}

void Gateway::Impl::count_outcome(Server& v, bool good, TimePoint now) {
    const double keep = std::exp2(-seconds(now - v.counted) / kFailHalfLife);
    v.ok = v.ok * keep + (good ? 1.0 : 0.0);
    v.bad = v.bad * keep + (good ? 0.0 : 1.0);
    v.counted = now;
    v.streak = good ? v.streak + 1 : 0;
    if (good && v.ejected && now >= v.ejected_until && v.streak >= 3) {
        v.ejected = v.hard = false;
        v.bad = 0.0;
    }
    if (good && !v.ejected && v.streak >= 50) v.ejections = 0;
    if (!good && (v.ejected || (v.bad >= 1.8 && v.bad > 0.15 * (v.ok + v.bad)))) eject(v, now, false);
}

// Outlier ejection. When most servers look bad the cause is common: then no more are taken out.
void Gateway::Impl::eject(Server& v, TimePoint now, bool hard) {
    std::size_t listed = 0, out = 0;
    for (const Server* other : by_draw_) {
        const bool healthy = other->entry.state == HostState::Healthy;
        listed += healthy;
        out += healthy && other->ejected && other != &v;
    }
    if (static_cast<double>(out + 1) > (hard ? 0.67 : 0.4) * static_cast<double>(listed)) return;
    if (v.ejected && now < v.ejected_until) return;
    v.ejections = std::min(v.ejections + 1, 4);
    v.ejected = true;
    v.hard = hard;
    v.streak = 0;
    v.ejected_until = now + 500ms * (1 << v.ejections);
}

void Gateway::Impl::report_heard(Server& v, const LoadReport& report, TimePoint now) {
    if (const auto it = report.find("outstanding"); it != report.end() && std::isfinite(it->second)) {
        const double others = std::clamp(it->second - v.in_flight, 0.0, 1e4);
        v.others = v.reported == TimePoint{} ? others : 0.7 * v.others + 0.3 * others;
        v.reported = now;
    }
}

// Silence is not slowness: nothing came back for far longer than so many attempts out would take.
bool Gateway::Impl::suspect(const Server& v, TimePoint now) const {
    if (v.in_flight == 0) return false;
    double typical = 0.05;
    for (const double seen : typical_latency_) typical = std::max(typical, seen);
    const double silent = seconds(now - v.quiet_since);
    return silent > 8.0 * typical && silent * v.in_flight > 25.0 * typical;
}

void Gateway::Impl::watch_servers(TimePoint now) {
    for (auto& [id, v] : servers_) {
        if (v.entry.state != HostState::Healthy) continue;
        if (suspect(v, now) && !(v.ejected && now < v.ejected_until)) {
            eject(v, now, true);
            if (!v.ejected) continue;
            // Attempts there are given up where another may follow, so that the rest of the aim is not lost.
            for (auto& [rid, r] : requests_) {
                if (!r.attempts.empty() && r.attempts.back().host == id) give_up_attempt(rid, r, now);
            }
        }
        // A server that could not be reached is asked again by probe, not with a client's request.
        if (v.ejected && v.hard && s_.may_probe && !v.probing && now >= v.ejected_until &&
            now - v.probed > 500ms) {
            v.probing = true;
            v.probed = now;
            actions_->push_back(Probe{id});
        }
    }
}

void Gateway::Impl::probe_heard(const ProbeFinished& e, TimePoint now) {
    const auto it = servers_.find(e.host);
    if (it == servers_.end()) return;
    Server& v = it->second;
    v.probing = false;
    report_heard(v, e.report, now);
    if (!v.ejected || !v.hard) return;
    if (e.outcome == Outcome::Ok || e.outcome == Outcome::Full) {
        v.hard = false;                     // runs again: on to trial traffic
        if (v.refused) set_cold(v, now);    // perhaps restarted, which the list tells seconds later only
        v.refused = false;
        v.quiet_since = now;
    } else {
        eject(v, now, true);
    }
}

// What an attempt's end says of its server.
void Gateway::Impl::heard(Server& v, const AttemptFinished& e, TimePoint now) {
    // Only what the server itself said ends its silence, or shows that its process runs.
    const bool said = e.outcome <= Outcome::Full;
    if (said) v.quiet_since = now, v.broken = 0;
    report_heard(v, e.report, now);
    switch (e.outcome) {
        case Outcome::Ok: count_outcome(v, true, now); break;
        case Outcome::Error: count_outcome(v, false, now); break;
        case Outcome::Full:
            v.avoid_until = now + 200ms;    // a fast answer here is no sign of room
            pressed(now, 1.0);
            break;
        case Outcome::ConnectFailed: v.avoid_until = now + 200ms; [[fallthrough]];
        case Outcome::Reset:    // kept connections break for many reasons: one alone is no process's end
            v.broken += e.outcome == Outcome::Reset ? 1 : 2;
            if (v.broken < kBroken) break;
            v.refused = true;
            eject(v, now, true);
            break;
        default: break;
    }
}

}    // namespace shaletray::decision
