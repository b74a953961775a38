// The members that a process knows, with the protocol's bookkeeping for each.
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

// A member and the protocol's bookkeeping for it.
struct Record {
    std::string address;
    std::uint32_t hash = 0;                 // MemberTable::identity_hash of the current incarnation
    Member* member = nullptr;               // in MemberTable::members(), or this process's own
    std::uint32_t version = 0;              // of member->info within its incarnation
    std::uint8_t heartbeat = 0;             // 0: none known
    TimePoint heartbeat_at{};               // when it was received
    std::uint64_t address_hash = 0;         // selects the digest bucket
    std::uint64_t digest = 0;               // of address, incarnation and version; 0 while Dead
    TimePoint known_since{};                // when this incarnation was first known here
    TimePoint suspected_since{};            // zero unless Suspect
    bool probing = false;                   // pinged without an answer so far, and pinged again
    bool suspected_in_isolation = false;    // suspected here only, while this process heard hardly anybody
    bool unreachable = false;               // listed in MemberTable::unreachable()
    int transmissions = 0;                  // packets that carried the latest change
    bool gossip_queued = false;             // the latest change is still to be sent
    EntryForm gossip_form = EntryForm::Brief;

    // The state that others are told: members that were merely unheard are not passed on as Dead, nor those
    // suspected in isolation as Suspect.
    State advertised_state() const;
    // The entry in the form that the latest change calls for.
    Entry to_entry() const;
    Entry to_full_entry() const;
};

// Owns the records, indexed by address, by identity hash and by position (to draw members at random), and
// keeps a digest over them by which two processes compare what they know. Records keep their address in
// memory until they are erased.
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
    // A later process runs at the record's address.
    void replace_incarnation(Record& record, const MemberInfo& info, std::uint32_t version, State state,
                             TimePoint now);
    // Takes over a later version of the member's information.
    void apply_entry(Record& record, const Entry& entry);
    void set_state(Record& record, State state, TimePoint now);
    void erase(Record& record);
    // Digest over all members that are not Dead: the exclusive or of the records' digests.
    std::uint64_t digest() const { return digest_; }
    // The digest by parts. The count has to be a power of two.
    std::vector<std::uint64_t> digest_buckets(std::size_t bucket_count) const;
    static std::uint64_t bucket_index(std::uint64_t address_hash, std::size_t bucket_count) {
        return address_hash & (bucket_count - 1);
    }
    static std::uint64_t hash_address(const std::string& address);
    static std::uint64_t compute_digest(std::uint64_t address_hash, std::uint64_t incarnation,
                                        std::uint32_t version);
    // Short name of a process under which packets carry its heartbeat.
    static std::uint32_t identity_hash(std::uint64_t address_hash, std::uint64_t incarnation);
    const std::map<std::string, Member>& members() const { return members_; }
    // Visits the records after the address in the order of their addresses, until `visit` returns false.
    template <typename Visitor>
    void for_each_after(const std::string& after_address, Visitor&& visit) const {
        const auto& index = records_.template get<ByAddress>();
        for (auto it = index.upper_bound(after_address); it != index.end(); ++it)
            if (!visit(**it)) return;
    }
    // All Suspect and Dead members, and some that are Alive again.
    const std::vector<Record*>& unreachable() const { return unreachable_; }
    // Removes those that are Alive again from unreachable().
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
