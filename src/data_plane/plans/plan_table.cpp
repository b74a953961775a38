#include "data_plane/plans/plan_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace shaletray::plans {
namespace {

using namespace std::chrono_literals;

constexpr double kMaxValue = 1e9;
constexpr std::size_t kMaxNameLength = 64;
constexpr int kMaxSuccessors = 8;
constexpr double kRoundingTolerance = 1e-9;
constexpr Duration kFullRefillTime = 1h;         // any bucket is assumed to be full after this time
constexpr std::size_t kMaxRefillChanges = 64;    // scheduled changes over which a refill is computed

double to_seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

bool is_valid_name(const std::string& name) {
    return !name.empty() && name.size() <= kMaxNameLength &&
           std::all_of(name.begin(), name.end(), [](unsigned char character) {
               return std::isalnum(character) != 0 || character == '-' || character == '_' ||
                      character == '.';
           });
}

ChangeRejection reject_change(ChangeRejection::Reason reason, std::string text) {
    return {reason, std::move(text), 0, {}, std::nullopt};
}

}    // namespace

const char* reason_name(ChangeRejection::Reason reason) {
    switch (reason) {
        case ChangeRejection::Reason::Stale: return "stale";
        case ChangeRejection::Reason::Unknown: return "unknown";
        case ChangeRejection::Reason::Invalid: return "wrong";
        case ChangeRejection::Reason::Closed: return "closed";
        case ChangeRejection::Reason::OverCapacity: return "too much";
        case ChangeRejection::Reason::TooFarAhead: return "too far";
        case ChangeRejection::Reason::Full: return "full";
    }
    return "?";
}

double Reservation::reservation_rate() const {
    return definition.units / std::max(1e-6, to_seconds(fully_reserved_at - starts_at));
}

double Reservation::reserved_units(TimePoint time) const {
    if (time <= starts_at) return 0.0;
    const TimePoint until = std::min({time, fully_reserved_at, ends_at});
    return until <= starts_at ? 0.0
                              : definition.units * to_seconds(until - starts_at) /
                                    std::max(1e-6, to_seconds(fully_reserved_at - starts_at));
}

PlanTable::PlanTable(PlanTableSettings settings) : settings_(std::move(settings)) {
    using decision::BadSettings;
    if (settings_.platform_plans.empty()) throw BadSettings("plan table: no plans");
    if (settings_.platform_plans.size() > static_cast<std::size_t>(kFirstTableTermsIndex))
        throw BadSettings("plan table: too many plans");
    if (settings_.lead_time < Duration(0)) throw BadSettings("plan table: lead must not be negative");
    if (!(settings_.max_reserved_fraction >= 0.0 && settings_.max_reserved_fraction < 1.0))
        throw BadSettings("plan table: most_carved must be 0 to below 1");
}

int PlanTable::find_platform_plan(const std::string& plan) const {
    for (std::size_t index = 0; index < settings_.platform_plans.size(); ++index)
        if (settings_.platform_plans[index].name == plan) return static_cast<int>(index);
    return -1;
}

bool PlanTable::is_known_plan(const std::string& plan) const {
    return find_platform_plan(plan) >= 0 || plans_.contains(plan);
}

bool PlanTable::is_withdrawn(const std::string& plan, TimePoint time) const {
    const auto found = plans_.find(plan);
    if (found == plans_.end()) return false;
    const auto* entry = found->second.effective_at(time);
    return entry != nullptr && std::holds_alternative<WithdrawPlan>(entry->value);
}

std::uint64_t PlanTable::subject_version(const std::string& subject) const {
    const auto found = subject_versions_.find(subject);
    return found == subject_versions_.end() ? 0 : found->second;
}

// ---- effective state ----

