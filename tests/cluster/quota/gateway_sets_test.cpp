// Tests of gateway sets: which gateways hold a tenant's units, and what happens to the units when gateways
// join and leave.
#include "cluster/quota/gateway_sets.h"

#include <criterion/criterion.h>

#include <algorithm>

#include "cluster/quota/message.h"
#include "cluster/quota/quota_balancer.h"
#include "cluster/quota/refill_clocks.h"

using namespace std::chrono_literals;
using namespace shaletray;
using namespace shaletray::quota;

namespace {

std::vector<std::string> make_addresses(std::size_t count) {
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < count; ++i) addresses.push_back("10.1." + std::to_string(1000 + i));
    return addresses;
}

std::vector<std::string> without(std::vector<std::string> addresses, const std::string& address) {
    std::erase(addresses, address);
    return addresses;
}

const Quota kQuota{10, 10};    // yields sets of four members; there are eight gateways
const std::string kTenant = "tenant";

// A gateway with a confirmed lease, and the addresses of all gateways.
struct Fixture {
    explicit Fixture(std::string own_address) : self(std::move(own_address)), balancer(make_balancer()) {
        set_gateways(addresses);
        now += 60s;
        set_gateways(addresses);
    }
    QuotaBalancer make_balancer() {
        Settings settings;
        settings.self = self;
        settings.incarnation = 1;
        QuotaBalancer result(settings, now);
        result.set_quotas({{kTenant, kQuota}}, now);
        return result;
    }
    void set_gateways(const std::vector<std::string>& ring) {
        balancer.set_peers({.ring = ring,
                            .divisor = static_cast<std::uint32_t>(ring.size()),
                            .refill_until = now + 1h,
                            .sharers = {}},
                           now);
    }
    double units() const { return balancer.available_units(kTenant, now); }

    std::vector<std::string> addresses = make_addresses(8);
    TimePoint now{1'000s};
    std::string self;
    QuotaBalancer balancer;
};

constexpr SetSizeClass kSetOfFour = 2;

std::vector<std::string> members_among(const std::vector<std::string>& addresses) {
    GatewaySets sets(addresses.front());
    sets.set_gateways(addresses);
    return sets.members(tenant_id(kTenant), kSetOfFour);
}

std::string outsider_among(const std::vector<std::string>& addresses) {
    const std::vector<std::string> members = members_among(addresses);
    return *std::find_if(addresses.begin(), addresses.end(), [&](const std::string& address) {
        return std::find(members.begin(), members.end(), address) == members.end();
    });
}

// Returns the destination addresses of the actions' messages.
std::vector<std::string> receivers_of(const Actions& actions) {
    std::vector<std::string> receivers;
    for (const Actions::Send& send : actions.sends) receivers.push_back(send.to);
    return receivers;
}

}    // namespace

Test(gateway_sets, all_gateways_agree_on_the_members) {
    for (const std::size_t count : {1, 3, 13, 90}) {
        const std::vector<std::string> addresses = make_addresses(count);
        for (const std::uint64_t tenant : {tenant_id("a"), tenant_id("b"), tenant_id("c")}) {
            for (SetSizeClass size_class = 0; size_class <= kMaxSetSizeClass; ++size_class) {
                std::vector<std::string> self_declared, computed_by_first;
                for (const std::string& address : addresses) {
                    GatewaySets sets(address);
                    cr_assert(sets.set_gateways(addresses) && !sets.set_gateways(addresses));
                    if (sets.is_member(tenant, size_class)) self_declared.push_back(address);
                    if (computed_by_first.empty()) computed_by_first = sets.members(tenant, size_class);
                }
                cr_assert(self_declared == computed_by_first);
                cr_assert_eq(computed_by_first.size(), std::min(count, set_size(size_class)));
            }
        }
    }
}

Test(gateway_sets, each_member_holds_at_least_two_units) {
    cr_expect_eq(set_size_class(1.0), 0);
    cr_expect_eq(set_size_class(4.0), 1);
    cr_expect_eq(set_size_class(10.0), 2);
    cr_expect_eq(set_size_class(32.0), 3);
    cr_expect_eq(set_size_class(1e6), kMaxSetSizeClass);
    for (double capacity = 4.0; capacity < 1000.0; capacity *= 1.1)
        cr_expect_geq(capacity / static_cast<double>(set_size(set_size_class(capacity))), 2.0);
}

// Two groups of gateways that do not know each other. Both know the total number of gateways, from the
// divisor.
Test(gateway_sets, shares_of_partitioned_gateways_sum_up_to_one) {
    const std::vector<std::string> addresses = make_addresses(90);
    for (const std::size_t group_size : {std::size_t{1}, std::size_t{7}, std::size_t{40}}) {
        for (SetSizeClass size_class = 0; size_class <= kMaxSetSizeClass; ++size_class) {
            double sum = 0.0;
            for (std::size_t i = 0; i < addresses.size(); ++i) {
                const auto group_end = addresses.begin() + static_cast<std::ptrdiff_t>(group_size);
                const std::vector<std::string> known(i < group_size ? addresses.begin() : group_end,
                                                     i < group_size ? group_end : addresses.end());
                GatewaySets sets(addresses[i]);
                sets.set_gateways(known);
                if (sets.is_member(tenant_id(kTenant), size_class))
                    sum += RefillClocks::member_share(90, known.size(), size_class);
            }
            cr_expect_float_eq(sum, 1.0, 1e-9);
        }
    }
}

