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
constexpr double kClientSocketFraction = 0.7;    // of the others
constexpr Duration kAcceptAfterStop = 700ms;     // after the order to stop, for clients that do not know yet
// The process is ended by force the longest deadline, counted as 3 s where it is longer, plus 0.7 s after
// that.
constexpr Duration kMaxShutdownGrace = 3s, kShutdownMargin = 100ms;
constexpr int kLeasesPerEpoch = 16;    // leases for which the store keeps rows in one hash
constexpr Duration kMinCheckInterval = 25ms,
                   kMaxCheckInterval = 250ms;    // at what changes in the ledger and the book
constexpr Duration kMaxPlanSyncWait = 1s;        // for the board, at a start
// Of the second address. With the listener they fit into what is kept back.
constexpr std::size_t kAdminConnections = 16;
constexpr int kAdminBacklog = 64;
constexpr Duration kAdminCallTimeout = 5s;      // for a whole call
constexpr double kIdleTimeoutFraction = 0.6;    // of the time after which servers close a connection

std::size_t socket_share(const GatewayConfig& config, double share) {
    return static_cast<std::size_t>(static_cast<double>(config.max_sockets - kReservedDescriptors) * share);
}

// Where a counter carries the shares, or plans change in service, the ring of datagrams does not.
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
                                                const decision::Settings& s, TimePoint now) {
    limits::QuotaTableSettings l;
    l.own_index = s.me;
    l.gateway_count = s.gateways;
    l.plans = s.plans;
    l.max_request_units = s.most_units;
    // Microseconds of Unix time: larger at each start, unless the machine's clock was set back.
    l.incarnation = static_cast<std::uint64_t>(std::max<std::int64_t>(1, now.time_since_epoch().count()));
    if (!settings.counter) {
        // Nobody is ever heard: each gateway has its even part, and stands in for none.
        l.isolated_quota_share = 0.0;
        l.reserve_fraction = 0.0;
        return l;
    }
    const settings::CounterSettings& c = *settings.counter;
    l.lease_duration = c.lease_duration;
    l.reserve_fraction = c.reserve;
    l.isolated_quota_share = c.isolated_share;
    l.isolation_timeout = c.isolation_timeout;
    l.demand_window = c.demand_window;
    l.max_customers = c.max_customers;
    return l;
}

shared_counter::StoreExchangeSettings store_exchange_settings(const settings::CounterSettings& c,
                                                              const decision::Settings& s,
                                                              std::uint64_t seed) {
    shared_counter::StoreExchangeSettings e;
    for (const settings::StoreSettings& store : c.stores) {
        shared_counter::StoreSessionSettings one;
        one.address = store.address;
        one.username = store.username;
        one.password = store.password;
        one.database = store.database;
        one.key_prefix = c.key_prefix;
        one.own_index = s.me;
        one.gateway_count = s.gateways;
        one.timeout = c.timeout;
        one.epoch_duration = kLeasesPerEpoch * c.lease_duration;
        e.stores.push_back(one);
    }
    e.interval = c.interval;
    e.standby_interval = c.standby_interval;
    e.max_rows_per_call = c.max_rows_per_call;
    e.random_seed = seed ^ static_cast<std::uint64_t>(s.me);
    return e;
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
    // A process that serves here now lets go once this one listens, so that nobody is turned away in between.
    const Poco::Net::ServerSocket socket = ClientListener::listen(config_.listen_address);
    const std::string place = handover::socket_path_for(config_.listen_address);
    const std::string inherited = handover::request_predecessor_state(place);
    connection_budget_ =
        std::make_unique<ConnectionBudget>(socket_share(config_, 1.0 - kClientSocketFraction));
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
        counters_, reactor_, socket, socket_share(config_, kClientSocketFraction),
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
    if (!inherited.empty()) import_state(inherited);
    if (place.empty()) return;
    try {
        handover_server_ = std::make_unique<handover::HandoverServer>(
            reactor_, place, [this] { release_listeners(); }, [this] { return export_state(); },
            [this] { resume_service(); });
    } catch (const std::exception& error) {
        log(LogLevel::Info, Event::HandoverUnavailable, {log_field("why", error.what())});
    }
}

// ---- a new process of the same gateway ----

void GatewayService::import_state(const std::string& text) {
    try {
        const handover::HandoverState h = handover::parse_state(text);
        hosts_.restore_ejected(h.ejected_hosts);
        if (h.is_draining) client_listener_->set_draining(true);
        if (!engine_.import_state(h.module_state)) return;    // which was logged
        log(LogLevel::Info, Event::HandoverImported,
            {log_field("bytes", text.size()), log_field("out", h.ejected_hosts.size())});
    } catch (const std::invalid_argument& error) {
        log(LogLevel::Warning, Event::HandoverMalformed, {log_field("why", error.what())});
    }
}

