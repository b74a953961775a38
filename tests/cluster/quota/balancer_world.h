// Pilots in virtual time: their stores, the network between them, what the caller learns of the others by
// beats, and tenants whose requests come unevenly.
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

#include "cluster/quota/quota_balancer.h"

namespace shaletray::quota::world {

using namespace std::chrono_literals;

constexpr Duration kBeat = 500ms, kForget = 20s, kRefill = 10s;

// What the caller must do for peers(): a model of the convoy, strict where the rule hangs on it.
class Caller {
public:
    struct Beat {
        std::string from;
        std::uint64_t life = 0;
        std::uint32_t counts = 0;
        TimePoint stamp{}, echo{};
        std::uint64_t echo_life = 0;
        std::map<std::string, TimePoint> heard;    // when any pilot last heard of it
    };
    Caller(std::string me, std::uint64_t life, std::size_t fleet) : me_(me), life_(life), fleet_(fleet) {}
    Beat beat(const std::string& to, TimePoint now) {
        Beat b{me_, life_, static_cast<std::uint32_t>(ring(now).size()), now, {}, 0, {}};
        if (const auto it = others_.find(to); it != others_.end()) {
            b.echo = it->second.stamp;
            b.echo_life = it->second.life;
        }
        for (const auto& [name, o] : others_) b.heard[name] = o.heard;
        return b;
    }
    void heard(const Beat& b, TimePoint now) {
        Other& o = others_[b.from];
        if (b.life < o.life || (b.life == o.life && b.stamp < o.stamp)) return;
        if (b.life > o.life) o.echoed = {};
        o.life = b.life;
        o.stamp = b.stamp;
        o.heard = now;
        o.counts = b.counts;
        if (b.echo_life == life_) o.echoed = std::max(o.echoed, b.echo);
        for (const auto& [name, at] : b.heard)
            if (name != me_) others_[name].heard = std::max(others_[name].heard, at);
    }
    std::vector<std::string> ring(TimePoint now) const {
        std::vector<std::string> names{me_};
        for (const auto& [name, o] : others_)
            if (now < o.heard + kForget) names.push_back(name);
        std::sort(names.begin(), names.end());
        return names;
    }
    Peers peers(TimePoint now) {
        Peers p{ring(now), 0, {}};
        const auto size = static_cast<std::uint32_t>(p.ring.size());
        std::uint32_t divisor = size;
        std::vector<TimePoint> echoed{now};    // when they heard this life, by their own word
        bool all = true;
        for (const auto& [name, o] : others_) {
            if (now >= o.heard + kForget) continue;
            divisor = std::max(divisor, o.counts);
            if (o.echoed != TimePoint{}) echoed.push_back(o.echoed);
            // It counts this life, or refills no more.
            const bool counts = o.echoed != TimePoint{} && now < o.echoed + kRefill && o.counts >= size;
            all = all && (counts || now >= o.heard + kRefill + 1s);
        }
        const std::size_t most = fleet_ / 2 + 1;
        if (echoed.size() >= most) {
            std::nth_element(echoed.begin(), echoed.begin() + static_cast<std::ptrdiff_t>(most - 1),
                             echoed.end(), std::greater<>());
            p.refill_until = echoed[most - 1] + kRefill;
        }
        if (now >= until_) confirmed_ = false;
        if (!confirmed_) confirmed_ = all && p.refill_until > now;
        if (confirmed_) until_ = p.refill_until;
        p.divisor = confirmed_ ? divisor : 0;
        return p;
    }

private:
    struct Other {
        std::uint64_t life = 0;
        std::uint32_t counts = 0;
        TimePoint stamp{}, heard{}, echoed{};
    };
    std::string me_;
    std::uint64_t life_;
    std::size_t fleet_;
    std::map<std::string, Other> others_;
    bool confirmed_ = false;
    TimePoint until_{};
};

struct Tenant {
    std::string name;
    Quota quota;
    std::vector<double> weight{};    // of pilots
};

struct Net {
    Duration delay = 1ms, jitter = 1ms;
    double loss = 0.0, twice = 0.0, late = 0.0;    // late: up to a second
};

class World {
public:
    struct Grant {
        TimePoint at;
        std::string tenant;
    };
    struct Pilot {
        std::string address;
        std::uint64_t life = 0;
        bool up = false, frozen = false, cut = false;
        std::unique_ptr<Caller> caller;
        std::unique_ptr<Tide> tide;
        std::map<std::string, Quota> quotas;                     // its configuration
        std::map<std::string, std::deque<TimePoint>> waiting;    // until when
        std::deque<std::function<void()>> later;                 // while frozen
        TimePoint ticks = TimePoint::max();
    };
    struct Figures {
        std::uint64_t asked = 0, granted = 0, waited = 0, refused = 0, sent = 0, bytes = 0;
        double refused_part() const {
            return asked ? static_cast<double>(refused) / static_cast<double>(asked) : 0.0;
        }
    };

