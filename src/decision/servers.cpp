// The state of the servers: host lists, health and outlier ejection, load reports, slow start.
#include "decision/policy_constants.h"

namespace shaletray::decision {

constexpr Duration kResubscribeDelay = 1s;    // after a failed list: at once would add to the overload
constexpr double kColdFleetWorkRate = 1.0;    // core seconds per second of a warm server while none is warm
constexpr int kMaxConnectionFailures = 4;     // in a row, failed connects counting twice: its process ended

void Gateway::Impl::on_host_list(const HostList& list, TimePoint now) {
    if (list.kind == ListKind::Failed) {
        if (settings_.ask_for_list) resubscribe_at_ = now + kResubscribeDelay;
        return;
    }
    if (list.kind != ListKind::Delta) {    // hosts that a full list leaves out are gone
        for (auto& [id, server] : servers_) server.entry.state = HostState::Gone;
    }
    for (const HostEntry& entry : list.hosts) {
        const bool is_new = !servers_.contains(entry.host);
        Server& server = servers_[entry.host];
        const bool restarted = is_new || entry.born > server.entry.born;
        server.entry = entry;
        if (!restarted) continue;
        const int in_flight = server.in_flight;
        server = Server{};    // statistics of the earlier process do not apply
        server.entry = entry;
        server.in_flight = in_flight;
        server.silent_since = server.counted_at = now;
        if (entry.born > TimePoint{} && now - entry.born < settings_.cold) slow_start(server, entry.born);
    }
    std::erase_if(servers_, [](const auto& it) {
        return it.second.entry.state == HostState::Gone && it.second.in_flight == 0 && !it.second.probing;
    });
    draw_order_.clear();
    for (auto& [id, server] : servers_) draw_order_.push_back(&server);
    const double initial_limit = fleet::kInitialInFlight * static_cast<double>(servers_.size()) / sharing();
    if (limit_cut_at_ == TimePoint{}) max_in_flight_ = std::max(max_in_flight_, initial_limit);
}

void Gateway::Impl::slow_start(Server& server, TimePoint started_at) {
    double work = 0.0;
    for (std::size_t i = 0; i < typical_latency_.size(); ++i) work = std::max(work, seconds(latency_of(i)));
    server.cold_since = started_at;
    server.slow_start_budget = -work * static_cast<double>(random_() % 1024) / 1024.0;
}

void Gateway::Impl::refill_slow_start_budgets(TimePoint now) {
    const double elapsed = std::min(1.0, seconds(now - warm_work_at_));
    warm_work_at_ = now;
    const auto warm_count = std::count_if(draw_order_.begin(), draw_order_.end(), [&](const Server* host) {
        return host->entry.state == HostState::Healthy && !host->ejected && capacity_share(*host, now) >= 1.0;
    });
    warm_work_ *= std::exp(-elapsed / 3.0);
    const double warm_rate =
        warm_count > 0 ? warm_work_ / 3.0 / static_cast<double>(warm_count) : kColdFleetWorkRate / sharing();
    for (auto& [id, server] : servers_) {
        const double share = capacity_share(server, now);
        if (share >= 1.0) {
            server.cold_since = TimePoint{};
            continue;
        }
        server.slow_start_budget = fleet::slow_start_budget(settings_, server.slow_start_budget, share,
                                                            warm_rate, warm_count > 0, elapsed);
    }
}

void Gateway::Impl::record_outcome(Server& server, bool success, TimePoint now) {
    const double decay = std::exp2(-seconds(now - server.counted_at) / kFailureHalfLife);
    server.successes = server.successes * decay + (success ? 1.0 : 0.0);
    server.failures = server.failures * decay + (success ? 0.0 : 1.0);
    server.counted_at = now;
    server.success_streak = success ? server.success_streak + 1 : 0;
    if (success && server.ejected && now >= server.ejected_until && server.success_streak >= 3) {
        server.ejected = server.unreachable = false;
        server.failures = 0.0;
    }
    if (success && !server.ejected && server.success_streak >= 50) server.ejection_count = 0;
    if (!success && (server.ejected || (server.failures >= 1.8 &&
                                        server.failures > 0.15 * (server.successes + server.failures))))
        eject(server, now, false);
}

void Gateway::Impl::eject(Server& server, TimePoint now, bool unreachable) {
    std::size_t listed = 0, ejected = 0;
    for (const Server* other : draw_order_) {
        const bool healthy = other->entry.state == HostState::Healthy;
        listed += healthy;
        ejected += healthy && other->ejected && other != &server;
    }
    if (static_cast<double>(ejected + 1) > (unreachable ? 0.67 : 0.4) * static_cast<double>(listed)) return;
    if (server.ejected && now < server.ejected_until) return;
    server.ejection_count = std::min(server.ejection_count + 1, 4);
    server.ejected = true;
    server.unreachable = unreachable;
    server.success_streak = 0;
    server.ejected_until = now + 500ms * (1 << server.ejection_count);
}

void Gateway::Impl::on_load_report(Server& server, const LoadReport& report, TimePoint now) {
    if (const auto it = report.find("outstanding"); it != report.end() && std::isfinite(it->second)) {
        const double load = std::clamp(it->second - server.in_flight, 0.0, 1e4);
        server.other_load = server.reported == TimePoint{} ? load : 0.7 * server.other_load + 0.3 * load;
        server.reported = now;
    }
}

bool Gateway::Impl::is_unresponsive(const Server& server, TimePoint now) const {
    if (server.in_flight == 0) return false;
    double max_latency = 0.05;
    for (const double observed : typical_latency_) max_latency = std::max(max_latency, observed);
    const double silent_seconds = seconds(now - server.silent_since);
    return silent_seconds > 8.0 * max_latency && silent_seconds * server.in_flight > 25.0 * max_latency;
}

void Gateway::Impl::check_servers(TimePoint now) {
    for (auto& [host, server] : servers_) {
        if (server.entry.state != HostState::Healthy) continue;
        if (is_unresponsive(server, now) && !(server.ejected && now < server.ejected_until)) {
            eject(server, now, true);
            if (!server.ejected) continue;    // else cancel attempts that can be retried in time
            for (auto& [request_id, request] : requests_) {
                if (!request.attempts.empty() && request.attempts.back().host == host)
                    cancel_for_retry(request_id, request, now);
            }
        }
        if (server.ejected && server.unreachable && settings_.may_probe && !server.probing &&
            now >= server.ejected_until && now - server.probed_at > 500ms) {
            server.probing = true;
            server.probed_at = now;
            actions_->push_back(Probe{host});
        }
    }
}

void Gateway::Impl::on_probe_finished(const ProbeFinished& event, TimePoint now) {
    const auto it = servers_.find(event.host);
    if (it == servers_.end()) return;
    Server& server = it->second;
    server.probing = false;
    on_load_report(server, event.report, now);
    if (!server.ejected || !server.unreachable) return;
    if (event.outcome == Outcome::Ok || event.outcome == Outcome::Full) {
        server.unreachable = false;    // trial traffic follows
        if (server.may_have_restarted) slow_start(server, now);
        server.may_have_restarted = false;
        server.silent_since = now;
    } else {
        eject(server, now, true);
    }
}

void Gateway::Impl::on_server_outcome(Server& server, const AttemptFinished& event, TimePoint now) {
    const bool responded = event.outcome <= Outcome::Full;    // the server itself did
    if (responded) server.silent_since = now, server.connection_failures = 0;
    on_load_report(server, event.report, now);
    switch (event.outcome) {
        case Outcome::Ok: record_outcome(server, true, now); break;
        case Outcome::Error: record_outcome(server, false, now); break;
        case Outcome::Full:
            server.avoid_until = now + 200ms;    // a fast rejection does not mean spare capacity
            adjust_limit(now, 1.0);
            break;
        case Outcome::ConnectFailed: server.avoid_until = now + 200ms; [[fallthrough]];
        case Outcome::Reset:    // idle connections break for many reasons, so one reset is not enough
            server.connection_failures += event.outcome == Outcome::Reset ? 1 : 2;
            if (server.connection_failures < kMaxConnectionFailures) break;
            server.may_have_restarted = true;
            eject(server, now, true);
            break;
        default: break;
    }
}

}    // namespace shaletray::decision
