// Three real gateways share quotas over stand-in stores that are killed, replaced, set back, split, slowed
// and healed under steady load. What was sent on comes from the workers' own records. Prints a table of
// phases, then a line of JSON; ends non-zero where a bound breaks.
//   SEED= SECONDS_PER_PHASE= from the environment, the programs beside this one.
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <nlohmann/json.hpp>
#include <random>

#include "balancer/shared_counter/resp.h"
#include "data_plane/limits/quota_state_table.h"
#include "gateway_fixture.h"

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;
namespace files = std::filesystem;

constexpr int kGateways = 3;
constexpr double kLease = 2.5;    // seconds; short, so that phases go on for long after leases ended
constexpr double kAloneShare = 0.7;
constexpr double kMostUnits = 2.0;
constexpr double kSlackSeconds = 0.15;    // of the ceiling's rate: from a send to the worker's record

// How a customer's requests come, and how much of its quota it asks for.
enum class Way { Even, OneGateway, Flood, Small };
constexpr const char* kWays[] = {"even", "one", "flood", "small"};

constexpr double slack_of(double ceiling_burst) { return std::max(kMostUnits, 0.1 * ceiling_burst); }
const std::vector<FixturePlan> kPlans = {{"equipo", 8.0, 24.0, 0.0, 0.0, 0.0},
                                         {"empresa", 8.0, 24.0, 16.0, 48.0, slack_of(48.0)},
                                         {"tight", 8.0, 24.0, 10.0, 30.0, slack_of(30.0)},
                                         {"small", 2.0, 6.0, 3.4, 5.0, slack_of(5.0)}};
using Plan = FixturePlan;

struct Bucket {
    double rate = 0.0, burst = 0.0, level = 0.0, lowest = 1e300;
    TimePoint at{};
    void take(double units, TimePoint now) {
        if (at == TimePoint{}) level = burst;
        else level = std::min(burst, level + rate * secs(now - at));
        at = now;
        level -= units;
        lowest = std::min(lowest, level);
    }
};

struct Customer {
    Way way{};
    int plan = 0, home = 0;
    double load = 0.0;    // units a second
    Bucket ceiling, quota_rate;
    bool seen = false;
};

struct Tally {
    double offered = 0.0, admitted = 0.0;    // units
};

struct Phase {
    std::string name;
    double seconds = 0.0;
    TimePoint from{}, to{};
    std::map<Way, Tally> tallies;
    std::uint64_t asked = 0, answered = 0, none = 0;
    double cpu = 0.0;
    double calls_per_s = 0.0;
};

class Experiment : GatewayFixture {
public:
    Experiment(std::string programs, std::uint64_t seed, double seconds)
        : GatewayFixture({"counter", std::move(programs), seed, kGateways, 4, kMostUnits, kPlans},
                         [this](int, std::string_view target, TimePoint at) { record(target, at); }),
          seconds_(seconds),
          random_(seed) {
        customers();
    }
    ~Experiment() override { stop_thread(); }

