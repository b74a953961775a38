#include "data_plane/plans/plan_table.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace shaletray::plans {
namespace {

using namespace std::chrono_literals;

constexpr double kMaxFigure = 1e9;
constexpr std::size_t kMaxNameLength = 64;
constexpr int kMaxSuccessors = 8;
constexpr double kRoundingTolerance = 1e-9;
constexpr Duration kFullRefillTime = 1h;         // after which any bucket is assumed to be full
constexpr std::size_t kMaxRefillChanges = 64;    // changes of a rate that are followed up to then

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
    if (settings_.platform_plans.empty()) throw BadSettings("plan book: no plans");
    if (settings_.platform_plans.size() > static_cast<std::size_t>(kFirstTableTerms))
        throw BadSettings("plan book: too many plans");
    if (settings_.lead_time < Duration(0)) throw BadSettings("plan book: negative lead");
    if (!(settings_.max_reserved_fraction >= 0.0 && settings_.max_reserved_fraction < 1.0))
        throw BadSettings("plan book: most_carved must be 0 to below 1");
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
            const auto* gone = std::get_if<WithdrawPlan>(&current->value);
            if (gone != nullptr && !gone->successor.empty() && depth < kMaxSuccessors) {
                if (auto successor_terms = resolve_terms(gone->successor, time, depth + 1))
                    return successor_terms;
            }
        }
        // The newest terms in effect; a withdrawal has none of its own.
        const auto& entries = found->second.entries;
        for (auto entry = entries.rbegin(); entry != entries.rend(); ++entry) {
            const auto* defined = std::get_if<DefinePlan>(&entry->value);
            if (entry->effective_at > time || defined == nullptr) continue;
            return EffectivePlan{kFirstTableTerms + static_cast<int>(entry->version),
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

EffectivePlan PlanTable::effective_plan_for(CustomerId customer_id, int asked_plan, TimePoint time) const {
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
    return *resolve_terms(settings_.platform_plans.at(static_cast<std::size_t>(asked_plan)).name, time);
}

double PlanTable::reserved_rate(CustomerId customer_id, TimePoint time) const {
    const auto found = reservations_by_customer_.find(customer_id);
    if (found == reservations_by_customer_.end()) return 0.0;
    double rate = 0.0;
    for (const std::string& reservation_id : found->second) {
        const Reservation& reservation_found = reservations_.at(reservation_id);
        if (reservation_found.is_accumulating(time)) rate += reservation_found.reservation_rate();
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

PlanTable::RestedLevels PlanTable::rested_levels(CustomerId customer_id, int asked_plan,
                                                 TimePoint time) const {
    auto found = schedule_.upper_bound(time);
    if (found == schedule_.begin()) return {};
    if (time - std::prev(found)->first > kFullRefillTime) return {};
    for (std::size_t index = 0; index < kMaxRefillChanges && found != schedule_.begin() &&
                                time - std::prev(found)->first <= kFullRefillTime;
         ++index)
        --found;
    // Starts just before the first of these changes and refills as the buckets do at each change.
    EffectivePlan effective_plan = effective_plan_for(customer_id, asked_plan, found->first - 1us);
    RestedLevels r{effective_plan.terms.burst, effective_plan.terms.ceiling_burst};
    const auto grow = [&](TimePoint from, TimePoint to) {
        const double rate = std::max(0.0, effective_plan.terms.rate - reserved_rate(customer_id, from));
        r.quota_units = std::min(effective_plan.terms.burst, r.quota_units + rate * to_seconds(to - from));
        r.rate_units = std::min(effective_plan.terms.ceiling_burst,
                                r.rate_units + effective_plan.terms.ceiling_rate * to_seconds(to - from));
    };
    for (; found != schedule_.end() && found->first <= time; ++found) {
        effective_plan = effective_plan_for(customer_id, asked_plan, found->first);
        const auto next = std::next(found);
        grow(found->first, next == schedule_.end() ? time : std::min(time, next->first));
    }
    return r;
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

std::variant<PlanChange, ChangeRejection> PlanTable::validate_proposal(const ChangeProposal& p,
                                                                       TimePoint now) const {
    using Why = ChangeRejection::Reason;
    if (!p.request_key.empty()) {
        if (const auto found = versions_by_request_.find(p.request_key);
            found != versions_by_request_.end()) {
            const PlanChange& made = change_log_[found->second - 1];
            if (made.body == p.body && made.expected_version == p.expected_version) return made;
            return reject_change(Why::Invalid,
                                 fmt::format("the request {} was already used for version {}, which is "
                                             "another change",
                                             p.request_key, made.version));
        }
    }
    if (p.author.empty() || p.author.size() > 256)
        return reject_change(Why::Invalid, "expected an author of 1 to 256 bytes");
    if (p.note.size() > 1024) return reject_change(Why::Invalid, "a note may have 1024 bytes");
    if (p.request_key.size() > 128) return reject_change(Why::Invalid, "a request's name may have 128 bytes");
    const std::string subject = subject_of(p.body);
    if (const std::uint64_t newest = subject_version(subject); newest != p.expected_version) {
        const std::string by = newest == 0 ? std::string() : change_log_[newest - 1].author;
        ChangeRejection r = reject_change(
            Why::Stale,
            newest == 0
                ? fmt::format("{} has no version yet; this was made against {}", subject, p.expected_version)
                : fmt::format("{} is at version {}, made by {} at {}; this was made against {}", subject,
                              newest, by, format_time(change_log_[newest - 1].made_at), p.expected_version));
        r.latest_version = newest;
        r.latest_author = by;
        return r;
    }
    PlanChange change;
    change.version = version() + 1;
    change.expected_version = p.expected_version;
    change.made_at = now;
    // Not before all gateways can have received it; an earlier time is moved to that.
    change.effective_at = std::max(p.effective_at.value_or(now), now + settings_.lead_time);
    if (change.effective_at > now + settings_.max_lead_time)
        return reject_change(Why::TooFarAhead, "the effective time is too far ahead");
    change.author = p.author;
    change.note = p.note;
    change.request_key = p.request_key;
    change.body = p.body;
    change.chain_hash = plans::chain_hash(chain_hash(), change);
    if (auto refusal =
            std::visit([&](const auto& body) { return check_body(body, change.effective_at); }, change.body))
        return *refusal;
    if (auto refusal = check_reserved_total(change)) return *refusal;
    return change;
}

std::optional<ChangeRejection> PlanTable::check_body(const DefinePlan& definition, TimePoint) const {
    using Why = ChangeRejection::Reason;
    if (!is_valid_name(definition.plan_name))
        return reject_change(Why::Invalid, "plan: expected 1 to 64 letters, digits, '-', '_', '.'");
    const int like = find_platform_plan(definition.base_plan);
    if (like < 0)
        return reject_change(Why::Unknown,
                             fmt::format("like: the platform has no plan \"{}\"", definition.base_plan));
    if (const int own_plan = find_platform_plan(definition.plan_name); own_plan >= 0 && own_plan != like)
        return reject_change(
            Why::Invalid,
            fmt::format("like: the platform's own plan {} can only be like itself", definition.plan_name));
    const PlanTerms& terms_value = definition.terms;
    const decision::PlanSettings& base = settings_.platform_plans[static_cast<std::size_t>(like)];
    const auto figure = [](double value) {
        return std::isfinite(value) && value >= 0.0 && value <= kMaxFigure;
    };
    if (!figure(terms_value.rate) || !figure(terms_value.burst) || !figure(terms_value.ceiling_rate) ||
        !figure(terms_value.ceiling_burst) || !figure(terms_value.ceiling_slack))
        return reject_change(Why::Invalid, "figures must be 0 to 1e9");
    // The decision module ignores limits that the base plan does not have.
    if ((terms_value.rate > 0.0) != (base.rate > 0.0) ||
        (terms_value.rate > 0.0) != (terms_value.burst > 0.0))
        return reject_change(Why::Invalid,
                             fmt::format("rate, burst: expected both {}, as {} has them",
                                         base.rate > 0.0 ? "above 0" : "0", definition.base_plan));
    if ((terms_value.ceiling_rate > 0.0) != (base.ceiling_rate > 0.0) ||
        (terms_value.ceiling_rate > 0.0) != (terms_value.ceiling_burst > 0.0))
        return reject_change(Why::Invalid,
                             fmt::format("ceiling_rate, ceiling_burst: expected both {}, as {} has them",
                                         base.ceiling_rate > 0.0 ? "above 0" : "0", definition.base_plan));
    if (terms_value.ceiling_rate > 0.0 && terms_value.ceiling_rate < terms_value.rate)
        return reject_change(Why::Invalid, "ceiling_rate: expected the rate of the quota or more");
    if (!is_known_plan(definition.plan_name) && plans_.size() >= settings_.max_plans)
        return reject_change(Why::Full,
                             fmt::format("the book holds {} plans, and no more", settings_.max_plans));
    return std::nullopt;
}

std::optional<ChangeRejection> PlanTable::check_body(const WithdrawPlan& withdrawal,
                                                     TimePoint effective_at) const {
    using Why = ChangeRejection::Reason;
    if (!is_known_plan(withdrawal.plan))
        return reject_change(Why::Unknown, fmt::format("plan: there is no plan \"{}\"", withdrawal.plan));
    if (withdrawal.successor.empty()) return std::nullopt;
    // The chain of successors must end, now and whenever one of them is withdrawn.
    std::string successor = withdrawal.successor;
    for (int depth = 0; depth < kMaxSuccessors; ++depth) {
        if (!is_known_plan(successor))
            return reject_change(Why::Unknown, fmt::format("successor: there is no plan \"{}\"", successor));
        if (successor == withdrawal.plan)
            return reject_change(Why::Invalid, "successor: this leads back to the plan itself");
        const auto found = plans_.find(successor);
        const WithdrawPlan* gone = nullptr;
        if (found != plans_.end()) gone = std::get_if<WithdrawPlan>(&found->second.entries.back().value);
        if (gone == nullptr) {
            if (is_withdrawn(successor, effective_at))
                return reject_change(Why::Closed, fmt::format("successor: {} is withdrawn", successor));
            return std::nullopt;
        }
        if (gone->successor.empty())
            return reject_change(Why::Closed, fmt::format("successor: {} is withdrawn", successor));
        successor = gone->successor;
    }
    return reject_change(Why::Invalid, "successor: too many successors in a row");
}

std::optional<ChangeRejection> PlanTable::check_body(const AssignPlan& assignment,
                                                     TimePoint effective_at) const {
    using Why = ChangeRejection::Reason;
    if (!customers_.contains(assignment.customer) && customers_.size() >= settings_.max_customers)
        return reject_change(
            Why::Full, fmt::format("the book holds {} customers, and no more", settings_.max_customers));
    if (assignment.plan.empty()) return std::nullopt;
    if (!is_known_plan(assignment.plan))
        return reject_change(Why::Unknown, fmt::format("plan: there is no plan \"{}\"", assignment.plan));
    if (!resolve_terms(assignment.plan, effective_at))
        return reject_change(Why::Unknown, fmt::format("plan: \"{}\" has no terms yet at {}", assignment.plan,
                                                       format_time(effective_at)));
    if (is_withdrawn(assignment.plan, effective_at))
        return reject_change(Why::Closed, fmt::format("plan: {} is withdrawn", assignment.plan));
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
    double least = kMaxFigure;
    for (const TimePoint time : rate_change_times(candidate)) {
        const auto rate = [&](const MakeReservation& of) {
            const auto terms = resolve_terms(reservation_plan(of, time), time);
            return terms ? terms->terms.rate : 0.0;
        };
        // Without an assigned plan each reservation names its own: all must fit into the smallest rate.
        double out = 0.0, of = rate(candidate.definition);
        for (const Reservation* other : customer_reservations(candidate.definition.customer)) {
            if (other->definition.reservation_id == excluded_id || !other->is_accumulating(time)) continue;
            out += other->reservation_rate();
            of = std::min(of, rate(other->definition));
        }
        least = std::min(least, of * settings_.max_reserved_fraction - out);
    }
    return std::max(0.0, least);
}

std::optional<ChangeRejection> PlanTable::check_body(const MakeReservation& reservation,
                                                     TimePoint effective_at) const {
    using Why = ChangeRejection::Reason;
    if (!is_valid_name(reservation.reservation_id))
        return reject_change(Why::Invalid, "id: expected 1 to 64 letters, digits, '-', '_', '.'");
    if (reservations_.contains(reservation.reservation_id))
        return reject_change(Why::Invalid, fmt::format("id: {} was used before; an id is used once",
                                                       reservation.reservation_id));
    if (!(std::isfinite(reservation.units) && reservation.units > 0.0 && reservation.units <= kMaxFigure))
        return reject_change(Why::Invalid, "units: expected more than 0, and at most 1e9");
    if (reservation.ends_at <= reservation.starts_at)
        return reject_change(Why::Invalid, "until: expected a time after from");
    if (reservation.ends_at <= effective_at)
        return reject_change(Why::Invalid, "until: the window is over before this takes effect");
    if (reservation.ends_at > effective_at + settings_.max_lead_time)
        return reject_change(Why::TooFarAhead, "until: the window is too far ahead");
    if (!reservation.plan.empty() && !is_known_plan(reservation.plan))
        return reject_change(Why::Unknown, fmt::format("plan: there is no plan \"{}\"", reservation.plan));
    if (reservation_plan(reservation, effective_at).empty())
        return reject_change(Why::Invalid,
                             "plan: the book assigns this customer none, so name what it is carved from");
    if (reservations_.size() >= settings_.max_reservations)
        return reject_change(Why::Full, fmt::format("the book holds {} reservations, and no more",
                                                    settings_.max_reservations));
    std::size_t running = 0;
    for (const Reservation* other : customer_reservations(reservation.customer))
        running += other->ends_at > effective_at;
    if (running >= settings_.max_reservations_per_customer)
        return reject_change(Why::Full, fmt::format("this customer has {} reservations already", running));
    const Reservation made = make_reservation(reservation, effective_at, 0);
    const double fits = available_rate(made, {}) * to_seconds(made.fully_reserved_at - made.starts_at);
    if (reservation.units > fits * (1.0 + kRoundingTolerance)) {
        ChangeRejection refusal = reject_change(
            Why::OverCapacity,
            fmt::format("units: {} cannot be carved from {} until {}; {:.3f} would fit", reservation.units,
                        format_time(made.starts_at), format_time(made.fully_reserved_at), fits));
        refusal.max_acceptable = fits;
        return refusal;
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
        return reject_change(ChangeRejection::Reason::Closed,
                             fmt::format("id: {} is over by then", reservation.reservation_id));
    return std::nullopt;
}

// No change may reduce a rate below what its reservations need.
std::optional<ChangeRejection> PlanTable::check_reserved_total(const PlanChange& change) const {
    if (reservations_.empty() || std::holds_alternative<MakeReservation>(change.body) ||
        std::holds_alternative<ReleaseReservation>(change.body))
        return std::nullopt;
    const auto* assign = std::get_if<AssignPlan>(&change.body);
    std::vector<const Reservation*> concerned;
    for (const auto& [id, reservation] : reservations_) {
        if (reservation.ends_at <= change.effective_at ||
            reservation.fully_reserved_at <= change.effective_at)
            continue;
        if (assign == nullptr || reservation.definition.customer == assign->customer)
            concerned.push_back(&reservation);
    }
    if (concerned.empty()) return std::nullopt;
    // The table after the change, as far as the checks below read it.
    PlanTable after{settings_};
    after.plans_ = plans_;
    after.schedule_ = schedule_;
    for (const Reservation* reservation : concerned) {
        after.reservations_[reservation->definition.reservation_id] = *reservation;
        after.reservations_by_customer_[reservation->definition.customer].push_back(
            reservation->definition.reservation_id);
        if (const auto found = customers_.find(reservation->definition.customer); found != customers_.end())
            after.customers_[reservation->definition.customer] = found->second;
    }
    after.apply_entry(change);
    for (const Reservation* reservation : concerned) {
        Reservation rest = *reservation;
        rest.starts_at = std::max(reservation->starts_at, change.effective_at);
        if (reservation->reservation_rate() >
            after.available_rate(rest, reservation->definition.reservation_id) * (1.0 + kRoundingTolerance)) {
            return reject_change(
                ChangeRejection::Reason::OverCapacity,
                fmt::format("the reservation {} of customer {} could not be carved any more; release it "
                            "first",
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
        throw InvalidChange(fmt::format("version {} does not follow on {}", change.version, version()));
    if (change.chain_hash != plans::chain_hash(chain_hash(), change))
        throw InvalidChange(fmt::format("version {} is of another book", change.version));
    if (change.expected_version != subject_version(subject_of(change.body)))
        throw InvalidChange(
            fmt::format("version {} was made against {}", change.version, change.expected_version));
    if (const auto refusal =
            std::visit([&](const auto& body) { return check_body(body, change.effective_at); }, change.body);
        refusal && refusal->reason != ChangeRejection::Reason::OverCapacity &&
        refusal->reason != ChangeRejection::Reason::TooFarAhead)
        throw InvalidChange(fmt::format("version {}: {}", change.version, refusal->text));
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
        const Reservation made = make_reservation(*reservation, change.effective_at, change.version);
        reservations_[reservation->reservation_id] = made;
        reservations_by_customer_[reservation->customer].push_back(reservation->reservation_id);
        for (const TimePoint time : {made.definition.starts_at, made.fully_reserved_at, made.ends_at})
            if (time != change.effective_at) schedule_.emplace(time, subject);
    } else if (const auto* gone = std::get_if<ReleaseReservation>(&change.body)) {
        Reservation& held = reservations_.at(gone->reservation_id);
        held.ends_at = std::min(held.ends_at, change.effective_at);
    }
}

bool PlanTable::matches_latest(const ChangeBody& body) const {
    const std::uint64_t newest = subject_version(subject_of(body));
    if (newest > 0) return change_log_[newest - 1].body == body;
    // No entry exists: the platform's plans are unchanged, and customers have no assigned plan.
    if (const auto* definition = std::get_if<DefinePlan>(&body)) {
        const int own = find_platform_plan(definition->plan_name);
        if (own < 0) return false;
        const decision::PlanSettings& plan_settings = settings_.platform_plans[static_cast<std::size_t>(own)];
        return definition->terms == PlanTerms{plan_settings.rate, plan_settings.burst,
                                              plan_settings.ceiling_rate, plan_settings.ceiling_burst,
                                              plan_settings.ceiling_slack};
    }
    const auto* assignment = std::get_if<AssignPlan>(&body);
    return assignment != nullptr && assignment->plan.empty();
}

PlanTable::Effects PlanTable::effects_of(const PlanChange& c) const {
    Effects effects;
    const auto customer_of = [&](const std::string& reservation_id) {
        if (const Reservation* reservation = find_reservation(reservation_id))
            effects.customers.insert(reservation->definition.customer);
        effects.reservations.insert(reservation_id);
    };
    if (const auto* definition = std::get_if<DefinePlan>(&c.body))
        effects.plans.insert(definition->plan_name);
    else if (const auto* withdrawal = std::get_if<WithdrawPlan>(&c.body))
        effects.plans.insert(withdrawal->plan);
    else if (const auto* assignment = std::get_if<AssignPlan>(&c.body))
        effects.customers.insert(assignment->customer);
    else if (const auto* r = std::get_if<MakeReservation>(&c.body)) customer_of(r->reservation_id);
    else if (const auto* gone = std::get_if<ReleaseReservation>(&c.body)) customer_of(gone->reservation_id);
    return effects;
}

PlanTable::Effects PlanTable::effects_between(TimePoint from, TimePoint to) const {
    Effects effects;
    for (auto found = schedule_.upper_bound(from); found != schedule_.end() && found->first <= to; ++found) {
        const Effects one = effects_of(change_log_[subject_version(found->second) - 1]);
        effects.plans.insert(one.plans.begin(), one.plans.end());
        effects.customers.insert(one.customers.begin(), one.customers.end());
        effects.reservations.insert(one.reservations.begin(), one.reservations.end());
    }
    return effects;
}

std::optional<TimePoint> PlanTable::next_effect_after(TimePoint time) const {
    const auto found = schedule_.upper_bound(time);
    if (found == schedule_.end()) return std::nullopt;
    return found->first;
}

}    // namespace shaletray::plans
