// Base of experiments with the balancer's gateways: stand-in workers, gateway processes and load clients on
// loopback. Used from the experiment's thread; see ExperimentHost.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "experiment_host.h"
#include "simulator/measure.h"
#include "test_processes.h"

namespace shaletray::testbed {

// A number from the environment; throws if it is not a number or out of range.
double number_from_environment(const char* name, double fallback, double min_value, double max_value);

// An experiment's main function: takes SEED and SECONDS_PER_PHASE from the environment, and reports
// exceptions as a line and exit status 2.
int experiment_main(char** argv, double seconds,
                    const std::function<int(std::string programs, std::uint64_t seed, double seconds)>& run);

// Collects the expectations that an experiment's results violate.
class Expectations {
public:
    void expect(bool satisfied, const std::string& description) {
        if (!satisfied) violations_.push_back(description);
    }
    // Each rule by its name, with how often it was broken.
    void expect_rules_kept(const nlohmann::json& broken_by_rule);
    // Prints the violations, and `report_json` including them as the last line. Returns the exit status: 0,
    // or 1 if there is any.
    int print_report(nlohmann::json& report_json) const;

private:
    std::vector<std::string> violations_;
};

// A plan of the gateways' configuration; rates in units per second.
struct FixturePlan {
    std::string name;
    double rate, burst, rate_limit, rate_limit_burst, rate_limit_slack;    // rate_limit 0: none
};

// What a fixture starts with.
struct FixtureSettings {
    std::string name, program_directory;    // where the programs under test are
    std::uint64_t seed = 1;
    int gateway_count = 3, worker_count = 4;
    double max_request_units = 2.0;
    std::vector<FixturePlan> plans;
};

// Destruction kills all processes.
class GatewayFixture : protected ExperimentHost {
public:
    GatewayFixture(FixtureSettings settings, StandInWorkers::RequestObserver on_request);
    ~GatewayFixture() override;

protected:
    // `operator_file`: path of the operator's settings; empty: none. A load client connects once the gateway
    // is ready, as behind a load balancer.
    void start_gateway(int gateway_index, const std::string& operator_file);
    void connect_load_client(int gateway_index, const std::string& address, int incarnation);
    bool all_ready();
    double gateway_cpu_seconds() const;

    FixtureSettings settings_;
    std::unique_ptr<StandInWorkers> workers_;
    std::vector<std::unique_ptr<Process>> gateways_;
    std::map<int, std::shared_ptr<HttpLoadClient>> load_clients_;
    int start_count_ = 0;

private:
    std::vector<int> incarnations_;
};

}    // namespace shaletray::testbed
