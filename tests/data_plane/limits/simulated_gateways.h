// Simulates gateways with the real quota table in virtual time from one seed, with stores that lose rows,
// roll back, are slow or out of reach, and clocks that drift. Checks each admission against one bucket that
// covers all gateways.
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
inline Duration from_seconds(double seconds) { return Duration(static_cast<std::int64_t>(seconds * 1e6)); }

// Bucket that is charged what all gateways together admit; records its lowest level.
struct ReferenceBucket {
    double rate = 0.0, burst = 0.0, level = 0.0, lowest_level = 0.0;
    TimePoint refilled_at{};
    void admit(double units, TimePoint now) {
        level = std::min(burst, level + rate * to_seconds(now - refilled_at));
        refilled_at = now;
        level -= units;
        lowest_level = std::min(lowest_level, level);
    }
};

// Admits requests by the allowances of the quota table, as the decision module does.
struct FakeDecisionModule {
    struct CustomerBuckets {
        Allowance allowance;
        double quota = 0.0, rate_limit = 0.0;
        TimePoint refilled_at{};
        bool known = false;
    };
    std::map<CustomerId, CustomerBuckets> buckets;

    void on_allowance(const Allowance& allowance, TimePoint now) {
        CustomerBuckets& customer_buckets = buckets[allowance.customer];
        refill(customer_buckets, now);
        if (!customer_buckets.known) customer_buckets.quota = allowance.burst;
        customer_buckets.known = true;
        customer_buckets.allowance = allowance;
        customer_buckets.quota = std::min(allowance.burst, customer_buckets.quota + allowance.gain);
        customer_buckets.rate_limit = allowance.ceiling_level;
    }
    bool admit(CustomerId customer_id, double units, bool has_rate_limit, TimePoint now) {
        CustomerBuckets& customer_buckets = buckets[customer_id];
        refill(customer_buckets, now);
        if (customer_buckets.quota < units - 1e-9 &&
            customer_buckets.quota < customer_buckets.allowance.burst - 1e-9)
            return false;
        if (has_rate_limit && customer_buckets.rate_limit < units - 1e-9) return false;
        customer_buckets.quota -= units;
        customer_buckets.rate_limit -= units;
        return true;
    }
    static void refill(CustomerBuckets& customer_buckets, TimePoint now) {
        const double elapsed = to_seconds(now - customer_buckets.refilled_at);
        customer_buckets.refilled_at = now;
        if (customer_buckets.quota < customer_buckets.allowance.burst)
            customer_buckets.quota =
                std::min(customer_buckets.allowance.burst,
                         customer_buckets.quota + customer_buckets.allowance.rate * elapsed);
        if (customer_buckets.rate_limit < customer_buckets.allowance.ceiling_burst)
            customer_buckets.rate_limit =
                std::min(customer_buckets.allowance.ceiling_burst,
                         customer_buckets.rate_limit + customer_buckets.allowance.ceiling_rate * elapsed);
    }
};

// Rates and probabilities of the faults that a simulation injects.
struct Faults {
    bool enabled = true;
    double restart_rate = 0.05, store_wipe_rate = 0.05, store_rollback_rate = 0.05, partition_rate = 0.1,
           latency_change_rate = 0.05;    // per second; restarts for each gateway
    double message_loss = 0.05;           // probability for each message
    double clock_set_back = 0.2;          // probability at each restart
    double clock_drift = 0.01;            // largest deviation of a clock's rate, fast or slow
};

