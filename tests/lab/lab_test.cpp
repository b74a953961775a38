// The laboratory's world: the same result on any number of threads, rules that can break, scenarios that
// contradict themselves.
#include <gtest/gtest.h>

#include <filesystem>

#include "harness.h"
#include "lab/kernel.h"
#include "lab/load.h"
#include "lab/scenario.h"
#include "lab/world.h"
#include "settings/value.h"

namespace shaletray::lab {
namespace {

using namespace std::chrono_literals;

Scenario small() {
    Scenario s;
    s.time = 6s;
    s.rate = 400.0;
    s.customers = 300;
    s.plans = {{"equipo", 4.0, 16.0, 0, 0.0, 0.0, 0.0, 1.0, 0.5, 0.2},
               {"empresa", 10.0, 40.0, 0, 12.0, 48.0, 4.8, 3.0, 0.0, 0.0}};
    s.leaves = 0.02;
    s.burst = 0.2;
    s.faults = {{Fault::Kind::Crash, 1s, 1500ms, 2, -1, 1.0},  {Fault::Kind::Slow, 2s, 1s, 1, -1, 5.0},
                {Fault::Kind::Errors, 2s, 1s, 3, -1, 0.3},     {Fault::Kind::Drain, 3s, 1s, 4, -1, 1.0},
                {Fault::Kind::RoomLost, 3s, 1s, -1, 0, 1.0},   {Fault::Kind::Hang, 500ms, 400ms, 5, -1, 1.0},
                {Fault::Kind::LinkLoss, 1s, 500ms, 7, -1, 0.2}};
    return s;
}

TEST(Lab, GivesTheSameToTheByteOnAnyNumberOfThreads) {
    for (std::uint64_t seed : {1, 2, 3}) {
        Scenario s = small();
        s.seed = seed;
        const Figures one = run(s, 1);
        for (const std::size_t threads : {2, 3, 4}) {
            const Figures many = run(s, threads);
            EXPECT_EQ(many.digest, one.digest) << threads;
            EXPECT_EQ(many.served, one.served);
            EXPECT_EQ(many.events, one.events);
            EXPECT_EQ(many.served_by_second, one.served_by_second);
        }
        s.seed += 100;
        EXPECT_NE(run(s, 2).digest, one.digest);
    }
}

TEST(Lab, EachRequestEndsOnceAndTheRulesAreKeptThroughAllFaults) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Scenario s = small();
        s.seed = seed;
        const Figures f = run(s, 2);
        EXPECT_GT(f.requests, 1000u);
        EXPECT_EQ(f.requests, f.served + f.refused + f.failed + f.left);
        for (const auto& [name, rule] : f.rules)
            EXPECT_EQ(rule.broken, 0u) << seed << ' ' << name << ": " << rule.first;
        EXPECT_GT(f.rules.at("one answer").checked, 1000u);
        EXPECT_GT(f.rules.at("drains").checked + f.rules.at("unasked repeats").checked, 0u);
        EXPECT_GT(f.rules.at("ceilings").checked, 100u);
        EXPECT_GT(f.served, f.requests / 2);
    }
}

TEST(Lab, FaultsCostWhatTheyShould) {
    Scenario s = small();
    s.faults.clear();
    s.plans.clear();
    s.leaves = 0.0;
    const Figures calm = run(s, 2);
    EXPECT_GE(static_cast<double>(calm.served), 0.999 * static_cast<double>(calm.requests));
    EXPECT_EQ(calm.rules.at("ceilings").checked, 0u) << "told as not checked";
    // Two of three rooms gone: what is left cannot do half of it.
    s.rate = 1200.0;
    s.faults = {{Fault::Kind::RoomLost, 2s, 3s, -1, 0, 1.0}, {Fault::Kind::RoomLost, 2s, 3s, -1, 1, 1.0}};
    const Figures lost = run(s, 2);
    EXPECT_LT(lost.served_by_second.at(4), lost.served_by_second.at(1) * 3 / 4);
    EXPECT_LT(lost.in_aim, lost.requests);
    s.model.cancel_stops = false;
    s.leaves = 0.3;
    EXPECT_GT(run(s, 2).wasted_work_us, lost.wasted_work_us);
}

