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

struct QuotaTableSettings {
    int own_index = 0, gateway_count = 1;
    std::vector<decision::PlanSettings> plans;
    double max_request_units = 1.0;        // the largest request
    std::uint64_t incarnation = 1;         // above 0, and larger at each start of the same gateway
    Duration lease_duration{8'000'000};    // how long what is leased is held at most
    double reserve_fraction = 0.25;        // part of a baseline's ceiling that is never leased
    double isolated_quota_share =
        0.7;    // of a quota, that a gateway may grant which does not hear of all the others
    Duration isolation_timeout{1'500'000};    // and how long it waits before it does
    Duration demand_window{2'000'000};        // over which what a customer asks for is averaged, at least
    std::size_t max_customers = 100'000;
    std::size_t max_announced_customers = 64;    // customers in one announcement

    // Throws decision::BadSettings with what is wrong.
    void validate() const;
};

struct QuotaTableStatistics {
    std::uint64_t rows_received = 0, rows_ignored = 0;    // ignored: older than known, or of another set
    std::uint64_t leases_expired = 0;                     // ran out while held here
    std::uint64_t leases_reclaimed = 0,
                  leases_acknowledged = 0;    // what came back: by its time, by the other's word
    std::uint64_t peer_restarts = 0;          // other gateways' restarts
    std::uint64_t untracked_customers = 0;    // customers beyond the limit, left to the static share
    std::uint64_t announcements_received = 0;
    std::uint64_t plan_switches = 0;    // customers that went over to other terms
    std::size_t tracked_customers = 0, exchanging_customers = 0, isolated_customers = 0;    // as of now
};

// Terms beyond the settings' plans, under a number of their own: a version of a plan, or a reservation, which
// is an account of its own whose units were carved out of its owner's quota.
struct CustomTerms {
    decision::PlanSettings plan_settings;
    int base_plan = 0;    // the settings' plan that the module goes by
    bool is_account = false;
    CustomerId owner{};            // of an account: whose ceiling it draws on
    TimePoint fill_starts_at{};    // of an account: its units come evenly from then on at figures.rate; zero:
                                   // all are there
    double spent_units = 0.0;      // of an account: here, in an earlier life
};

// What the caller knows of a customer when it asks.
struct CustomerStanding {
    double reserved_rate = 0.0;    // units a second that go to its reservations
    // What its stores would hold had it rested until now; below 0: they would be full.
    double rested_quota_units = -1.0, rested_rate_units = -1.0;
};

class QuotaStateTable {
public:
    // `now` is the start of this life; what an earlier one handed out is unknown for `lease` from here.
    QuotaStateTable(QuotaTableSettings settings, TimePoint now);

    // ---- what the gateway sees ----
    // A request is about to be decided. Gives what the module must know of its customer; nothing where the
    // customer is not tracked, and the module's static share holds.
    // Where the plan is another than before, the customer's stores keep their units and debts, up to the
    // sizes of the new one.
    std::optional<Allowance> on_request(CustomerId customer_id, int plan, int first_gateway, int set_size,
                                        double units, TimePoint now, const CustomerStanding& standing = {});
    // A try was first sent on.
    void record_admission(CustomerId customer_id, double units, TimePoint now);
    // Its answer told its true units: the quota is charged `difference` more (less, below 0), the ceiling,
    // which goes by the guess, nothing.
    void settle_units(CustomerId customer_id, double difference, TimePoint now);

    // ---- plans that change in service ----
    // Terms under a number from settings.plans.size() on. The same number always means the same.
    void define_terms(int plan, CustomTerms terms);
    bool has_terms(int plan) const { return find_terms(plan) != nullptr; }
    // The customer goes by these terms from now on. Nothing where it is not tracked.
    std::optional<Allowance> set_plan(CustomerId customer_id, int plan, double carved, TimePoint now);
    // The account is over: what is left of it here goes back to its owner, who is told of it, if known.
    std::optional<Allowance> close_account(CustomerId account, TimePoint now);
    // Units that an account, or a quota, holds here.
    double quota_level(CustomerId customer_id, TimePoint now);
    // What the module must know of a customer now, where it is tracked and was told before.
    std::optional<Allowance> refresh_allowance(CustomerId customer_id, TimePoint now);
    std::vector<CustomerId> tracked_customers() const;
    bool is_tracked(CustomerId customer_id) const { return find_customer(customer_id) != nullptr; }