    int run() {
        for (int i = 0; i < 2; ++i) ports_.push_back(find_free_port());
        stores_.resize(2);
        for (std::size_t i = 0; i < 2; ++i) start_store(i);
        for (int g = 0; g < kGateways; ++g)
            for (std::size_t i = 0; i < 2; ++i)
                relays_[{g, i}] =
                    std::make_unique<FaultProxy>(reactor_, fmt::format("127.0.0.1:{}", ports_[i]));
        // Without a counter first: what it costs is against this.
        for (int g = 0; g < kGateways; ++g) start_gateway(g, false);
        start_thread();
        phase("calm, no counter", [this] { calm_ = true; });
        run_task_on_reactor([this] { loaded_ = loading_ = false; });
        sleep_for(2.2);    // the last answers
        run_task_on_reactor([this] {
            for (int g = 0; g < kGateways; ++g) start_gateway(g, true);
            counted_ = true;
        });
        phase(
            "they meet", [this] { calm_ = true; }, 1.5);
        phase("calm", [] {});
        run_task_on_reactor([this] { calm_ = false; });
        phase("healthy", [] {});
        phase("all killed", [this] {
            for (auto& store : stores_) store->kill();
        });
        phase("back, empty", [this] {
            for (std::size_t i = 0; i < 2; ++i) start_store(i);
            returned_ = clock_.now();
        });
        phase("fell back", [this] {
            tell_stores({"FAULT", "KEEP"});
            schedule_after(seconds_ * 0.4, [this] { tell_stores({"FAULT", "FALLBACK"}); });
            schedule_after(seconds_ * 0.7, [this] { tell_stores({"FAULT", "FALLBACK"}); });
        });
        phase("split", [this] {
            relays_[{0, 1}]->set_partitioned(true);
            for (int g = 1; g < kGateways; ++g) relays_[{g, 0}]->set_partitioned(true);
        });
        phase("healed", [this] {
            for (auto& [at, relay] : relays_) relay->set_partitioned(false);
        });
        phase("2 s slow, flapping", [this] {
            tell_store(0, {"FAULT", "SLOW", "2000"});
            flap();
        });
        phase("gateway killed", [this] {
            tell_stores({"FAULT", "SLOW", "0"});
            leaving_ = std::exchange(load_clients_[2], nullptr);    // those it had still hear that it broke
            excused_ = leaving_ ? leaving_->open_requests() : 0;
            gateways_[2]->kill();
            schedule_after(1.0, [this] { start_gateway(2, true); });
        });
        phase("wiped", [this] { tell_stores({"FAULT", "WIPE"}); });
        run_task_on_reactor([this] { loaded_ = false; });
        sleep_for(2.5);    // the last answers
        run_task_on_reactor([this] {
            for (auto& gateway_index : gateways_) gateway_index->send_signal(SIGTERM);
        });
        sleep_for(1.0);
        run_task_on_reactor([this] {
            for (auto& gateway_index : gateways_) orderly_ = orderly_ && gateway_index->terminate() == 0;
        });
        stop_thread();
        return report();
    }

private:
    void customers() {
        // One of each way and plan, loads drawn; the rest fills up to a hundred requests a second a gateway.
        for (int i = 0; i < 48; ++i) {
            Customer c;
            c.way = i % 12 == 0   ? Way::Flood
                    : i % 12 == 1 ? Way::Small
                    : i % 2 == 0  ? Way::Even
                                  : Way::OneGateway;
            c.plan = c.way == Way::Flood ? 2 : c.way == Way::Small ? 3 : i / 2 % 2;
            c.home = i % kGateways;
            const Plan& p = kPlans[static_cast<std::size_t>(c.plan)];
            c.load = p.rate * (c.way == Way::Flood ? 4.0 : c.way == Way::Small ? 2.0 : real(0.75, 0.9));
            // Requests that the ledger has let go may be recorded a little later than they were sent.
            c.ceiling = {p.rate_limit, p.rate_limit_burst, 0.0, 1e300, {}};
            limits::QuotaTableSettings bounds;
            bounds.plans.resize(1);
            bounds.plans[0].rate = p.rate;
            bounds.plans[0].burst = p.burst;
            bounds.isolated_quota_share = kAloneShare;
            bounds.max_request_units = kMostUnits;
            const double starts = p.burst;    // one gateway starts again
            const double burst =
                limits::QuotaStateTable::admission_bound(bounds, 0, kGateways, Duration(0)).partitioned +
                starts;
            const double rate =
                (limits::QuotaStateTable::admission_bound(bounds, 0, kGateways, 1s).partitioned + starts -
                 burst);
            c.quota_rate = {rate, burst, 0.0, 1e300, {}};
            customers_.push_back(c);
        }
    }
    double real(double a, double b) { return std::uniform_real_distribution<>(a, b)(random_); }

