// Tests of the simulator: results do not depend on the number of threads, rules hold during faults, invalid
// scenarios are rejected. Also tests the emulated server, reports, runs on sockets and the load generator.
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <set>

#include "balancer/platform/gateway_config.h"
#include "balancer/settings/value.h"
#include "live_run.h"
#include "simulator/kernel.h"
#include "simulator/load.h"
#include "simulator/report.h"
#include "simulator/scenario.h"
#include "simulator/server.h"
#include "simulator/world.h"
#include "test_processes.h"

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;

Scenario scenario_with_faults() {
    Scenario s;
    s.duration = 6s;
    s.request_rate = 400.0;
    s.customer_count = 300;
    s.plans = {{"equipo", 4.0, 16.0, 0, 0.0, 0.0, 0.0, 1.0, 0.5, 0.2},
               {"empresa", 10.0, 40.0, 0, 12.0, 48.0, 4.8, 3.0, 0.0, 0.0}};
    s.abandon_fraction = 0.02;
    s.burst_fraction = 0.2;
    s.faults = {{Fault::Kind::Crash, 1s, 1500ms, 2, -1, 1.0},  {Fault::Kind::Slowdown, 2s, 1s, 1, -1, 5.0},
                {Fault::Kind::Errors, 2s, 1s, 3, -1, 0.3},     {Fault::Kind::Drain, 3s, 1s, 4, -1, 1.0},
                {Fault::Kind::RoomLost, 3s, 1s, -1, 0, 1.0},   {Fault::Kind::Hang, 500ms, 400ms, 5, -1, 1.0},
                {Fault::Kind::LinkLoss, 1s, 500ms, 7, -1, 0.2}};
    Fault lost{Fault::Kind::GatewayCrash, 2s, 2s};
    lost.gateway_index = 1;
    Fault heavy{Fault::Kind::HeavyRequests, 4s, 1s, -1, -1, 5.0};
    heavy.request_fraction = 0.1;
    heavy.class_index = Approve;
    s.faults.insert(s.faults.end(), {lost,
                                     heavy,
                                     {Fault::Kind::PeerMessageLoss, 1s, 2s, -1, -1, 0.5},
                                     {Fault::Kind::DiscoveryOutage, 900ms, 800ms}});
    return s;
}

Scenario shared_counter_scenario() {
    Scenario s = scenario_with_faults();
    s.quota_sharing = Scenario::QuotaSharing::SharedCounter;
    s.duration = 8s;
    s.faults.push_back({Fault::Kind::StoreOutage, 4s, 1s});
    s.plan_changes = {{500ms, 1, 3.0, 12.0, 5.0, 20.0, 2.0}};
    return s;
}

TEST(Simulation, ResultDoesNotDependOnTheNumberOfThreads) {
    for (std::uint64_t seed : {1, 2, 3}) {
        Scenario s = seed == 3 ? shared_counter_scenario() : scenario_with_faults();
        s.seed = seed;
        const RunStatistics single_threaded = run_scenario(s, 1);
        for (const std::size_t threads : {2, 3, 4}) {
            const RunStatistics parallel = run_scenario(s, threads);
            EXPECT_EQ(parallel.digest, single_threaded.digest) << threads;
            EXPECT_EQ(parallel.served, single_threaded.served);
            EXPECT_EQ(parallel.events, single_threaded.events);
            EXPECT_EQ(parallel.served_by_second, single_threaded.served_by_second);
        }
        s.seed += 100;
        EXPECT_NE(run_scenario(s, 2).digest, single_threaded.digest);
    }
}

TEST(Simulation, EachRequestEndsOnceAndAllRulesHoldDuringFaults) {
    std::uint64_t rare_rule_checks = 0;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Scenario s = scenario_with_faults();
        s.seed = seed;
        const RunStatistics f = run_scenario(s, 2);
        EXPECT_GT(f.requests, 1000u);
        EXPECT_EQ(f.requests, f.served + f.rejected + f.failed + f.abandoned);
        for (const auto& [name, rule] : f.rules)
            EXPECT_EQ(rule.violation_count, 0u) << seed << ' ' << name << ": " << rule.first_violation;
        EXPECT_GT(f.rules.at("one answer").check_count, 1000u);
        rare_rule_checks += f.rules.at("drains").check_count + f.rules.at("unasked repeats").check_count;
        EXPECT_GT(f.rules.at("ceilings").check_count, 100u);
        EXPECT_GT(f.served, f.requests / 2);
    }
    EXPECT_GT(rare_rule_checks, 0u);
}

