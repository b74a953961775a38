// What the process of a gateway that leaves hands to the one that takes its place, beside the module's state.
// Pure: text in, text out. The first line names the form, its version and how many bytes follow.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "balancer/platform/host_directory.h"

namespace shaletray::handover {

constexpr int kVersion = 1;

struct Handover {
    bool draining = false;
    std::vector<TakenOut> out;    // servers taken out by hand
    std::string module;           // as the module wrote it
};

std::string write(const Handover& handover);
// Throws std::invalid_argument with what is wrong.
Handover read(std::string_view text);

}    // namespace shaletray::handover
