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
#include "cluster/configuration/configuration_digest.h"
#include "cluster/configuration/configuration_index.h"
#include "cluster/configuration/configuration_parser.h"
#include "cluster/configuration/configuration_update.h"
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
constexpr double kTargetGateways = 3700, kTargetControllers = 18, kTargetServers = 120'000,
                 kTargetRoutes = 32'000, kTargetTenants = 420'000, kChangesPerDay = 11'000,
                 kHeartbeatInterval = 1.5;    // s between two calls of a server
constexpr double kMaxCpuFraction = 0.031, kMaxBytesPerSecond = 24e3, kMaxMemoryBytes = 128e6;
// ---- what is not stated and taken for it ----
constexpr double kServerChangesPerDay = 3;    // changes of a server's entry a day: it comes, drains and goes
constexpr double kActiveTenants = 2000;       // tenants whose requests reach one pilot within an idle store's
                                              // time, of all; for their messages the worst number is taken
constexpr int kServersPerService = 30;        // servers of a service
constexpr double kMachineStartsPerDay = 4;    // starts of each machine a day
constexpr double kSecondsPerDay = 86'400;
constexpr double kControllersPerGateway = 3,
                 kMessagesPerSecond = 2;    // lighthouses of a pilot, and words to each a second
constexpr double kUdpHeaderBytes = 28,
                 kTcpHeaderBytes = 52 + 52;    // bytes of headers: a datagram's; a segment's and its ACK's

template <class T>
T value_or_throw(boost::leaf::result<T> result, const char* what) {
    if (!result) throw std::runtime_error(std::string("failed: ") + what);
    return std::move(*result);
}

TimePoint time_at(Duration since) { return TimePoint(std::chrono::hours(1)) + since; }

class CapacitySlopes {
public:
    explicit CapacitySlopes(std::uint64_t seed) : seed_(seed) {}
    int run_all();

private:
    Series& series(const std::string& name, const std::string& unit, const std::string& of) {
        return series_.try_emplace(name, name, unit, of).first->second;
    }
    double slope(const std::string& name) const { return series_.at(name).slope(); }
    double value_at(const std::string& name, double size) const { return series_.at(name).value_at(size); }
    void measure_configurations();
    void measure_configuration(std::size_t routes, std::size_t tenants);
    void measure_servers();
    void measure_servers(std::size_t count);
    void measure_memberships();
    void measure_quota_balancers();
    void measure_quota_messages(int tenants);
    void measure_decision_modules();
    void measure_consensus();
    void measure_heartbeats();
    void measure_messages();
    void project_gateway();
    void project_controller();
    // `held`: stated as kept, else as missing as long as it is not.
    void check_bound(bool held, const std::string& what, double figure, double most, const std::string& unit);

    std::uint64_t seed_;
    std::map<std::string, Series> series_;
    std::map<std::string, double> figures_;
    nlohmann::json enforced_bounds_ = nlohmann::json::array(), missed_targets_ = nlohmann::json::array(),
                   reached_targets_ = nlohmann::json::array();
    std::vector<std::string> violations_;
};

// ---- charts ----

