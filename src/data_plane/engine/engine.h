// The engine owns requests, attempts and their timers, passes events to the decision module and executes the
// actions it returns. It is independent of HTTP, sockets and a platform's formats: these are behind the
// interfaces DownstreamConnection, AttemptSender, PeerMessenger and HostListSource.
//
// Threading: everything runs on one thread, usually the reactor's, and callbacks may come before a call
// returns. Invariants: each accepted request gets exactly one response unless it is cancelled, and each
// attempt is reported to the decision module exactly once.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/common/clock.h"
#include "base/common/counters.h"
#include "base/common/timers.h"
#include "data_plane/limits/quota_state_table.h"
#include "data_plane/plans/plan_service.h"
#include "decision/control.h"

namespace shaletray {

using decision::HostId;
using decision::LoadReport;
using decision::Outcome;
using decision::PeerId;
using decision::RequestId;

// Receives a streamed body in chunks.
class BodySink {
public:
    virtual ~BodySink() = default;
    virtual void on_body_chunk(std::string_view bytes) = 0;
    // The last call. `complete`: false if the body was cut short.
    virtual void on_body_end(bool complete) = 0;
};
// Source of a body that is too long to be buffered. Releasing it cancels the rest.
class BodyStream {
public:
    virtual ~BodyStream() = default;
    // Begins delivery to `sink`; the first chunk may come before this returns.
    virtual void start(BodySink& sink) = 0;
    // Backpressure: no chunks come while disabled.
    virtual void set_reading(bool enabled) = 0;
    // Bytes in total, if known.
    virtual std::optional<std::uint64_t> total_length() const = 0;
};

// A request body that is still being received. The buffered first part can be sent by several attempts; the
// rest can be streamed by one attempt only, so that no retry is possible from then on.
class RequestUpload : public BodyStream {
public:
    virtual std::string_view initial_body() const = 0;    // empty once streaming has begun
    virtual bool is_streaming() const = 0;                // no other attempt can send the body
    virtual bool is_complete() const = 0;                 // received completely
    virtual TimePoint last_received_at() const = 0;       // when bytes last arrived
};

// A request or response in the form that the platform's codecs share. The engine forwards it unread.
struct Payload {
    std::string head, body;
    // In place of `body` if that is too long to be buffered: of a response, of a request.
    std::shared_ptr<BodyStream> body_stream = {};
    std::shared_ptr<RequestUpload> upload = {};
    int status_code = 200;          // of a response
    std::string request_id = {};    // of a request, if servers repeat it in their responses
    bool is_repeatable = true;      // of a request: it may run more than once
};

// A client's request, mapped to the terms of the decision module.
struct IncomingRequest {
    decision::CustomerId customer{};
    int class_index = 0, plan_index = 0;
    double units = 1.0;         // charged to its quota
    Duration time_budget{0};    // until its deadline
    // The gateways over which the customer's quota is divided: index of the first one, and their number.
    int first_gateway_index = 0, gateway_set_size = 1;
    HostId only_host{};            // the only server that may run it; HostId{}: any server of the service
    bool is_streaming = false;     // the response takes long to complete after it has begun
    std::string reservation_id;    // the reservation to charge, if a plan service is set; empty: none
    std::shared_ptr<const void> context = {};    // the mapping's own data, kept as long as the request
    Payload payload;
};

// What is billed for an admitted request.
struct AdmittedRequest {
    decision::CustomerId customer{};
    int class_index = 0, plan_index = 0;
    double units = 0.0;
    std::uint64_t plan_version = 0, reservation_version = 0;
    decision::TimePoint admitted_at{};
};
// Writes usage records. Called once for each request, before its first attempt is sent.
class UsageRecorder {
public:
    virtual ~UsageRecorder() = default;
    virtual void record_admission(const AdmittedRequest& admission) = 0;
};

// Values of the units reported by a successful response, besides numbers above 0; used if units are settled
// afterwards.
constexpr double kUnitsUnreported = 0.0, kUnitsMalformed = -1.0;

// One send of a request; attempts of a request are numbered from 0.
struct AttemptId {
    RequestId request{};
    int attempt_number = 0;
};

enum class RejectionReason { Quota, Capacity };                   // what was exhausted
enum class FailureReason { UpstreamFailed, DeadlineExceeded };    // server error; time budget used up

// Receives the response to one request. Exactly one of these is called for each submitted request, unless it
// was cancelled.
class DownstreamConnection {
public:
    virtual ~DownstreamConnection() = default;
    virtual void on_answer(Payload&& server_response) = 0;
    virtual void on_rejected(Duration retry_after, RejectionReason reason) = 0;
    // `server_response` is the last complete error response of a server if
    // ResponsePolicy::forwards_error_responses is set and there was one (see is_error_response), else empty.
    virtual void on_failed(FailureReason reason, Payload&& server_response) = 0;
};
// Whether a payload passed to on_failed is a server's error response.
inline bool is_error_response(const Payload& server_response) { return server_response.status_code >= 400; }

// Accepts requests from client connections.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;
    // Returns a ticket for cancel(). May respond before it returns; the ticket must not be used then.
    virtual std::uint64_t submit(DownstreamConnection& downstream, IncomingRequest&& incoming) = 0;
    // Drops a request without a response. Never called for a request that has its response.
    virtual void cancel(std::uint64_t request_ticket) = 0;
};

