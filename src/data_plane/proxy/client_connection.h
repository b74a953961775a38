// One client's connection: a request in, its answer out, then the next. Requests that may overlap are worked
// on at the same time, and answered in their order.
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

namespace shaletray {

class ClientConnection;

// How readily a connection is given up when room is wanted: the first of these goes first.
enum class EvictionClass { AfterAnswer, NoRequestYet, AfterOneRequest, KeptAlive, NotEvictable };

// What there is for all clients together.
struct ClientCapacity {
    std::size_t max_sockets = 1024;    // descriptors, those for servers among them
    double max_memory_mb = 32.0;       // of which a quarter may hold long bodies
};

// What the connections of one listener share.
struct ClientContext {
    RequestHandler& request_handler;
    RequestMapping& request_mapping;
    ClientCapacity capacity;
    Counters& counters;
    Reactor& reactor;
    std::function<bool()> is_ready;
    std::function<void(ClientConnection&)>
        on_connection_closed;    // gives the connection up, to be destroyed later
    bool is_stopping = false, is_draining = false;
    bool is_closing_down() const {
        return is_stopping || is_draining;
    }                                       // answers end their connections, readiness is no
    std::size_t buffered_body_bytes = 0;    // bytes of long bodies that are held whole, or are to be
    // Connections that carry no request, the longest standing first in each kind. A connection keeps its own
    // place up to date.
    std::set<std::tuple<EvictionClass, TimePoint, ClientConnection*>> evictable_connections{};
    std::size_t transient_connections = 0;    // of those, what has asked once or not at all
    // Of the requests that are open: one under another's id could be taken for a copy of it by a server.
    std::unordered_set<std::string> open_request_ids{};
};

class ClientConnection : public RetiredObject, private StreamOwner, private BodySink {
public:
    ClientConnection(ClientContext& context, const Poco::Net::StreamSocket& socket);
    ~ClientConnection() override;

    bool is_idle() const { return state_ == State::Reading && stream_.input_buffer().empty(); }
    // Closes it where it only waits; what a client has sent meanwhile is read first.
    void close_if_idle();
    // Closes it for a new client, unless it is found to carry a request after all. False where it stays.
    bool evict();
    // Closes a connection that stood still for too long.
    void close_if_stalled(TimePoint now);

private:
    class StreamedUpload;
    // Reading: nothing is owed. Waiting: for the answer that is to be written next. Writing: that one.
    enum class State { Reading, Waiting, Writing, Lingering, Closed };
    static constexpr std::size_t kMaxPendingRequests = 16;    // requests of one connection
    // A request, or what was answered at the door, until its answer is written.
    struct PendingRequest : DownstreamConnection {
        explicit PendingRequest(ClientConnection& connection) : client_connection(connection) {}
        void on_answer(Payload&& answer) override;
        void on_rejected(Duration retry_after, RejectionReason reason) override;
        void on_failed(FailureReason reason, Payload&& answer) override;

        ClientConnection& client_connection;
        std::uint64_t request_ticket = 0;
        std::string request_id;
        std::size_t reserved_body_bytes = 0;    // of context_.held_bodies
        bool keep_alive = true, is_http10 = false, allows_pipelining = false;
        bool body_incomplete = false;    // its body was not whole when this began
        bool is_submitting = false;      // its ticket is not known yet
        bool has_answer = false;         // by what follows, which waits for its turn
        Payload answer;
    };
    // Read, but not to be worked on beside others.
    struct ParkedRequest {
        MappedRequest request;
        bool keep_alive, is_http10;
        TimePoint parked_at;
    };

    void on_input() override;
    void on_all_sent() override;
    void on_disconnected() override;

    void on_body_chunk(std::string_view bytes) override;
    void on_body_end(bool complete) override;

    void process_input();
    void forward_upload();
    void finish_upload();
    void reject_upload(const ImmediateRejection& rejection);
    bool can_read() const;
    void accept_request();
    void start_parked_request();
    void start_request(MappedRequest&& request, bool keep_alive, bool http10, bool complete);
    PendingRequest& add_pending_request(bool keep_alive, bool http10);
    void prepare_next_message();
    void reject_request(const ImmediateRejection& rejection);
    void set_answer(PendingRequest& pending_request, Payload&& answer);
    void set_answer(PendingRequest& pending_request, GatewayAnswer&& gateway_answer);
    void release_request(PendingRequest& pending_request);
    void write_ready_answers();
    void write_answer(PendingRequest& pending_request);
    void stream_answer(Payload&& answer, bool http10);
    void finish_streamed_answer();
    void on_answer_written();
    void close_connection();
    void enter_state(State state);
    bool reserve_body_memory(std::size_t buffered_bytes);
    void release_body_memory();
    EvictionClass eviction_class() const;
    bool is_crowded() const;
    void update_eviction_position();
    Duration state_timeout() const;

    ClientContext& context_;
    Stream stream_;
    // Where a longer body cannot be held, its request is taken once so much is here, and what follows is
    // passed on as it comes.
    static constexpr std::size_t kUploadStreamingThreshold = 64 * 1024;
    http::Parser parser_;
    State state_ = State::Reading;
    std::vector<std::unique_ptr<PendingRequest>> pending_requests_;    // in the order of their answers
    std::unique_ptr<ParkedRequest> parked_request_;
    std::uint64_t request_count_ = 0;    // whole requests
    std::size_t discarded_bytes_ = 0;    // bytes behind the last answer
    std::pair<EvictionClass, TimePoint> eviction_position_{EvictionClass::NotEvictable, {}};
    std::size_t reserved_body_bytes_ = 0;              // of context_.held_bodies, for what is being read
    std::shared_ptr<StreamedUpload> active_upload_;    // of the request that is being passed on
    std::size_t uploaded_bytes_ = 0;                   // bytes of it that were given
    TimePoint reading_paused_at_{};                    // since when its client is kept waiting
    bool forwarding_upload_ = false;
    std::shared_ptr<BodyStream> answer_stream_;    // of the answer that is being passed on
    BodyFraming answer_framing_ = BodyFraming::ContentLength;
    bool keep_alive_ = true;    // after the answer that is being written
    bool continue_sent_ = false, is_processing_ = false, is_writing_ = false;
    bool answered_early_ = false;      // answered in the middle of a body
    bool request_started_ = false;     // some of a request is here
    TimePoint head_completed_at_{};    // when the head of the request that is read was whole
    TimePoint state_since_;            // when the state last changed, or the request began
};

}    // namespace shaletray
