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
double environment_number(const char* name, double fallback, double least, double most);

// An experiment's main: SEED and SECONDS_PER_PHASE from the environment, errors as a line and a status of 2.
int experiment_main(char** argv, double seconds,
                    const std::function<int(std::string programs, std::uint64_t seed, double seconds)>& run);

// What an experiment holds its figures against.
class Bounds {
public:
    void hold(bool kept, const std::string& what) {
        if (!kept) broken_.push_back(what);
    }
    // Prints what broke, and `out` with it as the last line. The status to end with: 0, or 1 where any broke.
    int report(nlohmann::json& out) const;

private:
    std::vector<std::string> broken_;
};

struct RigPlan {
    std::string name;
    double rate, burst, ceiling_rate, ceiling_burst, ceiling_slack;    // ceiling_rate 0: none
};

struct RigSettings {
    std::string name, programs;    // the folder of the programs under test
    std::uint64_t seed = 1;
    int gateways = 3, workers = 4;
    double most_units = 2.0;
    std::vector<RigPlan> plans;
};

class Rig : protected Ground {
public:
    Rig(RigSettings settings, Workers::Seen seen);
    ~Rig() override;

protected:
    // `cue`: the operator's file; empty: none. Clients come once it is ready, as a front does it.
    void start_gateway(int g, const std::string& cue);
    void try_caller(int g, const std::string& address, int life);
    bool all_ready();
    double cpu() const;

    RigSettings s_;
    std::unique_ptr<Workers> workers_;
    std::vector<std::unique_ptr<Process>> gateways_;
    std::map<int, std::shared_ptr<Caller>> callers_;
    int starts_ = 0;

private:
    std::vector<int> lives_;
};

}    // namespace shaletray::testbed
