// Several stores for one ledger: when each is written to and read, and which of them carries the rows for
// now. Pure, as its sessions are.
#pragma once

#include <memory>
#include <optional>
#include <vector>

#include "balancer/shared_counter/store_session.h"

namespace shaletray::shared_counter {

struct ExchangeSettings {
    std::vector<SessionSettings> stores;    // in the order of preference
    Duration every{500'000}, standby_every{5'000'000};
    std::size_t most_rows = 1024;    // in a call; the rest waits its turn
    std::uint64_t seed = 1;
};

class Exchange {
public:
    Exchange(ExchangeSettings settings, Ledger& ledger, CounterStats& stats);

    std::size_t size() const { return stores_.size(); }
    Session& at(std::size_t i) { return *stores_[i].session; }
    void carry(plans::Notices& notices) {
        for (Store& store : stores_) store.session->carry(&notices);
    }
    // What is due: time-outs, and calls to the stores whose turn it is.
    void tick(TimePoint now);
    std::optional<TimePoint> next() const;

private:
    struct Store {
        std::unique_ptr<Session> session;
        TimePoint due{};
        TimePoint active_until{};    // asked as often as the first: somebody is heard only there
        bool was_up = false;
    };

    ExchangeSettings s_;
    Ledger& ledger_;
    CounterStats& stats_;
    std::vector<Store> stores_;
    int quick_ = 0;    // exchanges that may follow at once
    TimePoint quick_at_{};
};

}    // namespace shaletray::shared_counter
