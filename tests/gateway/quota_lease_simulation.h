// Simulates gateways with their real membership, quota lease and balancer, and controllers with their
// membership, in virtual time. Processes can be partitioned, frozen, killed and replaced. Each gateway grants
// every unit it has, as if the tenants' demand were unlimited.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "cluster/membership/network.h"
#include "cluster/quota/balancer_world.h"
#include "gateway/quota_lease.h"

namespace shaletray::gateway::test {

using namespace std::chrono_literals;
using membership::Network;

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::uint64_t kSanitizerSlowdown = 24;    // tests under sanitizers run this many times slower
#else
constexpr std::uint64_t kSanitizerSlowdown = 1;
#endif

constexpr Duration kStepInterval = 50ms, kUpdateInterval = 250ms, kControlUpdateInterval = 500ms;

inline double max_grants(const quota::Quota& tenant_quota) {
    return (tenant_quota.rate * 5.0 + tenant_quota.burst) * 1.1 + 20.0;
}

class Simulation {
public:
    using Quotas = std::map<std::string, quota::Quota>;

    Simulation(int controller_count, int gateway_count, std::uint64_t seed,
               Quotas tenant_quotas = {{"large", {200, 20}}, {"small", {10, 5}}})
        : random(seed), network(seed * 7919), quotas(std::move(tenant_quotas)) {
        for (int index = 0; index < controller_count; ++index)
            controllers_.push_back(Network::controller_address(index));
        network.is_cut = [this](const std::string& from, const std::string& to) {
            return is_partitioned(from, to);
        };
        for (const std::string& address : controllers_)
            network.start_process(address, controllers_, new_incarnation());
        for (int index = 0; index < gateway_count; ++index) start(Network::gateway_address(index));
        next_gateway_ = gateway_count;
        step_all();
    }

    struct Gateway {
        std::uint64_t incarnation = 0;
        std::unique_ptr<QuotaLease> lease;
        std::unique_ptr<quota::QuotaBalancer> balancer;
        std::map<std::string, TimePoint> confirmations;    // last confirmation by a quorum, by controller
        TimePoint next_update{}, next_control_update{};
    };

    void start(const std::string& address) {
        network.start_process(address, controllers_, new_incarnation());
        Gateway& process = gateways[address] = Gateway{};
        process.incarnation = network[address].self().incarnation;
        process.lease = std::make_unique<QuotaLease>(address);
        start_balancer(address, process);
    }
    std::string start_new() {
        const std::string address = Network::gateway_address(next_gateway_++);
        start(address);
        return address;
    }
    void kill(const std::string& address) {
        network.stop_process(address);
        gateways.erase(address);
    }
    void shut_down(const std::string& address) {
        network.depart(address);
        gateways.erase(address);
    }
    void run(Duration duration) { network.run_for(duration); }
    double granted_per_s(const std::string& tenant, Duration window) const {
        double count = 0.0;
        for (auto it = grants.rbegin(); it != grants.rend() && network.now - it->time < window; ++it)
            count += it->tenant == tenant ? 1.0 : 0.0;
        return count / std::chrono::duration<double>(window).count();
    }
    // Largest number of grants in any window, minus the permitted number.
    double excess() const {
        double worst = -1e9;
        for (const auto& [name, quota] : quotas)
            worst = std::max(worst, quota::world::World::excess(grants, name, max_grants(quota), 5s));
        return worst;
    }
    bool frozen(const std::string& address) const {
        return network.now < network.processes.at(address).frozen_until;
    }
    std::string random_gateway() {
        auto it = gateways.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(random() % gateways.size()));
        return it->first;
    }

