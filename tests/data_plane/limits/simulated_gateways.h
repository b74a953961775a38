// Gateways with the real ledger, stores that lose, fall back, split and lag, and clocks that run unlike, in
// virtual time from one seed. It checks each admission against one bucket that sees all gateways.
#pragma once

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>

#include "data_plane/limits/quota_state_table.h"

namespace shaletray::limits::test {

using namespace std::chrono_literals;

inline double secs(Duration d) { return std::chrono::duration<double>(d).count(); }
inline Duration from_secs(double s) { return Duration(static_cast<std::int64_t>(s * 1e6)); }

// What all gateways together admit, against a bucket: the deepest it went below nothing.
struct Reference {
    double rate = 0.0, burst = 0.0, level = 0.0, deepest = 0.0;
    TimePoint at{};
    void admit(double units, TimePoint now) {
        level = std::min(burst, level + rate * secs(now - at));
        at = now;
        level -= units;
        deepest = std::min(deepest, level);
    }
};

// Keeps to what the module keeps to, of what the ledger tells it.
struct Grants {
    struct Stores {
        Allowance a;
        double quota = 0.0, ceiling = 0.0;
        TimePoint at{};
        bool known = false;
    };
    std::map<CustomerId, Stores> stores;

    void told(const Allowance& a, TimePoint now) {
        Stores& s = stores[a.customer];
        refill(s, now);
        if (!s.known) s.quota = a.burst;
        s.known = true;
        s.a = a;
        s.quota = std::min(a.burst, s.quota + a.gain);
        s.ceiling = a.ceiling_level;
    }
    bool admit(CustomerId id, double units, bool capped, TimePoint now) {
        Stores& s = stores[id];
        refill(s, now);
        if (s.quota < units - 1e-9 && s.quota < s.a.burst - 1e-9) return false;
        if (capped && s.ceiling < units - 1e-9) return false;
        s.quota -= units;
        s.ceiling -= units;
        return true;
    }
    static void refill(Stores& s, TimePoint now) {
        const double dt = secs(now - s.at);
        s.at = now;
        if (s.quota < s.a.burst) s.quota = std::min(s.a.burst, s.quota + s.a.rate * dt);
        if (s.ceiling < s.a.ceiling_burst)
            s.ceiling = std::min(s.a.ceiling_burst, s.ceiling + s.a.ceiling_rate * dt);
    }
};

struct Faults {
    bool any = true;
    double kill = 0.05, wipe = 0.05, fall_back = 0.05, cut = 0.1, slow = 0.05;    // a second, each
    double lost = 0.05;                                                           // of the calls
    double clock_back = 0.2;                                                      // of the restarts
    double clock_drift = 0.01;                                                    // either way
};

class World {
public:
    World(std::uint64_t seed, Faults faults, Duration time)
        : random_(seed), faults_(faults), end_(TimePoint{} + 1h + time) {
        now_ = TimePoint{} + 1h;
        const int n = between(3, 16);
        settings_.gateways = n;
        settings_.lease = 2s;
        settings_.alone_after = 600ms;
        settings_.demand_window = 800ms;
        settings_.most_units = 4.0;
        settings_.reserve = chance(0.2) ? 0.0 : 0.25;
        settings_.alone_share = real(0.3, 1.0);
        for (int i = 0; i < 3; ++i) {
            decision::PlanSettings p;
            p.rate = real(2.0, 20.0);
            p.burst = p.rate * real(1.0, 5.0);
            if (i != 1) {    // the last one so small that a part of it is hardly one request
                p.ceiling_rate = p.rate * real(1.7, 2.5);
                p.ceiling_burst = i == 0 ? std::max(p.burst, 8.0 * 8) : real(8.0, 20.0);
                p.ceiling_slack = std::max(4.0, p.ceiling_burst * 0.1);
            }
            settings_.plans.push_back(p);
        }
        stores_.resize(static_cast<std::size_t>(between(1, 3)));
        gateways_.resize(static_cast<std::size_t>(n));
        for (int i = 0; i < n; ++i) start(i);
        for (std::uint64_t id = 0; id < 4; ++id) {
            Customer& c = customers_[CustomerId{id + 1}];
            c.plan = static_cast<int>(id % 3);
            c.width = between(1, std::min(n, 6));
            c.first = between(0, n - 1);
            const decision::PlanSettings& p = plan(c);
            c.ceiling = {p.ceiling_rate, p.ceiling_burst, p.ceiling_burst, 0.0, now_};
            const double apart = 1.0 + (c.width - 1) * settings_.alone_share;
            const double more = faults.any ? apart : 1.0;
            const double burst = p.burst * more + c.width * settings_.most_units;
            c.quota = {p.rate * more * (1.0 + 2 * faults.clock_drift), burst, burst, 0.0, now_};
            c.ceiling.rate *= 1.0 + 2 * faults.clock_drift;    // rates are by the gateways' own clocks
            move(c);
            arrive(CustomerId{id + 1});
        }
        if (faults.any) {
            recur(faults.kill * n, [this] { kill(between(0, settings_.gateways - 1)); });
            recur(faults.wipe, [this] { any_store().rows.clear(); });
            recur(1.0, [this] {    // what a store may fall back to
                Store& s = any_store();
                s.old = s.rows;
            });
            recur(faults.fall_back, [this] {
                Store& s = any_store();
                s.rows = s.old;
            });
            recur(faults.cut, [this] { cut(); });
            recur(faults.slow, [this] { any_store().lag = chance(0.6) ? 0.002 : real(0.3, 2.5); });
        }
    }

