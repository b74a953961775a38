#include "balancer/shared_counter/store_exchange.h"

#include <algorithm>

namespace shaletray::shared_counter {
namespace {

using namespace std::chrono_literals;

// When the first store comes back rows travel at once for a few exchanges, so that all have them within a
// second. Not at each return of one that comes and goes.
constexpr int kMaxImmediateExchanges = 8;
constexpr Duration kImmediateRefillDelay = 5s;
constexpr Duration kImmediateExchangeInterval = 120ms;
constexpr int kActiveStandbyIntervals = 1;    // of the standby's interval

}    // namespace

StoreExchange::StoreExchange(StoreExchangeSettings settings, QuotaStateTable& quota_state_table,
                             SharedCounterStatistics& statistics)
    : settings_(std::move(settings)), quota_state_table_(quota_state_table), statistics_(statistics) {
    for (std::size_t index = 0; index < settings_.stores.size(); ++index) {
        Store store;
        store.session = std::make_unique<StoreSession>(settings_.stores[index], quota_state_table, statistics,
                                                       settings_.random_seed + index);
        stores_.push_back(std::move(store));
    }
    statistics_.stores = static_cast<int>(stores_.size());
}

void StoreExchange::tick(TimePoint now) {
    const bool none_before = statistics_.stores_up == 0;
    statistics_.stores_up = 0;
    Store* first = nullptr;    // the first in order that answers in time, or that answers at all
    for (Store& store : stores_) {
        StoreSession& session = *store.session;
        session.tick(now);
        const bool up = session.is_up() && !session.close_reason();
        if (up && !store.was_up) store.next_due = now;
        store.was_up = up;
        statistics_.stores_up += up;
        if (session.take_row_surprise())
            store.active_until = now + kActiveStandbyIntervals * settings_.standby_interval;
        if (up && (first == nullptr || (!first->session->is_responsive(now) && session.is_responsive(now))))
            first = &store;
    }
    if (first == nullptr) return;
    if (none_before &&
        (immediate_allowed_at_ == TimePoint{} || now - immediate_allowed_at_ >= kImmediateRefillDelay)) {
        immediate_exchanges_ = kMaxImmediateExchanges;
        immediate_allowed_at_ = now;
    }
    // Rows are written once and go to all that are asked often; the others get what is in force in their
    // turn.
    std::vector<Store*> active;
    for (Store& store : stores_) {
        const bool often = &store == first || now < store.active_until;
        if (store.was_up && often && now >= store.next_due && store.session->has_call_capacity())
            active.push_back(&store);
    }
    if (!active.empty()) {
        const auto rows = quota_state_table_.rows_due(now, settings_.max_rows_per_call);
        const auto wanted = quota_state_table_.rows_to_read(now, settings_.max_rows_per_call);
        const bool hurry = immediate_exchanges_ > 0;
        immediate_exchanges_ -= hurry;
        for (Store* store : active) {
            store->session->exchange_rows(rows, wanted, now);
            store->next_due = now + (hurry ? kImmediateExchangeInterval : settings_.interval);
        }
    }
    for (Store& store : stores_) {
        if (!store.was_up || now < store.next_due || !store.session->has_call_capacity()) continue;
        if (&store == first || now < store.active_until) continue;
        store.session->exchange_rows(quota_state_table_.rows_in_force(settings_.max_rows_per_call),
                                     quota_state_table_.rows_to_read(now, settings_.max_rows_per_call, true),
                                     now);
        store.next_due = now + settings_.standby_interval;
    }
}

std::optional<TimePoint> StoreExchange::next_deadline() const {
    std::optional<TimePoint> next;
    const auto at = [&](std::optional<TimePoint> when) {
        if (when && (!next || *when < *next)) next = when;
    };
    for (const Store& store : stores_) {
        at(store.session->next_deadline());
        if (store.session->is_up() && store.session->has_call_capacity()) at(store.next_due);
    }
    return next;
}

}    // namespace shaletray::shared_counter
