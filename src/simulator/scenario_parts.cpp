// The parts of a scenario that the simulation and runs on sockets share: validation, the random draws of a
// seed, host list changes, gateway settings, the check of hard limits ("ceilings") and merging of statistics.
#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>
#include <stdexcept>

#include "simulator/kernel.h"
#include "simulator/measure.h"
#include "simulator/world.h"

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;

constexpr Duration kDetectionDelay = 1s;    // until discovery removes a stopped server from its list

bool terminates_servers(Fault::Kind kind) {
    return kind == Fault::Kind::Crash || kind == Fault::Kind::RoomLost;
}

}    // namespace

const char* fault_name(Fault::Kind kind) {
    switch (kind) {
        case Fault::Kind::Crash: return "crash";
        case Fault::Kind::Slowdown: return "slow";
        case Fault::Kind::Hang: return "hang";
        case Fault::Kind::Errors: return "errors";
        case Fault::Kind::Drain: return "drain";
        case Fault::Kind::RoomLost: return "room_lost";
        case Fault::Kind::LinkLoss: return "link_loss";
        case Fault::Kind::HeavyRequests: return "heavy";
        case Fault::Kind::GatewayCrash: return "gateway_lost";
        case Fault::Kind::DiscoveryOutage: return "discovery_silent";
        case Fault::Kind::PeerMessageLoss: return "mail_loss";
        case Fault::Kind::StoreOutage: return "store_lost";
    }
    return "?";
}

bool affects_servers(Fault::Kind kind) {
    switch (kind) {
        case Fault::Kind::Crash:
        case Fault::Kind::Slowdown:
        case Fault::Kind::Hang:
        case Fault::Kind::Errors:
        case Fault::Kind::Drain:
        case Fault::Kind::LinkLoss: return true;
        default: return false;
    }
}

bool fault_affects_server(const Scenario& s, const Fault& f, int server) {
    if (f.kind == Fault::Kind::RoomLost) return server % s.room_count == f.room_index;
    return f.kind == Fault::Kind::HeavyRequests || server == f.server_index;
}

