#include "gateway/request_dispatcher.h"

#include <algorithm>
#include <set>
#include <utility>

#include "base/common/log.h"

namespace shaletray::gateway {
namespace {

using namespace std::chrono_literals;

// A request waits for units for this part of its aim at most, so that a refusal still comes early.
constexpr double kWaitShare = 0.2;
constexpr Duration kLongestWait = 250ms;
// Advice where servers have no room: spread, so that those turned away do not come back together.
constexpr Duration kComeBackLeast = 40ms, kComeBackSpread = 120ms;
constexpr Duration kDial = 1s;
constexpr Duration kIdle = 5s;    // kept connections, where servers state nothing
// Parts of the rule on repeats that are used: each pilot measures on its own windows.
constexpr double kRatioUsed = 0.8, kSlackUsed = 0.35;
// Work alone may take a good part of the aim: less is let out only where queues are what takes the time.
constexpr double kLatencyGoal = 0.85;
constexpr double kLateShare = 0.3;    // an answer after the aim still earns a part
constexpr int kMostOpen = 2000;       // requests of one service

ServerPool::Limits pool_limits() {
    ServerPool::Limits limits;
    limits.dial = kDial;
    limits.idle = kIdle;
    return limits;
}

decision::ClassSettings class_of(const configuration::Route& route) {
    decision::ClassSettings c;
    c.name = route.name;
    c.repeat = route.kind == configuration::RouteKind::Idempotent ? decision::Repeat::Safe
                                                                  : decision::Repeat::Unsafe;
    c.aim = route.target_latency > Duration(0) ? std::min(route.target_latency, route.timeout)
                                               : route.timeout / 2;
    c.give_up = route.timeout;
    c.late_share = kLateShare;
    c.max_attempts = route.max_attempts;
    return c;
}

}    // namespace

struct Desk::Line {
    Line(Desk& desk, std::string name, const decision::Settings& s, std::uint64_t seed)
        : service(std::move(name)),
          settings(s),
          engine(s, seed, desk.reactor_.clock(), desk.timers_, desk.counters_),
          pool(engine, desk.fleet_, desk.tongue_, desk.sockets_, desk.counters_, desk.reactor_,
               pool_limits()) {
        engine.connect(pool, no_mail, no_lists);
        engine.behave({true, true});
    }
    struct NoMail : Mail {
        void tell(PeerId, const std::vector<std::uint8_t>&) override {}
    } no_mail;
    struct NoLists : ListSource {
        void subscribe() override {}
    } no_lists;
    std::string service;
    decision::Settings settings;
    Engine engine;
    ServerPool pool;
    std::unordered_map<std::string, int> class_of_route;
};

// One request, between its client's connection and the engine.
class Desk::Open final : public Front {
public:
    Open(Desk& desk, std::uint64_t ticket, Front& front, Arrival&& arrival)
        : desk_(desk), ticket(ticket), front(&front), purpose(arrival.purpose), arrival(std::move(arrival)) {}

