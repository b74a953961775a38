// Quota stores and their pairwise balancing.
#include <gtest/gtest.h>

#include "balancer/service/gateway_script.h"
#include "decision/peer_message.h"

namespace shaletray::decision::test {
namespace {

// Mail to the gateway under test, as a neighbour would write it.
PeerBytes mail(int from, double free, double gift, std::uint64_t sequence, std::uint64_t incarnation = 5,
               std::uint64_t customer = 7) {
    PeerHeader header;
    header.incarnation = incarnation;
    header.sequence = sequence;
    PeerMessageWriter writer(header);
    writer.add({CustomerId{customer}, free, gift, 0.0, {}});
    return {PeerId{from}, writer.take()};
}

TEST(QuotaStore, StartsWithItsShareOfTheBurstAndRefillsByItsShareOfTheRate) {
    Script s;
    s.hosts(8);
    EXPECT_NEAR(s.drain(7), 20.0, 0.5);
    s.pass(500ms);
    EXPECT_NEAR(s.drain(7), 5.0, 1.0);
    s.pass(60s);
    EXPECT_NEAR(s.drain(7), 20.0, 0.5);    // no more than the share of the burst
}

// Where a ledger outside works the shares out: they hold at once, and again after the customer was forgotten.
TEST(QuotaStore, GoesByTheAllowanceThatItIsTold) {
    Settings site = small_site();
    site.may_tell = false;
    Script s(site);
    s.hosts(8);
    Allowance all{CustomerId{7}, kCeiling, 0, 3, 30.0, 60.0, 40.0, 60.0, 120.0, 50.0};
    s.feed(all);
    EXPECT_NEAR(s.drain(7, kCeiling), 50.0, 0.5);    // 20 of its own and 40 moved in; the ceiling has 50
    s.feed(Allowance{CustomerId{7}, kCeiling, 0, 3, 10.0, 20.0, -60.0, 10.0, 20.0, 20.0});
    EXPECT_EQ(s.drain(7, kCeiling), 0.0);    // debts moved in as well
    s.feed(Allowance{CustomerId{8}, kCeiling, 0, 3, 10.0, 20.0, 0.0, 0.0, 0.0, 0.0});
    EXPECT_EQ(s.drain(8, kCeiling), 0.0);    // no part of the ceiling: nothing, whatever the quota holds
}

TEST(QuotaStore, ShortHoldWaitsForRefillInOrder) {
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

// Units come soon, and the request has no time to wait for them: it ends as it would be held, and is not
// looked at again (a use after free under sanitizers).
TEST(QuotaStore, RequestWithoutTimeIsEndedInPlaceOfBeingHeld) {
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
TEST(QuotaStore, FarOverQuotaIsRefusedAtOnceWithAdvice) {
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

TEST(QuotaStore, RequestLargerThanTheShareIsServedFromAFullStore) {
    Settings site = small_site();
    site.plans[kPlain].rate = 3.0;
    site.plans[kPlain].burst = 12.0;    // four a gateway, and a request of six
    Script s(site);
    s.hosts(8);
    s.ask(kSafe, 6.0);
    EXPECT_TRUE(s.last<Send>());
    s.clear();
    s.ask(kSafe, 1.0, 7, kPlain, 100ms);
    EXPECT_FALSE(s.last<Send>());    // and the store is below nothing
}

TEST(QuotaStore, SettledCostsAreSquaredAndMayLeaveItBelowNothing) {
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

TEST(QuotaStore, FurtherAttemptsTakeNothing) {
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

TEST(QuotaStore, PlanWithALimitOnAttemptsOut) {
    Script s;
    s.hosts(8);
    for (int i = 0; i < 5; ++i) s.ask(kSafe, 1.0, 7, kOpen);
    const auto sends = s.all<Send>();
    ASSERT_EQ(sends.size(), 2U);    // six over three gateways
    s.clear();
    s.served(sends[0]);
    EXPECT_EQ(s.all<Send>().size(), 1U);    // a held one follows
}

TEST(QuotaStore, BeyondQuotaOnlyWhereItPaysAndThereIsRoom) {
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
    for (int i = 0; i < 100; ++i) {    // none is answered: the room runs out
        paying.clear();
        paying.ask();
        sent += paying.last<Send>() ? 1 : 0;
    }
    EXPECT_GT(sent, 5);
    EXPECT_LT(sent, 20);    // half of the limit of 32
}

TEST(QuotaStore, IdleStoreIsForgottenOnlyWhenFull) {
    Settings site = small_site();
    site.plans[kPlain].rate = 0.03;    // takes more than a minute to fill
    site.plans[kPlain].burst = 60.0;
    Script s(site);
    s.hosts(8);
    EXPECT_NEAR(s.drain(7), 20.0, 0.5);
    s.pass(120s);
    EXPECT_NEAR(s.drain(7), 1.0, 1.0);    // 120 s at a hundredth a second, not a new full store
}

TEST(Balancing, RicherGivesHalfTheGapToAPoorerNeighbour) {
    Script s;
    s.hosts(8);
    s.ask();    // makes the store known
    s.served(*s.last<Send>());
    s.pass(300ms);
    s.clear();
    s.feed(mail(1, 0.0, 0.0, 1));
    s.pass(300ms);
    double gift = 0.0;
    for (const TellPeer& tell : s.all<TellPeer>()) {
        const auto message = parse_peer_message(tell.bytes);
        ASSERT_TRUE(message);
        if (tell.peer != PeerId{1}) continue;
        for (const PeerEntry& entry : message->entries) gift += entry.passed;
    }
    EXPECT_NEAR(gift, 10.0, 2.0);                 // 20 here; there 0 and its refill since
    EXPECT_NEAR(s.drain(7), 23.0 - gift, 1.5);    // debited here, and refilled for 0.3 s
}

TEST(Balancing, GapOfAUnitOrLessMovesNothing) {
    Script s;
    s.hosts(8);
    s.ask();
    s.served(*s.last<Send>());
    s.pass(300ms);
    s.clear();
    s.feed(mail(1, 19.5, 0.0, 1));
    s.pass(300ms);
    for (const TellPeer& tell : s.all<TellPeer>()) {
        const auto message = parse_peer_message(tell.bytes);
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
    int to_one = 0;
    for (const TellPeer& tell : s.all<TellPeer>()) {
        EXPECT_LE(tell.bytes.size(), kPeerMessageLimit);
        to_one += tell.peer == PeerId{1} ? 1 : 0;
    }
    EXPECT_GE(to_one, 4);
    EXPECT_LE(to_one, 9);
}

TEST(Balancing, NothingToSayNothingSent) {
    Script s;
    s.hosts(8);
    s.pass(5s);
    EXPECT_TRUE(s.all<TellPeer>().empty());
}

TEST(Balancing, GiftWakesAHeldRequest) {
    Settings site = small_site();
    site.plans[kPlain].rate = 3.0;
    Script s(site);
    s.hosts(8);
    s.drain(7);
    s.feed(mail(1, 20.0, 0.0, 1));    // a rich neighbour is worth a short wait
    s.clear();
    const RequestId id = s.ask(kSafe, 4.0);
    ASSERT_TRUE(s.all<Refuse>().empty());
    s.feed(mail(1, 10.0, 10.0, 2));
    ASSERT_TRUE(s.last<Send>());
    EXPECT_EQ(s.last<Send>()->request, id);
}

TEST(Balancing, DuplicateOvertakenOrEarlierLifeMailMintsNothing) {
    Script s;
    s.hosts(8);
    s.drain(7);
    s.feed(mail(1, 5.0, 5.0, 4));
    s.feed(mail(1, 5.0, 5.0, 4));       // again
    s.feed(mail(1, 5.0, 5.0, 3));       // overtaken
    s.feed(mail(1, 5.0, 5.0, 9, 4));    // of an earlier life
    EXPECT_NEAR(s.drain(7), 5.0, 0.5);
    s.feed(mail(1, 5.0, 3.0, 1, 6));    // restarted: its count begins again
    EXPECT_NEAR(s.drain(7), 3.0, 0.5);
}

TEST(Balancing, HostileMailChangesNothing) {
    Script s;
    s.hosts(8);
    s.drain(7);
    s.feed(PeerBytes{PeerId{1}, {}});
    s.feed(PeerBytes{PeerId{1}, {9, 1, 2, 3}});
    s.feed(PeerBytes{PeerId{1}, std::vector<std::uint8_t>(300, 1)});
    s.feed(mail(0, 5.0, 5.0, 1));     // from ourselves
    s.feed(mail(17, 5.0, 5.0, 1));    // from nobody
    EXPECT_EQ(s.drain(7), 0.0);
}

TEST(Balancing, SilentPeersLeaveOwnRefillAndGetNoGifts) {
    Script s;
    s.hosts(8);
    s.feed(mail(1, 0.0, 0.0, 1));
    s.pass(5s);
    s.clear();
    EXPECT_NEAR(s.drain(7), 20.0, 0.5);
    s.pass(300ms);
    for (const TellPeer& tell : s.all<TellPeer>()) {
        const auto message = parse_peer_message(tell.bytes);
        ASSERT_TRUE(message);
        for (const PeerEntry& entry : message->entries) EXPECT_EQ(entry.passed, 0.0);
    }
}

// A wide set, whose shares are a fraction of a unit: 16 units over 60 gateways.
Settings wide_site(int me = 0) {
    Settings site = small_site();
    site.me = me;
    site.gateways = 60;
    site.plans[kPlain].rate = 3.0;
    site.plans[kPlain].burst = 16.0;
    site.most_units = 8.0;
    return site;
}
PeerBytes wide_mail(int from, double free, double passed, std::uint64_t sequence, std::uint64_t echo = 0) {
    PeerHeader header{5, sequence, 1, echo, 0};
    PeerMessageWriter writer(header);
    writer.add({CustomerId{7}, free, passed, 0.0, PeerIntroduction{kPlain, 0, 60}});
    return {PeerId{from}, writer.take()};
}

TEST(Balancing, WideSetGrantsByTheStoresOfTheSet) {
    Script s(wide_site());
    s.hosts(8);
    s.feed(wide_mail(1, 16.0 / 60, 0.0, 1));
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

TEST(Balancing, DebtIsHalvedWithNeighboursBelowNothing) {
    Script s(wide_site());
    s.hosts(8);
    s.feed(wide_mail(59, 16.0 / 60, 0.0, 1));    // others are heard; a debt is not passed on into silence
    s.ask(kSafe, 3.0, 7, kPlain, 300ms, 60);
    s.served(*s.last<Send>());
    s.pass(100ms);
    const auto tells = s.all<TellPeer>();
    ASSERT_FALSE(tells.empty());
    const PeerEntry entry = parse_peer_message(tells.front().bytes)->entries.at(0);
    EXPECT_NEAR(entry.passed, -1.5, 0.05);
    EXPECT_NEAR(entry.free, -1.25, 0.1);
    ASSERT_TRUE(entry.introduction);    // the neighbour may never have met the customer
    EXPECT_EQ(entry.introduction->width, 60);
}

// By shares the cheapest plan came first, its share being the least (calm+mass, seed 3, 100 nodes: over_quota
// 0.0377).
TEST(Balancing, InAWideSetDebtsOfDearPlansGoFirst) {
    Settings site = wide_site();
    site.plans[kPlain].price = 0.5;
    site.plans[kPlain].burst = 6.0;
    site.plans[kPlain].rate = 1.0;
    site.plans[kOpen] = site.plans[kPlain];    // no limit on attempts
    site.plans[kOpen].price = 1.4;
    site.plans[kOpen].burst = 30.0;
    site.plans[kOpen].rate = 9.0;
    Script s(site);
    s.hosts(8);
    s.feed(wide_mail(59, 0.1, 0.0, 1));
    s.ask(kSafe, 2.0, 7, kPlain, 300ms, 60);
    s.ask(kSafe, 2.0, 8, kOpen, 300ms, 60);
    ASSERT_EQ(s.all<Send>().size(), 2U);
    s.pass(100ms);
    const auto tells = s.all<TellPeer>();
    ASSERT_FALSE(tells.empty());
    const auto message = parse_peer_message(tells.front().bytes);
    ASSERT_EQ(message->entries.size(), 2U);
    EXPECT_EQ(message->entries[0].customer, CustomerId{8});
}

TEST(Balancing, WhatALostMessageMovedTheNextOneMoves) {
    Script s(wide_site());
    s.hosts(8);
    s.feed(wide_mail(1, 0.2, 0.0, 1));
    s.feed(wide_mail(1, 0.2, -20.0, 3));    // the second was lost; this one tells the sum of both
    s.feed(wide_mail(1, 0.2, -20.0, 3));    // and is counted once
    s.clear();
    s.ask(kSafe, 1.0, 7, kPlain, 300ms, 60);
    EXPECT_FALSE(s.last<Send>());
    s.feed(wide_mail(1, 0.2, 0.0, 4));    // passed back
    s.ask(kSafe, 1.0, 7, kPlain, 300ms, 60);
    EXPECT_TRUE(s.last<Send>());
}

TEST(Balancing, PassedToAnEarlierLifeIsNotTakenUp) {
    Script s(wide_site());
    s.hosts(8);
    s.feed(wide_mail(1, 0.2, -20.0, 1, 12345));    // meant for another start of this gateway
    s.ask(kSafe, 1.0, 7, kPlain, 300ms, 60);
    EXPECT_TRUE(s.last<Send>());
}

TEST(Balancing, RefusalInAWideSetAdvisesByTheRefillOfTheSet) {
    Script s(wide_site());
    s.hosts(8);
    for (const int from : {1, 2, 4, 8, 16, 59, 58, 56, 52, 44}) s.feed(wide_mail(from, 0.14, 0.0, 1));
    s.ask(kSafe, 3.0, 7, kPlain, 300ms, 60);
    const auto refused = s.last<Refuse>();
    ASSERT_TRUE(refused);    // about eight and a half are free, and six and a half are left for others
    EXPECT_GT(refused->retry_after, 100ms);
    EXPECT_LT(refused->retry_after, 800ms);    // its own share would take 55 s
}

TEST(Balancing, GatewayThatHearsNobodyLivesOnItsOwnRefill) {
    Script s(wide_site());
    s.hosts(8);
    EXPECT_EQ(s.drain(7, kPlain, 3.0, 20, 60), 3.0);    // one from the full store, which is then in debt
    s.pass(10s);
    EXPECT_EQ(s.drain(7, kPlain, 3.0, 20, 60), 0.0);
}

TEST(Balancing, IntroductionsThatMakeNoSenseAreIgnored) {
    Script s(wide_site(40));
    s.hosts(8);
    std::uint64_t sequence = 0;
    for (const PeerIntroduction i : {PeerIntroduction{9, 0, 60}, PeerIntroduction{kPlain, 60, 60},
                                     PeerIntroduction{kPlain, 0, 61}, PeerIntroduction{kPlain, 0, 20},
                                     PeerIntroduction{kPlain, 30, 20}, PeerIntroduction{kPlain, 0, 0}}) {
        PeerMessageWriter writer(PeerHeader{5, ++sequence, 1, 0, 0});
        writer.add({CustomerId{7}, -9.0, -9.0, 0.0, i});
        s.feed(PeerBytes{PeerId{1}, writer.take()});
    }
    s.pass(2s);
    EXPECT_TRUE(s.all<TellPeer>().empty());    // no such customer here
}

TEST(Balancing, RequestHeldForRoomDoesNotBlockItsCustomersUnits) {
    // Found on i632478: requests that waited for a server kept the customer's others from their units.
    Script s;
    s.hosts(1);
    s.ask(kSafe, 1.0);
    s.clear();
    std::size_t sent = 0;
    for (int i = 0; i < 10; ++i) {
        s.ask(kSafe, 1.0);
        sent = s.all<Send>().size();
    }
    EXPECT_LT(sent, 10U);    // the limit is reached, the rest wait for room
    EXPECT_TRUE(s.all<Refuse>().empty());
}

}    // namespace
}    // namespace shaletray::decision::test
