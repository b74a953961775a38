// What a scenario means, apart from any world: what is drawn for a seed, what discovery says in its course,
// what its gateways are told, and the rule on ceilings.
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

constexpr Duration kNoticed = 1s;    // until discovery takes a server that ended off its list

bool ends_servers(Fault::Kind kind) { return kind == Fault::Kind::Crash || kind == Fault::Kind::RoomLost; }

}    // namespace

const char* name_of(Fault::Kind kind) {
    switch (kind) {
        case Fault::Kind::Crash: return "crash";
        case Fault::Kind::Slow: return "slow";
        case Fault::Kind::Hang: return "hang";
        case Fault::Kind::Errors: return "errors";
        case Fault::Kind::Drain: return "drain";
        case Fault::Kind::RoomLost: return "room_lost";
        case Fault::Kind::LinkLoss: return "link_loss";
        case Fault::Kind::Heavy: return "heavy";
        case Fault::Kind::GatewayLost: return "gateway_lost";
        case Fault::Kind::DiscoverySilent: return "discovery_silent";
        case Fault::Kind::MailLoss: return "mail_loss";
        case Fault::Kind::StoreLost: return "store_lost";
    }
    return "?";
}

bool of_servers(Fault::Kind kind) {
    switch (kind) {
        case Fault::Kind::Crash:
        case Fault::Kind::Slow:
        case Fault::Kind::Hang:
        case Fault::Kind::Errors:
        case Fault::Kind::Drain:
        case Fault::Kind::LinkLoss: return true;
        default: return false;
    }
}

bool touches(const Scenario& s, const Fault& f, int server) {
    if (f.kind == Fault::Kind::RoomLost) return server % s.rooms == f.room;
    return f.kind == Fault::Kind::Heavy || server == f.server;
}

void name_rules(Figures& figures) {
    for (const char* name : {"one answer", "in time", "unasked repeats", "drains", "cold servers", "ceilings",
                             "held-back refusals"})
        figures.rules[name];
}