std::optional<EffectivePlan> PlanTable::resolve_terms(const std::string& plan, TimePoint time,
                                                      int depth) const {
    const int index = find_platform_plan(plan);
    const auto found = plans_.find(plan);
    if (found != plans_.end()) {
        if (const auto* current = found->second.effective_at(time)) {
            const auto* withdrawn = std::get_if<WithdrawPlan>(&current->value);
            if (withdrawn != nullptr && !withdrawn->successor.empty() && depth < kMaxSuccessors) {
                if (auto successor_terms = resolve_terms(withdrawn->successor, time, depth + 1))
                    return successor_terms;
            }
        }
        // The newest terms in effect; a withdrawal has none of its own.
        const auto& entries = found->second.entries;
        for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry) {
            const auto* defined = std::get_if<DefinePlan>(&entry->value);
            if (entry->effective_at > time || defined == nullptr) continue;
            return EffectivePlan{kFirstTableTermsIndex + static_cast<int>(entry->version),
                                 find_platform_plan(defined->base_plan),
                                 defined->terms,
                                 plan,
                                 entry->version,
                                 0};
        }
    }
    if (index < 0) return std::nullopt;
    const decision::PlanSettings& plan_settings = settings_.platform_plans[static_cast<std::size_t>(index)];
    return EffectivePlan{index,
                         index,
                         {plan_settings.rate, plan_settings.burst, plan_settings.ceiling_rate,
                          plan_settings.ceiling_burst, plan_settings.ceiling_slack},
                         plan,
                         0,
                         0};
}

std::string PlanTable::assigned_plan_name(CustomerId customer_id, TimePoint time) const {
    const auto found = customers_.find(customer_id);
    if (found == customers_.end()) return {};
    const auto* entry = found->second.effective_at(time);
    return entry == nullptr ? std::string() : entry->value;
}

EffectivePlan PlanTable::effective_plan_for(CustomerId customer_id, int requested_plan,
                                            TimePoint time) const {
    if (settings_.table_overrides_request) {
        const auto found = customers_.find(customer_id);
        const auto* entry = found == customers_.end() ? nullptr : found->second.effective_at(time);
        if (entry != nullptr && !entry->value.empty()) {
            if (auto terms = resolve_terms(entry->value, time)) {
                terms->assignment_version = entry->version;
                return *terms;
            }
        }
    }
    return *resolve_terms(settings_.platform_plans.at(static_cast<std::size_t>(requested_plan)).name, time);
}

double PlanTable::reserved_rate(CustomerId customer_id, TimePoint time) const {
    const auto found = reservations_by_customer_.find(customer_id);
    if (found == reservations_by_customer_.end()) return 0.0;
    double rate = 0.0;
    for (const std::string& reservation_id : found->second) {
        const Reservation& reservation = reservations_.at(reservation_id);
        if (reservation.is_accumulating(time)) rate += reservation.reservation_rate();
    }
    return rate;
}

const Reservation* PlanTable::find_reservation(const std::string& reservation_id) const {
    const auto found = reservations_.find(reservation_id);
    return found == reservations_.end() ? nullptr : &found->second;
}

std::string PlanTable::reservation_name(std::uint64_t version) const {
    if (version == 0 || version > change_log_.size()) return {};
    const auto* reservation = std::get_if<MakeReservation>(&change_log_[version - 1].body);
    return reservation == nullptr ? std::string() : reservation->reservation_id;
}