// The successor listens by now: what waits here is taken, and all that come later are its clients.
void GatewayService::release_listeners() {
    client_listener_->stop_accepting();
    start_shutdown();
}

// The successor is gone, and nothing was handed over: this process is the gateway again.
void GatewayService::resume_service() {
    if (stop_logged_) return;
    try {
        client_listener_->resume(ClientListener::listen(config_.listen_address));
        stopping_since_ = TimePoint{};
        log(LogLevel::Warning, Event::HandoverUnavailable,
            {log_field("why", "the successor ended before it took over")});
    } catch (const Poco::Exception& error) {
        // It ends in order then, as it would have.
        log(LogLevel::Error, Event::HandoverUnavailable, {log_field("why", error.displayText())});
    }
}

// Whatever two processes must not both hold is given up here: shares, the peers' address, the operators'
// path.
std::string GatewayService::export_state() {
    handover::HandoverState h;
    h.is_draining = client_listener_->is_draining();
    h.ejected_hosts = hosts_.ejected_hosts();
    reactor_.cancel_timer(changes_timer_);
    shared_counter_.reset();
    control_server_.reset();
    peer_socket_->close();
    h.module_state = engine_.export_state();
    std::string text = handover::serialize_state(h);
    log(LogLevel::Info, Event::HandoverExported, {log_field("bytes", text.size())});
    return text;
}

GatewayService::~GatewayService() { reactor_.cancel_timer(changes_timer_); }

// A gateway that was away may hold an old plan book: it waits a moment for the board, and then serves by what
// it has.
bool GatewayService::is_list_received() const {
    return list_received_ && (!change_replicator_ || change_replicator_->is_current() ||
                              clock_.now() - started_at_ >= kMaxPlanSyncWait);
}

// ---- what operators ask over the second address ----

bool GatewayService::is_ready() const {
    return is_list_received() && stopping_since_ == TimePoint{} && !client_listener_->is_draining();
}

std::string GatewayService::metrics_text() const {
    return operations::format_metrics(
        counters_, {engine_.unanswered_requests() + counters_.open_streamed_answers, hosts_.listed_count(),
                    engine_.avoided_hosts() + hosts_.ejected_count()});
}

bool GatewayService::eject_server(const std::string& server) {
    if (!tell(hosts_.eject_host(server, clock_.now()))) return false;
    log(LogLevel::Info, Event::ServerEjected, {log_field("server", server)});
    return true;
}

bool GatewayService::reinstate_server(const std::string& server) {
    if (!tell(hosts_.reinstate_host(server, clock_.now()))) return false;
    log(LogLevel::Info, Event::ServerReinstated, {log_field("server", server)});
    return true;
}

bool GatewayService::tell(std::optional<decision::HostList>&& change) {
    if (!change) return false;
    if (!change->hosts.empty()) engine_.on_host_list(std::move(*change));
    return true;
}

void GatewayService::set_draining(bool wanted) {
    if (wanted == client_listener_->is_draining()) return;
    client_listener_->set_draining(wanted);
    log(LogLevel::Info, wanted ? Event::DrainStarted : Event::DrainEnded);
}

// ---- plans that change in service ----

