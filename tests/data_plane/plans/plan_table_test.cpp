// Tests of the plan table: its rules by cases, and seeded random histories that are compared with a scan of
// the change log.
#include "data_plane/plans/plan_table.h"

#include <gtest/gtest.h>

#include <cstdlib>
#include <random>

namespace shaletray::plans {
namespace {

using namespace std::chrono_literals;

const TimePoint kNow = TimePoint{} + 1'700'000'000s;
constexpr CustomerId kCustomer{7}, kOtherCustomer{8};

PlanTableSettings make_settings(bool table_overrides = true) {
    PlanTableSettings settings;
    settings.table_overrides_request = table_overrides;
    settings.platform_plans.resize(2);
    settings.platform_plans[0] = {"equipo", 4.0, 16.0, 0, 0.0, 0.0, 0.0, 1.0, 0.5, 0.2};
    settings.platform_plans[1] = {"empresa", 10.0, 40.0, 0, 20.0, 80.0, 8.0, 3.0, 0.0, 0.0};
    return settings;
}

// A plan table with the platform's plans, and proposals to it by one author.
struct ProposalFixture {
    explicit ProposalFixture(bool table_overrides = true) : plan_table(make_settings(table_overrides)) {}
    std::variant<PlanChange, ChangeRejection> propose(ChangeBody body,
                                                      std::optional<TimePoint> effective_at = {},
                                                      std::string request_key = {}) {
        ChangeProposal proposal;
        proposal.expected_version = plan_table.subject_version(subject_of(body));
        proposal.body = std::move(body);
        proposal.effective_at = effective_at;
        proposal.author = "marta";
        proposal.request_key = std::move(request_key);
        return plan_table.validate_proposal(proposal, now);
    }
    PlanChange apply(ChangeBody body, std::optional<TimePoint> effective_at = {}) {
        auto outcome = propose(std::move(body), effective_at);
        if (const auto* rejection = std::get_if<ChangeRejection>(&outcome))
            throw std::runtime_error(rejection->text);
        plan_table.append(std::get<PlanChange>(outcome));
        return std::get<PlanChange>(outcome);
    }
    ChangeRejection expect_rejection(ChangeBody body, std::optional<TimePoint> effective_at = {}) {
        auto outcome = propose(std::move(body), effective_at);
        if (std::holds_alternative<PlanChange>(outcome)) {
            ADD_FAILURE() << "accepted: " << serialize_change(std::get<PlanChange>(outcome));
            return {};
        }
        return std::get<ChangeRejection>(outcome);
    }
    double rate(CustomerId customer_id, TimePoint time, int requested_plan = 0) {
        return plan_table.effective_plan_for(customer_id, requested_plan, time).terms.rate;
    }

