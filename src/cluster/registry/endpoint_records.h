// Bookkeeping of an EndpointView for each server and each owner.
#pragma once

#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/mem_fun.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "cluster/registry/service_registry.h"

namespace shaletray::registry {

using Servers = std::map<std::string, Server>;

// Whose entry of a server it is: the owner, as an index into the view's owners, and its incarnation.
struct Ownership {
    std::uint32_t owner = 0;
    std::uint64_t incarnation = 0;
    bool operator==(const Ownership&) const = default;
};

// A server and its bookkeeping.
struct Record {
    Servers::iterator server;
    std::uint64_t sequence = 0;                 // of its latest change
    std::uint64_t announced_call_count = 0;     // at that change
    Ownership ownership;                        // of the process that had its latest call
    TimePoint first_called_at{};                // when an owner had the first call of it
    TimePoint checked_at{};                     // by tick
    TimePoint ended_at{};                       // when it became Departed or Expired here
    State reported_state = State::InService;    // by its owner, if owner_unreachable or displaced
    bool deregistered = false;                  // by itself
    bool owner_unreachable = false;             // Expired only since nobody hears of its owner
    bool displaced = false;                     // Departed only since another server has its address
    bool was_owned = false;    // this process owned it once: readers of its entries need the later ones

    std::string_view id() const { return server->first; }
    std::string_view address() const { return server->second.address; }
    // The state that others are told, which leaves out what was merely concluded here.
    State advertised_state() const {
        return owner_unreachable || displaced ? reported_state : server->second.state;
    }
};

struct ById;
struct BySequence;
struct ByAddress;
struct ByCheckTime;    // the one checked longest ago first
using Records = boost::multi_index_container<
    Record, boost::multi_index::indexed_by<
                boost::multi_index::hashed_unique<
                    boost::multi_index::tag<ById>,
                    boost::multi_index::const_mem_fun<Record, std::string_view, &Record::id>,
                    std::hash<std::string_view>>,
                boost::multi_index::ordered_unique<
                    boost::multi_index::tag<BySequence>,
                    boost::multi_index::member<Record, std::uint64_t, &Record::sequence>>,
                boost::multi_index::hashed_non_unique<
                    boost::multi_index::tag<ByAddress>,
                    boost::multi_index::const_mem_fun<Record, std::string_view, &Record::address>,
                    std::hash<std::string_view>>,
                boost::multi_index::sequenced<boost::multi_index::tag<ByCheckTime>>>>;
using RecordIterator = Records::iterator;

// A process that owns servers.
struct Owner {
    std::string address;
    std::uint64_t incarnation = 0;       // 0: never heard of
    std::uint64_t known_sequence = 0;    // its changes up to this one are known
    TimePoint last_heard{};
    // Every running server has called a controller since this incarnation began.
    bool registrations_complete = false;
};

// The index of this process among the owners of a view.
constexpr std::uint32_t kSelfOwner = 0;

inline bool is_running(State state) { return state == State::InService || state == State::Draining; }

// Orders the states that a server can go through without a call in between.
inline int state_rank(State state) {
    switch (state) {
        case State::InService: return 0;
        case State::Draining: return 1;
        case State::Expired: return 2;
        case State::Departed: break;
    }
    return 3;
}

}    // namespace shaletray::registry