TEST(Simulation, FaultsReduceServedRequestsAndWasteWork) {
    Scenario s = scenario_with_faults();
    s.faults.clear();
    s.plans.clear();
    s.abandon_fraction = 0.0;
    const RunStatistics calm = run_scenario(s, 2);
    EXPECT_GE(static_cast<double>(calm.served), 0.999 * static_cast<double>(calm.requests));
    EXPECT_EQ(calm.rules.at("ceilings").check_count, 0u)
        << "a rule without any check must be reported as such";
    // With two of three rooms lost, the remaining servers can serve less than half of the load.
    s.request_rate = 1200.0;
    s.faults = {{Fault::Kind::RoomLost, 2s, 3s, -1, 0, 1.0}, {Fault::Kind::RoomLost, 2s, 3s, -1, 1, 1.0}};
    const RunStatistics lost = run_scenario(s, 2);
    EXPECT_LT(lost.served_by_second.at(4), lost.served_by_second.at(1) * 3 / 4);
    EXPECT_LT(lost.within_target, lost.requests);
    s.server_model.cancel_stops_work = false;
    s.abandon_fraction = 0.3;
    EXPECT_GT(run_scenario(s, 2).wasted_work_us, lost.wasted_work_us);
}

TEST(Simulation, RejectsContradictoryScenarios) {
    const auto expect_rejected = [](auto change, const std::string& what) {
        Scenario s = scenario_with_faults();
        change(s);
        try {
            run_scenario(s, 1);
            ADD_FAILURE() << what;
        } catch (const std::invalid_argument& error) {
            EXPECT_NE(std::string(error.what()).find(what), std::string::npos) << error.what();
        }
    };
    expect_rejected([](Scenario& s) { s.faults[0].server_index = 99; },
                    "faults[0] (crash): there is no such server");
    expect_rejected([](Scenario& s) { s.faults[4].room_index = 3; }, "there is no such room");
    expect_rejected([](Scenario& s) { s.faults[1].starts_at = 7s; }, "outside of the scenario's time");
    expect_rejected([](Scenario& s) { s.faults[2].magnitude = 2.0; }, "part of the requests");
    expect_rejected([](Scenario& s) { s.faults.push_back(s.faults[0]); }, "down already");
    expect_rejected(
        [](Scenario& s) {
            s.faults.push_back({Fault::Kind::Crash, 3500ms, 1s, 3, -1, 1.0});
        },
        "down already");
    expect_rejected(
        [](Scenario& s) {
            s.faults.push_back({Fault::Kind::StoreOutage, 1s, 1s});
        },
        "no counter");
    expect_rejected(
        [](Scenario& s) {
            s.faults.push_back({Fault::Kind::GatewayCrash, 1s, 1s});
        },
        "no such gateway");
    expect_rejected([](Scenario& s) { s.faults[1].server_fraction = 0.5; }, "either a server or a share");
    expect_rejected([](Scenario& s) { s.faults[1].starts_at_max = 1s; }, "a range must end after");
    expect_rejected([](Scenario& s) { s.plan_changes = {{1s, 0, 1.0, 1.0}}; }, "share by a counter");
    expect_rejected([](Scenario& s) { s.gateway_count = 0; }, "gateways");
    expect_rejected([](Scenario& s) { s.network_delay = Duration(0); }, "delay");
}

TEST(Simulation, EnforcesHardLimitsDuringPlanChangesAndStoreOutage) {
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        Scenario s = shared_counter_scenario();
        s.seed = seed;
        const RunStatistics f = run_scenario(s, 2);
        for (const auto& [name, rule] : f.rules)
            EXPECT_EQ(rule.violation_count, 0u) << seed << ' ' << name << ": " << rule.first_violation;
        EXPECT_GT(f.rules.at("ceilings").check_count, 100u);
        EXPECT_GT(f.messages, 50u);
        // The smaller plan applies from 2.5 s on, so fewer requests are admitted than without the change.
        s.plan_changes.clear();
        EXPECT_LT(f.served, run_scenario(s, 2).served);
    }
}

