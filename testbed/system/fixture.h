// The whole system on loopback: pilots and lighthouses as processes on machines of their own addresses, each
// with its settings file and its disk in a folder of the rig; emulated servers, an operator and clients. An
// experiment calls the handles one after another from its own thread; all of the rest runs on the rig's.
#pragma once

#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "experiment_host.h"
#include "system/clients.h"
#include "system/http_calls.h"
#include "system/operators.h"
#include "system/scoreboard.h"
#include "system/server.h"
#include "test_processes.h"

namespace shaletray::testbed {

struct MachinePlan {
    std::string zone;
    bool has_gateway = true, has_controller = false, has_disk = false;
};
struct ServicePlan {
    std::string name;
    int server_count = 4, concurrency_limit = 6;
    std::size_t max_connections = 130;
    Duration mean_service_time{0};
};
struct SystemPlan {
    std::string name, program_directory;    // the folder of the programs under test
    std::uint64_t seed = 1;
    std::vector<MachinePlan> machines;
    std::vector<ServicePlan> services;
    std::vector<RoutePlan> routes;
    std::vector<TenantPlan> tenants;
    double new_connection_fraction = 0.2;                      // see Clients
    std::map<std::string, std::string> extra_settings = {};    // of the settings file, over the rig's
};
// Three zones with four services, as many machines as `lighthouses` keep control, all with a pilot.
SystemPlan make_small_system(const std::string& name, const std::string& program_directory,
                             std::uint64_t seed, int machine_count, int controller_count);

class SystemFixture : public ExperimentHost {
public:
    explicit SystemFixture(SystemPlan plan);
    ~SystemFixture() override;

    // ---- the system's processes, by name: "north-1/gateway", "north-1/controller" ----
    std::vector<std::string> node_names(const std::string& role = {}) const;
    // Starts all of them: the first start of the whole system, on empty disks.
    void start_all();
    // False where not every pilot says in time that it is ready.
    bool wait_ready(double timeout_seconds);
    bool is_gateway_ready(const std::string& gateway_name);
    void start_node(const std::string& node);
    void kill_node(const std::string& node);    // SIGKILL
    int stop_node(
        const std::string& node);    // SIGTERM and the grace; its exit status, -1 where it was killed
    void freeze_node(const std::string& node);    // SIGSTOP
    void unfreeze_node(const std::string& node);
    void wipe_disk(const std::string& node);    // empties its disk; it does not run
    void restart_node(const std::string& node) {
        kill_node(node);
        start_node(node);
    }
    bool is_running(const std::string& node);
    // Nodes that ended though nobody ended them, since the start.
    std::vector<std::string> unexpectedly_ended();
    std::string log_text(const std::string& node) const;    // all its lives'
    struct ResourceUsage {
        double cpu_seconds = 0.0, peak_mb = 0.0;
    };
    ResourceUsage resource_usage(const std::string& node) const;    // of all its lives
    // Ends all that runs, in order.
    void stop_all();

    // ---- machines, during a run ----
    // An empty one at an address of its own; its nodes start with start(). Its name. Newer settings name the
    // first three machines with control that are there as seeds; callers learn of it after `seed_lag`.
    std::string add_machine(const MachinePlan& plan);
    // It does not come back: its nodes do not run.
    void remove_machine(const std::string& name);
    std::vector<std::string> machine_names() const;    // those that are there
    std::vector<std::string> nodes_of(const std::string& machine) const;

    // ---- servers ----
    std::size_t add_server(const std::string& service);    // its number
    void crash_server(std::size_t number);
    void drain_server(std::size_t number);
    void set_server_frozen(std::size_t number, bool frozen);
    std::vector<std::size_t> live_servers_of(const std::string& service);    // those not ended
    bool wait_servers_registered(double timeout_seconds);

    // ---- the operator ----
    struct CommandResult {
        int status_code = 0;
        double seconds_taken = 0.0;
        std::string body;
    };
    nlohmann::json make_configuration(int revision) const;    // of the plan's routes, services and tenants
    CommandResult replace_configuration(const nlohmann::json& new_configuration,
                                        double timeout_seconds = 10.0);
    CommandResult read_configuration(double timeout_seconds = 5.0);
    // Several at once; their orders are of the plan's configuration.
    void start_operators(int count);
    void stop_operators();    // and until all their calls are over
    // Whether an order that is newer than all others is acknowledged in that time, by a caller who waits for
    // his answers; the seconds that it took, below 0 where it was not.
    double measure_acknowledgement(double timeout_seconds);
    bool verify_operator_read(double timeout_seconds);    // goes into the history
    OperatorGroup::Statistics operator_statistics();
    std::vector<history::Operation> operation_history();

    // ---- clients ----
    void start_load(double load_factor = 1.0);
    void stop_load(double timeout_seconds = 12.0);    // and until the last has its answer
    ClientStatistics client_statistics();
    Board::Breaches violations();
    // Of the figures since the load began, of the rules, and of the processes.
    nlohmann::json make_report();
    // Waits; throws std::runtime_error where SIGINT or SIGTERM asked for an end.
    void run_for(double seconds);

private:
    struct Machine {
        MachinePlan plan;
        std::string name, ip;
        bool is_removed = false;
    };
    struct Node {
        std::string role, zone, ip, directory, log_path;
        std::size_t machine_index = 0;
        std::unique_ptr<Process> process;
        int start_count = 0;
        bool should_run = false, is_frozen = false;
        ResourceUsage earlier_usage;    // by earlier lives
    };
    Node& node(const std::string& name);
    const Node& node(const std::string& name) const;
    std::string settings_text(const Node& target_node) const;
    std::vector<std::string> control_addresses() const;
    Machine& place_machine(const MachinePlan& plan);
    GatewaySelector::GatewayEndpoint endpoint_of(const Machine& machine) const;
    void update_control_addresses();    // the control addresses, after `seed_lag`
    double run_until_done(const std::function<void(std::function<void(bool)>)>& begin);
    void launch_process(Node& target_node);
    CommandResult call_control_api(const std::string& method, const std::string& path,
                                   const std::string& body, double timeout_seconds);

    SystemPlan plan_;
    std::vector<Machine> machines_;
    std::map<std::string, Node> nodes_;
    std::map<std::string, int> machines_by_zone_;    // machines placed so far
    int address_prefix_ = 0;                         // second number of all our addresses
    bool needs_bootstrap_ = true;
    // Of the reactor's thread, as they use each other.
    HttpCalls calls_{reactor_};
    Board scoreboard_;
    std::unique_ptr<ControlClient> control_client_;
    std::unique_ptr<OperatorGroup> operators_;
    std::unique_ptr<GatewaySelector> gateway_selector_;
    std::vector<std::unique_ptr<ApplicationServer>> servers_;
    std::unique_ptr<Clients> clients_;
};

// From now on SIGINT and SIGTERM end run_for() and its like.
void install_signal_handlers();

}    // namespace shaletray::testbed
