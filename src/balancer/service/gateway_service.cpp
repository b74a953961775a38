#include "balancer/service/gateway_service.h"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>

#include "balancer/operations/metrics.h"

namespace shaletray {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kReservedDescriptors =
    32;                                          // listener, discovery, peers, epoll, standard streams, spare
constexpr double kClientSocketFraction = 0.7;    // of the remaining descriptors
constexpr Duration kAcceptAfterStop = 700ms;     // after a stop request, for clients that have not noticed it
// The process is killed after a stop request plus the longest deadline (at most 3 s) plus 0.7 s.
constexpr Duration kMaxShutdownGrace = 3s, kShutdownMargin = 100ms;
constexpr int kLeasesPerEpoch = 16;    // lease durations whose rows share one hash in the store
constexpr Duration kMinCheckInterval = 25ms,
                   kMaxCheckInterval = 250ms;    // of changes due in the quota and plan tables
constexpr Duration kMaxPlanSyncWait = 1s;        // for the shared counter, after a start
// Connections to the admin address. With the listener they fit into kReservedDescriptors.
constexpr std::size_t kAdminConnections = 16;
constexpr int kAdminBacklog = 64;
constexpr Duration kAdminCallTimeout = 5s;      // for a complete call
constexpr double kIdleTimeoutFraction = 0.6;    // of the idle time after which servers close a connection

std::size_t socket_count(const GatewayConfig& config, double fraction) {
    return static_cast<std::size_t>(static_cast<double>(config.max_sockets - kReservedDescriptors) *
                                    fraction);
}

// With a shared counter or plans that change at runtime, gateways do not exchange quota by datagrams.
GatewayConfig without_peers(GatewayConfig config, const settings::OperatorSettings& settings) {
    config.reservations_enabled = settings.plans.has_value();
    if (!settings.counter && !settings.plans) return config;
    config.settings.may_tell = false;
    config.peers.clear();
    config.all_peer_addresses.clear();
    config.peer_listen_address.clear();
    return config;
}

limits::QuotaTableSettings quota_table_settings(const settings::OperatorSettings& settings,
                                                const decision::Settings& module_settings, TimePoint now) {
    limits::QuotaTableSettings table;
    table.own_index = module_settings.me;
    table.gateway_count = module_settings.gateways;
    table.plans = module_settings.plans;
    table.max_request_units = module_settings.most_units;
    // Microseconds of Unix time: larger at each start, unless the machine's clock was set back.
    table.incarnation = static_cast<std::uint64_t>(std::max<std::int64_t>(1, now.time_since_epoch().count()));
    if (!settings.counter) {
        // No peer ever announces itself: each gateway has an equal share and takes over no other's.
        table.isolated_quota_share = 0.0;
        table.reserve_fraction = 0.0;
        return table;
    }
    const settings::CounterSettings& counter = *settings.counter;
    table.lease_duration = counter.lease_duration;
    table.reserve_fraction = counter.reserve;
    table.isolated_quota_share = counter.isolated_share;
    table.isolation_timeout = counter.isolation_timeout;
    table.demand_window = counter.demand_window;
    table.max_customers = counter.max_customers;
    return table;
}

shared_counter::StoreExchangeSettings store_exchange_settings(const settings::CounterSettings& counter,
                                                              const decision::Settings& module_settings,
                                                              std::uint64_t seed) {
    shared_counter::StoreExchangeSettings exchange;
    for (const settings::StoreSettings& store : counter.stores) {
        shared_counter::StoreSessionSettings session;
        session.address = store.address;
        session.username = store.username;
        session.password = store.password;
        session.database = store.database;
        session.key_prefix = counter.key_prefix;
        session.own_index = module_settings.me;
        session.gateway_count = module_settings.gateways;
        session.timeout = counter.timeout;
        session.epoch_duration = kLeasesPerEpoch * counter.lease_duration;
        exchange.stores.push_back(session);
    }
    exchange.interval = counter.interval;
    exchange.standby_interval = counter.standby_interval;
    exchange.max_rows_per_call = counter.max_rows_per_call;
    exchange.random_seed = seed ^ static_cast<std::uint64_t>(module_settings.me);
    return exchange;
}

}    // namespace

