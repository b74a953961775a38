// The harbour: pilots and lighthouses as processes on loopback, whose machines are replaced, wiped, frozen
// and killed one trouble after another, while clients, servers and several operators go on. Judged by what
// these three saw: the operators' history is one order of effects (testbed/operation_history.h), no request
// that may not be repeated ran twice, no promise was broken, no process ended by itself, and after each
// trouble a change is acknowledged within `contact` and `ack`. Each trouble comes once `catch_up` has passed
// since the one before.
//   SEED= draws order, victims and moments; the operators' calls follow the clock too. LOAD= times the usual
//   rate. Under a minute; the last line is JSON; ends with 1 where a rule is broken.
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <random>

#include "gateway_fixture.h"
#include "operation_history.h"
#include "system/fixture.h"

namespace shaletray::testbed {
namespace {

using Json = nlohmann::json;
using Operation = history::Operation;

constexpr int kMachineCount = 5, kControllerCount = 3;
constexpr double kAcknowledgeTimeout = 4.0, kContactTimeout = 3.0,
                 kCatchUpTime = 4.0;       // as in the rig's settings
constexpr double kFaultPeriod = 38.0;      // no further one begins after that
constexpr double kFreezeDuration = 7.0;    // longer than any process waits for another to be heard
constexpr double kMinServedFraction = 0.5;

class FaultExperiment {
public:
    FaultExperiment(const std::string& programs, std::uint64_t seed)
        : seed_(seed),
          random_(seed * 31 + 7),
          fixture_(make_small_system("harbour", programs, seed, kMachineCount, kControllerCount)) {}

    int run_faults() {
        if (const std::string failure_reason = start_system(); !failure_reason.empty()) {
            fmt::print("{}\n{}\n", failure_reason,
                       Json{{"experiment", "harbour"}, {"error", failure_reason}}.dump());
            return 2;
        }
        struct Named {
            const char* name;
            std::function<void()> inject;
        };
        std::vector<Named> faults = {{"lost for good", [this] { lose_machine(); }},
                                     {"replaced as planned", [this] { replace_machine(); }},
                                     {"lost for good", [this] { lose_machine(); }},
                                     {"disk wiped", [this] { wipe_machine(); }},
                                     {"frozen", [this] { freeze_machine(); }},
                                     {"all that vote killed", [this] { kill_all_controllers(); }}};
        std::shuffle(faults.begin(), faults.end(), random_);
        faults_started_at_ = clock_.now();
        Json injected_faults = Json::array(), skipped_faults = Json::array();
        for (const Named& fault : faults) {
            // With the majority gone no rule holds any more.
            if (majority_lost_ || elapsed_seconds() > kFaultPeriod) {
                skipped_faults.push_back(fault.name);
                continue;
            }
            fault.inject();
            const TimePoint fault_ended_at = clock_.now();
            const double seconds_taken =
                fixture_.measure_acknowledgement(kContactTimeout + kAcknowledgeTimeout);
            print_progress(seconds_taken < 0.0
                               ? fmt::format("no change acknowledged within {:.0f} s",
                                             kContactTimeout + kAcknowledgeTimeout)
                               : fmt::format("a change is acknowledged after {:.2f} s", seconds_taken));
            injected_faults.push_back({{"trouble", fault.name}, {"acknowledged_after_s", seconds_taken}});
            majority_lost_ = seconds_taken < 0.0;
            expectations_.expect(seconds_taken >= 0.0,
                                 fmt::format("{}: no change was acknowledged within contact and ack "
                                             "after it",
                                             fault.name));
            if (!majority_lost_)
                fixture_.run_for(std::max(0.0, kCatchUpTime - secs(clock_.now() - fault_ended_at)));
        }
        return finish_run(std::move(injected_faults), std::move(skipped_faults));
    }

private:
    std::string start_system() {
        fixture_.start_all();
        for (const auto& [service, count] :
             {std::pair("lookups", 8), {"approvals", 6}, {"payouts", 6}, {"archive", 9}})
            for (int i = 0; i < count; ++i) fixture_.add_server(service);
        const int operator_count = 2 + static_cast<int>(seed_ % 3);
        fixture_.start_operators(operator_count);
        if (fixture_.measure_acknowledgement(10.0) < 0.0)
            return "the first configuration was not acknowledged";
        if (!fixture_.wait_servers_registered(10.0)) return "not every server's heartbeat was acknowledged";
        if (!fixture_.wait_ready(10.0)) return "not every pilot says that it is ready";
        fixture_.start_load(number_from_environment("LOAD", 0.5, 0.01, 20.0));
        fmt::print("seed {}: {} machines, {} of them vote; {} operators\n", seed_, kMachineCount,
                   kControllerCount, operator_count);
        return {};
    }

    // ---- troubles; each returns when it is over ----

