// Sends, their outcomes, and further attempts.
#include "decision/policy_constants.h"

namespace shaletray::decision {

constexpr int kHungAfter = 10;    // times the class's usual latency

// True where it went out. Only the first send of a request takes units.
bool Gateway::Impl::try_send(Request& r, TimePoint now) {
    Customer& c = *r.of;
    if (!has_units(r, c, now)) return false;
    if (static_cast<double>(in_flight_) >= limit_) return false;
    if (now + typical_latency(r) > r.deadline) return false;    // would be answered too late
    Server* v = choose(r, now);
    if (v == nullptr) return false;
    unhold(r);
    if (!r.counted) {
        r.counted = true;
        if (!r.beyond) c.quota.level -= r.ask.units;
        active_.insert(r.ask.customer);
        c.ceiling.level -= r.ask.units;
        retries_left_ = std::min(s_.retry_burst, retries(now) + s_.retry_share);
    }
    const double work = seconds(typical_latency(r));
    if (coldness(*v, now) < 1.0) v->cold_work -= work;
    else warm_work_ += work;
    if (v->in_flight == 0) v->quiet_since = now;
    ++c.in_flight;
    r.attempts.push_back({v->entry.host, now});
    load(r.attempts.back(), 1);
    arm(now + kBusyTick);
    actions_->push_back(Send{r.ask.request, v->entry.host, Duration(0)});
    return true;
}

// Tokens for further attempts.
double Gateway::Impl::retries(TimePoint now) {
    const double gained = s_.retry_refill_per_s * seconds(now - std::exchange(retries_seen_, now));
    return retries_left_ = std::min(s_.retry_burst, retries_left_ + gained);
}

// Counts an attempt into, or out of, what is held to be in work.
void Gateway::Impl::load(Attempt& a, int by) {
    if (a.hung) return;
    in_flight_ += by;
    if (const auto it = servers_.find(a.host); it != servers_.end()) it->second.in_flight += by;
}

// An attempt far over its class's usual time at a server that answers others quickly hangs or was lost: it is
// no load (i632478: part of a class hung). Covers lossy links. Not while all is slow: then late attempts are
// load.
void Gateway::Impl::watch_attempts(TimePoint now) {
    for (auto& [id, r] : requests_) {
        if (r.attempts.empty() || r.attempts.back().ran != Ran::Out || r.streaming) continue;
        Attempt& a = r.attempts.back();
        if (a.hung || now - a.sent < kHungAfter * typical_latency(r) ||
            typical_latency(r) > class_of(r).aim / 7)
            continue;
        const auto it = servers_.find(a.host);
        if (it == servers_.end() || it->second.quiet_since < a.sent + 2 * typical_latency(r)) continue;
        load(a, -1);
        a.hung = true;
    }
}

// Calls an attempt off where another may follow in time; the rest is decided on its outcome.
void Gateway::Impl::give_up_attempt(RequestId id, Request& r, TimePoint now) {
    Attempt& a = r.attempts.back();
    const ClassSettings& c = class_of(r);
    if (a.ran != Ran::Out || a.stopped || r.streaming || !s_.may_cancel || c.repeat == Repeat::Unsafe) return;
    if (static_cast<int>(r.attempts.size()) >= most_attempts(r) || retries(now) < 1.0) return;
    if (c.repeat == Repeat::Keyed && now - r.attempts.front().sent + kBusyTick >= c.window) return;
    if (now + typical_latency(r) > std::min(r.deadline, r.arrived + c.aim)) return;
    a.stopped = true;
    actions_->push_back(CancelAttempt{id, static_cast<int>(r.attempts.size()) - 1});
}

void Gateway::Impl::learn_latency(Server& v, const AttemptFinished& e, const Request& r, TimePoint now) {
    const double took = std::max(1e-4, seconds(e.took));
    double& typical = typical_latency_[static_cast<std::size_t>(r.ask.class_index)];
    // The median: a few hung or costly attempts must not stretch what counts as usual.
    typical = typical == 0.0 ? took : typical * (took > typical ? 1.03 : 1.0 / 1.03);
    v.slowness = std::clamp(0.95 * v.slowness + 0.05 * std::min(5.0, took / typical), 0.5, 4.0);
    pressed(now, std::min(2.0, took / std::max(1e-3, seconds(class_of(r).aim))));
}

void Gateway::Impl::finished(const AttemptFinished& e, TimePoint now) {
    const auto sit = servers_.find(e.host);
    Server* v = sit == servers_.end() ? nullptr : &sit->second;
    Request* r = find(e.request);
    if (v != nullptr) heard(*v, e, now);
    if (r == nullptr || e.attempt < 0 || static_cast<std::size_t>(e.attempt) >= r->attempts.size()) return;
    Attempt& a = r->attempts[static_cast<std::size_t>(e.attempt)];
    if (a.ran != Ran::Out) return;
    load(a, -1);
    const bool never =
        e.outcome == Outcome::Full || e.outcome == Outcome::ConnectFailed || e.outcome == Outcome::NotSent;
    a.ran = never ? Ran::Never : Ran::Maybe;
    // Nothing came to the server: the token that this attempt took, if any, is the next one's.
    const bool nowhere = s_.retry_refunds && never && e.outcome != Outcome::Full;
    if (!nowhere) r->reached = true, r->token = false;
    Customer& c = *r->of;
    --c.in_flight;
    freed_ = &c;
    if (e.outcome == Outcome::Ok) {
        if (v != nullptr) learn_latency(*v, e, *r, now);
        if (v != nullptr && !a.slow) note_pace(*v, r->ask.class_index, false, now);
        // Squared locally; the ceiling goes by the guess.
        if (e.settled_units > 0.0 && s_.settles && !r->beyond) {
            c.quota.level -= e.settled_units - r->ask.units;
            active_.insert(r->ask.customer);
        }
    } else if (e.outcome == Outcome::Timeout && v != nullptr && v->quiet_since <= a.sent) {
        pressed(now, 1.5);    // nothing came back meanwhile; else it hung, and says nothing of the load
    }
    if (e.final || e.outcome == Outcome::Ok) return drop(*r);
    if (e.outcome == Outcome::NotSent) return finish(*r, now);
    after_failure(*r, now);
}

void Gateway::Impl::after_failure(Request& r, TimePoint now) {
    const ClassSettings& c = class_of(r);
    const Duration left = (c.late_share > 0.0 ? r.deadline : std::min(r.deadline, r.arrived + c.aim)) - now;
    const bool takes = r.reached && !r.token;
    if ((takes && retries(now) < 1.0) || left < typical_latency(r)) return finish(r, now);
    if (std::none_of(by_draw_.begin(), by_draw_.end(), [&](Server* v) { return legal(r, v, now); }))
        return finish(r, now);
    if (takes) retries_left_ -= 1.0;
    r.token = r.reached;
    if (try_send(r, now)) return;
    r.hold_until = now + left / 2;
    hold(r, now);
}

// The final answer where nothing more is sent: a refusal where that is allowed, else a failure.
void Gateway::Impl::finish(Request& r, TimePoint now) {
    if (beyond_pays(r) && r.of != nullptr) {
        r.beyond = true;
        if (try_send(r, now)) return;
    }
    if (legal(r, nullptr, now)) {
        const Duration wait = r.of == nullptr ? Duration(0) : refilled_in(*r.of, r.ask.units, now);
        actions_->push_back(Refuse{r.ask.request, std::clamp(wait, Duration(0), s_.max_retry_after)});
    } else {
        actions_->push_back(Fail{r.ask.request});
    }
    drop(r);
}

void Gateway::Impl::drop(Request& r) {
    unhold(r);
    if (!r.attempts.empty() && r.attempts.back().ran == Ran::Out) {
        load(r.attempts.back(), -1);
        --r.of->in_flight;
    } else if (r.token && s_.retry_refunds) {
        retries_left_ = std::min(s_.retry_burst, retries_left_ + 1.0);
    }
    requests_.erase(r.ask.request);
}

}    // namespace shaletray::decision
