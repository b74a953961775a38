// Servers of unequal speed that many gateways share without load reports: what the module's choice makes of
// them, beside one queue's ideal that sees all. The module itself in virtual time, without sockets: gateways
// with uneven shares of the clients, servers of a few slots with a short queue that turn away what is beyond.
//   SEED= from the environment. Ends non-zero where a bound breaks.
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "decision/control.h"

namespace {

using namespace shaletray::decision;
using namespace std::chrono_literals;

double ms(Duration d) { return std::chrono::duration<double, std::milli>(d).count(); }

struct Site {
    std::string name;
    double load = 0.5;    // of what all servers can do, before anything is asked again
    int gateways = 11, slots = 6;
    std::vector<double> speeds;    // of each server
    Duration work{220ms}, aim{600ms}, patience{2500ms};
    bool repeatable = true;

    double rate() const {    // requests a second over all gateways
        double speed = 0.0;
        for (const double one : speeds) speed += one;
        return load * speed * slots / std::chrono::duration<double>(work).count();
    }
};
constexpr double kDeviation = 0.4;    // sigma of the work's logarithm

enum class Policy { Module, Ideal };

struct Figures {    // times in ms; the others a request
    double p50 = 0, p99 = 0, late = 0, unserved = 0, full = 0, refused = 0, sends = 0;

    static constexpr double Figures::*kAll[] = {&Figures::p50,      &Figures::p99,  &Figures::late,
                                                &Figures::unserved, &Figures::full, &Figures::refused,
                                                &Figures::sends};
    void operator+=(const Figures& other) {
        for (const auto figure : kAll) this->*figure += other.*figure;
    }
    void operator/=(double by) {
        for (const auto figure : kAll) this->*figure /= by;
    }
};

struct Server {
    double speed = 1.0;
    int busy = 0;
    std::vector<std::function<void()>> line;    // first come, first served
};

class World {
public:
    World(const Site& site, Policy policy, std::uint64_t seed, const std::function<void(Settings&)>& tune)
        : site_(site), policy_(policy), random_(seed) {
        for (const double speed : site.speeds) servers_.push_back({speed, 0, {}});
        Settings s;
        s.gateways = site.gateways;
        ClassSettings c;
        c.name = "c";
        c.repeat = site.repeatable ? Repeat::Safe : Repeat::Unsafe;
        c.aim = site.aim;
        c.give_up = site.patience;
        c.late_share = 0.3;
        s.classes = {c};
        s.plans = {PlanSettings{}};
        s.send_cap = 3;
        s.may_cancel = true;
        s.max_retry_after = 2s;
        s.retry_burst = s.retry_start = 20.0 / site.gateways;
        s.retry_refunds = true;
        tune(s);
        std::uniform_real_distribution<double> share(0.4, 1.6);
        for (int i = 0; i < site.gateways; ++i) {
            s.me = i;
            gateways_.push_back({std::make_unique<Gateway>(s, random_()), share(random_), {}});
        }
        HostList list;
        for (std::size_t i = 0; i < servers_.size(); ++i) {
            HostEntry e;
            e.host = HostId{static_cast<std::uint32_t>(i + 1)};
            list.hosts.push_back(e);
        }
        for (int i = 0; i < site.gateways; ++i) feed(i, list);
    }

