// How much of each customer's quota (its average rate) and rate limit (its `ceiling`, never exceeded) this
// gateway may grant, until when, and what it must assume while other gateways are silent. Single-threaded and
// pure: no I/O and no clock; the caller passes the time, which never goes back. Copyable, so that tests can
// explore its states. Units are those of the plans, rates are units per second.
//
// The algorithm is an escrow with expiring transfers (bounded counters after Balegas et al., "Extending
// Eventually Consistent Cloud Databases for Enforcing Numeric Invariants", SRDS 2015; leases after Gray and
// Cheriton, SOSP 1989). Each gateway of a customer's set owns a fixed part of it, its baseline, and alone
// leases parts of that to others. It stops using what it leases before it publishes the lease, and uses it
// again only once the holder has acknowledged a smaller lease or the lease has expired. The transport of rows
// may lose, repeat, reorder or delay them, or return to old ones: that costs allowance, and never adds any.
// See docs/design/shared-counter.md.
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

// Fixed for the life of a table.
struct QuotaTableSettings {
    int own_index = 0, gateway_count = 1;
    std::vector<decision::PlanSettings> plans;
    double max_request_units = 1.0;        // the most that one request costs
    std::uint64_t incarnation = 1;         // above 0, and larger at each start of the same gateway
    Duration lease_duration{8'000'000};    // the longest time that a lease is held
    double reserve_fraction = 0.25;        // part of a baseline's rate limit that is never leased
    // Part of a quota that a gateway may grant while it does not hear all the others. That applies once a
    // customer was tracked for `isolation_timeout`, and for as long again after all were heard.
    double isolated_quota_share = 0.7;
    Duration isolation_timeout{1'500'000};
    Duration demand_window{2'000'000};    // the shortest time over which a customer's demand is averaged
    std::size_t max_customers = 100'000;
    std::size_t max_announced_customers = 64;    // in one announcement

    // Throws decision::BadSettings with the reason.
    void validate() const;
};

// Totals since the start, unless stated otherwise.
struct QuotaTableStatistics {
    std::uint64_t rows_received = 0, rows_ignored = 0;    // ignored: older than known, or of another set
    std::uint64_t leases_expired = 0;                     // while held here
    // Leases that came back: because they expired, or by the holder's acknowledgement.
    std::uint64_t leases_reclaimed = 0, leases_acknowledged = 0;
    std::uint64_t peer_restarts = 0;
    std::uint64_t untracked_customers = 0;    // beyond max_customers; these get the static share
    std::uint64_t announcements_received = 0;
    std::uint64_t plan_switches = 0;    // changes of a customer's terms
    std::size_t tracked_customers = 0, exchanging_customers = 0, isolated_customers = 0;    // as of now
};

// Terms beyond the plans of the settings, with an index of their own: a version of a plan, or a reservation.
// A reservation is an account of its own whose units were taken from its owner's quota.
struct CustomTerms {
    decision::PlanSettings plan_settings;
    int base_plan = 0;    // the plan of the settings that the decision module uses
    bool is_account = false;
    CustomerId owner{};    // of an account: whose rate limit it is charged to
    // Of an account: its units accrue evenly from then on at plan_settings.rate; zero: all are available.
    TimePoint fill_starts_at{};
    double spent_units = 0.0;    // of an account: by this gateway in earlier incarnations
};

// What the caller knows about a customer at a request.
struct CustomerStanding {
    double reserved_rate = 0.0;    // units per second that go to its reservations
    // What its buckets would hold without requests until now; below 0: they would be full.
    double rested_quota_units = -1.0, rested_rate_units = -1.0;
};

// Functions that return an Allowance return what the decision module must be given next.
class QuotaStateTable {
public:
    // `now` is the start of this incarnation; leases granted by an earlier one are unknown and may remain in
    // use for `lease_duration` from here.
    QuotaStateTable(QuotaTableSettings settings, TimePoint now);

    // ---- requests ----
    // A request is about to be decided. Empty if the customer is not tracked; the module's static share
    // applies then. If the plan has changed, the customer's buckets keep their units and debts, up to the
    // sizes of the new plan.
    std::optional<Allowance> on_request(CustomerId customer_id, int plan, int first_gateway, int set_size,
                                        double units, TimePoint now, const CustomerStanding& standing = {});
    // A request is sent for the first time: charges its units.
    void record_admission(CustomerId customer_id, double units, TimePoint now);
    // The response reported the actual units: charges `difference` more (less, if below 0) to the quota. The
    // rate limit keeps the estimate.
    void settle_units(CustomerId customer_id, double difference, TimePoint now);

