// What is no decision: checks of the settings, which part hears of which event, and the public class around
// the module's state.
#include <algorithm>
#include <cmath>
#include <utility>

#include "decision/gateway_state.h"
#include "decision/policy_constants.h"

namespace shaletray::decision {

Gateway::Impl::Impl(Settings settings, std::uint64_t seed) : s_(std::move(settings)), random_(seed) {
    check(s_);
    if (s_.plans.empty()) s_.plans.emplace_back();
    typical_latency_.assign(s_.classes.size(), 0.0);
    retries_left_ = std::min(s_.retry_burst, s_.retry_start);
    set_message_pace();
}

void Gateway::Impl::handle(TimePoint now, const Event& event, std::vector<Action>& actions) {
    actions_ = &actions;
    if (!started_) {
        started_ = true;
        boot_ = warm_seen_ = slot_seen_ = retries_seen_ = now;
        mail_at_ = now - 2 * kAlone;
        if (s_.ask_for_list) actions.push_back(Subscribe{});
        arm(now + kBusyTick);
    }
    std::visit(
        Overloaded{[&](const RequestArrived& e) { arrive(e, now); },
                   [&](const AttemptFinished& e) { finished(e, now); },
                   [&](const AttemptStarted& e) { begun(e); }, [&](const RequestAborted& e) { aborted(e); },
                   [&](const ProbeFinished& e) { probe_heard(e, now); },
                   [&](const HostList& e) { list_heard(e, now); },
                   [&](const PeerBytes& e) { peer_heard(e, now); },
                   [&](const Allowance& e) { allowed(e, now); }, [&](const TimerFired&) { tick(now); }},
        event);
    if (std::holds_alternative<AttemptFinished>(event)) pump_freed(now);
    else if (std::holds_alternative<PeerBytes>(event)) pump(now);
    freed_ = nullptr;
}

void Gateway::Impl::check(const Settings& s) {
    if (s.gateways < 1) throw BadSettings("settings: there must be at least one gateway");
    if (s.me < 0 || s.me >= s.gateways) throw BadSettings("settings: own number out of range");
    if (s.classes.empty()) throw BadSettings("settings: no request classes");
    for (const ClassSettings& c : s.classes) {
        if (c.aim < Duration(0) || c.window < Duration(0))
            throw BadSettings("settings: negative time in a class");
    }
    for (const PlanSettings& p : s.plans) {
        for (const double value : {p.rate, p.burst, p.ceiling_rate, p.ceiling_burst, p.ceiling_slack}) {
            if (!(value >= 0.0) || !std::isfinite(value))
                throw BadSettings("settings: negative figure in a plan");
        }
        if (p.max_out < 0) throw BadSettings("settings: negative limit in a plan");
    }
    for (const double value : {s.retry_share, s.retry_burst, s.retry_start, s.retry_refill_per_s}) {
        if (!(value >= 0.0) || !std::isfinite(value))
            throw BadSettings("settings: negative figure for retries");
    }
    if (!(s.latency_goal > 0.0) || s.sharing < 0) throw BadSettings("settings: no such goal or sharing");
    if (s.cold < Duration(0) || s.fall < Duration(0) || !(s.start_capacity >= 0.0)) {
        throw BadSettings("settings: negative figure in the rules");
    }
}

void Gateway::Impl::check(const Settings& s, const RequestArrived& ask) {
    if (ask.class_index < 0 || static_cast<std::size_t>(ask.class_index) >= s.classes.size() ||
        ask.plan_index < 0 || static_cast<std::size_t>(ask.plan_index) >= s.plans.size() ||
        !(ask.units >= 0.0)) {
        throw std::out_of_range("request with an unknown class or plan, or negative units");
    }
}

void Gateway::Impl::adopt(const Settings& next) {
    check(next);
    const std::vector<ClassSettings> before = std::exchange(s_.classes, next.classes);
    const std::vector<double> learned =
        std::exchange(typical_latency_, std::vector<double>(s_.classes.size(), 0.0));
    for (std::size_t i = 0; i < s_.classes.size(); ++i) {
        const bool stays = i < before.size() && before[i].name == s_.classes[i].name;
        const auto like = std::find_if(before.begin(), before.end(),
                                       [&](const ClassSettings& c) { return c.name == s_.classes[i].name; });
        if (stays) typical_latency_[i] = learned[i];
        else if (like != before.end())
            typical_latency_[i] = learned[static_cast<std::size_t>(like - before.begin())];
        if (stays) continue;
        for (auto& [id, v] : servers_) v.slow.erase(static_cast<int>(i));
    }
    static_cast<RequestLimits&>(s_) = next;
}

std::size_t Gateway::Impl::avoided() const {
    return static_cast<std::size_t>(std::count_if(by_draw_.begin(), by_draw_.end(), [](const Server* v) {
        return v->ejected && v->entry.state == HostState::Healthy;
    }));
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
