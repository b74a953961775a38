// The checker of operators' histories: by planted faults, and against trying every order of small ones.
#include "operation_history.h"

#include <criterion/criterion.h>

#include <random>

#include "cluster/consensus/register_cluster.h"

using namespace shaletray::history;
using Kind = Operation::Kind;
using Answer = Operation::Outcome;

namespace {

Operation replace(std::uint64_t version, std::uint64_t body, std::int64_t from, std::int64_t to,
                  Answer answer = Answer::Succeeded) {
    return {Kind::Replace, version, body, from, to, answer};
}
Operation read(std::uint64_t version, std::uint64_t body, std::int64_t from, std::int64_t to) {
    return {Kind::Read, version, body, from, to, Answer::Succeeded};
}

// By the definition: some order that respects the times and in which every answer is right, where what got
// no clear answer may stay out. Bodies of versions held before are remembered.
struct HistoryChecker {
    const std::vector<Operation>& all;
    std::vector<bool> done = std::vector<bool>(all.size(), false);
    std::map<std::uint64_t, std::uint64_t> held{{0, 0}};

    bool is_right(const Operation& operation) const {
        const auto known = held.find(operation.version);
        const auto& [version, body] = *held.rbegin();
        if (operation.kind == Kind::Read)
            return operation.version == version && (operation.version == 0 || operation.body_digest == body);
        if (operation.outcome == Answer::Succeeded)
            return operation.version > version || known == held.end() ||
                   known->second == operation.body_digest;
        return known != held.end() && known->second != operation.body_digest;    // Conflict
    }
    bool explains() {
        std::int64_t first_return = std::numeric_limits<std::int64_t>::max();
        bool left = false;
        for (std::size_t i = 0; i < all.size(); ++i) {
            if (done[i] || all[i].outcome == Answer::Indeterminate || all[i].outcome == Answer::Rejected)
                continue;
            left = true;
            first_return = std::min(first_return, all[i].returned_at);
        }
        if (!left) return true;
        for (std::size_t i = 0; i < all.size(); ++i) {
            const Operation& operation = all[i];
            const bool unclear = operation.outcome == Answer::Indeterminate;
            if (done[i] || operation.invoked_at > first_return || operation.outcome == Answer::Rejected)
                continue;
            if (unclear ? operation.kind == Kind::Read : !is_right(operation)) continue;
            const auto before = held;
            if (operation.kind == Kind::Replace && operation.outcome != Answer::Conflict &&
                operation.version > held.rbegin()->first)
                held[operation.version] = operation.body_digest;
            done[i] = true;
            if (explains()) return true;
            done[i] = false;
            held = before;
        }
        return false;
    }
};

}    // namespace

Test(history, takes_what_can_be_told_in_order) {
    cr_assert(!find_violation({}));
    cr_assert(!find_violation({read(0, 0, 1, 2), replace(3, 30, 1, 5), read(3, 30, 2, 3), read(0, 0, 1, 4)}));
    // Overtaken, sent again, refused since another body was held.
    cr_assert(!find_violation({replace(3, 30, 1, 2), replace(2, 20, 3, 4), replace(3, 30, 5, 6),
                               replace(3, 31, 7, 8, Answer::Conflict), read(3, 30, 9, 10)}));
    // Two bodies under a version that was overtaken before either.
    cr_assert(!find_violation({replace(5, 50, 1, 2), replace(4, 40, 3, 4), replace(4, 41, 3, 4)}));
    // What got no answer has its effect much later, between two reads.
    cr_assert(!find_violation({replace(4, 40, 1, 0, Answer::Indeterminate), replace(3, 30, 2, 3),
                               read(3, 30, 8, 9), read(4, 40, 10, 11)}));
}

