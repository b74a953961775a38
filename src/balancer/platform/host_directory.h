// The servers that discovery lists, with their addresses, states and operators' ejections. Translates lists
// into those of the decision module. Not thread-safe; no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/common/clock.h"
#include "data_plane/proxy/host_table.h"
#include "decision/control.h"

namespace shaletray {

// Names of zones and kinds; the index of a name is its number in the decision module.
struct LocationNames {
    std::vector<std::string> zones, kinds;
};

// A server as discovery lists it.
struct HostMember {
    std::string id, address;
    decision::HostEntry entry;    // without the host id, which the directory assigns
};

// A list or a change of it.
struct HostMemberList {
    std::int64_t revision = 0;
    bool complete = false;      // a full list; false: a change
    std::size_t skipped = 0;    // malformed entries
    std::vector<HostMember> members;
};

// Whether the text is a numeric address with a port, like "10.1.0.18:3000" or "[::1]:3000".
bool is_numeric_address(std::string_view text);

// False, with the reason in `error`, if the text is not a list. Malformed entries are skipped.
bool parse_member_list(std::string_view text, const LocationNames& locations, HostMemberList& list,
                       std::string& error);

// A server that an operator ejected.
struct EjectedHost {
    std::string id;
    TimePoint ejected_at;
};

// Host ids are derived from discovery ids, so that a server keeps its id when it is listed again.
class HostDirectory : public HostTable {
public:
    // `drain_grace`: how long a draining server may still get requests.
    explicit HostDirectory(Duration drain_grace) : drain_grace_(drain_grace) {}

    // What is known of a server.
    struct Host : HostTable::Host {
        std::string id;
        decision::HostState state = decision::HostState::Healthy;
        TimePoint unavailable_since{};       // since when it is not healthy, or ejected
        decision::HostEntry listed_entry;    // as last listed
    };
    // Applies a list and returns it in the form of the decision module.
    decision::HostList apply_list(const HostMemberList& list, decision::ListKind kind, TimePoint now);
    const Host* find_host(decision::HostId host) const override;
    bool may_send_to(decision::HostId host, TimePoint now) const override;
    std::size_t size() const { return hosts_.size(); }

    // Ejection by operators, by discovery id. An ejected server counts as draining, whatever the list says,
    // until it is reinstated. It then counts as just started, unless the list has reported a later start: it
    // was probably restarted meanwhile, which the list may report seconds later. Returns the change for the
    // decision module; none if no server of that id is listed or ejected.
    std::optional<decision::HostList> eject_host(const std::string& id, TimePoint now);
    std::optional<decision::HostList> reinstate_host(const std::string& id, TimePoint now);
    std::vector<EjectedHost> ejected_hosts() const;
    void restore_ejected(const std::vector<EjectedHost>& ejected);    // before any list
    std::size_t ejected_count() const;                                // listed servers only
    std::size_t listed_count() const;                                 // without removed ones

private:
    decision::HostId host_id_for(const std::string& id);
    // Sets the host's state from the list and the ejections, and returns its entry.
    decision::HostEntry resolve_state(Host& host, TimePoint now) const;

    Duration drain_grace_;
    std::unordered_map<decision::HostId, Host> hosts_;
    std::unordered_map<std::string, decision::HostId> host_ids_;
    std::map<std::string, TimePoint> ejected_since_;    // by discovery id
};

}    // namespace shaletray