    void start_store(std::size_t i) {
        stores_[i] = std::make_unique<Process>(
            std::vector<std::string>{settings_.program_directory + "/counter_stand_in", "--port",
                                     std::to_string(ports_[i])},
            std::map<std::string, std::string>{}, (directory_ / fmt::format("store{}.log", i)).string());
    }
    void tell_stores(const std::vector<std::string>& words) {
        for (std::size_t i = 0; i < ports_.size(); ++i) tell_store(i, words);
    }
    void tell_store(std::size_t i, const std::vector<std::string>& words) {
        try {
            Poco::Net::StreamSocket socket(
                Poco::Net::SocketAddress("127.0.0.1", static_cast<Poco::UInt16>(ports_[i])));
            const std::string bytes = shared_counter::serialize_command(words);
            socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
            char answer[64];
            socket.receiveBytes(answer, sizeof answer);
        } catch (const Poco::Exception& error) {
            throw std::runtime_error("a store cannot be told: " + error.displayText());
        }
    }
    void flap() {
        if (phases_.back().name != "2 s slow, flapping") return;
        tell_store(1, {"FAULT", "DROP"});
        schedule_after(0.3, [this] { flap(); });
    }

    void start_gateway(int g, bool with_counter) {
        GatewayFixture::start_gateway(
            g, with_counter
                   ? fmt::format("counter: {{\n\tstores: [{{address: \"{}\"}}, {{address: \"{}\"}}]\n"
                                 "\tlease: \"{}s\"\n\talone_share: {}\n}}\n",
                                 relays_[{g, 0}]->address(), relays_[{g, 1}]->address(), kLease, kAloneShare)
                   : std::string());
    }

    static double slack(const Plan& p) { return slack_of(p.rate_limit_burst); }

    // ---- load ----
    void arrive(std::size_t id, int load) {
        if (!loaded_ || load != load_) return;
        Customer& c = customers_[id];
        const int units = static_cast<int>(random_() % 2) + 1;
        schedule_after(-std::log(real(1e-9, 1.0)) * 1.5 / c.load, [this, id, load] { arrive(id, load); });
        // What the counter costs is measured where as much is served with it as without.
        if (calm_ && (c.way == Way::Flood || c.way == Way::Small)) return;
        int g = c.way == Way::OneGateway && !calm_ ? c.home : static_cast<int>(random_() % kGateways);
        for (int k = 0; k < kGateways && !load_clients_[g]; ++k)
            g = (g + 1) % kGateways;    // the front passes on
        if (!load_clients_[g]) return;
        Phase& p = phases_.back();
        p.tallies[c.way].offered += units;
        if (c.way == Way::OneGateway) skewed_.push_back({clock_.now(), static_cast<double>(units), 0.0});
        ++p.asked;
        const std::string request = fmt::format(
            "GET /claim-read/{}/{} HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {:x}\r\nX-Tier: {}\r\n"
            "Cookie: customer={:016x}\r\nX-Call-Terms: units={},spread={},first=0\r\nX-Time-Left: "
            "2000m\r\n\r\n",
            id, units, ++requests_, kPlans[static_cast<std::size_t>(c.plan)].name, id + 1, units, kGateways);
        const std::size_t at = phases_.size() - 1;
        load_clients_[g]->send_request(request, [this, at](int status, Duration) {
            Phase& of = phases_[at];
            ++of.answered;
            if (status != 200 && status != 429) ++of.none;
        });
    }
    void record(std::string_view target, TimePoint now) {
        // /claim-read/ID/UNITS
        const std::size_t slash = target.rfind('/');
        const std::size_t before = target.rfind('/', slash - 1);
        std::size_t id = 0;
        int units = 0;
        std::from_chars(target.data() + before + 1, target.data() + slash, id);
        std::from_chars(target.data() + slash + 1, target.data() + target.size(), units);
        if (id >= customers_.size() || phases_.empty()) return;
        Customer& c = customers_[id];
        phases_.back().tallies[c.way].admitted += units;
        if (c.way == Way::OneGateway) skewed_.push_back({now, 0.0, static_cast<double>(units)});
        if (!counted_) return;
        if (c.ceiling.rate > 0.0) c.ceiling.take(units, now);
        c.quota_rate.take(units, now);
    }
    std::uint64_t calls() {
        run_task_on_reactor([this] {
            for (auto& g : gateways_) g->send_signal(SIGUSR1);
        });
        sleep_for(0.25);
        std::uint64_t all = 0;
        for (auto& g : gateways_) {
            const std::string text = g->log_text();
            const std::size_t at = text.rfind(" calls=");
            if (at != std::string::npos) all += std::strtoull(text.c_str() + at + 7, nullptr, 10);
        }
        return all;
    }
    void phase(const std::string& name, const std::function<void()>& what, double seconds = 0.0) {
        wait_until([this] { return all_ready(); }, 6.0);
        const bool healthy = name == "healthy";
        const std::uint64_t calls_before = healthy ? calls() : 0;
        const TimePoint calls_at = clock_.now();
        double cpu_before = 0.0;
        run_task_on_reactor([&] {
            phases_.push_back({});
            phases_.back().name = name;
            phases_.back().from = clock_.now();
            cpu_before = gateway_cpu_seconds();
            what();
            loaded_ = true;
            if (!std::exchange(loading_, true)) {
                ++load_;
                for (std::size_t i = 0; i < customers_.size(); ++i) arrive(i, load_);
            }
        });
        sleep_for(seconds > 0.0 ? seconds : seconds_);
        run_task_on_reactor([&] {
            Phase& p = phases_.back();
            p.to = clock_.now();
            p.seconds = secs(p.to - p.from);
            p.cpu = gateway_cpu_seconds() - cpu_before;
        });
        if (healthy) {
            const double all = static_cast<double>(calls() - calls_before);
            const double time = secs(clock_.now() - calls_at);
            run_task_on_reactor([&] { phases_.back().calls_per_s = all / time; });
        }
    }

