// The session with one store as a state machine that is fed bytes, independent of sockets: handshake, calls
// and replies, time-outs, errors and reconnection. The quota state table interprets the rows. Pure: the
// caller passes the time.
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

// Totals over all stores since the start, apart from the last two, which are present numbers.
struct SharedCounterStatistics {
    std::uint64_t calls = 0, rows_written = 0, rows_read = 0;
    std::uint64_t late_answers = 0;     // replies after the time-out, or missing
    std::uint64_t error_answers = 0;    // error replies
    std::uint64_t bad_values = 0;       // malformed rows
    std::uint64_t connects = 0, connections_lost = 0;
    std::uint64_t stores_replaced = 0;    // another process than before answered at an address
    int stores_up = 0, stores = 0;
};

// How to reach a store, and this gateway's place in the installation.
struct StoreSessionSettings {
    std::string address, username, password;
    int database = 0;
    std::string key_prefix;
    int own_index = 0, gateway_count = 1;
    Duration timeout{250'000};
    Duration epoch_duration{128'000'000};    // rows go to a new hash after this, so that old ones expire
};

// Bytes to send are in take_output() after each call.
class StoreSession {
public:
    StoreSession(StoreSessionSettings settings, QuotaStateTable& quota_state_table,
                 SharedCounterStatistics& statistics, std::uint64_t seed);

    // ---- its connection ----
    bool wants_connection(TimePoint now) const { return state_ == State::Down && now >= retry_at_; }
    void on_dialling(TimePoint now);
    void on_connected(TimePoint now);
    void on_received(std::string_view bytes, TimePoint now);
    // The connection ended, could not be made, or must be closed; it is retried later. No effect if it is
    // down already.
    void on_disconnected(TimePoint now);
    // Further fields to exchange with the rows; it outlives this.
    void set_field_exchange(plans::FieldExchange* field_exchange) { field_exchange_ = field_exchange; }
    // Set if the connection must be closed now, with the reason.
    const std::optional<std::string>& close_reason() const { return close_reason_; }
    // The field of a malformed value since the last call, if any.
    std::optional<std::string> take_malformed_field() {
        return std::exchange(malformed_field_, std::nullopt);
    }
    // Bytes to be written to the store.
    std::string take_output() { return std::exchange(output_, {}); }

    // ---- calls ----
    bool is_up() const { return state_ == State::Up; }
    // Replies arrive in time, so that calls may be made.
    bool is_responsive(TimePoint now) const;
    // Whether another exchange fits into the bound on pending calls.
    bool has_call_capacity() const { return pending_calls_.size() + 2 <= kMaxPendingCalls; }
    // Writes these rows (and the announcement, if it changed) and reads those requested.
    void exchange_rows(const std::vector<std::pair<CustomerId, limits::QuotaRow>>& rows,
                       const std::vector<std::pair<CustomerId, int>>& rows_to_read, TimePoint now);
    // Whether it had a row, since the last call, that should have been read from another store by now.
    bool take_row_surprise() { return std::exchange(row_surprise_, false); }

    // Handles time-outs; due at next_deadline().
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
    // Bounds concurrent calls, so that they do not pile up at a slow store.
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
    std::deque<Call> pending_calls_;    // in the order of their replies
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
