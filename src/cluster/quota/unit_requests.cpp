// The part of QuotaBalancer::Impl for gateways outside of a tenant's set: they ask its members for the units
// that their requests need, and members answer at once.
//
// An answer moves whole units, since a part of one serves no request; what is moved ends with its
// reservation, like every transfer (tenant_bucket.h). A gateway asks as few members as cover its need by what
// it knows of them, and the next ones when an answer brings too little or does not come.
#include <algorithm>
#include <cmath>

#include "cluster/quota/quota_balancer_impl.h"
#include "cluster/quota/time_units.h"
#include "cluster/quota/transfer_estimates.h"

namespace shaletray::quota {

// A member that did not answer in time may be down: it counts as empty, and is asked again when it would have
// refilled a unit.
void QuotaBalancer::Impl::give_up_unanswered(TenantBucket& bucket, TimePoint now) {
    for (std::size_t index = 0; index < bucket.neighbour_count; ++index) {
        NeighbourState& state = bucket.neighbours[index];
        if (state.requested_at == TimePoint{} || state.awaits_reply(now)) continue;
        state.requested_at = TimePoint{};
        state.received = {.known = true, .under_pressure = true, .units = 0.0F, .reported_at = now};
    }
}

void QuotaBalancer::Impl::plan_requests_to_members(TenantBucket& bucket, TimePoint now) {
    give_up_unanswered(bucket, now);
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

// What a gateway outside of the set gets of this bucket. Nothing where this gateway is no member either: the
// two know different gateways.
Entry QuotaBalancer::Impl::answer_request(const Entry& request, TenantBucket& bucket, const Peer& peer,
                                          TimePoint now) {
    Entry answer{.tenant = request.tenant};
    if (!bucket.in_set) return answer;
    const double wanted = request.max_transfer;
    bucket.demand = bucket.demand * std::max(0.0, 1.0 - seconds(now - bucket.last_used)) + wanted;
    bucket.last_used = now;
    const bool may_transfer = peer.is_recently_heard(now) && refill_clocks_.is_running(now);
    const double available = std::min(bucket.level, bucket.available_units());
    const double amount =
        may_transfer ? std::floor(std::clamp(available + kRoundingError, 0.0, wanted)) : 0.0;
    if (amount > 0.0) {
        bucket.transfer_out(amount, now);
        statistics_.units_sent += amount;
    }
    if (amount < wanted) bucket.last_shortage = now;
    answer.transfer = static_cast<float>(amount);
    answer.available = static_cast<float>(bucket.available_units());
    answer.under_pressure = bucket.under_pressure(now);
    queue_update(bucket);
    return answer;
}

void QuotaBalancer::Impl::send_answers(PeerTable::Index peer, std::vector<Entry> answers, TimePoint now,
                                       Actions& actions) {
    if (answers.empty()) return;
    Message message = make_message(peers_[peer], now);
    message.entries = std::move(answers);
    send_message(peer, message, now, actions);
}

}    // namespace shaletray::quota
