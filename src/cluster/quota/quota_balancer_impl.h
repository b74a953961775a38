// The state of a QuotaBalancer and its parts. Internal to this folder: quota_balancer.cpp has the
// configuration and the timing, request_admission.cpp the requests, balancing_messages.cpp the messages.
#pragma once

#include <array>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/quota/bucket_table.h"
#include "cluster/quota/message.h"
#include "cluster/quota/neighbours.h"
#include "cluster/quota/quota_balancer.h"
#include "cluster/quota/refill_clock.h"
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
    // An entry of a message that is being written.
    struct EntryDraft {
        BucketTable::Index bucket_index = 0;
        Entry entry;
        double priority = 0.0;    // the largest go first
    };
    // A neighbour that may be asked for units.
    struct RequestCandidate {
        double obtainable = 0.0;
        std::size_t neighbour_index = 0;
    };
    // The candidates for requests, those with most units first.
    struct RequestCandidates {
        std::array<RequestCandidate, kMaxNeighbours> items{};
        std::size_t count = 0;
        void insert(const RequestCandidate& candidate);
    };

    // Time and buckets.
    void advance_to(TimePoint now);
    void advance_all_buckets();
    void clear_buckets();
    TenantBucket* find_or_create_bucket(std::uint64_t id);
    void apply_limits_to_buckets();
    void erase_idle_buckets(TimePoint now);
    void update_share(std::uint32_t divisor, TimePoint refill_until, TimePoint now);
    void move_neighbour_states(const Neighbours::IndexMapping& previous_indices);
    void queue_update(TenantBucket& bucket);
    TimePoint queue_deadline(const TenantBucket& bucket) const;

    // Requests.
    AdmissionDecision reject(Duration retry_after_now, Duration& retry_after);
    double expected_units(const TenantBucket& bucket, double needed_units, Duration max_wait,
                          TimePoint now) const;
    Duration reserve_retry_slot(TenantBucket& bucket, Duration until_refilled, TimePoint now);
    void wake_queued(TenantBucket& bucket, TimePoint now, Actions& actions);
    void plan_requests(TenantBucket& bucket, TimePoint now);

    // Messages.
    double transfer_amount(const TenantBucket& bucket, std::size_t neighbour_index, TimePoint now);
    bool draft_entry(const TenantBucket& bucket, std::size_t neighbour_index, TimePoint now,
                     EntryDraft& draft);
    void draft_entries(std::size_t neighbour_index, TimePoint now);
    void commit_entry(EntryDraft& draft, std::size_t neighbour_index, TimePoint now);
    Message make_message(const Neighbour& neighbour, TimePoint now);
    void send_to_neighbour(std::size_t neighbour_index, TimePoint now, Actions& actions);
    void send_urgent(TimePoint now, Actions& actions);
    void send_routine(TimePoint now, Actions& actions);
    bool is_up_to_date(const TenantBucket& bucket, TimePoint now);
    bool accept_header(const Message& message, Neighbour& neighbour, TimePoint now);
    void apply_entry(const Entry& entry, std::size_t neighbour_index, TenantBucket& bucket, TimePoint now);
    void receive_transfer(const Entry& entry, const Message& message, NeighbourState& state,
                          TenantBucket& bucket, TimePoint now);

    Settings settings_;
    std::mt19937_64 random_;
    RefillClock refill_clock_;
    TenantLimits limits_;
    BucketTable buckets_;
    Neighbours neighbours_;
    bool buckets_cleared_ = true;    // since refill last stopped
    // Buckets of which neighbours may have to be told, and those for which requests are queued.
    std::vector<BucketTable::Index> pending_updates_;
    std::vector<BucketTable::Index> queued_buckets_;
    std::vector<EntryDraft> drafts_;    // kept between messages for its memory
    std::uint64_t last_sequence_ = 0;
    TimePoint next_routine_send_ = TimePoint::max();
    TimePoint last_sweep_{};
    bool plan_immediately_ = false;    // a request was queued: the next tick is due at once
    Statistics statistics_;
};

}    // namespace shaletray::quota
