#include "balancer/command/completion.h"

#include <fmt/format.h>

#include <string_view>

namespace shaletray::command {

std::vector<std::string> completion_candidates(const CLI::App& app, const std::vector<std::string>& words) {
    const CLI::App* current = &app;
    for (const std::string& word : words) {
        // Options and their values select no sub-command.
        for (const CLI::App* sub : current->get_subcommands([](const CLI::App*) { return true; }))
            if (sub->get_name() == word) {
                current = sub;
                break;
            }
    }
    std::vector<std::string> candidates;
    for (const CLI::App* sub : current->get_subcommands([](const CLI::App*) { return true; }))
        candidates.push_back(sub->get_name());
    for (const CLI::Option* option : current->get_options())
        for (const std::string& name : option->get_lnames()) candidates.push_back("--" + name);
    return candidates;
}

bool run_completion(const CLI::App& app, int argc, char** argv) {
    if (argc < 2 || std::string_view(argv[1]) != "__complete") return false;
    for (const std::string& word : completion_candidates(app, {argv + 2, argv + argc}))
        fmt::print("{}\n", word);
    return true;
}

}    // namespace shaletray::command
