// Tests of the bound on the grants of all gateways together, under faults and for all orders of a few events.
#include "cluster/quota/quota_bound.h"

#include <criterion/criterion.h>

#include "cluster/quota/balancer_world.h"

using namespace shaletray;
using namespace shaletray::quota;
using namespace shaletray::quota::world;

namespace {

// Injects a fault of some gateways, the network or the configuration that ends at `end`.
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
                for (auto& gateway : world.gateways) gateway.partitioned = false;
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
        case 4: {    // reduces a tenant's limit or removes the tenant, and restores it later
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

// All grants of a tenant in any window stay within the bound under any faults of gateways and network. The
// worst case is that buckets are full and many requests arrive just when a fault ends.
Test(quota_bound, grants_stay_within_the_bound_under_faults) {
    for (std::uint64_t seed = 1; seed <= 16; ++seed) {
        World world(3 + seed % 9, seed);
        const std::vector<Tenant> tenants{make_tenant(world, "small", {5, 5}),
                                          make_tenant(world, "middle", {40, 20}),
                                          make_tenant(world, "deep", {5, 80})};
        for (const Tenant& tenant : tenants) world.quotas[tenant.name] = tenant.quota;
        for (std::size_t i = 0; i < world.gateways.size(); ++i)
            if (world.chance() < 0.7) world.start(i);
        for (int episode = 0; episode < 16; ++episode) {
            // Short, or long enough for the other gateways to take over the shares of those that failed.
            const double max_length = world.chance() < 0.5 ? 4.0 : 35.0;
            const Duration length(static_cast<std::int64_t>((0.2 + max_length * world.chance()) * 1e6));
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
            const double max_excess =
                World::excess(world.grants, tenant.name, bound_with_half_overshoot(tenant.quota), 5s);
            cr_assert_leq(max_excess, 0.0, "seed %d tenant %s: %f over", static_cast<int>(seed),
                          tenant.name.c_str(), max_excess);
        }
    }
}

// Explores all orders of a few events with three gateways and one tenant: the units of all gateways,
// including every transfer in flight that would still be accepted, never exceed what the tenant's buckets may
// hold.
namespace exhaustive {

struct Envelope {
    std::size_t from = 0, to = 0;
    std::string bytes;
};

struct State {
    TimePoint now{1'000s};
    std::vector<QuotaBalancer> balancers;
    std::vector<std::uint32_t> divisor{3, 3, 3};
    std::vector<bool> contacted{true, true, true};    // whether the gateway has contact to the others
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
        case 4: deliver(state, 0); break;    // it stays in flight, so it may be delivered again
        case 5: deliver(state, state.in_flight.size() - 1); break;
        case 6:
            if (!state.in_flight.empty()) state.in_flight.erase(state.in_flight.begin());
            break;
        case 7:    // restarts the second, which the others already count
            state.balancers[1] = make_balancer(state, 1);
            state.balancers[1].set_peers({kNames, state.divisor[1], state.now + 10s}, state.now);
            break;
        case 8:    // partitions the third; after 20 s the others divide by two
            state.contacted[2] = false;
            advance_time(state, 9s);
            advance_time(state, 12s);
            state.divisor[0] = state.divisor[1] = 2;
            advance_time(state, 0s);
            break;
        case 9:    // ends the partition: the third is counted first, then confirmed
            state.divisor = {3, 3, 3};
            for (std::size_t index = 0; index < 2; ++index)
                state.balancers[index].set_peers({kNames, 3, state.now + 10s}, state.now);
            state.contacted[2] = true;
            advance_time(state, 10ms);
            break;
        case 10: {    // queues a request at the first, which requests units
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

void check_bound(State state, const std::vector<int>& actions_taken) {
    for (std::size_t receiver = state.in_flight.size(), i = 0; i < receiver; ++i) {
        const Envelope envelope = state.in_flight[i];
        Actions actions;
        state.balancers[envelope.to].on_message(kNames[envelope.from], envelope.bytes, state.now, actions);
    }
    double sum = 0.0;
    for (const QuotaBalancer& balancer : state.balancers) sum += balancer.available_units("t", state.now);
    std::string history;
    for (const int action : actions_taken) history += " " + std::to_string(action);
    cr_assert_leq(sum, bound_with_half_overshoot(kQuota) - 5.0 * kQuota.rate + 1e-6, "after%s: %f",
                  history.c_str(), sum);
}

void explore(const State& state, std::vector<int>& actions_taken, int depth) {
    for (int action = 0; action < kActions; ++action) {
        State next_state = state;
        apply_action(next_state, action);
        actions_taken.push_back(action);
        check_bound(next_state, actions_taken);
        if (depth > 1) explore(next_state, actions_taken, depth - 1);
        actions_taken.pop_back();
    }
}

}    // namespace exhaustive

Test(quota_bound, no_order_of_events_creates_units) {
    exhaustive::State state;
    for (std::size_t i = 0; i < 3; ++i) state.balancers.push_back(exhaustive::make_balancer(state, i));
    exhaustive::advance_time(state, 1s);
    std::vector<int> actions_taken;
    for (int i = 0; i < 12; ++i) exhaustive::advance_time(state, 1s);
    exhaustive::explore(state, actions_taken, 5);
    for (const int action : {0, 3, 4, 4, 3})
        exhaustive::apply_action(state, action);    // leaves transfers in flight
    exhaustive::explore(state, actions_taken, 5);
}