GatewayService::GatewayService(GatewayConfig config, settings::OperatorSettings settings)
    : config_(without_peers(std::move(config), settings)),
      hosts_(config_.settings.drain_grace),
      quota_state_table_(
          settings.counter || settings.plans
              ? std::make_unique<limits::QuotaStateTable>(
                    quota_table_settings(settings, config_.settings, clock_.now()), clock_.now())
              : nullptr),
      engine_(config_.settings, config_.seed, clock_, timers_, counters_) {
    const Duration idle(static_cast<std::int64_t>(
        static_cast<double>(config_.connection_idle_timeout.count()) * kIdleTimeoutFraction));
    // A predecessor stops accepting only after this process listens, so that no client is refused in between.
    const Poco::Net::ServerSocket socket = ClientListener::listen(config_.listen_address);
    const std::string handover_path = handover::socket_path_for(config_.listen_address);
    const std::string predecessor_state = handover::request_predecessor_state(handover_path);
    connection_budget_ =
        std::make_unique<ConnectionBudget>(socket_count(config_, 1.0 - kClientSocketFraction));
    server_pool_ =
        std::make_unique<ServerPool>(engine_, hosts_, upstream_protocol_, *connection_budget_, counters_,
                                     reactor_, ServerPool::Limits{config_.dial_timeout, idle});
    peer_socket_ = std::make_unique<PeerSocket>(engine_, config_, counters_, reactor_);
    discovery_watch_ =
        std::make_unique<DiscoveryWatch>(engine_, hosts_, config_, counters_, reactor_, [this] {
            list_received_ = list_received_ || hosts_.size() > 0;
            server_pool_->on_host_list_changed();
        });
    engine_.connect(*server_pool_, *peer_socket_, *discovery_watch_);
    if (quota_state_table_) engine_.set_quota_state_table(*quota_state_table_);
    if (settings.counter) {
        shared_counter_ = std::make_unique<shared_counter::SharedCounterClient>(
            store_exchange_settings(*settings.counter, config_.settings, config_.seed), *quota_state_table_,
            engine_, reactor_);
    }
    if (settings.usage) {
        try {
            usage_log_recorder_ =
                std::make_unique<UsageLogRecorder>(*settings.usage, config_.settings.me, clock_.now());
            engine_.set_usage_recorder(*usage_log_recorder_);
        } catch (const std::exception& error) {
            if (settings.usage->reject_on_failure)
                throw std::runtime_error(fmt::format("usage.journal: {}", error.what()));
            log(LogLevel::Error, Event::UsageLogDisabled, {log_field("why", error.what())});
        }
    }
    if (settings.plans) start_plans(*settings.plans);
    client_listener_ = std::make_unique<ClientListener>(
        request_handler_, request_mapping_, ClientCapacity{config_.max_sockets, config_.max_memory_mb},
        counters_, reactor_, socket, socket_count(config_, kClientSocketFraction),
        [this] { return is_list_received(); });
    if (!config_.admin_address.empty()) {
        Poco::Net::ServerSocket admin;
        admin.bind(Poco::Net::SocketAddress(config_.admin_address), true, false);
        admin.listen(kAdminBacklog);
        operations::AdminOperations& self = *this;
        admin_server_ = std::make_unique<LineProtocolServer>(
            reactor_, admin, LineProtocolServer::Limits{kAdminConnections, kAdminCallTimeout, false},
            [&self] { return std::make_unique<operations::AdminProtocol>(self); });
    }
    if (!predecessor_state.empty()) import_state(predecessor_state);
    if (handover_path.empty()) return;
    try {
        handover_server_ = std::make_unique<handover::HandoverServer>(
            reactor_, handover_path, [this] { release_listeners(); }, [this] { return export_state(); },
            [this] { resume_service(); });
    } catch (const std::exception& error) {
        log(LogLevel::Info, Event::HandoverUnavailable, {log_field("why", error.what())});
    }
}

// ---- handover between processes of the same gateway ----

