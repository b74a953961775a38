#include "data_plane/engine/engine.h"

#include <algorithm>
#include <exception>
#include <utility>

#include "base/common/log.h"

namespace shaletray {
namespace {

using namespace std::chrono_literals;

// The decision module ends a request by its deadline; if it did not, the engine does so this much later.
constexpr Duration kOverdueDelay = 4ms;
// How long a streamed upload may stall, because of its client or its server, before its time budget begins.
constexpr Duration kUploadStallTimeout = 3s;

}    // namespace

Engine::Engine(const decision::Settings& settings, std::uint64_t seed, const Clock& clock, Timers& timers,
               Counters& counters)
    : initial_settings_(settings),
      seed_(seed),
      decision_module_(settings, seed),
      classes_(settings.classes),
      settles_units_(settings.settles),
      max_request_units_(std::max(1.0, settings.most_units)),
      clock_(clock),
      timers_(timers),
      counters_(counters) {
    apply_limits(settings);
}

Engine::~Engine() {
    timers_.cancel(module_timer_);
    for (auto& [id, request] : requests_) {
        timers_.cancel(request.overdue_timer);
        for (Attempt& attempt : request.attempts) timers_.cancel(attempt.timeout_timer);
    }
}

void Engine::apply_limits(const decision::Settings& settings) {
    max_open_requests_ = static_cast<std::size_t>(std::max(1, settings.max_open));
    max_attempts_ = static_cast<std::size_t>(std::max(0, settings.send_cap));
    max_retry_after_ = settings.max_retry_after;
    counters_by_class_.clear();
    for (const decision::ClassSettings& class_settings : classes_)
        counters_by_class_.push_back(&counters_.classes[class_settings.name]);
}

std::vector<int> Engine::apply_settings(const decision::Settings& new_settings) {
    std::vector<bool> index_taken(classes_.size());
    std::vector<int> class_indices(new_settings.classes.size(), -1);
    for (std::size_t index = 0; index < new_settings.classes.size(); ++index) {
        const auto matching_class = std::find(classes_.begin(), classes_.end(), new_settings.classes[index]);
        if (matching_class == classes_.end() ||
            index_taken[static_cast<std::size_t>(matching_class - classes_.begin())])
            continue;
        class_indices[index] = static_cast<int>(matching_class - classes_.begin());
        index_taken[static_cast<std::size_t>(class_indices[index])] = true;
    }
    for (const auto& [id, request] : requests_) {
        const auto class_index = static_cast<std::size_t>(request.incoming.class_index);
        if (class_index < index_taken.size()) index_taken[class_index] = true;
    }
    decision::Settings merged_settings = new_settings;
    merged_settings.classes = classes_;
    for (std::size_t index = 0, free_index = 0; index < class_indices.size(); ++index) {
        if (class_indices[index] >= 0) continue;
        while (free_index < index_taken.size() && index_taken[free_index]) ++free_index;
        if (free_index == merged_settings.classes.size()) merged_settings.classes.emplace_back();
        merged_settings.classes[free_index] = new_settings.classes[index];
        class_indices[index] = static_cast<int>(free_index++);
    }
    decision_module_.adopt(merged_settings);
    classes_ = std::move(merged_settings.classes);
    apply_limits(new_settings);
    return class_indices;
}

void Engine::connect(AttemptSender& attempt_sender, PeerMessenger& peer_messenger,
                     HostListSource& host_lists) {
    attempt_sender_ = &attempt_sender;
    peer_messenger_ = &peer_messenger;
    host_lists_ = &host_lists;
}

Engine::Request* Engine::find_request(RequestId id) {
    const auto found = requests_.find(id);
    return found == requests_.end() ? nullptr : &found->second;
}

Engine::Attempt* Engine::find_active_attempt(AttemptId id) {
    Request* request = find_request(id.request);
    if (request == nullptr || id.attempt_number < 0) return nullptr;
    const auto index = static_cast<std::size_t>(id.attempt_number);
    return index < request->attempts.size() && request->attempts[index].is_active ? &request->attempts[index]
                                                                                  : nullptr;
}

// ---- requests and events ----

RequestId Engine::submit(DownstreamConnection& downstream, IncomingRequest&& incoming) {
    ++counters_.requests_accepted;
    if (requests_.size() >= max_open_requests_ || state_exported_) {
        ++counters_.requests_rejected;
        count_result(incoming.class_index, RequestResult::Rejected);
        // The maximum, since it is unknown when requests will be accepted again.
        downstream.on_rejected(max_retry_after_, RejectionReason::Capacity);
        return RequestId{};
    }
    RequestId id{++last_request_id_};
    while (last_request_id_ == 0 || requests_.contains(id))
        id = RequestId{++last_request_id_};    // the counter wrapped around
    Request& request = requests_[id];
    request.downstream = &downstream;
    ++unanswered_requests_;
    request.deadline = clock_.now() + incoming.time_budget;
    request.overdue_timer =
        timers_.schedule_at(request.deadline + kOverdueDelay, [this, id] { on_request_overdue(id); });
    decision::RequestArrived arrival_event;
    arrival_event.request = id;
    arrival_event.customer = incoming.customer;
    arrival_event.class_index = incoming.class_index;
    arrival_event.plan_index = incoming.plan_index;
    arrival_event.units = incoming.units;
    arrival_event.budget = incoming.time_budget;
    arrival_event.first_gateway = incoming.first_gateway_index;
    arrival_event.width = incoming.gateway_set_size;
    arrival_event.only_host = incoming.only_host;
    request.incoming = std::move(incoming);
    // The allowance is passed before each request, since the module may have evicted it and it may have
    // expired.
    request.plan_decision = {arrival_event.customer, arrival_event.plan_index, 0, 0};
    if (plan_service_ != nullptr) {
        std::vector<decision::Allowance> allowances;
        const plans::PlanService::PlanDecision plan_decision =
            plan_service_->decide_plan(arrival_event.customer, arrival_event.plan_index,
                                       arrival_event.first_gateway, arrival_event.width, arrival_event.units,
                                       request.incoming.reservation_id, clock_.now(), allowances);
        request.plan_decision = plan_decision;
        arrival_event.customer = plan_decision.account;
        arrival_event.plan_index = plan_decision.plan_index;
        for (const decision::Allowance& allowance : allowances) process_event(allowance);
    } else if (quota_state_table_ != nullptr) {
        if (const auto allowance = quota_state_table_->on_request(
                arrival_event.customer, arrival_event.plan_index, arrival_event.first_gateway,
                arrival_event.width, arrival_event.units, clock_.now()))
            process_event(*allowance);
    }
    process_event(arrival_event);
    return id;
}

void Engine::cancel(RequestId id) {
    if (drop_request(id) != nullptr) ++counters_.requests_cancelled;
}

// Ends a request without a decision of the module. Returns the connection that still awaits a response, if
// any.
DownstreamConnection* Engine::drop_request(RequestId id) {
    Request* request = find_request(id);
    if (request == nullptr || request->downstream == nullptr) return nullptr;
    DownstreamConnection* const downstream = detach_downstream(*request);
    process_event(decision::RequestAborted{id});
    // Cancels the attempts that are still in flight, whose responses are not needed.
    for (std::size_t index = 0; (request = find_request(id)) != nullptr && index < request->attempts.size();
         ++index) {
        if (!request->attempts[index].is_active) continue;
        const AttemptId attempt{id, static_cast<int>(index)};
        cancel_attempt(attempt, request->attempts[index]);
        ++counters_.attempts_cancelled;
        finish_attempt(attempt, request->attempts[index], Outcome::Cancelled, {}, true);
    }
    erase_if_finished(id);
    return downstream;
}

// Reports only streaming responses to the module, as the simulator does: the attempt's timeout and the
// client's deadline no longer apply to them. All other responses are forwarded once complete.
void Engine::on_response_started(AttemptId id) {
    Attempt* attempt = find_active_attempt(id);
    if (attempt == nullptr || attempt->has_started) return;
    attempt->response_started_at = clock_.now();
    Request& request = *find_request(id.request);
    if (!request.incoming.is_streaming) return;
    attempt->has_started = true;
    timers_.cancel(attempt->timeout_timer);
    timers_.cancel(request.overdue_timer);
    process_event(decision::AttemptStarted{id.request, id.attempt_number, attempt->host});
}

void Engine::on_upload_started(AttemptId id) {
    if (const Attempt* attempt = find_active_attempt(id))
        process_event(decision::AttemptStarted{id.request, id.attempt_number, attempt->host});
}

// The client's upload time is not part of the server's latency, so the attempt is timed from here on.
void Engine::on_request_written(AttemptId id) {
    Attempt* attempt = find_active_attempt(id);
    if (attempt != nullptr && find_request(id.request)->incoming.payload.upload)
        attempt->sent_at = clock_.now();
}

void Engine::on_attempt_ended(AttemptId id, Outcome outcome, LoadReport&& report, Payload&& server_response,
                              double settled_units) {
    Attempt* attempt = find_active_attempt(id);
    if (attempt == nullptr) return;
    Request& request = *find_request(id.request);
    const double charged_units = outcome == Outcome::Ok ? settle_units(request, settled_units) : 0.0;
    attempt->is_streaming =
        server_response.body_stream != nullptr && attempt->response_started_at != TimePoint{};
    if (response_policy_.forwards_error_responses && outcome == Outcome::Error &&
        is_error_response(server_response))
        request.last_error_response = std::make_unique<Payload>(std::move(server_response));
    // A successful response finishes the request, and so does a broken stream.
    if (outcome == Outcome::Ok) {
        if (DownstreamConnection* const downstream = detach_downstream(request)) {
            count_result(request.incoming.class_index, RequestResult::Served);
            // NOLINTNEXTLINE(bugprone-use-after-move): moved from above only where the outcome is an error
            downstream->on_answer(std::move(server_response));
        }
    } else if (attempt->has_started) {
        UnservedResponse failure_response =
            make_unserved_response(id.request, request, RequestResult::Failed);
        if (DownstreamConnection* const downstream = detach_downstream(request))
            deliver_response(*downstream, request.incoming.class_index, std::move(failure_response));
    }
    finish_attempt(id, *attempt, outcome, std::move(report), request.downstream == nullptr, charged_units);
    erase_if_finished(id.request);
}

// Only the first successful response settles the units; a hedged attempt would report them again.
double Engine::settle_units(Request& request, double reported_units) {
    if (!settles_units_ || request.units_settled) return 0.0;
    request.units_settled = true;
    if (!(reported_units > 0.0 &&
          reported_units <= max_request_units_)) {    // none, not a number, or more than a request may cost
        ++counters_.units_unreported;
        static LogRateLimiter log_limiter;
        if (log_limiter.try_acquire())
            log(LogLevel::Warning, Event::ServerUnitsUnreported,
                {log_field("told", reported_units == kUnitsUnreported ? "nothing" : "no such number"),
                 log_field("guess", request.incoming.units)});
        return 0.0;
    }
    ++counters_.units_settled;
    // The quota is corrected to the settled units, in the account that was charged at admission; the rate
    // limit keeps the estimate.
    const double difference = reported_units - request.incoming.units;
    if (plan_service_ != nullptr)
        plan_service_->settle_units(request.plan_decision, request.incoming.customer, difference,
                                    clock_.now());
    else if (quota_state_table_ != nullptr)
        quota_state_table_->settle_units(request.incoming.customer, difference, clock_.now());
    return reported_units;
}

void Engine::refresh_allowances() {
    if (quota_state_table_ == nullptr) return;
    const TimePoint now = clock_.now();
    std::vector<decision::Allowance> changed;
    if (plan_service_ != nullptr) plan_service_->apply_due_effects(now, changed);
    if (const auto next_due = quota_state_table_->next_deadline(); next_due && *next_due <= now)
        quota_state_table_->tick(now, changed);
    for (const decision::Allowance& allowance : changed) process_event(allowance);
}

void Engine::on_health_check_ended(HostId host, Outcome outcome, Duration duration, LoadReport&& report) {
    if (outcome != Outcome::Ok) ++counters_.health_checks_failed;
    process_event(decision::ProbeFinished{host, outcome, duration, std::move(report)});
}

void Engine::on_host_list(decision::HostList&& list) { process_event(std::move(list)); }

void Engine::on_peer_message(PeerId peer, std::vector<std::uint8_t>&& bytes) {
    process_event(decision::PeerBytes{peer, std::move(bytes)});
}

// ---- decision module ----

void Engine::process_event(decision::Event&& event) {
    queued_events_.push_back(std::move(event));
    if (processing_events_) return;
    processing_events_ = true;
    for (std::size_t next_index = 0; next_index < queued_events_.size(); ++next_index) {
        const decision::Event current =
            std::move(queued_events_[next_index]);    // processing it may add more
        try {
            decide_actions(current);
        } catch (const std::exception& error) {
            // The overdue timer ends the request concerned; all others continue.
            static LogRateLimiter log_limiter;
            if (log_limiter.try_acquire())
                log(LogLevel::Error, Event::EngineFailed, {log_field("why", error.what())});
        }
    }
    queued_events_.clear();
    processing_events_ = false;
}

void Engine::decide_actions(const decision::Event& event) {
    pending_actions_.clear();
    decision_module_.handle(clock_.now(), event, pending_actions_);
    for (const decision::Action& action : pending_actions_) {
        std::visit([this](const auto& action) { execute(action); }, action);
    }
}

void Engine::execute(const decision::Send& action) {
    Request* request = find_request(action.request);
    const TimePoint now = clock_.now();
    const bool is_obsolete =
        request == nullptr || request->downstream == nullptr || now >= request_deadline(*request) ||
        request->attempts.size() >= max_attempts_ ||
        (request->incoming.payload.upload && request->incoming.payload.upload->is_streaming());
    if (request == nullptr) {
        ++counters_.outcomes[static_cast<std::size_t>(Outcome::NotSent)];
        process_event(
            decision::AttemptFinished{action.request, 0, action.host, Outcome::NotSent, {}, 0.0, true, {}});
        return;
    }
    const AttemptId attempt_id{action.request, static_cast<int>(request->attempts.size())};
    if (attempt_id.attempt_number == 0) record_admission(*request, now, !is_obsolete);
    request->attempts.push_back({action.host, now, action.limit});
    ++request->active_attempts;
    Attempt& attempt = request->attempts.back();
    if (is_obsolete) {
        finish_attempt(attempt_id, attempt, Outcome::NotSent, {}, request->downstream == nullptr);
        erase_if_finished(action.request);
        return;
    }
    const TimePoint deadline = attempt_deadline(*request, attempt);
    ++counters_.attempts_sent;
    attempt.timeout_timer = timers_.schedule_at(next_check_time(*request, deadline),
                                                [this, attempt_id] { on_attempt_timeout(attempt_id); });
    attempt_sender_->send_attempt(attempt_id, action.host, request->incoming.payload,
                                  std::min(deadline - now, request->incoming.time_budget));
}

void Engine::execute(const decision::CancelAttempt& action) {
    const AttemptId attempt_id{action.request, action.attempt};
    Attempt* attempt = find_active_attempt(attempt_id);
    if (attempt == nullptr || attempt->has_started) return;
    cancel_attempt(attempt_id, *attempt);
    ++counters_.attempts_cancelled;
    finish_attempt(attempt_id, *attempt, Outcome::Cancelled, {},
                   find_request(attempt_id.request)->downstream == nullptr);
    erase_if_finished(attempt_id.request);
}

void Engine::execute(const decision::Refuse& action) {
    Request* request = find_request(action.request);
    if (request == nullptr) return;
    UnservedResponse response =
        make_unserved_response(action.request, *request, RequestResult::Rejected, action.retry_after);
    if (DownstreamConnection* downstream = detach_downstream(*request))
        deliver_response(*downstream, request->incoming.class_index, std::move(response));
    erase_if_finished(action.request);
}

void Engine::execute(const decision::Fail& action) {
    Request* request = find_request(action.request);
    if (request == nullptr) return;
    UnservedResponse response = make_unserved_response(action.request, *request, RequestResult::Failed);
    if (DownstreamConnection* downstream = detach_downstream(*request))
        deliver_response(*downstream, request->incoming.class_index, std::move(response));
    erase_if_finished(action.request);
}

// The module has one timer, which it only reschedules to an earlier time.
void Engine::execute(const decision::SetTimer& action) {
    timers_.cancel(module_timer_);
    module_timer_ = timers_.schedule_at(
        action.at, [this, token = action.token] { process_event(decision::TimerFired{token}); });
}

void Engine::execute(const decision::Probe& action) {
    ++counters_.health_checks;
    attempt_sender_->check_health(action.host);
}

void Engine::execute(const decision::TellPeer& action) {
    peer_messenger_->send_to_peer(action.peer, action.bytes);
}

void Engine::execute(const decision::Subscribe&) { host_lists_->subscribe(); }

// ---- requests ----

// Bills a request that is about to be sent for the first time, whatever its result will be.
void Engine::record_admission(const Request& request, TimePoint now, bool is_sent) {
    const IncomingRequest& incoming = request.incoming;
    if (plan_service_ != nullptr) {
        pending_allowances_.clear();
        plan_service_->record_admission(request.plan_decision, incoming.customer, incoming.units, now,
                                        pending_allowances_);
        for (const decision::Allowance& allowance : pending_allowances_) process_event(allowance);
    } else if (quota_state_table_ != nullptr) {
        quota_state_table_->record_admission(incoming.customer, incoming.units, now);
    }
    if (usage_recorder_ == nullptr || !is_sent) return;    // a request that reaches no server is not billed
    const plans::PlanService::PlanDecision& plan_decision = request.plan_decision;
    usage_recorder_->record_admission({incoming.customer, incoming.class_index, plan_decision.plan_index,
                                       incoming.units, plan_decision.plan_version,
                                       plan_decision.reservation_version, now});
}

// The only place where a request stops awaiting a response. Returns the connection to respond to, if any.
DownstreamConnection* Engine::detach_downstream(Request& request) {
    timers_.cancel(request.overdue_timer);
    if (request.downstream != nullptr) --unanswered_requests_;
    return std::exchange(request.downstream, nullptr);
}

Engine::UnservedResponse Engine::make_unserved_response(RequestId id, Request& request, RequestResult result,
                                                        Duration retry_after, bool attempts_dropped) const {
    UnservedResponse response{result, retry_after, FailureReason::UpstreamFailed, {}};
    if (response_policy_.rejects_only_unexecuted)
        response.result = may_have_executed(id, request, attempts_dropped) ? RequestResult::Failed
                                                                           : RequestResult::Rejected;
    if (clock_.now() >= request_deadline(request)) response.reason = FailureReason::DeadlineExceeded;
    if (request.last_error_response)
        response.server_response = std::move(*std::exchange(request.last_error_response, nullptr));
    return response;
}

void Engine::deliver_response(DownstreamConnection& downstream, int class_index,
                              UnservedResponse&& response) {
    count_result(class_index, response.result);
    if (response.result == RequestResult::Rejected)
        downstream.on_rejected(response.retry_after, RejectionReason::Capacity);
    else downstream.on_failed(response.reason, std::move(response.server_response));
}

bool Engine::may_have_executed(RequestId id, const Request& request, bool attempts_dropped) const {
    for (std::size_t index = 0; index < request.attempts.size(); ++index) {
        const Attempt& attempt = request.attempts[index];
        if (attempt.is_active
                ? !attempts_dropped || attempt_sender_->has_started({id, static_cast<int>(index)})
                : attempt.may_have_executed)
            return true;
    }
    return false;
}

void Engine::cancel_attempt(AttemptId id, Attempt& attempt) {
    attempt.may_have_executed = response_policy_.rejects_only_unexecuted && attempt_sender_->has_started(id);
    attempt_sender_->cancel_attempt(id);
}

void Engine::count_result(int class_index, RequestResult result) {
    const auto index = static_cast<std::size_t>(class_index);
    if (index >= counters_by_class_.size()) return;    // unknown class: the module rejects the request
    RequestClassCounters& class_counters = *counters_by_class_[index];
    ++(result == RequestResult::Served     ? class_counters.answered
       : result == RequestResult::Rejected ? class_counters.dropped
                                           : class_counters.failed);
}

// The only place where an attempt ends: reports it to the module, exactly once.
void Engine::finish_attempt(AttemptId id, Attempt& attempt, Outcome outcome, LoadReport&& report,
                            bool is_final, double settled_units) {
    timers_.cancel(attempt.timeout_timer);
    attempt.is_active = false;
    attempt.may_have_executed = attempt.may_have_executed || outcome == Outcome::Ok ||
                                outcome == Outcome::Error || outcome == Outcome::Reset;
    --find_request(id.request)->active_attempts;
    ++counters_.outcomes[static_cast<std::size_t>(outcome)];
    // The transfer time of a streamed response is not part of the server's latency.
    const TimePoint started_at = attempt.is_streaming ? attempt.response_started_at : clock_.now();
    process_event(decision::AttemptFinished{id.request, id.attempt_number, attempt.host, outcome,
                                            started_at - attempt.sent_at, settled_units, is_final,
                                            std::move(report)});
}

// A request's time budget begins when its last byte is received.
TimePoint Engine::request_deadline(const Request& request) {
    const RequestUpload* const upload = request.incoming.payload.upload.get();
    if (upload == nullptr) return request.deadline;
    return upload->last_received_at() + request.incoming.time_budget +
           (upload->is_complete() ? Duration(0) : kUploadStallTimeout);
}

TimePoint Engine::attempt_deadline(const Request& request, const Attempt& attempt) {
    const TimePoint deadline_limit = request_deadline(request);
    return attempt.time_limit == Duration(0) ? deadline_limit
                                             : std::min(deadline_limit, attempt.sent_at + attempt.time_limit);
}

// When to check a deadline again: the end of an upload may move it to an earlier time, but to no less than
// one time budget from now.
TimePoint Engine::next_check_time(const Request& request, TimePoint deadline) const {
    return std::min(deadline, clock_.now() + request.incoming.time_budget);
}

void Engine::on_attempt_timeout(AttemptId id) {
    Attempt* attempt = find_active_attempt(id);
    if (attempt == nullptr) return;
    if (const TimePoint deadline = attempt_deadline(*find_request(id.request), *attempt);
        clock_.now() < deadline) {
        attempt->timeout_timer = timers_.schedule_at(next_check_time(*find_request(id.request), deadline),
                                                     [this, id] { on_attempt_timeout(id); });
        return;
    }
    cancel_attempt(id, *attempt);
    finish_attempt(id, *attempt, Outcome::Timeout, {}, find_request(id.request)->downstream == nullptr);
    erase_if_finished(id.request);
}

void Engine::on_request_overdue(RequestId id) {
    Request* const request = find_request(id);
    if (request == nullptr) return;
    const TimePoint deadline = request_deadline(*request) + kOverdueDelay;
    if (clock_.now() >= deadline) return abandon_request(id);
    request->overdue_timer =
        timers_.schedule_at(next_check_time(*request, deadline), [this, id] { on_request_overdue(id); });
}

void Engine::abandon_request(RequestId id) {
    Request* const request = find_request(id);
    if (request == nullptr || request->downstream == nullptr) return;
    const int class_index = request->incoming.class_index;
    UnservedResponse response =
        make_unserved_response(id, *request, RequestResult::Failed, Duration(0), true);
    DownstreamConnection* const downstream = drop_request(id);
    ++counters_.requests_overdue;
    deliver_response(*downstream, class_index, std::move(response));
}

std::string Engine::export_state() {
    state_exported_ = true;
    return decision_module_.hand_over(clock_.now());
}

bool Engine::import_state(std::string_view text) {
    process_event(decision::TimerFired{});    // starts the module, which needs an event for that
    try {
        decision_module_.take_over(text, clock_.now());
        return true;
    } catch (const std::exception& error) {
        log(LogLevel::Warning, Event::HandoverMalformed, {log_field("why", error.what())});
        decision_module_ = decision::Gateway(initial_settings_, seed_);
        process_event(decision::TimerFired{});
        return false;
    }
}

void Engine::abandon_all_requests() {
    std::vector<RequestId> ids;
    for (const auto& [id, request] : requests_) ids.push_back(id);
    for (const RequestId id : ids) abandon_request(id);
}

void Engine::erase_if_finished(RequestId id) {
    const Request* request = find_request(id);
    if (request != nullptr && request->downstream == nullptr && request->active_attempts == 0)
        requests_.erase(id);
}

}    // namespace shaletray