TEST(Lab, RefusesScenariosThatContradictThemselves) {
    const auto wrong = [](auto change, const std::string& what) {
        Scenario s = small();
        change(s);
        try {
            run(s, 1);
            ADD_FAILURE() << what;
        } catch (const std::invalid_argument& error) {
            EXPECT_NE(std::string(error.what()).find(what), std::string::npos) << error.what();
        }
    };
    wrong([](Scenario& s) { s.faults[0].server = 99; }, "faults[0] (crash): there is no such server");
    wrong([](Scenario& s) { s.faults[4].room = 3; }, "there is no such room");
    wrong([](Scenario& s) { s.faults[1].at = 7s; }, "outside of the scenario's time");
    wrong([](Scenario& s) { s.faults[2].by = 2.0; }, "part of the requests");
    wrong([](Scenario& s) { s.faults.push_back(s.faults[0]); }, "down already");
    wrong(
        [](Scenario& s) {
            s.faults.push_back({Fault::Kind::Crash, 3500ms, 1s, 3, -1, 1.0});
        },
        "down already");
    wrong([](Scenario& s) { s.gateways = 0; }, "gateways");
    wrong([](Scenario& s) { s.delay = Duration(0); }, "delay");
}

TEST(Scenario, IsReadAsATypedRecordAndNamesWhatIsWrong) {
    const ScenarioFile f = read_scenario(
        "name: \"x\"\nrate: 50\nmodel: work: \"5ms\"\nfaults: [{kind: \"slow\", at: \"2s\", server: 1, by: "
        "3}]\n"
        "bounds: [{figure: \"served\", least: 0.9}]\n",
        "x.cue");
    EXPECT_EQ(f.scenario.rate, 50.0);
    EXPECT_EQ(f.scenario.model.work_ms, 5.0);
    EXPECT_EQ(f.scenario.faults.at(0).kind, Fault::Kind::Slow);
    EXPECT_EQ(f.scenario.faults.at(0).lasts, 1s);
    EXPECT_THROW(read_scenario("name: \"x\"\nrat: 50\n", "x.cue"), settings::BadSettingsFile);
    EXPECT_THROW(read_scenario("name: \"x\"\nmodel: work: \"5\"\n", "x.cue"), settings::BadSettingsFile);
    EXPECT_THROW(read_scenario("name: \"x\"\nbounds: [{figure: \"served\"}]\n", "x.cue"),
                 settings::BadSettingsFile);
    EXPECT_THROW(read_scenario("name: \"x\"\nfaults: [{kind: \"crash\", at: \"2s\", server: 9}]\n", "x.cue"),
                 std::invalid_argument);
}

TEST(Scenario, TellsABoundThatNothingCalledForAsNotChecked) {
    Figures f;
    EXPECT_EQ(judge({"served", 0.9, {}}, f), Verdict::NotChecked);
    f.requests = 10;
    f.served = 8;
    EXPECT_EQ(judge({"served", 0.9, {}}, f), Verdict::Broken);
    EXPECT_EQ(judge({"served", 0.7, 0.9}, f), Verdict::Kept);
    EXPECT_EQ(judge({"wasted", {}, 0.1}, f), Verdict::NotChecked);
    f.served = 0;
    EXPECT_EQ(judge({"p99_ms", {}, 10.0}, f), Verdict::NotChecked);
}

TEST(Scenario, ComparisonSaysPlainlyWhereThereIsNoDifference) {
    EXPECT_FALSE(paired({1, 2, 3}, {1, 2, 3}).clear());
    EXPECT_FALSE(paired({1, 2, 3}, {1.5, 1.6, 3.1}).clear());
    const Difference d = paired({1, 2, 3}, {2.1, 3.0, 4.1});
    EXPECT_TRUE(d.clear());
    EXPECT_NEAR(d.mean, 1.0667, 1e-3);
    EXPECT_NEAR(d.half_width, 4.3027 * 0.057735 / std::sqrt(3.0), 1e-3);    // Student's t of two degrees
    EXPECT_FALSE(paired({1}, {9}).clear());
}

TEST(Scenario, AllOfTheLibraryCanBeRead) {
    int n = 0;
    for (const auto& entry : std::filesystem::directory_iterator(SCENARIOS)) {
        EXPECT_FALSE(load_scenario(entry.path().string()).bounds.empty()) << entry.path();
        ++n;
    }
    EXPECT_GE(n, 8);
}

