// Daily operation of one gateway under load: processes that take over from each other, operators' calls
// beside callers that say nothing, files at SIGHUP, drains; then bodies and answers that are together far
// more than the gateway's memory, at servers that take and give them slowly.
//   SEED=, SECONDS_PER_PHASE=, RATE= (requests a second), LONG_MB= (each long body) from the environment.
//   Ends non-zero where a bound breaks, 3 where the machine was too slow for the load.
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/StreamCopier.h>
#include <Poco/Thread.h>
#include <fmt/format.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <thread>

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
using Clock = std::chrono::steady_clock;

constexpr int kServers = 8, kUpgrades = 3, kHolders = 16, kLong = 4;
constexpr double kMemoryMb = 48.0;
// DAYS.md's terms as bounds: an answer to a call, a new process's yes, requests turned back at each upgrade.
constexpr double kCallMs = 1000.0, kReadyMs = 6000.0;
constexpr std::uint64_t kTurnedBack = 2;

double ms_since(Clock::time_point t) {
    return std::chrono::duration<double, std::milli>(Clock::now() - t).count();
}

// A server that takes a body of any length at its own pace, and gives one of the same length.
class SlowServer {
public:
    explicit SlowServer(std::size_t length) : length_(length) {
        thread_ = std::thread([this] { accept(); });
    }
    ~SlowServer() {
        over_ = true;
        thread_.join();
        for (std::thread& t : talks_) t.join();
    }
    std::string address() const { return socket_.address().toString(); }
    std::atomic<std::uint64_t> taken{0};

private:
    void accept() {
        while (!over_) {
            if (socket_.poll(Poco::Timespan(0, 20'000), Poco::Net::Socket::SELECT_READ))
                talks_.emplace_back([this, s = socket_.acceptConnection()]() mutable { serve(s); });
        }
    }
    void serve(Poco::Net::StreamSocket& s) {
        std::string in(64 * 1024, '\0');
        try {
            s.setReceiveTimeout(Poco::Timespan(0, 100'000));
            std::string head;
            std::size_t body = 0, wanted = 0;
            while (!over_ && (head.empty() || body < wanted)) {
                int n = 0;
                try {
                    n = s.receiveBytes(in.data(), static_cast<int>(in.size()));
                } catch (const Poco::TimeoutException&) {
                    continue;
                }
                if (n <= 0) return;
                body += static_cast<std::size_t>(n);
                if (!head.empty()) {
                    std::this_thread::sleep_for(2ms);    // some 30 MB a second
                    continue;
                }
                head = in.substr(0, in.find("\r\n\r\n") + 4);
                body -= head.size();
                const auto at = head.find("Content-Length: ");
                wanted = at == std::string::npos ? 0 : std::stoul(head.substr(at + 16));
            }
            taken += body;
            const std::string out(64 * 1024, 'a');
            const std::string begin = fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", length_);
            s.sendBytes(begin.data(), static_cast<int>(begin.size()));
            for (std::size_t left = length_; left > 0 && !over_;) {
                const std::size_t n = std::min(left, out.size());
                s.sendBytes(out.data(), static_cast<int>(n));
                left -= n;
            }
        } catch (const std::exception&) {
            // The gateway ended it, as it may: what is missing shows at the client.
        }
    }

    std::size_t length_;
    Poco::Net::ServerSocket socket_{Poco::Net::SocketAddress("127.0.0.1", 0)};
    std::atomic<bool> over_{false};
    std::thread thread_;
    std::vector<std::thread> talks_;
};

class Operations {
public:
    Operations(std::string programs, std::uint64_t seed, double seconds)
        : programs_(std::move(programs)),
          seed_(seed),
          seconds_(seconds),
          rate_(number_from_environment("RATE", 500, 1, 20'000)),
          long_bytes_(static_cast<std::size_t>(number_from_environment("LONG_MB", 32, 1, 60) * 1024 * 1024)),
          directory_(fmt::format("shaletray-operations-{}", seed)) {}
    ~Operations() {
        gateway_.reset();    // before the directory that it writes to goes
    }

    int run() {
        Json out = {{"experiment", "operations"}, {"seed", seed_}};
        const bool late = service(out);
        size(out);
        const int status = bounds_.print_report(out);
        return status == 0 && late ? 3 : status;
    }

private:
    // One call to the second address; its status, or 0. What it took goes into the figures.
    int call(const std::string& method, const std::string& path, std::string* answer = nullptr) {
        const auto begun = Clock::now();
        int status = 0;
        try {
            Poco::Net::HTTPClientSession session{Poco::Net::SocketAddress(admin_)};
            session.setTimeout(Poco::Timespan(3, 0));
            Poco::Net::HTTPRequest request(method, path, "HTTP/1.1");
            session.sendRequest(request);
            Poco::Net::HTTPResponse response;
            std::string body;
            Poco::StreamCopier::copyToString(session.receiveResponse(response), body);
            if (answer != nullptr) *answer = body;
            status = response.getStatus();
        } catch (const Poco::Exception&) {
            // No answer: 0 says so.
        }
        calls_ms_.push_back(ms_since(begun));
        return status;
    }
    double figure(const std::string& name) {
        std::string text;
        call("GET", "/ops/stats", &text);
        const auto at = text.find("\n" + name + " ");
        return at == std::string::npos ? -1.0 : std::strtod(text.c_str() + at + name.size() + 2, nullptr);
    }
    // Milliseconds until the gateway says yes, or no, to who asks for it; the bound where it does not.
    double until_ready(bool yes, double most) {
        const auto begun = Clock::now();
        while ((call("GET", "/ops/readiness") == 200) != yes && ms_since(begun) < most)
            std::this_thread::sleep_for(5ms);
        return ms_since(begun);
    }
    std::unique_ptr<Process> start(double memory_mb, const std::vector<std::string>& servers) {
        Scenario s;
        s.gateway_count = 1;
        s.server_count = static_cast<int>(servers.size());
        s.plans = {{"wide", 1e6, 1e6, 0, 0.0, 0.0, 0.0, 1.0, 0.0, 0.0}};
        config_ = Json::parse(lone_config(s, servers, address_, 512, memory_mb));
        write(config_);
        admin_ = fmt::format("127.0.0.1:{}", find_free_port());
        auto environment = gateway_environment(path());
        environment["EDGE_ADMIN_ADDR"] = admin_;
        environment["TMPDIR"] = directory_.path().string();
        return std::make_unique<Process>(std::vector<std::string>{programs_ + "/shaletray"}, environment,
                                         (directory_.path() / fmt::format("{}.log", ++starts_)).string());
    }
    std::string path() const { return (directory_.path() / "n0.json").string(); }
    void write(const Json& config) const { std::ofstream(path()) << config; }

    // Under load all the while. True where the machine was too slow.
    bool service(Json& out) {
        const StandInEcho echo(kServers, 2);
        std::vector<std::string> servers;
        for (int i = 0; i < kServers; ++i) servers.push_back(echo.address(i));
        address_ = fmt::format("127.0.0.1:{}", find_free_port());
        gateway_ = start(kMemoryMb, servers);
        until_ready(true, kReadyMs);
        LoadStatistics figures;
        std::atomic<bool> over{false};
        Poco::Thread load;    // POCO lets a reactor without sockets sleep on threads of its own only
        load.startFunc([&] {
            SystemClock clock;
            Timers timers;
            Reactor reactor(clock, timers);
            LoadSettings s;
            s.address = address_;
            s.duration = from_secs(seconds_ * (kUpgrades + 2));
            s.max_connections = 100;
            s.seed = seed_;
            s.plan_name = "wide";
            LoadGenerator tool(reactor, s, poisson_arrivals(rate_, seed_), [&] { reactor.stop(); });
            tool.start_load();
            reactor.run();
            figures = tool.statistics();
            over = true;
        });
        std::vector<double> ready;
        for (int i = 0; i < kUpgrades; ++i) {
            std::this_thread::sleep_for(from_secs(seconds_ / 2));
            auto next = start(kMemoryMb, servers);
            ready.push_back(until_ready(true, kReadyMs));
            std::this_thread::sleep_for(100ms);
            bounds_.expect(gateway_->terminate() == 0,
                           "a process did not end in order after the next one took over");
            gateway_ = std::move(next);
        }
        std::vector<Poco::Net::StreamSocket> holders;    // say nothing, and are not to be waited for
        for (int i = 0; i < kHolders; ++i) holders.emplace_back(Poco::Net::SocketAddress(admin_));
        Json changed = config_;
        changed["settings"]["classes"].push_back(config_["settings"]["classes"][0]);
        changed["settings"]["classes"].back()["name"] = "added";
        write(changed);
        gateway_->send_signal(SIGHUP);
        std::this_thread::sleep_for(200ms);
        std::ofstream(path()) << config_.dump().substr(0, 300);    // cut off
        gateway_->send_signal(SIGHUP);
        std::this_thread::sleep_for(200ms);
        const double loads = figure("edge_loads_total"), bad = figure("edge_load_errors_total");
        bounds_.expect(loads == 1.0 && bad == 1.0,
                       fmt::format("files taken {}, turned down {}: not 1 and 1", loads, bad));
        call("PUT", "/ops/drain/start");
        const double no = until_ready(false, kCallMs);
        std::this_thread::sleep_for(300ms);
        call("PUT", "/ops/drain/stop");
        const double yes = until_ready(true, 2 * kCallMs);
        while (!over) {
            figure("edge_in_progress");
            std::this_thread::sleep_for(20ms);
        }
        load.join();
        std::uint64_t served = figures.by_status[200], others = 0;
        for (const auto& [status, count] : figures.by_status) others += status == 200 ? 0 : count;
        const std::uint64_t lost = figures.due_count - served - others;
        std::sort(calls_ms_.begin(), calls_ms_.end());
        const double slowest = calls_ms_.back(), longest = *std::max_element(ready.begin(), ready.end());
        fmt::print(
            "{:.0f} requests a second over {:.0f} s, {} upgrades: {} due, {} served, {} other answers, "
            "{} unanswered, {} sent again over a close\n",
            rate_, figures.seconds, kUpgrades, figures.due_count, served, others, lost, figures.resent_count);
        fmt::print(
            "a new process says yes after {:.0f} ms at most; drain: no after {:.0f} ms, yes after {:.0f}\n",
            longest, no, yes);
        fmt::print("{} calls beside {} silent callers: median {:.2f} ms, slowest {:.1f} ms\n",
                   calls_ms_.size(), kHolders, calls_ms_[calls_ms_.size() / 2], slowest);
        out["service"] = {{"due", figures.due_count},
                          {"served", served},
                          {"others", others},
                          {"unanswered", lost},
                          {"resent", figures.resent_count},
                          {"ready_ms", longest},
                          {"drain_no_ms", no},
                          {"drain_yes_ms", yes},
                          {"call_slowest_ms", slowest},
                          {"p99_ms", histogram_quantile(figures.latency, 0.99)}};
        bounds_.expect(
            lost + others <= kTurnedBack * kUpgrades,
            fmt::format("{} requests without a good answer, over {} upgrades", lost + others, kUpgrades));
        bounds_.expect(longest < kReadyMs, "a new process was not ready in time");
        bounds_.expect(slowest <= kCallMs, fmt::format("a call took {:.0f} ms", slowest));
        bounds_.expect(no < kCallMs && yes < 2 * kCallMs, "a drain was not acted on in time");
        gateway_->terminate();
        return figures.ran_late();
    }

    // Long bodies up and long answers down, at once, by clients of which half read and write slowly.
    void size(Json& out) {
        SlowServer a(long_bytes_), b(long_bytes_);
        address_ = fmt::format("127.0.0.1:{}", find_free_port());
        gateway_ = start(kMemoryMb, {a.address(), b.address()});
        until_ready(true, kReadyMs);
        std::atomic<int> whole{0}, running{2 * kLong};
        std::vector<std::thread> clients;
        for (int i = 0; i < 2 * kLong; ++i) {
            clients.emplace_back([&, i] {
                whole += exchange(i, i % 2 == 0);
                --running;
            });
        }
        double peak = 0.0;
        const auto begun = Clock::now();
        while (running > 0) {
            std::ifstream in(fmt::format("/proc/{}/statm", gateway_->pid()));
            double all = 0.0, there = 0.0;
            in >> all >> there;
            peak = std::max(peak, there * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1048576.0);
            std::this_thread::sleep_for(5ms);
        }
        const double seconds = ms_since(begun) / 1000.0;
        for (std::thread& t : clients) t.join();
        const double mb = static_cast<double>(long_bytes_) / 1048576.0;
        fmt::print(
            "{} exchanges at once, half with a body of {:.0f} MB, all with an answer of that: {} whole in "
            "{:.1f} s, {:.0f} MB at most of {:.0f}\n",
            2 * kLong, mb, whole.load(), seconds, peak, kMemoryMb);
        out["size"] = {{"whole", whole.load()}, {"of", 2 * kLong}, {"peak_mb", peak}, {"seconds", seconds}};
        bounds_.expect(whole == 2 * kLong,
                       fmt::format("{} of {} long exchanges came whole", whole.load(), 2 * kLong));
        bounds_.expect(a.taken + b.taken == kLong * long_bytes_, "bodies did not come whole to the servers");
        bounds_.expect(peak <= kMemoryMb, fmt::format("{:.0f} MB of memory", peak));
    }
    // One request and its answer. True where the answer came whole.
    bool exchange(int number, bool has_body) {
        try {
            Poco::Net::StreamSocket s{Poco::Net::SocketAddress(address_)};
            s.setReceiveTimeout(Poco::Timespan(60, 0));
            const std::string cls = has_body ? "claim-submit" : "claim-read";
            const std::string head = fmt::format(
                "{} /{} HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: l{}\r\nX-Tier: wide\r\nX-Call-Terms: "
                "units=1,spread=1,first=0\r\nCookie: customer={:016x}\r\nConnection: close\r\n{}\r\n",
                has_body ? "POST" : "GET", cls, number, number + 1,
                has_body ? fmt::format("Idempotency-Key: k{}\r\nContent-Length: {}\r\n", number, long_bytes_)
                         : "");
            s.sendBytes(head.data(), static_cast<int>(head.size()));
            const std::string piece(64 * 1024, 'x');
            for (std::size_t left = has_body ? long_bytes_ : 0; left > 0;) {
                const std::size_t n = std::min(left, piece.size());
                s.sendBytes(piece.data(), static_cast<int>(n));
                left -= n;
                if (number % 4 == 0) std::this_thread::sleep_for(3ms);
            }
            std::string in(64 * 1024, '\0'), start;
            std::size_t got = 0;
            for (int n; (n = s.receiveBytes(in.data(), static_cast<int>(in.size()))) > 0;) {
                if (start.size() < 1024) start.append(in.data(), static_cast<std::size_t>(std::min(n, 1024)));
                got += static_cast<std::size_t>(n);
                if (number % 4 == 1) std::this_thread::sleep_for(3ms);
            }
            const std::size_t end = start.find("\r\n\r\n");
            return start.starts_with("HTTP/1.1 200 ") && got == end + 4 + long_bytes_;
        } catch (const Poco::Exception&) {
            return false;
        }
    }

    std::string programs_;
    std::uint64_t seed_;
    double seconds_, rate_;
    std::size_t long_bytes_;
    ScratchDirectory directory_;
    std::unique_ptr<Process> gateway_;
    Json config_;
    std::string address_, admin_;
    int starts_ = 0;
    std::vector<double> calls_ms_;
    Expectations bounds_;
};

}    // namespace
}    // namespace shaletray::testbed

int main(int, char** argv) {
    return shaletray::testbed::experiment_main(
        argv, 3, [](const std::string& programs, std::uint64_t seed, double seconds) {
            return shaletray::testbed::Operations(programs, seed, seconds).run();
        });
}
