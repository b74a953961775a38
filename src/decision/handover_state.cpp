// The state that a gateway process hands over to its successor, as text with one record a line, so that the
// two act as one gateway. Buckets, links and learned values are written as they are; nothing is decided here.
#include <array>
#include <charconv>
#include <stdexcept>
#include <string>
#include <string_view>

#include "decision/gateway_state.h"

namespace shaletray::decision {
namespace {

constexpr std::string_view kFormatLine = "module 1";    // format version; others are rejected

class Writer {
public:
    template <class... Fields>
    void line(std::string_view word, const Fields&... fields) {
        text_ += word;
        (field(fields), ...);
        text_ += '\n';
    }
    std::string take() { return std::move(text_); }

private:
    template <class Number>
    void number(Number value) {
        std::array<char, 32> digits{};
        const auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), value);
        text_ += ' ';
        text_.append(digits.data(), end);
    }
    void field(double value) { number(value); }
    void field(int value) { number(value); }
    void field(bool value) { number(static_cast<int>(value)); }
    void field(std::uint64_t value) { number(value); }
    void field(TimePoint value) { number(value.time_since_epoch().count()); }
    void field(std::string_view value) { (text_ += ' ') += value; }
    template <class Id>
    requires std::is_enum_v<Id>
    void field(Id value) {
        number(
            static_cast<std::uint64_t>(static_cast<std::make_unsigned_t<std::underlying_type_t<Id>>>(value)));
    }

    std::string text_;
};

class Reader {
public:
    explicit Reader(std::string_view text) : text_(text) {}

    bool next() {
        if (text_.empty()) return false;
        const std::size_t end = text_.find('\n');
        if (end == std::string_view::npos) throw std::invalid_argument("handover state: truncated line");
        line_ = text_.substr(0, end);
        text_.remove_prefix(end + 1);
        return true;
    }
    std::string_view line() const { return line_; }
    std::string_view word() {
        while (line_.starts_with(' ')) line_.remove_prefix(1);
        const std::string_view found = line_.substr(0, line_.find(' '));
        line_.remove_prefix(found.size());
        if (found.empty()) throw std::invalid_argument("handover state: missing field");
        return found;
    }
    template <class... Fields>
    void read(Fields&... fields) {
        (field(fields), ...);
    }

private:
    template <class Number>
    Number number() {
        const std::string_view text = word();
        Number value{};
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc{} || end != text.data() + text.size())
            throw std::invalid_argument("handover state: field is not a number");
        return value;
    }
    void field(double& value) {
        value = number<double>();
        if (!std::isfinite(value)) throw std::invalid_argument("handover state: number is not finite");
    }
    void field(int& value) { value = number<int>(); }
    void field(bool& value) { value = number<int>() != 0; }
    void field(std::uint64_t& value) { value = number<std::uint64_t>(); }
    void field(TimePoint& value) { value = TimePoint(Duration(number<std::int64_t>())); }
    template <class Id>
    requires std::is_enum_v<Id>
    void field(Id& value) { value = static_cast<Id>(number<std::uint64_t>()); }

    std::string_view text_, line_;
};

}    // namespace

std::string Gateway::Impl::hand_over(TimePoint now) {
    Writer writer;
    writer.line(kFormatLine, started_at_, last_peer_message_at_, max_in_flight_, latency_ratio_,
                retry_tokens_, warm_work_);
    for (std::size_t i = 0; i < typical_latency_.size(); ++i)
        writer.line("usual", typical_latency_[i], std::string_view(settings_.classes[i].name));
    for (const auto& [id, server] : servers_)
        writer.line("server", id, server.entry.born, server.cold_since, server.slow_start_budget,
                    server.slowness, server.successes, server.failures, server.counted_at,
                    server.ejection_count, server.ejected, server.unreachable, server.ejected_until);
    for (const auto& [id, peer] : peers_)
        writer.line("peer", id, peer.incarnation, peer.received_sequence, peer.stamp_ms, peer.sent_sequence,
                    peer.last_received_at, peer.last_sent_at, peer.known, peer.ever_sent);
    std::map<const Customer*, double> queued_by_customer;
    for (const auto& [position, request] : queued_) {
        if (!request->charged) queued_by_customer[request->customer] += request->arrival.units;
    }
    for (auto& [id, customer] : customers_) {
        refill(customer, now);
        const auto it = queued_by_customer.find(&customer);
        const double backlog = it == queued_by_customer.end() ? 0.0 : it->second;
        const double kept_units = std::clamp(customer.quota.level, 0.0, backlog),
                     kept_hard_limit = std::clamp(customer.hard_limit.level, 0.0, backlog);
        writer.line("customer", id, customer.plan, customer.first_gateway, customer.width,
                    customer.quota.level - kept_units, customer.quota.burst, customer.quota.rate,
                    customer.hard_limit.level - kept_hard_limit, customer.hard_limit.burst,
                    customer.hard_limit.rate, customer.last_used);
        for (const PendingTransfer& transfer : customer.transfers)
            writer.line("lent", transfer.units, transfer.expires_at);
        for (const Link& link : customer.links)
            writer.line("link", link.peer_id, link.reported.has_value(), link.reported.value_or(0.0),
                        link.reported_at, link.announced, link.announced_at, link.units_sent,
                        link.units_received);
        customer.pooled = false;
        // Never full, since a full bucket admits a request of any size.
        customer.quota = {kept_units, kept_units + 1.0, 0.0, now};
        customer.hard_limit = {kept_hard_limit, kept_hard_limit, 0.0, now};
    }
    settings_.may_tell = false;
    return writer.take();
}