// ---- the load tool ----

TEST(Arrivals, ComeAsTheirProcessSays) {
    const auto count = [](Arrivals& a, Duration time) {
        std::size_t n = 0;
        Duration last(0);
        for (auto at = a.next(); at && *at < time; at = a.next(), ++n) {
            EXPECT_GE(*at, last);
            last = *at;
        }
        return n;
    };
    EXPECT_EQ(count(*constant_arrivals(100.0), 10s), 999u);
    EXPECT_NEAR(static_cast<double>(count(*poisson_arrivals(1000.0, 3), 10s)), 10'000.0, 400.0);
    const auto on_off = on_off_arrivals(1000.0, 2s, 3);
    std::size_t in_quarter = 0, all = 0;
    for (auto at = on_off->next(); at && *at < 20s; at = on_off->next(), ++all)
        in_quarter += *at % 2s < 500ms;
    EXPECT_EQ(in_quarter, all);
    EXPECT_NEAR(static_cast<double>(all), 20'000.0, 800.0);
}

TEST(Arrivals, AreReadFromARecordThatMayEndInTheMiddleOfALine) {
    const Recorded r = read_recorded("0\n1000\n500\n20");
    EXPECT_EQ(r.times, (std::vector<Duration>{0us, 1000us, 1000us}));
    EXPECT_EQ(r.late, 1u);
    EXPECT_TRUE(r.cut_short);
    try {
        read_recorded("0\n12x\n");
        ADD_FAILURE();
    } catch (const std::runtime_error& error) {
        EXPECT_NE(std::string(error.what()).find("line 2"), std::string::npos);
    }
}

struct LoadRun {
    explicit LoadRun(Duration work)
        : workers(reactor, 1, work, [this](int, std::string_view, TimePoint) { ++seen; }) {}
    const LoadFigures& run(LoadSettings s, std::unique_ptr<Arrivals> arrivals) {
        const std::string list = workers.list();
        const std::size_t at = list.find("host_port\":\"") + 12;
        s.address = list.substr(at, list.find('"', at) - at);
        load = std::make_unique<Load>(reactor, s, std::move(arrivals), [this] { reactor.stop(); });
        load->start();
        reactor.run();
        return load->figures();
    }
    SystemClock clock;
    Timers timers;
    Reactor reactor{clock, timers};
    Workers workers;
    std::uint64_t seen = 0;
    std::unique_ptr<Load> load;
};

TEST(Load, CountsFromWhenARequestWasDueAndLosesNone) {
    LoadRun run(20ms);
    LoadSettings s;
    s.time = 1s;
    const LoadFigures& f = run.run(s, constant_arrivals(200.0));
    EXPECT_EQ(f.due, 199u);
    EXPECT_EQ(f.sent, f.due);
    EXPECT_EQ(f.by_status.at(200), f.due);
    EXPECT_EQ(run.seen, f.due);
    EXPECT_GE(quantile_of(f.latency, 0.5), 19.9);
}

// One connection to a server that takes 20 ms, and a request each 10 ms: those that wait must show it.
TEST(Load, DoesNotHideWhatASlowServerDoesToThoseWhoCameMeanwhile) {
    LoadRun run(20ms);
    LoadSettings s;
    s.time = 1s;
    s.connections = 1;
    const LoadFigures& f = run.run(s, constant_arrivals(100.0));
    EXPECT_EQ(f.due, 99u);
    EXPECT_EQ(f.by_status.at(200), f.due);
    EXPECT_GE(quantile_of(f.latency, 0.99), 900.0) << "a closed loop would say 20";
}

struct Echo : Kernel<int>::Entity {
    void handle(int&&, Kernel<int>::Context& context) override { context.send(1 - context.self(), 10us, 1); }
};

TEST(Kernel, RefusesWhatWouldMakeTheOrderDependOnThreads) {
    for (const std::size_t threads : {1, 2}) {
        Kernel<int> kernel(20us, threads);
        kernel.add(std::make_unique<Echo>());
        kernel.add(std::make_unique<Echo>());
        kernel.schedule(0, TimePoint{} + 1ms, 1);
        EXPECT_THROW(kernel.run(TimePoint{} + 1s), std::logic_error);
    }
}

}    // namespace
}    // namespace shaletray::lab