PlanTable::IdleLevels PlanTable::idle_levels(CustomerId customer_id, int requested_plan,
                                             TimePoint time) const {
    auto change_time = schedule_.upper_bound(time);
    if (change_time == schedule_.begin()) return {};
    if (time - std::prev(change_time)->first > kFullRefillTime) return {};
    for (std::size_t index = 0; index < kMaxRefillChanges && change_time != schedule_.begin() &&
                                time - std::prev(change_time)->first <= kFullRefillTime;
         ++index)
        --change_time;
    // Starts just before the first of these changes and refills as the buckets do at each change.
    EffectivePlan effective_plan = effective_plan_for(customer_id, requested_plan, change_time->first - 1us);
    IdleLevels levels{effective_plan.terms.burst, effective_plan.terms.ceiling_burst};
    const auto refill = [&](TimePoint from, TimePoint to) {
        const double rate = std::max(0.0, effective_plan.terms.rate - reserved_rate(customer_id, from));
        levels.quota_units =
            std::min(effective_plan.terms.burst, levels.quota_units + rate * to_seconds(to - from));
        levels.rate_units =
            std::min(effective_plan.terms.ceiling_burst,
                     levels.rate_units + effective_plan.terms.ceiling_rate * to_seconds(to - from));
    };
    for (; change_time != schedule_.end() && change_time->first <= time; ++change_time) {
        effective_plan = effective_plan_for(customer_id, requested_plan, change_time->first);
        const auto next = std::next(change_time);
        refill(change_time->first, next == schedule_.end() ? time : std::min(time, next->first));
    }
    return levels;
}

std::vector<const Reservation*> PlanTable::customer_reservations(CustomerId customer_id) const {
    std::vector<const Reservation*> result;
    if (const auto found = reservations_by_customer_.find(customer_id);
        found != reservations_by_customer_.end())
        for (const std::string& reservation_id : found->second)
            result.push_back(&reservations_.at(reservation_id));
    return result;
}

std::vector<std::string> PlanTable::plan_names() const {
    std::vector<std::string> names;
    for (const auto& plan_settings : settings_.platform_plans) names.push_back(plan_settings.name);
    for (const auto& [name, versions] : plans_)
        if (find_platform_plan(name) < 0) names.push_back(name);
    return names;
}

std::size_t PlanTable::customer_count(const std::string& plan, TimePoint time) const {
    std::size_t count = 0;
    for (const auto& [id, versions] : customers_) {
        const auto* entry = versions.effective_at(time);
        count += entry != nullptr && entry->value == plan;
    }
    return count;
}

// ---- proposals ----

std::variant<PlanChange, ChangeRejection> PlanTable::validate_proposal(const ChangeProposal& proposal,
                                                                       TimePoint now) const {
    using RejectionReason = ChangeRejection::Reason;
    if (!proposal.request_key.empty()) {
        if (const auto found = versions_by_request_.find(proposal.request_key);
            found != versions_by_request_.end()) {
            const PlanChange& previous_change = change_log_[found->second - 1];
            if (previous_change.body == proposal.body &&
                previous_change.expected_version == proposal.expected_version)
                return previous_change;
            return reject_change(RejectionReason::Invalid,
                                 fmt::format("request: {} was already used for version {}, which is "
                                             "another change",
                                             proposal.request_key, previous_change.version));
        }
    }
    if (proposal.author.empty() || proposal.author.size() > 256)
        return reject_change(RejectionReason::Invalid, "author: expected 1 to 256 bytes");
    if (proposal.note.size() > 1024)
        return reject_change(RejectionReason::Invalid, "note: expected at most 1024 bytes");
    if (proposal.request_key.size() > 128)
        return reject_change(RejectionReason::Invalid, "request: expected at most 128 bytes");
    const std::string subject = subject_of(proposal.body);
    if (const std::uint64_t latest = subject_version(subject); latest != proposal.expected_version) {
        const std::string last_author = latest == 0 ? std::string() : change_log_[latest - 1].author;
        ChangeRejection stale_rejection = reject_change(
            RejectionReason::Stale,
            latest == 0
                ? fmt::format("{} has no version yet; the proposal is based on version {}", subject,
                              proposal.expected_version)
                : fmt::format("{} is at version {}, made by {} at {}; the proposal is based on version {}",
                              subject, latest, last_author, format_time(change_log_[latest - 1].made_at),
                              proposal.expected_version));
        stale_rejection.latest_version = latest;
        stale_rejection.latest_author = last_author;
        return stale_rejection;
    }
    PlanChange change;
    change.version = version() + 1;
    change.expected_version = proposal.expected_version;
    change.made_at = now;
    // A change takes effect no earlier than all gateways can have received it.
    change.effective_at = std::max(proposal.effective_at.value_or(now), now + settings_.lead_time);
    if (change.effective_at > now + settings_.max_lead_time)
        return reject_change(RejectionReason::TooFarAhead, "at: the effective time is too far ahead");
    change.author = proposal.author;
    change.note = proposal.note;
    change.request_key = proposal.request_key;
    change.body = proposal.body;
    change.chain_hash = plans::chain_hash(chain_hash(), change);
    if (auto rejection =
            std::visit([&](const auto& body) { return check_body(body, change.effective_at); }, change.body))
        return *rejection;
    if (auto rejection = check_reserved_total(change)) return *rejection;
    return change;
}

