// What tenants get of their quotas, and what a balancer does on its own.
#include <criterion/criterion.h>

#include "cluster/quota/balancer_world.h"
#include "cluster/quota/quota_bound.h"

using namespace shaletray;
using namespace shaletray::quota;
using namespace shaletray::quota::world;

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
