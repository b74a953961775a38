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
    virtual void on_body(std::string_view bytes) = 0;
    virtual void on_body_end(bool whole) = 0;    // nothing follows
};
// Where such a body comes from. To let go of it is to want no more.
class BodyFlow {
public:
    virtual ~BodyFlow() = default;
    virtual void begin(BodySink& sink) = 0;    // pieces follow, the first perhaps before this returns
    virtual void go_on(bool wanted) = 0;       // backpressure: none come while they are not wanted
    virtual std::optional<std::uint64_t> length() const = 0;    // bytes in all, where that is known
};

// A request's body that is still coming, its first part apart. An attempt is written with that part, and then
// begins the rest, which only one can.
class Upload : public BodyFlow {
public:
    virtual std::string_view first() const = 0;    // empty once the rest was begun
    virtual bool given() const = 0;                // the rest was begun: no other attempt may follow
    virtual bool whole() const = 0;                // all of it has come from the client
    virtual TimePoint moved() const = 0;           // when the last of it came
};

// A request or an answer as front and backend understand it. The engine passes it on and looks at no byte.
struct Payload {
    std::string head, body;
    // In place of the body, where that is too long to be held: of an answer, of a request.
    std::shared_ptr<BodyFlow> flow = {};
    std::shared_ptr<Upload> upload = {};
    int status = 200;       // of an answer
    std::string id = {};    // of a request, where servers repeat it in their answers
};

// A request as its front describes it.
struct Arrival {
    decision::CustomerId customer{};
    int class_index = 0, plan_index = 0;
    double units = 1.0;
    Duration budget{0};
    int first_gateway = 0, width = 1;
    bool streams = false;                        // its answer begins long before it ends
    std::string reservation;                     // that it draws on, where plans change in service
    std::shared_ptr<const void> purpose = {};    // the front's own, kept as long as the request
    Payload payload;
};

// A request that was let in, as it is billed.
struct Admission {
    decision::CustomerId customer{};
    int class_index = 0, plan_index = 0;
    double units = 0.0;
    std::uint64_t plan_version = 0, reservation = 0;
    decision::TimePoint at{};
};
// What keeps a record of use. Told of each request once, before its first attempt is sent.
class UseKeeper {
public:
    virtual ~UseKeeper() = default;
    virtual void admitted(const Admission& admission) = 0;
};

// What a good answer tells of its request's true units, where units are settled afterwards: a number above 0,
// or one of these.
constexpr double kUnitsUntold = 0.0, kUnitsMalformed = -1.0;

struct AttemptId {
    RequestId request{};
    int number = 0;
};

enum class Refusal { Quota, Room };     // what there was too little of
enum class Failure { Broken, Late };    // Late: its deadline came

// Where a request came from. Exactly one of these is called for each request taken, unless it was withdrawn.
class Front {
public:
    virtual ~Front() = default;
    virtual void served(Payload&& answer) = 0;
    virtual void refused(Duration retry_after, Refusal why) = 0;
    // With the last whole answer of a server that said itself that it failed, where such are kept; else one
    // that tells nothing (says_failure).
    virtual void failed(Failure why, Payload&& answer) = 0;
};
inline bool says_failure(const Payload& answer) { return answer.status >= 400; }

// Where a front's requests go.
class Intake {
public:
    virtual ~Intake() = default;
    // May answer before it returns; 0 then, or any number, of which nothing is asked any more.
    virtual std::uint64_t take(Front& front, Arrival&& arrival) = 0;
    // No answer is wanted any more. Never for a request that was answered.
    virtual void withdraw(std::uint64_t ticket) = 0;
};

// What carries attempts and probes. Each ends with one call of Engine::attempt_ended or probe_ended, which
// may come before send or probe returns; none comes for an attempt that was called off.
class Backend {
public:
    virtual ~Backend() = default;
    virtual void send(AttemptId attempt, HostId host, const Payload& request, Duration left) = 0;
    virtual void cancel(AttemptId attempt) = 0;
    virtual void probe(HostId host) = 0;
    // Whether a byte of the attempt, which is out, may have reached its server.
    virtual bool began(AttemptId) const { return true; }
};