std::optional<ChangeRejection> PlanTable::check_body(const DefinePlan& definition, TimePoint) const {
    using RejectionReason = ChangeRejection::Reason;
    if (!is_valid_name(definition.plan_name))
        return reject_change(RejectionReason::Invalid,
                             "plan: expected 1 to 64 letters, digits, '-', '_', '.'");
    const int base_index = find_platform_plan(definition.base_plan);
    if (base_index < 0)
        return reject_change(RejectionReason::Unknown,
                             fmt::format("like: the platform has no plan \"{}\"", definition.base_plan));
    if (const int own_index = find_platform_plan(definition.plan_name);
        own_index >= 0 && own_index != base_index)
        return reject_change(RejectionReason::Invalid,
                             fmt::format("like: the platform's own plan {} can only be based on itself",
                                         definition.plan_name));
    const PlanTerms& new_terms = definition.terms;
    const decision::PlanSettings& base_plan_settings =
        settings_.platform_plans[static_cast<std::size_t>(base_index)];
    const auto is_valid_value = [](double value) {
        return std::isfinite(value) && value >= 0.0 && value <= kMaxValue;
    };
    if (!is_valid_value(new_terms.rate) || !is_valid_value(new_terms.burst) ||
        !is_valid_value(new_terms.ceiling_rate) || !is_valid_value(new_terms.ceiling_burst) ||
        !is_valid_value(new_terms.ceiling_slack))
        return reject_change(RejectionReason::Invalid, "rates and bursts must be 0 to 1e9");
    // The decision module ignores limits that the base plan does not have.
    if ((new_terms.rate > 0.0) != (base_plan_settings.rate > 0.0) ||
        (new_terms.rate > 0.0) != (new_terms.burst > 0.0))
        return reject_change(
            RejectionReason::Invalid,
            fmt::format("rate, burst: expected both {}, as {} has them",
                        base_plan_settings.rate > 0.0 ? "above 0" : "0", definition.base_plan));
    if ((new_terms.ceiling_rate > 0.0) != (base_plan_settings.ceiling_rate > 0.0) ||
        (new_terms.ceiling_rate > 0.0) != (new_terms.ceiling_burst > 0.0))
        return reject_change(
            RejectionReason::Invalid,
            fmt::format("ceiling_rate, ceiling_burst: expected both {}, as {} has them",
                        base_plan_settings.ceiling_rate > 0.0 ? "above 0" : "0", definition.base_plan));
    if (new_terms.ceiling_rate > 0.0 && new_terms.ceiling_rate < new_terms.rate)
        return reject_change(RejectionReason::Invalid,
                             "ceiling_rate: expected the rate of the quota or more");
    if (!is_known_plan(definition.plan_name) && plans_.size() >= settings_.max_plans)
        return reject_change(RejectionReason::Full,
                             fmt::format("the plan table is full with {} plans", settings_.max_plans));
    return std::nullopt;
}

