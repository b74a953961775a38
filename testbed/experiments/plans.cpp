// Plans changed in service, and use billed once, over three real gateways: customers move between plans,
// plans change, a batch is reserved, while gateways and the exporter are killed with SIGKILL and the billing
// endpoint loses answers, forgets and is replaced. What the servers saw, what the files hold and what the
// endpoint got are compared by customer and plan version. Prints tables, then a line of JSON; ends non-zero
// where a bound breaks.
//   SEED= SECONDS_PER_PHASE= STORE_ROWS= from the environment, the programs beside this one.
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <fmt/format.h>
#include <sys/resource.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <random>
#include <set>

#include "balancer/usage/export.h"
#include "data_plane/plans/plan_table.h"
#include "gateway_fixture.h"
#include "stand_ins/billing.h"

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;
using Json = nlohmann::json;

constexpr int kGateways = 3;
constexpr int kCustomers = 24;
constexpr double kMostUnits = 2.0;
// A change may be acted on so much later than it should, by a gateway that was down or did not hear; and a
// try may be recorded so much before a worker sees it, where it was held.
constexpr Duration kApart = 400ms, kHeld = 2200ms;
constexpr double kSlackSeconds = 0.15;

// Ceilings as high as the quotas, so that customers who ask for more than those are always at them.
const std::vector<FixturePlan> kPlans = {{"equipo", 8.0, 24.0, 9.0, 27.0, 2.7},
                                         {"empresa", 20.0, 60.0, 22.0, 66.0, 6.6}};

struct Try {
    int customer = 0, units = 0;
    TimePoint sent{}, seen{};
    bool was_seen = false, answered = false;
};

struct Phase {
    std::string name;
    double seconds = 0.0, cpu = 0.0, admitted = 0.0;
    std::uint64_t asked = 0, answered = 0, broken = 0, changes = 0, refused = 0, kills = 0;
};

class Experiment : GatewayFixture {
public:
    Experiment(std::string programs, std::uint64_t seed, double seconds)
        : GatewayFixture({"plans", std::move(programs), seed, kGateways, 4, kMostUnits, kPlans},
                         [this](int, std::string_view target, TimePoint at) { record(target, at); }),
          seconds_(seconds),
          random_(seed),
          billing_(seed) {
        std::filesystem::create_directories(directory_ / "journal");
    }
    ~Experiment() override { stop_thread(); }