class Mail {
public:
    virtual ~Mail() = default;
    virtual void tell(PeerId to, const std::vector<std::uint8_t>& bytes) = 0;
};

// Where lists of servers come from; asked where the module has to.
class ListSource {
public:
    virtual ~ListSource() = default;
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

    void connect(Backend& backend, Mail& mail, ListSource& lists);
    // Shares are worked out by this ledger, and not by the module's own mail. It outlives the engine's use.
    void share_by(limits::Ledger& ledger) { ledger_ = &ledger; }
    // Plans change in service: this desk rules on each request, and speaks to that ledger.
    void rule_by(plans::Desk& desk) { desk_ = &desk; }
    void keep_use_in(UseKeeper& keeper) { use_ = &keeper; }
    // What a platform wants beyond what the module decides. All off unless told.
    struct Manners {
        // The last whole answer with which a server said that it failed goes to the front.
        bool keeps_failures = false;
        // A front hears `refused` where nothing of its request can have run, and `failed` where it may have,
        // whatever the module called it.
        bool refusal_promises = false;
    };
    void behave(const Manners& manners) { manners_ = manners; }
    bool keeps_failures() const { return manners_.keeps_failures; }
    // Tells the module which of its allowances ran out or changed by now.
    void allowances_due();

    // Takes over classes and limits in service. Gives each class's index for arrivals, in the order of
    // `next.classes`: one that changed gets another, so that requests under way keep theirs. Throws
    // BadSettings and changes nothing where they make no sense.
    std::vector<int> adopt(const decision::Settings& next);

    RequestId take(Front& front, Arrival&& arrival);
    // The client left: no answer is wanted any more.
    void withdraw(RequestId request);

    void attempt_began(AttemptId attempt);    // its answer's first part is here
    // Its request is passed on while it still comes: nothing can be tried again from here on.
    void attempt_uploads(AttemptId attempt);
    void attempt_written(AttemptId attempt);    // its server has its request whole
    // `settled_units` counts only on a good answer, where the settings say that units are settled afterwards:
    // the quota, here and in the ledger, is charged those instead of the guess; where the answer tells none
    // that can be used, the guess stands, and that is counted and logged.
    void attempt_ended(AttemptId attempt, Outcome outcome, LoadReport&& report = {}, Payload&& answer = {},
                       double settled_units = kUnitsUntold);
    void probe_ended(HostId host, Outcome outcome, Duration took, LoadReport&& report = {});
    void list_heard(decision::HostList&& list);
    void mail_heard(PeerId from, std::vector<std::uint8_t>&& bytes);

    // The program ends now: whatever is still owed an answer gets one.
    void give_up_all();
    // For the process that takes this one's place. New requests are refused from then on.
    std::string hand_over();
    // What the process before this one held; called before anything else. Where the text cannot be read that
    // is logged, and this one starts as it would alone. False then.
    bool take_over(std::string_view text);
    std::size_t open_requests() const { return requests_.size(); }
    std::size_t in_progress() const { return owed_; }    // requests still owed an answer
    // Healthy servers of the list that the module keeps requests from by its own choice.
    std::size_t avoided() const { return module_.avoided(); }

private:
    struct Attempt {
        HostId host{};
        TimePoint sent{};
        Duration limit{0};    // 0: as long as the client waits
        Timers::Id timeout = 0;
        TimePoint heard{};    // when its answer began
        bool out = true, began = false, flows = false;
        bool ran = false;    // or may have, once it ended
    };
    struct Request {
        Front* front = nullptr;    // none: answered or withdrawn
        Arrival arrival;
        plans::Desk::Ruling ruling;    // whatever changes meanwhile
        TimePoint deadline{};
        Timers::Id overdue = 0;
        std::vector<Attempt> attempts;
        int out = 0;
        bool settled = false;                // its true units were heard, or could not be
        std::unique_ptr<Payload> failure;    // the last
    };

