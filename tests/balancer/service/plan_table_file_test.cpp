// Durability of the plan table file: kills and errors at each step, torn and damaged lines, concurrent
// processes.
#include "balancer/service/plan_table_file.h"

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <fstream>

#include "balancer/settings/operator_settings.h"
#include "balancer/usage_log/faulty_files.h"
#include "balancer/usage_log/persistent_counters.h"

namespace shaletray {
namespace {

using usage_log::test::FaultyFiles;
using namespace std::chrono_literals;

const plans::TimePoint kNow = plans::TimePoint{} + 1'700'000'000s;

plans::PlanTable new_table() {
    plans::PlanTableSettings settings;
    settings.platform_plans.resize(1);
    settings.platform_plans[0].name = "equipo";
    settings.platform_plans[0].rate = 4.0;
    settings.platform_plans[0].burst = 16.0;
    return plans::PlanTable(settings);
}

struct PlanTableFileTest : testing::Test {
    PlanTableFileTest() {
        char name[] = "/tmp/shaletray-book-XXXXXX";
        folder = mkdtemp(name);
        path = folder + "/book";
    }
    ~PlanTableFileTest() override { std::filesystem::remove_all(folder); }
    static plans::PlanChange next_change(const plans::PlanTable& table) {
        plans::ChangeProposal proposal;
        proposal.body = plans::AssignPlan{plans::CustomerId{table.version() + 1}, "equipo"};
        proposal.author = "test";
        return std::get<plans::PlanChange>(table.validate_proposal(proposal, kNow));
    }
    void write_changes(std::size_t count) {
        plans::PlanTable table = new_table();
        PlanTableFile file(path, table, false);
        for (std::size_t i = 0; i < count; ++i) {
            const plans::PlanChange c = next_change(table);
            file.append_change(c);
            table.append(c);
        }
    }
    std::string folder, path;
};

TEST_F(PlanTableFileTest, ReadsBackChangesAndLocksTheFile) {
    write_changes(5);
    plans::PlanTable table = new_table(), other = new_table();
    PlanTableFile file(path, table, false);
    EXPECT_EQ(table.version(), 5u);
    EXPECT_THROW(PlanTableFile(path, other, false), std::runtime_error);
    EXPECT_THROW(PlanTableFile(folder + "/no/where", other, false), std::exception);
}

TEST_F(PlanTableFileTest, DropsATruncatedLastLine) {
    write_changes(3);
    std::ofstream(path, std::ios::app) << R"({"kind":"assign","cust)";
    {
        plans::PlanTable table = new_table();
        PlanTableFile file(path, table, false);
        EXPECT_EQ(table.version(), 3u);
        EXPECT_TRUE(file.load_result().is_torn);
        const plans::PlanChange c = next_change(table);
        file.append_change(c);
    }
    plans::PlanTable table = new_table();
    PlanTableFile file(path, table, false);
    EXPECT_EQ(table.version(), 4u);
    EXPECT_FALSE(file.load_result().is_torn);
}

TEST_F(PlanTableFileTest, RejectsADamagedFileOrServesItsValidPart) {
    write_changes(4);
    std::string text = usage_log::real_file_system().read_file(path);
    text[text.find('\n') + 20] ^= 1;    // in the second line
    std::ofstream(path, std::ios::trunc) << text;
    plans::PlanTable table = new_table();
    try {
        PlanTableFile file(path, table, false);
        ADD_FAILURE();
    } catch (const std::runtime_error& error) {
        EXPECT_NE(std::string(error.what()).find(path + ":2: "), std::string::npos) << error.what();
    }
    plans::PlanTable served = new_table();
    PlanTableFile file(path, served, true);
    EXPECT_EQ(served.version(), 1u);
    EXPECT_THROW(file.append_change(next_change(served)), std::runtime_error);
    EXPECT_EQ(usage_log::real_file_system().read_file(path), text) << "the damaged file must stay unchanged";
}

TEST_F(PlanTableFileTest, KeepsNothingOfAChangeThatCouldNotBeWritten) {
    for (int step = 1; step <= 3; ++step) {
        std::filesystem::remove(path);
        write_changes(2);
        FaultyFiles files;
        plans::PlanTable table = new_table();
        {
            PlanTableFile file(path, table, false, files);
            files.at(step, FaultyFiles::Way::Error);
            if (step < 3) {
                EXPECT_THROW(file.append_change(next_change(table)), std::runtime_error);
                files.at(0, FaultyFiles::Way::None);
            }
            const plans::PlanChange c = next_change(table);
            file.append_change(c);
            table.append(c);
        }
        plans::PlanTable reloaded = new_table();
        PlanTableFile file(path, reloaded, false);
        EXPECT_EQ(reloaded.version(), 3u) << step;
        EXPECT_EQ(reloaded.chain_hash(), table.chain_hash());
    }
}

TEST_F(PlanTableFileTest, SurvivesAKillAtEachStepOfAnAppend) {
    for (int step = 1; step <= 2; ++step) {
        std::filesystem::remove(path);
        write_changes(2);
        const pid_t child = fork();
        if (child == 0) {
            FaultyFiles files;
            plans::PlanTable table = new_table();
            PlanTableFile file(path, table, false, files);
            files.at(step, FaultyFiles::Way::Kill);
            file.append_change(next_change(table));
            _exit(0);
        }
        int status = 0;
        waitpid(child, &status, 0);
        ASSERT_TRUE(WIFSIGNALED(status));
        plans::PlanTable table = new_table();
        PlanTableFile file(path, table, false);
        EXPECT_EQ(table.version(), 2u);
        file.append_change(next_change(table));
    }
}

TEST_F(PlanTableFileTest, PersistentCountersSurviveAKill) {
    const pid_t child = fork();
    if (child == 0) {
        usage_log::PersistentCounters counters(path);
        for (int i = 1; i <= 100; ++i) counters.set_value(7, i);
        counters.set_value(9, 1);
        counters.remove_key(9);
        raise(SIGKILL);
    }
    int status = 0;
    waitpid(child, &status, 0);
    usage_log::PersistentCounters counters(path);
    EXPECT_EQ(counters.initial_values(), (std::map<std::uint64_t, std::int64_t>{{7, 100}}));
    EXPECT_THROW(usage_log::PersistentCounters reloaded(path), std::runtime_error);
    for (std::uint64_t key = 100; key < 100 + usage_log::PersistentCounters::kSlots - 1; ++key)
        EXPECT_TRUE(counters.set_value(key, 1));
    EXPECT_FALSE(counters.set_value(1, 1));
    std::ofstream(folder + "/other") << std::string(100, 'x');
    EXPECT_THROW(usage_log::PersistentCounters(folder + "/other"), std::runtime_error);
}

TEST(ConfiguredPlans, MatchTheLatestChangesOfTheTable) {
    plans::PlanTable table = new_table();
    EXPECT_TRUE(table.matches_latest(plans::DefinePlan{"equipo", "equipo", {4.0, 16.0, 0, 0, 0}}));
    EXPECT_FALSE(table.matches_latest(plans::DefinePlan{"equipo", "equipo", {5.0, 16.0, 0, 0, 0}}));
    EXPECT_TRUE(table.matches_latest(plans::AssignPlan{plans::CustomerId{1}, ""}));
    const plans::PlanChange c = PlanTableFileTest::next_change(table);
    EXPECT_FALSE(table.matches_latest(c.body));
    table.append(c);
    EXPECT_TRUE(table.matches_latest(c.body)) << "although it is not effective yet";
    const auto s = settings::parse_operator_settings(
        "plans: {book: \"b\", keeper: true, plans: [{plan: \"equipo\", rate: 5, burst: 20}], customers: "
        "[{customer: "
        "\"0000000000000007\", plan: \"equipo\"}]}",
        "t.cue");
    EXPECT_EQ(s.plans->plans.at(0).base_plan, "equipo");
    EXPECT_EQ(s.plans->customers.at(0).first, "0000000000000007");
    EXPECT_THROW(settings::parse_operator_settings("plans: {book: \"b\", keeper: true, precedence: \"mine\"}",
                                                   "t.cue"),
                 settings::SettingsFileError);
    EXPECT_THROW(settings::parse_operator_settings(
                     "usage: {journal: \"j\", store: \"s\", endpoint: \"https://a/\"}", "t.cue"),
                 settings::SettingsFileError);
}

}    // namespace
}    // namespace shaletray
