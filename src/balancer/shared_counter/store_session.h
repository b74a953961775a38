// The session with one store, as a state machine that is independent of sockets: the caller passes it
// received bytes and the time. It handles the handshake, calls and replies, time-outs, errors and
// reconnection. The quota state table interprets the rows.
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

// Totals over all stores since the start; the last two are current numbers.
struct SharedCounterStatistics {
    std::uint64_t calls = 0, rows_written = 0, rows_read = 0;
    std::uint64_t late_answers = 0;     // replies that were late or missing
    std::uint64_t error_answers = 0;    // error replies
    std::uint64_t bad_values = 0;       // malformed rows
    std::uint64_t connects = 0, connections_lost = 0;
    std::uint64_t stores_replaced = 0;    // changes of the server process behind an address
    int stores_up = 0, stores = 0;
};

// Address and credentials of a store, and this gateway's index among the gateways.
struct StoreSessionSettings {
    std::string address, username, password;
    int database = 0;
    std::string key_prefix;
    int own_index = 0, gateway_count = 1;
    Duration timeout{250'000};
    Duration epoch_duration{128'000'000};    // rows go to a new hash per epoch, so that old ones expire
};

// After each call, take_output() has the bytes to send.
class StoreSession {
public:
    StoreSession(StoreSessionSettings settings, QuotaStateTable& quota_state_table,
                 SharedCounterStatistics& statistics, std::uint64_t seed);

    // ---- connection ----
    bool wants_connection(TimePoint now) const { return state_ == State::Down && now >= retry_at_; }
    void on_dialling(TimePoint now);
    void on_connected(TimePoint now);
    void on_received(std::string_view bytes, TimePoint now);
    // The connection ended, could not be made, or must be closed; it is retried later. No effect while down.
    void on_disconnected(TimePoint now);
    // Sets further fields to exchange with the rows; the object must outlive this.
    void set_field_exchange(plans::FieldExchange* field_exchange) { field_exchange_ = field_exchange; }
    // Set if the connection must be closed now, with the reason.
    const std::optional<std::string>& close_reason() const { return close_reason_; }
    // The field of the first malformed value since the last call, if any.
    std::optional<std::string> take_malformed_field() {
        return std::exchange(malformed_field_, std::nullopt);
    }
    // Bytes to be written to the store.
    std::string take_output() { return std::exchange(output_, {}); }

    // ---- calls ----
    bool is_up() const { return state_ == State::Up; }
    // Whether replies arrive in time, so that calls may be made.
    bool is_responsive(TimePoint now) const;
    // Whether another exchange fits within the limit on pending calls.
    bool has_call_capacity() const { return pending_calls_.size() + 2 <= kMaxPendingCalls; }
    // Writes `rows`, and the announcement if it changed, and reads `rows_to_read`.
    void exchange_rows(const std::vector<std::pair<CustomerId, limits::QuotaRow>>& rows,
                       const std::vector<std::pair<CustomerId, int>>& rows_to_read, TimePoint now);
    // Whether this store returned a row, since the last call, that was overdue from the other stores.
    bool take_overdue_row_received() { return std::exchange(overdue_row_received_, false); }

    // Handles time-outs; due at next_deadline().
    void tick(TimePoint now);
    std::optional<TimePoint> next_deadline() const;
    const std::string& address() const { return settings_.address; }

private:
    enum class State { Down, Connecting, Handshaking, Up };
    enum class CallKind { Handshake, RunId, Write, Read };
    struct Call {
        CallKind kind{};
        TimePoint sent_at{};
        bool is_late = false;
        std::vector<std::pair<CustomerId, int>> requested_rows;
        std::vector<std::string> requested_fields;
    };
    // Bounds the calls that wait for a slow store.
    static constexpr std::size_t kMaxPendingCalls = 8;

    void send_call(CallKind kind, const std::vector<std::string>& arguments, TimePoint now,
                   std::vector<std::pair<CustomerId, int>> requested_rows = {});
    void on_reply(const Call& call, const RespReply& reply, TimePoint now);
    void on_server_info(const RespReply& reply, TimePoint now);
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
    RespReader reply_reader_;
    std::deque<Call> pending_calls_;    // replies arrive in this order
    std::string output_;
    std::optional<std::string> close_reason_, malformed_field_;
    std::string run_id_;
    TimePoint retry_at_{}, state_since_{};
    Duration backoff_{0};
    std::int64_t epoch_ = -1;
    std::uint64_t written_item_count_ = ~std::uint64_t{0};
    bool overdue_row_received_ = false;
};

}    // namespace shaletray::shared_counter
