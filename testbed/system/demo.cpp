// Runs the entire system on this machine for twenty seconds: three gateways, controllers, emulated servers,
// an operator and clients. Exits with 1 if a request that must not be repeated ran twice, another rule was
// violated or less than 99% of the requests were served; the last line is JSON. Environment: SEED,
// SECONDS_PER_PHASE, CONTROLLERS (the number of controllers, 1 to 3), LOAD (multiplies the usual load).
#include <fmt/format.h>

#include <cstdio>

#include "gateway_fixture.h"
#include "system/fixture.h"

namespace shaletray::testbed {
namespace {

using Json = nlohmann::json;

constexpr int kMachineCount = 3;
constexpr double kMinServedFraction = 0.99;

void print_tail(const std::string& text) {
    const std::size_t from = text.size() > 2000 ? text.find('\n', text.size() - 2000) + 1 : 0;
    std::fputs(text.substr(from).c_str(), stdout);
}

int report_failure(SystemFixture& fixture, const std::string& reason) {
    fmt::print("{}\n", reason);
    for (const std::string& name : fixture.node_names()) {
        fmt::print("---- {} ----\n", name);
        print_tail(fixture.log_text(name));
    }
    fmt::print("{}\n", Json{{"error", reason}}.dump());
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

int run_demo(const std::string& programs, std::uint64_t seed, double seconds) {
    install_signal_handlers();
    const int controllers = static_cast<int>(number_from_environment("CONTROLLERS", 3, 1, kMachineCount));
    const SystemPlan plan = make_small_system("demo", programs, seed, kMachineCount, controllers);
    SystemFixture fixture(plan);
    fmt::print("starting {} gateways and {} controllers\n", kMachineCount, controllers);
    fixture.start_all();
    for (const ServicePlan& service : plan.services)
        for (int i = 0; i < service.server_count; ++i) fixture.add_server(service.name);
    const Json first_configuration = fixture.make_configuration(1);
    const SystemFixture::CommandResult result = fixture.replace_configuration(first_configuration, 20.0);
    if (result.status_code != 200)
        return report_failure(fixture, fmt::format("configuration r1 got status {}", result.status_code));
    fmt::print("configuration r1 was acknowledged after {:.2f} s\n", result.seconds_taken);
    if (!fixture.wait_servers_registered(20.0))
        return report_failure(fixture, "not every server's heartbeat was acknowledged");
    if (!fixture.wait_ready(20.0)) return report_failure(fixture, "not every gateway is ready");
    fixture.run_for(1.0);    // until the gateways have received the last servers
    fmt::print("all gateways are ready; sending load for {:.0f} s\n", seconds);
    std::fflush(stdout);
    fixture.start_load(number_from_environment("LOAD", 1.0, 0.01, 20.0));
    for (double t = 0.0; t < seconds; t += 5.0) {
        fixture.run_for(std::min(5.0, seconds - t));
        const ClientStatistics::RouteCounters all = fixture.client_statistics().totals();
        fmt::print("{:>4.0f} s: {} due, {} served, {} refused, {} failed\n", std::min(t + 5.0, seconds),
                   all.due, all.served, all.rejected, all.failed);
        std::fflush(stdout);
    }
    fixture.stop_load();
    const SystemFixture::CommandResult read = fixture.read_configuration();
    Json figures = fixture.make_report();
    const std::vector<std::string> ended = fixture.unexpectedly_ended();
    print_table(figures);
    fixture.stop_all();

    Expectations expectations;
    const double due = figures["due"], served = figures["served"];
    expectations.expect(
        due > 0.0 && served >= kMinServedFraction * due,
        fmt::format("{:.2f}% of the requests were served", due > 0.0 ? served / due * 100.0 : 0.0));
    expectations.expect_rules_kept(figures["rules"]);
    expectations.expect(
        read.status_code == 200 && Json::parse(read.body, nullptr, false) == first_configuration,
        fmt::format("the configuration that was read (status {}) differs from the one that was sent",
                    read.status_code));
    for (const std::string& name : ended) {
        expectations.expect(false, name + " ended by itself");
        print_tail(fixture.log_text(name));
    }
    return expectations.print_report(figures);
}

}    // namespace
}    // namespace shaletray::testbed

int main(int, char** argv) {
    return shaletray::testbed::experiment_main(argv, 20.0, shaletray::testbed::run_demo);
}
