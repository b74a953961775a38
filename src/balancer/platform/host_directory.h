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

struct PlaceNames {
    std::vector<std::string> zones, kinds;    // a name's place is its number
};

struct Member {
    std::string id, address;
    decision::HostEntry entry;    // but for the host, which the directory numbers
};

struct MemberList {
    std::int64_t revision = 0;
    bool complete = false;
    std::size_t skipped = 0;    // entries that could not be read
    std::vector<Member> members;
};

// "10.1.0.18:3000" or "[::1]:3000".
bool is_numeric_address(std::string_view text);

// False, with what is wrong, where the text is no list. An entry that cannot be read is skipped.
bool parse_member_list(std::string_view text, const PlaceNames& places, MemberList& list, std::string& error);

struct TakenOut {    // by hand
    std::string id;
    TimePoint since;
};

class HostDirectory : public Hosts {
public:
    explicit HostDirectory(Duration drain_grace) : drain_grace_(drain_grace) {}

    struct Host : Hosts::Host {
        std::string id;
        decision::HostState state = decision::HostState::Healthy;
        TimePoint left{};              // since when it is not healthy, or taken out
        decision::HostEntry listed;    // as last listed
    };
    // Takes the list in, and gives it as the module reads it.
    decision::HostList apply(const MemberList& list, decision::ListKind kind, TimePoint now);
    const Host* find(decision::HostId host) const override;
    bool may_begin(decision::HostId host, TimePoint now) const override;
    std::size_t size() const { return hosts_.size(); }

    // Maintenance by hand, by discovery's id. A server that is taken out counts as one that drains, whatever
    // the list says, until it is brought back; it then counts as started just now, unless the list has told a
    // start since: it was restarted while out, which the list may say seconds later. Gives what the module is
    // to hear; none where nothing of that id is listed or taken out.
    std::optional<decision::HostList> take_out(const std::string& id, TimePoint now);
    std::optional<decision::HostList> bring_back(const std::string& id, TimePoint now);
    std::vector<TakenOut> out() const;
    void restore(const std::vector<TakenOut>& out);    // before any list
    std::size_t taken_out() const;                     // of those listed
    std::size_t listed() const;                        // but for those that are gone

private:
    decision::HostId number_for(const std::string& id);
    // Takes the host's state over as it follows from the list and the operators' word, and gives its entry.
    decision::HostEntry settle(Host& host, TimePoint now) const;

    Duration drain_grace_;
    std::unordered_map<decision::HostId, Host> hosts_;
    std::unordered_map<std::string, decision::HostId> numbers_;
    std::map<std::string, TimePoint> out_;    // taken out by hand, and since when
};

}    // namespace shaletray
