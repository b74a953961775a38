// Tests find_violation(), the linearizability checker, with known violations and against a brute-force
// search.
#include "operation_history.h"

#include <criterion/criterion.h>

#include <random>

#include "cluster/consensus/register_cluster.h"

using namespace shaletray::history;
using Kind = Operation::Kind;
using OperationOutcome = Operation::Outcome;

namespace {

Operation replace(std::uint64_t version, std::uint64_t body, std::int64_t from, std::int64_t to,
                  OperationOutcome answer = OperationOutcome::Succeeded) {
    return {Kind::Replace, version, body, from, to, answer};
}
Operation read(std::uint64_t version, std::uint64_t body, std::int64_t from, std::int64_t to) {
    return {Kind::Read, version, body, from, to, OperationOutcome::Succeeded};
}

// Checks linearizability by definition: whether some order respects the times of the operations and explains
// every outcome. Operations with an indeterminate outcome may be left out. Bodies of earlier versions are
// remembered.
struct BruteForceChecker {
    const std::vector<Operation>& operations;
    std::vector<bool> done = std::vector<bool>(operations.size(), false);
    std::map<std::uint64_t, std::uint64_t> committed{{0, 0}};

    bool is_consistent(const Operation& operation) const {
        const auto known = committed.find(operation.version);
        const auto& [version, body] = *committed.rbegin();
        if (operation.kind == Kind::Read)
            return operation.version == version && (operation.version == 0 || operation.body_digest == body);
        if (operation.outcome == OperationOutcome::Succeeded)
            return operation.version > version || known == committed.end() ||
                   known->second == operation.body_digest;
        return known != committed.end() && known->second != operation.body_digest;    // Conflict
    }
    bool is_linearizable() {
        std::int64_t first_return = std::numeric_limits<std::int64_t>::max();
        bool pending = false;
        for (std::size_t i = 0; i < operations.size(); ++i) {
            if (done[i] || operations[i].outcome == OperationOutcome::Indeterminate ||
                operations[i].outcome == OperationOutcome::Rejected)
                continue;
            pending = true;
            first_return = std::min(first_return, operations[i].returned_at);
        }
        if (!pending) return true;
        for (std::size_t i = 0; i < operations.size(); ++i) {
            const Operation& operation = operations[i];
            const bool indeterminate = operation.outcome == OperationOutcome::Indeterminate;
            if (done[i] || operation.invoked_at > first_return ||
                operation.outcome == OperationOutcome::Rejected)
                continue;
            if (indeterminate ? operation.kind == Kind::Read : !is_consistent(operation)) continue;
            const auto before = committed;
            if (operation.kind == Kind::Replace && operation.outcome != OperationOutcome::Conflict &&
                operation.version > committed.rbegin()->first)
                committed[operation.version] = operation.body_digest;
            done[i] = true;
            if (is_linearizable()) return true;
            done[i] = false;
            committed = before;
        }
        return false;
    }
};

}    // namespace

Test(history, accepts_linearizable_histories) {
    cr_assert(!find_violation({}));
    cr_assert(!find_violation({read(0, 0, 1, 2), replace(3, 30, 1, 5), read(3, 30, 2, 3), read(0, 0, 1, 4)}));
    // A superseded version, a resent one, and one rejected because it already had another body.
    cr_assert(!find_violation({replace(3, 30, 1, 2), replace(2, 20, 3, 4), replace(3, 30, 5, 6),
                               replace(3, 31, 7, 8, OperationOutcome::Conflict), read(3, 30, 9, 10)}));
    // Two bodies under a version that was superseded before either was sent.
    cr_assert(!find_violation({replace(5, 50, 1, 2), replace(4, 40, 3, 4), replace(4, 41, 3, 4)}));
    // An operation without an answer takes effect much later, between two reads.
    cr_assert(!find_violation({replace(4, 40, 1, 0, OperationOutcome::Indeterminate), replace(3, 30, 2, 3),
                               read(3, 30, 8, 9), read(4, 40, 10, 11)}));
}

