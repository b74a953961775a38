#include "data_plane/engine/engine.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "base/common/log.h"

namespace shaletray {
namespace {

using namespace std::chrono_literals;

// The module answers by the deadline; this much later the engine does, whatever went wrong.
constexpr Duration kOverdue = 4ms;
// How long a long request may stand still, by its client's fault or its server's, before its own time begins.
constexpr Duration kUploadStall = 3s;

}    // namespace

Engine::Engine(const decision::Settings& settings, std::uint64_t seed, const Clock& clock, Timers& timers,
               Counters& counters)
    : settings_(settings),
      seed_(seed),
      module_(settings, seed),
      classes_(settings.classes),
      settles_(settings.settles),
      most_units_(std::max(1.0, settings.most_units)),
      clock_(clock),
      timers_(timers),
      counters_(counters) {
    take_limits(settings);
}

Engine::~Engine() {
    timers_.cancel(tick_);
    for (auto& [id, request] : requests_) {
        timers_.cancel(request.overdue);
        for (Attempt& attempt : request.attempts) timers_.cancel(attempt.timeout);
    }
}

void Engine::take_limits(const decision::Settings& settings) {
    most_open_ = static_cast<std::size_t>(std::max(1, settings.max_open));
    most_attempts_ = static_cast<std::size_t>(std::max(0, settings.send_cap));
    most_advice_ = settings.max_retry_after;
    by_class_.clear();
    for (const decision::ClassSettings& c : classes_) by_class_.push_back(&counters_.classes[c.name]);
}

std::vector<int> Engine::adopt(const decision::Settings& next) {
    std::vector<bool> taken(classes_.size());
    std::vector<int> places(next.classes.size(), -1);
    for (std::size_t i = 0; i < next.classes.size(); ++i) {
        const auto same = std::find(classes_.begin(), classes_.end(), next.classes[i]);
        if (same == classes_.end() || taken[static_cast<std::size_t>(same - classes_.begin())]) continue;
        places[i] = static_cast<int>(same - classes_.begin());
        taken[static_cast<std::size_t>(places[i])] = true;
    }
    for (const auto& [id, request] : requests_) {
        const auto at = static_cast<std::size_t>(request.arrival.class_index);
        if (at < taken.size()) taken[at] = true;
    }
    decision::Settings merged = next;
    merged.classes = classes_;
    for (std::size_t i = 0, free = 0; i < places.size(); ++i) {
        if (places[i] >= 0) continue;
        while (free < taken.size() && taken[free]) ++free;
        if (free == merged.classes.size()) merged.classes.emplace_back();
        merged.classes[free] = next.classes[i];
        places[i] = static_cast<int>(free++);
    }
    module_.adopt(merged);
    classes_ = std::move(merged.classes);
    take_limits(next);
    return places;
}

void Engine::connect(Backend& backend, Mail& mail, ListSource& lists) {
    backend_ = &backend;
    mail_ = &mail;
    lists_ = &lists;
}

Engine::Request* Engine::find(RequestId id) {
    const auto it = requests_.find(id);
    return it == requests_.end() ? nullptr : &it->second;
}

Engine::Attempt* Engine::find_out(AttemptId id) {
    Request* request = find(id.request);
    if (request == nullptr || id.number < 0) return nullptr;
    const auto at = static_cast<std::size_t>(id.number);
    return at < request->attempts.size() && request->attempts[at].out ? &request->attempts[at] : nullptr;
}

// ---- what comes in ----

RequestId Engine::take(Front& front, Arrival&& arrival) {
    ++counters_.taken;
    if (requests_.size() >= most_open_ || handed_over_) {
        ++counters_.turned_away;
        count(arrival.class_index, Verdict::Refused);
        // All of what may be asked: nothing says when there is room again.
        front.refused(most_advice_, Refusal::Room);
        return RequestId{};
    }
    RequestId id{++last_request_};
    while (last_request_ == 0 || requests_.contains(id)) id = RequestId{++last_request_};    // went round
    Request& request = requests_[id];
    request.front = &front;
    ++owed_;
    request.deadline = clock_.now() + arrival.budget;
    request.overdue = timers_.at(request.deadline + kOverdue, [this, id] { overdue(id); });
    decision::RequestArrived ask;
    ask.request = id;
    ask.customer = arrival.customer;
    ask.class_index = arrival.class_index;
    ask.plan_index = arrival.plan_index;
    ask.units = arrival.units;
    ask.budget = arrival.budget;
    ask.first_gateway = arrival.first_gateway;
    ask.width = arrival.width;
    request.arrival = std::move(arrival);
    // Told before each request, so that it matters neither what the module forgot nor what ran out meanwhile.
    request.ruling = {ask.customer, ask.plan_index, 0, 0};
    if (desk_ != nullptr) {
        std::vector<decision::Allowance> told;
        const plans::Desk::Ruling ruling =
            desk_->rule(ask.customer, ask.plan_index, ask.first_gateway, ask.width, ask.units,
                        request.arrival.reservation, clock_.now(), told);
        request.ruling = ruling;
        ask.customer = ruling.account;
        ask.plan_index = ruling.plan_index;
        for (const decision::Allowance& allowance : told) feed(allowance);
    } else if (ledger_ != nullptr) {
        if (const auto allowance = ledger_->asked(ask.customer, ask.plan_index, ask.first_gateway, ask.width,
                                                  ask.units, clock_.now()))
            feed(*allowance);
    }
    feed(ask);
    return id;
}

void Engine::withdraw(RequestId id) {
    if (drop(id) != nullptr) ++counters_.gone;
}

// Ends a request without the module's answer. Gives the front that is still owed one, if any.
Front* Engine::drop(RequestId id) {
    Request* request = find(id);
    if (request == nullptr || request->front == nullptr) return nullptr;
    Front* const front = close(*request);
    feed(decision::RequestAborted{id});
    // What is still out serves nobody now.
    for (std::size_t i = 0; (request = find(id)) != nullptr && i < request->attempts.size(); ++i) {
        if (!request->attempts[i].out) continue;
        const AttemptId attempt{id, static_cast<int>(i)};
        call_off(attempt, request->attempts[i]);
        ++counters_.cancelled;
        end(attempt, request->attempts[i], Outcome::Cancelled, {}, true);
    }
    forget_if_done(id);
    return front;
}

// Only an answer that is a stream is told to the module, as the simulator does: its time-out and the client's
// deadline end there. All other answers are passed on whole.
void Engine::attempt_began(AttemptId id) {
    Attempt* attempt = find_out(id);
    if (attempt == nullptr || attempt->began) return;
    attempt->heard = clock_.now();
    Request& request = *find(id.request);
    if (!request.arrival.streams) return;
    attempt->began = true;
    timers_.cancel(attempt->timeout);
    timers_.cancel(request.overdue);
    feed(decision::AttemptStarted{id.request, id.number, attempt->host});
}

void Engine::attempt_uploads(AttemptId id) {
    if (const Attempt* attempt = find_out(id))
        feed(decision::AttemptStarted{id.request, id.number, attempt->host});
}

// What the client took to send a long request says nothing of its server.
void Engine::attempt_written(AttemptId id) {
    Attempt* attempt = find_out(id);
    if (attempt != nullptr && find(id.request)->arrival.payload.upload) attempt->sent = clock_.now();
}

void Engine::attempt_ended(AttemptId id, Outcome outcome, LoadReport&& report, Payload&& answer,
                           double settled_units) {
    Attempt* attempt = find_out(id);
    if (attempt == nullptr) return;
    Request& request = *find(id.request);
    const double settled = outcome == Outcome::Ok ? settle(request, settled_units) : 0.0;
    attempt->flows = answer.flow != nullptr && attempt->heard != TimePoint{};
    if (manners_.keeps_failures && outcome == Outcome::Error && says_failure(answer))
        request.failure = std::make_unique<Payload>(std::move(answer));
    // A good answer finishes the request by itself, and so does the break of a stream.
    if (outcome == Outcome::Ok) {
        if (Front* const front = close(request)) {
            count(request.arrival.class_index, Verdict::Served);
            // NOLINTNEXTLINE(bugprone-use-after-move): moved from above only where the outcome is an error
            front->served(std::move(answer));
        }
    } else if (attempt->began) {
        Ending broken = ending(id.request, request, Verdict::Failed);
        if (Front* const front = close(request)) tell(*front, request.arrival.class_index, std::move(broken));
    }
    end(id, *attempt, outcome, std::move(report), request.front == nullptr, settled);
    forget_if_done(id.request);
}

// A request's first good answer tells its true units; a later one would tell them again.
double Engine::settle(Request& request, double told) {
    if (!settles_ || request.settled) return 0.0;
    request.settled = true;
    if (!(told > 0.0 && told <= most_units_)) {    // none, no number, or more than one request counts
        ++counters_.units_untold;
        static LogGate gate;
        if (gate.open())
            log(LogLevel::Warning, Event::ServerUnitsUntold,
                {kv("told", told == kUnitsUntold ? "nothing" : "no such number"),
                 kv("guess", request.arrival.units)});
        return 0.0;
    }
    ++counters_.units_settled;
    // The quota counts the true units in the end, charged where admit() charged the guess; the ceiling went
    // by the guess, and stays so.
    const double difference = told - request.arrival.units;
    if (desk_ != nullptr) desk_->settled(request.ruling, request.arrival.customer, difference, clock_.now());
    else if (ledger_ != nullptr) ledger_->settled(request.arrival.customer, difference, clock_.now());
    return told;
}

void Engine::allowances_due() {
    if (ledger_ == nullptr) return;
    const TimePoint now = clock_.now();
    std::vector<decision::Allowance> changed;
    if (desk_ != nullptr) desk_->due(now, changed);
    if (const auto next = ledger_->next(); next && *next <= now) ledger_->tick(now, changed);
    for (const decision::Allowance& allowance : changed) feed(allowance);
}

void Engine::probe_ended(HostId host, Outcome outcome, Duration took, LoadReport&& report) {
    if (outcome != Outcome::Ok) ++counters_.probes_failed;
    feed(decision::ProbeFinished{host, outcome, took, std::move(report)});
}

void Engine::list_heard(decision::HostList&& list) { feed(std::move(list)); }

void Engine::mail_heard(PeerId from, std::vector<std::uint8_t>&& bytes) {
    feed(decision::PeerBytes{from, std::move(bytes)});
}

// ---- the module ----

void Engine::feed(decision::Event&& event) {
    events_.push_back(std::move(event));
    if (feeding_) return;
    feeding_ = true;
    for (std::size_t next = 0; next < events_.size(); ++next) {
        const decision::Event current = std::move(events_[next]);    // more may be added meanwhile
        try {
            decide(current);
        } catch (const std::exception& error) {
            // The request it was about is answered as overdue; all others go on.
            static LogGate gate;
            if (gate.open()) log(LogLevel::Error, Event::EngineFailed, {kv("why", error.what())});
        }
    }
    events_.clear();
    feeding_ = false;
}

void Engine::decide(const decision::Event& event) {
    actions_.clear();
    module_.handle(clock_.now(), event, actions_);
    for (const decision::Action& action : actions_) {
        std::visit([this](const auto& a) { perform(a); }, action);
    }
}

void Engine::perform(const decision::Send& action) {
    Request* request = find(action.request);
    const TimePoint now = clock_.now();
    const bool moot = request == nullptr || request->front == nullptr || now >= deadline(*request) ||
                      request->attempts.size() >= most_attempts_ ||
                      (request->arrival.payload.upload && request->arrival.payload.upload->given());
    if (request == nullptr) {
        ++counters_.outcomes[static_cast<std::size_t>(Outcome::NotSent)];
        feed(decision::AttemptFinished{action.request, 0, action.host, Outcome::NotSent, {}, 0.0, true, {}});
        return;
    }
    const AttemptId id{action.request, static_cast<int>(request->attempts.size())};
    if (id.number == 0) admit(*request, now, !moot);
    request->attempts.push_back({action.host, now, action.limit});
    ++request->out;
    Attempt& attempt = request->attempts.back();
    if (moot) {
        end(id, attempt, Outcome::NotSent, {}, request->front == nullptr);
        forget_if_done(action.request);
        return;
    }
    const TimePoint until = limit(*request, attempt);
    ++counters_.sent;
    attempt.timeout = timers_.at(look_by(*request, until), [this, id] { time_out(id); });
    backend_->send(id, action.host, request->arrival.payload, std::min(until - now, request->arrival.budget));
}

void Engine::perform(const decision::CancelAttempt& action) {
    const AttemptId id{action.request, action.attempt};
    Attempt* attempt = find_out(id);
    if (attempt == nullptr || attempt->began) return;
    call_off(id, *attempt);
    ++counters_.cancelled;
    end(id, *attempt, Outcome::Cancelled, {}, find(id.request)->front == nullptr);
    forget_if_done(id.request);
}

void Engine::perform(const decision::Refuse& action) {
    Request* request = find(action.request);
    if (request == nullptr) return;
    Ending end = ending(action.request, *request, Verdict::Refused, action.retry_after);
    if (Front* front = close(*request)) tell(*front, request->arrival.class_index, std::move(end));
    forget_if_done(action.request);
}

void Engine::perform(const decision::Fail& action) {
    Request* request = find(action.request);
    if (request == nullptr) return;
    Ending end = ending(action.request, *request, Verdict::Failed);
    if (Front* front = close(*request)) tell(*front, request->arrival.class_index, std::move(end));
    forget_if_done(action.request);
}

// The module only ever brings its one timer forward, and ignores what that overtakes.
void Engine::perform(const decision::SetTimer& action) {
    timers_.cancel(tick_);
    tick_ = timers_.at(action.at, [this, token = action.token] { feed(decision::TimerFired{token}); });
}

void Engine::perform(const decision::Probe& action) {
    ++counters_.probes;
    backend_->probe(action.host);
}

void Engine::perform(const decision::TellPeer& action) { mail_->tell(action.peer, action.bytes); }

void Engine::perform(const decision::Subscribe&) { lists_->subscribe(); }

// ---- requests ----

// A request is about to be sent for the first time: it counts from here on, whatever becomes of it.
void Engine::admit(const Request& request, TimePoint now, bool is_sent) {
    const Arrival& a = request.arrival;
    if (desk_ != nullptr) {
        told_.clear();
        desk_->admitted(request.ruling, a.customer, a.units, now, told_);
        for (const decision::Allowance& allowance : told_) feed(allowance);
    } else if (ledger_ != nullptr) {
        ledger_->admitted(a.customer, a.units, now);
    }
    if (use_ == nullptr || !is_sent) return;    // nobody is billed for what no server gets
    const plans::Desk::Ruling& r = request.ruling;
    use_->admitted({a.customer, a.class_index, r.plan_index, a.units, r.plan_version, r.reservation, now});
}

// The one place where a request stops being owed an answer. Gives the front that is to have it, if any.
Front* Engine::close(Request& request) {
    timers_.cancel(request.overdue);
    if (request.front != nullptr) --owed_;
    return std::exchange(request.front, nullptr);
}

Engine::Ending Engine::ending(RequestId id, Request& request, Verdict wanted, Duration wait,
                              bool dropped) const {
    Ending end{wanted, wait, Failure::Broken, {}};
    if (manners_.refusal_promises)
        end.verdict = may_have_run(id, request, dropped) ? Verdict::Failed : Verdict::Refused;
    if (clock_.now() >= deadline(request)) end.why = Failure::Late;
    if (request.failure) end.answer = std::move(*std::exchange(request.failure, nullptr));
    return end;
}

void Engine::tell(Front& front, int class_index, Ending&& end) {
    count(class_index, end.verdict);
    if (end.verdict == Verdict::Refused) front.refused(end.wait, Refusal::Room);
    else front.failed(end.why, std::move(end.answer));
}

bool Engine::may_have_run(RequestId id, const Request& request, bool dropped) const {
    for (std::size_t i = 0; i < request.attempts.size(); ++i) {
        const Attempt& attempt = request.attempts[i];
        if (attempt.out ? !dropped || backend_->began({id, static_cast<int>(i)}) : attempt.ran) return true;
    }
    return false;
}

void Engine::call_off(AttemptId id, Attempt& attempt) {
    attempt.ran = manners_.refusal_promises && backend_->began(id);
    backend_->cancel(id);
}

void Engine::count(int class_index, Verdict verdict) {
    const auto at = static_cast<std::size_t>(class_index);
    if (at >= by_class_.size()) return;    // of no class: the module would not have it
    ClassCounts& counts = *by_class_[at];
    ++(verdict == Verdict::Served    ? counts.passed
       : verdict == Verdict::Refused ? counts.dropped
                                     : counts.failed);
}

// The one place where an attempt ends: each is told to the module exactly once.
void Engine::end(AttemptId id, Attempt& attempt, Outcome outcome, LoadReport&& report, bool final,
                 double settled_units) {
    timers_.cancel(attempt.timeout);
    attempt.out = false;
    attempt.ran =
        attempt.ran || outcome == Outcome::Ok || outcome == Outcome::Error || outcome == Outcome::Reset;
    --find(id.request)->out;
    ++counters_.outcomes[static_cast<std::size_t>(outcome)];
    // How long the way of a long answer takes says nothing of how soon its server answers.
    const TimePoint at = attempt.flows ? attempt.heard : clock_.now();
    feed(decision::AttemptFinished{id.request, id.number, attempt.host, outcome, at - attempt.sent,
                                   settled_units, final, std::move(report)});
}

// A request's time runs from its last byte (PROTOCOL, Figures).
TimePoint Engine::deadline(const Request& request) {
    const Upload* const upload = request.arrival.payload.upload.get();
    if (upload == nullptr) return request.deadline;
    return upload->moved() + request.arrival.budget + (upload->whole() ? Duration(0) : kUploadStall);
}

TimePoint Engine::limit(const Request& request, const Attempt& attempt) {
    const TimePoint due = deadline(request);
    return attempt.limit == Duration(0) ? due : std::min(due, attempt.sent + attempt.limit);
}

// When to look again at what is to end by then: the last byte of a long request may bring that forward, but
// to no sooner than a budget from now.
TimePoint Engine::look_by(const Request& request, TimePoint until) const {
    return std::min(until, clock_.now() + request.arrival.budget);
}

void Engine::time_out(AttemptId id) {
    Attempt* attempt = find_out(id);
    if (attempt == nullptr) return;
    if (const TimePoint until = limit(*find(id.request), *attempt); clock_.now() < until) {
        attempt->timeout = timers_.at(look_by(*find(id.request), until), [this, id] { time_out(id); });
        return;
    }
    call_off(id, *attempt);
    end(id, *attempt, Outcome::Timeout, {}, find(id.request)->front == nullptr);
    forget_if_done(id.request);
}

void Engine::overdue(RequestId id) {
    Request* const request = find(id);
    if (request == nullptr) return;
    const TimePoint until = deadline(*request) + kOverdue;
    if (clock_.now() >= until) return give_up(id);
    request->overdue = timers_.at(look_by(*request, until), [this, id] { overdue(id); });
}

void Engine::give_up(RequestId id) {
    Request* const request = find(id);
    if (request == nullptr || request->front == nullptr) return;
    const int class_index = request->arrival.class_index;
    Ending end = ending(id, *request, Verdict::Failed, Duration(0), true);
    Front* const front = drop(id);
    ++counters_.overdue;
    tell(*front, class_index, std::move(end));
}

std::string Engine::hand_over() {
    handed_over_ = true;
    return module_.hand_over(clock_.now());
}

bool Engine::take_over(std::string_view text) {
    feed(decision::TimerFired{});    // its start
    try {
        module_.take_over(text, clock_.now());
        return true;
    } catch (const std::exception& error) {
        log(LogLevel::Warning, Event::HandoverUnread, {kv("why", error.what())});
        module_ = decision::Gateway(settings_, seed_);
        feed(decision::TimerFired{});
        return false;
    }
}

void Engine::give_up_all() {
    std::vector<RequestId> ids;
    for (const auto& [id, request] : requests_) ids.push_back(id);
    for (const RequestId id : ids) give_up(id);
}

void Engine::forget_if_done(RequestId id) {
    const Request* request = find(id);
    if (request != nullptr && request->front == nullptr && request->out == 0) requests_.erase(id);
}

}    // namespace shaletray
