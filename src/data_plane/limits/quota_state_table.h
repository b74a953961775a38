// Determines how much of each customer's quota (its average rate) and rate limit (its `ceiling`, never
// exceeded) this gateway may grant, until when, and how much while other gateways are silent. Single-threaded
// and pure: no I/O and no clock; the caller passes the time, which never goes back. Copyable, so that tests
// can explore its states. Units are those of the plans, rates are units per second.
//
// The algorithm is an escrow with expiring transfers (bounded counters after Balegas et al., "Extending
// Eventually Consistent Cloud Databases for Enforcing Numeric Invariants", SRDS 2015; leases after Gray and
// Cheriton, SOSP 1989). Each gateway of a customer's set owns a fixed part of the quota and rate limit, its
// baseline, and only it leases parts of that to others. It stops using what it leases before it publishes the
// lease, and uses it again only once the holder has acknowledged a smaller lease or the lease has expired.
// The transport may lose, repeat, reorder or delay rows, or return old ones: that reduces the allowance and
// never increases it. See docs/design/shared-counter.md.
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

// Settings of a table, which do not change after its construction.
struct QuotaTableSettings {
    int own_index = 0, gateway_count = 1;
    std::vector<decision::PlanSettings> plans;
    double max_request_units = 1.0;        // largest cost of one request
    std::uint64_t incarnation = 1;         // above 0, and larger at each start of the same gateway
    Duration lease_duration{8'000'000};    // longest time for which a lease is held
    double reserve_fraction = 0.25;        // fraction of a baseline's rate limit that is never leased
    // Fraction of a quota that a gateway may grant while peers are silent. Applies once a customer was
    // tracked for `isolation_timeout`, and for the same time after the last peer sent rows again.
    double isolated_quota_share = 0.7;
    Duration isolation_timeout{1'500'000};
    Duration demand_window{2'000'000};    // shortest time over which a customer's demand is averaged
    std::size_t max_customers = 100'000;
    std::size_t max_announced_customers = 64;    // in one announcement

    // Throws decision::BadSettings with the reason.
    void validate() const;
};

// Totals since the start, unless stated otherwise.
struct QuotaTableStatistics {
    std::uint64_t rows_received = 0, rows_ignored = 0;    // ignored: outdated, invalid or of another set
    std::uint64_t leases_expired = 0;                     // while this gateway held them
    // Leases that this gateway granted and got back, by expiry or by the holder's acknowledgement.
    std::uint64_t leases_reclaimed = 0, leases_acknowledged = 0;
    std::uint64_t peer_restarts = 0;
    std::uint64_t untracked_customers = 0;    // beyond max_customers; these get the static share
    std::uint64_t announcements_received = 0;
    std::uint64_t plan_switches = 0;    // changes of a customer's terms
    std::size_t tracked_customers = 0, exchanging_customers = 0, isolated_customers = 0;    // at present
};

// Terms in addition to the plans of the settings, with an index of their own: a version of a plan, or a
// reservation's account, whose units were taken from its owner's quota.
struct CustomTerms {
    decision::PlanSettings plan_settings;
    int base_plan = 0;    // the plan of the settings that the decision module uses
    bool is_account = false;
    CustomerId owner{};    // of an account: the customer whose rate limit it is charged to
    // Of an account: time from which its units accrue at plan_settings.rate; zero: all units are available.
    TimePoint accrual_starts_at{};
    double spent_units = 0.0;    // of an account: spent by this gateway in earlier incarnations
};

// State of a customer that the caller passes with a request.
struct CustomerContext {
    double reserved_rate = 0.0;    // units per second that go to its reservations
    // Units that its buckets would hold without requests until now; below 0: they would be full.
    double idle_quota_units = -1.0, idle_rate_units = -1.0;
};

// Quotas and rate limits of the customers at one gateway. Functions that return an Allowance return the one
// that the decision module must be given next.
class QuotaStateTable {
public:
    // `now` is the start of this incarnation; leases granted by an earlier one are unknown and may be in use
    // until `lease_duration` later.
    QuotaStateTable(QuotaTableSettings settings, TimePoint now);

