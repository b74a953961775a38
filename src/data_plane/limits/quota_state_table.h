// The allowance ledger: how much of each customer's quota and ceiling this gateway may grant, until when, and
// what it must assume while nothing is heard of the others. Pure: no I/O and no clock, told the time by its
// caller, and copyable, so that tests can explore it.
//
// The algorithm is an escrow with expiring transfers (bounded counters after Balegas et al., "Extending
// Eventually Consistent Cloud Databases for Enforcing Numeric Invariants", SRDS 2015; leases after Gray and
// Cheriton, SOSP 1989). Each gateway of a customer's set owns a fixed part of it, its baseline, and is the
// only one that ever hands any of that on. What it leases to others it stops using before it says so, and
// uses again only once the other has acknowledged less or cannot hold it any more. Whoever carries the rows
// between gateways may lose, repeat, reorder, delay or invent old ones: that costs allowance, and never adds
// any. See docs/design/shared-counter.md.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "data_plane/limits/quota_row.h"
#include "decision/control.h"

namespace shaletray::limits {

using decision::Allowance;
using decision::CustomerId;
using decision::Duration;
using decision::TimePoint;

struct LedgerSettings {
    int me = 0, gateways = 1;
    std::vector<decision::PlanSettings> plans;
    double most_units = 1.0;          // the largest request
    std::uint64_t incarnation = 1;    // above 0, and larger at each start of the same gateway
    Duration lease{8'000'000};        // how long what is leased is held at most
    double reserve = 0.25;            // part of a baseline's ceiling that is never leased
    double alone_share = 0.7;    // of a quota, that a gateway may grant which does not hear of all the others
    Duration alone_after{1'500'000};      // and how long it waits before it does
    Duration demand_window{2'000'000};    // over which what a customer asks for is averaged, at least
    std::size_t most_customers = 100'000;
    std::size_t most_news = 64;    // customers in one announcement

    // Throws decision::BadSettings with what is wrong.
    void check() const;
};

struct LedgerStats {
    std::uint64_t rows_heard = 0, rows_ignored = 0;    // ignored: older than known, or of another set
    std::uint64_t leases_ended = 0;                    // ran out while held here
    std::uint64_t reclaimed = 0, acknowledged = 0;     // what came back: by its time, by the other's word
    std::uint64_t lives_seen = 0;                      // other gateways' restarts
    std::uint64_t untracked = 0;                       // customers beyond the limit, left to the static share
    std::uint64_t news_heard = 0;
    std::uint64_t replanned = 0;                       // customers that went over to other terms
    std::size_t customers = 0, live = 0, alone = 0;    // as of now
};

// Terms beyond the settings' plans, under a number of their own: a version of a plan, or a reservation, which
// is an account of its own whose units were carved out of its owner's quota.
struct LedgerTerms {
    decision::PlanSettings figures;
    int like = 0;    // the settings' plan that the module goes by
    bool account = false;
    CustomerId owner{};         // of an account: whose ceiling it draws on
    TimePoint filled_from{};    // of an account: its units come evenly from then on at figures.rate; zero:
                                // all are there
    double spent = 0.0;         // of an account: here, in an earlier life
};

// What the caller knows of a customer when it asks.
struct Standing {
    double carved = 0.0;    // units a second that go to its reservations
    // What its stores would hold had it rested until now; below 0: they would be full.
    double rested_quota = -1.0, rested_ceiling = -1.0;
};

class Ledger {
public:
    // `now` is the start of this life; what an earlier one handed out is unknown for `lease` from here.
    Ledger(LedgerSettings settings, TimePoint now);

