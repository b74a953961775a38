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

inline double to_seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }
inline Duration from_seconds(double s) { return Duration(static_cast<std::int64_t>(s * 1e6)); }

// What all gateways together admit, against a bucket: the deepest it went below nothing.
struct Reference {
    double rate = 0.0, burst = 0.0, level = 0.0, lowest_level = 0.0;
    TimePoint refilled_at{};
    void admit(double units, TimePoint now) {
        level = std::min(burst, level + rate * to_seconds(now - refilled_at));
        refilled_at = now;
        level -= units;
        lowest_level = std::min(lowest_level, level);
    }
};

// Keeps to what the module keeps to, of what the ledger tells it.
struct Grants {
    struct Buckets {
        Allowance allowance;
        double quota = 0.0, ceiling = 0.0;
        TimePoint refilled_at{};
        bool known = false;
    };
    std::map<CustomerId, Buckets> buckets;

    void on_allowance(const Allowance& a, TimePoint now) {
        Buckets& s = buckets[a.customer];
        refill(s, now);
        if (!s.known) s.quota = a.burst;
        s.known = true;
        s.allowance = a;
        s.quota = std::min(a.burst, s.quota + a.gain);
        s.ceiling = a.ceiling_level;
    }
    bool admit(CustomerId customer_id, double units, bool capped, TimePoint now) {
        Buckets& s = buckets[customer_id];
        refill(s, now);
        if (s.quota < units - 1e-9 && s.quota < s.allowance.burst - 1e-9) return false;
        if (capped && s.ceiling < units - 1e-9) return false;
        s.quota -= units;
        s.ceiling -= units;
        return true;
    }
    static void refill(Buckets& s, TimePoint now) {
        const double dt = to_seconds(now - s.refilled_at);
        s.refilled_at = now;
        if (s.quota < s.allowance.burst)
            s.quota = std::min(s.allowance.burst, s.quota + s.allowance.rate * dt);
        if (s.ceiling < s.allowance.ceiling_burst)
            s.ceiling = std::min(s.allowance.ceiling_burst, s.ceiling + s.allowance.ceiling_rate * dt);
    }
};

struct Faults {
    bool any = true;
    double kill = 0.05, store_wipe = 0.05, switch_store = 0.05, partition = 0.1,
           delayed_messages = 0.05;    // a second, each
    double lost_messages = 0.05;       // of the calls
    double clock_back = 0.2;           // of the restarts
    double clock_drift = 0.01;         // either way
};

class SimulatedGateways {
public:
    SimulatedGateways(std::uint64_t seed, Faults faults, Duration time)
        : random_(seed), faults_(faults), end_time_(TimePoint{} + 1h + time) {
        now_ = TimePoint{} + 1h;
        const int count = random_between(3, 16);
        settings_.gateway_count = count;
        settings_.lease_duration = 2s;
        settings_.isolation_timeout = 600ms;
        settings_.demand_window = 800ms;
        settings_.max_request_units = 4.0;
        settings_.reserve_fraction = random_chance(0.2) ? 0.0 : 0.25;
        settings_.isolated_quota_share = real_time(0.3, 1.0);
        for (int index = 0; index < 3; ++index) {
            decision::PlanSettings plan_settings;
            plan_settings.rate = real_time(2.0, 20.0);
            plan_settings.burst = plan_settings.rate * real_time(1.0, 5.0);
            if (index != 1) {    // the last one so small that a part of it is hardly one request
                plan_settings.ceiling_rate = plan_settings.rate * real_time(1.7, 2.5);
                plan_settings.ceiling_burst =
                    index == 0 ? std::max(plan_settings.burst, 8.0 * 8) : real_time(8.0, 20.0);
                plan_settings.ceiling_slack = std::max(4.0, plan_settings.ceiling_burst * 0.1);
            }
            settings_.plans.push_back(plan_settings);
        }
        stores_.resize(static_cast<std::size_t>(random_between(1, 3)));
        gateways_.resize(static_cast<std::size_t>(count));
        for (int index = 0; index < count; ++index) start_gateway(index);
        for (std::uint64_t id = 0; id < 4; ++id) {
            Customer& c = customers_[CustomerId{id + 1}];
            c.plan_index = static_cast<int>(id % 3);
            c.set_size = random_between(1, std::min(count, 6));
            c.first_gateway = random_between(0, count - 1);
            const decision::PlanSettings& plan_settings = customer_plan(c);
            c.ceiling = {plan_settings.ceiling_rate, plan_settings.ceiling_burst, plan_settings.ceiling_burst,
                         0.0, now_};
            const double apart = 1.0 + (c.set_size - 1) * settings_.isolated_quota_share;
            const double more = faults.any ? apart : 1.0;
            const double burst = plan_settings.burst * more + c.set_size * settings_.max_request_units;
            c.quota = {plan_settings.rate * more * (1.0 + 2 * faults.clock_drift), burst, burst, 0.0, now_};
            c.ceiling.rate *= 1.0 + 2 * faults.clock_drift;    // rates are by the gateways' own clocks
            move(c);
            send_request(CustomerId{id + 1});
        }
        if (faults.any) {
            recur(faults.kill * count,
                  [this] { restart_gateway(random_between(0, settings_.gateway_count - 1)); });
            recur(faults.store_wipe, [this] { any_store().rows.clear(); });
            recur(1.0, [this] {    // what a store may fall back to
                Store& s = any_store();
                s.old_rows = s.rows;
            });
            recur(faults.switch_store, [this] {
                Store& s = any_store();
                s.rows = s.old_rows;
            });
            recur(faults.partition, [this] { cut(); });
            recur(faults.delayed_messages,
                  [this] { any_store().lag = random_chance(0.6) ? 0.002 : real_time(0.3, 2.5); });
        }
    }

