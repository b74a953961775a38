#include "lab/world.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/histogram.hpp>
#include <cmath>
#include <cstring>
#include <memory>
#include <random>
#include <set>
#include <unordered_map>
#include <variant>

#include "core/engine.h"
#include "lab/kernel.h"

namespace shaletray::lab {
namespace {

using namespace std::chrono_literals;
using valehall::CustomerId;
using valehall::HostId;
using valehall::Outcome;
using valehall::RequestId;

const TimePoint kStart = TimePoint{} + 1'700'000'000s;
constexpr Duration kDrainGrace = 250ms, kAnswerSlack = 8ms;
constexpr Duration kFavourite = 10s;    // for which a front prefers a gateway
constexpr Duration kNoticed = 1s;       // until discovery takes a server that ended off its list
constexpr double kSpare = 1.0;

double secs(Duration d) { return std::chrono::duration<double>(d).count(); }
Duration from_secs(double s) { return Duration(static_cast<std::int64_t>(s * 1e6)); }

enum Class : int { Read, Approve, Submit };
std::vector<valehall::ClassSettings> classes() {
    using valehall::KeyGroup;
    using valehall::Repeat;
    return {{"claim-read", Repeat::Safe, KeyGroup::All, 0ms, 750ms, 2s, 1.0, 0.3},
            {"approve", Repeat::Keyed, KeyGroup::All, 3s, 750ms, 2s, 2.0, 0.3},
            {"claim-submit", Repeat::Unsafe, KeyGroup::All, 0ms, 1s, 2s, 3.0, 0.3}};
}

// ---- messages ----

struct Ask {
    std::uint64_t request;    // of the front
    CustomerId customer;
    int cls, plan;
    double units;
    Duration budget;
};
enum class End : std::uint8_t { Served, Refused, Failed };
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
};
struct Cancel {
    std::uint32_t request;
    int number;
};
struct Ended {
    std::uint32_t request;
    int number;
    Outcome outcome;
    double out, backlog;
};
struct Peer {
    std::vector<std::uint8_t> bytes;
};
struct Tick {    // to oneself: what is meant by it is one's own matter
    std::uint64_t what = 0;
};
struct Trouble {
    Fault fault;
    bool begins;
};
using Message =
    std::variant<Tick, Ask, Answer, Leave, Attempt, Cancel, Ended, Peer, Trouble, valehall::HostList>;
using TheKernel = Kernel<Message>;
using Context = TheKernel::Context;

struct Layout {
    Scenario s;
    EntityId gateway(int i) const { return static_cast<EntityId>(i); }
    EntityId server(int i) const { return static_cast<EntityId>(s.gateways + i); }
    EntityId front(int i) const { return static_cast<EntityId>(s.gateways + s.servers + i); }
    int server_of(EntityId id) const { return static_cast<int>(id) - s.gateways; }
    HostId host(int server) const { return HostId{static_cast<std::uint32_t>(server + 1)}; }
    int server_at(HostId host) const { return static_cast<int>(host) - 1; }
    int room(int server) const { return server % s.rooms; }
    std::vector<double> shares;    // of the customers, added up
};

template <class Random>
Duration delay(const Scenario& s, Random& random) {
    return s.delay +
           Duration(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(s.delay.count() + 1)));
}

void count(Figures::Rule& rule, bool kept, const std::function<std::string()>& course) {
    ++rule.checked;
    if (kept) return;
    if (rule.broken++ == 0) rule.first = course();
}

// ---- gateways ----

struct Sent {
    TimePoint at;
    CustomerId customer;
    float units;
};

