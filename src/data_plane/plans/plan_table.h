// Plans, customers' assignments and reservations, derived from an append-only log of changes, each with a
// version, an effective time and an author. Single-threaded and pure: no I/O and no clock. The state at a
// time follows from the entries alone: for each subject, the newest entry that has taken effect applies.
// Gateways with the same entries therefore agree, however late they received them. See docs/design/plans.md.
#pragma once

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "data_plane/plans/plan_change.h"

namespace shaletray::plans {

// The platform's plans and the limits of the table.
struct PlanTableSettings {
    std::vector<decision::PlanSettings> platform_plans;
    bool table_overrides_request = false;              // an assigned plan overrides the one a request names
    Duration lead_time{2'000'000};                     // minimum time from a change to its effect
    Duration max_lead_time{86'400'000'000LL * 400};    // maximum time to an effect or a reservation's end
    double max_reserved_fraction = 0.5;    // of a customer's rate, for all its reservations together
    std::size_t max_plans = 1000, max_customers = 1'000'000, max_reservations = 100'000;
    std::size_t max_reservations_per_customer = 16;    // counts those that have not ended
};

// Why a proposal is rejected, with what the operator needs to correct it.
struct ChangeRejection {
    enum class Reason { Stale, Unknown, Invalid, Closed, OverCapacity, TooFarAhead, Full };
    Reason reason{};
    std::string text;
    std::uint64_t latest_version = 0;    // of the subject
    std::string latest_author;
    std::optional<double> max_acceptable;    // OverCapacity: the largest amount that would be accepted
};
// The reason as it appears in replies.
const char* reason_name(ChangeRejection::Reason reason);

// The plan that applies to a customer at a time.
struct EffectivePlan {
    // A platform plan's own index, or kFirstTableTermsIndex + the version that defined the terms.
    int terms_index = 0;
    int base_plan = 0;    // index of the platform's plan that it is based on
    PlanTerms terms;
    std::string plan_name;
    std::uint64_t terms_version = 0;         // the change that defined the terms; 0: the platform's own
    std::uint64_t assignment_version = 0;    // the change that assigned the plan; 0: the request named it
    bool operator==(const EffectivePlan&) const = default;
};
// Smallest terms index of this table; larger than the number of the platform's plans.
constexpr int kFirstTableTermsIndex = 1024;

// A reservation with the times that follow from its change.
struct Reservation {
    MakeReservation definition;
    std::uint64_t version = 0;
    TimePoint starts_at{}, fully_reserved_at{};    // units are taken evenly between these
    TimePoint ends_at{};                           // end of its window, or its release
    double reservation_rate() const;               // units per second while it accumulates
    // Units taken from the quota by `time`.
    double reserved_units(TimePoint time) const;
    bool is_accumulating(TimePoint time) const {
        return time >= starts_at && time < std::min(fully_reserved_at, ends_at);
    }
    // Whether requests may be charged to it: not before its change takes effect, however early its window
    // begins.
    bool is_open(TimePoint time) const {
        return time >= std::max(definition.starts_at, starts_at) && time < ends_at;
    }
    bool operator==(const Reservation&) const = default;
};

// The change log and the state that follows from it. Copyable.
class PlanTable {
public:
    // Throws decision::BadSettings.
    explicit PlanTable(PlanTableSettings settings);

    // The change or rejection that a proposal results in, without appending it. A repeated request key gives
    // the change that was made before.
    std::variant<PlanChange, ChangeRejection> validate_proposal(const ChangeProposal& proposal,
                                                                TimePoint now) const;
    // Appends the next entry. Throws InvalidChange, and changes nothing, if it does not follow the last one
    // or is not valid.
    void append(const PlanChange& change);

    // Throws as append() would but changes nothing, for callers that persist an entry before appending it.
    static void validate_next(const PlanTable& plan_table, const PlanChange& change) {
        plan_table.validate_entry(change);
    }

    // The version of the last entry; 0: none.
    std::uint64_t version() const { return change_log_.size(); }
    std::uint64_t chain_hash() const { return change_log_.empty() ? 0 : change_log_.back().chain_hash; }
    const std::vector<PlanChange>& change_log() const { return change_log_; }
    // The newest version of a subject; 0: none.
    std::uint64_t subject_version(const std::string& subject) const;

