// Plans that change in service, over ledgers of several gateways in virtual time: what is admitted through
// all of them against one store that sees everything, for thousands of seeded histories.
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
constexpr CustomerId kAnna{7}, kBerta{8};
constexpr double kMostUnits = 4.0;

double secs(Duration d) { return std::chrono::duration<double>(d).count(); }

std::vector<decision::PlanSettings> platform() {
    return {{"equipo", 4.0, 16.0, 0, 8.0, 40.0, 4.0, 1.0, 0.5, 0.2},
            {"empresa", 10.0, 40.0, 0, 20.0, 80.0, 8.0, 3.0, 0.0, 0.0}};
}

// The module's side, as far as it is told.
struct Grants {
    struct Stores {
        decision::Allowance a;
        double quota = 0.0, ceiling = 0.0;
        TimePoint at{};
        bool known = false;
    };
    std::map<CustomerId, Stores> stores;
    void refill(Stores& s, TimePoint now) {
        const double dt = secs(now - s.at);
        s.at = now;
        if (s.quota < s.a.burst) s.quota = std::min(s.a.burst, s.quota + s.a.rate * dt);
        if (s.ceiling < s.a.ceiling_burst)
            s.ceiling = std::min(s.a.ceiling_burst, s.ceiling + s.a.ceiling_rate * dt);
    }
    void told(const decision::Allowance& a, TimePoint now) {
        Stores& s = stores[a.customer];
        refill(s, now);
        if (!s.known)
            s.quota = a.burst;    // the module begins a customer with a full store of its platform's plan
        s.known = true;
        s.a = a;
        s.quota = std::min(a.burst, s.quota + a.gain);
        s.ceiling = a.ceiling_level;
    }
    bool admit(CustomerId id, double units, TimePoint now) {
        Stores& s = stores[id];
        refill(s, now);
        if (s.quota < units - 1e-9 && s.quota < s.a.burst - 1e-9) return false;
        if (s.a.ceiling_rate > 0.0 && s.ceiling < units - 1e-9) return false;
        s.quota -= units;
        s.ceiling -= units;
        return true;
    }
};

struct Gateway {
    std::unique_ptr<QuotaStateTable> ledger;
    std::unique_ptr<PlanService> desk;
    Grants grants;
    Duration clock{0};    // how far its clock is off
    std::uint64_t rules = 0;
};

