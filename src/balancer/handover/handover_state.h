// The state that a gateway's process hands to its successor, and its text form. Pure functions and values.
// The first line has the format's name, its version and the number of bytes that follow.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "balancer/platform/host_directory.h"

namespace shaletray::handover {

constexpr int kFormatVersion = 1;

// What the successor needs to continue the service.
struct HandoverState {
    bool is_draining = false;
    std::vector<EjectedHost> ejected_hosts;    // ejected by operators
    std::string module_state;                  // text of the decision module, Engine::export_state
};

std::string serialize_state(const HandoverState& state);
// Throws std::invalid_argument with the reason.
HandoverState parse_state(std::string_view text);

}    // namespace shaletray::handover
