// What may follow on a command line, from the program's own description of it, for the shells' completion
// (share/completion). A hidden word, `__complete`, followed by the words so far.
#pragma once

#include <CLI/CLI.hpp>
#include <string>
#include <vector>

namespace shaletray::command {

// Sub-commands and options that may come after these words.
std::vector<std::string> completion_candidates(const CLI::App& app, const std::vector<std::string>& words);
// True where the line asked for that, which is printed then, a line each.
bool run_completion(const CLI::App& app, int argc, char** argv);

}    // namespace shaletray::command
