// The whole system on this machine for twenty seconds: three pilots, lighthouses, emulated servers, an
// operator and clients. Ends with 1 where a request that may not be repeated ran twice, another rule was
// broken, or less than 99% was served; the last line is JSON. From the environment: SEED, SECONDS_PER_PHASE,
// LIGHTHOUSES (1 to 3), LOAD (a multiple of the usual).
#include <fmt/format.h>

#include <cstdio>

#include "gateway_fixture.h"
#include "system/fixture.h"

namespace shaletray::testbed {
namespace {

using Json = nlohmann::json;

constexpr int kMachines = 3;
constexpr double kServedAtLeast = 0.99;

void print_tail(const std::string& text) {
    const std::size_t from = text.size() > 2000 ? text.find('\n', text.size() - 2000) + 1 : 0;
    std::fputs(text.substr(from).c_str(), stdout);
}

int fail(SystemRig& rig, const std::string& why) {
    fmt::print("{}\n", why);
    for (const std::string& name : rig.nodes()) {
        fmt::print("---- {} ----\n", name);
        print_tail(rig.log_text(name));
    }
    fmt::print("{}\n", Json{{"error", why}}.dump());
    return 1;
}

void print_table(const Json& figures) {
    fmt::print("{:<10}{:>8}{:>8}{:>8}{:>9}{:>8}{:>8}{:>9}{:>9}{:>9}\n", "route", "due", "served", "in aim",
               "refused", "failed", "tries", "p50 ms", "p90 ms", "p99 ms");
    const auto row = [](const std::string& name, const Json& f) {
        fmt::print("{:<10}{:>8}{:>8}{:>8}{:>9}{:>8}{:>8}{:>9.0f}{:>9.0f}{:>9.0f}\n", name,
                   f["due"].get<std::uint64_t>(), f["served"].get<std::uint64_t>(),
                   f["in_aim"].get<std::uint64_t>(), f["refused"].get<std::uint64_t>(),
                   f["failed"].get<std::uint64_t>(), f["tries"].get<std::uint64_t>(),
                   f["p50_ms"].get<double>(), f["p90_ms"].get<double>(), f["p99_ms"].get<double>());
    };
    for (const auto& [name, f] : figures["routes"].items()) row(name, f);
    row("all", figures);
    for (const auto& [name, n] : figures["nodes"].items())
        fmt::print("{:<20} {:.2f} s of a core, {:.1f} MB at its peak\n", name, n["cpu_s"].get<double>(),
                   n["peak_mb"].get<double>());
}

int run(const std::string& programs, std::uint64_t seed, double seconds) {
    catch_signals();
    const int lighthouses = static_cast<int>(environment_number("LIGHTHOUSES", 3, 1, kMachines));
    const SystemPlan plan = small_system("demo", programs, seed, kMachines, lighthouses);
    SystemRig rig(plan);
    fmt::print("starting {} pilots and {} lighthouses\n", kMachines, lighthouses);
    rig.begin();
    for (const ServicePlan& service : plan.services)
        for (int i = 0; i < service.servers; ++i) rig.add_server(service.name);
    const Json configuration = rig.configuration(1);
    const SystemRig::Order order = rig.send(configuration, 20.0);
    if (order.status != 200) return fail(rig, fmt::format("configuration r1 got status {}", order.status));
    fmt::print("configuration r1 was acknowledged after {:.2f} s\n", order.took_s);
    if (!rig.wait_servers_known(20.0)) return fail(rig, "not every server's beat was acknowledged");
    if (!rig.wait_ready(20.0)) return fail(rig, "not every pilot says that it is ready");
    rig.run_for(1.0);    // for news of the last servers to arrive
    fmt::print("all are ready; clients come for {:.0f} s\n", seconds);
    std::fflush(stdout);
    rig.begin_load(environment_number("LOAD", 1.0, 0.01, 20.0));
    for (double t = 0.0; t < seconds; t += 5.0) {
        rig.run_for(std::min(5.0, seconds - t));
        const ClientFigures::OfRoute all = rig.figures().all();
        fmt::print("{:>4.0f} s: {} due, {} served, {} refused, {} failed\n", std::min(t + 5.0, seconds),
                   all.due, all.served, all.refused, all.failed);
        std::fflush(stdout);
    }
    rig.end_load();
    const SystemRig::Order read = rig.read();
    Json figures = rig.report();
    const std::vector<std::string> ended = rig.ended_by_themselves();
    print_table(figures);
    rig.end();

    Bounds bounds;
    const double due = figures["due"], served = figures["served"];
    bounds.hold(due > 0.0 && served >= kServedAtLeast * due,
                fmt::format("{:.2f}% was served", due > 0.0 ? served / due * 100.0 : 0.0));
    for (const auto& [rule, count] : figures["rules"].items())
        bounds.hold(count == 0, fmt::format("{}: {}", rule, count.get<std::uint64_t>()));
    bounds.hold(read.status == 200 && Json::parse(read.body, nullptr, false) == configuration,
                fmt::format("what was read back (status {}) is not what was sent", read.status));
    for (const std::string& name : ended) {
        bounds.hold(false, name + " ended by itself");
        print_tail(rig.log_text(name));
    }
    return bounds.report(figures);
}

}    // namespace
}    // namespace shaletray::testbed

int main(int, char** argv) {
    return shaletray::testbed::experiment_main(argv, 20.0, shaletray::testbed::run);
}
