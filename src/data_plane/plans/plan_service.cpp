#include "data_plane/plans/plan_service.h"

#include <algorithm>
#include <utility>

namespace shaletray::plans {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kFirstAccountId = 1ULL << 63;    // larger than all customer ids
constexpr std::size_t kMaxCustomersPerCall = 2000;       // bounds the time of one event loop iteration
constexpr std::size_t kMaxKnownCustomers = 200'000;
constexpr double kRoundingTolerance = 1e-9;

}    // namespace

PlanService::PlanService(PlanTable plan_table, QuotaStateTable& quota_state_table, TimePoint now,
                         std::map<std::uint64_t, double> redeemed_units)
    : plan_table_(std::move(plan_table)),
      quota_state_table_(quota_state_table),
      effects_queued_until_(now),
      redeemed_units_(std::move(redeemed_units)) {}

CustomerId PlanService::reservation_account(const Reservation& reservation) {
    return CustomerId{kFirstAccountId | reservation.version};
}

int PlanService::define_terms(const EffectivePlan& effective_plan) {
    if (effective_plan.terms_version > 0 && !quota_state_table_.has_terms(effective_plan.terms_index)) {
        limits::CustomTerms custom_terms;
        custom_terms.plan_settings = plan_table_.platform_plan(effective_plan.base_plan);
        custom_terms.plan_settings.rate = effective_plan.terms.rate;
        custom_terms.plan_settings.burst = effective_plan.terms.burst;
        custom_terms.plan_settings.ceiling_rate = effective_plan.terms.ceiling_rate;
        custom_terms.plan_settings.ceiling_burst = effective_plan.terms.ceiling_burst;
        custom_terms.plan_settings.ceiling_slack = effective_plan.terms.ceiling_slack;
        custom_terms.base_plan = effective_plan.base_plan;
        quota_state_table_.define_terms(effective_plan.terms_index, custom_terms);
    }
    return effective_plan.terms_index;
}

void PlanService::open_account(const Reservation& reservation, int base_plan) {
    const int terms_index = kFirstTableTermsIndex + static_cast<int>(reservation.version);
    open_reservations_.insert(reservation.definition.reservation_id);
    if (quota_state_table_.has_terms(terms_index)) return;
    limits::CustomTerms custom_terms;
    custom_terms.plan_settings = plan_table_.platform_plan(base_plan);
    custom_terms.plan_settings.ceiling_rate = custom_terms.plan_settings.ceiling_burst =
        0.0;    // requests are charged to the owner's rate limit
    custom_terms.plan_settings.burst = reservation.definition.units;
    const bool accumulated_before = reservation.fully_reserved_at <= reservation.definition.starts_at;
    custom_terms.plan_settings.rate = accumulated_before ? 0.0 : reservation.reservation_rate();
    if (!accumulated_before) custom_terms.accrual_starts_at = reservation.starts_at;
    custom_terms.base_plan = base_plan;
    custom_terms.is_account = true;
    custom_terms.owner = reservation.definition.customer;
    if (const auto found = redeemed_units_.find(reservation.version); found != redeemed_units_.end())
        custom_terms.spent_units = found->second;
    quota_state_table_.define_terms(terms_index, custom_terms);
}

limits::CustomerContext PlanService::customer_context(CustomerId customer_id, int requested_plan,
                                                      TimePoint now) const {
    limits::CustomerContext context;
    context.reserved_rate = plan_table_.reserved_rate(customer_id, now);
    if (quota_state_table_.is_tracked(customer_id))
        return context;    // idle levels only initialize buckets, which a tracked customer already has
    const PlanTable::IdleLevels idle = plan_table_.idle_levels(customer_id, requested_plan, now);
    context.idle_quota_units = idle.quota_units;
    context.idle_rate_units = idle.rate_units;
    return context;
}

PlanService::PlanDecision PlanService::decide_plan(CustomerId customer_id, int requested_plan,
                                                   int first_gateway, int set_size, double units,
                                                   const std::string& reservation, TimePoint now,
                                                   std::vector<Allowance>& allowances) {
    apply_due_effects(now, allowances);
    const EffectivePlan effective_plan = plan_table_.effective_plan_for(customer_id, requested_plan, now);
    const int terms_index = define_terms(effective_plan);
    if (known_customers_.size() < kMaxKnownCustomers || known_customers_.contains(customer_id))
        known_customers_[customer_id].requested_plan = requested_plan;
    PlanDecision decision{customer_id, effective_plan.base_plan, effective_plan.terms_version, 0};
    if (const auto allowance =
            quota_state_table_.on_request(customer_id, terms_index, first_gateway, set_size, units, now,
                                          customer_context(customer_id, requested_plan, now)))
        allowances.push_back(*allowance);
    if (reservation.empty()) return decision;
    const Reservation* const found_reservation = plan_table_.find_reservation(reservation);
    if (found_reservation != nullptr && found_reservation->definition.customer == customer_id &&
        found_reservation->is_open(now)) {
        open_account(*found_reservation, effective_plan.base_plan);
        const CustomerId account = reservation_account(*found_reservation);
        const int account_terms = kFirstTableTermsIndex + static_cast<int>(found_reservation->version);
        if (const auto allowance =
                quota_state_table_.on_request(account, account_terms, first_gateway, set_size, units, now)) {
            if (quota_state_table_.quota_level(account, now) >= units - kRoundingTolerance) {
                allowances.push_back(*allowance);
                decision.account = account;
                decision.reservation_version = found_reservation->version;
                return decision;
            }
        }
    }
    // The request is charged like the customer's other requests.
    ++statistics_.failed_redemptions;
    return decision;
}