// Sends attempts and health checks to servers. Each ends with one call of Engine::on_attempt_ended or
// on_health_check_ended, which may come before send_attempt or check_health returns; none follows
// cancel_attempt.
class AttemptSender {
public:
    virtual ~AttemptSender() = default;
    virtual void send_attempt(AttemptId attempt, HostId host, const Payload& request, Duration time_left) = 0;
    virtual void cancel_attempt(AttemptId attempt) = 0;
    virtual void check_health(HostId host) = 0;
    // Whether any byte of an attempt in flight may have reached its server.
    virtual bool has_started(AttemptId) const { return true; }
};

// Sends the decision module's datagrams to other gateways of the installation; losses are tolerated.
class PeerMessenger {
public:
    virtual ~PeerMessenger() = default;
    virtual void send_to_peer(PeerId peer, const std::vector<std::uint8_t>& bytes) = 0;
};

// Source of server lists, which it passes to Engine::on_host_list.
class HostListSource {
public:
    virtual ~HostListSource() = default;
    // Called when the decision module requests a list.
    virtual void subscribe() = 0;
};

// Processes the requests of one service, from submission to response. `clock`, `timers` and `counters` must
// outlive it.
class Engine {
public:
    Engine(const decision::Settings& settings, std::uint64_t seed, const Clock& clock, Timers& timers,
           Counters& counters);
    // Cancels its timers. Requests in progress get no response.
    ~Engine();
    Engine(const Engine&) = delete;
    Engine& operator=(const Engine&) = delete;

    // Sets the interfaces that execute actions; must precede any other call. They must stay valid while the
    // engine is used.
    void connect(AttemptSender& attempt_sender, PeerMessenger& peer_messenger, HostListSource& host_lists);
    // Takes quota shares from this table instead of the decision module's own peer messages. It must stay
    // valid while the engine is used.
    void set_quota_state_table(limits::QuotaStateTable& table) { quota_state_table_ = &table; }
    // For plans that change at runtime: the service decides each request's plan and updates the quota table.
    void set_plan_service(plans::PlanService& service) { plan_service_ = &service; }
    void set_usage_recorder(UsageRecorder& recorder) { usage_recorder_ = &recorder; }
    // How the platform wants requests without a successful response to be answered.
    struct ResponsePolicy {
        // A server's last complete error response is forwarded to the client.
        bool forwards_error_responses = false;
        // A request is reported as rejected if no part of it can have run, and as failed if it may have run,
        // whatever the decision module decides.
        bool rejects_only_unexecuted = false;
    };
    void set_response_policy(const ResponsePolicy& policy) { response_policy_ = policy; }
    bool forwards_error_responses() const { return response_policy_.forwards_error_responses; }
    // Passes allowances that have expired or changed to the decision module.
    void refresh_allowances();

