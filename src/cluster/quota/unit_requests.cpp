// Implements the part of QuotaBalancer::Impl for gateways outside of a tenant's set: they request units that
// they need from members of the set, and members respond at once.
//
// A response transfers whole units, since a fraction of a unit serves no request. As with every transfer, the
// units expire with the sender's reservation (tenant_bucket.h). A gateway asks as few members as cover its
// need according to their last reports, and further members where a response brings too few units or does not
// arrive in time.
#include <algorithm>
#include <cmath>

#include "cluster/quota/quota_balancer_impl.h"
#include "cluster/quota/time_units.h"
#include "cluster/quota/transfer_estimates.h"

namespace shaletray::quota {

// A member that did not respond in time may be down: it counts as empty, and is asked again once it would
// have refilled a unit.
void QuotaBalancer::Impl::expire_unanswered_requests(TenantBucket& bucket, TimePoint now) {
    for (std::size_t index = 0; index < bucket.neighbour_count; ++index) {
        NeighbourState& state = bucket.neighbours[index];
        if (state.requested_at == TimePoint{} || state.awaits_reply(now)) continue;
        state.requested_at = TimePoint{};
        state.received = {.known = true, .under_pressure = true, .units = 0.0F, .reported_at = now};
    }
}

void QuotaBalancer::Impl::plan_requests_to_members(TenantBucket& bucket, TimePoint now) {
    expire_unanswered_requests(bucket, now);
    double needed_units = std::ceil(bucket.queued - bucket.total_units() - kRoundingError);
    RequestCandidates candidates;
    needed_units -= collect_candidates(bucket, now, candidates);
    for (std::size_t i = 0; i < candidates.count && needed_units >= 1.0; ++i) {
        const RequestCandidate& candidate = candidates.items[i];
        NeighbourState& state = bucket.neighbours[candidate.neighbour_index];
        const double amount = std::min(needed_units, candidate.obtainable);
        state.pending_request = static_cast<float>(amount);
        needed_units -= amount;
        mark_urgent(state.peer);
    }
    queue_update(bucket);
}

// Returns the response to a request from a gateway outside of the set. It transfers nothing where this
// gateway is not a member either, as happens where the two know different gateways.
Entry QuotaBalancer::Impl::serve_request(const Entry& request, TenantBucket& bucket, const Peer& peer,
                                         TimePoint now) {
    Entry response{.tenant = request.tenant};
    if (!bucket.in_set) return response;
    const double wanted = request.max_transfer;
    bucket.demand = bucket.demand * std::max(0.0, 1.0 - seconds(now - bucket.last_used)) + wanted;
    bucket.last_used = now;
    const bool may_transfer = peer.has_recent_message(now) && refill_clocks_.is_running(now);
    const double available = std::min(bucket.level, bucket.available_units());
    const double amount =
        may_transfer ? std::floor(std::clamp(available + kRoundingError, 0.0, wanted)) : 0.0;
    if (amount > 0.0) {
        bucket.transfer_out(amount, now);
        statistics_.units_sent += amount;
    }
    if (amount < wanted) bucket.last_shortage = now;
    response.transfer = static_cast<float>(amount);
    response.available = static_cast<float>(bucket.available_units());
    response.under_pressure = bucket.under_pressure(now);
    queue_update(bucket);
    return response;
}

void QuotaBalancer::Impl::send_responses(PeerTable::Index peer, std::vector<Entry> responses, TimePoint now,
                                         Actions& actions) {
    if (responses.empty()) return;
    Message message = make_message(peers_[peer], now);
    message.entries = std::move(responses);
    send_message(peer, message, now, actions);
}

}    // namespace shaletray::quota
