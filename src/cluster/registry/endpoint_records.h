// Records that an EndpointView keeps for each server and each owner.
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

// Identifies the owner of a server's entry: an index into the view's owners, and the owner's incarnation.
struct Ownership {
    std::uint32_t owner = 0;
    std::uint64_t incarnation = 0;
    bool operator==(const Ownership&) const = default;
};

// A server and the state of its entry.
struct Record {
    Servers::iterator server;
    std::uint64_t sequence = 0;                 // sequence number of the latest change
    std::uint64_t announced_call_count = 0;     // Server::call_count at that change
    Ownership ownership;                        // the process that received the latest heartbeat
    TimePoint first_heartbeat_at{};             // when an owner received the first heartbeat
    TimePoint checked_at{};                     // when tick() last checked the server
    TimePoint ended_at{};                       // when this process set Departed or Expired
    State reported_state = State::InService;    // by its owner; set if owner_unreachable or displaced
    bool deregistered = false;                  // by the server itself; final
    bool owner_unreachable = false;             // Expired only because its owner is unreachable
    bool displaced = false;                     // Departed only because another server uses its address
    // This process owned it before: its later entries still go to readers that only receive owned ones.
    bool was_owned = false;

    std::string_view id() const { return server->first; }
    std::string_view address() const { return server->second.address; }
    // The state in updates for other processes, which excludes conclusions of this process.
    State advertised_state() const {
        return owner_unreachable || displaced ? reported_state : server->second.state;
    }
};

struct ById;
struct BySequence;
struct ByAddress;
struct ByCheckTime;    // least recently checked first
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
    std::uint64_t incarnation = 0;       // 0: unknown
    std::uint64_t known_sequence = 0;    // its changes up to this sequence number are known
    TimePoint last_contact_at{};
    // Every running server has sent a heartbeat to some controller since this incarnation started.
    bool registrations_complete = false;
};

// The index of this process among the owners of a view.
constexpr std::uint32_t kSelfOwner = 0;

inline bool is_running(State state) { return state == State::InService || state == State::Draining; }

// Orders the states that a server can pass through between two heartbeats.
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