// Runs gateways, stores, customers and faults until the simulated time is over, and records what all gateways
// together hold and admit.
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
        settings_.isolated_quota_share = random_real(0.3, 1.0);
        for (int index = 0; index < 3; ++index) {
            decision::PlanSettings plan_settings;
            plan_settings.rate = random_real(2.0, 20.0);
            plan_settings.burst = plan_settings.rate * random_real(1.0, 5.0);
            if (index != 1) {    // an equal part of the last plan's rate limit is hardly one request
                plan_settings.ceiling_rate = plan_settings.rate * random_real(1.7, 2.5);
                plan_settings.ceiling_burst =
                    index == 0 ? std::max(plan_settings.burst, 8.0 * 8) : random_real(8.0, 20.0);
                plan_settings.ceiling_slack = std::max(4.0, plan_settings.ceiling_burst * 0.1);
            }
            settings_.plans.push_back(plan_settings);
        }
        stores_.resize(static_cast<std::size_t>(random_between(1, 3)));
        gateways_.resize(static_cast<std::size_t>(count));
        for (int index = 0; index < count; ++index) start_gateway(index);
        for (std::uint64_t customer_number = 0; customer_number < 4; ++customer_number) {
            Customer& customer = customers_[CustomerId{customer_number + 1}];
            customer.plan_index = static_cast<int>(customer_number % 3);
            customer.set_size = random_between(1, std::min(count, 6));
            customer.first_gateway = random_between(0, count - 1);
            const decision::PlanSettings& plan_settings = customer_plan(customer);
            customer.rate_limit = {plan_settings.ceiling_rate, plan_settings.ceiling_burst,
                                   plan_settings.ceiling_burst, 0.0, now_};
            const double isolated_factor = 1.0 + (customer.set_size - 1) * settings_.isolated_quota_share;
            const double bound_factor = faults.enabled ? isolated_factor : 1.0;
            const double burst =
                plan_settings.burst * bound_factor + customer.set_size * settings_.max_request_units;
            customer.quota = {plan_settings.rate * bound_factor * (1.0 + 2 * faults.clock_drift), burst,
                              burst, 0.0, now_};
            customer.rate_limit.rate *=
                1.0 + 2 * faults.clock_drift;    // gateways accrue by their own clocks
            redistribute_load(customer);
            send_request(CustomerId{customer_number + 1});
        }
        if (faults.enabled) {
            schedule_repeatedly(faults.restart_rate * count,
                                [this] { restart_gateway(random_between(0, settings_.gateway_count - 1)); });
            schedule_repeatedly(faults.store_wipe_rate, [this] { any_store().rows.clear(); });
            schedule_repeatedly(1.0, [this] {    // saves the rows that a store may roll back to
                Store& store = any_store();
                store.old_rows = store.rows;
            });
            schedule_repeatedly(faults.store_rollback_rate, [this] {
                Store& store = any_store();
                store.rows = store.old_rows;
            });
            schedule_repeatedly(faults.partition_rate, [this] { change_partition(); });
            schedule_repeatedly(faults.latency_change_rate, [this] {
                any_store().latency = random_chance(0.6) ? 0.002 : random_real(0.3, 2.5);
            });
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

    // Units by which the worst customer exceeded its rate limit, and the stated bound of its quota.
    double rate_limit_overshoot() const {
        double worst = 0.0;
        for (const auto& [id, customer] : customers_)
            if (customer_plan(customer).ceiling_rate > 0.0)
                worst = std::max(worst, -customer.rate_limit.lowest_level);
        return worst;
    }
    double quota_overshoot() const {
        double worst = 0.0;
        for (const auto& [id, customer] : customers_) worst = std::max(worst, -customer.quota.lowest_level);
        return worst;
    }
    double max_share_sum = 0.0;    // largest sum of all gateways' shares of a rate limit at one time
    std::uint64_t admitted_units = 0, requested_units = 0, received_rows = 0, restarts = 0;

private:
    struct Store {
        std::map<std::pair<CustomerId, int>, QuotaRow> rows, old_rows;
        std::map<int, Announcement> announcements;
        double latency = 0.002;
    };
    struct GatewayState {
        std::unique_ptr<QuotaStateTable> quota_table;
        FakeDecisionModule decision_module;
        std::uint64_t start_number = 0, incarnation = 0;
        double clock_rate = 1.0;
        Duration clock_offset{0};
        std::set<std::size_t> unreachable_stores;
        TimePoint started_at{};
    };
    struct Customer {
        int plan_index = 0, first_gateway = 0, set_size = 1;
        ReferenceBucket rate_limit, quota;
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

    double random_real(double low, double high) {
        return std::uniform_real_distribution<>(low, high)(random_);
    }
    int random_between(int low, int high) { return std::uniform_int_distribution<>(low, high)(random_); }
    bool random_chance(double probability) { return random_real(0.0, 1.0) < probability; }
    const decision::PlanSettings& customer_plan(const Customer& customer) const {
        return settings_.plans[static_cast<std::size_t>(customer.plan_index)];
    }
    Store& any_store() {
        return stores_[static_cast<std::size_t>(random_between(0, static_cast<int>(stores_.size()) - 1))];
    }
    void schedule(double delay, std::function<void()> run) {
        queue_.push({now_ + from_seconds(delay), ++tasks_, std::move(run)});
    }
    void schedule_repeatedly(double rate, std::function<void()> run) {
        schedule(-std::log(random_real(1e-9, 1.0)) / rate, [this, rate, run] {
            run();
            schedule_repeatedly(rate, run);
        });
    }
    // Time of a gateway's own monotonic clock.
    TimePoint gateway_time(const GatewayState& gateway) const {
        return TimePoint{} + gateway.clock_offset +
               from_seconds(to_seconds(now_ - TimePoint{}) * gateway.clock_rate);
    }

    void start_gateway(int index) {
        GatewayState& gateway = gateways_[static_cast<std::size_t>(index)];
        const bool clock_goes_back = gateway.start_number > 0 && random_chance(faults_.clock_set_back);
        gateway.incarnation =
            clock_goes_back && gateway.incarnation > 5 ? gateway.incarnation - 3 : gateway.incarnation + 10;
        ++gateway.start_number;
        gateway.clock_rate = 1.0 + random_real(-faults_.clock_drift, faults_.clock_drift);
        gateway.clock_offset = from_seconds(random_real(0.0, 1e4));
        QuotaTableSettings settings = settings_;
        settings.own_index = index;
        settings.incarnation = gateway.incarnation;
        gateway.quota_table = std::make_unique<QuotaStateTable>(settings, gateway_time(gateway));
        gateway.decision_module = {};
        gateway.started_at = now_;
        sync(index, gateway.start_number);
    }
    void restart_gateway(int index) {
        GatewayState& gateway = gateways_[static_cast<std::size_t>(index)];
        if (!gateway.quota_table) return;
        received_rows += gateway.quota_table->statistics(gateway_time(gateway)).rows_received;
        gateway.quota_table.reset();
        ++gateway.start_number;
        ++restarts;
        // The quota bucket is full after a restart, so the stated error grows by a bucket for each restart.
        for (auto& [id, customer] : customers_) {
            const double refilled_units =
                customer_plan(customer).burst * std::max(settings_.isolated_quota_share, 1.0);
            customer.quota.burst += refilled_units;
            customer.quota.level += refilled_units;
        }
        schedule(random_real(0.0, 3.0), [this, index] { start_gateway(index); });
    }
    void change_partition() {
        for (GatewayState& gateway : gateways_) {
            gateway.unreachable_stores.clear();
            for (std::size_t store_index = 0; store_index < stores_.size(); ++store_index) {
                if (random_chance(0.3)) gateway.unreachable_stores.insert(store_index);
            }
        }
        if (random_chance(0.4))
            for (GatewayState& gateway : gateways_)
                gateway.unreachable_stores.clear();    // the partition heals
    }
    // Writes to and reads from each store in reach; each of the two messages may be lost.
    void sync(int index, std::uint64_t expected_start) {
        GatewayState& gateway = gateways_[static_cast<std::size_t>(index)];
        if (gateway.start_number != expected_start) return;
        schedule(random_real(0.1, 0.2), [this, index, expected_start] { sync(index, expected_start); });
        tick(gateway);
        const auto rows = gateway.quota_table->rows_due(gateway_time(gateway), 16);
        const auto requested_rows = gateway.quota_table->rows_to_read(gateway_time(gateway), 16);
        const Announcement announcement = gateway.quota_table->announcement();
        for (std::size_t store_index = 0; store_index < stores_.size(); ++store_index) {
            if (gateway.unreachable_stores.contains(store_index) || random_chance(faults_.message_loss))
                continue;
            schedule(message_delay(store_index),
                     [this, index, store_index, rows, announcement, requested_rows, expected_start] {
                         Store& store = stores_[store_index];
                         for (const auto& [customer_id, row] : rows) store.rows[{customer_id, index}] = row;
                         store.announcements[index] = announcement;
                         if (random_chance(faults_.message_loss)) return;
                         std::vector<std::tuple<CustomerId, int, QuotaRow>> found;
                         for (const auto& key : requested_rows) {
                             if (const auto stored = store.rows.find(key); stored != store.rows.end())
                                 found.emplace_back(key.first, key.second, stored->second);
                         }
                         schedule(message_delay(store_index), [this, index, expected_start, found,
                                                               read_announcements = store.announcements] {
                             GatewayState& reader = gateways_[static_cast<std::size_t>(index)];
                             if (reader.start_number != expected_start) return;
                             for (const auto& [sender, published] : read_announcements)
                                 reader.quota_table->on_announcement(sender, published, gateway_time(reader));
                             for (const auto& [customer_id, sender, row] : found)
                                 reader.quota_table->on_row(customer_id, sender, row, gateway_time(reader));
                             tick(reader);
                         });
                     });
        }
    }
    double message_delay(std::size_t store_index) {
        return stores_[store_index].latency * random_real(0.5, 1.5);
    }
    void tick(GatewayState& gateway) {
        std::vector<Allowance> changed;
        gateway.quota_table->tick(gateway_time(gateway), changed);
        for (const Allowance& allowance : changed)
            gateway.decision_module.on_allowance(allowance, gateway_time(gateway));
    }
    void redistribute_load(Customer& customer) {
        customer.weights.assign(static_cast<std::size_t>(customer.set_size), 0.0);
        const bool single_gateway = random_chance(0.4);
        for (double& weight : customer.weights) weight = single_gateway ? 0.0 : random_real(0.0, 1.0);
        customer.weights[static_cast<std::size_t>(random_between(0, customer.set_size - 1))] += 1.0;
        customer.load = random_chance(0.4) ? random_real(0.2, 0.9) : random_real(1.0, 6.0);
    }
    // Records the sum of the shares that all running gateways hold at once, which must not exceed 1.
    void check_shares(CustomerId customer_id) {
        double sum = 0.0;
        for (GatewayState& gateway : gateways_) {
            if (!gateway.quota_table) continue;
            tick(gateway);
            sum += gateway.quota_table->rate_limit_share(customer_id, gateway_time(gateway));
        }
        max_share_sum = std::max(max_share_sum, sum);
    }
    void send_request(CustomerId customer_id) {
        Customer& customer = customers_[customer_id];
        const double rate = customer_plan(customer).rate * customer.load / 2.5;
        schedule(-std::log(random_real(1e-9, 1.0)) / rate,
                 [this, customer_id] { send_request(customer_id); });
        if (random_chance(0.02)) redistribute_load(customer);
        std::discrete_distribution<> gateway_distribution(customer.weights.begin(), customer.weights.end());
        const int index = (customer.first_gateway + gateway_distribution(random_)) % settings_.gateway_count;
        GatewayState& gateway = gateways_[static_cast<std::size_t>(index)];
        if (!gateway.quota_table) return;
        const double units = random_between(1, 4);
        ++requested_units;
        tick(gateway);
        if (const auto allowance =
                gateway.quota_table->on_request(customer_id, customer.plan_index, customer.first_gateway,
                                                customer.set_size, units, gateway_time(gateway)))
            gateway.decision_module.on_allowance(*allowance, gateway_time(gateway));
        else return;
        check_shares(customer_id);
        if (!gateway.decision_module.admit(customer_id, units, customer_plan(customer).ceiling_rate > 0.0,
                                           gateway_time(gateway)))
            return;
        gateway.quota_table->record_admission(customer_id, units, gateway_time(gateway));
        ++admitted_units;
        if (customer_plan(customer).ceiling_rate > 0.0) customer.rate_limit.admit(units, now_);
        customer.quota.admit(units, now_);
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
