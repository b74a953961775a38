// Implements the part of QuotaBalancer::Impl that writes and reads the messages between neighbours.
#include <algorithm>
#include <cmath>

#include "cluster/quota/quota_balancer_impl.h"
#include "cluster/quota/transfer_estimates.h"

namespace shaletray::quota {
namespace {

using namespace std::chrono_literals;

// Changes below this fraction of a full bucket are not announced, which limits the messages while idle.
constexpr double kAnnounceThreshold = 0.4;
// Probability of evening out a difference of a single step. With 0, units could stay at gateways without
// requests; with 1, two neighbours would pass the same step back and forth.
constexpr double kSmallTransferProbability = 1.0 / 16.0;
// Entries with a request have priority over those with a transfer, and those over all others.
constexpr double kRequestPriority = 1e6;
constexpr double kTransferPriority = 1e3;
// After a neighbour's request was not fulfilled, our units are recorded as announced to it at this many above
// a full bucket, so that the difference to the actual units is large enough to be announced with the next
// message.
constexpr double kCorrectionUnits = 2.0;
// Bounds the memory used per sender of messages. Far above the number of gateways of any cluster.
constexpr std::size_t kMaxPeers = 16'384;
// Upper bound for the echo delay of a message, in microseconds, which prevents arithmetic overflow.
constexpr std::uint64_t kMaxClaimedDelay = 1'000'000'000;

double round_down_to_fraction(double units) {
    return std::floor(units * kFractionsPerUnit) / kFractionsPerUnit;
}

std::uint64_t to_microseconds(Duration duration) { return static_cast<std::uint64_t>(duration.count()); }

// The origin of a message's transfers. The message echoes our own timestamp, so that the age of the transfers
// can be determined by our clock.
struct TransferOrigin {
    TimePoint echoed_time;
    Duration echo_delay{0};
    // Earliest time at which the message's transfers can have been sent.
    TimePoint sent_at() const { return echoed_time + echo_delay; }
};

TransferOrigin origin_of(const Message& message) {
    const Duration echoed(static_cast<std::int64_t>(message.echoed_timestamp));
    const std::uint64_t delay = std::min(message.echo_delay, kMaxClaimedDelay);
    return {TimePoint(echoed), Duration(static_cast<std::int64_t>(delay))};
}

}    // namespace

// ---- writing ----

// Returns how many units to move to the neighbour: half of the difference, rounded up to a step. Half a step
// is moved with a small probability where the difference is at most a single step.
double QuotaBalancer::Impl::transfer_amount(const TenantBucket& bucket, const NeighbourState& state,
                                            TimePoint now) {
    if (!bucket.in_set || !state.received.known || state.max_transfer <= 0.0F) return 0.0;
    if (!peers_[state.peer].has_recent_message(now) || !refill_clocks_.is_running(now)) return 0.0;
    const double available = std::min(bucket.level, bucket.available_units());
    if (available <= 0.0) return 0.0;
    const double gap =
        bucket.available_units() - estimate_units(bucket, state.received, clock_of(bucket), now);
    const double granularity = transfer_granularity(bucket);
    double amount = 0.0;
    if (gap > granularity) {
        amount = std::ceil(gap / 2.0 / granularity) * granularity;
    } else if (gap > granularity / 2.0 &&
               std::uniform_real_distribution<>(0.0, 1.0)(random_) < kSmallTransferProbability) {
        amount = granularity / 2.0;
    }
    const double permitted = std::min({amount, available, static_cast<double>(state.max_transfer)});
    return std::max(0.0, round_down_to_fraction(permitted));
}

// Drafts the entry of this bucket for the neighbour. Returns false where there is nothing to send. A gateway
// outside of the set sends requests only.
bool QuotaBalancer::Impl::draft_entry(const TenantBucket& bucket, const NeighbourState& state, TimePoint now,
                                      EntryDraft& draft) {
    const bool has_request = state.pending_request > 0.0F;
    if (!bucket.in_set && !has_request) return false;
    const double available = bucket.available_units();
    const bool under_pressure = bucket.under_pressure(now);
    const double amount = transfer_amount(bucket, state, now);
    // A neighbour assumes that a bucket which was never announced is full.
    const bool differs_from_assumption = state.announced.known || available < bucket.capacity_share;
    const double announced =
        differs_from_assumption ? estimate_units(bucket, state.announced, clock_of(bucket), now) : available;
    const double change = std::fabs(available - amount - announced);
    const bool change_matters =
        change > std::max(transfer_granularity(bucket), kAnnounceThreshold * bucket.member_capacity);
    const bool pressure_changed = state.announced.known && state.announced.under_pressure != under_pressure;
    if (!has_request && amount <= 0.0 && !change_matters && !pressure_changed) return false;
    draft.entry.tenant = bucket.id;
    draft.entry.transfer = static_cast<float>(amount);
    draft.entry.urgent = has_request;
    draft.entry.under_pressure = under_pressure;
    draft.priority = (has_request ? kRequestPriority : 0.0) +
                     (amount > 0.0 ? kTransferPriority * (1.0 + amount / bucket.member_capacity) : 0.0) +
                     change / bucket.member_capacity;
    return true;
}

// Fills drafts_ with the entries for this peer. Where these exceed one message, keeps those of highest
// priority.
void QuotaBalancer::Impl::draft_entries(PeerTable::Index peer, TimePoint now) {
    drafts_.clear();
    for (const BucketTable::Index index : pending_updates_) {
        TenantBucket& bucket = buckets_[index];
        const NeighbourState* const state = bucket.find_neighbour(peer);
        if (state == nullptr) continue;
        EntryDraft draft;
        draft.bucket_index = index;
        advance_bucket(bucket);
        if (draft_entry(bucket, *state, now, draft)) drafts_.push_back(draft);
    }
    if (drafts_.size() <= kMaxEntries) return;
    std::nth_element(drafts_.begin(), drafts_.begin() + kMaxEntries, drafts_.end(),
                     [](const EntryDraft& a, const EntryDraft& b) { return a.priority > b.priority; });
    drafts_.resize(kMaxEntries);
}

// Completes the draft and records what it announces to the peer. Removes transferred units from the bucket,
// before the message is sent.
void QuotaBalancer::Impl::commit_entry(EntryDraft& draft, PeerTable::Index peer, TimePoint now) {
    TenantBucket& bucket = buckets_[draft.bucket_index];
    NeighbourState& state = *bucket.find_neighbour(peer);
    const RefillClock& clock = clock_of(bucket);
    Entry& entry = draft.entry;
    const double amount = entry.transfer;
    if (amount > 0.0) {
        bucket.transfer_out(amount, now);
        state.received.units =
            static_cast<float>(estimate_units(bucket, state.received, clock, now) + amount);
        state.received.reported_at = now;
        state.max_transfer -= static_cast<float>(amount);
        statistics_.units_sent += amount;
    }
    entry.available = static_cast<float>(bucket.available_units());
    if (state.pending_request > 0.0F) {
        entry.max_transfer = state.pending_request;
        // The neighbour is expected to transfer the whole amount.
        const double remaining = estimate_units(bucket, state.received, clock, now) - state.pending_request;
        state.received.units = static_cast<float>(std::max(0.0, remaining));
        state.received.reported_at = now;
        state.received.known = true;
        state.requested_at = now;
        state.outstanding_request = state.pending_request;
        state.pending_request = 0.0F;
    } else {
        const auto neighbour_index = static_cast<std::size_t>(&state - bucket.neighbours.data());
        entry.max_transfer = static_cast<float>(max_transfer_from(bucket, neighbour_index, clock, now));
    }
    state.announced = {true, entry.under_pressure, entry.available, now};
}

// Returns a message without entries, with the fields by which the receiver determines the age of transfers.
Message QuotaBalancer::Impl::make_message(const Peer& peer, TimePoint now) {
    Message message;
    message.incarnation = settings_.incarnation;
    message.sequence = ++last_sequence_;
    message.timestamp = to_microseconds(now.time_since_epoch());
    if (peer.has_recent_message(now)) {
        message.echoed_incarnation = peer.incarnation;
        message.echoed_timestamp = peer.timestamp;
        message.echo_delay = to_microseconds(now - peer.last_received);
    }
    return message;
}

void QuotaBalancer::Impl::send_message(PeerTable::Index peer, const Message& message, TimePoint now,
                                       Actions& actions) {
    peers_[peer].last_sent = now;
    actions.sends.push_back({peers_[peer].address, encode(message)});
    ++statistics_.sent;
    statistics_.sent_bytes += actions.sends.back().bytes.size();
}

void QuotaBalancer::Impl::send_to_peer(PeerTable::Index peer, TimePoint now, Actions& actions) {
    draft_entries(peer, now);
    if (drafts_.empty()) return;
    Message message = make_message(peers_[peer], now);
    for (EntryDraft& draft : drafts_) {
        commit_entry(draft, peer, now);
        message.entries.push_back(draft.entry);
    }
    send_message(peer, message, now, actions);
}

void QuotaBalancer::Impl::mark_urgent(PeerTable::Index peer) {
    if (peers_[peer].urgent) return;
    peers_[peer].urgent = true;
    urgent_peers_.push_back(peer);
}

// Sends the messages that contain requests to those peers for which urgent_interval has elapsed.
void QuotaBalancer::Impl::send_urgent(TimePoint now, Actions& actions) {
    std::erase_if(urgent_peers_, [&](PeerTable::Index peer) {
        if (now < peers_[peer].last_sent + settings_.urgent_interval) return false;
        peers_[peer].urgent = false;
        send_to_peer(peer, now, actions);
        return true;
    });
}

// Whether there is nothing to send to any neighbour about this bucket.
bool QuotaBalancer::Impl::is_up_to_date(const TenantBucket& bucket, TimePoint now) {
    if (bucket.in_set && bucket.under_pressure(now)) return false;
    EntryDraft draft;
    for (std::size_t index = 0; index < bucket.neighbour_count; ++index) {
        if (draft_entry(bucket, bucket.neighbours[index], now, draft)) return false;
    }
    return true;
}

// Returns the neighbours of all buckets with pending updates, without duplicates.
std::vector<PeerTable::Index> QuotaBalancer::Impl::peers_with_updates() const {
    std::vector<PeerTable::Index> result;
    for (const BucketTable::Index bucket_index : pending_updates_) {
        const TenantBucket& bucket = buckets_[bucket_index];
        for (std::size_t i = 0; i < bucket.neighbour_count; ++i) result.push_back(bucket.neighbours[i].peer);
    }
    std::sort(result.begin(), result.end());
    result.erase(std::unique(result.begin(), result.end()), result.end());
    return result;
}

void QuotaBalancer::Impl::send_routine(TimePoint now, Actions& actions) {
    bool all_sent = true;
    for (const PeerTable::Index peer : peers_with_updates()) {
        if (now >= peers_[peer].last_sent + settings_.message_interval) {
            send_to_peer(peer, now, actions);
        } else {
            all_sent = false;
        }
    }
    std::erase_if(pending_updates_, [&](BucketTable::Index index) {
        TenantBucket& bucket = buckets_[index];
        if ((!all_sent && bucket.in_set) || !is_up_to_date(bucket, now)) return false;
        bucket.update_pending = false;
        return true;
    });
    last_routine_send_ = now;
    next_routine_send_ = pending_updates_.empty() ? TimePoint::max() : now + settings_.message_interval;
}

// ---- reading ----

// Records the header of a message. Returns false for a message that is older than one received before.
bool QuotaBalancer::Impl::accept_header(const Message& message, Peer& peer, TimePoint now) {
    if (message.incarnation == 0 || message.incarnation < peer.incarnation) return false;
    if (message.incarnation == peer.incarnation && message.sequence <= peer.sequence) return false;
    peer.incarnation = message.incarnation;
    peer.sequence = message.sequence;
    peer.timestamp = message.timestamp;
    peer.last_received = now;
    return true;
}

// Adds transferred units to the bucket where they are recent enough. The age of a transfer is at most the
// time since our echoed timestamp, minus the time for which the sender held the echo. `state` is null where
// the sender is not a neighbour of the bucket.
void QuotaBalancer::Impl::receive_transfer(const Entry& entry, const Message& message, NeighbourState* state,
                                           TenantBucket& bucket, TimePoint now) {
    if (entry.transfer <= 0.0F) return;
    const TransferOrigin origin = origin_of(message);
    const bool accepted = message.echoed_incarnation == settings_.incarnation &&
                          origin.echo_delay <= kMaxEchoDelay && origin.echoed_time <= now &&
                          now - origin.sent_at() <= kMaxTransferAge && may_grant(bucket, now);
    if (!accepted) {
        ++statistics_.expired_transfers;
        return;
    }
    bucket.transfer_in(entry.transfer, origin.sent_at() + kReservationTime);
    statistics_.units_received += entry.transfer;
    if (state != nullptr) state->announced.units += entry.transfer;    // the sender counts them as ours
}

void QuotaBalancer::Impl::apply_entry(const Entry& entry, NeighbourState& state, TenantBucket& bucket,
                                      TimePoint now) {
    state.received = {true, entry.under_pressure, entry.available, now};
    state.max_transfer = entry.max_transfer;
    state.requested_at = TimePoint{};
    if (!bucket.in_set) {
        // This is the response of a member. Where it brings too few units, the next member is asked.
        bucket.next_plan = now;
        plan_immediately_ = plan_immediately_ || bucket.queued > 0;
        return;
    }
    if (!entry.urgent) return;
    if (transfer_amount(bucket, state, now) > 0.0) {
        mark_urgent(state.peer);
        return;
    }
    // The neighbour requested units although none can be transferred, so it overestimates ours.
    state.announced.known = true;
    state.announced.units = static_cast<float>(bucket.capacity_share + kCorrectionUnits);
    state.announced.under_pressure = false;
}

void QuotaBalancer::Impl::on_message(const std::string& from, std::string_view bytes, TimePoint now,
                                     Actions& actions) {
    advance_to(now);
    const leaf::result<Message> decoded = decode(bytes);
    if (!decoded || from == settings_.self || (!peers_.contains(from) && peers_.size() >= kMaxPeers)) {
        ++statistics_.ignored;
        return;
    }
    const PeerTable::Index peer = peers_.find_or_create(from);
    if (!accept_header(decoded.value(), peers_[peer], now)) {
        ++statistics_.ignored;
        return;
    }
    ++statistics_.received;
    const Message& message = decoded.value();
    std::vector<Entry> responses;
    for (const Entry& entry : message.entries) {
        TenantBucket* const bucket = find_or_create_bucket(entry.tenant);
        if (bucket == nullptr) {
            ++statistics_.ignored;
            continue;
        }
        NeighbourState* const state = bucket->find_neighbour(peer);
        receive_transfer(entry, message, state, *bucket, now);
        if (state != nullptr) {
            apply_entry(entry, *state, *bucket, now);
        } else if (entry.urgent) {
            responses.push_back(serve_request(entry, *bucket, peers_[peer], now));
        }
        queue_update(*bucket);
        wake_queued(*bucket, now, actions);
    }
    send_responses(peer, std::move(responses), now, actions);
    send_urgent(now, actions);
}

}    // namespace shaletray::quota
