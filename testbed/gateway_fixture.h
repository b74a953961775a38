// What an experiment with real gateways stands on: stand-in workers, and gateways as processes with callers
// before them.
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

// A figure from the environment; throws where it is none or out of range.
double number_from_environment(const char* name, double fallback, double min_value, double max_value);

// An experiment's main: SEED and SECONDS_PER_PHASE from the environment, errors as a line and a status of 2.
int experiment_main(char** argv, double seconds,
                    const std::function<int(std::string programs, std::uint64_t seed, double seconds)>& run);

// What an experiment holds its figures against.
class Expectations {
public:
    void expect(bool satisfied, const std::string& description) {
        if (!satisfied) violations_.push_back(description);
    }
    // Prints what broke, and `out` with it as the last line. The status to end with: 0, or 1 where any broke.
    int print_report(nlohmann::json& report_json) const;

private:
    std::vector<std::string> violations_;
};

struct FixturePlan {
    std::string name;
    double rate, burst, rate_limit, rate_limit_burst, rate_limit_slack;    // ceiling_rate 0: none
};

struct FixtureSettings {
    std::string name, program_directory;    // the folder of the programs under test
    std::uint64_t seed = 1;
    int gateway_count = 3, worker_count = 4;
    double max_request_units = 2.0;
    std::vector<FixturePlan> plans;
};

class GatewayFixture : protected ExperimentHost {
public:
    GatewayFixture(FixtureSettings settings, StandInWorkers::RequestObserver on_request);
    ~GatewayFixture() override;

protected:
    // `cue`: the operator's file; empty: none. Clients come once it is ready, as a front does it.
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
