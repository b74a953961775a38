// A simulation of gateways in virtual time: their balancers, the network between them, the heartbeats that
// update the membership, and tenants whose requests are distributed unevenly over the gateways.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "cluster/quota/membership_model.h"
#include "cluster/quota/quota_balancer.h"

namespace shaletray::quota::world {

using namespace std::chrono_literals;

constexpr Duration kHeartbeatInterval = 500ms;

struct Tenant {
    std::string name;
    Quota quota;
    std::vector<double> weight{};    // relative request rate of each gateway
};

struct Network {
    Duration delay = 1ms, jitter = 1ms;
    double loss = 0.0, duplication = 0.0, late_delivery = 0.0;    // late: by up to one second
};

class World {
public:
    struct Grant {
        TimePoint time;
        std::string tenant;
    };
    struct Gateway {
        std::string address;
        std::uint64_t incarnation = 0;
        bool up = false, frozen = false, partitioned = false;
        std::unique_ptr<MembershipModel> cluster;
        std::unique_ptr<QuotaBalancer> balancer;
        std::map<std::string, Quota> quotas;                    // the gateway's configuration
        std::map<std::string, std::deque<TimePoint>> queued;    // when the waits expire
        std::deque<std::function<void()>> deferred;             // tasks to run after a freeze
        TimePoint next_tick = TimePoint::max();
    };
    struct Statistics {
        std::uint64_t requested = 0, granted = 0, queued = 0, rejected = 0, sent = 0, bytes = 0;
        double rejected_fraction() const {
            return requested ? static_cast<double>(rejected) / static_cast<double>(requested) : 0.0;
        }
    };

    World(std::size_t gateway_count, std::uint64_t seed) : random(seed) {
        for (std::size_t index = 0; index < gateway_count; ++index) {
            gateways.emplace_back();
            gateways.back().address =
                "10.1." + std::to_string(index / 10) + "." + std::to_string(100 + index) + ":7100";
        }
    }

    Duration random_fraction_of(Duration whole) {
        return Duration(static_cast<std::int64_t>(chance() * static_cast<double>(whole.count())));
    }
    double chance() { return std::uniform_real_distribution<>(0.0, 1.0)(random); }
    std::size_t random_index() { return random() % gateways.size(); }
    void schedule(TimePoint time, std::function<void()> task) {
        events_.push({time, ++last_event_sequence_, std::move(task)});
    }
    void run(Duration duration) {
        const TimePoint end = now + duration;
        while (!events_.empty() && events_.top().time <= end) {
            Event event = events_.top();
            events_.pop();
            now = std::max(now, event.time);
            event.task();
        }
        now = end;
    }

    void start(std::size_t index) {
        Gateway& gateway = gateways[index];
        if (gateway.up) return;
        gateway.up = true;
        gateway.frozen = false;
        gateway.deferred.clear();
        gateway.queued.clear();
        gateway.incarnation = ++last_incarnation_;
        gateway.cluster =
            std::make_unique<MembershipModel>(gateway.address, gateway.incarnation, gateways.size());
        Settings settings;
        settings.self = gateway.address;
        settings.incarnation = gateway.incarnation;
        settings.seed = random();
        gateway.balancer = std::make_unique<QuotaBalancer>(settings, now);
        gateway.quotas = quotas;
        gateway.balancer->set_quotas(quotas, now);
        gateway.next_tick = TimePoint::max();
        send_heartbeat(index, gateway.incarnation);
    }
    void kill(std::size_t index) {
        gateways[index].up = false;
        for (const auto& [name, queued] : gateways[index].queued) statistics.rejected += queued.size();
        gateways[index].queued.clear();
    }
    void freeze(std::size_t index) { gateways[index].frozen = gateways[index].up; }
    void unfreeze(std::size_t index) {
        Gateway& gateway = gateways[index];
        if (!gateway.up || !gateway.frozen) return;
        gateway.frozen = false;
        std::deque<std::function<void()>> deferred;
        deferred.swap(gateway.deferred);
        for (auto& task : deferred) task();
        schedule_tick(index);
    }
    // Applies a new configuration, which reaches each gateway after a random delay of up to `max_delay`.
    void configure(std::map<std::string, Quota> by_tenant, Duration max_delay) {
        quotas = by_tenant;
        for (std::size_t i = 0; i < gateways.size(); ++i)
            schedule(now + random_fraction_of(max_delay), [=, this] {
                deliver(i, [=, this] {
                    gateways[i].quotas = by_tenant;
                    gateways[i].balancer->set_quotas(by_tenant, now);
                    schedule_tick(i);
                });
            });
    }
    // Sets the tenant's load to `rate` requests per second.
    void set_load(const Tenant& tenant, double rate) {
        schedule_request(tenant, rate, ++load_generations_[tenant.name]);
    }

