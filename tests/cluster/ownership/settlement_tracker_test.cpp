// Tests of when keys that changed hands may be granted: after the wait, or once their previous owner has
// proven that it no longer holds them.
#include "cluster/ownership/settlement_tracker.h"

#include "cluster/ownership/grant_rules.h"
#include "cluster/ownership/ownership_helpers.h"

using namespace shaletray;
using namespace shaletray::ownership;
using namespace shaletray::ownership::test;

namespace {

const TimePoint kStart = TimePoint{} + 1000s;

// Server "b", which held keys 16384 to 32767 with fence 1, leaves and keeps the first one with fence 5.
struct Drain {
    OwnershipTable before, after;
    SettlementTracker tracker;
    HoldReport held_all{{{{16384, 32767}, 1}}, {}};
    HoldReport released{{{{16384, 16384}, 5}}, {{{16385, 32767}, "5c0e"}}};

    explicit Drain(bool reported_to_hold = true) {
        Servers servers = servers_in_service({"a", "b", "c", "d"});
        before = planned({}, servers, 1);
        servers["b"].state = ServerInfo::State::Leaving;
        after = planned(before, servers, 5);
        tracker.on_table(before, kStart);
        if (reported_to_hold) tracker.on_report("saves", "b", held_all);
        tracker.on_table(after, kStart + 1s);
    }
    bool has_settleable_rows(TimePoint now, bool by_wait = true) {
        return tracker.settle(6, now, by_wait).has_value();
    }
};

}    // namespace

Test(settlement_tracker, settles_only_after_the_wait_on_its_own_clock) {
    Drain drain(false);
    const TimePoint deadline = kStart + 1s + settle_wait(4s);
    cr_assert(settle_wait(4s) == 5280ms);
    cr_assert(!drain.has_settleable_rows(deadline - 1ms));
    cr_assert(drain.has_settleable_rows(deadline));
    cr_assert(drain.tracker.next_deadline() == deadline);
    const OwnershipTable settled_table = *drain.tracker.settle(6, deadline, true);
    for (const Assignment& row : settled_table.services.at("saves")) cr_assert(row.settled);
    cr_assert(settled_table.version == 6);
}

Test(settlement_tracker, restarted_controller_waits_again) {
    Drain drain(false);
    SettlementTracker restarted;
    restarted.on_table(drain.after, kStart + 4s);
    cr_assert(!restarted.settle(6, kStart + 4s + settle_wait(4s) - 1ms, true));
    cr_assert(restarted.settle(6, kStart + 4s + settle_wait(4s), true));
}

Test(settlement_tracker, settles_proven_release_at_once_with_handover) {
    Drain drain;
    cr_assert(!drain.has_settleable_rows(kStart + 1s));
    cr_assert(drain.tracker.on_report("saves", "b", drain.released));
    cr_assert(!drain.tracker.on_report("saves", "b", drain.released),
              "a release is reported as proven only once");
    const auto table = drain.tracker.settle(6, kStart + 1s, false);
    cr_assert(table.has_value());
    for (const Assignment& row : table->services.at("saves"))
        if (row.previous_owner == "b") cr_assert(row.settled && row.handover == "5c0e");
}

// In each case one part of the proof is missing, so that the server could still accept the old row.
Test(settlement_tracker, rejects_incomplete_proofs) {
    const HoldReport nothing_held{{}, {{{16385, 32767}, "5c0e"}}};
    const HoldReport old_fence_kept{{{{16384, 16384}, 1}}, {{{16385, 32767}, "5c0e"}}};
    const HoldReport requests_in_progress{{{{16384, 16384}, 5}, {{16385, 32767}, 1}}, {}};
    for (const HoldReport& report : {nothing_held, old_fence_kept, requests_in_progress}) {
        Drain drain;
        cr_assert(!drain.tracker.on_report("saves", "b", report));
        cr_assert(!drain.has_settleable_rows(kStart + 2s));
    }
    Drain reported_by_other;
    cr_assert(!reported_by_other.tracker.on_report("saves", "c", reported_by_other.released));
    Drain never_reported(false);
    cr_assert(!never_reported.tracker.on_report("saves", "b", never_reported.released));
}

Test(settlement_tracker, discards_the_proof_of_a_replaced_row) {
    Drain drain;
    cr_assert(drain.tracker.on_report("saves", "b", drain.released));
    OwnershipTable replaced = drain.after;
    replaced.version = 7;
    for (Assignment& row : replaced.services.at("saves"))
        if (!row.settled) row.fence = row.changed = 7, row.previous_owner.clear();
    drain.tracker.on_table(replaced, kStart + 2s);
    cr_assert(!drain.tracker.settle(8, kStart + 2s, true));
}

Test(grant_rules, grants_only_with_a_recent_confirmation) {
    cr_assert(!may_grant(std::nullopt, kStart));
    cr_assert(may_grant(kStart - kMaxConfirmationAge, kStart));
    cr_assert(!may_grant(kStart - kMaxConfirmationAge - 1ms, kStart));
    cr_assert(choose_hold(1500ms, 10s) == 4s && choose_hold(6s, 10s) == 10s);
}

Test(grant_rules, grants_only_settled_rows) {
    const Drain drain;
    std::size_t granted = 0;
    for (const std::string id : {"a", "b", "c", "d"}) {
        for (const Assignment* row : granted_rows(drain.after.services.at("saves"), id)) {
            cr_assert(row->settled && row->owner == id);
            ++granted;
        }
    }
    cr_assert(granted == 4);
}
