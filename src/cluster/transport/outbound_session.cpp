#include "cluster/transport/outbound_session.h"

#include <Poco/Exception.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <chrono>
#include <utility>

namespace shaletray::transport {
namespace {

using namespace std::chrono_literals;

// Maximum age of frames for an unreachable peer. Their senders retry before that.
constexpr Duration kMaxQueueAge = 3s;
// When a connection that lasted this long fails, it is dialled again immediately, as the peer was probably
// restarted.
constexpr Duration kStableConnectionTime = 1s;
// Maximum size of a batch of frames that is written by one call.
constexpr std::size_t kMaxBatchBytes = 64 * 1024;

}    // namespace

OutboundSession::OutboundSession(Reactor& reactor, const ConnectionLimits& limits,
                                 ConnectionCounters& counters, std::string destination, std::uint32_t seed)
    : reactor_(reactor),
      limits_(limits),
      counters_(counters),
      destination_(std::move(destination)),
      send_queue_(limits.max_queued_bytes),
      backoff_(seed) {}

OutboundSession::~OutboundSession() { close(); }

void OutboundSession::enqueue(std::string frame) {
    const TimePoint now = reactor_.clock().now();
    last_used_ = now;
    counters_.dropped += send_queue_.push(std::move(frame), now);
    if (connected_) send_pending();
    else if (stream_ || retry_timer_ != 0) return;
    else if (now >= next_dial_at_) dial();
    else retry_timer_ = reactor_.schedule_at(next_dial_at_, [this] { dial(); });
}

void OutboundSession::dial() {
    retry_timer_ = 0;
    counters_.dropped += send_queue_.expire(reactor_.clock().now() - kMaxQueueAge);
    if (send_queue_.empty()) return;
    stream_ = std::make_unique<Stream>(reactor_, *this);
    if (!stream_->connect(destination_)) return handle_failure();
    set_socket_options();
    dial_timer_ = reactor_.schedule_after(limits_.dial_timeout, [this] {
        dial_timer_ = 0;
        handle_failure();
    });
}

// Lets the kernel detect within peer_timeout that the peer's host is unreachable.
void OutboundSession::set_socket_options() {
    using std::chrono::milliseconds;
    try {
        Poco::Net::StreamSocket& socket = stream_->socket();
        const auto timeout = std::chrono::duration_cast<milliseconds>(limits_.peer_timeout);
        socket.setOption(IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(timeout.count()));
        socket.setKeepAlive(true);
        socket.setOption(IPPROTO_TCP, TCP_KEEPIDLE, 1);
        socket.setOption(IPPROTO_TCP, TCP_KEEPINTVL, 1);
        socket.setOption(IPPROTO_TCP, TCP_KEEPCNT, 2);
    } catch (const Poco::Exception&) {
        // Either the connection has failed, which the stream will report, or failures are detected later.
    }
}

void OutboundSession::on_connected() {
    reactor_.cancel_timer(dial_timer_);
    connected_ = true;
    connected_at_ = reactor_.clock().now();
    send_pending();
}

void OutboundSession::send_pending() {
    while (connected_ && stream_->all_sent()) {
        send_queue_.mark_written();
        if (send_queue_.empty()) return reactor_.cancel_timer(progress_timer_);
        std::string batch = send_queue_.take_batch(kMaxBatchBytes);
        counters_.sent += send_queue_.batch_frames();
        counters_.sent_bytes += batch.size();
        if (!stream_->write_bytes(std::move(batch))) return handle_failure();
    }
    if (progress_timer_ == 0) watch_progress();
}

// A peer that accepts no data has failed even where its host still acknowledges packets.
void OutboundSession::watch_progress() {
    last_unsent_bytes_ = stream_->unsent_bytes();
    progress_timer_ = reactor_.schedule_after(limits_.peer_timeout, [this] { check_progress(); });
}

void OutboundSession::check_progress() {
    progress_timer_ = 0;
    if (stream_->all_sent()) return;
    if (stream_->unsent_bytes() == last_unsent_bytes_) handle_failure();
    else watch_progress();
}

void OutboundSession::on_all_sent() {
    last_used_ = reactor_.clock().now();
    send_pending();
}

// Peers must not send data on a session.
void OutboundSession::on_input() {
    ++counters_.malformed;
    handle_failure();
}

void OutboundSession::close() {
    for (Timers::Id* timer : {&dial_timer_, &retry_timer_, &progress_timer_}) reactor_.cancel_timer(*timer);
    if (stream_) destroy_stream_later(reactor_, std::move(stream_));
    counters_.dropped += send_queue_.discard_batch();
    connected_ = false;
}

void OutboundSession::handle_failure() {
    const TimePoint now = reactor_.clock().now();
    const bool was_stable = connected_ && now - connected_at_ >= kStableConnectionTime;
    close();
    if (was_stable) backoff_.reset();
    next_dial_at_ = was_stable ? now : now + backoff_.next_delay();
    counters_.dropped += send_queue_.expire(now - kMaxQueueAge);
    if (!send_queue_.empty()) retry_timer_ = reactor_.schedule_at(next_dial_at_, [this] { dial(); });
}

void OutboundSession::add_backlog(SendBacklog& backlog) const {
    const bool batch_is_written = stream_ && stream_->all_sent();
    const std::size_t bytes = send_queue_.total_bytes();
    if (bytes == 0 || (batch_is_written && send_queue_.empty())) return;
    backlog.bytes += bytes;
    backlog.oldest_age = std::max(backlog.oldest_age, reactor_.clock().now() - send_queue_.oldest_push());
}

bool OutboundSession::close_if_idle(TimePoint cutoff) {
    const bool is_dialling = stream_ && !connected_;
    if (last_used_ >= cutoff || !send_queue_.empty() || is_dialling) return false;
    if (stream_ && !stream_->all_sent()) return false;
    send_queue_.mark_written();
    close();
    return true;
}

}    // namespace shaletray::transport