    // ---- what the gateway sees ----
    // A request is about to be decided. Gives what the module must know of its customer; nothing where the
    // customer is not tracked, and the module's static share holds.
    // Where the plan is another than before, the customer's stores keep their units and debts, up to the
    // sizes of the new one.
    std::optional<Allowance> asked(CustomerId customer, int plan, int first, int width, double units,
                                   TimePoint now, const Standing& standing = {});
    // A try was first sent on.
    void admitted(CustomerId customer, double units, TimePoint now);
    // Its answer told its true units: the quota is charged `difference` more (less, below 0), the ceiling,
    // which goes by the guess, nothing.
    void settled(CustomerId customer, double difference, TimePoint now);

    // ---- plans that change in service ----
    // Terms under a number from settings.plans.size() on. The same number always means the same.
    void define(int plan, LedgerTerms terms);
    bool defined(int plan) const { return terms(plan) != nullptr; }
    // The customer goes by these terms from now on. Nothing where it is not tracked.
    std::optional<Allowance> set(CustomerId customer, int plan, double carved, TimePoint now);
    // The account is over: what is left of it here goes back to its owner, who is told of it, if known.
    std::optional<Allowance> close(CustomerId account, TimePoint now);
    // Units that an account, or a quota, holds here.
    double level(CustomerId customer, TimePoint now);
    // What the module must know of a customer now, where it is tracked and was told before.
    std::optional<Allowance> retell(CustomerId customer, TimePoint now);
    std::vector<CustomerId> customers() const;
    bool tracks(CustomerId customer) const { return find(customer) != nullptr; }

    // ---- what is exchanged with the other gateways ----
    // Rows that are due to be written, at most so many. Each is owed to all who carry rows.
    std::vector<std::pair<CustomerId, Row>> rows_due(TimePoint now, std::size_t most);
    // What is written already and still in force, for a carrier that may have lost it; at most so many, in
    // turn.
    std::vector<std::pair<CustomerId, Row>> rows_in_force(std::size_t most);
    // Whose rows are worth reading, in turn; all of them, or those for which something new may be due.
    std::vector<std::pair<CustomerId, int>> rows_wanted(TimePoint now, std::size_t most, bool all = false);
    // All rows once more: a carrier has come back and may have lost them.
    void refresh();
    // False where the row brought nothing new.
    bool row_heard(CustomerId customer, int from, const Row& row, TimePoint now);
    // A gateway of the customer's set is not heard though rows of it should have come by now.
    bool overdue(CustomerId customer, int gateway, TimePoint now) const;
    News news() const;
    void news_heard(int from, const News& news, TimePoint now);

    // ---- time ----
    // Whatever ran out by now; appends what the module must be told. To be called when `next` is due.
    void tick(TimePoint now, std::vector<Allowance>& changed);
    std::optional<TimePoint> next() const;

    LedgerStats stats(TimePoint now) const;
    // This gateway's part of the ceiling (of 1) as it stands, and of the quota, with what it takes when
    // alone.
    double ceiling_share(CustomerId customer, TimePoint now) const;
    double quota_share(CustomerId customer, TimePoint now) const;

    // For a plan and set: the bound on what all gateways together admit inside the quota in a time, while
    // they hear of each other and while they do not.
    struct QuotaBound {
        double connected = 0.0, apart = 0.0;
    };
    static QuotaBound quota_bound(const LedgerSettings& s, int plan, int width, Duration time);

private:
    struct Posting {    // a lease as it was written, which the other may act on until void_at
        std::uint64_t stamp = 0;
        std::uint32_t lease = 0;
        TimePoint void_at{};
    };
    struct Member {    // another gateway of the customer's set
        int gateway = 0, place = 0;
        bool known = false;
        std::uint64_t incarnation = 0, stamp = 0;
        TimePoint heard{}, no_higher_until{};
        double demand = 0.0, fill = 0.0;
        bool cleared = false;          // it has seen this life of ours, so holds nothing of an earlier one
        std::uint32_t held = 0;        // leased by it to us, in force
        std::uint32_t credited = 0;    // and how much of that has been brought with its units
        TimePoint held_until{};
        std::uint32_t giving = 0;    // leased by us to it, as last written
        std::vector<Posting> out;    // what it may still act on, the oldest first
    };
    struct Bucket {
        double level = 0.0, cap = 0.0, rate = 0.0;
        TimePoint touched{};
        void refill(TimePoint now);
    };
    struct Customer {
        int plan = 0, first = 0, width = 1, place = 0;
        TimePoint since{}, asked{};
        double demand = 0.0;    // units a second, decayed to demand_at
        TimePoint demand_at{};
        Bucket quota, ceiling;
        double carved = 0.0;
        double gain = 0.0;    // quota units moved in or out, not yet told to the module
        double told_demand = 0.0;
        TimePoint alone_until{};      // it stands in for others, or did until lately
        double stood_in = 0.0;        // with this part of the quota
        TimePoint read{}, moved{};    // its rows last, and when they last brought something
        TimePoint wanted_until{};     // rows of it are exchanged until then
        std::uint64_t stamp = 0;      // of our last row; 0: none yet
        TimePoint posted{};
        bool dirty = false, told = false;
        TimePoint due{};
        std::vector<Member> members;    // by place, without ourselves
        Row last;
    };

