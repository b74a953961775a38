// The engine: owns requests, attempts and timers, feeds the decision module and carries out what it decides.
// It knows neither HTTP nor sockets nor this platform's names: a front hands requests in and takes answers
// out, a backend carries attempts, mail carries peer messages.
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

// Takes a body that is too long to be held, piece by piece.
class BodySink {
public:
    virtual ~BodySink() = default;
    virtual void on_body_chunk(std::string_view bytes) = 0;
    virtual void on_body_end(bool complete) = 0;    // nothing follows
};
// Where such a body comes from. To let go of it is to want no more.
class BodyStream {
public:
    virtual ~BodyStream() = default;
    virtual void start(BodySink& sink) = 0;        // pieces follow, the first perhaps before this returns
    virtual void set_reading(bool enabled) = 0;    // backpressure: none come while they are not wanted
    virtual std::optional<std::uint64_t> total_length() const = 0;    // bytes in all, where that is known
};

// A request's body that is still coming, its first part apart. An attempt is written with that part, and then
// begins the rest, which only one can.
class RequestUpload : public BodyStream {
public:
    virtual std::string_view initial_body() const = 0;    // empty once the rest was begun
    virtual bool is_streaming() const = 0;                // the rest was begun: no other attempt may follow
    virtual bool is_complete() const = 0;                 // all of it has come from the client
    virtual TimePoint last_received_at() const = 0;       // when the last of it came
};

// A request or an answer as front and backend understand it. The engine passes it on and looks at no byte.
struct Payload {
    std::string head, body;
    // In place of the body, where that is too long to be held: of an answer, of a request.
    std::shared_ptr<BodyStream> body_stream = {};
    std::shared_ptr<RequestUpload> upload = {};
    int status_code = 200;          // of an answer
    std::string request_id = {};    // of a request, where servers repeat it in their answers
};

// A request as its front describes it.
struct IncomingRequest {
    decision::CustomerId customer{};
    int class_index = 0, plan_index = 0;
    double units = 1.0;
    Duration time_budget{0};
    int first_gateway_index = 0, gateway_set_size = 1;
    bool is_streaming = false;                   // its answer begins long before it ends
    std::string reservation_id;                  // that it draws on, where plans change in service
    std::shared_ptr<const void> context = {};    // the front's own, kept as long as the request
    Payload payload;
};

// A request that was let in, as it is billed.
struct AdmittedRequest {
    decision::CustomerId customer{};
    int class_index = 0, plan_index = 0;
    double units = 0.0;
    std::uint64_t plan_version = 0, reservation_version = 0;
    decision::TimePoint admitted_at{};
};
// What keeps a record of use. Told of each request once, before its first attempt is sent.
class UsageRecorder {
public:
    virtual ~UsageRecorder() = default;
    virtual void record_admission(const AdmittedRequest& admission) = 0;
};

// What a good answer tells of its request's true units, where units are settled afterwards: a number above 0,
// or one of these.
constexpr double kUnitsUnreported = 0.0, kUnitsMalformed = -1.0;

struct AttemptId {
    RequestId request{};
    int attempt_number = 0;
};

enum class RejectionReason { Quota, Capacity };                   // what there was too little of
enum class FailureReason { UpstreamFailed, DeadlineExceeded };    // Late: its deadline came

// Where a request came from. Exactly one of these is called for each request taken, unless it was withdrawn.
class DownstreamConnection {
public:
    virtual ~DownstreamConnection() = default;
    virtual void on_answer(Payload&& answer) = 0;
    virtual void on_rejected(Duration retry_after, RejectionReason reason) = 0;
    // With the last whole answer of a server that said itself that it failed, where such are kept; else one
    // that tells nothing (says_failure).
    virtual void on_failed(FailureReason reason, Payload&& answer) = 0;
};
inline bool is_failure_answer(const Payload& answer) { return answer.status_code >= 400; }

// Where a front's requests go.
class RequestHandler {
public:
    virtual ~RequestHandler() = default;
    // May answer before it returns; 0 then, or any number, of which nothing is asked any more.
    virtual std::uint64_t submit(DownstreamConnection& downstream, IncomingRequest&& incoming) = 0;
    // No answer is wanted any more. Never for a request that was answered.
    virtual void cancel(std::uint64_t request_ticket) = 0;
};