Test(history, rejects_histories_with_violations) {
    const std::pair<const char*, std::vector<Operation>> violations[] = {
        {"two bodies acknowledged under one committed version",
         {replace(3, 30, 1, 5), replace(3, 31, 1, 5), read(3, 30, 6, 7)}},
        {"two bodies acknowledged under one version that was superseded in between",
         {replace(3, 30, 1, 2), read(3, 30, 3, 4), replace(4, 40, 5, 6), replace(3, 31, 7, 8)}},
        {"two bodies acknowledged, at least one of which was committed",
         {replace(3, 30, 1, 2), replace(3, 31, 3, 4)}},
        {"two bodies read under one version",
         {replace(3, 30, 1, 9, OperationOutcome::Indeterminate),
          replace(3, 31, 1, 9, OperationOutcome::Indeterminate), read(3, 30, 2, 3), read(3, 31, 4, 5)}},
        {"acknowledged, then reported as a conflict",
         {replace(3, 30, 1, 2), replace(3, 30, 3, 4, OperationOutcome::Conflict)}},
        {"rejected as invalid, but read",
         {replace(3, 30, 1, 2, OperationOutcome::Rejected), read(3, 30, 3, 4)}},
        {"conflict with another body that nobody sent", {replace(3, 30, 1, 2, OperationOutcome::Conflict)}},
        {"conflict before the other body was sent",
         {replace(3, 30, 1, 2, OperationOutcome::Conflict), replace(3, 31, 3, 4)}},
        {"read before it was sent", {read(3, 30, 1, 2), replace(3, 30, 3, 4)}},
        {"a read returns an older version than an earlier read",
         {replace(3, 30, 1, 2), replace(4, 40, 1, 0, OperationOutcome::Indeterminate), read(4, 40, 3, 4),
          read(3, 30, 5, 6)}},
        {"an older version read after a newer one was acknowledged",
         {replace(3, 30, 1, 2), replace(4, 40, 3, 4), read(3, 30, 5, 6)}},
        {"a read without a version after an acknowledgement", {replace(3, 30, 1, 2), read(0, 0, 3, 4)}},
        {"acknowledged as superseded before any later version was sent",
         {replace(3, 30, 1, 2), read(0, 0, 3, 4), replace(4, 40, 5, 6)}},
        {"a lower version replaces a higher one",
         {replace(5, 50, 1, 2), replace(3, 30, 3, 4), read(3, 30, 5, 6)}},
    };
    for (const auto& [description, history] : violations)
        cr_assert(find_violation(history), "%s", description);
}

Test(history, agrees_with_brute_force_search) {
    std::mt19937_64 random(1);
    const auto random_below = [&random](std::uint64_t limit) { return random() % limit; };
    constexpr std::uint64_t kHistories = 60'000 / shaletray::consensus::test::kSanitizerDivisor;
    std::uint64_t valid_count = 0, invalid_count = 0;
    for (std::uint64_t i = 0; i < kHistories; ++i) {
        std::vector<Operation> operations;
        const std::uint64_t count = 2 + random_below(4), length = 2 + random_below(12);
        for (std::uint64_t added = 0; added < count; ++added) {
            Operation operation;
            operation.kind = random_below(3) == 0 ? Kind::Read : Kind::Replace;
            operation.version = 1 + random_below(3);
            operation.body_digest = random_below(2);
            const std::uint64_t kind = random_below(8);
            operation.outcome = kind == 0   ? OperationOutcome::Indeterminate
                                : kind == 1 ? OperationOutcome::Conflict
                                            : OperationOutcome::Succeeded;
            if (operation.kind == Kind::Read) {
                operation.outcome = OperationOutcome::Succeeded;
                if (random_below(6) == 0) operation.version = 0;
            }
            operation.invoked_at = static_cast<std::int64_t>(random_below(length));
            operation.returned_at = operation.invoked_at + 1 + static_cast<std::int64_t>(random_below(6));
            operations.push_back(operation);
        }
        const bool expected = BruteForceChecker{operations}.is_linearizable();
        const auto reason = find_violation(operations);
        (expected ? valid_count : invalid_count) += 1;
        if (!reason.has_value() == expected) continue;
        for (const Operation& operation : operations)
            fprintf(stderr, "%s r%lu/%lu %ld-%ld %d\n", operation.kind == Kind::Read ? "read" : "replace",
                    operation.version, operation.body_digest, operation.invoked_at, operation.returned_at,
                    static_cast<int>(operation.outcome));
        cr_assert_fail("history %lu: %s", i, reason ? reason->c_str() : "accepted");
    }
    cr_assert(valid_count > kHistories / 10 && invalid_count > kHistories / 10, "%lu, %lu", valid_count,
              invalid_count);
}