    Request* find(RequestId id);
    Attempt* find_out(AttemptId id);
    void feed(decision::Event&& event);
    void decide(const decision::Event& event);
    void perform(const decision::Send& action);
    void perform(const decision::CancelAttempt& action);
    void perform(const decision::Refuse& action);
    void perform(const decision::Fail& action);
    void perform(const decision::SetTimer& action);
    void perform(const decision::Probe& action);
    void perform(const decision::TellPeer& action);
    void perform(const decision::Subscribe& action);
    void admit(const Request& request, TimePoint now, bool is_sent);
    Front* close(Request& request);
    enum class Verdict { Served, Refused, Failed };
    // What a front hears that gets no good answer.
    struct Ending {
        Verdict verdict = Verdict::Failed;
        Duration wait{0};
        Failure why = Failure::Broken;
        Payload answer;
    };
    // `dropped`: what is still out is called off next.
    Ending ending(RequestId id, Request& request, Verdict wanted, Duration wait = Duration(0),
                  bool dropped = false) const;
    void tell(Front& front, int class_index, Ending&& ending);
    bool may_have_run(RequestId id, const Request& request, bool dropped) const;
    void call_off(AttemptId id, Attempt& attempt);
    // Counts the answer that a request is about to get.
    void count(int class_index, Verdict verdict);
    Front* drop(RequestId id);
    void end(AttemptId id, Attempt& attempt, Outcome outcome, LoadReport&& report, bool final,
             double settled_units = 0.0);
    // The true units of a request that was answered well, or 0 where the guess stands.
    double settle(Request& request, double told);
    void time_out(AttemptId id);
    void overdue(RequestId id);
    void give_up(RequestId id);
    static TimePoint deadline(const Request& request);
    static TimePoint limit(const Request& request, const Attempt& attempt);
    TimePoint look_by(const Request& request, TimePoint until) const;
    void forget_if_done(RequestId id);

    void take_limits(const decision::Settings& settings);

    const decision::Settings settings_;    // as at the start
    const std::uint64_t seed_;
    decision::Gateway module_;
    std::vector<decision::ClassSettings> classes_;    // by index; those no longer listed stay until reused
    std::size_t most_open_ = 0;
    std::size_t most_attempts_ = 0;
    Duration most_advice_{0};
    bool settles_;
    double most_units_;    // that one request counts
    const Clock& clock_;
    Timers& timers_;
    Counters& counters_;
    Backend* backend_ = nullptr;
    Mail* mail_ = nullptr;
    ListSource* lists_ = nullptr;
    limits::Ledger* ledger_ = nullptr;
    plans::Desk* desk_ = nullptr;
    UseKeeper* use_ = nullptr;
    Manners manners_;
    std::vector<decision::Allowance> told_;    // kept for its memory
    std::unordered_map<RequestId, Request> requests_;
    Timers::Id tick_ = 0;    // the module's
    std::uint32_t last_request_ = 0;
    std::size_t owed_ = 0;
    bool handed_over_ = false;
    std::vector<ClassCounts*> by_class_;    // in counters_
    // An action's effects wait until all actions before them are done. Kept for their memory.
    // Held by the module's timers, which outlive the engine.
    std::vector<decision::Event> events_;
    std::vector<decision::Action> actions_;
    bool feeding_ = false;
};

// A front's way to one engine, with nothing in between.
class EngineIntake : public Intake {
public:
    explicit EngineIntake(Engine& engine) : engine_(engine) {}
    std::uint64_t take(Front& front, Arrival&& arrival) override {
        return static_cast<std::uint64_t>(engine_.take(front, std::move(arrival)));
    }
    void withdraw(std::uint64_t ticket) override {
        engine_.withdraw(RequestId{static_cast<std::uint32_t>(ticket)});
    }

private:
    Engine& engine_;
};

}    // namespace shaletray