TEST(Simulation, TracesAllEventsOfARequest) {
    const Scenario s = scenario_with_faults();
    const std::uint64_t request = 5;    // of the first frontend
    const RunStatistics f = run_scenario(s, 2, request);
    ASSERT_GE(f.request_trace.size(), 4u);
    EXPECT_NE(f.request_trace.front().second.find("try 1"), std::string::npos)
        << f.request_trace.front().second;
    bool was_received = false, ended = false;
    double last = 0.0;
    for (const auto& [at, what] : f.request_trace) {
        EXPECT_GE(at, last);
        last = at;
        was_received = was_received || what.find("takes try") != std::string::npos;
        ended = ended || what.find("answer") != std::string::npos || what.find("leaves") != std::string::npos;
    }
    EXPECT_TRUE(was_received && ended);
    EXPECT_EQ(f.digest, run_scenario(s, 2).digest) << "tracing must not change the result";
    EXPECT_TRUE(run_scenario(s, 2, 0xffffff).request_trace.empty());
}

TEST(Scenario, DrawsRangesAndFractionsForEachSeed) {
    Scenario s = scenario_with_faults();
    s.faults = {{Fault::Kind::Crash, 1s, 1s}, {Fault::Kind::Errors, 1s, 1s, -1, -1, 0.5}};
    s.faults[0].server_fraction = 0.4;
    s.faults[0].starts_at_max = 3s;
    s.faults[0].duration_max = 2s;
    s.faults[1].server_fraction = 0.2;
    s.faults[1].magnitude_max = 0.9;
    std::set<std::int64_t> times;
    for (s.seed = 1; s.seed <= 20; ++s.seed) {
        const Scenario d = s.with_drawn_faults();
        ASSERT_EQ(d.faults.size(), 4u + 2u);    // 0.4 and 0.2 of nine servers
        for (const Fault& f : d.faults) {
            EXPECT_GE(f.server_index, 0);
            EXPECT_EQ(f.server_fraction, 0.0);
            EXPECT_TRUE(f.kind == Fault::Kind::Errors
                            ? f.magnitude >= 0.5 && f.magnitude <= 0.9
                            : f.starts_at >= 1s && f.starts_at <= 3s && f.duration <= 2s);
        }
        EXPECT_NO_THROW(d.validate());
        times.insert(d.faults[0].starts_at.count());
        EXPECT_EQ(d.faults[0].starts_at, s.with_drawn_faults().faults[0].starts_at)
            << "the same seed must give the same draws";
    }
    EXPECT_GT(times.size(), 15u);
}

// ---- a server ----

struct ServerFixture : ServerEnvironment {
    explicit ServerFixture(const Scenario& s) : server(s, 1, TimePoint{}, *this) {}
    TimePoint current_time() const override { return at; }
    void schedule_wakeup(TimePoint when, std::uint64_t number) override { due.emplace(when, number); }
    void send_answer(const JobId& job, decision::Outcome outcome) override {
        answers.emplace_back(job.request, outcome);
    }
    void advance_to(TimePoint end) {
        while (!due.empty() && due.begin()->first <= end) {
            const auto [when, number] = *due.begin();
            due.erase(due.begin());
            at = when;
            server.on_wakeup(number);
        }
        at = end;
    }
    TimePoint at = TimePoint{} + 1000s;
    std::multimap<TimePoint, std::uint64_t> due;
    std::vector<std::pair<std::uint32_t, decision::Outcome>> answers;
    EmulatedServer server;
};

TEST(Server, QueuesRejectsWhenFullAndDropsCancelledJobs) {
    Scenario s;
    s.server_model = {
        .cores = 1, .queue_length = 2, .work_ms = 10.0, .work_sigma = 0.0, .full_queue_slowdown = 0.0};
    ServerFixture fixture(s);
    for (std::uint32_t i = 1; i <= 4; ++i) fixture.server.on_request({1, i, 0}, 0, false);
    ASSERT_EQ(fixture.answers.size(), 1u);
    EXPECT_EQ(fixture.answers[0], (std::pair<std::uint32_t, decision::Outcome>{4, decision::Outcome::Full}));
    EXPECT_EQ(fixture.server.reported_load().outstanding, 3.0);
    EXPECT_EQ(fixture.server.reported_load().backlog, 2.0);
    fixture.server.on_cancel({1, 2, 0});    // queued
    fixture.server.on_cancel({1, 9, 0});    // unknown job
    fixture.server.on_request({1, 5, 0}, 0, false);
    fixture.advance_to(fixture.at + 25ms);
    ASSERT_EQ(fixture.answers.size(), 3u);
    EXPECT_EQ(fixture.answers[2].first, 3u);
    fixture.server.on_cancel({1, 5, 0});    // running: half of its work is wasted
    fixture.advance_to(fixture.at + 100ms);
    EXPECT_EQ(fixture.answers.size(), 3u);
    EXPECT_EQ(fixture.server.statistics.wasted_work_us, 5000u);
}