    void run() {
        while (!queue_.empty() && queue_.top().at <= end_) {
            Task task = queue_.top();
            queue_.pop();
            now_ = task.at;
            task.run();
        }
    }

    // How far the worst customer went past its ceiling, in units, and past its quota's stated bound.
    double ceiling_overshoot() const {
        double worst = 0.0;
        for (const auto& [id, c] : customers_)
            if (plan(c).ceiling_rate > 0.0) worst = std::max(worst, -c.ceiling.deepest);
        return worst;
    }
    double quota_overshoot() const {
        double worst = 0.0;
        for (const auto& [id, c] : customers_) worst = std::max(worst, -c.quota.deepest);
        return worst;
    }
    double most_shares = 0.0;    // of a ceiling, held by all gateways at once
    std::uint64_t admitted = 0, asked = 0, leases = 0, restarts = 0;

private:
    struct Store {
        std::map<std::pair<CustomerId, int>, Row> rows, old;
        std::map<int, News> news;
        double lag = 0.002;
    };
    struct GatewayState {
        std::unique_ptr<Ledger> ledger;
        Grants grants;
        std::uint64_t life = 0, incarnation = 0;
        double clock_rate = 1.0;
        Duration clock_offset{0};
        std::set<std::size_t> cut;    // stores out of its reach
        TimePoint start{};
    };
    struct Customer {
        int plan = 0, first = 0, width = 1;
        Reference ceiling, quota;
        std::vector<double> weights;
        double load = 1.0;
    };
    struct Task {
        TimePoint at;
        std::uint64_t number;
        std::function<void()> run;
        bool operator<(const Task& other) const {
            return at != other.at ? at > other.at : number > other.number;
        }
    };

    double real(double a, double b) { return std::uniform_real_distribution<>(a, b)(random_); }
    int between(int a, int b) { return std::uniform_int_distribution<>(a, b)(random_); }
    bool chance(double p) { return real(0.0, 1.0) < p; }
    const decision::PlanSettings& plan(const Customer& c) const {
        return settings_.plans[static_cast<std::size_t>(c.plan)];
    }
    Store& any_store() {
        return stores_[static_cast<std::size_t>(between(0, static_cast<int>(stores_.size()) - 1))];
    }
    void after(double s, std::function<void()> run) {
        queue_.push({now_ + from_secs(s), ++tasks_, std::move(run)});
    }
    void recur(double rate, std::function<void()> run) {
        after(-std::log(real(1e-9, 1.0)) / rate, [this, rate, run] {
            run();
            recur(rate, run);
        });
    }
    // A gateway's own steady clock.
    TimePoint clock(const GatewayState& g) const {
        return TimePoint{} + g.clock_offset + from_secs(secs(now_ - TimePoint{}) * g.clock_rate);
    }