std::optional<ChangeRejection> PlanTable::check_body(const WithdrawPlan& withdrawal,
                                                     TimePoint effective_at) const {
    using RejectionReason = ChangeRejection::Reason;
    if (!is_known_plan(withdrawal.plan))
        return reject_change(RejectionReason::Unknown,
                             fmt::format("plan: there is no plan \"{}\"", withdrawal.plan));
    if (withdrawal.successor.empty()) return std::nullopt;
    // The chain of successors must end at a plan that is not withdrawn.
    std::string successor = withdrawal.successor;
    for (int depth = 0; depth < kMaxSuccessors; ++depth) {
        if (!is_known_plan(successor))
            return reject_change(RejectionReason::Unknown,
                                 fmt::format("successor: there is no plan \"{}\"", successor));
        if (successor == withdrawal.plan)
            return reject_change(RejectionReason::Invalid,
                                 "successor: the chain of successors leads back to the plan itself");
        const auto found = plans_.find(successor);
        const WithdrawPlan* next_withdrawal = nullptr;
        if (found != plans_.end())
            next_withdrawal = std::get_if<WithdrawPlan>(&found->second.entries.back().value);
        if (next_withdrawal == nullptr) {
            if (is_withdrawn(successor, effective_at))
                return reject_change(RejectionReason::Closed,
                                     fmt::format("successor: {} is withdrawn", successor));
            return std::nullopt;
        }
        if (next_withdrawal->successor.empty())
            return reject_change(RejectionReason::Closed,
                                 fmt::format("successor: {} is withdrawn", successor));
        successor = next_withdrawal->successor;
    }
    return reject_change(RejectionReason::Invalid, "successor: too many successors in a row");
}

std::optional<ChangeRejection> PlanTable::check_body(const AssignPlan& assignment,
                                                     TimePoint effective_at) const {
    using RejectionReason = ChangeRejection::Reason;
    if (!customers_.contains(assignment.customer) && customers_.size() >= settings_.max_customers)
        return reject_change(RejectionReason::Full, fmt::format("the plan table is full with {} customers",
                                                                settings_.max_customers));
    if (assignment.plan.empty()) return std::nullopt;
    if (!is_known_plan(assignment.plan))
        return reject_change(RejectionReason::Unknown,
                             fmt::format("plan: there is no plan \"{}\"", assignment.plan));
    if (!resolve_terms(assignment.plan, effective_at))
        return reject_change(
            RejectionReason::Unknown,
            fmt::format("plan: \"{}\" has no terms yet at {}", assignment.plan, format_time(effective_at)));
    if (is_withdrawn(assignment.plan, effective_at))
        return reject_change(RejectionReason::Closed, fmt::format("plan: {} is withdrawn", assignment.plan));
    return std::nullopt;
}

Reservation PlanTable::make_reservation(const MakeReservation& definition, TimePoint effective_at,
                                        std::uint64_t version) {
    // Units accumulate before the window if there is time, else during it.
    return {definition, version, effective_at,
            effective_at < definition.starts_at ? definition.starts_at : definition.ends_at,
            definition.ends_at};
}

std::string PlanTable::reservation_plan(const MakeReservation& reservation, TimePoint time) const {
    const std::string assigned_plan = assigned_plan_name(reservation.customer, time);
    return assigned_plan.empty() ? reservation.plan : assigned_plan;
}

// The times at which the available or the reserved rate may change while a reservation accumulates.
std::vector<TimePoint> PlanTable::rate_change_times(const Reservation& reservation) const {
    std::vector<TimePoint> times{reservation.starts_at};
    for (auto found = schedule_.upper_bound(reservation.starts_at);
         found != schedule_.end() && found->first < reservation.fully_reserved_at; ++found)
        times.push_back(found->first);
    return times;
}

