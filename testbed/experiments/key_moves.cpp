// Shard keys under faults: gateways and controllers as processes on loopback, and servers that run only
// requests whose keys they hold and judge whether two of them held one. Callers ask mostly for a few busy
// keys, which wander. First the load becomes even; then servers come, are drained, crash and stand still, and
// controllers are killed, one by one and together, the next fault often before the last one is over. In the
// end every key has to be granted to a server that runs.
//   SEED= draws the order, the victims and the moments. Under a minute; the last line is JSON; ends with 1
//   where a key had two owners or none for too long.
#include <fmt/format.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <random>
#include <set>

#include "gateway_fixture.h"
#include "system/fixture.h"

namespace shaletray::testbed {
namespace {

using Json = nlohmann::json;

constexpr int kMachineCount = 5, kControllerCount = 3, kServerCount = 8;
const std::string kService = "ledgers";
constexpr Duration kServiceTime{50'000}, kLatencyTarget{500'000}, kDeadline{1'200'000};
constexpr double kStartTimeout = 20.0, kPollInterval = 0.25;
constexpr double kBalanceTimeout = 15.0;
constexpr double kMaxBusiestLoad = 1.8;    // of the busiest server, in means
// Until a crash is noticed, and its keys' wait is over; and what follows from moves that it interrupts.
constexpr double kOwnedAgainTimeout = 20.0;
constexpr double kShortFreeze = 2.0, kLongFreeze = 8.0;    // below and above the time that a hold lasts
constexpr double kMinServedShare = 0.5;

// What a controller tells of the service's keys.
struct KeyState {
    std::size_t rows = 0, rows_not_granted = 0, rows_of_nobody = 0;
    double busiest_load = 0.0;
    std::uint64_t version = 0;
    bool all_owned() const { return rows > 0 && rows_not_granted == 0 && rows_of_nobody == 0; }
};

class KeyMoves {
public:
    KeyMoves(const std::string& programs, std::uint64_t seed)
        : seed_(seed), random_(seed * 31 + 7), fixture_(make_system(programs, seed)) {}

    int run() {
        if (const std::string reason = start_system(); !reason.empty()) {
            fmt::print("{}\n{}\n", reason, Json{{"experiment", "key-moves"}, {"error", reason}}.dump());
            fixture_.stop_all();
            return 2;
        }
        const double balanced_after = measure_until(kBalanceTimeout, [](const KeyState& state) {
            return state.all_owned() && state.busiest_load > 0.0 && state.busiest_load < kMaxBusiestLoad;
        });
        print_progress(fmt::format("the load is even after {:.1f} s", balanced_after));
        expectations_.expect(balanced_after >= 0.0, "the load did not become even");
        inject_faults();
        const double owned_after =
            measure_until(kOwnedAgainTimeout, [](const KeyState& state) { return state.all_owned(); });
        print_progress(fmt::format("every key is owned {:.1f} s after the last fault", owned_after));
        expectations_.expect(owned_after >= 0.0, "keys without an owner in the end");
        return finish(balanced_after, owned_after);
    }

private:
    static SystemPlan make_system(const std::string& programs, std::uint64_t seed) {
        SystemPlan plan = make_small_system("key-moves", programs, seed, kMachineCount, kControllerCount);
        plan.services = {{kService, kServerCount, 6, 400, kServiceTime, true}};
        plan.routes = {make_route("consult", kService, true, 90, kLatencyTarget, kDeadline, 0),
                       make_route("book", kService, false, 45, kLatencyTarget, kDeadline, 200)};
        return plan;
    }

    std::string start_system() {
        fixture_.start_all();
        for (int i = 0; i < kServerCount; ++i) fixture_.add_server(kService);
        const SystemFixture::CommandResult result =
            fixture_.replace_configuration(fixture_.make_configuration(1), kStartTimeout);
        if (result.status_code != 200)
            return fmt::format("the configuration got status {}", result.status_code);
        if (!fixture_.wait_servers_registered(kStartTimeout)) return "not every server is registered";
        if (!fixture_.wait_ready(kStartTimeout)) return "not every gateway is ready";
        started_at_ = clock_.now();
        fixture_.start_load();
        return {};
    }

    // ---- faults ----

