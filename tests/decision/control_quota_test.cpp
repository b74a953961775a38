// Tests of quota token buckets and their pairwise balancing between gateways.
#include <gtest/gtest.h>

#include "balancer/service/gateway_script.h"
#include "decision/peer_message.h"

namespace shaletray::decision::test {
namespace {

// A message with one entry to the gateway under test.
PeerBytes peer_message(int from, double free, double transferred, std::uint64_t sequence,
                       std::uint64_t incarnation = 5, std::uint64_t customer = 7) {
    PeerHeader header;
    header.incarnation = incarnation;
    header.sequence = sequence;
    PeerMessageWriter writer(header);
    writer.add({CustomerId{customer}, free, transferred, 0.0, {}});
    return {PeerId{from}, writer.take()};
}

TEST(QuotaBucket, StartsWithItsShareOfTheBurstAndRefillsByItsShareOfTheRate) {
    Script s;
    s.hosts(8);
    EXPECT_NEAR(s.drain(7), 20.0, 0.5);
    s.pass(500ms);
    EXPECT_NEAR(s.drain(7), 5.0, 1.0);
    s.pass(60s);
    EXPECT_NEAR(s.drain(7), 20.0, 0.5);    // no more than the share of the burst
}

// Shares computed outside of the module apply at once, also to a customer that was dropped before.
TEST(QuotaBucket, FollowsAnAllowance) {
    Settings site = small_site();
    site.may_tell = false;
    Script s(site);
    s.hosts(8);
    Allowance all{CustomerId{7}, kCeiling, 0, 3, 30.0, 60.0, 40.0, 60.0, 120.0, 50.0};
    s.feed(all);
    EXPECT_NEAR(s.drain(7, kCeiling), 50.0, 0.5);    // 20 of its own and 40 moved in; the hard limit has 50
    s.feed(Allowance{CustomerId{7}, kCeiling, 0, 3, 10.0, 20.0, -60.0, 10.0, 20.0, 20.0});
    EXPECT_EQ(s.drain(7, kCeiling), 0.0);    // negative amounts move debts in
    s.feed(Allowance{CustomerId{8}, kCeiling, 0, 3, 10.0, 20.0, 0.0, 0.0, 0.0, 0.0});
    EXPECT_EQ(s.drain(8, kCeiling), 0.0);    // no share of the hard limit
}

TEST(QuotaBucket, QueuedRequestsGetRefilledUnitsInOrder) {
    Script s;
    s.hosts(8);
    s.drain(7);
    s.clear();
    const RequestId first = s.ask();
    const RequestId second = s.ask();
    EXPECT_TRUE(s.all<Send>().empty());
    s.pass(250ms);
    const auto sends = s.all<Send>();
    ASSERT_EQ(sends.size(), 2U);
    EXPECT_EQ(sends[0].request, first);
    EXPECT_EQ(sends[1].request, second);
}

// Units will arrive soon, but the request has no time to wait: enqueueing it ends it. Using the request after
// that was a use after free.
TEST(QuotaBucket, RequestWithoutTimeIsEndedInsteadOfQueued) {
    for (const Duration budget : {0ms, 1ms, 2ms, 5ms, 10ms, 20ms}) {
        Script s;
        s.hosts(8);
        s.drain(7);
        s.clear();
        s.ask(kSafe, 0.001, 7, kPlain, budget);
        s.pass(100ms);
        EXPECT_EQ(s.all<Send>().size() + s.all<Refuse>().size() + s.all<Fail>().size(), 1U) << budget.count();
    }
}
TEST(QuotaBucket, RequestFarOverQuotaIsRejectedAtOnceWithRetryTime) {
    Script s;
    s.hosts(8);
    s.drain(7);
    s.clear();
    for (int i = 0; i < 30; ++i) s.ask();
    const auto refused = s.all<Refuse>();
    ASSERT_GT(refused.size(), 15U);
    EXPECT_GT(refused.back().retry_after, 0ms);
    EXPECT_LE(refused.back().retry_after, 1s);
}

TEST(QuotaBucket, RequestLargerThanTheShareIsServedFromAFullBucket) {
    Settings site = small_site();
    site.plans[kPlain].rate = 3.0;
    site.plans[kPlain].burst = 12.0;    // four per gateway, and a request of six
    Script s(site);
    s.hosts(8);
    s.ask(kSafe, 6.0);
    EXPECT_TRUE(s.last<Send>());
    s.clear();
    s.ask(kSafe, 1.0, 7, kPlain, 100ms);
    EXPECT_FALSE(s.last<Send>());    // the level is negative now
}

TEST(QuotaBucket, SettledCostsAreChargedAndMayLeaveANegativeLevel) {
    Settings site = small_site();
    site.settles = true;
    Script s(site);
    s.hosts(8);
    s.ask(kSafe, 1.0);
    s.served(*s.last<Send>(), 31.0);    // 20 - 31
    s.pass(500ms);
    EXPECT_EQ(s.drain(7), 0.0);
    s.pass(1500ms);
    EXPECT_NEAR(s.drain(7), 9.0, 1.0);
}

TEST(QuotaBucket, RetriesTakeNoUnits) {
    Script s;
    s.hosts(8);
    const RequestId id = s.ask();
    const Send first = *s.last<Send>();
    s.clear();
    s.outcome(id, 0, first.host, Outcome::Full);
    const Send second = *s.last<Send>();
    s.outcome(id, 1, second.host, Outcome::Ok, true);
    EXPECT_NEAR(s.drain(7), 19.0, 0.5);
}

TEST(QuotaBucket, PlanLimitsAttemptsInFlight) {
    Script s;
    s.hosts(8);
    for (int i = 0; i < 5; ++i) s.ask(kSafe, 1.0, 7, kOpen);
    const auto sends = s.all<Send>();
    ASSERT_EQ(sends.size(), 2U);    // the share of one of three gateways
    s.clear();
    s.served(sends[0]);
    EXPECT_EQ(s.all<Send>().size(), 1U);    // a queued one follows
}

TEST(QuotaBucket, OverQuotaRequestsAreAdmittedIfTheyPayAndThereIsCapacity) {
    Settings site = small_site();
    site.plans[kPlain].rate = 0.3;
    site.plans[kPlain].burst = 3.0;
    Script strict(site);
    strict.hosts(8);
    EXPECT_NEAR(strict.drain(7), 1.0, 0.1);
    site.plans[kPlain].over_worth = 0.5;
    site.plans[kPlain].over_cost = 0.1;
    Script paying(site);
    paying.hosts(8);
    int sent = 0;
    for (int i = 0; i < 100; ++i) {    // without responses capacity runs out
        paying.clear();
        paying.ask();
        sent += paying.last<Send>() ? 1 : 0;
    }
    EXPECT_GT(sent, 5);
    EXPECT_LT(sent, 20);    // half of the concurrency limit of 32
}

TEST(QuotaBucket, IdleBucketIsDroppedOnlyWhenFull) {
    Settings site = small_site();
    site.plans[kPlain].rate = 0.03;    // takes more than a minute to fill
    site.plans[kPlain].burst = 60.0;
    Script s(site);
    s.hosts(8);
    EXPECT_NEAR(s.drain(7), 20.0, 0.5);
    s.pass(120s);
    EXPECT_NEAR(s.drain(7), 1.0, 1.0);    // 120 s at 0.01 per second, not a new full bucket
}

TEST(Balancing, TransfersHalfTheGapToANeighbour) {
    Script s;
    s.hosts(8);
    s.ask();    // creates the bucket
    s.served(*s.last<Send>());
    s.pass(300ms);
    s.clear();
    s.feed(peer_message(1, 0.0, 0.0, 1));
    s.pass(300ms);
    double transferred = 0.0;
    for (const TellPeer& sent : s.all<TellPeer>()) {
        const auto message = parse_peer_message(sent.bytes);
        ASSERT_TRUE(message);
        if (sent.peer != PeerId{1}) continue;
        for (const PeerEntry& entry : message->entries) transferred += entry.passed;
    }
    EXPECT_NEAR(transferred, 10.0, 2.0);                 // 20 here; 0 and the refill since there
    EXPECT_NEAR(s.drain(7), 23.0 - transferred, 1.5);    // debited, then refilled for 0.3 s
}

TEST(Balancing, NoTransferForAGapOfAUnitOrLess) {
    Script s;
    s.hosts(8);
    s.ask();
    s.served(*s.last<Send>());
    s.pass(300ms);
    s.clear();
    s.feed(peer_message(1, 19.5, 0.0, 1));
    s.pass(300ms);
    for (const TellPeer& sent : s.all<TellPeer>()) {
        const auto message = parse_peer_message(sent.bytes);
        ASSERT_TRUE(message);
        for (const PeerEntry& entry : message->entries) EXPECT_EQ(entry.passed, 0.0);
    }
}

TEST(Balancing, AtMostOneMessageToANeighbourInAQuarterSecond) {
    Script s;
    s.hosts(8);
    for (int i = 0; i < 200; ++i) {
        s.ask(kSafe, 1.0, static_cast<std::uint64_t>(i % 50));
        if (const auto send = s.last<Send>()) s.served(*send);
        s.pass(10ms);
    }
    int messages_to_peer = 0;
    for (const TellPeer& sent : s.all<TellPeer>()) {
        EXPECT_LE(sent.bytes.size(), kPeerMessageLimit);
        messages_to_peer += sent.peer == PeerId{1} ? 1 : 0;
    }
    EXPECT_GE(messages_to_peer, 4);
    EXPECT_LE(messages_to_peer, 9);
}

TEST(Balancing, SendsNoMessageWithoutChanges) {
    Script s;
    s.hosts(8);
    s.pass(5s);
    EXPECT_TRUE(s.all<TellPeer>().empty());
}

TEST(Balancing, ReceivedUnitsReleaseAQueuedRequest) {
    Settings site = small_site();
    site.plans[kPlain].rate = 3.0;
    Script s(site);
    s.hosts(8);
    s.drain(7);
    s.feed(peer_message(1, 20.0, 0.0, 1));    // the neighbour has units, so the request waits
    s.clear();
    const RequestId id = s.ask(kSafe, 4.0);
    ASSERT_TRUE(s.all<Refuse>().empty());
    s.feed(peer_message(1, 10.0, 10.0, 2));
    ASSERT_TRUE(s.last<Send>());
    EXPECT_EQ(s.last<Send>()->request, id);
}

TEST(Balancing, DuplicateReorderedOrOldIncarnationMessagesCreateNoUnits) {
    Script s;
    s.hosts(8);
    s.drain(7);
    s.feed(peer_message(1, 5.0, 5.0, 4));
    s.feed(peer_message(1, 5.0, 5.0, 4));       // duplicate
    s.feed(peer_message(1, 5.0, 5.0, 3));       // reordered
    s.feed(peer_message(1, 5.0, 5.0, 9, 4));    // of an earlier incarnation
    EXPECT_NEAR(s.drain(7), 5.0, 0.5);
    s.feed(peer_message(1, 5.0, 3.0, 1, 6));    // restarted: its counts start again
    EXPECT_NEAR(s.drain(7), 3.0, 0.5);
}

TEST(Balancing, MalformedMessagesAreIgnored) {
    Script s;
    s.hosts(8);
    s.drain(7);
    s.feed(PeerBytes{PeerId{1}, {}});
    s.feed(PeerBytes{PeerId{1}, {9, 1, 2, 3}});
    s.feed(PeerBytes{PeerId{1}, std::vector<std::uint8_t>(300, 1)});
    s.feed(peer_message(0, 5.0, 5.0, 1));     // from this gateway itself
    s.feed(peer_message(17, 5.0, 5.0, 1));    // from an unknown gateway
    EXPECT_EQ(s.drain(7), 0.0);
}

TEST(Balancing, SilentPeersGetNoUnits) {
    Script s;
    s.hosts(8);
    s.feed(peer_message(1, 0.0, 0.0, 1));
    s.pass(5s);
    s.clear();
    EXPECT_NEAR(s.drain(7), 20.0, 0.5);
    s.pass(300ms);
    for (const TellPeer& sent : s.all<TellPeer>()) {
        const auto message = parse_peer_message(sent.bytes);
        ASSERT_TRUE(message);
        for (const PeerEntry& entry : message->entries) EXPECT_EQ(entry.passed, 0.0);
    }
}

// Settings of a wide set, whose shares are a fraction of a unit: 16 units over 60 gateways.
Settings wide_set_settings(int me = 0) {
    Settings site = small_site();
    site.me = me;
    site.gateways = 60;
    site.plans[kPlain].rate = 3.0;
    site.plans[kPlain].burst = 16.0;
    site.most_units = 8.0;
    return site;
}
PeerBytes wide_set_message(int from, double free, double transferred, std::uint64_t sequence,
                           std::uint64_t echo = 0) {
    PeerHeader header{5, sequence, 1, echo, 0};
    PeerMessageWriter writer(header);
    writer.add({CustomerId{7}, free, transferred, 0.0, PeerIntroduction{kPlain, 0, 60}});
    return {PeerId{from}, writer.take()};
}

TEST(Balancing, WideSetGrantsFromItsPooledBuckets) {
    Script s(wide_set_settings());
    s.hosts(8);
    s.feed(wide_set_message(1, 16.0 / 60, 0.0, 1));
    double sent = 0.0;
    for (int i = 0; i < 20; ++i) {
        s.clear();
        s.ask(kSafe, 3.0, 7, kPlain, 300ms, 60);
        if (const auto send = s.last<Send>()) {
            sent += 3.0;
            s.served(*send);
        }
    }
    EXPECT_GE(sent, 6.0);    // its share alone is 0.27
    EXPECT_LE(sent, 16.0);
}

TEST(Balancing, DebtIsHalvedWithNeighbours) {
    Script s(wide_set_settings());
    s.hosts(8);
    s.feed(wide_set_message(59, 16.0 / 60, 0.0, 1));    // debts are passed on only if others send
    s.ask(kSafe, 3.0, 7, kPlain, 300ms, 60);
    s.served(*s.last<Send>());
    s.pass(100ms);
    const auto messages = s.all<TellPeer>();
    ASSERT_FALSE(messages.empty());
    const PeerEntry entry = parse_peer_message(messages.front().bytes)->entries.at(0);
    EXPECT_NEAR(entry.passed, -1.5, 0.05);
    EXPECT_NEAR(entry.free, -1.25, 0.1);
    ASSERT_TRUE(entry.introduction);    // the neighbour may not know the customer
    EXPECT_EQ(entry.introduction->width, 60);
}

// When shares alone decided, the cheapest plan came first as its share was the smallest (calm+mass, seed 3,
// 100 nodes: over_quota 0.0377).
TEST(Balancing, InAWideSetDebtsOfExpensivePlansGoFirst) {
    Settings site = wide_set_settings();
    site.plans[kPlain].price = 0.5;
    site.plans[kPlain].burst = 6.0;
    site.plans[kPlain].rate = 1.0;
    site.plans[kOpen] = site.plans[kPlain];    // no limit on attempts
    site.plans[kOpen].price = 1.4;
    site.plans[kOpen].burst = 30.0;
    site.plans[kOpen].rate = 9.0;
    Script s(site);
    s.hosts(8);
    s.feed(wide_set_message(59, 0.1, 0.0, 1));
    s.ask(kSafe, 2.0, 7, kPlain, 300ms, 60);
    s.ask(kSafe, 2.0, 8, kOpen, 300ms, 60);
    ASSERT_EQ(s.all<Send>().size(), 2U);
    s.pass(100ms);
    const auto messages = s.all<TellPeer>();
    ASSERT_FALSE(messages.empty());
    const auto message = parse_peer_message(messages.front().bytes);
    ASSERT_EQ(message->entries.size(), 2U);
    EXPECT_EQ(message->entries[0].customer, CustomerId{8});
}

TEST(Balancing, NextMessageMakesUpForALostOne) {
    Script s(wide_set_settings());
    s.hosts(8);
    s.feed(wide_set_message(1, 0.2, 0.0, 1));
    s.feed(wide_set_message(1, 0.2, -20.0, 3));    // the second was lost; this one has the sum of both
    s.feed(wide_set_message(1, 0.2, -20.0, 3));    // a duplicate
    s.clear();
    s.ask(kSafe, 1.0, 7, kPlain, 300ms, 60);
    EXPECT_FALSE(s.last<Send>());
    s.feed(wide_set_message(1, 0.2, 0.0, 4));    // transferred back
    s.ask(kSafe, 1.0, 7, kPlain, 300ms, 60);
    EXPECT_TRUE(s.last<Send>());
}

TEST(Balancing, UnitsSentToAnEarlierIncarnationAreIgnored) {
    Script s(wide_set_settings());
    s.hosts(8);
    s.feed(wide_set_message(1, 0.2, -20.0, 1, 12345));    // sent to an earlier process of this gateway
    s.ask(kSafe, 1.0, 7, kPlain, 300ms, 60);
    EXPECT_TRUE(s.last<Send>());
}

TEST(Balancing, RetryTimeInAWideSetFollowsTheRefillOfTheSet) {
    Script s(wide_set_settings());
    s.hosts(8);
    for (const int from : {1, 2, 4, 8, 16, 59, 58, 56, 52, 44}) s.feed(wide_set_message(from, 0.14, 0.0, 1));
    s.ask(kSafe, 3.0, 7, kPlain, 300ms, 60);
    const auto refused = s.last<Refuse>();
    ASSERT_TRUE(refused);    // about 8.5 are free, and 6.5 are reserved for other gateways
    EXPECT_GT(refused->retry_after, 100ms);
    EXPECT_LT(refused->retry_after, 800ms);    // its own share would take 55 s
}

TEST(Balancing, IsolatedGatewayGrantsItsOwnRefillOnly) {
    Script s(wide_set_settings());
    s.hosts(8);
    EXPECT_EQ(s.drain(7, kPlain, 3.0, 20, 60), 3.0);    // one from the full bucket, which is then in debt
    s.pass(10s);
    EXPECT_EQ(s.drain(7, kPlain, 3.0, 20, 60), 0.0);
}

TEST(Balancing, InvalidIntroductionsAreIgnored) {
    Script s(wide_set_settings(40));
    s.hosts(8);
    std::uint64_t sequence = 0;
    for (const PeerIntroduction introduction :
         {PeerIntroduction{9, 0, 60}, PeerIntroduction{kPlain, 60, 60}, PeerIntroduction{kPlain, 0, 61},
          PeerIntroduction{kPlain, 0, 20}, PeerIntroduction{kPlain, 30, 20},
          PeerIntroduction{kPlain, 0, 0}}) {
        PeerMessageWriter writer(PeerHeader{5, ++sequence, 1, 0, 0});
        writer.add({CustomerId{7}, -9.0, -9.0, 0.0, introduction});
        s.feed(PeerBytes{PeerId{1}, writer.take()});
    }
    s.pass(2s);
    EXPECT_TRUE(s.all<TellPeer>().empty());    // no such customer here
}

TEST(Balancing, RequestQueuedForCapacityDoesNotBlockItsCustomer) {
    // Requests that waited for a server kept their customer's others from their units (found on i632478).
    Script s;
    s.hosts(1);
    s.ask(kSafe, 1.0);
    s.clear();
    std::size_t sent = 0;
    for (int i = 0; i < 10; ++i) {
        s.ask(kSafe, 1.0);
        sent = s.all<Send>().size();
    }
    EXPECT_LT(sent, 10U);    // the concurrency limit is reached, the rest wait
    EXPECT_TRUE(s.all<Refuse>().empty());
}

}    // namespace
}    // namespace shaletray::decision::test
