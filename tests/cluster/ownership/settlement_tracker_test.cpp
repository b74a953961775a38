// When keys that changed hands may be granted: after the wait, or once their previous owner has proven that
// it holds them no more.
#include "cluster/ownership/settlement_tracker.h"

#include "cluster/ownership/grant_rules.h"
#include "cluster/ownership/ownership_helpers.h"

using namespace shaletray;
using namespace shaletray::ownership;
using namespace shaletray::ownership::test;

namespace {

const TimePoint kStart = TimePoint{} + 1000s;

// Server "b" held keys 16384 to 32767 with fence 1 and leaves: it keeps the first one with fence 5.
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
    bool settles_at(TimePoint now, bool by_wait = true) {
        return tracker.settle(6, now, by_wait).has_value();
    }
};

}    // namespace

Test(settlement_tracker, settles_after_the_wait_on_its_own_clock_and_not_before) {
    Drain drain(false);
    const TimePoint over = kStart + 1s + settle_wait(4s);
    cr_assert(settle_wait(4s) == 5280ms);
    cr_assert(!drain.settles_at(over - 1ms));
    cr_assert(drain.settles_at(over));
    cr_assert(drain.tracker.next_deadline() == over);
    const OwnershipTable settled_table = *drain.tracker.settle(6, over, true);
    for (const Assignment& row : settled_table.services.at("saves")) cr_assert(row.settled);
    cr_assert(settled_table.version == 6);
}

Test(settlement_tracker, a_controller_that_starts_waits_anew) {
    Drain drain(false);
    SettlementTracker started_later;
    started_later.on_table(drain.after, kStart + 4s);
    cr_assert(!started_later.settle(6, kStart + 4s + settle_wait(4s) - 1ms, true));
    cr_assert(started_later.settle(6, kStart + 4s + settle_wait(4s), true));
}

Test(settlement_tracker, settles_at_once_what_is_proven_to_be_released_with_its_handover) {
    Drain drain;
    cr_assert(!drain.settles_at(kStart + 1s));
    cr_assert(drain.tracker.on_report("saves", "b", drain.released));
    cr_assert(!drain.tracker.on_report("saves", "b", drain.released), "once");
    const auto table = drain.tracker.settle(6, kStart + 1s, false);
    cr_assert(table.has_value());
    for (const Assignment& row : table->services.at("saves"))
        if (row.previous_owner == "b") cr_assert(row.settled && row.handover == "5c0e");
}

// Each lacks one part of the proof, so that the server might still take the old row.
Test(settlement_tracker, takes_nothing_less_for_a_proof) {
    const HoldReport nothing_held{{}, {{{16385, 32767}, "5c0e"}}};
    const HoldReport old_fence_kept{{{{16384, 16384}, 1}}, {{{16385, 32767}, "5c0e"}}};
    const HoldReport still_working{{{{16384, 16384}, 5}, {{16385, 32767}, 1}}, {}};
    for (const HoldReport& report : {nothing_held, old_fence_kept, still_working}) {
        Drain drain;
        cr_assert(!drain.tracker.on_report("saves", "b", report));
        cr_assert(!drain.settles_at(kStart + 2s));
    }
    Drain by_another;
    cr_assert(!by_another.tracker.on_report("saves", "c", by_another.released));
    Drain never_reported(false);
    cr_assert(!never_reported.tracker.on_report("saves", "b", never_reported.released));
}

Test(settlement_tracker, forgets_the_proof_of_a_row_that_was_cut_again) {
    Drain drain;
    cr_assert(drain.tracker.on_report("saves", "b", drain.released));
    OwnershipTable replaced = drain.after;
    replaced.version = 7;
    for (Assignment& row : replaced.services.at("saves"))
        if (!row.settled) row.fence = row.changed = 7, row.previous_owner.clear();
    drain.tracker.on_table(replaced, kStart + 2s);
    cr_assert(!drain.tracker.settle(8, kStart + 2s, true));
}

Test(grant_rules, a_table_is_granted_from_only_with_a_fresh_confirmation) {
    cr_assert(!may_grant(std::nullopt, kStart));
    cr_assert(may_grant(kStart - kMaxConfirmationAge, kStart));
    cr_assert(!may_grant(kStart - kMaxConfirmationAge - 1ms, kStart));
    cr_assert(choose_hold(1500ms, 10s) == 4s && choose_hold(6s, 10s) == 10s);
}

Test(grant_rules, only_settled_rows_are_granted) {
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
