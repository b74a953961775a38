// The sending side of a session to one peer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "base/net/reactor.h"
#include "base/net/stream.h"
#include "cluster/transport/backoff.h"
#include "cluster/transport/limits.h"
#include "cluster/transport/send_queue.h"

namespace shaletray::transport {

// Sends frames to a peer in order. The connection is dialled when frames are queued, and dialled again with
// exponential backoff after it failed. Nothing is received on it. Frames that were being written when the
// connection failed are lost, since it is unknown how much of them the peer read; queued frames are kept for
// a limited time.
class OutboundSession : public StreamOwner {
public:
    // `seed` is for the jitter of the backoff.
    OutboundSession(Reactor& reactor, const ConnectionLimits& limits, ConnectionCounters& counters,
                    std::string destination, std::uint32_t seed);
    ~OutboundSession() override;
    OutboundSession(const OutboundSession&) = delete;
    OutboundSession& operator=(const OutboundSession&) = delete;

    void enqueue(std::string frame);
    // Closes the connection where it was not used since `cutoff`. Returns true where the session was idle,
    // and may be destroyed.
    bool close_if_idle(TimePoint cutoff);
    // Adds the frames that are not written yet.
    void add_backlog(SendBacklog& backlog) const;

private:
    void on_connected() override;
    void on_input() override;
    void on_all_sent() override;
    void on_disconnected() override { handle_failure(); }

    void dial();
    void set_socket_options();
    void send_pending();
    void watch_progress();
    void check_progress();
    void handle_failure();
    void close();

    Reactor& reactor_;
    const ConnectionLimits& limits_;
    ConnectionCounters& counters_;
    std::string destination_;
    SendQueue send_queue_;
    Backoff backoff_;
    std::unique_ptr<Stream> stream_;    // null unless dialling or connected
    bool connected_ = false;
    TimePoint last_used_{}, connected_at_{}, next_dial_at_{};
    std::size_t last_unsent_bytes_ = 0;    // at the last check of progress
    Timers::Id dial_timer_ = 0, retry_timer_ = 0, progress_timer_ = 0;
};

}    // namespace shaletray::transport
