// Helpers of the membership tests: a stable initial cluster, and a record of the states that members assign
// to each other.
#pragma once

#include <criterion/criterion.h>

#include <algorithm>
#include <chrono>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "cluster/membership/network.h"

namespace shaletray::membership {

// Whether every running process has joined.
inline bool all_joined(Network& net) {
    return std::all_of(net.processes.begin(), net.processes.end(), [](const auto& process) {
        return process.second.member == nullptr || process.second.member->joined();
    });
}

// Starts three controllers and eleven gateways, and waits until all have joined and agree on the members.
inline void start_stable_cluster(Network& net) {
    net.start_all(3, 11, std::chrono::milliseconds(300));
    net.run_for(std::chrono::seconds(3));
    cr_assert(net.all_agree() && all_joined(net));
}

// The addresses of the first three controllers.
inline std::vector<std::string> seed_addresses() {
    return {Network::controller_address(0), Network::controller_address(1), Network::controller_address(2)};
}

// Records, during its lifetime, which members considered which others Suspect or Dead.
struct StateObserver {
    explicit StateObserver(Network& net) {
        net.on_actions = [this, &net](const std::string& observer, const Actions& actions) {
            if (net.processes[observer].member == nullptr) return;
            for (const std::string& address : actions.changed_members) {
                const State state = net[observer].members().at(address).state;
                if (state == State::Suspect) suspected.insert({observer, address});
                if (state == State::Dead) dead.insert({observer, address});
            }
        };
    }
    std::set<std::pair<std::string, std::string>> suspected;    // observer, member
    std::set<std::pair<std::string, std::string>> dead;         // observer, member
};

}    // namespace shaletray::membership
