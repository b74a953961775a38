#include "controller/controller.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>

#include "base/runtime/log_sink.h"

namespace shaletray::controller {
namespace {

using namespace std::chrono_literals;
namespace leaf = boost::leaf;
using runtime::log_event;

constexpr Duration kRegistryInterval = 250ms, kVoterCheckInterval = 250ms, kCaughtUpWindow = 2s;
// Callers move on to another lighthouse after a second of silence.
constexpr Duration kAnswerTimeout = 900ms;
constexpr Duration kMinShutdownTime = 300ms, kMaxShutdownTime = 1500ms;
constexpr std::size_t kMaxCallers = 1024;
constexpr int kMaxCommandsPerTurn = 64;    // in one turn of the loop
constexpr std::size_t kMaxValidated = 4;

control_api::CommandQueue::Response error_answer(int status, const std::string& reason) {
    std::string text;
    for (const char character : reason) {
        if (character == '"' || character == '\\') text += '\\';
        text += static_cast<unsigned char>(character) < 0x20 ? ' ' : character;
    }
    return {status, fmt::format("{{\"error\":\"{}\"}}", text), {}};
}

control_api::CommandQueue::Response retry_answer() {
    return {503, "{\"error\":\"no majority in time\"}", "Retry-After: 0.1\r\n"};
}

// "10.1.0.24:7100/0,10.2.0.9:7100/77": addresses and disks
std::string format_voters(const std::vector<consensus::Replica>& voters) {
    std::string text;
    for (const consensus::Replica& voter : voters)
        text += fmt::format("{}{}/{}", text.empty() ? "" : ",", voter.address, voter.disk_id);
    return text;
}

registry::ServiceRegistry::Settings registry_settings(const std::string& self, std::uint64_t incarnation,
                                                      const runtime::NodeSettings& node_settings) {
    registry::ServiceRegistry::Settings result;
    result.self_address = self;
    result.incarnation = incarnation;
    result.heartbeat_interval = node_settings.heartbeat;
    return result;
}

}    // namespace

Controller::Controller(runtime::NodeSettings settings, std::unique_ptr<consensus::StateStore> store)
    : settings_(std::move(settings)),
      address_(runtime::controller_address(settings_.ip, settings_)),
      incarnation_(
          static_cast<std::uint64_t>(std::max<std::int64_t>(1, clock_.now().time_since_epoch().count()))),
      store_(std::move(store)),
      registry_(registry_settings(address_, incarnation_, settings_)),
      forwarder_(registry_),
      publisher_(ConfigurationPublisher::Settings{.incarnation = incarnation_}, registry_),
      voter_reconciler_({{address_, store_->loaded_state().disk_id},
                         static_cast<std::size_t>(std::max(0, settings_.tolerated_machines)),
                         settings_.bounds.catch_up},
                        clock_.now()),
      quorum_(settings_.bounds.contact, clock_.now()),
      validator_(reactor_) {
    const TimePoint now = clock_.now();
    const std::uint64_t seed = std::hash<std::string>{}(address_) ^ incarnation_;
    const std::vector<std::string> seeds = runtime::controller_seeds(settings_);

    consensus::Settings register_settings;
    register_settings.self = {address_, store_->loaded_state().disk_id};
    register_settings.can_vote = settings_.quorum_member;
    if (settings_.bootstrap) register_settings.founders = seeds;
    register_settings.seed = seed;
    register_settings.max_retry_interval = quorum_.max_retry_interval();
    register_ =
        std::make_unique<consensus::ReplicatedRegister>(register_settings, store_->loaded_state(), now);

    membership::Settings membership_settings;
    membership_settings.self.address = address_;
    membership_settings.self.role = membership::Role::Controller;
    membership_settings.self.name = settings_.node_name;
    membership_settings.self.zone = settings_.zone;
    membership_settings.self.region = settings_.region;
    membership_settings.self.control_address = settings_.control_address;
    membership_settings.self.voter_eligible = settings_.quorum_member;
    membership_settings.self.disk_id = store_->loaded_state().disk_id;
    membership_settings.self.incarnation = incarnation_;
    membership_settings.seeds = seeds;
    membership_settings.random_seed = seed + 1;
    membership_ = std::make_unique<membership::Membership>(membership_settings, now);

    connections_ = std::make_unique<transport::ConnectionManager>(
        reactor_, address_, incarnation_, transport::ConnectionManager::Limits{},
        [this](transport::Message&& message) { on_message(std::move(message)); });
    stored_waker_ = std::make_unique<Waker>(reactor_, [this] {
        for (const std::uint64_t token : store_->take_stored_tokens()) {
            consensus::Actions actions;
            register_->on_stored(token, clock_.now(), actions);
            apply_actions(std::move(actions));
        }
    });
    store_->set_stored_callback([this] { stored_waker_->wake(); });
    ApiServer::Limits limits;
    limits.max_connections = std::min(kMaxCallers, settings_.max_open_files / 4);
    call_server_ = std::make_unique<ApiServer>(
        reactor_, ApiServer::listen(settings_.control_address), limits,
        [this](const ApiCall& call, std::shared_ptr<ApiCaller> caller) {
            handle_call(call, std::move(caller));
        },
        control_api::max_body_size);
    if (!settings_.readiness_address.empty())
        readiness_server_ = serve_readiness(reactor_, settings_.readiness_address,
                                            [this] { return quorum_.is_held(clock_.now()); });
    members_changed();
    on_entry_committed();
    log_event(LogLevel::Info, "lighthouse_started",
              {log_field("address", address_), log_field("life", incarnation_),
               log_field("disk", store_->loaded_state().disk_id),
               log_field("decree", register_->committed_entry().number),
               log_field("version", register_->committed_entry().version),
               log_field("given_up", store_->discard_reason())});
}

Controller::~Controller() {
    store_->set_stored_callback({});
    reactor_.cancel_timer(tick_timer_);
    reactor_.cancel_timer(commands_timer_);
}

void Controller::run(std::function<void()> on_turn) {
    reactor_.set_pre_poll_task([this, turn_hook = std::move(on_turn)](bool) {
        turn_hook();
        check_shutdown();
    });
    tick();
    reactor_.update_poll_timeout();
    reactor_.run();
}

void Controller::reload_settings(const runtime::NodeSettings& settings) {
    settings_.seed_addresses = settings.seed_addresses;
    membership_->set_seeds(runtime::controller_seeds(settings_));
    members_changed();
}

// ---- calls ----

void Controller::handle_call(const ApiCall& call, std::shared_ptr<ApiCaller> caller) {
    control_api::CommandQueue::PendingCommand pending_command;
    pending_command.queued_at = clock_.now();
    pending_command.respond = [caller](control_api::CommandQueue::Response answer) {
        ApiReply reply;
        reply.status_code = answer.status;
        reply.body = std::move(answer.body);
        reply.extra_headers = std::move(answer.headers);
        caller->send_reply(std::move(reply));
    };
    pending_command.cancelled = [caller] { return caller->is_abandoned(); };
    const bool decoded = leaf::try_handle_all(
        [&]() -> leaf::result<bool> {
            BOOST_LEAF_ASSIGN(pending_command.command,
                              control_api::decode_command(call.method, call.target, call.body));
            return true;
        },
        [&](const control_api::CommandError& error) {
            ++statistics_.rejected;
            control_api::CommandQueue::Response answer = error_answer(error.status, error.message);
            if (!error.allowed_method.empty())
                answer.headers = fmt::format("Allow: {}\r\n", error.allowed_method);
            pending_command.respond(std::move(answer));
            return false;
        },
        [&] {
            pending_command.respond(error_answer(400, "not understood"));
            return false;
        });
    if (!decoded) return;
    if (!commands_.push(std::move(pending_command))) {
        ++statistics_.rejected;
        // NOLINTNEXTLINE(bugprone-use-after-move): a queue that refuses it has not moved from it
        return pending_command.respond(retry_answer());
    }
    if (commands_timer_ == 0)
        commands_timer_ = reactor_.schedule_after(Duration(0), [this] { run_commands(); });
}

void Controller::run_commands() {
    commands_timer_ = 0;
    for (int count = 0; count < kMaxCommandsPerTurn; ++count) {
        std::optional<control_api::CommandQueue::PendingCommand> pending_command = commands_.pop();
        if (!pending_command) break;
        std::visit([&](auto& command) { run(command, *pending_command); }, pending_command->command);
    }
    publish_registry_changes();    // all are told before the calls are acknowledged
    // Servers stay with the lighthouse that keeps them, or each beat would be news to all.
    const std::string body = stopping_since_ == TimePoint{}
                                 ? fmt::format("{{\"heartbeat_target\":\"{}\"}}", settings_.control_address)
                                 : std::string("{}");
    for (const auto& acknowledge : std::exchange(pending_acknowledgements_, {})) acknowledge({200, body, {}});
    if (commands_.size() > 0)
        commands_timer_ = reactor_.schedule_after(Duration(0), [this] { run_commands(); });
}

// What a server says holds also where it does not wait for the answer any more.
void Controller::run(control_api::HeartbeatCommand& heartbeat,
                     control_api::CommandQueue::PendingCommand& pending_command) {
    ++statistics_.heartbeats;
    registry_.record_heartbeat(heartbeat.heartbeat, clock_.now());
    pending_acknowledgements_.push_back(std::move(pending_command.respond));
}

void Controller::run(control_api::Deregister& deregistration,
                     control_api::CommandQueue::PendingCommand& pending_command) {
    ++statistics_.deregistrations;
    registry_.deregister(deregistration.id, clock_.now());
    pending_acknowledgements_.push_back(std::move(pending_command.respond));
}

void Controller::run(control_api::ReplaceConfiguration& replace,
                     control_api::CommandQueue::PendingCommand& pending_command) {
    ++statistics_.replacements;
    if (pending_command.cancelled()) return;
    const bool accepted = validator_.validate(
        std::move(replace.text),
        [this, answer = pending_command.respond](std::string text, ConfigurationValidator::Outcome outcome) {
            if (const auto* refusal = std::get_if<configuration::ConfigurationError>(&outcome)) {
                log_event(LogLevel::Info, "configuration_refused",
                          {log_field("field", refusal->field), log_field("why", refusal->reason)});
                return answer(error_answer(400, refusal->field + ": " + refusal->reason));
            }
            configuration::Configuration& parsed = std::get<configuration::Configuration>(outcome);
            const std::uint64_t version = parsed.version;
            validated_.push_back({text.size(), std::hash<std::string>{}(text), std::move(parsed)});
            if (validated_.size() > kMaxValidated) validated_.pop_front();
            propose(std::move(text), version, answer);
        });
    if (!accepted) pending_command.respond(retry_answer());
}

void Controller::propose(std::string text, std::uint64_t version,
                         std::function<void(control_api::CommandQueue::Response)> answer) {
    const consensus::RequestId request_id = ++last_request_id_;
    const TimePoint started_at = clock_.now();
    pending_requests_[request_id] = [this, version, started_at,
                                     answer = std::move(answer)](consensus::Outcome outcome) {
        const bool conflict = outcome == consensus::Outcome::Conflict,
                   indeterminate = outcome == consensus::Outcome::Indeterminate;
        statistics_.conflicts += conflict;
        statistics_.indeterminate += indeterminate;
        log_event(LogLevel::Info,
                  conflict        ? "configuration_conflict"
                  : indeterminate ? "configuration_unsettled"
                                  : "configuration_settled",
                  {log_field("version", version), log_field("held", register_->committed_entry().version),
                   log_field("took_ms", (clock_.now() - started_at) / 1ms)});
        if (indeterminate) return answer(retry_answer());
        if (conflict) return answer(error_answer(409, "revision: this number was taken by another body"));
        answer({200, "{}", {}});
    };
    consensus::Actions actions;
    register_->propose(request_id, version, std::move(text), started_at + kAnswerTimeout, started_at,
                       actions);
    apply_actions(std::move(actions));
}

void Controller::run(control_api::ReadConfiguration&,
                     control_api::CommandQueue::PendingCommand& pending_command) {
    ++statistics_.reads;
    if (pending_command.cancelled()) return;
    const consensus::RequestId request_id = ++last_request_id_;
    pending_requests_[request_id] = [this, answer = pending_command.respond](consensus::Outcome outcome) {
        if (outcome == consensus::Outcome::Indeterminate) return answer(retry_answer());
        const consensus::LogEntry& entry = register_->committed_entry();
        if (entry.version == 0) return answer(error_answer(404, "no configuration was taken yet"));
        answer({200, entry.text, {}});
    };
    const TimePoint now = clock_.now();
    consensus::Actions actions;
    register_->quorum_read(request_id, now + kAnswerTimeout, now, actions);
    apply_actions(std::move(actions));
}

// ---- other processes ----

void Controller::on_message(transport::Message&& message) {
    const TimePoint now = clock_.now();
    switch (message.kind) {
        case transport::Kind::Membership: {
            membership::Actions actions;
            membership_->on_message(message.sender, message.payload, now, actions);
            apply_actions(actions);
            break;
        }
        case transport::Kind::Consensus: {
            membership_->record_contact(message.sender, message.incarnation, now);
            consensus::Actions actions;
            register_->on_message(message.sender, message.payload, now, actions);
            apply_actions(std::move(actions));
            break;
        }
        case transport::Kind::Registry:
            membership_->record_contact(message.sender, message.incarnation, now);
            forwarder_.on_message(message.sender, message.incarnation, message.payload, now);
            notify_gateways();
            break;
        case transport::Kind::Subscription: {
            membership_->record_contact(message.sender, message.incarnation, now);
            auto client_state = subscription::decode_client_state(message.payload);
            if (!client_state) break;
            std::vector<ConfigurationPublisher::OutgoingMessage> actions;
            publisher_.set_quorum_confirmed(quorum_.is_held(clock_.now()));
            publisher_.on_client_state(message.sender, *client_state, now, actions);
            send(actions);
            break;
        }
        case transport::Kind::Quota: break;    // pilots' own
    }
}

void Controller::apply_actions(const membership::Actions& actions) {
    for (const auto& send : actions.sends)
        connections_->send_datagram(send.to, transport::Kind::Membership, send.bytes);
    bool controllers_changed = false;
    for (const std::string& address : actions.changed_members) {
        const auto entry = membership_->members().find(address);
        controllers_changed = controllers_changed || entry == membership_->members().end() ||
                              entry->second.info.role == membership::Role::Controller;
    }
    if (controllers_changed) members_changed();
}

void Controller::apply_actions(consensus::Actions&& actions) {
    check_quorum();
    for (auto& write : actions.writes) store_->save(std::move(write));
    for (const auto& send : actions.messages)
        connections_->send_session_message(send.to, transport::Kind::Consensus, send.bytes);
    // Pilots are told before anybody hears that it is settled.
    if (actions.entry_changed) on_entry_committed();
    for (const auto& completion : actions.completions) {
        const auto entry = pending_requests_.find(completion.request_id);
        if (entry == pending_requests_.end()) continue;
        const auto answer = std::move(entry->second);
        pending_requests_.erase(entry);
        answer(completion.outcome);
    }
    if (const auto next = register_->next_deadline()) schedule_tick(*next);
}

void Controller::on_entry_committed() {
    const consensus::LogEntry& entry = register_->committed_entry();
    log_event(LogLevel::Info, "decree",
              {log_field("number", entry.number), log_field("version", entry.version),
               log_field("voters", entry.voters.size())});
    parse_committed_entry();
}

void Controller::parse_committed_entry() {
    const consensus::LogEntry& entry = register_->committed_entry();
    if (entry.version <= parsed_version_) return;
    parsed_version_ = entry.version;
    const std::size_t hash = std::hash<std::string>{}(entry.text);
    const auto known =
        std::find_if(validated_.begin(), validated_.end(), [&](const ValidatedConfiguration& validated) {
            return validated.parsed.version == entry.version && validated.length == entry.text.size() &&
                   validated.hash == hash;
        });
    if (known != validated_.end()) {
        install_configuration(std::move(known->parsed));
        validated_.clear();
        return;
    }
    // It was checked before it was proposed.
    const bool accepted = validator_.validate(
        std::string(entry.text),
        [this, version = entry.version](std::string, ConfigurationValidator::Outcome outcome) {
            if (auto* parsed = std::get_if<configuration::Configuration>(&outcome))
                return install_configuration(std::move(*parsed));
            log_event(LogLevel::Error, "decree_unread", {log_field("version", version)});
        });
    if (!accepted) parsed_version_ = 0;    // a little later then
}

void Controller::install_configuration(configuration::Configuration new_configuration) {
    if (new_configuration.version <= publisher_.version())
        return;    // a later one was shorter, and read before
    publisher_.publish(std::move(new_configuration));
    std::vector<ConfigurationPublisher::OutgoingMessage> messages;
    publisher_.set_quorum_confirmed(quorum_.is_held(clock_.now()));
    publisher_.notify_clients(clock_.now(), messages);
    send(messages);
}

// What servers said here, to the pilots and the other lighthouses.
void Controller::publish_registry_changes() {
    notify_gateways();
    std::vector<RegistryForwarder::OutgoingMessage> messages;
    forwarder_.send_changes(clock_.now(), messages);
    send(messages);
}

void Controller::notify_gateways() {
    if (notified_sequence_ == registry_.sequence()) return;
    notified_sequence_ = registry_.sequence();
    std::vector<ConfigurationPublisher::OutgoingMessage> messages;
    publisher_.set_quorum_confirmed(quorum_.is_held(clock_.now()));
    publisher_.notify_clients(clock_.now(), messages);
    send(messages);
}

void Controller::send(const std::vector<ConfigurationPublisher::OutgoingMessage>& messages) {
    for (const auto& message : messages)
        connections_->send_session_message(message.to, transport::Kind::Subscription, message.bytes);
}

void Controller::send(const std::vector<RegistryForwarder::OutgoingMessage>& messages) {
    for (const auto& message : messages)
        connections_->send_session_message(message.to, transport::Kind::Registry, message.bytes);
}

void Controller::members_changed() {
    std::vector<std::string> peers;
    for (const auto& [address, member] : membership_->members()) {
        if (member.info.role == membership::Role::Controller && member.state != membership::State::Dead)
            peers.push_back(address);
    }
    for (const std::string& seed : runtime::controller_seeds(settings_)) {
        const auto entry = membership_->members().find(seed);
        if (seed != address_ && entry == membership_->members().end()) peers.push_back(seed);
    }
    forwarder_.set_peers(peers);
    register_->set_peers(std::move(peers));
}

void Controller::check_quorum() {
    const auto change = quorum_.update(register_->quorum_confirmed_at(), clock_.now());
    if (!change) return;
    const consensus::LogEntry& entry = register_->committed_entry();
    log_event(change->held ? LogLevel::Info : LogLevel::Warning,
              change->held ? "quorum_regained" : "quorum_lost",
              {log_field(change->held ? "without_ms" : "held_ms", change->previous_duration / 1ms),
               log_field("version", entry.version), log_field("voters", entry.voters.size()),
               log_field("voter", register_->is_voter())});
}

// ---- time ----

void Controller::tick() {
    const TimePoint now = clock_.now();
    next_tick_at_ = TimePoint::max();
    if (membership_->next_deadline() <= now) {
        membership::Actions actions;
        membership_->tick(now, actions);
        apply_actions(actions);
        if (membership_->self().incarnation != incarnation_) {
            incarnation_ = membership_->self().incarnation;
            connections_->set_incarnation(incarnation_);
            registry_.incarnation(incarnation_);
            publisher_.set_incarnation(incarnation_);
            forwarder_.reset_peers();
        }
    }
    if (const auto due = register_->next_deadline(); due && *due <= now) {
        consensus::Actions actions;
        register_->tick(now, actions);
        apply_actions(std::move(actions));
    }
    if (now >= next_quorum_read_) {
        next_quorum_read_ = now + quorum_.read_interval();
        consensus::Actions actions;
        register_->quorum_read(++last_request_id_, now + kAnswerTimeout, now,
                               actions);    // nobody waits for it
        apply_actions(std::move(actions));
    }
    if (now >= next_registry_tick_) {
        next_registry_tick_ = now + kRegistryInterval;
        registry_.tick(now);
        publish_registry_changes();
        std::vector<RegistryForwarder::OutgoingMessage> actions;
        forwarder_.tick(now, actions);
        send(actions);
    }
    if (now >= next_voter_check_) {
        next_voter_check_ = now + kVoterCheckInterval;
        reconcile_voters();
        parse_committed_entry();
    }
    TimePoint due =
        std::min({membership_->next_deadline(), next_quorum_read_, next_registry_tick_, next_voter_check_});
    if (const auto next = register_->next_deadline()) due = std::min(due, *next);
    schedule_tick(due);
}

void Controller::schedule_tick(TimePoint deadline) {
    if (deadline >= next_tick_at_) return;
    next_tick_at_ = deadline;
    reactor_.cancel_timer(tick_timer_);
    tick_timer_ = reactor_.schedule_at(deadline, [this] { tick(); });
}

void Controller::reconcile_voters() {
    const TimePoint now = clock_.now();
    const auto is_caught_up = [this](const consensus::Replica& replica) {
        return register_->is_caught_up(replica, kCaughtUpWindow);
    };
    const auto voter_change = voter_reconciler_.next_change(register_->committed_entry(),
                                                            membership_->members(), is_caught_up, now);
    has_vote_handover_ = stopping_since_ != TimePoint{} && voter_change.has_value();
    if (!voter_change) return;
    if (voters_gate_.try_acquire())
        log_event(LogLevel::Info, "voters_change",
                  {log_field("from", format_voters(voter_change->current_voters)),
                   log_field("to", format_voters(voter_change->new_voters))});
    consensus::Actions actions;
    register_->change_voters(voter_change->current_voters, voter_change->new_voters, now, actions);
    apply_actions(std::move(actions));
}

// ---- the end ----

// Who votes hands its vote on before it says goodbye, where somebody can take it.
void Controller::stop() {
    if (stopping_since_ != TimePoint{}) return;
    stopping_since_ = clock_.now();
    log_event(LogLevel::Info, "lighthouse_stopping",
              {log_field("calls", call_server_->active_calls()), log_field("votes", register_->is_voter())});
    call_server_->start_shutdown();
    voter_reconciler_.start_leaving();
    membership_->set_voter_eligible(false);
    reconcile_voters();
}

void Controller::check_shutdown() {
    if (stopping_since_ == TimePoint{}) return;
    const Duration elapsed = clock_.now() - stopping_since_;
    if (elapsed < kMinShutdownTime) return;
    if (elapsed < kMaxShutdownTime &&
        (call_server_->active_calls() > 0 || (register_->is_voter() && has_vote_handover_)))
        return;
    membership::Actions actions;
    membership_->announce_departure(clock_.now(), actions);
    apply_actions(actions);
    reactor_.stop();
}

std::string Controller::counters_text() const {
    const transport::ConnectionManager::Counters& connection_statistics = connections_->counters();
    return fmt::format(
        "beats={} ends={} replaces={} reads={} refused={} conflicts={} unsettled={} quorum={} "
        "quorum_losses={} pilots={} servers={} failed_writes={} "
        "mail_sent={} mail_bytes={} mail_dropped={} mail_spoilt={}",
        statistics_.heartbeats, statistics_.deregistrations, statistics_.replacements, statistics_.reads,
        statistics_.rejected, statistics_.conflicts, statistics_.indeterminate,
        quorum_.is_held(clock_.now()) ? 1 : 0, quorum_.loss_count(), publisher_.gateway_count(),
        registry_.servers().size(), store_->failed_writes(), connection_statistics.sent,
        connection_statistics.sent_bytes, connection_statistics.dropped, connection_statistics.malformed);
}

}    // namespace shaletray::controller