    void served(Payload&& answer) override {
        ++desk_.counts_.served;
        Front* const to = front;
        desk_.forget(*this);
        to->served(std::move(answer));
    }
    void refused(Duration, Refusal why) override {
        ++desk_.counts_.refused_room;
        if (charged) desk_.tide_->give_back(tenant(), desk_.reactor_.clock().now());
        Front* const to = front;
        const Duration wait = desk_.come_back();
        desk_.forget(*this);
        to->refused(wait, why);
    }
    void failed(Failure why, Payload&& answer) override {
        ++desk_.counts_.failed;
        Front* const to = front;
        desk_.forget(*this);
        to->failed(why, std::move(answer));
    }
    const http_mapping::Errand& errand() const {
        return *static_cast<const http_mapping::Errand*>(purpose.get());
    }
    const std::string& tenant() const { return tenant_name; }

private:
    Desk& desk_;

public:
    std::uint64_t ticket;
    Front* front;
    std::shared_ptr<const void> purpose;
    Arrival arrival;    // until it is sent on
    std::string tenant_name;
    Line* at = nullptr;
    RequestId request{};
    Timers::Id patience = 0;
    Duration retry_after{0};
    TimePoint came{};
    bool charged = false, waits = false, answered = false;
};

Desk::Desk(DeskSettings settings, Reactor& reactor, Timers& timers, Counters& counters,
           http_mapping::Fleet& fleet, quota::Tide& tide, std::function<void()> tide_due)
    : settings_(settings),
      reactor_(reactor),
      timers_(timers),
      counters_(counters),
      fleet_(fleet),
      tide_(&tide),
      tide_due_(std::move(tide_due)),
      tongue_([this](HostId host) -> std::optional<http_mapping::Tongue::Target> {
          const std::string* const id = fleet_.id_of(host);
          if (id == nullptr) return std::nullopt;
          const auto check = health_checks_.find(*fleet_.service_of(host));
          return http_mapping::Tongue::Target{*id, check == health_checks_.end() ? "/" : check->second};
      }),
      sockets_(settings.server_sockets),
      random_(settings.seed) {}

Desk::~Desk() {
    for (auto& [ticket, open] : open_) reactor_.cancel(open->patience);
}

// ---- requests ----

std::uint64_t Desk::take(Front& front, Arrival&& arrival) {
    const std::uint64_t ticket = ++last_;
    const TimePoint now = reactor_.clock().now();
    Open& open = *open_.emplace(ticket, std::make_unique<Open>(*this, ticket, front, std::move(arrival)))
                      .first->second;
    open.came = now;
    const http_mapping::Errand& errand = open.errand();
    if (errand.tenant == nullptr || errand.tenant->rate_per_s <= 0.0) {
        send_on(open);
        return ticket;
    }
    open.tenant_name = errand.tenant->name;
    const Duration aim = class_of(*errand.route).aim;
    const Duration patience = std::min(
        {kLongestWait, Duration(static_cast<std::int64_t>(static_cast<double>(aim.count()) * kWaitShare)),
         open.arrival.budget / 3});
    Duration retry_after{0};
    quota::Ruling ruling = tide_->ask(open.tenant_name, patience, now, retry_after);
    if (ruling == quota::Ruling::Wait && waiting_count_ >= settings_.most_waiting)
        ruling = quota::Ruling::Refused;
    switch (ruling) {
        case quota::Ruling::Granted:
            open.charged = true;
            send_on(open);
            break;
        case quota::Ruling::Refused: refuse_quota(open, retry_after); break;
        case quota::Ruling::Wait:
            ++counts_.waited;
            open.waits = true;
            open.retry_after = retry_after;
            waiting_[open.tenant_name].push_back(ticket);
            ++waiting_count_;
            tide_->waits(open.tenant_name, 1);
            open.patience = reactor_.after(patience, [this, ticket] {
                const auto it = open_.find(ticket);
                if (it == open_.end() || !it->second->waits) return;
                Open& late = *it->second;
                late.patience = 0;
                if (ask_again(late)) return;
                end_wait(late);
                refuse_quota(late, late.retry_after);
            });
            tide_due_();
            break;
    }
    return ticket;
}

void Desk::end_wait(Open& open) {
    open.waits = false;
    reactor_.cancel(open.patience);
    const auto it = waiting_.find(open.tenant_name);
    std::erase(it->second, open.ticket);
    if (it->second.empty()) waiting_.erase(it);
    --waiting_count_;
    tide_->waits(open.tenant_name, -1);
}

// Sends it on where there is a unit for it now; else it goes on waiting.
bool Desk::ask_again(Open& open) {
    const TimePoint now = reactor_.clock().now();
    tide_->waits(open.tenant_name, -1);
    const quota::Ruling ruling = tide_->ask(open.tenant_name, Duration(0), now, open.retry_after);
    tide_->waits(open.tenant_name, 1);
    if (ruling != quota::Ruling::Granted) return false;
    end_wait(open);
    open.charged = true;
    open.arrival.budget = std::max(Duration(0), open.arrival.budget - (now - open.came));
    send_on(open);
    return true;
}

void Desk::refuse_quota(Open& open, Duration retry_after) {
    ++counts_.refused_quota;
    Front* const to = open.front;
    forget(open);
    to->refused(retry_after, Refusal::Quota);
}

void Desk::send_on(Open& open) {
    if (open.charged) ++counts_.granted;
    const http_mapping::Errand& errand = open.errand();
    Line& to = line(configuration::Table::pick(*errand.route, random_()));
    const auto cls = to.class_of_route.find(errand.route->name);
    if (cls == to.class_of_route.end()) {    // the chart has moved the route on while this one waited
        open.refused(Duration(0), Refusal::Room);
        return;
    }
    Arrival arrival = std::move(open.arrival);
    arrival.class_index = cls->second;
    open.at = &to;
    const std::uint64_t ticket = open.ticket;
    const RequestId request = to.engine.take(open, std::move(arrival));
    // It may have been answered by now.
    if (const auto it = open_.find(ticket); it != open_.end()) it->second->request = request;
}

void Desk::withdraw(std::uint64_t ticket) {
    const auto it = open_.find(ticket);
    if (it == open_.end()) return;
    Open& open = *it->second;
    if (open.waits) {
        end_wait(open);
    } else if (open.at != nullptr) {
        open.at->engine.withdraw(open.request);
    }
    forget(open);
}

// The front is still owed its call: it is made after this.
void Desk::forget(Open& open) {
    reactor_.cancel(open.patience);
    const auto it = open_.find(open.ticket);
    if (it == open_.end()) return;
    struct Done : Retired {
        explicit Done(std::unique_ptr<Open> o) : open(std::move(o)) {}
        std::unique_ptr<Open> open;
    };
    reactor_.retire(std::make_unique<Done>(std::move(it->second)));
    open_.erase(it);
}

void Desk::units_came(const std::vector<std::string>& tenants) {
    for (const std::string& tenant : tenants) {
        for (;;) {
            const auto it = waiting_.find(tenant);
            if (it == waiting_.end()) break;
            if (!ask_again(*open_.at(it->second.front()))) break;
        }
    }
}

void Desk::quotas_from(quota::Tide& tide) {
    tide_ = &tide;
    for (const auto& [tenant, queue] : waiting_) tide_->waits(tenant, static_cast<int>(queue.size()));
}

void Desk::give_up_all() {
    std::vector<std::uint64_t> waiting;
    for (const auto& [ticket, open] : open_) {
        if (open->waits) waiting.push_back(ticket);
    }
    for (const std::uint64_t ticket : waiting) {
        const auto it = open_.find(ticket);
        if (it == open_.end()) continue;
        end_wait(*it->second);
        refuse_quota(*it->second, it->second->retry_after);
    }
    for (auto& [service, line] : lines_) line->engine.give_up_all();
}

Duration Desk::come_back() {
    return kComeBackLeast + Duration(static_cast<std::int64_t>(
                                random_() % static_cast<std::uint64_t>(kComeBackSpread.count())));
}

// ---- services ----

Desk::Line& Desk::line(const std::string& service) {
    if (const auto it = lines_.find(service); it != lines_.end()) return *it->second;
    decision::Settings s;
    s.gateways = static_cast<int>(std::max<std::uint32_t>(1, pilots_));
    s.zone = settings_.zone;
    s.may_cancel = true;
    s.may_probe = true;
    s.max_retry_after = 1s;
    s.max_open = kMostOpen;
    s.retry_start = 0.0;    // what an earlier life had may be spent
    s.retry_refunds = true;
    s.classes.emplace_back();
    Line& made = *lines_.emplace(service, std::make_unique<Line>(*this, service, s, random_())).first->second;
    set_up(made);
    made.engine.list_heard(fleet_.list(service));
    return made;
}

// Classes and limits of a service, by the chart in force and the number of pilots.
void Desk::set_up(Line& line) {
    decision::Settings& s = line.settings;
    const std::vector<decision::ClassSettings> before = s.classes;
    const decision::RequestLimits limits = s;
    s.classes.clear();
    s.send_cap = 1;
    if (const auto here = routes_to_.find(line.service); here != routes_to_.end()) {
        for (const configuration::Route* route : here->second) {
            s.classes.push_back(class_of(*route));
            s.send_cap = std::max(s.send_cap, route->max_attempts);
        }
    }
    if (s.classes.empty()) s.classes.emplace_back();    // nothing goes there now
    const double part = kSlackUsed * settings_.retry_slack / pilots_;
    s.retry_share = kRatioUsed * settings_.retry_ratio;
    s.retry_burst = std::max(1.0, part);
    s.retry_refill_per_s = part / std::chrono::duration<double>(settings_.retry_window).count();
    s.latency_goal = kLatencyGoal;
    s.least_out = std::max(2.0, fleet_.mean_capacity(line.service));    // what surely finds a place
    s.sharing = static_cast<int>(pilots_);
    const bool same = before == s.classes && limits == static_cast<const decision::RequestLimits&>(s);
    if (same && !line.class_of_route.empty()) return;
    const std::vector<int> places = line.engine.adopt(s);
    line.class_of_route.clear();
    for (std::size_t i = 0; i < s.classes.size(); ++i) line.class_of_route[s.classes[i].name] = places[i];
}

void Desk::chart(std::shared_ptr<const configuration::Table> table) {
    table_ = std::move(table);
    health_checks_.clear();
    for (const configuration::Service& service : table_->chart().services)
        health_checks_[service.name] = service.health_check;
    routes_to_.clear();
    for (const configuration::Route& route : table_->chart().routes) {
        for (const configuration::Share& share : route.to) {
            std::vector<const configuration::Route*>& here = routes_to_[share.service];
            if (here.empty() || here.back() != &route) here.push_back(&route);
        }
    }
    for (const auto& [service, routes] : routes_to_) line(service);
    // A service that nothing leads to any more keeps its engine, with what it learned: it may come back. At
    // rest it costs its memory and a tick each 100 ms.
    for (auto& [service, line] : lines_) set_up(*line);
}

void Desk::servers_changed(const std::set<std::string>& services) {
    for (const std::string& service : services) {
        const auto it = lines_.find(service);
        if (it == lines_.end()) continue;
        set_up(*it->second);
        it->second->engine.list_heard(fleet_.list(service));
        it->second->pool.list_changed();
    }
}

void Desk::pilots(std::uint32_t count) {
    count = std::max<std::uint32_t>(1, count);
    if (count == pilots_) return;
    pilots_ = count;
    for (auto& [service, line] : lines_) set_up(*line);
}

}    // namespace shaletray::gateway