    Figures run(Duration warm, Duration span) {
        const TimePoint begin = now_ + warm, end = begin + span;
        std::exponential_distribution<double> gap(site_.rate());
        std::function<void()> arrive = [&] {
            const bool counts = now_ >= begin && now_ < end;
            if (now_ < end) {
                auto* r = new Client{now_, counts, 0};
                clients_.emplace_back(r);
                if (counts) ++asked_;
                ask(r);
                after(Duration(static_cast<std::int64_t>(gap(random_) * 1e6)), arrive);
            }
        };
        after(1ms, arrive);
        while (!events_.empty()) {
            const auto e = events_.top();
            if (e.at > end + 10s) break;
            events_.pop();
            now_ = e.at;
            e.what();
        }
        Figures f;
        std::sort(took_.begin(), took_.end());
        f.p50 = took_[took_.size() / 2];
        f.p99 = took_[std::min(took_.size() - 1, took_.size() * 99 / 100)];
        const auto late = took_.end() - std::upper_bound(took_.begin(), took_.end(), ms(site_.aim));
        f.late = (static_cast<double>(late) + static_cast<double>(asked_ - took_.size())) /
                 static_cast<double>(asked_);
        f.unserved = static_cast<double>(asked_ - took_.size()) / static_cast<double>(asked_);
        f.full = static_cast<double>(full_) / static_cast<double>(asked_);
        f.refused = static_cast<double>(refused_) / static_cast<double>(asked_);
        f.sends = static_cast<double>(sends_) / static_cast<double>(asked_);
        return f;
    }

private:
    struct Client {
        TimePoint began;
        bool counts;
        int tries;
    };
    struct Out {
        Client* client = nullptr;
        int attempts = 0;
        bool done = false;
        TimePoint deadline{};
    };
    struct Instance {
        std::unique_ptr<Gateway> module;
        double share = 1.0;
        std::map<std::uint32_t, Out> requests;
    };
    struct Event {
        TimePoint at;
        std::uint64_t order;
        std::function<void()> what;
        bool operator<(const Event& other) const {
            return std::tie(other.at, other.order) < std::tie(at, order);
        }
    };

    void after(Duration d, std::function<void()> what) {
        events_.push({now_ + d, ++order_, std::move(what)});
    }
    void feed(int g, const shaletray::decision::Event& event) {
        std::vector<Action> actions;
        gateways_[static_cast<std::size_t>(g)].module->handle(now_, event, actions);
        for (const Action& a : actions) act(g, a);
    }

    void ask(Client* c) {
        ++c->tries;
        if (policy_ == Policy::Ideal) return ask_ideal(c);
        double total = 0;
        for (const Instance& i : gateways_) total += i.share;
        double draw = std::uniform_real_distribution<double>(0, total)(random_);
        int g = 0;
        while (g + 1 < site_.gateways && (draw -= gateways_[static_cast<std::size_t>(g)].share) > 0) ++g;
        RequestArrived r;
        r.request = RequestId{++last_};
        r.customer = CustomerId{7};
        r.budget = std::chrono::duration_cast<Duration>(c->began + site_.patience - now_);
        gateways_[static_cast<std::size_t>(g)].requests[last_] = {c, 0, false, c->began + site_.patience};
        feed(g, r);
    }

    void act(int g, const Action& action) {
        Instance& i = gateways_[static_cast<std::size_t>(g)];
        if (const auto* a = std::get_if<Send>(&action)) return send(g, *a);
        if (const auto* a = std::get_if<SetTimer>(&action)) {
            events_.push({std::max(now_, a->at), ++order_, [this, g] { feed(g, TimerFired{0}); }});
        } else if (const auto* a = std::get_if<Refuse>(&action)) {
            Client* c = i.requests.at(static_cast<std::uint32_t>(a->request)).client;
            i.requests.erase(static_cast<std::uint32_t>(a->request));
            if (c->counts) ++refused_;
            again(c, a->retry_after);
        } else if (const auto* a = std::get_if<Fail>(&action)) {
            Client* c = i.requests.at(static_cast<std::uint32_t>(a->request)).client;
            i.requests.erase(static_cast<std::uint32_t>(a->request));
            if (site_.repeatable) again(c, Duration(0));
        } else if (const auto* a = std::get_if<CancelAttempt>(&action)) {
            const RequestId id = a->request;
            const int attempt = a->attempt;
            after(Duration(0), [this, g, id, attempt] {
                Instance& at = gateways_[static_cast<std::size_t>(g)];
                const auto it = at.requests.find(static_cast<std::uint32_t>(id));
                if (it == at.requests.end() || it->second.attempts != attempt + 1) return;
                AttemptFinished e;
                e.request = id;
                e.attempt = attempt;
                e.outcome = Outcome::Cancelled;
                feed(g, e);
            });
        }
    }