    int run() {
        store_port_ = find_free_port();
        store_ = std::make_unique<Process>(
            std::vector<std::string>{settings_.program_directory + "/counter_stand_in", "--port",
                                     std::to_string(store_port_)},
            std::map<std::string, std::string>{}, (directory_ / "store.log").string());
        for (int g = 0; g < kGateways; ++g) start_gateway(g, cue(g, false));
        start_thread();
        phase("shared counter only", seconds_);
        restart_all(true);
        start_exporter();
        phase("plans and records on", seconds_);
        phase("changes in service", seconds_, [this] { changing_ = true; });
        const Json calm = status();
        billing_.faults({0.1, 0.1, 0.1, 0.05, 0.1, 0.1});
        phase("changes and kills", 3.0 * seconds_, [this] {
            killing_ = true;
            kill_gateway();
            kill_exporter();
        });
        run_task_on_reactor([this] { loaded_ = changing_ = killing_ = false; });
        sleep_for(2.6);    // the last answers
        run_task_on_reactor([this] {
            for (auto& g : gateways_) g->send_signal(SIGTERM);
        });
        sleep_for(1.2);
        run_task_on_reactor([this] {
            for (auto& g : gateways_) orderly_ = g->terminate() == 0 && orderly_;
        });
        exporter_.reset();
        billing_.faults({});
        posts_in_service_ = billing_.posts();
        const bool exported = export_all();
        reconciled_ = tool({"usage", "reconcile"});
        stop_thread();
        return report(calm, exported);
    }

private:
    std::string cue(int g, bool all) const {
        std::string text = fmt::format("counter: stores: [{{address: \"127.0.0.1:{}\"}}]\n", store_port_);
        if (!all) return text;
        text += fmt::format(
            "plans: {{\n\tbook: \"{0}/book{1}\"\n\tkeeper: {2}\n\tprecedence: \"book\"\n\tcontrol: "
            "\"{0}/c{1}\"\n"
            "\tlead: \"1500ms\"\n}}\n",
            directory_.string(), g, g == 0);
        return text + usage_cue();
    }
    std::string usage_cue() const {
        return fmt::format(
            "usage: {{\n\tjournal: \"{0}/journal\"\n\tsegment_rows: 512\n\tstore: \"{0}/use.db\"\n\tfiles: "
            "\"{0}/out\"\n"
            "\tendpoint: \"{1}\"\n\tevery: \"100ms\"\n\tcheck_every: \"300ms\"\n\ttimeout: "
            "\"300ms\"\n\tlines: 20\n"
            "\tplans: [\"equipo\", \"empresa\"]\n\tclasses: [\"claim-read\"]\n}}\n",
            directory_.string(), billing_.url());
    }
    void restart_all(bool all) {
        run_task_on_reactor([this] { loaded_ = false; });
        sleep_for(2.4);
        run_task_on_reactor([&] {
            for (int g = 0; g < kGateways; ++g) {
                start_gateway(g, cue(g, all));
            }
            recording_ = all;
        });
    }
    void start_exporter() {
        const auto file = directory_ / "usage.cue";
        std::ofstream(file) << usage_cue();
        exporter_ = std::make_unique<Process>(
            std::vector<std::string>{settings_.program_directory + "/shaletray", "usage", "--settings",
                                     file.string(), "run", "--all"},
            std::map<std::string, std::string>{{"SHALETRAY_SETTINGS", file.string()}},
            (directory_ / fmt::format("exporter.{}.log", ++exporters_)).string());
    }
    int tool(const std::vector<std::string>& words) {
        std::string line = fmt::format("SHALETRAY_SETTINGS='{}/usage.cue' '{}/shaletray'",
                                       directory_.string(), settings_.program_directory);
        for (const std::string& word : words) line += " " + word;
        return std::system((line + " > '" + (directory_ / "tool.log").string() + "' 2>&1").c_str());
    }
    bool export_all() {
        for (int i = 0; i < 20; ++i)
            if (tool({"usage", "export", "--all"}) == 0) return true;
        return false;
    }

