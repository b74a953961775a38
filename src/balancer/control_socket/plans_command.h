// The command line's side: `shaletray plans ...` asks a running gateway and prints what it says.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace shaletray::control_socket {

// Adds the sub-command. What is chosen on the line ends up in `run`, which gives the exit status.
void add_plans_command(CLI::App& app, std::function<int()>& run);

}    // namespace shaletray::control_socket
