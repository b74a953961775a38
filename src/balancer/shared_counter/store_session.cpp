#include "balancer/shared_counter/store_session.h"

#include <fmt/format.h>

#include <algorithm>

namespace shaletray::shared_counter {
namespace {

using namespace std::chrono_literals;

constexpr Duration kInitialBackoff = 50ms, kMaxBackoff = 800ms;
constexpr Duration kRejectedBackoff = 5s;    // wrong password or database, which an operator has to correct
constexpr int kAbandonTimeoutFactor = 8;    // time-outs without a reply, after which the connection is closed
constexpr Duration kMinAbandonTimeout = 3s;    // a store may be slow by two seconds without being lost

std::string row_field_name(CustomerId customer_id, int gateway_index) {
    return fmt::format("{:x}:{}", static_cast<std::uint64_t>(customer_id), gateway_index);
}

}    // namespace

StoreSession::StoreSession(StoreSessionSettings settings, QuotaStateTable& quota_state_table,
                           SharedCounterStatistics& statistics, std::uint64_t seed)
    : settings_(std::move(settings)),
      quota_state_table_(quota_state_table),
      statistics_(statistics),
      random_(seed) {}

// ---- connection ----

void StoreSession::on_dialling(TimePoint now) {
    state_ = State::Connecting;
    state_since_ = now;
    close_reason_.reset();
    pending_calls_.clear();
    output_.clear();
    reply_reader_ = RespReader();
}

void StoreSession::on_connected(TimePoint now) {
    state_ = State::Handshaking;
    state_since_ = now;
    ++statistics_.connects;
    if (!settings_.password.empty()) {
        std::vector<std::string> arguments{"AUTH"};
        if (!settings_.username.empty()) arguments.push_back(settings_.username);
        arguments.push_back(settings_.password);
        send_call(CallKind::Handshake, arguments, now);
    }
    if (settings_.database != 0)
        send_call(CallKind::Handshake, {"SELECT", std::to_string(settings_.database)}, now);
    send_call(CallKind::RunId, {"INFO", "server"}, now);
}

void StoreSession::on_disconnected(TimePoint now) {
    if (state_ == State::Down) return;
    ++statistics_.connections_lost;
    statistics_.late_answers += static_cast<std::uint64_t>(
        std::count_if(pending_calls_.begin(), pending_calls_.end(),
                      [](const Call& pending_call) { return !pending_call.is_late; }));
    pending_calls_.clear();
    state_ = State::Down;
    backoff_ = std::clamp(backoff_ * 2, kInitialBackoff, std::max(kMaxBackoff, backoff_));
    // Between half and all of the backoff, so that gateways that lost the same store reconnect at different
    // times, not together.
    retry_at_ =
        now + backoff_ / 2 +
        Duration(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(backoff_.count() / 2)));
    close_reason_.reset();
}

void StoreSession::on_received(std::string_view bytes, TimePoint now) {
    if (state_ != State::Handshaking && state_ != State::Up) return;
    try {
        reply_reader_.feed(bytes);
        while (!close_reason_) {
            const std::optional<RespReply> reply = reply_reader_.next_reply();
            if (!reply) break;
            if (pending_calls_.empty()) throw RespProtocolError("a reply without a call");
            const Call call = std::move(pending_calls_.front());
            pending_calls_.pop_front();
            on_reply(call, *reply, now);
        }
    } catch (const RespProtocolError& error) {
        close_reason_ = fmt::format("the store does not speak the Redis protocol: {}", error.what());
        backoff_ = kRejectedBackoff;
    }
}

void StoreSession::on_reply(const Call& call, const RespReply& reply, TimePoint now) {
    if (reply.kind == RespReply::Kind::Error) {
        ++statistics_.error_answers;
        const bool access_denied = call.kind == CallKind::Handshake || reply.text.starts_with("NOAUTH") ||
                                   reply.text.starts_with("WRONGPASS") || reply.text.starts_with("NOPERM");
        if (access_denied) backoff_ = kRejectedBackoff;
        // LOADING, READONLY, MOVED, OOM and other errors: the store cannot keep rows now.
        close_reason_ = fmt::format("the store replied {}", reply.text.substr(0, 80));
        return;
    }
    switch (call.kind) {
        case CallKind::Handshake: break;
        case CallKind::RunId: on_server_info(reply, now); break;
        case CallKind::Write:
            if (reply.kind != RespReply::Kind::Integer)
                close_reason_ = "the reply to a write is not a number";
            break;
        case CallKind::Read: process_read_reply(call, reply, now); break;
    }
}

