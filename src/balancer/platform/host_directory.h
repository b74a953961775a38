// Discovery's lists of servers, and what is known of each server beyond what the module sees.
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

struct LocationNames {
    std::vector<std::string> zones, kinds;    // a name's place is its number
};

struct HostMember {
    std::string id, address;
    decision::HostEntry entry;    // but for the host, which the directory numbers
};

struct HostMemberList {
    std::int64_t revision = 0;
    bool complete = false;
    std::size_t skipped = 0;    // entries that could not be read
    std::vector<HostMember> members;
};

// "10.1.0.18:3000" or "[::1]:3000".
bool is_numeric_address(std::string_view text);

// False, with what is wrong, where the text is no list. An entry that cannot be read is skipped.
bool parse_member_list(std::string_view text, const LocationNames& places, HostMemberList& list,
                       std::string& error);

struct EjectedHost {    // by hand
    std::string id;
    TimePoint ejected_at;
};

class HostDirectory : public HostTable {
public:
    explicit HostDirectory(Duration drain_grace) : drain_grace_(drain_grace) {}

    struct Host : HostTable::Host {
        std::string id;
        decision::HostState state = decision::HostState::Healthy;
        TimePoint unavailable_since{};       // since when it is not healthy, or taken out
        decision::HostEntry listed_entry;    // as last listed
    };
    // Takes the list in, and gives it as the module reads it.
    decision::HostList apply_list(const HostMemberList& list, decision::ListKind kind, TimePoint now);
    const Host* find_host(decision::HostId host) const override;
    bool may_send_to(decision::HostId host, TimePoint now) const override;
    std::size_t size() const { return hosts_.size(); }

    // Maintenance by hand, by discovery's id. A server that is taken out counts as one that drains, whatever
    // the list says, until it is brought back; it then counts as started just now, unless the list has told a
    // start since: it was restarted while out, which the list may say seconds later. Gives what the module is
    // to hear; none where nothing of that id is listed or taken out.
    std::optional<decision::HostList> eject_host(const std::string& id, TimePoint now);
    std::optional<decision::HostList> reinstate_host(const std::string& id, TimePoint now);
    std::vector<EjectedHost> ejected_hosts() const;
    void restore_ejected(const std::vector<EjectedHost>& out);    // before any list
    std::size_t ejected_count() const;                            // of those listed
    std::size_t listed_count() const;                             // but for those that are gone

private:
    decision::HostId host_id_for(const std::string& id);
    // Takes the host's state over as it follows from the list and the operators' word, and gives its entry.
    decision::HostEntry resolve_state(Host& host, TimePoint now) const;

    Duration drain_grace_;
    std::unordered_map<decision::HostId, Host> hosts_;
    std::unordered_map<std::string, decision::HostId> host_ids_;
    std::map<std::string, TimePoint> ejected_since_;    // taken out by hand, and since when
};

}    // namespace shaletray
