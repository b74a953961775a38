// The client side of the control socket: the subcommand `shaletray plans ...` sends a command to a running
// gateway and prints the reply.
#pragma once

#include <CLI/CLI.hpp>
#include <functional>

namespace shaletray::control_socket {

// Adds the subcommand. Parsing the command line sets `run`, which executes it and returns the exit status.
void add_plans_command(CLI::App& app, std::function<int()>& run);

}    // namespace shaletray::control_socket
