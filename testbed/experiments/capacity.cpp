// What one gateway can do on one core, and what the load tool itself can: requests a second, CPU a request,
// bytes a connection, and the latency a gateway adds against going direct, at 100, 1,000 and 10,000
// connections.
//   SEED= and SECONDS_PER_PHASE= from the environment. Ends non-zero where a bound breaks, 3 where the
//   machine was too slow for the load.
#include <Poco/Thread.h>
#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>
#include <ctime>
#include <filesystem>
#include <fstream>
#include <functional>

#include "gateway_fixture.h"
#include "live_run.h"
#include "scratch_directory.h"
#include "simulator/load.h"
#include "stand_ins/echo.h"
#include "test_processes.h"

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr double kToolRate = 50'000.0;
constexpr std::chrono::microseconds kToolDelay{20'000};
constexpr int kServers = 8;
// A plan whose thousand customers together ask for twice what they have.
constexpr double kNarrow = 4.0, kOverRate = 8000.0;
// Of a day that the gateway keeps up with: answered 200, and soon.
constexpr double kKeepsUp = 0.99, kKeepsUpMs = 50.0;

struct Run {
    LoadStatistics f;
    double tool_cpu = 0.0;    // seconds, of the tool's thread
    std::uint64_t ok() const { return f.by_status.contains(200) ? f.by_status.at(200) : 0; }
    double rate() const { return static_cast<double>(ok()) / std::max(1e-9, f.seconds); }
    double q(double at) const { return histogram_quantile(f.latency, at); }
};

Run load(const std::string& address, double rate, double seconds, std::size_t connections, bool ahead,
         std::uint64_t seed, const std::function<void()>& midway = {}, const std::string& plan = "wide") {
    LoadSettings s;
    s.address = address;
    s.duration = from_secs(seconds);
    s.max_connections = connections;
    s.open_in_advance = ahead;
    s.seed = seed;
    s.plan_name = plan;
    s.customer_count = 1000;
    Run out;
    Poco::Thread thread;
    // POCO lets a reactor without sockets sleep on threads of its own only.
    thread.startFunc([&] {
        SystemClock clock;
        Timers timers;
        Reactor reactor(clock, timers);
        LoadGenerator load(reactor, s, poisson_arrivals(rate, seed), [&] { reactor.stop(); });
        if (midway) reactor.schedule_after(from_secs(seconds / 2 + (ahead ? 1.0 : 0.0)), midway);
        load.start_load();
        reactor.run();
        timespec spent{};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &spent);
        out.tool_cpu = static_cast<double>(spent.tv_sec) + 1e-9 * static_cast<double>(spent.tv_nsec);
        out.f = load.statistics();
    });
    thread.join();
    return out;
}

class Capacity {
public:
    Capacity(std::string programs, std::uint64_t seed, double seconds)
        : programs_(std::move(programs)),
          seed_(seed),
          seconds_(seconds),
          directory_(fmt::format("shaletray-capacity-{}", seed)) {
        rlimit limit{};
        getrlimit(RLIMIT_NOFILE, &limit);
        limit.rlim_cur = limit.rlim_max;
        setrlimit(RLIMIT_NOFILE, &limit);
        files_ = static_cast<std::size_t>(limit.rlim_cur);
    }
    ~Capacity() {
        gateway_.reset();    // before the directory that it writes to goes
    }

