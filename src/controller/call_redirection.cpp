#include "controller/call_redirection.h"

#include <vector>

namespace shaletray::controller {
namespace {

bool can_serve(const membership::Member& member) {
    return may_vote(member) && !member.info.control_address.empty();
}

}    // namespace

std::optional<std::string> CallRedirection::next_target(const Members& members, std::string_view zone) {
    if (can_vote_) return std::nullopt;
    std::vector<const std::string*> in_zone, all;
    for (const auto& [address, member] : members) {
        if (!can_serve(member)) continue;
        all.push_back(&member.info.control_address);
        if (member.info.zone == zone) in_zone.push_back(&member.info.control_address);
    }
    const std::vector<const std::string*>& targets = in_zone.empty() ? all : in_zone;
    if (targets.empty()) return std::nullopt;
    return *targets[call_count_++ % targets.size()];
}

}    // namespace shaletray::controller