    void start(int i) {
        GatewayState& g = gateways_[static_cast<std::size_t>(i)];
        const bool back = g.life > 0 && chance(faults_.clock_back);
        g.incarnation = back && g.incarnation > 5 ? g.incarnation - 3 : g.incarnation + 10;
        ++g.life;
        g.clock_rate = 1.0 + real(-faults_.clock_drift, faults_.clock_drift);
        g.clock_offset = from_secs(real(0.0, 1e4));
        LedgerSettings s = settings_;
        s.me = i;
        s.incarnation = g.incarnation;
        g.ledger = std::make_unique<Ledger>(s, clock(g));
        g.grants = {};
        g.start = now_;
        sync(i, g.life);
    }
    void kill(int i) {
        GatewayState& g = gateways_[static_cast<std::size_t>(i)];
        if (!g.ledger) return;
        leases += g.ledger->stats(clock(g)).rows_heard;
        g.ledger.reset();
        ++g.life;
        ++restarts;
        // Its new life's quota is full again: a part of the stated error, a piece for each start.
        for (auto& [id, c] : customers_) {
            const double again = plan(c).burst * std::max(settings_.alone_share, 1.0);
            c.quota.burst += again;
            c.quota.level += again;
        }
        after(real(0.0, 3.0), [this, i] { start(i); });
    }
    void cut() {
        for (GatewayState& g : gateways_) {
            g.cut.clear();
            for (std::size_t s = 0; s < stores_.size(); ++s) {
                if (chance(0.3)) g.cut.insert(s);
            }
        }
        if (chance(0.4))
            for (GatewayState& g : gateways_) g.cut.clear();    // it heals
    }
    // One write and one read, each of which may be lost on the way there or back, to each store in reach.
    void sync(int i, std::uint64_t life) {
        GatewayState& g = gateways_[static_cast<std::size_t>(i)];
        if (g.life != life) return;
        after(real(0.1, 0.2), [this, i, life] { sync(i, life); });
        tick(g);
        const auto rows = g.ledger->rows_due(clock(g), 16);
        const auto wanted = g.ledger->rows_wanted(clock(g), 16);
        const News news = g.ledger->news();
        for (std::size_t s = 0; s < stores_.size(); ++s) {
            if (g.cut.contains(s) || chance(faults_.lost)) continue;
            after(delay(s), [this, i, s, rows, news, wanted, life] {
                Store& store = stores_[s];
                for (const auto& [id, row] : rows) store.rows[{id, i}] = row;
                store.news[i] = news;
                if (chance(faults_.lost)) return;
                std::vector<std::tuple<CustomerId, int, Row>> found;
                for (const auto& key : wanted) {
                    if (const auto it = store.rows.find(key); it != store.rows.end())
                        found.emplace_back(key.first, key.second, it->second);
                }
                after(delay(s), [this, i, life, found, news_of = store.news] {
                    GatewayState& to = gateways_[static_cast<std::size_t>(i)];
                    if (to.life != life) return;
                    for (const auto& [from, n] : news_of) to.ledger->news_heard(from, n, clock(to));
                    for (const auto& [id, from, row] : found) to.ledger->row_heard(id, from, row, clock(to));
                    tick(to);
                });
            });
        }
    }
    double delay(std::size_t s) { return stores_[s].lag * real(0.5, 1.5); }
    void tick(GatewayState& g) {
        std::vector<Allowance> changed;
        g.ledger->tick(clock(g), changed);
        for (const Allowance& a : changed) g.grants.told(a, clock(g));
    }
    void move(Customer& c) {
        c.weights.assign(static_cast<std::size_t>(c.width), 0.0);
        const bool one = chance(0.4);
        for (double& w : c.weights) w = one ? 0.0 : real(0.0, 1.0);
        c.weights[static_cast<std::size_t>(between(0, c.width - 1))] += 1.0;
        c.load = chance(0.4) ? real(0.2, 0.9) : real(1.0, 6.0);
    }
    // All who are there never hold more than the whole at once.
    void check_shares(CustomerId id) {
        double sum = 0.0;
        for (GatewayState& g : gateways_) {
            if (!g.ledger) continue;
            tick(g);
            sum += g.ledger->ceiling_share(id, clock(g));
        }
        most_shares = std::max(most_shares, sum);
    }
    void arrive(CustomerId id) {
        Customer& c = customers_[id];
        const double rate = plan(c).rate * c.load / 2.5;
        after(-std::log(real(1e-9, 1.0)) / rate, [this, id] { arrive(id); });
        if (chance(0.02)) move(c);
        std::discrete_distribution<> pick(c.weights.begin(), c.weights.end());
        const int i = (c.first + pick(random_)) % settings_.gateways;
        GatewayState& g = gateways_[static_cast<std::size_t>(i)];
        if (!g.ledger) return;
        const double units = between(1, 4);
        ++asked;
        tick(g);
        if (const auto a = g.ledger->asked(id, c.plan, c.first, c.width, units, clock(g)))
            g.grants.told(*a, clock(g));
        else return;
        check_shares(id);
        if (!g.grants.admit(id, units, plan(c).ceiling_rate > 0.0, clock(g))) return;
        g.ledger->admitted(id, units, clock(g));
        ++admitted;
        if (plan(c).ceiling_rate > 0.0) c.ceiling.admit(units, now_);
        c.quota.admit(units, now_);
    }

    std::mt19937_64 random_;
    Faults faults_;
    TimePoint now_{}, end_{};
    LedgerSettings settings_;
    std::vector<Store> stores_;
    std::vector<GatewayState> gateways_;
    std::map<CustomerId, Customer> customers_;
    std::priority_queue<Task> queue_;
    std::uint64_t tasks_ = 0;
};

}    // namespace shaletray::limits::test