    // ---- what is done to it ----
    void kill_gateway() {
        if (!killing_) return;
        const int g = static_cast<int>(random_() % kGateways);
        schedule_after(real(0.8, 2.0), [this] { kill_gateway(); });
        if (!load_clients_[g]) return;    // it is just starting
        leaving_.push_back(std::exchange(load_clients_[g], nullptr));
        gateways_[static_cast<std::size_t>(g)]->kill();
        ++phases_.back().kills;
        start_gateway(g, cue(g, true));
    }
    void kill_exporter() {
        if (!killing_) return;
        exporter_->kill();
        ++phases_.back().kills;
        start_exporter();
        if (random_() % 4 == 0) billing_.copy();
        if (random_() % 6 == 0) billing_.replace();
        schedule_after(real(0.3, 1.2), [this] { kill_exporter(); });
    }
    // From this thread, as an operator does it. Nothing where the gateway does not answer.
    Json ask(int g, const Json& what) {
        try {
            Poco::Net::StreamSocket socket;
            socket.connect(Poco::Net::SocketAddress(Poco::Net::SocketAddress::UNIX_LOCAL,
                                                    (directory_ / fmt::format("c{}", g)).string()),
                           Poco::Timespan(0, 300000));
            socket.setReceiveTimeout(Poco::Timespan(1, 0));
            const std::string line = what.dump() + "\n";
            socket.sendBytes(line.data(), static_cast<int>(line.size()));
            std::string answer;
            char chunk[65536];
            while (answer.find('\n') == std::string::npos) {
                const int n = socket.receiveBytes(chunk, sizeof chunk);
                if (n <= 0) return {};
                answer.append(chunk, static_cast<std::size_t>(n));
            }
            return Json::parse(answer, nullptr, false);
        } catch (const Poco::Exception&) {
            return {};
        }
    }
    Json status() {
        Json all = Json::array();
        for (int g = 0; g < kGateways; ++g) all.push_back(ask(g, {{"do", "status"}}));
        return all;
    }
    void change() {
        Json c = {
            {"do", "propose"}, {"author", "experiment"}, {"request", fmt::format("x{}", ++requests_made_)}};
        const auto pick = [&](int n) {
            return static_cast<int>(changes_random_() % static_cast<unsigned>(n));
        };
        std::string subject;
        if (pick(6) == 0) {
            const FixturePlan& p = kPlans[static_cast<std::size_t>(pick(2))];
            const double by = 0.7 + 0.1 * pick(7);
            subject = "plan:" + p.name;
            c.update({{"kind", "define"},
                      {"plan", p.name},
                      {"like", p.name},
                      {"rate", p.rate * by},
                      {"burst", p.burst * by},
                      {"ceiling_rate", p.rate_limit * by},
                      {"ceiling_burst", p.rate_limit_burst * by},
                      {"ceiling_slack", p.rate_limit_slack}});
        } else if (pick(6) == 0) {
            const std::string id = fmt::format("batch{}", requests_made_);
            const std::int64_t now = clock_.now().time_since_epoch().count();
            const int customer = pick(kCustomers);
            subject = "reservation:" + id;
            c.update({{"kind", "reserve"},
                      {"id", id},
                      {"customer",
                       plans::format_customer(plans::CustomerId{static_cast<std::uint64_t>(customer + 1)})},
                      {"units", 4.0},
                      {"from", now + 2'500'000},
                      {"until", now + 6'000'000},
                      {"plan", "equipo"}});
        } else {
            const std::string id =
                plans::format_customer(plans::CustomerId{static_cast<std::uint64_t>(pick(kCustomers) + 1)});
            subject = "customer:" + id;
            c.update({{"kind", "assign"}, {"customer", id}, {"plan", pick(2) ? "empresa" : "equipo"}});
        }
        const auto newest = newest_.find(subject);
        if (newest != newest_.end()) c["against"] = newest->second;
        Json answer = ask(0, c);
        if (!answer.is_object()) answer = ask(0, c);    // the keeper was killed, perhaps after it made it
        const bool made = answer.is_object() && answer.value("ok", false);
        if (made) newest_[subject] = answer["version"];
        else if (answer.is_object() && answer.contains("newest")) newest_[subject] = answer["newest"];
        if (made && c["kind"] == "reserve") {
            const int customer =
                static_cast<int>(*plans::parse_customer(c["customer"].get<std::string>())) - 1;
            run_task_on_reactor([&] {
                reservations_[customer] = {c["id"].get<std::string>(),
                                           TimePoint(Duration(c["from"].get<std::int64_t>()))};
            });
        }
        run_task_on_reactor([&] { ++(made ? phases_.back().changes : phases_.back().refused); });
    }

