// What an operator may ask of a running gateway and how it is answered: a line of JSON each way. Pure.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "data_plane/plans/plan_service.h"

namespace shaletray::control_socket {

using decision::TimePoint;

constexpr std::size_t kLongestLine = 16 * 1024;
constexpr std::size_t kMostListed = 1000;    // in one answer; the next page is asked for by `after`

class Office {
public:
    // Puts a change into the book and where it lasts. Throws with what stands in the way; nothing is changed
    // then.
    using Make = std::function<void(const plans::Change&)>;

    Office(const plans::Desk& desk, bool keeper, Make make);

    // {"do": "list|show|history|propose|status", ...}. Always one line without its end.
    std::string answer(std::string_view line, TimePoint now);

private:
    const plans::Desk& desk_;
    bool keeper_;
    Make make_;
};

}    // namespace shaletray::control_socket