void StoreSession::on_server_info(const RespReply& reply, TimePoint) {
    if (reply.kind != RespReply::Kind::Text) {
        close_reason_ = "the reply to INFO is not a text";
        return;
    }
    std::string run_id;
    if (const std::size_t position = reply.text.find("run_id:"); position != std::string::npos) {
        run_id = reply.text.substr(position + 7);
        run_id.resize(std::min(run_id.size(), run_id.find_first_of("\r\n")));
    }
    // For statistics only: no grant depends on which process replies.
    if (!run_id_.empty() && run_id != run_id_) ++statistics_.stores_replaced;
    run_id_ = run_id;
    state_ = State::Up;
    backoff_ = Duration(0);
    epoch_ = -1;
    written_item_count_ = ~std::uint64_t{0};
    quota_state_table_.rewrite_all_rows();    // the store may have lost its rows
}

void StoreSession::record_malformed_value(const std::string& field) {
    ++statistics_.bad_values;
    if (!malformed_field_) malformed_field_ = field;
}

void StoreSession::process_read_reply(const Call& call, const RespReply& reply, TimePoint now) {
    const std::size_t gateways = static_cast<std::size_t>(settings_.gateway_count);
    if (reply.kind != RespReply::Kind::List ||
        reply.items.size() != gateways + call.requested_rows.size() + call.requested_fields.size()) {
        close_reason_ = "the reply to a read is not a list of the expected length";
        return;
    }
    // Null for an absent value. A value of another type is not a valid row.
    const auto text = [&](const RespReply& item) -> const std::string* {
        return item.kind == RespReply::Kind::Nil ? nullptr : &item.text;
    };
    for (std::size_t index = 0; index < gateways; ++index) {
        const std::string* const value = text(reply.items[index]);
        if (value == nullptr || static_cast<int>(index) == settings_.own_index) continue;
        if (const auto announcement = limits::parse_announcement(*value))
            quota_state_table_.on_announcement(static_cast<int>(index), *announcement, now);
        else record_malformed_value(fmt::format("news:{}", index));
    }
    for (std::size_t index = 0; index < call.requested_rows.size(); ++index) {
        const std::string* const value = text(reply.items[gateways + index]);
        if (value == nullptr) continue;
        if (const auto row = limits::parse_row(*value)) {
            ++statistics_.rows_read;
            const auto& [customer_id, gateway] = call.requested_rows[index];
            const bool was_overdue = quota_state_table_.is_overdue(customer_id, gateway, now);
            if (quota_state_table_.on_row(customer_id, gateway, *row, now) && was_overdue)
                overdue_row_received_ = true;
        } else {
            record_malformed_value(
                row_field_name(call.requested_rows[index].first, call.requested_rows[index].second));
        }
    }
    for (std::size_t index = 0; index < call.requested_fields.size(); ++index) {
        const std::string* const value = text(reply.items[gateways + call.requested_rows.size() + index]);
        if (value != nullptr) field_exchange_->on_field_read(call.requested_fields[index], *value, now);
        else field_exchange_->on_field_absent(call.requested_fields[index]);
    }
}

// ---- calls ----

void StoreSession::send_call(CallKind kind, const std::vector<std::string>& arguments, TimePoint now,
                             std::vector<std::pair<CustomerId, int>> requested_rows) {
    ++statistics_.calls;
    pending_calls_.push_back({kind, now, false, std::move(requested_rows), {}});
    output_ += serialize_command(arguments);
}

bool StoreSession::is_responsive(TimePoint now) const {
    return is_up() && (pending_calls_.empty() || now - pending_calls_.front().sent_at <= settings_.timeout);
}