    World(std::size_t count, std::uint64_t seed) : random(seed) {
        for (std::size_t i = 0; i < count; ++i) {
            pilots.emplace_back();
            pilots.back().address =
                "10.1." + std::to_string(i / 10) + "." + std::to_string(100 + i) + ":7100";
        }
    }

    Duration part_of(Duration whole) {
        return Duration(static_cast<std::int64_t>(chance() * static_cast<double>(whole.count())));
    }
    double chance() { return std::uniform_real_distribution<>(0.0, 1.0)(random); }
    std::size_t any() { return random() % pilots.size(); }
    void at(TimePoint t, std::function<void()> what) { events_.push({t, ++number_, std::move(what)}); }
    void run(Duration for_how_long) {
        const TimePoint end = now + for_how_long;
        while (!events_.empty() && events_.top().at <= end) {
            Event e = events_.top();
            events_.pop();
            now = std::max(now, e.at);
            e.what();
        }
        now = end;
    }

    void start(std::size_t i) {
        Pilot& p = pilots[i];
        if (p.up) return;
        p.up = true;
        p.frozen = false;
        p.later.clear();
        p.waiting.clear();
        p.life = ++lives_;
        p.caller = std::make_unique<Caller>(p.address, p.life, pilots.size());
        Settings s;
        s.me = p.address;
        s.life = p.life;
        s.seed = random();
        p.tide = std::make_unique<Tide>(s, now);
        p.quotas = quotas;
        p.tide->quotas(quotas, now);
        p.ticks = TimePoint::max();
        beat(i, p.life);
    }
    void kill(std::size_t i) {
        pilots[i].up = false;
        for (const auto& [name, waiting] : pilots[i].waiting) figures.refused += waiting.size();
        pilots[i].waiting.clear();
    }
    void freeze(std::size_t i) { pilots[i].frozen = pilots[i].up; }
    void wake(std::size_t i) {
        Pilot& p = pilots[i];
        if (!p.up || !p.frozen) return;
        p.frozen = false;
        std::deque<std::function<void()>> later;
        later.swap(p.later);
        for (auto& what : later) what();
        after(i);
    }
    // A new configuration reaches each pilot after up to `spread`.
    void configure(std::map<std::string, Quota> by_tenant, Duration spread) {
        quotas = by_tenant;
        for (std::size_t i = 0; i < pilots.size(); ++i)
            at(now + part_of(spread), [=, this] {
                deliver(i, [=, this] {
                    pilots[i].quotas = by_tenant;
                    pilots[i].tide->quotas(by_tenant, now);
                    after(i);
                });
            });
    }
    // From now on the tenant sends so many requests a second.
    void load(const Tenant& t, double per_s) { traffic(t, per_s, ++loads_[t.name]); }

    // The most grants of the tenant in any window, less what may be granted in it.
    static double excess(const std::vector<Grant>& grants, const std::string& tenant, double most,
                         Duration window) {
        std::deque<TimePoint> in;
        double worst = -most;
        for (const Grant& g : grants) {
            if (g.tenant != tenant) continue;
            in.push_back(g.at);
            while (in.front() + window < g.at) in.pop_front();
            worst = std::max(worst, static_cast<double>(in.size()) - most);
        }
        return worst;
    }

