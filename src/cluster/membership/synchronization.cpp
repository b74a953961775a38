// Anti-entropy: processes whose digests keep differing transfer the differing parts of their tables.
#include <algorithm>
#include <bit>

#include "cluster/membership/membership_impl.h"

namespace shaletray::membership {
namespace {

// Average number of members per digest bucket.
constexpr std::size_t kMembersPerBucket = 8;
// Upper estimate of the bytes of the addresses in a sync page.
constexpr std::size_t kPageAddressBytes = 60;
// Maximum number of pages held until the preceding ones arrive.
constexpr std::size_t kMaxEarlyPages = 4 * kPagesPerRequest;

std::size_t bucket_count_for(std::size_t live_count) {
    const std::size_t target_count = std::bit_ceil((live_count + 1) / kMembersPerBucket + 1);
    return std::clamp<std::size_t>(target_count, 1, kMaxBuckets);
}

void end_page_at_last_entry(Packet& page) {
    page.last_page = false;
    page.up_to_address = page.entries.back().info.address;
}

}    // namespace

Duration Membership::Impl::min_sync_interval() const {
    return is_large() ? kMinSyncIntervalLarge : kMinSyncInterval;
}

void Membership::Impl::compare_digest(const std::string& from, const Packet& packet, TimePoint now,
                                      Actions& actions) {
    if (packet.digest == digest()) {
        sync_requested_ = false;
        if (++consecutive_agreements_ >= kAgreementsInSync) drop_disseminated_gossip();
        return;
    }
    consecutive_agreements_ = 0;
    if (!should_synchronize(packet, now)) return;
    sync_requested_ = false;
    SyncPull pull;
    pull.source = from;
    pull.digest_buckets = digest_buckets(bucket_count_for(table_.live_count()));
    pull_ = std::move(pull);
    last_sync_at_ = now;
    send_sync_request(now, actions);
}

// While changes are still being sent as gossip, synchronization is unnecessary, unless the sender knows many
// more members.
bool Membership::Impl::should_synchronize(const Packet& packet, TimePoint now) const {
    if (pull_ || !joined_) return false;
    if (sync_requested_) return true;
    if (now < next_sync_at_) return false;
    const std::size_t live_count = table_.live_count();
    const bool has_fewer_members = packet.member_count > live_count + live_count / 16 + 2;
    const bool changed_lately = now - last_change_at_ < kStableTime;
    const bool synchronized_lately = now - last_sync_at_ < 2 * kStableTime;
    return has_fewer_members || !changed_lately || !synchronized_lately;
}

void Membership::Impl::drop_disseminated_gossip() {
    consecutive_agreements_ = 0;
    sync_interval_ = min_sync_interval();
    gossip_queue_.drop_disseminated(max_eager_transmissions());
}

std::vector<std::uint64_t> Membership::Impl::digest_buckets(std::size_t bucket_count) const {
    std::vector<std::uint64_t> sums = table_.digest_buckets(bucket_count);
    sums[MemberTable::bucket_index(self_record_.address_hash, bucket_count)] ^= self_record_.digest;
    return sums;
}

void Membership::Impl::send_sync_request(TimePoint now, Actions& actions) {
    const bool joining = pull_->purpose == PullPurpose::Join;
    const Duration timeout = joining ? join_timeout_ : kAckTimeout;
    pull_->deadline = now + timeout * (1 << (pull_->attempts - 1));    // doubles with each attempt
    Packet packet = make_packet(PacketKind::SyncRequest, ++sequence_number_);
    packet.after_address = pull_->after_address;
    packet.digest_buckets = pull_->digest_buckets;
    if (joining && pull_->after_address.empty()) packet.entries.push_back(self_record_.to_full_entry());
    send_packet(pull_->source, packet, actions);
}

void Membership::Impl::send_sync_pages(const std::string& to, const Packet& request, Actions& actions) {
    const std::vector<bool> bucket_differs = compare_buckets(request.digest_buckets);
    std::string after_address = request.after_address;
    for (int i = 0; i < kPagesPerRequest; ++i) {
        Packet page = make_sync_page(request, after_address, bucket_differs);
        page.request_more = i == kPagesPerRequest - 1;
        send_bytes(to, encode_sync_page(page), actions);
        if (page.last_page) return;
        after_address = page.up_to_address;
    }
}

// Which buckets differ; empty if there are no buckets to compare with.
std::vector<bool> Membership::Impl::compare_buckets(const std::vector<std::uint64_t>& peer_buckets) const {
    std::vector<bool> differs;
    if (peer_buckets.empty()) return differs;
    const std::vector<std::uint64_t> own = digest_buckets(peer_buckets.size());
    for (std::size_t i = 0; i < own.size(); ++i) differs.push_back(own[i] != peer_buckets[i]);
    return differs;
}

bool Membership::Impl::is_in_sync_page(const Record& record, const std::vector<bool>& bucket_differs) const {
    // Suspicions from before a pause are not passed on.
    if (record.member->state == State::Suspect && resumed_at_ != TimePoint{} &&
        record.suspected_since <= resumed_at_)
        return false;
    return bucket_differs.empty() ||
           bucket_differs[MemberTable::bucket_index(record.address_hash, bucket_differs.size())];
}

Packet Membership::Impl::make_sync_page(const Packet& request, const std::string& after_address,
                                        const std::vector<bool>& bucket_differs) {
    Packet page = make_packet(PacketKind::SyncPage, request.sequence_number);
    page.after_address = after_address;
    page.last_page = true;
    std::size_t page_bytes = estimate_size(page) + kPageAddressBytes;
    const auto add_entry = [&](const Record& record) {
        if (!is_in_sync_page(record, bucket_differs)) return true;
        Entry entry = record.to_full_entry();
        page_bytes += entry_size(entry);
        if (page_bytes > settings_.max_datagram_bytes && !page.entries.empty()) {
            page.last_page = false;
            return false;
        }
        page.entries.push_back(std::move(entry));
        return true;
    };
    const bool include_presumed_dead = request.digest_buckets.empty();    // the request of a joining process
    for_each_in_order(after_address, add_entry, include_presumed_dead);
    if (!page.last_page) end_page_at_last_entry(page);
    return page;
}

std::string Membership::Impl::encode_sync_page(Packet& page) const {
    std::string bytes = encode(page);
    while (bytes.size() > settings_.max_datagram_bytes && page.entries.size() > 1) {
        page.entries.resize(page.entries.size() - std::max<std::size_t>(1, page.entries.size() / 8));
        end_page_at_last_entry(page);
        bytes = encode(page);
    }
    return bytes;
}

void Membership::Impl::handle_sync_page(const Reception& reception) {
    const std::string& from = reception.from;
    const Packet& packet = reception.packet;
    const TimePoint now = reception.now;
    // A complete reply counts for joining even if its request was abandoned.
    if (packet.last_page && packet.after_address.empty() && !joined_) on_full_sync(from, packet, now);
    if (!pull_ || pull_->source != from) return;
    pull_->learned = pull_->learned || reception.learned;
    Packet header = packet;
    header.entries.clear();
    if (pull_->early_pages.size() < kMaxEarlyPages)
        pull_->early_pages.emplace(packet.after_address, std::move(header));
    bool request_more = false;
    while (const std::optional<Packet> page = take_next_page()) {
        pull_->after_address = page->up_to_address;
        pull_->progressed = true;
        pull_->attempts = 1;
        pull_->deadline = now + kAckTimeout;
        request_more = page->request_more;
        if (page->last_page) {
            finish_pull(*page, now);
            return;
        }
    }
    if (!request_more) return;
    pull_->early_pages.clear();
    send_sync_request(now, reception.actions);
}

// The page that follows the accepted ones, if it has arrived. A page that makes no progress is dropped, since
// the transfer would never end.
std::optional<Packet> Membership::Impl::take_next_page() {
    const auto it = pull_->early_pages.find(pull_->after_address);
    if (it == pull_->early_pages.end()) return std::nullopt;
    Packet page = std::move(it->second);
    pull_->early_pages.erase(it);
    if (!page.last_page && page.up_to_address <= pull_->after_address) return std::nullopt;
    return page;
}

void Membership::Impl::finish_pull(const Packet& last_page, TimePoint now) {
    if (pull_->purpose == PullPurpose::Join) {
        on_full_sync(pull_->source, last_page, now);
    } else {
        sync_interval_ =
            pull_->learned ? min_sync_interval() : std::min(2 * sync_interval_, kMaxSyncInterval);
        next_sync_at_ = now + sync_interval_;
    }
    pull_.reset();
}

void Membership::Impl::handle_pull_timeout(TimePoint now, Actions& actions) {
    const bool joining = pull_->purpose == PullPurpose::Join;
    // An unanswered join request is not repeated: the next seed is asked instead.
    const bool abandon = pull_->progressed ? pull_->attempts >= kMaxPullAttempts
                                           : joining || pull_->attempts >= kMaxFirstPullAttempts;
    if (!abandon) {
        ++pull_->attempts;
        pull_->early_pages.clear();
        send_sync_request(now, actions);
        return;
    }
    if (!joining) next_sync_at_ = now + kMinSyncInterval;
    pull_.reset();
}

}    // namespace shaletray::membership
