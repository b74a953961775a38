// Guards against configurations that are acknowledged late since a controller without a vote, on a slow link,
// had to bring them to all voters.
#include "controller/call_redirection.h"

#include <criterion/criterion.h>

#include <map>
#include <set>

namespace shaletray::controller::test {
namespace {

membership::Member make_controller(const std::string& name, const std::string& zone, bool can_vote) {
    membership::Member member;
    member.info.role = membership::Role::Controller;
    member.info.zone = zone;
    member.info.control_address = name;
    member.info.voter_eligible = can_vote;
    member.state = membership::State::Alive;
    return member;
}

CallRedirection::Members make_members() {
    CallRedirection::Members members;
    for (const char* zone : {"a", "b", "c"}) {
        const std::string name = zone;
        members[name + "1:7100"] = make_controller(name + "1", zone, true);
        members[name + "2:7100"] = make_controller(name + "2", zone, false);
    }
    membership::Member gateway = make_controller("", "a", false);
    gateway.info.role = membership::Role::Gateway;
    members["g:7101"] = gateway;
    return members;
}

Test(call_redirection, spreads_calls_over_the_controllers_that_may_vote) {
    CallRedirection redirection(false);
    std::map<std::string, int> calls;
    for (int i = 0; i < 30; ++i) ++calls[redirection.next_target(make_members(), "").value()];
    const std::map<std::string, int> expected{{"a1", 10}, {"b1", 10}, {"c1", 10}};
    cr_assert(calls == expected);
}

Test(call_redirection, prefers_the_zone_of_the_caller) {
    CallRedirection redirection(false);
    for (int i = 0; i < 5; ++i) cr_assert(redirection.next_target(make_members(), "b") == "b1");
    CallRedirection::Members members = make_members();
    members.at("b1:7100").state = membership::State::Suspect;
    std::set<std::string> targets;
    for (int i = 0; i < 6; ++i) targets.insert(redirection.next_target(members, "b").value());
    const std::set<std::string> others{"a1", "c1"};
    cr_assert(targets == others);
}

Test(call_redirection, serves_calls_where_no_voter_is_alive_or_it_may_vote_itself) {
    CallRedirection::Members members = make_members();
    cr_assert(!CallRedirection(true).next_target(members, "a"));
    for (auto& [address, member] : members)
        if (member.info.voter_eligible) member.state = membership::State::Dead;
    cr_assert(!CallRedirection(false).next_target(members, "a"));
}

}    // namespace
}    // namespace shaletray::controller::test