    // Applies classes and limits at runtime. Returns the index of each class of `new_settings.classes` for
    // later arrivals; a changed class gets another index, so that requests in progress keep theirs. Throws
    // decision::BadSettings, and changes nothing, if they are invalid.
    std::vector<int> apply_settings(const decision::Settings& new_settings);

    // Accepts a request and decides on it. May respond before it returns. The id is 0 if the request was
    // rejected because too many requests are open or export_state() was called.
    RequestId submit(DownstreamConnection& downstream, IncomingRequest&& incoming);
    // The client disconnected: drops the request without a response.
    void cancel(RequestId request);

    // The first part of the response has arrived.
    void on_response_started(AttemptId attempt);
    // The request is forwarded while it is still being received: it cannot be retried from now on.
    void on_upload_started(AttemptId attempt);
    // The request was written completely to its server.
    void on_request_written(AttemptId attempt);
    // `settled_units` is used only for a successful response, and only if the settings settle units
    // afterwards: the quota, here and in the quota table, is charged with them instead of the estimate. If
    // the response reports no usable units, the estimate remains, which is counted and logged.
    void on_attempt_ended(AttemptId attempt, Outcome outcome, LoadReport&& report = {},
                          Payload&& server_response = {}, double settled_units = kUnitsUnreported);
    void on_health_check_ended(HostId host, Outcome outcome, Duration duration, LoadReport&& report = {});
    void on_host_list(decision::HostList&& list);
    void on_peer_message(PeerId peer, std::vector<std::uint8_t>&& bytes);

    // The process is ending: fails every request that has no response yet.
    void abandon_all_requests();
    // State for the successor process. New requests are rejected from then on.
    std::string export_state();
    // Takes over the predecessor's state; called before anything else. If the text is malformed, that is
    // logged, the engine starts afresh and the result is false.
    bool import_state(std::string_view text);
    std::size_t open_requests() const { return requests_.size(); }
    // Open requests without a response; requests with one remain open until their attempts end.
    std::size_t unanswered_requests() const { return unanswered_requests_; }
    // Healthy servers that are ejected by the decision module.
    std::size_t avoided_hosts() const { return decision_module_.avoided(); }

private:
    struct Attempt {
        HostId host{};
        TimePoint sent_at{};
        Duration time_limit{0};    // 0: until the client's deadline
        Timers::Id timeout_timer = 0;
        TimePoint response_started_at{};
        bool is_active = true, has_started = false, is_streaming = false;
        bool may_have_executed = false;    // valid once it ended
    };
    struct Request {
        DownstreamConnection* downstream = nullptr;    // null: answered or cancelled
        IncomingRequest incoming;
        plans::PlanService::PlanDecision plan_decision;    // as at arrival, whatever changes later
        TimePoint deadline{};
        Timers::Id overdue_timer = 0;
        std::vector<Attempt> attempts;
        int active_attempts = 0;
        bool units_settled = false;                      // settled, or the response had no usable units
        std::unique_ptr<Payload> last_error_response;    // see ResponsePolicy
    };