// What carries attempts and probes. Each ends with one call of Engine::attempt_ended or probe_ended, which
// may come before send or probe returns; none comes for an attempt that was called off.
class AttemptSender {
public:
    virtual ~AttemptSender() = default;
    virtual void send_attempt(AttemptId attempt, HostId host, const Payload& request, Duration time_left) = 0;
    virtual void cancel_attempt(AttemptId attempt) = 0;
    virtual void check_health(HostId host) = 0;
    // Whether a byte of the attempt, which is out, may have reached its server.
    virtual bool has_started(AttemptId) const { return true; }
};

class PeerMessenger {
public:
    virtual ~PeerMessenger() = default;
    virtual void send_to_peer(PeerId peer, const std::vector<std::uint8_t>& bytes) = 0;
};

// Where lists of servers come from; asked where the module has to.
class HostListSource {
public:
    virtual ~HostListSource() = default;
    virtual void subscribe() = 0;
};

class Engine {
public:
    Engine(const decision::Settings& settings, std::uint64_t seed, const Clock& clock, Timers& timers,
           Counters& counters);
    // Nothing of it comes due any more. What is owed an answer gets none.
    ~Engine();
    Engine(const Engine&) = delete;
    Engine& operator=(const Engine&) = delete;

    void connect(AttemptSender& attempt_sender, PeerMessenger& peer_messenger, HostListSource& host_lists);
    // Shares are worked out by this ledger, and not by the module's own mail. It outlives the engine's use.
    void set_quota_state_table(limits::QuotaStateTable& table) { quota_state_table_ = &table; }
    // Plans change in service: this desk rules on each request, and speaks to that ledger.
    void set_plan_service(plans::PlanService& service) { plan_service_ = &service; }
    void set_usage_recorder(UsageRecorder& recorder) { usage_recorder_ = &recorder; }
    // What a platform wants beyond what the module decides. All off unless told.
    struct ResponsePolicy {
        // The last whole answer with which a server said that it failed goes to the front.
        bool forwards_failure_answers = false;
        // A front hears `refused` where nothing of its request can have run, and `failed` where it may have,
        // whatever the module called it.
        bool rejects_only_unexecuted = false;
    };
    void set_response_policy(const ResponsePolicy& policy) { response_policy_ = policy; }
    bool forwards_failure_answers() const { return response_policy_.forwards_failure_answers; }
    // Tells the module which of its allowances ran out or changed by now.
    void refresh_allowances();

    // Takes over classes and limits in service. Gives each class's index for arrivals, in the order of
    // `next.classes`: one that changed gets another, so that requests under way keep theirs. Throws
    // BadSettings and changes nothing where they make no sense.
    std::vector<int> apply_settings(const decision::Settings& new_settings);

    RequestId submit(DownstreamConnection& downstream, IncomingRequest&& incoming);
    // The client left: no answer is wanted any more.
    void cancel(RequestId request);

    void on_response_started(AttemptId attempt);    // its answer's first part is here
    // Its request is passed on while it still comes: nothing can be tried again from here on.
    void on_upload_started(AttemptId attempt);
    void on_request_written(AttemptId attempt);    // its server has its request whole
    // `settled_units` counts only on a good answer, where the settings say that units are settled afterwards:
    // the quota, here and in the ledger, is charged those instead of the guess; where the answer tells none
    // that can be used, the guess stands, and that is counted and logged.
    void on_attempt_ended(AttemptId attempt, Outcome outcome, LoadReport&& report = {}, Payload&& answer = {},
                          double settled_units = kUnitsUnreported);
    void on_health_check_ended(HostId host, Outcome outcome, Duration duration, LoadReport&& report = {});
    void on_host_list(decision::HostList&& list);
    void on_peer_message(PeerId peer, std::vector<std::uint8_t>&& bytes);

