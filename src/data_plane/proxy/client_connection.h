// The server side of one client connection: reads requests, submits them and writes the responses in request
// order. Requests that allow pipelining are processed concurrently. Only for the reactor's thread; the
// listener owns the connections.
//
// A message is submitted once. The connection owns its bytes until they are handed to a server's connection.
// Once its request is answered, the rest of them is dropped before the next head is read; where the rest has
// not arrived, the connection closes after the response instead (RFC 9112, 9.3).
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <unordered_set>
#include <utility>
#include <vector>

#include "base/http/answer.h"
#include "base/net/stream.h"
#include "data_plane/engine/engine.h"
#include "data_plane/proxy/request_mapping.h"
#include "data_plane/proxy/upload_reader.h"

namespace shaletray {

class ClientConnection;

// The order in which idle connections are closed to make room for new clients: the first class first.
enum class EvictionClass { AfterLastResponse, NoRequestYet, AfterOneRequest, KeptAlive, NotEvictable };

// Resources for all clients together.
struct ClientCapacity {
    std::size_t max_sockets = 1024;    // file descriptors, including those for servers
    double max_memory_mb = 32.0;       // a quarter of it may buffer long bodies
};

// State shared by the connections of one listener, which owns it.
struct ClientContext {
    RequestHandler& request_handler;
    RequestMapping& request_mapping;
    ClientCapacity capacity;
    Counters& counters;
    Reactor& reactor;
    std::function<bool()> is_ready;
    // Removes the connection from the listener and defers its destruction.
    std::function<void(ClientConnection&)> on_connection_closed;
    bool is_stopping = false, is_draining = false;
    // Connections close after their next response, and readiness checks fail.
    bool is_closing_down() const { return is_stopping || is_draining; }
    std::size_t buffered_body_bytes = 0;    // bytes reserved for long bodies that are buffered completely
    // Connections without a request, oldest first in each class. Each connection updates its own entry.
    std::set<std::tuple<EvictionClass, TimePoint, ClientConnection*>> evictable_connections{};
    std::size_t transient_connections = 0;    // those of them with one request or none so far
    // Ids of the open requests: a server could take a second request of the same id for a copy of the first.
    std::unordered_set<std::string> open_request_ids{};
};

// One connection. Timeouts are enforced by the listener's periodic sweep (close_if_stalled).
class ClientConnection : public RetiredObject, private StreamOwner, private BodySink {
public:
    ClientConnection(ClientContext& context, const Poco::Net::StreamSocket& socket);
    ~ClientConnection() override;

    // Nothing of a request has arrived and no response is outstanding.
    bool is_idle() const { return state_ == State::Reading && stream_.input_buffer().empty(); }
    // Closes an idle connection, unless a request has arrived that was not read yet.
    void close_if_idle();
    // Closes the connection to make room for a new client. Returns false, and keeps it open, if a request has
    // arrived on it.
    bool evict();
    // Closes a connection that has been in its state for longer than allowed.
    void close_if_stalled(TimePoint now);

private:
    // Reading: no response is outstanding. Waiting: for the next response in order. Writing: that response.
    // Lingering: the last response was sent, and the client's remaining input is discarded.
    enum class State { Reading, Waiting, Writing, Lingering, Closed };
    static constexpr std::size_t kMaxPendingRequests = 16;    // pipelined on one connection
    // A request, rejected ones included, until its response is written.
    struct PendingRequest : DownstreamConnection {
        explicit PendingRequest(ClientConnection& connection) : client_connection(connection) {}
        void on_answer(Payload&& response) override;
        void on_rejected(Duration retry_after, RejectionReason reason) override;
        void on_failed(FailureReason reason, Payload&& response) override;

        ClientConnection& client_connection;
        std::uint64_t request_ticket = 0;
        std::string request_id;
        std::size_t reserved_body_bytes = 0;    // part of context_.buffered_body_bytes
        bool keep_alive = true, is_http10 = false, allows_pipelining = false;
        bool is_being_received = false;    // its head is read, and the end of its message is not consumed yet
        bool is_submitting = false;        // its ticket is not known yet
        bool has_response = false;    // `queued_response` is set and is written after the earlier responses
        Payload queued_response;
    };
    // A parsed request that must not be processed concurrently with the requests before it.
    struct DeferredRequest {
        MappedRequest request;
        bool keep_alive, is_http10;
        TimePoint deferred_at;
    };

    void on_input() override;
    void on_all_sent() override;
    void on_disconnected() override;

    void on_body_chunk(std::string_view bytes) override;
    void on_body_end(bool complete) override;

    void process_input();
    void forward_upload();
    void drop_rest_of_message(PendingRequest& request);
    void reject_upload(const ImmediateRejection& rejection);
    bool can_read() const;
    void accept_request();
    void start_deferred_request();
    void start_request(MappedRequest&& request, bool keep_alive, bool http10, bool complete);
    PendingRequest& add_pending_request(bool keep_alive, bool http10);
    void prepare_next_message();
    void reject_request(const ImmediateRejection& rejection);
    void set_response(PendingRequest& pending_request, Payload&& response);
    void set_response(PendingRequest& pending_request, GatewayAnswer&& local_response);
    void release_request(PendingRequest& pending_request);
    void write_ready_responses();
    void write_response(PendingRequest& pending_request);
    void stream_response(Payload&& response, bool http10);
    void finish_streamed_response();
    void on_response_written();
    void close_connection();
    void enter_state(State state);
    bool reserve_body_memory(std::size_t buffered_bytes);
    void release_body_memory();
    EvictionClass eviction_class() const;
    bool should_close_transient() const;
    void update_eviction_position();
    Duration state_timeout() const;

    ClientContext& context_;
    Stream stream_;
    // A request whose body is too long to be buffered is started once this many bytes of it have arrived; the
    // rest is streamed.
    static constexpr std::size_t kUploadStreamingThreshold = 64 * 1024;
    http::Parser parser_;
    UploadReader upload_reader_;
    State state_ = State::Reading;
    std::vector<std::unique_ptr<PendingRequest>> pending_requests_;    // in request order
    std::unique_ptr<DeferredRequest> deferred_request_;
    std::uint64_t request_count_ = 0;    // complete requests
    std::size_t discarded_bytes_ = 0;    // input after the last response
    std::pair<EvictionClass, TimePoint> eviction_position_{EvictionClass::NotEvictable, {}};
    std::size_t reserved_body_bytes_ =
        0;    // part of context_.buffered_body_bytes, for the message being read
    std::shared_ptr<BodyStream> response_stream_;    // of the response that is being streamed
    BodyFraming response_framing_ = BodyFraming::ContentLength;
    bool keep_alive_ = true;    // after the response that is being written
    bool continue_sent_ = false, is_processing_ = false, is_writing_ = false;
    bool responded_early_ = false;     // responded before the end of the body
    bool request_started_ = false;     // the first bytes of a request have arrived
    TimePoint head_completed_at_{};    // when the head of the request being read was complete
    TimePoint state_since_;            // when the state last changed, or the request began
};

}    // namespace shaletray
