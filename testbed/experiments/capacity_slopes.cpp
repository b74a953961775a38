// What the whole system costs by size: memory, processor time and bytes of its pure parts at several sizes,
// the line through them, and what that makes of the size that is asked for. Bounds that hold now are held;
// those that do not yet are told as missing, with their figure. In virtual time, without sockets; see
// docs/CAPACITY.md.
//   SEED= from the environment. Ends non-zero where a bound breaks that is stated as held.
#include <fmt/format.h>
#include <malloc.h>

#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <queue>
#include <random>
#include <stdexcept>
#include <string>
#include <vector>

#include "base/http/message.h"
#include "cluster/configuration/configuration.h"
#include "cluster/consensus/replicated_register.h"
#include "cluster/quota/quota_balancer.h"
#include "cluster/registry/service_registry.h"
#include "cluster/subscription/subscription.h"
#include "cluster/transport/frame.h"
#include "controller/api/control_command.h"
#include "controller/configuration_publisher.h"
#include "cost_series.h"
#include "gateway/http_mapping/upstream_hosts.h"
#include "simulated_membership.h"

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;

// ---- the size that is asked for, and what a gateway may spend beside carrying traffic ----
constexpr double kPilots = 3700, kLighthouses = 18, kServers = 120'000, kRoutes = 32'000, kTenants = 420'000,
                 kChangesADay = 11'000, kBeat = 1.5;    // s between two calls of a server
constexpr double kMostCpu = 0.031, kMostBytes = 24e3, kMostMemory = 128e6;
// ---- what is not stated and taken for it ----
constexpr double kTurns = 3;           // changes of a server's entry a day: it comes, drains and goes
constexpr double kActive = 2000;       // tenants whose requests reach one pilot within an idle store's time,
                                       // of all; for their messages the worst number is taken
constexpr int kServersOfOne = 30;      // servers of a service
constexpr double kMachineTurns = 4;    // starts of each machine a day
constexpr double kDay = 86'400;
constexpr double kWatched = 3, kSaid = 2;      // lighthouses of a pilot, and words to each a second
constexpr double kUdp = 28, kTcp = 52 + 52;    // bytes of headers: a datagram's; a segment's and its ACK's

template <class T>
T must(boost::leaf::result<T> result, const char* what) {
    if (!result) throw std::runtime_error(std::string("failed: ") + what);
    return std::move(*result);
}

TimePoint at(Duration since) { return TimePoint(std::chrono::hours(1)) + since; }

class Slopes {
public:
    explicit Slopes(std::uint64_t seed) : seed_(seed) {}
    int run();

private:
    Series& series(const std::string& name, const std::string& unit, const std::string& of) {
        return series_.try_emplace(name, name, unit, of).first->second;
    }
    double slope(const std::string& name) const { return series_.at(name).slope(); }
    double at(const std::string& name, double size) const { return series_.at(name).at(size); }
    void charts();
    void chart(std::size_t routes, std::size_t tenants);
    void servers();
    void servers(std::size_t count);
    void convoys();
    void tides();
    void tide_messages(int tenants);
    void modules();
    void lamps();
    void beats();
    void words();
    void pilot();
    void lighthouse();
    // `held`: stated as kept, else as missing as long as it is not.
    void bound(bool held, const std::string& what, double figure, double most, const std::string& unit);

    std::uint64_t seed_;
    std::map<std::string, Series> series_;
    std::map<std::string, double> figures_;
    nlohmann::json held_ = nlohmann::json::array(), missing_ = nlohmann::json::array(),
                   reached_ = nlohmann::json::array();
    std::vector<std::string> broken_;
};

// ---- charts ----

std::string chart_text(std::uint64_t version, std::size_t routes, std::size_t tenants) {
    std::string text = fmt::format(
        R"({{"revision":"r{}","routes":{{"columns":["name","hostname","path_prefix","route_type","timeout",)"
        R"("target_latency","priority","max_attempts","public","service"],"rows":[)",
        version);
    const std::size_t services = std::max<std::size_t>(1, routes / 8);
    for (std::size_t i = 0; i < routes; ++i)
        text += fmt::format(
            R"({}["r-{:07}","h{}.example","/p{:06}/","idempotent","2500ms","600ms",1,2,false,"s{:05}"])",
            i == 0 ? "" : ",", i, i % 5000, i, i % services);
    text += R"(]},"services":{"columns":["name","health_check","max_connections","protocol","tls"],"rows":[)";
    for (std::size_t i = 0; i < services; ++i)
        text += fmt::format(R"({}["s{:05}","/health",140,"h1",false])", i == 0 ? "" : ",", i);
    text += R"(]},"tenants":{"columns":["name","api_keys","priority","rate_per_s","burst"],"rows":[)";
    for (std::size_t i = 0; i < tenants; ++i)
        text += fmt::format(R"({}["t{:06}",["k{:06}aaaaaaaaaaaaa","l{:06}bbbbbbbbbbbbb"],1,150,150])",
                            i == 0 ? "" : ",", i, i, i);
    return text + "]}}";
}