    void run() {
        while (!queue_.empty() && queue_.top().due_at <= end_time_) {
            Task task = queue_.top();
            queue_.pop();
            now_ = task.due_at;
            task.run();
        }
    }

    // How far the worst customer went past its ceiling, in units, and past its quota's stated bound.
    double ceiling_overshoot() const {
        double worst = 0.0;
        for (const auto& [id, c] : customers_)
            if (customer_plan(c).ceiling_rate > 0.0) worst = std::max(worst, -c.ceiling.lowest_level);
        return worst;
    }
    double quota_overshoot() const {
        double worst = 0.0;
        for (const auto& [id, c] : customers_) worst = std::max(worst, -c.quota.lowest_level);
        return worst;
    }
    double max_share_sum = 0.0;    // of a ceiling, held by all gateways at once
    std::uint64_t admitted_units = 0, requested_units = 0, leases = 0, restarts = 0;

private:
    struct Store {
        std::map<std::pair<CustomerId, int>, QuotaRow> rows, old_rows;
        std::map<int, Announcement> announcements;
        double lag = 0.002;
    };
    struct GatewayState {
        std::unique_ptr<QuotaStateTable> quota_table;
        Grants grants;
        std::uint64_t life_number = 0, incarnation = 0;
        double clock_rate = 1.0;
        Duration clock_offset{0};
        std::set<std::size_t> is_partitioned;    // stores out of its reach
        TimePoint started_at{};
    };
    struct Customer {
        int plan_index = 0, first_gateway = 0, set_size = 1;
        Reference ceiling, quota;
        std::vector<double> weights;
        double load = 1.0;
    };
    struct Task {
        TimePoint due_at;
        std::uint64_t number;
        std::function<void()> run;
        bool operator<(const Task& other) const {
            return due_at != other.due_at ? due_at > other.due_at : number > other.number;
        }
    };

    double real_time(double a, double b) { return std::uniform_real_distribution<>(a, b)(random_); }
    int random_between(int a, int b) { return std::uniform_int_distribution<>(a, b)(random_); }
    bool random_chance(double p) { return real_time(0.0, 1.0) < p; }
    const decision::PlanSettings& customer_plan(const Customer& c) const {
        return settings_.plans[static_cast<std::size_t>(c.plan_index)];
    }
    Store& any_store() {
        return stores_[static_cast<std::size_t>(random_between(0, static_cast<int>(stores_.size()) - 1))];
    }
    void after(double s, std::function<void()> run) {
        queue_.push({now_ + from_seconds(s), ++tasks_, std::move(run)});
    }
    void recur(double rate, std::function<void()> run) {
        after(-std::log(real_time(1e-9, 1.0)) / rate, [this, rate, run] {
            run();
            recur(rate, run);
        });
    }
    // A gateway's own steady clock.
    TimePoint gateway_time(const GatewayState& g) const {
        return TimePoint{} + g.clock_offset + from_seconds(to_seconds(now_ - TimePoint{}) * g.clock_rate);
    }