// Units per second that may still be reserved during all of the candidate's accumulation, given all other
// reservations except `excluded_id`.
double PlanTable::available_rate(const Reservation& candidate, const std::string& excluded_id) const {
    double min_available = kMaxValue;
    for (const TimePoint time : rate_change_times(candidate)) {
        const auto plan_rate = [&](const MakeReservation& reservation) {
            const auto terms = resolve_terms(reservation_plan(reservation, time), time);
            return terms ? terms->terms.rate : 0.0;
        };
        // Without an assigned plan each reservation names its own, so all must fit into the smallest rate.
        double other_reserved = 0.0, lowest_plan_rate = plan_rate(candidate.definition);
        for (const Reservation* other : customer_reservations(candidate.definition.customer)) {
            if (other->definition.reservation_id == excluded_id || !other->is_accumulating(time)) continue;
            other_reserved += other->reservation_rate();
            lowest_plan_rate = std::min(lowest_plan_rate, plan_rate(other->definition));
        }
        min_available =
            std::min(min_available, lowest_plan_rate * settings_.max_reserved_fraction - other_reserved);
    }
    return std::max(0.0, min_available);
}

std::optional<ChangeRejection> PlanTable::check_body(const MakeReservation& reservation,
                                                     TimePoint effective_at) const {
    using RejectionReason = ChangeRejection::Reason;
    if (!is_valid_name(reservation.reservation_id))
        return reject_change(RejectionReason::Invalid, "id: expected 1 to 64 letters, digits, '-', '_', '.'");
    if (reservations_.contains(reservation.reservation_id))
        return reject_change(
            RejectionReason::Invalid,
            fmt::format("id: {} was used before; ids cannot be reused", reservation.reservation_id));
    if (!(std::isfinite(reservation.units) && reservation.units > 0.0 && reservation.units <= kMaxValue))
        return reject_change(RejectionReason::Invalid, "units: expected more than 0, and at most 1e9");
    if (reservation.ends_at <= reservation.starts_at)
        return reject_change(RejectionReason::Invalid, "until: expected a time after from");
    if (reservation.ends_at <= effective_at)
        return reject_change(RejectionReason::Invalid,
                             "until: the window ends before the change takes effect");
    if (reservation.ends_at > effective_at + settings_.max_lead_time)
        return reject_change(RejectionReason::TooFarAhead, "until: the window is too far ahead");
    if (!reservation.plan.empty() && !is_known_plan(reservation.plan))
        return reject_change(RejectionReason::Unknown,
                             fmt::format("plan: there is no plan \"{}\"", reservation.plan));
    if (reservation_plan(reservation, effective_at).empty())
        return reject_change(RejectionReason::Invalid,
                             "plan: the customer has no assigned plan, so name the plan whose quota is used");
    if (reservations_.size() >= settings_.max_reservations)
        return reject_change(RejectionReason::Full, fmt::format("the plan table is full with {} reservations",
                                                                settings_.max_reservations));
    std::size_t active_count = 0;
    for (const Reservation* other : customer_reservations(reservation.customer))
        active_count += other->ends_at > effective_at;
    if (active_count >= settings_.max_reservations_per_customer)
        return reject_change(RejectionReason::Full,
                             fmt::format("this customer has {} reservations already", active_count));
    const Reservation candidate = make_reservation(reservation, effective_at, 0);
    const double available_units =
        available_rate(candidate, {}) * to_seconds(candidate.fully_reserved_at - candidate.starts_at);
    if (reservation.units > available_units * (1.0 + kRoundingTolerance)) {
        ChangeRejection rejection =
            reject_change(RejectionReason::OverCapacity,
                          fmt::format("units: {} cannot be reserved from {} until {}; {:.3f} would fit",
                                      reservation.units, format_time(candidate.starts_at),
                                      format_time(candidate.fully_reserved_at), available_units));
        rejection.max_acceptable = available_units;
        return rejection;
    }
    return std::nullopt;
}

