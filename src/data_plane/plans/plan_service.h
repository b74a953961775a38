// Where a request meets the plan book: which plan it is judged under, which account it draws on, and what the
// decisions must know of that. Pure; it holds the book and speaks to the ledger.
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

struct PlanServiceStatistics {
    std::uint64_t applied_changes = 0;       // taken into the book in this life
    std::uint64_t late_changes = 0;          // heard of after their time
    Duration max_lateness{0};                // by how much, at most
    Duration max_delay{0};                   // from a change's time until it was acted on here, at most
    std::uint64_t redemptions = 0;           // tries that drew on a reservation
    std::uint64_t failed_redemptions = 0;    // tries that named one which is not open, not theirs or used up
    std::size_t open_reservations = 0;       // reservations that may be drawn on now
};

class PlanService {
public:
    // `redeemed`: units that this gateway drew on reservations in earlier lives, by version.
    PlanService(PlanTable plan_table, QuotaStateTable& quota_state_table, TimePoint now,
                std::map<std::uint64_t, double> redeemed_units = {});

    // How a request is judged and billed, for all of its attempts.
    struct PlanDecision {
        CustomerId account{};    // the module's customer: the customer, or its reservation's account
        int plan_index = 0;      // the module's
        std::uint64_t plan_version = 0, reservation_version = 0;
    };
    // Appends what the module must be told before the request.
    PlanDecision decide_plan(CustomerId customer_id, int asked_plan, int first_gateway, int set_size,
                             double units, const std::string& reservation, TimePoint now,
                             std::vector<Allowance>& allowances);
    // It is about to be sent for the first time. Appends what others must be told.
    void record_admission(const PlanDecision& decision, CustomerId customer_id, double units, TimePoint now,
                          std::vector<Allowance>& allowances);
    // Its answer told its true units: whoever paid at admission is charged `difference` more, as
    // Ledger::settled. What was redeemed of a reservation stays counted by the guess.
    void settle_units(const PlanDecision& decision, CustomerId customer_id, double difference, TimePoint now);

    // Told of each sum that is raised, before the attempt is sent.
    void set_redemption_handler(std::function<void(std::uint64_t version, double units)> handler) {
        redemption_handler_ = std::move(handler);
    }

    const PlanTable& plan_table() const { return plan_table_; }
    // The next entry of the book, made here or heard of. Throws BadChange.
    void apply_change(const PlanChange& change, TimePoint now);

    // What has taken effect by now; appends what the module must be told. To be called when `next` is due; a
    // large change is carried out in several calls.
    void apply_due_effects(TimePoint now, std::vector<Allowance>& changed);
    std::optional<TimePoint> next_deadline() const;

    // Units drawn on a reservation here, in this life and earlier ones, by its version.
    const std::map<std::uint64_t, double>& redeemed_units() const { return redeemed_units_; }
    PlanServiceStatistics statistics(TimePoint now) const;

private:
    struct KnownCustomer {    // customers that the ledger may track: what their requests said
        int asked_plan = 0;
    };
    static CustomerId reservation_account(const Reservation& reservation);
    // Whose quota pays for a request drawn on a reservation: its account, or its owner once it was closed.
    CustomerId paying_customer(const PlanDecision& decision, CustomerId customer_id) const;
    int define_terms(const EffectivePlan& effective_plan);
    void open_account(const Reservation& reservation, int base_plan);
    limits::CustomerStanding customer_standing(CustomerId customer_id, int asked_plan, TimePoint now) const;
    void queue_effects(const PlanTable::Effects& effects);
    void process_queue(TimePoint now, std::vector<Allowance>& changed);
    void update_reservation(const std::string& reservation_id, TimePoint now,
                            std::vector<Allowance>& changed);

    PlanTable plan_table_;
    QuotaStateTable& quota_state_table_;
    TimePoint effects_queued_until_{};    // effects up to here are queued
    std::map<CustomerId, KnownCustomer> known_customers_;
    std::deque<CustomerId> queued_customers_;    // to be looked at anew
    std::set<std::string> open_reservations_;    // reservations whose accounts are open
    std::map<std::uint64_t, double> redeemed_units_;
    std::function<void(std::uint64_t, double)> redemption_handler_;
    TimePoint processing_since_{};
    PlanServiceStatistics statistics_;
};

}    // namespace shaletray::plans
