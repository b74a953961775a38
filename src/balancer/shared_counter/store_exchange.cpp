#include "balancer/shared_counter/store_exchange.h"

#include <algorithm>

namespace shaletray::shared_counter {
namespace {

using namespace std::chrono_literals;

// When the first store comes back rows travel at once for a few exchanges, so that all have them within a
// second. Not at each return of one that comes and goes.
constexpr int kQuick = 8;
constexpr Duration kQuickAgain = 5s;
constexpr Duration kQuickEvery = 120ms;
constexpr int kActiveRounds = 1;    // of the standby's interval

}    // namespace

Exchange::Exchange(ExchangeSettings settings, Ledger& ledger, CounterStats& stats)
    : s_(std::move(settings)), ledger_(ledger), stats_(stats) {
    for (std::size_t i = 0; i < s_.stores.size(); ++i) {
        Store store;
        store.session = std::make_unique<Session>(s_.stores[i], ledger, stats, s_.seed + i);
        stores_.push_back(std::move(store));
    }
    stats_.stores = static_cast<int>(stores_.size());
}

void Exchange::tick(TimePoint now) {
    const bool none_before = stats_.up == 0;
    stats_.up = 0;
    Store* first = nullptr;    // the first in order that answers in time, or that answers at all
    for (Store& store : stores_) {
        Session& session = *store.session;
        session.tick(now);
        const bool up = session.up() && !session.wants_close();
        if (up && !store.was_up) store.due = now;
        store.was_up = up;
        stats_.up += up;
        if (session.brought_news()) store.active_until = now + kActiveRounds * s_.standby_every;
        if (up && (first == nullptr || (!first->session->prompt(now) && session.prompt(now)))) first = &store;
    }
    if (first == nullptr) return;
    if (none_before && (quick_at_ == TimePoint{} || now - quick_at_ >= kQuickAgain)) {
        quick_ = kQuick;
        quick_at_ = now;
    }
    // Rows are written once and go to all that are asked often; the others get what is in force in their
    // turn.
    std::vector<Store*> active;
    for (Store& store : stores_) {
        const bool often = &store == first || now < store.active_until;
        if (store.was_up && often && now >= store.due && store.session->room()) active.push_back(&store);
    }
    if (!active.empty()) {
        const auto rows = ledger_.rows_due(now, s_.most_rows);
        const auto wanted = ledger_.rows_wanted(now, s_.most_rows);
        const bool hurry = quick_ > 0;
        quick_ -= hurry;
        for (Store* store : active) {
            store->session->exchange(rows, wanted, now);
            store->due = now + (hurry ? kQuickEvery : s_.every);
        }
    }
    for (Store& store : stores_) {
        if (!store.was_up || now < store.due || !store.session->room()) continue;
        if (&store == first || now < store.active_until) continue;
        store.session->exchange(ledger_.rows_in_force(s_.most_rows),
                                ledger_.rows_wanted(now, s_.most_rows, true), now);
        store.due = now + s_.standby_every;
    }
}

std::optional<TimePoint> Exchange::next() const {
    std::optional<TimePoint> next;
    const auto at = [&](std::optional<TimePoint> when) {
        if (when && (!next || *when < *next)) next = when;
    };
    for (const Store& store : stores_) {
        at(store.session->next());
        if (store.session->up() && store.session->room()) at(store.due);
    }
    return next;
}

}    // namespace shaletray::shared_counter
