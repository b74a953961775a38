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
using limits::QuotaStateTable;
using limits::TimePoint;

struct SharedCounterStatistics {
    std::uint64_t calls = 0, rows_written = 0, rows_read = 0;
    std::uint64_t late_answers = 0;     // answered after the time-out, or not at all
    std::uint64_t error_answers = 0;    // answers that were errors
    std::uint64_t bad_values = 0;       // rows that could not be read
    std::uint64_t connects = 0, connections_lost = 0;
    std::uint64_t stores_replaced = 0;    // the process behind an address was another one than before
    int stores_up = 0, stores = 0;
};

struct StoreSessionSettings {
    std::string address, username, password;
    int database = 0;
    std::string key_prefix;
    int own_index = 0, gateway_count = 1;
    Duration timeout{250'000};
    Duration epoch_duration{128'000'000};    // rows are kept in one hash for so long, then in the next
};

class StoreSession {
public:
    StoreSession(StoreSessionSettings settings, QuotaStateTable& quota_state_table,
                 SharedCounterStatistics& statistics, std::uint64_t seed);

    // ---- its connection ----
    bool wants_connection(TimePoint now) const { return state_ == State::Down && now >= retry_at_; }
    void on_dialling(TimePoint now);
    void on_connected(TimePoint now);
    void on_received(std::string_view bytes, TimePoint now);
    // The connection ended, could not be made, or must end; tried again later. Nothing where it is down
    // already.
    void on_disconnected(TimePoint now);
    // Others than the ledger that read and write along; it outlives this.
    void set_field_exchange(plans::FieldExchange* field_exchange) { field_exchange_ = field_exchange; }
    // Set where the connection must be closed now: what is wrong with it.
    const std::optional<std::string>& close_reason() const { return close_reason_; }
    // A value that is nobody's row, since this was asked last: where it stands.
    std::optional<std::string> take_malformed_field() {
        return std::exchange(malformed_field_, std::nullopt);
    }
    // What is to be written to it.
    std::string take_output() { return std::exchange(output_, {}); }

    // ---- calls ----
    bool is_up() const { return state_ == State::Up; }
    // Answers come in time: calls may go out.
    bool is_responsive(TimePoint now) const;
    bool has_call_capacity() const { return pending_calls_.size() + 2 <= kMaxPendingCalls; }
    // Writes these rows (and news, where they changed) and reads those that are wanted.
    void exchange_rows(const std::vector<std::pair<CustomerId, limits::QuotaRow>>& rows,
                       const std::vector<std::pair<CustomerId, int>>& rows_to_read, TimePoint now);
    // It showed a row that should have been seen elsewhere by now.
    bool take_row_surprise() { return std::exchange(row_surprise_, false); }

    void tick(TimePoint now);
    std::optional<TimePoint> next_deadline() const;
    const std::string& address() const { return settings_.address; }

private:
    enum class State { Down, Dialling, Handshaking, Up };
    enum class CallKind { Handshake, RunId, Write, Read };
    struct Call {
        CallKind kind{};
        TimePoint sent_at{};
        bool is_late = false;
        std::vector<std::pair<CustomerId, int>> requested_rows;
        std::vector<std::string> requested_fields;
    };
    // Of calls out at once: a slow store is asked less, and never piled up.
    static constexpr std::size_t kMaxPendingCalls = 8;

    void send_call(CallKind kind, const std::vector<std::string>& words, TimePoint now,
                   std::vector<std::pair<CustomerId, int>> requested_rows = {});
    void on_answer(const Call& call, const RespReply& reply, TimePoint now);
    void on_greeting(const RespReply& reply, TimePoint now);
    void record_malformed_value(const std::string& field);
    void process_read_reply(const Call& call, const RespReply& reply, TimePoint now);
    std::string rows_key(TimePoint now);
    Duration response_timeout() const;

    StoreSessionSettings settings_;
    QuotaStateTable& quota_state_table_;
    SharedCounterStatistics& statistics_;
    plans::FieldExchange* field_exchange_ = nullptr;
    std::mt19937_64 random_;
    State state_ = State::Down;
    RespReader replies_;
    std::deque<Call> pending_calls_;    // in the order in which answers come
    std::string output_;
    std::optional<std::string> close_reason_, malformed_field_;
    std::string run_id_;
    TimePoint retry_at_{}, state_since_{};
    Duration backoff_{0};
    std::int64_t epoch_ = -1;
    std::uint64_t announcement_written_ = ~std::uint64_t{0};
    bool row_surprise_ = false;
};

}    // namespace shaletray::shared_counter