std::optional<ChangeRejection> PlanTable::check_body(const ReleaseReservation& reservation,
                                                     TimePoint effective_at) const {
    const Reservation* const existing = find_reservation(reservation.reservation_id);
    if (existing == nullptr)
        return reject_change(ChangeRejection::Reason::Unknown,
                             fmt::format("id: there is no reservation \"{}\"", reservation.reservation_id));
    if (existing->ends_at <= effective_at)
        return reject_change(
            ChangeRejection::Reason::Closed,
            fmt::format("id: {} ends before the change takes effect", reservation.reservation_id));
    return std::nullopt;
}

// No change may reduce a rate below what its reservations need.
std::optional<ChangeRejection> PlanTable::check_reserved_total(const PlanChange& change) const {
    if (reservations_.empty() || std::holds_alternative<MakeReservation>(change.body) ||
        std::holds_alternative<ReleaseReservation>(change.body))
        return std::nullopt;
    const auto* assignment = std::get_if<AssignPlan>(&change.body);
    std::vector<const Reservation*> affected;
    for (const auto& [id, reservation] : reservations_) {
        if (reservation.ends_at <= change.effective_at ||
            reservation.fully_reserved_at <= change.effective_at)
            continue;
        if (assignment == nullptr || reservation.definition.customer == assignment->customer)
            affected.push_back(&reservation);
    }
    if (affected.empty()) return std::nullopt;
    // Copy of the table after the change, limited to what the checks below read.
    PlanTable table_after{settings_};
    table_after.plans_ = plans_;
    table_after.schedule_ = schedule_;
    for (const Reservation* reservation : affected) {
        table_after.reservations_[reservation->definition.reservation_id] = *reservation;
        table_after.reservations_by_customer_[reservation->definition.customer].push_back(
            reservation->definition.reservation_id);
        if (const auto found = customers_.find(reservation->definition.customer); found != customers_.end())
            table_after.customers_[reservation->definition.customer] = found->second;
    }
    table_after.apply_entry(change);
    for (const Reservation* reservation : affected) {
        Reservation remaining = *reservation;
        remaining.starts_at = std::max(reservation->starts_at, change.effective_at);
        if (reservation->reservation_rate() >
            table_after.available_rate(remaining, reservation->definition.reservation_id) *
                (1.0 + kRoundingTolerance)) {
            return reject_change(
                ChangeRejection::Reason::OverCapacity,
                fmt::format("the remaining rate would not cover the reservation {} of customer {}; "
                            "release it first",
                            reservation->definition.reservation_id,
                            format_customer(reservation->definition.customer)));
        }
    }
    return std::nullopt;
}

// ---- entries ----

void PlanTable::append(const PlanChange& change) {
    validate_entry(change);
    apply_entry(change);
}

void PlanTable::validate_entry(const PlanChange& change) const {
    if (change.version != version() + 1)
        throw InvalidChange(fmt::format("version {} does not follow version {}", change.version, version()));
    if (change.chain_hash != plans::chain_hash(chain_hash(), change))
        throw InvalidChange(fmt::format("version {} belongs to another change log", change.version));
    if (change.expected_version != subject_version(subject_of(change.body)))
        throw InvalidChange(
            fmt::format("version {} is based on version {}", change.version, change.expected_version));
    if (const auto rejection =
            std::visit([&](const auto& body) { return check_body(body, change.effective_at); }, change.body);
        rejection && rejection->reason != ChangeRejection::Reason::OverCapacity &&
        rejection->reason != ChangeRejection::Reason::TooFarAhead)
        throw InvalidChange(fmt::format("version {}: {}", change.version, rejection->text));
}

