// Decides which plan and account a request is charged to, and updates the quota table as changes of the plan
// table take effect. Owns the plan table. Single-threaded and pure: no I/O and no clock.
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "data_plane/limits/quota_state_table.h"
#include "data_plane/plans/plan_table.h"

namespace shaletray::plans {

using decision::Allowance;
using limits::QuotaStateTable;

// Totals since the start, apart from open_reservations.
struct PlanServiceStatistics {
    std::uint64_t applied_changes = 0;    // appended to the plan table
    std::uint64_t late_changes = 0;       // received after their effective time
    Duration max_lateness{0};             // largest such delay
    Duration max_delay{0};                // largest time from a change's effective time until it was applied
    std::uint64_t redemptions = 0;        // requests charged to a reservation
    std::uint64_t failed_redemptions = 0;    // requests whose reservation is closed, another customer's or
                                             // used up
    std::size_t open_reservations = 0;       // reservations that may be charged now
};

// Functions with an output vector of allowances append those that the decision module must be given next.
class PlanService {
public:
    // `quota_state_table` must outlive the service. `redeemed_units`: units that this gateway charged to
    // reservations in earlier incarnations, by the reservation's version.
    PlanService(PlanTable plan_table, QuotaStateTable& quota_state_table, TimePoint now,
                std::map<std::uint64_t, double> redeemed_units = {});

    // How a request is charged and billed, for all of its attempts.
    struct PlanDecision {
        CustomerId account{};    // for the decision module: the customer, or its reservation's account
        int plan_index = 0;      // for the decision module
        std::uint64_t plan_version = 0, reservation_version = 0;
    };
    // Decides how a request that arrived is charged. One whose reservation cannot be charged is charged like
    // the customer's other requests.
    PlanDecision decide_plan(CustomerId customer_id, int requested_plan, int first_gateway, int set_size,
                             double units, const std::string& reservation, TimePoint now,
                             std::vector<Allowance>& allowances);
    // The request is about to be sent for the first time: charges its units.
    void record_admission(const PlanDecision& decision, CustomerId customer_id, double units, TimePoint now,
                          std::vector<Allowance>& allowances);
    // The response reported the actual units: the account that was charged at admission is charged
    // `difference` more, see QuotaStateTable::settle_units. The redeemed units of a reservation keep the
    // estimate.
    void settle_units(const PlanDecision& decision, CustomerId customer_id, double difference, TimePoint now);

    // `handler` is called with each new total of a reservation's redeemed units before the attempt is sent,
    // so that it can be persisted.
    void set_redemption_handler(std::function<void(std::uint64_t version, double units)> handler) {
        redemption_handler_ = std::move(handler);
    }

    const PlanTable& plan_table() const { return plan_table_; }
    // Appends the next change, made here or received. Throws InvalidChange.
    void apply_change(const PlanChange& change, TimePoint now);

    // Applies changes that have taken effect by now. To be called at next_deadline(); a change that affects
    // many customers takes several calls.
    void apply_due_effects(TimePoint now, std::vector<Allowance>& changed);
    std::optional<TimePoint> next_deadline() const;

    // Units charged to reservations by this gateway, in this incarnation and earlier ones, by version.
    const std::map<std::uint64_t, double>& redeemed_units() const { return redeemed_units_; }
    PlanServiceStatistics statistics(TimePoint now) const;

private:
    // A customer that the quota table may track, with the plan that its requests name.
    struct KnownCustomer {
        int requested_plan = 0;
    };
    static CustomerId reservation_account(const Reservation& reservation);
    // The customer that a reservation's request is charged to: its account, or its owner once that is closed.
    CustomerId paying_customer(const PlanDecision& decision, CustomerId customer_id) const;
    int define_terms(const EffectivePlan& effective_plan);
    void open_account(const Reservation& reservation, int base_plan);
    limits::CustomerContext customer_context(CustomerId customer_id, int requested_plan, TimePoint now) const;
    void queue_effects(const PlanTable::Effects& effects);
    void process_queue(TimePoint now, std::vector<Allowance>& changed);
    void close_ended_reservation(const std::string& reservation_id, TimePoint now,
                                 std::vector<Allowance>& changed);

    PlanTable plan_table_;
    QuotaStateTable& quota_state_table_;
    TimePoint effects_queued_until_{};    // effects up to this time were queued
    std::map<CustomerId, KnownCustomer> known_customers_;
    std::deque<CustomerId> queued_customers_;    // customers whose plan must be determined again
    std::set<std::string> open_reservations_;    // ids of reservations whose accounts are open
    std::map<std::uint64_t, double> redeemed_units_;
    std::function<void(std::uint64_t, double)> redemption_handler_;
    TimePoint processing_since_{};
    PlanServiceStatistics statistics_;
};

}    // namespace shaletray::plans