std::string configuration_text(std::uint64_t version, std::size_t routes, std::size_t tenants) {
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

void CapacitySlopes::measure_configuration(std::size_t routes, std::size_t tenants) {
    const bool by_route = tenants == 0;
    const char* of = by_route ? "route" : "tenant";
    const double size = static_cast<double>(by_route ? routes : tenants);
    const auto add = [&](const std::string& what, const std::string& unit, double value) {
        series(fmt::format("chart.{}.{}", what, of), unit, of).add(size, value);
    };
    std::string text = configuration_text(1, routes, tenants);
    add("text", "bytes", static_cast<double>(text.size()));
    malloc_trim(0);
    double heap = heap_bytes_in_use();
    std::optional<configuration::Configuration> read;
    add("read", "us", 1e6 * cpu_seconds_of([&] {
                          read = value_or_throw(configuration::parse_configuration(text), "read_chart");
                      }));
    add("rows", "bytes", heap_bytes_in_use() - heap);
    heap = heap_bytes_in_use();
    std::optional<configuration::ConfigurationIndex> table;
    add("index_time", "us", 1e6 * cpu_seconds_of([&] { table.emplace(*read); }));
    add("index", "bytes", heap_bytes_in_use() - heap);

    // One row changes.
    configuration::Configuration next = *read;
    next.version = 2;
    if (by_route) next.routes[routes / 2].timeout += 1ms;
    else (*next.tenants)[tenants / 2].api_keys.push_back("another-key-of-twenty");
    std::string patch, whole;
    add("write_patch", "us", 1e6 * cpu_seconds_of([&] { patch = configuration::write_delta(*read, next); }));
    add("write_whole", "us", 1e6 * cpu_seconds_of([&] { whole = configuration::write_full(next); }));
    add("patch", "bytes", static_cast<double>(patch.size()));
    add("whole", "bytes", static_cast<double>(whole.size()));
    std::optional<configuration::Configuration> taken;
    add("take_patch", "us", 1e6 * cpu_seconds_of([&] {
                                taken = value_or_throw(configuration::apply_update(*read, patch), "patch");
                                (void)configuration::digest_of(*taken);
                            }));
    add("take_whole", "us",
        1e6 * cpu_seconds_of([&] { (void)value_or_throw(configuration::apply_update({}, whole), "whole"); }));
    add("take_whole_peak", "bytes", peak_memory_of([&] {
            (void)configuration::ConfigurationIndex(
                value_or_throw(configuration::apply_update({}, whole), "whole"));
        }));
    heap = heap_bytes_in_use();
    std::optional<configuration::ConfigurationIndex> after;
    add("index_patched", "us", 1e6 * cpu_seconds_of([&] { after.emplace(std::move(*taken), *table); }));
    add("both_at_once", "bytes", heap_bytes_in_use() - heap);

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
    const double took = cpu_seconds_of([&] {
        for (int i = 0; i < kLooks; ++i) {
            const std::string& a = asked[static_cast<std::size_t>(i) % asked.size()];
            if (by_route)
                found += table->find_route(fmt::format("h{}.example", std::stoul(a.substr(2, 6)) % 5000),
                                           a) != nullptr;
            else found += table->find_tenant(a) != nullptr;
        }
    });
    if (found != kLooks) throw std::runtime_error("a look-up found nothing");
    add("look_up", "ns", 1e9 * took / kLooks);
}

void CapacitySlopes::measure_configurations() {
    for (const std::size_t routes : {4'000, 8'000, 16'000, 32'000}) measure_configuration(routes, 0);
    for (const std::size_t tenants : {52'500, 105'000, 210'000, 420'000}) measure_configuration(8, tenants);
}

// ---- servers ----

std::string make_server_id(std::size_t i) { return fmt::format("i-{:08x}", i * 2654435761U); }

std::string heartbeat_body(std::size_t i, int calls, const char* state) {
    return fmt::format(
        R"({{"address":"10.{}.{}.{}:8080","system_info":{{"service":"s{:05}","revision":"v1","zone":"zone-{}",)"
        R"("capacity":6}},"status":{{"state":"{}","call_count":{},"ramp_left":"0ms"}}}})",
        100 + i / 62'500, i / 250 % 250, i % 250, i / 30, i % 6, state, calls);
}

bool send_heartbeat(registry::ServiceRegistry& muster, std::size_t i, int calls, const char* state,
                    TimePoint now) {
    const auto command =
        value_or_throw(control_api::decode_command("POST", "/members/" + make_server_id(i) + "/heartbeat",
                                                   heartbeat_body(i, calls, state)),
                       "beat");
    return muster.record_heartbeat(std::get<control_api::HeartbeatCommand>(command).heartbeat, now);
}

void CapacitySlopes::measure_servers(std::size_t count) {
    const double size = static_cast<double>(count);
    const auto add = [&](const std::string& what, const std::string& unit, double value) {
        series("servers." + what, unit, "server").add(size, value);
    };
    TimePoint now = testbed::time_at(0s);
    double heap = heap_bytes_in_use();
    registry::ServiceRegistry muster(registry::ServiceRegistry::Settings{"10.0.0.1:7100", 5, 1500ms, 4});
    for (std::size_t i = 0; i < count; ++i) send_heartbeat(muster, i, 1, "in_service", now);
    add("muster", "bytes", heap_bytes_in_use() - heap);
    now = testbed::time_at(500ms);
    add("muster_tick", "us", 1e6 * cpu_seconds_of([&] { muster.tick(now); }));

    // A pilot that comes gets all of them.
    std::string all;
    add("tell_all", "us", 1e6 * cpu_seconds_of([&] { all = muster.encode_changes(0, false, now); }));
    add("all", "bytes", static_cast<double>(all.size()));
    heap = heap_bytes_in_use();
    registry::EndpointDirectory roster;
    add("take_all", "us",
        1e6 * cpu_seconds_of([&] { (void)value_or_throw(roster.apply_changes(all, now), "roster"); }));
    add("roster", "bytes", heap_bytes_in_use() - heap);
    heap = heap_bytes_in_use();
    http_mapping::UpstreamHosts fleet({{"zone-0", "zone-1", "zone-2", "zone-3", "zone-4", "zone-5"}, 0ms});
    (void)fleet.update(roster.servers(), now);
    add("fleet", "bytes", heap_bytes_in_use() - heap);
    add("fleet_turn", "us", 1e6 * cpu_seconds_of([&] { (void)fleet.update(roster.servers(), now); }));

    // One of them drains; 617 pilots report to this lighthouse.
    controller::ConfigurationPublisher gallery(controller::ConfigurationPublisher::Settings{.incarnation = 5},
                                               muster);
    std::vector<controller::ConfigurationPublisher::OutgoingMessage> out;
    subscription::ClientState have{.incarnation = 1,
                                   .version = 0,
                                   .digest = 0,
                                   .known_incarnation = 5,
                                   .known_sequence = muster.sequence(),
                                   .quota_divisor = 3700};
    const auto pilots =
        static_cast<std::size_t>(kTargetGateways * kControllersPerGateway / kTargetControllers);
    add("answer_pilots", "us", 1e6 * cpu_seconds_of([&] {
                                   for (std::size_t i = 0; i < pilots; ++i) {
                                       out.clear();
                                       gallery.on_client_state(
                                           fmt::format("10.1.{}.{}:7101", i / 250, i % 250), have, now, out);
                                   }
                               }) / static_cast<double>(pilots));
    send_heartbeat(muster, count / 2, 2, "draining", now);
    out.clear();
    add("tell_one", "us", 1e6 * cpu_seconds_of([&] { gallery.notify_clients(now, out); }));
    add("one", "bytes", static_cast<double>(out.at(0).bytes.size()));
    const std::string change = muster.encode_changes(have.known_sequence, false, now);
    add("take_one", "us",
        1e6 * cpu_seconds_of([&] { (void)value_or_throw(roster.apply_changes(change, now), "change"); }));
    // A word without a change.
    const std::string none = muster.encode_changes(muster.sequence(), false, now);
    constexpr int kWords = 20;
    add("take_none", "us", 1e6 * cpu_seconds_of([&] {
                               for (int i = 0; i < kWords; ++i) {
                                   now += 10ms;
                                   (void)value_or_throw(roster.apply_changes(none, now), "none");
                               }
                           }) / kWords);
}

void CapacitySlopes::measure_servers() {
    for (const std::size_t count : {15'000, 30'000, 60'000, 120'000}) measure_servers(count);
}

// A lighthouse's share of the beats: HTTP, JSON, the muster. Without the sockets.
void CapacitySlopes::measure_heartbeats() {
    const auto count = static_cast<std::size_t>(kTargetServers / kTargetControllers);
    registry::ServiceRegistry muster(registry::ServiceRegistry::Settings{"10.0.0.1:7100", 5, 1500ms, 4});
    for (std::size_t i = 0; i < count; ++i) send_heartbeat(muster, i, 1, "in_service", testbed::time_at(0s));
    std::vector<std::string> messages;
    std::size_t taken = 0;
    double took = 0.0;
    for (int round = 2; round < 6; ++round) {
        messages.clear();
        for (std::size_t i = 0; i < count; ++i) {
            const std::string body = heartbeat_body(i, round, "in_service");
            messages.push_back(
                fmt::format("POST /members/{}/heartbeat HTTP/1.1\r\nHost: 10.0.0.1:8042\r\n"
                            "Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{}",
                            make_server_id(i), body.size(), body));
        }
        took += cpu_seconds_of([&] {
            http::Buffer buffer;
            http::Parser parser(http::Parser::Kind::Request);
            for (const std::string& message : messages) {
                buffer.append(message);
                if (parser.parse(buffer) != http::ParseStatus::Complete)
                    throw std::runtime_error("a beat not parsed");
                const auto command =
                    value_or_throw(control_api::decode_command(parser.method(buffer), parser.target(buffer),
                                                               parser.body(buffer)),
                                   "beat");
                taken += muster.record_heartbeat(std::get<control_api::HeartbeatCommand>(command).heartbeat,
                                                 testbed::time_at(round * 1500ms));
                buffer.consume(parser.message_size());
                parser.reset();
            }
        });
    }
    if (taken != 4 * count) throw std::runtime_error("beats were not taken");
    figures_["beats_a_core_second"] = static_cast<double>(taken) / took;
    figures_["us_a_beat"] = 1e6 * took / static_cast<double>(taken);
}

// ---- members ----

void CapacitySlopes::measure_memberships() {
    for (const int members : {10, 30, 100, 300, 1000, 3700}) {
        const double size = members;
        const bool stood_in = members > 300;
        const double heap = heap_bytes_in_use();
        SimulatedMembership crowd(members, stood_in ? 6 : members, std::min(18, members / 4 + 1), seed_);
        crowd.run_for(20s);
        if (!crowd.is_complete()) throw std::runtime_error("a convoy that does not know all after 20 s");
        series("convoy.memory", "bytes", "member")
            .add(size, (heap_bytes_in_use() - heap) / static_cast<double>(crowd.real_count()));
        const SimulatedMembership::TrafficFigures f = crowd.measure_traffic(20s);
        const double wire =
            f.packets_sent *
            (kUdpHeaderBytes +
             static_cast<double>(
                 transport::write_datagram(transport::Kind::Membership, "10.1.100.100:7101", 1, "").size()));
        series("convoy.bytes", "bytes/s", "member").add(size, f.bytes_out + f.bytes_in + 2 * wire);
        series("convoy.datagrams", "a second", "member").add(size, f.packets_sent);
        series("convoy.time", "us/s", "member").add(size, 1e6 * f.cpu_seconds);
        if (stood_in || members < 30) continue;
        // One starts anew: what that costs each of the others.
        double bytes = 0.0;
        constexpr int kTimes = 3;
        for (int i = 0; i < kTimes; ++i) {
            crowd.replace_member(members / 2 + i);
            const SimulatedMembership::TrafficFigures busy = crowd.measure_traffic(15s);
            bytes += 15.0 * std::max(0.0, busy.bytes_out + busy.bytes_in - f.bytes_out - f.bytes_in);
        }
        series("convoy.start", "bytes", "member").add(size, bytes / kTimes);
    }
}

// ---- quotas ----

void CapacitySlopes::measure_quota_balancers() {
    for (const int tenants : {52'500, 105'000, 210'000, 420'000}) {
        std::map<std::string, quota::Quota> quotas;
        for (int i = 0; i < tenants; ++i) quotas[fmt::format("t{:06}", i)] = {150.0, 150.0};
        const double heap = heap_bytes_in_use();
        quota::QuotaBalancer tide(quota::Settings{.self = "10.1.0.1:7101", .incarnation = 1},
                                  testbed::time_at(0s));
        tide.set_quotas(quotas, testbed::time_at(0s));
        series("tide.configured", "bytes", "tenant").add(tenants, heap_bytes_in_use() - heap);
        quotas["t000007"].rate += 1.0;
        series("tide.change", "us", "tenant").add(tenants, 1e6 * cpu_seconds_of([&] {
                                                               tide.set_quotas(quotas, testbed::time_at(1s));
                                                           }));
        // The map that the caller makes for it.
        std::map<std::string, quota::Quota> made;
        series("tide.change_made", "us", "tenant").add(tenants, 1e6 * cpu_seconds_of([&] {
                                                                    for (const auto& [name, tenant_quota] :
                                                                         quotas)
                                                                        made[name] = tenant_quota;
                                                                }));
    }
    for (const int pilots : {10, 100, 1000, 3700}) {
        quota::QuotaBalancer tide(quota::Settings{.self = "10.1.0.1:7101", .incarnation = 1},
                                  testbed::time_at(0s));
        quota::PeerSet peers;
        for (int i = 0; i < pilots; ++i)
            peers.ring.push_back(fmt::format("10.1.{}.{}:7101", i / 250, i % 250 + 1));
        std::sort(peers.ring.begin(), peers.ring.end());
        peers.divisor = static_cast<std::uint32_t>(pilots);
        constexpr int kTimes = 20;
        const double took = cpu_seconds_of([&] {
            for (int i = 0; i < kTimes; ++i) {
                peers.refill_until = testbed::time_at(10s + i * 250ms);
                tide.set_peers(peers, testbed::time_at(i * 250ms));
            }
        });
        series("tide.peers", "us", "pilot").add(pilots, 1e6 * took / kTimes);
    }
    for (const int tenants : {30, 100, 300, 1000}) measure_quota_messages(tenants);
}

// 24 pilots, 60 requests a second each, over so many tenants; each has 1.7 times what is asked of it.
void CapacitySlopes::measure_quota_messages(int tenants) {
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
    quota::PeerSet peers;
    for (int i = 0; i < kRing; ++i) peers.ring.push_back(fmt::format("10.1.0.{}:7101", 100 + i));
    peers.divisor = kRing;
    const double heap = heap_bytes_in_use();
    std::vector<std::unique_ptr<quota::QuotaBalancer>> tides;
    TimePoint now = testbed::time_at(0s);
    for (int i = 0; i < kRing; ++i) {
        tides.push_back(std::make_unique<quota::QuotaBalancer>(
            quota::Settings{
                .self = peers.ring[static_cast<std::size_t>(i)], .incarnation = 1, .seed = random()},
            now));
        tides.back()->set_quotas(quotas, now);
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
        quota::Statistics all;
        for (const auto& t : tides) {
            const quota::Statistics c = t->statistics();
            all.sent += c.sent;
            all.sent_bytes += c.sent_bytes;
            all.buckets += c.buckets;
            all.granted += c.granted;
        }
        return all;
    };
    quota::Statistics before;
    double took = 0.0;
    const TimePoint warm = now + 15s, end = warm + 10s;
    for (bool counted = false; now < end; now += 5ms) {
        if (!counted && now >= warm) {
            counted = true;
            before = sum();
            took = 0.0;
        }
        if ((now - testbed::time_at(0s)) % 250ms == 0ms) {
            peers.refill_until = now + 10s;
            for (auto& t : tides) t->set_peers(peers, now);
        }
        took += cpu_seconds_of([&] {
            for (int i = 0; i < kRing; ++i) {
                quota::Actions out;
                quota::QuotaBalancer& t = *tides[static_cast<std::size_t>(i)];
                while (!mail.empty() && mail.top().at <= now) {
                    const Mail m = mail.top();
                    mail.pop();
                    quota::Actions answer;
                    tides[static_cast<std::size_t>(m.to)]->on_message(m.from, m.bytes, now, answer);
                    carry(m.to, answer);
                }
                if (static_cast<double>(random() % 1000) < 1000.0 * kAsked * 0.005) {
                    Duration retry{0};
                    (void)t.request_unit(names[random() % names.size()], 100ms, now, retry);
                }
                if (t.next_deadline() <= now) t.tick(now, out);
                carry(i, out);
            }
        });
    }
    const quota::Statistics after = sum();
    const double by = kRing * 10.0;
    const double around =
        kUdpHeaderBytes +
        static_cast<double>(
            transport::write_datagram(transport::Kind::Quota, "10.1.100.100:7101", 1, "").size());
    series("tide.bytes", "bytes/s", "active tenant")
        .add(tenants, 2.0 *
                          (static_cast<double>(after.sent_bytes - before.sent_bytes) +
                           around * static_cast<double>(after.sent - before.sent)) /
                          by);
    series("tide.messages", "a second", "active tenant")
        .add(tenants, static_cast<double>(after.sent - before.sent) / by);
    series("tide.time", "us/s", "active tenant").add(tenants, 1e6 * took / by);
    series("tide.stores", "bytes", "active tenant").add(tenants, (heap_bytes_in_use() - heap) / kRing);
    figures_[fmt::format("tide_granted_part_at_{}_tenants", tenants)] =
        static_cast<double>(after.granted - before.granted) / (kAsked * by);
}

// ---- the decisions ----

// A pilot's decision modules, one a service, with nothing to decide.
void CapacitySlopes::measure_decision_modules() {
    for (const int services : {125, 250, 500, 1000}) {
        const double heap = heap_bytes_in_use();
        std::vector<decision::Gateway> modules;
        std::vector<TimePoint> due;
        decision::Settings s;
        s.gateways = s.sharing = static_cast<int>(kTargetGateways);
        s.classes.resize(8);
        for (int i = 0; i < services; ++i) {
            modules.emplace_back(s, seed_ + static_cast<std::uint64_t>(i));
            decision::HostList list;
            for (std::uint32_t host = 1; host <= kServersPerService; ++host) {
                list.hosts.emplace_back();
                list.hosts.back().host = decision::HostId{host};
            }
            std::vector<decision::Action> actions;
            modules.back().handle(testbed::time_at(0s), list, actions);
            due.push_back(testbed::time_at(10ms));
        }
        series("module.memory", "bytes", "service").add(services, heap_bytes_in_use() - heap);
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
        second(testbed::time_at(0s));
        series("module.time", "us/s", "service").add(services, 1e6 * cpu_seconds_of([&] {
                                                                   second(testbed::time_at(1s));
                                                               }));
    }
}

// ---- the register ----

// NOLINTNEXTLINE(readability-function-size): to be split
void CapacitySlopes::measure_consensus() {
    for (const std::size_t megabytes : {1, 2, 4, 8}) {
        constexpr int kCrew = 5;
        std::vector<std::string> founders;
        for (int i = 0; i < kCrew; ++i) founders.push_back(fmt::format("10.0.0.{}:7100", i + 1));
        std::vector<consensus::ReplicatedRegister> crew;
        TimePoint now = testbed::time_at(0s);
        for (int i = 0; i < kCrew; ++i) {
            consensus::Settings s;
            s.self = {founders[static_cast<std::size_t>(i)], 0};
            s.founders = founders;
            s.seed = static_cast<std::uint64_t>(i) + 1;
            crew.emplace_back(s, consensus::PersistentState{}, now);
        }
        struct Letter {
            int from, to;
            std::string bytes;
        };
        std::deque<Letter> way;
        double bytes = 0.0;
        bool settled = false;
        std::function<void(int, consensus::Actions&&)> carry = [&](int from, consensus::Actions&& out) {
            for (auto& store : out.writes) {
                consensus::Actions more;
                crew[static_cast<std::size_t>(from)].on_stored(store.token, now, more);
                carry(from, std::move(more));
            }
            for (auto& send : out.messages) {
                bytes += from == 0 ? static_cast<double>(send.bytes.size()) : 0.0;
                way.push_back({from, send.to[7] - '1', std::move(send.bytes)});
            }
            for (const auto& done : out.completions)
                settled = settled || done.outcome == consensus::Outcome::Committed;
        };
        const auto settle = [&](std::uint64_t version) {
            bytes = 0.0;
            settled = false;
            std::string text(megabytes * 1'000'000, 'x');
            for (std::size_t i = 0; i < text.size(); i += 37) text[i] = static_cast<char>('a' + i % 23);
            text[0] = static_cast<char>('a' + version);
            return cpu_seconds_of([&] {
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
                    crew[static_cast<std::size_t>(letter.to)].on_message(
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

void CapacitySlopes::measure_messages() {
    subscription::ClientState have{.incarnation = 1'700'000'000'000'001,
                                   .version = 812,
                                   .digest = 0x1234567890abcdef,
                                   .known_incarnation = 1'700'000'000'000'002,
                                   .known_sequence = 1'000'000,
                                   .quota_divisor = 3700};
    registry::ServiceRegistry muster(registry::ServiceRegistry::Settings{"10.0.0.1:7100", 5, 1500ms, 4});
    send_heartbeat(muster, 1, 1, "in_service", testbed::time_at(0s));
    subscription::ControlUpdate news{
        .incarnation = 1'700'000'000'000'002,
        .quorum_confirmed = true,
        .version = 812,
        .digest = 0x1234567890abcdef,
        .configuration_delta = {},
        .since_sequence = 1'000'000,
        .sequence = 1'000'000,
        .endpoint_changes = muster.encode_changes(muster.sequence(), false, testbed::time_at(1s))};
    const auto frame = [](std::string_view bytes) {
        return static_cast<double>(
            transport::write_frame(transport::Kind::Subscription, "10.1.100.100:7101", 1, bytes).size());
    };
    figures_["have_bytes"] = frame(subscription::encode(have));
    figures_["news_bytes"] = frame(subscription::encode(news));
    const std::string said = subscription::encode(have), heard = subscription::encode(news);
    constexpr int kTimes = 2000;
    figures_["us_a_word"] = 1e6 / kTimes * cpu_seconds_of([&] {
                                for (int i = 0; i < kTimes; ++i) {
                                    (void)subscription::encode(have);
                                    (void)value_or_throw(subscription::decode_control_update(heard), "news");
                                }
                            });
}

// ---- what it comes to ----

void CapacitySlopes::check_bound(bool held, const std::string& what, double figure, double most,
                                 const std::string& unit) {
    const bool kept = figure <= most;
    const nlohmann::json row = {{"what", what}, {"figure", figure}, {"most", most}, {"unit", unit}};
    fmt::print("  {:9} {:66} {:>10.4g} of {:g} {}\n",
               held ? (kept ? "held" : "BROKEN") : (kept ? "reached" : "missing"), what, figure, most, unit);
    if (held) enforced_bounds_.push_back(row);
    if (held && !kept) violations_.push_back(what);
    if (!held) (kept ? reached_targets_ : missed_targets_).push_back(row);
}

void CapacitySlopes::project_gateway() {
    const double said = kControllersPerGateway * kMessagesPerSecond;    // words a second, each way
    const double changes = kChangesPerDay / kSecondsPerDay;             // of the configuration, a second
    const double turns = kTargetServers * kServerChangesPerDay / kSecondsPerDay;      // of servers, a second
    const double starts = kTargetGateways * kMachineStartsPerDay / kSecondsPerDay;    // of machines, a second
    std::map<std::string, double> cpu, memory, bytes;
    cpu["convoy"] = 1e-6 * value_at("convoy.time", kTargetGateways);
    cpu["words of lighthouses"] =
        1e-6 * said * (figures_["us_a_word"] + value_at("servers.take_none", kTargetServers));
    cpu["servers that change"] =
        1e-6 * turns * kControllersPerGateway * value_at("servers.take_one", kTargetServers);
    cpu["servers' sizes looked at twice a second"] =
        1e-6 * 2.0 * value_at("servers.fleet_turn", kTargetServers);
    cpu["charts that change"] = 1e-6 * changes *
                                (value_at("chart.take_patch.route", kTargetRoutes) +
                                 value_at("chart.index_patched.route", kTargetRoutes) +
                                 value_at("chart.take_patch.tenant", kTargetTenants) +
                                 value_at("chart.index_patched.tenant", kTargetTenants));
    cpu["quotas gone through at each change"] =
        1e-6 * changes *
        (value_at("tide.change", kTargetTenants) + value_at("tide.change_made", kTargetTenants));
    cpu["quotas: messages and grants"] = 1e-6 * series_.at("tide.time").max_value();
    cpu["decision modules that rest"] = 1e-6 * value_at("module.time", kTargetServers / kServersPerService);
    cpu["quotas: the ring, four times a second"] = 1e-6 * 4.0 * value_at("tide.peers", kTargetGateways);
    memory["members"] = value_at("convoy.memory", kTargetGateways);
    memory["routes"] =
        value_at("chart.rows.route", kTargetRoutes) + value_at("chart.index.route", kTargetRoutes);
    memory["tenants and keys"] =
        value_at("chart.rows.tenant", kTargetTenants) + value_at("chart.index.tenant", kTargetTenants);
    memory["decision modules"] = value_at("module.memory", kTargetServers / kServersPerService);
    memory["a second chart while it changes"] = value_at("chart.both_at_once.route", kTargetRoutes) +
                                                value_at("chart.both_at_once.tenant", kTargetTenants);
    memory["roster"] = value_at("servers.roster", kTargetServers);
    memory["fleet"] = value_at("servers.fleet", kTargetServers);
    memory["quotas configured"] = value_at("tide.configured", kTargetTenants);
    memory["quotas in use"] = slope("tide.stores") * kActiveTenants;
    bytes["convoy, calm"] = value_at("convoy.bytes", kTargetGateways);
    bytes["convoy, starts of machines"] = starts * series_.at("convoy.start").max_value();
    bytes["words of lighthouses"] =
        said * (figures_["have_bytes"] + figures_["news_bytes"] + kTcpHeaderBytes);
    bytes["servers that change"] =
        turns * kControllersPerGateway * (value_at("servers.one", kTargetServers) + kTcpHeaderBytes);
    bytes["charts that change"] =
        changes * kControllersPerGateway * (value_at("chart.patch.tenant", kTargetTenants) + kTcpHeaderBytes);
    bytes["quotas, at their worst number of tenants"] = series_.at("tide.bytes").max_value();
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
    check_bound(true, "members: bytes a second of the convoy in calm", bytes["convoy, calm"], 4e3, "bytes/s");
    check_bound(true, "members: cores", cpu["convoy"], 0.002, "cores");
    check_bound(true, "members: memory", memory["members"], 4e6, "bytes");
    check_bound(true, "a chart's change: bytes of one row's patch",
                value_at("chart.patch.tenant", kTargetTenants), 2e3, "bytes");
    check_bound(true, "a chart's change: patch and index, s",
                1e-6 * (value_at("chart.take_patch.tenant", kTargetTenants) +
                        value_at("chart.index_patched.tenant", kTargetTenants)),
                0.3, "s");
    check_bound(true, "routes: memory", memory["routes"], 24e6, "bytes");
    check_bound(true, "a look-up of a route and a key",
                1e-3 * (value_at("chart.look_up.route", kTargetRoutes) +
                        value_at("chart.look_up.tenant", kTargetTenants)),
                10.0, "us");
    check_bound(true, "words of lighthouses that tell nothing new", cpu["words of lighthouses"], 0.001,
                "cores");
    check_bound(true, "a server's change: told, taken", 1e-6 * value_at("servers.take_one", kTargetServers),
                1e-3, "s");
    check_bound(true, "bytes a second but for quotas",
                all_bytes - bytes["quotas, at their worst number of tenants"], 12e3, "bytes/s");
    check_bound(false, "cores, all of the above", all_cpu, kMaxCpuFraction, "cores");
    check_bound(false, "servers' sizes looked at twice a second",
                cpu["servers' sizes looked at twice a second"], 0.002, "cores");
    check_bound(false, "quotas gone through at each change", cpu["quotas gone through at each change"], 0.002,
                "cores");
    check_bound(false, "decision modules that rest", cpu["decision modules that rest"], 0.005, "cores");
    check_bound(false, "memory, all of the above", all_memory, kMaxMemoryBytes, "bytes");
    const double peak = value_at("chart.take_whole_peak.route", kTargetRoutes) +
                        value_at("chart.take_whole_peak.tenant", kTargetTenants);
    figures_["pilot_memory_peak"] = all_memory - memory["routes"] - memory["tenants and keys"] + peak;
    check_bound(false, "memory, while a whole chart is taken in", figures_["pilot_memory_peak"],
                kMaxMemoryBytes, "bytes");
    check_bound(false, "bytes a second of quotas", bytes["quotas, at their worst number of tenants"], 6e3,
                "bytes/s");
    check_bound(false, "bytes a second, all of the above", all_bytes, kMaxBytesPerSecond, "bytes/s");
    check_bound(false, "seconds to take the first whole in at 24 KB/s",
                (value_at("chart.whole.route", kTargetRoutes) +
                 value_at("chart.whole.tenant", kTargetTenants) + value_at("servers.all", kTargetServers)) /
                    kMaxBytesPerSecond,
                60.0, "s");
}

void CapacitySlopes::project_controller() {
    const double changes = kChangesPerDay / kSecondsPerDay,
                 turns = kTargetServers * kServerChangesPerDay / kSecondsPerDay;
    const double beats = kTargetServers / kHeartbeatInterval / kTargetControllers,
                 pilots = kTargetGateways * kControllersPerGateway / kTargetControllers;
    const double text =
        1e-6 * (value_at("chart.text.route", kTargetRoutes) + value_at("chart.text.tenant", kTargetTenants));
    figures_["beats_a_second_a_lighthouse"] = beats;
    figures_["text_mb"] = text;
    std::map<std::string, double> cpu;
    cpu["beats, without their sockets"] = 1e-6 * beats * figures_["us_a_beat"];
    cpu["pilots' words answered"] =
        1e-6 * pilots * kMessagesPerSecond * value_at("servers.answer_pilots", kTargetServers);
    cpu["servers that change told"] = 1e-6 * turns * value_at("servers.tell_one", kTargetServers);
    cpu["silence looked for, four times a second"] =
        1e-6 * 4.0 * value_at("servers.muster_tick", kTargetServers);
    cpu["configurations read"] =
        1e-6 * changes *
        (value_at("chart.read.route", kTargetRoutes) + value_at("chart.read.tenant", kTargetTenants));
    cpu["decrees"] = 1e-3 * changes * value_at("lamp.time", text);
    fmt::print("a lighthouse's cores ({:.0f} beats a second, {:.0f} pilots, texts of {:.0f} MB):\n", beats,
               pilots, text);
    double all = 0.0;
    for (const auto& [part, value] : cpu) {
        fmt::print("  {:44} {:>12.5g}\n", part, value);
        all += value;
    }
    figures_["lighthouse_cores"] = all;
    figures_["lighthouse_memory"] = value_at("servers.muster", kTargetServers) +
                                    value_at("chart.rows.route", kTargetRoutes) +
                                    value_at("chart.rows.tenant", kTargetTenants) + 3e6 * text +
                                    value_at("convoy.memory", kTargetGateways);
    fmt::print("a lighthouse's bounds:\n");
    check_bound(true, "beats: a core's share of those it carries", beats / figures_["beats_a_core_second"],
                0.2, "cores");
    check_bound(true, "cores, all of the above", all, 0.5, "cores");
    check_bound(false, "MB a second told of texts, each as a whole to a crew of five",
                changes * value_at("lamp.told", text), 1.0, "MB/s");
    check_bound(false, "memory, with three texts", figures_["lighthouse_memory"], 256e6, "bytes");
}

int CapacitySlopes::run_all() {
    measure_heartbeats();
    measure_messages();
    measure_memberships();
    measure_quota_balancers();
    measure_decision_modules();
    measure_consensus();
    measure_servers();
    measure_configurations();
    for (const auto& [name, s] : series_) fmt::print("{}\n", s.summary_line());
    fmt::print("one lighthouse core: {:.0f} beats a second, {:.2f} us each\n",
               figures_["beats_a_core_second"], figures_["us_a_beat"]);
    project_gateway();
    project_controller();
    nlohmann::json out = {{"experiment", "capacity-slopes"},
                          {"seed", seed_},
                          {"held", enforced_bounds_},
                          {"missing", missed_targets_},
                          {"reached", reached_targets_},
                          {"figures", figures_},
                          {"broken", violations_}};
    for (const auto& [name, s] : series_) out["slopes"][name] = s.to_json();
    fmt::print("{}\n", out.dump());
    return violations_.empty() ? 0 : 1;
}

}    // namespace
}    // namespace shaletray::testbed

int main() {
    try {
        const char* text = std::getenv("SEED");
        return shaletray::testbed::CapacitySlopes(text != nullptr ? std::strtoull(text, nullptr, 10) : 1)
            .run_all();
    } catch (const std::exception& e) {
        fmt::print(stderr, "{}\n", e.what());
        return 2;
    }
}