    TimePoint now{1'000s};
    std::mt19937_64 random;
    Net net;
    Duration patience = 150ms;
    double returns = 0.0;    // part of what is granted that never ran
    std::map<std::string, Quota> quotas;
    std::vector<Pilot> pilots;
    std::vector<Grant> grants;
    Figures figures;

private:
    struct Event {
        TimePoint at;
        std::uint64_t number;
        std::function<void()> what;
        bool operator<(const Event& o) const { return at != o.at ? at > o.at : number > o.number; }
    };

    void deliver(std::size_t i, std::function<void()> what) {
        Pilot& p = pilots[i];
        if (!p.up) return;
        if (!p.frozen) {
            what();
        } else if (p.later.size() < 1000) {
            p.later.push_back([=, this, life = p.life] {
                if (pilots[i].up && pilots[i].life == life) what();
            });
        }
    }
    void carry(std::size_t from, const std::string& to, std::function<void(std::size_t)> what) {
        for (std::size_t i = 0; i < pilots.size(); ++i) {
            if (pilots[i].address != to) continue;
            for (int copies = chance() < net.twice ? 2 : 1; copies > 0; --copies) {
                if (chance() < net.loss || pilots[from].cut != pilots[i].cut) continue;
                Duration d = net.delay + part_of(net.jitter);
                if (chance() < net.late) d += Duration(static_cast<std::int64_t>(chance() * 1e6));
                at(now + d, [=, this] {
                    if (pilots[from].cut == pilots[i].cut) deliver(i, [=] { what(i); });
                });
            }
        }
    }
    void beat(std::size_t i, std::uint64_t life) {
        Pilot& p = pilots[i];
        if (!p.up || p.life != life) return;
        if (!p.frozen) {
            for (const Pilot& o : pilots)
                if (o.address != p.address)
                    carry(i, o.address, [this, b = p.caller->beat(o.address, now)](std::size_t to) {
                        pilots[to].caller->heard(b, now);
                        pilots[to].tide->peers(pilots[to].caller->peers(now), now);
                        after(to);
                    });
            p.tide->peers(p.caller->peers(now), now);
            after(i);
        }
        at(now + kBeat, [=, this] { beat(i, life); });
    }
    void traffic(const Tenant& t, double per_s, std::uint64_t load) {
        if (per_s <= 0.0) return;
        const double gap = std::exponential_distribution<>(per_s)(random);
        at(now + Duration(static_cast<std::int64_t>(gap * 1e6)), [=, this] {
            if (load != loads_[t.name]) return;
            std::discrete_distribution<std::size_t> pick(t.weight.begin(), t.weight.end());
            request(pick(random), t.name);
            traffic(t, per_s, load);
        });
    }
    void request(std::size_t i, const std::string& tenant) {
        ++figures.asked;
        if (!pilots[i].up) return;
        deliver(i, [=, this] {
            Pilot& p = pilots[i];
            if (!p.quotas.contains(tenant)) return;    // its keys are not known there
            Duration retry{};
            switch (p.tide->ask(tenant, patience, now, retry)) {
                case Ruling::Granted: granted(i, tenant); break;
                case Ruling::Refused: ++figures.refused; break;
                case Ruling::Wait: {
                    ++figures.waited;
                    p.waiting[tenant].push_back(now + patience);
                    p.tide->waits(tenant, 1);
                    at(now + patience, [=, this] { deliver(i, [=, this] { expire(i, tenant); }); });
                }
            }
            after(i);
        });
    }
    void expire(std::size_t i, const std::string& tenant) {
        auto& waiting = pilots[i].waiting[tenant];
        while (!waiting.empty() && waiting.front() <= now) {
            waiting.pop_front();
            pilots[i].tide->waits(tenant, -1);
            ++figures.refused;
        }
        after(i);
    }
    void granted(std::size_t i, const std::string& tenant) {
        if (chance() < returns) {
            at(now + 30ms, [=, this, life = pilots[i].life] {
                deliver(i, [=, this] {
                    if (pilots[i].life == life) pilots[i].tide->give_back(tenant, now);
                });
            });
            return;
        }
        ++figures.granted;
        grants.push_back({now, tenant});
    }
    // Sends what is to be sent, lets those ask again that wait, and comes back when it is due.
    void act(std::size_t i, Actions& out) {
        Pilot& p = pilots[i];
        for (Actions::Send& send : out.sends) {
            ++figures.sent;
            figures.bytes += send.bytes.size();
            carry(i, send.to, [this, from = p.address, bytes = std::move(send.bytes)](std::size_t to) {
                Actions more;
                pilots[to].tide->heard(from, bytes, now, more);
                act(to, more);
            });
        }
        for (const std::string& tenant : out.woken) {
            auto& waiting = p.waiting[tenant];
            Duration retry{};
            while (!waiting.empty() && p.quotas.contains(tenant)) {
                p.tide->waits(tenant, -1);
                if (p.tide->ask(tenant, waiting.front() - now, now, retry) != Ruling::Granted) {
                    p.tide->waits(tenant, 1);
                    break;
                }
                waiting.pop_front();
                granted(i, tenant);
            }
        }
        after(i);
    }
    void after(std::size_t i) {
        Pilot& p = pilots[i];
        const TimePoint due = p.tide->next();
        if (due >= p.ticks) return;
        p.ticks = due;
        at(std::max(now, due), [=, this, life = p.life] {
            if (pilots[i].life != life || pilots[i].ticks != due) return;
            pilots[i].ticks = TimePoint::max();
            deliver(i, [=, this] {
                Actions out;
                pilots[i].tide->tick(now, out);
                act(i, out);
            });
        });
    }

    std::priority_queue<Event> events_;
    std::uint64_t number_ = 0, lives_ = 0;
    std::map<std::string, std::uint64_t> loads_;
};

}    // namespace shaletray::quota::world
