// The implementation of Membership: one class, split by concern over several source files:
// membership_impl.cpp (entry points), packet_handling.cpp, entry_merge.cpp, heartbeat_exchange.cpp,
// probing.cpp, peer_selection.cpp, dissemination.cpp, synchronization.cpp and joining.cpp.
#pragma once

#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "cluster/membership/gossip_queue.h"
#include "cluster/membership/member_table.h"
#include "cluster/membership/membership.h"
#include "cluster/membership/packet.h"
#include "cluster/membership/ping_samples.h"
#include "cluster/membership/protocol_constants.h"

namespace shaletray::membership {

class Membership::Impl {
public:
    Impl(Settings settings, TimePoint now);

    // See the functions of the same names in Membership.
    void on_message(const std::string& from, const std::string& bytes, TimePoint now, Actions& actions);
    void record_contact(const std::string& address, std::uint64_t incarnation, TimePoint now);
    void tick(TimePoint now, Actions& actions);
    TimePoint next_deadline() const;
    void set_quota_divisor(std::uint32_t divisor);
    void set_disk_id(std::uint64_t disk_id);
    void set_voter_eligible(bool eligible);
    void set_seeds(std::vector<std::string> seeds);
    void announce_departure(TimePoint now, Actions& actions);
    const std::map<std::string, Member>& members() const { return table_.members(); }
    const MemberInfo& self() const { return self_member_.info; }
    double heard_fraction(TimePoint now, Duration window) const;
    double acknowledged_fraction(TimePoint now, Duration window) const;
    bool contacts_every_member() const { return table_.live_count() <= kDirectContactLimit; }
    const Statistics& statistics() const { return statistics_; }
    bool joined() const { return joined_; }

private:
    // How an entry reached this process, which determines how often it is passed on.
    enum class EntrySource { Gossip, Join, Sync };
    enum class PullPurpose { Join, Synchronize };

    struct Seed {
        std::string address;
        int attempts = 0;
        bool synced = false;    // it has sent all members that it knows
    };
    // A ping that is repeated until the member proves that it runs, or becomes Suspect.
    struct Probe {
        Record* record = nullptr;
        TimePoint started_at{};
        TimePoint next_attempt_at{};
        int attempts = 1;
        std::uint32_t sequence_number = 0;
    };
    // A ping that this process sent at the request of another.
    struct RelayedPing {
        std::uint32_t sequence_number = 0;
        std::uint32_t origin_sequence_number = 0;
        std::string target;
        std::string requester;
    };
    // A transfer in progress of another process's table, or of the buckets that differ.
    struct SyncPull {
        std::string source;
        PullPurpose purpose = PullPurpose::Synchronize;
        bool progressed = false;    // at least one page was accepted
        bool learned = false;       // a page contained something new
        int attempts = 1;           // of the current request
        TimePoint deadline{};
        std::string after_address;    // the pages up to this address have been accepted
        std::vector<std::uint64_t> digest_buckets;
        // Pages received out of order, without their entries; by after_address.
        std::map<std::string, Packet> early_pages;
    };
    // A received packet and the state of its handling.
    struct Reception {
        const std::string& from;
        const Packet& packet;
        TimePoint now;
        Actions& actions;
        Record* sender = nullptr;            // null: not a known member
        std::vector<Entry> corrections{};    // entries that are newer than the sender's
        bool learned = false;                // an entry contained something new
        bool wants_info = false;             // the sender's full entry is needed
        bool is_fresh = true;                // false: it may have been queued while this process was paused
    };

    // ---- general (membership_impl.cpp) ----

