// What an operator may ask of a running gateway and how it is answered: a line of JSON each way. Pure.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "data_plane/plans/plan_service.h"

namespace shaletray::control_socket {

using decision::TimePoint;

constexpr std::size_t kMaxLineLength = 16 * 1024;
constexpr std::size_t kMaxListedEntries = 1000;    // in one answer; the next page is asked for by `after`

class PlanCommandHandler {
public:
    // Puts a change into the book and where it lasts. Throws with what stands in the way; nothing is changed
    // then.
    using ChangeMaker = std::function<void(const plans::PlanChange&)>;

    PlanCommandHandler(const plans::PlanService& desk, bool keeper, ChangeMaker make);

    // {"do": "list|show|history|propose|status", ...}. Always one line without its end.
    std::string handle_line(std::string_view line, TimePoint now);

private:
    const plans::PlanService& plan_service_;
    bool is_owner_;
    ChangeMaker make_change_;
};

}    // namespace shaletray::control_socket
