#include "controller/controller.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "base/common/metric_label.h"
#include "base/runtime/log_sink.h"
#include "cluster/node/node_membership.h"
#include "controller/ownership_report.h"

namespace shaletray::controller {
namespace {

using namespace std::chrono_literals;
using runtime::log_event;

constexpr Duration kVoterCheckInterval = 250ms;
// Lets responses be sent and the other controllers learn that this one stops voting.
constexpr Duration kMinShutdownTime = 300ms;
// Open calls or a vote that no other controller takes over delay the shutdown no longer than this.
constexpr Duration kMaxShutdownTime = 1500ms;
constexpr std::size_t kMaxControlConnections = 1024;

VoterReconciler::Settings reconciler_settings(const runtime::NodeSettings& settings,
                                              const std::string& address, std::uint64_t disk_id) {
    const int max_failures = std::max(0, settings.tolerated_machines);
    return {{address, disk_id}, static_cast<std::size_t>(max_failures), settings.bounds.catch_up};
}

registry::ServiceRegistry::Settings registry_settings(const runtime::NodeSettings& settings,
                                                      const std::string& address, std::uint64_t incarnation) {
    registry::ServiceRegistry::Settings result;
    result.self_address = address;
    result.incarnation = incarnation;
    result.heartbeat_interval = settings.heartbeat;
    return result;
}

}    // namespace

Controller::Controller(const runtime::NodeSettings& settings, std::unique_ptr<consensus::StateStore> store)
    : settings_(settings),
      address_(runtime::controller_address(settings_.ip, settings_)),
      incarnation_(node::initial_incarnation(clock_)),
      random_seed_(std::hash<std::string>{}(address_) ^ incarnation_),
      disk_id_(store->loaded_state().disk_id),
      connections_(reactor_, address_, incarnation_, transport::ConnectionManager::Limits{},
                   [this](transport::Message&& message) { on_message(message); }),
      membership_(membership_settings(), clock_.now()),
      consensus_(reactor_, connections_, std::move(store), register_settings(), settings_.bounds.contact,
                 {[this] { on_entry_committed(); }, [this](TimePoint deadline) { schedule_tick(deadline); }}),
      distributor_(registry_settings(settings_, address_, incarnation_), clock_, connections_,
                   {[this] { return consensus_.is_quorum_held(); },
                    [this](TimePoint deadline) { schedule_tick(deadline); },
                    [this](const std::vector<ownership::KeySamples>& key_samples) {
                        ownership_.on_key_samples(key_samples);
                    },
                    [this] { commands_.complete_departures(); }}),
      ownership_(ownership_settings(), clock_, consensus_, distributor_.servers(),
                 {[this](TimePoint deadline) { schedule_tick(deadline); },
                  [this](const ownership::OwnershipTable& table) {
                      distributor_.publish(table);
                      commands_.on_ownership_changed();
                  }}),
      loader_(reactor_, [this](configuration::Configuration parsed) { on_configuration(std::move(parsed)); }),
      voter_manager_(reconciler_settings(settings_, address_, disk_id_), clock_, consensus_, membership_),
      call_redirection_(settings_.quorum_member),
      commands_(reactor_, consensus_, loader_, distributor_, ownership_, settings_.control_address,
                [this](std::string_view zone) {
                    return call_redirection_.next_target(membership_.members(), zone);
                }) {
    start_servers();
    update_peers();
    on_entry_committed();
    const consensus::LogEntry& entry = consensus_.committed_entry();
    log_event(LogLevel::Info, "controller_started",
              {log_field("address", address_), log_field("incarnation", incarnation_),
               log_field("disk_id", disk_id_), log_field("entry", entry.number),
               log_field("version", entry.version),
               log_field("discard_reason", consensus_.store().discard_reason())});
}

Controller::~Controller() { reactor_.cancel_timer(tick_timer_); }

membership::Settings Controller::membership_settings() const {
    const node::Identity identity{address_, membership::Role::Controller, incarnation_};
    membership::Settings settings = node::membership_settings(identity, settings_, random_seed_ + 1);
    settings.self.control_address = settings_.control_address;
    settings.self.voter_eligible = settings_.quorum_member;
    settings.self.disk_id = disk_id_;
    return settings;
}

consensus::Settings Controller::register_settings() const {
    consensus::Settings settings;
    settings.self = {address_, disk_id_};
    settings.can_vote = settings_.quorum_member;
    if (settings_.bootstrap) settings.founders = runtime::controller_seeds(settings_);
    settings.seed = random_seed_;
    return settings;
}

void Controller::start_servers() {
    ApiServer::Limits limits;
    limits.max_connections = std::min(kMaxControlConnections, settings_.max_open_files / 4);
    const auto handle_call = [this](const ApiCall& call, std::shared_ptr<ApiCaller> caller) {
        commands_.handle_call(call, std::move(caller));
    };
    control_server_ = std::make_unique<ApiServer>(reactor_, ApiServer::listen(settings_.control_address),
                                                  limits, handle_call, control_api::max_body_size);
    const auto is_ready = [this] { return consensus_.is_quorum_held(); };
    const auto describe_owners = [this] {
        return describe_ownership(ownership_.table(), ownership_.busiest_loads());
    };
    metrics_server_ = serve_status(reactor_, settings_.metrics_address, is_ready,
                                   {metrics_page([this] { return metrics_text(); }),
                                    {"/ownership", "application/json", describe_owners}});
    if (!settings_.metrics_address.empty() && !metrics_server_)
        log_event(LogLevel::Warning, "metrics_not_served", {log_field("address", settings_.metrics_address)});
    if (settings_.readiness_address.empty()) return;
    readiness_server_ = serve_readiness(reactor_, settings_.readiness_address, is_ready);
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
    membership_.set_seeds(runtime::controller_seeds(settings_));
    update_peers();
}

// ---- messages from other processes ----

void Controller::on_message(const transport::Message& message) {
    const TimePoint now = clock_.now();
    if (message.kind == transport::Kind::Membership) {
        membership::Actions actions;
        membership_.on_message(message.sender, message.payload, now, actions);
        return apply_actions(actions);
    }
    if (message.kind == transport::Kind::Quota) return;    // only between gateways
    membership_.record_contact(message.sender, message.incarnation, now);
    switch (message.kind) {
        case transport::Kind::Consensus: return consensus_.on_message(message.sender, message.payload);
        case transport::Kind::Registry: return distributor_.on_registry_message(message);
        case transport::Kind::Subscription: return distributor_.on_subscription_message(message);
        case transport::Kind::Membership:
        case transport::Kind::Quota: break;
    }
}

void Controller::apply_actions(const membership::Actions& actions) {
    node::send_datagrams(actions, connections_);
    const auto may_be_controller = [this](const std::string& address) {
        const auto entry = membership_.members().find(address);
        return entry == membership_.members().end() ||
               entry->second.info.role == membership::Role::Controller;
    };
    if (std::any_of(actions.changed_members.begin(), actions.changed_members.end(), may_be_controller))
        update_peers();
}

void Controller::on_entry_committed() {
    const consensus::LogEntry& entry = consensus_.committed_entry();
    log_event(LogLevel::Info, "entry_committed",
              {log_field("number", entry.number), log_field("version", entry.version),
               log_field("voters", entry.voters.size())});
    ownership_.on_entry_committed();
    loader_.load(entry);
}

void Controller::on_configuration(configuration::Configuration parsed) {
    ownership_.set_sharded_services(configuration::sharded_services(parsed));
    distributor_.publish(std::move(parsed));
}

OwnershipCoordinator::Settings Controller::ownership_settings() const {
    return {address_, settings_.heartbeat, settings_.bounds.max_hold};
}

// The peers are the controllers among the members and the seeds that are not members yet.
void Controller::update_peers() {
    std::vector<std::string> peers;
    for (const auto& [address, member] : membership_.members()) {
        const bool is_controller = member.info.role == membership::Role::Controller;
        if (is_controller && member.state != membership::State::Dead) peers.push_back(address);
    }
    for (const std::string& seed :
         node::unknown_seeds(runtime::controller_seeds(settings_), membership_.members()))
        if (seed != address_) peers.push_back(seed);
    distributor_.set_peers(peers);
    consensus_.set_peers(std::move(peers));
}

// ---- timers ----

void Controller::tick() {
    const TimePoint now = clock_.now();
    longest_tick_delay_ = std::max(longest_tick_delay_, now - next_tick_at_);
    next_tick_at_ = TimePoint::max();
    if (membership_.next_deadline() <= now) tick_membership(now);
    consensus_.tick(now);
    distributor_.tick(now);
    ownership_.tick(now);
    if (now >= next_voter_check_) {
        next_voter_check_ = now + kVoterCheckInterval;
        voter_manager_.reconcile();
        loader_.load(consensus_.committed_entry());    // retries if too many texts were queued before
    }
    schedule_tick(std::min({membership_.next_deadline(), consensus_.next_deadline(),
                            distributor_.next_deadline(), ownership_.next_deadline(), next_voter_check_}));
}

void Controller::tick_membership(TimePoint now) {
    membership::Actions actions;
    membership_.tick(now, actions);
    apply_actions(actions);
    if (membership_.self().incarnation == incarnation_) return;
    incarnation_ = membership_.self().incarnation;
    connections_.set_incarnation(incarnation_);
    distributor_.set_incarnation(incarnation_);
    commands_.fail_pending_departures();
}

// The timer is only moved to an earlier time: a tick that comes too early does no harm.
void Controller::schedule_tick(TimePoint deadline) {
    if (deadline >= next_tick_at_) return;
    next_tick_at_ = deadline;
    reactor_.cancel_timer(tick_timer_);
    tick_timer_ = reactor_.schedule_at(deadline, [this] { tick(); });
}

// ---- shutdown ----

// A voter hands its vote to another controller, if one can take it, before it announces its departure.
void Controller::stop() {
    if (is_stopping()) return;
    stopping_since_ = clock_.now();
    log_event(LogLevel::Info, "controller_stopping",
              {log_field("calls", control_server_->active_calls()),
               log_field("votes", consensus_.replicated_register().is_voter())});
    control_server_->start_shutdown();
    commands_.clear_heartbeat_target();
    membership_.set_voter_eligible(false);
    voter_manager_.start_handover();
}

void Controller::check_shutdown() {
    if (!is_stopping()) return;
    const Duration elapsed = clock_.now() - stopping_since_;
    if (elapsed < kMinShutdownTime) return;
    const bool has_unfinished_work =
        control_server_->active_calls() > 0 || voter_manager_.is_handover_pending();
    if (elapsed < kMaxShutdownTime && has_unfinished_work) return;
    membership::Actions actions;
    membership_.announce_departure(clock_.now(), actions);
    apply_actions(actions);
    reactor_.stop();
}

std::string Controller::counters_text() const {
    const CommandExecutor::Statistics& command_statistics = commands_.statistics();
    const transport::ConnectionManager::Counters& message_counters = connections_.counters();
    const transport::SendBacklog backlog = connections_.backlog();
    const ApiServer::Counters& calls = control_server_->counters();
    return fmt::format(
        "heartbeats={} deregistrations={} replacements={} reads={} redirected={} rejected={} conflicts={} "
        "indeterminate={} departures_unconfirmed={} quorum={} quorum_losses={} gateways={} servers={} "
        "failed_writes={} calls={} calls_incomplete={} calls_abandoned={} unsent_bytes={} unsent_ms={} "
        "longest_tick_delay_ms={} "
        "messages_sent={} message_bytes={} messages_dropped={} messages_malformed={} {}",
        command_statistics.heartbeats, command_statistics.deregistrations, command_statistics.replacements,
        command_statistics.reads, command_statistics.redirected, command_statistics.rejected,
        command_statistics.conflicts, command_statistics.indeterminate,
        command_statistics.departures_unconfirmed, consensus_.is_quorum_held() ? 1 : 0,
        consensus_.quorum_loss_count(), distributor_.gateway_count(), distributor_.server_count(),
        consensus_.store().failed_writes(), calls.calls, calls.incomplete, calls.abandoned, backlog.bytes,
        backlog.oldest_age / 1ms, longest_tick_delay_ / 1ms, message_counters.sent,
        message_counters.sent_bytes, message_counters.dropped, message_counters.malformed,
        transport::describe_traffic(message_counters));
}

std::string Controller::metrics_text() const {
    const CommandExecutor::Statistics& command_statistics = commands_.statistics();
    const consensus::LogEntry& entry = consensus_.committed_entry();
    std::string text;
    const auto append_value = [&text](std::string_view name, std::uint64_t value) {
        text += fmt::format("controller_{} {}\n", name, value);
    };
    append_value("quorum_held", consensus_.is_quorum_held() ? 1 : 0);
    append_value("quorum_losses_total", consensus_.quorum_loss_count());
    append_value("entry_number", entry.number);
    append_value("configuration_version", entry.version);
    append_value("voters", entry.voters.size());
    append_value("servers", distributor_.server_count());
    append_value("gateways", distributor_.gateway_count());
    append_value("heartbeats_total", command_statistics.heartbeats);
    append_value("deregistrations_total", command_statistics.deregistrations);
    append_value("replacements_total", command_statistics.replacements);
    append_value("redirected_total", command_statistics.redirected);
    const OwnershipCoordinator::Statistics& ownership_statistics = ownership_.statistics();
    append_value("ownership_version", ownership_.table().version);
    append_value("ownership_services", ownership_.table().services.size());
    append_value("ownership_unsettled_rows", ownership_.unsettled_rows());
    append_value("ownership_granted_total", ownership_statistics.granted);
    append_value("ownership_unconfirmed_total", ownership_statistics.unconfirmed);
    append_value("ownership_proposals_total", ownership_statistics.proposals);
    append_value("ownership_releases_proven_total", ownership_statistics.settled_by_release);
    append_value("ownership_malformed_rows_total", command_statistics.malformed_hold_rows);
    for (const auto& [service, load] : ownership_.busiest_loads())
        text += fmt::format("controller_ownership_busiest_server_load{{service=\"{}\"}} {:.3f}\n",
                            escape_label(service), load);
    append_value("failed_writes_total", consensus_.store().failed_writes());
    append_value("indeterminate_total", command_statistics.indeterminate);
    const ApiServer::Counters& calls = control_server_->counters();
    append_value("calls_total", calls.calls);
    append_value("calls_incomplete_total", calls.incomplete);
    append_value("calls_abandoned_total", calls.abandoned);
    const transport::SendBacklog backlog = connections_.backlog();
    append_value("unsent_bytes", backlog.bytes);
    append_value("unsent_milliseconds", static_cast<std::uint64_t>(backlog.oldest_age / 1ms));
    append_value("longest_tick_delay_milliseconds", static_cast<std::uint64_t>(longest_tick_delay_ / 1ms));
    return text;
}

}    // namespace shaletray::controller