    const decision::PlanSettings& plan(const Customer& c) const { return *terms(c.plan); }
    const decision::PlanSettings* terms(int plan) const;
    const LedgerTerms* extra(int plan) const;
    void replan(CustomerId id, Customer& c, int plan, TimePoint now);
    void erase(CustomerId id);
    Customer* find(CustomerId id);
    const Customer* find(CustomerId id) const;
    Customer* track(CustomerId id, int plan, int first, int width, TimePoint now,
                    const Standing& standing = {});
    bool small(const Customer& c) const;
    int holders(const Customer& c) const;
    double baseline(const Customer& c, int place) const;
    double reserve(const Customer& c) const;
    bool confined(const Customer& c, TimePoint now) const;
    static std::uint32_t liability(const Member& m);
    std::uint32_t kept(const Customer& c) const;
    bool fresh(const Member& m, TimePoint now) const;
    bool unheard(const Customer& c, TimePoint now) const;
    bool alone(const Customer& c, TimePoint now) const;
    double ceiling_share(const Customer& c, TimePoint now) const;
    double own_quota_share(const Customer& c) const;
    double quota_share(const Customer& c, TimePoint now) const;
    double window(const Customer& c) const;
    double demand_step(const Customer& c) const;
    double demand(const Customer& c, TimePoint now) const;
    bool pressed(Customer& c, TimePoint now) const;
    void want(CustomerId id, Customer& c, TimePoint until, TimePoint now);
    void announce(CustomerId id, const Customer& c);
    bool forgettable(const Customer& c, TimePoint now) const;
    // Brings all that depends on time up to now. True where a share changed.
    bool settle(Customer& c, TimePoint now);
    bool reshare(Customer& c, TimePoint now);
    void divide(Customer& c, TimePoint now);
    Row write(Customer& c, TimePoint now);
    void renew(CustomerId id, Customer& c, TimePoint now);
    void schedule(CustomerId id, Customer& c, TimePoint now);
    void mark(CustomerId id, Customer& c);
    Allowance touch(CustomerId id, Customer& c, TimePoint now);
    Allowance told(CustomerId id, Customer& c);

    LedgerSettings s_;
    TimePoint boot_{};
    Duration hold_{0};    // how long a lease is used; shorter than the giver reckons with
    std::map<int, LedgerTerms> extra_;
    std::map<CustomerId, Customer> customers_;
    std::set<std::pair<TimePoint, CustomerId>> due_;
    std::set<CustomerId> dirty_;
    std::set<CustomerId> live_;    // those whose rows are exchanged
    CustomerId read_cursor_{}, force_cursor_{};
    News news_;
    std::map<int, std::pair<std::uint64_t, std::uint64_t>> news_read_;    // by gateway: life, last item
    LedgerStats stats_;
};

}    // namespace shaletray::limits