struct Fleet {
    explicit Fleet(int n = 1, bool wins = true, Duration lead = 2s) {
        for (int i = 0; i < n; ++i) {
            limits::QuotaTableSettings l;
            l.own_index = i;
            l.gateway_count = n;
            l.plans = platform();
            l.max_request_units = kMostUnits;
            l.incarnation = 100 + static_cast<std::uint64_t>(i);
            l.isolated_quota_share = 0.0;
            PlanTableSettings b;
            b.platform_plans = platform();
            b.table_overrides_request = wins;
            b.lead_time = lead;
            auto g = std::make_unique<Gateway>();
            // They have been up for a while, so that ceilings' stores are full.
            g->ledger = std::make_unique<QuotaStateTable>(l, kStart - 100s);
            g->desk = std::make_unique<PlanService>(PlanTable(b), *g->ledger, kStart - 1s);
            gateways.push_back(std::move(g));
        }
    }
    TimePoint clock(std::size_t i) const { return now + gateways[i]->clock; }
    const PlanTable& book() const { return gateways[0]->desk->plan_table(); }
    std::optional<PlanChange> make(ChangeBody body, std::optional<TimePoint> at = {}) {
        ChangeProposal p;
        p.expected_version = book().subject_version(subject_of(body));
        p.body = std::move(body);
        p.effective_at = at;
        p.author = "marta";
        const auto outcome = book().validate_proposal(p, now);
        const auto* change = std::get_if<PlanChange>(&outcome);
        if (change == nullptr) return std::nullopt;
        return *change;
    }
    PlanChange spread(ChangeBody body, std::optional<TimePoint> at = {}) {
        const auto change = make(std::move(body), at);
        if (!change) throw std::runtime_error("refused");
        for (std::size_t i = 0; i < gateways.size(); ++i) gateways[i]->desk->apply_change(*change, clock(i));
        return *change;
    }
    void tell(Gateway& g, const std::vector<decision::Allowance>& all, TimePoint at) {
        for (const auto& a : all) g.grants.told(a, at);
    }
    void tick(std::size_t i) {
        Gateway& g = *gateways[i];
        std::vector<decision::Allowance> told;
        g.desk->apply_due_effects(clock(i), told);
        g.ledger->tick(clock(i), told);
        tell(g, told, clock(i));
    }
    // One request, decided at once. Gives the ruling where it was let in.
    std::optional<PlanService::PlanDecision> ask(std::size_t i, double units,
                                                 const std::string& reservation = {}, int asked_plan = 0,
                                                 CustomerId id = kAnna) {
        Gateway& g = *gateways[i];
        tick(i);
        std::vector<decision::Allowance> told;
        const PlanService::PlanDecision r = g.desk->decide_plan(
            id, asked_plan, 0, static_cast<int>(gateways.size()), units, reservation, clock(i), told);
        tell(g, told, clock(i));
        if (!g.grants.admit(r.account, units, clock(i))) return std::nullopt;
        told.clear();
        g.desk->record_admission(r, id, units, clock(i), told);
        tell(g, told, clock(i));
        return r;
    }
    double drain(std::size_t i, double units = 1.0, const std::string& reservation = {}, int asked_plan = 0) {
        double sum = 0.0;
        while (sum < 1e4 && ask(i, units, reservation, asked_plan)) sum += units;
        return sum;
    }
    void exchange(std::mt19937_64& random, double lost) {
        for (std::size_t i = 0; i < gateways.size(); ++i) {
            tick(i);
            const auto rows = gateways[i]->ledger->rows_due(clock(i), 10);
            const auto news = gateways[i]->ledger->announcement();
            for (std::size_t k = 0; k < gateways.size(); ++k) {
                if (k == i || std::uniform_real_distribution<>(0, 1)(random) < lost) continue;
                gateways[k]->ledger->on_announcement(static_cast<int>(i), news, clock(k));
                for (const auto& [id, row] : rows)
                    gateways[k]->ledger->on_row(id, static_cast<int>(i), row, clock(k));
                tick(k);
            }
        }
    }

    std::vector<std::unique_ptr<Gateway>> gateways;
    TimePoint now = kStart;
};

TEST(Desk, MovesACustomerDuringABurstAndBillsEachRequestToThePlanItWasTakenUnder) {
    Fleet f;
    const PlanChange c = f.spread(AssignPlan{kAnna, "empresa"}, kStart + 5s);
    EXPECT_EQ(f.drain(0), 16.0);
    std::vector<decision::Allowance> told;
    // Taken under the old plan, sent after the change: it stays what it was.
    const PlanService::PlanDecision before =
        f.gateways[0]->desk->decide_plan(kAnna, 0, 0, 1, 1.0, {}, f.now, told);
    f.now = c.effective_at;
    EXPECT_EQ(before.plan_index, 0);
    const auto after = f.ask(0, 1.0);
    ASSERT_TRUE(after);
    EXPECT_EQ(after->plan_index, 1);
    // The larger store is not full at once: 16 s at 4 a second before, 0 now, then 10 a second.
    EXPECT_LE(f.drain(0), 20.0);
    f.now += 2s;
    EXPECT_NEAR(f.drain(0), 20.0, 1.0);
    f.gateways[0]->desk->record_admission(before, kAnna, 1.0, f.now, told);
    f.now += 60s;
    EXPECT_NEAR(f.drain(0), 40.0, 1.0);
}

TEST(Desk, MintsNothingForACustomerThatWasForgottenBetween) {
    Fleet f;
    f.ask(0, 1.0);
    for (int i = 0; i < 100; ++i, f.now += 1s) f.tick(0);
    ASSERT_EQ(f.gateways[0]->ledger->statistics(f.now).tracked_customers, 0u)
        << "at rest for long, and forgotten";
    f.now = f.spread(AssignPlan{kAnna, "empresa"}).effective_at;
    EXPECT_NEAR(f.drain(0), 16.0, 1.0) << "what the smaller plan's store held";
    f.now += 30s;
    EXPECT_NEAR(f.drain(0), 40.0, 1.0);
}

