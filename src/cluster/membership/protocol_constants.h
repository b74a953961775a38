// The constants of the membership protocol that are not settings. Times assume the default probe interval of
// 500 ms and round trips far below the ack timeout.
#pragma once

#include <chrono>
#include <cstddef>

#include "base/common/clock.h"

namespace shaletray::membership {

// ---- cluster sizes ----

// Capacity of the member table; members beyond it are rejected.
constexpr std::size_t kMaxMembers = 8000;
// Up to this number of members, last_acknowledged of every member is renewed within four seconds.
constexpr std::size_t kDirectContactLimit = 20;
// Below this number of members, ping targets are chosen among all members, so that each is pinged within a
// few rounds.
constexpr std::size_t kSmallCluster = 32;
// From this number of members on, packets carry no heartbeats of others, and connectivity is estimated from a
// sample of pings.
constexpr std::size_t kLargeCluster = 128;

// ---- failure detection ----

// Pings per round; in small clusters one more, so that each member is pinged within a few rounds.
constexpr std::size_t kPingsPerRoundSmall = 3;
constexpr std::size_t kPingsPerRound = 2;
// Number of random members among which the one silent for longest is pinged.
constexpr std::size_t kPingCandidates = 8;
// Timeout after which a ping is repeated, also through other members.
constexpr Duration kAckTimeout = std::chrono::milliseconds(250);
// Number of pings, including the first, before a member may be suspected.
constexpr int kMinProbeAttempts = 3;
// Number of members asked to relay a ping: at each retry of a probe, and for a Suspect member in a round.
constexpr std::size_t kProbeHelpers = 2;
constexpr std::size_t kSuspectHelpers = 1;
constexpr std::size_t kMaxProbes = 32;
constexpr std::size_t kMaxRelays = 128;
// Number of pings recorded, enough for the windows passed to heard_fraction.
constexpr std::size_t kMaxSamples = 64;
// Minimum number of pings for a fraction, even if they are older than the window.
constexpr std::size_t kMinSamples = 4;
// Number of heartbeats of others in a packet to a receiver with another digest.
constexpr std::size_t kHeartbeatsPerPacket = 24;
// Maximum age, in rounds, of a heartbeat of this process that counts as an acknowledgement when repeated by
// another member.
constexpr int kMaxEchoAge = 4;
// Time without a call after which this process counts as paused.
constexpr Duration kPauseThreshold = std::chrono::seconds(1);
// Time after a pause in which arriving messages may have been queued during the pause.
constexpr Duration kPauseDrainTime = std::chrono::milliseconds(200);
// How long a departed member is kept, so that a late message does not add it again.
constexpr Duration kDepartedRetention = std::chrono::seconds(120);
// How long a member that became Dead for silence is kept, so that joining processes learn that it may run.
constexpr Duration kDeadRetention = std::chrono::seconds(180);

// ---- dissemination ----

// Number of transmissions of a change: kTransmissionFactor * log2(number of members) + kExtraTransmissions.
constexpr int kTransmissionFactor = 2;
constexpr int kExtraTransmissions = 2;
// How many of these transmissions are sent at once instead of with the next ping or ack.
constexpr int kEagerTransmissions = 8;
constexpr int kEagerTransmissionsLarge = 6;
// Number of receivers of each eager transmission.
constexpr std::size_t kEagerPeers = 4;
constexpr std::size_t kEagerPeersLarge = 3;
// Delay of an eager transmission, so that simultaneous changes share a packet.
constexpr Duration kEagerDelay = std::chrono::milliseconds(10);
constexpr Duration kPushInterval = std::chrono::milliseconds(100);
constexpr Duration kPushIntervalLarge = std::chrono::milliseconds(250);
// How long a suspicion is sent as gossip: after it most members know it, or it was refuted.
constexpr Duration kSuspicionGossipTime = std::chrono::seconds(2);
constexpr std::size_t kMaxQueuedGossip = 512;
// Maximum number of entries in a reply that correct outdated entries of the sender.
constexpr std::size_t kMaxCorrections = 8;

// ---- synchronization ----

// Time without a change of this process's table after which others should have the same digest.
constexpr Duration kStableTime = std::chrono::seconds(1);
// Number of successive equal digests after which changes that completed their eager transmissions are dropped
// from the gossip queue.
constexpr int kAgreementsInSync = 6;
// Interval between synchronizations; doubles while they find nothing new.
constexpr Duration kMinSyncInterval = std::chrono::milliseconds(500);
constexpr Duration kMinSyncIntervalLarge = std::chrono::milliseconds(1500);
constexpr Duration kMaxSyncInterval = std::chrono::seconds(16);
// Number of pages sent per SyncRequest; the receiver requests the next ones.
constexpr int kPagesPerRequest = 4;
// Number of unanswered requests after which a synchronization is abandoned: after the first page, and before.
constexpr int kMaxPullAttempts = 4;
constexpr int kMaxFirstPullAttempts = 2;

// ---- joining ----

constexpr std::size_t kMaxSeeds = 16;
// Number of rounds between two pings to a seed that is not known to be alive.
constexpr int kRoundsPerSeedCheck = 8;
// Number of requests to each seed before a controller counts as joined without a reply.
constexpr int kControllerSeedAttempts = 3;
// Upper bound of the timeout of a join request, which doubles when no seed answers.
constexpr Duration kMaxJoinTimeout = std::chrono::seconds(2);
// From this timeout on, gateways ask also the controllers that may not vote.
constexpr Duration kLongJoinTimeout = std::chrono::seconds(1);
// Delay before a gateway asks again after a reply from a controller that has not joined itself.
constexpr Duration kJoinRetryDelay = std::chrono::milliseconds(150);

}    // namespace shaletray::membership