TEST(Server, CollapsesUnderOverloadWhileWarmingUpAndStaysDown) {
    Scenario s;
    s.server_model = {.cores = 1,
                      .queue_length = 1000,
                      .work_ms = 10.0,
                      .work_sigma = 0.0,
                      .initial_speed = 0.2,
                      .warm_up_time = 10s};
    ServerFixture fixture(s);
    const Fault crash{Fault::Kind::Crash, 0s, 1s, 0};
    const auto send_load = [&](double requests_per_second, Duration time) {
        const TimePoint end = fixture.at + time;
        for (std::uint32_t i = 0; fixture.at < end; ++i) {
            fixture.server.on_request({2, i, 0}, 0, false);
            fixture.advance_to(fixture.at + Duration(static_cast<std::int64_t>(1e6 / requests_per_second)));
        }
    };
    fixture.server.apply_fault(crash, true);
    fixture.server.on_request({1, 1, 0}, 0, false);
    EXPECT_EQ(fixture.answers.back().second, decision::Outcome::ConnectFailed);
    fixture.server.apply_fault(crash, false);
    send_load(50.0, 3s);    // its capacity starts at 20 a second and grows: less than four times that
    EXPECT_FALSE(fixture.server.is_down());
    EXPECT_EQ(fixture.server.statistics.rules["cold servers"].violation_count, 0u);
    fixture.server.apply_fault(crash, true);
    fixture.server.apply_fault(crash, false);
    send_load(300.0, 3s);
    EXPECT_TRUE(fixture.server.is_down());
    EXPECT_EQ(fixture.server.statistics.rules["cold servers"].violation_count, 1u);
    fixture.server.apply_fault(crash, false);
    EXPECT_TRUE(fixture.server.is_down()) << "a collapsed server must stay down";
}

TEST(Server, ReportsOutdatedLoad) {
    Scenario s;
    s.server_model = {.cores = 1, .work_ms = 1000.0, .work_sigma = 0.0, .max_report_age = 1s};
    ServerFixture fixture(s);
    EXPECT_EQ(fixture.server.reported_load().outstanding, 0.0);
    fixture.server.on_request({1, 1, 0}, 0, false);
    EXPECT_EQ(fixture.server.reported_load().outstanding, 0.0) << "the report must be up to 1 s old";
    fixture.advance_to(fixture.at + 1s);
    fixture.server.on_request({1, 2, 0}, 0, false);
    EXPECT_EQ(fixture.server.reported_load().outstanding, 1.0);
}

// ---- reports ----

TEST(Report, CanBeReplayedAndContainsItsPlots) {
    RunReport r;
    r.scenario_text =
        "name: \"x\"\ntime: \"4s\"\nfaults: [{kind: \"crash\", at: \"1s\", server: 1}]\n"
        "bounds: [{figure: \"served\", least: 0.9}]\n";
    r.scenario_file = parse_scenario(r.scenario_text, "x.cue");
    r.scenario_file.scenario.seed = 5;
    r.statistics = run_scenario(r.scenario_file.scenario, 1);
    const ReplayedRun replayed = parse_report(report_to_json(r).dump(), "x.json");
    EXPECT_EQ(fmt::format("{:016x}", run_scenario(replayed.scenario_file.scenario, 2).digest),
              replayed.digest);
    EXPECT_EQ(replayed.scenario_file.scenario.seed, 5u);
    EXPECT_THROW(parse_report("{\"seed\": 1}", "x.json"), std::runtime_error);
    EXPECT_THROW(parse_report("", "x.json"), std::runtime_error);
    const std::string csv = report_to_csv(r.statistics);
    EXPECT_EQ(std::count(csv.begin(), csv.end(), '\n'), 1 + 8);
    const std::string html = report_to_html(r);
    std::size_t plots = 0;
    for (std::size_t at = html.find("<svg"); at != std::string::npos; at = html.find("<svg", at + 1)) ++plots;
    EXPECT_EQ(plots, 5u);
    EXPECT_EQ(html.find("http://") == std::string::npos, false) << "the name space of the SVG";
    for (const char* outside : {"<script src", "<link", "<img", "url(http"})
        EXPECT_EQ(html.find(outside), std::string::npos) << outside;
}

