#include "controller/command_executor.h"

#include <fmt/format.h>

#include <boost/leaf/handle_errors.hpp>
#include <utility>
#include <variant>

#include "base/runtime/log_sink.h"

namespace shaletray::controller {
namespace {

using namespace std::chrono_literals;
namespace leaf = boost::leaf;
using control_api::HttpStatus;
using control_api::PendingCommand;
using control_api::Response;
using runtime::log_event;

// Limit for one turn of the event loop.
constexpr int kMaxCommandsPerTurn = 64;
// Longest time that the response to a departing server waits for the plan that reassigns its keys. Together
// with DepartureBarrier::kTimeout it is below the second after which the server calls another controller.
constexpr Duration kMaxPlanWait = 150ms;

void send_response(ApiCaller& caller, Response response) {
    ApiReply reply;
    reply.status_code = static_cast<int>(response.status);
    reply.extra_headers = control_api::extra_headers(response);
    reply.body = std::move(response.body);
    caller.send_reply(std::move(reply));
}

using DecodedCall = std::variant<control_api::Command, Response>;

// A command, or the response to an invalid call.
DecodedCall decode_call(const ApiCall& call) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<DecodedCall> {
            BOOST_LEAF_AUTO(command, control_api::decode_command(call.method, call.target, call.body));
            return DecodedCall(std::move(command));
        },
        [](const control_api::CommandError& error) { return DecodedCall(control_api::to_response(error)); },
        [] { return DecodedCall(control_api::error(HttpStatus::BadRequest, "not understood")); });
}

// The zone of the caller; empty where the call does not tell it.
std::string_view zone_of(const control_api::Command& command) {
    const auto* heartbeat = std::get_if<control_api::HeartbeatCommand>(&command);
    return heartbeat == nullptr ? std::string_view() : heartbeat->heartbeat.server.zone;
}

std::string_view event_name_of(consensus::Outcome outcome) {
    switch (outcome) {
        case consensus::Outcome::Conflict: return "configuration_conflict";
        case consensus::Outcome::Indeterminate: return "configuration_indeterminate";
        case consensus::Outcome::Committed:
        case consensus::Outcome::Stale: break;
    }
    return "configuration_committed";
}

std::string_view name_of(consensus::ProposalWait wait) {
    switch (wait) {
        case consensus::ProposalWait::Entry: return "entry";
        case consensus::ProposalWait::Round: return "round";
        case consensus::ProposalWait::Promises: return "promises";
        case consensus::ProposalWait::Acceptances: return "acceptances";
        case consensus::ProposalWait::Confirmation: break;
    }
    return "confirmation";
}

// Voters and milliseconds since the proposal: "10.1.0.24:7100=12,10.2.0.9:7100=15".
std::string format_replies(const std::vector<consensus::VoterReply>& replies, TimePoint proposed_at) {
    std::string text;
    for (const consensus::VoterReply& reply : replies)
        text += fmt::format("{}{}={}", text.empty() ? "" : ",", reply.voter,
                            (reply.received_at - proposed_at) / 1ms);
    return text;
}

Response response_to_proposal(consensus::Outcome outcome) {
    switch (outcome) {
        case consensus::Outcome::Indeterminate: return control_api::retry_later();
        case consensus::Outcome::Conflict:
            return control_api::error(HttpStatus::Conflict,
                                      "revision: this number was taken by another body");
        case consensus::Outcome::Committed:
        case consensus::Outcome::Stale: break;    // a later version is in force: nothing to do
    }
    return control_api::success();
}

}    // namespace

CommandExecutor::CommandExecutor(Reactor& reactor, ConsensusDriver& consensus, ConfigurationLoader& loader,
                                 UpdateDistributor& distributor, OwnershipCoordinator& ownership,
                                 std::string heartbeat_target, RedirectTarget redirect_target)
    : reactor_(reactor),
      consensus_(consensus),
      loader_(loader),
      distributor_(distributor),
      ownership_(ownership),
      heartbeat_target_(std::move(heartbeat_target)),
      redirect_target_(std::move(redirect_target)) {}

CommandExecutor::~CommandExecutor() {
    reactor_.cancel_timer(run_timer_);
    reactor_.cancel_timer(expiry_timer_);
    reactor_.cancel_timer(plan_timer_);
}

