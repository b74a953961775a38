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
constexpr Duration kDeathNoticed = 3s;    // until fronts know that a gateway ended
constexpr Duration kReady = 200ms;        // from a gateway's start until fronts know of it
constexpr Duration kProbeWait = 500ms;    // for a probe's answer
constexpr Duration kIdle = 9s;            // after which a gateway closes a connection to a server
constexpr Duration kLeastLook = 25ms, kLongestLook = 250ms;    // at the counter, the ledger and the book
constexpr Duration kLead = 2s;                                 // from a plan's change to its effect

// ---- messages ----

struct Ask {
    std::uint64_t request;    // of the front
    int attempt;
    CustomerId customer;
    int cls, plan;
    double units;
    Duration budget;
};
struct Answer {
    std::uint64_t request;
    End end;
    Duration retry_after;
};
struct Leave {
    std::uint64_t request;
};
struct Attempt {
    std::uint32_t request;
    int number, cls;
    bool fresh;
};
struct Cancel {
    std::uint32_t request;
    int number;
};
struct Ended {
    std::uint32_t request;
    int number;
    Outcome outcome;
    EmulatedServer::Load load;
};
struct ProbeAsk {};
struct ProbeAnswer {
    HostId host;
    bool up;
};
struct Peer {
    std::vector<std::uint8_t> bytes;
};
struct Counter {    // to the store, and from it
    std::string bytes;
};
struct Tick {    // to oneself: what is meant by it is one's own matter
    std::uint64_t what = 0;
};
struct Trouble {
    const Fault* fault;
    bool begins;
};
struct Change {    // the keeper makes it
    std::size_t number;
};
struct Seen {    // by a front
    int gateway;
    bool there;
};
struct Lists {
    std::shared_ptr<const decision::HostList> list;
};
using Message = std::variant<Tick, Ask, Answer, Leave, Attempt, Cancel, Ended, ProbeAsk, ProbeAnswer, Peer,
                             Counter, Trouble, Change, Seen, Lists>;
using TheKernel = Kernel<Message>;
using Context = TheKernel::Context;

struct Layout {
    Scenario s;
    std::uint64_t traced = 0;
    EntityId gateway(int i) const { return static_cast<EntityId>(i); }
    EntityId server(int i) const { return static_cast<EntityId>(s.gateways + i); }
    EntityId front(int i) const { return static_cast<EntityId>(s.gateways + s.servers + i); }
    EntityId store() const { return static_cast<EntityId>(s.gateways + s.servers + s.fronts); }
    int server_at(HostId host) const { return static_cast<int>(host) - 1; }
    std::vector<double> shares;    // of the customers, added up
};

template <class Random>
Duration delay(const Scenario& s, Random& random) {
    return s.delay +
           Duration(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(s.delay.count() + 1)));
}

// Where an entity writes down the course of the one request that is traced.
template <class What>
void trace(const Layout& l, Figures& to, std::uint64_t request, TimePoint now, const What& what) {
    if (l.traced != 0 && request == l.traced) to.course.emplace_back(secs(now - kStart), what());
}

// ---- gateways ----