    // A client goes to another gateway, after what it was told or a moment, up to a third of its time.
    void again(Client* c, Duration wait) {
        const Duration left = std::chrono::duration_cast<Duration>(c->began + site_.patience - now_);
        if (c->tries >= 4 || left < site_.work) return;
        after(std::clamp<Duration>(wait, 50ms, std::max<Duration>(50ms, left / 3)), [this, c] { ask(c); });
    }

    void send(int g, const Send& s) {
        Instance& i = gateways_[static_cast<std::size_t>(g)];
        Out& out = i.requests.at(static_cast<std::uint32_t>(s.request));
        const int attempt = out.attempts++;
        Client* c = out.client;
        if (c->counts) ++sends_;
        const HostId host = s.host;
        const RequestId id = s.request;
        const TimePoint sent = now_;
        after(kDelay, [=, this] {
            const auto answer = [=, this](Outcome outcome) {
                after(kDelay, [=, this] {
                    Instance& at = gateways_[static_cast<std::size_t>(g)];
                    const auto it = at.requests.find(static_cast<std::uint32_t>(id));
                    if (it == at.requests.end() || it->second.attempts != attempt + 1) return;
                    AttemptFinished e;
                    e.request = id;
                    e.attempt = attempt;
                    e.host = host;
                    e.outcome = outcome;
                    e.took = std::chrono::duration_cast<Duration>(now_ - sent);
                    e.final = outcome == Outcome::Ok;
                    if (outcome == Outcome::Ok) {
                        at.requests.erase(it);
                        served(c);
                    }
                    feed(g, e);
                });
            };
            if (!take(static_cast<std::size_t>(host) - 1, answer)) {
                if (c->counts) ++full_;
                answer(Outcome::Full);
            }
        });
    }

    void served(Client* c) {
        if (c->counts) took_.push_back(ms(std::chrono::duration_cast<Duration>(now_ - c->began)));
    }

    bool take(std::size_t at, const std::function<void(Outcome)>& answer) {
        Server& v = servers_[at];
        const auto work = [this, at, answer] { begin(at, answer); };
        if (v.busy < site_.slots) return work(), true;
        if (static_cast<int>(v.line.size()) >= 2 * site_.slots) return false;
        v.line.push_back(work);
        return true;
    }

    void begin(std::size_t at, const std::function<void(Outcome)>& answer) {
        Server& v = servers_[at];
        ++v.busy;
        const double sigma = kDeviation;
        const double factor = std::lognormal_distribution<double>(-sigma * sigma / 2, sigma)(random_);
        const double took = std::chrono::duration<double>(site_.work).count() * factor / v.speed;
        after(Duration(static_cast<std::int64_t>(took * 1e6)), [this, at, answer] {
            Server& done = servers_[at];
            --done.busy;
            answer(Outcome::Ok);
            if (done.line.empty()) return;
            const auto next = done.line.front();
            done.line.erase(done.line.begin());
            next();
        });
    }

    // Sees every server as it is, and takes the one that is likely to answer first.
    void ask_ideal(Client* c) {
        const auto likely = [&](const Server& v) {
            const int waits = v.busy < site_.slots ? 0 : static_cast<int>(v.line.size()) + 1;
            return (1.0 + static_cast<double>(waits) / site_.slots) / v.speed;
        };
        const auto best =
            std::min_element(servers_.begin(), servers_.end(),
                             [&](const Server& a, const Server& b) { return likely(a) < likely(b); });
        if (c->counts) ++sends_;
        after(2 * kDelay, [=, this, at = static_cast<std::size_t>(best - servers_.begin())] {
            if (!take(at, [this, c](Outcome) { after(2 * kDelay, [this, c] { served(c); }); }))
                again(c, Duration(0));
        });
    }

    static constexpr Duration kDelay = 500us;
    Site site_;
    Policy policy_;
    std::mt19937_64 random_;
    TimePoint now_{100s};
    std::uint64_t order_ = 0;
    std::uint32_t last_ = 0;
    std::priority_queue<Event> events_;
    std::vector<Server> servers_;
    std::vector<Instance> gateways_;
    std::vector<std::unique_ptr<Client>> clients_;
    std::vector<double> took_;
    std::size_t asked_ = 0, sends_ = 0, full_ = 0, refused_ = 0;
};

}    // namespace