    std::size_t random_index(std::size_t limit) { return static_cast<std::size_t>(random_() % limit); }
    bool is_large() const { return table_.live_count() >= kLargeCluster; }
    std::uint64_t digest() const { return table_.digest() ^ self_record_.digest; }
    void update_self_digest();
    void init_timers(TimePoint now);
    // Increments the version of this process's information and queues it as gossip.
    void bump_version(EntryForm form);
    // If this process was paused, cancels the running probes, so that no member is suspected for the time of
    // the pause; earlier suspicions are no longer passed on.
    void detect_pause(TimePoint now);
    void resume_after_pause(TimePoint now);
    std::vector<Record*> departure_recipients();
    double estimate_heard_fraction(TimePoint now, Duration window) const;
    static void add_changed_member(const std::string& address, std::vector<std::string>& changed_members);
    // Reports the changes made by calls without an Actions parameter.
    void flush_changes(Actions& actions);

    // ---- packets (packet_handling.cpp) ----

    // Returns a packet with this process's header fields.
    Packet make_packet(PacketKind kind, std::uint32_t sequence_number = 0) const;
    void send_bytes(const std::string& to, std::string bytes, Actions& actions);
    // Omits entries that do not fit into a datagram.
    void send_packet(const std::string& to, Packet& packet, Actions& actions);
    static std::size_t estimate_size(const Packet& packet);
    void handle_packet(const std::string& from, const Packet& packet, TimePoint now, Actions& actions);
    bool is_fresh(const Packet& packet, TimePoint now) const;
    bool needs_sender_info(const Reception& reception) const;
    bool has_sender_incarnation(const Reception& reception) const;
    void confirm_sender(Reception& reception, bool was_unreachable, std::uint32_t previous_version);
    void learn_from_sender(Reception& reception);
    void dispatch_packet(Reception& reception);
    void answer_ping(Reception& reception);
    void send_corrections(Reception& reception);
    void add_reply_entries(Packet& reply, Reception& reception);

    // ---- entries (entry_merge.cpp) ----

    EntrySource source_of(const Packet& packet) const;
    // The transmission count with which a change from this source is queued.
    int initial_transmissions(EntrySource source) const;
    void merge_entries(Reception& reception);
    // These return whether the entry contained something new. `transmissions`: see initial_transmissions.
    bool merge_entry(const Entry& entry, Reception& reception);
    bool add_unknown_member(const Entry& entry, int transmissions, Reception& reception);
    bool merge_later_incarnation(Record& record, const Entry& entry, int transmissions, Reception& reception);
    bool merge_departure(Record& record, const Entry& entry, int transmissions, Reception& reception);
    bool merge_same_incarnation(Record& record, const Entry& entry, int transmissions, Reception& reception);
    bool merge_later_version(Record& record, const Entry& entry, bool accept_suspicion, int transmissions,
                             Reception& reception);
    // Handles an entry about this process itself: takes a higher incarnation than that of an earlier process
    // at its address, and refutes a suspicion by a later version.
    void handle_self_entry(const Entry& entry);
    bool publish_change(Record& record, EntryForm form, int transmissions, Reception& reception);
    void publish_change(Record& record, EntryForm form, int transmissions, TimePoint now, Actions& actions);
    // Records that the member has proved that it runs.
    void confirm_alive(Record& record, TimePoint now, std::vector<std::string>& changed_members);
    void restore_isolated_suspects(TimePoint now, std::vector<std::string>& changed_members);

    // ---- heartbeats (heartbeat_exchange.cpp) ----

    // Visits this process and all members that are not Dead whose addresses are greater than after_address,
    // in ascending order, until `visit` returns false. include_presumed_dead: also visits Dead members that
    // did not announce their departure.
    template <typename Visitor>
    void for_each_in_order(const std::string& after_address, Visitor&& visit,
                           bool include_presumed_dead = false);
    std::uint8_t current_heartbeat(const Record& record, TimePoint now) const;
    // Adds the heartbeats of all members; only a receiver with the same digest can assign them to members.
    void add_ordered_heartbeats(Packet& packet, TimePoint now);
    // Adds a part of the heartbeats with their members' identity hashes; successive calls cover all members.
    void add_hashed_heartbeats(Packet& packet, TimePoint now);
    // Handles a heartbeat passed on by another member: a later one than the known one proves that its member
    // runs.
    void learn_heartbeat(Record& record, std::uint8_t heartbeat, TimePoint now, Actions& actions);
    // Handles this process's own heartbeat as repeated by the sender: proves that the sender receives it.
    void learn_echo(Record* sender, std::uint8_t heartbeat, TimePoint now);
    void learn_heartbeats(Record* sender, const Packet& packet, TimePoint now, Actions& actions);
    void learn_ordered_heartbeats(Record* sender, const Packet& packet, TimePoint now, Actions& actions);

