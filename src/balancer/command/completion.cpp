#include "balancer/command/completion.h"

#include <fmt/format.h>

#include <string_view>

namespace shaletray::command {

std::vector<std::string> completion_candidates(const CLI::App& app, const std::vector<std::string>& words) {
    const CLI::App* at = &app;
    for (const std::string& word : words) {
        // Options and their values choose no sub-command.
        for (const CLI::App* sub : at->get_subcommands([](const CLI::App*) { return true; }))
            if (sub->get_name() == word) {
                at = sub;
                break;
            }
    }
    std::vector<std::string> out;
    for (const CLI::App* sub : at->get_subcommands([](const CLI::App*) { return true; }))
        out.push_back(sub->get_name());
    for (const CLI::Option* option : at->get_options())
        for (const std::string& name : option->get_lnames()) out.push_back("--" + name);
    return out;
}

bool run_completion(const CLI::App& app, int argc, char** argv) {
    if (argc < 2 || std::string_view(argv[1]) != "__complete") return false;
    for (const std::string& word : completion_candidates(app, {argv + 2, argv + argc}))
        fmt::print("{}\n", word);
    return true;
}

}    // namespace shaletray::command
