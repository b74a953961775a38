// Tests of the fraction of quotas that tenants can use, and of a single balancer.
#include <criterion/criterion.h>

#include "cluster/quota/balancer_world.h"
#include "cluster/quota/quota_bound.h"

using namespace shaletray;
using namespace shaletray::quota;
using namespace shaletray::quota::world;

namespace {

// Simulates eight tenants for 30 s. The tenant of index `hot` sends 7.5 times its rate, the others 0.6 times.
// A tenant's clients reach some gateways up to five times as often as others, or, with `few_gateways`, only
// four gateways.
World run_load(std::size_t gateways, std::uint64_t seed, int hot, bool few_gateways,
               std::vector<Tenant>& tenants) {
    World world(gateways, seed);
    world.network.loss = 0.01;
    for (const double rate : {5, 8, 10, 15, 25, 50, 100, 200}) {
        Tenant tenant = make_tenant(world, "tenant" + std::to_string(tenants.size()), {rate, rate});
        if (few_gateways) {
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

Test(quota_balancer, rejects_few_requests_within_the_quota) {
    for (const std::size_t gateways : {std::size_t{11}, std::size_t{13}})
        for (const bool few_gateways : {false, true}) {
            std::vector<Tenant> tenants;
            const World world = run_load(gateways, gateways, -1, few_gateways, tenants);
            cr_log_info(
                "%zu gateways%s: %llu requested, %.3f%% rejected, %.1f%% queued, %.1f messages/s each",
                gateways, few_gateways ? ", few used" : "",
                static_cast<unsigned long long>(world.statistics.requested),
                100.0 * world.statistics.rejected_fraction(),
                100.0 * static_cast<double>(world.statistics.queued) /
                    static_cast<double>(world.statistics.requested),
                static_cast<double>(world.statistics.sent) / 30.0 / static_cast<double>(gateways));
            cr_assert_lt(world.statistics.rejected_fraction(), 0.003);
        }
}

Test(quota_balancer, hot_tenant_gets_its_quota_without_affecting_others) {
    for (const int hot : {0, 2, 7}) {
        std::vector<Tenant> tenants;
        const World world = run_load(13, 5, hot, false, tenants);
        const Tenant& tenant = tenants[static_cast<std::size_t>(hot)];
        std::uint64_t hot_grants = 0;
        for (const World::Grant& grant : world.grants) hot_grants += grant.tenant == tenant.name ? 1 : 0;
        const double granted_fraction = static_cast<double>(hot_grants) / 30.0 / tenant.quota.rate;
        cr_log_info("hot at %.0f/s: granted %.3f of its rate", tenant.quota.rate, granted_fraction);
        cr_assert_gt(granted_fraction, 0.97);
        cr_assert_leq(World::excess(world.grants, tenant.name, bound_with_half_overshoot(tenant.quota), 5s),
                      0.0);
        const double others = static_cast<double>(world.statistics.granted - hot_grants);
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

Test(quota_balancer, idle_tenants_need_no_buckets_or_ticks) {
    TimePoint now{1'000s};
    std::map<std::string, Quota> quotas;
    for (int i = 0; i < 420'000; ++i) quotas["tenant" + std::to_string(i)] = {10, 10};
    QuotaBalancer balancer = single_balancer(quotas, now);
    Actions actions;
    balancer.tick(now, actions);
    cr_assert_eq(balancer.statistics().buckets, 0u);
    cr_assert(balancer.next_deadline() == TimePoint::max());
    const double full = balancer.available_units("tenant7", now);
    cr_assert_eq(full, 10.0 + 0.5 * (0.1 * 60.0 + 20.0));    // as if the bucket had always existed
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

Test(quota_balancer, changed_limits_and_divisors_take_effect) {
    TimePoint now{1'000s};
    const Quota small{10, 0}, large{20, 30};
    const double small_level = bound_with_half_overshoot(small) - 50.0,
                 large_level = bound_with_half_overshoot(large) - 100.0;
    QuotaBalancer balancer = single_balancer({{"met", large}, {"unmet", large}, {"free", {}}}, now);
    Duration retry_after{};
    cr_assert(balancer.request_unit("free", 0ms, now, retry_after) ==
              AdmissionDecision::Granted);    // no limit
    cr_assert(balancer.request_unit("unheard", 0ms, now, retry_after) ==
              AdmissionDecision::Granted);    // callers reject unknown tenants before
    cr_assert(balancer.request_unit("met", 0ms, now, retry_after) == AdmissionDecision::Granted);
    // Lower limits apply at once.
    balancer.set_quotas({{"met", small}, {"unmet", small}, {"free", small}}, now);
    cr_assert_eq(balancer.available_units("met", now), small_level);
    cr_assert_float_eq(balancer.available_units("unmet", now), small_level, 1e-6);
    // Without a limit, any number of units may have been granted.
    cr_assert_eq(balancer.available_units("free", now), 0.0);
    balancer.set_quotas({{"met", large}, {"unmet", large}, {"free", small}, {"new", large}},
                        now);    // higher limits apply by refill
    now += 500ms;
    for (const char* name : {"met", "unmet"})
        cr_assert_float_eq(balancer.available_units(name, now), small_level + 10.0, 1e-6);
    cr_assert_eq(balancer.available_units("new", now), large_level);    // no units of it were granted here
    balancer.set_quotas({{"met", large}}, now);
    balancer.set_quotas({{"met", large}, {"new", large}}, now);
    cr_assert_eq(balancer.available_units("new", now), 0.0);    // it was removed and added again
    balancer.set_peers({{"a", "b"}, 2, now + 1s}, now);         // with more gateways, the bucket is cut
    cr_assert_leq(balancer.available_units("met", now), large_level / 2);
    balancer.set_peers({{"a"}, 1, now + 1s}, now);    // with fewer gateways, it refills to more
    cr_assert_leq(balancer.available_units("met", now), large_level / 2);
    now += 1s;
    cr_assert_eq(balancer.available_units("met", now), 0.0);    // the lease has expired
    cr_assert(balancer.request_unit("met", 0ms, now, retry_after) == AdmissionDecision::Rejected);
    balancer.set_peers({{"a"}, 1, now + 10s}, now);
    now += 250ms;
    cr_assert_float_eq(balancer.available_units("met", now), 5.0, 1e-6);
}

Test(quota_balancer, wakes_queued_requests_and_sets_retry_time_of_rejected_ones) {
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
    balancer.return_unit("t", now);    // the request was not executed
    cr_assert(balancer.request_unit("t", 50ms, now, retry_after) == AdmissionDecision::Granted);
}