void GatewayService::import_state(const std::string& text) {
    try {
        const handover::HandoverState state = handover::parse_state(text);
        hosts_.restore_ejected(state.ejected_hosts);
        if (state.is_draining) client_listener_->set_draining(true);
        if (!engine_.import_state(state.module_state)) return;    // the engine logged the reason
        log(LogLevel::Info, Event::HandoverImported,
            {log_field("bytes", text.size()), log_field("out", state.ejected_hosts.size())});
    } catch (const std::invalid_argument& error) {
        log(LogLevel::Warning, Event::HandoverMalformed, {log_field("why", error.what())});
    }
}

// The successor is already listening: connections queued here are still accepted, later ones are the
// successor's.
void GatewayService::release_listeners() {
    client_listener_->stop_accepting();
    start_shutdown();
}

// The successor disconnected before the handover: this process serves again.
void GatewayService::resume_service() {
    if (stop_logged_) return;
    try {
        client_listener_->resume(ClientListener::listen(config_.listen_address));
        stopping_since_ = TimePoint{};
        log(LogLevel::Warning, Event::HandoverUnavailable,
            {log_field("why", "the successor ended before it took over")});
    } catch (const Poco::Exception& error) {
        // The shutdown that release_listeners() started goes on.
        log(LogLevel::Error, Event::HandoverUnavailable, {log_field("why", error.displayText())});
    }
}

// Releases what two processes must not hold at once: quota shares, the peer address and the control socket.
std::string GatewayService::export_state() {
    handover::HandoverState state;
    state.is_draining = client_listener_->is_draining();
    state.ejected_hosts = hosts_.ejected_hosts();
    reactor_.cancel_timer(changes_timer_);
    shared_counter_.reset();
    control_server_.reset();
    peer_socket_->close();
    state.module_state = engine_.export_state();
    std::string text = handover::serialize_state(state);
    log(LogLevel::Info, Event::HandoverExported, {log_field("bytes", text.size())});
    return text;
}

GatewayService::~GatewayService() { reactor_.cancel_timer(changes_timer_); }

// After downtime the plan table may be outdated: the gateway waits up to kMaxPlanSyncWait for replication,
// then serves with the table that it has.
bool GatewayService::is_list_received() const {
    return list_received_ && (!change_replicator_ || change_replicator_->is_current() ||
                              clock_.now() - started_at_ >= kMaxPlanSyncWait);
}

// ---- admin API ----

bool GatewayService::is_ready() const {
    return is_list_received() && stopping_since_ == TimePoint{} && !client_listener_->is_draining();
}

std::string GatewayService::metrics_text() const {
    return operations::format_metrics(
        counters_, {engine_.unanswered_requests() + counters_.open_streamed_answers, hosts_.listed_count(),
                    engine_.avoided_hosts() + hosts_.ejected_count()});
}

bool GatewayService::eject_server(const std::string& server) {
    if (!forward_host_list(hosts_.eject_host(server, clock_.now()))) return false;
    log(LogLevel::Info, Event::ServerEjected, {log_field("server", server)});
    return true;
}

bool GatewayService::reinstate_server(const std::string& server) {
    if (!forward_host_list(hosts_.reinstate_host(server, clock_.now()))) return false;
    log(LogLevel::Info, Event::ServerReinstated, {log_field("server", server)});
    return true;
}

bool GatewayService::forward_host_list(std::optional<decision::HostList>&& change) {
    if (!change) return false;
    if (!change->hosts.empty()) engine_.on_host_list(std::move(*change));
    return true;
}

void GatewayService::set_draining(bool is_draining) {
    if (is_draining == client_listener_->is_draining()) return;
    client_listener_->set_draining(is_draining);
    log(LogLevel::Info, is_draining ? Event::DrainStarted : Event::DrainEnded);
}

// ---- plans that change at runtime ----