class GatewayEntity : public TheKernel::Entity,
                      public Backend,
                      public Mail,
                      public ListSource,
                      public Clock,
                      public UseKeeper {
public:
    GatewayEntity(const Layout& layout, int me)
        : l_(layout), me_(me), random_(mix(layout.s.seed, static_cast<std::uint64_t>(me) + 1'000)) {
        engine_ = std::make_unique<Engine>(settings(), mix(l_.s.seed, static_cast<std::uint64_t>(me)), *this,
                                           timers_, counters_);
        engine_->connect(*this, *this, *this);
        engine_->keep_use_in(*this);
    }
    void handle(Message&& message, Context& context) override {
        context_ = &context;
        now_ = context.now();
        std::visit([this](auto&& m) { take(std::move(m)); }, std::move(message));
        timers_.run_due(now_);
        done_.clear();
        if (const auto next = timers_.next(); next && (!woken_at_ || *next < *woken_at_)) {
            woken_at_ = *next;
            context.wake(*next, Tick{});
        }
    }
    const Counters& counters() const { return counters_; }
    std::vector<Sent> sent;    // of customers with a ceiling
    std::map<std::string, Figures::Rule> rules;

private:
    struct Pending : shaletray::Front {
        GatewayEntity* gateway = nullptr;
        EntityId front = 0;
        std::uint64_t request = 0;
        RequestId id{};
        void served(Payload&&) override { gateway->end(*this, End::Served, {}); }
        void refused(Duration after) override { gateway->end(*this, End::Refused, after); }
        void failed() override { gateway->end(*this, End::Failed, {}); }
    };
    struct Known {    // of a request, for the rules
        bool may_have_run = false;
    };

    valehall::Settings settings() const {
        valehall::Settings v;
        v.me = me_;
        v.gateways = l_.s.gateways;
        v.classes = classes();
        v.plans = l_.s.plans;
        v.send_cap = 3;
        v.may_cancel = v.may_probe = v.may_tell = true;
        v.max_retry_after = 1s;
        v.drain_grace = kDrainGrace;
        v.cold = l_.s.model.cold;
        v.start_capacity = l_.s.model.cold_speed;
        v.fall_multiple = 4.0;
        v.fall = 1500ms;
        v.reports = valehall::ReportVia::Inline;
        v.peer_messages_per_s = 40.0;
        v.most_units = std::max(1.0, l_.s.units * 2.0);
        return v;
    }

    // Clock
    TimePoint now() const override { return now_; }

    // What comes in.
    void take(Tick&&) {
        if (woken_at_ && *woken_at_ <= now_) woken_at_.reset();
    }
    void take(Ask&& ask) {
        const EntityId front = l_.front(static_cast<int>(ask.request >> 40));
        auto pending = std::make_unique<Pending>();
        Pending& p = *pending;
        p.gateway = this;
        p.front = front;
        p.request = ask.request;
        open_.emplace(ask.request, std::move(pending));
        Arrival a;
        a.customer = ask.customer;
        a.class_index = ask.cls;
        a.plan_index = ask.plan;
        a.units = ask.units;
        a.budget = ask.budget;
        a.width = std::min(l_.s.gateways, 3);
        a.first_gateway = static_cast<int>(static_cast<std::uint64_t>(ask.customer) %
                                           static_cast<std::uint64_t>(l_.s.gateways));
        a.payload.head.assign(1, static_cast<char>(ask.cls));
        const RequestId id = engine_->take(p, std::move(a));
        if (const auto it = open_.find(ask.request); it != open_.end()) it->second->id = id;
    }
    void take(Leave&& leave) {
        const auto it = open_.find(leave.request);
        if (it == open_.end()) return;
        engine_->withdraw(it->second->id);
        done_.push_back(std::move(it->second));
        open_.erase(it);
    }
    void take(Ended&& e) {
        const AttemptId id{RequestId{e.request}, e.number};
        if (e.outcome == Outcome::Error || e.outcome == Outcome::Reset)
            known_[id.request].may_have_run = true;
        at_.erase(key(id));
        engine_->attempt_ended(id, e.outcome, {{"outstanding", e.out}, {"backlog", e.backlog}}, Payload{});
    }
    void take(Peer&& p) {
        engine_->mail_heard(valehall::PeerId{static_cast<int>(context_->from())}, std::move(p.bytes));
    }
    void take(valehall::HostList&& list) {
        for (const valehall::HostEntry& e : list.hosts) {
            if (e.state == valehall::HostState::Healthy) left_.erase(e.host);
            else left_.emplace(e.host, now_);
        }
        engine_->list_heard(std::move(list));
    }
    template <class Other>
    void take(Other&&) {}

    // What goes out.
    void send(AttemptId attempt, HostId host, const Payload& request, Duration) override {
        const int cls = request.head.empty() ? 0 : request.head[0];
        const auto course = [&] {
            return fmt::format("{:.6f}: gateway {} sends attempt {} of request {} ({}) to server {}",
                               secs(now_ - kStart), me_, attempt.number,
                               static_cast<std::uint32_t>(attempt.request),
                               classes()[static_cast<std::size_t>(cls)].name, l_.server_at(host));
        };
        if (cls == Submit && attempt.number > 0)
            count(rules["unasked repeats"], !known_[attempt.request].may_have_run, course);
        if (const auto it = left_.find(host); it != left_.end())
            count(rules["drains"], now_ - it->second <= kDrainGrace, course);
        at_[key(attempt)] = host;
        context_->send(l_.server(l_.server_at(host)), delay(l_.s, random_),
                       Attempt{static_cast<std::uint32_t>(attempt.request), attempt.number, cls});
    }
    void cancel(AttemptId attempt) override {
        known_[attempt.request].may_have_run = true;
        const auto it = at_.find(key(attempt));
        if (it == at_.end()) return;
        context_->send(l_.server(l_.server_at(it->second)), delay(l_.s, random_),
                       Cancel{static_cast<std::uint32_t>(attempt.request), attempt.number});
        at_.erase(it);
    }
    void probe(HostId host) override {
        // Answered by the listing's own knowledge a round trip later: what is not listed does not answer.
        engine_->probe_ended(host, left_.contains(host) ? Outcome::ConnectFailed : Outcome::Ok,
                             2 * l_.s.delay);
    }
    void tell(valehall::PeerId to, const std::vector<std::uint8_t>& bytes) override {
        Peer p{bytes};
        p.bytes.push_back(static_cast<std::uint8_t>(me_));
        if (l_.s.gateways <= 256)
            context_->send(l_.gateway(static_cast<int>(to)), delay(l_.s, random_), std::move(p));
    }
    void subscribe() override {}
    void admitted(const Admission& a) override {
        if (l_.s.plans[static_cast<std::size_t>(a.plan_index)].ceiling_rate > 0.0)
            sent.push_back({now_, a.customer, static_cast<float>(a.units)});
    }
    void end(Pending& p, End how, Duration after) {
        context_->send(p.front, delay(l_.s, random_), Answer{p.request, how, after});
        if (p.id != RequestId{}) known_.erase(p.id);
        const auto it = open_.find(p.request);
        done_.push_back(std::move(it->second));    // it may be on the call stack
        open_.erase(it);
    }
    static std::uint64_t key(AttemptId a) {
        return static_cast<std::uint64_t>(a.request) << 8 | static_cast<std::uint64_t>(a.number);
    }

    const Layout& l_;
    int me_;
    std::mt19937_64 random_;
    TimePoint now_ = kStart;
    Timers timers_;
    Counters counters_;
    std::unique_ptr<Engine> engine_;
    Context* context_ = nullptr;
    std::optional<TimePoint> woken_at_;
    std::unordered_map<std::uint64_t, std::unique_ptr<Pending>> open_;
    std::vector<std::unique_ptr<Pending>> done_;
    std::unordered_map<std::uint64_t, HostId> at_;
    std::unordered_map<RequestId, Known> known_;
    std::map<HostId, TimePoint> left_;    // draining or gone, and when that was heard
};

// ---- servers ----

class ServerEntity : public TheKernel::Entity {
public:
    ServerEntity(const Layout& layout, int me)
        : l_(layout),
          m_(layout.s.model),
          random_(mix(layout.s.seed, static_cast<std::uint64_t>(me) + 5'000'000)) {}

    void handle(Message&& message, Context& context) override {
        context_ = &context;
        if (auto* attempt = std::get_if<Attempt>(&message)) arrived(*attempt);
        else if (auto* gone = std::get_if<Cancel>(&message)) called_off(*gone);
        else if (auto* tick = std::get_if<Tick>(&message)) worked(tick->what);
        else if (auto* trouble = std::get_if<Trouble>(&message)) fault(*trouble);
    }
    std::uint64_t work_us = 0, wasted_us = 0;

private:
    struct Job {
        EntityId gateway = 0;
        Attempt attempt{};
        TimePoint began{};
        Duration takes{0};
        bool running = false, for_nobody = false;
    };
    double real() { return std::uniform_real_distribution<>(0.0, 1.0)(random_); }
    void say(const Job& job, Outcome outcome) {
        context_->send(job.gateway, delay(l_.s, random_),
                       Ended{job.attempt.request, job.attempt.number, outcome, static_cast<double>(running_),
                             static_cast<double>(queue_.size())});
    }
    void arrived(const Attempt& attempt) {
        // Who sent it stands in the request's own gateway: numbers of requests are by gateway.
        Job job;
        job.gateway = context_->from();
        job.attempt = attempt;
        if (lost_ > 0.0 && real() < lost_) return;    // swallowed on the way: nobody answers
        if (down_) return say(job, Outcome::ConnectFailed);
        if (errors_ > 0.0 && real() < errors_) return say(job, Outcome::Error);
        if (running_ >= m_.cores && queue_.size() >= static_cast<std::size_t>(m_.queue))
            return say(job, Outcome::Full);
        const std::uint64_t number = ++last_;
        by_attempt_[key(job.gateway, attempt.request, attempt.number)] = number;
        jobs_[number] = job;
        queue_.push_back(number);
        start();
    }
    void start() {
        while (running_ < m_.cores && head_ < queue_.size()) {
            const std::uint64_t number = queue_[head_++];
            if (head_ > 256 && head_ * 2 > queue_.size()) {
                queue_.erase(queue_.begin(), queue_.begin() + static_cast<std::ptrdiff_t>(head_));
                head_ = 0;
            }
            const auto it = jobs_.find(number);
            if (it == jobs_.end()) continue;    // called off while it waited
            Job& job = it->second;
            const double fill = static_cast<double>(queue_.size() - head_) / std::max(1, m_.queue);
            const double age = secs(context_->now() - up_since_);
            const double cold = secs(m_.cold) > 0.0 ? m_.cold_speed + (1.0 - m_.cold_speed) *
                                                                          std::min(1.0, age / secs(m_.cold))
                                                    : 1.0;
            double work = m_.work_ms * 1e-3 * std::lognormal_distribution<>(0.0, m_.tail)(random_);
            if (m_.heavy > 0.0 && real() < m_.heavy) work *= 10.0;
            work *= slow_ / (cold * (1.0 - m_.loss_when_full * std::min(1.0, fill)));
            job.running = true;
            job.began = context_->now();
            job.takes = from_secs(work);
            ++running_;
            context_->wake(context_->now() + job.takes, Tick{number});
        }
    }
    void worked(std::uint64_t number) {
        const auto it = jobs_.find(number);
        if (it == jobs_.end()) return;
        if (hung_until_ > context_->now()) return context_->wake(hung_until_, Tick{number});
        const Job job = it->second;
        finish(it, job.for_nobody ? job.takes : Duration(0));
        if (!job.for_nobody) say(job, Outcome::Ok);
        start();
    }
    void called_off(const Cancel& gone) {
        const auto at = by_attempt_.find(key(context_->from(), gone.request, gone.number));
        if (at == by_attempt_.end()) return;
        const auto it = jobs_.find(at->second);
        Job& job = it->second;
        if (!job.running) {
            by_attempt_.erase(at);
            jobs_.erase(it);
        } else if (m_.cancel_stops) {
            job.takes = context_->now() - job.began;
            finish(it, job.takes);
            start();
        } else {
            job.for_nobody = true;
        }
    }
    void finish(std::unordered_map<std::uint64_t, Job>::iterator it, Duration wasted) {
        work_us += static_cast<std::uint64_t>(it->second.takes.count());
        wasted_us += static_cast<std::uint64_t>(wasted.count());
        by_attempt_.erase(key(it->second.gateway, it->second.attempt.request, it->second.attempt.number));
        jobs_.erase(it);
        --running_;
    }
    void fault(const Trouble& t) {
        const double on = t.begins ? t.fault.by : 0.0;
        switch (t.fault.kind) {
            case Fault::Kind::Slow: slow_ = t.begins ? std::max(1.0, t.fault.by) : 1.0; return;
            case Fault::Kind::Errors: errors_ = on; return;
            case Fault::Kind::LinkLoss: lost_ = on; return;
            case Fault::Kind::Hang:
                hung_until_ = t.begins ? context_->now() + t.fault.lasts : TimePoint{};
                return;
            case Fault::Kind::Drain: return;    // what listens goes on; the list says that it leaves
            case Fault::Kind::Crash:
            case Fault::Kind::RoomLost: break;
        }
        down_ = t.begins;
        if (!down_) {
            up_since_ = context_->now();
            return;
        }
        std::vector<std::uint64_t> numbers;    // in their order: a map's own is nobody's
        for (const auto& [number, job] : jobs_) numbers.push_back(number);
        std::sort(numbers.begin(), numbers.end());
        for (const std::uint64_t number : numbers) say(jobs_.at(number), Outcome::Reset);
        jobs_.clear();
        by_attempt_.clear();
        queue_.clear();
        head_ = 0;
        running_ = 0;
    }
    static std::uint64_t key(EntityId gateway, std::uint32_t request, int number) {
        return static_cast<std::uint64_t>(gateway) << 40 | static_cast<std::uint64_t>(request) << 8 |
               static_cast<std::uint64_t>(number);
    }

    const Layout& l_;
    const ServerModel& m_;
    std::mt19937_64 random_;
    Context* context_ = nullptr;
    std::unordered_map<std::uint64_t, Job> jobs_;
    std::unordered_map<std::uint64_t, std::uint64_t> by_attempt_;
    std::vector<std::uint64_t> queue_;    // from head_ on; some may be called off
    std::size_t head_ = 0;
    int running_ = 0;
    std::uint64_t last_ = 0;
    double slow_ = 1.0, errors_ = 0.0, lost_ = 0.0;
    bool down_ = false;
    TimePoint hung_until_{}, up_since_{};
};

// ---- fronts ----

using Latency = decltype(boost::histogram::make_histogram(
    boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(2000, 0.1, 1e5)));

class FrontEntity : public TheKernel::Entity {
public:
    FrontEntity(const Layout& layout, int me)
        : l_(layout),
          me_(me),
          random_(mix(layout.s.seed, static_cast<std::uint64_t>(me) + 9'000'000)),
          latency_(boost::histogram::make_histogram(
              boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(2000, 0.1,
                                                                                              1e5))) {
        const auto seconds = static_cast<std::size_t>(std::ceil(secs(layout.s.time))) + 4;
        figures.served_by_second.resize(seconds);
        figures.refused_by_second.resize(seconds);
        figures.failed_by_second.resize(seconds);
    }
    void handle(Message&& message, Context& context) override {
        context_ = &context;
        if (auto* answer = std::get_if<Answer>(&message)) answered(*answer);
        else if (auto* tick = std::get_if<Tick>(&message)) ticked(tick->what);
    }
    // What was never answered, once all is over.
    void close() {
        std::vector<std::uint64_t> numbers;
        for (const auto& [number, r] : open_) numbers.push_back(number);
        std::sort(numbers.begin(), numbers.end());
        for (const std::uint64_t number : numbers) {
            const Request& r = open_.at(number);
            count(figures.rules["one answer"], false,
                  [&] { return course(number, r, "was never answered"); });
        }
    }
    Figures figures;
    const Latency& latency() const { return latency_; }
    std::size_t customers_seen() const { return seen_.size(); }

private:
    struct Request {
        CustomerId customer{};
        int cls = 0, tries = 0;
        double units = 1.0;
        TimePoint first{}, sent{};
        EntityId gateway = 0;
        bool out = false, left = false;
    };
    enum What : std::uint64_t { Arrive = 0, Again = 1, Go = 2 };
    double real() { return std::uniform_real_distribution<>(0.0, 1.0)(random_); }
    std::string course(std::uint64_t number, const Request& r, const std::string& what) const {
        return fmt::format(
            "request {:x} of customer {:x} ({}), first asked at {:.6f}, try {} sent at {:.6f} to gateway "
            "{}: {}",
            number, static_cast<std::uint64_t>(r.customer), classes()[static_cast<std::size_t>(r.cls)].name,
            secs(r.first - kStart), r.tries, secs(r.sent - kStart), r.gateway, what);
    }

    void ticked(std::uint64_t what) {
        const std::uint64_t number = what >> 2;
        if ((what & 3) == Arrive) return arrive();
        const auto it = open_.find(number);
        if (it == open_.end()) return;
        if ((what & 3) == Again) return ask(number, it->second);
        if (!it->second.out) return;
        it->second.left = true;
        context_->send(it->second.gateway, delay(l_.s, random_), Leave{number});
        ++figures.left;
        finish(it, 3);
    }
    void arrive() {
        const TimePoint now = context_->now();
        const TimePoint stop = kStart + l_.s.time;
        // On and off: while on, three times as much.
        const double mean = l_.s.rate / l_.s.fronts / (1.0 + 2.0 * l_.s.burst);
        const bool on = l_.s.burst > 0.0 && std::fmod(secs(now - kStart) + me_ * 1.7, 4.0) < 4.0 * l_.s.burst;
        const double gap = std::exponential_distribution<>(on ? 3.0 * mean : mean)(random_);
        if (const TimePoint next = now + from_secs(gap); next < stop) context_->wake(next, Tick{Arrive});
        const std::uint64_t number = static_cast<std::uint64_t>(me_) << 40 | ++last_;
        Request& r = open_[number];
        const auto rank = static_cast<std::uint64_t>(
            std::lower_bound(l_.shares.begin(), l_.shares.end(), real() * l_.shares.back()) -
            l_.shares.begin());
        r.customer =
            CustomerId{rank * static_cast<std::uint64_t>(l_.s.fronts) + static_cast<std::uint64_t>(me_)};
        seen_.insert(rank);
        const double which = real();
        r.cls = which < 0.6 ? Read : which < 0.85 ? Approve : Submit;
        r.units = l_.s.units * (real() < 0.5 ? 1.0 : 2.0);
        r.first = now;
        ++figures.requests;
        if (l_.s.leaves > 0.0 && real() < l_.s.leaves)
            context_->wake(now + from_secs(0.2 * real()), Tick{number << 2 | Go});
        ask(number, r);
    }
    void ask(std::uint64_t number, Request& r) {
        const TimePoint now = context_->now();
        const Duration left = r.first + l_.s.patience - now;
        if (left <= Duration(0)) {
            ++figures.refused;
            return finish(open_.find(number), 1);
        }
        if (now >= favourite_until_) {
            favourite_ = static_cast<int>(random_() % static_cast<std::uint64_t>(l_.s.gateways));
            favourite_until_ = now + kFavourite;
        }
        const int g = real() < l_.s.uneven
                          ? favourite_
                          : static_cast<int>(random_() % static_cast<std::uint64_t>(l_.s.gateways));
        ++r.tries;
        ++figures.tries;
        r.sent = now;
        r.gateway = l_.gateway(g);
        r.out = true;
        const int plan = static_cast<int>(static_cast<std::uint64_t>(r.customer) % l_.s.plans.size());
        context_->send(r.gateway, delay(l_.s, random_), Ask{number, r.customer, r.cls, plan, r.units, left});
    }
    void answered(const Answer& a) {
        const auto it = open_.find(a.request);
        if (it == open_.end() || !it->second.out) {
            // Only who left may still be answered; anything else is a second answer.
            if (!gone_.contains(a.request))
                count(figures.rules["one answer"], false,
                      [&] { return fmt::format("request {:x} was answered twice", a.request); });
            return;
        }
        Request& r = it->second;
        r.out = false;
        const TimePoint now = context_->now();
        const Duration late = now - (r.first + l_.s.patience) - 4 * l_.s.delay;
        count(figures.rules["one answer"], true, [] { return std::string(); });
        count(figures.rules["in time"], late <= kAnswerSlack,
              [&] { return course(a.request, r, fmt::format("answered {:.3f} s late", secs(late))); });
        const auto second = static_cast<std::size_t>(std::max(0.0, secs(now - kStart)));
        const auto at = [&](std::vector<std::uint64_t>& by) -> std::uint64_t& {
            return by[std::min(second, by.size() - 1)];
        };
        if (a.end == End::Served) {
            ++figures.served;
            ++at(figures.served_by_second);
            const double ms = 1e3 * secs(now - r.first);
            figures.in_aim += now - r.first <= classes()[static_cast<std::size_t>(r.cls)].aim;
            latency_(std::max(0.1, ms));
            return finish(it, 0);
        }
        figures.refusals += a.end == End::Refused;
        const bool again = a.end == End::Refused || r.cls == Read;
        const Duration wait = std::max(a.retry_after, Duration(20'000)) + from_secs(0.05 * real());
        if (again && r.tries < l_.s.tries && now + wait < r.first + l_.s.patience)
            return context_->wake(now + wait, Tick{a.request << 2 | Again});
        ++(a.end == End::Refused ? figures.refused : figures.failed);
        ++at(a.end == End::Refused ? figures.refused_by_second : figures.failed_by_second);
        finish(it, a.end == End::Refused ? 1 : 2);
    }
    void finish(std::unordered_map<std::uint64_t, Request>::iterator it, std::uint64_t how) {
        figures.digest = mix(figures.digest ^ it->first,
                             how + static_cast<std::uint64_t>((context_->now() - kStart).count()) * 4);
        if (it->second.left) gone_.insert(it->first);
        open_.erase(it);
    }

    const Layout& l_;
    int me_;
    std::mt19937_64 random_;
    Context* context_ = nullptr;
    std::unordered_map<std::uint64_t, Request> open_;
    std::set<std::uint64_t> gone_;
    std::set<std::uint64_t> seen_;
    std::uint64_t last_ = 0;
    int favourite_ = 0;
    TimePoint favourite_until_{};
    Latency latency_;
};

// ---- the whole ----

double quantile(const Latency& h, double q) {
    double all = 0.0;
    for (const auto& cell : boost::histogram::indexed(h)) all += *cell;
    double sum = 0.0;
    for (const auto& cell : boost::histogram::indexed(h)) {
        sum += *cell;
        if (sum >= q * all && all > 0.0) return cell.bin(0).center();
    }
    return 0.0;
}

// One store that sees all gateways.
void check_ceilings(const Scenario& s, std::vector<Sent>&& sent, Figures& figures) {
    std::stable_sort(sent.begin(), sent.end(), [](const Sent& a, const Sent& b) {
        return a.customer != b.customer ? a.customer < b.customer : a.at < b.at;
    });
    double level = 0.0;
    for (std::size_t i = 0; i < sent.size(); ++i) {
        const auto& p = s.plans[static_cast<std::size_t>(sent[i].customer) % s.plans.size()];
        const bool first = i == 0 || sent[i].customer != sent[i - 1].customer;
        level = first ? p.ceiling_burst
                      : std::min(p.ceiling_burst, level + p.ceiling_rate * secs(sent[i].at - sent[i - 1].at));
        level -= static_cast<double>(sent[i].units);
        const double slack = std::max(p.ceiling_slack, std::max(2.0 * s.units, 0.1 * p.ceiling_burst));
        count(figures.rules["ceilings"], level >= -slack, [&] {
            return fmt::format(
                "customer {:x} is {:.3f} units over its ceiling at {:.6f}, {:.3f} are its slack",
                static_cast<std::uint64_t>(sent[i].customer), -level, secs(sent[i].at - kStart), slack);
        });
    }
}

}    // namespace

const char* name_of(Fault::Kind kind) {
    switch (kind) {
        case Fault::Kind::Crash: return "crash";
        case Fault::Kind::Slow: return "slow";
        case Fault::Kind::Hang: return "hang";
        case Fault::Kind::Errors: return "errors";
        case Fault::Kind::Drain: return "drain";
        case Fault::Kind::RoomLost: return "room_lost";
        case Fault::Kind::LinkLoss: return "link_loss";
    }
    return "?";
}

void Scenario::check() const {
    const auto need = [](bool good, const char* what) {
        if (!good) throw std::invalid_argument(std::string("scenario: ") + what);
    };
    need(time > Duration(0) && time <= 24h, "time: expected more than 0 and at most a day");
    need(gateways >= 1 && gateways <= 1000, "gateways: expected 1 to 1000");
    need(servers >= 1 && servers <= 100'000, "servers: expected 1 to 100000");
    need(rooms >= 1 && rooms <= servers, "rooms: expected 1 to as many as servers");
    need(fronts >= 1 && fronts <= 1000, "fronts: expected 1 to 1000");
    need(customers >= static_cast<std::uint64_t>(fronts) && customers <= 100'000'000,
         "customers: expected one for each front at least, and at most 100 million");
    need(rate > 0.0 && rate <= 1e7, "rate: expected more than 0");
    need(zipf >= 0.0 && zipf <= 5.0, "zipf: expected 0 to 5");
    need(burst >= 0.0 && burst < 1.0 && uneven >= 0.0 && uneven <= 1.0 && leaves >= 0.0 && leaves <= 1.0,
         "burst, uneven, leaves: expected parts of 1");
    need(tries >= 1 && tries <= 100, "tries: expected 1 to 100");
    need(units > 0.0, "units: expected more than 0");
    need(delay >= Duration(1) && delay <= 10s, "delay: expected 1 us to 10 s");
    need(model.cores >= 1 && model.queue >= 0 && model.work_ms > 0.0 && model.loss_when_full < 1.0 &&
             model.cold_speed > 0.0 && model.cold_speed <= 1.0,
         "model: a server must be able to work");
    for (std::size_t i = 0; i < faults.size(); ++i) {
        const Fault& f = faults[i];
        const auto wrong = [&](const char* what) {
            throw std::invalid_argument(
                fmt::format("scenario: faults[{}] ({}): {}", i, name_of(f.kind), what));
        };
        if (f.at < Duration(0) || f.at >= time)
            wrong("begins outside of the scenario's time: it would never happen");
        if (f.kind == Fault::Kind::RoomLost) {
            if (f.room < 0 || f.room >= rooms) wrong("there is no such room");
        } else if (f.server < 0 || f.server >= servers) {
            wrong("there is no such server");
        }
        if ((f.kind == Fault::Kind::Errors || f.kind == Fault::Kind::LinkLoss) &&
            !(f.by > 0.0 && f.by <= 1.0))
            wrong("by: expected a part of the requests");
        for (std::size_t k = 0; k < i; ++k) {
            const Fault& o = faults[k];
            const bool both_end = (f.kind == Fault::Kind::Crash || f.kind == Fault::Kind::RoomLost) &&
                                  (o.kind == Fault::Kind::Crash || o.kind == Fault::Kind::RoomLost);
            const auto room_of = [&](const Fault& of) {
                return of.kind == Fault::Kind::RoomLost ? of.room : of.server % rooms;
            };
            const bool same = f.kind == Fault::Kind::Crash && o.kind == Fault::Kind::Crash
                                  ? f.server == o.server
                                  : room_of(f) == room_of(o);
            if (both_end && same && f.at < o.at + o.lasts && o.at < f.at + f.lasts)
                wrong("the server is down already by an earlier fault");
        }
    }
}

std::size_t fitting_threads(const Scenario& s, std::size_t most) {
    constexpr double kEventsOfRequest = 10.0, kWorthAThread = 50.0;
    const double in_a_window = s.rate * kEventsOfRequest * secs(s.delay);
    return std::clamp<std::size_t>(static_cast<std::size_t>(in_a_window / kWorthAThread), 1,
                                   std::max<std::size_t>(1, most));
}

bool Figures::kept() const {
    return std::all_of(rules.begin(), rules.end(), [](const auto& rule) { return rule.second.broken == 0; });
}

Figures run(const Scenario& scenario, std::size_t threads) {
    Layout l;
    l.s = scenario;
    if (l.s.plans.empty()) l.s.plans = {{"wide", 1e6, 1e6, 0, 0.0, 0.0, 0.0, 1.0, 0.0, 0.0}};
    l.s.check();
    const Scenario& s = l.s;
    const std::uint64_t each = s.customers / static_cast<std::uint64_t>(s.fronts);
    double sum = 0.0;
    l.shares.reserve(each);
    for (std::uint64_t rank = 0; rank < each; ++rank)
        l.shares.push_back(sum += std::pow(static_cast<double>(rank + 1), -s.zipf));
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

    // Discovery: what it says follows from the faults, and reaches each gateway in its own time.
    valehall::HostList all;
    for (int i = 0; i < s.servers; ++i) {
        valehall::HostEntry e;
        e.host = l.host(i);
        e.zone = l.room(i);
        e.cell = i % 4;
        e.rating = kSpare;
        all.hosts.push_back(e);
    }
    std::mt19937_64 random(mix(s.seed, 77));
    const auto listed = [&](int server, valehall::HostState state, Duration at, TimePoint born) {
        valehall::HostList list;
        list.kind = valehall::ListKind::Delta;
        list.hosts = {all.hosts[static_cast<std::size_t>(server)]};
        list.hosts[0].state = state;
        list.hosts[0].born = born;
        for (int g = 0; g < s.gateways; ++g) {
            const Duration heard = at + s.list_delay +
                                   Duration(static_cast<std::int64_t>(
                                       random() % static_cast<std::uint64_t>(s.list_delay.count() + 1)));
            kernel.schedule(l.gateway(g), kStart + heard, list);
        }
    };
    for (int g = 0; g < s.gateways; ++g) kernel.schedule(l.gateway(g), kStart, all);
    for (const Fault& f : s.faults) {
        for (int i = 0; i < s.servers; ++i) {
            if (f.kind == Fault::Kind::RoomLost ? l.room(i) != f.room : i != f.server) continue;
            kernel.schedule(l.server(i), kStart + f.at, Trouble{f, true});
            kernel.schedule(l.server(i), kStart + f.at + f.lasts, Trouble{f, false});
            if (f.kind == Fault::Kind::Drain) {
                listed(i, valehall::HostState::Draining, f.at, {});
                listed(i, valehall::HostState::Healthy, f.at + f.lasts, {});
            } else if (f.kind == Fault::Kind::Crash || f.kind == Fault::Kind::RoomLost) {
                if (f.lasts > kNoticed) listed(i, valehall::HostState::Gone, f.at + kNoticed, {});
                listed(i, valehall::HostState::Healthy, f.at + f.lasts, kStart + f.at + f.lasts);
            }
        }
    }
    for (int i = 0; i < s.fronts; ++i) kernel.schedule(l.front(i), kStart + Duration(1000 + i), Tick{0});
    kernel.run(kStart + s.time + s.patience + 1s);

    Figures figures;
    for (const char* name : {"one answer", "in time", "unasked repeats", "drains", "ceilings"})
        figures.rules[name];
    std::vector<Sent> sent;
    const auto add_rules = [&](const std::map<std::string, Figures::Rule>& rules) {
        for (const auto& [name, rule] : rules) {
            Figures::Rule& to = figures.rules[name];
            if (to.broken == 0) to.first = rule.first;
            to.checked += rule.checked;
            to.broken += rule.broken;
        }
    };
    for (GatewayEntity* g : gateways) {
        add_rules(g->rules);
        sent.insert(sent.end(), g->sent.begin(), g->sent.end());
        figures.attempts += g->counters().sent;
        figures.called_off += g->counters().cancelled;
    }
    for (ServerEntity* server : servers) {
        figures.work_us += server->work_us;
        figures.wasted_work_us += server->wasted_us;
    }
    Latency latency = fronts[0]->latency();
    const auto add_seconds = [](std::vector<std::uint64_t>& to, const std::vector<std::uint64_t>& from) {
        to.resize(std::max(to.size(), from.size()));
        for (std::size_t i = 0; i < from.size(); ++i) to[i] += from[i];
    };
    for (std::size_t i = 0; i < fronts.size(); ++i) {
        FrontEntity& f = *fronts[i];
        f.close();
        if (i > 0) latency += f.latency();
        const Figures& from = f.figures;
        figures.requests += from.requests;
        figures.tries += from.tries;
        figures.served += from.served;
        figures.in_aim += from.in_aim;
        figures.refused += from.refused;
        figures.failed += from.failed;
        figures.left += from.left;
        figures.refusals += from.refusals;
        figures.customers_seen += f.customers_seen();
        figures.digest = mix(figures.digest, from.digest);
        add_rules(from.rules);
        add_seconds(figures.served_by_second, from.served_by_second);
        add_seconds(figures.refused_by_second, from.refused_by_second);
        add_seconds(figures.failed_by_second, from.failed_by_second);
    }
    check_ceilings(s, std::move(sent), figures);
    figures.p50_ms = quantile(latency, 0.5);
    figures.p99_ms = quantile(latency, 0.99);
    figures.p999_ms = quantile(latency, 0.999);
    figures.events = kernel.events();
    for (const std::uint64_t v :
         {figures.served, figures.refused, figures.failed, figures.attempts, figures.work_us})
        figures.digest = mix(figures.digest, v);
    return figures;
}

}    // namespace shaletray::lab