    void start_gateway(int index) {
        GatewayState& g = gateways_[static_cast<std::size_t>(index)];
        const bool back = g.life_number > 0 && random_chance(faults_.clock_back);
        g.incarnation = back && g.incarnation > 5 ? g.incarnation - 3 : g.incarnation + 10;
        ++g.life_number;
        g.clock_rate = 1.0 + real_time(-faults_.clock_drift, faults_.clock_drift);
        g.clock_offset = from_seconds(real_time(0.0, 1e4));
        QuotaTableSettings settings = settings_;
        settings.own_index = index;
        settings.incarnation = g.incarnation;
        g.quota_table = std::make_unique<QuotaStateTable>(settings, gateway_time(g));
        g.grants = {};
        g.started_at = now_;
        sync(index, g.life_number);
    }
    void restart_gateway(int index) {
        GatewayState& g = gateways_[static_cast<std::size_t>(index)];
        if (!g.quota_table) return;
        leases += g.quota_table->statistics(gateway_time(g)).rows_received;
        g.quota_table.reset();
        ++g.life_number;
        ++restarts;
        // Its new life's quota is full again: a part of the stated error, a piece for each start.
        for (auto& [id, c] : customers_) {
            const double again = customer_plan(c).burst * std::max(settings_.isolated_quota_share, 1.0);
            c.quota.burst += again;
            c.quota.level += again;
        }
        after(real_time(0.0, 3.0), [this, index] { start_gateway(index); });
    }
    void cut() {
        for (GatewayState& g : gateways_) {
            g.is_partitioned.clear();
            for (std::size_t s = 0; s < stores_.size(); ++s) {
                if (random_chance(0.3)) g.is_partitioned.insert(s);
            }
        }
        if (random_chance(0.4))
            for (GatewayState& g : gateways_) g.is_partitioned.clear();    // it heals
    }
    // One write and one read, each of which may be lost on the way there or back, to each store in reach.
    void sync(int index, std::uint64_t life) {
        GatewayState& g = gateways_[static_cast<std::size_t>(index)];
        if (g.life_number != life) return;
        after(real_time(0.1, 0.2), [this, index, life] { sync(index, life); });
        tick(g);
        const auto rows = g.quota_table->rows_due(gateway_time(g), 16);
        const auto wanted = g.quota_table->rows_to_read(gateway_time(g), 16);
        const Announcement announcement = g.quota_table->announcement();
        for (std::size_t s = 0; s < stores_.size(); ++s) {
            if (g.is_partitioned.contains(s) || random_chance(faults_.lost_messages)) continue;
            after(message_delay(s), [this, index, s, rows, announcement, wanted, life] {
                Store& store = stores_[s];
                for (const auto& [customer_id, row] : rows) store.rows[{customer_id, index}] = row;
                store.announcements[index] = announcement;
                if (random_chance(faults_.lost_messages)) return;
                std::vector<std::tuple<CustomerId, int, QuotaRow>> found;
                for (const auto& key : wanted) {
                    if (const auto it = store.rows.find(key); it != store.rows.end())
                        found.emplace_back(key.first, key.second, it->second);
                }
                after(message_delay(s), [this, index, life, found, news_of = store.announcements] {
                    GatewayState& to = gateways_[static_cast<std::size_t>(index)];
                    if (to.life_number != life) return;
                    for (const auto& [from, count] : news_of)
                        to.quota_table->on_announcement(from, count, gateway_time(to));
                    for (const auto& [customer_id, from, row] : found)
                        to.quota_table->on_row(customer_id, from, row, gateway_time(to));
                    tick(to);
                });
            });
        }
    }
    double message_delay(std::size_t s) { return stores_[s].lag * real_time(0.5, 1.5); }
    void tick(GatewayState& g) {
        std::vector<Allowance> changed;
        g.quota_table->tick(gateway_time(g), changed);
        for (const Allowance& a : changed) g.grants.on_allowance(a, gateway_time(g));
    }
    void move(Customer& c) {
        c.weights.assign(static_cast<std::size_t>(c.set_size), 0.0);
        const bool one = random_chance(0.4);
        for (double& w : c.weights) w = one ? 0.0 : real_time(0.0, 1.0);
        c.weights[static_cast<std::size_t>(random_between(0, c.set_size - 1))] += 1.0;
        c.load = random_chance(0.4) ? real_time(0.2, 0.9) : real_time(1.0, 6.0);
    }
    // All who are there never hold more than the whole at once.
    void check_shares(CustomerId customer_id) {
        double sum = 0.0;
        for (GatewayState& g : gateways_) {
            if (!g.quota_table) continue;
            tick(g);
            sum += g.quota_table->rate_limit_share(customer_id, gateway_time(g));
        }
        max_share_sum = std::max(max_share_sum, sum);
    }
    void send_request(CustomerId customer_id) {
        Customer& c = customers_[customer_id];
        const double rate = customer_plan(c).rate * c.load / 2.5;
        after(-std::log(real_time(1e-9, 1.0)) / rate, [this, customer_id] { send_request(customer_id); });
        if (random_chance(0.02)) move(c);
        std::discrete_distribution<> pick(c.weights.begin(), c.weights.end());
        const int index = (c.first_gateway + pick(random_)) % settings_.gateway_count;
        GatewayState& g = gateways_[static_cast<std::size_t>(index)];
        if (!g.quota_table) return;
        const double units = random_between(1, 4);
        ++requested_units;
        tick(g);
        if (const auto a = g.quota_table->on_request(customer_id, c.plan_index, c.first_gateway, c.set_size,
                                                     units, gateway_time(g)))
            g.grants.on_allowance(*a, gateway_time(g));
        else return;
        check_shares(customer_id);
        if (!g.grants.admit(customer_id, units, customer_plan(c).ceiling_rate > 0.0, gateway_time(g))) return;
        g.quota_table->record_admission(customer_id, units, gateway_time(g));
        ++admitted_units;
        if (customer_plan(c).ceiling_rate > 0.0) c.ceiling.admit(units, now_);
        c.quota.admit(units, now_);
    }

    std::mt19937_64 random_;
    Faults faults_;
    TimePoint now_{}, end_time_{};
    QuotaTableSettings settings_;
    std::vector<Store> stores_;
    std::vector<GatewayState> gateways_;
    std::map<CustomerId, Customer> customers_;
    std::priority_queue<Task> queue_;
    std::uint64_t tasks_ = 0;
};

}    // namespace shaletray::limits::test
