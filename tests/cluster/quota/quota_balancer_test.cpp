#include <criterion/criterion.h>

#include <cmath>

#include "cluster/quota/balancer_world.h"
#include "cluster/quota/message.h"

using namespace shaletray;
using namespace shaletray::quota;
using namespace shaletray::quota::world;

namespace {

// The bound that store.h argues for: the quota and half of what the rule allows on top.
double half_bound(const Quota& q) {
    const double quota = q.rate * 5.0 + q.burst;
    return quota + 0.5 * (quota * 0.1 + 20.0);
}

Tenant tenant(World& w, const std::string& name, Quota quota) {
    Tenant t{name, quota, {}};
    for (std::size_t i = 0; i < w.pilots.size(); ++i) t.weight.push_back(1.0 + 4.0 * w.chance());
    return t;
}

// Something happens to pilots, and is over by `end`.
void trouble(World& w, const std::vector<Tenant>& tenants, TimePoint end) {
    const std::size_t i = w.any();
    switch (w.random() % 6) {
        case 0:
            for (std::size_t k = 0; k < w.pilots.size(); ++k)
                if (k == i || w.chance() < 0.3) {
                    w.kill(k);
                    w.at(end, [&w, k] { w.start(k); });
                }
            break;
        case 1:
            for (std::size_t k = 0; k < w.pilots.size(); ++k) w.pilots[k].cut = k == i || w.chance() < 0.3;
            w.at(end, [&w] {
                for (auto& p : w.pilots) p.cut = false;
            });
            break;
        case 2:
            w.freeze(i);
            w.at(end, [&w, i] { w.wake(i); });
            break;
        case 3:
            w.net = {Duration(w.random() % 150'000), 5ms, 0.2, 0.3, 0.2};
            w.at(end, [&w] { w.net = {}; });
            break;
        case 4: {    // one's limit falls, or it leaves; and all is as it was
            auto less = w.quotas;
            const Tenant& t = tenants[w.random() % tenants.size()];
            less.erase(t.name);
            if (w.chance() < 0.7) less[t.name] = {t.quota.rate * w.chance(), t.quota.burst * w.chance()};
            w.at(end, [&w, all = w.quotas] { w.configure(all, 500ms); });
            w.configure(less, 500ms);
            break;
        }
        case 5: w.start(i); break;
    }
}

}    // namespace

// Whatever happens to the pilots and between them, all grants of a tenant in any window stay in the bound.
// The worst moment for it is when stores are full and many requests come just as a trouble ends.
Test(tide, no_trouble_adds_to_a_quota) {
    for (std::uint64_t seed = 1; seed <= 16; ++seed) {
        World w(3 + seed % 9, seed);
        const std::vector<Tenant> tenants{tenant(w, "small", {5, 5}), tenant(w, "middle", {40, 20}),
                                          tenant(w, "deep", {5, 80})};
        for (const Tenant& t : tenants) w.quotas[t.name] = t.quota;
        for (std::size_t i = 0; i < w.pilots.size(); ++i)
            if (w.chance() < 0.7) w.start(i);
        for (int episode = 0; episode < 16; ++episode) {
            // Short, or long enough for the others to count on the shares of those that are gone.
            const double longest = w.chance() < 0.5 ? 4.0 : 35.0;
            const Duration length(static_cast<std::int64_t>((0.2 + longest * w.chance()) * 1e6));
            const TimePoint end = w.now + 4s + length;
            for (const Tenant& t : tenants) w.load(t, w.chance() < 0.5 ? 0.3 * t.quota.rate : 0.0);
            w.at(end - Duration(static_cast<std::int64_t>(w.chance() * 4e6)), [&] {
                for (const Tenant& t : tenants) w.load(t, 12.0 * t.quota.rate + 4.0 * t.quota.burst);
            });
            w.run(4s);
            for (std::uint64_t n = 1 + w.random() % 2; n > 0; --n) trouble(w, tenants, end);
            w.run(length + 4s);
        }
        for (const Tenant& t : tenants) {
            const double worst = World::excess(w.grants, t.name, half_bound(t.quota), 5s);
            cr_assert_leq(worst, 0.0, "seed %d tenant %s: %f over", static_cast<int>(seed), t.name.c_str(),
                          worst);
        }
    }
}

// Three pilots and one tenant, and all orders of a few things that may happen: what all hold together, with
// every gift in flight that would still be taken, never exceeds what the tenant's stores may hold.
namespace tiny {

struct Mail {
    std::size_t from = 0, to = 0;
    std::string bytes;
};

struct State {
    TimePoint now{1'000s};
    std::vector<Tide> pilots;
    std::vector<std::uint32_t> divisor{3, 3, 3};
    std::vector<bool> heard{true, true, true};    // by the others, until now
    std::vector<Mail> mail;
    std::uint64_t lives = 0;
};

const std::vector<std::string> kNames{"a", "b", "c"};
const Quota kQuota{40, 3};
constexpr int kActions = 11;

Tide fresh(State& s, std::size_t i) {
    Settings settings;
    settings.me = kNames[i];
    settings.life = ++s.lives;
    Tide t(settings, s.now);
    t.quotas({{"t", kQuota}}, s.now);
    return t;
}

void post(State& s, std::size_t from, const Actions& out) {
    for (const Actions::Send& send : out.sends)
        s.mail.push_back({from, static_cast<std::size_t>(send.to[0] - 'a'), send.bytes});
    if (s.mail.size() > 6) s.mail.erase(s.mail.begin());
}

void deliver(State& s, std::size_t at) {
    if (at >= s.mail.size()) return;
    const Mail m = s.mail[at];
    Actions out;
    s.pilots[m.to].heard(kNames[m.from], m.bytes, s.now, out);
    post(s, m.to, out);
}

void pass(State& s, Duration time) {
    s.now += time;
    for (std::size_t i = 0; i < 3; ++i) {
        if (s.heard[i]) s.pilots[i].peers({kNames, s.divisor[i], s.now + 10s}, s.now);
        Actions out;
        s.pilots[i].tick(s.now, out);
        post(s, i, out);
    }
}

void spend(State& s, std::size_t i, int units) {
    Duration retry{};
    while (units-- > 0 && s.pilots[i].ask("t", 0ms, s.now, retry) == Ruling::Granted) {
    }
}

void act(State& s, int action) {
    switch (action) {
        case 0: spend(s, 0, 9); break;
        case 1: spend(s, 1, 2); break;
        case 2: pass(s, 100ms); break;
        case 3: pass(s, 260ms); break;
        case 4: deliver(s, 0); break;    // and again later, perhaps
        case 5: deliver(s, s.mail.size() - 1); break;
        case 6:
            if (!s.mail.empty()) s.mail.erase(s.mail.begin());
            break;
        case 7:    // a new life, which the others count already
            s.pilots[1] = fresh(s, 1);
            s.pilots[1].peers({kNames, s.divisor[1], s.now + 10s}, s.now);
            break;
        case 8:    // the third is cut off, and after twenty seconds the others divide by two
            s.heard[2] = false;
            pass(s, 9s);
            pass(s, 12s);
            s.divisor[0] = s.divisor[1] = 2;
            pass(s, 0s);
            break;
        case 9:    // it comes back: counted first, then confirmed
            s.divisor = {3, 3, 3};
            for (std::size_t i = 0; i < 2; ++i) s.pilots[i].peers({kNames, 3, s.now + 10s}, s.now);
            s.heard[2] = true;
            pass(s, 10ms);
            break;
        case 10: {    // a request waits at the first and asks
            Duration retry{};
            if (s.pilots[0].ask("t", 150ms, s.now, retry) != Ruling::Wait) break;
            s.pilots[0].waits("t", 1);
            pass(s, 0s);
            s.pilots[0].waits("t", -1);
            break;
        }
    }
}

void check(State s, const std::vector<int>& path) {
    for (std::size_t n = s.mail.size(), i = 0; i < n; ++i) {
        const Mail m = s.mail[i];
        Actions out;
        s.pilots[m.to].heard(kNames[m.from], m.bytes, s.now, out);
    }
    double sum = 0.0;
    for (const Tide& t : s.pilots) sum += t.free("t", s.now);
    std::string how;
    for (const int a : path) how += " " + std::to_string(a);
    cr_assert_leq(sum, half_bound(kQuota) - 5.0 * kQuota.rate + 1e-6, "after%s: %f", how.c_str(), sum);
}

void explore(const State& s, std::vector<int>& path, int depth) {
    for (int action = 0; action < kActions; ++action) {
        State next = s;
        act(next, action);
        path.push_back(action);
        check(next, path);
        if (depth > 1) explore(next, path, depth - 1);
        path.pop_back();
    }
}

}    // namespace tiny

Test(tide, no_order_of_events_makes_units) {
    tiny::State s;
    for (std::size_t i = 0; i < 3; ++i) s.pilots.push_back(tiny::fresh(s, i));
    tiny::pass(s, 1s);
    std::vector<int> path;
    for (int i = 0; i < 12; ++i) tiny::pass(s, 1s);
    tiny::explore(s, path, 5);
    for (const int action : {0, 3, 4, 4, 3}) tiny::act(s, action);    // gifts are on their way
    tiny::explore(s, path, 5);
}

namespace {

// Eight tenants at a fleet for half a minute; `hot` sends 7.5 times its rate, the others 0.6 times. A
// tenant's clients reach some pilots up to five times as often as others, or, where `few`, four pilots only.
World day(std::size_t pilots, std::uint64_t seed, int hot, bool few, std::vector<Tenant>& tenants) {
    World w(pilots, seed);
    w.net.loss = 0.01;
    for (const double rate : {5, 8, 10, 15, 25, 50, 100, 200}) {
        Tenant t = tenant(w, "tenant" + std::to_string(tenants.size()), {rate, rate});
        if (few) {
            t.weight.assign(pilots, 0.0);
            for (int i = 0; i < 4; ++i) t.weight[w.any()] += 1.0;
        }
        w.quotas[t.name] = t.quota;
        tenants.push_back(t);
    }
    for (std::size_t i = 0; i < pilots; ++i) w.start(i);
    w.run(8s);
    for (std::size_t i = 0; i < tenants.size(); ++i)
        w.load(tenants[i], tenants[i].quota.rate * (static_cast<int>(i) == hot ? 7.5 : 0.6));
    w.run(30s);
    return w;
}

}    // namespace

Test(tide, requests_inside_the_quota_are_hardly_refused) {
    for (const std::size_t pilots : {std::size_t{11}, std::size_t{13}})
        for (const bool few : {false, true}) {
            std::vector<Tenant> tenants;
            const World w = day(pilots, pilots, -1, few, tenants);
            cr_log_info("%zu pilots%s: %llu asked, %.3f%% refused, %.1f%% waited, %.1f messages/s each",
                        pilots, few ? ", few used" : "", static_cast<unsigned long long>(w.figures.asked),
                        100.0 * w.figures.refused_part(),
                        100.0 * static_cast<double>(w.figures.waited) / static_cast<double>(w.figures.asked),
                        static_cast<double>(w.figures.sent) / 30.0 / static_cast<double>(pilots));
            cr_assert_lt(w.figures.refused_part(), 0.003);
        }
}

Test(tide, a_hot_tenant_gets_its_quota_and_costs_the_others_nothing) {
    for (const int hot : {0, 2, 7}) {
        std::vector<Tenant> tenants;
        const World w = day(13, 5, hot, false, tenants);
        const Tenant& t = tenants[static_cast<std::size_t>(hot)];
        std::uint64_t its = 0;
        for (const World::Grant& g : w.grants) its += g.tenant == t.name ? 1 : 0;
        const double part = static_cast<double>(its) / 30.0 / t.quota.rate;
        cr_log_info("hot at %.0f/s: granted %.3f of its rate", t.quota.rate, part);
        cr_assert_gt(part, 0.97);
        cr_assert_leq(World::excess(w.grants, t.name, half_bound(t.quota), 5s), 0.0);
        const double others = static_cast<double>(w.figures.granted - its);
        cr_assert_gt(others, 0.997 * static_cast<double>(w.figures.asked) - 30.0 * 7.5 * t.quota.rate * 1.05);
    }
}

namespace {

Tide lone(const std::map<std::string, Quota>& quotas, TimePoint& now) {
    Settings s;
    s.me = "a";
    s.life = 1;
    Tide t(s, now);
    t.quotas(quotas, now);
    t.peers({{"a"}, 1, now + 1h}, now);
    now += 60s;
    return t;
}

}    // namespace

Test(tide, tenants_cost_nothing_until_they_are_met) {
    TimePoint now{1'000s};
    std::map<std::string, Quota> quotas;
    for (int i = 0; i < 420'000; ++i) quotas["tenant" + std::to_string(i)] = {10, 10};
    Tide t = lone(quotas, now);
    Actions out;
    t.tick(now, out);
    cr_assert_eq(t.counts().stores, 0u);
    cr_assert(t.next() == TimePoint::max());
    const double full = t.free("tenant7", now);
    cr_assert_eq(full, 10.0 + 0.5 * (0.1 * 60.0 + 20.0));    // as if it had refilled all the time
    Duration retry{};
    cr_assert(t.ask("tenant7", 0ms, now, retry) == Ruling::Granted);
    cr_assert_eq(t.counts().stores, 1u);
    for (int i = 0; i < 20 && t.next() < TimePoint::max(); ++i) t.tick(now = std::max(now, t.next()), out);
    cr_assert_eq(t.counts().stores, 0u);
    cr_assert(t.next() == TimePoint::max());
    cr_assert_eq(t.free("tenant7", now), full);
    cr_assert(out.sends.empty());
}

Test(tide, changed_limits_take_hold) {
    TimePoint now{1'000s};
    const Quota small{10, 0}, large{20, 30};
    const double few = half_bound(small) - 50.0, many = half_bound(large) - 100.0;
    Tide t = lone({{"met", large}, {"unmet", large}, {"free", {}}}, now);
    Duration retry{};
    cr_assert(t.ask("free", 0ms, now, retry) == Ruling::Granted);       // no limit
    cr_assert(t.ask("unheard", 0ms, now, retry) == Ruling::Granted);    // is the caller's to refuse
    cr_assert(t.ask("met", 0ms, now, retry) == Ruling::Granted);
    t.quotas({{"met", small}, {"unmet", small}, {"free", small}}, now);    // lower: at once
    cr_assert_eq(t.free("met", now), few);
    cr_assert_float_eq(t.free("unmet", now), few, 1e-6);
    cr_assert_eq(t.free("free", now), 0.0);    // it may have had any number
    t.quotas({{"met", large}, {"unmet", large}, {"free", small}, {"new", large}},
             now);    // higher: by refill
    now += 500ms;
    for (const char* name : {"met", "unmet"}) cr_assert_float_eq(t.free(name, now), few + 10.0, 1e-6);
    cr_assert_eq(t.free("new", now), many);    // nobody here was granted any of it
    t.quotas({{"met", large}}, now);
    t.quotas({{"met", large}, {"new", large}}, now);
    cr_assert_eq(t.free("new", now), 0.0);      // it left and came back
    t.peers({{"a", "b"}, 2, now + 1s}, now);    // more pilots: the store is cut
    cr_assert_leq(t.free("met", now), many / 2);
    t.peers({{"a"}, 1, now + 1s}, now);    // fewer: by refill
    cr_assert_leq(t.free("met", now), many / 2);
    now += 1s;
    cr_assert_eq(t.free("met", now), 0.0);    // unheard for too long
    cr_assert(t.ask("met", 0ms, now, retry) == Ruling::Refused);
    t.peers({{"a"}, 1, now + 10s}, now);
    now += 250ms;
    cr_assert_float_eq(t.free("met", now), 5.0, 1e-6);
}

Test(tide, those_who_wait_are_woken_and_others_told_when_to_return) {
    TimePoint now{1'000s};
    Tide t = lone({{"t", {10, 0}}}, now);
    Duration retry{};
    while (t.free("t", now) >= 1.0) t.ask("t", 0ms, now, retry);
    cr_assert(t.ask("t", 100ms, now, retry) == Ruling::Wait);    // one is refilled by then
    t.waits("t", 1);
    cr_assert(t.ask("t", 100ms, now, retry) == Ruling::Refused);    // but not two
    cr_assert(retry > 100ms && retry <= 200ms);
    Actions out;
    while (out.woken.empty()) t.tick(now = std::max(now, t.next()), out);
    cr_assert_leq((now - TimePoint(1'060s)).count(), 101'000);
    t.waits("t", -1);
    cr_assert(t.ask("t", 50ms, now, retry) == Ruling::Granted);
    t.give_back("t", now);    // it never ran
    cr_assert(t.ask("t", 50ms, now, retry) == Ruling::Granted);
}
