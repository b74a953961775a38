// Checks whether a history of operators' calls is linearizable for a register in which the highest version
// wins and a version has one body. Pure, and independent of the other code: for model tests and for
// experiments with real processes.
//
// The register begins empty (version 0). A replace with a version above the one held replaces it; any other
// replace has no effect. Each operation takes effect at one moment between its invocation and its return; one
// without a definite response at any later moment, or never.
//   Replace, Succeeded      at its return the version held is at least its own, and if its version was ever
//                           held, that was with this body
//   Replace, Conflict       (409) at its return its version had been held, with another body
//   Replace, Rejected       (any other 4xx) this body was never held under this version, nor acknowledged
//   Read, Succeeded         version and body were held at a moment within it; version 0: none yet
//   Indeterminate           a replace may have taken effect; a read says nothing
// Two different bodies may both be acknowledged if their version was never held, since both were stale; once
// held, a version has one body for good.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace shaletray::history {

// One call of an operator.
struct Operation {
    enum class Kind { Replace, Read };
    enum class Outcome { Succeeded, Conflict, Rejected, Indeterminate };
    Kind kind = Kind::Replace;
    std::uint64_t version = 0;        // of a replace: as sent; of a read: as returned
    std::uint64_t body_digest = 0;    // likewise
    // By one clock, in any unit. Operations that return when another is invoked count as concurrent with it.
    std::int64_t invoked_at = 0, returned_at = 0;    // `returned_at` is ignored for indeterminate outcomes
    Outcome outcome = Outcome::Indeterminate;
};

// Why the history is not linearizable; empty if it is. Takes time quadratic in the number of versions.
// NOLINTNEXTLINE(readability-function-cognitive-complexity): to be split
inline std::optional<std::string> find_violation(const std::vector<Operation>& history) {
    using Kind = Operation::Kind;
    using Outcome = Operation::Outcome;
    constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::max();
    constexpr std::int64_t kBefore = std::numeric_limits<std::int64_t>::min();
    const auto version_name = [](std::uint64_t version) { return "r" + std::to_string(version); };

    struct Version {
        std::map<std::uint64_t, std::int64_t> first_sent_at;    // by body
        std::set<std::uint64_t> acknowledged_bodies;            // bodies with a successful replace
        std::set<std::uint64_t> read_bodies, conflicting_bodies, rejected_bodies;
        std::int64_t known_held_by = kNever;        // by then it, or a later version, was held
        std::int64_t last_read_at = kBefore;        // the latest invocation of a read of it
        std::int64_t earliest_held = kNever;        // from then on it can have been held; kNever: it cannot
        std::int64_t earliest_in_order = kNever;    // the same, in any order of effects that leads up to it
        bool was_held() const { return !read_bodies.empty() || !conflicting_bodies.empty(); }
    };
    std::map<std::uint64_t, Version> versions;
    versions[0].first_sent_at[0] = kBefore;
    for (const Operation& operation : history) {
        const bool is_read = operation.kind == Kind::Read;
        if (is_read && operation.outcome != Outcome::Succeeded) continue;
        if (!is_read && operation.version == 0) return "a replace with version 0";
        Version& version_record = versions[operation.version];
        const std::uint64_t body = operation.version == 0 ? 0 : operation.body_digest;
        if (is_read) {
            version_record.read_bodies.insert(body);
            version_record.last_read_at = std::max(version_record.last_read_at, operation.invoked_at);
        } else {
            const auto [entry, inserted] =
                version_record.first_sent_at.try_emplace(body, operation.invoked_at);
            if (!inserted) entry->second = std::min(entry->second, operation.invoked_at);
            if (operation.outcome == Outcome::Succeeded) version_record.acknowledged_bodies.insert(body);
            if (operation.outcome == Outcome::Conflict) version_record.conflicting_bodies.insert(body);
            if (operation.outcome == Outcome::Rejected) version_record.rejected_bodies.insert(body);
        }
        if (operation.outcome == Outcome::Succeeded || operation.outcome == Outcome::Conflict)
            version_record.known_held_by = std::min(version_record.known_held_by, operation.returned_at);
    }

    // Determines which body each version can have had, and from when on.
    std::int64_t read_before = kBefore;    // the last read of a lower version, which this one must follow
    for (auto& [number, version_record] : versions) {
        for (const std::uint64_t body : version_record.acknowledged_bodies)
            if (version_record.rejected_bodies.contains(body))
                return version_name(number) + ": one body acknowledged and refused";
        if (version_record.read_bodies.size() > 1) return version_name(number) + ": read with two bodies";
        for (const auto& [body, sent] : version_record.first_sent_at) {
            const bool other_read =
                !version_record.read_bodies.empty() && !version_record.read_bodies.contains(body);
            const bool other_taken = version_record.acknowledged_bodies.size() > 1 ||
                                     (version_record.acknowledged_bodies.size() == 1 &&
                                      !version_record.acknowledged_bodies.contains(body));
            if (other_read || other_taken || version_record.conflicting_bodies.contains(body) ||
                version_record.rejected_bodies.contains(body))
                continue;
            version_record.earliest_held =
                std::min(version_record.earliest_held, std::max(sent, read_before));
        }
        if (version_record.was_held() && version_record.earliest_held == kNever) {
            if (!version_record.read_bodies.empty() &&
                !version_record.first_sent_at.contains(*version_record.read_bodies.begin()))
                return version_name(number) + ": read with a body that nobody sent";
            return version_name(number) + (version_record.acknowledged_bodies.empty()
                                               ? ": held, but every body sent under it was turned away"
                                               : ": two bodies, of which one was held, got an answer as "
                                                 "if theirs had been");
        }
        read_before = std::max(read_before, version_record.last_read_at);
    }

    // Computes the earliest moment at which each version can have been held, over all choices of the versions
    // held before. A version above the previous one must have been held by `due`.
    std::int64_t due = kNever;
    std::map<std::uint64_t, std::int64_t> due_over;    // by version: the same over all higher versions
    for (auto version_record = versions.rbegin(); version_record != versions.rend(); ++version_record) {
        due_over[version_record->first] = due;
        due = std::min(due, version_record->second.known_held_by);
    }
    versions[0].earliest_in_order = kBefore;
    std::uint64_t reached = 0;
    for (auto to = std::next(versions.begin()); to != versions.end(); ++to) {
        if (to->second.earliest_held == kNever) continue;
        for (auto from = to; from != versions.begin();) {
            --from;
            if (from->second.earliest_in_order != kNever) {
                const std::int64_t at = std::max(from->second.earliest_in_order, to->second.earliest_held);
                if (at <= due_over[from->first])
                    to->second.earliest_in_order = std::min(to->second.earliest_in_order, at);
            }
            if (from->second.was_held())
                break;    // it was held, so no earlier version can be the predecessor
        }
        if (to->second.earliest_in_order != kNever) reached = to->first;
        else if (to->second.was_held()) break;
    }
    for (auto last = versions.rbegin(); last != versions.rend(); ++last) {
        if (last->second.earliest_in_order != kNever && due_over[last->first] == kNever) return std::nullopt;
        if (last->second.was_held()) break;
    }
    return "no order of effects: held up to " + version_name(reached) +
           ", then a later version was answered for " +
           "before it can have been held, or an earlier one read after it was";
}

}    // namespace shaletray::history
