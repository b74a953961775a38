// Shell completion (share/completion): lists what may follow on a command line, from the program's own CLI11
// description. Shells run the hidden command `__complete` followed by the words so far.
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

namespace shaletray::command {

// Subcommands and options that may follow these words.
std::vector<std::string> completion_candidates(const CLI::App& app, const std::vector<std::string>& words);
// If the command line asks for completion, prints the candidates, one a line, and returns true.
bool run_completion(const CLI::App& app, int argc, char** argv);

}    // namespace shaletray::command
