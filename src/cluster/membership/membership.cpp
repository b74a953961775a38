#include "cluster/membership/membership.h"

#include <algorithm>
#include <bit>
#include <deque>
#include <random>

#include "cluster/membership/member_table.h"
#include "cluster/membership/packet.h"

namespace shaletray::membership {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMaxMembers = 8000;
constexpr std::size_t kSmallCluster = 32;    // up to here everybody meets everybody within a few rounds
constexpr std::size_t kDirectContactLimit =
    20;    // and up to here each one's proof that it hears this process is new
constexpr std::size_t kLargeCluster =
    128;    // and up to here beats prove life; above, a sample stands for all
constexpr std::size_t kPingsPerRoundSmall = 3, kPingsPerRound = 2;    // a round
constexpr std::size_t kPingCandidates = 8;          // of these the one unheard for longest is pinged
constexpr std::size_t kHeartbeatsPerPacket = 24;    // in a packet
constexpr std::size_t kMaxProbes = 32, kMaxRelays = 128, kMaxSamples = 64, kMaxGossip = 512;
constexpr std::size_t kMaxSeeds = 16, kMaxCorrections = 8;
constexpr int kPagesPerRequest = 4;              // for one Ask
constexpr Duration kAckTimeout = 250ms;          // for an answer, before others are asked to try
constexpr Duration kPauseThreshold = 1s;         // without a call of this process: it did not run
constexpr Duration kPauseDrainTime = 200ms;      // after such a gap what comes may be as old as the gap
constexpr Duration kDepartedRetention = 120s;    // what is Gone is known, so that nobody brings it back,
constexpr Duration kDeadRetention = 180s;        // and so that newcomers hear that it may run
constexpr int kTransmissionFactor = 3;    // times the logarithm of the members: packets that carry a news
constexpr int kEagerTransmissions = 8, kEagerTransmissionsLarge = 6;    // of them, those sent at once
constexpr std::size_t kEagerPeers = 4, kEagerPeersLarge = 3;
constexpr Duration kSuspicionGossipTime =
    2s;    // a suspicion is news for so long: then most have heard of it
constexpr Duration kEagerDelay = 10ms, kPushInterval = 100ms, kPushIntervalLarge = 250ms;
constexpr Duration kQuietTime = 1s;    // without a change here, after which another's sum should be the same
constexpr int kAgreementsInSync = 6;
constexpr Duration kMinSyncInterval = 500ms, kMinSyncIntervalLarge = 1500ms, kMaxSyncInterval = 16s;
constexpr int kRoundsPerSeedCheck = 8;        // between looks at a seed that is not known to run
constexpr int kControllerSeedAttempts = 3;    // of each seed, before a lighthouse goes on without it
constexpr Duration kMaxJoinTimeout = 2s, kJoinRetryDelay = 150ms;
constexpr std::size_t kMinSamples = 4;
constexpr int kMaxEchoAge = 4;    // of this process's rounds: its older beats, told by others, prove nothing

enum class EntrySource { Gossip, Join, Sync };

}    // namespace