    // The program ends now: whatever is still owed an answer gets one.
    void abandon_all_requests();
    // For the process that takes this one's place. New requests are refused from then on.
    std::string export_state();
    // What the process before this one held; called before anything else. Where the text cannot be read that
    // is logged, and this one starts as it would alone. False then.
    bool import_state(std::string_view text);
    std::size_t open_requests() const { return requests_.size(); }
    std::size_t unanswered_requests() const {
        return unanswered_requests_;
    }    // requests still owed an answer
    // Healthy servers of the list that the module keeps requests from by its own choice.
    std::size_t avoided_hosts() const { return decision_module_.avoided(); }

private:
    struct Attempt {
        HostId host{};
        TimePoint sent_at{};
        Duration time_limit{0};    // 0: as long as the client waits
        Timers::Id timeout_timer = 0;
        TimePoint response_started_at{};    // when its answer began
        bool is_active = true, has_started = false, is_streaming = false;
        bool may_have_executed = false;    // or may have, once it ended
    };
    struct Request {
        DownstreamConnection* downstream = nullptr;    // none: answered or withdrawn
        IncomingRequest incoming;
        plans::PlanService::PlanDecision plan_decision;    // whatever changes meanwhile
        TimePoint deadline{};
        Timers::Id overdue_timer = 0;
        std::vector<Attempt> attempts;
        int active_attempts = 0;
        bool units_settled = false;                      // its true units were heard, or could not be
        std::unique_ptr<Payload> last_failure_answer;    // the last
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
    // What a front hears that gets no good answer.
    struct UnservedResponse {
        RequestResult result = RequestResult::Failed;
        Duration retry_after{0};
        FailureReason reason = FailureReason::UpstreamFailed;
        Payload answer;
    };
    // `dropped`: what is still out is called off next.
    UnservedResponse make_unserved_response(RequestId id, Request& request, RequestResult result,
                                            Duration retry_after = Duration(0),
                                            bool attempts_dropped = false) const;
    void deliver_response(DownstreamConnection& downstream, int class_index, UnservedResponse&& response);
    bool may_have_executed(RequestId id, const Request& request, bool attempts_dropped) const;
    void cancel_attempt(AttemptId id, Attempt& attempt);
    // Counts the answer that a request is about to get.
    void count_result(int class_index, RequestResult result);
    DownstreamConnection* drop_request(RequestId id);
    void finish_attempt(AttemptId id, Attempt& attempt, Outcome outcome, LoadReport&& report, bool is_final,
                        double settled_units = 0.0);
    // The true units of a request that was answered well, or 0 where the guess stands.
    double settle_units(Request& request, double reported_units);
    void on_attempt_timeout(AttemptId id);
    void on_request_overdue(RequestId id);
    void abandon_request(RequestId id);
    static TimePoint request_deadline(const Request& request);
    static TimePoint attempt_deadline(const Request& request, const Attempt& attempt);
    TimePoint next_check_time(const Request& request, TimePoint deadline) const;
    void erase_if_finished(RequestId id);

    void apply_limits(const decision::Settings& settings);

    const decision::Settings initial_settings_;    // as at the start
    const std::uint64_t seed_;
    decision::Gateway decision_module_;
    std::vector<decision::ClassSettings> classes_;    // by index; those no longer listed stay until reused
    std::size_t max_open_requests_ = 0;
    std::size_t max_attempts_ = 0;
    Duration max_retry_after_{0};
    bool settles_units_;
    double max_request_units_;    // that one request counts
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
    std::vector<decision::Allowance> pending_allowances_;    // kept for its memory
    std::unordered_map<RequestId, Request> requests_;
    Timers::Id module_timer_ = 0;    // the module's
    std::uint32_t last_request_id_ = 0;
    std::size_t unanswered_requests_ = 0;
    bool state_exported_ = false;
    std::vector<RequestClassCounters*> counters_by_class_;    // in counters_
    // An action's effects wait until all actions before them are done. Kept for their memory.
    // Held by the module's timers, which outlive the engine.
    std::vector<decision::Event> queued_events_;
    std::vector<decision::Action> pending_actions_;
    bool processing_events_ = false;
};

// A front's way to one engine, with nothing in between.
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