// ---- on sockets ----

TEST(Live, GatewayProcessesGetTheSettingsOfSimulatedGateways) {
    Scenario s = scenario_with_faults();
    for (int me = 0; me < s.gateway_count; ++me) {
        const decision::Settings want = gateway_settings(s, me);
        const GatewayConfig config = parse_config(fmt::format(
            R"({{"listen":"127.0.0.1:1","discovery":"127.0.0.1:2","settings":{}}})", settings_json(s, me)));
        const decision::Settings& got = config.settings;
        EXPECT_EQ(got.me, want.me);
        EXPECT_EQ(got.gateways, want.gateways);
        EXPECT_EQ(got.zone, want.zone);
        EXPECT_EQ(got.send_cap, want.send_cap);
        EXPECT_EQ(got.may_tell, want.may_tell);
        EXPECT_EQ(got.may_cancel, want.may_cancel);
        EXPECT_EQ(got.may_probe, want.may_probe);
        EXPECT_EQ(got.max_retry_after, want.max_retry_after);
        EXPECT_EQ(got.drain_grace, want.drain_grace);
        EXPECT_EQ(got.cold, want.cold);
        EXPECT_EQ(got.start_capacity, want.start_capacity);
        EXPECT_EQ(got.fall, want.fall);
        EXPECT_EQ(got.fall_multiple, want.fall_multiple);
        EXPECT_EQ(got.reports, want.reports);
        EXPECT_EQ(got.peer_messages_per_s, want.peer_messages_per_s);
        EXPECT_EQ(got.most_units, want.most_units);
        ASSERT_EQ(got.classes.size(), want.classes.size());
        for (std::size_t i = 0; i < want.classes.size(); ++i) {
            EXPECT_EQ(got.classes[i].name, want.classes[i].name);
            EXPECT_EQ(got.classes[i].repeat, want.classes[i].repeat);
            EXPECT_EQ(got.classes[i].window, want.classes[i].window);
            EXPECT_EQ(got.classes[i].aim, want.classes[i].aim);
            EXPECT_EQ(got.classes[i].give_up, want.classes[i].give_up);
            EXPECT_EQ(got.classes[i].worth, want.classes[i].worth);
            EXPECT_EQ(got.classes[i].late_share, want.classes[i].late_share);
        }
        ASSERT_EQ(got.plans.size(), want.plans.size());
        for (std::size_t i = 0; i < want.plans.size(); ++i) {
            EXPECT_EQ(got.plans[i].rate, want.plans[i].rate);
            EXPECT_EQ(got.plans[i].burst, want.plans[i].burst);
            EXPECT_EQ(got.plans[i].ceiling_rate, want.plans[i].ceiling_rate);
            EXPECT_EQ(got.plans[i].ceiling_burst, want.plans[i].ceiling_burst);
            EXPECT_EQ(got.plans[i].ceiling_slack, want.plans[i].ceiling_slack);
            EXPECT_EQ(got.plans[i].over_worth, want.plans[i].over_worth);
            EXPECT_EQ(got.plans[i].over_cost, want.plans[i].over_cost);
        }
    }
}

