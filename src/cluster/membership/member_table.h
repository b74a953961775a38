// The members that a process knows of, with what it keeps on each beside the facts: in the order of their
// addresses, by the short name that beats travel under, and by number for drawing one. Keeps sums over all of
// them by which two processes see whether they know the same.
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

struct Record {
    std::string address;
    std::uint32_t hash = 0;      // of address and life
    Member* member = nullptr;    // in Roll::members(), or this process's own
    std::uint32_t version = 0;
    std::uint8_t heartbeat = 0;             // 0: none known
    TimePoint heartbeat_at{};               // when it was learned of
    std::uint64_t address_hash = 0;         // hash of the address: its part in comparisons
    std::uint64_t digest = 0;               // of address, life and version; 0 while Gone
    TimePoint known_since{};                // when this life was learned of
    TimePoint suspected_since{};            // since when; as long as it is Suspected
    bool probing = false;                   // pinged, unanswered, and being pinged again
    bool suspected_in_isolation = false;    // Suspected by this process only, which hardly heard of anybody
    bool unreachable = false;               // Suspected or Gone
    int transmissions = 0;                  // packets that carried its news
    bool gossip_queued = false;             // its news is still carried
    bool gossip_full_info = false;          // as all its facts
    State advertised_state() const;
    Entry to_entry() const;
    Entry to_full_entry() const;
};

class MemberTable {
    struct ByAddress {};
    struct ByHash {};

public:
    explicit MemberTable(std::size_t max_size) : max_size_(max_size) {}
    Record* find(const std::string& address) const;
    Record* find_by_hash(std::uint32_t hash) const;
    Record* record_at(std::size_t index) const { return records_[index].get(); }
    std::size_t size() const { return records_.size(); }            // Gone ones included
    std::size_t live_count() const { return live_count_; }          // those that are not Gone
    std::size_t gateway_count() const { return gateway_count_; }    // of these
    bool full() const { return records_.size() >= max_size_; }
    Record& add(const MemberInfo& info, std::uint32_t version, State state, TimePoint now);
    void replace_incarnation(Record& record, const MemberInfo& info, std::uint32_t version, State state,
                             TimePoint now);                 // a later life
    void apply_entry(Record& record, const Entry& entry);    // a later version
    void set_state(Record& record, State state, TimePoint now);
    void erase(Record& record);
    std::uint64_t digest() const { return digest_; }    // of all that are not Gone
    std::vector<std::uint64_t> digest_buckets(std::size_t bucket_count) const;
    static std::uint64_t bucket_index(std::uint64_t address_hash, std::size_t bucket_count) {
        return address_hash & (bucket_count - 1);
    }
    static std::uint64_t hash_address(const std::string& address);
    static std::uint64_t compute_digest(std::uint64_t address_hash, std::uint64_t incarnation,
                                        std::uint32_t version);
    static std::uint32_t identity_hash(std::uint64_t address_hash, std::uint64_t incarnation);
    const std::map<std::string, Member>& members() const { return members_; }
    // Calls f with each one after this address, in their order, until it gives false.
    template <typename Visitor>
    void for_each_after(const std::string& after_address, Visitor&& visit) const {
        const auto& index = records_.template get<ByAddress>();
        for (auto it = index.upper_bound(after_address); it != index.end(); ++it)
            if (!visit(**it)) return;
    }
    // Those that are Suspected or Gone, and some that no longer are.
    std::vector<Record*>& unreachable() { return unreachable_; }
    const std::vector<Record*>& unreachable() const { return unreachable_; }

private:
    void adjust_counts(const Record& record, int delta);
    void compute_digest(Record& record);

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
    std::size_t live_count_ = 0, gateway_count_ = 0;
    std::uint64_t digest_ = 0;
    std::vector<Record*> unreachable_;
};

}    // namespace shaletray::membership
