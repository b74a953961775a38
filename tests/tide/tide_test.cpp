#include <criterion/criterion.h>

#include "tide/message.h"
#include "world.h"

using namespace shaletray;
using namespace shaletray::tide;
using namespace shaletray::tide::world;

namespace {

// The bound that store.h argues for: the quota and half of what the rule allows on top.
double half_bound(const Quota& q) {
    const double quota = q.rate * 5.0 + q.burst;
    return quota + 0.5 * (quota * 0.1 + 20.0);
}

Tenant tenant(World& w, const std::string& name, Quota quota, double per_s) {
    Tenant t{name, quota, per_s, {}};
    for (std::size_t i = 0; i < w.pilots_.size(); ++i) t.weight.push_back(1.0 + 4.0 * w.chance());
    return t;
}

// Pilots and one moment of trouble after the other.
void trouble(World& w, std::vector<Tenant>& tenants) {
    const std::size_t i = w.any();
    const auto in = [&](int ms) {
        return w.now + Duration(static_cast<std::int64_t>(w.chance() * ms * 1000));
    };
    switch (w.random() % 9) {
        case 0:
            w.kill(i);
            w.at(in(30'000), [&w, i] { w.start(i); });
            break;
        case 1:
            w.kill(i);
            w.at(in(600), [&w, i] { w.start(i); });
            break;
        case 2:
            for (std::size_t k = 0; k < w.pilots_.size(); ++k) w.pilots_[k].cut = w.chance() < 0.3;
            w.at(in(40'000), [&w] {
                for (auto& p : w.pilots_) p.cut = false;
            });
            break;
        case 3:
            w.freeze(i);
            w.at(in(25'000), [&w, i] { w.wake(i); });
            break;
        case 4: w.start(i); break;
        case 5: w.net = {Duration(w.random() % 200'000), 5ms, 0.2, 0.2, 0.2}; break;
        case 6: w.net = {}; break;
        case 7: {
            Tenant& t = tenants[w.random() % tenants.size()];
            t.per_s = t.quota.rate * (w.chance() < 0.5 ? 0.6 : 7.5);
            w.load(t);
            break;
        }
        case 8: {
            auto changed = w.quotas;
            Tenant& t = tenants[w.random() % tenants.size()];
            if (w.chance() < 0.3 && changed.contains(t.name)) {
                changed.erase(t.name);
            } else {
                // Never above what the check goes by.
                changed[t.name] = {t.quota.rate * (0.2 + 0.8 * w.chance()), t.quota.burst * w.chance()};
            }
            w.configure(changed, 2s);
        }
    }
}

}    // namespace

// Whatever happens to the pilots and between them, all grants of a tenant in any window stay in the bound.
Test(tide, no_trouble_adds_to_a_quota) {
    for (std::uint64_t seed = 1; seed <= 24; ++seed) {
        World w(3 + seed % 9, seed);
        std::vector<Tenant> tenants{tenant(w, "small", {5, 5}, 25), tenant(w, "middle", {40, 20}, 100),
                                    tenant(w, "large", {150, 150}, 300), tenant(w, "deep", {5, 80}, 40)};
        for (const Tenant& t : tenants) w.quotas[t.name] = t.quota;
        for (std::size_t i = 0; i < w.pilots_.size(); ++i)
            if (w.chance() < 0.9) w.start(i);
        w.run(8s);
        for (const Tenant& t : tenants) w.load(t);
        for (int step = 0; step < 60; ++step) {
            trouble(w, tenants);
            w.run(Duration(static_cast<std::int64_t>(w.chance() * 4e6)));
        }
        for (const Tenant& t : tenants) {
            const double worst = World::excess(w.grants, t.name, half_bound(t.quota), 5s);
            cr_assert_leq(worst, 0.0, "seed %llu tenant %s: %f over", (unsigned long long)seed,
                          t.name.c_str(), worst);
        }
        cr_assert_gt(w.figures.granted, 1000u);
    }
}
