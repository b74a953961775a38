// Chooses the controller that serves a call in place of one that cannot vote. A controller without a vote
// needs voters for every answer, and would send each of them the whole configuration; it may have little
// bandwidth. Pure.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "cluster/membership/membership.h"

namespace shaletray::controller {

// Not thread-safe.
class CallRedirection {
public:
    using Members = std::map<std::string, membership::Member>;    // by internal address
    // `can_vote`: whether this controller may vote; it then serves all calls itself.
    explicit CallRedirection(bool can_vote) : can_vote_(can_vote) {}

    // Returns the control address of the controller that serves the call: one that may vote and is alive, in
    // the caller's zone if there is one, taken in turn. None: this controller serves it. `zone` is empty
    // where the caller does not tell it.
    std::optional<std::string> next_target(const Members& members, std::string_view zone);

private:
    bool can_vote_;
    std::size_t call_count_ = 0;
};

}    // namespace shaletray::controller
