#include "balancer/platform/discovery_watch.h"

#include <algorithm>

namespace shaletray {
namespace {

using namespace std::chrono_literals;

constexpr Duration kInitialBackoff = 50ms, kMaxBackoff = 1s;
// Discovery sends an empty line every two seconds. Without one the connection may be broken unnoticed, while
// list changes count as received six seconds after they were sent, whether or not they arrived.
constexpr Duration kReceiveTimeout = 3s;
constexpr std::size_t kMaxLineLength = 8 * 1024 * 1024;

}    // namespace

DiscoveryWatch::DiscoveryWatch(Engine& engine, HostDirectory& hosts, const GatewayConfig& config,
                               Counters& counters, Reactor& reactor, std::function<void()> on_change)
    : engine_(engine),
      hosts_(hosts),
      config_(config),
      address_(config.discovery_address),
      counters_(counters),
      reactor_(reactor),
      on_change_(std::move(on_change)),
      parser_(http::Parser::Kind::Response, {16 * 1024, kMaxLineLength, 100}),
      revision_(config.known_hosts.revision) {}

DiscoveryWatch::~DiscoveryWatch() {
    reactor_.cancel_timer(retry_timer_);
    reactor_.cancel_timer(timeout_timer_);
}

// The configured list dates from before the start and may be outdated.
void DiscoveryWatch::start() {
    engine_.on_host_list(
        hosts_.apply_list(config_.known_hosts, decision::ListKind::Cached, reactor_.clock().now()));
    on_change_();
    if (!config_.settings.ask_for_list) connect();
}

void DiscoveryWatch::connect() {
    reactor_.cancel_timer(retry_timer_);
    if (stream_) destroy_stream_later(reactor_, std::move(stream_));
    ++counters_.discovery_watches;
    parser_.reset();
    scanned_bytes_ = 0;
    stream_ = std::make_unique<Stream>(reactor_, static_cast<StreamOwner&>(*this));
    last_received_at_ = reactor_.clock().now();
    reactor_.cancel_timer(timeout_timer_);
    check_timeout();
    if (!stream_->connect(address_)) return on_connection_lost("cannot connect");
    stream_->write_bytes(write_list_watch(address_, revision_));
}

void DiscoveryWatch::set_address(const std::string& address) {
    if (address == address_) return;
    read_available();    // what the old address has sent still counts
    address_ = address;
    // Another discovery service may count revisions differently; from 0 on it sends its full list.
    revision_ = 0;
    backoff_ = Duration(0);
    connect();
}

void DiscoveryWatch::read_available() {
    if (stream_) stream_->read_available();
}

void DiscoveryWatch::on_input() {
    last_received_at_ = reactor_.clock().now();
    const http::ParseStatus status = parser_.parse(stream_->input_buffer());
    if (status == http::ParseStatus::Malformed) return on_connection_lost("malformed answer");
    if (!parser_.head_complete()) return;
    if (parser_.status_code() != 200) return on_connection_lost("refused");
    process_lines();
    if (status == http::ParseStatus::Complete && stream_ && stream_->is_open())
        on_connection_lost("closed by discovery");
}

void DiscoveryWatch::process_lines() {
    while (true) {
        const std::string_view body = parser_.body(stream_->input_buffer());
        const std::size_t end = body.find('\n', scanned_bytes_);
        if (end == std::string_view::npos) {
            scanned_bytes_ = body.size();
            return;
        }
        process_line(http::trim(body.substr(0, end > 0 && body[end - 1] == '\r' ? end - 1 : end)));
        parser_.consume_body(stream_->input_buffer(), end + 1);
        scanned_bytes_ = 0;
    }
}

void DiscoveryWatch::process_line(std::string_view line) {
    backoff_ = Duration(0);
    if (line.empty()) return;
    HostMemberList list;
    std::string error;
    if (!parse_member_list(line, config_.locations, list, error)) {
        ++counters_.malformed_list_lines;
        if (log_limiter_.try_acquire())
            log(LogLevel::Warning, Event::DiscoveryMalformedLine, {log_field("why", error)});
        return;
    }
    if (list.skipped > 0) {
        counters_.malformed_list_lines += list.skipped;
        if (log_limiter_.try_acquire())
            log(LogLevel::Warning, Event::DiscoveryMalformedEntries, {log_field("entries", list.skipped)});
    }
    revision_ = list.revision;
    const bool is_full = list.complete;
    ++(is_full ? counters_.full_lists_received : counters_.list_updates_received);
    const auto kind = is_full ? decision::ListKind::Full : decision::ListKind::Delta;
    engine_.on_host_list(hosts_.apply_list(list, kind, reactor_.clock().now()));
    on_change_();
}

void DiscoveryWatch::on_connection_lost(std::string_view reason) {
    if (log_limiter_.try_acquire())
        log(LogLevel::Info, Event::DiscoveryConnectionLost, {log_field("why", reason)});
    stream_->close();
    reactor_.cancel_timer(timeout_timer_);
    if (config_.settings.ask_for_list) {
        engine_.on_host_list(
            {decision::ListKind::Failed, {}});    // the decision module decides when to reconnect
        return;
    }
    backoff_ = std::clamp(backoff_ * 2, kInitialBackoff, kMaxBackoff);
    reactor_.cancel_timer(retry_timer_);
    retry_timer_ = reactor_.schedule_after(backoff_, [this] { connect(); });
}

void DiscoveryWatch::check_timeout() {
    const TimePoint timeout_at = last_received_at_ + kReceiveTimeout;
    if (reactor_.clock().now() >= timeout_at) return on_connection_lost("receive timeout");
    timeout_timer_ = reactor_.schedule_at(timeout_at, [this] { check_timeout(); });
}

}    // namespace shaletray