    // ---- what is exchanged with the other gateways ----
    // Rows that are due to be written, at most so many. Each is owed to all who carry rows.
    std::vector<std::pair<CustomerId, QuotaRow>> rows_due(TimePoint now, std::size_t max_rows);
    // What is written already and still in force, for a carrier that may have lost it; at most so many, in
    // turn.
    std::vector<std::pair<CustomerId, QuotaRow>> rows_in_force(std::size_t max_rows);
    // Whose rows are worth reading, in turn; all of them, or those for which something new may be due.
    std::vector<std::pair<CustomerId, int>> rows_to_read(TimePoint now, std::size_t max_rows,
                                                         bool include_all = false);
    // All rows once more: a carrier has come back and may have lost them.
    void rewrite_all_rows();
    // False where the row brought nothing new.
    bool on_row(CustomerId customer_id, int sender, const QuotaRow& row, TimePoint now);
    // A gateway of the customer's set is not heard though rows of it should have come by now.
    bool is_overdue(CustomerId customer_id, int gateway_index, TimePoint now) const;
    Announcement announcement() const;
    void on_announcement(int sender, const Announcement& announcement, TimePoint now);

    // ---- time ----
    // Whatever ran out by now; appends what the module must be told. To be called when `next` is due.
    void tick(TimePoint now, std::vector<Allowance>& changed);
    std::optional<TimePoint> next_deadline() const;

    QuotaTableStatistics statistics(TimePoint now) const;
    // This gateway's part of the ceiling (of 1) as it stands, and of the quota, with what it takes when
    // alone.
    double rate_limit_share(CustomerId customer_id, TimePoint now) const;
    double quota_share(CustomerId customer_id, TimePoint now) const;

    // For a plan and set: the bound on what all gateways together admit inside the quota in a time, while
    // they hear of each other and while they do not.
    struct AdmissionBound {
        double connected = 0.0, partitioned = 0.0;
    };
    static AdmissionBound admission_bound(const QuotaTableSettings& settings, int plan, int set_size,
                                          Duration time);

private:
    struct WrittenLease {    // a lease as it was written, which the other may act on until void_at
        std::uint64_t row_stamp = 0;
        std::uint32_t lease_parts = 0;
        TimePoint expires_at{};
    };
    struct PeerState {    // another gateway of the customer's set
        int gateway_index = 0, position = 0;
        bool is_known = false;
        std::uint64_t incarnation = 0, row_stamp = 0;
        TimePoint last_heard{}, lease_cap_until{};
        double demand = 0.0, fill_level = 0.0;
        bool acknowledged_incarnation =
            false;    // it has seen this life of ours, so holds nothing of an earlier one
        std::uint32_t lease_received = 0;    // leased by it to us, in force
        std::uint32_t lease_credited = 0;    // and how much of that has been brought with its units
        TimePoint lease_expires_at{};
        std::uint32_t lease_granted = 0;                 // leased by us to it, as last written
        std::vector<WrittenLease> outstanding_leases;    // what it may still act on, the oldest first
    };
    struct Bucket {
        double level = 0.0, max_level = 0.0, rate = 0.0;
        TimePoint refilled_at{};
        void refill(TimePoint now);
    };
    struct Customer {
        int plan_index = 0, first_gateway = 0, set_size = 1, position = 0;
        TimePoint tracked_since{}, last_request_at{};
        double demand = 0.0;    // units a second, decayed to demand_at
        TimePoint demand_at{};
        Bucket quota_bucket, rate_bucket;
        double reserved_rate = 0.0;
        double unreported_units = 0.0;    // quota units moved in or out, not yet told to the module
        double reported_demand = 0.0;
        TimePoint isolated_until{};                     // it stands in for others, or did until lately
        double isolated_share = 0.0;                    // with this part of the quota
        TimePoint last_read_at{}, last_changed_at{};    // its rows last, and when they last brought something
        TimePoint exchange_until{};                     // rows of it are exchanged until then
        std::uint64_t last_row_stamp = 0;               // of our last row; 0: none yet
        TimePoint last_written_at{};
        bool is_dirty = false, is_reported = false;
        TimePoint next_due{};
        std::vector<PeerState> peers;    // by place, without ourselves
        QuotaRow last_row;
    };

