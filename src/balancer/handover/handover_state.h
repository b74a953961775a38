// What the process of a gateway that leaves hands to the one that takes its place, beside the module's state.
// Pure: text in, text out. The first line names the form, its version and how many bytes follow.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "balancer/platform/host_directory.h"

namespace shaletray::handover {

constexpr int kFormatVersion = 1;

struct HandoverState {
    bool is_draining = false;
    std::vector<EjectedHost> ejected_hosts;    // servers taken out by hand
    std::string module_state;                  // as the module wrote it
};

std::string serialize_state(const HandoverState& handover);
// Throws std::invalid_argument with what is wrong.
HandoverState parse_state(std::string_view text);

}    // namespace shaletray::handover
