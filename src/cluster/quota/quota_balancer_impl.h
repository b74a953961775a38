// The state of a QuotaBalancer. Internal to this folder. The methods are implemented in several files:
// quota_balancer.cpp has configuration and timing, set_membership.cpp gateway sets, request_admission.cpp
// admission of requests, balancing_messages.cpp messages between members, and unit_requests.cpp requests for
// units from gateways outside of a set.
#pragma once

#include <array>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/quota/bucket_table.h"
#include "cluster/quota/gateway_sets.h"
#include "cluster/quota/message.h"
#include "cluster/quota/peers.h"
#include "cluster/quota/quota_balancer.h"
#include "cluster/quota/refill_clocks.h"
#include "cluster/quota/tenant_bucket.h"
#include "cluster/quota/tenant_limits.h"

namespace shaletray::quota {

class QuotaBalancer::Impl {
public:
    Impl(Settings settings, TimePoint now);

    // As in QuotaBalancer.
    void set_quotas(const std::map<std::string, Quota>& quotas_by_tenant, TimePoint now);
    void set_peers(PeerSet peer_set, TimePoint now);
    AdmissionDecision request_unit(const std::string& tenant, Duration max_wait, TimePoint now,
                                   Duration& retry_after);
    void adjust_queued(const std::string& tenant, int change);
    void return_unit(const std::string& tenant, TimePoint now);
    void on_message(const std::string& from, std::string_view bytes, TimePoint now, Actions& actions);
    void tick(TimePoint now, Actions& actions);
    TimePoint next_deadline() const;
    double available_units(const std::string& tenant, TimePoint now) const;
    std::map<std::string, double> available_units_by_tenant(TimePoint now) const;
    Statistics statistics() const;

private:
    // An entry of a message that is being composed.
    struct EntryDraft {
        BucketTable::Index bucket_index = 0;
        Entry entry;
        double priority = 0.0;    // entries with the highest are sent first
    };
    // A neighbour that may be asked for units.
    struct RequestCandidate {
        double obtainable = 0.0;
        std::size_t neighbour_index = 0;
    };
    // The candidates for requests, in descending order of obtainable units.
    struct RequestCandidates {
        std::array<RequestCandidate, kMaxNeighbours> items{};
        std::size_t count = 0;
        void insert(const RequestCandidate& candidate);
    };

    // Time and buckets.
    const RefillClock& clock_of(const TenantBucket& bucket) const {
        return refill_clocks_[bucket.set_size_class];
    }
    // A member of a set grants only while it may refill. A gateway outside of the set grants the units that
    // members have transferred to it, for which it needs no lease of its own: members count these units as
    // theirs until they expire.
    bool may_grant(const TenantBucket& bucket, TimePoint now) const {
        return !bucket.in_set || refill_clocks_.is_running(now);
    }
    void advance_bucket(TenantBucket& bucket) { bucket.advance_to(clock_of(bucket)); }
    void advance_to(TimePoint now);
    void advance_all_buckets();
    void clear_buckets();
    TenantBucket* find_or_create_bucket(std::uint64_t id);
    void apply_limits_to_buckets();
    void erase_idle_buckets(TimePoint now);
    void update_share(std::uint32_t divisor, TimePoint refill_until, TimePoint now);

    // Gateway sets.
    void apply_sets_to_buckets();
    void apply_set_to_bucket(TenantBucket& bucket, const TenantLimit& limit);
    void select_neighbours(TenantBucket& bucket);
    std::vector<std::string> neighbour_addresses(const TenantBucket& bucket) const;
    void erase_unused_peers(TimePoint now);
    void queue_update(TenantBucket& bucket);
    TimePoint queue_deadline(const TenantBucket& bucket) const;

    // Requests.
    AdmissionDecision reject(Duration retry_after_now, Duration& retry_after);
    double expected_units(const TenantBucket& bucket, double needed_units, Duration max_wait,
                          TimePoint now) const;
    double retry_rate(const TenantBucket& bucket) const;
    Duration reserve_retry_slot(TenantBucket& bucket, Duration until_refilled, TimePoint now);
    void wake_queued(TenantBucket& bucket, TimePoint now, Actions& actions);
    void plan_requests(TenantBucket& bucket, TimePoint now);
    double collect_candidates(const TenantBucket& bucket, TimePoint now, RequestCandidates& candidates) const;
    void plan_requests_to_neighbours(TenantBucket& bucket, TimePoint now);

    // Requests for units from gateways outside of a set.
    void plan_requests_to_members(TenantBucket& bucket, TimePoint now);
    void expire_unanswered_requests(TenantBucket& bucket, TimePoint now);
    Entry serve_request(const Entry& request, TenantBucket& bucket, const Peer& peer, TimePoint now);
    void send_responses(PeerTable::Index peer, std::vector<Entry> responses, TimePoint now, Actions& actions);

    // Messages.
    double transfer_amount(const TenantBucket& bucket, const NeighbourState& state, TimePoint now);
    bool draft_entry(const TenantBucket& bucket, const NeighbourState& state, TimePoint now,
                     EntryDraft& draft);
    void draft_entries(PeerTable::Index peer, TimePoint now);
    void commit_entry(EntryDraft& draft, PeerTable::Index peer, TimePoint now);
    Message make_message(const Peer& peer, TimePoint now);
    void send_message(PeerTable::Index peer, const Message& message, TimePoint now, Actions& actions);
    void send_to_peer(PeerTable::Index peer, TimePoint now, Actions& actions);
    void mark_urgent(PeerTable::Index peer);
    void send_urgent(TimePoint now, Actions& actions);
    void send_routine(TimePoint now, Actions& actions);
    std::vector<PeerTable::Index> peers_with_updates() const;
    bool is_up_to_date(const TenantBucket& bucket, TimePoint now);
    bool accept_header(const Message& message, Peer& peer, TimePoint now);
    void apply_entry(const Entry& entry, NeighbourState& state, TenantBucket& bucket, TimePoint now);
    void receive_transfer(const Entry& entry, const Message& message, NeighbourState* state,
                          TenantBucket& bucket, TimePoint now);

    Settings settings_;
    std::mt19937_64 random_;
    RefillClocks refill_clocks_;
    TenantLimits limits_;
    BucketTable buckets_;
    GatewaySets sets_;
    std::vector<std::string> ring_;    // gateways that are not dead, sorted
    PeerTable peers_;
    std::vector<PeerTable::Index> urgent_peers_;
    bool buckets_cleared_ = true;    // since refill last stopped
    // Buckets that may have to be announced to neighbours, and buckets with queued requests.
    std::vector<BucketTable::Index> pending_updates_;
    std::vector<BucketTable::Index> queued_buckets_;
    std::vector<EntryDraft> drafts_;    // kept between messages to reuse its memory
    std::uint64_t last_sequence_ = 0;
    TimePoint next_routine_send_ = TimePoint::max(), last_routine_send_{};
    TimePoint last_sweep_{};
    bool plan_immediately_ = false;    // a request was queued: the next tick is due at once
    Statistics statistics_;
};

}    // namespace shaletray::quota