class GatewayEntity : public TheKernel::Entity,
                      public Backend,
                      public Mail,
                      public ListSource,
                      public Clock,
                      public UseKeeper {
public:
    GatewayEntity(const Layout& layout, int me)
        : l_(layout), me_(me), random_(mix(layout.s.seed, static_cast<std::uint64_t>(me) + 1'000)) {
        hosts_ = all_servers(l_.s);
        const auto seconds = static_cast<std::size_t>(std::ceil(secs(l_.s.time))) + 4;
        figures.mail_by_second.resize(seconds);
        figures.units_by_second.resize(seconds);
        if (me == 0) return;
    }
    void handle(Message&& message, Context& context) override {
        context_ = &context;
        now_ = context.now();
        std::visit([this](auto&& m) { take(std::forward<decltype(m)>(m)); }, std::move(message));
        if (!life_) return;
        life_->timers.run_due(now_);
        life_->done.clear();
        if (const auto next = life_->timers.next(); next && (!woken_at_ || *next < *woken_at_)) {
            woken_at_ = *next;
            context.wake(*next, Tick{});
        }
    }
    // Once all is over.
    void close() {
        if (life_) add_counters();
    }
    std::vector<Sent> sent;        // of customers with a ceiling
    std::vector<Terms> changes;    // made here
    Figures figures;

private:
    struct Life;
    struct Pending : shaletray::Front {
        GatewayEntity* gateway = nullptr;
        EntityId front = 0;
        std::uint64_t request = 0;
        RequestId id{};
        TimePoint at{};
        Duration budget{0};
        void served(Payload&&) override { gateway->end(*this, End::Served, {}); }
        void refused(Duration after, Refusal) override { gateway->end(*this, End::Refused, after); }
        void failed(Failure, Payload&&) override { gateway->end(*this, End::Failed, {}); }
    };
    struct Known {    // of a request, for the rules
        std::uint64_t request = 0;
        bool may_have_run = false, sent = false;
    };
    struct Out {
        HostId host;
        bool used = false;
    };
    // What ends with the process.
    struct Life {
        Timers timers;
        Counters counters;
        std::unique_ptr<limits::Ledger> ledger;
        std::unique_ptr<plans::Desk> desk;
        std::unique_ptr<plans::Spread> spread;
        shared_counter::CounterStats counter_stats;
        std::unique_ptr<shared_counter::Exchange> exchange;
        std::unique_ptr<Engine> engine;
        std::unordered_map<std::uint64_t, std::unique_ptr<Pending>> open;
        std::vector<std::unique_ptr<Pending>> done;
        std::unordered_map<std::uint64_t, HostId> at;
        std::unordered_map<RequestId, Known> known;
        std::map<HostId, std::vector<TimePoint>> idle;    // connections, and since when
        std::map<HostId, Timers::Id> probes;
    };

    void begin() {
        life_ = std::make_unique<Life>();
        Life& life = *life_;
        const decision::Settings settings = gateway_settings(l_.s, me_);
        life.engine = std::make_unique<Engine>(
            settings, mix(l_.s.seed, static_cast<std::uint64_t>(me_) + 7919 * lives_++), *this, life.timers,
            life.counters);
        life.engine->connect(*this, *this, *this);
        life.engine->keep_use_in(*this);
        if (l_.s.sharing == Scenario::Sharing::Counter) share_by_counter(settings);
        life.engine->list_heard(decision::HostList(hosts_));
    }
    void share_by_counter(const decision::Settings& settings) {
        Life& life = *life_;
        limits::LedgerSettings s;
        s.me = me_;
        s.gateways = l_.s.gateways;
        s.plans = settings.plans;
        s.most_units = settings.most_units;
        s.incarnation = static_cast<std::uint64_t>(now_.time_since_epoch().count());
        life.ledger = std::make_unique<limits::Ledger>(s, now_);
        life.engine->share_by(*life.ledger);
        shared_counter::SessionSettings one;
        one.prefix = "lab";
        one.me = me_;
        one.gateways = l_.s.gateways;
        shared_counter::ExchangeSettings e;
        e.stores = {one};
        e.seed = mix(l_.s.seed, static_cast<std::uint64_t>(me_) + 40'000);
        life.exchange = std::make_unique<shared_counter::Exchange>(e, *life.ledger, life.counter_stats);
        if (!l_.s.changes.empty()) {
            plans::BookSettings b;
            b.platform = settings.plans;
            b.lead = kLead;
            life.desk = std::make_unique<plans::Desk>(plans::Book(b), *life.ledger, now_);
            life.engine->rule_by(*life.desk);
            // What its book held is on the keeper's disk, and comes back by the board elsewhere.
            for (const plans::Change& c : kept_) life.desk->take(c, now_);
            life.spread = std::make_unique<plans::Spread>(me_, l_.s.gateways, me_ == 0, life.desk->book(),
                                                          [this](const plans::Change& c) { keep(c); });
            life.exchange->carry(*life.spread);
        }
        look_at_counter();
    }
    void keep(const plans::Change& change) {
        kept_.push_back(change);
        life_->desk->take(change, now_);
    }
    void look_at_counter() {
        Life& life = *life_;
        life.engine->allowances_due();
        life.exchange->tick(now_);
        serve_counter();
        TimePoint due = now_ + kLongestLook;
        if (const auto next = life.exchange->next()) due = std::min(due, *next);
        if (const auto next = life.ledger->next()) due = std::min(due, *next);
        if (life.desk)
            if (const auto next = life.desk->next()) due = std::min(due, *next);
        life.timers.at(std::max(due, now_ + kLeastLook), [this] { look_at_counter(); });
    }
    void serve_counter() {
        shared_counter::Session& session = life_->exchange->at(0);
        if (session.wants_close()) session.broke(now_);
        if (session.wants_connection(now_)) {
            session.dialling(now_);
            session.connected(now_);
        }
        std::string bytes = session.take_output();
        if (bytes.empty()) return;
        count_mail();
        context_->send(l_.store(), delay(l_.s, random_), Counter{std::move(bytes)});
    }
    void count_mail() {
        ++figures.messages;
        ++figures.mail_by_second[second()];
    }
    std::size_t second() const {
        return std::min(static_cast<std::size_t>(std::max(0.0, secs(now_ - kStart))),
                        figures.mail_by_second.size() - 1);
    }
    void add_counters() {
        figures.attempts += life_->counters.sent;
        figures.called_off += life_->counters.cancelled;
    }
    // The process is killed: what it had open ends at both sides.
    void die() {
        if (!life_) return;
        add_counters();
        std::vector<std::uint64_t> numbers;
        for (const auto& [request, pending] : life_->open) numbers.push_back(request);
        std::sort(numbers.begin(), numbers.end());
        for (const std::uint64_t n : numbers)
            context_->send(life_->open.at(n)->front, delay(l_.s, random_), Answer{n, End::Failed, {}});
        numbers.clear();
        for (const auto& [number, host] : life_->at) numbers.push_back(number);
        std::sort(numbers.begin(), numbers.end());
        for (const std::uint64_t n : numbers)
            context_->send(l_.server(l_.server_at(life_->at.at(n))), delay(l_.s, random_),
                           Cancel{static_cast<std::uint32_t>(n >> 8), static_cast<int>(n & 255)});
        life_.reset();
        woken_at_.reset();
    }

    // Clock
    TimePoint now() const override { return now_; }

    // What comes in.
    void take(Tick&&) {
        if (woken_at_ && *woken_at_ <= now_) woken_at_.reset();
    }
    void take(Ask&& ask) {
        const EntityId front = context_->from();
        if (!life_) {    // its connection is refused
            context_->send(front, delay(l_.s, random_), Answer{ask.request, End::Failed, {}});
            return;
        }
        trace(l_, figures, ask.request, now_, [&] {
            return fmt::format("gateway {} takes try {} of {} units, {:.3f} s left", me_, ask.attempt,
                               ask.units, secs(ask.budget));
        });
        auto pending = std::make_unique<Pending>();
        Pending& p = *pending;
        p.gateway = this;
        p.front = front;
        p.request = ask.request;
        p.at = now_;
        p.budget = ask.budget;
        life_->open[ask.request] = std::move(pending);
        Arrival a;
        a.customer = ask.customer;
        a.class_index = ask.cls;
        a.plan_index = ask.plan;
        a.units = ask.units;
        a.budget = ask.budget;
        a.width = set_width(l_.s);
        a.first_gateway = first_of(l_.s, ask.customer);
        // The engine passes the head on as it is: the class, for the server, and whose it is, for the rules.
        a.payload.head = fmt::format("{}{:x}", static_cast<char>('0' + ask.cls), ask.request);
        const RequestId id = life_->engine->take(p, std::move(a));
        if (const auto it = life_->open.find(ask.request); it != life_->open.end()) it->second->id = id;
    }
    void take(Leave&& leave) {
        if (!life_) return;
        const auto it = life_->open.find(leave.request);
        if (it == life_->open.end()) return;
        life_->engine->withdraw(it->second->id);
        life_->known.erase(it->second->id);
        life_->done.push_back(std::move(it->second));
        life_->open.erase(it);
    }
    void take(Ended&& e) {
        if (!life_) return;
        const AttemptId id{RequestId{e.request}, e.number};
        const auto at = life_->at.find(key(id));
        if (at == life_->at.end()) return;    // called off meanwhile, or of an earlier life
        const HostId host = at->second;
        life_->at.erase(at);
        if (e.outcome == Outcome::Error || e.outcome == Outcome::Reset) {
            if (const auto known = life_->known.find(id.request); known != life_->known.end())
                known->second.may_have_run = true;
        }
        if (e.outcome == Outcome::Reset || e.outcome == Outcome::ConnectFailed) life_->idle[host].clear();
        else life_->idle[host].push_back(now_);
        if (const auto known = life_->known.find(id.request); known != life_->known.end())
            trace(l_, figures, known->second.request, now_, [&] {
                return fmt::format("gateway {} hears of attempt {} at server {}: outcome {}", me_, e.number,
                                   l_.server_at(host), static_cast<int>(e.outcome));
            });
        life_->engine->attempt_ended(
            id, e.outcome, {{"outstanding", e.load.outstanding}, {"backlog", e.load.backlog}}, Payload{});
    }
    void take(ProbeAnswer&& p) {
        if (!life_) return;
        const auto it = life_->probes.find(p.host);
        if (it == life_->probes.end()) return;
        life_->timers.cancel(it->second);
        life_->probes.erase(it);
        life_->engine->probe_ended(p.host, p.up ? Outcome::Ok : Outcome::ConnectFailed, 2 * l_.s.delay);
    }
    void take(Peer&& p) {
        if (life_)
            life_->engine->mail_heard(decision::PeerId{static_cast<int>(context_->from())},
                                      std::move(p.bytes));
    }
    void take(Counter&& c) {
        if (!life_ || !life_->exchange) return;
        life_->exchange->at(0).received(c.bytes, now_);
        serve_counter();
    }
    void take(Lists&& lists) {
        decision::HostList list = *lists.list;
        for (const decision::HostEntry& e : list.hosts) {
            hosts_.hosts[static_cast<std::size_t>(l_.server_at(e.host))] = e;
            if (e.state == decision::HostState::Healthy) left_.erase(e.host);
            else left_.emplace(e.host, now_);
        }
        if (!life_) {
            if (list.kind == decision::ListKind::Full) begin();
            return;
        }
        life_->engine->list_heard(std::move(list));
    }
    void take(Trouble&& t) {
        if (t.fault->kind == Fault::Kind::MailLoss) {
            mail_loss_ = t.begins ? t.fault->by : 0.0;
        } else if (t.fault->kind == Fault::Kind::GatewayLost) {
            if (t.begins) die();
            else if (!life_) begin();
        }
    }
    // The keeper of the plan book is told to change a plan.
    void take(Change&& c) {
        if (!life_ || !life_->desk) return;
        const PlanChange& wanted = l_.s.changes[c.number];
        const decision::PlanSettings& plan = l_.s.plans[static_cast<std::size_t>(wanted.plan)];
        plans::Proposal p;
        p.body = plans::Define{
            plan.name,
            plan.name,
            {wanted.rate, wanted.burst, wanted.ceiling_rate, wanted.ceiling_burst, wanted.ceiling_slack}};
        p.against = life_->desk->book().version_of(plans::subject_of(p.body));
        p.author = "the scenario";
        const auto outcome = life_->desk->book().propose(p, now_);
        if (const auto* no = std::get_if<plans::Refusal>(&outcome))
            throw std::invalid_argument(fmt::format("scenario: changes[{}]: {}", c.number, no->text));
        const auto& change = std::get<plans::Change>(outcome);
        keep(change);
        changes.push_back(
            {change.at, wanted.plan, wanted.ceiling_rate, wanted.ceiling_burst, wanted.ceiling_slack});
    }
    template <class Other>
    void take(Other&&) {}

    // What goes out.
    void send(AttemptId attempt, HostId host, const Payload& request, Duration) override {
        const int cls = request.head.at(0) - '0';
        const int server = l_.server_at(host);
        Known& known = life_->known[attempt.request];
        if (known.request == 0) known.request = std::stoull(request.head.substr(1), nullptr, 16);
        known.sent = true;
        const auto course = [&] {
            return fmt::format("{:.6f}: gateway {} sends attempt {} of request {:x} ({}) to server {}",
                               secs(now_ - kStart), me_, attempt.number, known.request,
                               lab_classes()[static_cast<std::size_t>(cls)].name, server);
        };
        trace(l_, figures, known.request, now_, [&] {
            return fmt::format("gateway {} sends attempt {} to server {}", me_, attempt.number, server);
        });
        if (cls == ClaimSubmit && attempt.number > 0)
            count(figures.rules["unasked repeats"], !known.may_have_run, course, known.request);
        if (const auto it = left_.find(host); it != left_.end())
            count(figures.rules["drains"], now_ - it->second <= 250ms, course, known.request);
        life_->at[key(attempt)] = host;
        // The newest of the connections that stand open; else one is made, which takes a way there and back.
        auto& idle = life_->idle[host];
        while (!idle.empty() && now_ - idle.front() > kIdle) idle.erase(idle.begin());
        const bool fresh = idle.empty();
        if (!fresh) idle.pop_back();
        context_->send(l_.server(server), delay(l_.s, random_) + (fresh ? 2 * l_.s.delay : Duration(0)),
                       Attempt{static_cast<std::uint32_t>(attempt.request), attempt.number, cls, fresh});
    }
    void cancel(AttemptId attempt) override {
        const auto known = life_->known.find(attempt.request);
        if (known != life_->known.end()) {
            known->second.may_have_run = true;
            trace(l_, figures, known->second.request, now_,
                  [&] { return fmt::format("gateway {} calls attempt {} off", me_, attempt.number); });
        }
        const auto it = life_->at.find(key(attempt));
        if (it == life_->at.end()) return;
        context_->send(l_.server(l_.server_at(it->second)), delay(l_.s, random_),
                       Cancel{static_cast<std::uint32_t>(attempt.request), attempt.number});
        life_->at.erase(it);
    }
    void probe(HostId host) override {
        if (life_->probes.contains(host)) return;
        life_->probes[host] = life_->timers.at(now_ + kProbeWait, [this, host] {
            life_->probes.erase(host);
            life_->engine->probe_ended(host, Outcome::Timeout, kProbeWait);
        });
        context_->send(l_.server(l_.server_at(host)), delay(l_.s, random_), ProbeAsk{});
    }
    void tell(decision::PeerId to, const std::vector<std::uint8_t>& bytes) override {
        count_mail();
        const double lost = std::max(l_.s.mail_loss, mail_loss_);
        if (lost > 0.0 && std::uniform_real_distribution<>(0.0, 1.0)(random_) < lost) return;
        context_->send(l_.gateway(static_cast<int>(to)), delay(l_.s, random_), Peer{bytes});
    }
    void subscribe() override {}
    void admitted(const Admission& a) override {
        figures.units_by_second[second()] += a.units;
        const auto plan =
            static_cast<std::size_t>(static_cast<std::uint64_t>(a.customer) % l_.s.plans.size());
        if (l_.s.plans[plan].ceiling_rate > 0.0)
            sent.push_back({now_, a.customer, static_cast<float>(a.units)});
    }
    void end(Pending& p, End how, Duration after) {
        trace(l_, figures, p.request, now_, [&] {
            return fmt::format("gateway {} answers: {}", me_,
                               how == End::Served    ? "served"
                               : how == End::Refused ? fmt::format("refused, again in {:.3f} s", secs(after))
                                                     : "failed");
        });
        const auto known = p.id == RequestId{} ? life_->known.end() : life_->known.find(p.id);
        // Given up on without ever being sent: told at once, not when its time is nearly over.
        if (how == End::Refused && (known == life_->known.end() || !known->second.sent))
            count(
                figures.rules["held-back refusals"], now_ - p.at <= p.budget / 2 + kAnswerSlack,
                [&] {
                    return fmt::format(
                        "{:.6f}: gateway {} refuses request {:x} {:.3f} s after it came, of {:.3f}",
                        secs(now_ - kStart), me_, p.request, secs(now_ - p.at), secs(p.budget));
                },
                p.request);
        if (known != life_->known.end()) life_->known.erase(known);
        context_->send(p.front, delay(l_.s, random_), Answer{p.request, how, after});
        const auto it = life_->open.find(p.request);
        life_->done.push_back(std::move(it->second));    // it may be on the call stack
        life_->open.erase(it);
    }
    static std::uint64_t key(AttemptId a) {
        return static_cast<std::uint64_t>(a.request) << 8 | static_cast<std::uint64_t>(a.number);
    }

    const Layout& l_;
    int me_;
    std::mt19937_64 random_;
    TimePoint now_ = kStart;
    Context* context_ = nullptr;
    std::unique_ptr<Life> life_;
    std::uint64_t lives_ = 0;
    std::vector<plans::Change> kept_;
    std::optional<TimePoint> woken_at_;
    decision::HostList hosts_;            // as its discovery agent has them
    std::map<HostId, TimePoint> left_;    // draining or gone, and when that was heard
    double mail_loss_ = 0.0;
};

// ---- servers ----

class ServerEntity : public TheKernel::Entity, private ServerWorld {
public:
    ServerEntity(const Layout& layout, int me)
        : l_(layout),
          me_(me),
          random_(mix(layout.s.seed, static_cast<std::uint64_t>(me) + 6'000'000)),
          server_(layout.s, mix(layout.s.seed, static_cast<std::uint64_t>(me) + 5'000'000), kStart, *this) {}

    void handle(Message&& message, Context& context) override {
        context_ = &context;
        if (const auto* attempt = std::get_if<Attempt>(&message)) {
            if (server_.swallows()) return;
            server_.arrived({context.from(), attempt->request, attempt->number}, attempt->cls,
                            attempt->fresh);
        } else if (const auto* gone = std::get_if<Cancel>(&message)) {
            server_.called_off({context.from(), gone->request, gone->number});
        } else if (const auto* tick = std::get_if<Tick>(&message)) {
            server_.woken(tick->what);
        } else if (const auto* trouble = std::get_if<Trouble>(&message)) {
            server_.trouble(*trouble->fault, trouble->begins);
        } else if (std::get_if<ProbeAsk>(&message)) {
            if (!server_.hung())
                context.send(context.from(), delay(l_.s, random_),
                             ProbeAnswer{host_of(me_), !server_.down()});
        }
    }
    Figures& figures() { return server_.figures; }

private:
    TimePoint now() const override { return context_->now(); }
    void wake(TimePoint at, std::uint64_t number) override { context_->wake(at, Tick{number}); }
    void answer(const JobId& job, Outcome outcome) override {
        context_->send(static_cast<EntityId>(job.sender), delay(l_.s, random_),
                       Ended{job.request, job.attempt, outcome, server_.load()});
    }

    const Layout& l_;
    int me_;
    std::mt19937_64 random_;
    Context* context_ = nullptr;
    EmulatedServer server_;
};

// ---- fronts ----

class FrontEntity : public TheKernel::Entity, private FrontWorld {
public:
    FrontEntity(const Layout& layout, int me)
        : l_(layout),
          random_(mix(layout.s.seed, static_cast<std::uint64_t>(me) + 8'000'000)),
          clients_(layout.s, me, layout.shares, kStart, kAnswerSlack, *this) {}
    void handle(Message&& message, Context& context) override {
        context_ = &context;
        if (const auto* answer = std::get_if<Answer>(&message)) {
            trace(l_, clients_.figures, answer->request, now(), [] { return "the client has its answer"; });
            clients_.answered(answer->request, answer->end, answer->retry_after);
        } else if (const auto* tick = std::get_if<Tick>(&message)) {
            if (!begun_) clients_.begin();
            else clients_.woken(tick->what);
            begun_ = true;
        } else if (const auto* seen = std::get_if<Seen>(&message)) {
            clients_.gateway_seen(seen->gateway, seen->there);
        }
    }
    Clients& clients() { return clients_; }

private:
    TimePoint now() const override { return context_->now(); }
    void wake(TimePoint at, std::uint64_t what) override { context_->wake(at, Tick{what}); }
    void ask(const Asked& a) override {
        trace(l_, clients_.figures, a.request, now(), [&] {
            return fmt::format("try {} of a request of customer {:x} goes to gateway {}", a.attempt,
                               static_cast<std::uint64_t>(a.customer), a.gateway);
        });
        context_->send(l_.gateway(a.gateway), delay(l_.s, random_),
                       Ask{a.request, a.attempt, a.customer, a.cls, a.plan, a.units, a.left});
    }
    void leave(std::uint64_t request, int gateway) override {
        trace(l_, clients_.figures, request, now(), [] { return "the client leaves"; });
        context_->send(l_.gateway(gateway), delay(l_.s, random_), Leave{request});
    }

    const Layout& l_;
    std::mt19937_64 random_;
    Context* context_ = nullptr;
    bool begun_ = false;
    Clients clients_;
};

// ---- the shared counter ----

class StoreEntity : public TheKernel::Entity {
public:
    explicit StoreEntity(const Layout& layout)
        : l_(layout),
          random_(mix(layout.s.seed, 3'000'000)),
          commands_(static_cast<std::size_t>(layout.s.gateways)) {}
    void handle(Message&& message, Context& context) override {
        if (const auto* trouble = std::get_if<Trouble>(&message)) {
            lost_ = trouble->begins;
            return;
        }
        auto* bytes = std::get_if<Counter>(&message);
        if (bytes == nullptr || lost_) return;
        shared_counter::Replies& commands = commands_[context.from()];
        commands.feed(bytes->bytes);
        std::string answers;
        while (const auto command = commands.next()) answers += board_.answer(*command);
        if (!answers.empty()) context.send(context.from(), delay(l_.s, random_), Counter{std::move(answers)});
    }

private:
    const Layout& l_;
    std::mt19937_64 random_;
    std::vector<shared_counter::Replies> commands_;
    Board board_;
    bool lost_ = false;
};

// All that will happen whatever the gateways do, put before the run begins.
void schedule_all(TheKernel& kernel, const Layout& l) {
    const Scenario& s = l.s;
    std::mt19937_64 random(mix(s.seed, 77));
    const auto all = std::make_shared<const decision::HostList>(all_servers(s));
    for (int g = 0; g < s.gateways; ++g) kernel.schedule(l.gateway(g), kStart, Lists{all});
    for (const Listing& told : listings(s)) {
        auto list = std::make_shared<decision::HostList>();
        list->kind = decision::ListKind::Delta;
        list->hosts = {all->hosts[static_cast<std::size_t>(told.server)]};
        list->hosts[0].state = told.state;
        if (told.born >= Duration(0)) list->hosts[0].born = kStart + told.born;
        for (int g = 0; g < s.gateways; ++g) {
            const Duration heard = told.at + s.list_delay +
                                   Duration(static_cast<std::int64_t>(
                                       random() % static_cast<std::uint64_t>(s.list_delay.count() + 1)));
            kernel.schedule(l.gateway(g), kStart + heard, Lists{list});
        }
    }
    for (const Fault& f : s.faults) {
        const auto both = [&](EntityId to) {
            kernel.schedule(to, kStart + f.at, Trouble{&f, true});
            kernel.schedule(to, kStart + f.at + f.lasts, Trouble{&f, false});
        };
        switch (f.kind) {
            case Fault::Kind::GatewayLost:
                both(l.gateway(f.gateway));
                for (int i = 0; i < s.fronts; ++i) {
                    if (f.lasts > kDeathNoticed)
                        kernel.schedule(l.front(i), kStart + f.at + kDeathNoticed, Seen{f.gateway, false});
                    kernel.schedule(l.front(i), kStart + f.at + f.lasts + kReady, Seen{f.gateway, true});
                }
                break;
            case Fault::Kind::MailLoss:
                for (int g = 0; g < s.gateways; ++g) both(l.gateway(g));
                break;
            case Fault::Kind::StoreLost: both(l.store()); break;
            case Fault::Kind::DiscoverySilent: break;    // the listings have it
            default:
                for (int i = 0; i < s.servers; ++i) {
                    if (touches(s, f, i)) both(l.server(i));
                }
        }
    }
    for (std::size_t i = 0; i < s.changes.size(); ++i)
        kernel.schedule(l.gateway(0), kStart + s.changes[i].at, Change{i});
    for (int i = 0; i < s.fronts; ++i) kernel.schedule(l.front(i), kStart, Tick{0});
}

}    // namespace

Figures run(const Scenario& scenario, std::size_t threads, std::uint64_t traced) {
    Layout l;
    l.traced = traced;
    scenario.check();
    l.s = scenario.drawn();
    if (l.s.plans.empty()) l.s.plans = {{"wide", 1e6, 1e6, 0, 0.0, 0.0, 0.0, 1.0, 0.0, 0.0}};
    const Scenario& s = l.s;
    l.shares = activity(s);
    TheKernel kernel(s.delay, threads);
    std::vector<GatewayEntity*> gateways;
    std::vector<ServerEntity*> servers;
    std::vector<FrontEntity*> fronts;
    const auto add = [&](auto entity, auto& to) {
        to.push_back(entity.get());
        kernel.add(std::move(entity));
    };
    for (int i = 0; i < s.gateways; ++i) add(std::make_unique<GatewayEntity>(l, i), gateways);
    for (int i = 0; i < s.servers; ++i) add(std::make_unique<ServerEntity>(l, i), servers);
    for (int i = 0; i < s.fronts; ++i) add(std::make_unique<FrontEntity>(l, i), fronts);
    kernel.add(std::make_unique<StoreEntity>(l));
    schedule_all(kernel, l);
    kernel.run(kStart + s.time + s.patience + 1s);

    Figures figures;
    name_rules(figures);
    std::vector<Sent> sent;
    std::vector<Terms> changes;
    for (GatewayEntity* g : gateways) {
        g->close();
        add_figures(figures, g->figures);
        sent.insert(sent.end(), g->sent.begin(), g->sent.end());
        changes.insert(changes.end(), g->changes.begin(), g->changes.end());
    }
    for (ServerEntity* server : servers) add_figures(figures, server->figures());
    Latency latency = no_latency();
    for (FrontEntity* f : fronts) {
        f->clients().close();
        latency += f->clients().latency();
        f->clients().figures.customers_seen = f->clients().customers_seen();
        add_figures(figures, f->clients().figures);
    }
    check_ceilings(s, std::move(sent), changes, kStart, Duration(0), figures);
    std::stable_sort(figures.course.begin(), figures.course.end(),
                     [](const auto& a, const auto& b) { return a.first < b.first; });
    figures.p50_ms = quantile_ms(latency, 0.5);
    figures.p99_ms = quantile_ms(latency, 0.99);
    figures.p999_ms = quantile_ms(latency, 0.999);
    figures.events = kernel.events();
    for (const std::uint64_t v : {figures.served, figures.refused, figures.failed, figures.attempts,
                                  figures.work_us, figures.messages})
        figures.digest = mix(figures.digest, v);
    return figures;
}

}    // namespace shaletray::testbed