    // ---- results ----
    double share(const Phase& p, Way way) const {
        const auto it = p.tallies.find(way);
        return it == p.tallies.end() || it->second.offered <= 0.0 ? 0.0
                                                                  : it->second.admitted / it->second.offered;
    }
    const Phase& named(const std::string& name) const {
        return *std::find_if(phases_.begin(), phases_.end(), [&](const Phase& p) { return p.name == name; });
    }
    // From the stores' return until the skewed customers have what they had before, for a second on end.
    double recovery() const {
        const double usual = share(named("healthy"), Way::OneGateway);
        for (double t = 0.0; t < seconds_ - 1.0; t += 0.1) {
            double offered = 0.0, admitted = 0.0;
            for (const Moment& m : skewed_) {
                const double since = secs(m.at - returned_);
                if (since < t || since >= t + 1.0) continue;
                offered += m.offered;
                admitted += m.admitted;
            }
            if (admitted >= 0.9 * usual * offered) return t;
        }
        return seconds_;
    }

    int report() {
        Json out = {{"experiment", "counter"}, {"seed", settings_.seed}};
        fmt::print("{:<20} {:>7} {:>7} {:>7} {:>7} {:>8} {:>9} {:>8}\n", "phase", "even", "one", "flood",
                   "small", "requests", "unserved", "cpu us");
        std::uint64_t asked = 0, answered = 0, none = 0;
        for (const Phase& p : phases_) {
            const std::string cpu =    // a gateway that was killed took its figure along
                p.cpu <= 0.0 ? "-" : fmt::format("{:.0f}", 1e6 * p.cpu / static_cast<double>(p.asked));
            fmt::print("{:<20} {:>7.3f} {:>7.3f} {:>7.3f} {:>7.3f} {:>8} {:>9} {:>8}\n", p.name,
                       share(p, Way::Even), share(p, Way::OneGateway), share(p, Way::Flood),
                       share(p, Way::Small), p.asked, p.none, cpu);
            asked += p.asked;
            answered += p.answered;
            none += p.none;
            Json admitted;
            for (const Way way : {Way::Even, Way::OneGateway, Way::Flood, Way::Small}) {
                const double healthy = share(named("healthy"), way);
                admitted[kWays[static_cast<int>(way)]] = healthy > 0.0 ? share(p, way) / healthy : 0.0;
            }
            out["admission_of_healthy"][p.name] = admitted;
        }
        double overshoot = 0.0, quota_rate = 0.0, pressed = 0.0;
        std::uint64_t lost = 0;
        for (const Phase& p : phases_) lost += p.none;
        for (const Customer& c : customers_) {
            const Plan& p = kPlans[static_cast<std::size_t>(c.plan)];
            if (p.rate_limit > 0.0) {
                const double allowed = slack(p) + kSlackSeconds * p.rate_limit;
                overshoot = std::max(overshoot, -c.ceiling.lowest / allowed);
                pressed = std::max(pressed, 1.0 - c.ceiling.lowest / c.ceiling.burst);
            }
            quota_rate = std::max(quota_rate, 1.0 - c.quota_rate.lowest / c.quota_rate.burst);
        }
        const Phase& plain = named("calm, no counter");
        const Phase& healthy = named("healthy");
        const double cpu_plain = plain.cpu / static_cast<double>(plain.asked);
        const double cpu_counter = named("calm").cpu / static_cast<double>(named("calm").asked);
        const double calls = healthy.calls_per_s / (static_cast<double>(healthy.asked) / healthy.seconds);
        const double even = out["admission_of_healthy"]["all killed"]["even"];
        const double one = out["admission_of_healthy"]["all killed"]["one"];
        const double back = recovery();
        std::vector<std::string> broken;
        const auto bound = [&](bool kept, const std::string& what) {
            if (!kept) broken.push_back(what);
        };
        bound(overshoot <= 1.0, "a ceiling was passed beyond its slack");
        bound(quota_rate <= 1.0, "a quota was passed beyond the stated bound");
        bound(asked == answered, "a request was left without an answer");
        bound(lost <= excused_, "a request failed at a gateway that was running");
        bound(pressed > 0.5, "no ceiling was ever half used: the load shows nothing");
        bound(orderly_, "a gateway did not end in order");
        bound(even >= 0.85, "even traffic fell under 85% with all counters gone");
        bound(one >= 0.60, "traffic through one gateway fell under 60% with all counters gone");
        bound(calls <= 0.05, "more than 0.05 counter calls a request");
        bound(back <= 2.0, "recovery took more than 2 s");
        const double added = cpu_counter / cpu_plain - 1.0;
        out.update(
            {{"worst_overshoot_of_slack", overshoot},
             {"ceiling_used", pressed},
             {"quota_of_stated_bound", quota_rate},
             {"requests", asked},
             {"answered", answered},
             {"unserved", none},
             {"calls_per_request", calls},
             {"requests_per_s_per_gateway", static_cast<double>(healthy.asked) / healthy.seconds / kGateways},
             {"cpu_us_per_request", 1e6 * cpu_counter},
             {"added_cpu", added},
             {"recovery_s", back},
             {"broken", broken}});
        fmt::print(
            "\novershoot {:.2f} of the slack, ceilings used up to {:.2f}; quota {:.2f} of the stated bound; "
            "{:.3f} calls a request; "
            "{:+.1f}% CPU a request; recovery {:.1f} s\n",
            overshoot, pressed, quota_rate, calls, 100.0 * added, back);
        for (const std::string& what : broken) fmt::print("BROKEN: {}\n", what);
        fmt::print("{}\n", out.dump());
        return broken.empty() ? 0 : 1;
    }

    double seconds_;
    std::mt19937_64 random_;
    std::vector<int> ports_;
    std::vector<std::unique_ptr<Process>> stores_;
    std::map<std::pair<int, std::size_t>, std::unique_ptr<FaultProxy>> relays_;
    std::shared_ptr<HttpLoadClient> leaving_;
    std::uint64_t excused_ = 0;    // were open at the gateway that was killed
    std::vector<Customer> customers_;
    std::vector<Phase> phases_;
    struct Moment {
        TimePoint at{};
        double offered = 0.0, admitted = 0.0;
    };
    std::vector<Moment> skewed_;    // of the customers that come through one gateway
    TimePoint returned_{};
    std::uint64_t requests_ = 0;
    int load_ = 0;
    bool calm_ = false, loaded_ = false, loading_ = false, counted_ = false, orderly_ = true;
};

}    // namespace
}    // namespace shaletray::testbed

int main(int, char** argv) {
    return shaletray::testbed::experiment_main(
        argv, 4.2, [](std::string programs, std::uint64_t seed, double seconds) {
            return shaletray::testbed::Experiment(std::move(programs), seed, seconds).run();
        });
}