    // ---- failure detection (probing.cpp) ----

    // Since when the silence of the member counts: its last contact, or the moment from which contact was
    // first possible.
    TimePoint reachable_since(const Record& record) const;
    void handle_ack(const std::string& from, const Packet& packet, TimePoint now, Actions& actions);
    void handle_relayed_ack(const Packet& packet, TimePoint now, Actions& actions);
    void forward_ack(const std::string& from, std::uint32_t sequence_number, Actions& actions);
    void relay_ping(const std::string& requester, const Packet& packet, Actions& actions);
    // include_entry: sends the member its own entry, so that it can refute a suspicion.
    void send_ping(Record& record, std::uint32_t sequence_number, bool include_entry, TimePoint now,
                   Actions& actions);
    void send_ping_requests(const Record& record, std::uint32_t sequence_number, std::size_t helper_count,
                            Actions& actions);
    // Returns false if the member is already probed, or the maximum number of probes is running.
    bool start_probe(Record& record, TimePoint now, Actions& actions);
    void retry_probes(TimePoint now, Actions& actions);
    bool may_suspect(const Probe& probe, TimePoint now) const;
    void suspect(Record& record, TimePoint now, Actions& actions);
    void run_probe_round(TimePoint now, Actions& actions);
    void schedule_next_round(TimePoint now);
    void ping_unreachable_member(TimePoint now, Actions& actions);
    void ping_missing_seed(Actions& actions);
    // Turns Suspect members Dead, and erases Dead ones, after their timeouts.
    void expire_members(TimePoint now, Actions& actions);
    void erase_member(Record& record);

    // ---- selection of peers (peer_selection.cpp) ----

    // Up to `count` random members that are Alive, other than `excluded` (may be null).
    std::vector<Record*> choose_alive(std::size_t count, const Record* excluded);
    std::vector<Record*> choose_probe_targets(TimePoint now);
    // Among all members: first those silent for longest, then those with the oldest acknowledgement.
    std::vector<Record*> choose_targets_among_all(TimePoint now, std::size_t count);
    // Each target is the one silent for longest among a few random members.
    std::vector<Record*> choose_targets_by_sampling(std::size_t count);

    // ---- dissemination (dissemination.cpp) ----

    int max_transmissions() const;
    int max_eager_transmissions() const;
    // Queues the latest change of a member as gossip.
    void queue_gossip(Record& record, EntryForm form, int transmissions = 0);
    // Adds queued changes with fewer transmissions than the limit, as far as they fit. `copies`: the number
    // of receivers.
    void add_gossip(Packet& packet, int copies, int transmission_limit);
    bool is_gossip_obsolete(const Record& record) const;
    void schedule_push();
    // Sends new changes to a few members without waiting for the next ping.
    void push_gossip(TimePoint now, Actions& actions);

    // ---- synchronization (synchronization.cpp) ----