void Slopes::chart(std::size_t routes, std::size_t tenants) {
    const bool by_route = tenants == 0;
    const char* of = by_route ? "route" : "tenant";
    const double size = static_cast<double>(by_route ? routes : tenants);
    const auto add = [&](const std::string& what, const std::string& unit, double value) {
        series(fmt::format("chart.{}.{}", what, of), unit, of).add(size, value);
    };
    std::string text = chart_text(1, routes, tenants);
    add("text", "bytes", static_cast<double>(text.size()));
    malloc_trim(0);
    double heap = heap_in_use();
    std::optional<configuration::Chart> read;
    add("read", "us", 1e6 * cpu_of([&] { read = must(configuration::read_chart(text), "read_chart"); }));
    add("rows", "bytes", heap_in_use() - heap);
    heap = heap_in_use();
    std::optional<configuration::Table> table;
    add("index_time", "us", 1e6 * cpu_of([&] { table.emplace(*read); }));
    add("index", "bytes", heap_in_use() - heap);

    // One row changes.
    configuration::Chart next = *read;
    next.version = 2;
    if (by_route) next.routes[routes / 2].timeout += 1ms;
    else (*next.tenants)[tenants / 2].api_keys.push_back("another-key-of-twenty");
    std::string patch, whole;
    add("write_patch", "us", 1e6 * cpu_of([&] { patch = configuration::write_patch(*read, next); }));
    add("write_whole", "us", 1e6 * cpu_of([&] { whole = configuration::write_whole(next); }));
    add("patch", "bytes", static_cast<double>(patch.size()));
    add("whole", "bytes", static_cast<double>(whole.size()));
    std::optional<configuration::Chart> taken;
    add("take_patch", "us", 1e6 * cpu_of([&] {
                                taken = must(configuration::read_update(*read, patch), "patch");
                                (void)configuration::digest_of(*taken);
                            }));
    add("take_whole", "us",
        1e6 * cpu_of([&] { (void)must(configuration::read_update({}, whole), "whole"); }));
    add("take_whole_peak", "bytes",
        peak_of([&] { (void)configuration::Table(must(configuration::read_update({}, whole), "whole")); }));
    heap = heap_in_use();
    std::optional<configuration::Table> after;
    add("index_patched", "us", 1e6 * cpu_of([&] { after.emplace(std::move(*taken), *table); }));
    add("both_at_once", "bytes", heap_in_use() - heap);

    // What a request looks up.
    std::mt19937_64 random(seed_);
    constexpr int kLooks = 100'000;
    std::vector<std::string> asked;
    for (int i = 0; i < 1000; ++i) {
        const std::uint64_t row = random() % static_cast<std::uint64_t>(size);
        asked.push_back(by_route ? fmt::format("/p{:06}/1a2b3c", row)
                                 : fmt::format("k{:06}aaaaaaaaaaaaa", row));
    }
    std::size_t found = 0;
    const double took = cpu_of([&] {
        for (int i = 0; i < kLooks; ++i) {
            const std::string& a = asked[static_cast<std::size_t>(i) % asked.size()];
            if (by_route)
                found +=
                    table->route(fmt::format("h{}.example", std::stoul(a.substr(2, 6)) % 5000), a) != nullptr;
            else found += table->tenant(a) != nullptr;
        }
    });
    if (found != kLooks) throw std::runtime_error("a look-up found nothing");
    add("look_up", "ns", 1e9 * took / kLooks);
}

void Slopes::charts() {
    for (const std::size_t routes : {4'000, 8'000, 16'000, 32'000}) chart(routes, 0);
    for (const std::size_t tenants : {52'500, 105'000, 210'000, 420'000}) chart(8, tenants);
}

// ---- servers ----

std::string server_id(std::size_t i) { return fmt::format("i-{:08x}", i * 2654435761U); }