TEST(Desk, ChangesThePlanOfAllThatHaveItAndTellsThoseThatAreHeld) {
    Fleet f;
    EXPECT_EQ(f.drain(0), 16.0);
    const PlanChange c = f.spread(DefinePlan{"equipo", "equipo", {400.0, 800.0, 900.0, 900.0, 4.0}});
    f.now = c.effective_at;
    EXPECT_EQ(f.gateways[0]->desk->next_deadline(), c.effective_at);
    f.tick(0);    // nobody asked again
    EXPECT_EQ(f.gateways[0]->grants.stores[kAnna].a.rate, 400.0);
    EXPECT_LE(f.gateways[0]->desk->statistics(f.now).max_delay, 50ms);
}

TEST(Desk, ActsAtOnceOnWhatItHearsLateAndCountsIt) {
    Fleet f(2);
    f.ask(0, 1.0);
    f.ask(1, 1.0);
    const auto change = f.make(AssignPlan{kAnna, "empresa"});
    ASSERT_TRUE(change);
    f.gateways[0]->desk->apply_change(*change, f.now);
    f.now = change->effective_at + 700ms;
    f.tick(0);
    f.tick(1);
    EXPECT_NEAR(f.gateways[0]->grants.stores[kAnna].a.rate, 5.0, 1e-9);
    EXPECT_NEAR(f.gateways[1]->grants.stores[kAnna].a.rate, 2.0, 1e-9);
    f.gateways[1]->desk->apply_change(*change, f.now);
    f.tick(1);
    EXPECT_NEAR(f.gateways[1]->grants.stores[kAnna].a.rate, 5.0, 1e-9);
    EXPECT_EQ(f.gateways[1]->desk->statistics(f.now).late_changes, 1u);
    EXPECT_EQ(f.gateways[1]->desk->statistics(f.now).max_lateness, 700ms);
}

struct Reserved : testing::Test {
    // 40 units carved over twenty seconds, half of what comes.
    void make(int gateways) {
        f = std::make_unique<Fleet>(gateways);
        c = f->spread(MakeReservation{"payroll", kAnna, 40.0, kStart + 22s, kStart + 60s, "equipo"});
    }
    std::unique_ptr<Fleet> f;
    PlanChange c;
    std::mt19937_64 random{1};
};

TEST_F(Reserved, IsCarvedFromTheQuotaRedeemedOnceAndNotBeyond) {
    make(1);
    f->now = c.effective_at;
    EXPECT_EQ(f->drain(0), 16.0);
    f->now += 10s;    // at 4 a second less 2
    EXPECT_NEAR(f->drain(0), 16.0, 1.01);
    f->now = kStart + 21s;
    f->drain(0);
    EXPECT_EQ(f->ask(0, 1.0, "payroll"), std::nullopt)
        << "its window has not begun, and the quota is used up";
    f->now = kStart + 22s;
    f->drain(0);
    // The ceiling's store holds as much as was spared.
    double redeemed = 0.0;
    while (const auto r = f->ask(0, 1.0, "payroll")) {
        ASSERT_EQ(r->reservation_version, c.version);
        redeemed += 1.0;
    }
    EXPECT_LE(redeemed, 40.0);
    EXPECT_GE(redeemed, 30.0);
    f->now += 6s;
    while (const auto r = f->ask(0, 1.0, "payroll")) {
        if (r->reservation_version == 0) break;
        redeemed += 1.0;
    }
    EXPECT_EQ(redeemed, 40.0);
    EXPECT_EQ(f->gateways[0]->desk->redeemed_units().at(c.version), 40.0);
    EXPECT_GT(f->gateways[0]->desk->statistics(f->now).failed_redemptions, 0u);
    EXPECT_EQ(f->ask(0, 1.0, "payroll", 0, kBerta)->reservation_version, 0u) << "it is not Berta's";
}