void GatewayService::start_plans(const settings::PlansSettings& settings) {
    plans::PlanTableSettings table_settings;
    table_settings.platform_plans = config_.settings.plans;
    table_settings.table_overrides_request = settings.table_overrides_request;
    table_settings.lead_time = settings.lead_time;
    table_settings.max_reserved_fraction = settings.max_reserved_fraction;
    plans::PlanTable plan_table(table_settings);
    plan_table_file_ =
        std::make_unique<PlanTableFile>(settings.table_path, plan_table, !settings.reject_damaged);
    const PlanTableFile::LoadResult& loaded = plan_table_file_->load_result();
    if (loaded.is_torn)
        log(LogLevel::Warning, Event::PlanTableTruncated, {log_field("book", settings.table_path)});
    if (!loaded.damage_reason.empty())
        log(LogLevel::Error, Event::PlanTableDamaged,
            {log_field("book", settings.table_path), log_field("version", loaded.change_count),
             log_field("why", loaded.damage_reason)});
    log(LogLevel::Info, Event::PlanTableLoaded,
        {log_field("book", settings.table_path), log_field("version", loaded.change_count)});
    persistent_counters_ =
        std::make_unique<usage_log::PersistentCounters>(fmt::format("{}.redeemed", settings.table_path));
    std::map<std::uint64_t, double> redeemed;
    for (const auto& [version, units] : persistent_counters_->initial_values()) {
        const plans::Reservation* reservation =
            plan_table.find_reservation(plan_table.reservation_name(version));
        if (reservation == nullptr || reservation->ends_at <= clock_.now())
            persistent_counters_->remove_key(version);
        else redeemed[version] = static_cast<double>(units) / usage_log::kMillionths;
    }
    plan_service_ = std::make_unique<plans::PlanService>(std::move(plan_table), *quota_state_table_,
                                                         clock_.now(), std::move(redeemed));
    engine_.set_plan_service(*plan_service_);
    plan_service_->set_redemption_handler([this](std::uint64_t version, double units) {
        if (!persistent_counters_->set_value(version, usage_log::to_millionths(units)) &&
            log_limiter_.try_acquire())
            log(LogLevel::Warning, Event::RedemptionTableFull);
    });
    if (shared_counter_) {
        change_replicator_ = std::make_unique<plans::ChangeReplicator>(
            config_.settings.me, config_.settings.gateways, settings.is_owner, plan_service_->plan_table(),
            [this](const plans::PlanChange& change) { commit_change(change); });
        shared_counter_->set_field_exchange(*change_replicator_);
    }
    if (!settings.control_socket_path.empty()) {
        control_socket::PlanCommandHandler command_handler(
            *plan_service_, settings.is_owner,
            [this](const plans::PlanChange& change) { commit_change(change); });
        control_server_ = std::make_unique<control_socket::ControlServer>(
            std::move(command_handler), reactor_, settings.control_socket_path, settings.control_mode);
    }
    is_owner_ = settings.is_owner;
    commit_configured_plans(settings);
    apply_due_changes();
}

// The settings file is applied at each start and reload; the plan table keeps what the file does not mention.
std::size_t GatewayService::commit_configured_plans(const settings::PlansSettings& settings) {
    if (!is_owner_) return 0;
    std::vector<plans::ChangeBody> desired;
    for (const settings::PlanTerms& terms : settings.plans)
        desired.push_back(plans::DefinePlan{
            terms.plan_name,
            terms.base_plan,
            {terms.rate, terms.burst, terms.rate_limit, terms.rate_limit_burst, terms.rate_limit_slack}});
    for (const auto& [customer, plan] : settings.customers)
        desired.push_back(plans::AssignPlan{plans::parse_customer(customer).value(), plan});
    std::size_t change_count = 0;
    for (const plans::ChangeBody& body : desired) {
        if (plan_service_->plan_table().matches_latest(body)) continue;
        plans::ChangeProposal proposal;
        proposal.body = body;
        proposal.expected_version = plan_service_->plan_table().subject_version(plans::subject_of(body));
        proposal.author = "the operator's file";
        const auto outcome = plan_service_->plan_table().validate_proposal(proposal, clock_.now());
        if (const auto* rejection = std::get_if<plans::ChangeRejection>(&outcome)) {
            log(LogLevel::Error, Event::PlanChangeRejected,
                {log_field("subject", plans::subject_of(body)), log_field("why", rejection->text)});
            continue;
        }
        commit_change(std::get<plans::PlanChange>(outcome));
        ++change_count;
    }
    return change_count;
}

