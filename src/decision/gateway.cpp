// The public class Gateway, validation of settings, and dispatch of events. Holds no decisions.
#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/gateway_state.h"
#include "decision/policy_constants.h"

namespace shaletray::decision {

Gateway::Impl::Impl(Settings settings, std::uint64_t seed) : settings_(std::move(settings)), random_(seed) {
    validate(settings_);
    if (settings_.plans.empty()) settings_.plans.emplace_back();
    typical_latency_.assign(settings_.classes.size(), 0.0);
    retry_tokens_ = std::min(settings_.retry_burst, settings_.retry_start);
    init_message_pacing();
}

void Gateway::Impl::handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
    actions_ = &actions;
    if (!started_) {
        started_ = true;
        started_at_ = warm_work_at_ = send_budget_at_ = retry_tokens_at_ = now;
        last_peer_message_at_ = now - 2 * kIsolatedAfter;
        if (settings_.ask_for_list) actions.push_back(Subscribe{});
        schedule_tick(now + kBusyTick);
    }
    std::visit(Overloaded{[&](const RequestArrived& e) { on_request_arrived(e, now); },
                          [&](const AttemptFinished& e) { on_attempt_finished(e, now); },
                          [&](const AttemptStarted& e) { on_attempt_started(e); },
                          [&](const RequestAborted& e) { on_request_aborted(e); },
                          [&](const ProbeFinished& e) { on_probe_finished(e, now); },
                          [&](const HostList& e) { on_host_list(e, now); },
                          [&](const PeerBytes& e) { on_peer_message(e, now); },
                          [&](const Allowance& e) { on_allowance(e, now); },
                          [&](const TimerFired&) { on_timer(now); }},
               event);
    if (std::holds_alternative<AttemptFinished>(event)) dispatch_after_outcome(now);
    else if (std::holds_alternative<PeerBytes>(event)) dispatch_queue(now);
    freed_customer_ = nullptr;
}

void Gateway::Impl::validate(const Settings& settings) {
    if (settings.gateways < 1) throw BadSettings("settings: there must be at least one gateway");
    if (settings.me < 0 || settings.me >= settings.gateways)
        throw BadSettings("settings: index of this gateway is out of range");
    if (settings.classes.empty()) throw BadSettings("settings: no request classes");
    for (const ClassSettings& request_class : settings.classes) {
        if (request_class.aim < Duration(0) || request_class.window < Duration(0))
            throw BadSettings("settings: a class has a negative duration");
    }
    for (const PlanSettings& plan : settings.plans) {
        for (const double value :
             {plan.rate, plan.burst, plan.ceiling_rate, plan.ceiling_burst, plan.ceiling_slack}) {
            if (!(value >= 0.0) || !std::isfinite(value))
                throw BadSettings("settings: a plan has a negative or infinite number");
        }
        if (plan.max_out < 0) throw BadSettings("settings: a plan has a negative limit");
    }
    for (const double value :
         {settings.retry_share, settings.retry_burst, settings.retry_start, settings.retry_refill_per_s}) {
        if (!(value >= 0.0) || !std::isfinite(value))
            throw BadSettings("settings: a retry budget number is negative or infinite");
    }
    if (!(settings.latency_goal > 0.0) || settings.sharing < 0)
        throw BadSettings(
            "settings: the latency goal must be positive and the number of sharing gateways not negative");
    if (settings.cold < Duration(0) || settings.fall < Duration(0) || !(settings.start_capacity >= 0.0)) {
        throw BadSettings("settings: a slow start number is negative");
    }
}

void Gateway::Impl::validate(const Settings& settings, const RequestArrived& arrival) {
    if (arrival.class_index < 0 || static_cast<std::size_t>(arrival.class_index) >= settings.classes.size() ||
        arrival.plan_index < 0 || static_cast<std::size_t>(arrival.plan_index) >= settings.plans.size() ||
        !(arrival.units >= 0.0)) {
        throw std::out_of_range("request with an unknown class or plan, or negative units");
    }
}

void Gateway::Impl::adopt(const Settings& next) {
    validate(next);
    const std::vector<ClassSettings> previous_classes = std::exchange(settings_.classes, next.classes);
    const std::vector<double> previous_latency =
        std::exchange(typical_latency_, std::vector<double>(settings_.classes.size(), 0.0));
    for (std::size_t i = 0; i < settings_.classes.size(); ++i) {
        const bool unchanged =
            i < previous_classes.size() && previous_classes[i].name == settings_.classes[i].name;
        const auto same_name = std::find_if(previous_classes.begin(), previous_classes.end(),
                                            [&](const ClassSettings& request_class) {
                                                return request_class.name == settings_.classes[i].name;
                                            });
        if (unchanged) typical_latency_[i] = previous_latency[i];
        else if (same_name != previous_classes.end())
            typical_latency_[i] =
                previous_latency[static_cast<std::size_t>(same_name - previous_classes.begin())];
        if (unchanged) continue;
        for (auto& [id, server] : servers_) server.class_latency.erase(static_cast<int>(i));
    }
    static_cast<RequestLimits&>(settings_) = next;
}

std::size_t Gateway::Impl::avoided() const {
    return static_cast<std::size_t>(std::count_if(
        draw_order_.begin(), draw_order_.end(),
        [](const Server* server) { return server->ejected && server->entry.state == HostState::Healthy; }));
}

Gateway::Gateway(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
Gateway::~Gateway() = default;
Gateway::Gateway(Gateway&&) noexcept = default;
Gateway& Gateway::operator=(Gateway&&) noexcept = default;
void Gateway::handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
    impl_->handle(now, event, actions);
}

void Gateway::adopt(const Settings& next) { impl_->adopt(next); }
std::size_t Gateway::avoided() const { return impl_->avoided(); }

}    // namespace shaletray::decision