TEST_F(Reserved, GivesBackAtItsEndWhatWasLeftAndIsPaidByTheQuotaAfterIt) {
    make(1);
    f->now = kStart + 59s;
    ASSERT_TRUE(f->ask(0, 4.0, "payroll"));
    f->drain(0);
    const double before = f->gateways[0]->ledger->quota_level(kAnna, f->now);
    std::vector<decision::Allowance> told;
    const PlanService::PlanDecision in_flight =
        f->gateways[0]->desk->decide_plan(kAnna, 0, 0, 1, 2.0, "payroll", f->now, told);
    EXPECT_EQ(in_flight.reservation_version, c.version);
    const double account = f->gateways[0]->ledger->quota_level(in_flight.account, f->now);
    f->gateways[0]->desk->settle_units(in_flight, kAnna, 1.5,
                                       f->now);    // while it is open, the account pays
    EXPECT_NEAR(f->gateways[0]->ledger->quota_level(in_flight.account, f->now), account - 1.5, 1e-6);
    f->now = kStart + 60s;
    f->tick(0);
    // 36 were left; the store takes 16.
    EXPECT_NEAR(f->gateways[0]->ledger->quota_level(kAnna, f->now), 16.0, 1e-6) << before;
    f->gateways[0]->desk->record_admission(in_flight, kAnna, 2.0, f->now, told);
    EXPECT_NEAR(f->gateways[0]->ledger->quota_level(kAnna, f->now), 14.0, 1e-6);
    f->gateways[0]->desk->settle_units(in_flight, kAnna, 1.0, f->now);    // 3 in truth: the owner pays it all
    EXPECT_NEAR(f->gateways[0]->ledger->quota_level(kAnna, f->now), 13.0, 1e-6);
    EXPECT_EQ(f->ask(0, 1.0, "payroll")->reservation_version, 0u);
}

TEST_F(Reserved, IsNotGivenTwiceThroughTwoGatewaysNorAfterARestart) {
    make(3);
    f->now = kStart + 22s;
    double sum = 0.0;
    for (int round = 0; round < 40; ++round, f->now += 250ms) {
        for (std::size_t i = 0; i < 3; ++i) {
            const auto r = f->ask(i, 2.0, "payroll");
            if (r && r->reservation_version == c.version) sum += 2.0;
        }
        f->exchange(random, 0.1);
        if (round == 20) {    // gateway 1 starts anew, with what it wrote down of what it gave
            Gateway& g = *f->gateways[1];
            const auto redeemed = g.desk->redeemed_units();
            PlanTableSettings b;
            b.platform_plans = platform();
            b.table_overrides_request = true;
            PlanTable book(b);
            for (const PlanChange& change : f->book().change_log()) book.append(change);
            limits::QuotaTableSettings l;
            l.own_index = 1;
            l.gateway_count = 3;
            l.plans = platform();
            l.max_request_units = kMostUnits;
            l.incarnation = 500;
            l.isolated_quota_share = 0.0;
            g.ledger = std::make_unique<QuotaStateTable>(l, f->now);
            g.desk = std::make_unique<PlanService>(std::move(book), *g.ledger, f->now, redeemed);
            g.grants = {};
        }
    }
    // At a start what it had leased to others is not known any more: at most its own even part again.
    EXPECT_LE(sum, 40.0 * (1.0 + 1.0 / 3) + 1e-6);
    EXPECT_GE(sum, 30.0);
}

// ---- histories ----

// One store that sees all gateways, by the largest terms that any of them may go by at the time.
struct Reference {
    double level = 0.0, deepest = 0.0;
    TimePoint at{};
    void admit(double units, double rate, double cap, TimePoint now) {
        if (at == TimePoint{}) level = cap;
        else level = std::min(cap, level + rate * secs(now - at));
        at = now;
        level -= units;
        deepest = std::min(deepest, level);
    }
};