    void lose_machine() {
        const std::string victim = draw_voter();
        print_progress(fmt::format("{} is lost for good", victim));
        for (const std::string& node : fixture_.nodes_of(victim)) fixture_.kill_node(node);
        fixture_.remove_machine(victim);
        fixture_.run_for(0.5 + draw_fraction());
        start_machine(zone_of(victim));
    }
    void replace_machine() {
        const std::string victim = draw_voter();
        print_progress(fmt::format("{} is to be replaced", victim));
        start_machine(zone_of(victim));
        fixture_.run_for(1.0 + 2.0 * draw_fraction());
        for (const std::string& node : fixture_.nodes_of(victim)) {
            const int status = fixture_.stop_node(node);
            expectations_.expect(status == 0, fmt::format("{} ended with {} at SIGTERM", node, status));
        }
        fixture_.remove_machine(victim);
        print_progress(fmt::format("{} has ended", victim));
    }
    void wipe_machine() {
        const std::string victim = draw_voter();
        fixture_.measure_acknowledgement(kAcknowledgeTimeout);    // right after an acknowledgement
        print_progress(fmt::format("{} loses its disks", victim));
        for (const std::string& node : fixture_.nodes_of(victim)) fixture_.kill_node(node);
        for (const std::string& node : fixture_.nodes_of(victim)) fixture_.wipe_disk(node);
        fixture_.run_for(0.3 + draw_fraction());
        for (const std::string& node : fixture_.nodes_of(victim)) fixture_.start_node(node);
    }
    void freeze_machine() {
        const std::string victim = draw_voter();
        print_progress(fmt::format("{} stands still for {:.0f} s", victim, kFreezeDuration));
        for (const std::string& node : fixture_.nodes_of(victim)) fixture_.freeze_node(node);
        fixture_.run_for(kFreezeDuration);
        for (const std::string& node : fixture_.nodes_of(victim)) fixture_.unfreeze_node(node);
    }
    void kill_all_controllers() {
        fixture_.measure_acknowledgement(kAcknowledgeTimeout);
        print_progress("all lighthouses are killed");
        std::vector<std::string> all;
        for (const std::string& machine : voter_machines()) all.push_back(machine + "/controller");
        for (const std::string& node : all) fixture_.kill_node(node);
        fixture_.run_for(0.3 + draw_fraction());
        for (const std::string& node : all) fixture_.start_node(node);
    }

    // ---- the rest ----

    int finish_run(Json injected_faults, Json skipped_faults) {
        fixture_.stop_load(3.0);
        const bool read =
            fixture_.verify_operator_read(majority_lost_ ? 1.0 : kContactTimeout + kAcknowledgeTimeout);
        expectations_.expect(read, "no configuration could be read back in the end");
        fixture_.stop_operators();
        const auto ended = fixture_.unexpectedly_ended();
        for (const std::string& node : ended) {
            expectations_.expect(false, node + " ended by itself");
            print_tail(fixture_.log_text(node));
        }
        Json report_json = fixture_.make_report();
        fixture_.stop_all();
        const std::vector<Operation> history = fixture_.operation_history();
        const auto fault = history::find_violation(history);
        expectations_.expect(!fault, fmt::format("the operators' history: {}", fault.value_or("")));
        expectations_.expect_rules_kept(report_json["rules"]);
        const double due = report_json["due"], served = report_json["served"];
        expectations_.expect(due > 0.0 && served >= kMinServedFraction * due,
                             fmt::format("{:.1f}% was served", due > 0.0 ? served / due * 100.0 : 0.0));
        const OperatorGroup::Statistics statistics = fixture_.operator_statistics();
        expectations_.expect(
            statistics.acknowledged > 0 && statistics.abandoned_replies > 0 && statistics.resets > 0,
            "the operators had too little to do for a verdict");
        report_json["experiment"] = "harbour";
        report_json["seed"] = seed_;
        report_json["troubles"] = std::move(injected_faults);
        report_json["left_out"] = std::move(skipped_faults);
        report_json["operations"] = history.size();
        report_json["took_s"] = secs(clock_.now() - run_started_at_);
        report_json["operators"] = {
            {"orders", statistics.changes},        {"acknowledged", statistics.acknowledged},
            {"conflicts", statistics.conflicts},   {"refused", statistics.rejected},
            {"unclear", statistics.indeterminate}, {"reads", statistics.reads},
            {"tries", statistics.attempts},        {"answers_left", statistics.abandoned_replies},
            {"resets", statistics.resets}};
        report_json.erase("nodes");
        report_json.erase("routes");
        fmt::print("{} of {} requests served; {} operations of the operators in the history\n", served, due,
                   history.size());
        return expectations_.print_report(report_json);
    }
    std::string start_machine(const std::string& zone) {
        const std::string name = fixture_.add_machine({zone, true, true, true});
        for (const std::string& node : fixture_.nodes_of(name)) fixture_.start_node(node);
        print_progress(fmt::format("{} starts, empty, at another address", name));
        return name;
    }
    std::vector<std::string> voter_machines() const {
        std::vector<std::string> names;
        for (const std::string& machine : fixture_.machine_names())
            for (const std::string& node : fixture_.nodes_of(machine))
                if (node.ends_with("/controller")) names.push_back(machine);
        return names;
    }
    std::string draw_voter() {
        const std::vector<std::string> from = voter_machines();
        return from[random_() % from.size()];
    }
    static std::string zone_of(const std::string& machine) { return machine.substr(0, machine.find('-')); }
    double draw_fraction() { return std::uniform_real_distribution<double>(0.0, 1.0)(random_); }
    double elapsed_seconds() const { return secs(clock_.now() - faults_started_at_); }
    void print_progress(const std::string& what) const {
        fmt::print("{:>5.1f} s  {}\n", elapsed_seconds(), what);
        std::fflush(stdout);
    }
    static void print_tail(const std::string& text) {
        const std::size_t from = text.size() > 2000 ? text.find('\n', text.size() - 2000) + 1 : 0;
        std::fputs(text.substr(from).c_str(), stdout);
    }

    std::uint64_t seed_;
    std::mt19937_64 random_;
    SystemClock clock_;
    TimePoint run_started_at_ = clock_.now(),
              faults_started_at_ = run_started_at_;    // of the run, of the troubles
    bool majority_lost_ = false;
    SystemFixture fixture_;
    Expectations expectations_;
};

int run_experiment(const std::string& programs, std::uint64_t seed, double) {
    install_signal_handlers();
    return FaultExperiment(programs, seed).run_faults();
}

}    // namespace
}    // namespace shaletray::testbed

int main(int, char** argv) {
    return shaletray::testbed::experiment_main(argv, 20.0, shaletray::testbed::run_experiment);
}