    Request* find_request(RequestId id);
    Attempt* find_active_attempt(AttemptId id);
    void process_event(decision::Event&& event);
    void decide_actions(const decision::Event& event);
    void execute(const decision::Send& action);
    void execute(const decision::CancelAttempt& action);
    void execute(const decision::Refuse& action);
    void execute(const decision::Fail& action);
    void execute(const decision::SetTimer& action);
    void execute(const decision::Probe& action);
    void execute(const decision::TellPeer& action);
    void execute(const decision::Subscribe& action);
    void record_admission(const Request& request, TimePoint now, bool is_sent);
    DownstreamConnection* detach_downstream(Request& request);
    enum class RequestResult { Served, Rejected, Failed };
    // The response to a request without a successful one.
    struct UnservedResponse {
        RequestResult result = RequestResult::Failed;
        Duration retry_after{0};
        FailureReason reason = FailureReason::UpstreamFailed;
        Payload server_response;
    };
    // `attempts_dropped`: attempts in flight are cancelled next.
    UnservedResponse make_unserved_response(RequestId id, Request& request, RequestResult result,
                                            Duration retry_after = Duration(0),
                                            bool attempts_dropped = false) const;
    void deliver_response(DownstreamConnection& downstream, int class_index, UnservedResponse&& response);
    bool may_have_executed(RequestId id, const Request& request, bool attempts_dropped) const;
    void cancel_attempt(AttemptId id, Attempt& attempt);
    // Counts the response that a request is about to get.
    void count_result(int class_index, RequestResult result);
    DownstreamConnection* drop_request(RequestId id);
    void finish_attempt(AttemptId id, Attempt& attempt, Outcome outcome, LoadReport&& report, bool is_final,
                        double settled_units = 0.0);
    // Returns the settled units of a successful request, or 0 if the estimate remains.
    double settle_units(Request& request, double reported_units);
    void on_attempt_timeout(AttemptId id);
    void on_request_overdue(RequestId id);
    void abandon_request(RequestId id);
    static TimePoint request_deadline(const Request& request);
    static TimePoint attempt_deadline(const Request& request, const Attempt& attempt);
    TimePoint next_check_time(const Request& request, TimePoint deadline) const;
    void erase_if_finished(RequestId id);

    void apply_limits(const decision::Settings& settings);

    const decision::Settings initial_settings_;    // as at construction
    const std::uint64_t seed_;
    decision::Gateway decision_module_;
    std::vector<decision::ClassSettings>
        classes_;    // by index; removed classes stay until their index is reused
    std::size_t max_open_requests_ = 0;
    std::size_t max_attempts_ = 0;
    Duration max_retry_after_{0};
    bool settles_units_;
    double max_request_units_;    // maximum cost of one request
    const Clock& clock_;
    Timers& timers_;
    Counters& counters_;
    AttemptSender* attempt_sender_ = nullptr;
    PeerMessenger* peer_messenger_ = nullptr;
    HostListSource* host_lists_ = nullptr;
    limits::QuotaStateTable* quota_state_table_ = nullptr;
    plans::PlanService* plan_service_ = nullptr;
    UsageRecorder* usage_recorder_ = nullptr;
    ResponsePolicy response_policy_;
    std::vector<decision::Allowance> pending_allowances_;    // a member only to reuse its memory
    std::unordered_map<RequestId, Request> requests_;
    Timers::Id module_timer_ = 0;    // the decision module's only timer
    std::uint32_t last_request_id_ = 0;
    std::size_t unanswered_requests_ = 0;
    bool state_exported_ = false;
    std::vector<RequestClassCounters*> counters_by_class_;    // by class index; points into counters_
    // Events caused by an action wait until all earlier actions are done. Members only to reuse their memory.
    std::vector<decision::Event> queued_events_;
    std::vector<decision::Action> pending_actions_;
    bool processing_events_ = false;
};

// Passes requests directly to one engine.
class EngineRequestHandler : public RequestHandler {
public:
    explicit EngineRequestHandler(Engine& engine) : engine_(engine) {}
    std::uint64_t submit(DownstreamConnection& downstream, IncomingRequest&& incoming) override {
        return static_cast<std::uint64_t>(engine_.submit(downstream, std::move(incoming)));
    }
    void cancel(std::uint64_t request_ticket) override {
        engine_.cancel(RequestId{static_cast<std::uint32_t>(request_ticket)});
    }

private:
    Engine& engine_;
};

}    // namespace shaletray