    Duration min_sync_interval() const;
    // Starts a synchronization if the sender's digest differs although this process's table is stable.
    void compare_digest(const std::string& from, const Packet& packet, TimePoint now, Actions& actions);
    bool should_synchronize(const Packet& packet, TimePoint now) const;
    // Stops sending changes once successive senders all have the same digest.
    void drop_disseminated_gossip();
    std::vector<std::uint64_t> digest_buckets(std::size_t bucket_count) const;
    void send_sync_request(TimePoint now, Actions& actions);
    void send_sync_pages(const std::string& to, const Packet& request, Actions& actions);
    std::vector<bool> compare_buckets(const std::vector<std::uint64_t>& peer_buckets) const;
    bool is_in_sync_page(const Record& record, const std::vector<bool>& bucket_differs) const;
    Packet make_sync_page(const Packet& request, const std::string& after_address,
                          const std::vector<bool>& bucket_differs);
    // Moves entries that do not fit into a datagram to the next page.
    std::string encode_sync_page(Packet& page) const;
    void handle_sync_page(const Reception& reception);
    std::optional<Packet> take_next_page();
    void finish_pull(const Packet& last_page, TimePoint now);
    void handle_pull_timeout(TimePoint now, Actions& actions);

    // ---- joining (joining.cpp) ----

    std::vector<Seed> merge_seeds(const std::vector<std::string>& addresses) const;
    void start_join(TimePoint now, Actions& actions);
    // The next process to request all members from; none: no candidate is left.
    std::optional<std::string> choose_join_source();
    std::optional<std::string> choose_seed_as_controller();
    std::optional<std::string> choose_seed_as_gateway();
    // Adds the known controllers that are not dead and may or may not vote, up to a limit.
    void add_controllers(bool voter_eligible, std::vector<std::string>& candidates) const;
    // Called when the source has sent all members that it knows; `packet` is the last page.
    void on_full_sync(const std::string& source, const Packet& packet, TimePoint now);

    Settings settings_;
    Member self_member_;
    Record self_record_;
    MemberTable table_;
    std::mt19937_64 random_;
    Statistics statistics_;
    bool joined_ = false;
    bool departed_ = false;
    TimePoint last_call_at_{};
    TimePoint resumed_at_{};                      // end of the last pause; zero: none yet
    std::uint32_t sequence_at_resume_ = 0;        // the last sequence number used before it
    std::vector<std::string> changed_members_;    // see flush_changes

    TimePoint next_round_at_{};
    std::uint64_t round_count_ = 0;
    std::uint32_t sequence_number_ = 0;    // the last one used
    std::vector<Probe> probes_;
    std::deque<RelayedPing> relays_;
    PingSamples samples_;
    std::size_t heartbeat_cursor_ = 0;    // index of the last sent heartbeat

    GossipQueue gossip_queue_;
    TimePoint next_push_at_ = TimePoint::max();
    TimePoint last_push_at_{};

    std::optional<SyncPull> pull_;
    TimePoint last_change_at_{};    // last change of this process's table
    TimePoint last_sync_at_{};
    TimePoint next_sync_at_{};
    Duration sync_interval_ = kMinSyncInterval;
    int consecutive_agreements_ = 0;    // successive packets with the same digest
    bool sync_requested_ = false;       // after a pause: synchronize without delay

    std::vector<Seed> seeds_;
    std::size_t next_seed_ = 0;
    std::size_t seeds_asked_ = 0;    // since the last reply or the last increase of the timeout
    TimePoint next_join_at_{};
    Duration join_timeout_{};
};

template <typename Visitor>
void Membership::Impl::for_each_in_order(const std::string& after_address, Visitor&& visit,
                                         bool include_presumed_dead) {
    bool self_pending = after_address < self_record_.address;
    bool keep_going = true;
    table_.for_each_after(after_address, [&](Record& record) {
        if (self_pending && self_record_.address < record.address) {
            self_pending = false;
            keep_going = visit(self_record_);
        }
        const Member& member = *record.member;
        const bool skipped = member.state == State::Dead && (!include_presumed_dead || member.departed);
        keep_going = keep_going && (skipped || visit(record));
        return keep_going;
    });
    if (self_pending && keep_going) visit(self_record_);
}

}    // namespace shaletray::membership