Test(history, finds_what_cannot) {
    const std::pair<const char*, std::vector<Operation>> faults[] = {
        {"two bodies acknowledged under one version that was held",
         {replace(3, 30, 1, 5), replace(3, 31, 1, 5), read(3, 30, 6, 7)}},
        {"also where it is overtaken by then",
         {replace(3, 30, 1, 2), read(3, 30, 3, 4), replace(4, 40, 5, 6), replace(3, 31, 7, 8)}},
        {"two bodies acknowledged, of which one must have been held",
         {replace(3, 30, 1, 2), replace(3, 31, 3, 4)}},
        {"two bodies read",
         {replace(3, 30, 1, 9, Answer::Indeterminate), replace(3, 31, 1, 9, Answer::Indeterminate),
          read(3, 30, 2, 3), read(3, 31, 4, 5)}},
        {"acknowledged, then refused", {replace(3, 30, 1, 2), replace(3, 30, 3, 4, Answer::Conflict)}},
        {"refused as invalid, yet read", {replace(3, 30, 1, 2, Answer::Rejected), read(3, 30, 3, 4)}},
        {"refused for another body that nobody sent", {replace(3, 30, 1, 2, Answer::Conflict)}},
        {"refused before the other was sent", {replace(3, 30, 1, 2, Answer::Conflict), replace(3, 31, 3, 4)}},
        {"read before it was sent", {read(3, 30, 1, 2), replace(3, 30, 3, 4)}},
        {"a read goes back",
         {replace(3, 30, 1, 2), replace(4, 40, 1, 0, Answer::Indeterminate), read(4, 40, 3, 4),
          read(3, 30, 5, 6)}},
        {"an older one read after a newer was acknowledged",
         {replace(3, 30, 1, 2), replace(4, 40, 3, 4), read(3, 30, 5, 6)}},
        {"a read of nothing after an acknowledgement", {replace(3, 30, 1, 2), read(0, 0, 3, 4)}},
        {"acknowledged as overtaken before anything over it was sent",
         {replace(3, 30, 1, 2), read(0, 0, 3, 4), replace(4, 40, 5, 6)}},
        {"a lower version after a higher", {replace(5, 50, 1, 2), replace(3, 30, 3, 4), read(3, 30, 5, 6)}},
    };
    for (const auto& [what, history] : faults) cr_assert(find_violation(history), "%s", what);
}

Test(history, agrees_with_trying_every_order) {
    std::mt19937_64 random(1);
    const auto below = [&random](std::uint64_t n) { return random() % n; };
    constexpr std::uint64_t kHistories = 60'000 / shaletray::consensus::test::kSanitizerDivisor;
    std::uint64_t valid_messages = 0, bad = 0;
    for (std::uint64_t i = 0; i < kHistories; ++i) {
        std::vector<Operation> all;
        const std::uint64_t count = 2 + below(4), length = 2 + below(12);
        for (std::uint64_t n = 0; n < count; ++n) {
            Operation operation;
            operation.kind = below(3) == 0 ? Kind::Read : Kind::Replace;
            operation.version = 1 + below(3);
            operation.body_digest = below(2);
            const std::uint64_t kind = below(8);
            operation.outcome = kind == 0   ? Answer::Indeterminate
                                : kind == 1 ? Answer::Conflict
                                            : Answer::Succeeded;
            if (operation.kind == Kind::Read) {
                operation.outcome = Answer::Succeeded;
                if (below(6) == 0) operation.version = 0;
            }
            operation.invoked_at = static_cast<std::int64_t>(below(length));
            operation.returned_at = operation.invoked_at + 1 + static_cast<std::int64_t>(below(6));
            all.push_back(operation);
        }
        const bool expected = HistoryChecker{all}.explains();
        const auto reason = find_violation(all);
        (expected ? valid_messages : bad) += 1;
        if (!reason.has_value() == expected) continue;
        for (const Operation& operation : all)
            fprintf(stderr, "%s r%lu/%lu %ld-%ld %d\n", operation.kind == Kind::Read ? "read" : "replace",
                    operation.version, operation.body_digest, operation.invoked_at, operation.returned_at,
                    static_cast<int>(operation.outcome));
        cr_assert_fail("history %lu: %s", i, reason ? reason->c_str() : "taken");
    }
    cr_assert(valid_messages > kHistories / 10 && bad > kHistories / 10, "%lu, %lu", valid_messages, bad);
}