TEST(Live, RunsAScenarioWithCrashesDrainsAndAGatewayCrash) {
    Scenario s;
    s.name = "live-test";
    s.duration = 4s;
    s.request_rate = 150.0;
    s.faults = {{Fault::Kind::Crash, 500ms, 1500ms, 2},
                {Fault::Kind::Drain, 1s, 2s, 4},
                {Fault::Kind::Errors, 1s, 1s, 5, -1, 0.5}};
    Fault lost{Fault::Kind::GatewayCrash, 1s, 1500ms};
    lost.gateway_index = 2;
    s.faults.push_back(lost);
    const LiveFigures live = run_live(s, {PROGRAMS, {}});
    const RunStatistics& f = live.figures;
    EXPECT_GT(f.requests, 400u);
    EXPECT_EQ(f.requests, f.served + f.rejected + f.failed + f.abandoned);
    EXPECT_GT(f.served, f.requests / 2);
    EXPECT_GT(f.messages + f.attempts, 400u);
    EXPECT_GT(live.cpu_s, 0.0);
    // If this machine was too slow, rules that involve time are not meaningful.
    for (const auto& [name, rule] : f.rules) {
        if (live.ran_late() && name != "one answer" && name != "unasked repeats") continue;
        EXPECT_EQ(rule.violation_count, 0u) << name << ": " << rule.first_violation;
    }
    s.gateway_count = kMostLiveGateways + 1;
    EXPECT_THROW(run_live(s, {PROGRAMS, {}}), std::invalid_argument);
    s.gateway_count = 1;
    s.faults.clear();
    EXPECT_THROW(run_live(s, {"/nowhere", {}}), std::runtime_error);
}

TEST(Scenario, ParsesFilesAndRejectsInvalidFields) {
    const ScenarioFile f = parse_scenario(
        "name: \"x\"\nrate: 50\nmodel: work: \"5ms\"\nfaults: [{kind: \"slow\", at: \"2s\", server: 1, by: "
        "3}]\n"
        "bounds: [{figure: \"served\", least: 0.9}]\n",
        "x.cue");
    EXPECT_EQ(f.scenario.request_rate, 50.0);
    EXPECT_EQ(f.scenario.server_model.work_ms, 5.0);
    EXPECT_EQ(f.scenario.faults.at(0).kind, Fault::Kind::Slowdown);
    EXPECT_EQ(f.scenario.faults.at(0).duration, 1s);
    EXPECT_THROW(parse_scenario("name: \"x\"\nrat: 50\n", "x.cue"), settings::SettingsFileError);
    EXPECT_THROW(parse_scenario("name: \"x\"\nmodel: work: \"5\"\n", "x.cue"), settings::SettingsFileError);
    EXPECT_THROW(parse_scenario("name: \"x\"\nbounds: [{figure: \"served\"}]\n", "x.cue"),
                 settings::SettingsFileError);
    EXPECT_THROW(parse_scenario("name: \"x\"\nfaults: [{kind: \"crash\", at: \"2s\", server: 9}]\n", "x.cue"),
                 std::invalid_argument);
}

TEST(Scenario, ReportsABoundWithoutAValueAsNotChecked) {
    RunStatistics f;
    EXPECT_EQ(check_range({"served", 0.9, {}}, f), Verdict::NotChecked);
    f.requests = 10;
    f.served = 8;
    EXPECT_EQ(check_range({"served", 0.9, {}}, f), Verdict::Violated);
    EXPECT_EQ(check_range({"served", 0.7, 0.9}, f), Verdict::Satisfied);
    EXPECT_EQ(check_range({"wasted", {}, 0.1}, f), Verdict::NotChecked);
    f.served = 0;
    EXPECT_EQ(check_range({"p99_ms", {}, 10.0}, f), Verdict::NotChecked);
}

TEST(Scenario, PairedDifferenceDetectsSignificance) {
    EXPECT_FALSE(paired_difference({1, 2, 3}, {1, 2, 3}).is_significant());
    EXPECT_FALSE(paired_difference({1, 2, 3}, {1.5, 1.6, 3.1}).is_significant());
    const PairedDifference d = paired_difference({1, 2, 3}, {2.1, 3.0, 4.1});
    EXPECT_TRUE(d.is_significant());
    EXPECT_NEAR(d.mean, 1.0667, 1e-3);
    EXPECT_NEAR(d.half_width, 4.3027 * 0.057735 / std::sqrt(3.0),
                1e-3);    // Student's t with two degrees of freedom
    EXPECT_FALSE(paired_difference({1}, {9}).is_significant());
}

TEST(Scenario, AllScenarioFilesCanBeLoaded) {
    int n = 0;
    for (const auto& entry : std::filesystem::directory_iterator(SCENARIOS)) {
        if (entry.path().extension() != ".cue") continue;
        EXPECT_FALSE(load_scenario(entry.path().string()).expected_ranges.empty()) << entry.path();
        ++n;
    }
    EXPECT_GE(n, 18);
}

// ---- the load generator ----

