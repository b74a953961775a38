// Tests of plans that change at runtime, with the quota tables of several gateways in virtual time. Seeded
// random histories check what all gateways together admit against one bucket. Also tests the replication of
// changes and the operators' commands.
#include "data_plane/plans/plan_service.h"

#include <gtest/gtest.h>

#include <cmath>
#include <cstdlib>
#include <memory>
#include <random>

#include "balancer/control_socket/plan_command_handler.h"
#include "data_plane/plans/change_replicator.h"

namespace shaletray::plans {
namespace {

using namespace std::chrono_literals;

const TimePoint kStart = TimePoint{} + 1'700'000'000s;
constexpr CustomerId kCustomer{7}, kOtherCustomer{8};
constexpr double kMaxRequestUnits = 4.0;

double to_seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

std::vector<decision::PlanSettings> make_platform_plans() {
    return {{"equipo", 4.0, 16.0, 0, 8.0, 40.0, 4.0, 1.0, 0.5, 0.2},
            {"empresa", 10.0, 40.0, 0, 20.0, 80.0, 8.0, 3.0, 0.0, 0.0}};
}

// Admits requests by the allowances of the quota table, as the decision module does.
struct FakeDecisionModule {
    struct CustomerBuckets {
        decision::Allowance allowance;
        double quota = 0.0, rate_limit = 0.0;
        TimePoint refilled_at{};
        bool is_known = false;
    };
    std::map<CustomerId, CustomerBuckets> buckets;
    void refill(CustomerBuckets& customer_buckets, TimePoint now) {
        const double elapsed = to_seconds(now - customer_buckets.refilled_at);
        customer_buckets.refilled_at = now;
        if (customer_buckets.quota < customer_buckets.allowance.burst)
            customer_buckets.quota =
                std::min(customer_buckets.allowance.burst,
                         customer_buckets.quota + customer_buckets.allowance.rate * elapsed);
        if (customer_buckets.rate_limit < customer_buckets.allowance.ceiling_burst)
            customer_buckets.rate_limit =
                std::min(customer_buckets.allowance.ceiling_burst,
                         customer_buckets.rate_limit + customer_buckets.allowance.ceiling_rate * elapsed);
    }
    void on_allowance(const decision::Allowance& allowance, TimePoint now) {
        CustomerBuckets& customer_buckets = buckets[allowance.customer];
        refill(customer_buckets, now);
        if (!customer_buckets.is_known)
            customer_buckets.quota =
                allowance.burst;    // the module starts a customer with a full bucket of its platform's plan
        customer_buckets.is_known = true;
        customer_buckets.allowance = allowance;
        customer_buckets.quota = std::min(allowance.burst, customer_buckets.quota + allowance.gain);
        customer_buckets.rate_limit = allowance.ceiling_level;
    }
    bool admit(CustomerId customer_id, double units, TimePoint now) {
        CustomerBuckets& customer_buckets = buckets[customer_id];
        refill(customer_buckets, now);
        if (customer_buckets.quota < units - 1e-9 &&
            customer_buckets.quota < customer_buckets.allowance.burst - 1e-9)
            return false;
        if (customer_buckets.allowance.ceiling_rate > 0.0 && customer_buckets.rate_limit < units - 1e-9)
            return false;
        customer_buckets.quota -= units;
        customer_buckets.rate_limit -= units;
        return true;
    }
};

struct Gateway {
    std::unique_ptr<QuotaStateTable> quota_table;
    std::unique_ptr<PlanService> plan_service;
    FakeDecisionModule decision_module;
    Duration clock_offset{0};    // of its clock from the test's
    std::uint64_t rules = 0;
};

struct Fleet {
    explicit Fleet(int gateway_count = 1, bool table_overrides = true, Duration lead = 2s) {
        for (int index = 0; index < gateway_count; ++index) {
            limits::QuotaTableSettings table_settings;
            table_settings.own_index = index;
            table_settings.gateway_count = gateway_count;
            table_settings.plans = make_platform_plans();
            table_settings.max_request_units = kMaxRequestUnits;
            table_settings.incarnation = 100 + static_cast<std::uint64_t>(index);
            table_settings.isolated_quota_share = 0.0;
            PlanTableSettings plan_settings;
            plan_settings.platform_plans = make_platform_plans();
            plan_settings.table_overrides_request = table_overrides;
            plan_settings.lead_time = lead;
            auto gateway = std::make_unique<Gateway>();
            // The gateways started earlier, so that rate limit buckets are full.
            gateway->quota_table = std::make_unique<QuotaStateTable>(table_settings, kStart - 100s);
            gateway->plan_service =
                std::make_unique<PlanService>(PlanTable(plan_settings), *gateway->quota_table, kStart - 1s);
            gateways.push_back(std::move(gateway));
        }
    }
    TimePoint gateway_time(std::size_t index) const { return now + gateways[index]->clock_offset; }
    const PlanTable& owner_table() const { return gateways[0]->plan_service->plan_table(); }
    std::optional<PlanChange> propose(ChangeBody body, std::optional<TimePoint> effective_at = {}) {
        ChangeProposal proposal;
        proposal.expected_version = owner_table().subject_version(subject_of(body));
        proposal.body = std::move(body);
        proposal.effective_at = effective_at;
        proposal.author = "marta";
        const auto outcome = owner_table().validate_proposal(proposal, now);
        const auto* change = std::get_if<PlanChange>(&outcome);
        if (change == nullptr) return std::nullopt;
        return *change;
    }
    PlanChange apply_everywhere(ChangeBody body, std::optional<TimePoint> effective_at = {}) {
        const auto change = propose(std::move(body), effective_at);
        if (!change) throw std::runtime_error("the change was rejected");
        for (std::size_t index = 0; index < gateways.size(); ++index)
            gateways[index]->plan_service->apply_change(*change, gateway_time(index));
        return *change;
    }
    void deliver(Gateway& gateway, const std::vector<decision::Allowance>& allowances, TimePoint time) {
        for (const auto& allowance : allowances) gateway.decision_module.on_allowance(allowance, time);
    }
    void tick(std::size_t index) {
        Gateway& gateway = *gateways[index];
        std::vector<decision::Allowance> allowances;
        gateway.plan_service->apply_due_effects(gateway_time(index), allowances);
        gateway.quota_table->tick(gateway_time(index), allowances);
        deliver(gateway, allowances, gateway_time(index));
    }
    // Sends one request that is decided at once. Returns the decision if the request was admitted.
    std::optional<PlanService::PlanDecision> send_request(std::size_t index, double units,
                                                          const std::string& reservation = {},
                                                          int requested_plan = 0,
                                                          CustomerId customer_id = kCustomer) {
        Gateway& gateway = *gateways[index];
        tick(index);
        std::vector<decision::Allowance> allowances;
        const PlanService::PlanDecision plan_decision = gateway.plan_service->decide_plan(
            customer_id, requested_plan, 0, static_cast<int>(gateways.size()), units, reservation,
            gateway_time(index), allowances);
        deliver(gateway, allowances, gateway_time(index));
        if (!gateway.decision_module.admit(plan_decision.account, units, gateway_time(index)))
            return std::nullopt;
        allowances.clear();
        gateway.plan_service->record_admission(plan_decision, customer_id, units, gateway_time(index),
                                               allowances);
        deliver(gateway, allowances, gateway_time(index));
        return plan_decision;
    }
    double send_until_rejected(std::size_t index, double units = 1.0, const std::string& reservation = {},
                               int requested_plan = 0) {
        double admitted_units = 0.0;
        while (admitted_units < 1e4 && send_request(index, units, reservation, requested_plan))
            admitted_units += units;
        return admitted_units;
    }
    void exchange(std::mt19937_64& random, double loss_probability) {
        for (std::size_t index = 0; index < gateways.size(); ++index) {
            tick(index);
            const auto rows = gateways[index]->quota_table->rows_due(gateway_time(index), 10);
            const auto announcement = gateways[index]->quota_table->announcement();
            for (std::size_t receiver = 0; receiver < gateways.size(); ++receiver) {
                if (receiver == index || std::uniform_real_distribution<>(0, 1)(random) < loss_probability)
                    continue;
                gateways[receiver]->quota_table->on_announcement(static_cast<int>(index), announcement,
                                                                 gateway_time(receiver));
                for (const auto& [customer_id, row] : rows)
                    gateways[receiver]->quota_table->on_row(customer_id, static_cast<int>(index), row,
                                                            gateway_time(receiver));
                tick(receiver);
            }
        }
    }