// NOLINTNEXTLINE(readability-function-cognitive-complexity): to be split, one function a part
void Scenario::check() const {
    const auto need = [](bool good, const char* what) {
        if (!good) throw std::invalid_argument(std::string("scenario: ") + what);
    };
    need(time > Duration(0) && time <= 24h, "time: expected more than 0 and at most a day");
    need(gateways >= 1 && gateways <= 1000, "gateways: expected 1 to 1000");
    need(servers >= 1 && servers <= 100'000, "servers: expected 1 to 100000");
    need(rooms >= 1 && rooms <= servers, "rooms: expected 1 to as many as servers");
    need(fronts >= 1 && fronts <= 1000, "fronts: expected 1 to 1000");
    need(customers >= static_cast<std::uint64_t>(fronts) && customers <= 100'000'000,
         "customers: expected one for each front at least, and at most 100 million");
    need(rate > 0.0 && rate <= 1e7, "rate: expected more than 0");
    need(zipf >= 0.0 && zipf <= 5.0, "zipf: expected 0 to 5");
    need(burst >= 0.0 && burst < 1.0 && uneven >= 0.0 && uneven <= 1.0 && leaves >= 0.0 && leaves <= 1.0 &&
             mail_loss >= 0.0 && mail_loss <= 1.0,
         "burst, uneven, leaves, mail_loss: expected parts of 1");
    need(tries >= 1 && tries <= 100, "tries: expected 1 to 100");
    need(units > 0.0, "units: expected more than 0");
    need(delay >= Duration(1) && delay <= 10s, "delay: expected 1 us to 10 s");
    need(model.cores >= 1 && model.queue >= 0 && model.work_ms > 0.0 && model.loss_when_full < 1.0 &&
             model.cold_speed > 0.0 && model.cold_speed <= 1.0,
         "model: a server must be able to work");
    need(model.fall_multiple >= 1.0 && model.fall > Duration(0),
         "model: fall_multiple: expected 1 or more; fall: more than 0");
    need(changes.empty() || sharing == Sharing::Counter,
         "changes: plans change in service only where the gateways share by a counter");
    for (const PlanChange& c : changes)
        need(c.plan >= 0 && static_cast<std::size_t>(c.plan) < plans.size() && c.rate > 0.0 &&
                 c.burst > 0.0 && c.at >= Duration(0) && c.at < time,
             "changes: expected a plan that is there, figures above 0 and a time within the scenario's");
    for (std::size_t i = 0; i < faults.size(); ++i) {
        const Fault& f = faults[i];
        const auto wrong = [&](const char* what) {
            throw std::invalid_argument(
                fmt::format("scenario: faults[{}] ({}): {}", i, name_of(f.kind), what));
        };
        if (f.at < Duration(0) || f.at >= time)
            wrong("begins outside of the scenario's time: it would never happen");
        if ((f.at_to > Duration(0) && (f.at_to < f.at || f.at_to >= time)) ||
            (f.lasts_to > Duration(0) && f.lasts_to < f.lasts) || (f.by_to > 0.0 && f.by_to < f.by) ||
            (f.part_to > 0.0 && f.part_to < f.part))
            wrong("a range must end after its beginning, and within the scenario's time");
        if (f.kind == Fault::Kind::RoomLost) {
            if (f.room < 0 || f.room >= rooms) wrong("there is no such room");
        } else if (f.kind == Fault::Kind::GatewayLost) {
            if (f.gateway < 0 || f.gateway >= gateways) wrong("there is no such gateway");
        } else if (of_servers(f.kind)) {
            if (f.share > 0.0 && f.server >= 0) wrong("either a server or a share of them");
            if (f.share < 0.0 || f.share > 1.0) wrong("share: expected a part of the servers");
            if (f.share == 0.0 && (f.server < 0 || f.server >= servers)) wrong("there is no such server");
        }
        if ((f.kind == Fault::Kind::Errors || f.kind == Fault::Kind::LinkLoss ||
             f.kind == Fault::Kind::MailLoss) &&
            !(f.by > 0.0 && std::max(f.by, f.by_to) <= 1.0))
            wrong("by: expected a part of the requests");
        if (f.kind == Fault::Kind::Heavy && !(f.part > 0.0 && std::max(f.part, f.part_to) <= 1.0))
            wrong("part: expected a part of the requests");
        if (f.cls >= static_cast<int>(lab_classes().size())) wrong("there is no such class");
        if (f.kind == Fault::Kind::StoreLost && sharing != Sharing::Counter)
            wrong("there is no counter that could be lost");
        for (std::size_t k = 0; k < i; ++k) {
            const Fault& o = faults[k];
            if (!ends_servers(f.kind) || !ends_servers(o.kind) || f.share > 0.0 || o.share > 0.0) continue;
            const auto room_of = [&](const Fault& of) {
                return of.kind == Fault::Kind::RoomLost ? of.room : of.server % rooms;
            };
            const bool same = f.kind == Fault::Kind::Crash && o.kind == Fault::Kind::Crash
                                  ? f.server == o.server
                                  : room_of(f) == room_of(o);
            const Duration f_end = std::max(f.at, f.at_to) + std::max(f.lasts, f.lasts_to);
            const Duration o_end = std::max(o.at, o.at_to) + std::max(o.lasts, o.lasts_to);
            if (same && f.at < o_end && o.at < f_end) wrong("the server is down already by an earlier fault");
        }
    }
}

Scenario Scenario::drawn() const {
    Scenario out = *this;
    out.faults.clear();
    std::mt19937_64 random(mix(seed, 31));
    const auto between = [&](double from, double to) {
        return to > from ? std::uniform_real_distribution<>(from, to)(random) : from;
    };
    const auto time_between = [&](Duration from, Duration to) {
        return Duration(static_cast<std::int64_t>(
            between(static_cast<double>(from.count()), static_cast<double>(to.count()))));
    };
    std::vector<std::pair<Duration, Duration>> down(static_cast<std::size_t>(servers));
    const auto is_down = [&](int server, const Fault& f) {
        const auto& [from, to] = down[static_cast<std::size_t>(server)];
        return to > from && f.at < to && from < f.at + f.lasts;
    };
    for (const Fault& drawn_from : faults) {
        Fault f = drawn_from;
        f.at = time_between(f.at, f.at_to);
        f.lasts = time_between(f.lasts, f.lasts_to);
        f.by = between(f.by, f.by_to);
        f.part = between(f.part, f.part_to);
        f.at_to = f.lasts_to = Duration(0);
        f.by_to = f.part_to = 0.0;
        std::vector<int> which;
        if (of_servers(f.kind) && f.share > 0.0) {
            which.resize(static_cast<std::size_t>(servers));
            std::iota(which.begin(), which.end(), 0);
            std::shuffle(which.begin(), which.end(), random);
            which.resize(static_cast<std::size_t>(std::max(1.0, std::round(f.share * servers))));
            std::sort(which.begin(), which.end());
        } else {
            which.push_back(f.server);
        }
        f.share = 0.0;
        for (const int server : which) {
            f.server = server;
            if (ends_servers(f.kind)) {
                // What is down already by another of the drawn faults cannot end once more.
                if (f.kind == Fault::Kind::Crash && is_down(server, f)) continue;
                for (int i = 0; i < servers; ++i)
                    if (f.kind == Fault::Kind::RoomLost ? i % rooms == f.room : i == server)
                        down[static_cast<std::size_t>(i)] = {f.at, f.at + f.lasts};
            }
            out.faults.push_back(f);
        }
        if (f.kind == Fault::Kind::RoomLost && f.with_gateways) {
            for (int g = f.room; g < gateways; g += rooms) {
                Fault lost = f;
                lost.kind = Fault::Kind::GatewayLost;
                lost.gateway = g;
                out.faults.push_back(lost);
            }
        }
    }
    return out;
}

const std::vector<decision::ClassSettings>& lab_classes() {
    using decision::KeyGroup;
    using decision::Repeat;
    static const std::vector<decision::ClassSettings> kClasses = {
        {"claim-read", Repeat::Safe, KeyGroup::All, 0ms, 750ms, 2s, 1.0, 0.3},
        {"approve", Repeat::Keyed, KeyGroup::All, 3s, 750ms, 2s, 2.0, 0.3},
        {"claim-submit", Repeat::Unsafe, KeyGroup::All, 0ms, 1s, 2s, 3.0, 0.3}};
    return kClasses;
}

decision::Settings gateway_settings(const Scenario& s, int me) {
    decision::Settings v;
    v.me = me;
    v.gateways = s.gateways;
    v.zone = me % s.rooms;
    v.classes = lab_classes();
    v.plans = s.plans;
    v.send_cap = 3;
    v.may_cancel = v.may_probe = true;
    v.may_tell = s.sharing == Scenario::Sharing::Mail;
    v.max_retry_after = 1s;
    v.drain_grace = 250ms;
    v.cold = s.model.cold;
    v.start_capacity = s.model.cold_speed;
    v.fall_multiple = s.model.fall_multiple;
    v.fall = s.model.fall;
    v.reports = decision::ReportVia::Inline;
    v.peer_messages_per_s = 40.0;
    v.most_units = std::max(1.0, s.units * 2.0);
    return v;
}

decision::HostList all_servers(const Scenario& s) {
    decision::HostList all;
    for (int i = 0; i < s.servers; ++i) {
        decision::HostEntry e;
        e.host = host_of(i);
        e.zone = i % s.rooms;
        e.cell = i % 4;
        e.rating = 1.0;
        all.hosts.push_back(e);
    }
    return all;
}

std::vector<Listing> listings(const Scenario& s) {
    std::vector<Listing> out;
    for (const Fault& f : s.faults) {
        for (int i = 0; i < s.servers; ++i) {
            if (!touches(s, f, i)) continue;
            if (f.kind == Fault::Kind::Drain) {
                out.push_back({f.at, i, decision::HostState::Draining, Duration(-1)});
                out.push_back({f.at + f.lasts, i, decision::HostState::Healthy, Duration(-1)});
            } else if (ends_servers(f.kind)) {
                if (f.lasts > kNoticed)
                    out.push_back({f.at + kNoticed, i, decision::HostState::Gone, Duration(-1)});
                out.push_back({f.at + f.lasts, i, decision::HostState::Healthy, f.at + f.lasts});
            }
        }
    }
    // While discovery is silent, nothing is told; then all of it.
    for (Listing& l : out) {
        for (const Fault& f : s.faults) {
            if (f.kind == Fault::Kind::DiscoverySilent && l.at >= f.at && l.at < f.at + f.lasts)
                l.at = f.at + f.lasts;
        }
    }
    std::stable_sort(out.begin(), out.end(), [](const Listing& a, const Listing& b) { return a.at < b.at; });
    return out;
}

Coarse no_coarse() {
    return boost::histogram::make_histogram_with(
        std::vector<std::uint32_t>(),
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(120, 0.1, 1e5));
}

void check_ceilings(const Scenario& s, std::vector<Sent>&& sent, const std::vector<Terms>& changes,
                    TimePoint start, Duration late, Figures& figures) {
    std::stable_sort(sent.begin(), sent.end(), [](const Sent& a, const Sent& b) {
        return a.customer != b.customer ? a.customer < b.customer : a.at < b.at;
    });
    const auto terms_at = [&](int plan, TimePoint at) {
        const decision::PlanSettings& p = s.plans[static_cast<std::size_t>(plan)];
        Terms t{TimePoint{}, plan, p.ceiling_rate, p.ceiling_burst, p.ceiling_slack};
        for (const Terms& c : changes)
            if (c.plan == plan && c.from <= at) t = c;
        return t;
    };
    double level = 0.0;
    for (std::size_t i = 0; i < sent.size(); ++i) {
        const int plan = static_cast<int>(static_cast<std::uint64_t>(sent[i].customer) % s.plans.size());
        const Terms t = terms_at(plan, sent[i].at);
        if (t.ceiling_rate <= 0.0) continue;
        const bool first = i == 0 || sent[i].customer != sent[i - 1].customer;
        // A change of terms: the store keeps its units and debts, up to the new size.
        level = first ? t.ceiling_burst
                      : std::min(t.ceiling_burst, level + t.ceiling_rate * secs(sent[i].at - sent[i - 1].at));
        level -= static_cast<double>(sent[i].units);
        const double slack = std::max(t.ceiling_slack, std::max(2.0 * s.units, 0.1 * t.ceiling_burst)) +
                             t.ceiling_rate * secs(late);
        count(figures.rules["ceilings"], level >= -slack, [&] {
            return fmt::format(
                "customer {:x} is {:.3f} units over its ceiling at {:.6f}, {:.3f} are its slack",
                static_cast<std::uint64_t>(sent[i].customer), -level, secs(sent[i].at - start), slack);
        });
    }
}

void add_figures(Figures& to, const Figures& from) {
    for (const auto field :
         {&Figures::requests, &Figures::tries, &Figures::served, &Figures::in_aim, &Figures::refused,
          &Figures::failed, &Figures::left, &Figures::refusals, &Figures::attempts, &Figures::called_off,
          &Figures::wasted_work_us, &Figures::work_us, &Figures::messages, &Figures::customers_seen})
        to.*field += from.*field;
    for (const auto& [name, rule] : from.rules) {
        Figures::Rule& sum = to.rules[name];
        if (sum.broken == 0 && rule.broken > 0) {
            sum.first = rule.first;
            sum.request = rule.request;
        }
        sum.checked += rule.checked;
        sum.broken += rule.broken;
    }
    const auto add = [](auto& sum, const auto& of) {
        sum.resize(std::max(sum.size(), of.size()));
        for (std::size_t i = 0; i < of.size(); ++i) sum[i] += of[i];
    };
    add(to.served_by_second, from.served_by_second);
    add(to.refused_by_second, from.refused_by_second);
    add(to.failed_by_second, from.failed_by_second);
    add(to.waste_by_second, from.waste_by_second);
    add(to.mail_by_second, from.mail_by_second);
    add(to.work_by_second, from.work_by_second);
    add(to.units_by_second, from.units_by_second);
    to.latency_by_second.resize(std::max(to.latency_by_second.size(), from.latency_by_second.size()),
                                no_coarse());
    for (std::size_t i = 0; i < from.latency_by_second.size(); ++i)
        to.latency_by_second[i] += from.latency_by_second[i];
    to.course.insert(to.course.end(), from.course.begin(), from.course.end());
    to.digest = mix(to.digest, from.digest);
}

std::size_t fitting_threads(const Scenario& s, std::size_t most) {
    constexpr double kEventsOfRequest = 10.0, kWorthAThread = 50.0;
    const double in_a_window = s.rate * kEventsOfRequest * secs(s.delay);
    return std::clamp<std::size_t>(static_cast<std::size_t>(in_a_window / kWorthAThread), 1,
                                   std::max<std::size_t>(1, most));
}

bool Figures::kept() const {
    return std::all_of(rules.begin(), rules.end(), [](const auto& rule) { return rule.second.broken == 0; });
}

}    // namespace shaletray::testbed
