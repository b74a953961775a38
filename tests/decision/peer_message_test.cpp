#include "decision/peer_message.h"

#include <gtest/gtest.h>

#include <random>

namespace shaletray::decision {
namespace {

TEST(PeerMessage, RoundTrip) {
    PeerHeader header{123456789012345ULL, 42, 77, 99, 1234};
    PeerMessageWriter writer(header);
    ASSERT_TRUE(writer.add({CustomerId{0x91f03b7c55d20a64}, -3.5, -2.0, 0.0, PeerIntroduction{1, 300, 135}}));
    ASSERT_TRUE(writer.add({CustomerId{1}, 1000.25, 12.125, 3.0, {}}));
    const auto message = parse_peer_message(writer.take());
    ASSERT_TRUE(message);
    EXPECT_EQ(message->header.incarnation, header.incarnation);
    EXPECT_EQ(message->header.sequence, 42U);
    EXPECT_EQ(message->header.stamp_ms, 77U);
    EXPECT_EQ(message->header.echo_incarnation, 99U);
    EXPECT_EQ(message->header.echo_stamp_ms, 1234U);
    ASSERT_EQ(message->entries.size(), 2U);
    EXPECT_EQ(message->entries[0].customer, CustomerId{0x91f03b7c55d20a64});
    EXPECT_EQ(message->entries[0].free, -3.5);
    EXPECT_EQ(message->entries[1].free, 1000.25);
    EXPECT_EQ(message->entries[1].passed, 12.125);
    EXPECT_EQ(message->entries[1].rights, 3.0);
    EXPECT_FALSE(message->entries[1].introduction);
    EXPECT_EQ(message->entries[0].passed, -2.0);
    ASSERT_TRUE(message->entries[0].introduction);
    EXPECT_EQ(message->entries[0].introduction->first_gateway, 300);
    EXPECT_EQ(message->entries[0].introduction->width, 135);
}

TEST(PeerMessage, WriterStopsAtTheSizeLimit) {
    PeerMessageWriter writer(PeerHeader{});
    std::size_t written = 0;
    while (written < 1000 && writer.add({CustomerId{written}, 2.0, 1.0, 0.5, {}})) ++written;
    EXPECT_GE(written, 15U);
    EXPECT_EQ(writer.entries(), written);
    const auto bytes = writer.take();
    EXPECT_LE(bytes.size(), kPeerMessageLimit);
    EXPECT_EQ(parse_peer_message(bytes)->entries.size(), written);
}

// A gateway in a fleet of a hundred has hundreds of customers to announce and sends a few messages per
// second, so that entries must be short.
TEST(PeerMessage, SmallCustomerIdsTakeFewBytes) {
    PeerMessageWriter writer(PeerHeader{1764633599412000ULL, 1000, 25000, 1764633599512000ULL, 25000});
    std::size_t written = 0;
    while (written < 1000 && writer.add({CustomerId{(1ULL << 33) - 1 - written}, -1.5, -40.0, 0.0, {}}))
        ++written;
    EXPECT_GE(written, 22U);    // 17 with eight bytes per customer ID
    const auto message = parse_peer_message(writer.take());
    ASSERT_TRUE(message);
    EXPECT_EQ(message->entries.back().customer, CustomerId{(1ULL << 33) - written});
}

TEST(PeerMessage, SenderDebitsExactlyTheDecodedAmount) {
    for (const double amount : {0.0, 0.1, 0.124, 1.0, 7.9, 12345.67}) {
        PeerMessageWriter writer(PeerHeader{});
        writer.add({CustomerId{1}, 0.0, amount, 0.0, {}});
        EXPECT_EQ(parse_peer_message(writer.take())->entries[0].passed, peer_amount(amount));
        EXPECT_LE(peer_amount(amount), amount);
    }
}

TEST(PeerMessage, MessageTruncatedInsideAnEntryIsRejected) {
    PeerMessageWriter writer(PeerHeader{1, 2, 3, 4, 5});
    writer.add({CustomerId{1}, 2.0, 1.0, 0.5, {}});
    const auto bytes = writer.take();
    for (std::size_t n = 0; n < bytes.size(); ++n) {
        const std::vector<std::uint8_t> cut(bytes.begin(), bytes.begin() + static_cast<std::ptrdiff_t>(n));
        const auto message = parse_peer_message(cut);
        EXPECT_TRUE(!message || message->entries.empty()) << n;    // cut exactly after the header
    }
}

TEST(PeerMessage, OtherVersionsAndOversizeMessagesAreRejected) {
    auto bytes = PeerMessageWriter(PeerHeader{}).take();
    ASSERT_TRUE(parse_peer_message(bytes));
    bytes[0] = 1;
    EXPECT_FALSE(parse_peer_message(bytes));
    EXPECT_FALSE(parse_peer_message(std::vector<std::uint8_t>(kPeerMessageLimit + 1, 1)));
    EXPECT_FALSE(parse_peer_message({}));
}

TEST(PeerMessage, RandomBytesNeverYieldNegativeOrUnlimitedAmounts) {
    std::mt19937_64 random(3);
    for (int i = 0; i < 20000; ++i) {
        std::vector<std::uint8_t> bytes(random() % (kPeerMessageLimit + 20));
        for (auto& b : bytes) b = static_cast<std::uint8_t>(random());
        if (!bytes.empty()) bytes[0] = 2;
        if (const auto message = parse_peer_message(bytes)) {
            for (const PeerEntry& entry : message->entries) {
                EXPECT_GE(entry.rights, 0.0);
                EXPECT_LE(std::abs(entry.passed), 1e12);
            }
        }
    }
}

}    // namespace
}    // namespace shaletray::decision
