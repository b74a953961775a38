// Tests of shell completion, and that the manual page covers all sub-commands.
#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <memory>

#include "balancer/command/completion.h"

namespace shaletray::command {
namespace {

TEST(Completion, ListsWhatMayFollowTheWordsSoFar) {
    CLI::App app;
    CLI::App* const lab = app.add_subcommand("lab");
    CLI::App* const run = lab->add_subcommand("run");
    std::string out;
    run->add_option("--out", out);
    run->add_option("scenario", out);
    const auto is_candidate = [&](const std::vector<std::string>& words, const std::string& expected) {
        const std::vector<std::string> candidates = completion_candidates(app, words);
        return std::find(candidates.begin(), candidates.end(), expected) != candidates.end();
    };
    EXPECT_TRUE(is_candidate({}, "lab"));
    EXPECT_FALSE(is_candidate({}, "run"));
    EXPECT_TRUE(is_candidate({"lab"}, "run"));
    EXPECT_TRUE(is_candidate({"lab", "run", "x.cue"}, "--out"));
    EXPECT_FALSE(is_candidate({"lab", "run"}, "scenario"))
        << "positional arguments are completed by the shell";
    EXPECT_FALSE(is_candidate({"nonsense"}, "--out"));
}

TEST(Completion, ManualPageNamesEachSubCommand) {
    std::ifstream in(MAN_PAGE);
    const std::string page(std::istreambuf_iterator<char>(in), {});
    const std::unique_ptr<FILE, int (*)(FILE*)> pipe(popen(SHALETRAY " __complete", "r"), pclose);
    ASSERT_TRUE(pipe);
    char line[128];
    int commands = 0;
    while (std::fgets(line, sizeof line, pipe.get()) != nullptr) {
        std::string word(line);
        word.pop_back();
        if (word.starts_with("--")) continue;
        ++commands;
        EXPECT_TRUE(page.find(".B " + word + "\n") != std::string::npos ||
                    page.find(".BI " + word + " ") != std::string::npos)
            << word;
    }
    EXPECT_GE(commands, 6);
}

}    // namespace
}    // namespace shaletray::command