    int run() {
        Json out = {{"experiment", "capacity"}, {"seed", seed_}};
        tool(out);
        start_gateway();
        most(out);
        over(out);
        added(out);
        return bounds_.print_report(out);
    }

private:
    // The tool alone, against servers whose answer comes after a known time.
    void tool(Json& out) {
        StandInEcho echo(1, 2, kToolDelay);
        const Run r = load(echo.address(0), kToolRate, seconds_, 4000, true, seed_);
        const std::vector<double> held = echo.finish();
        const double truth =
            held.empty() ? 0.0 : held[(held.size() - 1) * 99 / 100];    // as the server saw it
        const double error = r.q(0.99) / truth - 1.0;
        fmt::print(
            "load tool: {:.0f} of {:.0f} requests a second, {:.2f} cores, p99 {:.2f} ms of {:.2f} ms "
            "({:+.1f}%), own lag p99 {:.2f} ms\n",
            r.rate(), kToolRate, r.tool_cpu / r.f.seconds, r.q(0.99), truth, 100.0 * error,
            histogram_quantile(r.f.scheduling_lag, 0.99));
        out["tool"] = {{"rate", r.rate()},
                       {"cores", r.tool_cpu / r.f.seconds},
                       {"p99_error", error},
                       {"lag_p99_ms", histogram_quantile(r.f.scheduling_lag, 0.99)}};
    }
    void start_gateway() {
        echo_ = std::make_unique<StandInEcho>(kServers, 2);
        Scenario s;
        s.gateway_count = 1;
        s.server_count = kServers;
        s.plans = {{"wide", 1e6, 1e6, 0, 0.0, 0.0, 0.0, 1.0, 0.0, 0.0},
                   {"narrow", kNarrow, 2.0, 0, 0.0, 0.0, 0.0, 1.0, 0.0, 0.0}};
        std::vector<std::string> servers;
        for (int i = 0; i < kServers; ++i) servers.push_back(echo_->address(i));
        address_ = fmt::format("127.0.0.1:{}", find_free_port());
        const auto path = directory_.path() / "n0.json";
        std::ofstream(path) << lone_config(s, servers, address_, files_, 192);
        gateway_ = std::make_unique<Process>(std::vector<std::string>{programs_ + "/shaletray"},
                                             gateway_environment(path.string()),
                                             (directory_.path() / "n0.log").string());
        for (int i = 0; i < 100; ++i) {
            if (load(address_, 20.0, 0.2, 4, false, seed_).ok() > 0) return;
        }
        throw std::runtime_error("the gateway does not serve: " + gateway_->log_text());
    }
    // The highest rate that it keeps up with.
    void most(Json& out) {
        double best = 0.0, cpu = 0.0;
        for (double rate = 2000.0; rate < 200'000.0; rate *= 1.2) {
            const double before = gateway_->cpu_seconds();
            const Run r = load(address_, rate, std::min(1.5, seconds_), 200, false, seed_);
            const double spent = gateway_->cpu_seconds() - before;
            const bool keeps_up =
                static_cast<double>(r.ok()) >= kKeepsUp * static_cast<double>(r.f.due_count) &&
                r.q(0.99) <= kKeepsUpMs;
            fmt::print(
                "  asked {:>8.0f}/s  served {:>8.0f}/s  p50 {:>7.2f} ms  p99 {:>7.2f} ms  gateway {:.2f} "
                "cores, "
                "{:.1f} us a request{}{}\n",
                rate, r.rate(), r.q(0.5), r.q(0.99), spent / r.f.seconds,
                1e6 * spent / static_cast<double>(std::max<std::uint64_t>(1, r.ok())),
                keeps_up ? "" : "  does not keep up", r.f.ran_late() ? "  (the tool ran late)" : "");
            if (!keeps_up) {
                // Its own limit, or the tool's?
                if (r.f.ran_late()) out["tool_was_the_limit"] = true;
                break;
            }
            best = rate;
            cpu = 1e6 * spent / static_cast<double>(r.ok());
        }
        fmt::print("gateway: keeps up with {:.0f} requests a second, {:.1f} us of CPU a request\n", best,
                   cpu);
        out["gateway"] = {{"requests_per_s", best}, {"cpu_us_per_request", cpu}};
        best_ = best;
        bounds_.expect(best > 0.0, "the gateway keeps up with no rate at all");
    }
    // With customers over their quotas, requests are held for units that come.
    void over(Json& out) {
        const double before = gateway_->cpu_seconds();
        const Run r = load(address_, kOverRate, seconds_, 4000, false, seed_, {}, "narrow");
        const double spent = gateway_->cpu_seconds() - before;
        std::uint64_t answered = 0;
        for (const auto& [status, n] : r.f.by_status) answered += n;
        const double each = 1e6 * spent / static_cast<double>(std::max<std::uint64_t>(1, answered));
        fmt::print(
            "over quotas: {:.0f} asked a second, {:.0f} served, {:.1f} us of CPU a request, {:.2f} cores\n",
            kOverRate, r.rate(), each, spent / r.f.seconds);
        out["over_quotas"] = {
            {"cpu_us_per_request", each}, {"served_per_s", r.rate()}, {"asked_per_s", kOverRate}};
        bounds_.expect(r.f.unanswered_count + r.f.broken_count == 0,
                       "requests over quotas were not answered");
    }
    double resident() const {
        // Of the child: the second figure of statm, in pages.
        std::ifstream in(fmt::format("/proc/{}/statm", gateway_->pid()));
        double all = 0.0, there = 0.0;
        in >> all >> there;
        return there * static_cast<double>(sysconf(_SC_PAGESIZE));
    }
    // What going through it costs in latency, and its connections in memory.
    void added(Json& out) {
        if (best_ <= 0.0) return;
        fmt::print("{:>12} {:>10} {:>10} {:>10} {:>10} {:>10} {:>10} {:>12}\n", "connections", "p50 ms",
                   "direct", "p99 ms", "direct", "p99.9 ms", "direct", "bytes each");
        for (const std::size_t connections : {std::size_t{100}, std::size_t{1000}, std::size_t{10000}}) {
            if (connections + connections / 2 > files_) {
                fmt::print("{:>12} not measured: only {} descriptors\n", connections, files_);
                continue;
            }
            // A connection that stays silent for two seconds is closed: each is to be used in less.
            const double rate =
                std::min(best_ / 2.0, std::max(2000.0, 0.7 * static_cast<double>(connections)));
            const double before = resident();
            double full = 0.0;
            const Run through =
                load(address_, rate, seconds_, connections, true, seed_, [&] { full = resident(); });
            // Here both ends are this process's.
            const Run direct =
                load(echo_->address(0), rate, seconds_, std::min(connections, files_ / 2 - 300), true, seed_);
            const double bytes = std::max(0.0, full - before) / static_cast<double>(connections);
            fmt::print("{:>12} {:>10.3f} {:>10.3f} {:>10.3f} {:>10.3f} {:>10.3f} {:>10.3f} {:>12.0f}\n",
                       connections, through.q(0.5), direct.q(0.5), through.q(0.99), direct.q(0.99),
                       through.q(0.999), direct.q(0.999), bytes);
            out["at"][std::to_string(connections)] = {{"p50_added_ms", through.q(0.5) - direct.q(0.5)},
                                                      {"p99_added_ms", through.q(0.99) - direct.q(0.99)},
                                                      {"p999_added_ms", through.q(0.999) - direct.q(0.999)},
                                                      {"bytes_per_connection", bytes},
                                                      {"opened", through.f.connections_opened}};
            bounds_.expect(through.f.unanswered_count + through.f.broken_count == 0,
                           fmt::format("{} requests were not answered over {} connections",
                                       through.f.unanswered_count + through.f.broken_count, connections));
        }
    }

    std::string programs_;
    std::uint64_t seed_;
    double seconds_;
    std::size_t files_ = 0;
    ScratchDirectory directory_;
    std::unique_ptr<StandInEcho> echo_;
    std::unique_ptr<Process> gateway_;
    std::string address_;
    double best_ = 0.0;
    Expectations bounds_;
};

}    // namespace
}    // namespace shaletray::testbed

int main(int, char** argv) {
    return shaletray::testbed::experiment_main(
        argv, 3, [](const std::string& programs, std::uint64_t seed, double seconds) {
            return shaletray::testbed::Capacity(programs, seed, seconds).run();
        });
}