std::size_t GatewayService::apply_reload(const settings::OperatorSettings& changed) {
    return plan_service_ && changed.plans ? commit_configured_plans(*changed.plans) : 0;
}

// Applies a change that was made here or replicated: it is persisted before it takes effect.
void GatewayService::commit_change(const plans::PlanChange& change) {
    plans::PlanTable::validate_next(plan_service_->plan_table(), change);
    plan_table_file_->append_change(change);
    plan_service_->apply_change(change, clock_.now());
    log(LogLevel::Info, Event::PlansChanged,
        {log_field("version", change.version), log_field("subject", plans::subject_of(change.body)),
         log_field("author", change.author), log_field("from", plans::format_time(change.effective_at))});
    apply_due_changes();
}

// Applies changes that are due, and schedules itself for the next one.
void GatewayService::apply_due_changes() {
    reactor_.cancel_timer(changes_timer_);
    engine_.refresh_allowances();
    const TimePoint now = clock_.now();
    TimePoint due = now + kMaxCheckInterval;
    if (const auto next = plan_service_->next_deadline()) due = std::min(due, *next);
    if (const auto next = quota_state_table_->next_deadline())
        due = std::min(due, std::max(*next, now + kMinCheckInterval));
    changes_timer_ = reactor_.schedule_at(std::max(due, now), [this] { apply_due_changes(); });
}

UsageLogRecorder::UsageLogRecorder(const settings::UsageSettings& settings, int gateway_index, TimePoint now)
    : recorder_({settings.journal_directory, static_cast<std::uint32_t>(gateway_index),
                 static_cast<std::uint64_t>(std::max<std::int64_t>(1, now.time_since_epoch().count())),
                 settings.segment_records, settings.max_segments}) {}

void UsageLogRecorder::record_admission(const AdmittedRequest& admission) {
    usage_log::UsageRecord record;
    record.admitted_at = admission.admitted_at;
    record.customer = admission.customer;
    record.unit_millionths = usage_log::to_millionths(admission.units);
    record.plan_version = static_cast<std::uint32_t>(admission.plan_version);
    record.plan_index = static_cast<std::uint16_t>(admission.plan_index);
    record.class_index = static_cast<std::uint16_t>(admission.class_index);
    record.reservation_version = admission.reservation_version;
    if (!recorder_.append(record) && log_limiter_.try_acquire())
        log(LogLevel::Error, Event::UsageRecordsLost, {log_field("why", recorder_.last_error())});
}

void GatewayService::run(std::function<void()> on_iteration) {
    reactor_.set_pre_poll_task([this, on_iteration = std::move(on_iteration)](bool sockets) {
        // Discovery is read before all other sockets, so that a new list applies to everything that follows.
        // An iteration without socket events has no input from it.
        if (sockets) discovery_watch_->read_available();
        on_iteration();
        check_shutdown();
    });
    discovery_watch_->start();
    if (shared_counter_) shared_counter_->start();
    reactor_.update_poll_timeout();
    reactor_.run();
}

void GatewayService::request_stop() {
    stop_logged_ = true;
    start_shutdown();
}

void GatewayService::start_shutdown() {
    if (stopping_since_ != TimePoint{}) return;
    stopping_since_ = clock_.now();
    client_listener_->start_shutdown();
}

bool GatewayService::apply_reload(const GatewayConfig& changed) {
    check_reloadable(changed, config_);
    const bool terms_changed = apply_plan_terms(changed);
    config_.present_fields = changed.present_fields;
    if (changed.discovery_address == config_.discovery_address) return terms_changed;
    log(LogLevel::Info, Event::DiscoveryAddressChanged,
        {log_field("from", config_.discovery_address), log_field("to", changed.discovery_address)});
    config_.discovery_address = changed.discovery_address;
    discovery_watch_->set_address(changed.discovery_address);
    ++counters_.reloads;
    return true;
}