    const decision::PlanSettings& customer_plan(const Customer& customer) const {
        return *find_terms(customer.plan_index);
    }
    const decision::PlanSettings* find_terms(int plan) const;
    const CustomTerms* find_custom_terms(int plan) const;
    void switch_plan(CustomerId customer_id, Customer& customer, int plan, TimePoint now);
    void erase_customer(CustomerId customer_id);
    Customer* find_customer(CustomerId customer_id);
    const Customer* find_customer(CustomerId customer_id) const;
    Customer* track_customer(CustomerId customer_id, int plan, int first_gateway, int set_size, TimePoint now,
                             const CustomerStanding& standing = {});
    bool has_small_quota(const Customer& customer) const;
    int quota_holders(const Customer& customer) const;
    double baseline_share(const Customer& customer, int position) const;
    double reserve_share(const Customer& customer) const;
    bool is_confined(const Customer& customer, TimePoint now) const;
    static std::uint32_t lease_liability(const PeerState& peer);
    std::uint32_t retained_baseline(const Customer& customer) const;
    bool is_fresh(const PeerState& peer, TimePoint now) const;
    bool has_silent_peer(const Customer& customer, TimePoint now) const;
    bool is_isolated(const Customer& customer, TimePoint now) const;
    double rate_limit_share(const Customer& customer, TimePoint now) const;
    double base_quota_share(const Customer& customer) const;
    double quota_share(const Customer& customer, TimePoint now) const;
    double demand_window(const Customer& customer) const;
    double min_demand_change(const Customer& customer) const;
    double current_demand(const Customer& customer, TimePoint now) const;
    bool is_under_pressure(Customer& customer, TimePoint now) const;
    void request_exchange(CustomerId customer_id, Customer& customer, TimePoint exchange_until,
                          TimePoint now);
    void announce_customer(CustomerId customer_id, const Customer& customer);
    bool is_forgettable(const Customer& customer, TimePoint now) const;
    // Brings all that depends on time up to now. True where a share changed.
    bool update_to_now(Customer& customer, TimePoint now);
    bool update_shares(Customer& customer, TimePoint now);
    void divide_baseline(Customer& customer, TimePoint now);
    QuotaRow make_row(Customer& customer, TimePoint now);
    void renew_leases(CustomerId customer_id, Customer& customer, TimePoint now);
    void schedule_customer(CustomerId customer_id, Customer& customer, TimePoint now);
    void mark_dirty(CustomerId customer_id, Customer& customer);
    Allowance update_and_report(CustomerId customer_id, Customer& customer, TimePoint now);
    Allowance make_allowance(CustomerId customer_id, Customer& customer);

    QuotaTableSettings settings_;
    TimePoint started_at_{};
    Duration lease_hold_time_{0};    // how long a lease is used; shorter than the giver reckons with
    std::map<int, CustomTerms> custom_terms_;
    std::map<CustomerId, Customer> customers_;
    std::set<std::pair<TimePoint, CustomerId>> schedule_;
    std::set<CustomerId> dirty_customers_;
    std::set<CustomerId> exchanging_customers_;    // those whose rows are exchanged
    CustomerId read_cursor_{}, in_force_cursor_{};
    Announcement announcement_;
    std::map<int, std::pair<std::uint64_t, std::uint64_t>>
        announcements_read_;    // by gateway: life, last item
    QuotaTableStatistics statistics_;
};

}    // namespace shaletray::limits