class Membership::Impl {
public:
    Impl(Settings settings, TimePoint now)
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
        sequence_number_ = static_cast<std::uint32_t>(random_());
        next_round_at_ = now + Duration(static_cast<Duration::rep>(random_index(static_cast<std::size_t>(
                                   std::max<Duration::rep>(1, settings_.probe_interval.count())))));
        next_join_at_ = now;
        join_timeout_ = kAckTimeout;
        set_seeds(settings_.seeds);
        next_seed_ = random_index(std::max<std::size_t>(1, seeds_.size()));
        queue_gossip(self_record_, true);
    }

    void on_message(const std::string& from, const std::string& bytes, TimePoint now, Actions& actions) {
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

    void record_contact(const std::string& address, std::uint64_t incarnation, TimePoint now) {
        Record* const record = table_.find(address);
        if (departed_ || record == nullptr || record->member->departed ||
            record->member->info.incarnation != incarnation)
            return;
        confirm_alive(*record, now, changed_members_);
    }

    void tick(TimePoint now, Actions& actions) {
        if (departed_) return;
        detect_pause(now);
        flush_changes(actions);
        if (pull_ && now >= pull_->deadline) handle_pull_timeout(now, actions);
        if (!joined_ && !pull_ && now >= next_join_at_) start_join(now, actions);
        retry_probes(now, actions);
        if (now >= next_round_at_) run_probe_round(now, actions);
        if (now >= next_push_at_) push_gossip(now, actions);
    }

    TimePoint next_deadline() const {
        if (departed_) return TimePoint::max();
        TimePoint deadline = std::min(next_round_at_, next_push_at_);
        if (pull_) deadline = std::min(deadline, pull_->deadline);
        if (!joined_ && !pull_) deadline = std::min(deadline, next_join_at_);
        for (const Probe& probe : probes_)
            if (probe.record->probing) deadline = std::min(deadline, probe.next_attempt_at);
        return deadline;
    }

    void set_quota_divisor(std::uint32_t divisor) {
        if (self_member_.info.quota_divisor == divisor) return;
        self_member_.info.quota_divisor = divisor;
        bump_version(false);
    }

    void set_disk_id(std::uint64_t disk_id) {
        if (self_member_.info.disk_id == disk_id) return;
        self_member_.info.disk_id = disk_id;
        bump_version(false);
    }

    void set_voter_eligible(bool eligible) {
        if (self_member_.info.voter_eligible == eligible) return;
        self_member_.info.voter_eligible = eligible;
        bump_version(true);
    }

    void set_seeds(std::vector<std::string> seeds) {
        std::vector<Seed> updated_seeds;
        for (const std::string& address : seeds) {
            if (address == self_record_.address || address.empty() || updated_seeds.size() >= kMaxSeeds)
                continue;
            if (std::any_of(updated_seeds.begin(), updated_seeds.end(),
                            [&](const Seed& seed) { return seed.address == address; }))
                continue;
            const auto existing = std::find_if(seeds_.begin(), seeds_.end(),
                                               [&](const Seed& seed) { return seed.address == address; });
            updated_seeds.push_back(existing != seeds_.end() ? *existing : Seed{address, 0, false});
        }
        const bool unchanged =
            std::equal(updated_seeds.begin(), updated_seeds.end(), seeds_.begin(), seeds_.end(),
                       [](const Seed& a, const Seed& b) { return a.address == b.address; });
        seeds_ = std::move(updated_seeds);
        if (seeds_.empty()) joined_ = true;
        if (unchanged) return;
        join_timeout_ = kAckTimeout;
        seeds_asked_ = 0;
        next_join_at_ = last_call_at_;
    }

    void announce_departure(TimePoint now, Actions& actions) {
        if (departed_) return;
        ++self_record_.version;
        self_member_.state = State::Dead;
        Packet packet = make_packet(PacketKind::Gossip);
        self_member_.departed = true;
        self_record_.gossip_full_info = false;
        packet.entries.push_back(self_record_.to_entry());
        const std::string bytes = encode(packet);
        std::vector<Record*> recipients;
        if (table_.live_count() <= kLargeCluster) {
            for (std::size_t i = 0; i < table_.size(); ++i)
                if (table_.record_at(i)->member->state != State::Dead)
                    recipients.push_back(table_.record_at(i));
        } else {
            recipients = choose_alive(kLargeCluster / 2, nullptr);
            for (std::size_t i = 0; i < table_.size() && recipients.size() < kLargeCluster; ++i) {
                Record* const record = table_.record_at(i);
                if (record->member->info.role == Role::Controller && record->member->state == State::Alive)
                    recipients.push_back(record);
            }
        }
        for (const Record* record : recipients) send_bytes(record->address, bytes, actions);
        departed_ = true;
        last_call_at_ = std::max(last_call_at_, now);
    }

    const std::map<std::string, Member>& members() const { return table_.members(); }
    const MemberInfo& self() const { return self_member_.info; }
    bool joined() const { return joined_; }
    const Statistics& statistics() const { return statistics_; }

    double heard_fraction(TimePoint now, Duration window) const {
        if (table_.gateway_count() == 0) return 1.0;
        if (table_.live_count() < kLargeCluster) {
            std::size_t heard_count = 0;
            for (const auto& [address, member] : table_.members())
                if (member.info.role == Role::Gateway && member.state != State::Dead &&
                    member.last_heard != TimePoint{} && now - member.last_heard <= window)
                    ++heard_count;
            return static_cast<double>(heard_count) / static_cast<double>(table_.gateway_count());
        }
        // Those that were drawn and pinged stand for all that are Alive; the Suspected are unheard.
        std::size_t suspect_count = 0;
        for (const Record* record : table_.unreachable())
            if (record->member->state == State::Suspect && record->member->info.role == Role::Gateway)
                ++suspect_count;
        const double alive_count =
            static_cast<double>(table_.gateway_count() - std::min(suspect_count, table_.gateway_count()));
        return alive_count / static_cast<double>(table_.gateway_count()) *
               sample_fraction(now, window, [](const PingSample& sample) {
                   return std::pair(sample.record->member->info.role == Role::Gateway,
                                    sample.record->member->last_heard >= sample.sent_at);
               });
    }

    bool contacts_every_member() const { return table_.live_count() <= kDirectContactLimit; }

    double acknowledged_fraction(TimePoint now, Duration window) const {
        if (table_.live_count() == 0) return 1.0;
        return sample_fraction(now, window,
                               [](const PingSample& sample) { return std::pair(true, sample.acknowledged); });
    }

private:
    struct Seed {
        std::string address;
        int attempts = 0;
        bool synced = false;    // it answered with all that it knows
    };
    struct Probe {
        Record* record = nullptr;
        TimePoint started_at{}, next_attempt_at{};
        int attempts = 1;
        std::uint32_t sequence_number = 0;
    };
    struct RelayedPing {
        std::uint32_t sequence_number = 0, origin_sequence_number = 0;
        std::string target, requester;
    };
    struct PingSample {    // a ping of a round
        Record* record = nullptr;
        TimePoint sent_at{};
        std::uint32_t sequence_number = 0;
        bool acknowledged = false;    // by the one that was pinged, perhaps through a third one
    };
    struct SyncPull {    // of what another one knows
        std::string source;
        bool for_join = false, progressed = false, learned = false;
        int attempts = 1;
        TimePoint deadline{};
        std::string after_address;
        std::vector<std::uint64_t> digest_buckets;
        std::map<std::string, Packet> early_pages;    // pages that overtook others, without their entries
    };

    // Of the pings sent in this time, the last few at least. `look`: whether it counts, and for yes or no.
    template <typename Evaluate>
    double sample_fraction(TimePoint now, Duration window, Evaluate&& evaluate) const {
        std::size_t counted = 0, positive = 0;
        for (auto sample = samples_.rbegin(); sample != samples_.rend(); ++sample) {
            if (now - sample->sent_at < kAckTimeout) continue;
            if (now - sample->sent_at > window + kAckTimeout && counted >= kMinSamples) break;
            const auto [relevant, succeeded] = evaluate(*sample);
            counted += relevant;
            positive += relevant && succeeded;
        }
        return counted == 0 ? 0.0 : static_cast<double>(positive) / static_cast<double>(counted);
    }

    // ---- small things ----

    std::size_t random_index(std::size_t limit) { return static_cast<std::size_t>(random_() % limit); }
    bool is_large() const { return table_.live_count() >= kLargeCluster; }
    Duration min_sync_interval() const { return is_large() ? kMinSyncIntervalLarge : kMinSyncInterval; }
    int max_transmissions() const {
        return kTransmissionFactor * static_cast<int>(std::bit_width(table_.live_count() + 1)) + 2;
    }
    int max_eager_transmissions() const {
        return is_large() ? kEagerTransmissionsLarge : kEagerTransmissions;
    }
    std::uint64_t digest() const { return table_.digest() ^ self_record_.digest; }
    void update_self_digest() {
        self_record_.digest = MemberTable::compute_digest(
            self_record_.address_hash, self_member_.info.incarnation, self_record_.version);
        self_record_.hash =
            MemberTable::identity_hash(self_record_.address_hash, self_member_.info.incarnation);
    }
    static void add_changed_member(const std::string& address, std::vector<std::string>& changed_members) {
        if (changed_members.empty() || changed_members.back() != address) changed_members.push_back(address);
    }
    void flush_changes(Actions& actions) {
        for (const std::string& address : changed_members_)
            add_changed_member(address, actions.changed_members);
        changed_members_.clear();
    }

    // After a time in which this process did not run it knows nothing of the others: nobody is suspected for
    // it, and what it thought of them before is not passed on.
    void detect_pause(TimePoint now) {
        if (now - last_call_at_ > std::max<Duration>(kPauseThreshold, 2 * settings_.probe_interval)) {
            resumed_at_ = now;
            sequence_at_resume_ = sequence_number_;
            for (Probe& probe : probes_) probe.record->probing = false;
            probes_.clear();
            samples_.clear();
            for (Record* record : table_.unreachable())
                if (record->member->state == State::Suspect) record->suspected_since = now;
            bump_version(false);
            sync_requested_ = true;
            next_round_at_ = now;
            pull_.reset();
        }
        last_call_at_ = std::max(last_call_at_, now);
    }

    // Since when a member could have been heard.
    TimePoint reachable_since(const Record& record) const {
        return std::max({record.member->last_heard, record.known_since, resumed_at_});
    }

    void bump_version(bool full_info) {
        ++self_record_.version;
        update_self_digest();
        queue_gossip(self_record_, full_info);
    }

    // Puts the news of a member before all other news.
    void queue_gossip(Record& record, bool full_info, int transmissions = 0) {
        if (transmissions >= max_transmissions()) return;
        if (record.gossip_queued) {
            std::erase(gossip_queue_, &record);
            full_info = full_info || record.gossip_full_info;
        }
        record.gossip_full_info = full_info;
        record.transmissions = transmissions;
        record.gossip_queued = true;
        insert_gossip(&record);
        while (gossip_queue_.size() > kMaxGossip) {
            gossip_queue_.back()->gossip_queued = false;
            gossip_queue_.pop_back();
        }
        if (transmissions < max_eager_transmissions()) schedule_push();
    }

    // The queue stays in the order of how often its news were told.
    void insert_gossip(Record* record) {
        const auto fewer_transmissions = [](const Record* a, const Record* b) {
            return a->transmissions < b->transmissions;
        };
        gossip_queue_.insert(
            record->transmissions == 0
                ? gossip_queue_.begin()
                : std::upper_bound(gossip_queue_.begin(), gossip_queue_.end(), record, fewer_transmissions),
            record);
    }

    void schedule_push() {
        next_push_at_ = std::min(next_push_at_,
                                 std::max(last_call_at_ + kEagerDelay,
                                          last_push_at_ + (is_large() ? kPushIntervalLarge : kPushInterval)));
    }

    // ---- packets ----

    Packet make_packet(PacketKind kind, std::uint32_t sequence_number = 0) const {
        Packet packet;
        packet.kind = kind;
        packet.sequence_number = sequence_number;
        packet.joined = joined_;
        packet.from_controller = self_member_.info.role == Role::Controller;
        packet.member_count = static_cast<std::uint16_t>(table_.live_count());
        packet.incarnation = self_member_.info.incarnation;
        packet.version = self_record_.version;
        packet.heartbeat = self_record_.heartbeat;
        packet.digest = digest();
        return packet;
    }

    void send_bytes(const std::string& to, std::string bytes, Actions& actions) {
        ++statistics_.sent;
        statistics_.sent_bytes += bytes.size();
        actions.sends.push_back({to, std::move(bytes)});
    }
    void send_packet(const std::string& to, Packet& packet, Actions& actions) {
        send_bytes(to, encode_fitting(packet, settings_.max_datagram_bytes), actions);
    }

    std::size_t packet_size(const Packet& packet) const {
        std::size_t bytes = 100 + packet.hashed_heartbeats.size() * 6 +
                            packet.ordered_heartbeats.size() * 9 / 8 + packet.digest_buckets.size() * 9;
        for (const Entry& entry : packet.entries) bytes += entry_size(entry);
        return bytes;
    }

    // News that others may not know, the least told first. `below`: only news told so seldom.
    void add_gossip(Packet& packet, int copies, int transmission_limit) {
        std::size_t packet_bytes = this->packet_size(packet);
        const std::size_t queued_count = gossip_queue_.size();
        std::vector<Record*> requeued;
        for (std::size_t i = 0; i < queued_count; ++i) {
            Record* const record = gossip_queue_.front();
            if (record->transmissions >= transmission_limit)
                break;    // the rest was told as often or oftener
            Entry entry = record->to_entry();
            const std::size_t entry_bytes = entry_size(entry);
            if (packet_bytes + entry_bytes > settings_.max_datagram_bytes) break;
            gossip_queue_.pop_front();
            const bool expired = record->member->state == State::Suspect &&
                                 (last_call_at_ - record->suspected_since > kSuspicionGossipTime ||
                                  record->suspected_since <= resumed_at_);
            if (expired || (record->member->state == State::Dead &&
                            !record->member->departed)) {    // forgotten: not said
                record->gossip_queued = false;
                continue;
            }
            record->transmissions += copies;
            if (record->transmissions < max_transmissions()) {
                requeued.push_back(record);
            } else {
                record->gossip_queued = false;
            }
            packet_bytes += entry_bytes;
            packet.entries.push_back(std::move(entry));
        }
        for (Record* record : requeued) insert_gossip(record);
    }

    // All that is not Gone, this process included, in the order of the addresses; `unheard`: and what said no
    // goodbye.
    template <typename Visitor>
    void for_each_in_order(const std::string& after_address, Visitor&& visit, bool include_unheard = false) {
        bool self_pending = after_address < self_record_.address, keep_going = true;
        table_.for_each_after(after_address, [&](Record& record) {
            if (self_pending && self_record_.address < record.address) {
                self_pending = false;
                keep_going = visit(self_record_);
            }
            const bool skipped =
                record.member->state == State::Dead && (!include_unheard || record.member->departed);
            return keep_going = keep_going && (skipped || visit(record));
        });
        if (self_pending && keep_going) visit(self_record_);
    }

    std::uint8_t current_heartbeat(const Record& record, TimePoint now) const {
        if (&record == &self_record_) return self_record_.heartbeat;
        return now - record.heartbeat_at <= settings_.suspect_after ? record.heartbeat : 0;
    }

    // Beats as last known: a row of all of them, which a receiver with another sum cannot read.
    void add_ordered_heartbeats(Packet& packet, TimePoint now) {
        if (is_large()) return;
        packet.ordered_heartbeats.reserve(table_.live_count() + 1);
        for_each_in_order("", [&](const Record& record) {
            packet.ordered_heartbeats.push_back(current_heartbeat(record, now));
            return true;
        });
    }

    // For a receiver with another sum: those of some, in turn, by their names.
    void add_hashed_heartbeats(Packet& packet, TimePoint now) {
        if (is_large()) return;
        for (std::size_t i = 0; i < table_.size() && packet.hashed_heartbeats.size() < kHeartbeatsPerPacket;
             ++i) {
            heartbeat_cursor_ = (heartbeat_cursor_ + 1) % table_.size();
            const Record& record = *table_.record_at(heartbeat_cursor_);
            if (record.member->state == State::Dead || current_heartbeat(record, now) == 0) continue;
            packet.hashed_heartbeats.emplace_back(record.hash, record.heartbeat);
        }
    }

    // A beat as told by another one, where that proves anything: it is later than the one known.
    void learn_heartbeat(Record& record, std::uint8_t heartbeat, TimePoint now, Actions& actions) {
        if (heartbeat == 0 || record.member->departed || &record == &self_record_) return;
        const int advance = record.heartbeat == 0 ? 0 : (heartbeat - record.heartbeat + 255) % 255;
        if (record.heartbeat != 0 && (advance == 0 || advance > 127)) return;
        if (record.heartbeat != 0) confirm_alive(record, now, actions.changed_members);
        record.heartbeat = heartbeat;
        record.heartbeat_at = now;
    }

    // This process's own beat, as another one knows it: so that one hears of this one.
    void learn_echo(Record* sender, std::uint8_t heartbeat, TimePoint now) {
        if (sender == nullptr || heartbeat == 0 || sender->member->departed) return;
        const int age = (self_record_.heartbeat - heartbeat + 255) % 255;
        if (age > kMaxEchoAge) return;
        TimePoint& last_acknowledged = sender->member->last_acknowledged;
        last_acknowledged = std::max(last_acknowledged, now - age * settings_.probe_interval);
    }

    void learn_heartbeats(Record* sender, const Packet& packet, TimePoint now, Actions& actions) {
        for (const auto& [hash, heartbeat] : packet.hashed_heartbeats) {
            if (hash == self_record_.hash) learn_echo(sender, heartbeat, now);
            if (Record* const record = table_.find_by_hash(hash); record != nullptr)
                learn_heartbeat(*record, heartbeat, now, actions);
        }
        if (packet.ordered_heartbeats.empty() || packet.digest != digest() ||
            packet.ordered_heartbeats.size() != table_.live_count() + 1)
            return;
        std::size_t index = 0;
        for_each_in_order("", [&](Record& record) {
            if (&record == &self_record_) learn_echo(sender, packet.ordered_heartbeats[index], now);
            learn_heartbeat(record, packet.ordered_heartbeats[index], now, actions);
            return ++index < packet.ordered_heartbeats.size();
        });
    }

    std::vector<Record*> choose_alive(std::size_t count, const Record* excluded) {
        std::vector<Record*> chosen;
        if (table_.size() == 0) return chosen;
        if (table_.size() <= 2 * count + 8) {
            for (std::size_t i = 0; i < table_.size(); ++i)
                if (table_.record_at(i)->member->state == State::Alive && table_.record_at(i) != excluded)
                    chosen.push_back(table_.record_at(i));
            std::shuffle(chosen.begin(), chosen.end(), random_);
            if (chosen.size() > count) chosen.resize(count);
            return chosen;
        }
        for (std::size_t attempts = 0; attempts < 4 * count && chosen.size() < count; ++attempts) {
            Record* const record = table_.record_at(random_index(table_.size()));
            if (record->member->state == State::Alive && record != excluded &&
                std::find(chosen.begin(), chosen.end(), record) == chosen.end())
                chosen.push_back(record);
        }
        return chosen;
    }

    // ---- what others say ----

    void handle_packet(const std::string& from, const Packet& packet, TimePoint now, Actions& actions) {
        Record* sender = table_.find(from);
        std::vector<Entry> corrections;
        bool was_unreachable = false;
        std::uint32_t previous_version = 0;
        if (sender != nullptr) {
            if (sender->member->departed && packet.incarnation == sender->member->info.incarnation)
                return;    // said before it left
            if (packet.incarnation < sender->member->info.incarnation)
                corrections.push_back(sender->to_full_entry());
            was_unreachable = sender->member->state != State::Alive &&
                              packet.incarnation == sender->member->info.incarnation;
            previous_version = sender->version;
        }
        const EntrySource source = packet.kind != PacketKind::SyncPage ? EntrySource::Gossip
                                   : joined_                           ? EntrySource::Sync
                                                                       : EntrySource::Join;
        bool learned = false;
        for (const Entry& entry : packet.entries)
            learned = learn_entry(entry, from, source, packet.verify_suspicions, now, actions, corrections) ||
                      learned;
        sender = table_.find(from);
        const bool is_fresh = resumed_at_ == TimePoint{} || now - resumed_at_ > kPauseDrainTime ||
                              (packet.kind == PacketKind::Ack &&
                               static_cast<std::int32_t>(packet.sequence_number - sequence_at_resume_) > 0);
        bool wants_info = sender == nullptr && !table_.full();
        if (sender != nullptr && packet.incarnation >= sender->member->info.incarnation &&
            !sender->member->departed) {
            if (packet.incarnation > sender->member->info.incarnation || packet.version > sender->version)
                wants_info = true;
            if (packet.incarnation == sender->member->info.incarnation && packet.target.empty()) {
                if (is_fresh) {
                    sender->heartbeat = packet.heartbeat;
                    sender->heartbeat_at = now;
                    confirm_alive(*sender, now, actions.changed_members);
                    if (was_unreachable && sender->version == previous_version) {
                        Entry entry = sender->to_entry();    // so that it says anew that it runs
                        entry.state = State::Suspect;
                        corrections.push_back(std::move(entry));
                    }
                }
            }
        }
        const bool same_life = sender != nullptr && packet.incarnation == sender->member->info.incarnation;
        if (is_fresh && same_life &&
            (packet.digest == digest() || packet.member_count <= table_.live_count()))
            sender->member->last_in_sync = now;
        if (is_fresh && same_life && packet.kind == PacketKind::SyncPage)
            sender->member->last_acknowledged = now;    // it was asked
        if (is_fresh) learn_heartbeats(same_life ? sender : nullptr, packet, now, actions);
        switch (packet.kind) {
            case PacketKind::Ping: {
                Packet ack = make_packet(PacketKind::Ack, packet.sequence_number);
                add_reply_entries(ack, wants_info, packet.wants_info, corrections);
                add_gossip(ack, 1, max_transmissions());
                if (packet.digest == digest()) {
                    add_ordered_heartbeats(ack, now);
                } else {
                    add_hashed_heartbeats(ack, now);
                }
                send_packet(from, ack, actions);
                compare_digest(from, packet, now, actions);
                return;
            }
            case PacketKind::Ack: handle_ack(from, packet, now, actions); break;
            case PacketKind::PingRequest: relay_ping(from, packet, actions); break;
            case PacketKind::Gossip:
            case PacketKind::SyncRequest: break;
            case PacketKind::SyncPage: handle_sync_page(from, packet, learned, now, actions); break;
        }
        if (wants_info || packet.wants_info || !corrections.empty()) {
            Packet gossip = make_packet(PacketKind::Gossip);
            add_reply_entries(gossip, wants_info, packet.wants_info, corrections);
            add_gossip(gossip, 1, max_transmissions());
            send_packet(from, gossip, actions);
        }
        if (packet.kind == PacketKind::SyncRequest) send_sync_pages(from, packet, actions);
        if (packet.kind == PacketKind::Ack && packet.target.empty())
            compare_digest(from, packet, now, actions);
    }

    void add_reply_entries(Packet& packet, bool wants_info, bool info_requested,
                           std::vector<Entry>& corrections) {
        packet.wants_info = wants_info;
        packet.verify_suspicions = !corrections.empty();
        if (corrections.size() > kMaxCorrections) corrections.resize(kMaxCorrections);
        for (Entry& entry : corrections) packet.entries.push_back(std::move(entry));
        if (info_requested) packet.entries.push_back(self_record_.to_full_entry());
    }

    // True where it was news.
    bool learn_entry(const Entry& entry, const std::string& from, EntrySource source, bool verify_suspicions,
                     TimePoint now, Actions& actions, std::vector<Entry>& corrections) {
        if (entry.info.address == self_record_.address) {
            handle_self_entry(entry);
            return false;
        }
        const int transmissions = source == EntrySource::Gossip ? 0
                                  : source == EntrySource::Sync ? max_transmissions() / 2
                                                                : max_transmissions();
        Record* record = table_.find(entry.info.address);
        if (record == nullptr) {
            if (entry.brief || entry.state == State::Dead) return false;
            if (table_.full()) {
                ++statistics_.rejected_members;
                return false;
            }
            if (entry.unheard &&
                source == EntrySource::Join) {    // no news: the others took it for Gone before
                table_.add(entry.info, entry.version, State::Dead, now).member->departed = false;
                add_changed_member(entry.info.address, actions.changed_members);
                return false;
            }
            record = &table_.add(entry.info, entry.version, entry.state, now);
            return publish_change(*record, true, transmissions, now, actions);
        }
        Member& member = *record->member;
        if (entry.info.incarnation < member.info.incarnation) {
            corrections.push_back(record->to_full_entry());
            return false;
        }
        if (entry.info.incarnation > member.info.incarnation) {
            if (entry.brief && entry.state != State::Dead) return false;
            MemberInfo info = entry.info;
            if (entry.brief) {    // it ended before it was known here
                info = member.info;
                info.incarnation = entry.info.incarnation;
            }
            table_.replace_incarnation(*record, info, entry.version, entry.state, now);
            return publish_change(*record, true, transmissions, now, actions);
        }
        if (record->member->departed) {
            if (entry.state != State::Dead) corrections.push_back(record->to_entry());
            return false;
        }
        if (entry.state == State::Dead) {
            record->member->departed = true;
            record->version = std::max(record->version, entry.version);
            table_.set_state(*record, State::Dead, now);
            return publish_change(*record, false, transmissions, now, actions);
        }
        if (entry.version < record->version) {
            if (entry.info.address != from) corrections.push_back(record->to_full_entry());
            return false;
        }
        // Only fresh suspicions are believed, of those that were not heard here.
        const bool suspicion =
            entry.state == State::Suspect && member.state == State::Alive && source == EntrySource::Gossip;
        const bool accept_suspicion =
            suspicion && !verify_suspicions && now - reachable_since(*record) >= settings_.suspect_after;
        if (entry.version > record->version) {
            table_.apply_entry(*record, entry);
            if (entry.state == State::Alive) {    // a version that it made after it was suspected
                if (member.state != State::Alive) confirm_alive(*record, now, actions.changed_members);
            } else if (accept_suspicion) {
                table_.set_state(*record, State::Suspect, now);
            }
            return publish_change(*record, !entry.brief, transmissions, now, actions);
        }
        if (suspicion && !accept_suspicion) {
            start_probe(*record, now, actions);
            return false;
        }
        if (accept_suspicion) {
            table_.set_state(*record, State::Suspect, now);
            return publish_change(*record, false, transmissions, now, actions);
        }
        if (entry.state == State::Alive && member.state == State::Dead && entry.info.address != from)
            corrections.push_back(record->to_entry());
        return false;
    }

    bool publish_change(Record& record, bool full_info, int transmissions, TimePoint now, Actions& actions) {
        add_changed_member(record.address, actions.changed_members);
        last_change_at_ = now;
        queue_gossip(record, full_info, transmissions);
        return true;
    }

    // What others hold of this process: an earlier life is ended by a higher number, a suspicion by a later
    // word.
    void handle_self_entry(const Entry& entry) {
        if (entry.info.incarnation > self_member_.info.incarnation ||
            (entry.info.incarnation == self_member_.info.incarnation && entry.state == State::Dead)) {
            self_member_.info.incarnation = entry.info.incarnation + 1;
            self_record_.version = 0;
            update_self_digest();
            queue_gossip(self_record_, true);
        } else if (entry.info.incarnation == self_member_.info.incarnation &&
                   (entry.version > self_record_.version ||
                    (entry.version == self_record_.version && entry.state == State::Suspect))) {
            self_record_.version = entry.version;
            bump_version(false);
        }
    }

    void confirm_alive(Record& record, TimePoint now, std::vector<std::string>& changed_members) {
        record.member->last_heard = std::max(record.member->last_heard, now);
        record.probing = false;
        if (record.member->state == State::Alive || record.member->departed) return;
        const bool was_isolated = record.suspected_in_isolation && is_large();
        table_.set_state(record, State::Alive, now);
        add_changed_member(record.address, changed_members);
        last_change_at_ = now;
        if (!was_isolated) return;
        // This process was cut off, not they: so are the others taken that it suspected then.
        for (Record* other : table_.unreachable()) {
            if (other->member->state != State::Suspect || !other->suspected_in_isolation) continue;
            other->known_since = now;
            table_.set_state(*other, State::Alive, now);
            add_changed_member(other->address, changed_members);
        }
        for (Probe& probe : probes_) {
            probe.record->known_since = probe.started_at = now;
            probe.attempts = 1;
        }
    }

    // ---- probes ----

    void handle_ack(const std::string& from, const Packet& packet, TimePoint now, Actions& actions) {
        if (!packet.target.empty()) {
            Record* const record = table_.find(packet.target);
            if (record == nullptr || record->member->departed) return;
            const bool own_probe = std::any_of(probes_.begin(), probes_.end(), [&](const Probe& probe) {
                return probe.record == record && probe.sequence_number == packet.sequence_number;
            });
            const bool same_incarnation =
                std::any_of(packet.hashed_heartbeats.begin(), packet.hashed_heartbeats.end(),
                            [&](const auto& heartbeat) { return heartbeat.first == record->hash; });
            if (!own_probe || !same_incarnation) return;
            confirm_alive(*record, now, actions.changed_members);
            record_ack(*record, packet.sequence_number);
            return;
        }
        if (const Record* const record = table_.find(from); record != nullptr)
            record_ack(*record, packet.sequence_number);
        const auto it = std::find_if(relays_.begin(), relays_.end(), [&](const RelayedPing& relay) {
            return relay.sequence_number == packet.sequence_number && relay.target == from;
        });
        if (it == relays_.end()) return;
        if (const Record* const record = table_.find(from); record != nullptr) {
            Packet ack = make_packet(PacketKind::Ack, it->origin_sequence_number);
            ack.target = from;
            ack.hashed_heartbeats.emplace_back(record->hash, record->heartbeat);
            send_packet(it->requester, ack, actions);
        }
        relays_.erase(it);
    }

    void record_ack(const Record& record, std::uint32_t sequence_number) {
        for (PingSample& sample : samples_)
            if (sample.sequence_number == sequence_number && sample.record == &record) {
                sample.acknowledged = true;
                record.member->last_acknowledged = std::max(record.member->last_acknowledged, sample.sent_at);
            }
    }

    void relay_ping(const std::string& requester, const Packet& packet, Actions& actions) {
        const Record* const record = table_.find(packet.target);
        if (record == nullptr || record->member->departed) return;
        if (relays_.size() >= kMaxRelays) relays_.pop_front();
        relays_.push_back({++sequence_number_, packet.sequence_number, packet.target, requester});
        Packet ping = make_packet(PacketKind::Ping, sequence_number_);
        send_packet(packet.target, ping, actions);
    }

    void send_ping(Record& record, std::uint32_t sequence_number, bool include_entry, TimePoint now,
                   Actions& actions) {
        Packet packet = make_packet(PacketKind::Ping, sequence_number);
        if (include_entry)
            packet.entries.push_back(record.to_entry());    // it says anew that it runs where it does
        add_gossip(packet, 1, max_transmissions());
        add_ordered_heartbeats(packet, now);
        send_packet(record.address, packet, actions);
    }

    void send_ping_request(const Record& record, std::uint32_t sequence_number, std::size_t helpers,
                           Actions& actions) {
        for (const Record* helper : choose_alive(helpers, &record)) {
            Packet packet = make_packet(PacketKind::PingRequest, sequence_number);
            packet.target = record.address;
            send_packet(helper->address, packet, actions);
        }
    }

    void retry_probes(TimePoint now, Actions& actions) {
        std::erase_if(probes_, [](const Probe& probe) {
            return !probe.record->probing || probe.record->member->state != State::Alive;
        });
        for (Probe& probe : probes_) {
            if (now < probe.next_attempt_at) continue;
            Record& record = *probe.record;
            const Duration min_probe_time =
                is_large() ? settings_.suspect_after : settings_.suspect_after / 2;
            if (probe.attempts >= 3 && now - reachable_since(record) >= settings_.suspect_after &&
                now - probe.started_at >= min_probe_time) {
                record.probing = false;
                table_.set_state(record, State::Suspect, now);
                // Who hears of few has himself to suspect.
                record.suspected_in_isolation = is_isolated(now);
                publish_change(record, false, record.suspected_in_isolation ? max_transmissions() : 0, now,
                               actions);
                continue;
            }
            ++probe.attempts;
            probe.next_attempt_at = now + kAckTimeout;
            send_ping(record, probe.sequence_number, false, now, actions);
            send_ping_request(record, probe.sequence_number, 2, actions);
        }
        std::erase_if(probes_, [](const Probe& probe) { return !probe.record->probing; });
    }

    bool is_isolated(TimePoint now) const {
        std::size_t sample_count = 0, heard_count = 0;
        for (auto sample = samples_.rbegin(); sample != samples_.rend() && sample_count < 2 * kMinSamples;
             ++sample) {
            if (now - sample->sent_at < kAckTimeout) continue;
            ++sample_count;
            if (sample->record->member->last_heard >= sample->sent_at) ++heard_count;
            if (sample_count == kMinSamples && heard_count == 0) return true;
        }
        return heard_count * 2 < sample_count;
    }

    // Of those drawn, the ones unheard for longest; where members are few all are drawn, and after those that
    // are unheard come those that showed for longest not that they hear this process.
    std::vector<Record*> choose_probe_targets(TimePoint now) {
        std::vector<Record*> chosen;
        const std::size_t target_count =
            table_.live_count() < kSmallCluster ? kPingsPerRoundSmall : kPingsPerRound;
        if (table_.live_count() < kSmallCluster) {
            chosen = choose_alive(table_.size(), nullptr);
            std::erase_if(chosen, [](const Record* record) { return record->probing; });
            const auto priority = [&](const Record* record) {
                const bool recently_heard = now - record->member->last_heard <= 2 * settings_.probe_interval;
                return std::pair(recently_heard, recently_heard ? record->member->last_acknowledged
                                                                : record->member->last_heard);
            };
            std::stable_sort(chosen.begin(), chosen.end(),
                             [&](const Record* a, const Record* b) { return priority(a) < priority(b); });
            if (chosen.size() > target_count) chosen.resize(target_count);
            return chosen;
        }
        for (std::size_t i = 0; i < target_count; ++i) {
            Record* oldest = nullptr;
            for (Record* record : choose_alive(kPingCandidates, nullptr)) {
                if (record->probing || std::find(chosen.begin(), chosen.end(), record) != chosen.end())
                    continue;
                if (oldest == nullptr || record->member->last_heard < oldest->member->last_heard)
                    oldest = record;
            }
            if (oldest != nullptr) chosen.push_back(oldest);
        }
        return chosen;
    }

    // Pings it, and more and more until it is heard or Suspected.
    bool start_probe(Record& record, TimePoint now, Actions& actions) {
        if (record.probing || probes_.size() >= kMaxProbes) return false;
        record.probing = true;
        probes_.push_back({&record, now, now + kAckTimeout, 1, ++sequence_number_});
        send_ping(record, sequence_number_, false, now, actions);
        return true;
    }

    void run_probe_round(TimePoint now, Actions& actions) {
        const auto jitter = static_cast<Duration::rep>(random_index(
            static_cast<std::size_t>(std::max<Duration::rep>(1, settings_.probe_interval.count() / 8))));
        next_round_at_ = now + settings_.probe_interval - Duration(settings_.probe_interval.count() / 16) +
                         Duration(jitter);
        self_record_.heartbeat = static_cast<std::uint8_t>(self_record_.heartbeat % 255 + 1);
        ++round_count_;
        expire_members(now, actions);
        for (Record* record : choose_probe_targets(now)) {
            if (!start_probe(*record, now, actions)) break;
            samples_.push_back({record, now, sequence_number_, false});
            if (samples_.size() > kMaxSamples) samples_.pop_front();
        }
        std::vector<Record*> unreachable;
        for (Record* record : table_.unreachable())
            if (!record->member->departed) unreachable.push_back(record);
        if (!unreachable.empty()) {
            Record& record = *unreachable[random_index(unreachable.size())];
            send_ping(record, ++sequence_number_, true, now, actions);
            if (record.member->state == State::Suspect)
                send_ping_request(record, sequence_number_, 1, actions);
        }
        if (round_count_ % kRoundsPerSeedCheck == 0 && joined_ && !seeds_.empty()) {
            const Seed& seed = seeds_[random_index(seeds_.size())];
            const Record* const record = table_.find(seed.address);
            if (record == nullptr || record->member->state != State::Alive) {
                Packet packet = make_packet(PacketKind::Ping, ++sequence_number_);
                packet.entries.push_back(self_record_.to_full_entry());
                send_packet(seed.address, packet, actions);
            }
        }
    }

    void expire_members(TimePoint now, Actions& actions) {
        std::vector<Record*> expired;
        std::erase_if(table_.unreachable(), [](Record* record) {
            record->unreachable = record->member->state != State::Alive;
            return !record->unreachable;
        });
        for (Record* record : table_.unreachable()) {
            if (record->member->state == State::Suspect) {
                if (now - record->suspected_since < settings_.dead_after - settings_.suspect_after) continue;
                table_.set_state(*record, State::Dead, now);
                add_changed_member(record->address, actions.changed_members);
                last_change_at_ = now;
            } else if (now - record->member->state_changed_at >
                       (record->member->departed ? kDepartedRetention : kDeadRetention)) {
                expired.push_back(record);
            }
        }
        for (Record* record : expired) {
            std::erase(gossip_queue_, record);
            std::erase_if(samples_, [record](const PingSample& sample) { return sample.record == record; });
            std::erase_if(probes_, [record](const Probe& probe) { return probe.record == record; });
            table_.erase(*record);
        }
    }

    // Sends what is new to some at once, and again a moment later.
    void push_gossip(TimePoint now, Actions& actions) {
        next_push_at_ = TimePoint::max();
        const std::vector<Record*> peers = choose_alive(is_large() ? kEagerPeersLarge : kEagerPeers, nullptr);
        if (peers.empty() || gossip_queue_.empty()) return;
        Packet packet = make_packet(PacketKind::Gossip);
        add_gossip(packet, static_cast<int>(peers.size()), max_eager_transmissions());
        last_push_at_ = now;
        if (!packet.entries.empty()) {
            const std::string bytes = encode_fitting(packet, settings_.max_datagram_bytes);
            for (const Record* peer : peers) send_bytes(peer->address, bytes, actions);
        }
        if (!gossip_queue_.empty() && gossip_queue_.front()->transmissions < max_eager_transmissions())
            schedule_push();
    }

    // ---- what others know, whole ----

    // Another's sum is not ours though nothing changed here lately: asks for what differs.
    void compare_digest(const std::string& from, const Packet& packet, TimePoint now, Actions& actions) {
        if (packet.digest == digest()) {
            sync_requested_ = false;
            if (++consecutive_agreements_ >= kAgreementsInSync) drop_spread_gossip();
            return;
        }
        consecutive_agreements_ = 0;
        const bool has_fewer_members =
            packet.member_count > table_.live_count() + table_.live_count() / 16 + 2;
        if (pull_ || !joined_ || (now < next_sync_at_ && !sync_requested_)) return;
        if (!sync_requested_ && !has_fewer_members && now - last_change_at_ < kQuietTime &&
            now - last_sync_at_ < 2 * kQuietTime)
            return;
        sync_requested_ = false;
        SyncPull pull;
        pull.source = from;
        pull.digest_buckets = digest_buckets(
            std::clamp<std::size_t>(std::bit_ceil((table_.live_count() + 1) / 8 + 1), 1, kMaxBuckets));
        pull_ = std::move(pull);
        last_sync_at_ = now;
        send_sync_request(now, actions);
    }

    // All that were met lately know the same lives and versions: those are no news any more.
    void drop_spread_gossip() {
        consecutive_agreements_ = 0;
        sync_interval_ = min_sync_interval();
        std::erase_if(gossip_queue_, [&](Record* record) {
            if (record->transmissions < max_eager_transmissions() || record->member->state == State::Suspect)
                return false;
            record->gossip_queued = false;
            return true;
        });
    }

    std::vector<std::uint64_t> digest_buckets(std::size_t bucket_count) const {
        std::vector<std::uint64_t> sums = table_.digest_buckets(bucket_count);
        sums[MemberTable::bucket_index(self_record_.address_hash, bucket_count)] ^= self_record_.digest;
        return sums;
    }

    void send_sync_request(TimePoint now, Actions& actions) {
        pull_->deadline =
            now + (pull_->for_join ? join_timeout_ : kAckTimeout) * (1 << (pull_->attempts - 1));
        Packet packet = make_packet(PacketKind::SyncRequest, ++sequence_number_);
        packet.after_address = pull_->after_address;
        packet.digest_buckets = pull_->digest_buckets;
        if (pull_->for_join && pull_->after_address.empty())
            packet.entries.push_back(self_record_.to_full_entry());
        send_packet(pull_->source, packet, actions);
    }

    void send_sync_pages(const std::string& to, const Packet& request, Actions& actions) {
        std::vector<bool> bucket_differs;
        if (!request.digest_buckets.empty()) {
            const std::vector<std::uint64_t> own_buckets = digest_buckets(request.digest_buckets.size());
            for (std::size_t i = 0; i < own_buckets.size(); ++i)
                bucket_differs.push_back(own_buckets[i] != request.digest_buckets[i]);
        }
        const auto is_wanted = [&](const Record& record) {
            if (record.member->state == State::Suspect && record.suspected_since <= resumed_at_ &&
                resumed_at_ != TimePoint{})
                return false;
            return bucket_differs.empty() ||
                   bucket_differs[MemberTable::bucket_index(record.address_hash, bucket_differs.size())];
        };
        std::string after_address = request.after_address;
        for (int i = 0; i < kPagesPerRequest; ++i) {
            Packet packet = make_packet(PacketKind::SyncPage, request.sequence_number);
            packet.after_address = after_address;
            std::size_t packet_bytes = this->packet_size(packet) + 60;
            packet.last_page = true;
            for_each_in_order(
                after_address,
                [&](const Record& record) {
                    if (!is_wanted(record)) return true;
                    Entry entry = record.to_full_entry();
                    packet_bytes += entry_size(entry);
                    if (packet_bytes > settings_.max_datagram_bytes && !packet.entries.empty())
                        return packet.last_page = false;
                    packet.entries.push_back(std::move(entry));
                    return true;
                },
                request.digest_buckets.empty());
            packet.request_more = i == kPagesPerRequest - 1;
            if (!packet.last_page) packet.up_to_address = packet.entries.back().info.address;
            std::string bytes = encode(packet);
            while (bytes.size() > settings_.max_datagram_bytes && packet.entries.size() > 1) {
                packet.entries.resize(packet.entries.size() -
                                      std::max<std::size_t>(1, packet.entries.size() / 8));
                packet.last_page = false;
                packet.up_to_address = packet.entries.back().info.address;
                bytes = encode(packet);
            }
            send_bytes(to, std::move(bytes), actions);
            if (packet.last_page) return;
            after_address = packet.up_to_address;
        }
    }

    void handle_sync_page(const std::string& from, const Packet& packet, bool learned, TimePoint now,
                          Actions& actions) {
        if (packet.last_page && packet.after_address.empty() && !joined_)
            on_full_sync(from, packet, now);    // perhaps late
        if (!pull_ || pull_->source != from) return;
        pull_->learned = pull_->learned || learned;
        Packet page = packet;
        page.entries.clear();
        if (pull_->early_pages.size() < 4 * kPagesPerRequest)
            pull_->early_pages.emplace(packet.after_address, std::move(page));
        bool request_more = false;
        for (auto it = pull_->early_pages.find(pull_->after_address); it != pull_->early_pages.end();
             it = pull_->early_pages.find(pull_->after_address)) {
            const Packet next_page = std::move(it->second);
            pull_->early_pages.erase(it);
            if (!next_page.last_page && next_page.up_to_address <= pull_->after_address)
                break;    // it would never end
            pull_->after_address = next_page.up_to_address;
            pull_->progressed = true;
            pull_->attempts = 1;
            pull_->deadline = now + kAckTimeout;
            request_more = next_page.request_more;
            if (!next_page.last_page) continue;
            if (pull_->for_join) {
                on_full_sync(from, next_page, now);
            } else {
                sync_interval_ =
                    pull_->learned ? min_sync_interval() : std::min(2 * sync_interval_, kMaxSyncInterval);
                next_sync_at_ = now + sync_interval_;
            }
            pull_.reset();
            return;
        }
        if (request_more) {
            pull_->early_pages.clear();
            send_sync_request(now, actions);
        }
    }

    void handle_pull_timeout(TimePoint now, Actions& actions) {
        const bool abandon =
            pull_->progressed ? pull_->attempts >= 4 : pull_->for_join || pull_->attempts >= 2;
        if (!abandon) {
            ++pull_->attempts;
            pull_->early_pages.clear();
            send_sync_request(now, actions);
            return;
        }
        if (!pull_->for_join) next_sync_at_ = now + kMinSyncInterval;
        pull_.reset();
    }

    // ---- joining ----

    void start_join(TimePoint now, Actions& actions) {
        std::string source;
        if (self_member_.info.role == Role::Controller) {
            const auto it = std::min_element(seeds_.begin(), seeds_.end(), [](const Seed& a, const Seed& b) {
                return std::pair(a.synced, a.attempts) < std::pair(b.synced, b.attempts);
            });
            if (it == seeds_.end() || it->synced || it->attempts >= kControllerSeedAttempts) {
                joined_ = true;
                return;
            }
            ++it->attempts;
            source = it->address;
        } else {
            std::vector<std::string> candidates;
            for (const Seed& seed : seeds_) candidates.push_back(seed.address);
            for (const auto& [address, member] : table_.members())
                if (member.info.role == Role::Controller && member.state != State::Dead &&
                    std::find(candidates.begin(), candidates.end(), address) == candidates.end() &&
                    candidates.size() < 2 * kMaxSeeds)
                    candidates.push_back(address);
            if (candidates.empty()) {
                joined_ = true;
                return;
            }
            source = candidates[next_seed_++ % candidates.size()];
            if (++seeds_asked_ > candidates.size()) {    // nobody answered: once more, slower
                seeds_asked_ = 1;
                join_timeout_ = std::min(2 * join_timeout_, kMaxJoinTimeout);
            }
        }
        SyncPull pull;
        pull.source = source;
        pull.for_join = true;
        pull_ = std::move(pull);
        send_sync_request(now, actions);
    }

    // `from` told all that it knows.
    void on_full_sync(const std::string& source, const Packet& packet, TimePoint now) {
        if (joined_) return;
        const auto seed = std::find_if(seeds_.begin(), seeds_.end(),
                                       [&](const Seed& candidate) { return candidate.address == source; });
        if (seed != seeds_.end()) seed->synced = true;
        next_join_at_ = now;
        next_sync_at_ = now + min_sync_interval();
        schedule_push();
        if (packet.from_controller && packet.joined) {
            joined_ = true;
        } else if (self_member_.info.role == Role::Gateway) {
            next_join_at_ = now + kJoinRetryDelay;
            seeds_asked_ = 0;
        }
    }

    Settings settings_;
    Member self_member_;
    Record self_record_;
    MemberTable table_;
    std::mt19937_64 random_;
    Statistics statistics_;
    bool joined_ = false, departed_ = false;
    TimePoint last_call_at_{}, resumed_at_{};     // the last call; the end of the last gap between calls
    std::uint32_t sequence_at_resume_ = 0;        // the last number before it
    std::vector<std::string> changed_members_;    // by calls that give nothing back

    TimePoint next_round_at_{};
    std::uint64_t round_count_ = 0;
    std::uint32_t sequence_number_ = 0;
    std::vector<Probe> probes_;
    std::deque<RelayedPing> relays_;
    std::deque<PingSample> samples_;
    std::size_t heartbeat_cursor_ = 0;

    std::deque<Record*> gossip_queue_;    // in the order of how often they were told
    TimePoint next_push_at_ = TimePoint::max(), last_push_at_{};

    std::optional<SyncPull> pull_;
    TimePoint last_change_at_{}, last_sync_at_{},
        next_sync_at_{};    // the last change here, the last comparison, the next
    Duration sync_interval_ = kMinSyncInterval;
    int consecutive_agreements_ = 0;    // others in a row that know the same
    bool sync_requested_ = false;

    std::vector<Seed> seeds_;
    std::size_t next_seed_ = 0, seeds_asked_ = 0;
    TimePoint next_join_at_{};
    Duration join_timeout_{};
};