// Requests in progress keep their class, even if the new file changes or removes it.
bool GatewayService::apply_plan_terms(const GatewayConfig& changed) {
    decision::Settings& current = config_.settings;
    const decision::Settings& next = changed.settings;
    decision::RequestLimits& limits = current;
    if (current.classes == next.classes && limits == next &&
        config_.streams_by_class == changed.streams_by_class)
        return false;
    config_.engine_class_indexes = engine_.apply_settings(next);
    config_.streams_by_class = changed.streams_by_class;
    current.classes = next.classes;
    limits = next;
    std::string class_names;
    for (const decision::ClassSettings& cls : current.classes)
        class_names += (class_names.empty() ? "" : ",") + cls.name;
    log(LogLevel::Info, Event::PlanTermsChanged,
        {log_field("classes", class_names), log_field("attempts", current.send_cap)});
    return true;
}

std::string GatewayService::counters_text() const {
    std::string out = counters_.to_text();
    if (usage_log_recorder_) {
        const usage_log::WriterStatistics& usage = usage_log_recorder_->statistics();
        out += fmt::format("use: recorded={} unrecorded={} segments={}\n", usage.records,
                           usage.unrecorded_requests, usage.segments);
    }
    if (plan_service_) {
        const plans::PlanServiceStatistics plan_statistics = plan_service_->statistics(clock_.now());
        out += fmt::format(
            "plans: version={} changes={} late={} latest_us={} behind_us={} reservations_open={} redeemed={} "
            "not_redeemed={} asked={}\n",
            plan_service_->plan_table().version(), plan_statistics.applied_changes,
            plan_statistics.late_changes, plan_statistics.max_lateness.count(),
            plan_statistics.max_delay.count(), plan_statistics.open_reservations, plan_statistics.redemptions,
            plan_statistics.failed_redemptions, control_server_ ? control_server_->commands_received() : 0);
    }
    if (change_replicator_) {
        const plans::ReplicationStatistics replication = change_replicator_->statistics();
        out += fmt::format("spread: put={} heard={} foreign={} bad_values={} behind={}\n",
                           replication.entries_written, replication.entries_received,
                           replication.foreign_entries, replication.bad_values, replication.gateways_behind);
    }
    if (!shared_counter_) return out;
    const shared_counter::SharedCounterStatistics& counter = shared_counter_->statistics();
    const limits::QuotaTableStatistics quota = quota_state_table_->statistics(clock_.now());
    out += fmt::format(
        "counter: up={} of={} calls={} rows_written={} rows_read={} late={} errors={} bad_values={} "
        "connects={} "
        "lost={} replaced={}\n",
        counter.stores_up, counter.stores, counter.calls, counter.rows_written, counter.rows_read,
        counter.late_answers, counter.error_answers, counter.bad_values, counter.connects,
        counter.connections_lost, counter.stores_replaced);
    out += fmt::format(
        "ledger: customers={} live={} alone={} untracked={} rows_heard={} rows_ignored={} leases_ended={} "
        "reclaimed={} acknowledged={} lives_seen={} news={}\n",
        quota.tracked_customers, quota.exchanging_customers, quota.isolated_customers,
        quota.untracked_customers, quota.rows_received, quota.rows_ignored, quota.leases_expired,
        quota.leases_reclaimed, quota.leases_acknowledged, quota.peer_restarts, quota.announcements_received);
    return out;
}

void GatewayService::check_shutdown() {
    if (stopping_since_ == TimePoint{}) return;
    const Duration stopping = clock_.now() - stopping_since_;
    if (stopping >= kAcceptAfterStop) client_listener_->stop_accepting();
    const Duration shutdown_limit =
        std::min(config_.max_deadline(), kMaxShutdownGrace) + kAcceptAfterStop - kShutdownMargin;
    if (stopping >= shutdown_limit) engine_.abandon_all_requests();
    if ((stopping >= kAcceptAfterStop && client_listener_->client_count() == 0) || stopping >= shutdown_limit)
        reactor_.stop();
}

}    // namespace shaletray
