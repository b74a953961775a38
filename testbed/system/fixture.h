// The entire system on loopback: gateways and controllers as processes, each machine with its own address, a
// settings file and a disk in the fixture's directory; emulated servers, operators and clients. An
// experiment calls the functions from its own thread, one at a time; everything else runs on the fixture's
// reactor thread.
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

// Which processes run on a machine.
struct MachinePlan {
    std::string zone;
    bool has_gateway = true, has_controller = false, has_disk = false;
};
// A service and its emulated servers; see ServerPlan.
struct ServicePlan {
    std::string name;
    int server_count = 4, concurrency_limit = 6;
    std::size_t max_connections = 130;
    Duration mean_service_time{0};
    bool is_sharded = false;            // its servers execute only requests whose keys they hold
    double early_answer_share = 0.0;    // see ServerPlan
};
// Everything that a fixture starts with.
struct SystemPlan {
    std::string name, program_directory;    // where the programs under test are
    std::uint64_t seed = 1;
    std::vector<MachinePlan> machines;
    std::vector<ServicePlan> services;
    std::vector<RoutePlan> routes;
    std::vector<TenantPlan> tenants;
    std::vector<CallerPlan> callers = {};                      // see Clients
    double new_connection_fraction = 0.2;                      // see Clients
    std::map<std::string, std::string> extra_settings = {};    // override lines of the settings file
    std::string log_level = "info";                            // of the system's programs
};
// A route with its own host and path prefix; its attempt timeout is twice the clients' deadline.
RoutePlan make_route(const std::string& name, const std::string& service, bool is_repeatable, double rate,
                     Duration latency_target, Duration deadline, std::size_t body_size);
// Three zones and four services; the first `controller_count` machines have a controller, all have a gateway.
SystemPlan make_small_system(const std::string& name, const std::string& program_directory,
                             std::uint64_t seed, int machine_count, int controller_count);

// Nodes are named "machine/role". Destruction kills all processes.
class SystemFixture : public ExperimentHost {
public:
    explicit SystemFixture(SystemPlan plan);
    ~SystemFixture() override;

    // ---- the system's processes, by name: "north-1/gateway", "north-1/controller" ----
    // All nodes, or those of a role.
    std::vector<std::string> node_names(const std::string& role = {}) const;
    // The first start of the system, on empty disks.
    void start_all();
    // False if not every gateway is ready in time.
    bool wait_ready(double timeout_seconds);
    bool is_gateway_ready(const std::string& gateway_name);
    void start_node(const std::string& node);
    void kill_node(const std::string& node);    // SIGKILL
    // Sends SIGTERM and waits for the grace period. Returns the exit status, or -1 if the node was killed.
    int stop_node(const std::string& node);
    void freeze_node(const std::string& node);      // SIGSTOP
    void unfreeze_node(const std::string& node);    // SIGCONT
    void wipe_disk(const std::string& node);        // of a node that does not run
    // Sends SIGTERM without waiting for the end; is_running() tells when the node has ended.
    void signal_stop(const std::string& node);
    // Rewrites the settings file, then sends SIGHUP.
    void reload_settings(const std::string& node);
    void restart_node(const std::string& node) {
        kill_node(node);
        start_node(node);
    }
    bool is_running(const std::string& node);
    // Nodes that ended by themselves since the start.
    std::vector<std::string> unexpectedly_ended();
    std::string log_text(const std::string& node) const;    // of all the node's processes so far
    // A status page, for example "/metrics", of all nodes of a role that respond in time, by node.
    std::map<std::string, std::string> status_pages(const std::string& role, const std::string& path,
                                                    double timeout_seconds = 2.0);
    // Usage of all processes of a node so far; the memory is the largest peak.
    struct ResourceUsage {
        double cpu_seconds = 0.0, peak_mb = 0.0;
    };
    ResourceUsage resource_usage(const std::string& node) const;
    // Stops all nodes gracefully.
    void stop_all();

    // ---- machines, during a run ----
    // Adds a machine with empty disks at its own address and returns its name; start_node starts its nodes.
    // Settings written later name the first three existing machines with a controller as seeds; servers and
    // operators use it after a delay.
    std::string add_machine(const MachinePlan& plan);
    // Removes a machine for good; its nodes must not run.
    void remove_machine(const std::string& name);
    std::vector<std::string> machine_names() const;    // without removed ones
    std::vector<std::string> nodes_of(const std::string& machine) const;

