#include "cluster/membership/membership_impl.h"

#include <algorithm>

namespace shaletray::membership {

Membership::Impl::Impl(Settings settings, TimePoint now)
    : settings_(std::move(settings)),
      table_(kMaxMembers),
      random_(settings_.random_seed ^ MemberTable::hash_address(settings_.self.address) ^
              settings_.self.incarnation),
      last_call_at_(now) {
    self_member_.info = settings_.self;
    self_member_.last_heard = now;
    self_record_.address = settings_.self.address;
    self_record_.member = &self_member_;
    self_record_.address_hash = MemberTable::hash_address(settings_.self.address);
    self_record_.heartbeat = 1;
    update_self_digest();
    init_timers(now);
    set_seeds(settings_.seeds);
    next_seed_ = random_index(std::max<std::size_t>(1, seeds_.size()));
    queue_gossip(self_record_, EntryForm::Full);
}

void Membership::Impl::init_timers(TimePoint now) {
    sequence_number_ = static_cast<std::uint32_t>(random_());
    const Duration::rep interval = std::max<Duration::rep>(1, settings_.probe_interval.count());
    // A random delay keeps processes that start together from probing at the same time.
    const std::size_t first_round_delay = random_index(static_cast<std::size_t>(interval));
    next_round_at_ = now + Duration(static_cast<Duration::rep>(first_round_delay));
    next_join_at_ = now;
    join_timeout_ = kAckTimeout;
}

void Membership::Impl::on_message(const std::string& from, const std::string& bytes, TimePoint now,
                                  Actions& actions) {
    if (departed_ || from == self_record_.address) return;
    detect_pause(now);
    flush_changes(actions);
    ++statistics_.received;
    statistics_.received_bytes += bytes.size();
    boost::leaf::result<Packet> decoded = decode(bytes);
    if (!decoded) {
        ++statistics_.malformed;
        return;
    }
    handle_packet(from, *decoded, now, actions);
}

void Membership::Impl::record_contact(const std::string& address, std::uint64_t incarnation, TimePoint now) {
    Record* const record = table_.find(address);
    if (departed_ || record == nullptr) return;
    if (record->member->departed || record->member->info.incarnation != incarnation) return;
    confirm_alive(*record, now, changed_members_);
}

void Membership::Impl::tick(TimePoint now, Actions& actions) {
    if (departed_) return;
    detect_pause(now);
    flush_changes(actions);
    if (pull_ && now >= pull_->deadline) handle_pull_timeout(now, actions);
    if (!joined_ && !pull_ && now >= next_join_at_) start_join(now, actions);
    retry_probes(now, actions);
    if (now >= next_round_at_) run_probe_round(now, actions);
    if (now >= next_push_at_) push_gossip(now, actions);
}

TimePoint Membership::Impl::next_deadline() const {
    if (departed_) return TimePoint::max();
    TimePoint deadline = std::min(next_round_at_, next_push_at_);
    if (pull_) deadline = std::min(deadline, pull_->deadline);
    if (!joined_ && !pull_) deadline = std::min(deadline, next_join_at_);
    for (const Probe& probe : probes_)
        if (probe.record->probing) deadline = std::min(deadline, probe.next_attempt_at);
    return deadline;
}

void Membership::Impl::set_quota_divisor(std::uint32_t divisor) {
    if (self_member_.info.quota_divisor == divisor) return;
    self_member_.info.quota_divisor = divisor;
    bump_version(EntryForm::Brief);
}

void Membership::Impl::set_disk_id(std::uint64_t disk_id) {
    if (self_member_.info.disk_id == disk_id) return;
    self_member_.info.disk_id = disk_id;
    bump_version(EntryForm::Brief);
}

void Membership::Impl::set_voter_eligible(bool eligible) {
    if (self_member_.info.voter_eligible == eligible) return;
    self_member_.info.voter_eligible = eligible;
    bump_version(EntryForm::Full);
}

void Membership::Impl::announce_departure(TimePoint now, Actions& actions) {
    if (departed_) return;
    ++self_record_.version;
    self_member_.state = State::Dead;
    Packet packet = make_packet(PacketKind::Gossip);
    self_member_.departed = true;
    self_record_.gossip_form = EntryForm::Brief;
    packet.entries.push_back(self_record_.to_entry());
    const std::string bytes = encode(packet);
    for (const Record* recipient : departure_recipients()) send_bytes(recipient->address, bytes, actions);
    departed_ = true;
    last_call_at_ = std::max(last_call_at_, now);
}

// All members that are not Dead; in large clusters random members, which pass the departure on, and
// controllers.
std::vector<Record*> Membership::Impl::departure_recipients() {
    std::vector<Record*> recipients;
    if (table_.live_count() <= kLargeCluster) {
        for (std::size_t i = 0; i < table_.size(); ++i)
            if (table_.record_at(i)->member->state != State::Dead) recipients.push_back(table_.record_at(i));
        return recipients;
    }
    recipients = choose_alive(kLargeCluster / 2, nullptr);
    for (std::size_t i = 0; i < table_.size() && recipients.size() < kLargeCluster; ++i) {
        Record* const record = table_.record_at(i);
        if (record->member->info.role == Role::Controller && record->member->state == State::Alive)
            recipients.push_back(record);
    }
    return recipients;
}

double Membership::Impl::heard_fraction(TimePoint now, Duration window) const {
    if (table_.gateway_count() == 0) return 1.0;
    if (table_.live_count() >= kLargeCluster) return estimate_heard_fraction(now, window);
    std::size_t contacted_count = 0;
    for (const auto& [address, member] : table_.members()) {
        if (member.info.role != Role::Gateway || member.state == State::Dead) continue;
        if (member.last_heard != TimePoint{} && now - member.last_heard <= window) ++contacted_count;
    }
    return static_cast<double>(contacted_count) / static_cast<double>(table_.gateway_count());
}

// The pinged gateways are a sample of those that are Alive; suspects count as without contact.
double Membership::Impl::estimate_heard_fraction(TimePoint now, Duration window) const {
    const std::size_t gateway_count = table_.gateway_count();
    std::size_t suspect_count = 0;
    for (const Record* record : table_.unreachable())
        if (record->member->state == State::Suspect && record->member->info.role == Role::Gateway)
            ++suspect_count;
    const auto alive_count = static_cast<double>(gateway_count - std::min(suspect_count, gateway_count));
    const double sampled_fraction = samples_.fraction(
        now, window,
        [](const PingSample& sample) { return sample.record->member->info.role == Role::Gateway; },
        [](const PingSample& sample) { return sample.has_contact_since(); });
    return alive_count / static_cast<double>(gateway_count) * sampled_fraction;
}

double Membership::Impl::acknowledged_fraction(TimePoint now, Duration window) const {
    if (table_.live_count() == 0) return 1.0;
    return samples_.fraction(
        now, window, [](const PingSample&) { return true; },
        [](const PingSample& sample) { return sample.acknowledged; });
}

void Membership::Impl::update_self_digest() {
    const std::uint64_t incarnation = self_member_.info.incarnation;
    self_record_.digest =
        MemberTable::compute_digest(self_record_.address_hash, incarnation, self_record_.version);
    self_record_.hash = MemberTable::identity_hash(self_record_.address_hash, incarnation);
}

void Membership::Impl::bump_version(EntryForm form) {
    ++self_record_.version;
    update_self_digest();
    queue_gossip(self_record_, form);
}

void Membership::Impl::detect_pause(TimePoint now) {
    const Duration threshold = std::max<Duration>(kPauseThreshold, 2 * settings_.probe_interval);
    if (now - last_call_at_ > threshold) resume_after_pause(now);
    last_call_at_ = std::max(last_call_at_, now);
}

void Membership::Impl::resume_after_pause(TimePoint now) {
    resumed_at_ = now;
    sequence_at_resume_ = sequence_number_;
    for (const Probe& probe : probes_) probe.record->probing = false;
    probes_.clear();
    samples_.clear();
    for (Record* record : table_.unreachable())
        if (record->member->state == State::Suspect) record->suspected_since = now;
    bump_version(EntryForm::Brief);
    sync_requested_ = true;
    next_round_at_ = now;
    pull_.reset();
}

void Membership::Impl::add_changed_member(const std::string& address,
                                          std::vector<std::string>& changed_members) {
    if (changed_members.empty() || changed_members.back() != address) changed_members.push_back(address);
}

void Membership::Impl::flush_changes(Actions& actions) {
    for (const std::string& address : changed_members_) add_changed_member(address, actions.changed_members);
    changed_members_.clear();
}

}    // namespace shaletray::membership
