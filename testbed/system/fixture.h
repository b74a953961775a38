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
    bool pilot = true, lighthouse = false, disk = false;
};
struct ServicePlan {
    std::string name;
    int servers = 4, slots = 6;
    std::size_t connections = 130;
    Duration work{0};
};
struct SystemPlan {
    std::string name, programs;    // the folder of the programs under test
    std::uint64_t seed = 1;
    std::vector<MachinePlan> machines;
    std::vector<ServicePlan> services;
    std::vector<RoutePlan> routes;
    std::vector<TenantPlan> tenants;
    double new_connections = 0.2;                             // see Clients
    std::map<std::string, std::string> more_settings = {};    // of the settings file, over the rig's
};
// Three zones with four services, as many machines as `lighthouses` keep control, all with a pilot.
SystemPlan small_system(const std::string& name, const std::string& programs, std::uint64_t seed,
                        int machines, int lighthouses);

class SystemRig : public Ground {
public:
    explicit SystemRig(SystemPlan plan);
    ~SystemRig() override;

    // ---- the system's processes, by name: "north-1/gateway", "north-1/controller" ----
    std::vector<std::string> nodes(const std::string& role = {}) const;
    // Starts all of them: the first start of the whole system, on empty disks.
    void begin();
    // False where not every pilot says in time that it is ready.
    bool wait_ready(double most);
    bool is_ready(const std::string& pilot);
    void start(const std::string& node);
    void kill(const std::string& node);      // SIGKILL
    int stop(const std::string& node);       // SIGTERM and the grace; its exit status, -1 where it was killed
    void freeze(const std::string& node);    // SIGSTOP
    void thaw(const std::string& node);
    void wipe(const std::string& node);    // empties its disk; it does not run
    void restart(const std::string& node) {
        kill(node);
        start(node);
    }
    bool runs(const std::string& node);
    // Nodes that ended though nobody ended them, since the start.
    std::vector<std::string> ended_by_themselves();
    std::string log_text(const std::string& node) const;    // all its lives'
    struct Use {
        double cpu_s = 0.0, peak_mb = 0.0;
    };
    Use use(const std::string& node) const;    // of all its lives
    // Ends all that runs, in order.
    void end();

    // ---- machines, during a run ----
    // An empty one at an address of its own; its nodes start with start(). Its name. Newer settings name the
    // first three machines with control that are there as seeds; callers learn of it after `seed_lag`.
    std::string add_machine(const MachinePlan& plan);
    // It does not come back: its nodes do not run.
    void remove_machine(const std::string& name);
    std::vector<std::string> machines() const;    // those that are there
    std::vector<std::string> nodes_of(const std::string& machine) const;

    // ---- servers ----
    std::size_t add_server(const std::string& service);    // its number
    void crash_server(std::size_t number);
    void drain_server(std::size_t number);
    void freeze_server(std::size_t number, bool is);
    std::vector<std::size_t> servers_of(const std::string& service);    // those not ended
    bool wait_servers_known(double most);

    // ---- the operator ----
    struct Order {
        int status = 0;
        double took_s = 0.0;
        std::string body;
    };
    nlohmann::json configuration(int revision) const;    // of the plan's routes, services and tenants
    Order send(const nlohmann::json& configuration, double most = 10.0);
    Order read(double most = 5.0);
    // Several at once; their orders are of the plan's configuration.
    void begin_operators(int count);
    void end_operators();    // and until all their calls are over
    // Whether an order that is newer than all others is acknowledged in that time, by a caller who waits for
    // his answers; the seconds that it took, below 0 where it was not.
    double acknowledged_after(double most);
    bool read_by_operator(double most);    // goes into the history
    Operators::Figures operator_figures();
    std::vector<history::Operation> history();

    // ---- clients ----
    void begin_load(double times = 1.0);
    void end_load(double most = 12.0);    // and until the last has its answer
    ClientFigures figures();
    Board::Breaches breaches();
    // Of the figures since the load began, of the rules, and of the processes.
    nlohmann::json report();
    // Waits; throws std::runtime_error where SIGINT or SIGTERM asked for an end.
    void run_for(double s);

private:
    struct Machine {
        MachinePlan plan;
        std::string name, ip;
        bool removed = false;
    };
    struct Node {
        std::string role, zone, ip, folder, log;
        std::size_t machine = 0;
        std::unique_ptr<Process> process;
        int starts = 0;
        bool wanted = false, frozen = false;
        Use before;    // by earlier lives
    };
    Node& node(const std::string& name);
    const Node& node(const std::string& name) const;
    std::string settings_text(const Node& of) const;
    std::vector<std::string> control_addresses() const;
    Machine& place(const MachinePlan& plan);
    Front::Gate gate(const Machine& machine) const;
    void tell_callers();    // the control addresses, after `seed_lag`
    double until(const std::function<void(std::function<void(bool)>)>& begin);
    void launch(Node& of);
    Order ask(const std::string& method, const std::string& path, const std::string& body, double most);

    SystemPlan plan_;
    std::vector<Machine> machines_;
    std::map<std::string, Node> nodes_;
    std::map<std::string, int> in_zone_;    // machines placed so far
    int net_ = 0;                           // second number of all our addresses
    bool bootstrap_ = true;
    // Of the reactor's thread, as they use each other.
    Calls calls_{reactor_};
    Board board_;
    std::unique_ptr<ControlCaller> operator_;
    std::unique_ptr<Operators> operators_;
    std::unique_ptr<Front> front_;
    std::vector<std::unique_ptr<AppServer>> servers_;
    std::unique_ptr<Clients> clients_;
};

// From now on SIGINT and SIGTERM end run_for() and its like.
void catch_signals();

}    // namespace shaletray::testbed