int main() {
    const char* text = std::getenv("SEED");
    const std::uint64_t seed = text != nullptr ? std::strtoull(text, nullptr, 10) : 1;
    constexpr int kDays = 3;    // of each, seeded one after the other
    const std::vector<double> eight = {0.7, 0.7, 1.6, 1, 1, 1, 1, 1},
                              twelve = {0.7, 0.7, 1.6, 1, 1, 1, 1, 1, 0.6, 1.3, 1, 1};
    const auto lookups = [&](const std::string& name, double load) {
        return Site{name, load, 11, 6, eight, 220ms, 600ms, 2500ms, true};
    };
    const auto reads = [&](const std::string& name, double load) {
        return Site{name, load, 13, 2, twelve, 60ms, 200ms, 500ms, true};
    };
    const std::vector<Site> sites = {
        lookups("8 x 6 at 0.46", 0.46),
        lookups("8 x 6 at 0.70", 0.70),
        lookups("8 x 6 at 0.95", 0.95),
        lookups("8 x 6 at 1.30", 1.30),
        reads("12 x 2 at 0.60", 0.60),
        reads("12 x 2 at 0.95", 0.95),
        reads("12 x 2 at 1.30", 1.30),
        Site{"6 x 2 at 0.60, run once", 0.60, 13, 2, {0.7, 0.7, 1.6, 1, 1, 1.2}, 42ms, 150ms, 400ms, false},
    };
    struct Way {
        const char* name;
        Policy policy;
        double goal;
        double least;    // attempts out a server, as parts of its slots; 0: two of them
    };
    const Way ways[] = {{"ideal", Policy::Ideal, 0.3, 0.0},
                        {"goal 0.3", Policy::Module, 0.3, 0.0},
                        {"goal 0.6", Policy::Module, 0.6, 1.0},
                        {"goal 0.7", Policy::Module, 0.7, 1.0},
                        {"goal 0.85", Policy::Module, 0.85, 1.0}};
    nlohmann::json out = {{"experiment", "shared-servers"}, {"seed", seed}};
    std::vector<std::string> broken;
    fmt::print("{:24} {:16} {:>6} {:>6} {:>8} {:>9} {:>7} {:>9} {:>7}\n", "servers x slots, load", "way",
               "p50", "p99", "late %", "unserved", "full %", "refusals", "sends");
    for (const Site& site : sites) {
        Figures ideal, ours;
        for (const Way& way : ways) {
            Figures mean;
            for (int day = 0; day < kDays; ++day) {
                const auto tune = [&](Settings& s) {
                    s.latency_goal = way.goal;
                    s.least_out = std::max(2.0, way.least * site.slots);
                };
                World world(site, way.policy, seed * 100 + static_cast<std::uint64_t>(day), tune);
                mean += world.run(20s, 60s);
            }
            mean /= kDays;
            (way.policy == Policy::Ideal ? ideal : ours) = mean;
            fmt::print("{:24} {:16} {:6.0f} {:6.0f} {:8.2f} {:9.2f} {:7.2f} {:9.2f} {:7.3f}\n", site.name,
                       way.name, mean.p50, mean.p99, 100 * mean.late, 100 * mean.unserved, 100 * mean.full,
                       100 * mean.refused, mean.sends);
            out["days"][site.name][way.name] = {{"p50_ms", mean.p50}, {"p99_ms", mean.p99},
                                                {"late", mean.late},  {"unserved", mean.unserved},
                                                {"full", mean.full},  {"refused", mean.refused},
                                                {"sends", mean.sends}};
        }
        // By the last way, the widest: all of them have to do that.
        if (site.load < 0.8 && (ours.late > 0.015 || ours.p99 > 1.35 * ideal.p99))
            broken.push_back(site.name + ": late, or a p99, far beyond the ideal's");
        if (site.load > 0.8 && 1.0 - ours.late < 0.5 * (1.0 - ideal.late))
            broken.push_back(site.name + ": under half of what the ideal serves in time");
    }
    out["broken"] = broken;
    for (const std::string& b : broken) fmt::print("BROKEN {}\n", b);
    fmt::print("{}\n", out.dump());
    return broken.empty() ? 0 : 1;
}
