#include "balancer/shared_counter/store_exchange.h"

#include <algorithm>

namespace shaletray::shared_counter {
namespace {

using namespace std::chrono_literals;

// When the first store is reachable again, a few exchanges follow each other quickly, so that all gateways
// have the rows within a second. The cooldown prevents this at each return of an unstable store.
constexpr int kMaxImmediateExchanges = 8;
constexpr Duration kImmediateExchangeCooldown = 5s;
constexpr Duration kImmediateExchangeInterval = 120ms;
constexpr int kActiveStandbyIntervals = 1;    // in standby intervals

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
    const bool all_were_down = statistics_.stores_up == 0;
    statistics_.stores_up = 0;
    Store* preferred = nullptr;    // the first one that replies in time, else the first one that is up
    for (Store& store : stores_) {
        StoreSession& session = *store.session;
        session.tick(now);
        const bool up = session.is_up() && !session.close_reason();
        if (up && !store.was_up) store.next_due = now;
        store.was_up = up;
        statistics_.stores_up += up;
        if (session.take_overdue_row_received())
            store.active_until = now + kActiveStandbyIntervals * settings_.standby_interval;
        if (up &&
            (preferred == nullptr || (!preferred->session->is_responsive(now) && session.is_responsive(now))))
            preferred = &store;
    }
    if (preferred == nullptr) return;
    if (all_were_down &&
        (last_immediate_start_ == TimePoint{} || now - last_immediate_start_ >= kImmediateExchangeCooldown)) {
        immediate_exchanges_left_ = kMaxImmediateExchanges;
        last_immediate_start_ = now;
    }
    // Due rows go once to all stores in active use. Standby stores get the rows in force at their own
    // interval.
    std::vector<Store*> active;
    for (Store& store : stores_) {
        const bool is_active = &store == preferred || now < store.active_until;
        if (store.was_up && is_active && now >= store.next_due && store.session->has_call_capacity())
            active.push_back(&store);
    }
    if (!active.empty()) {
        const auto rows = quota_state_table_.rows_due(now, settings_.max_rows_per_call);
        const auto requested_rows = quota_state_table_.rows_to_read(now, settings_.max_rows_per_call);
        const bool immediate = immediate_exchanges_left_ > 0;
        immediate_exchanges_left_ -= immediate;
        for (Store* store : active) {
            store->session->exchange_rows(rows, requested_rows, now);
            store->next_due = now + (immediate ? kImmediateExchangeInterval : settings_.interval);
        }
    }
    for (Store& store : stores_) {
        if (!store.was_up || now < store.next_due || !store.session->has_call_capacity()) continue;
        if (&store == preferred || now < store.active_until) continue;
        store.session->exchange_rows(quota_state_table_.rows_in_force(settings_.max_rows_per_call),
                                     quota_state_table_.rows_to_read(now, settings_.max_rows_per_call, true),
                                     now);
        store.next_due = now + settings_.standby_interval;
    }
}

std::optional<TimePoint> StoreExchange::next_deadline() const {
    std::optional<TimePoint> next;
    const auto consider = [&](std::optional<TimePoint> deadline) {
        if (deadline && (!next || *deadline < *next)) next = deadline;
    };
    for (const Store& store : stores_) {
        consider(store.session->next_deadline());
        if (store.session->is_up() && store.session->has_call_capacity()) consider(store.next_due);
    }
    return next;
}

}    // namespace shaletray::shared_counter
