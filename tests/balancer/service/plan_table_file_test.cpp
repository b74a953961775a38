// Where the plan book lasts: kills and errors at each step, torn and spoilt lines, two processes.
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

plans::PlanTable new_book() {
    plans::PlanTableSettings b;
    b.platform_plans.resize(1);
    b.platform_plans[0].name = "equipo";
    b.platform_plans[0].rate = 4.0;
    b.platform_plans[0].burst = 16.0;
    return plans::PlanTable(b);
}

struct Place : testing::Test {
    Place() {
        char name[] = "/tmp/shaletray-book-XXXXXX";
        folder = mkdtemp(name);
        path = folder + "/book";
    }
    ~Place() override { std::filesystem::remove_all(folder); }
    static plans::PlanChange next(const plans::PlanTable& book) {
        plans::ChangeProposal p;
        p.body = plans::AssignPlan{plans::CustomerId{book.version() + 1}, "equipo"};
        p.author = "test";
        return std::get<plans::PlanChange>(book.validate_proposal(p, kNow));
    }
    void make(std::size_t n) {
        plans::PlanTable book = new_book();
        PlanTableFile file(path, book, false);
        for (std::size_t i = 0; i < n; ++i) {
            const plans::PlanChange c = next(book);
            file.append_change(c);
            book.append(c);
        }
    }
    std::string folder, path;
};

TEST_F(Place, ReadsBackWhatWasMadeAndKeepsOthersOut) {
    make(5);
    plans::PlanTable book = new_book(), other = new_book();
    PlanTableFile file(path, book, false);
    EXPECT_EQ(book.version(), 5u);
    EXPECT_THROW(PlanTableFile(path, other, false), std::runtime_error);
    EXPECT_THROW(PlanTableFile(folder + "/no/where", other, false), std::exception);
}

TEST_F(Place, DropsALineThatWasCutShort) {
    make(3);
    std::ofstream(path, std::ios::app) << R"({"kind":"assign","cust)";
    {
        plans::PlanTable book = new_book();
        PlanTableFile file(path, book, false);
        EXPECT_EQ(book.version(), 3u);
        EXPECT_TRUE(file.load_result().is_torn);
        const plans::PlanChange c = next(book);
        file.append_change(c);
    }
    plans::PlanTable book = new_book();
    PlanTableFile file(path, book, false);
    EXPECT_EQ(book.version(), 4u);
    EXPECT_FALSE(file.load_result().is_torn);
}

TEST_F(Place, RefusesASpoiltBookOrServesWhatIsGoodOfIt) {
    make(4);
    std::string text = usage_log::real_file_system().read_file(path);
    text[text.find('\n') + 20] ^= 1;    // in the second line
    std::ofstream(path, std::ios::trunc) << text;
    plans::PlanTable book = new_book();
    try {
        PlanTableFile file(path, book, false);
        ADD_FAILURE();
    } catch (const std::runtime_error& error) {
        EXPECT_NE(std::string(error.what()).find(path + ":2: "), std::string::npos) << error.what();
    }
    plans::PlanTable served = new_book();
    PlanTableFile file(path, served, true);
    EXPECT_EQ(served.version(), 1u);
    EXPECT_THROW(file.append_change(next(served)), std::runtime_error);
    EXPECT_EQ(usage_log::real_file_system().read_file(path), text) << "it stays as it was found";
}

TEST_F(Place, KeepsNothingOfAChangeThatCouldNotBeWritten) {
    for (int step = 1; step <= 3; ++step) {
        std::filesystem::remove(path);
        make(2);
        FaultyFiles files;
        plans::PlanTable book = new_book();
        {
            PlanTableFile file(path, book, false, files);
            files.at(step, FaultyFiles::Way::Error);
            if (step < 3) {
                EXPECT_THROW(file.append_change(next(book)), std::runtime_error);
                files.at(0, FaultyFiles::Way::None);
            }
            const plans::PlanChange c = next(book);
            file.append_change(c);
            book.append(c);
        }
        plans::PlanTable again = new_book();
        PlanTableFile file(path, again, false);
        EXPECT_EQ(again.version(), 3u) << step;
        EXPECT_EQ(again.chain_hash(), book.chain_hash());
    }
}

TEST_F(Place, SurvivesAKillAtEachStepOfAnAppend) {
    for (int step = 1; step <= 2; ++step) {
        std::filesystem::remove(path);
        make(2);
        const pid_t child = fork();
        if (child == 0) {
            FaultyFiles files;
            plans::PlanTable book = new_book();
            PlanTableFile file(path, book, false, files);
            files.at(step, FaultyFiles::Way::Kill);
            file.append_change(next(book));
            _exit(0);
        }
        int status = 0;
        waitpid(child, &status, 0);
        ASSERT_TRUE(WIFSIGNALED(status));
        plans::PlanTable book = new_book();
        PlanTableFile file(path, book, false);
        EXPECT_EQ(book.version(), 2u);
        file.append_change(next(book));
    }
}

TEST_F(Place, TalliesLastThroughAKill) {
    const pid_t child = fork();
    if (child == 0) {
        usage_log::PersistentCounters tallies(path);
        for (int i = 1; i <= 100; ++i) tallies.set_value(7, i);
        tallies.set_value(9, 1);
        tallies.remove_key(9);
        raise(SIGKILL);
    }
    int status = 0;
    waitpid(child, &status, 0);
    usage_log::PersistentCounters tallies(path);
    EXPECT_EQ(tallies.initial_values(), (std::map<std::uint64_t, std::int64_t>{{7, 100}}));
    EXPECT_THROW(usage_log::PersistentCounters again(path), std::runtime_error);
    for (std::uint64_t key = 100; key < 100 + usage_log::PersistentCounters::kSlots - 1; ++key)
        EXPECT_TRUE(tallies.set_value(key, 1));
    EXPECT_FALSE(tallies.set_value(1, 1));
    std::ofstream(folder + "/other") << std::string(100, 'x');
    EXPECT_THROW(usage_log::PersistentCounters(folder + "/other"), std::runtime_error);
}

TEST(Wanted, TheBookKnowsWhatItSaysAlready) {
    plans::PlanTable book = new_book();
    EXPECT_TRUE(book.matches_latest(plans::DefinePlan{"equipo", "equipo", {4.0, 16.0, 0, 0, 0}}));
    EXPECT_FALSE(book.matches_latest(plans::DefinePlan{"equipo", "equipo", {5.0, 16.0, 0, 0, 0}}));
    EXPECT_TRUE(book.matches_latest(plans::AssignPlan{plans::CustomerId{1}, ""}));
    const plans::PlanChange c = Place::next(book);
    EXPECT_FALSE(book.matches_latest(c.body));
    book.append(c);
    EXPECT_TRUE(book.matches_latest(c.body)) << "though it is not in force yet";
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
