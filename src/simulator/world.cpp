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
constexpr Duration kAnswerSlack = 8ms;
constexpr Duration kCrashDetectionDelay = 3s;       // until fronts know that a gateway ended
constexpr Duration kStartDetectionDelay = 200ms;    // from a gateway's start until fronts know of it
constexpr Duration kHealthCheckTimeout = 500ms;     // for a probe's answer
constexpr Duration kIdleConnectionTimeout = 9s;     // after which a gateway closes a connection to a server
constexpr Duration kMinPollInterval = 25ms,
                   kMaxPollInterval = 250ms;    // at the counter, the ledger and the book
constexpr Duration kPlanLeadTime = 2s;          // from a plan's change to its effect

// ---- messages ----

struct RequestMessage {
    std::uint64_t request;    // of the front
    int attempt;
    CustomerId customer;
    int class_index, plan_index;
    double units;
    Duration time_budget;
};
struct AnswerMessage {
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
struct StoreMessage {    // to the store, and from it
    std::string bytes;
};
struct WakeupMessage {    // to oneself: what is meant by it is one's own matter
    std::uint64_t wakeup_kind = 0;
};
struct FaultMessage {
    const Fault* fault;
    bool is_start;
};
struct PlanChangeMessage {    // the keeper makes it
    std::size_t change_index;
};
struct GatewayStateMessage {    // by a front
    int gateway_index;
    bool is_alive;
};
struct HostListMessage {
    std::shared_ptr<const decision::HostList> list;
};
using Message =
    std::variant<WakeupMessage, RequestMessage, AnswerMessage, AbandonMessage, AttemptMessage, CancelMessage,
                 AttemptEndedMessage, HealthCheckMessage, HealthReplyMessage, PeerMessage, StoreMessage,
                 FaultMessage, PlanChangeMessage, GatewayStateMessage, HostListMessage>;
using SimulationKernel = Kernel<Message>;
using Context = SimulationKernel::Context;

struct WorldLayout {
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
    std::vector<double> cumulative_shares;    // of the customers, added up
};

template <class Random>
Duration draw_delay(const Scenario& s, Random& random) {
    return s.network_delay + Duration(static_cast<std::int64_t>(
                                 random() % static_cast<std::uint64_t>(s.network_delay.count() + 1)));
}

// Where an entity writes down the course of the one request that is traced.
template <class What>
void trace_request(const WorldLayout& l, RunStatistics& to, std::uint64_t request, TimePoint now,
                   const What& what) {
    if (l.traced_request != 0 && request == l.traced_request)
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
    GatewayEntity(const WorldLayout& layout, int me)
        : layout_(layout),
          gateway_index_(me),
          random_(mix_hash(layout.scenario.seed, static_cast<std::uint64_t>(me) + 1'000)) {
        host_list_ = all_servers(layout_.scenario);
        const auto seconds = static_cast<std::size_t>(std::ceil(secs(layout_.scenario.duration))) + 4;
        statistics.peer_messages_by_second.resize(seconds);
        statistics.admitted_units_by_second.resize(seconds);
        if (me == 0) return;
    }
    void handle_message(Message&& message, Context& context) override {
        context_ = &context;
        current_time_ = context.current_time();
        std::visit([this](auto&& m) { take(std::forward<decltype(m)>(m)); }, std::move(message));
        if (!process_state_) return;
        process_state_->timers.run_due(current_time_);
        process_state_->finished_requests.clear();
        if (const auto next = process_state_->timers.next_deadline();
            next && (!next_wakeup_ || *next < *next_wakeup_)) {
            next_wakeup_ = *next;
            context.schedule_self(*next, WakeupMessage{});
        }
    }
    // Once all is over.
    void finish_run() {
        if (process_state_) add_counters();
    }
    std::vector<AdmittedRequestUnits> admitted_requests;    // of customers with a ceiling
    std::vector<RateLimitTerms> terms_changes;              // made here
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
    struct RequestRecord {    // of a request, for the rules
        std::uint64_t request = 0;
        bool may_have_run = false, attempt_sent = false;
    };
    struct ActiveAttempt {
        HostId host;
        bool reused_connection = false;
    };
    // What ends with the process.
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
        std::map<HostId, std::vector<TimePoint>> idle_connections;    // connections, and since when
        std::map<HostId, Timers::Id> health_check_timers;
    };

    void start_process() {
        process_state_ = std::make_unique<ProcessState>();
        ProcessState& life = *process_state_;
        const decision::Settings settings = gateway_settings(layout_.scenario, gateway_index_);
        life.engine = std::make_unique<Engine>(
            settings,
            mix_hash(layout_.scenario.seed,
                     static_cast<std::uint64_t>(gateway_index_) + 7919 * incarnation_++),
            *this, life.timers, life.counters);
        life.engine->connect(*this, *this, *this);
        life.engine->set_usage_recorder(*this);
        if (layout_.scenario.quota_sharing == Scenario::QuotaSharing::SharedCounter)
            use_shared_counter(settings);
        life.engine->on_host_list(decision::HostList(host_list_));
    }
    void use_shared_counter(const decision::Settings& settings) {
        ProcessState& life = *process_state_;
        limits::QuotaTableSettings s;
        s.own_index = gateway_index_;
        s.gateway_count = layout_.scenario.gateway_count;
        s.plans = settings.plans;
        s.max_request_units = settings.most_units;
        s.incarnation = static_cast<std::uint64_t>(current_time_.time_since_epoch().count());
        life.quota_state_table = std::make_unique<limits::QuotaStateTable>(s, current_time_);
        life.engine->set_quota_state_table(*life.quota_state_table);
        shared_counter::StoreSessionSettings one;
        one.key_prefix = "lab";
        one.own_index = gateway_index_;
        one.gateway_count = layout_.scenario.gateway_count;
        shared_counter::StoreExchangeSettings e;
        e.stores = {one};
        e.random_seed = mix_hash(layout_.scenario.seed, static_cast<std::uint64_t>(gateway_index_) + 40'000);
        life.store_exchange = std::make_unique<shared_counter::StoreExchange>(e, *life.quota_state_table,
                                                                              life.counter_statistics);
        if (!layout_.scenario.plan_changes.empty()) {
            plans::PlanTableSettings b;
            b.platform_plans = settings.plans;
            b.lead_time = kPlanLeadTime;
            life.plan_service = std::make_unique<plans::PlanService>(plans::PlanTable(b),
                                                                     *life.quota_state_table, current_time_);
            life.engine->set_plan_service(*life.plan_service);
            // What its book held is on the keeper's disk, and comes back by the board elsewhere.
            for (const plans::PlanChange& c : committed_changes_)
                life.plan_service->apply_change(c, current_time_);
            life.change_replicator = std::make_unique<plans::ChangeReplicator>(
                gateway_index_, layout_.scenario.gateway_count, gateway_index_ == 0,
                life.plan_service->plan_table(), [this](const plans::PlanChange& c) { commit_change(c); });
            life.store_exchange->set_field_exchange(*life.change_replicator);
        }
        poll_counter();
    }
    void commit_change(const plans::PlanChange& change) {
        committed_changes_.push_back(change);
        process_state_->plan_service->apply_change(change, current_time_);
    }
    void poll_counter() {
        ProcessState& life = *process_state_;
        life.engine->refresh_allowances();
        life.store_exchange->tick(current_time_);
        flush_counter_output();
        TimePoint due = current_time_ + kMaxPollInterval;
        if (const auto next = life.store_exchange->next_deadline()) due = std::min(due, *next);
        if (const auto next = life.quota_state_table->next_deadline()) due = std::min(due, *next);
        if (life.plan_service)
            if (const auto next = life.plan_service->next_deadline()) due = std::min(due, *next);
        life.timers.schedule_at(std::max(due, current_time_ + kMinPollInterval), [this] { poll_counter(); });
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
    // The process is killed: what it had open ends at both sides.
    void crash_process() {
        if (!process_state_) return;
        add_counters();
        std::vector<std::uint64_t> numbers;
        for (const auto& [request, pending] : process_state_->open_requests) numbers.push_back(request);
        std::sort(numbers.begin(), numbers.end());
        for (const std::uint64_t n : numbers)
            context_->send_message(process_state_->open_requests.at(n)->frontend,
                                   draw_delay(layout_.scenario, random_),
                                   AnswerMessage{n, RequestEnd::Failed, {}});
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

    // What comes in.
    void take(WakeupMessage&&) {
        if (next_wakeup_ && *next_wakeup_ <= current_time_) next_wakeup_.reset();
    }
    void take(RequestMessage&& ask) {
        const EntityId front = context_->sender_id();
        if (!process_state_) {    // its connection is refused
            context_->send_message(front, draw_delay(layout_.scenario, random_),
                                   AnswerMessage{ask.request, RequestEnd::Failed, {}});
            return;
        }
        trace_request(layout_, statistics, ask.request, current_time_, [&] {
            return fmt::format("gateway {} takes try {} of {} units, {:.3f} s left", gateway_index_,
                               ask.attempt, ask.units, secs(ask.time_budget));
        });
        auto pending = std::make_unique<PendingRequest>();
        PendingRequest& p = *pending;
        p.owner = this;
        p.frontend = front;
        p.request = ask.request;
        p.received_at = current_time_;
        p.time_budget = ask.time_budget;
        process_state_->open_requests[ask.request] = std::move(pending);
        IncomingRequest a;
        a.customer = ask.customer;
        a.class_index = ask.class_index;
        a.plan_index = ask.plan_index;
        a.units = ask.units;
        a.time_budget = ask.time_budget;
        a.gateway_set_size = gateway_set_size(layout_.scenario);
        a.first_gateway_index = first_gateway_of(layout_.scenario, ask.customer);
        // The engine passes the head on as it is: the class, for the server, and whose it is, for the rules.
        a.payload.head = fmt::format("{}{:x}", static_cast<char>('0' + ask.class_index), ask.request);
        const RequestId id = process_state_->engine->submit(p, std::move(a));
        if (const auto it = process_state_->open_requests.find(ask.request);
            it != process_state_->open_requests.end())
            it->second->request_id = id;
    }
    void take(AbandonMessage&& leave) {
        if (!process_state_) return;
        const auto it = process_state_->open_requests.find(leave.request);
        if (it == process_state_->open_requests.end()) return;
        process_state_->engine->cancel(it->second->request_id);
        process_state_->request_records.erase(it->second->request_id);
        process_state_->finished_requests.push_back(std::move(it->second));
        process_state_->open_requests.erase(it);
    }
    void take(AttemptEndedMessage&& e) {
        if (!process_state_) return;
        const AttemptId id{RequestId{e.request}, e.attempt_number};
        const auto at = process_state_->host_by_attempt.find(attempt_key(id));
        if (at == process_state_->host_by_attempt.end())
            return;    // called off meanwhile, or of an earlier life
        const HostId host = at->second;
        process_state_->host_by_attempt.erase(at);
        if (e.outcome == Outcome::Error || e.outcome == Outcome::Reset) {
            if (const auto known = process_state_->request_records.find(id.request);
                known != process_state_->request_records.end())
                known->second.may_have_run = true;
        }
        if (e.outcome == Outcome::Reset || e.outcome == Outcome::ConnectFailed)
            process_state_->idle_connections[host].clear();
        else process_state_->idle_connections[host].push_back(current_time_);
        if (const auto known = process_state_->request_records.find(id.request);
            known != process_state_->request_records.end())
            trace_request(layout_, statistics, known->second.request, current_time_, [&] {
                return fmt::format("gateway {} hears of attempt {} at server {}: outcome {}", gateway_index_,
                                   e.attempt_number, layout_.server_index_of(host),
                                   static_cast<int>(e.outcome));
            });
        process_state_->engine->on_attempt_ended(
            id, e.outcome, {{"outstanding", e.load.outstanding}, {"backlog", e.load.backlog}}, Payload{});
    }
    void take(HealthReplyMessage&& p) {
        if (!process_state_) return;
        const auto it = process_state_->health_check_timers.find(p.host);
        if (it == process_state_->health_check_timers.end()) return;
        process_state_->timers.cancel(it->second);
        process_state_->health_check_timers.erase(it);
        process_state_->engine->on_health_check_ended(p.host, p.is_up ? Outcome::Ok : Outcome::ConnectFailed,
                                                      2 * layout_.scenario.network_delay);
    }
    void take(PeerMessage&& p) {
        if (process_state_)
            process_state_->engine->on_peer_message(decision::PeerId{static_cast<int>(context_->sender_id())},
                                                    std::move(p.bytes));
    }
    void take(StoreMessage&& c) {
        if (!process_state_ || !process_state_->store_exchange) return;
        process_state_->store_exchange->session_at(0).on_received(c.bytes, current_time_);
        flush_counter_output();
    }
    void take(HostListMessage&& lists) {
        decision::HostList list = *lists.list;
        for (const decision::HostEntry& e : list.hosts) {
            host_list_.hosts[static_cast<std::size_t>(layout_.server_index_of(e.host))] = e;
            if (e.state == decision::HostState::Healthy) departed_since_.erase(e.host);
            else departed_since_.emplace(e.host, current_time_);
        }
        if (!process_state_) {
            if (list.kind == decision::ListKind::Full) start_process();
            return;
        }
        process_state_->engine->on_host_list(std::move(list));
    }
    void take(FaultMessage&& t) {
        if (t.fault->kind == Fault::Kind::PeerMessageLoss) {
            peer_message_loss_ = t.is_start ? t.fault->magnitude : 0.0;
        } else if (t.fault->kind == Fault::Kind::GatewayCrash) {
            if (t.is_start) crash_process();
            else if (!process_state_) start_process();
        }
    }
    // The keeper of the plan book is told to change a plan.
    void take(PlanChangeMessage&& c) {
        if (!process_state_ || !process_state_->plan_service) return;
        const PlanChange& wanted = layout_.scenario.plan_changes[c.change_index];
        const decision::PlanSettings& plan =
            layout_.scenario.plans[static_cast<std::size_t>(wanted.plan_index)];
        plans::ChangeProposal p;
        p.body = plans::DefinePlan{
            plan.name,
            plan.name,
            {wanted.rate, wanted.burst, wanted.rate_limit, wanted.rate_limit_burst, wanted.rate_limit_slack}};
        p.expected_version =
            process_state_->plan_service->plan_table().subject_version(plans::subject_of(p.body));
        p.author = "the scenario";
        const auto outcome = process_state_->plan_service->plan_table().validate_proposal(p, current_time_);
        if (const auto* no = std::get_if<plans::ChangeRejection>(&outcome))
            throw std::invalid_argument(fmt::format("scenario: changes[{}]: {}", c.change_index, no->text));
        const auto& change = std::get<plans::PlanChange>(outcome);
        commit_change(change);
        terms_changes.push_back({change.effective_at, wanted.plan_index, wanted.rate_limit,
                                 wanted.rate_limit_burst, wanted.rate_limit_slack});
    }
    template <class Other>
    void take(Other&&) {}

    // What goes out.
    void send_attempt(AttemptId attempt, HostId host, const Payload& request, Duration) override {
        const int cls = request.head.at(0) - '0';
        const int server = layout_.server_index_of(host);
        RequestRecord& known = process_state_->request_records[attempt.request];
        if (known.request == 0) known.request = std::stoull(request.head.substr(1), nullptr, 16);
        known.attempt_sent = true;
        const auto course = [&] {
            return fmt::format("{:.6f}: gateway {} sends attempt {} of request {:x} ({}) to server {}",
                               secs(current_time_ - kStart), gateway_index_, attempt.attempt_number,
                               known.request, simulated_classes()[static_cast<std::size_t>(cls)].name,
                               server);
        };
        trace_request(layout_, statistics, known.request, current_time_, [&] {
            return fmt::format("gateway {} sends attempt {} to server {}", gateway_index_,
                               attempt.attempt_number, server);
        });
        if (cls == ClaimSubmit && attempt.attempt_number > 0)
            record_rule_check(statistics.rules["unasked repeats"], !known.may_have_run, course,
                              known.request);
        if (const auto it = departed_since_.find(host); it != departed_since_.end())
            record_rule_check(statistics.rules["drains"], current_time_ - it->second <= 250ms, course,
                              known.request);
        process_state_->host_by_attempt[attempt_key(attempt)] = host;
        // The newest of the connections that stand open; else one is made, which takes a way there and back.
        auto& idle = process_state_->idle_connections[host];
        while (!idle.empty() && current_time_ - idle.front() > kIdleConnectionTimeout)
            idle.erase(idle.begin());
        const bool fresh = idle.empty();
        if (!fresh) idle.pop_back();
        context_->send_message(
            layout_.server_entity(server),
            draw_delay(layout_.scenario, random_) +
                (fresh ? 2 * layout_.scenario.network_delay : Duration(0)),
            AttemptMessage{static_cast<std::uint32_t>(attempt.request), attempt.attempt_number, cls, fresh});
    }
    void cancel_attempt(AttemptId attempt) override {
        const auto known = process_state_->request_records.find(attempt.request);
        if (known != process_state_->request_records.end()) {
            known->second.may_have_run = true;
            trace_request(layout_, statistics, known->second.request, current_time_, [&] {
                return fmt::format("gateway {} calls attempt {} off", gateway_index_, attempt.attempt_number);
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
    void finish_request(PendingRequest& p, RequestEnd how, Duration after) {
        trace_request(layout_, statistics, p.request, current_time_, [&] {
            return fmt::format("gateway {} answers: {}", gateway_index_,
                               how == RequestEnd::Served ? "served"
                               : how == RequestEnd::Rejected
                                   ? fmt::format("refused, again in {:.3f} s", secs(after))
                                   : "failed");
        });
        const auto known = p.request_id == RequestId{} ? process_state_->request_records.end()
                                                       : process_state_->request_records.find(p.request_id);
        // Given up on without ever being sent: told at once, not when its time is nearly over.
        if (how == RequestEnd::Rejected &&
            (known == process_state_->request_records.end() || !known->second.attempt_sent))
            record_rule_check(
                statistics.rules["held-back refusals"],
                current_time_ - p.received_at <= p.time_budget / 2 + kAnswerSlack,
                [&] {
                    return fmt::format(
                        "{:.6f}: gateway {} refuses request {:x} {:.3f} s after it came, of {:.3f}",
                        secs(current_time_ - kStart), gateway_index_, p.request,
                        secs(current_time_ - p.received_at), secs(p.time_budget));
                },
                p.request);
        if (known != process_state_->request_records.end()) process_state_->request_records.erase(known);
        context_->send_message(p.frontend, draw_delay(layout_.scenario, random_),
                               AnswerMessage{p.request, how, after});
        const auto it = process_state_->open_requests.find(p.request);
        process_state_->finished_requests.push_back(std::move(it->second));    // it may be on the call stack
        process_state_->open_requests.erase(it);
    }
    static std::uint64_t attempt_key(AttemptId a) {
        return static_cast<std::uint64_t>(a.request) << 8 | static_cast<std::uint64_t>(a.attempt_number);
    }

    const WorldLayout& layout_;
    int gateway_index_;
    std::mt19937_64 random_;
    TimePoint current_time_ = kStart;
    Context* context_ = nullptr;
    std::unique_ptr<ProcessState> process_state_;
    std::uint64_t incarnation_ = 0;
    std::vector<plans::PlanChange> committed_changes_;
    std::optional<TimePoint> next_wakeup_;
    decision::HostList host_list_;                  // as its discovery agent has them
    std::map<HostId, TimePoint> departed_since_;    // draining or gone, and when that was heard
    double peer_message_loss_ = 0.0;
};

// ---- servers ----

class ServerEntity : public SimulationKernel::Entity, private ServerEnvironment {
public:
    ServerEntity(const WorldLayout& layout, int me)
        : layout_(layout),
          server_index_(me),
          random_(mix_hash(layout.scenario.seed, static_cast<std::uint64_t>(me) + 6'000'000)),
          server_(layout.scenario, mix_hash(layout.scenario.seed, static_cast<std::uint64_t>(me) + 5'000'000),
                  kStart, *this) {}

    void handle_message(Message&& message, Context& context) override {
        context_ = &context;
        if (const auto* attempt = std::get_if<AttemptMessage>(&message)) {
            if (server_.drops_request()) return;
            server_.on_request({context.sender_id(), attempt->request, attempt->attempt_number},
                               attempt->class_index, attempt->new_connection);
        } else if (const auto* gone = std::get_if<CancelMessage>(&message)) {
            server_.on_cancel({context.sender_id(), gone->request, gone->attempt_number});
        } else if (const auto* tick = std::get_if<WakeupMessage>(&message)) {
            server_.on_wakeup(tick->wakeup_kind);
        } else if (const auto* trouble = std::get_if<FaultMessage>(&message)) {
            server_.apply_fault(*trouble->fault, trouble->is_start);
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

    const WorldLayout& layout_;
    int server_index_;
    std::mt19937_64 random_;
    Context* context_ = nullptr;
    EmulatedServer server_;
};

// ---- fronts ----

class FrontendEntity : public SimulationKernel::Entity, private FrontendEnvironment {
public:
    FrontendEntity(const WorldLayout& layout, int me)
        : layout_(layout),
          random_(mix_hash(layout.scenario.seed, static_cast<std::uint64_t>(me) + 8'000'000)),
          clients_(layout.scenario, me, layout.cumulative_shares, kStart, kAnswerSlack, *this) {}
    void handle_message(Message&& message, Context& context) override {
        context_ = &context;
        if (const auto* answer = std::get_if<AnswerMessage>(&message)) {
            trace_request(layout_, clients_.statistics, answer->request, current_time(),
                          [] { return "the client has its answer"; });
            clients_.on_answer(answer->request, answer->end, answer->retry_after);
        } else if (const auto* tick = std::get_if<WakeupMessage>(&message)) {
            if (!has_started_) clients_.start_arrivals();
            else clients_.on_wakeup(tick->wakeup_kind);
            has_started_ = true;
        } else if (const auto* seen = std::get_if<GatewayStateMessage>(&message)) {
            clients_.on_gateway_state(seen->gateway_index, seen->is_alive);
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

    const WorldLayout& layout_;
    std::mt19937_64 random_;
    Context* context_ = nullptr;
    bool has_started_ = false;
    Clients clients_;
};

// ---- the shared counter ----

class StoreEntity : public SimulationKernel::Entity {
public:
    explicit StoreEntity(const WorldLayout& layout)
        : layout_(layout),
          random_(mix_hash(layout.scenario.seed, 3'000'000)),
          command_reader_(static_cast<std::size_t>(layout.scenario.gateway_count)) {}
    void handle_message(Message&& message, Context& context) override {
        if (const auto* trouble = std::get_if<FaultMessage>(&message)) {
            is_unavailable_ = trouble->is_start;
            return;
        }
        auto* bytes = std::get_if<StoreMessage>(&message);
        if (bytes == nullptr || is_unavailable_) return;
        shared_counter::RespReader& commands = command_reader_[context.sender_id()];
        commands.feed(bytes->bytes);
        std::string answers;
        while (const auto command = commands.next_reply()) answers += store_model_.answer(*command);
        if (!answers.empty())
            context.send_message(context.sender_id(), draw_delay(layout_.scenario, random_),
                                 StoreMessage{std::move(answers)});
    }

private:
    const WorldLayout& layout_;
    std::mt19937_64 random_;
    std::vector<shared_counter::RespReader> command_reader_;
    Board store_model_;
    bool is_unavailable_ = false;
};

// All that will happen whatever the gateways do, put before the run begins.
void schedule_events(SimulationKernel& kernel, const WorldLayout& l) {
    const Scenario& s = l.scenario;
    std::mt19937_64 random(mix_hash(s.seed, 77));
    const auto all = std::make_shared<const decision::HostList>(all_servers(s));
    for (int g = 0; g < s.gateway_count; ++g)
        kernel.schedule_message(l.gateway_entity(g), kStart, HostListMessage{all});
    for (const HostListChange& told : host_list_changes(s)) {
        auto list = std::make_shared<decision::HostList>();
        list->kind = decision::ListKind::Delta;
        list->hosts = {all->hosts[static_cast<std::size_t>(told.server_index)]};
        list->hosts[0].state = told.state;
        if (told.started_at >= Duration(0)) list->hosts[0].born = kStart + told.started_at;
        for (int g = 0; g < s.gateway_count; ++g) {
            const Duration heard = told.known_at + s.list_delay +
                                   Duration(static_cast<std::int64_t>(
                                       random() % static_cast<std::uint64_t>(s.list_delay.count() + 1)));
            kernel.schedule_message(l.gateway_entity(g), kStart + heard, HostListMessage{list});
        }
    }
    for (const Fault& f : s.faults) {
        const auto both = [&](EntityId to) {
            kernel.schedule_message(to, kStart + f.starts_at, FaultMessage{&f, true});
            kernel.schedule_message(to, kStart + f.starts_at + f.duration, FaultMessage{&f, false});
        };
        switch (f.kind) {
            case Fault::Kind::GatewayCrash:
                both(l.gateway_entity(f.gateway_index));
                for (int i = 0; i < s.frontend_count; ++i) {
                    if (f.duration > kCrashDetectionDelay)
                        kernel.schedule_message(l.frontend_entity(i),
                                                kStart + f.starts_at + kCrashDetectionDelay,
                                                GatewayStateMessage{f.gateway_index, false});
                    kernel.schedule_message(l.frontend_entity(i),
                                            kStart + f.starts_at + f.duration + kStartDetectionDelay,
                                            GatewayStateMessage{f.gateway_index, true});
                }
                break;
            case Fault::Kind::PeerMessageLoss:
                for (int g = 0; g < s.gateway_count; ++g) both(l.gateway_entity(g));
                break;
            case Fault::Kind::StoreOutage: both(l.store_entity()); break;
            case Fault::Kind::DiscoveryOutage: break;    // the listings have it
            default:
                for (int i = 0; i < s.server_count; ++i) {
                    if (fault_affects_server(s, f, i)) both(l.server_entity(i));
                }
        }
    }
    for (std::size_t i = 0; i < s.plan_changes.size(); ++i)
        kernel.schedule_message(l.gateway_entity(0), kStart + s.plan_changes[i].proposed_at,
                                PlanChangeMessage{i});
    for (int i = 0; i < s.frontend_count; ++i)
        kernel.schedule_message(l.frontend_entity(i), kStart, WakeupMessage{0});
}

}    // namespace

RunStatistics run_scenario(const Scenario& scenario, std::size_t threads, std::uint64_t traced) {
    WorldLayout l;
    l.traced_request = traced;
    scenario.validate();
    l.scenario = scenario.with_drawn_faults();
    if (l.scenario.plans.empty()) l.scenario.plans = {{"wide", 1e6, 1e6, 0, 0.0, 0.0, 0.0, 1.0, 0.0, 0.0}};
    const Scenario& s = l.scenario;
    l.cumulative_shares = customer_activity(s);
    SimulationKernel kernel(s.network_delay, threads);
    std::vector<GatewayEntity*> gateways;
    std::vector<ServerEntity*> servers;
    std::vector<FrontendEntity*> fronts;
    const auto add = [&](auto entity, auto& to) {
        to.push_back(entity.get());
        kernel.add_entity(std::move(entity));
    };
    for (int i = 0; i < s.gateway_count; ++i) add(std::make_unique<GatewayEntity>(l, i), gateways);
    for (int i = 0; i < s.server_count; ++i) add(std::make_unique<ServerEntity>(l, i), servers);
    for (int i = 0; i < s.frontend_count; ++i) add(std::make_unique<FrontendEntity>(l, i), fronts);
    kernel.add_entity(std::make_unique<StoreEntity>(l));
    schedule_events(kernel, l);
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
    for (FrontendEntity* f : fronts) {
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