void CommandExecutor::handle_call(const ApiCall& call, std::shared_ptr<ApiCaller> caller) {
    DecodedCall decoded = decode_call(call);
    if (auto* rejection = std::get_if<Response>(&decoded)) {
        ++statistics_.rejected;
        return send_response(*caller, std::move(*rejection));
    }
    PendingCommand pending;
    pending.command = std::move(std::get<control_api::Command>(decoded));
    if (const auto target = redirect_target_(zone_of(pending.command))) {
        ++statistics_.redirected;
        return send_response(*caller, control_api::redirect_to(*target, call.target));
    }
    pending.queued_at = reactor_.clock().now();
    if (auto* replacement = std::get_if<control_api::ReplaceConfiguration>(&pending.command))
        replacement->receive_time = call.receive_time;
    pending.respond = [caller](Response response) { send_response(*caller, std::move(response)); };
    pending.cancelled = [caller] { return caller->is_abandoned(); };
    if (!commands_.push(std::move(pending))) {
        ++statistics_.rejected;
        return send_response(*caller, control_api::retry_later());
    }
    schedule_run();
}

void CommandExecutor::schedule_run() {
    if (run_timer_ == 0) run_timer_ = reactor_.schedule_after(Duration(0), [this] { run_commands(); });
}

void CommandExecutor::run_commands() {
    run_timer_ = 0;
    for (int count = 0; count < kMaxCommandsPerTurn; ++count) {
        std::optional<PendingCommand> pending = commands_.pop();
        if (!pending) break;
        std::visit([&](auto& command) { execute(command, *pending); }, pending->command);
    }
    distributor_.publish_changes();
    acknowledge_server_calls();
    complete_departures();
    if (commands_.size() > 0) schedule_run();
}

// The response names this controller as the heartbeat target: if a server called another controller each
// time, its owner would change with each call, and each change would be sent to all.
void CommandExecutor::acknowledge_server_calls() {
    for (const ServerCall& call : std::exchange(pending_acknowledgements_, {})) acknowledge_server_call(call);
}

// A server whose keys could not be renewed here has to call another controller: an acknowledgement without
// keys would let its holds expire.
void CommandExecutor::acknowledge_server_call(const ServerCall& call) {
    const KeyGrant grant = ownership_.grant_for(call.service, call.id);
    switch (grant.kind) {
        case KeyGrant::Kind::NotSharded: return call.respond(control_api::call_accepted(heartbeat_target_));
        case KeyGrant::Kind::Unconfirmed: return call.respond(control_api::retry_later());
        case KeyGrant::Kind::Rows: break;
    }
    call.respond(control_api::call_accepted(heartbeat_target_, grant.rows, grant.hold));
}

// A heartbeat counts even if the server no longer waits for the response.
void CommandExecutor::execute(const control_api::HeartbeatCommand& command, PendingCommand& pending) {
    ++statistics_.heartbeats;
    distributor_.record_heartbeat(command.heartbeat);
    statistics_.malformed_hold_rows += command.heartbeat.malformed_rows;
    ownership_.on_heartbeat(command.heartbeat);
    const registry::Server& server = command.heartbeat.server;
    ServerCall call{server.service, server.id, std::move(pending.respond)};
    if (server.state == registry::State::Draining) return acknowledge_departure(call);
    pending_acknowledgements_.push_back(std::move(call));
}

void CommandExecutor::execute(const control_api::Deregister& command, PendingCommand& pending) {
    ++statistics_.deregistrations;
    distributor_.deregister(command.id);
    acknowledge_departure({{}, command.id, pending.respond});
}

// Responds once a majority of the voters has recorded the departure: whichever majority a gateway is
// connected to then has a controller that notifies it.
void CommandExecutor::acknowledge_departure(const ServerCall& call) {
    distributor_.request_acknowledgement();
    departures_.wait(distributor_.sequence(), reactor_.clock().now(),
                     [this, call](DepartureBarrier::Result result) {
                         if (result == DepartureBarrier::Result::Confirmed)
                             return acknowledge_after_plan(call);
                         ++statistics_.departures_unconfirmed;
                         call.respond(control_api::retry_later());
                     });
}

// Waits briefly for the plan that reassigns the departing server's keys: this response then revokes them.
void CommandExecutor::acknowledge_after_plan(const ServerCall& call) {
    if (!ownership_.is_plan_due(call.service, call.id)) return acknowledge_server_call(call);
    planned_departures_.push_back({call, reactor_.clock().now() + kMaxPlanWait});
    if (plan_timer_ == 0)
        plan_timer_ = reactor_.schedule_after(kMaxPlanWait, [this] { respond_to_planned_departures(); });
}

void CommandExecutor::respond_to_planned_departures() {
    const TimePoint now = reactor_.clock().now();
    for (PlannedDeparture& departure : std::exchange(planned_departures_, {})) {
        const bool is_still_waiting =
            now < departure.deadline && ownership_.is_plan_due(departure.call.service, departure.call.id);
        if (is_still_waiting) planned_departures_.push_back(std::move(departure));
        else acknowledge_server_call(departure.call);
    }
    reactor_.cancel_timer(plan_timer_);
    plan_timer_ =
        planned_departures_.empty() ? 0 : reactor_.schedule_at(planned_departures_.front().deadline, [this] {
            respond_to_planned_departures();
        });
}

