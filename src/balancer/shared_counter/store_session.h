// One store, as a state machine that is fed bytes and knows no socket: greeting, calls and their answers,
// what is late, what is wrong, and when to try again. What the rows mean is the ledger's matter.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "balancer/shared_counter/resp.h"
#include "data_plane/limits/quota_state_table.h"
#include "data_plane/plans/field_exchange.h"

namespace shaletray::shared_counter {

using limits::CustomerId;
using limits::Duration;
using limits::Ledger;
using limits::TimePoint;

struct CounterStats {
    std::uint64_t calls = 0, rows_written = 0, rows_read = 0;
    std::uint64_t late = 0;          // answered after the time-out, or not at all
    std::uint64_t errors = 0;        // answers that were errors
    std::uint64_t bad_values = 0;    // rows that could not be read
    std::uint64_t connects = 0, lost = 0;
    std::uint64_t replaced = 0;    // the process behind an address was another one than before
    int up = 0, stores = 0;
};

struct SessionSettings {
    std::string address, username, password;
    int database = 0;
    std::string prefix;
    int me = 0, gateways = 1;
    Duration timeout{250'000};
    Duration epoch{128'000'000};    // rows are kept in one hash for so long, then in the next
};

class Session {
public:
    Session(SessionSettings settings, Ledger& ledger, CounterStats& stats, std::uint64_t seed);

    // ---- its connection ----
    bool wants_connection(TimePoint now) const { return state_ == State::Down && now >= retry_at_; }
    void dialling(TimePoint now);
    void connected(TimePoint now);
    void received(std::string_view bytes, TimePoint now);
    // The connection ended, could not be made, or must end; tried again later. Nothing where it is down
    // already.
    void broke(TimePoint now);
    // Others than the ledger that read and write along; it outlives this.
    void carry(plans::Notices* notices) { notices_ = notices; }
    // Set where the connection must be closed now: what is wrong with it.
    const std::optional<std::string>& wants_close() const { return wrong_; }
    // A value that is nobody's row, since this was asked last: where it stands.
    std::optional<std::string> take_spoilt() { return std::exchange(spoilt_, std::nullopt); }
    // What is to be written to it.
    std::string take_output() { return std::exchange(output_, {}); }

    // ---- calls ----
    bool up() const { return state_ == State::Up; }
    // Answers come in time: calls may go out.
    bool prompt(TimePoint now) const;
    bool room() const { return calls_.size() + 2 <= kMostOut; }
    // Writes these rows (and news, where they changed) and reads those that are wanted.
    void exchange(const std::vector<std::pair<CustomerId, limits::Row>>& rows,
                  const std::vector<std::pair<CustomerId, int>>& wanted, TimePoint now);
    // It showed a row that should have been seen elsewhere by now.
    bool brought_news() { return std::exchange(brought_news_, false); }

    void tick(TimePoint now);
    std::optional<TimePoint> next() const;
    const std::string& address() const { return s_.address; }

private:
    enum class State { Down, Dialling, Greeting, Up };
    enum class Ask { Greeting, RunId, Write, Read };
    struct Call {
        Ask ask{};
        TimePoint at{};
        bool late = false;
        std::vector<std::pair<CustomerId, int>> wanted;
        std::vector<std::string> notices;
    };
    // Of calls out at once: a slow store is asked less, and never piled up.
    static constexpr std::size_t kMostOut = 8;

    void call(Ask ask, const std::vector<std::string>& words, TimePoint now,
              std::vector<std::pair<CustomerId, int>> wanted = {});
    void answered(const Call& call, const Reply& reply, TimePoint now);
    void greeted(const Reply& reply, TimePoint now);
    void bad_value(const std::string& field);
    void read(const Call& call, const Reply& reply, TimePoint now);
    std::string rows_key(TimePoint now);
    Duration patience() const;

    SessionSettings s_;
    Ledger& ledger_;
    CounterStats& stats_;
    plans::Notices* notices_ = nullptr;
    std::mt19937_64 random_;
    State state_ = State::Down;
    Replies replies_;
    std::deque<Call> calls_;    // in the order in which answers come
    std::string output_;
    std::optional<std::string> wrong_, spoilt_;
    std::string run_id_;
    TimePoint retry_at_{}, since_{};
    Duration backoff_{0};
    std::int64_t epoch_ = -1;
    std::uint64_t news_written_ = ~std::uint64_t{0};
    bool brought_news_ = false;
};

}    // namespace shaletray::shared_counter