    // ---- plans that change at runtime ----
    // Defines terms with an index from the number of the settings' plans on. An index never changes its
    // meaning.
    void define_terms(int plan, CustomTerms terms);
    bool has_terms(int plan) const { return find_terms(plan) != nullptr; }
    // Applies other terms to a customer from now on; `carved` is its rate in units per second that goes to
    // reservations. Empty if it is not tracked or nothing changed.
    std::optional<Allowance> set_plan(CustomerId customer_id, int plan, double carved, TimePoint now);
    // Ends an account and returns its remaining units to its owner, whose allowance is the result if it is
    // tracked.
    std::optional<Allowance> close_account(CustomerId account, TimePoint now);
    // Units in the quota bucket of a customer or account at this gateway.
    double quota_level(CustomerId customer_id, TimePoint now);
    // The present allowance of a customer that is tracked and was reported before.
    std::optional<Allowance> refresh_allowance(CustomerId customer_id, TimePoint now);
    std::vector<CustomerId> tracked_customers() const;
    bool is_tracked(CustomerId customer_id) const { return find_customer(customer_id) != nullptr; }

    // ---- exchange with the other gateways ----
    // Rows that are due to be written, at most `max_rows`. Each must go to every store in use.
    std::vector<std::pair<CustomerId, QuotaRow>> rows_due(TimePoint now, std::size_t max_rows);
    // Rows already written and still in force, in rotation, for a store that may have lost them.
    std::vector<std::pair<CustomerId, QuotaRow>> rows_in_force(std::size_t max_rows);
    // Customers and gateways whose rows to read, in rotation: those for which a change may be due, or all.
    std::vector<std::pair<CustomerId, int>> rows_to_read(TimePoint now, std::size_t max_rows,
                                                         bool include_all = false);
    // Makes all rows due again: a store has reconnected and may have lost them.
    void rewrite_all_rows();
    // Takes in a row that was read. False if it brought nothing new.
    bool on_row(CustomerId customer_id, int sender, const QuotaRow& row, TimePoint now);
    // Whether a row of this gateway should have arrived by now.
    bool is_overdue(CustomerId customer_id, int gateway_index, TimePoint now) const;
    // This gateway's announcement, to be written when it changes.
    Announcement announcement() const;
    // Takes in another gateway's announcement; one that was read before has no effect.
    void on_announcement(int sender, const Announcement& announcement, TimePoint now);

    // ---- time ----
    // Expires what is due and appends the allowances that changed. To be called at next_deadline().
    void tick(TimePoint now, std::vector<Allowance>& changed);
    // When tick() is due next, if at all.
    std::optional<TimePoint> next_deadline() const;

    QuotaTableStatistics statistics(TimePoint now) const;
    // This gateway's present part (0 to 1) of the rate limit, and of the quota including what it grants while
    // isolated.
    double rate_limit_share(CustomerId customer_id, TimePoint now) const;
    double quota_share(CustomerId customer_id, TimePoint now) const;

    // Upper bound, in units, on what all gateways of a set together admit within the quota of a plan during
    // `time`, while they hear each other and while they are partitioned.
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
        TimePoint last_heard{}, lease_cap_until{};
        double demand = 0.0, fill_level = 0.0;
        // It has seen this incarnation of ours, so it holds no lease of an earlier one.
        bool acknowledged_incarnation = false;
        std::uint32_t lease_received = 0;    // leased by it to us, in force
        std::uint32_t lease_credited = 0;    // the part of that whose units were added to our bucket
        TimePoint lease_expires_at{};
        std::uint32_t lease_granted = 0;                 // leased by us to it, as last written
        std::vector<WrittenLease> outstanding_leases;    // those it may still use, oldest first
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
        double unreported_units =
            0.0;    // quota units moved in or out, not yet passed to the decision module
        double reported_demand = 0.0;
        TimePoint isolated_until{};                     // it grants for silent peers, or did until recently
        double isolated_share = 0.0;                    // this part of the quota
        TimePoint last_read_at{}, last_changed_at{};    // when its rows were read, and last brought a change
        TimePoint exchange_until{};                     // its rows are exchanged until then
        std::uint64_t last_row_stamp = 0;               // of our last row; 0: none yet
        TimePoint last_written_at{};
        bool is_dirty = false, is_reported = false;
        TimePoint next_due{};
        std::vector<PeerState> peers;    // by position, without ourselves
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
    // Applies everything that depends on time. True if a share changed.
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
    Duration lease_hold_time_{0};    // how long a lease is used: shorter than its grantor assumes
    std::map<int, CustomTerms> custom_terms_;
    std::map<CustomerId, Customer> customers_;
    std::set<std::pair<TimePoint, CustomerId>> schedule_;
    std::set<CustomerId> dirty_customers_;
    std::set<CustomerId> exchanging_customers_;    // customers whose rows are exchanged
    CustomerId read_cursor_{}, in_force_cursor_{};
    Announcement announcement_;
    // By gateway: incarnation and item count that were read last.
    std::map<int, std::pair<std::uint64_t, std::uint64_t>> announcements_read_;
    QuotaTableStatistics statistics_;
};

}    // namespace shaletray::limits