std::string beat_body(std::size_t i, int calls, const char* state) {
    return fmt::format(
        R"({{"address":"10.{}.{}.{}:8080","system_info":{{"service":"s{:05}","revision":"v1","zone":"zone-{}",)"
        R"("capacity":6}},"status":{{"state":"{}","call_count":{},"ramp_left":"0ms"}}}})",
        100 + i / 62'500, i / 250 % 250, i % 250, i / 30, i % 6, state, calls);
}

bool call(registry::Muster& muster, std::size_t i, int calls, const char* state, TimePoint now) {
    const auto command = must(
        control_api::decode("POST", "/members/" + server_id(i) + "/heartbeat", beat_body(i, calls, state)),
        "beat");
    return muster.beat(std::get<control_api::Beat>(command).beat, now);
}

void Slopes::servers(std::size_t count) {
    const double size = static_cast<double>(count);
    const auto add = [&](const std::string& what, const std::string& unit, double value) {
        series("servers." + what, unit, "server").add(size, value);
    };
    TimePoint now = testbed::at(0s);
    double heap = heap_in_use();
    registry::Muster muster(registry::Muster::Settings{"10.0.0.1:7100", 5, 1500ms, 4});
    for (std::size_t i = 0; i < count; ++i) call(muster, i, 1, "in_service", now);
    add("muster", "bytes", heap_in_use() - heap);
    now = testbed::at(500ms);
    add("muster_tick", "us", 1e6 * cpu_of([&] { muster.tick(now); }));

    // A pilot that comes gets all of them.
    std::string all;
    add("tell_all", "us", 1e6 * cpu_of([&] { all = muster.changes(0, false, now); }));
    add("all", "bytes", static_cast<double>(all.size()));
    heap = heap_in_use();
    registry::Roster roster;
    add("take_all", "us", 1e6 * cpu_of([&] { (void)must(roster.take(all, now), "roster"); }));
    add("roster", "bytes", heap_in_use() - heap);
    heap = heap_in_use();
    http_mapping::Fleet fleet({{"zone-0", "zone-1", "zone-2", "zone-3", "zone-4", "zone-5"}, 0ms});
    (void)fleet.take(roster.servers(), now);
    add("fleet", "bytes", heap_in_use() - heap);
    add("fleet_turn", "us", 1e6 * cpu_of([&] { (void)fleet.take(roster.servers(), now); }));

    // One of them drains; 617 pilots report to this lighthouse.
    controller::Gallery gallery(controller::Gallery::Settings{.life = 5}, muster);
    std::vector<controller::Gallery::Send> out;
    subscription::Have have{.life = 1,
                            .version = 0,
                            .digest = 0,
                            .known_life = 5,
                            .known_sequence = muster.sequence(),
                            .counts = 3700};
    const auto pilots = static_cast<std::size_t>(kPilots * kWatched / kLighthouses);
    add("answer_pilots", "us", 1e6 * cpu_of([&] {
                                   for (std::size_t i = 0; i < pilots; ++i) {
                                       out.clear();
                                       gallery.heard(fmt::format("10.1.{}.{}:7101", i / 250, i % 250), have,
                                                     now, out);
                                   }
                               }) / static_cast<double>(pilots));
    call(muster, count / 2, 2, "draining", now);
    out.clear();
    add("tell_one", "us", 1e6 * cpu_of([&] { gallery.tell(now, out); }));
    add("one", "bytes", static_cast<double>(out.at(0).bytes.size()));
    const std::string change = muster.changes(have.known_sequence, false, now);
    add("take_one", "us", 1e6 * cpu_of([&] { (void)must(roster.take(change, now), "change"); }));
    // A word without a change.
    const std::string none = muster.changes(muster.sequence(), false, now);
    constexpr int kWords = 20;
    add("take_none", "us", 1e6 * cpu_of([&] {
                               for (int i = 0; i < kWords; ++i) {
                                   now += 10ms;
                                   (void)must(roster.take(none, now), "none");
                               }
                           }) / kWords);
}

void Slopes::servers() {
    for (const std::size_t count : {15'000, 30'000, 60'000, 120'000}) servers(count);
}

// A lighthouse's share of the beats: HTTP, JSON, the muster. Without the sockets.
void Slopes::beats() {
    const auto count = static_cast<std::size_t>(kServers / kLighthouses);
    registry::Muster muster(registry::Muster::Settings{"10.0.0.1:7100", 5, 1500ms, 4});
    for (std::size_t i = 0; i < count; ++i) call(muster, i, 1, "in_service", testbed::at(0s));
    std::vector<std::string> messages;
    std::size_t taken = 0;
    double took = 0.0;
    for (int round = 2; round < 6; ++round) {
        messages.clear();
        for (std::size_t i = 0; i < count; ++i) {
            const std::string body = beat_body(i, round, "in_service");
            messages.push_back(
                fmt::format("POST /members/{}/heartbeat HTTP/1.1\r\nHost: 10.0.0.1:8042\r\n"
                            "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
                            server_id(i), body.size(), body));
        }
        took += cpu_of([&] {
            http::Buffer buffer;
            http::Parser parser(http::Parser::Kind::Request);
            for (const std::string& message : messages) {
                buffer.append(message);
                if (parser.parse(buffer) != http::Status::Done) throw std::runtime_error("a beat not parsed");
                const auto command = must(
                    control_api::decode(parser.method(buffer), parser.target(buffer), parser.body(buffer)),
                    "beat");
                taken += muster.beat(std::get<control_api::Beat>(command).beat, testbed::at(round * 1500ms));
                buffer.consume(parser.size());
                parser.reset();
            }
        });
    }
    if (taken != 4 * count) throw std::runtime_error("beats were not taken");
    figures_["beats_a_core_second"] = static_cast<double>(taken) / took;
    figures_["us_a_beat"] = 1e6 * took / static_cast<double>(taken);
}

// ---- members ----

void Slopes::convoys() {
    for (const int members : {10, 30, 100, 300, 1000, 3700}) {
        const double size = members;
        const bool stood_in = members > 300;
        const double heap = heap_in_use();
        Crowd crowd(members, stood_in ? 6 : members, std::min(18, members / 4 + 1), seed_);
        crowd.run(20s);
        if (!crowd.complete()) throw std::runtime_error("a convoy that does not know all after 20 s");
        series("convoy.memory", "bytes", "member")
            .add(size, (heap_in_use() - heap) / static_cast<double>(crowd.real()));
        const Crowd::Figures f = crowd.measure(20s);
        const double wire =
            f.sent *
            (kUdp +
             static_cast<double>(
                 transport::write_datagram(transport::Kind::Convoy, "10.1.100.100:7101", 1, "").size()));
        series("convoy.bytes", "bytes/s", "member").add(size, f.bytes_out + f.bytes_in + 2 * wire);
        series("convoy.datagrams", "a second", "member").add(size, f.sent);
        series("convoy.time", "us/s", "member").add(size, 1e6 * f.cpu);
        if (stood_in || members < 30) continue;
        // One starts anew: what that costs each of the others.
        double bytes = 0.0;
        constexpr int kTimes = 3;
        for (int i = 0; i < kTimes; ++i) {
            crowd.replace(members / 2 + i);
            const Crowd::Figures busy = crowd.measure(15s);
            bytes += 15.0 * std::max(0.0, busy.bytes_out + busy.bytes_in - f.bytes_out - f.bytes_in);
        }
        series("convoy.start", "bytes", "member").add(size, bytes / kTimes);
    }
}

// ---- quotas ----

void Slopes::tides() {
    for (const int tenants : {52'500, 105'000, 210'000, 420'000}) {
        std::map<std::string, quota::Quota> quotas;
        for (int i = 0; i < tenants; ++i) quotas[fmt::format("t{:06}", i)] = {150.0, 150.0};
        const double heap = heap_in_use();
        quota::Tide tide(quota::Settings{.me = "10.1.0.1:7101", .life = 1}, testbed::at(0s));
        tide.quotas(quotas, testbed::at(0s));
        series("tide.configured", "bytes", "tenant").add(tenants, heap_in_use() - heap);
        quotas["t000007"].rate += 1.0;
        series("tide.change", "us", "tenant").add(tenants, 1e6 * cpu_of([&] {
                                                               tide.quotas(quotas, testbed::at(1s));
                                                           }));
        // The map that the caller makes for it.
        std::map<std::string, quota::Quota> made;
        series("tide.change_made", "us", "tenant").add(tenants, 1e6 * cpu_of([&] {
                                                                    for (const auto& [name, quota] : quotas)
                                                                        made[name] = quota;
                                                                }));
    }
    for (const int pilots : {10, 100, 1000, 3700}) {
        quota::Tide tide(quota::Settings{.me = "10.1.0.1:7101", .life = 1}, testbed::at(0s));
        quota::Peers peers;
        for (int i = 0; i < pilots; ++i)
            peers.ring.push_back(fmt::format("10.1.{}.{}:7101", i / 250, i % 250 + 1));
        std::sort(peers.ring.begin(), peers.ring.end());
        peers.divisor = static_cast<std::uint32_t>(pilots);
        constexpr int kTimes = 20;
        const double took = cpu_of([&] {
            for (int i = 0; i < kTimes; ++i) {
                peers.refill_until = testbed::at(10s + i * 250ms);
                tide.peers(peers, testbed::at(i * 250ms));
            }
        });
        series("tide.peers", "us", "pilot").add(pilots, 1e6 * took / kTimes);
    }
    for (const int tenants : {30, 100, 300, 1000}) tide_messages(tenants);
}

// 24 pilots, 60 requests a second each, over so many tenants; each has 1.7 times what is asked of it.
void Slopes::tide_messages(int tenants) {
    constexpr int kRing = 24;
    constexpr double kAsked = 60.0;
    struct Mail {
        TimePoint at;
        std::uint64_t order;
        int to;
        std::string from, bytes;
        bool operator<(const Mail& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
    };
    std::mt19937_64 random(seed_);
    std::map<std::string, quota::Quota> quotas;
    std::vector<std::string> names;
    const double rate = 1.7 * kRing * kAsked / tenants;
    for (int i = 0; i < tenants; ++i) {
        names.push_back(fmt::format("t{:06}", i));
        quotas[names.back()] = {rate, rate};
    }
    quota::Peers peers;
    for (int i = 0; i < kRing; ++i) peers.ring.push_back(fmt::format("10.1.0.{}:7101", 100 + i));
    peers.divisor = kRing;
    const double heap = heap_in_use();
    std::vector<std::unique_ptr<quota::Tide>> tides;
    TimePoint now = testbed::at(0s);
    for (int i = 0; i < kRing; ++i) {
        tides.push_back(std::make_unique<quota::Tide>(
            quota::Settings{.me = peers.ring[static_cast<std::size_t>(i)], .life = 1, .seed = random()},
            now));
        tides.back()->quotas(quotas, now);
    }
    std::priority_queue<Mail> mail;
    std::uint64_t order = 0;
    const auto carry = [&](int from, const quota::Actions& out) {
        for (const auto& send : out.sends) {
            const int to = std::stoi(send.to.substr(7, 3)) - 100;
            mail.push({now + 1ms, ++order, to, peers.ring[static_cast<std::size_t>(from)], send.bytes});
        }
    };
    const auto sum = [&] {
        quota::Counts all;
        for (const auto& t : tides) {
            const quota::Counts c = t->counts();
            all.sent += c.sent;
            all.sent_bytes += c.sent_bytes;
            all.stores += c.stores;
            all.granted += c.granted;
        }
        return all;
    };
    quota::Counts before;
    double took = 0.0;
    const TimePoint warm = now + 15s, end = warm + 10s;
    for (bool counted = false; now < end; now += 5ms) {
        if (!counted && now >= warm) {
            counted = true;
            before = sum();
            took = 0.0;
        }
        if ((now - testbed::at(0s)) % 250ms == 0ms) {
            peers.refill_until = now + 10s;
            for (auto& t : tides) t->peers(peers, now);
        }
        took += cpu_of([&] {
            for (int i = 0; i < kRing; ++i) {
                quota::Actions out;
                quota::Tide& t = *tides[static_cast<std::size_t>(i)];
                while (!mail.empty() && mail.top().at <= now) {
                    const Mail m = mail.top();
                    mail.pop();
                    quota::Actions answer;
                    tides[static_cast<std::size_t>(m.to)]->heard(m.from, m.bytes, now, answer);
                    carry(m.to, answer);
                }
                if (static_cast<double>(random() % 1000) < 1000.0 * kAsked * 0.005) {
                    Duration retry{0};
                    (void)t.ask(names[random() % names.size()], 100ms, now, retry);
                }
                if (t.next() <= now) t.tick(now, out);
                carry(i, out);
            }
        });
    }
    const quota::Counts after = sum();
    const double by = kRing * 10.0;
    const double around =
        kUdp + static_cast<double>(
                   transport::write_datagram(transport::Kind::Tide, "10.1.100.100:7101", 1, "").size());
    series("tide.bytes", "bytes/s", "active tenant")
        .add(tenants, 2.0 *
                          (static_cast<double>(after.sent_bytes - before.sent_bytes) +
                           around * static_cast<double>(after.sent - before.sent)) /
                          by);
    series("tide.messages", "a second", "active tenant")
        .add(tenants, static_cast<double>(after.sent - before.sent) / by);
    series("tide.time", "us/s", "active tenant").add(tenants, 1e6 * took / by);
    series("tide.stores", "bytes", "active tenant").add(tenants, (heap_in_use() - heap) / kRing);
    figures_[fmt::format("tide_granted_part_at_{}_tenants", tenants)] =
        static_cast<double>(after.granted - before.granted) / (kAsked * by);
}

// ---- the decisions ----

// A pilot's decision modules, one a service, with nothing to decide.
void Slopes::modules() {
    for (const int services : {125, 250, 500, 1000}) {
        const double heap = heap_in_use();
        std::vector<decision::Gateway> modules;
        std::vector<TimePoint> due;
        decision::Settings s;
        s.gateways = s.sharing = static_cast<int>(kPilots);
        s.classes.resize(8);
        for (int i = 0; i < services; ++i) {
            modules.emplace_back(s, seed_ + static_cast<std::uint64_t>(i));
            decision::HostList list;
            for (std::uint32_t host = 1; host <= kServersOfOne; ++host) {
                list.hosts.emplace_back();
                list.hosts.back().host = decision::HostId{host};
            }
            std::vector<decision::Action> actions;
            modules.back().handle(testbed::at(0s), list, actions);
            due.push_back(testbed::at(10ms));
        }
        series("module.memory", "bytes", "service").add(services, heap_in_use() - heap);
        const auto second = [&](TimePoint from) {
            for (TimePoint now = from; now < from + 1s; now += 10ms) {
                for (std::size_t i = 0; i < modules.size(); ++i) {
                    if (due[i] > now) continue;
                    std::vector<decision::Action> actions;
                    modules[i].handle(now, decision::TimerFired{0}, actions);
                    due[i] = now + 1s;
                    for (const decision::Action& a : actions)
                        if (const auto* timer = std::get_if<decision::SetTimer>(&a))
                            due[i] = std::min(due[i], timer->at);
                }
            }
        };
        second(testbed::at(0s));
        series("module.time", "us/s", "service").add(services, 1e6 * cpu_of([&] {
                                                                   second(testbed::at(1s));
                                                               }));
    }
}

// ---- the register ----

// NOLINTNEXTLINE(readability-function-size): to be split
void Slopes::lamps() {
    for (const std::size_t megabytes : {1, 2, 4, 8}) {
        constexpr int kCrew = 5;
        std::vector<std::string> founders;
        for (int i = 0; i < kCrew; ++i) founders.push_back(fmt::format("10.0.0.{}:7100", i + 1));
        std::vector<consensus::Lamp> crew;
        TimePoint now = testbed::at(0s);
        for (int i = 0; i < kCrew; ++i) {
            consensus::Settings s;
            s.me = {founders[static_cast<std::size_t>(i)], 0};
            s.founders = founders;
            s.seed = static_cast<std::uint64_t>(i) + 1;
            crew.emplace_back(s, consensus::Saved{}, now);
        }
        struct Letter {
            int from, to;
            std::string bytes;
        };
        std::deque<Letter> way;
        double bytes = 0.0;
        bool settled = false;
        std::function<void(int, consensus::Actions&&)> carry = [&](int from, consensus::Actions&& out) {
            for (auto& store : out.stores) {
                consensus::Actions more;
                crew[static_cast<std::size_t>(from)].stored(store.token, now, more);
                carry(from, std::move(more));
            }
            for (auto& send : out.sends) {
                bytes += from == 0 ? static_cast<double>(send.bytes.size()) : 0.0;
                way.push_back({from, send.to[7] - '1', std::move(send.bytes)});
            }
            for (const auto& done : out.done) settled = settled || done.answer == consensus::Answer::Settled;
        };
        const auto settle = [&](std::uint64_t version) {
            bytes = 0.0;
            settled = false;
            std::string text(megabytes * 1'000'000, 'x');
            for (std::size_t i = 0; i < text.size(); i += 37) text[i] = static_cast<char>('a' + i % 23);
            text[0] = static_cast<char>('a' + version);
            return cpu_of([&] {
                consensus::Actions out;
                crew[0].propose(version, version, std::move(text), now + 10s, now, out);
                carry(0, std::move(out));
                for (int step = 0; step < 2000 && (!settled || !way.empty()); ++step) {
                    if (way.empty()) {
                        now += 10ms;
                        for (int i = 0; i < kCrew; ++i) {
                            consensus::Actions due;
                            crew[static_cast<std::size_t>(i)].tick(now, due);
                            carry(i, std::move(due));
                        }
                        continue;
                    }
                    const Letter letter = std::move(way.front());
                    way.pop_front();
                    consensus::Actions more;
                    crew[static_cast<std::size_t>(letter.to)].heard(
                        founders[static_cast<std::size_t>(letter.from)], letter.bytes, now, more);
                    carry(letter.to, std::move(more));
                }
            });
        };
        settle(1);
        const double took = settle(2);
        if (!settled) throw std::runtime_error("a decree that was not settled");
        const double size = static_cast<double>(megabytes);
        series("lamp.told", "MB", "MB of text").add(size, bytes / 1e6);
        series("lamp.time", "ms", "MB of text").add(size, 1e3 * took / kCrew);
    }
}

// ---- words between pilots and lighthouses ----

void Slopes::words() {
    subscription::Have have{.life = 1'700'000'000'000'001,
                            .version = 812,
                            .digest = 0x1234567890abcdef,
                            .known_life = 1'700'000'000'000'002,
                            .known_sequence = 1'000'000,
                            .counts = 3700};
    registry::Muster muster(registry::Muster::Settings{"10.0.0.1:7100", 5, 1500ms, 4});
    call(muster, 1, 1, "in_service", testbed::at(0s));
    subscription::News news{.life = 1'700'000'000'000'002,
                            .confirmed = true,
                            .version = 812,
                            .digest = 0x1234567890abcdef,
                            .update = {},
                            .since = 1'000'000,
                            .sequence = 1'000'000,
                            .servers = muster.changes(muster.sequence(), false, testbed::at(1s))};
    const auto frame = [](std::string_view bytes) {
        return static_cast<double>(
            transport::write_frame(transport::Kind::Watch, "10.1.100.100:7101", 1, bytes).size());
    };
    figures_["have_bytes"] = frame(subscription::encode(have));
    figures_["news_bytes"] = frame(subscription::encode(news));
    const std::string said = subscription::encode(have), heard = subscription::encode(news);
    constexpr int kTimes = 2000;
    figures_["us_a_word"] = 1e6 / kTimes * cpu_of([&] {
                                for (int i = 0; i < kTimes; ++i) {
                                    (void)subscription::encode(have);
                                    (void)must(subscription::decode_news(heard), "news");
                                }
                            });
}

// ---- what it comes to ----

void Slopes::bound(bool held, const std::string& what, double figure, double most, const std::string& unit) {
    const bool kept = figure <= most;
    const nlohmann::json row = {{"what", what}, {"figure", figure}, {"most", most}, {"unit", unit}};
    fmt::print("  {:9} {:66} {:>10.4g} of {:g} {}\n",
               held ? (kept ? "held" : "BROKEN") : (kept ? "reached" : "missing"), what, figure, most, unit);
    if (held) held_.push_back(row);
    if (held && !kept) broken_.push_back(what);
    if (!held) (kept ? reached_ : missing_).push_back(row);
}

void Slopes::pilot() {
    const double said = kWatched * kSaid;                    // words a second, each way
    const double changes = kChangesADay / kDay;              // of the configuration, a second
    const double turns = kServers * kTurns / kDay;           // of servers, a second
    const double starts = kPilots * kMachineTurns / kDay;    // of machines, a second
    std::map<std::string, double> cpu, memory, bytes;
    cpu["convoy"] = 1e-6 * at("convoy.time", kPilots);
    cpu["words of lighthouses"] = 1e-6 * said * (figures_["us_a_word"] + at("servers.take_none", kServers));
    cpu["servers that change"] = 1e-6 * turns * kWatched * at("servers.take_one", kServers);
    cpu["servers' sizes looked at twice a second"] = 1e-6 * 2.0 * at("servers.fleet_turn", kServers);
    cpu["charts that change"] =
        1e-6 * changes *
        (at("chart.take_patch.route", kRoutes) + at("chart.index_patched.route", kRoutes) +
         at("chart.take_patch.tenant", kTenants) + at("chart.index_patched.tenant", kTenants));
    cpu["quotas gone through at each change"] =
        1e-6 * changes * (at("tide.change", kTenants) + at("tide.change_made", kTenants));
    cpu["quotas: messages and grants"] = 1e-6 * series_.at("tide.time").most();
    cpu["decision modules that rest"] = 1e-6 * at("module.time", kServers / kServersOfOne);
    cpu["quotas: the ring, four times a second"] = 1e-6 * 4.0 * at("tide.peers", kPilots);
    memory["members"] = at("convoy.memory", kPilots);
    memory["routes"] = at("chart.rows.route", kRoutes) + at("chart.index.route", kRoutes);
    memory["tenants and keys"] = at("chart.rows.tenant", kTenants) + at("chart.index.tenant", kTenants);
    memory["decision modules"] = at("module.memory", kServers / kServersOfOne);
    memory["a second chart while it changes"] =
        at("chart.both_at_once.route", kRoutes) + at("chart.both_at_once.tenant", kTenants);
    memory["roster"] = at("servers.roster", kServers);
    memory["fleet"] = at("servers.fleet", kServers);
    memory["quotas configured"] = at("tide.configured", kTenants);
    memory["quotas in use"] = slope("tide.stores") * kActive;
    bytes["convoy, calm"] = at("convoy.bytes", kPilots);
    bytes["convoy, starts of machines"] = starts * series_.at("convoy.start").most();
    bytes["words of lighthouses"] = said * (figures_["have_bytes"] + figures_["news_bytes"] + kTcp);
    bytes["servers that change"] = turns * kWatched * (at("servers.one", kServers) + kTcp);
    bytes["charts that change"] = changes * kWatched * (at("chart.patch.tenant", kTenants) + kTcp);
    bytes["quotas, at their worst number of tenants"] = series_.at("tide.bytes").most();
    const auto total = [&](const char* what, const std::map<std::string, double>& parts) {
        double sum = 0.0;
        fmt::print("a pilot's {}:\n", what);
        for (const auto& [part, value] : parts) {
            fmt::print("  {:44} {:>12.5g}\n", part, value);
            sum += value;
        }
        return sum;
    };
    const double all_cpu = total("cores", cpu), all_memory = total("bytes of memory", memory),
                 all_bytes = total("bytes a second, both ways", bytes);
    figures_["pilot_cores"] = all_cpu;
    figures_["pilot_memory"] = all_memory;
    figures_["pilot_bytes_a_second"] = all_bytes;
    fmt::print("a pilot's bounds:\n");
    bound(true, "members: bytes a second of the convoy in calm", bytes["convoy, calm"], 4e3, "bytes/s");
    bound(true, "members: cores", cpu["convoy"], 0.002, "cores");
    bound(true, "members: memory", memory["members"], 4e6, "bytes");
    bound(true, "a chart's change: bytes of one row's patch", at("chart.patch.tenant", kTenants), 2e3,
          "bytes");
    bound(true, "a chart's change: patch and index, s",
          1e-6 * (at("chart.take_patch.tenant", kTenants) + at("chart.index_patched.tenant", kTenants)), 0.3,
          "s");
    bound(true, "routes: memory", memory["routes"], 24e6, "bytes");
    bound(true, "a look-up of a route and a key",
          1e-3 * (at("chart.look_up.route", kRoutes) + at("chart.look_up.tenant", kTenants)), 10.0, "us");
    bound(true, "words of lighthouses that tell nothing new", cpu["words of lighthouses"], 0.001, "cores");
    bound(true, "a server's change: told, taken", 1e-6 * at("servers.take_one", kServers), 1e-3, "s");
    bound(true, "bytes a second but for quotas",
          all_bytes - bytes["quotas, at their worst number of tenants"], 12e3, "bytes/s");
    bound(false, "cores, all of the above", all_cpu, kMostCpu, "cores");
    bound(false, "servers' sizes looked at twice a second", cpu["servers' sizes looked at twice a second"],
          0.002, "cores");
    bound(false, "quotas gone through at each change", cpu["quotas gone through at each change"], 0.002,
          "cores");
    bound(false, "decision modules that rest", cpu["decision modules that rest"], 0.005, "cores");
    bound(false, "memory, all of the above", all_memory, kMostMemory, "bytes");
    const double peak =
        at("chart.take_whole_peak.route", kRoutes) + at("chart.take_whole_peak.tenant", kTenants);
    figures_["pilot_memory_peak"] = all_memory - memory["routes"] - memory["tenants and keys"] + peak;
    bound(false, "memory, while a whole chart is taken in", figures_["pilot_memory_peak"], kMostMemory,
          "bytes");
    bound(false, "bytes a second of quotas", bytes["quotas, at their worst number of tenants"], 6e3,
          "bytes/s");
    bound(false, "bytes a second, all of the above", all_bytes, kMostBytes, "bytes/s");
    bound(false, "seconds to take the first whole in at 24 KB/s",
          (at("chart.whole.route", kRoutes) + at("chart.whole.tenant", kTenants) +
           at("servers.all", kServers)) /
              kMostBytes,
          60.0, "s");
}

void Slopes::lighthouse() {
    const double changes = kChangesADay / kDay, turns = kServers * kTurns / kDay;
    const double beats = kServers / kBeat / kLighthouses, pilots = kPilots * kWatched / kLighthouses;
    const double text = 1e-6 * (at("chart.text.route", kRoutes) + at("chart.text.tenant", kTenants));
    figures_["beats_a_second_a_lighthouse"] = beats;
    figures_["text_mb"] = text;
    std::map<std::string, double> cpu;
    cpu["beats, without their sockets"] = 1e-6 * beats * figures_["us_a_beat"];
    cpu["pilots' words answered"] = 1e-6 * pilots * kSaid * at("servers.answer_pilots", kServers);
    cpu["servers that change told"] = 1e-6 * turns * at("servers.tell_one", kServers);
    cpu["silence looked for, four times a second"] = 1e-6 * 4.0 * at("servers.muster_tick", kServers);
    cpu["configurations read"] =
        1e-6 * changes * (at("chart.read.route", kRoutes) + at("chart.read.tenant", kTenants));
    cpu["decrees"] = 1e-3 * changes * at("lamp.time", text);
    fmt::print("a lighthouse's cores ({:.0f} beats a second, {:.0f} pilots, texts of {:.0f} MB):\n", beats,
               pilots, text);
    double all = 0.0;
    for (const auto& [part, value] : cpu) {
        fmt::print("  {:44} {:>12.5g}\n", part, value);
        all += value;
    }
    figures_["lighthouse_cores"] = all;
    figures_["lighthouse_memory"] = at("servers.muster", kServers) + at("chart.rows.route", kRoutes) +
                                    at("chart.rows.tenant", kTenants) + 3e6 * text +
                                    at("convoy.memory", kPilots);
    fmt::print("a lighthouse's bounds:\n");
    bound(true, "beats: a core's share of those it carries", beats / figures_["beats_a_core_second"], 0.2,
          "cores");
    bound(true, "cores, all of the above", all, 0.5, "cores");
    bound(false, "MB a second told of texts, each as a whole to a crew of five",
          changes * at("lamp.told", text), 1.0, "MB/s");
    bound(false, "memory, with three texts", figures_["lighthouse_memory"], 256e6, "bytes");
}

int Slopes::run() {
    beats();
    words();
    convoys();
    tides();
    modules();
    lamps();
    servers();
    charts();
    for (const auto& [name, s] : series_) fmt::print("{}\n", s.line());
    fmt::print("one lighthouse core: {:.0f} beats a second, {:.2f} us each\n",
               figures_["beats_a_core_second"], figures_["us_a_beat"]);
    pilot();
    lighthouse();
    nlohmann::json out = {{"experiment", "capacity-slopes"},
                          {"seed", seed_},
                          {"held", held_},
                          {"missing", missing_},
                          {"reached", reached_},
                          {"figures", figures_},
                          {"broken", broken_}};
    for (const auto& [name, s] : series_) out["slopes"][name] = s.json();
    fmt::print("{}\n", out.dump());
    return broken_.empty() ? 0 : 1;
}

}    // namespace
}    // namespace shaletray::testbed

int main() {
    try {
        const char* text = std::getenv("SEED");
        return shaletray::testbed::Slopes(text != nullptr ? std::strtoull(text, nullptr, 10) : 1).run();
    } catch (const std::exception& e) {
        fmt::print(stderr, "{}\n", e.what());
        return 2;
    }
}