    void inject_faults() {
        std::vector<std::function<void()>> faults = {
            [this] { add_servers(); },       [this] { drain_server(); },
            [this] { crash_server(); },      [this] { freeze_server(kShortFreeze); },
            [this] { kill_controllers(1); }, [this] { freeze_server(kLongFreeze); },
            [this] { freeze_controller(); }, [this] { kill_controllers(kControllerCount); }};
        std::shuffle(faults.begin(), faults.end(), random_);
        for (const auto& inject : faults) {
            inject();
            fixture_.run_for(0.2 + 2.5 * draw_fraction());
        }
    }
    void add_servers() {
        print_progress("two servers come");
        for (int i = 0; i < 2; ++i) fixture_.add_server(kService);
    }
    void drain_server() {
        const std::size_t victim = draw_server();
        print_progress(fixture_.server_id(victim) + " is drained");
        fixture_.drain_server(victim);
    }
    void crash_server() {
        const std::size_t victim = draw_server();
        print_progress(fixture_.server_id(victim) + " crashes");
        fixture_.crash_server(victim);
        fixture_.add_server(kService);
    }
    void freeze_server(double seconds) {
        const std::size_t victim = draw_server();
        print_progress(fmt::format("{} stands still for {:.0f} s", fixture_.server_id(victim), seconds));
        fixture_.set_server_frozen(victim, true);
        fixture_.run_for(seconds);
        fixture_.set_server_frozen(victim, false);
    }
    void kill_controllers(std::size_t count) {
        std::vector<std::string> victims = fixture_.node_names("controller");
        std::shuffle(victims.begin(), victims.end(), random_);
        victims.resize(std::min(count, victims.size()));
        print_progress(fmt::format("{} controllers are killed", victims.size()));
        for (const std::string& node : victims) fixture_.kill_node(node);
        fixture_.run_for(0.3 + draw_fraction());
        for (const std::string& node : victims) fixture_.start_node(node);
    }
    void freeze_controller() {
        const std::vector<std::string> nodes = fixture_.node_names("controller");
        const std::string& victim = nodes[random_() % nodes.size()];
        print_progress(fmt::format("{} stands still for {:.0f} s", victim, kShortFreeze));
        fixture_.freeze_node(victim);
        fixture_.run_for(kShortFreeze);
        fixture_.unfreeze_node(victim);
    }

    // ---- what is seen ----

    // By the controller that knows the newest table; servers that run and drain count as owners.
    KeyState look() {
        std::set<std::string> live;
        for (const std::size_t number : fixture_.live_servers_of(kService))
            live.insert(fixture_.server_id(number));
        KeyState newest;
        for (const auto& [node, text] : fixture_.status_pages("controller", "/ownership")) {
            const Json page = Json::parse(text);
            if (page["version"].get<std::uint64_t>() < newest.version || page["services"].empty()) continue;
            newest = read_state(page, live);
        }
        most_rows_ = std::max(most_rows_, newest.rows);
        return newest;
    }
    static KeyState read_state(const Json& page, const std::set<std::string>& live) {
        const Json& service = page["services"][0];
        KeyState state;
        state.version = page["version"];
        state.busiest_load = service.value("busiest_server_load", 0.0);
        for (const Json& row : service["rows"]) {
            ++state.rows;
            state.rows_not_granted += row["state"] != "granted";
            state.rows_of_nobody += !live.contains(row["owner"].get<std::string>());
        }
        return state;
    }
    // Seconds until the condition holds; below 0 if it does not in time.
    double measure_until(double timeout, const std::function<bool(const KeyState&)>& condition) {
        const TimePoint start = clock_.now();
        while (secs(clock_.now() - start) < timeout) {
            if (condition(look())) return secs(clock_.now() - start);
            fixture_.run_for(kPollInterval);
        }
        return -1.0;
    }

    int finish(double balanced_after, double owned_after) {
        fixture_.stop_load(3.0);
        for (const std::string& node : fixture_.unexpectedly_ended())
            expectations_.expect(false, node + " ended by itself");
        const SystemFixture::ShardStatistics shards = fixture_.shard_statistics();
        Json report = fixture_.make_report();
        fixture_.stop_all();
        expectations_.expect(
            shards.double_owners == 0,
            fmt::format("{} requests began on a key that two servers held", shards.double_owners));
        expectations_.expect_rules_kept(report["rules"]);
        const double due = report["due"], served = report["served"];
        expectations_.expect(due > 0.0 && served >= kMinServedShare * due,
                             fmt::format("{} of {} requests were served", served, due));
        Json result = {{"experiment", "key-moves"},
                       {"seed", seed_},
                       {"due", due},
                       {"served", served},
                       {"begun", shards.begun},
                       {"misdirected", shards.refused},
                       {"double_owners", shards.double_owners},
                       {"balanced_after_s", balanced_after},
                       {"owned_after_s", owned_after},
                       {"most_rows", most_rows_},
                       {"took_s", secs(clock_.now() - started_at_)}};
        return expectations_.print_report(result);
    }

    std::size_t draw_server() {
        const std::vector<std::size_t> live = fixture_.live_servers_of(kService);
        return live[random_() % live.size()];
    }
    double draw_fraction() { return std::uniform_real_distribution<double>(0.0, 1.0)(random_); }
    void print_progress(const std::string& what) const {
        fmt::print("{:>5.1f} s  {}\n", secs(clock_.now() - started_at_), what);
        std::fflush(stdout);
    }

    std::uint64_t seed_;
    std::mt19937_64 random_;
    SystemClock clock_;
    TimePoint started_at_ = clock_.now();
    std::size_t most_rows_ = 0;
    SystemFixture fixture_;
    Expectations expectations_;
};

int run_experiment(const std::string& programs, std::uint64_t seed, double) {
    install_signal_handlers();
    return KeyMoves(programs, seed).run();
}

}    // namespace
}    // namespace shaletray::testbed

int main(int, char** argv) {
    return shaletray::testbed::experiment_main(argv, 20.0, shaletray::testbed::run_experiment);
}
