// Who should vote in the lamp's crew, by what the convoy knows: the wanted crew and the next step to it.
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
    explicit Steward(std::string me) : me_(std::move(me)) {}
    // The step that this lighthouse is to propose now; none: the crew is as it should be, or it is another
    // one's turn. A newcomer votes once it was seen for a second; a member's place is taken once the member
    // was unheard for six. Of the crew the first by address acts at once, the others each three seconds
    // later.
    std::optional<Step> next(const lamp::Decree& decree, const std::map<std::string, convoy::Member>& members,
                             TimePoint now);

private:
    std::string me_;
    std::map<lamp::Member, TimePoint> seen_;    // newcomers, and since when
    TimePoint wanted_since_{};
};

}    // namespace shaletray::lighthouse
