// Who should vote in the lamp's voters, by what the convoy knows: the wanted voters and the next step to it.
// Pure.
#pragma once

#include <map>
#include <optional>
#include <string>

#include "convoy/convoy.h"
#include "lamp/lamp.h"

namespace shaletray::lighthouse {

class Steward {
public:
    struct Step {
        lamp::Member in;
        std::optional<lamp::Member> in_place_of;
    };
    Steward(lamp::Member me, TimePoint now) : me_(std::move(me)), started_(now) {}
    // The step that this lighthouse is to propose now; none: the voters are as they should be, or it is
    // another one's turn. A newcomer votes once it was seen for a second. It takes the place of a member of
    // its address with another disk, else of one that was unheard for six seconds or said goodbye three
    // seconds ago. While a member's fate is open it waits: one voter more, with one dead, bears less than
    // before. Of the voters the first by address acts at once, the others each three seconds later.
    std::optional<Step> next(const lamp::Decree& decree, const std::map<std::string, convoy::Member>& members,
                             TimePoint now);

private:
    enum class Fate { Here, Open, Away };
    Fate fate(const lamp::Member& member, const std::map<std::string, convoy::Member>& members,
              TimePoint now) const;

    lamp::Member me_;
    TimePoint started_;
    std::map<lamp::Member, TimePoint> seen_;    // newcomers, and since when
    TimePoint wanted_since_{};
};

}    // namespace shaletray::lighthouse