    std::mt19937_64 random;
    Network network;
    std::map<std::string, Gateway> gateways;    // the running ones
    std::vector<quota::world::World::Grant> grants;
    const Quotas quotas;
    std::function<bool(const std::string& from, const std::string& to)> is_partitioned =
        [](const auto&, const auto&) { return false; };
    bool saturating = true;
    const std::vector<std::string>& controllers() const { return controllers_; }

private:
    std::uint64_t new_incarnation() {
        return static_cast<std::uint64_t>(network.now.time_since_epoch().count()) + ++last_incarnation_;
    }
    void start_balancer(const std::string& address, Gateway& process) {
        quota::Settings settings;
        settings.self = address;
        settings.incarnation = process.incarnation;
        settings.seed = random();
        process.balancer = std::make_unique<quota::QuotaBalancer>(settings, network.now);
        process.balancer->set_quotas(quotas, network.now);
    }
    bool is_connected(const std::string& a, const std::string& b) const {
        return !is_partitioned(a, b) && !is_partitioned(b, a);
    }
    bool is_running(const std::string& address) const {
        return network.processes.at(address).member != nullptr && !frozen(address);
    }
    bool has_quorum(const std::string& address) const {
        if (!is_running(address)) return false;
        std::size_t voters = 0;
        for (const std::string& voter : controllers_)
            voters += is_running(voter) && is_connected(voter, address);
        return 2 * voters > controllers_.size();
    }
    void step_all() {
        for (auto& [address, process] : gateways) step(address, process);
        network.schedule(network.now + kStepInterval, [this] { step_all(); });
    }
    void step(const std::string& address, Gateway& process) {
        if (network.now >= process.next_control_update) {    // A frozen process reads messages when it
                                                             // resumes, and takes them for new.
            process.next_control_update = network.now + kControlUpdateInterval;
            for (const std::string& controller_address : controllers_)
                if (is_connected(address, controller_address) && has_quorum(controller_address))
                    process.confirmations[controller_address] = TimePoint::max();
        }
        if (frozen(address)) return;
        for (auto& [controller, confirmed_at] : process.confirmations)
            if (confirmed_at == TimePoint::max()) confirmed_at = network.now;
        // Granting comes first: this is the worst case for a process that was just resumed.
        for (const auto& [name, quota] : quotas) {
            Duration retry_after{};
            while (saturating && process.balancer->request_unit(name, 0ms, network.now, retry_after) ==
                                     quota::AdmissionDecision::Granted)
                grants.push_back({network.now, name});
        }
        membership::Membership& cluster = network[address];
        if (cluster.self().incarnation != process.incarnation) {
            process.incarnation = cluster.self().incarnation;
            process.lease->release();
            start_balancer(address, process);
        }
        if (network.now >= process.next_update) {
            process.next_update = network.now + kUpdateInterval;
            std::vector<std::string> confirmed;
            for (const auto& [controller_address, confirmed_at] : process.confirmations)
                if (network.now - confirmed_at <= 3s) confirmed.push_back(controller_address);
            process.balancer->set_peers(process.lease->update(cluster, confirmed, network.now), network.now);
            cluster.set_quota_divisor(process.lease->quota_divisor());
            network.reschedule_tick(address);
        }
        if (process.balancer->next_deadline() > network.now) return;
        quota::Actions actions;
        process.balancer->tick(network.now, actions);
        send_messages(address, actions);
    }
    void send_messages(const std::string& from, const quota::Actions& actions) {
        for (const auto& send : actions.sends) {
            if (is_partitioned(from, send.to)) continue;
            network.schedule(network.now + 1ms,
                             [this, from, to = send.to, bytes = send.bytes] { deliver(from, to, bytes); });
        }
    }
    void deliver(const std::string& from, const std::string& to, const std::string& bytes) {
        const auto it = gateways.find(to);
        if (it == gateways.end()) return;
        if (frozen(to)) {
            network.schedule(network.processes.at(to).frozen_until, [=, this] { deliver(from, to, bytes); });
            return;
        }
        quota::Actions actions;
        it->second.balancer->on_message(from, bytes, network.now, actions);
        send_messages(to, actions);
    }

    std::vector<std::string> controllers_;
    int next_gateway_ = 0;
    std::uint64_t last_incarnation_ = 0;
};

}    // namespace shaletray::gateway::test