void register_rules(RunStatistics& figures) {
    for (const char* name : {"one answer", "in time", "unasked repeats", "drains", "cold servers", "ceilings",
                             "held-back refusals"})
        figures.rules[name];
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity): to be split, one function a part
void Scenario::validate() const {
    const auto require = [](bool good, const char* what) {
        if (!good) throw std::invalid_argument(std::string("scenario: ") + what);
    };
    require(duration > Duration(0) && duration <= 24h, "time: expected more than 0 and at most a day");
    require(gateway_count >= 1 && gateway_count <= 1000, "gateways: expected 1 to 1000");
    require(server_count >= 1 && server_count <= 100'000, "servers: expected 1 to 100000");
    require(room_count >= 1 && room_count <= server_count, "rooms: expected 1 to as many as servers");
    require(frontend_count >= 1 && frontend_count <= 1000, "fronts: expected 1 to 1000");
    require(customer_count >= static_cast<std::uint64_t>(frontend_count) && customer_count <= 100'000'000,
            "customers: expected one for each front at least, and at most 100 million");
    require(request_rate > 0.0 && request_rate <= 1e7, "rate: expected more than 0");
    require(zipf_exponent >= 0.0 && zipf_exponent <= 5.0, "zipf: expected 0 to 5");
    require(burst_fraction >= 0.0 && burst_fraction < 1.0 && favourite_fraction >= 0.0 &&
                favourite_fraction <= 1.0 && abandon_fraction >= 0.0 && abandon_fraction <= 1.0 &&
                peer_message_loss >= 0.0 && peer_message_loss <= 1.0,
            "burst, uneven, leaves, mail_loss: expected parts of 1");
    require(max_attempts >= 1 && max_attempts <= 100, "tries: expected 1 to 100");
    require(request_units > 0.0, "units: expected more than 0");
    require(network_delay >= Duration(1) && network_delay <= 10s, "delay: expected 1 us to 10 s");
    require(server_model.cores >= 1 && server_model.queue_length >= 0 && server_model.work_ms > 0.0 &&
                server_model.full_queue_slowdown < 1.0 && server_model.initial_speed > 0.0 &&
                server_model.initial_speed <= 1.0,
            "model: expected cores >= 1, queue >= 0, work > 0, loss_when_full < 1 and cold_speed in (0, 1]");
    require(server_model.overload_factor >= 1.0 && server_model.overload_duration > Duration(0),
            "model: fall_multiple: expected 1 or more; fall: more than 0");
    require(plan_changes.empty() || quota_sharing == QuotaSharing::SharedCounter,
            "changes: plans change in service only where the gateways share by a counter");
    for (const PlanChange& c : plan_changes)
        require(c.plan_index >= 0 && static_cast<std::size_t>(c.plan_index) < plans.size() && c.rate > 0.0 &&
                    c.burst > 0.0 && c.proposed_at >= Duration(0) && c.proposed_at < duration,
                "changes: expected a plan that is there, figures above 0 and a time within the scenario's");
    for (std::size_t i = 0; i < faults.size(); ++i) {
        const Fault& f = faults[i];
        const auto reject = [&](const char* what) {
            throw std::invalid_argument(
                fmt::format("scenario: faults[{}] ({}): {}", i, fault_name(f.kind), what));
        };
        if (f.starts_at < Duration(0) || f.starts_at >= duration)
            reject("begins outside of the scenario's time: it would never happen");
        if ((f.starts_at_max > Duration(0) &&
             (f.starts_at_max < f.starts_at || f.starts_at_max >= duration)) ||
            (f.duration_max > Duration(0) && f.duration_max < f.duration) ||
            (f.magnitude_max > 0.0 && f.magnitude_max < f.magnitude) ||
            (f.request_fraction_max > 0.0 && f.request_fraction_max < f.request_fraction))
            reject("a range must end after its beginning, and within the scenario's time");
        if (f.kind == Fault::Kind::RoomLost) {
            if (f.room_index < 0 || f.room_index >= room_count) reject("there is no such room");
        } else if (f.kind == Fault::Kind::GatewayCrash) {
            if (f.gateway_index < 0 || f.gateway_index >= gateway_count) reject("there is no such gateway");
        } else if (affects_servers(f.kind)) {
            if (f.server_fraction > 0.0 && f.server_index >= 0) reject("either a server or a share of them");
            if (f.server_fraction < 0.0 || f.server_fraction > 1.0)
                reject("share: expected a part of the servers");
            if (f.server_fraction == 0.0 && (f.server_index < 0 || f.server_index >= server_count))
                reject("there is no such server");
        }
        if ((f.kind == Fault::Kind::Errors || f.kind == Fault::Kind::LinkLoss ||
             f.kind == Fault::Kind::PeerMessageLoss) &&
            !(f.magnitude > 0.0 && std::max(f.magnitude, f.magnitude_max) <= 1.0))
            reject("by: expected a part of the requests");
        if (f.kind == Fault::Kind::HeavyRequests &&
            !(f.request_fraction > 0.0 && std::max(f.request_fraction, f.request_fraction_max) <= 1.0))
            reject("part: expected a part of the requests");
        if (f.class_index >= static_cast<int>(simulated_classes().size())) reject("there is no such class");
        if (f.kind == Fault::Kind::StoreOutage && quota_sharing != QuotaSharing::SharedCounter)
            reject("there is no counter that could be lost");
        for (std::size_t k = 0; k < i; ++k) {
            const Fault& other = faults[k];
            if (!terminates_servers(f.kind) || !terminates_servers(other.kind) || f.server_fraction > 0.0 ||
                other.server_fraction > 0.0)
                continue;
            const auto room_of = [&](const Fault& of) {
                return of.kind == Fault::Kind::RoomLost ? of.room_index : of.server_index % room_count;
            };
            const bool shares_servers = f.kind == Fault::Kind::Crash && other.kind == Fault::Kind::Crash
                                            ? f.server_index == other.server_index
                                            : room_of(f) == room_of(other);
            const Duration f_end =
                std::max(f.starts_at, f.starts_at_max) + std::max(f.duration, f.duration_max);
            const Duration other_end =
                std::max(other.starts_at, other.starts_at_max) + std::max(other.duration, other.duration_max);
            if (shares_servers && f.starts_at < other_end && other.starts_at < f_end)
                reject("the server is down already by an earlier fault");
        }
    }
}

Scenario Scenario::with_drawn_faults() const {
    Scenario out = *this;
    out.faults.clear();
    std::mt19937_64 random(mix_hash(seed, 31));
    const auto between = [&](double from, double to) {
        return to > from ? std::uniform_real_distribution<>(from, to)(random) : from;
    };
    const auto time_between = [&](Duration from, Duration to) {
        return Duration(static_cast<std::int64_t>(
            between(static_cast<double>(from.count()), static_cast<double>(to.count()))));
    };
    std::vector<std::pair<Duration, Duration>> down_periods(static_cast<std::size_t>(server_count));
    const auto is_down = [&](int server, const Fault& f) {
        const auto& [from, to] = down_periods[static_cast<std::size_t>(server)];
        return to > from && f.starts_at < to && from < f.starts_at + f.duration;
    };
    for (const Fault& declared_fault : faults) {
        Fault f = declared_fault;
        f.starts_at = time_between(f.starts_at, f.starts_at_max);
        f.duration = time_between(f.duration, f.duration_max);
        f.magnitude = between(f.magnitude, f.magnitude_max);
        f.request_fraction = between(f.request_fraction, f.request_fraction_max);
        f.starts_at_max = f.duration_max = Duration(0);
        f.magnitude_max = f.request_fraction_max = 0.0;
        std::vector<int> affected_servers;
        if (affects_servers(f.kind) && f.server_fraction > 0.0) {
            affected_servers.resize(static_cast<std::size_t>(server_count));
            std::iota(affected_servers.begin(), affected_servers.end(), 0);
            std::shuffle(affected_servers.begin(), affected_servers.end(), random);
            affected_servers.resize(
                static_cast<std::size_t>(std::max(1.0, std::round(f.server_fraction * server_count))));
            std::sort(affected_servers.begin(), affected_servers.end());
        } else {
            affected_servers.push_back(f.server_index);
        }
        f.server_fraction = 0.0;
        for (const int server : affected_servers) {
            f.server_index = server;
            if (terminates_servers(f.kind)) {
                // A server that another drawn fault has stopped cannot crash again.
                if (f.kind == Fault::Kind::Crash && is_down(server, f)) continue;
                for (int i = 0; i < server_count; ++i)
                    if (f.kind == Fault::Kind::RoomLost ? i % room_count == f.room_index : i == server)
                        down_periods[static_cast<std::size_t>(i)] = {f.starts_at, f.starts_at + f.duration};
            }
            out.faults.push_back(f);
        }
        if (f.kind == Fault::Kind::RoomLost && f.includes_gateways) {
            for (int g = f.room_index; g < gateway_count; g += room_count) {
                Fault lost = f;
                lost.kind = Fault::Kind::GatewayCrash;
                lost.gateway_index = g;
                out.faults.push_back(lost);
            }
        }
    }
    return out;
}

const std::vector<decision::ClassSettings>& simulated_classes() {
    using decision::KeyGroup;
    using decision::Repeat;
    static const std::vector<decision::ClassSettings> kClasses = {
        {"claim-read", Repeat::Safe, KeyGroup::All, 0ms, 750ms, 2s, 1.0, 0.3},
        {"approve", Repeat::Keyed, KeyGroup::All, 3s, 750ms, 2s, 2.0, 0.3},
        {"claim-submit", Repeat::Unsafe, KeyGroup::All, 0ms, 1s, 2s, 3.0, 0.3}};
    return kClasses;
}

decision::Settings gateway_settings(const Scenario& s, int self_index) {
    decision::Settings settings;
    settings.me = self_index;
    settings.gateways = s.gateway_count;
    settings.zone = self_index % s.room_count;
    settings.classes = simulated_classes();
    settings.plans = s.plans;
    settings.send_cap = 3;
    settings.may_cancel = settings.may_probe = true;
    settings.may_tell = s.quota_sharing == Scenario::QuotaSharing::PeerMessages;
    settings.max_retry_after = 1s;
    settings.drain_grace = 250ms;
    settings.cold = s.server_model.warm_up_time;
    settings.start_capacity = s.server_model.initial_speed;
    settings.fall_multiple = s.server_model.overload_factor;
    settings.fall = s.server_model.overload_duration;
    settings.reports = decision::ReportVia::Inline;
    settings.peer_messages_per_s = 40.0;
    settings.most_units = std::max(1.0, s.request_units * 2.0);
    return settings;
}

decision::HostList all_servers(const Scenario& s) {
    decision::HostList all;
    for (int i = 0; i < s.server_count; ++i) {
        decision::HostEntry e;
        e.host = host_of(i);
        e.zone = i % s.room_count;
        e.cell = i % 4;
        e.rating = 1.0;
        all.hosts.push_back(e);
    }
    return all;
}

std::vector<HostListChange> host_list_changes(const Scenario& s) {
    std::vector<HostListChange> out;
    for (const Fault& f : s.faults) {
        for (int i = 0; i < s.server_count; ++i) {
            if (!fault_affects_server(s, f, i)) continue;
            if (f.kind == Fault::Kind::Drain) {
                out.push_back({f.starts_at, i, decision::HostState::Draining, Duration(-1)});
                out.push_back({f.starts_at + f.duration, i, decision::HostState::Healthy, Duration(-1)});
            } else if (terminates_servers(f.kind)) {
                if (f.duration > kDetectionDelay)
                    out.push_back(
                        {f.starts_at + kDetectionDelay, i, decision::HostState::Gone, Duration(-1)});
                out.push_back(
                    {f.starts_at + f.duration, i, decision::HostState::Healthy, f.starts_at + f.duration});
            }
        }
    }
    // Changes during a discovery outage become known at its end.
    for (HostListChange& change : out) {
        for (const Fault& f : s.faults) {
            if (f.kind == Fault::Kind::DiscoveryOutage && change.known_at >= f.starts_at &&
                change.known_at < f.starts_at + f.duration)
                change.known_at = f.starts_at + f.duration;
        }
    }
    std::stable_sort(out.begin(), out.end(), [](const HostListChange& a, const HostListChange& b) {
        return a.known_at < b.known_at;
    });
    return out;
}

CoarseHistogram make_coarse_histogram() {
    return boost::histogram::make_histogram_with(
        std::vector<std::uint32_t>(),
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(120, 0.1, 1e5));
}

void check_rate_limits(const Scenario& s, std::vector<AdmittedRequestUnits>&& sent,
                       const std::vector<RateLimitTerms>& changes, TimePoint start, Duration max_delay,
                       RunStatistics& figures) {
    std::stable_sort(
        sent.begin(), sent.end(), [](const AdmittedRequestUnits& a, const AdmittedRequestUnits& b) {
            return a.customer != b.customer ? a.customer < b.customer : a.admitted_at < b.admitted_at;
        });
    const auto terms_at = [&](int plan, TimePoint at) {
        const decision::PlanSettings& p = s.plans[static_cast<std::size_t>(plan)];
        RateLimitTerms t{TimePoint{}, plan, p.ceiling_rate, p.ceiling_burst, p.ceiling_slack};
        for (const RateLimitTerms& c : changes)
            if (c.plan_index == plan && c.effective_at <= at) t = c;
        return t;
    };
    double level = 0.0;
    for (std::size_t i = 0; i < sent.size(); ++i) {
        const int plan = static_cast<int>(static_cast<std::uint64_t>(sent[i].customer) % s.plans.size());
        const RateLimitTerms t = terms_at(plan, sent[i].admitted_at);
        if (t.rate_limit <= 0.0) continue;
        const bool first = i == 0 || sent[i].customer != sent[i - 1].customer;
        // If the terms change, the bucket keeps its level, limited by the new burst size.
        level = first ? t.rate_limit_burst
                      : std::min(t.rate_limit_burst,
                                 level + t.rate_limit * secs(sent[i].admitted_at - sent[i - 1].admitted_at));
        level -= static_cast<double>(sent[i].units);
        const double slack =
            std::max(t.rate_limit_slack, std::max(2.0 * s.request_units, 0.1 * t.rate_limit_burst)) +
            t.rate_limit * secs(max_delay);
        record_rule_check(figures.rules["ceilings"], level >= -slack, [&] {
            return fmt::format(
                "customer {:x} is {:.3f} units over its ceiling at {:.6f}, allowed slack {:.3f}",
                static_cast<std::uint64_t>(sent[i].customer), -level, secs(sent[i].admitted_at - start),
                slack);
        });
    }
}

void merge_statistics(RunStatistics& to, const RunStatistics& from) {
    for (const auto field :
         {&RunStatistics::requests, &RunStatistics::client_attempts, &RunStatistics::served,
          &RunStatistics::within_target, &RunStatistics::rejected, &RunStatistics::failed,
          &RunStatistics::abandoned, &RunStatistics::rejected_attempts, &RunStatistics::attempts,
          &RunStatistics::cancelled_attempts, &RunStatistics::wasted_work_us, &RunStatistics::work_us,
          &RunStatistics::messages, &RunStatistics::distinct_customers})
        to.*field += from.*field;
    for (const auto& [name, rule] : from.rules) {
        RunStatistics::Rule& sum = to.rules[name];
        if (sum.violation_count == 0 && rule.violation_count > 0) {
            sum.first_violation = rule.first_violation;
            sum.violating_request = rule.violating_request;
        }
        sum.check_count += rule.check_count;
        sum.violation_count += rule.violation_count;
    }
    const auto add = [](auto& sum, const auto& of) {
        sum.resize(std::max(sum.size(), of.size()));
        for (std::size_t i = 0; i < of.size(); ++i) sum[i] += of[i];
    };
    add(to.served_by_second, from.served_by_second);
    add(to.rejected_by_second, from.rejected_by_second);
    add(to.failed_by_second, from.failed_by_second);
    add(to.wasted_work_by_second, from.wasted_work_by_second);
    add(to.peer_messages_by_second, from.peer_messages_by_second);
    add(to.work_by_second, from.work_by_second);
    add(to.admitted_units_by_second, from.admitted_units_by_second);
    to.latency_by_second.resize(std::max(to.latency_by_second.size(), from.latency_by_second.size()),
                                make_coarse_histogram());
    for (std::size_t i = 0; i < from.latency_by_second.size(); ++i)
        to.latency_by_second[i] += from.latency_by_second[i];
    to.request_trace.insert(to.request_trace.end(), from.request_trace.begin(), from.request_trace.end());
    to.digest = mix_hash(to.digest, from.digest);
}

std::size_t useful_thread_count(const Scenario& s, std::size_t max_threads) {
    constexpr double kEventsPerRequest = 10.0, kMinEventsPerThread = 50.0;
    const double events_per_window = s.request_rate * kEventsPerRequest * secs(s.network_delay);
    return std::clamp<std::size_t>(static_cast<std::size_t>(events_per_window / kMinEventsPerThread), 1,
                                   std::max<std::size_t>(1, max_threads));
}

bool RunStatistics::all_rules_hold() const {
    return std::all_of(rules.begin(), rules.end(),
                       [](const auto& rule) { return rule.second.violation_count == 0; });
}

}    // namespace shaletray::testbed
