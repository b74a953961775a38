#include "simulator/clients.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <numeric>

#include "simulator/kernel.h"
#include "simulator/measure.h"

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;
using decision::CustomerId;

constexpr Duration kFavourite = 10s;     // for which a front prefers a gateway
constexpr Duration kComesBack = 20ms;    // the least that a client waits before it asks again

}    // namespace

Latency no_latency() {
    return boost::histogram::make_histogram(
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(2000, 0.1, 1e5));
}

double quantile_ms(const Latency& h, double q) { return quantile_in(h, q); }

std::vector<double> activity(const Scenario& s) {
    const std::uint64_t each = s.customers / static_cast<std::uint64_t>(s.fronts);
    std::vector<double> shares;
    double sum = 0.0;
    shares.reserve(each);
    for (std::uint64_t rank = 0; rank < each; ++rank)
        shares.push_back(sum += std::pow(static_cast<double>(rank + 1), -s.zipf));
    return shares;
}

Clients::Clients(const Scenario& scenario, int me, const std::vector<double>& shares, TimePoint start,
                 Duration slack, FrontWorld& world)
    : s_(scenario),
      me_(me),
      shares_(shares),
      start_(start),
      slack_(slack),
      world_(world),
      random_(mix(scenario.seed, static_cast<std::uint64_t>(me) + 9'000'000)),
      alive_(static_cast<std::size_t>(scenario.gateways)),
      latency_(no_latency()) {
    std::iota(alive_.begin(), alive_.end(), 0);
    const auto seconds = static_cast<std::size_t>(std::ceil(secs(scenario.time))) + 4;
    for (auto* by : {&figures.served_by_second, &figures.refused_by_second, &figures.failed_by_second})
        by->resize(seconds);
    figures.latency_by_second.resize(seconds, no_coarse());
}

std::string Clients::course(std::uint64_t number, const Request& r, const std::string& what) const {
    return fmt::format(
        "request {:x} of customer {:x} ({}), first asked at {:.6f}, try {} sent at {:.6f} to gateway {}: {}",
        number, static_cast<std::uint64_t>(r.customer), lab_classes()[static_cast<std::size_t>(r.cls)].name,
        secs(r.first - start_), r.tries, secs(r.sent - start_), r.gateway, what);
}

void Clients::gateway_seen(int gateway, bool there) {
    std::erase(alive_, gateway);
    if (there) alive_.insert(std::lower_bound(alive_.begin(), alive_.end(), gateway), gateway);
}

void Clients::woken(std::uint64_t what) {
    const std::uint64_t number = what >> 2;
    if ((what & 3) == Arrive) return arrive();
    const auto it = open_.find(number);
    if (it == open_.end()) return;
    if ((what & 3) == Again) return ask(number, it->second);
    if (!it->second.out) return;
    it->second.left = true;
    world_.leave(number, it->second.gateway);
    ++figures.left;
    finish(it, 3);
}

void Clients::arrive() {
    const TimePoint now = world_.now();
    // On and off: while on, three times as much.
    const double mean = s_.rate / s_.fronts / (1.0 + 2.0 * s_.burst);
    const bool on = s_.burst > 0.0 && std::fmod(secs(now - start_) + me_ * 1.7, 4.0) < 4.0 * s_.burst;
    const double gap = std::exponential_distribution<>(on ? 3.0 * mean : mean)(random_);
    if (const TimePoint next = now + from_secs(gap); next < start_ + s_.time) world_.wake(next, Arrive);
    const std::uint64_t number = static_cast<std::uint64_t>(me_) << 40 | ++last_;
    Request& r = open_[number];
    const auto rank = static_cast<std::uint64_t>(
        std::lower_bound(shares_.begin(), shares_.end(), real() * shares_.back()) - shares_.begin());
    r.customer = CustomerId{rank * static_cast<std::uint64_t>(s_.fronts) + static_cast<std::uint64_t>(me_)};
    seen_.insert(rank);
    const double which = real();
    r.cls = which < 0.6 ? ClaimRead : which < 0.85 ? Approve : ClaimSubmit;
    r.units = s_.units * (real() < 0.5 ? 1.0 : 2.0);
    r.first = now;
    ++figures.requests;
    if (s_.leaves > 0.0 && real() < s_.leaves) world_.wake(now + from_secs(0.2 * real()), number << 2 | Go);
    ask(number, r);
}

