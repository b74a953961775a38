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
    std::uint8_t beat = 0;      // 0: none known
    TimePoint beat_at{};        // when it was learned of
    std::uint64_t place = 0;    // hash of the address: its part in comparisons
    std::uint64_t sum = 0;      // of address, life and version; 0 while Gone
    TimePoint known{};          // when this life was learned of
    TimePoint suspected{};      // since when; as long as it is Suspected
    bool probed = false;        // pinged, unanswered, and being pinged again
    bool alone = false;         // Suspected by this process only, which hardly heard of anybody
    bool lost = false;          // Suspected or Gone
    int told = 0;               // packets that carried its news
    bool news = false;          // its news is still carried
    bool whole = false;         // as all its facts
    State told_state() const;
    Entry entry() const;
    Entry whole_entry() const;
};

class Roll {
    struct ByAddress {};
    struct ByHash {};

public:
    explicit Roll(std::size_t most) : most_(most) {}
    Record* find(const std::string& address) const;
    Record* by_hash(std::uint32_t hash) const;
    Record* at(std::size_t number) const { return records_[number].get(); }
    std::size_t size() const { return records_.size(); }    // Gone ones included
    std::size_t here() const { return here_; }              // those that are not Gone
    std::size_t pilots() const { return pilots_; }          // of these
    bool full() const { return records_.size() >= most_; }
    Record& add(const Facts& facts, std::uint32_t version, State state, TimePoint now);
    void renew(Record& record, const Facts& facts, std::uint32_t version, State state,
               TimePoint now);                          // a later life
    void update(Record& record, const Entry& entry);    // a later version
    void become(Record& record, State state, TimePoint now);
    void erase(Record& record);
    std::uint64_t digest() const { return digest_; }    // of all that are not Gone
    std::vector<std::uint64_t> buckets(std::size_t count) const;
    static std::uint64_t bucket(std::uint64_t place, std::size_t count) { return place & (count - 1); }
    static std::uint64_t place(const std::string& address);
    static std::uint64_t sum(std::uint64_t place, std::uint64_t life, std::uint32_t version);
    static std::uint32_t short_hash(std::uint64_t place, std::uint64_t life);
    const std::map<std::string, Member>& members() const { return members_; }
    // Calls f with each one after this address, in their order, until it gives false.
    template <typename F>
    void walk(const std::string& after, F&& f) const {
        const auto& index = records_.template get<ByAddress>();
        for (auto it = index.upper_bound(after); it != index.end(); ++it)
            if (!f(**it)) return;
    }
    // Those that are Suspected or Gone, and some that no longer are.
    std::vector<Record*>& lost() { return lost_; }
    const std::vector<Record*>& lost() const { return lost_; }

private:
    void count(const Record& record, int by);
    void sum(Record& record);

    using Records = boost::multi_index_container<
        std::shared_ptr<Record>, boost::multi_index::indexed_by<
                                     boost::multi_index::random_access<>,
                                     boost::multi_index::ordered_unique<
                                         boost::multi_index::tag<ByAddress>,
                                         boost::multi_index::member<Record, std::string, &Record::address>>,
                                     boost::multi_index::hashed_non_unique<
                                         boost::multi_index::tag<ByHash>,
                                         boost::multi_index::member<Record, std::uint32_t, &Record::hash>>>>;
    std::size_t most_;
    Records records_;
    std::map<std::string, Member> members_;
    std::size_t here_ = 0, pilots_ = 0;
    std::uint64_t digest_ = 0;
    std::vector<Record*> lost_;
};

}    // namespace shaletray::membership
