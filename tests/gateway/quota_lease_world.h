// Pilots with their real convoy, quota lease and tide, and lighthouses with their convoy, in virtual time:
// cut off from each other, frozen, killed, replaced; every pilot grants what it may to tenants that want all.
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

namespace shaletray::gateway::world {

using namespace std::chrono_literals;
using membership::Network;

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::uint64_t kLess = 24;    // everything takes so much longer
#else
constexpr std::uint64_t kLess = 1;
#endif

constexpr Duration kStep = 50ms, kLook = 250ms, kWord = 500ms;

inline double rule(const quota::Quota& q) { return (q.rate * 5.0 + q.burst) * 1.1 + 20.0; }

class World {
public:
    World(int lighthouses, int pilots, std::uint64_t seed) : random(seed), net(seed * 7919) {
        for (int i = 0; i < lighthouses; ++i) lighthouses_.push_back(Network::lighthouse(i));
        net.cut = [this](const std::string& from, const std::string& to) { return cut(from, to); };
        for (const std::string& l : lighthouses_) net.start(l, lighthouses_, life());
        for (int i = 0; i < pilots; ++i) start(Network::pilot(i));
        next_pilot_ = pilots;
        pump();
    }

    struct Pilot {
        std::uint64_t life = 0;
        std::unique_ptr<QuotaLease> lease;
        std::unique_ptr<quota::Tide> tide;
        std::map<std::string, TimePoint> words;    // of lighthouses that a quorum bore out
        TimePoint looks{}, said{};
    };

    void start(const std::string& address) {
        net.start(address, lighthouses_, life());
        Pilot& p = pilots[address] = Pilot{};
        p.life = net[address].me().life;
        p.lease = std::make_unique<QuotaLease>(address);
        begin(address, p);
    }
    std::string start_new() {
        const std::string address = Network::pilot(next_pilot_++);
        start(address);
        return address;
    }
    void kill(const std::string& address) {
        net.stop(address);
        pilots.erase(address);
    }
    void leave(const std::string& address) {
        net.leave(address);
        pilots.erase(address);
    }
    void run(Duration d) { net.run(d); }
    double granted_per_s(const std::string& tenant, Duration lately) const {
        double count = 0.0;
        for (auto it = grants.rbegin(); it != grants.rend() && net.now - it->at < lately; ++it)
            count += it->tenant == tenant ? 1.0 : 0.0;
        return count / std::chrono::duration<double>(lately).count();
    }
    // The most grants in any window above what the rule allows.
    double excess() const {
        double worst = -1e9;
        for (const auto& [name, quota] : quotas)
            worst = std::max(worst, quota::world::World::excess(grants, name, rule(quota), 5s));
        return worst;
    }
    bool frozen(const std::string& address) const { return net.now < net.processes.at(address).frozen_until; }
    std::string any() {
        auto it = pilots.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(random() % pilots.size()));
        return it->first;
    }

    std::mt19937_64 random;
    Network net;
    std::map<std::string, Pilot> pilots;    // that run
    std::vector<quota::world::World::Grant> grants;
    const std::map<std::string, quota::Quota> quotas{{"large", {200, 20}}, {"small", {10, 5}}};
    std::function<bool(const std::string& from, const std::string& to)> cut = [](const auto&, const auto&) {
        return false;
    };
    bool greedy = true;
    const std::vector<std::string>& lighthouses() const { return lighthouses_; }

private:
    std::uint64_t life() { return static_cast<std::uint64_t>(net.now.time_since_epoch().count()) + ++lives_; }
    void begin(const std::string& address, Pilot& p) {
        quota::Settings s;
        s.me = address;
        s.life = p.life;
        s.seed = random();
        p.tide = std::make_unique<quota::Tide>(s, net.now);
        p.tide->quotas(quotas, net.now);
    }
    bool open(const std::string& a, const std::string& b) const { return !cut(a, b) && !cut(b, a); }
    bool runs(const std::string& address) const {
        return net.processes.at(address).convoy != nullptr && !frozen(address);
    }
    bool borne_out(const std::string& lighthouse) const {
        if (!runs(lighthouse)) return false;
        std::size_t voters = 0;
        for (const std::string& l : lighthouses_) voters += runs(l) && open(l, lighthouse);
        return 2 * voters > lighthouses_.size();
    }
    void pump() {
        for (auto& [address, p] : pilots) step(address, p);
        net.at(net.now + kStep, [this] { pump(); });
    }
    void step(const std::string& address, Pilot& p) {
        if (net.now >= p.said) {    // words that come to a frozen process are read when it wakes, as new
            p.said = net.now + kWord;
            for (const std::string& l : lighthouses_)
                if (open(address, l) && borne_out(l)) p.words[l] = TimePoint::max();
        }
        if (frozen(address)) return;
        for (auto& [l, at] : p.words)
            if (at == TimePoint::max()) at = net.now;
        // Before anything else is looked at: the worst that a process just woken can do.
        for (const auto& [name, quota] : quotas) {
            Duration retry{};
            while (greedy && p.tide->ask(name, 0ms, net.now, retry) == quota::Ruling::Granted)
                grants.push_back({net.now, name});
        }
        membership::Convoy& c = net[address];
        if (c.me().life != p.life) {
            p.life = c.me().life;
            p.lease->end();
            begin(address, p);
        }
        if (net.now >= p.looks) {
            p.looks = net.now + kLook;
            std::vector<std::string> confirmed;
            for (const auto& [l, at] : p.words)
                if (net.now - at <= 3s) confirmed.push_back(l);
            p.tide->peers(p.lease->look(c, confirmed, net.now), net.now);
            c.counts(p.lease->counts());
            net.touched(address);
        }
        if (p.tide->next() > net.now) return;
        quota::Actions out;
        p.tide->tick(net.now, out);
        carry(address, out);
    }
    void carry(const std::string& from, const quota::Actions& out) {
        for (const auto& send : out.sends) {
            if (cut(from, send.to)) continue;
            net.at(net.now + 1ms,
                   [this, from, to = send.to, bytes = send.bytes] { arrive(from, to, bytes); });
        }
    }
    void arrive(const std::string& from, const std::string& to, const std::string& bytes) {
        const auto it = pilots.find(to);
        if (it == pilots.end()) return;
        if (frozen(to)) {
            net.at(net.processes.at(to).frozen_until, [=, this] { arrive(from, to, bytes); });
            return;
        }
        quota::Actions out;
        it->second.tide->heard(from, bytes, net.now, out);
        carry(to, out);
    }

    std::vector<std::string> lighthouses_;
    int next_pilot_ = 0;
    std::uint64_t lives_ = 0;
};

}    // namespace shaletray::gateway::world