void PlanService::record_admission(const PlanDecision& decision, CustomerId customer_id, double units,
                                   TimePoint now, std::vector<Allowance>& allowances) {
    if (decision.reservation_version == 0) {
        quota_state_table_.record_admission(customer_id, units, now);
        // The accounts of the customer's reservations share its rate limit.
        for (const Reservation* reservation : plan_table_.customer_reservations(customer_id)) {
            if (!open_reservations_.contains(reservation->definition.reservation_id)) continue;
            if (const auto refreshed =
                    quota_state_table_.refresh_allowance(reservation_account(*reservation), now))
                allowances.push_back(*refreshed);
        }
        return;
    }
    ++statistics_.redemptions;
    const double total_redeemed = redeemed_units_[decision.reservation_version] += units;
    if (redemption_handler_) redemption_handler_(decision.reservation_version, total_redeemed);
    quota_state_table_.record_admission(paying_customer(decision, customer_id), units, now);
    if (const auto refreshed = quota_state_table_.refresh_allowance(customer_id, now))
        allowances.push_back(*refreshed);
}

void PlanService::settle_units(const PlanDecision& decision, CustomerId customer_id, double difference,
                               TimePoint now) {
    quota_state_table_.settle_units(
        decision.reservation_version == 0 ? customer_id : paying_customer(decision, customer_id), difference,
        now);
}

// If the account was closed meanwhile, its remaining units were returned to its owner, which is charged then.
CustomerId PlanService::paying_customer(const PlanDecision& decision, CustomerId customer_id) const {
    return open_reservations_.contains(plan_table_.reservation_name(decision.reservation_version))
               ? decision.account
               : customer_id;
}

void PlanService::apply_change(const PlanChange& change, TimePoint now) {
    plan_table_.append(change);
    ++statistics_.applied_changes;
    if (change.effective_at > effects_queued_until_)
        return;    // takes effect later, by the plan table's schedule
    ++statistics_.late_changes;
    statistics_.max_lateness = std::max(statistics_.max_lateness, now - change.effective_at);
    queue_effects(plan_table_.effects_of(change));
}

void PlanService::queue_effects(const PlanTable::Effects& effects) {
    for (const CustomerId customer_id : effects.customers) queued_customers_.push_back(customer_id);
    if (effects.plans.empty()) return;
    // A customer may have the plan by assignment, by request or as a successor, so the plans of all tracked
    // customers are determined again.
    for (const CustomerId customer_id : quota_state_table_.tracked_customers()) {
        if ((static_cast<std::uint64_t>(customer_id) & kFirstAccountId) == 0)
            queued_customers_.push_back(customer_id);
    }
}

void PlanService::close_ended_reservation(const std::string& reservation_id, TimePoint now,
                                          std::vector<Allowance>& changed) {
    const Reservation* const reservation = plan_table_.find_reservation(reservation_id);
    if (reservation == nullptr || reservation->is_open(now) || !open_reservations_.erase(reservation_id))
        return;
    if (const auto allowance = quota_state_table_.close_account(reservation_account(*reservation), now))
        changed.push_back(*allowance);
}

void PlanService::apply_due_effects(TimePoint now, std::vector<Allowance>& changed) {
    if (now > effects_queued_until_) {
        const PlanTable::Effects effects = plan_table_.effects_between(effects_queued_until_, now);
        if (!effects.empty()) {
            if (queued_customers_.empty())
                processing_since_ = plan_table_.next_effect_after(effects_queued_until_).value_or(now);
            queue_effects(effects);
        }
        effects_queued_until_ = now;
        for (const std::string& reservation_id : effects.reservations)
            close_ended_reservation(reservation_id, now, changed);
    }
    process_queue(now, changed);
}

void PlanService::process_queue(TimePoint now, std::vector<Allowance>& changed) {
    if (queued_customers_.empty()) return;
    for (std::size_t index = 0; index < kMaxCustomersPerCall && !queued_customers_.empty(); ++index) {
        const CustomerId customer_id = queued_customers_.front();
        queued_customers_.pop_front();
        const auto found = known_customers_.find(customer_id);
        if (found == known_customers_.end()) continue;
        const int terms_index =
            define_terms(plan_table_.effective_plan_for(customer_id, found->second.requested_plan, now));
        if (const auto allowance = quota_state_table_.set_plan(
                customer_id, terms_index, plan_table_.reserved_rate(customer_id, now), now))
            changed.push_back(*allowance);
    }
    if (queued_customers_.empty() && processing_since_ != TimePoint{}) {
        statistics_.max_delay = std::max(statistics_.max_delay, now - processing_since_);
        processing_since_ = {};
    }
    if (known_customers_.size() >=
        kMaxKnownCustomers) {    // drops those that the quota table no longer tracks
        std::set<CustomerId> tracked;
        for (const CustomerId customer_id : quota_state_table_.tracked_customers())
            tracked.insert(customer_id);
        std::erase_if(known_customers_, [&](const auto& known) { return !tracked.contains(known.first); });
    }
}

std::optional<TimePoint> PlanService::next_deadline() const {
    if (!queued_customers_.empty()) return effects_queued_until_;
    return plan_table_.next_effect_after(effects_queued_until_);
}

PlanServiceStatistics PlanService::statistics(TimePoint now) const {
    PlanServiceStatistics totals = statistics_;
    for (const std::string& reservation_id : open_reservations_)
        totals.open_reservations += plan_table_.find_reservation(reservation_id)->is_open(now);
    return totals;
}

}    // namespace shaletray::plans