// NOLINTNEXTLINE(readability-function-size,readability-function-cognitive-complexity): to be split
TEST(DeskHistories, GiveNoMoreThanTheLargerPlanAndKeepTheCeilingInForce) {
    std::uint64_t first = 0, count = 10000;
#ifdef __SANITIZE_ADDRESS__
    count = 400;
#endif
    if (const char* seed = std::getenv("DESK_SEED")) first = std::strtoull(seed, nullptr, 10), count = 1;
    std::uint64_t admitted = 0, changes = 0, redeemed_tries = 0;
    for (std::uint64_t seed = first; seed < first + count; ++seed) {
        SCOPED_TRACE("replay with DESK_SEED=" + std::to_string(seed));
        std::mt19937_64 random(seed);
        const auto real = [&](double a, double b) { return std::uniform_real_distribution<>(a, b)(random); };
        const auto n = [&](int most) {
            return static_cast<int>(random() % static_cast<std::uint64_t>(most));
        };
        Fleet f(1 + n(4), n(4) > 0, n(2) ? 2s : 100ms);
        const Duration late = n(2) ? Duration(0) : 800ms;    // by which some hear after the time
        for (auto& g : f.gateways) g->clock = Duration(n(300'000) - 150'000);
        const Duration apart = 150ms + late;
        struct Pending {
            PlanChange change;
            std::size_t gateway;
            TimePoint at;
        };
        std::vector<Pending> pending;
        Reference quota, ceiling;
        double most_rate = 4.0, most_burst = 16.0;
        std::map<std::uint64_t, double> redeemed, reserved;
        for (int step = 0; step < 240; ++step) {
            f.now += Duration(static_cast<std::int64_t>(real(5'000, 180'000)));
            for (auto it = pending.begin(); it != pending.end();) {
                // Each hears of them in their order.
                if (it->at <= f.now &&
                    f.gateways[it->gateway]->desk->plan_table().version() + 1 == it->change.version) {
                    f.gateways[it->gateway]->desk->apply_change(it->change, f.clock(it->gateway));
                    it = pending.erase(it);
                } else {
                    ++it;
                }
            }
            if (n(12) == 0) {
                ChangeBody body;
                const int which = n(5);
                if (which < 3) {
                    body = AssignPlan{kAnna, n(3) ? (n(2) ? "equipo" : "empresa") : ""};
                } else if (which == 3) {
                    PlanTerms t{real(2, 12), real(8, 50), 0, 0, 4};
                    t.ceiling_rate = t.rate * real(1.2, 2.5);
                    t.ceiling_burst = std::max(t.burst, 30.0);
                    const char* const plan = n(2) ? "equipo" : "empresa";
                    body = DefinePlan{plan, plan, t};
                } else {
                    const TimePoint from = f.now + Duration(static_cast<std::int64_t>(real(-1e6, 8e6)));
                    body = MakeReservation{
                        "r" + std::to_string(step), kAnna, real(3, 12), from, from + 6s, "equipo"};
                }
                const auto at = n(2) ? std::optional(f.now + Duration(n(4'000'000))) : std::nullopt;
                if (const auto change = f.make(body, at)) {
                    ++changes;
                    f.gateways[0]->desk->apply_change(*change, f.clock(0));
                    for (std::size_t i = 1; i < f.gateways.size(); ++i) {
                        // Within the lead, or as late as the history allows.
                        const Duration took =
                            late > Duration(0)
                                ? change->effective_at - f.now + Duration(n(static_cast<int>(late.count())))
                                : Duration(n(50'000));
                        pending.push_back({*change, i, f.now + took});
                    }
                    if (const auto* r = std::get_if<MakeReservation>(&change->body))
                        reserved[change->version] = r->units;
                }
            }
            if (n(3) == 0) f.exchange(random, 0.1);
            const auto at = static_cast<std::size_t>(n(static_cast<int>(f.gateways.size())));
            const double units = 1.0 + n(4);
            std::string reservation;
            for (const Reservation* r : f.book().customer_reservations(kAnna))
                if (r->is_open(f.now) && n(2)) reservation = r->definition.reservation_id;
            const auto ruling = f.ask(at, units, reservation);
            // The largest that anybody may go by now.
            double rate = 0.0, cap = 0.0;
            for (TimePoint t = f.now - apart;; t = std::min(t + 20ms, f.now + apart)) {
                const EffectivePlan now = f.book().effective_plan_for(kAnna, 0, t);
                rate = std::max(rate, now.terms.ceiling_rate);
                cap = std::max(cap, now.terms.ceiling_burst);
                most_rate = std::max(most_rate, now.terms.rate);
                most_burst = std::max(most_burst, now.terms.burst);
                if (t >= f.now + apart) break;
            }
            if (!ruling) continue;
            ++admitted;
            if (ruling->reservation_version > 0) {
                redeemed[ruling->reservation_version] += units;
                ++redeemed_tries;
            }
            ceiling.admit(units, rate, cap, f.now);
            quota.admit(units, most_rate, most_burst, f.now);
        }
        const double w = static_cast<double>(f.gateways.size());
        // Where parts are kept whole in one plan and split in another, both hold for as long as gateways are
        // apart.
        const double overlap = 2.0 * secs(apart) * 2.5 * 12.0 * (f.gateways.size() > 1 ? 1.0 : 0.0);
        const double slack = std::max(kMostUnits, 0.1 * 30.0);
        ASSERT_GE(ceiling.deepest, -slack - overlap);
        // Reserved units were spared before, beside the store: they come on top of its burst.
        double spared = 0.0;
        for (const auto& [version, units] : reserved) spared += units;
        ASSERT_GE(quota.deepest, -w * kMostUnits - spared - overlap);
        // Within the quota's own error: units that move between gateways may be told twice by lost rows.
        const double error = w > 1.0 ? w * kMostUnits : 1e-6;
        for (const auto& [version, units] : redeemed)
            ASSERT_LE(units, reserved.at(version) + error) << version;
    }
    if (count > 1) {
        EXPECT_GT(admitted, 40 * count);
        EXPECT_GT(changes, 5 * count);
        EXPECT_GT(redeemed_tries, count / 4);
    }
}

// ---- the way to the others, and the operator's ----

struct Board {
    std::map<std::string, std::string> fields, old;
};

TEST(Spread, BringsTheBookToAllWhateverBecomesOfTheBoard) {
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        std::mt19937_64 random(seed);
        PlanTableSettings b;
        b.platform_plans = platform();
        std::vector<std::unique_ptr<PlanTable>> books;
        std::vector<std::unique_ptr<ChangeReplicator>> spreads;
        Board board;
        for (int i = 0; i < 4; ++i) {
            books.push_back(std::make_unique<PlanTable>(b));
            PlanTable& own = *books.back();
            spreads.push_back(std::make_unique<ChangeReplicator>(
                i, 4, i == 2, own, [&own](const PlanChange& c) { own.append(c); }));
        }
        const auto exchange = [&](std::size_t i, bool lossy) {
            if (lossy && random() % 4 == 0) return;
            for (const auto& [field, value] : spreads[i]->fields_to_write()) board.fields[field] = value;
            if (lossy && random() % 4 == 0) return;
            for (const std::string& field : spreads[i]->fields_to_read()) {
                const auto it = board.fields.find(field);
                if (it == board.fields.end()) spreads[i]->on_field_absent(field);
                else spreads[i]->on_field_read(field, it->second, kStart);
            }
        };
        for (int step = 0; step < 400; ++step) {
            if (step < 300 && random() % 4 == 0) {
                ChangeProposal p;
                p.body = AssignPlan{CustomerId{random() % 5}, random() % 2 ? "equipo" : "empresa"};
                p.expected_version = books[2]->subject_version(subject_of(p.body));
                p.author = "x";
                books[2]->append(std::get<PlanChange>(books[2]->validate_proposal(p, kStart)));
            }
            const bool faults = step < 320;
            if (faults && random() % 20 == 0) board.old = board.fields;
            if (faults && random() % 20 == 0) board.fields.clear();
            if (faults && random() % 20 == 0) board.fields = board.old;
            if (faults && random() % 20 == 0) board.fields["book:3"] = "spoilt";
            if (faults && random() % 20 == 0) board.fields["bookat:1"] = "spoilt";
            for (std::size_t i = 0; i < 4; ++i) exchange(i, faults);
        }
        for (const auto& book : books) {
            ASSERT_EQ(book->version(), books[2]->version()) << "seed " << seed;
            ASSERT_EQ(book->chain_hash(), books[2]->chain_hash()) << "seed " << seed;
        }
        // At rest it costs nothing but one field to read.
        for (std::size_t i = 0; i < 4; ++i) exchange(i, false);
        for (const auto& spread : spreads) EXPECT_TRUE(spread->fields_to_write().empty());
        EXPECT_EQ(spreads[2]->statistics().gateways_behind, 0u);
    }
}

TEST(Spread, TakesNothingOfAnotherBook) {
    PlanTableSettings b;
    b.platform_plans = platform();
    PlanTable ours(b), other(b);
    ChangeProposal p;
    p.body = AssignPlan{kAnna, "empresa"};
    p.author = "x";
    ours.append(std::get<PlanChange>(ours.validate_proposal(p, kStart)));
    p.note = "of another keeper";
    other.append(std::get<PlanChange>(other.validate_proposal(p, kStart)));
    p.expected_version = 1;
    other.append(std::get<PlanChange>(other.validate_proposal(p, kStart)));
    ChangeReplicator spread(1, 2, false, ours, [&](const PlanChange& c) { ours.append(c); });
    spread.on_field_read("book:2", serialize_change(other.change_log()[1]), kStart);
    EXPECT_EQ(ours.version(), 1u);
    EXPECT_EQ(spread.statistics().foreign_entries, 1u);
}

TEST(Office, AnswersOperatorsALineEach) {
    Fleet f;
    bool kept = true;
    control_socket::PlanCommandHandler office(*f.gateways[0]->desk, true, [&](const PlanChange& c) {
        if (!kept) throw std::runtime_error("the disk is full");
        f.gateways[0]->desk->apply_change(c, f.now);
    });
    const auto has = [&](const std::string& line, const std::string& what) {
        const std::string answer = office.handle_line(line, f.now);
        EXPECT_NE(answer.find(what), std::string::npos) << line << "\n" << answer;
        EXPECT_EQ(answer.find('\n'), std::string::npos);
    };
    const std::string assign =
        R"({"do":"propose","kind":"assign","customer":"0000000000000007","plan":"empresa","author":"m","request":"q")";
    kept = false;
    has(assign + "}", "the disk is full");
    EXPECT_EQ(f.book().version(), 0u);
    kept = true;
    has(assign + "}", R"("version":1)");
    has(assign + "}", R"("again":true)");
    has(R"({"do":"propose","kind":"assign","customer":"0000000000000007","plan":"equipo","author":"j"})",
        R"("why":"stale")");
    has(R"({"do":"list"})", R"("plan":"empresa")");
    has(R"({"do":"list","at":"soon"})", "expected a time");
    has(R"({"do":"show","customer":"0000000000000007"})", R"("newest":1)");
    has(R"({"do":"show","customer":"7"})", "expected a plan");
    has(R"({"do":"show","plan":"x"})", "there is no plan");
    has(R"({"do":"history","subject":"customer:0000000000000007"})", R"("author":"m")");
    has(R"({"do":"history","after":1})", R"("changes":[])");
    has(R"({"do":"status"})", R"("keeper":true)");
    has(R"({"do":"melt"})", "expected list");
    has("no json", "expected one object");
    has(R"({"do":"propose","kind":"reserve","id":"b","customer":"0000000000000007","units":100000,)"
        R"("from":"2023-11-14T22:30:00Z","until":"2023-11-14T23:30:00Z","author":"m"})",
        R"("fits":)");
    control_socket::PlanCommandHandler follower(*f.gateways[0]->desk, false, [](const PlanChange&) {});
    EXPECT_NE(follower.handle_line(assign + "}", f.now).find("not the keeper"), std::string::npos);
}

}    // namespace
}    // namespace shaletray::plans