TEST(Arrivals, FollowTheirDistribution) {
    const auto count = [](Arrivals& a, Duration time) {
        std::size_t n = 0;
        Duration last(0);
        for (auto at = a.next_arrival(); at && *at < time; at = a.next_arrival(), ++n) {
            EXPECT_GE(*at, last);
            last = *at;
        }
        return n;
    };
    EXPECT_EQ(count(*constant_arrivals(100.0), 10s), 999u);
    EXPECT_NEAR(static_cast<double>(count(*poisson_arrivals(1000.0, 3), 10s)), 10'000.0, 400.0);
    const auto on_off = on_off_arrivals(1000.0, 2s, 3);
    std::size_t in_quarter = 0, all = 0;
    for (auto at = on_off->next_arrival(); at && *at < 20s; at = on_off->next_arrival(), ++all)
        in_quarter += *at % 2s < 500ms;
    EXPECT_EQ(in_quarter, all);
    EXPECT_NEAR(static_cast<double>(all), 20'000.0, 800.0);
}

TEST(Arrivals, ParsesRecordsWithATruncatedLastLine) {
    const RecordedArrivals r = parse_recorded_arrivals("0\n1000\n500\n20");
    EXPECT_EQ(r.arrival_times, (std::vector<Duration>{0us, 1000us, 1000us}));
    EXPECT_EQ(r.out_of_order_count, 1u);
    EXPECT_TRUE(r.is_truncated);
    try {
        parse_recorded_arrivals("0\n12x\n");
        ADD_FAILURE();
    } catch (const std::runtime_error& error) {
        EXPECT_NE(std::string(error.what()).find("line 2"), std::string::npos);
    }
}

struct LoadRun {
    explicit LoadRun(Duration work)
        : workers(reactor, 1, work, [this](int, std::string_view, TimePoint) { ++seen; }) {}
    const LoadStatistics& run(LoadSettings s, std::unique_ptr<Arrivals> arrivals) {
        const std::string list = workers.host_list();
        const std::size_t at = list.find("host_port\":\"") + 12;
        s.address = list.substr(at, list.find('"', at) - at);
        load = std::make_unique<LoadGenerator>(reactor, s, std::move(arrivals), [this] { reactor.stop(); });
        load->start_load();
        reactor.run();
        return load->statistics();
    }
    SystemClock clock;
    Timers timers;
    Reactor reactor{clock, timers};
    StandInWorkers workers;
    std::uint64_t seen = 0;
    std::unique_ptr<LoadGenerator> load;
};

TEST(Load, MeasuresLatencyFromTheDueTimeAndLosesNoRequest) {
    LoadRun run(20ms);
    LoadSettings s;
    s.duration = 1s;
    const LoadStatistics& f = run.run(s, constant_arrivals(200.0));
    EXPECT_EQ(f.due_count, 199u);
    EXPECT_EQ(f.sent_count, f.due_count);
    EXPECT_EQ(f.by_status.at(200), f.due_count);
    EXPECT_EQ(run.seen, f.due_count);
    EXPECT_GE(histogram_quantile(f.latency, 0.5), 19.9);
}

// One connection to a server that takes 20 ms, and a request every 10 ms: the latency must include the wait
// for the connection.
TEST(Load, CountsTheWaitBehindASlowServerAsLatency) {
    LoadRun run(20ms);
    LoadSettings s;
    s.duration = 1s;
    s.max_connections = 1;
    const LoadStatistics& f = run.run(s, constant_arrivals(100.0));
    EXPECT_EQ(f.due_count, 99u);
    EXPECT_EQ(f.by_status.at(200), f.due_count);
    EXPECT_GE(histogram_quantile(f.latency, 0.99), 900.0) << "a closed loop would measure 20";
}

struct Echo : Kernel<int>::Entity {
    void handle_message(int&&, Kernel<int>::Context& context) override {
        context.send_message(1 - context.own_id(), 10us, 1);
    }
};

TEST(Kernel, RejectsMessagesSoonerThanTheLookahead) {
    for (const std::size_t threads : {1, 2}) {
        Kernel<int> kernel(20us, threads);
        kernel.add_entity(std::make_unique<Echo>());
        kernel.add_entity(std::make_unique<Echo>());
        kernel.schedule_message(0, TimePoint{} + 1ms, 1);
        EXPECT_THROW(kernel.run_until(TimePoint{} + 1s), std::logic_error);
    }
}

}    // namespace
}    // namespace shaletray::testbed