    // ---- requests ----
    // To be called before a request is decided. Empty if the customer is not tracked; the decision module's
    // static share applies then. If the plan has changed, the customer's buckets keep their units and debts,
    // up to the sizes of the new plan.
    std::optional<Allowance> on_request(CustomerId customer_id, int plan, int first_gateway, int set_size,
                                        double units, TimePoint now, const CustomerContext& context = {});
    // Charges the units of a request that is sent for the first time.
    void record_admission(CustomerId customer_id, double units, TimePoint now);
    // Charges `difference` more (less, if below 0) to the quota, once the response reported the actual units.
    // The rate limit keeps the estimate.
    void settle_units(CustomerId customer_id, double difference, TimePoint now);

    // ---- plans that change at runtime ----
    // Defines terms. Their index must be at least the number of the settings' plans; the first definition of
    // an index is kept. Throws decision::BadSettings for the index of a plan of the settings.
    void define_terms(int plan, CustomTerms terms);
    bool has_terms(int plan) const { return find_terms(plan) != nullptr; }
    // Applies other terms to a customer from now on; `reserved_rate` is its rate in units per second that
    // goes to reservations. Empty if it is not tracked or nothing changed.
    std::optional<Allowance> set_plan(CustomerId customer_id, int plan, double reserved_rate, TimePoint now);
    // Closes an account and returns its remaining units to its owner. The result is the owner's allowance, if
    // the owner is tracked.
    std::optional<Allowance> close_account(CustomerId account, TimePoint now);
    // Units in the quota bucket of a customer or account at this gateway.
    double quota_level(CustomerId customer_id, TimePoint now);
    // The present allowance of a customer that is tracked and whose allowance was returned before.
    std::optional<Allowance> refresh_allowance(CustomerId customer_id, TimePoint now);
    std::vector<CustomerId> tracked_customers() const;
    bool is_tracked(CustomerId customer_id) const { return find_customer(customer_id) != nullptr; }

    // ---- exchange with the other gateways ----
    // Rows that are due to be written, at most `max_rows`. Each must be written to every store in use.
    std::vector<std::pair<CustomerId, QuotaRow>> rows_due(TimePoint now, std::size_t max_rows);
    // Rows that were written and are still in force, in rotation, for a store that may have lost them.
    std::vector<std::pair<CustomerId, QuotaRow>> rows_in_force(std::size_t max_rows);
    // Customers and gateways whose rows are to be read, in rotation: those for which a change may be due, or
    // all.
    std::vector<std::pair<CustomerId, int>> rows_to_read(TimePoint now, std::size_t max_rows,
                                                         bool include_all = false);
    // Makes all rows due again, after a store has reconnected that may have lost them.
    void rewrite_all_rows();
    // Processes a row that was read. False if it was not newer than the last one, or was ignored.
    bool on_row(CustomerId customer_id, int sender, const QuotaRow& row, TimePoint now);
    // Whether a row of this gateway should have arrived by now.
    bool is_overdue(CustomerId customer_id, int gateway_index, TimePoint now) const;
    // This gateway's announcement, to be written when it changes.
    Announcement announcement() const;
    // Processes another gateway's announcement; one that was read before has no effect.
    void on_announcement(int sender, const Announcement& announcement, TimePoint now);

    // ---- time ----
    // Applies expiries that are due and appends the allowances that changed. To be called at next_deadline().
    void tick(TimePoint now, std::vector<Allowance>& changed);
    // Time at which tick() is due next, if at all.
    std::optional<TimePoint> next_deadline() const;

    QuotaTableStatistics statistics(TimePoint now) const;
    // This gateway's present share (0 to 1) of the rate limit.
    double rate_limit_share(CustomerId customer_id, TimePoint now) const;
    // This gateway's present share (0 to 1) of the quota, including what it grants while isolated.
    double quota_share(CustomerId customer_id, TimePoint now) const;