void GatewayService::start_plans(const settings::PlansSettings& s) {
    plans::PlanTableSettings b;
    b.platform_plans = config_.settings.plans;
    b.table_overrides_request = s.table_overrides_request;
    b.lead_time = s.lead_time;
    b.max_reserved_fraction = s.max_reserved_fraction;
    plans::PlanTable book(b);
    plan_table_file_ = std::make_unique<PlanTableFile>(s.table_path, book, !s.reject_damaged);
    const PlanTableFile::Loaded& loaded = plan_table_file_->load_result();
    if (loaded.is_torn) log(LogLevel::Warning, Event::PlanTableTruncated, {log_field("book", s.table_path)});
    if (!loaded.damage_reason.empty())
        log(LogLevel::Error, Event::PlanTableDamaged,
            {log_field("book", s.table_path), log_field("version", loaded.change_count),
             log_field("why", loaded.damage_reason)});
    log(LogLevel::Info, Event::PlanTableLoaded,
        {log_field("book", s.table_path), log_field("version", loaded.change_count)});
    persistent_counters_ =
        std::make_unique<usage_log::PersistentCounters>(fmt::format("{}.redeemed", s.table_path));
    std::map<std::uint64_t, double> redeemed;
    for (const auto& [version, units] : persistent_counters_->initial_values()) {
        const plans::Reservation* r = book.find_reservation(book.reservation_name(version));
        if (r == nullptr || r->ends_at <= clock_.now()) persistent_counters_->remove_key(version);
        else redeemed[version] = static_cast<double>(units) / usage_log::kMillionths;
    }
    plan_service_ = std::make_unique<plans::PlanService>(std::move(book), *quota_state_table_, clock_.now(),
                                                         std::move(redeemed));
    engine_.set_plan_service(*plan_service_);
    plan_service_->set_redemption_handler([this](std::uint64_t version, double units) {
        if (!persistent_counters_->set_value(version, usage_log::to_millionths(units)) &&
            log_limiter_.try_acquire())
            log(LogLevel::Warning, Event::RedemptionTableFull);
    });
    if (shared_counter_) {
        change_replicator_ = std::make_unique<plans::ChangeReplicator>(
            config_.settings.me, config_.settings.gateways, s.is_owner, plan_service_->plan_table(),
            [this](const plans::PlanChange& c) { commit_change(c); });
        shared_counter_->set_field_exchange(*change_replicator_);
    }
    if (!s.control_socket_path.empty()) {
        control_socket::PlanCommandHandler office(*plan_service_, s.is_owner,
                                                  [this](const plans::PlanChange& c) { commit_change(c); });
        control_server_ = std::make_unique<control_socket::ControlServer>(
            std::move(office), reactor_, s.control_socket_path, s.control_mode);
    }
    is_owner_ = s.is_owner;
    commit_configured_plans(s);
    apply_due_changes();
}

// What the operator's file says, it says at each start and reload; what it leaves out is as the book has it.
std::size_t GatewayService::commit_configured_plans(const settings::PlansSettings& s) {
    if (!is_owner_) return 0;
    std::vector<plans::ChangeBody> wanted;
    for (const settings::PlanTerms& p : s.plans)
        wanted.push_back(
            plans::DefinePlan{p.plan_name,
                              p.base_plan,
                              {p.rate, p.burst, p.rate_limit, p.rate_limit_burst, p.rate_limit_slack}});
    for (const auto& [customer, plan] : s.customers)
        wanted.push_back(plans::AssignPlan{plans::parse_customer(customer).value(), plan});
    std::size_t made = 0;
    for (const plans::ChangeBody& body : wanted) {
        if (plan_service_->plan_table().matches_latest(body)) continue;
        plans::ChangeProposal p;
        p.body = body;
        p.expected_version = plan_service_->plan_table().subject_version(plans::subject_of(body));
        p.author = "the operator's file";
        const auto outcome = plan_service_->plan_table().validate_proposal(p, clock_.now());
        if (const auto* no = std::get_if<plans::ChangeRejection>(&outcome)) {
            log(LogLevel::Error, Event::PlanChangeRejected,
                {log_field("subject", plans::subject_of(body)), log_field("why", no->text)});
            continue;
        }
        commit_change(std::get<plans::PlanChange>(outcome));
        ++made;
    }
    return made;
}

std::size_t GatewayService::apply_reload(const settings::OperatorSettings& changed) {
    return plan_service_ && changed.plans ? commit_configured_plans(*changed.plans) : 0;
}

// An entry of the book, made here or heard of: kept first, then it counts.
void GatewayService::commit_change(const plans::PlanChange& change) {
    plans::PlanTable::validate_next(plan_service_->plan_table(), change);
    plan_table_file_->append_change(change);
    plan_service_->apply_change(change, clock_.now());
    log(LogLevel::Info, Event::PlansChanged,
        {log_field("version", change.version), log_field("subject", plans::subject_of(change.body)),
         log_field("author", change.author), log_field("from", plans::format_time(change.effective_at))});
    apply_due_changes();
}

// Acts on what takes effect by now, and comes again when more does.
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

UsageLogRecorder::UsageLogRecorder(const settings::UsageSettings& s, int gateway_index, TimePoint now)
    : recorder_({s.journal_directory, static_cast<std::uint32_t>(gateway_index),
                 static_cast<std::uint64_t>(std::max<std::int64_t>(1, now.time_since_epoch().count())),
                 s.segment_records, s.max_segments}) {}

void UsageLogRecorder::record_admission(const AdmittedRequest& a) {
    usage_log::UsageRecord use;
    use.admitted_at = a.admitted_at;
    use.customer = a.customer;
    use.unit_millionths = usage_log::to_millionths(a.units);
    use.plan_version = static_cast<std::uint32_t>(a.plan_version);
    use.plan_index = static_cast<std::uint16_t>(a.plan_index);
    use.class_index = static_cast<std::uint16_t>(a.class_index);
    use.reservation_version = a.reservation_version;
    if (!recorder_.append(use) && log_limiter_.try_acquire())
        log(LogLevel::Error, Event::UsageRecordsLost, {log_field("why", recorder_.last_error())});
}

