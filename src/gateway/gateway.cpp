#include "gateway/gateway.h"

#include <fmt/format.h>

#include <algorithm>

#include "base/runtime/log_sink.h"
#include "cluster/node/node_membership.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"

namespace shaletray::gateway {
namespace {

using namespace std::chrono_literals;
using runtime::log_event;

constexpr Duration kPeerUpdateInterval = 250ms;
// How long a controller counts as confirmed by a quorum, for the quota lease.
constexpr Duration kConfirmationTimeout = 3s;
// New clients are accepted for kAcceptAfterStop after stop(): the platform checks readiness each second and
// stops sending clients after the second failure. Open requests may finish until kKillMargin before the
// platform kills the process.
constexpr Duration kAcceptAfterStop = 2200ms, kKillMargin = 500ms;
// Time for which a connection that was being opened may still be used after its server began to drain.
constexpr Duration kDrainStartGrace = 300ms;
// Minimum interval between two ticks, whichever deadlines the components have.
constexpr Duration kMinTickInterval = 5ms;

std::string_view state_name(membership::State state) {
    switch (state) {
        case membership::State::Alive: return "alive";
        case membership::State::Suspect: return "suspected";
        default: return "gone";
    }
}

}    // namespace

Gateway::Gateway(runtime::NodeSettings settings)
    : settings_(std::move(settings)),
      address_(runtime::gateway_address(settings_.ip, settings_)),
      incarnation_(node::initial_incarnation(clock_)),
      hosts_({zone_names(settings_), kDrainStartGrace}),
      quota_lease_(address_) {
    const std::uint64_t seed = std::hash<std::string>{}(address_) ^ incarnation_;
    membership_ = std::make_unique<membership::Membership>(
        node::membership_settings({address_, membership::Role::Gateway, incarnation_}, settings_, seed),
        clock_.now());

    start_quota_balancer();

    ControlPlaneClient::Settings client_settings;
    client_settings.self = address_;
    client_settings.incarnation = incarnation_;
    control_plane_client_ = std::make_unique<ControlPlaneClient>(client_settings);
    update_controllers();

    connections_ = std::make_unique<transport::ConnectionManager>(
        reactor_, address_, incarnation_, transport::ConnectionManager::Limits{},
        [this](transport::Message&& message) { on_message(std::move(message)); });

    const int zone = hosts_.zone_number(settings_.zone);
    dispatcher_ = std::make_unique<RequestDispatcher>(
        dispatcher_settings_of(settings_, zone, seed + 2), reactor_, timers_, counters_, hosts_,
        control_plane_client_->owners(), *quota_balancer_, [this] { schedule_tick(); });

    listener_ = std::make_unique<ClientListener>(
        *dispatcher_, request_mapper_, ClientCapacity{max_sockets(settings_), settings_.memory_mb}, counters_,
        reactor_, ClientListener::listen(settings_.frontend_address), max_client_sockets(settings_),
        [this] { return ready(); });
    const std::vector<StatusPage> pages{metrics_page([this] { return metrics_text(); })};
    const auto is_ready = [this] { return ready(); };
    readiness_server_ = serve_readiness(reactor_, settings_.readiness_address, is_ready, pages);
    metrics_server_ = serve_status(reactor_, settings_.metrics_address, is_ready, pages);
    if (!settings_.metrics_address.empty() && !metrics_server_)
        log_event(LogLevel::Warning, "metrics_not_served", {log_field("address", settings_.metrics_address)});
    log_event(LogLevel::Info, "gateway_started",
              {log_field("address", address_), log_field("incarnation", incarnation_),
               log_field("zone", settings_.zone)});
}

Gateway::~Gateway() { reactor_.cancel_timer(tick_timer_); }

bool Gateway::ready() const { return stopping_since_ == TimePoint{} && control_plane_client_->caught_up(); }

void Gateway::run(std::function<void()> on_turn) {
    reactor_.set_pre_poll_task([this, on_turn = std::move(on_turn)](bool) {
        on_turn();
        check_shutdown();
    });
    tick();
    reactor_.update_poll_timeout();
    reactor_.run();
}

void Gateway::stop() {
    if (stopping_since_ != TimePoint{}) return;
    stopping_since_ = clock_.now();
    log_event(
        LogLevel::Info, "gateway_stopping",
        {log_field("clients", listener_->client_count()), log_field("open", dispatcher_->pending_count())});
    listener_->start_shutdown();
}

void Gateway::apply_settings(const runtime::NodeSettings& settings) {
    settings_.seed_addresses = settings.seed_addresses;
    membership_->set_seeds(runtime::controller_seeds(settings_));
    update_controllers();
}

// Creates a quota balancer for this incarnation; its token buckets start empty.
void Gateway::start_quota_balancer() {
    quota_balancer_ = std::make_unique<quota::QuotaBalancer>(
        balancer_settings_of(settings_, address_, incarnation_), clock_.now());
    if (dispatcher_) dispatcher_->set_quota_balancer(*quota_balancer_);
}

void Gateway::set_quotas() {
    const std::shared_ptr<const configuration::ConfigurationIndex>& configuration_index =
        control_plane_client_->configuration_index();
    if (!configuration_index) return;
    std::map<std::string, quota::Quota> quotas;
    if (configuration_index->requires_api_key()) {
        for (const configuration::Tenant& tenant : *configuration_index->config().tenants)
            quotas[tenant.name] = {tenant.rate_per_s, tenant.burst};
    }
    quota_balancer_->set_quotas(quotas, clock_.now());
}

// Adopts a higher incarnation number from the membership: an earlier incarnation of this address had a higher
// number than the clock gives, since the machine's clock was set back.
void Gateway::check_incarnation() {
    if (membership_->self().incarnation == incarnation_) return;
    log_event(LogLevel::Info, "incarnation_raised",
              {log_field("from", incarnation_), log_field("to", membership_->self().incarnation)});
    incarnation_ = membership_->self().incarnation;
    connections_->set_incarnation(incarnation_);
    control_plane_client_->set_incarnation(incarnation_);
    start_quota_balancer();
    quota_lease_.release();
    set_quotas();
}

// ---- messages from other processes ----

void Gateway::on_message(transport::Message&& message) {
    const TimePoint now = clock_.now();
    switch (message.kind) {
        case transport::Kind::Membership: {
            membership::Actions actions;
            membership_->on_message(message.sender, message.payload, now, actions);
            apply_actions(actions);
            break;
        }
        case transport::Kind::Quota: {
            quota::Actions actions;
            quota_balancer_->on_message(message.sender, message.payload, now, actions);
            apply_actions(actions);
            break;
        }
        case transport::Kind::Subscription: {
            membership_->record_contact(message.sender, message.incarnation, now);
            ControlPlaneClient::Actions actions;
            control_plane_client_->on_message(message.sender, message.incarnation, message.payload, now,
                                              actions);
            apply_actions(actions);
            break;
        }
        default: break;    // other kinds are sent between controllers only
    }
}

void Gateway::apply_actions(const membership::Actions& actions) {
    node::send_datagrams(actions, *connections_);
    bool controllers_changed = false;
    for (const std::string& address : actions.changed_members) {
        const auto it = membership_->members().find(address);
        if (it == membership_->members().end()) continue;
        const membership::Member& member = it->second;
        log_event(LogLevel::Debug, "member_changed",
                  {log_field("member", address), log_field("state", state_name(member.state)),
                   log_field("incarnation", member.info.incarnation),
                   log_field("quota_divisor", member.info.quota_divisor)});
        controllers_changed = controllers_changed || member.info.role == membership::Role::Controller;
        if (member.info.role == membership::Role::Gateway) next_peer_update_ = TimePoint{};
    }
    if (controllers_changed) update_controllers();
}

void Gateway::apply_actions(const quota::Actions& actions) {
    for (const auto& send : actions.sends)
        connections_->send_datagram(send.to, transport::Kind::Quota, send.bytes);
    if (!actions.replenished_tenants.empty()) dispatcher_->on_units_available(actions.replenished_tenants);
}

void Gateway::apply_actions(const ControlPlaneClient::Actions& actions) {
    for (const auto& send : actions.sends)
        connections_->send_session_message(send.to, transport::Kind::Subscription, send.bytes);
    if (actions.configuration_changed) apply_configuration();
    if (!actions.changed_servers.empty()) update_hosts(actions.changed_servers);
    if (ready() != was_ready_) {
        was_ready_ = ready();
        log_event(LogLevel::Info, was_ready_ ? "gateway_ready" : "gateway_not_ready");
        next_peer_update_ = TimePoint{};    // readiness may start the quota lease
        schedule_tick();
    }
}

void Gateway::apply_configuration() {
    const std::shared_ptr<const configuration::ConfigurationIndex>& configuration_index =
        control_plane_client_->configuration_index();
    set_quotas();
    request_mapper_.set_configuration(configuration_index);
    dispatcher_->set_configuration(configuration_index);
    const configuration::Configuration& configuration = configuration_index->config();
    const std::size_t tenant_count =
        configuration_index->requires_api_key() ? configuration.tenants->size() : 0;
    log_event(LogLevel::Info, "configuration_applied",
              {log_field("version", configuration.version), log_field("routes", configuration.routes.size()),
               log_field("services", configuration.services.size()), log_field("tenants", tenant_count)});
}

// Applies the announced changes of these servers.
void Gateway::update_hosts(const std::vector<std::string>& changed_servers) {
    const TimePoint now = clock_.now();
    dispatcher_->on_servers_changed(
        hosts_.update_changed(control_plane_client_->servers(), changed_servers, now));
    if (hosts_.next_deadline() < next_tick_at_) schedule_tick();
}

void Gateway::update_controllers() {
    std::vector<ControlPlaneClient::Controller> controllers;
    for (const auto& [address, member] : membership_->members()) {
        if (member.info.role != membership::Role::Controller || member.state == membership::State::Dead)
            continue;
        controllers.push_back({.address = address,
                               .suspect = member.state != membership::State::Alive,
                               .same_zone = member.info.zone == settings_.zone,
                               .may_vote = member.info.voter_eligible});
    }
    for (const std::string& seed :
         node::unknown_seeds(runtime::controller_seeds(settings_), membership_->members()))
        controllers.push_back({.address = seed});
    control_plane_client_->set_controllers(std::move(controllers));
}

// ---- timers ----

void Gateway::tick() {
    const TimePoint now = clock_.now();
    if (membership_->next_deadline() <= now) {
        membership::Actions actions;
        membership_->tick(now, actions);
        apply_actions(actions);
        check_incarnation();
    }
    if (now >= next_peer_update_) update_quota_peers();
    if (quota_balancer_->next_deadline() <= now) {
        quota::Actions actions;
        quota_balancer_->tick(now, actions);
        apply_actions(actions);
    }
    if (control_plane_client_->next_deadline() <= now) {
        ControlPlaneClient::Actions actions;
        control_plane_client_->set_key_samples(dispatcher_->take_key_samples());
        control_plane_client_->tick(now, membership_->self().quota_divisor, actions);
        apply_actions(actions);
    }
    if (hosts_.next_deadline() <= now) dispatcher_->on_servers_changed(hosts_.advance(now));
    const TimePoint due =
        std::min({membership_->next_deadline(), next_peer_update_, quota_balancer_->next_deadline(),
                  control_plane_client_->next_deadline(), hosts_.next_deadline()});
    reactor_.cancel_timer(tick_timer_);
    next_tick_at_ = std::max(due, now + kMinTickInterval);
    tick_timer_ = reactor_.schedule_at(next_tick_at_, [this] { tick(); });
}

void Gateway::schedule_tick() {
    reactor_.cancel_timer(tick_timer_);
    next_tick_at_ = clock_.now();
    tick_timer_ = reactor_.schedule_after(Duration(0), [this] { tick(); });
}

// Updates the set of gateways that share the quotas, and the time until which this one may refill its share.
void Gateway::update_quota_peers() {
    const TimePoint now = clock_.now();
    next_peer_update_ = now + kPeerUpdateInterval;
    quota::PeerSet peer_set = quota_lease_.update(
        *membership_, control_plane_client_->confirmed_controllers(now, kConfirmationTimeout), now);
    membership_->set_quota_divisor(quota_lease_.quota_divisor());
    dispatcher_->set_gateway_count(
        std::max(quota_lease_.possible_gateway_count(), static_cast<std::uint32_t>(peer_set.ring.size())));
    known_gateway_count_ = peer_set.ring.size();
    const bool holds_lease = peer_set.divisor > 0 && peer_set.refill_until > now;
    if (holds_lease != had_lease_) {
        had_lease_ = holds_lease;
        log_event(LogLevel::Info, holds_lease ? "quota_lease_started" : "quota_lease_ended",
                  {log_field("possible_gateways", quota_lease_.possible_gateway_count()),
                   log_field("divisor", peer_set.divisor), log_field("gateways", peer_set.ring.size())});
    }
    quota_balancer_->set_peers(std::move(peer_set), now);
}

// ---- shutdown ----

void Gateway::check_shutdown() {
    if (stopping_since_ == TimePoint{}) return;
    const TimePoint now = clock_.now();
    const Duration elapsed = now - stopping_since_;
    if (elapsed >= kAcceptAfterStop) listener_->stop_accepting();
    const bool deadline_reached = elapsed >= settings_.bounds.grace - kKillMargin;
    if (deadline_reached) dispatcher_->abandon_all();
    if (!deadline_reached && (elapsed < kAcceptAfterStop || listener_->client_count() > 0)) return;
    membership::Actions actions;
    membership_->announce_departure(now, actions);
    node::send_datagrams(actions, *connections_);
    log_event(LogLevel::Info, "gateway_stopped",
              {log_field("after_ms", elapsed / 1ms), log_field("open", dispatcher_->pending_count())});
    reactor_.stop();
}

std::string Gateway::metrics_text() const {
    const auto& configuration_index = control_plane_client_->configuration_index();
    const std::map<std::string, double> units = quota_balancer_->available_units_by_tenant(clock_.now());
    return format_metrics(
        {.zone = settings_.zone,
         .admissions = dispatcher_->admissions(),
         .quota = quota_balancer_->statistics(),
         .units = units,
         .data_plane = counters_,
         .ready = ready(),
         .holds_quota_lease = had_lease_,
         .configuration_version = configuration_index ? configuration_index->config().version : 0,
         .quota_divisor = quota_lease_.quota_divisor(),
         .known_gateways = known_gateway_count_,
         .misdirections = dispatcher_->pipelines().misdirections_by_service(),
         .ownership_version = control_plane_client_->owners().version(),
         .owner_rows = control_plane_client_->owners().row_count(),
         .without_owner = dispatcher_->statistics().without_owner,
         .sent_to_new_owner = dispatcher_->statistics().sent_to_new_owner});
}

std::string Gateway::counters_text() const {
    const RequestDispatcher::Statistics& dispatch_statistics = dispatcher_->statistics();
    const ControlPlaneClient::Statistics& update_statistics = control_plane_client_->statistics();
    const transport::ConnectionManager::Counters& message_statistics = connections_->counters();
    return fmt::format(
        "taken={} granted={} queued={} rejected_quota={} rejected_without_lease={} rejected_capacity={} "
        "served={} failed={} sent={} "
        "dialled={} reused={} "
        "clients={} control_updates={} full_updates={} delta_updates={} malformed_updates={} "
        "messages_sent={} message_bytes={} messages_dropped={} "
        "messages_malformed={} {}",
        counters_.requests_accepted, dispatch_statistics.granted, dispatch_statistics.queued,
        dispatch_statistics.rejected_quota, quota_balancer_->statistics().rejected_without_lease,
        dispatch_statistics.rejected_capacity, dispatch_statistics.served, dispatch_statistics.failed,
        counters_.attempts_sent, counters_.server_connections_dialled, counters_.server_connections_reused,
        counters_.clients_accepted, update_statistics.updates, update_statistics.full_updates,
        update_statistics.delta_updates, update_statistics.malformed_updates, message_statistics.sent,
        message_statistics.sent_bytes, message_statistics.dropped, message_statistics.malformed,
        transport::describe_traffic(message_statistics));
}

}    // namespace shaletray::gateway