// One of the customer's set: the front spreads each customer's requests over those alone.
int Clients::pick_gateway(const Request& r) {
    const TimePoint now = world_.now();
    if (now >= favourite_until_) {
        favourite_ = random_();
        favourite_until_ = now + kFavourite;
    }
    const int width = set_width(s_), first = first_of(s_, r.customer);
    std::vector<int> alive;
    for (int i = 0; i < width; ++i)
        if (const int g = (first + i) % s_.gateways; std::binary_search(alive_.begin(), alive_.end(), g))
            alive.push_back(g);
    const bool to_favourite = real() < s_.uneven;
    // With none that it knows of, a front tries any of them.
    if (alive.empty())
        return (first + static_cast<int>(random_() % static_cast<std::uint64_t>(width))) % s_.gateways;
    return alive[(to_favourite ? favourite_ : random_()) % alive.size()];
}

void Clients::ask(std::uint64_t number, Request& r) {
    const TimePoint now = world_.now();
    const Duration left = r.first + s_.patience - now;
    if (left <= Duration(0)) {
        ++figures.refused;
        return finish(open_.find(number), 1);
    }
    r.gateway = pick_gateway(r);
    ++r.tries;
    ++figures.tries;
    r.sent = now;
    r.out = true;
    const int plan =
        static_cast<int>(static_cast<std::uint64_t>(r.customer) % std::max<std::size_t>(1, s_.plans.size()));
    world_.ask({number, r.tries, r.customer, r.cls, plan, r.units, left, r.gateway});
}

void Clients::answered(std::uint64_t request, End end, Duration retry_after) {
    const auto it = open_.find(request);
    if (it == open_.end() || !it->second.out) {
        // Only who left may still be answered; anything else is a second answer.
        if (!gone_.contains(request))
            count(figures.rules["one answer"], false,
                  [&] { return fmt::format("request {:x} was answered twice", request); });
        return;
    }
    Request& r = it->second;
    r.out = false;
    const TimePoint now = world_.now();
    const Duration late = now - (r.first + s_.patience) - 4 * s_.delay;
    count(figures.rules["one answer"], true, [] { return std::string(); });
    count(figures.rules["in time"], late <= slack_,
          [&] { return course(request, r, fmt::format("answered {:.3f} s late", secs(late))); });
    const auto second = static_cast<std::size_t>(std::max(0.0, secs(now - start_)));
    const auto at = [&](auto& by) -> auto& { return by[std::min(second, by.size() - 1)]; };
    if (end == End::Served) {
        ++figures.served;
        ++at(figures.served_by_second);
        const double ms = std::max(0.1, 1e3 * secs(now - r.first));
        figures.in_aim += now - r.first <= lab_classes()[static_cast<std::size_t>(r.cls)].aim;
        latency_(ms);
        at(figures.latency_by_second)(ms);
        return finish(it, 0);
    }
    figures.refusals += end == End::Refused;
    const bool again = end == End::Refused || r.cls == ClaimRead;
    const Duration wait = std::max<Duration>(retry_after, kComesBack) + from_secs(0.05 * real());
    if (again && r.tries < s_.tries && now + wait < r.first + s_.patience)
        return world_.wake(now + wait, request << 2 | Again);
    ++(end == End::Refused ? figures.refused : figures.failed);
    ++at(end == End::Refused ? figures.refused_by_second : figures.failed_by_second);
    finish(it, end == End::Refused ? 1 : 2);
}

void Clients::finish(std::unordered_map<std::uint64_t, Request>::iterator it, std::uint64_t how) {
    figures.digest = mix(figures.digest ^ it->first,
                         how + static_cast<std::uint64_t>((world_.now() - start_).count()) * 4);
    if (it->second.left) gone_.insert(it->first);
    open_.erase(it);
}

void Clients::close() {
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, r] : open_) numbers.push_back(number);
    std::sort(numbers.begin(), numbers.end());
    for (const std::uint64_t number : numbers) {
        const Request& r = open_.at(number);
        if (!r.out) {    // between two tries as the day ended
            ++figures.refused;
            continue;
        }
        count(figures.rules["one answer"], false, [&] { return course(number, r, "was never answered"); });
    }
}

}    // namespace shaletray::testbed
