// Who should vote on the register: the wanted set of voters, by what the convoy knows, and the next step to
// it. Pure.
//
// A set of n voters of which a answer bears a - (n / 2 + 1) further losses. No step lowers that number:
// voters that are away or leave are replaced, and where nobody can take their places they are left out as
// long as that raises it. A step may change several voters at once, since it is one decree of the old voters,
// and nothing is answered from it before a majority of the new ones keeps it (lamp.h).
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cluster/consensus/replicated_register.h"
#include "cluster/membership/membership.h"

namespace shaletray::controller {

class Steward {
public:
    struct Settings {
        consensus::Member me;
        std::size_t losses = 1;    // machines that the system may lose at once, by its settings
        Duration catch_up = std::chrono::seconds(4);    // after which the next ones may be lost
    };
    struct Step {
        std::vector<consensus::Member> from, to;    // sorted
    };
    // Whether a lighthouse has said lately that it holds the newest decree, or nearly so.
    using Follows = std::function<bool(const consensus::Member&)>;

    Steward(Settings settings, TimePoint now);
    // This lighthouse is about to end: it hands its vote on, if somebody can take it.
    void leave() { leaving_ = true; }
    // The step that this lighthouse is to propose now; none: the voters are as they should be, or it is
    // another one's turn. The first voter by address acts at once, as does one that leaves; the others each
    // half a second later.
    std::optional<Step> next(const consensus::Decree& decree,
                             const std::map<std::string, membership::Member>& members, const Follows& follows,
                             TimePoint now);
    // The losses that voters bear of whom so many answer; below 0: they have no majority.
    static int bears(std::size_t answer, std::size_t voters) {
        return static_cast<int>(answer) - static_cast<int>(voters / 2 + 1);
    }

private:
    using Members = std::map<std::string, membership::Member>;
    enum class Fate { Answers, Leaves, Unknown, Away };
    Fate fate(const consensus::Member& voter, const Members& members, TimePoint now) const;
    std::vector<consensus::Member> newcomers(const consensus::Decree& decree, const Members& members,
                                             const Follows& follows, TimePoint now);
    std::vector<consensus::Member> wanted(const std::vector<consensus::Member>& voters,
                                          const Members& members, std::vector<consensus::Member> newcomers,
                                          TimePoint now) const;

    Settings settings_;
    std::size_t least_, most_;    // voters: none are left out below, none added above
    TimePoint started_;
    bool leaving_ = false;
    std::map<consensus::Member, TimePoint> seen_;    // newcomers, and since when
    TimePoint wanted_since_{};
};

}    // namespace shaletray::controller