    PlanTable plan_table;
    TimePoint now = kNow;
};

TEST(PlanTableTest, ChangeAppliesFromItsEffectiveTime) {
    ProposalFixture fixture;
    const PlanChange change = fixture.apply(DefinePlan{"equipo", "equipo", {6.0, 24.0, 0, 0, 0}}, kNow + 1h);
    EXPECT_EQ(change.effective_at, kNow + 1h);
    EXPECT_EQ(fixture.rate(kCustomer, kNow + 1h - 1us), 4.0);
    EXPECT_EQ(fixture.rate(kCustomer, kNow + 1h), 6.0);
    EXPECT_EQ(fixture.plan_table.effective_plan_for(kCustomer, 0, kNow + 2h).terms_index,
              kFirstTableTermsIndex + 1);
    EXPECT_EQ(fixture.plan_table.next_effect_after(kNow), kNow + 1h);
    EXPECT_TRUE(fixture.plan_table.effects_between(kNow, kNow + 1h).plans.contains("equipo"));
    EXPECT_TRUE(fixture.plan_table.effects_between(kNow + 1h, kNow + 9h).empty());
}

TEST(PlanTableTest, AssignmentOverridesTheRequestOnlyIfConfigured) {
    for (const bool table_overrides : {false, true}) {
        ProposalFixture fixture(table_overrides);
        fixture.apply(AssignPlan{kCustomer, "empresa"});
        EXPECT_EQ(fixture.rate(kCustomer, kNow + 1h, 0), table_overrides ? 10.0 : 4.0);
        EXPECT_EQ(fixture.rate(kOtherCustomer, kNow + 1h, 0), 4.0);
        fixture.apply(AssignPlan{kCustomer, ""});
        EXPECT_EQ(fixture.rate(kCustomer, kNow + 1h, 0), 4.0);
    }
}

TEST(PlanTableTest, RejectsAProposalBasedOnAnOutdatedVersion) {
    ProposalFixture fixture;
    ChangeProposal first_proposal, second_proposal;
    first_proposal.body = DefinePlan{"equipo", "equipo", {5.0, 20.0, 0, 0, 0}};
    second_proposal.body = DefinePlan{"equipo", "equipo", {9.0, 36.0, 0, 0, 0}};
    first_proposal.author = "marta";
    second_proposal.author = "jon";
    const auto first = fixture.plan_table.validate_proposal(first_proposal, fixture.now);
    const auto second = fixture.plan_table.validate_proposal(
        second_proposal, fixture.now);    // both are based on the same version and valid
    ASSERT_TRUE(std::holds_alternative<PlanChange>(first) && std::holds_alternative<PlanChange>(second));
    fixture.plan_table.append(std::get<PlanChange>(first));
    EXPECT_THROW(fixture.plan_table.append(std::get<PlanChange>(second)), InvalidChange);
    const auto repeated = fixture.plan_table.validate_proposal(second_proposal, fixture.now);
    const auto& rejection = std::get<ChangeRejection>(repeated);
    EXPECT_EQ(rejection.reason, ChangeRejection::Reason::Stale);
    EXPECT_EQ(rejection.latest_version, 1u);
    EXPECT_EQ(rejection.latest_author, "marta");
    second_proposal.expected_version = 1;
    EXPECT_TRUE(std::holds_alternative<PlanChange>(
        fixture.plan_table.validate_proposal(second_proposal, fixture.now)));
}

TEST(PlanTableTest, RepeatedRequestKeyReturnsTheFirstChange) {
    ProposalFixture fixture;
    const auto first = fixture.propose(AssignPlan{kCustomer, "empresa"}, {}, "r1");
    fixture.plan_table.append(std::get<PlanChange>(first));
    ChangeProposal repeated;
    repeated.body = AssignPlan{kCustomer, "empresa"};
    repeated.author = "marta";
    repeated.request_key = "r1";
    EXPECT_EQ(std::get<PlanChange>(fixture.plan_table.validate_proposal(repeated, fixture.now + 5s)),
              std::get<PlanChange>(first));
    repeated.body = AssignPlan{kCustomer, "equipo"};
    EXPECT_EQ(std::get<ChangeRejection>(fixture.plan_table.validate_proposal(repeated, fixture.now)).reason,
              ChangeRejection::Reason::Invalid);
}

TEST(PlanTableTest, MovesAPastEffectiveTimeToTheLeadTime) {
    ProposalFixture fixture;
    EXPECT_EQ(fixture.apply(AssignPlan{kCustomer, "empresa"}, kNow - 1h).effective_at, kNow + 2s);
    EXPECT_EQ(fixture.expect_rejection(AssignPlan{kOtherCustomer, "empresa"}, kNow + 24h * 500).reason,
              ChangeRejection::Reason::TooFarAhead);
}

TEST(PlanTableTest, NewestEntryInEffectDeterminesTheAssignment) {
    ProposalFixture fixture;
    fixture.apply(AssignPlan{kCustomer, "empresa"}, kNow + 3s);
    fixture.apply(AssignPlan{kCustomer, "equipo"}, kNow + 4s);
    EXPECT_EQ(fixture.rate(kCustomer, kNow + 3500ms), 10.0);
    EXPECT_EQ(fixture.rate(kCustomer, kNow + 4s), 4.0);
    // A newer entry with an earlier effective time overrides older entries with later ones.
    fixture.apply(AssignPlan{kCustomer, "empresa"}, kNow + 2s);
    for (const Duration at : {2s, 3s, 9s}) EXPECT_EQ(fixture.rate(kCustomer, kNow + at), 10.0);
}

TEST(PlanTableTest, WithdrawnPlanKeepsItsTermsOrGetsThoseOfItsSuccessor) {
    ProposalFixture fixture;
    fixture.apply(DefinePlan{"nomina", "empresa", {30.0, 90.0, 60.0, 200.0, 10.0}});
    fixture.apply(AssignPlan{kCustomer, "nomina"}, kNow + 10s);
    fixture.apply(WithdrawPlan{"nomina", ""}, kNow + 20s);
    EXPECT_EQ(fixture.rate(kCustomer, kNow + 30s), 30.0);
    EXPECT_EQ(fixture.expect_rejection(AssignPlan{kOtherCustomer, "nomina"}, kNow + 30s).reason,
              ChangeRejection::Reason::Closed);
    EXPECT_EQ(fixture.plan_table.customer_count("nomina", kNow + 30s), 1u);
    fixture.apply(WithdrawPlan{"nomina", "empresa"}, kNow + 40s);
    EXPECT_EQ(fixture.rate(kCustomer, kNow + 50s), 10.0);
    EXPECT_EQ(fixture.expect_rejection(WithdrawPlan{"empresa", "nomina"}).reason,
              ChangeRejection::Reason::Invalid);
}

TEST(PlanTableTest, RejectsInvalidChanges) {
    ProposalFixture fixture;
    using RejectionReason = ChangeRejection::Reason;
    EXPECT_EQ(fixture.expect_rejection(DefinePlan{"a b", "equipo", {5, 20, 0, 0, 0}}).reason,
              RejectionReason::Invalid);
    EXPECT_EQ(fixture.expect_rejection(DefinePlan{"x", "nothing", {5, 20, 0, 0, 0}}).reason,
              RejectionReason::Unknown);
    EXPECT_EQ(fixture.expect_rejection(DefinePlan{"equipo", "empresa", {5, 20, 10, 40, 0}}).reason,
              RejectionReason::Invalid);
    EXPECT_EQ(fixture.expect_rejection(DefinePlan{"x", "equipo", {5, 20, 10, 40, 0}}).reason,
              RejectionReason::Invalid);
    EXPECT_EQ(fixture.expect_rejection(DefinePlan{"x", "empresa", {5, 20, 4, 40, 0}}).reason,
              RejectionReason::Invalid);
    EXPECT_EQ(fixture.expect_rejection(DefinePlan{"x", "equipo", {-1, 20, 0, 0, 0}}).reason,
              RejectionReason::Invalid);
    EXPECT_EQ(fixture.expect_rejection(DefinePlan{"x", "equipo", {std::nan(""), 20, 0, 0, 0}}).reason,
              RejectionReason::Invalid);
    EXPECT_EQ(fixture.expect_rejection(AssignPlan{kCustomer, "x"}).reason, RejectionReason::Unknown);
    EXPECT_EQ(fixture.expect_rejection(WithdrawPlan{"x", ""}).reason, RejectionReason::Unknown);
    EXPECT_EQ(fixture.expect_rejection(ReleaseReservation{"x"}).reason, RejectionReason::Unknown);
    EXPECT_EQ(
        fixture.expect_rejection(MakeReservation{"b", kCustomer, 5, kNow + 20s, kNow + 10s, "equipo"}).reason,
        RejectionReason::Invalid);
    EXPECT_EQ(fixture.expect_rejection(MakeReservation{"b", kCustomer, 5, kNow + 20s, kNow + 30s, ""}).reason,
              RejectionReason::Invalid);
    EXPECT_EQ(fixture.plan_table.version(), 0u);
}

TEST(PlanTableTest, ReservesUnitsBeforeTheWindowAndRejectsThoseBeyondTheCapacity) {
    ProposalFixture fixture;
    fixture.apply(AssignPlan{kCustomer, "empresa"});    // 10 units per second, half of which may be reserved
    fixture.now += 10s;
    const ChangeRejection rejection = fixture.expect_rejection(
        MakeReservation{"payroll", kCustomer, 600, fixture.now + 102s, fixture.now + 200s, ""});
    EXPECT_EQ(rejection.reason, ChangeRejection::Reason::OverCapacity);
    EXPECT_NEAR(*rejection.max_acceptable, 500.0, 1e-6);
    const TimePoint start =
        fixture.apply(MakeReservation{"payroll", kCustomer, 400, fixture.now + 102s, fixture.now + 200s, ""})
            .effective_at;
    EXPECT_NEAR(fixture.plan_table.reserved_rate(kCustomer, start + 50s), 4.0, 1e-9);
    EXPECT_EQ(fixture.plan_table.reserved_rate(kCustomer, start - 1us), 0.0);
    EXPECT_EQ(fixture.plan_table.reserved_rate(kCustomer, start + 100s), 0.0);
    EXPECT_NEAR(fixture.plan_table.find_reservation("payroll")->reserved_units(start + 25s), 100.0, 1e-6);
    EXPECT_FALSE(fixture.plan_table.find_reservation("payroll")->is_open(start + 99s));
    EXPECT_TRUE(fixture.plan_table.find_reservation("payroll")->is_open(start + 100s));
    EXPECT_FALSE(fixture.plan_table.find_reservation("payroll")->is_open(start + 198s));
    EXPECT_NEAR(*fixture
                     .expect_rejection(
                         MakeReservation{"b", kCustomer, 600, fixture.now + 102s, fixture.now + 200s, ""})
                     .max_acceptable,
                100.0, 1e-6);
    // Changes that would leave too small a rate for the reservation are rejected.
    EXPECT_EQ(fixture.expect_rejection(AssignPlan{kCustomer, "equipo"}).reason,
              ChangeRejection::Reason::OverCapacity);
    EXPECT_EQ(fixture.expect_rejection(DefinePlan{"empresa", "empresa", {5, 20, 20, 80, 8}}).reason,
              ChangeRejection::Reason::OverCapacity);
    fixture.apply(AssignPlan{kOtherCustomer, "equipo"});
    // Released half way: no more units are reserved, and the id cannot be reused.
    fixture.apply(ReleaseReservation{"payroll"}, start + 50s);
    EXPECT_EQ(fixture.plan_table.reserved_rate(kCustomer, start + 51s), 0.0);
    EXPECT_NEAR(fixture.plan_table.find_reservation("payroll")->reserved_units(start + 90s), 200.0, 1e-6);
    EXPECT_FALSE(fixture.plan_table.find_reservation("payroll")->is_open(start + 150s));
    EXPECT_EQ(fixture.expect_rejection(ReleaseReservation{"payroll"}, start + 60s).reason,
              ChangeRejection::Reason::Closed);
    EXPECT_EQ(
        fixture.expect_rejection(MakeReservation{"payroll", kCustomer, 1, start + 300s, start + 400s, ""})
            .reason,
        ChangeRejection::Reason::Invalid);
}

TEST(PlanTableTest, ReservesUnitsDuringAWindowThatHasBegun) {
    ProposalFixture fixture;
    fixture.apply(AssignPlan{kCustomer, "empresa"});
    fixture.now += 10s;
    const PlanChange change =
        fixture.apply(MakeReservation{"now", kCustomer, 100, fixture.now, fixture.now + 102s, ""});
    const Reservation& reservation = *fixture.plan_table.find_reservation("now");
    EXPECT_EQ(reservation.starts_at, change.effective_at);
    EXPECT_TRUE(reservation.is_open(change.effective_at));
    EXPECT_NEAR(reservation.reserved_units(change.effective_at + 50s), 50.0, 1e-6);
}

TEST(PlanTableTest, RoundTripsThroughTextAndNamesInvalidFields) {
    ProposalFixture fixture;
    fixture.apply(DefinePlan{"equipo", "equipo", {6.5, 24.0, 0, 0, 0}}, kNow + 1h);
    fixture.apply(MakeReservation{"b", kCustomer, 5, kNow + 20s, kNow + 30s, "equipo"});
    fixture.apply(ReleaseReservation{"b"});
    fixture.apply(WithdrawPlan{"equipo", "empresa"});
    fixture.apply(AssignPlan{kCustomer, "empresa"});
    PlanTable replayed(make_settings());
    for (const PlanChange& change : fixture.plan_table.change_log()) {
        EXPECT_EQ(parse_change(serialize_change(change)), change);
        replayed.append(parse_change(serialize_change(change)));
    }
    EXPECT_EQ(replayed.chain_hash(), fixture.plan_table.chain_hash());
    PlanChange forged = fixture.plan_table.change_log().front();
    std::get<DefinePlan>(forged.body).terms.rate = 60.0;
    PlanTable other(make_settings());
    EXPECT_THROW(other.append(forged), InvalidChange);
    EXPECT_EQ(other.version(), 0u);
    const std::pair<const char*, const char*> invalid_proposals[] = {
        {"", "expected one JSON object"},
        {"[]", "expected one JSON object"},
        {R"({"kind":"assign"})", "customer: missing"},
        {R"({"kind":"assign","customer":"7","plan":"a","author":"b"})", "customer: expected sixteen"},
        {R"({"kind":"melt","author":"b"})", "kind: expected define"},
        {R"({"kind":"release","id":"x","author":"b","hurry":1})", "hurry: no such field"},
        {R"({"kind":"release","id":7,"author":"b"})", "id: expected a string"},
        {R"({"kind":"release","id":"x","author":"b","at":"2026-02-31T00:00:00Z"})", "at: expected a time"}};
    for (const auto& [text, expected_message] : invalid_proposals) {
        try {
            parse_proposal(text);
            ADD_FAILURE() << text;
        } catch (const InvalidChange& error) {
            EXPECT_NE(std::string(error.what()).find(expected_message), std::string::npos) << error.what();
        }
    }
}

TEST(PlanTableTest, ParsesAndFormatsCalendarTimes) {
    EXPECT_EQ(parse_time("2026-12-01T08:00:00Z"), TimePoint(1'796'112'000'000'000us));
    EXPECT_EQ(parse_time("2026-12-01T08:00:00.25Z"), TimePoint(1'796'112'000'250'000us));
    EXPECT_EQ(format_time(TimePoint(1'796'112'000'250'000us)), "2026-12-01T08:00:00.250000Z");
    for (const char* text : {"", "-5", "2026-13-01T08:00:00Z", "2026-12-01T08:00:00", "2026-12-01T08:00:00.Z",
                             "2026-12-01T08:00:00+01:00", "12x"})
        EXPECT_FALSE(parse_time(text)) << text;
}

// ---- histories ----

// The plan assigned to a customer, from a scan of the change log without an index.
std::string assigned_plan_by_scan(const PlanTable& plan_table, CustomerId customer_id, TimePoint time) {
    std::string plan;
    for (const PlanChange& change : plan_table.change_log())
        if (const auto* assignment = std::get_if<AssignPlan>(&change.body);
            assignment != nullptr && assignment->customer == customer_id && change.effective_at <= time)
            plan = assignment->plan;
    return plan;
}

TEST(PlanTableSimulation, StateMatchesAScanOfTheLogAndReservationsFitTheRate) {
    std::uint64_t first = 0, count = 10000;
#ifdef __SANITIZE_ADDRESS__
    count = 600;
#endif
    if (const char* seed = std::getenv("BOOK_SEED")) first = std::strtoull(seed, nullptr, 10), count = 1;
    std::uint64_t accepted_count = 0, rejected_count = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        SCOPED_TRACE("replay with BOOK_SEED=" + std::to_string(seed));
        std::mt19937_64 random(seed);
        const auto random_below = [&](std::uint64_t limit) { return static_cast<int>(random() % limit); };
        ProposalFixture fixture;
        const std::string names[] = {"equipo", "empresa", "x", "y", "gone"};
        for (int round = 0; round < 25; ++round) {
            fixture.now += Duration(random_below(3'000'000));
            ChangeBody body;
            switch (random_below(6)) {
                case 0:
                    body = DefinePlan{names[random_below(4)],
                                      names[random_below(2)],
                                      {1.0 + random_below(20), 4.0 + random_below(50), 0, 0, 0}};
                    if (auto& definition = std::get<DefinePlan>(body); definition.base_plan == "empresa")
                        definition.terms.ceiling_rate = definition.terms.rate + random_below(20),
                        definition.terms.ceiling_burst = 50.0;
                    break;
                case 1:
                    body =
                        WithdrawPlan{names[random_below(5)], random_below(2) ? names[random_below(5)] : ""};
                    break;
                case 2: body = ReleaseReservation{"r" + std::to_string(random_below(10))}; break;
                case 3:
                    body = MakeReservation{"r" + std::to_string(random_below(10)),
                                           CustomerId{static_cast<std::uint64_t>(random_below(3))},
                                           1.0 + random_below(40),
                                           fixture.now + Duration(random_below(20'000'000)),
                                           fixture.now + Duration(random_below(60'000'000)),
                                           random_below(2) ? names[random_below(5)] : ""};
                    break;
                default:
                    body = AssignPlan{CustomerId{static_cast<std::uint64_t>(random_below(3))},
                                      random_below(5) ? names[random_below(5)] : ""};
            }
            ChangeProposal proposal;
            proposal.expected_version = random_below(8) == 0
                                            ? static_cast<std::uint64_t>(random_below(5))
                                            : fixture.plan_table.subject_version(subject_of(body));
            proposal.body = body;
            proposal.author = "seed";
            if (random_below(2))
                proposal.effective_at = fixture.now + Duration(random_below(20'000'000) - 5'000'000);
            const auto outcome = fixture.plan_table.validate_proposal(proposal, fixture.now);
            if (const auto* change = std::get_if<PlanChange>(&outcome)) {
                ASSERT_GE(change->effective_at, fixture.now + 2s);
                ASSERT_EQ(proposal.expected_version, fixture.plan_table.subject_version(subject_of(body)));
                fixture.plan_table.append(*change);
                ++accepted_count;
            } else {
                ASSERT_FALSE(std::get<ChangeRejection>(outcome).text.empty());
                ++rejected_count;
            }
        }
        const PlanTable& plan_table = fixture.plan_table;
        for (std::uint64_t customer_number = 0; customer_number < 3; ++customer_number) {
            const CustomerId customer_id{customer_number};
            for (TimePoint time = kNow; time < kNow + 140s; time += 1700ms) {
                const std::string plan = assigned_plan_by_scan(plan_table, customer_id, time);
                ASSERT_EQ(plan_table.assigned_plan_name(customer_id, time), plan);
                const EffectivePlan effective = plan_table.effective_plan_for(customer_id, 0, time);
                ASSERT_TRUE(effective.base_plan == 0 || effective.base_plan == 1);
                ASSERT_GT(effective.terms.rate, 0.0);
                ASSERT_EQ(effective.assignment_version > 0, !plan.empty());
                // All reservations of a customer fit into the smallest rate of the plans that they use.
                double lowest_rate = 1e9;
                for (const Reservation* reservation : plan_table.customer_reservations(customer_id)) {
                    if (!reservation->is_accumulating(time)) continue;
                    const std::string plan_used = plan.empty() ? reservation->definition.plan : plan;
                    const int plan_index = plan_used == "empresa";
                    if (plan.empty() && plan_used != "equipo" && plan_used != "empresa") continue;
                    lowest_rate = std::min(
                        lowest_rate,
                        plan.empty()
                            ? plan_table.effective_plan_for(CustomerId{99}, plan_index, time).terms.rate
                            : effective.terms.rate);
                }
                if (lowest_rate < 1e9) {
                    ASSERT_LE(plan_table.reserved_rate(customer_id, time), 0.5 * lowest_rate * (1 + 1e-6))
                        << customer_number;
                }
            }
            for (const Reservation* reservation : plan_table.customer_reservations(customer_id)) {
                ASSERT_LE(reservation->reserved_units(kNow + 10h),
                          reservation->definition.units * (1 + 1e-9));
                ASSERT_LE(reservation->ends_at, reservation->definition.ends_at);
            }
        }
        // Between scheduled times the state does not change.
        TimePoint time = kNow;
        while (const auto next = plan_table.next_effect_after(time)) {
            ASSERT_EQ(plan_table.effective_plan_for(CustomerId{1}, 0, time),
                      plan_table.effective_plan_for(CustomerId{1}, 0, *next - 1us));
            ASSERT_EQ(plan_table.reserved_rate(CustomerId{1}, time),
                      plan_table.reserved_rate(CustomerId{1}, *next - 1us));
            time = *next;
        }
    }
    if (count > 1) {
        EXPECT_GT(accepted_count, 5 * count);
        EXPECT_GT(rejected_count, count);
    }
}

}    // namespace
}    // namespace shaletray::plans