    // ---- servers ----
    std::size_t add_server(const std::string& service);    // returns its number
    // See ApplicationServer for these.
    void crash_server(std::size_t number);
    void drain_server(std::size_t number);
    void set_server_frozen(std::size_t number, bool frozen);
    std::vector<std::size_t> live_servers_of(const std::string& service);    // those that have not ended
    std::string server_id(std::size_t number);
    // False if not all live servers are registered in time.
    bool wait_servers_registered(double timeout_seconds);

    // ---- operators ----
    // The reply to a call of the control API; status 0: none in time.
    struct CommandResult {
        int status_code = 0;
        double seconds_taken = 0.0;
        std::string body;
    };
    nlohmann::json make_configuration(int revision) const;    // from the plan's routes, services and tenants
    CommandResult replace_configuration(const nlohmann::json& new_configuration,
                                        double timeout_seconds = 10.0);
    CommandResult read_configuration(double timeout_seconds = 5.0);
    // Concurrent operators, whose changes are variants of the plan's configuration.
    void start_operators(int count);
    void stop_operators();    // returns when all their calls are over
    // Seconds until a change newer than all others was acknowledged to a caller that waits for each reply;
    // negative after a timeout.
    double measure_acknowledgement(double timeout_seconds);
    bool verify_operator_read(double timeout_seconds);    // recorded in the history
    OperatorGroup::Statistics operator_statistics();
    std::vector<history::Operation> operation_history();

    // ---- clients ----
    void start_load(double load_factor = 1.0);
    void stop_load(double timeout_seconds = 12.0);    // returns when all requests are answered
    ClientStatistics client_statistics();
    Scoreboard::Violations violations();
    // Results of the servers of sharded services.
    struct ShardStatistics {
        std::uint64_t begun = 0, refused = 0, double_owners = 0;
    };
    ShardStatistics shard_statistics();
    // When requests of each tenant were executed by servers, since the start.
    std::map<std::string, std::vector<TimePoint>> executions_by_tenant();
    // Statistics since the load began, violations of the rules, and resources of the processes.
    nlohmann::json make_report();
    // The directory of all disks and logs.
    const std::filesystem::path& directory() const { return directory_; }
    // Waits; throws std::runtime_error after SIGINT or SIGTERM.
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
        ResourceUsage earlier_usage;    // by its earlier processes
    };
    Node& node(const std::string& name);
    const Node& node(const std::string& name) const;
    std::string settings_text(const Node& target_node) const;
    std::vector<std::string> control_addresses() const;
    Machine& place_machine(const MachinePlan& plan);
    GatewaySelector::GatewayEndpoint endpoint_of(const Machine& machine) const;
    void update_control_addresses();    // passes them to servers and operators after a delay
    double run_until_done(const std::function<void(std::function<void(bool)>)>& begin);
    std::filesystem::path write_settings(const Node& target_node) const;
    void launch_process(Node& target_node);
    CommandResult call_control_api(const std::string& method, const std::string& path,
                                   const std::string& body, double timeout_seconds);

    SystemPlan plan_;
    std::vector<Machine> machines_;
    std::map<std::string, Node> nodes_;
    std::map<std::string, int> machines_by_zone_;    // machines placed so far
    int address_prefix_ = 0;                         // second octet of all addresses
    bool needs_bootstrap_ = true;
    // Used on the reactor's thread only; in the order of their dependencies.
    HttpCalls calls_{reactor_};
    Scoreboard scoreboard_;
    ShardOwnershipChecker shard_checker_;
    std::map<std::string, std::vector<TimePoint>> executions_by_tenant_;
    std::unique_ptr<ControlClient> control_client_;
    std::unique_ptr<OperatorGroup> operators_;
    std::unique_ptr<GatewaySelector> gateway_selector_;
    std::vector<std::unique_ptr<ApplicationServer>> servers_;
    std::unique_ptr<Clients> clients_;
};

// Makes SIGINT and SIGTERM end run_for() and other waits.
void install_signal_handlers();

}    // namespace shaletray::testbed