    // `requested_plan`: index of the platform's plan that the request names.
    EffectivePlan effective_plan_for(CustomerId customer_id, int requested_plan, TimePoint time) const;
    // Whether the newest entry of the body's subject equals it, whether or not it has taken effect.
    bool matches_latest(const ChangeBody& body) const;
    // The terms of a plan, or of its successor if it is withdrawn; empty if it has none at that time.
    std::optional<EffectivePlan> plan_terms(const std::string& plan, TimePoint time) const {
        return resolve_terms(plan, time);
    }
    // The assigned plan, whether or not it overrides the one that requests name; empty: none.
    std::string assigned_plan_name(CustomerId customer_id, TimePoint time) const;
    // Units per second that are taken from the customer's quota for reservations.
    double reserved_rate(CustomerId customer_id, TimePoint time) const;
    // Null if there is none. Valid until the next append.
    const Reservation* find_reservation(const std::string& reservation_id) const;
    std::string reservation_name(std::uint64_t version) const;    // empty if that version made none
    const decision::PlanSettings& platform_plan(int plan) const {
        return settings_.platform_plans.at(static_cast<std::size_t>(plan));
    }
    // Units that a customer's buckets would hold over all gateways if it had sent no requests: after a change
    // to a larger plan they are not full at once. Below 0: full.
    struct IdleLevels {
        double quota_units = -1.0, rate_units = -1.0;
    };
    IdleLevels idle_levels(CustomerId customer_id, int requested_plan, TimePoint time) const;
    std::vector<const Reservation*> customer_reservations(CustomerId customer_id) const;
    std::vector<std::string> plan_names() const;    // the platform's first
    std::size_t customer_count(const std::string& plan, TimePoint time) const;

    // Subjects for which a change takes effect after `from` and by `to`.
    struct Effects {
        std::set<std::string> plans;
        std::set<CustomerId> customers;
        std::set<std::string> reservations;
        bool empty() const { return plans.empty() && customers.empty() && reservations.empty(); }
    };
    Effects effects_between(TimePoint from, TimePoint to) const;
    std::optional<TimePoint> next_effect_after(TimePoint time) const;
    // Subjects that an entry affects at any time, for a gateway that receives it late.
    Effects effects_of(const PlanChange& change) const;

private:
    template <class T>
    struct Versions {    // the entries of one subject, by version
        struct Entry {
            std::uint64_t version;
            TimePoint effective_at;
            T value;
        };
        std::vector<Entry> entries;
        const Entry* effective_at(TimePoint time) const {
            for (auto found = entries.rbegin(); found != entries.rend(); ++found)
                if (found->effective_at <= time) return &*found;
            return nullptr;
        }
    };
    using PlanEntry = std::variant<DefinePlan, WithdrawPlan>;

    int find_platform_plan(const std::string& plan) const;
    std::optional<ChangeRejection> check_body(const DefinePlan& definition, TimePoint effective_at) const;
    std::optional<ChangeRejection> check_body(const WithdrawPlan& withdrawal, TimePoint effective_at) const;
    std::optional<ChangeRejection> check_body(const AssignPlan& assignment, TimePoint effective_at) const;
    std::optional<ChangeRejection> check_body(const MakeReservation& reservation,
                                              TimePoint effective_at) const;
    std::optional<ChangeRejection> check_body(const ReleaseReservation& reservation,
                                              TimePoint effective_at) const;
    std::optional<ChangeRejection> check_reserved_total(const PlanChange& change) const;
    bool is_known_plan(const std::string& plan) const;
    bool is_withdrawn(const std::string& plan, TimePoint time) const;
    std::optional<EffectivePlan> resolve_terms(const std::string& plan, TimePoint time, int depth = 0) const;
    std::string reservation_plan(const MakeReservation& reservation, TimePoint time) const;
    std::vector<TimePoint> rate_change_times(const Reservation& reservation) const;
    double available_rate(const Reservation& candidate, const std::string& excluded_id) const;
    static Reservation make_reservation(const MakeReservation& definition, TimePoint effective_at,
                                        std::uint64_t version);
    void validate_entry(const PlanChange& change) const;
    void apply_entry(const PlanChange& change);

    PlanTableSettings settings_;
    std::vector<PlanChange> change_log_;
    std::map<std::string, Versions<PlanEntry>> plans_;
    std::unordered_map<CustomerId, Versions<std::string>> customers_;
    std::map<std::string, Reservation> reservations_;
    std::unordered_map<CustomerId, std::vector<std::string>> reservations_by_customer_;
    std::unordered_map<std::string, std::uint64_t> subject_versions_, versions_by_request_;
    std::multimap<TimePoint, std::string> schedule_;    // subjects whose state may change at that time
};

}    // namespace shaletray::plans
