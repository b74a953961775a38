// Schedules the exchange of one quota state table with several stores: each gets every row, and the preferred
// reachable one is read most often. Independent of sockets and clocks, like its sessions.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "balancer/shared_counter/store_session.h"

namespace shaletray::shared_counter {

// The stores and the intervals at which they are used.
struct StoreExchangeSettings {
    std::vector<StoreSessionSettings> stores;                   // in order of preference
    Duration interval{500'000}, standby_interval{5'000'000};    // of the preferred store; of the others
    std::size_t max_rows_per_call = 1024;                       // further rows follow in later calls
    std::uint64_t random_seed = 1;
};

// Owns the sessions; the caller owns their connections.
class StoreExchange {
public:
    StoreExchange(StoreExchangeSettings settings, QuotaStateTable& quota_state_table,
                  SharedCounterStatistics& statistics);

    std::size_t store_count() const { return stores_.size(); }
    StoreSession& session_at(std::size_t index) { return *stores_[index].session; }
    void set_field_exchange(plans::FieldExchange& field_exchange) {
        for (Store& store : stores_) store.session->set_field_exchange(&field_exchange);
    }
    // Handles time-outs and makes the calls that are due.
    void tick(TimePoint now);
    std::optional<TimePoint> next_deadline() const;

private:
    struct Store {
        std::unique_ptr<StoreSession> session;
        TimePoint next_due{};
        TimePoint active_until{};    // until then as the preferred one, as a gateway is reachable only here
        bool was_up = false;
    };

    StoreExchangeSettings settings_;
    QuotaStateTable& quota_state_table_;
    SharedCounterStatistics& statistics_;
    std::vector<Store> stores_;
    int immediate_exchanges_left_ = 0;    // exchanges that may still follow without a pause
    TimePoint last_immediate_start_{};
};

}    // namespace shaletray::shared_counter