    // ---- load ----
    double real(double a, double b) { return std::uniform_real_distribution<>(a, b)(random_); }
    void arrive(int customer, int load) {
        if (!loaded_ || load != load_) return;
        // Each asks for about as much as the larger plan gives; a third of them far more.
        const double rate = customer % 3 == 0 ? 36.0 : customer % 3 == 1 ? 12.0 : 4.0;
        schedule_after(-std::log(real(1e-9, 1.0)) * 1.5 / rate,
                       [this, customer, load] { arrive(customer, load); });
        int g = static_cast<int>(random_() % kGateways);
        for (int k = 0; k < kGateways && !load_clients_[g]; ++k) g = (g + 1) % kGateways;
        if (!load_clients_[g]) return;
        const std::size_t number = tries_.size();
        Try t;
        t.customer = customer;
        t.units = static_cast<int>(random_() % 2) + 1;
        t.sent = clock_.now();
        std::string reservation;
        if (const auto it = reservations_.find(customer);
            it != reservations_.end() && t.sent > it->second.second && random_() % 2 == 0)
            reservation = "X-Reservation: " + it->second.first + "\r\n";
        tries_.push_back(t);
        const std::size_t at = phases_.size() - 1;
        ++phases_[at].asked;
        const std::string request = fmt::format(
            "GET /claim-read/{} HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: {:x}\r\nX-Tier: equipo\r\n"
            "Cookie: customer={:016x}\r\nX-Call-Terms: units={},spread={},first=0\r\nX-Time-Left: "
            "2000m\r\n{}\r\n",
            number, number + 1, customer + 1, t.units, kGateways, reservation);
        load_clients_[g]->send_request(request, [this, at, number](int status, Duration) {
            ++phases_[at].answered;
            if (status == 200 || status == 429) tries_[number].answered = true;
            else ++phases_[at].broken;
        });
    }
    void record(std::string_view target, TimePoint now) {
        const std::size_t slash = target.rfind('/');
        std::size_t number = 0;
        std::from_chars(target.data() + slash + 1, target.data() + target.size(), number);
        if (number >= tries_.size() || tries_[number].was_seen)
            return;    // a second attempt is no second try
        Try& t = tries_[number];
        t.was_seen = true;
        t.seen = now;
        phases_.back().admitted += t.units;
        if (recording_) seen_.push_back(number);
        else before_.insert(number);
    }
    void phase(
        const std::string& name, double seconds, const std::function<void()>& what = [] {}) {
        if (!wait_until([this] { return all_ready(); }, 6.0))
            throw std::runtime_error("the gateways do not come up");
        double before = 0.0;
        run_task_on_reactor([&] {
            phases_.push_back({});
            phases_.back().name = name;
            before = gateway_cpu_seconds();
            what();
            if (!std::exchange(loaded_, true)) {
                ++load_;
                for (int i = 0; i < kCustomers; ++i) arrive(i, load_);
            }
        });
        const TimePoint from = clock_.now();
        while (secs(clock_.now() - from) < seconds) {
            if (changing_) change();
            sleep_for(changing_ ? 0.12 : 0.05);
        }
        run_task_on_reactor([&] {
            Phase& p = phases_.back();
            p.seconds = secs(clock_.now() - from);
            p.cpu = gateway_cpu_seconds() - before;
        });
    }