    // Returns the largest number of the tenant's grants in any window, minus `max_grants`.
    static double excess(const std::vector<Grant>& grants, const std::string& tenant, double max_grants,
                         Duration window) {
        std::deque<TimePoint> in_window;
        double max_excess = -max_grants;
        for (const Grant& grant : grants) {
            if (grant.tenant != tenant) continue;
            in_window.push_back(grant.time);
            while (in_window.front() + window < grant.time) in_window.pop_front();
            max_excess = std::max(max_excess, static_cast<double>(in_window.size()) - max_grants);
        }
        return max_excess;
    }

    TimePoint now{1'000s};
    std::mt19937_64 random;
    Network network;
    Duration max_wait = 150ms;
    double return_fraction = 0.0;    // fraction of granted requests that are not executed
    std::map<std::string, Quota> quotas;
    std::vector<Gateway> gateways;
    std::vector<Grant> grants;
    Statistics statistics;

private:
    struct Event {
        TimePoint time;
        std::uint64_t sequence;
        std::function<void()> task;
        bool operator<(const Event& other) const {
            return time != other.time ? time > other.time : sequence > other.sequence;
        }
    };

    void deliver(std::size_t index, std::function<void()> task) {
        Gateway& gateway = gateways[index];
        if (!gateway.up) return;
        if (!gateway.frozen) {
            task();
        } else if (gateway.deferred.size() < 1000) {
            gateway.deferred.push_back([=, this, incarnation = gateway.incarnation] {
                if (gateways[index].up && gateways[index].incarnation == incarnation) task();
            });
        }
    }
    void transmit(std::size_t from, const std::string& to, std::function<void(std::size_t)> task) {
        for (std::size_t index = 0; index < gateways.size(); ++index) {
            if (gateways[index].address != to) continue;
            for (int copies = chance() < network.duplication ? 2 : 1; copies > 0; --copies) {
                if (chance() < network.loss || gateways[from].partitioned != gateways[index].partitioned)
                    continue;
                Duration delay = network.delay + random_fraction_of(network.jitter);
                if (chance() < network.late_delivery)
                    delay += Duration(static_cast<std::int64_t>(chance() * 1e6));
                schedule(now + delay, [=, this] {
                    if (gateways[from].partitioned == gateways[index].partitioned)
                        deliver(index, [=] { task(index); });
                });
            }
        }
    }
    void send_heartbeat(std::size_t index, std::uint64_t incarnation) {
        Gateway& gateway = gateways[index];
        if (!gateway.up || gateway.incarnation != incarnation) return;
        if (!gateway.frozen) {
            for (const Gateway& receiver : gateways)
                if (receiver.address != gateway.address)
                    transmit(index, receiver.address,
                             [this, heartbeat = gateway.cluster->make_heartbeat(receiver.address, now)](
                                 std::size_t to) {
                                 gateways[to].cluster->on_heartbeat(heartbeat, now);
                                 gateways[to].balancer->set_peers(gateways[to].cluster->peer_set(now), now);
                                 schedule_tick(to);
                             });
            gateway.balancer->set_peers(gateway.cluster->peer_set(now), now);
            schedule_tick(index);
        }
        schedule(now + kHeartbeatInterval, [=, this] { send_heartbeat(index, incarnation); });
    }
    void schedule_request(const Tenant& tenant, double rate, std::uint64_t load_generation) {
        if (rate <= 0.0) return;
        const double gap = std::exponential_distribution<>(rate)(random);
        schedule(now + Duration(static_cast<std::int64_t>(gap * 1e6)), [=, this] {
            if (load_generation != load_generations_[tenant.name]) return;
            std::discrete_distribution<std::size_t> distribution(tenant.weight.begin(), tenant.weight.end());
            request(distribution(random), tenant.name);
            schedule_request(tenant, rate, load_generation);
        });
    }
    void request(std::size_t index, const std::string& tenant) {
        ++statistics.requested;
        if (!gateways[index].up) return;
        deliver(index, [=, this] {
            Gateway& gateway = gateways[index];
            if (!gateway.quotas.contains(tenant)) return;    // the tenant is not configured at this gateway
            Duration retry_after{};
            switch (gateway.balancer->request_unit(tenant, max_wait, now, retry_after)) {
                case AdmissionDecision::Granted: record_grant(index, tenant); break;
                case AdmissionDecision::Rejected: ++statistics.rejected; break;
                case AdmissionDecision::Queued: {
                    ++statistics.queued;
                    gateway.queued[tenant].push_back(now + max_wait);
                    gateway.balancer->adjust_queued(tenant, 1);
                    schedule(now + max_wait,
                             [=, this] { deliver(index, [=, this] { expire(index, tenant); }); });
                }
            }
            schedule_tick(index);
        });
    }
    void expire(std::size_t index, const std::string& tenant) {
        auto& queued = gateways[index].queued[tenant];
        while (!queued.empty() && queued.front() <= now) {
            queued.pop_front();
            gateways[index].balancer->adjust_queued(tenant, -1);
            ++statistics.rejected;
        }
        schedule_tick(index);
    }
    void record_grant(std::size_t index, const std::string& tenant) {
        if (chance() < return_fraction) {
            schedule(now + 30ms, [=, this, incarnation = gateways[index].incarnation] {
                deliver(index, [=, this] {
                    if (gateways[index].incarnation == incarnation)
                        gateways[index].balancer->return_unit(tenant, now);
                });
            });
            return;
        }
        ++statistics.granted;
        grants.push_back({now, tenant});
    }
    // Sends the messages, retries queued requests, and schedules the next tick.
    void apply_actions(std::size_t index, Actions& actions) {
        Gateway& gateway = gateways[index];
        for (Actions::Send& send : actions.sends) {
            ++statistics.sent;
            statistics.bytes += send.bytes.size();
            transmit(index, send.to,
                     [this, from = gateway.address, bytes = std::move(send.bytes)](std::size_t to) {
                         Actions reply;
                         gateways[to].balancer->on_message(from, bytes, now, reply);
                         apply_actions(to, reply);
                     });
        }
        for (const std::string& tenant : actions.replenished_tenants) {
            auto& queued = gateway.queued[tenant];
            Duration retry_after{};
            while (!queued.empty() && gateway.quotas.contains(tenant)) {
                gateway.balancer->adjust_queued(tenant, -1);
                if (gateway.balancer->request_unit(tenant, queued.front() - now, now, retry_after) !=
                    AdmissionDecision::Granted) {
                    gateway.balancer->adjust_queued(tenant, 1);
                    break;
                }
                queued.pop_front();
                record_grant(index, tenant);
            }
        }
        schedule_tick(index);
    }
    void schedule_tick(std::size_t index) {
        Gateway& gateway = gateways[index];
        const TimePoint due = gateway.balancer->next_deadline();
        if (due >= gateway.next_tick) return;
        gateway.next_tick = due;
        schedule(std::max(now, due), [=, this, incarnation = gateway.incarnation] {
            if (gateways[index].incarnation != incarnation || gateways[index].next_tick != due) return;
            gateways[index].next_tick = TimePoint::max();
            deliver(index, [=, this] {
                Actions actions;
                gateways[index].balancer->tick(now, actions);
                apply_actions(index, actions);
            });
        });
    }

    std::priority_queue<Event> events_;
    std::uint64_t last_event_sequence_ = 0, last_incarnation_ = 0;
    std::map<std::string, std::uint64_t> load_generations_;
};

}    // namespace shaletray::quota::world
