#include "simulator/world.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <random>
#include <unordered_map>
#include <variant>

#include "balancer/shared_counter/store_exchange.h"
#include "data_plane/engine/engine.h"
#include "data_plane/plans/change_replicator.h"
#include "simulator/board.h"
#include "simulator/clients.h"
#include "simulator/kernel.h"
#include "simulator/measure.h"
#include "simulator/server.h"

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;
using decision::CustomerId;
using decision::HostId;
using decision::Outcome;
using decision::RequestId;

const TimePoint kStart = TimePoint{} + 1'700'000'000s;
constexpr Duration kResponseSlack = 8ms;
constexpr Duration kCrashDetectionDelay = 3s;       // until frontends detect that a gateway has stopped
constexpr Duration kStartDetectionDelay = 200ms;    // until frontends detect that a gateway has started
constexpr Duration kHealthCheckTimeout = 500ms;     // for the reply to a health check
constexpr Duration kIdleConnectionTimeout = 9s;     // of a gateway's connections to servers
constexpr Duration kMinPollInterval = 25ms,
                   kMaxPollInterval = 250ms;    // of the shared counter, quota state and plan service
constexpr Duration kPlanLeadTime = 2s;          // from a plan change to its effect

// ---- messages ----

struct RequestMessage {
    std::uint64_t request;    // number given by the frontend
    int attempt;
    CustomerId customer;
    int class_index, plan_index;
    double units;
    Duration time_budget;
};
struct ResponseMessage {
    std::uint64_t request;
    RequestEnd end;
    Duration retry_after;
};
struct AbandonMessage {
    std::uint64_t request;
};
struct AttemptMessage {
    std::uint32_t request;
    int attempt_number, class_index;
    bool new_connection;
};
struct CancelMessage {
    std::uint32_t request;
    int attempt_number;
};
struct AttemptEndedMessage {
    std::uint32_t request;
    int attempt_number;
    Outcome outcome;
    EmulatedServer::ReportedLoad load;
};
struct HealthCheckMessage {};
struct HealthReplyMessage {
    HostId host;
    bool is_up;
};
struct PeerMessage {
    std::vector<std::uint8_t> bytes;
};
struct StoreMessage {    // RESP bytes to and from the store
    std::string bytes;
};
struct WakeupMessage {    // to the sender itself, which defines wakeup_kind
    std::uint64_t wakeup_kind = 0;
};
struct FaultMessage {
    const Fault* fault;
    bool is_start;
};
struct PlanChangeMessage {    // to the gateway that accepts plan changes
    std::size_t change_index;
};
struct GatewayStateMessage {    // to a frontend
    int gateway_index;
    bool is_alive;
};
struct HostListMessage {
    std::shared_ptr<const decision::HostList> list;
};
using Message =
    std::variant<WakeupMessage, RequestMessage, ResponseMessage, AbandonMessage, AttemptMessage,
                 CancelMessage, AttemptEndedMessage, HealthCheckMessage, HealthReplyMessage, PeerMessage,
                 StoreMessage, FaultMessage, PlanChangeMessage, GatewayStateMessage, HostListMessage>;
using SimulationKernel = Kernel<Message>;
using Context = SimulationKernel::Context;

// The scenario after its draws, and the entity ids of its gateways, servers, frontends and store.
struct SimulationLayout {
    Scenario scenario;
    std::uint64_t traced_request = 0;
    EntityId gateway_entity(int i) const { return static_cast<EntityId>(i); }
    EntityId server_entity(int i) const { return static_cast<EntityId>(scenario.gateway_count + i); }
    EntityId frontend_entity(int i) const {
        return static_cast<EntityId>(scenario.gateway_count + scenario.server_count + i);
    }
    EntityId store_entity() const {
        return static_cast<EntityId>(scenario.gateway_count + scenario.server_count +
                                     scenario.frontend_count);
    }
    int server_index_of(HostId host) const { return static_cast<int>(host) - 1; }
    std::vector<double> cumulative_shares;    // result of customer_activity()
};

template <class Random>
Duration draw_delay(const Scenario& s, Random& random) {
    return s.network_delay + Duration(static_cast<std::int64_t>(
                                 random() % static_cast<std::uint64_t>(s.network_delay.count() + 1)));
}

// Records an event if `request` is the traced request.
template <class What>
void trace_request(const SimulationLayout& layout, RunStatistics& to, std::uint64_t request, TimePoint now,
                   const What& what) {
    if (layout.traced_request != 0 && request == layout.traced_request)
        to.request_trace.emplace_back(secs(now - kStart), what());
}

// ---- gateways ----

