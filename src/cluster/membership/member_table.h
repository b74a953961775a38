// The table of known members, with the protocol state of each.
#pragma once

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index/random_access_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cluster/membership/packet.h"

namespace shaletray::membership {

// A member and its protocol state.
struct Record {
    std::string address;
    std::uint32_t hash = 0;                 // MemberTable::identity_hash of the current incarnation
    Member* member = nullptr;               // in MemberTable::members(), or this process's own
    std::uint32_t version = 0;              // of member->info within its incarnation
    std::uint8_t heartbeat = 0;             // 0: none known
    TimePoint heartbeat_at{};               // when the heartbeat was received
    std::uint64_t address_hash = 0;         // selects the digest bucket
    std::uint64_t digest = 0;               // over address, incarnation and version; 0 while Dead
    TimePoint known_since{};                // when this incarnation was first known here
    TimePoint suspected_since{};            // zero unless Suspect
    bool probing = false;                   // a probe of this member is running
    bool suspected_in_isolation = false;    // suspected while this process was isolated itself
    bool unreachable = false;               // listed in MemberTable::unreachable()
    int transmissions = 0;                  // number of packets that carried the latest change
    bool gossip_queued = false;             // the latest change is in the gossip queue
    EntryForm gossip_form = EntryForm::Brief;

    // The state sent to other members. A member that is Dead only for its silence is sent as Suspect, and one
    // that is Suspect only because this process was isolated is sent as Alive.
    State advertised_state() const;
    // The entry in the form gossip_form.
    Entry to_entry() const;
    Entry to_full_entry() const;
};

// Owns the records, indexed by address, by identity hash and by position (for the random choice of members),
// and maintains a digest over them, by which two processes compare their tables. Pointers to a record stay
// valid until it is erased.
class MemberTable {
    struct ByAddress {};
    struct ByHash {};

public:
    explicit MemberTable(std::size_t max_size) : max_size_(max_size) {}
    Record* find(const std::string& address) const;
    Record* find_by_hash(std::uint32_t hash) const;
    Record* record_at(std::size_t index) const { return records_[index].get(); }
    // Number of records, those of Dead members included.
    std::size_t size() const { return records_.size(); }
    // Number of members that are not Dead.
    std::size_t live_count() const { return live_count_; }
    // Number of gateways that are not Dead.
    std::size_t gateway_count() const { return gateway_count_; }
    bool full() const { return records_.size() >= max_size_; }
    Record& add(const MemberInfo& info, std::uint32_t version, State state, TimePoint now);
    // Replaces the record's member by a later process at the same address.
    void replace_incarnation(Record& record, const MemberInfo& info, std::uint32_t version, State state,
                             TimePoint now);
    // Applies a later version of the member's information.
    void apply_entry(Record& record, const Entry& entry);
    void set_state(Record& record, State state, TimePoint now);
    void erase(Record& record);
    // Digest over all members that are not Dead: the XOR of the records' digests.
    std::uint64_t digest() const { return digest_; }
    // The digest of each bucket of addresses. bucket_count must be a power of two.
    std::vector<std::uint64_t> digest_buckets(std::size_t bucket_count) const;
    static std::uint64_t bucket_index(std::uint64_t address_hash, std::size_t bucket_count) {
        return address_hash & (bucket_count - 1);
    }
    static std::uint64_t hash_address(const std::string& address);
    static std::uint64_t compute_digest(std::uint64_t address_hash, std::uint64_t incarnation,
                                        std::uint32_t version);
    // Identifies a process in the hashed heartbeats of packets.
    static std::uint32_t identity_hash(std::uint64_t address_hash, std::uint64_t incarnation);
    const std::map<std::string, Member>& members() const { return members_; }
    // Visits the records with addresses greater than after_address in ascending order, until `visit` returns
    // false.
    template <typename Visitor>
    void for_each_after(const std::string& after_address, Visitor&& visit) const {
        const auto& index = records_.template get<ByAddress>();
        for (auto it = index.upper_bound(after_address); it != index.end(); ++it)
            if (!visit(**it)) return;
    }
    // All Suspect and Dead members, and those that became Alive since the last prune_unreachable().
    const std::vector<Record*>& unreachable() const { return unreachable_; }
    // Removes members that are Alive from unreachable().
    void prune_unreachable();

private:
    void adjust_counts(const Record& record, int delta);
    void update_digest(Record& record);
    void list_if_unreachable(Record& record);

    using Records = boost::multi_index_container<
        std::shared_ptr<Record>, boost::multi_index::indexed_by<
                                     boost::multi_index::random_access<>,
                                     boost::multi_index::ordered_unique<
                                         boost::multi_index::tag<ByAddress>,
                                         boost::multi_index::member<Record, std::string, &Record::address>>,
                                     boost::multi_index::hashed_non_unique<
                                         boost::multi_index::tag<ByHash>,
                                         boost::multi_index::member<Record, std::uint32_t, &Record::hash>>>>;
    std::size_t max_size_;
    Records records_;
    std::map<std::string, Member> members_;
    std::size_t live_count_ = 0;
    std::size_t gateway_count_ = 0;
    std::uint64_t digest_ = 0;
    std::vector<Record*> unreachable_;
};

}    // namespace shaletray::membership