void PlanTable::apply_entry(const PlanChange& change) {
    const std::string subject = subject_of(change.body);
    change_log_.push_back(change);
    subject_versions_[subject] = change.version;
    if (!change.request_key.empty()) versions_by_request_[change.request_key] = change.version;
    schedule_.emplace(change.effective_at, subject);
    if (const auto* definition = std::get_if<DefinePlan>(&change.body)) {
        plans_[definition->plan_name].entries.push_back({change.version, change.effective_at, *definition});
    } else if (const auto* withdrawal = std::get_if<WithdrawPlan>(&change.body)) {
        plans_[withdrawal->plan].entries.push_back({change.version, change.effective_at, *withdrawal});
    } else if (const auto* assignment = std::get_if<AssignPlan>(&change.body)) {
        customers_[assignment->customer].entries.push_back(
            {change.version, change.effective_at, assignment->plan});
    } else if (const auto* reservation = std::get_if<MakeReservation>(&change.body)) {
        const Reservation created = make_reservation(*reservation, change.effective_at, change.version);
        reservations_[reservation->reservation_id] = created;
        reservations_by_customer_[reservation->customer].push_back(reservation->reservation_id);
        for (const TimePoint time :
             {created.definition.starts_at, created.fully_reserved_at, created.ends_at})
            if (time != change.effective_at) schedule_.emplace(time, subject);
    } else if (const auto* release = std::get_if<ReleaseReservation>(&change.body)) {
        Reservation& released = reservations_.at(release->reservation_id);
        released.ends_at = std::min(released.ends_at, change.effective_at);
    }
}

bool PlanTable::matches_latest(const ChangeBody& body) const {
    const std::uint64_t latest_version = subject_version(subject_of(body));
    if (latest_version > 0) return change_log_[latest_version - 1].body == body;
    // Without an entry the platform's plans are unchanged, and customers have no assigned plan.
    if (const auto* definition = std::get_if<DefinePlan>(&body)) {
        const int platform_index = find_platform_plan(definition->plan_name);
        if (platform_index < 0) return false;
        const decision::PlanSettings& plan_settings =
            settings_.platform_plans[static_cast<std::size_t>(platform_index)];
        return definition->terms == PlanTerms{plan_settings.rate, plan_settings.burst,
                                              plan_settings.ceiling_rate, plan_settings.ceiling_burst,
                                              plan_settings.ceiling_slack};
    }
    const auto* assignment = std::get_if<AssignPlan>(&body);
    return assignment != nullptr && assignment->plan.empty();
}

PlanTable::Effects PlanTable::effects_of(const PlanChange& change) const {
    Effects effects;
    const auto add_reservation = [&](const std::string& reservation_id) {
        if (const Reservation* reservation = find_reservation(reservation_id))
            effects.customers.insert(reservation->definition.customer);
        effects.reservations.insert(reservation_id);
    };
    if (const auto* definition = std::get_if<DefinePlan>(&change.body))
        effects.plans.insert(definition->plan_name);
    else if (const auto* withdrawal = std::get_if<WithdrawPlan>(&change.body))
        effects.plans.insert(withdrawal->plan);
    else if (const auto* assignment = std::get_if<AssignPlan>(&change.body))
        effects.customers.insert(assignment->customer);
    else if (const auto* reservation = std::get_if<MakeReservation>(&change.body))
        add_reservation(reservation->reservation_id);
    else if (const auto* release = std::get_if<ReleaseReservation>(&change.body))
        add_reservation(release->reservation_id);
    return effects;
}

PlanTable::Effects PlanTable::effects_between(TimePoint from, TimePoint to) const {
    Effects effects;
    for (auto found = schedule_.upper_bound(from); found != schedule_.end() && found->first <= to; ++found) {
        const Effects subject_effects = effects_of(change_log_[subject_version(found->second) - 1]);
        effects.plans.insert(subject_effects.plans.begin(), subject_effects.plans.end());
        effects.customers.insert(subject_effects.customers.begin(), subject_effects.customers.end());
        effects.reservations.insert(subject_effects.reservations.begin(), subject_effects.reservations.end());
    }
    return effects;
}

std::optional<TimePoint> PlanTable::next_effect_after(TimePoint time) const {
    const auto found = schedule_.upper_bound(time);
    if (found == schedule_.end()) return std::nullopt;
    return found->first;
}

}    // namespace shaletray::plans
