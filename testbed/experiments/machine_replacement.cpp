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

constexpr int kMachines = 5, kLighthouses = 3;
constexpr double kAck = 4.0, kContact = 3.0, kCatchUp = 4.0;    // as in the rig's settings
constexpr double kTimeForTroubles = 38.0;                       // no further one begins after that
constexpr double kFrozenFor = 7.0;    // longer than any process waits for another to be heard
constexpr double kServedAtLeast = 0.5;

class Harbour {
public:
    Harbour(const std::string& programs, std::uint64_t seed)
        : seed_(seed),
          random_(seed * 31 + 7),
          rig_(small_system("harbour", programs, seed, kMachines, kLighthouses)) {}

    int run() {
        if (const std::string why = begin(); !why.empty()) {
            fmt::print("{}\n{}\n", why, Json{{"experiment", "harbour"}, {"error", why}}.dump());
            return 2;
        }
        struct Named {
            const char* name;
            std::function<void()> play;
        };
        std::vector<Named> troubles = {
            {"lost for good", [this] { lose(); }}, {"replaced as planned", [this] { replace(); }},
            {"lost for good", [this] { lose(); }}, {"disk wiped", [this] { wipe(); }},
            {"frozen", [this] { freeze(); }},      {"all that vote killed", [this] { kill_all(); }}};
        std::shuffle(troubles.begin(), troubles.end(), random_);
        began_ = clock_.now();
        Json played = Json::array(), left_out = Json::array();
        for (const Named& trouble : troubles) {
            // With the majority gone no rule holds any more.
            if (lost_majority_ || elapsed() > kTimeForTroubles) {
                left_out.push_back(trouble.name);
                continue;
            }
            trouble.play();
            const TimePoint over = clock_.now();
            const double took = rig_.acknowledged_after(kContact + kAck);
            say(took < 0.0 ? fmt::format("no change acknowledged within {:.0f} s", kContact + kAck)
                           : fmt::format("a change is acknowledged after {:.2f} s", took));
            played.push_back({{"trouble", trouble.name}, {"acknowledged_after_s", took}});
            lost_majority_ = took < 0.0;
            bounds_.hold(took >= 0.0, fmt::format("{}: no change was acknowledged within contact and ack "
                                                  "after it",
                                                  trouble.name));
            if (!lost_majority_) rig_.run_for(std::max(0.0, kCatchUp - secs(clock_.now() - over)));
        }
        return end(std::move(played), std::move(left_out));
    }

private:
    std::string begin() {
        rig_.begin();
        for (const auto& [service, count] :
             {std::pair("lookups", 8), {"approvals", 6}, {"payouts", 6}, {"archive", 9}})
            for (int i = 0; i < count; ++i) rig_.add_server(service);
        const int operators = 2 + static_cast<int>(seed_ % 3);
        rig_.begin_operators(operators);
        if (rig_.acknowledged_after(10.0) < 0.0) return "the first configuration was not acknowledged";
        if (!rig_.wait_servers_known(10.0)) return "not every server's heartbeat was acknowledged";
        if (!rig_.wait_ready(10.0)) return "not every pilot says that it is ready";
        rig_.begin_load(environment_number("LOAD", 0.5, 0.01, 20.0));
        fmt::print("seed {}: {} machines, {} of them vote; {} operators\n", seed_, kMachines, kLighthouses,
                   operators);
        return {};
    }

    // ---- troubles; each returns when it is over ----

    void lose() {
        const std::string victim = draw_voter();
        say(fmt::format("{} is lost for good", victim));
        for (const std::string& node : rig_.nodes_of(victim)) rig_.kill(node);
        rig_.remove_machine(victim);
        rig_.run_for(0.5 + draw());
        start(zone_of(victim));
    }
    void replace() {
        const std::string victim = draw_voter();
        say(fmt::format("{} is to be replaced", victim));
        start(zone_of(victim));
        rig_.run_for(1.0 + 2.0 * draw());
        for (const std::string& node : rig_.nodes_of(victim)) {
            const int status = rig_.stop(node);
            bounds_.hold(status == 0, fmt::format("{} ended with {} at SIGTERM", node, status));
        }
        rig_.remove_machine(victim);
        say(fmt::format("{} has ended", victim));
    }
    void wipe() {
        const std::string victim = draw_voter();
        rig_.acknowledged_after(kAck);    // right after an acknowledgement
        say(fmt::format("{} loses its disks", victim));
        for (const std::string& node : rig_.nodes_of(victim)) rig_.kill(node);
        for (const std::string& node : rig_.nodes_of(victim)) rig_.wipe(node);
        rig_.run_for(0.3 + draw());
        for (const std::string& node : rig_.nodes_of(victim)) rig_.start(node);
    }
    void freeze() {
        const std::string victim = draw_voter();
        say(fmt::format("{} stands still for {:.0f} s", victim, kFrozenFor));
        for (const std::string& node : rig_.nodes_of(victim)) rig_.freeze(node);
        rig_.run_for(kFrozenFor);
        for (const std::string& node : rig_.nodes_of(victim)) rig_.thaw(node);
    }
    void kill_all() {
        rig_.acknowledged_after(kAck);
        say("all lighthouses are killed");
        std::vector<std::string> all;
        for (const std::string& machine : voters()) all.push_back(machine + "/controller");
        for (const std::string& node : all) rig_.kill(node);
        rig_.run_for(0.3 + draw());
        for (const std::string& node : all) rig_.start(node);
    }