void CommandExecutor::complete_departures() {
    if (departures_.empty()) return;
    std::vector<std::string> voters;
    for (const consensus::Replica& voter : consensus_.committed_entry().voters)
        voters.push_back(voter.address);
    departures_.on_majority_acknowledged(distributor_.majority_acknowledged_sequence(voters));
    schedule_expiry();
}

void CommandExecutor::schedule_expiry() {
    reactor_.cancel_timer(expiry_timer_);
    expiry_timer_ = 0;
    if (!departures_.empty())
        expiry_timer_ = reactor_.schedule_at(departures_.next_deadline(), [this] { expire_departures(); });
}

void CommandExecutor::expire_departures() {
    expiry_timer_ = 0;
    departures_.expire(reactor_.clock().now());
    schedule_expiry();
}

void CommandExecutor::execute(control_api::ReplaceConfiguration& command, PendingCommand& pending) {
    ++statistics_.replacements;
    const TimePoint now = reactor_.clock().now();
    const Duration queue_time = now - pending.queued_at;
    if (pending.cancelled())
        return log_event(
            LogLevel::Info, "configuration_abandoned",
            {log_field("bytes", command.text.size()), log_field("receive_ms", command.receive_time / 1ms),
             log_field("queue_ms", queue_time / 1ms)});
    const Replacement replacement{pending.respond, command.receive_time, queue_time, now};
    const auto on_checked = [this, replacement](ConfigurationLoader::CheckResult result) {
        on_text_checked(std::move(result), replacement);
    };
    if (!loader_.check(std::move(command.text), on_checked)) pending.respond(control_api::retry_later());
}

void CommandExecutor::on_text_checked(ConfigurationLoader::CheckResult result, Replacement replacement) {
    if (const auto* error = std::get_if<configuration::ConfigurationError>(&result)) {
        log_event(LogLevel::Info, "configuration_rejected",
                  {log_field("field", error->field), log_field("reason", error->reason)});
        return replacement.respond(
            control_api::error(HttpStatus::BadRequest, error->field + ": " + error->reason));
    }
    propose(std::move(std::get<ConfigurationLoader::ValidText>(result)), std::move(replacement));
}

void CommandExecutor::propose(ConfigurationLoader::ValidText configuration, Replacement replacement) {
    replacement.version = configuration.version;
    log_event(LogLevel::Info, "configuration_received",
              {log_field("version", configuration.version), log_field("bytes", configuration.text.size()),
               log_field("receive_ms", replacement.receive_time / 1ms),
               log_field("queue_ms", replacement.queue_time / 1ms),
               log_field("check_ms", (reactor_.clock().now() - replacement.executed_at) / 1ms)});
    const auto on_outcome = [this, replacement](consensus::Outcome outcome,
                                                const consensus::ProposalTrace& trace) {
        on_proposal_done(replacement, outcome, trace);
    };
    consensus_.propose(configuration.version, std::move(configuration.text), on_outcome);
}

void CommandExecutor::on_proposal_done(const Replacement& replacement, consensus::Outcome outcome,
                                       const consensus::ProposalTrace& trace) {
    if (outcome == consensus::Outcome::Conflict) ++statistics_.conflicts;
    if (outcome == consensus::Outcome::Indeterminate) ++statistics_.indeterminate;
    const transport::SendBacklog backlog = consensus_.send_backlog();
    log_event(LogLevel::Info, event_name_of(outcome),
              {log_field("version", replacement.version),
               log_field("current_version", consensus_.committed_entry().version),
               log_field("took_ms", (reactor_.clock().now() - trace.proposed_at) / 1ms),
               log_field("last_wait", name_of(trace.last_wait)),
               log_field("promised", format_replies(trace.latest_round.promises, trace.proposed_at)),
               log_field("stored", format_replies(trace.latest_round.acceptances, trace.proposed_at)),
               log_field("unsent_bytes", backlog.bytes), log_field("unsent_ms", backlog.oldest_age / 1ms)});
    replacement.respond(response_to_proposal(outcome));
}

void CommandExecutor::execute(const control_api::ReadConfiguration&, PendingCommand& pending) {
    ++statistics_.reads;
    if (pending.cancelled()) return;
    consensus_.quorum_read(
        [this, respond = pending.respond](consensus::Outcome outcome, const consensus::ProposalTrace&) {
            on_read_done(outcome, respond);
        });
}

void CommandExecutor::on_read_done(consensus::Outcome outcome, const Respond& respond) {
    if (outcome == consensus::Outcome::Indeterminate) return respond(control_api::retry_later());
    const consensus::LogEntry& entry = consensus_.committed_entry();
    if (entry.version == 0)
        return respond(control_api::error(HttpStatus::NotFound, "no configuration was taken yet"));
    respond(control_api::configuration_text(entry.text));
}

}    // namespace shaletray::controller