    // Upper bound, in units, on what all gateways of a set together admit within the quota of a plan during
    // `time`, while they are connected and while they are partitioned.
    struct AdmissionBound {
        double connected = 0.0, partitioned = 0.0;
    };
    static AdmissionBound admission_bound(const QuotaTableSettings& settings, int plan, int set_size,
                                          Duration time);

private:
    // A lease as it was written, which the holder may use until `expires_at`.
    struct WrittenLease {
        std::uint64_t row_stamp = 0;
        std::uint32_t lease_parts = 0;
        TimePoint expires_at{};
    };
    // Another gateway of the customer's set.
    struct PeerState {
        int gateway_index = 0, position = 0;
        bool is_known = false;
        std::uint64_t incarnation = 0, row_stamp = 0;
        // Rows of a higher incarnation are ignored until reject_higher_until.
        TimePoint last_row_at{}, reject_higher_until{};
        double demand = 0.0, fill_level = 0.0;
        // Whether it has read a row of this incarnation, so that it holds no lease of an earlier one.
        bool acknowledged_incarnation = false;
        std::uint32_t lease_received = 0;    // leased by it to this gateway, in force
        std::uint32_t lease_credited = 0;    // part of lease_received whose units were added to the bucket
        TimePoint lease_expires_at{};        // of lease_received
        std::uint32_t lease_granted = 0;     // leased by this gateway to it, as last written
        std::vector<WrittenLease> outstanding_leases;    // leases that it may still use, oldest first
    };
    struct Bucket {
        double level = 0.0, max_level = 0.0, rate = 0.0;
        TimePoint refilled_at{};
        void refill(TimePoint now);
    };
    struct Customer {
        int plan_index = 0, first_gateway = 0, set_size = 1, position = 0;
        TimePoint tracked_since{}, last_request_at{};
        double demand = 0.0;    // units per second, decayed to demand_at
        TimePoint demand_at{};
        Bucket quota_bucket, rate_bucket;
        double reserved_rate = 0.0;
        double unreported_units = 0.0;    // quota units gained or lost other than by requests, not yet passed
                                          // to the decision module
        double reported_demand = 0.0;     // demand in the last row written
        TimePoint isolated_until{};       // parts of silent peers are granted until then
        double isolated_share = 0.0;      // share of the quota while isolated
        TimePoint last_read_at{}, last_changed_at{};    // last read of its rows, and last change by a row
        TimePoint exchange_until{};                     // its rows are exchanged until then
        std::uint64_t last_row_stamp = 0;               // of the last row written; 0: none yet
        TimePoint last_written_at{};
        bool is_dirty = false, is_reported = false;    // a row is due; an allowance was returned before
        TimePoint next_due{};                          // in schedule_
        std::vector<PeerState> peers;                  // by position, without this gateway
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
                             const CustomerContext& context = {});
    bool has_small_rate_limit(const Customer& customer) const;
    int baseline_holders(const Customer& customer) const;
    double baseline_share(const Customer& customer, int position) const;
    double reserve_share(const Customer& customer) const;
    bool may_have_prior_leases(const Customer& customer, TimePoint now) const;
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
    bool can_be_erased(const Customer& customer, TimePoint now) const;
    // Applies expiries and refills. True if a share changed.
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
    Duration lease_hold_time_{0};    // time for which a held lease is used: shorter than its grantor assumes
    std::map<int, CustomTerms> custom_terms_;
    std::map<CustomerId, Customer> customers_;
    std::set<std::pair<TimePoint, CustomerId>> schedule_;
    std::set<CustomerId> dirty_customers_;
    std::set<CustomerId> exchanging_customers_;
    CustomerId read_cursor_{}, in_force_cursor_{};
    Announcement announcement_;
    // Incarnation and item count that were read last, by gateway.
    std::map<int, std::pair<std::uint64_t, std::uint64_t>> announcements_read_;
    QuotaTableStatistics statistics_;
};

}    // namespace shaletray::limits