class GatewayEntity : public SimulationKernel::Entity,
                      public AttemptSender,
                      public PeerMessenger,
                      public HostListSource,
                      public Clock,
                      public UsageRecorder {
public:
    GatewayEntity(const SimulationLayout& layout, int self_index)
        : layout_(layout),
          gateway_index_(self_index),
          random_(mix_hash(layout.scenario.seed, static_cast<std::uint64_t>(self_index) + 1'000)) {
        host_list_ = all_servers(layout_.scenario);
        const auto seconds = static_cast<std::size_t>(std::ceil(secs(layout_.scenario.duration))) + 4;
        statistics.peer_messages_by_second.resize(seconds);
        statistics.admitted_units_by_second.resize(seconds);
        if (self_index == 0) return;
    }
    void handle_message(Message&& message, Context& context) override {
        context_ = &context;
        current_time_ = context.current_time();
        std::visit([this](auto&& m) { handle(std::forward<decltype(m)>(m)); }, std::move(message));
        if (!process_state_) return;
        process_state_->timers.run_due(current_time_);
        process_state_->finished_requests.clear();
        if (const auto next = process_state_->timers.next_deadline();
            next && (!next_wakeup_ || *next < *next_wakeup_)) {
            next_wakeup_ = *next;
            context.schedule_self(*next, WakeupMessage{});
        }
    }
    // Collects the counters after the run.
    void finish_run() {
        if (process_state_) add_counters();
    }
    std::vector<AdmittedRequestUnits> admitted_requests;    // of customers with a hard limit
    std::vector<RateLimitTerms> terms_changes;              // made at this gateway
    RunStatistics statistics;

private:
    struct ProcessState;
    struct PendingRequest : shaletray::DownstreamConnection {
        GatewayEntity* owner = nullptr;
        EntityId frontend = 0;
        std::uint64_t request = 0;
        RequestId request_id{};
        TimePoint received_at{};
        Duration time_budget{0};
        void on_answer(Payload&&) override { owner->finish_request(*this, RequestEnd::Served, {}); }
        void on_rejected(Duration after, RejectionReason) override {
            owner->finish_request(*this, RequestEnd::Rejected, after);
        }
        void on_failed(FailureReason, Payload&&) override {
            owner->finish_request(*this, RequestEnd::Failed, {});
        }
    };
    struct RequestRecord {    // state of a request, for the rules
        std::uint64_t request = 0;
        bool may_have_run = false, attempt_sent = false;
    };
    struct ActiveAttempt {
        HostId host;
        bool reused_connection = false;
    };
    // State that is lost when the process ends.
    struct ProcessState {
        Timers timers;
        Counters counters;
        std::unique_ptr<limits::QuotaStateTable> quota_state_table;
        std::unique_ptr<plans::PlanService> plan_service;
        std::unique_ptr<plans::ChangeReplicator> change_replicator;
        shared_counter::SharedCounterStatistics counter_statistics;
        std::unique_ptr<shared_counter::StoreExchange> store_exchange;
        std::unique_ptr<Engine> engine;
        std::unordered_map<std::uint64_t, std::unique_ptr<PendingRequest>> open_requests;
        std::vector<std::unique_ptr<PendingRequest>> finished_requests;
        std::unordered_map<std::uint64_t, HostId> host_by_attempt;
        std::unordered_map<RequestId, RequestRecord> request_records;
        std::map<HostId, std::vector<TimePoint>> idle_connections;    // times since which they are idle
        std::map<HostId, Timers::Id> health_check_timers;
    };

    void start_process() {
        process_state_ = std::make_unique<ProcessState>();
        ProcessState& process = *process_state_;
        const decision::Settings settings = gateway_settings(layout_.scenario, gateway_index_);
        process.engine = std::make_unique<Engine>(
            settings,
            mix_hash(layout_.scenario.seed,
                     static_cast<std::uint64_t>(gateway_index_) + 7919 * incarnation_++),
            *this, process.timers, process.counters);
        process.engine->connect(*this, *this, *this);
        process.engine->set_usage_recorder(*this);
        if (layout_.scenario.quota_sharing == Scenario::QuotaSharing::SharedCounter)
            use_shared_counter(settings);
        process.engine->on_host_list(decision::HostList(host_list_));
    }
    void use_shared_counter(const decision::Settings& settings) {
        ProcessState& process = *process_state_;
        limits::QuotaTableSettings table_settings;
        table_settings.own_index = gateway_index_;
        table_settings.gateway_count = layout_.scenario.gateway_count;
        table_settings.plans = settings.plans;
        table_settings.max_request_units = settings.most_units;
        table_settings.incarnation = static_cast<std::uint64_t>(current_time_.time_since_epoch().count());
        process.quota_state_table = std::make_unique<limits::QuotaStateTable>(table_settings, current_time_);
        process.engine->set_quota_state_table(*process.quota_state_table);
        shared_counter::StoreSessionSettings session_settings;
        session_settings.key_prefix = "lab";
        session_settings.own_index = gateway_index_;
        session_settings.gateway_count = layout_.scenario.gateway_count;
        shared_counter::StoreExchangeSettings exchange_settings;
        exchange_settings.stores = {session_settings};
        exchange_settings.random_seed =
            mix_hash(layout_.scenario.seed, static_cast<std::uint64_t>(gateway_index_) + 40'000);
        process.store_exchange = std::make_unique<shared_counter::StoreExchange>(
            exchange_settings, *process.quota_state_table, process.counter_statistics);
        if (!layout_.scenario.plan_changes.empty()) {
            plans::PlanTableSettings plan_settings;
            plan_settings.platform_plans = settings.plans;
            plan_settings.lead_time = kPlanLeadTime;
            process.plan_service = std::make_unique<plans::PlanService>(
                plans::PlanTable(plan_settings), *process.quota_state_table, current_time_);
            process.engine->set_plan_service(*process.plan_service);
            // The gateway that accepts changes has them on disk; the others receive them again through
            // the store.
            for (const plans::PlanChange& c : committed_changes_)
                process.plan_service->apply_change(c, current_time_);
            process.change_replicator = std::make_unique<plans::ChangeReplicator>(
                gateway_index_, layout_.scenario.gateway_count, gateway_index_ == 0,
                process.plan_service->plan_table(), [this](const plans::PlanChange& c) { commit_change(c); });
            process.store_exchange->set_field_exchange(*process.change_replicator);
        }
        poll_counter();
    }
    void commit_change(const plans::PlanChange& change) {
        committed_changes_.push_back(change);
        process_state_->plan_service->apply_change(change, current_time_);
    }
    void poll_counter() {
        ProcessState& process = *process_state_;
        process.engine->refresh_allowances();
        process.store_exchange->tick(current_time_);
        flush_counter_output();
        TimePoint due = current_time_ + kMaxPollInterval;
        if (const auto next = process.store_exchange->next_deadline()) due = std::min(due, *next);
        if (const auto next = process.quota_state_table->next_deadline()) due = std::min(due, *next);
        if (process.plan_service)
            if (const auto next = process.plan_service->next_deadline()) due = std::min(due, *next);
        process.timers.schedule_at(std::max(due, current_time_ + kMinPollInterval),
                                   [this] { poll_counter(); });
    }
    void flush_counter_output() {
        shared_counter::StoreSession& session = process_state_->store_exchange->session_at(0);
        if (session.close_reason()) session.on_disconnected(current_time_);
        if (session.wants_connection(current_time_)) {
            session.on_dialling(current_time_);
            session.on_connected(current_time_);
        }
        std::string bytes = session.take_output();
        if (bytes.empty()) return;
        record_peer_message();
        context_->send_message(layout_.store_entity(), draw_delay(layout_.scenario, random_),
                               StoreMessage{std::move(bytes)});
    }
    void record_peer_message() {
        ++statistics.messages;
        ++statistics.peer_messages_by_second[current_second()];
    }
    std::size_t current_second() const {
        return std::min(static_cast<std::size_t>(std::max(0.0, secs(current_time_ - kStart))),
                        statistics.peer_messages_by_second.size() - 1);
    }
    void add_counters() {
        statistics.attempts += process_state_->counters.attempts_sent;
        statistics.cancelled_attempts += process_state_->counters.attempts_cancelled;
    }
    // The process is killed: its open requests and attempts end at both sides.
    void crash_process() {
        if (!process_state_) return;
        add_counters();
        std::vector<std::uint64_t> numbers;
        for (const auto& [request, pending] : process_state_->open_requests) numbers.push_back(request);
        std::sort(numbers.begin(), numbers.end());
        for (const std::uint64_t n : numbers)
            context_->send_message(process_state_->open_requests.at(n)->frontend,
                                   draw_delay(layout_.scenario, random_),
                                   ResponseMessage{n, RequestEnd::Failed, {}});
        numbers.clear();
        for (const auto& [number, host] : process_state_->host_by_attempt) numbers.push_back(number);
        std::sort(numbers.begin(), numbers.end());
        for (const std::uint64_t n : numbers)
            context_->send_message(
                layout_.server_entity(layout_.server_index_of(process_state_->host_by_attempt.at(n))),
                draw_delay(layout_.scenario, random_),
                CancelMessage{static_cast<std::uint32_t>(n >> 8), static_cast<int>(n & 255)});
        process_state_.reset();
        next_wakeup_.reset();
    }

    // Clock
    TimePoint now() const override { return current_time_; }

    // Incoming messages.
    void handle(WakeupMessage&&) {
        if (next_wakeup_ && *next_wakeup_ <= current_time_) next_wakeup_.reset();
    }
    void handle(RequestMessage&& request_message) {
        const EntityId frontend_id = context_->sender_id();
        if (!process_state_) {    // its connection is refused
            context_->send_message(frontend_id, draw_delay(layout_.scenario, random_),
                                   ResponseMessage{request_message.request, RequestEnd::Failed, {}});
            return;
        }
        trace_request(layout_, statistics, request_message.request, current_time_, [&] {
            return fmt::format("gateway {} takes try {} of {} units, {:.3f} s left", gateway_index_,
                               request_message.attempt, request_message.units,
                               secs(request_message.time_budget));
        });
        auto pending = std::make_unique<PendingRequest>();
        PendingRequest& p = *pending;
        p.owner = this;
        p.frontend = frontend_id;
        p.request = request_message.request;
        p.received_at = current_time_;
        p.time_budget = request_message.time_budget;
        process_state_->open_requests[request_message.request] = std::move(pending);
        IncomingRequest a;
        a.customer = request_message.customer;
        a.class_index = request_message.class_index;
        a.plan_index = request_message.plan_index;
        a.units = request_message.units;
        a.time_budget = request_message.time_budget;
        a.gateway_set_size = gateway_set_size(layout_.scenario);
        a.first_gateway_index = first_gateway_of(layout_.scenario, request_message.customer);
        // The engine passes the head on unchanged: the class index for the server, then the request number
        // for the rules.
        a.payload.head = fmt::format("{}{:x}", static_cast<char>('0' + request_message.class_index),
                                     request_message.request);
        const RequestId id = process_state_->engine->submit(p, std::move(a));
        if (const auto it = process_state_->open_requests.find(request_message.request);
            it != process_state_->open_requests.end())
            it->second->request_id = id;
    }
    void handle(AbandonMessage&& abandon_message) {
        if (!process_state_) return;
        const auto it = process_state_->open_requests.find(abandon_message.request);
        if (it == process_state_->open_requests.end()) return;
        process_state_->engine->cancel(it->second->request_id);
        process_state_->request_records.erase(it->second->request_id);
        process_state_->finished_requests.push_back(std::move(it->second));
        process_state_->open_requests.erase(it);
    }
    void handle(AttemptEndedMessage&& attempt_ended) {
        if (!process_state_) return;
        const AttemptId id{RequestId{attempt_ended.request}, attempt_ended.attempt_number};
        const auto at = process_state_->host_by_attempt.find(attempt_key(id));
        if (at == process_state_->host_by_attempt.end())
            return;    // cancelled meanwhile, or sent before a restart
        const HostId host = at->second;
        process_state_->host_by_attempt.erase(at);
        if (attempt_ended.outcome == Outcome::Error || attempt_ended.outcome == Outcome::Reset) {
            if (const auto record = process_state_->request_records.find(id.request);
                record != process_state_->request_records.end())
                record->second.may_have_run = true;
        }
        if (attempt_ended.outcome == Outcome::Reset || attempt_ended.outcome == Outcome::ConnectFailed)
            process_state_->idle_connections[host].clear();
        else process_state_->idle_connections[host].push_back(current_time_);
        if (const auto record = process_state_->request_records.find(id.request);
            record != process_state_->request_records.end())
            trace_request(layout_, statistics, record->second.request, current_time_, [&] {
                return fmt::format("gateway {} receives the result of attempt {} at server {}: outcome {}",
                                   gateway_index_, attempt_ended.attempt_number,
                                   layout_.server_index_of(host), static_cast<int>(attempt_ended.outcome));
            });
        process_state_->engine->on_attempt_ended(
            id, attempt_ended.outcome,
            {{"outstanding", attempt_ended.load.outstanding}, {"backlog", attempt_ended.load.backlog}},
            Payload{});
    }
    void handle(HealthReplyMessage&& reply) {
        if (!process_state_) return;
        const auto it = process_state_->health_check_timers.find(reply.host);
        if (it == process_state_->health_check_timers.end()) return;
        process_state_->timers.cancel(it->second);
        process_state_->health_check_timers.erase(it);
        process_state_->engine->on_health_check_ended(reply.host,
                                                      reply.is_up ? Outcome::Ok : Outcome::ConnectFailed,
                                                      2 * layout_.scenario.network_delay);
    }
    void handle(PeerMessage&& peer_message) {
        if (process_state_)
            process_state_->engine->on_peer_message(decision::PeerId{static_cast<int>(context_->sender_id())},
                                                    std::move(peer_message.bytes));
    }
    void handle(StoreMessage&& store_message) {
        if (!process_state_ || !process_state_->store_exchange) return;
        process_state_->store_exchange->session_at(0).on_received(store_message.bytes, current_time_);
        flush_counter_output();
    }
    void handle(HostListMessage&& update) {
        decision::HostList list = *update.list;
        for (const decision::HostEntry& host_entry : list.hosts) {
            host_list_.hosts[static_cast<std::size_t>(layout_.server_index_of(host_entry.host))] = host_entry;
            if (host_entry.state == decision::HostState::Healthy) departed_since_.erase(host_entry.host);
            else departed_since_.emplace(host_entry.host, current_time_);
        }
        if (!process_state_) {
            if (list.kind == decision::ListKind::Full) start_process();
            return;
        }
        process_state_->engine->on_host_list(std::move(list));
    }
    void handle(FaultMessage&& fault_event) {
        if (fault_event.fault->kind == Fault::Kind::PeerMessageLoss) {
            peer_message_loss_ = fault_event.is_start ? fault_event.fault->magnitude : 0.0;
        } else if (fault_event.fault->kind == Fault::Kind::GatewayCrash) {
            if (fault_event.is_start) crash_process();
            else if (!process_state_) start_process();
        }
    }
    // Changes a plan at the gateway that accepts plan changes.
    void handle(PlanChangeMessage&& change_message) {
        if (!process_state_ || !process_state_->plan_service) return;
        const PlanChange& wanted = layout_.scenario.plan_changes[change_message.change_index];
        const decision::PlanSettings& plan =
            layout_.scenario.plans[static_cast<std::size_t>(wanted.plan_index)];
        plans::ChangeProposal proposal;
        proposal.body = plans::DefinePlan{
            plan.name,
            plan.name,
            {wanted.rate, wanted.burst, wanted.rate_limit, wanted.rate_limit_burst, wanted.rate_limit_slack}};
        proposal.expected_version =
            process_state_->plan_service->plan_table().subject_version(plans::subject_of(proposal.body));
        proposal.author = "the scenario";
        const auto outcome =
            process_state_->plan_service->plan_table().validate_proposal(proposal, current_time_);
        if (const auto* rejection = std::get_if<plans::ChangeRejection>(&outcome))
            throw std::invalid_argument(
                fmt::format("scenario: changes[{}]: {}", change_message.change_index, rejection->text));
        const auto& change = std::get<plans::PlanChange>(outcome);
        commit_change(change);
        terms_changes.push_back({change.effective_at, wanted.plan_index, wanted.rate_limit,
                                 wanted.rate_limit_burst, wanted.rate_limit_slack});
    }
    template <class Other>
    void handle(Other&&) {}

    // Outgoing messages.
    void send_attempt(AttemptId attempt, HostId host, const Payload& request, Duration) override {
        const int request_class = request.head.at(0) - '0';
        const int server = layout_.server_index_of(host);
        RequestRecord& record = process_state_->request_records[attempt.request];
        if (record.request == 0) record.request = std::stoull(request.head.substr(1), nullptr, 16);
        record.attempt_sent = true;
        const auto describe = [&] {
            return fmt::format("{:.6f}: gateway {} sends attempt {} of request {:x} ({}) to server {}",
                               secs(current_time_ - kStart), gateway_index_, attempt.attempt_number,
                               record.request,
                               simulated_classes()[static_cast<std::size_t>(request_class)].name, server);
        };
        trace_request(layout_, statistics, record.request, current_time_, [&] {
            return fmt::format("gateway {} sends attempt {} to server {}", gateway_index_,
                               attempt.attempt_number, server);
        });
        if (request_class == ClaimSubmit && attempt.attempt_number > 0)
            record_rule_check(statistics.rules["unasked repeats"], !record.may_have_run, describe,
                              record.request);
        if (const auto it = departed_since_.find(host); it != departed_since_.end())
            record_rule_check(statistics.rules["drains"], current_time_ - it->second <= 250ms, describe,
                              record.request);
        process_state_->host_by_attempt[attempt_key(attempt)] = host;
        // Reuses the most recently idle connection, or opens one, which takes a round trip.
        auto& idle = process_state_->idle_connections[host];
        while (!idle.empty() && current_time_ - idle.front() > kIdleConnectionTimeout)
            idle.erase(idle.begin());
        const bool is_new_connection = idle.empty();
        if (!is_new_connection) idle.pop_back();
        context_->send_message(layout_.server_entity(server),
                               draw_delay(layout_.scenario, random_) +
                                   (is_new_connection ? 2 * layout_.scenario.network_delay : Duration(0)),
                               AttemptMessage{static_cast<std::uint32_t>(attempt.request),
                                              attempt.attempt_number, request_class, is_new_connection});
    }
    void cancel_attempt(AttemptId attempt) override {
        const auto record = process_state_->request_records.find(attempt.request);
        if (record != process_state_->request_records.end()) {
            record->second.may_have_run = true;
            trace_request(layout_, statistics, record->second.request, current_time_, [&] {
                return fmt::format("gateway {} cancels attempt {}", gateway_index_, attempt.attempt_number);
            });
        }
        const auto it = process_state_->host_by_attempt.find(attempt_key(attempt));
        if (it == process_state_->host_by_attempt.end()) return;
        context_->send_message(
            layout_.server_entity(layout_.server_index_of(it->second)), draw_delay(layout_.scenario, random_),
            CancelMessage{static_cast<std::uint32_t>(attempt.request), attempt.attempt_number});
        process_state_->host_by_attempt.erase(it);
    }
    void check_health(HostId host) override {
        if (process_state_->health_check_timers.contains(host)) return;
        process_state_->health_check_timers[host] =
            process_state_->timers.schedule_at(current_time_ + kHealthCheckTimeout, [this, host] {
                process_state_->health_check_timers.erase(host);
                process_state_->engine->on_health_check_ended(host, Outcome::Timeout, kHealthCheckTimeout);
            });
        context_->send_message(layout_.server_entity(layout_.server_index_of(host)),
                               draw_delay(layout_.scenario, random_), HealthCheckMessage{});
    }
    void send_to_peer(decision::PeerId to, const std::vector<std::uint8_t>& bytes) override {
        record_peer_message();
        const double lost = std::max(layout_.scenario.peer_message_loss, peer_message_loss_);
        if (lost > 0.0 && std::uniform_real_distribution<>(0.0, 1.0)(random_) < lost) return;
        context_->send_message(layout_.gateway_entity(static_cast<int>(to)),
                               draw_delay(layout_.scenario, random_), PeerMessage{bytes});
    }
    void subscribe() override {}
    void record_admission(const AdmittedRequest& a) override {
        statistics.admitted_units_by_second[current_second()] += a.units;
        const auto plan =
            static_cast<std::size_t>(static_cast<std::uint64_t>(a.customer) % layout_.scenario.plans.size());
        if (layout_.scenario.plans[plan].ceiling_rate > 0.0)
            admitted_requests.push_back({current_time_, a.customer, static_cast<float>(a.units)});
    }
    void finish_request(PendingRequest& p, RequestEnd request_end, Duration after) {
        trace_request(layout_, statistics, p.request, current_time_, [&] {
            return fmt::format("gateway {} answers: {}", gateway_index_,
                               request_end == RequestEnd::Served ? "served"
                               : request_end == RequestEnd::Rejected
                                   ? fmt::format("rejected, retry after {:.3f} s", secs(after))
                                   : "failed");
        });
        const auto record = p.request_id == RequestId{} ? process_state_->request_records.end()
                                                        : process_state_->request_records.find(p.request_id);
        // A request that is rejected without any attempt must be rejected early, not when its time is nearly
        // over.
        if (request_end == RequestEnd::Rejected &&
            (record == process_state_->request_records.end() || !record->second.attempt_sent))
            record_rule_check(
                statistics.rules["held-back refusals"],
                current_time_ - p.received_at <= p.time_budget / 2 + kResponseSlack,
                [&] {
                    return fmt::format(
                        "{:.6f}: gateway {} rejects request {:x} {:.3f} s after its arrival, of a time "
                        "budget of {:.3f} s",
                        secs(current_time_ - kStart), gateway_index_, p.request,
                        secs(current_time_ - p.received_at), secs(p.time_budget));
                },
                p.request);
        if (record != process_state_->request_records.end()) process_state_->request_records.erase(record);
        context_->send_message(p.frontend, draw_delay(layout_.scenario, random_),
                               ResponseMessage{p.request, request_end, after});
        const auto it = process_state_->open_requests.find(p.request);
        process_state_->finished_requests.push_back(
            std::move(it->second));    // the object may be on the call stack
        process_state_->open_requests.erase(it);
    }
    static std::uint64_t attempt_key(AttemptId a) {
        return static_cast<std::uint64_t>(a.request) << 8 | static_cast<std::uint64_t>(a.attempt_number);
    }

    const SimulationLayout& layout_;
    int gateway_index_;
    std::mt19937_64 random_;
    TimePoint current_time_ = kStart;
    Context* context_ = nullptr;
    std::unique_ptr<ProcessState> process_state_;
    std::uint64_t incarnation_ = 0;
    std::vector<plans::PlanChange> committed_changes_;
    std::optional<TimePoint> next_wakeup_;
    decision::HostList host_list_;                  // the gateway's current list
    std::map<HostId, TimePoint> departed_since_;    // draining or gone, and when the gateway learned it
    double peer_message_loss_ = 0.0;
};

// ---- servers ----

class ServerEntity : public SimulationKernel::Entity, private ServerEnvironment {
public:
    ServerEntity(const SimulationLayout& layout, int self_index)
        : layout_(layout),
          server_index_(self_index),
          random_(mix_hash(layout.scenario.seed, static_cast<std::uint64_t>(self_index) + 6'000'000)),
          server_(layout.scenario,
                  mix_hash(layout.scenario.seed, static_cast<std::uint64_t>(self_index) + 5'000'000), kStart,
                  *this) {}

    void handle_message(Message&& message, Context& context) override {
        context_ = &context;
        if (const auto* attempt = std::get_if<AttemptMessage>(&message)) {
            if (server_.drops_request()) return;
            server_.on_request({context.sender_id(), attempt->request, attempt->attempt_number},
                               attempt->class_index, attempt->new_connection);
        } else if (const auto* cancellation = std::get_if<CancelMessage>(&message)) {
            server_.on_cancel({context.sender_id(), cancellation->request, cancellation->attempt_number});
        } else if (const auto* wakeup = std::get_if<WakeupMessage>(&message)) {
            server_.on_wakeup(wakeup->wakeup_kind);
        } else if (const auto* fault_message = std::get_if<FaultMessage>(&message)) {
            server_.apply_fault(*fault_message->fault, fault_message->is_start);
        } else if (std::get_if<HealthCheckMessage>(&message)) {
            if (!server_.is_hung())
                context.send_message(context.sender_id(), draw_delay(layout_.scenario, random_),
                                     HealthReplyMessage{host_of(server_index_), !server_.is_down()});
        }
    }
    RunStatistics& statistics() { return server_.statistics; }

private:
    TimePoint current_time() const override { return context_->current_time(); }
    void schedule_wakeup(TimePoint at, std::uint64_t number) override {
        context_->schedule_self(at, WakeupMessage{number});
    }
    void send_answer(const JobId& job, Outcome outcome) override {
        context_->send_message(
            static_cast<EntityId>(job.sender), draw_delay(layout_.scenario, random_),
            AttemptEndedMessage{job.request, job.attempt, outcome, server_.reported_load()});
    }

    const SimulationLayout& layout_;
    int server_index_;
    std::mt19937_64 random_;
    Context* context_ = nullptr;
    EmulatedServer server_;
};

// ---- frontends ----

class FrontendEntity : public SimulationKernel::Entity, private FrontendEnvironment {
public:
    FrontendEntity(const SimulationLayout& layout, int self_index)
        : layout_(layout),
          random_(mix_hash(layout.scenario.seed, static_cast<std::uint64_t>(self_index) + 8'000'000)),
          clients_(layout.scenario, self_index, layout.cumulative_shares, kStart, kResponseSlack, *this) {}
    void handle_message(Message&& message, Context& context) override {
        context_ = &context;
        if (const auto* answer = std::get_if<ResponseMessage>(&message)) {
            trace_request(layout_, clients_.statistics, answer->request, current_time(),
                          [] { return "the client has its answer"; });
            clients_.on_answer(answer->request, answer->end, answer->retry_after);
        } else if (const auto* wakeup = std::get_if<WakeupMessage>(&message)) {
            if (!has_started_) clients_.start_arrivals();
            else clients_.on_wakeup(wakeup->wakeup_kind);
            has_started_ = true;
        } else if (const auto* gateway_state = std::get_if<GatewayStateMessage>(&message)) {
            clients_.on_gateway_state(gateway_state->gateway_index, gateway_state->is_alive);
        }
    }
    Clients& clients() { return clients_; }

private:
    TimePoint current_time() const override { return context_->current_time(); }
    void schedule_wakeup(TimePoint at, std::uint64_t what) override {
        context_->schedule_self(at, WakeupMessage{what});
    }
    void send_request(const ClientRequest& a) override {
        trace_request(layout_, clients_.statistics, a.request_number, current_time(), [&] {
            return fmt::format("try {} of a request of customer {:x} goes to gateway {}", a.attempt_number,
                               static_cast<std::uint64_t>(a.customer), a.gateway_index);
        });
        context_->send_message(layout_.gateway_entity(a.gateway_index), draw_delay(layout_.scenario, random_),
                               RequestMessage{a.request_number, a.attempt_number, a.customer, a.class_index,
                                              a.plan_index, a.units, a.time_left});
    }
    void abandon_request(std::uint64_t request, int gateway_index) override {
        trace_request(layout_, clients_.statistics, request, current_time(),
                      [] { return "the client leaves"; });
        context_->send_message(layout_.gateway_entity(gateway_index), draw_delay(layout_.scenario, random_),
                               AbandonMessage{request});
    }

    const SimulationLayout& layout_;
    std::mt19937_64 random_;
    Context* context_ = nullptr;
    bool has_started_ = false;
    Clients clients_;
};

// ---- the shared counter ----

class StoreEntity : public SimulationKernel::Entity {
public:
    explicit StoreEntity(const SimulationLayout& layout)
        : layout_(layout),
          random_(mix_hash(layout.scenario.seed, 3'000'000)),
          command_reader_(static_cast<std::size_t>(layout.scenario.gateway_count)) {}
    void handle_message(Message&& message, Context& context) override {
        if (const auto* fault_message = std::get_if<FaultMessage>(&message)) {
            is_unavailable_ = fault_message->is_start;
            return;
        }
        auto* bytes = std::get_if<StoreMessage>(&message);
        if (bytes == nullptr || is_unavailable_) return;
        shared_counter::RespReader& commands = command_reader_[context.sender_id()];
        commands.feed(bytes->bytes);
        std::string replies;
        while (const auto command = commands.next_reply()) replies += store_model_.answer(*command);
        if (!replies.empty())
            context.send_message(context.sender_id(), draw_delay(layout_.scenario, random_),
                                 StoreMessage{std::move(replies)});
    }

private:
    const SimulationLayout& layout_;
    std::mt19937_64 random_;
    std::vector<shared_counter::RespReader> command_reader_;
    Board store_model_;
    bool is_unavailable_ = false;
};

// Schedules the events that do not depend on the gateways: host list changes, faults, plan changes, arrivals.
void schedule_events(SimulationKernel& kernel, const SimulationLayout& layout) {
    const Scenario& s = layout.scenario;
    std::mt19937_64 random(mix_hash(s.seed, 77));
    const auto all = std::make_shared<const decision::HostList>(all_servers(s));
    for (int g = 0; g < s.gateway_count; ++g)
        kernel.schedule_message(layout.gateway_entity(g), kStart, HostListMessage{all});
    for (const HostListChange& list_change : host_list_changes(s)) {
        auto list = std::make_shared<decision::HostList>();
        list->kind = decision::ListKind::Delta;
        list->hosts = {all->hosts[static_cast<std::size_t>(list_change.server_index)]};
        list->hosts[0].state = list_change.state;
        if (list_change.started_at >= Duration(0)) list->hosts[0].born = kStart + list_change.started_at;
        for (int g = 0; g < s.gateway_count; ++g) {
            const Duration delivered_at =
                list_change.known_at + s.list_delay +
                Duration(static_cast<std::int64_t>(random() %
                                                   static_cast<std::uint64_t>(s.list_delay.count() + 1)));
            kernel.schedule_message(layout.gateway_entity(g), kStart + delivered_at, HostListMessage{list});
        }
    }
    for (const Fault& f : s.faults) {
        const auto schedule_start_and_end = [&](EntityId to) {
            kernel.schedule_message(to, kStart + f.starts_at, FaultMessage{&f, true});
            kernel.schedule_message(to, kStart + f.starts_at + f.duration, FaultMessage{&f, false});
        };
        switch (f.kind) {
            case Fault::Kind::GatewayCrash:
                schedule_start_and_end(layout.gateway_entity(f.gateway_index));
                for (int i = 0; i < s.frontend_count; ++i) {
                    if (f.duration > kCrashDetectionDelay)
                        kernel.schedule_message(layout.frontend_entity(i),
                                                kStart + f.starts_at + kCrashDetectionDelay,
                                                GatewayStateMessage{f.gateway_index, false});
                    kernel.schedule_message(layout.frontend_entity(i),
                                            kStart + f.starts_at + f.duration + kStartDetectionDelay,
                                            GatewayStateMessage{f.gateway_index, true});
                }
                break;
            case Fault::Kind::PeerMessageLoss:
                for (int g = 0; g < s.gateway_count; ++g) schedule_start_and_end(layout.gateway_entity(g));
                break;
            case Fault::Kind::StoreOutage: schedule_start_and_end(layout.store_entity()); break;
            case Fault::Kind::DiscoveryOutage: break;    // host_list_changes() delays the changes
            default:
                for (int i = 0; i < s.server_count; ++i) {
                    if (fault_affects_server(s, f, i)) schedule_start_and_end(layout.server_entity(i));
                }
        }
    }
    for (std::size_t i = 0; i < s.plan_changes.size(); ++i)
        kernel.schedule_message(layout.gateway_entity(0), kStart + s.plan_changes[i].proposed_at,
                                PlanChangeMessage{i});
    for (int i = 0; i < s.frontend_count; ++i)
        kernel.schedule_message(layout.frontend_entity(i), kStart, WakeupMessage{0});
}

}    // namespace

RunStatistics run_scenario(const Scenario& scenario, std::size_t threads, std::uint64_t traced) {
    SimulationLayout layout;
    layout.traced_request = traced;
    scenario.validate();
    layout.scenario = scenario.with_drawn_faults();
    if (layout.scenario.plans.empty())
        layout.scenario.plans = {{"wide", 1e6, 1e6, 0, 0.0, 0.0, 0.0, 1.0, 0.0, 0.0}};
    const Scenario& s = layout.scenario;
    layout.cumulative_shares = customer_activity(s);
    SimulationKernel kernel(s.network_delay, threads);
    std::vector<GatewayEntity*> gateways;
    std::vector<ServerEntity*> servers;
    std::vector<FrontendEntity*> frontends;
    const auto add = [&](auto entity, auto& to) {
        to.push_back(entity.get());
        kernel.add_entity(std::move(entity));
    };
    for (int i = 0; i < s.gateway_count; ++i) add(std::make_unique<GatewayEntity>(layout, i), gateways);
    for (int i = 0; i < s.server_count; ++i) add(std::make_unique<ServerEntity>(layout, i), servers);
    for (int i = 0; i < s.frontend_count; ++i) add(std::make_unique<FrontendEntity>(layout, i), frontends);
    kernel.add_entity(std::make_unique<StoreEntity>(layout));
    schedule_events(kernel, layout);
    kernel.run_until(kStart + s.duration + s.request_timeout + 1s);

    RunStatistics figures;
    register_rules(figures);
    std::vector<AdmittedRequestUnits> sent;
    std::vector<RateLimitTerms> changes;
    for (GatewayEntity* g : gateways) {
        g->finish_run();
        merge_statistics(figures, g->statistics);
        sent.insert(sent.end(), g->admitted_requests.begin(), g->admitted_requests.end());
        changes.insert(changes.end(), g->terms_changes.begin(), g->terms_changes.end());
    }
    for (ServerEntity* server : servers) merge_statistics(figures, server->statistics());
    FineLatencyHistogram latency = make_latency_histogram();
    for (FrontendEntity* f : frontends) {
        f->clients().finish_run();
        latency += f->clients().latency_histogram();
        f->clients().statistics.distinct_customers = f->clients().distinct_customers();
        merge_statistics(figures, f->clients().statistics);
    }
    check_rate_limits(s, std::move(sent), changes, kStart, Duration(0), figures);
    std::stable_sort(figures.request_trace.begin(), figures.request_trace.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    figures.p50_ms = latency_quantile_ms(latency, 0.5);
    figures.p99_ms = latency_quantile_ms(latency, 0.99);
    figures.p999_ms = latency_quantile_ms(latency, 0.999);
    figures.events = kernel.event_count();
    for (const std::uint64_t v : {figures.served, figures.rejected, figures.failed, figures.attempts,
                                  figures.work_us, figures.messages})
        figures.digest = mix_hash(figures.digest, v);
    return figures;
}

}    // namespace shaletray::testbed