void GatewayService::run(std::function<void()> look) {
    reactor_.set_pre_poll_task([this, look = std::move(look)](bool sockets) {
        // Discovery may be among them, and then comes before all others. A turn without sockets has nothing
        // of it.
        if (sockets) discovery_watch_->read_available();
        look();
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
    const bool terms = apply_plan_terms(changed);
    config_.present_fields = changed.present_fields;
    if (changed.discovery_address == config_.discovery_address) return terms;
    log(LogLevel::Info, Event::DiscoveryAddressChanged,
        {log_field("from", config_.discovery_address), log_field("to", changed.discovery_address)});
    config_.discovery_address = changed.discovery_address;
    discovery_watch_->set_address(changed.discovery_address);
    ++counters_.reloads;
    return true;
}

// Requests under way keep their class, whatever the file says of it now.
bool GatewayService::apply_plan_terms(const GatewayConfig& changed) {
    decision::Settings& now = config_.settings;
    const decision::Settings& next = changed.settings;
    decision::RequestLimits& limits = now;
    if (now.classes == next.classes && limits == next && config_.streams_by_class == changed.streams_by_class)
        return false;
    config_.engine_class_indexes = engine_.apply_settings(next);
    config_.streams_by_class = changed.streams_by_class;
    now.classes = next.classes;
    limits = next;
    std::string names;
    for (const decision::ClassSettings& c : now.classes) names += (names.empty() ? "" : ",") + c.name;
    log(LogLevel::Info, Event::PlanTermsChanged,
        {log_field("classes", names), log_field("attempts", now.send_cap)});
    return true;
}

std::string GatewayService::counters_text() const {
    std::string out = counters_.to_text();
    if (usage_log_recorder_) {
        const usage_log::WriterStatistics& u = usage_log_recorder_->statistics();
        out += fmt::format("use: recorded={} unrecorded={} segments={}\n", u.records, u.unrecorded_requests,
                           u.segments);
    }
    if (plan_service_) {
        const plans::PlanServiceStatistics d = plan_service_->statistics(clock_.now());
        out += fmt::format(
            "plans: version={} changes={} late={} latest_us={} behind_us={} reservations_open={} redeemed={} "
            "not_redeemed={} asked={}\n",
            plan_service_->plan_table().version(), d.applied_changes, d.late_changes, d.max_lateness.count(),
            d.max_delay.count(), d.open_reservations, d.redemptions, d.failed_redemptions,
            control_server_ ? control_server_->commands_received() : 0);
    }
    if (change_replicator_) {
        const plans::ReplicationStatistics p = change_replicator_->statistics();
        out += fmt::format("spread: put={} heard={} foreign={} bad_values={} behind={}\n", p.entries_written,
                           p.entries_received, p.foreign_entries, p.bad_values, p.gateways_behind);
    }
    if (!shared_counter_) return out;
    const shared_counter::SharedCounterStatistics& c = shared_counter_->statistics();
    const limits::QuotaTableStatistics l = quota_state_table_->statistics(clock_.now());
    out += fmt::format(
        "counter: up={} of={} calls={} rows_written={} rows_read={} late={} errors={} bad_values={} "
        "connects={} "
        "lost={} replaced={}\n",
        c.stores_up, c.stores, c.calls, c.rows_written, c.rows_read, c.late_answers, c.error_answers,
        c.bad_values, c.connects, c.connections_lost, c.stores_replaced);
    out += fmt::format(
        "ledger: customers={} live={} alone={} untracked={} rows_heard={} rows_ignored={} leases_ended={} "
        "reclaimed={} acknowledged={} lives_seen={} news={}\n",
        l.tracked_customers, l.exchanging_customers, l.isolated_customers, l.untracked_customers,
        l.rows_received, l.rows_ignored, l.leases_expired, l.leases_reclaimed, l.leases_acknowledged,
        l.peer_restarts, l.announcements_received);
    return out;
}

void GatewayService::check_shutdown() {
    if (stopping_since_ == TimePoint{}) return;
    const Duration stopping = clock_.now() - stopping_since_;
    if (stopping >= kAcceptAfterStop) client_listener_->stop_accepting();
    const Duration longest =
        std::min(config_.max_deadline(), kMaxShutdownGrace) + kAcceptAfterStop - kShutdownMargin;
    if (stopping >= longest) engine_.abandon_all_requests();
    if ((stopping >= kAcceptAfterStop && client_listener_->client_count() == 0) || stopping >= longest)
        reactor_.stop();
}

}    // namespace shaletray
