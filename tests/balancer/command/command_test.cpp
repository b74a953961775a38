// Completion asks the program itself; the manual page has to keep up with it.
#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <memory>

#include "balancer/command/completion.h"

namespace shaletray::command {
namespace {

TEST(Completion, GivesWhatMayFollowTheWordsSoFar) {
    CLI::App app;
    CLI::App* const lab = app.add_subcommand("lab");
    CLI::App* const run = lab->add_subcommand("run");
    std::string out;
    run->add_option("--out", out);
    run->add_option("scenario", out);
    const auto has = [&](const std::vector<std::string>& words, const std::string& wanted) {
        const std::vector<std::string> all = completion_candidates(app, words);
        return std::find(all.begin(), all.end(), wanted) != all.end();
    };
    EXPECT_TRUE(has({}, "lab"));
    EXPECT_FALSE(has({}, "run"));
    EXPECT_TRUE(has({"lab"}, "run"));
    EXPECT_TRUE(has({"lab", "run", "x.cue"}, "--out"));
    EXPECT_FALSE(has({"lab", "run"}, "scenario")) << "a file's place, which the shell fills";
    EXPECT_FALSE(has({"nonsense"}, "--out"));
}

TEST(Completion, TheManualPageNamesEachCommandOfTheProgram) {
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