void Gateway::Impl::take_over(std::string_view text, TimePoint now) {
    Reader reader(text);
    if (!reader.next() || !reader.line().starts_with(kFormatLine))
        throw std::invalid_argument("handover state: unknown format");
    reader.word();
    reader.word();
    reader.read(started_at_, last_peer_message_at_, max_in_flight_, latency_ratio_, retry_tokens_,
                warm_work_);
    started_at_ = std::min(started_at_, now);
    Customer* customer = nullptr;
    while (reader.next()) {
        const std::string_view record = reader.word();
        if (record == "usual") {
            double learned = 0.0;
            reader.read(learned);
            const std::string_view name = reader.line().substr(1);    // may be empty
            for (std::size_t i = 0; i < typical_latency_.size(); ++i) {
                if (settings_.classes[i].name == name) typical_latency_[i] = learned;
            }
        } else if (record == "server") {
            HostId id{};
            Server server;
            reader.read(id, server.entry.born, server.cold_since, server.slow_start_budget, server.slowness,
                        server.successes, server.failures, server.counted_at, server.ejection_count,
                        server.ejected, server.unreachable, server.ejected_until);
            server.entry.host = id;
            server.entry.state = HostState::Gone;    // until a host list names it
            server.silent_since = now;
            servers_.insert_or_assign(id, server);
        } else if (record == "peer") {
            PeerId id{};
            Peer peer;
            reader.read(id, peer.incarnation, peer.received_sequence, peer.stamp_ms, peer.sent_sequence,
                        peer.last_received_at, peer.last_sent_at, peer.known, peer.ever_sent);
            peers_.insert_or_assign(id, peer);
        } else if (record == "customer") {
            CustomerId id{};
            int plan_index = 0, first_gateway = 0, width = 1;
            reader.read(id, plan_index, first_gateway, width);
            if (plan_index < 0 || static_cast<std::size_t>(plan_index) >= settings_.plans.size())
                throw std::invalid_argument("handover state: unknown plan");
            customer = customer_for(now, id, plan_index, first_gateway, width);
            if (customer == nullptr) continue;
            reader.read(customer->quota.level, customer->quota.burst, customer->quota.rate,
                        customer->hard_limit.level, customer->hard_limit.burst, customer->hard_limit.rate,
                        customer->last_used);
            customers_to_balance_.insert(id);
        } else if (record == "lent" && customer != nullptr) {
            PendingTransfer transfer{};
            reader.read(transfer.units, transfer.expires_at);
            customer->transfers.push_back(transfer);
        } else if (record == "link" && customer != nullptr) {
            PeerId id{};
            bool has_reported_level = false;
            reader.read(id, has_reported_level);
            for (Link& link : customer->links) {
                if (link.peer_id != id) continue;
                double reported = 0.0;
                reader.read(reported, link.reported_at, link.announced, link.announced_at, link.units_sent,
                            link.units_received);
                if (has_reported_level) link.reported = reported;
            }
        }
    }
}

std::string Gateway::hand_over(TimePoint now) { return impl_->hand_over(now); }
void Gateway::take_over(std::string_view text, TimePoint now) { impl_->take_over(text, now); }

}    // namespace shaletray::decision