    // ---- the rest ----

    int end(Json played, Json left_out) {
        rig_.end_load(3.0);
        const bool read = rig_.read_by_operator(lost_majority_ ? 1.0 : kContact + kAck);
        bounds_.hold(read, "no configuration could be read back in the end");
        rig_.end_operators();
        const auto ended = rig_.ended_by_themselves();
        for (const std::string& node : ended) {
            bounds_.hold(false, node + " ended by itself");
            print_tail(rig_.log_text(node));
        }
        Json out = rig_.report();
        rig_.end();
        const std::vector<Operation> history = rig_.history();
        const auto fault = history::fault(history);
        bounds_.hold(!fault, fmt::format("the operators' history: {}", fault.value_or("")));
        for (const auto& [rule, count] : out["rules"].items())
            bounds_.hold(count == 0, fmt::format("{}: {}", rule, count.get<std::uint64_t>()));
        const double due = out["due"], served = out["served"];
        bounds_.hold(due > 0.0 && served >= kServedAtLeast * due,
                     fmt::format("{:.1f}% was served", due > 0.0 ? served / due * 100.0 : 0.0));
        const Operators::Figures f = rig_.operator_figures();
        bounds_.hold(f.acknowledged > 0 && f.answers_left > 0 && f.resets > 0,
                     "the operators had too little to do for a verdict");
        out["experiment"] = "harbour";
        out["seed"] = seed_;
        out["troubles"] = std::move(played);
        out["left_out"] = std::move(left_out);
        out["operations"] = history.size();
        out["took_s"] = secs(clock_.now() - begun_);
        out["operators"] = {
            {"orders", f.orders},   {"acknowledged", f.acknowledged}, {"conflicts", f.conflicts},
            {"refused", f.refused}, {"unclear", f.unclear},           {"reads", f.reads},
            {"tries", f.tries},     {"answers_left", f.answers_left}, {"resets", f.resets}};
        out.erase("nodes");
        out.erase("routes");
        fmt::print("{} of {} requests served; {} operations of the operators in the history\n", served, due,
                   history.size());
        return bounds_.report(out);
    }
    std::string start(const std::string& zone) {
        const std::string name = rig_.add_machine({zone, true, true, true});
        for (const std::string& node : rig_.nodes_of(name)) rig_.start(node);
        say(fmt::format("{} starts, empty, at another address", name));
        return name;
    }
    std::vector<std::string> voters() const {
        std::vector<std::string> names;
        for (const std::string& machine : rig_.machines())
            for (const std::string& node : rig_.nodes_of(machine))
                if (node.ends_with("/controller")) names.push_back(machine);
        return names;
    }
    std::string draw_voter() {
        const std::vector<std::string> from = voters();
        return from[random_() % from.size()];
    }
    static std::string zone_of(const std::string& machine) { return machine.substr(0, machine.find('-')); }
    double draw() { return std::uniform_real_distribution<double>(0.0, 1.0)(random_); }
    double elapsed() const { return secs(clock_.now() - began_); }
    void say(const std::string& what) const {
        fmt::print("{:>5.1f} s  {}\n", elapsed(), what);
        std::fflush(stdout);
    }
    static void print_tail(const std::string& text) {
        const std::size_t from = text.size() > 2000 ? text.find('\n', text.size() - 2000) + 1 : 0;
        std::fputs(text.substr(from).c_str(), stdout);
    }

    std::uint64_t seed_;
    std::mt19937_64 random_;
    SystemClock clock_;
    TimePoint begun_ = clock_.now(), began_ = begun_;    // of the run, of the troubles
    bool lost_majority_ = false;
    SystemRig rig_;
    Bounds bounds_;
};

int run(const std::string& programs, std::uint64_t seed, double) {
    catch_signals();
    return Harbour(programs, seed).run();
}

}    // namespace
}    // namespace shaletray::testbed

int main(int, char** argv) {
    return shaletray::testbed::experiment_main(argv, 20.0, shaletray::testbed::run);
}