Membership::Membership(Settings settings, TimePoint now)
    : impl_(std::make_unique<Impl>(std::move(settings), now)) {}
Membership::~Membership() = default;
void Membership::on_message(const std::string& from, const std::string& bytes, TimePoint now,
                            Actions& actions) {
    impl_->on_message(from, bytes, now, actions);
}
void Membership::record_contact(const std::string& address, std::uint64_t incarnation, TimePoint now) {
    impl_->record_contact(address, incarnation, now);
}
void Membership::tick(TimePoint now, Actions& actions) { impl_->tick(now, actions); }
TimePoint Membership::next_deadline() const { return impl_->next_deadline(); }
void Membership::set_quota_divisor(std::uint32_t divisor) { impl_->set_quota_divisor(divisor); }
void Membership::set_disk_id(std::uint64_t disk_id) { impl_->set_disk_id(disk_id); }
void Membership::set_voter_eligible(bool eligible) { impl_->set_voter_eligible(eligible); }
void Membership::set_seeds(std::vector<std::string> seeds) { impl_->set_seeds(std::move(seeds)); }
void Membership::announce_departure(TimePoint now, Actions& actions) {
    impl_->announce_departure(now, actions);
}
const std::map<std::string, Member>& Membership::members() const { return impl_->members(); }
const MemberInfo& Membership::self() const { return impl_->self(); }
double Membership::heard_fraction(TimePoint now, Duration window) const {
    return impl_->heard_fraction(now, window);
}
double Membership::acknowledged_fraction(TimePoint now, Duration window) const {
    return impl_->acknowledged_fraction(now, window);
}
bool Membership::contacts_every_member() const { return impl_->contacts_every_member(); }
bool Membership::joined() const { return impl_->joined(); }
const Statistics& Membership::statistics() const { return impl_->statistics(); }

}    // namespace shaletray::membership
