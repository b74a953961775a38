// Drives one decision::Gateway with scripted events and records its actions.
#pragma once

#include <algorithm>
#include <optional>
#include <vector>

#include "decision/control.h"

namespace shaletray::decision::test {

using namespace std::chrono_literals;

inline Settings small_site() {
    Settings s;
    s.me = 0;
    s.gateways = 3;
    ClassSettings safe;
    safe.repeat = Repeat::Safe;
    safe.aim = 1s;
    ClassSettings keyed = safe;
    keyed.repeat = Repeat::Keyed;
    keyed.group = KeyGroup::Cell;
    keyed.window = 500ms;
    ClassSettings unsafe = safe;
    unsafe.repeat = Repeat::Unsafe;
    s.classes = {safe, keyed, unsafe};
    PlanSettings plain;
    plain.rate = 30.0;
    plain.burst = 60.0;
    PlanSettings ceiling = plain;
    ceiling.ceiling_rate = 60.0;
    ceiling.ceiling_burst = 120.0;
    ceiling.ceiling_slack = 12.0;
    PlanSettings open;
    open.max_out = 6;
    s.plans = {plain, ceiling, open};
    s.send_cap = 4;
    s.may_cancel = s.may_probe = s.may_tell = true;
    s.max_retry_after = 1s;
    s.drain_grace = 500ms;
    s.cold = 10s;
    s.start_capacity = 0.2;
    s.fall_multiple = 3.0;
    s.fall = 1s;
    s.peer_messages_per_s = 40.0;
    s.most_units = 6.0;
    return s;
}
constexpr int kSafe = 0, kKeyed = 1, kUnsafe = 2;
constexpr int kPlain = 0, kCeiling = 1, kOpen = 2;

// Settings in which the quota of `plan` never limits.
inline Settings wide_open(int plan = kPlain) {
    Settings s = small_site();
    s.plans[static_cast<std::size_t>(plan)].rate = 1e6;
    s.plans[static_cast<std::size_t>(plan)].burst = 1e6;
    return s;
}

class Script {
public:
    explicit Script(Settings settings = small_site(), std::uint64_t seed = 1,
                    TimePoint start = TimePoint(100s))
        : now(start), gateway_(std::move(settings), seed) {}

    TimePoint now;
    std::vector<Action> actions;    // of the last event, or since the last clear()

    Gateway& gateway() { return gateway_; }
    void feed(const Event& event) { gateway_.handle(now, event, actions); }
    void clear() {
        collect_timers();
        actions.clear();
    }

    // Advances the time by `span` and fires the timers that are due meanwhile.
    void pass(Duration span) {
        const TimePoint until = now + span;
        while (true) {
            collect_timers();
            const auto next = std::min_element(timers_.begin(), timers_.end());
            if (next == timers_.end() || *next > until) break;
            now = std::max(now, *next);
            timers_.erase(next);
            feed(TimerFired{0});
        }
        now = until;
    }

    void hosts(int count, TimePoint born = TimePoint{}, int per_cell = 2, ListKind kind = ListKind::Full) {
        HostList list;
        list.kind = kind;
        for (int i = 1; i <= count; ++i) {
            HostEntry entry;
            entry.host = HostId{static_cast<std::uint32_t>(i)};
            entry.born = born;
            entry.cell = (i - 1) / per_cell;
            list.hosts.push_back(entry);
        }
        feed(list);
    }
    void host_state(std::uint32_t host, HostState state, TimePoint born = TimePoint{}) {
        HostList list;
        list.kind = ListKind::Delta;
        HostEntry entry;
        entry.host = HostId{host};
        entry.state = state;
        entry.born = born;
        list.hosts.push_back(entry);
        feed(list);
    }
    RequestId ask(int class_index = kSafe, double units = 1.0, std::uint64_t customer = 7, int plan = kPlain,
                  Duration budget = 2s, int width = 3, int first = 0) {
        RequestArrived r;
        r.request = RequestId{++last_id_};
        r.customer = CustomerId{customer};
        r.class_index = class_index;
        r.plan_index = plan;
        r.units = units;
        r.budget = budget;
        r.width = width;
        r.first_gateway = first;
        feed(r);
        return r.request;
    }
    void outcome(RequestId request, int attempt, HostId host, Outcome outcome, bool final = false,
                 double settled = 0.0, Duration took = 50ms) {
        AttemptFinished e;
        e.request = request;
        e.attempt = attempt;
        e.host = host;
        e.outcome = outcome;
        e.took = took;
        e.final = final;
        e.settled_units = settled;
        feed(e);
    }
    void served(const Send& send, double settled = 0.0) {
        outcome(send.request, 0, send.host, Outcome::Ok, true, settled);
    }

    template <class T>
    std::vector<T> all() const {
        std::vector<T> found;
        for (const Action& action : actions) {
            if (const T* a = std::get_if<T>(&action)) found.push_back(*a);
        }
        return found;
    }
    template <class T>
    std::optional<T> last() const {
        const std::vector<T> found = all<T>();
        return found.empty() ? std::nullopt : std::optional<T>(found.back());
    }
    // Sends requests until the quota is exhausted, and answers each at once. Returns the units that were
    // sent.
    double drain(std::uint64_t customer, int plan = kPlain, double units = 1.0, int tries = 500,
                 int width = 3) {
        double sent = 0.0;
        for (int i = 0; i < tries; ++i) {
            clear();
            const RequestId id = ask(kSafe, units, customer, plan, 300ms, width);
            const auto send = last<Send>();
            if (!send) {
                feed(RequestAborted{id});    // do not leave it queued
                break;
            }
            sent += units;
            served(*send);
        }
        return sent;
    }

private:
    void collect_timers() {
        for (const Action& action : actions) {
            if (const auto* t = std::get_if<SetTimer>(&action)) timers_.push_back(t->at);
        }
        std::erase_if(actions, [](const Action& a) { return std::holds_alternative<SetTimer>(a); });
    }

    Gateway gateway_;
    std::vector<TimePoint> timers_;
    std::uint32_t last_id_ = 0;
};

}    // namespace shaletray::decision::test