Test(gateway_sets, joining_gateway_starts_empty_and_leaving_gateway_drops_units) {
    const std::vector<std::string> addresses = make_addresses(8);
    const std::vector<std::string> members = members_among(addresses);
    const double full_level = (10.0 + 0.5 * (0.1 * 60.0 + 20.0)) / 4.0;
    for (const std::string& address : addresses) {
        Fixture gateway(address);
        const bool is_member = std::find(members.begin(), members.end(), address) != members.end();
        cr_assert_float_eq(gateway.units(), is_member ? full_level : 0.0, 1e-6);
    }
    // A member leaves: another gateway joins, and refills from empty.
    const std::vector<std::string> fewer = without(addresses, members.front());
    const std::vector<std::string> new_members = members_among(fewer);
    const auto new_member =
        std::find_if(new_members.begin(), new_members.end(), [&](const std::string& address) {
            return std::find(members.begin(), members.end(), address) == members.end();
        });
    cr_assert(new_member != new_members.end());
    Fixture gateway(*new_member);
    gateway.set_gateways(fewer);
    cr_assert_eq(gateway.units(), 0.0);
    gateway.now += 200ms;
    cr_assert_float_eq(gateway.units(), 0.2 * 10.0 / 4.0, 1e-6);
    // The member returns, so the gateway leaves the set again.
    gateway.set_gateways(addresses);
    cr_assert_eq(gateway.units(), 0.0);
}

Test(gateway_sets, new_members_of_a_growing_set_wait_before_refill) {
    const std::vector<std::string> addresses = make_addresses(8);
    Fixture gateway(outsider_among(addresses));
    gateway.balancer.set_quotas({{kTenant, {100, 100}}}, gateway.now);    // makes all eight gateways members
    gateway.now += 9900ms;
    cr_assert_eq(gateway.units(), 0.0);
    gateway.now += 200ms;
    cr_assert_float_eq(gateway.units(), 0.1 * 100.0 / 8.0, 1e-6);
}

// Clients keep their connections to a gateway that has just started, or that has no contact to a controller,
// and such a gateway has no lease.
Test(gateway_sets, gateway_outside_of_the_set_grants_transferred_units_without_a_lease) {
    const std::vector<std::string> addresses = make_addresses(8);
    Fixture outsider(outsider_among(addresses));
    outsider.balancer = outsider.make_balancer();    // restarted, without a confirmed lease since
    outsider.balancer.set_peers({.ring = addresses, .divisor = 0, .refill_until = {}, .sharers = {}},
                                outsider.now);
    outsider.now += 400ms;
    Duration retry_after{};
    cr_assert(outsider.balancer.request_unit(kTenant, 250ms, outsider.now, retry_after) ==
              AdmissionDecision::Queued);
    outsider.balancer.adjust_queued(kTenant, 1);
    Actions request, response, wakeup;
    outsider.balancer.tick(outsider.now, request);
    cr_assert_eq(request.sends.size(), 1u);
    Fixture member(request.sends.front().to);
    member.balancer.on_message(outsider.self, request.sends.front().bytes, outsider.now, response);
    outsider.balancer.on_message(member.self, response.sends.front().bytes, outsider.now, wakeup);
    cr_assert(wakeup.replenished_tenants == std::vector<std::string>{kTenant});
    cr_assert(outsider.balancer.request_unit(kTenant, 0ms, outsider.now, retry_after) ==
              AdmissionDecision::Granted);
    // A member without a lease grants and transfers nothing.
    Fixture idle_member(request.sends.front().to);
    idle_member.balancer.set_peers({.ring = addresses, .divisor = 0, .refill_until = {}, .sharers = {}},
                                   idle_member.now);
    Actions empty_response;
    idle_member.balancer.on_message(outsider.self, request.sends.front().bytes, outsider.now, empty_response);
    cr_assert(idle_member.balancer.request_unit(kTenant, 250ms, outsider.now, retry_after) ==
              AdmissionDecision::Rejected);
    outsider.balancer.on_message(idle_member.self, empty_response.sends.front().bytes, outsider.now, wakeup);
    cr_assert(outsider.balancer.request_unit(kTenant, 0ms, outsider.now, retry_after) !=
              AdmissionDecision::Granted);
}

Test(gateway_sets, unresponsive_member_delays_a_request_by_one_timeout) {
    const std::vector<std::string> addresses = make_addresses(8);
    const std::vector<std::string> members = members_among(addresses);
    Fixture outsider(outsider_among(addresses));
    Duration retry_after{};
    cr_assert(outsider.balancer.request_unit(kTenant, 250ms, outsider.now, retry_after) ==
              AdmissionDecision::Queued);
    outsider.balancer.adjust_queued(kTenant, 1);
    Actions first, second;
    outsider.balancer.tick(outsider.now, first);
    cr_assert_eq(first.sends.size(), 1u);    // to a member that does not respond
    outsider.now += 31ms;
    outsider.balancer.tick(outsider.now, second);
    cr_assert_eq(second.sends.size(), 1u);
    cr_assert(receivers_of(first) != receivers_of(second));
    Fixture member(second.sends.front().to);
    Actions response, wakeup;
    member.balancer.on_message(outsider.self, second.sends.front().bytes, outsider.now, response);
    cr_assert(receivers_of(response) == std::vector<std::string>{outsider.self});
    outsider.balancer.on_message(member.self, response.sends.front().bytes, outsider.now, wakeup);
    cr_assert(wakeup.replenished_tenants == std::vector<std::string>{kTenant});
    cr_assert(outsider.balancer.request_unit(kTenant, 0ms, outsider.now, retry_after) ==
              AdmissionDecision::Granted);
}