    // ---- results ----
    using Key = std::pair<int, std::uint64_t>;    // customer, plan version
    struct Sum {
        std::uint64_t rows = 0;
        std::int64_t units = 0;
        bool operator==(const Sum&) const = default;
    };
    static void add_line(const Json& line, std::map<Key, Sum>& to, std::uint64_t& redeemed) {
        const int customer =
            static_cast<int>(*plans::parse_customer(line["customer"].get<std::string>())) - 1;
        Sum& sum = to[{customer, line["plan_version"].get<std::uint64_t>()}];
        sum.rows += line["rows"].get<std::uint64_t>();
        sum.units += std::llround(line["units"].get<double>() * 1e6);
        if (line["reservation"].get<std::uint64_t>() > 0) redeemed += line["rows"].get<std::uint64_t>();
    }
    // NOLINTNEXTLINE(readability-function-size): to be split
    int report(const Json& calm, bool exported) {
        // What the files and the endpoint have.
        std::map<Key, Sum> filed, received;
        std::set<std::pair<std::uint64_t, std::uint64_t>> lines;
        std::uint64_t duplicates = 0, redeemed = 0, ignored = 0;
        for (const auto& entry : std::filesystem::directory_iterator(directory_ / "out")) {
            if (entry.path().extension() != ".jsonl") continue;
            std::ifstream in(entry.path());
            for (std::string text; std::getline(in, text);) {
                const Json line = Json::parse(text);
                duplicates += !lines.emplace(line["batch"], line["line"]).second;
                add_line(line, filed, redeemed);
            }
        }
        for (const auto& [exporter, batches] : billing_.batches()) {
            for (const auto& [id, body] : batches) {
                std::istringstream in(body);
                for (std::string text; std::getline(in, text);)
                    add_line(Json::parse(text), received, ignored);
            }
        }
        // What the servers saw, by the plan versions that may have been in force when it was taken.
        plans::PlanTableSettings b;
        for (const FixturePlan& p : kPlans) {
            decision::PlanSettings platform;
            platform.name = p.name;
            platform.rate = p.rate;
            platform.burst = p.burst;
            platform.ceiling_rate = p.rate_limit;
            platform.ceiling_burst = p.rate_limit_burst;
            b.platform_plans.push_back(platform);
        }
        b.table_overrides_request = true;
        plans::PlanTable book(b);
        std::ifstream in(directory_ / "book0");
        for (std::string line; std::getline(in, line);) book.append(plans::parse_change(line));
        std::map<Key, Sum> certain;
        std::map<int, std::vector<std::pair<std::set<std::uint64_t>, std::int64_t>>> unsure;
        std::map<int, Sum> saw, billed;
        for (const std::size_t number : seen_) {
            const Try& t = tries_[number];
            std::set<std::uint64_t> versions;
            for (TimePoint at = t.sent - kApart;
                 at <= std::max(t.sent, std::min(t.seen, t.sent + kHeld)) + kApart; at += 50ms)
                versions.insert(book.effective_plan_for(
                                        plans::CustomerId{static_cast<std::uint64_t>(t.customer + 1)}, 0, at)
                                    .terms_version);
            saw[t.customer].rows += 1;
            saw[t.customer].units += t.units * 1'000'000LL;
            if (versions.size() == 1) {
                Sum& sum = certain[{t.customer, *versions.begin()}];
                sum.rows += 1;
                sum.units += t.units * 1'000'000LL;
            }
        }
        // Recorded and not seen: only where the gateway was killed between the record and the worker's
        // reading.
        std::map<int, std::uint64_t> excused;
        std::uint64_t all_excused = 0;
        for (std::size_t i = 0; i < tries_.size(); ++i) {
            if (before_.contains(i) || tries_[i].was_seen || tries_[i].answered) continue;
            ++excused[tries_[i].customer];
            ++all_excused;
        }
        std::uint64_t missing = 0, extra = 0, unexcused = 0, rows = 0;
        std::int64_t units = 0;
        for (const auto& [key, sum] : filed) {
            billed[key.first].rows += sum.rows;
            billed[key.first].units += sum.units;
            rows += sum.rows;
            units += sum.units;
        }
        for (int c = 0; c < kCustomers; ++c) {
            if (billed[c].rows < saw[c].rows) missing += saw[c].rows - billed[c].rows;
            if (billed[c].rows > saw[c].rows) {
                extra += billed[c].rows - saw[c].rows;
                if (billed[c].rows - saw[c].rows > excused[c])
                    unexcused += billed[c].rows - saw[c].rows - excused[c];
            }
            if (billed[c].rows == saw[c].rows && billed[c].units != saw[c].units) ++missing;
        }
        std::uint64_t misplaced = 0;    // surely of a version, and not billed to it
        for (const auto& [key, sum] : certain) {
            const auto it = filed.find(key);
            const std::uint64_t have = it == filed.end() ? 0 : it->second.rows;
            if (have < sum.rows) misplaced += sum.rows - have;
        }
        const double overshoot = worst_overshoot(book);
        const Phase &plain = phases_[0], &on = phases_[1];
        const double cpu_plain = plain.cpu / static_cast<double>(plain.asked);
        const double cpu_on = on.cpu / static_cast<double>(on.asked);
        double behind = 0.0, late = 0.0;
        for (const Json& s : calm) {
            if (!s.is_object()) continue;
            behind = std::max(behind, s.value("behind_us", 0.0) / 1000.0);
            late += s.value("late", 0.0);
        }
        std::uint64_t asked = 0, answered = 0, changes = 0, kills = 0;
        fmt::print("{:<24} {:>7} {:>8} {:>8} {:>8} {:>8} {:>7} {:>6} {:>7}\n", "phase", "seconds", "asked",
                   "answered", "broken", "changes", "refused", "kills", "cpu us");
        for (const Phase& p : phases_) {
            fmt::print("{:<24} {:>7.1f} {:>8} {:>8} {:>8} {:>8} {:>7} {:>6} {:>7}\n", p.name, p.seconds,
                       p.asked, p.answered, p.broken, p.changes, p.refused, p.kills,
                       p.kills > 0 ? "-" : fmt::format("{:.0f}", 1e6 * p.cpu / static_cast<double>(p.asked)));
            asked += p.asked;
            answered += p.answered;
            changes += p.changes;
            kills += p.kills;
        }
        fmt::print(
            "\nseen by servers {} rows, in files {} rows and {:.1f} units, {} of them redeemed; missing {}, "
            "duplicates {}, of another version {}\n",
            seen_.size(), rows, static_cast<double>(units) / 1e6, redeemed, missing, duplicates + unexcused,
            misplaced);
        fmt::print("recorded and killed before a server read it: {} of {} open at kills; endpoint {} posts\n",
                   extra, all_excused, billing_.posts());
        fmt::print(
            "a change is acted on within {:.1f} ms, {} late; overshoot {:.2f} of the slack, ceilings used up "
            "to {:.2f}\n",
            behind, late, overshoot, pressed_);
        const double speed = export_speed();
        const double opening = opening_time();
        fmt::print("export to files {:.0f} rows/s; opening a store of {} lines {:.3f} s\n", speed,
                   store_rows(), opening);
        std::vector<std::string> broken;
        const auto bound = [&](bool kept, const std::string& what) {
            if (!kept) broken.push_back(what);
        };
        bound(exported, "the exporter did not get done");
        bound(posts_in_service_ >= 10, "the exporter did nothing while there was load");
        bound(reconciled_ == 0, "reconcile found differences");
        bound(missing == 0, "a row is missing");
        bound(duplicates + unexcused == 0, "a row is there twice");
        bound(misplaced == 0, "a row was billed to another plan version");
        bound(filed == received, "the endpoint has not what the files have");
        bound(asked == answered, "a request was left without an end");
        bound(orderly_, "a gateway did not end in order");
        bound(overshoot <= 1.0, "a ceiling was passed beyond its slack");
        bound(pressed_ > 0.5, "no ceiling was ever half used up: the load shows nothing");
        bound(behind <= 50.0, "a change was acted on more than 50 ms after its time");
        bound(late == 0, "a change was heard of late while nobody was killed");
        bound(changes >= 20 && kills >= 5 && redeemed > 0, "too little happened: this shows nothing");
        bound(speed >= 50'000.0, "fewer than 50,000 rows a second to files");
        bound(opening <= 1.0, "opening the store took more than a second");
        for (const std::string& what : broken) fmt::print("BROKEN: {}\n", what);
        const Json out = {
            {"experiment", "plans"},
            {"seed", settings_.seed},
            {"rows", rows},
            {"units", static_cast<double>(units) / 1e6},
            {"seen_by_servers", seen_.size()},
            {"redeemed", redeemed},
            {"duplicates", duplicates + unexcused},
            {"missing", missing},
            {"of_another_version", misplaced},
            {"recorded_and_killed", extra},
            {"changes", changes},
            {"kills", kills},
            {"worst_overshoot_of_slack", overshoot},
            {"ceiling_used", pressed_},
            {"acted_within_ms", behind},
            {"cpu_us_per_request_off", 1e6 * cpu_plain},
            {"cpu_us_per_request_on", 1e6 * cpu_on},
            {"added_cpu", cpu_on / cpu_plain - 1.0},
            {"requests_per_s_per_gateway", static_cast<double>(on.asked) / on.seconds / kGateways},
            {"bytes_per_row", usage_log::kSlotSize},
            {"export_rows_per_s", speed},
            {"open_s", opening},
            {"broken", broken}};
        fmt::print("{}\n", out.dump());
        return broken.empty() ? 0 : 1;
    }
    // Against a bucket by the largest ceiling that any gateway may have gone by.
    double worst_overshoot(const plans::PlanTable& book) {
        double worst = 0.0;
        std::vector<std::size_t> order = seen_;
        std::sort(order.begin(), order.end(),
                  [&](std::size_t a, std::size_t c) { return tries_[a].seen < tries_[c].seen; });
        for (int c = 0; c < kCustomers; ++c) {
            double level = 0.0;
            TimePoint last{};
            for (const std::size_t number : order) {
                const Try& t = tries_[number];
                if (t.customer != c) continue;
                double rate = 0.0, cap = 0.0;
                for (TimePoint at = t.seen - kApart; at <= t.seen + kApart; at += 50ms) {
                    const auto f =
                        book.effective_plan_for(plans::CustomerId{static_cast<std::uint64_t>(c + 1)}, 0, at)
                            .terms;
                    rate = std::max(rate, f.ceiling_rate);
                    cap = std::max(cap, f.ceiling_burst);
                }
                level = last == TimePoint{} ? cap : std::min(cap, level + rate * secs(t.seen - last));
                last = t.seen;
                level -= t.units;
                pressed_ = std::max(pressed_, 1.0 - level / cap);
                worst = std::max(worst, -level / (std::max(kMostUnits, 0.1 * cap) + kSlackSeconds * rate));
            }
        }
        return worst;
    }

    // ---- the exporter by itself ----
    static std::uint64_t store_rows() {
        static const auto kRows =
            static_cast<std::uint64_t>(number_from_environment("STORE_ROWS", 400'000, 1000, 2e7));
        return kRows;
    }
    usage::CollectorSettings bulk() const {
        usage::CollectorSettings c;
        c.journal_directory = (directory_ / "bulk").string();
        c.store_path = (directory_ / "bulk.db").string();
        c.max_batch_lines = 20'000;
        return c;
    }
    // As many rows as lines: the case in which nothing can be added up.
    double export_speed() {
        usage_log::FileSystem& files = usage_log::real_file_system();
        const auto c = bulk();
        std::filesystem::create_directories(c.journal_directory);
        std::filesystem::create_directories(directory_ / "bulk-out");
        const std::uint32_t slots = 65536;
        usage_log::SegmentWriter writer(
            {c.journal_directory, 1, 1, slots, 1000},
            std::make_unique<usage_log::Segment>(files, c.journal_directory,
                                                 usage_log::SegmentHeader{1, slots, 1, 0, 1}));
        usage_log::UsageRecord use;
        for (std::uint64_t i = 0; i < store_rows(); ++i) {
            if (writer.needs_next_segment())
                writer.set_next_segment(std::make_unique<usage_log::Segment>(files, c.journal_directory,
                                                                             writer.next_segment_header()));
            use.customer = usage_log::CustomerId{(i * 7919) % 100'003};
            use.admitted_at =
                TimePoint(Duration(static_cast<std::int64_t>(1'700'000'000'000'000ULL + i * 6000)));
            use.unit_millionths = 1'500'000;
            writer.append(use);
        }
        writer.close_segments(files);
        const auto began = std::chrono::steady_clock::now();
        usage::UsageCollector collector(c, files);
        collector.ingest_records();
        collector.seal_batches(clock_.now(), true);
        usage::FileExport(collector, files, (directory_ / "bulk-out").string(),
                          usage::ExportFormat::JsonLines, {})
            .export_batches();
        const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
        // The last segment's writer is this process still; its rows count once it lets go.
        return static_cast<double>(collector.exported_totals().record_count) / took;
    }
    double opening_time() const {
        const auto began = std::chrono::steady_clock::now();
        usage::UsageCollector collector(bulk(), usage_log::real_file_system());
        const std::uint64_t sealed = collector.last_sealed_batch();
        const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
        return sealed > 0 ? took : 1e9;
    }

    double seconds_;
    std::mt19937_64 random_, changes_random_{7};
    StandInBilling billing_;
    int store_port_ = 0;
    std::unique_ptr<Process> store_, exporter_;
    std::vector<Try> tries_;
    std::vector<std::size_t>
        seen_;                        // tries, in the order in which workers saw them, since records are kept
    std::set<std::size_t> before_;    // those of the time before
    std::vector<Phase> phases_;
    std::vector<std::shared_ptr<HttpLoadClient>> leaving_;
    std::map<std::string, std::uint64_t> newest_;
    std::map<int, std::pair<std::string, TimePoint>> reservations_;    // by customer
    int load_ = 0, exporters_ = 0, reconciled_ = 1;
    double pressed_ = 0.0;    // the most of a ceiling's store that was ever used
    std::uint64_t requests_made_ = 0, posts_in_service_ = 0;
    bool loaded_ = false, changing_ = false, killing_ = false, recording_ = false, orderly_ = true;
};

}    // namespace
}    // namespace shaletray::testbed

int main(int, char** argv) {
    return shaletray::testbed::experiment_main(
        argv, 6, [](std::string programs, std::uint64_t seed, double seconds) {
            return shaletray::testbed::Experiment(std::move(programs), seed, seconds).run();
        });
}