Duration StoreSession::response_timeout() const {
    return std::max(kMinAbandonTimeout, kAbandonTimeoutFactor * settings_.timeout);
}

// Each epoch has a hash of its own, which expires in the store, so that rows of stopped gateways and former
// customers do not stay. Gateways whose clocks differ miss each other's rows at the end of an epoch for as
// long as the difference.
std::string StoreSession::rows_key(TimePoint now) {
    const std::int64_t epoch = now.time_since_epoch() / settings_.epoch_duration;
    const std::string key = fmt::format("{}:rows:{}", settings_.key_prefix, epoch);
    if (epoch != epoch_) {
        epoch_ = epoch;
        written_item_count_ = ~std::uint64_t{0};
        quota_state_table_.rewrite_all_rows();
    }
    return key;
}

void StoreSession::exchange_rows(const std::vector<std::pair<CustomerId, limits::QuotaRow>>& rows,
                                 const std::vector<std::pair<CustomerId, int>>& rows_to_read, TimePoint now) {
    const bool is_new_epoch = now.time_since_epoch() / settings_.epoch_duration != epoch_;
    const std::string key = rows_key(now);
    std::vector<std::string> write_command{"HSET", key};
    const limits::Announcement announcement = quota_state_table_.announcement();
    if (announcement.item_count != written_item_count_) {
        write_command.push_back(fmt::format("news:{}", settings_.own_index));
        write_command.push_back(limits::serialize_announcement(announcement));
        written_item_count_ = announcement.item_count;
    }
    for (const auto& [customer_id, row] : rows) {
        write_command.push_back(row_field_name(customer_id, settings_.own_index));
        write_command.push_back(limits::serialize_row(row));
    }
    if (field_exchange_ != nullptr) {
        for (auto& [field, value] : field_exchange_->fields_to_write()) {
            write_command.push_back(std::move(field));
            write_command.push_back(std::move(value));
        }
    }
    statistics_.rows_written += rows.size();
    if (write_command.size() > 2) {
        send_call(CallKind::Write, write_command, now);
        if (is_new_epoch)
            send_call(CallKind::Write, {"PEXPIRE", key, std::to_string(3 * settings_.epoch_duration / 1ms)},
                      now);
    }
    std::vector<std::string> read_command{"HMGET", key};
    for (int index = 0; index < settings_.gateway_count; ++index)
        read_command.push_back(fmt::format("news:{}", index));
    for (const auto& [customer_id, gateway] : rows_to_read)
        read_command.push_back(row_field_name(customer_id, gateway));
    std::vector<std::string> field_names;
    if (field_exchange_ != nullptr) field_names = field_exchange_->fields_to_read();
    read_command.insert(read_command.end(), field_names.begin(), field_names.end());
    send_call(CallKind::Read, read_command, now, rows_to_read);
    pending_calls_.back().requested_fields = std::move(field_names);
}

void StoreSession::tick(TimePoint now) {
    if (state_ == State::Down || close_reason_) return;
    for (Call& pending_call : pending_calls_) {
        if (pending_call.is_late || now - pending_call.sent_at <= settings_.timeout) continue;
        pending_call.is_late = true;
        ++statistics_.late_answers;
    }
    if (state_ != State::Up && now - state_since_ >= response_timeout())
        close_reason_ = "the store did not reply to the handshake";
    if (state_ == State::Connecting && now - state_since_ >= 4 * settings_.timeout)
        close_reason_ = "connecting timed out";
    if (state_ == State::Up && !pending_calls_.empty() &&
        now - pending_calls_.front().sent_at >= response_timeout())
        close_reason_ = "the store has stopped replying";
}

std::optional<TimePoint> StoreSession::next_deadline() const {
    switch (state_) {
        case State::Down: return retry_at_;
        case State::Connecting: return state_since_ + 4 * settings_.timeout;
        case State::Handshaking: return state_since_ + response_timeout();
        case State::Up: break;
    }
    if (pending_calls_.empty()) return std::nullopt;
    return pending_calls_.front().is_late ? pending_calls_.front().sent_at + response_timeout()
                                          : pending_calls_.front().sent_at + settings_.timeout;
}

}    // namespace shaletray::shared_counter