    std::vector<std::unique_ptr<Gateway>> gateways;
    TimePoint now = kStart;
};

TEST(PlanServiceTest, ChargesEachRequestToThePlanInEffectWhenItWasDecided) {
    Fleet fleet;
    const PlanChange change = fleet.apply_everywhere(AssignPlan{kCustomer, "empresa"}, kStart + 5s);
    EXPECT_EQ(fleet.send_until_rejected(0), 16.0);
    std::vector<decision::Allowance> allowances;
    // A request that was decided under the old plan and is sent after the change keeps its decision.
    const PlanService::PlanDecision before =
        fleet.gateways[0]->plan_service->decide_plan(kCustomer, 0, 0, 1, 1.0, {}, fleet.now, allowances);
    fleet.now = change.effective_at;
    EXPECT_EQ(before.plan_index, 0);
    const auto after = fleet.send_request(0, 1.0);
    ASSERT_TRUE(after);
    EXPECT_EQ(after->plan_index, 1);
    // The larger bucket is not full at once: it refilled at 4 per second, and refills at 10 from now.
    EXPECT_LE(fleet.send_until_rejected(0), 20.0);
    fleet.now += 2s;
    EXPECT_NEAR(fleet.send_until_rejected(0), 20.0, 1.0);
    fleet.gateways[0]->plan_service->record_admission(before, kCustomer, 1.0, fleet.now, allowances);
    fleet.now += 60s;
    EXPECT_NEAR(fleet.send_until_rejected(0), 40.0, 1.0);
}

TEST(PlanServiceTest, ErasedCustomerGetsNoMoreThanIdleLevelsAfterAPlanChange) {
    Fleet fleet;
    fleet.send_request(0, 1.0);
    for (int step = 0; step < 100; ++step, fleet.now += 1s) fleet.tick(0);
    ASSERT_EQ(fleet.gateways[0]->quota_table->statistics(fleet.now).tracked_customers, 0u)
        << "erased after a long time without requests";
    fleet.now = fleet.apply_everywhere(AssignPlan{kCustomer, "empresa"}).effective_at;
    EXPECT_NEAR(fleet.send_until_rejected(0), 16.0, 1.0) << "what the smaller plan's bucket held";
    fleet.now += 30s;
    EXPECT_NEAR(fleet.send_until_rejected(0), 40.0, 1.0);
}

TEST(PlanServiceTest, UpdatesTrackedCustomersWhenTheirPlanChanges) {
    Fleet fleet;
    EXPECT_EQ(fleet.send_until_rejected(0), 16.0);
    const PlanChange change =
        fleet.apply_everywhere(DefinePlan{"equipo", "equipo", {400.0, 800.0, 900.0, 900.0, 4.0}});
    fleet.now = change.effective_at;
    EXPECT_EQ(fleet.gateways[0]->plan_service->next_deadline(), change.effective_at);
    fleet.tick(0);    // no further request arrived
    EXPECT_EQ(fleet.gateways[0]->decision_module.buckets[kCustomer].allowance.rate, 400.0);
    EXPECT_LE(fleet.gateways[0]->plan_service->statistics(fleet.now).max_delay, 50ms);
}

TEST(PlanServiceTest, AppliesALateChangeAtOnceAndCountsIt) {
    Fleet fleet(2);
    fleet.send_request(0, 1.0);
    fleet.send_request(1, 1.0);
    const auto change = fleet.propose(AssignPlan{kCustomer, "empresa"});
    ASSERT_TRUE(change);
    fleet.gateways[0]->plan_service->apply_change(*change, fleet.now);
    fleet.now = change->effective_at + 700ms;
    fleet.tick(0);
    fleet.tick(1);
    EXPECT_NEAR(fleet.gateways[0]->decision_module.buckets[kCustomer].allowance.rate, 5.0, 1e-9);
    EXPECT_NEAR(fleet.gateways[1]->decision_module.buckets[kCustomer].allowance.rate, 2.0, 1e-9);
    fleet.gateways[1]->plan_service->apply_change(*change, fleet.now);
    fleet.tick(1);
    EXPECT_NEAR(fleet.gateways[1]->decision_module.buckets[kCustomer].allowance.rate, 5.0, 1e-9);
    EXPECT_EQ(fleet.gateways[1]->plan_service->statistics(fleet.now).late_changes, 1u);
    EXPECT_EQ(fleet.gateways[1]->plan_service->statistics(fleet.now).max_lateness, 700ms);
}

struct ReservationTest : testing::Test {
    // Reserves 40 units over twenty seconds, half of the plan's rate.
    void reserve_payroll(int gateway_count) {
        fleet = std::make_unique<Fleet>(gateway_count);
        reservation_change = fleet->apply_everywhere(
            MakeReservation{"payroll", kCustomer, 40.0, kStart + 22s, kStart + 60s, "equipo"});
    }
    std::unique_ptr<Fleet> fleet;
    PlanChange reservation_change;
    std::mt19937_64 random{1};
};

TEST_F(ReservationTest, UnitsAreTakenFromTheQuotaAndRedeemedOnce) {
    reserve_payroll(1);
    fleet->now = reservation_change.effective_at;
    EXPECT_EQ(fleet->send_until_rejected(0), 16.0);
    fleet->now += 10s;    // at 4 per second less 2
    EXPECT_NEAR(fleet->send_until_rejected(0), 16.0, 1.01);
    fleet->now = kStart + 21s;
    fleet->send_until_rejected(0);
    EXPECT_EQ(fleet->send_request(0, 1.0, "payroll"), std::nullopt)
        << "its window has not begun, and the quota is used up";
    fleet->now = kStart + 22s;
    fleet->send_until_rejected(0);
    // The rate limit's bucket holds what was not used before.
    double redeemed = 0.0;
    while (const auto decision = fleet->send_request(0, 1.0, "payroll")) {
        ASSERT_EQ(decision->reservation_version, reservation_change.version);
        redeemed += 1.0;
    }
    EXPECT_LE(redeemed, 40.0);
    EXPECT_GE(redeemed, 30.0);
    fleet->now += 6s;
    while (const auto decision = fleet->send_request(0, 1.0, "payroll")) {
        if (decision->reservation_version == 0) break;
        redeemed += 1.0;
    }
    EXPECT_EQ(redeemed, 40.0);
    EXPECT_EQ(fleet->gateways[0]->plan_service->redeemed_units().at(reservation_change.version), 40.0);
    EXPECT_GT(fleet->gateways[0]->plan_service->statistics(fleet->now).failed_redemptions, 0u);
    EXPECT_EQ(fleet->send_request(0, 1.0, "payroll", 0, kOtherCustomer)->reservation_version, 0u)
        << "the reservation is another customer's";
}

TEST_F(ReservationTest, RemainingUnitsReturnToTheQuotaWhichIsChargedAfterTheEnd) {
    reserve_payroll(1);
    fleet->now = kStart + 59s;
    ASSERT_TRUE(fleet->send_request(0, 4.0, "payroll"));
    fleet->send_until_rejected(0);
    const double before = fleet->gateways[0]->quota_table->quota_level(kCustomer, fleet->now);
    std::vector<decision::Allowance> allowances;
    const PlanService::PlanDecision in_flight = fleet->gateways[0]->plan_service->decide_plan(
        kCustomer, 0, 0, 1, 2.0, "payroll", fleet->now, allowances);
    EXPECT_EQ(in_flight.reservation_version, reservation_change.version);
    const double account = fleet->gateways[0]->quota_table->quota_level(in_flight.account, fleet->now);
    fleet->gateways[0]->plan_service->settle_units(in_flight, kCustomer, 1.5,
                                                   fleet->now);    // while it is open, the account is charged
    EXPECT_NEAR(fleet->gateways[0]->quota_table->quota_level(in_flight.account, fleet->now), account - 1.5,
                1e-6);
    fleet->now = kStart + 60s;
    fleet->tick(0);
    // 36 units were left, of which the bucket holds 16.
    EXPECT_NEAR(fleet->gateways[0]->quota_table->quota_level(kCustomer, fleet->now), 16.0, 1e-6) << before;
    fleet->gateways[0]->plan_service->record_admission(in_flight, kCustomer, 2.0, fleet->now, allowances);
    EXPECT_NEAR(fleet->gateways[0]->quota_table->quota_level(kCustomer, fleet->now), 14.0, 1e-6);
    fleet->gateways[0]->plan_service->settle_units(in_flight, kCustomer, 1.0,
                                                   fleet->now);    // 3 units in all: the owner is charged
    EXPECT_NEAR(fleet->gateways[0]->quota_table->quota_level(kCustomer, fleet->now), 13.0, 1e-6);
    EXPECT_EQ(fleet->send_request(0, 1.0, "payroll")->reservation_version, 0u);
}

TEST_F(ReservationTest, UnitsAreNotRedeemedTwiceOverSeveralGatewaysOrARestart) {
    reserve_payroll(3);
    fleet->now = kStart + 22s;
    double redeemed_sum = 0.0;
    for (int round = 0; round < 40; ++round, fleet->now += 250ms) {
        for (std::size_t index = 0; index < 3; ++index) {
            const auto decision = fleet->send_request(index, 2.0, "payroll");
            if (decision && decision->reservation_version == reservation_change.version) redeemed_sum += 2.0;
        }
        fleet->exchange(random, 0.1);
        if (round == 20) {    // gateway 1 restarts with its persisted redemptions
            Gateway& restarted = *fleet->gateways[1];
            const auto redeemed = restarted.plan_service->redeemed_units();
            PlanTableSettings plan_settings;
            plan_settings.platform_plans = make_platform_plans();
            plan_settings.table_overrides_request = true;
            PlanTable plan_table(plan_settings);
            for (const PlanChange& change : fleet->owner_table().change_log()) plan_table.append(change);
            limits::QuotaTableSettings table_settings;
            table_settings.own_index = 1;
            table_settings.gateway_count = 3;
            table_settings.plans = make_platform_plans();
            table_settings.max_request_units = kMaxRequestUnits;
            table_settings.incarnation = 500;
            table_settings.isolated_quota_share = 0.0;
            restarted.quota_table = std::make_unique<QuotaStateTable>(table_settings, fleet->now);
            restarted.plan_service = std::make_unique<PlanService>(
                std::move(plan_table), *restarted.quota_table, fleet->now, redeemed);
            restarted.decision_module = {};
        }
    }
    // After a restart the leases granted before are unknown, so at most its own baseline is granted again.
    EXPECT_LE(redeemed_sum, 40.0 * (1.0 + 1.0 / 3) + 1e-6);
    EXPECT_GE(redeemed_sum, 30.0);
}

// ---- histories ----

// Bucket that is charged what all gateways admit, with the largest terms that any of them may apply then.
struct ReferenceBucket {
    double level = 0.0, lowest_level = 0.0;
    TimePoint refilled_at{};
    void admit(double units, double rate, double cap, TimePoint now) {
        if (refilled_at == TimePoint{}) level = cap;
        else level = std::min(cap, level + rate * to_seconds(now - refilled_at));
        refilled_at = now;
        level -= units;
        lowest_level = std::min(lowest_level, level);
    }
};

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): to be split
TEST(PlanServiceSimulation, AdmitsAtMostTheLargerPlanAndTheRateLimitInEffect) {
    std::uint64_t first = 0, count = 10000;
#ifdef __SANITIZE_ADDRESS__
    count = 400;
#endif
    if (const char* seed = std::getenv("DESK_SEED")) first = std::strtoull(seed, nullptr, 10), count = 1;
    std::uint64_t admitted = 0, changes = 0, redemptions = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        SCOPED_TRACE("replay with DESK_SEED=" + std::to_string(seed));
        std::mt19937_64 random(seed);
        const auto random_real = [&](double min, double max) {
            return std::uniform_real_distribution<>(min, max)(random);
        };
        const auto random_below = [&](int limit) {
            return static_cast<int>(random() % static_cast<std::uint64_t>(limit));
        };
        Fleet fleet(1 + random_below(4), random_below(4) > 0, random_below(2) ? 2s : 100ms);
        const Duration lateness = random_below(2) ? Duration(0) : 800ms;    // after the effective time
        for (auto& gateway : fleet.gateways)
            gateway->clock_offset = Duration(random_below(300'000) - 150'000);
        const Duration max_time_apart = 150ms + lateness;
        struct Pending {
            PlanChange change;
            std::size_t gateway;
            TimePoint due_at;
        };
        std::vector<Pending> pending;
        ReferenceBucket quota, rate_limit;
        double max_rate = 4.0, max_burst = 16.0;
        std::map<std::uint64_t, double> redeemed, reserved;
        for (int step = 0; step < 240; ++step) {
            fleet.now += Duration(static_cast<std::int64_t>(random_real(5'000, 180'000)));
            for (auto next_pending = pending.begin(); next_pending != pending.end();) {
                // Each gateway receives the changes in order.
                if (next_pending->due_at <= fleet.now &&
                    fleet.gateways[next_pending->gateway]->plan_service->plan_table().version() + 1 ==
                        next_pending->change.version) {
                    fleet.gateways[next_pending->gateway]->plan_service->apply_change(
                        next_pending->change, fleet.gateway_time(next_pending->gateway));
                    next_pending = pending.erase(next_pending);
                } else {
                    ++next_pending;
                }
            }
            if (random_below(12) == 0) {
                ChangeBody body;
                const int change_kind = random_below(5);
                if (change_kind < 3) {
                    body = AssignPlan{kCustomer,
                                      random_below(3) ? (random_below(2) ? "equipo" : "empresa") : ""};
                } else if (change_kind == 3) {
                    PlanTerms terms{random_real(2, 12), random_real(8, 50), 0, 0, 4};
                    terms.ceiling_rate = terms.rate * random_real(1.2, 2.5);
                    terms.ceiling_burst = std::max(terms.burst, 30.0);
                    const char* const plan = random_below(2) ? "equipo" : "empresa";
                    body = DefinePlan{plan, plan, terms};
                } else {
                    const TimePoint starts_at =
                        fleet.now + Duration(static_cast<std::int64_t>(random_real(-1e6, 8e6)));
                    body = MakeReservation{"r" + std::to_string(step),
                                           kCustomer,
                                           random_real(3, 12),
                                           starts_at,
                                           starts_at + 6s,
                                           "equipo"};
                }
                const auto effective_at = random_below(2)
                                              ? std::optional(fleet.now + Duration(random_below(4'000'000)))
                                              : std::nullopt;
                if (const auto change = fleet.propose(body, effective_at)) {
                    ++changes;
                    fleet.gateways[0]->plan_service->apply_change(*change, fleet.gateway_time(0));
                    for (std::size_t index = 1; index < fleet.gateways.size(); ++index) {
                        // Within the lead time, or up to `lateness` after the effective time.
                        const Duration delay =
                            lateness > Duration(0)
                                ? change->effective_at - fleet.now +
                                      Duration(random_below(static_cast<int>(lateness.count())))
                                : Duration(random_below(50'000));
                        pending.push_back({*change, index, fleet.now + delay});
                    }
                    if (const auto* reservation = std::get_if<MakeReservation>(&change->body))
                        reserved[change->version] = reservation->units;
                }
            }
            if (random_below(3) == 0) fleet.exchange(random, 0.1);
            const auto gateway_index =
                static_cast<std::size_t>(random_below(static_cast<int>(fleet.gateways.size())));
            const double units = 1.0 + random_below(4);
            std::string reservation_id;
            for (const Reservation* reservation : fleet.owner_table().customer_reservations(kCustomer))
                if (reservation->is_open(fleet.now) && random_below(2))
                    reservation_id = reservation->definition.reservation_id;
            const auto plan_decision = fleet.send_request(gateway_index, units, reservation_id);
            // The largest terms that any gateway may apply now.
            double rate = 0.0, burst = 0.0;
            for (TimePoint time = fleet.now - max_time_apart;;
                 time = std::min(time + 20ms, fleet.now + max_time_apart)) {
                const EffectivePlan effective_plan =
                    fleet.owner_table().effective_plan_for(kCustomer, 0, time);
                rate = std::max(rate, effective_plan.terms.ceiling_rate);
                burst = std::max(burst, effective_plan.terms.ceiling_burst);
                max_rate = std::max(max_rate, effective_plan.terms.rate);
                max_burst = std::max(max_burst, effective_plan.terms.burst);
                if (time >= fleet.now + max_time_apart) break;
            }
            if (!plan_decision) continue;
            ++admitted;
            if (plan_decision->reservation_version > 0) {
                redeemed[plan_decision->reservation_version] += units;
                ++redemptions;
            }
            rate_limit.admit(units, rate, burst, fleet.now);
            quota.admit(units, max_rate, max_burst, fleet.now);
        }
        const double gateway_count = static_cast<double>(fleet.gateways.size());
        // If two plans divide a rate limit differently, both divisions apply while gateways differ in time.
        const double overlap =
            2.0 * to_seconds(max_time_apart) * 2.5 * 12.0 * (fleet.gateways.size() > 1 ? 1.0 : 0.0);
        const double slack = std::max(kMaxRequestUnits, 0.1 * 30.0);
        ASSERT_GE(rate_limit.lowest_level, -slack - overlap);
        // Reserved units accumulated outside of the bucket, so they add to its burst.
        double reserved_sum = 0.0;
        for (const auto& [version, units] : reserved) reserved_sum += units;
        ASSERT_GE(quota.lowest_level, -gateway_count * kMaxRequestUnits - reserved_sum - overlap);
        // Within the quota's own error: lost rows may credit units that move between gateways twice.
        const double quota_error = gateway_count > 1.0 ? gateway_count * kMaxRequestUnits : 1e-6;
        for (const auto& [version, units] : redeemed)
            ASSERT_LE(units, reserved.at(version) + quota_error) << version;
    }
    if (count > 1) {
        EXPECT_GT(admitted, 40 * count);
        EXPECT_GT(changes, 5 * count);
        EXPECT_GT(redemptions, count / 4);
    }
}

// ---- replication and commands ----

struct Store {
    std::map<std::string, std::string> fields, old_fields;
};

TEST(ChangeReplicatorTest, DeliversAllChangesDespiteLossesInTheStore) {
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        std::mt19937_64 random(seed);
        PlanTableSettings settings;
        settings.platform_plans = make_platform_plans();
        std::vector<std::unique_ptr<PlanTable>> plan_tables;
        std::vector<std::unique_ptr<ChangeReplicator>> replicators;
        Store store;
        for (int index = 0; index < 4; ++index) {
            plan_tables.push_back(std::make_unique<PlanTable>(settings));
            PlanTable& own_table = *plan_tables.back();
            replicators.push_back(std::make_unique<ChangeReplicator>(
                index, 4, index == 2, own_table,
                [&own_table](const PlanChange& change) { own_table.append(change); }));
        }
        const auto exchange = [&](std::size_t index, bool is_lossy) {
            if (is_lossy && random() % 4 == 0) return;
            for (const auto& [field, value] : replicators[index]->fields_to_write())
                store.fields[field] = value;
            if (is_lossy && random() % 4 == 0) return;
            for (const std::string& field : replicators[index]->fields_to_read()) {
                const auto found = store.fields.find(field);
                if (found == store.fields.end()) replicators[index]->on_field_absent(field);
                else replicators[index]->on_field_read(field, found->second, kStart);
            }
        };
        for (int step = 0; step < 400; ++step) {
            if (step < 300 && random() % 4 == 0) {
                ChangeProposal proposal;
                proposal.body = AssignPlan{CustomerId{random() % 5}, random() % 2 ? "equipo" : "empresa"};
                proposal.expected_version = plan_tables[2]->subject_version(subject_of(proposal.body));
                proposal.author = "x";
                plan_tables[2]->append(
                    std::get<PlanChange>(plan_tables[2]->validate_proposal(proposal, kStart)));
            }
            const bool faults = step < 320;
            if (faults && random() % 20 == 0) store.old_fields = store.fields;
            if (faults && random() % 20 == 0) store.fields.clear();
            if (faults && random() % 20 == 0) store.fields = store.old_fields;
            if (faults && random() % 20 == 0) store.fields["book:3"] = "corrupted";
            if (faults && random() % 20 == 0) store.fields["bookat:1"] = "corrupted";
            for (std::size_t index = 0; index < 4; ++index) exchange(index, faults);
        }
        for (const auto& plan_table : plan_tables) {
            ASSERT_EQ(plan_table->version(), plan_tables[2]->version()) << "seed " << seed;
            ASSERT_EQ(plan_table->chain_hash(), plan_tables[2]->chain_hash()) << "seed " << seed;
        }
        // Without changes nothing more is written.
        for (std::size_t index = 0; index < 4; ++index) exchange(index, false);
        for (const auto& replicator : replicators) EXPECT_TRUE(replicator->fields_to_write().empty());
        EXPECT_EQ(replicators[2]->statistics().gateways_behind, 0u);
    }
}

TEST(ChangeReplicatorTest, IgnoresEntriesOfAnotherChangeLog) {
    PlanTableSettings settings;
    settings.platform_plans = make_platform_plans();
    PlanTable own_table(settings), other_table(settings);
    ChangeProposal proposal;
    proposal.body = AssignPlan{kCustomer, "empresa"};
    proposal.author = "x";
    own_table.append(std::get<PlanChange>(own_table.validate_proposal(proposal, kStart)));
    proposal.note = "of another owner";
    other_table.append(std::get<PlanChange>(other_table.validate_proposal(proposal, kStart)));
    proposal.expected_version = 1;
    other_table.append(std::get<PlanChange>(other_table.validate_proposal(proposal, kStart)));
    ChangeReplicator replicator(1, 2, false, own_table,
                                [&](const PlanChange& change) { own_table.append(change); });
    replicator.on_field_read("book:2", serialize_change(other_table.change_log()[1]), kStart);
    EXPECT_EQ(own_table.version(), 1u);
    EXPECT_EQ(replicator.statistics().foreign_entries, 1u);
}

TEST(PlanCommandHandlerTest, AnswersEachCommandWithOneLine) {
    Fleet fleet;
    bool store_succeeds = true;
    control_socket::PlanCommandHandler command_handler(
        *fleet.gateways[0]->plan_service, true, [&](const PlanChange& change) {
            if (!store_succeeds) throw std::runtime_error("the disk is full");
            fleet.gateways[0]->plan_service->apply_change(change, fleet.now);
        });
    const auto expect_reply = [&](const std::string& line, const std::string& expected_text) {
        const std::string reply = command_handler.handle_line(line, fleet.now);
        EXPECT_NE(reply.find(expected_text), std::string::npos) << line << "\n" << reply;
        EXPECT_EQ(reply.find('\n'), std::string::npos);
    };
    const std::string assign =
        R"({"do":"propose","kind":"assign","customer":"0000000000000007","plan":"empresa","author":"m","request":"q")";
    store_succeeds = false;
    expect_reply(assign + "}", "the disk is full");
    EXPECT_EQ(fleet.owner_table().version(), 0u);
    store_succeeds = true;
    expect_reply(assign + "}", R"("version":1)");
    expect_reply(assign + "}", R"("again":true)");
    expect_reply(
        R"({"do":"propose","kind":"assign","customer":"0000000000000007","plan":"equipo","author":"j"})",
        R"("why":"stale")");
    expect_reply(R"({"do":"list"})", R"("plan":"empresa")");
    expect_reply(R"({"do":"list","at":"soon"})", "expected a time");
    expect_reply(R"({"do":"show","customer":"0000000000000007"})", R"("newest":1)");
    expect_reply(R"({"do":"show","customer":"7"})", "expected a plan");
    expect_reply(R"({"do":"show","plan":"x"})", "there is no plan");
    expect_reply(R"({"do":"history","subject":"customer:0000000000000007"})", R"("author":"m")");
    expect_reply(R"({"do":"history","after":1})", R"("changes":[])");
    expect_reply(R"({"do":"status"})", R"("keeper":true)");
    expect_reply(R"({"do":"melt"})", "expected list");
    expect_reply("no json", "expected one object");
    expect_reply(R"({"do":"propose","kind":"reserve","id":"b","customer":"0000000000000007","units":100000,)"
                 R"("from":"2023-11-14T22:30:00Z","until":"2023-11-14T23:30:00Z","author":"m"})",
                 R"("fits":)");
    control_socket::PlanCommandHandler follower(*fleet.gateways[0]->plan_service, false,
                                                [](const PlanChange&) {});
    EXPECT_NE(follower.handle_line(assign + "}", fleet.now).find("not the keeper"), std::string::npos);
}

}    // namespace
}    // namespace shaletray::plans
