// Several stores for one ledger: when each is written to and read, and which of them carries the rows for
// now. Pure, as its sessions are.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "balancer/shared_counter/store_session.h"

namespace shaletray::shared_counter {

struct StoreExchangeSettings {
    std::vector<StoreSessionSettings> stores;    // in the order of preference
    Duration interval{500'000}, standby_interval{5'000'000};
    std::size_t max_rows_per_call = 1024;    // in a call; the rest waits its turn
    std::uint64_t random_seed = 1;
};

class StoreExchange {
public:
    StoreExchange(StoreExchangeSettings settings, QuotaStateTable& quota_state_table,
                  SharedCounterStatistics& statistics);

    std::size_t store_count() const { return stores_.size(); }
    StoreSession& session_at(std::size_t index) { return *stores_[index].session; }
    void set_field_exchange(plans::FieldExchange& field_exchange) {
        for (Store& store : stores_) store.session->set_field_exchange(&field_exchange);
    }
    // What is due: time-outs, and calls to the stores whose turn it is.
    void tick(TimePoint now);
    std::optional<TimePoint> next_deadline() const;

private:
    struct Store {
        std::unique_ptr<StoreSession> session;
        TimePoint next_due{};
        TimePoint active_until{};    // asked as often as the first: somebody is heard only there
        bool was_up = false;
    };

    StoreExchangeSettings settings_;
    QuotaStateTable& quota_state_table_;
    SharedCounterStatistics& statistics_;
    std::vector<Store> stores_;
    int immediate_exchanges_ = 0;    // exchanges that may follow at once
    TimePoint immediate_allowed_at_{};
};

}    // namespace shaletray::shared_counter
