// Whether what operators saw can be told as one order of effects (linearizability) of a register in which the
// highest version wins and one version has one body. Pure, and of nothing but the standard library: for the
// model tests and for experiments with real processes.
//
// The register begins empty (version 0). A replace that takes effect with a version over the one held is then
// what is held; one that is not over it alters nothing. Each operation has its effect at one moment between
// its invocation and its return; one without a clear answer at any later moment, or never.
//   Replace, Ok        by its return the version held is at least its own, and where its version was ever
//                      held, that was with this body
//   Replace, Conflict  (409) by its return its version had been held, with another body
//   Replace, Refused   (any other 4xx) this body was never held under this version, nor acknowledged
//   Read, Ok           version and body were held at a moment within it; version 0: none yet
//   Unclear            a replace may have had its effect; a read says nothing
// Two unlike bodies may both be acknowledged where their version was never held, since both were overtaken
// before; once held, a version has one body for good.
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

struct Operation {
    enum class Kind { Replace, Read };
    enum class Answer { Ok, Conflict, Refused, Unclear };
    Kind kind = Kind::Replace;
    std::uint64_t version = 0;    // of a replace: as sent; of a read: as it came back
    std::uint64_t body = 0;       // a digest, likewise
    // Of one clock, in any unit. What returns when another is invoked counts as overlapping it.
    std::int64_t invoked = 0, returned = 0;    // the latter has no meaning where the answer is unclear
    Answer answer = Answer::Unclear;
};

// Why there is no such order; none: there is one. Takes time with the square of the number of versions.
// NOLINTNEXTLINE(readability-function-cognitive-complexity): to be split
inline std::optional<std::string> fault(const std::vector<Operation>& history) {
    using Kind = Operation::Kind;
    using Answer = Operation::Answer;
    constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::max();
    constexpr std::int64_t kBefore = std::numeric_limits<std::int64_t>::min();
    const auto name = [](std::uint64_t version) { return "r" + std::to_string(version); };

    struct Version {
        std::map<std::uint64_t, std::int64_t> sent;    // body: when first
        std::set<std::uint64_t> taken;                 // bodies that were acknowledged
        std::set<std::uint64_t> read, conflicted, refused;
        std::int64_t known = kNever;         // by when it, or a later one, was held
        std::int64_t last_read = kBefore;    // the latest invocation of a read of it
        std::int64_t earliest = kNever;      // it can have been held; never: it cannot
        std::int64_t held_at = kNever;       // the earliest in any order of effects that leads up to it
        bool required() const { return !read.empty() || !conflicted.empty(); }
    };
    std::map<std::uint64_t, Version> versions;
    versions[0].sent[0] = kBefore;
    for (const Operation& o : history) {
        const bool read = o.kind == Kind::Read;
        if (read && o.answer != Answer::Ok) continue;
        if (!read && o.version == 0) return "a replace with version 0";
        Version& v = versions[o.version];
        const std::uint64_t body = o.version == 0 ? 0 : o.body;
        if (read) {
            v.read.insert(body);
            v.last_read = std::max(v.last_read, o.invoked);
        } else {
            const auto [first, added] = v.sent.try_emplace(body, o.invoked);
            if (!added) first->second = std::min(first->second, o.invoked);
            if (o.answer == Answer::Ok) v.taken.insert(body);
            if (o.answer == Answer::Conflict) v.conflicted.insert(body);
            if (o.answer == Answer::Refused) v.refused.insert(body);
        }
        if (o.answer == Answer::Ok || o.answer == Answer::Conflict) v.known = std::min(v.known, o.returned);
    }

    // Which body a version can have had, and from when on.
    std::int64_t read_before = kBefore;    // a lower version: this one came later
    for (auto& [number, v] : versions) {
        for (const std::uint64_t body : v.taken)
            if (v.refused.contains(body)) return name(number) + ": one body acknowledged and refused";
        if (v.read.size() > 1) return name(number) + ": read with two bodies";
        for (const auto& [body, sent] : v.sent) {
            const bool other_read = !v.read.empty() && !v.read.contains(body);
            const bool other_taken = v.taken.size() > 1 || (v.taken.size() == 1 && !v.taken.contains(body));
            if (other_read || other_taken || v.conflicted.contains(body) || v.refused.contains(body))
                continue;
            v.earliest = std::min(v.earliest, std::max(sent, read_before));
        }
        if (v.required() && v.earliest == kNever) {
            if (!v.read.empty() && !v.sent.contains(*v.read.begin()))
                return name(number) + ": read with a body that nobody sent";
            return name(number) + (v.taken.empty() ? ": held, but every body sent under it was turned away"
                                                   : ": two bodies, of which one was held, got an answer as "
                                                     "if theirs had been");
        }
        read_before = std::max(read_before, v.last_read);
    }

    // The earliest moment at which each version can have been held, over all choices of those held before.
    // By `due` a version over the one held before must have been.
    std::int64_t due = kNever;
    std::map<std::uint64_t, std::int64_t> due_over;    // by version: of all later ones
    for (auto v = versions.rbegin(); v != versions.rend(); ++v) {
        due_over[v->first] = due;
        due = std::min(due, v->second.known);
    }
    versions[0].held_at = kBefore;
    std::uint64_t reached = 0;
    for (auto to = std::next(versions.begin()); to != versions.end(); ++to) {
        if (to->second.earliest == kNever) continue;
        for (auto from = to; from != versions.begin();) {
            --from;
            if (from->second.held_at != kNever) {
                const std::int64_t at = std::max(from->second.held_at, to->second.earliest);
                if (at <= due_over[from->first]) to->second.held_at = std::min(to->second.held_at, at);
            }
            if (from->second.required()) break;    // it was held, so none before it is the last one before
        }
        if (to->second.held_at != kNever) reached = to->first;
        else if (to->second.required()) break;
    }
    for (auto last = versions.rbegin(); last != versions.rend(); ++last) {
        if (last->second.held_at != kNever && due_over[last->first] == kNever) return std::nullopt;
        if (last->second.required()) break;
    }
    return "no order of effects: held up to " + name(reached) + ", then a later version was answered for " +
           "before it can have been held, or an earlier one read after it was";
}

}    // namespace shaletray::history
