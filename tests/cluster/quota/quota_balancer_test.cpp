#include <criterion/criterion.h>

#include <cmath>

#include "cluster/quota/balancer_world.h"
#include "cluster/quota/message.h"

using namespace shaletray;
using namespace shaletray::quota;
using namespace shaletray::quota::world;

namespace {

// The bound that tenant_bucket.h argues for: the quota and half of the permitted overshoot.
double half_bound(const Quota& tenant_quota) {
    const double quota = tenant_quota.rate * 5.0 + tenant_quota.burst;
    return quota + 0.5 * (quota * 0.1 + 20.0);
}

Tenant make_tenant(World& world, const std::string& name, Quota quota) {
    Tenant result{name, quota, {}};
    for (std::size_t index = 0; index < world.gateways.size(); ++index)
        result.weight.push_back(1.0 + 4.0 * world.chance());
    return result;
}

// A fault of some gateways that is over by `end`.
void inject_fault(World& world, const std::vector<Tenant>& tenants, TimePoint end) {
    const std::size_t target = world.random_index();
    switch (world.random() % 6) {
        case 0:
            for (std::size_t index = 0; index < world.gateways.size(); ++index)
                if (index == target || world.chance() < 0.3) {
                    world.kill(index);
                    world.schedule(end, [&world, index] { world.start(index); });
                }
            break;
        case 1:
            for (std::size_t index = 0; index < world.gateways.size(); ++index)
                world.gateways[index].partitioned = index == target || world.chance() < 0.3;
            world.schedule(end, [&world] {
                for (auto& process : world.gateways) process.partitioned = false;
            });
            break;
        case 2:
            world.freeze(target);
            world.schedule(end, [&world, target] { world.unfreeze(target); });
            break;
        case 3:
            world.network = {Duration(world.random() % 150'000), 5ms, 0.2, 0.3, 0.2};
            world.schedule(end, [&world] { world.network = {}; });
            break;
        case 4: {    // a tenant's limit falls, or the tenant is removed; later all is as before
            auto reduced = world.quotas;
            const Tenant& tenant = tenants[world.random() % tenants.size()];
            reduced.erase(tenant.name);
            if (world.chance() < 0.7)
                reduced[tenant.name] = {tenant.quota.rate * world.chance(),
                                        tenant.quota.burst * world.chance()};
            world.schedule(end, [&world, all = world.quotas] { world.configure(all, 500ms); });
            world.configure(reduced, 500ms);
            break;
        }
        case 5: world.start(target); break;
    }
}

}    // namespace

// Whatever happens to the gateways and between them, all grants of a tenant in any window stay in the bound.
// The worst moment for it is when buckets are full and many requests come just as a fault ends.
Test(quota_balancer, no_fault_adds_to_a_quota) {
    for (std::uint64_t seed = 1; seed <= 16; ++seed) {
        World world(3 + seed % 9, seed);
        const std::vector<Tenant> tenants{make_tenant(world, "small", {5, 5}),
                                          make_tenant(world, "middle", {40, 20}),
                                          make_tenant(world, "deep", {5, 80})};
        for (const Tenant& tenant : tenants) world.quotas[tenant.name] = tenant.quota;
        for (std::size_t i = 0; i < world.gateways.size(); ++i)
            if (world.chance() < 0.7) world.start(i);
        for (int episode = 0; episode < 16; ++episode) {
            // Short, or long enough for the others to count on the shares of those that failed.
            const double longest = world.chance() < 0.5 ? 4.0 : 35.0;
            const Duration length(static_cast<std::int64_t>((0.2 + longest * world.chance()) * 1e6));
            const TimePoint end = world.now + 4s + length;
            for (const Tenant& tenant : tenants)
                world.set_load(tenant, world.chance() < 0.5 ? 0.3 * tenant.quota.rate : 0.0);
            world.schedule(end - Duration(static_cast<std::int64_t>(world.chance() * 4e6)), [&] {
                for (const Tenant& tenant : tenants)
                    world.set_load(tenant, 12.0 * tenant.quota.rate + 4.0 * tenant.quota.burst);
            });
            world.run(4s);
            for (std::uint64_t n = 1 + world.random() % 2; n > 0; --n) inject_fault(world, tenants, end);
            world.run(length + 4s);
        }
        for (const Tenant& tenant : tenants) {
            const double worst = World::excess(world.grants, tenant.name, half_bound(tenant.quota), 5s);
            cr_assert_leq(worst, 0.0, "seed %d tenant %s: %f over", static_cast<int>(seed),
                          tenant.name.c_str(), worst);
        }
    }
}

// Three gateways and one tenant, and all orders of a few events: the units of all together, with every
// transfer in flight that would still be accepted, never exceed what the tenant's buckets may hold.
namespace tiny {

struct Envelope {
    std::size_t from = 0, to = 0;
    std::string bytes;
};

struct State {
    TimePoint now{1'000s};
    std::vector<QuotaBalancer> balancers;
    std::vector<std::uint32_t> divisor{3, 3, 3};
    std::vector<bool> contacted{true, true, true};    // by the others, until now
    std::vector<Envelope> in_flight;
    std::uint64_t last_incarnation = 0;
};

const std::vector<std::string> kNames{"a", "b", "c"};
const Quota kQuota{40, 3};
constexpr int kActions = 11;

QuotaBalancer make_balancer(State& state, std::size_t index) {
    Settings settings;
    settings.self = kNames[index];
    settings.incarnation = ++state.last_incarnation;
    QuotaBalancer balancer(settings, state.now);
    balancer.set_quotas({{"t", kQuota}}, state.now);
    return balancer;
}

void enqueue(State& state, std::size_t from, const Actions& actions) {
    for (const Actions::Send& send : actions.sends)
        state.in_flight.push_back({from, static_cast<std::size_t>(send.to[0] - 'a'), send.bytes});
    if (state.in_flight.size() > 6) state.in_flight.erase(state.in_flight.begin());
}

void deliver(State& state, std::size_t position) {
    if (position >= state.in_flight.size()) return;
    const Envelope envelope = state.in_flight[position];
    Actions actions;
    state.balancers[envelope.to].on_message(kNames[envelope.from], envelope.bytes, state.now, actions);
    enqueue(state, envelope.to, actions);
}

void advance_time(State& state, Duration time) {
    state.now += time;
    for (std::size_t index = 0; index < 3; ++index) {
        if (state.contacted[index])
            state.balancers[index].set_peers({kNames, state.divisor[index], state.now + 10s}, state.now);
        Actions actions;
        state.balancers[index].tick(state.now, actions);
        enqueue(state, index, actions);
    }
}

void consume(State& state, std::size_t index, int units) {
    Duration retry_after{};
    while (units-- > 0 && state.balancers[index].request_unit("t", 0ms, state.now, retry_after) ==
                              AdmissionDecision::Granted) {
    }
}

void apply_action(State& state, int action) {
    switch (action) {
        case 0: consume(state, 0, 9); break;
        case 1: consume(state, 1, 2); break;
        case 2: advance_time(state, 100ms); break;
        case 3: advance_time(state, 260ms); break;
        case 4: deliver(state, 0); break;    // and again later, perhaps
        case 5: deliver(state, state.in_flight.size() - 1); break;
        case 6:
            if (!state.in_flight.empty()) state.in_flight.erase(state.in_flight.begin());
            break;
        case 7:    // a new incarnation, which the others count already
            state.balancers[1] = make_balancer(state, 1);
            state.balancers[1].set_peers({kNames, state.divisor[1], state.now + 10s}, state.now);
            break;
        case 8:    // the third is partitioned, and after twenty seconds the others divide by two
            state.contacted[2] = false;
            advance_time(state, 9s);
            advance_time(state, 12s);
            state.divisor[0] = state.divisor[1] = 2;
            advance_time(state, 0s);
            break;
        case 9:    // it is back: counted first, then confirmed
            state.divisor = {3, 3, 3};
            for (std::size_t index = 0; index < 2; ++index)
                state.balancers[index].set_peers({kNames, 3, state.now + 10s}, state.now);
            state.contacted[2] = true;
            advance_time(state, 10ms);
            break;
        case 10: {    // a request is queued at the first, which requests units
            Duration retry_after{};
            if (state.balancers[0].request_unit("t", 150ms, state.now, retry_after) !=
                AdmissionDecision::Queued)
                break;
            state.balancers[0].adjust_queued("t", 1);
            advance_time(state, 0s);
            state.balancers[0].adjust_queued("t", -1);
            break;
        }
    }
}

void check_bound(State state, const std::vector<int>& path) {
    for (std::size_t receiver = state.in_flight.size(), i = 0; i < receiver; ++i) {
        const Envelope envelope = state.in_flight[i];
        Actions actions;
        state.balancers[envelope.to].on_message(kNames[envelope.from], envelope.bytes, state.now, actions);
    }
    double sum = 0.0;
    for (const QuotaBalancer& balancer : state.balancers) sum += balancer.available_units("t", state.now);
    std::string history;
    for (const int action : path) history += " " + std::to_string(action);
    cr_assert_leq(sum, half_bound(kQuota) - 5.0 * kQuota.rate + 1e-6, "after%s: %f", history.c_str(), sum);
}

void explore(const State& state, std::vector<int>& path, int depth) {
    for (int action = 0; action < kActions; ++action) {
        State next_state = state;
        apply_action(next_state, action);
        path.push_back(action);
        check_bound(next_state, path);
        if (depth > 1) explore(next_state, path, depth - 1);
        path.pop_back();
    }
}

}    // namespace tiny

Test(quota_balancer, no_order_of_events_creates_units) {
    tiny::State state;
    for (std::size_t i = 0; i < 3; ++i) state.balancers.push_back(tiny::make_balancer(state, i));
    tiny::advance_time(state, 1s);
    std::vector<int> path;
    for (int i = 0; i < 12; ++i) tiny::advance_time(state, 1s);
    tiny::explore(state, path, 5);
    for (const int action : {0, 3, 4, 4, 3}) tiny::apply_action(state, action);    // transfers are in flight
    tiny::explore(state, path, 5);
}

namespace {

// Eight tenants for half a minute; the tenant of index `hot` sends 7.5 times its rate, the others 0.6 times.
// A tenant's clients reach some gateways up to five times as often as others, or only four gateways.
World run_day(std::size_t gateways, std::uint64_t seed, int hot, bool few, std::vector<Tenant>& tenants) {
    World world(gateways, seed);
    world.network.loss = 0.01;
    for (const double rate : {5, 8, 10, 15, 25, 50, 100, 200}) {
        Tenant tenant = make_tenant(world, "tenant" + std::to_string(tenants.size()), {rate, rate});
        if (few) {
            tenant.weight.assign(gateways, 0.0);
            for (int i = 0; i < 4; ++i) tenant.weight[world.random_index()] += 1.0;
        }
        world.quotas[tenant.name] = tenant.quota;
        tenants.push_back(tenant);
    }
    for (std::size_t i = 0; i < gateways; ++i) world.start(i);
    world.run(8s);
    for (std::size_t i = 0; i < tenants.size(); ++i)
        world.set_load(tenants[i], tenants[i].quota.rate * (static_cast<int>(i) == hot ? 7.5 : 0.6));
    world.run(30s);
    return world;
}

}    // namespace

Test(quota_balancer, requests_within_the_quota_are_hardly_rejected) {
    for (const std::size_t gateways : {std::size_t{11}, std::size_t{13}})
        for (const bool few : {false, true}) {
            std::vector<Tenant> tenants;
            const World world = run_day(gateways, gateways, -1, few, tenants);
            cr_log_info(
                "%zu gateways%s: %llu requested, %.3f%% rejected, %.1f%% queued, %.1f messages/s each",
                gateways, few ? ", few used" : "",
                static_cast<unsigned long long>(world.statistics.requested),
                100.0 * world.statistics.rejected_fraction(),
                100.0 * static_cast<double>(world.statistics.queued) /
                    static_cast<double>(world.statistics.requested),
                static_cast<double>(world.statistics.sent) / 30.0 / static_cast<double>(gateways));
            cr_assert_lt(world.statistics.rejected_fraction(), 0.003);
        }
}

Test(quota_balancer, a_hot_tenant_gets_its_quota_and_costs_the_others_nothing) {
    for (const int hot : {0, 2, 7}) {
        std::vector<Tenant> tenants;
        const World world = run_day(13, 5, hot, false, tenants);
        const Tenant& tenant = tenants[static_cast<std::size_t>(hot)];
        std::uint64_t its = 0;
        for (const World::Grant& grant : world.grants) its += grant.tenant == tenant.name ? 1 : 0;
        const double part = static_cast<double>(its) / 30.0 / tenant.quota.rate;
        cr_log_info("hot at %.0f/s: granted %.3f of its rate", tenant.quota.rate, part);
        cr_assert_gt(part, 0.97);
        cr_assert_leq(World::excess(world.grants, tenant.name, half_bound(tenant.quota), 5s), 0.0);
        const double others = static_cast<double>(world.statistics.granted - its);
        cr_assert_gt(others, 0.997 * static_cast<double>(world.statistics.requested) -
                                 30.0 * 7.5 * tenant.quota.rate * 1.05);
    }
}

namespace {

QuotaBalancer single_balancer(const std::map<std::string, Quota>& quotas, TimePoint& now) {
    Settings settings;
    settings.self = "a";
    settings.incarnation = 1;
    QuotaBalancer balancer(settings, now);
    balancer.set_quotas(quotas, now);
    balancer.set_peers({{"a"}, 1, now + 1h}, now);
    now += 60s;
    return balancer;
}

}    // namespace

Test(quota_balancer, tenants_cost_nothing_until_they_send_requests) {
    TimePoint now{1'000s};
    std::map<std::string, Quota> quotas;
    for (int i = 0; i < 420'000; ++i) quotas["tenant" + std::to_string(i)] = {10, 10};
    QuotaBalancer balancer = single_balancer(quotas, now);
    Actions actions;
    balancer.tick(now, actions);
    cr_assert_eq(balancer.statistics().buckets, 0u);
    cr_assert(balancer.next_deadline() == TimePoint::max());
    const double full = balancer.available_units("tenant7", now);
    cr_assert_eq(full, 10.0 + 0.5 * (0.1 * 60.0 + 20.0));    // as if its bucket had always existed
    Duration retry_after{};
    cr_assert(balancer.request_unit("tenant7", 0ms, now, retry_after) == AdmissionDecision::Granted);
    cr_assert_eq(balancer.statistics().buckets, 1u);
    for (int i = 0; i < 20 && balancer.next_deadline() < TimePoint::max(); ++i)
        balancer.tick(now = std::max(now, balancer.next_deadline()), actions);
    cr_assert_eq(balancer.statistics().buckets, 0u);
    cr_assert(balancer.next_deadline() == TimePoint::max());
    cr_assert_eq(balancer.available_units("tenant7", now), full);
    cr_assert(actions.sends.empty());
}

Test(quota_balancer, changed_limits_take_effect) {
    TimePoint now{1'000s};
    const Quota small{10, 0}, large{20, 30};
    const double few = half_bound(small) - 50.0, many = half_bound(large) - 100.0;
    QuotaBalancer balancer = single_balancer({{"met", large}, {"unmet", large}, {"free", {}}}, now);
    Duration retry_after{};
    cr_assert(balancer.request_unit("free", 0ms, now, retry_after) ==
              AdmissionDecision::Granted);    // no limit
    cr_assert(balancer.request_unit("unheard", 0ms, now, retry_after) ==
              AdmissionDecision::Granted);    // the caller rejects unknown tenants
    cr_assert(balancer.request_unit("met", 0ms, now, retry_after) == AdmissionDecision::Granted);
    balancer.set_quotas({{"met", small}, {"unmet", small}, {"free", small}}, now);    // lower: at once
    cr_assert_eq(balancer.available_units("met", now), few);
    cr_assert_float_eq(balancer.available_units("unmet", now), few, 1e-6);
    cr_assert_eq(balancer.available_units("free", now), 0.0);    // it may have been granted any number
    balancer.set_quotas({{"met", large}, {"unmet", large}, {"free", small}, {"new", large}},
                        now);    // higher: by refill
    now += 500ms;
    for (const char* name : {"met", "unmet"})
        cr_assert_float_eq(balancer.available_units(name, now), few + 10.0, 1e-6);
    cr_assert_eq(balancer.available_units("new", now), many);    // nobody here was granted any of it
    balancer.set_quotas({{"met", large}}, now);
    balancer.set_quotas({{"met", large}, {"new", large}}, now);
    cr_assert_eq(balancer.available_units("new", now), 0.0);    // it was removed and came back
    balancer.set_peers({{"a", "b"}, 2, now + 1s}, now);         // more gateways: the bucket is cut
    cr_assert_leq(balancer.available_units("met", now), many / 2);
    balancer.set_peers({{"a"}, 1, now + 1s}, now);    // fewer: by refill
    cr_assert_leq(balancer.available_units("met", now), many / 2);
    now += 1s;
    cr_assert_eq(balancer.available_units("met", now), 0.0);    // the lease has ended
    cr_assert(balancer.request_unit("met", 0ms, now, retry_after) == AdmissionDecision::Rejected);
    balancer.set_peers({{"a"}, 1, now + 10s}, now);
    now += 250ms;
    cr_assert_float_eq(balancer.available_units("met", now), 5.0, 1e-6);
}

Test(quota_balancer, queued_requests_are_woken_and_others_told_when_to_retry) {
    TimePoint now{1'000s};
    QuotaBalancer balancer = single_balancer({{"t", {10, 0}}}, now);
    Duration retry_after{};
    while (balancer.available_units("t", now) >= 1.0) balancer.request_unit("t", 0ms, now, retry_after);
    cr_assert(balancer.request_unit("t", 100ms, now, retry_after) ==
              AdmissionDecision::Queued);    // one unit is refilled by then
    balancer.adjust_queued("t", 1);
    cr_assert(balancer.request_unit("t", 100ms, now, retry_after) ==
              AdmissionDecision::Rejected);    // but not two
    cr_assert(retry_after > 100ms && retry_after <= 200ms);
    Actions actions;
    while (actions.replenished_tenants.empty())
        balancer.tick(now = std::max(now, balancer.next_deadline()), actions);
    cr_assert_leq((now - TimePoint(1'060s)).count(), 101'000);
    balancer.adjust_queued("t", -1);
    cr_assert(balancer.request_unit("t", 50ms, now, retry_after) == AdmissionDecision::Granted);
    balancer.return_unit("t", now);    // it never ran
    cr_assert(balancer.request_unit("t", 50ms, now, retry_after) == AdmissionDecision::Granted);
}
