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

constexpr Duration kFavouriteDuration = 10s;    // how long a frontend prefers a gateway
constexpr Duration kMinRetryDelay = 20ms;       // minimum delay of a client's retry

}    // namespace

FineLatencyHistogram make_latency_histogram() {
    return boost::histogram::make_histogram(
        boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>(2000, 0.1, 1e5));
}

double latency_quantile_ms(const FineLatencyHistogram& h, double q) { return quantile_in(h, q); }

std::vector<double> customer_activity(const Scenario& s) {
    const std::uint64_t customers_per_frontend =
        s.customer_count / static_cast<std::uint64_t>(s.frontend_count);
    std::vector<double> shares;
    double sum = 0.0;
    shares.reserve(customers_per_frontend);
    for (std::uint64_t rank = 0; rank < customers_per_frontend; ++rank)
        shares.push_back(sum += std::pow(static_cast<double>(rank + 1), -s.zipf_exponent));
    return shares;
}

Clients::Clients(const Scenario& scenario, int frontend_index, const std::vector<double>& shares,
                 TimePoint start, Duration slack, FrontendEnvironment& environment)
    : settings_(scenario),
      frontend_index_(frontend_index),
      cumulative_shares_(shares),
      started_at_(start),
      response_slack_(slack),
      environment_(environment),
      random_(mix_hash(scenario.seed, static_cast<std::uint64_t>(frontend_index) + 9'000'000)),
      live_gateways_(static_cast<std::size_t>(scenario.gateway_count)),
      latency_histogram_(make_latency_histogram()) {
    std::iota(live_gateways_.begin(), live_gateways_.end(), 0);
    const auto seconds = static_cast<std::size_t>(std::ceil(secs(scenario.duration))) + 4;
    for (auto* series :
         {&statistics.served_by_second, &statistics.rejected_by_second, &statistics.failed_by_second})
        series->resize(seconds);
    statistics.latency_by_second.resize(seconds, make_coarse_histogram());
}

std::string Clients::describe_request(std::uint64_t number, const Request& r, const std::string& what) const {
    return fmt::format(
        "request {:x} of customer {:x} ({}), first sent at {:.6f}, attempt {} sent at {:.6f} to gateway {}: "
        "{}",
        number, static_cast<std::uint64_t>(r.customer),
        simulated_classes()[static_cast<std::size_t>(r.class_index)].name,
        secs(r.first_sent_at - started_at_), r.attempt_count, secs(r.last_sent_at - started_at_),
        r.gateway_index, what);
}

void Clients::on_gateway_state(int gateway_index, bool is_alive) {
    std::erase(live_gateways_, gateway_index);
    if (is_alive)
        live_gateways_.insert(std::lower_bound(live_gateways_.begin(), live_gateways_.end(), gateway_index),
                              gateway_index);
}

void Clients::on_wakeup(std::uint64_t wakeup) {
    const std::uint64_t number = wakeup >> 2;
    if ((wakeup & 3) == NewRequest) return start_request();
    const auto it = open_requests_.find(number);
    if (it == open_requests_.end()) return;
    if ((wakeup & 3) == Retry) return send_attempt(number, it->second);
    if (!it->second.is_in_flight) return;
    it->second.is_abandoned = true;
    environment_.abandon_request(number, it->second.gateway_index);
    ++statistics.abandoned;
    finish_request(it, 3);
}

void Clients::start_request() {
    const TimePoint now = environment_.current_time();
    // Bursts: the rate is three times as high while `on`.
    const double mean =
        settings_.request_rate / settings_.frontend_count / (1.0 + 2.0 * settings_.burst_fraction);
    const bool on =
        settings_.burst_fraction > 0.0 &&
        std::fmod(secs(now - started_at_) + frontend_index_ * 1.7, 4.0) < 4.0 * settings_.burst_fraction;
    const double gap = std::exponential_distribution<>(on ? 3.0 * mean : mean)(random_);
    if (const TimePoint next = now + from_secs(gap); next < started_at_ + settings_.duration)
        environment_.schedule_wakeup(next, NewRequest);
    const std::uint64_t number = static_cast<std::uint64_t>(frontend_index_) << 40 | ++last_request_;
    Request& r = open_requests_[number];
    const auto rank =
        static_cast<std::uint64_t>(std::lower_bound(cumulative_shares_.begin(), cumulative_shares_.end(),
                                                    draw_fraction() * cumulative_shares_.back()) -
                                   cumulative_shares_.begin());
    r.customer = CustomerId{rank * static_cast<std::uint64_t>(settings_.frontend_count) +
                            static_cast<std::uint64_t>(frontend_index_)};
    seen_customers_.insert(rank);
    const double class_draw = draw_fraction();
    r.class_index = class_draw < 0.6 ? ClaimRead : class_draw < 0.85 ? Approve : ClaimSubmit;
    r.units = settings_.request_units * (draw_fraction() < 0.5 ? 1.0 : 2.0);
    r.first_sent_at = now;
    ++statistics.requests;
    if (settings_.abandon_fraction > 0.0 && draw_fraction() < settings_.abandon_fraction)
        environment_.schedule_wakeup(now + from_secs(0.2 * draw_fraction()), number << 2 | Abandon);
    send_attempt(number, r);
}

// Picks a gateway of the customer's set. A frontend sends customers_per_frontend customer's requests to that
// set only.
int Clients::pick_gateway(const Request& r) {
    const TimePoint now = environment_.current_time();
    if (now >= favourite_until_) {
        favourite_draw_ = random_();
        favourite_until_ = now + kFavouriteDuration;
    }
    const int width = gateway_set_size(settings_), first = first_gateway_of(settings_, r.customer);
    std::vector<int> alive;
    for (int i = 0; i < width; ++i)
        if (const int g = (first + i) % settings_.gateway_count;
            std::binary_search(live_gateways_.begin(), live_gateways_.end(), g))
            alive.push_back(g);
    const bool to_favourite = draw_fraction() < settings_.favourite_fraction;
    // If no gateway of the set is known to run, any of the set is tried.
    if (alive.empty())
        return (first + static_cast<int>(random_() % static_cast<std::uint64_t>(width))) %
               settings_.gateway_count;
    return alive[(to_favourite ? favourite_draw_ : random_()) % alive.size()];
}

void Clients::send_attempt(std::uint64_t number, Request& r) {
    const TimePoint now = environment_.current_time();
    const Duration left = r.first_sent_at + settings_.request_timeout - now;
    if (left <= Duration(0)) {
        ++statistics.rejected;
        return finish_request(open_requests_.find(number), 1);
    }
    r.gateway_index = pick_gateway(r);
    ++r.attempt_count;
    ++statistics.client_attempts;
    r.last_sent_at = now;
    r.is_in_flight = true;
    const int plan = static_cast<int>(static_cast<std::uint64_t>(r.customer) %
                                      std::max<std::size_t>(1, settings_.plans.size()));
    environment_.send_request(
        {number, r.attempt_count, r.customer, r.class_index, plan, r.units, left, r.gateway_index});
}

void Clients::on_answer(std::uint64_t request, RequestEnd end, Duration retry_after) {
    const auto it = open_requests_.find(request);
    if (it == open_requests_.end() || !it->second.is_in_flight) {
        // Only abandoned requests may still get a response; any other is a duplicate.
        if (!abandoned_requests_.contains(request))
            record_rule_check(statistics.rules["one answer"], false,
                              [&] { return fmt::format("request {:x} got a second response", request); });
        return;
    }
    Request& r = it->second;
    r.is_in_flight = false;
    const TimePoint now = environment_.current_time();
    const Duration late = now - (r.first_sent_at + settings_.request_timeout) - 4 * settings_.network_delay;
    record_rule_check(statistics.rules["one answer"], true, [] { return std::string(); });
    record_rule_check(statistics.rules["in time"], late <= response_slack_, [&] {
        return describe_request(request, r, fmt::format("response was {:.3f} s late", secs(late)));
    });
    const auto second = static_cast<std::size_t>(std::max(0.0, secs(now - started_at_)));
    const auto at = [&](auto& series) -> auto& { return series[std::min(second, series.size() - 1)]; };
    if (end == RequestEnd::Served) {
        ++statistics.served;
        ++at(statistics.served_by_second);
        const double ms = std::max(0.1, 1e3 * secs(now - r.first_sent_at));
        statistics.within_target +=
            now - r.first_sent_at <= simulated_classes()[static_cast<std::size_t>(r.class_index)].aim;
        latency_histogram_(ms);
        at(statistics.latency_by_second)(ms);
        return finish_request(it, 0);
    }
    statistics.rejected_attempts += end == RequestEnd::Rejected;
    const bool may_retry = end == RequestEnd::Rejected || r.class_index == ClaimRead;
    const Duration wait = std::max<Duration>(retry_after, kMinRetryDelay) + from_secs(0.05 * draw_fraction());
    if (may_retry && r.attempt_count < settings_.max_attempts &&
        now + wait < r.first_sent_at + settings_.request_timeout)
        return environment_.schedule_wakeup(now + wait, request << 2 | Retry);
    ++(end == RequestEnd::Rejected ? statistics.rejected : statistics.failed);
    ++at(end == RequestEnd::Rejected ? statistics.rejected_by_second : statistics.failed_by_second);
    finish_request(it, end == RequestEnd::Rejected ? 1 : 2);
}

void Clients::finish_request(std::unordered_map<std::uint64_t, Request>::iterator it,
                             std::uint64_t end_code) {
    statistics.digest = mix_hash(
        statistics.digest ^ it->first,
        end_code + static_cast<std::uint64_t>((environment_.current_time() - started_at_).count()) * 4);
    if (it->second.is_abandoned) abandoned_requests_.insert(it->first);
    open_requests_.erase(it);
}

void Clients::finish_run() {
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, r] : open_requests_) numbers.push_back(number);
    std::sort(numbers.begin(), numbers.end());
    for (const std::uint64_t number : numbers) {
        const Request& r = open_requests_.at(number);
        if (!r.is_in_flight) {    // waiting for a retry when the run ended
            ++statistics.rejected;
            continue;
        }
        record_rule_check(statistics.rules["one answer"], false,
                          [&] { return describe_request(number, r, "got no response"); });
    }
}

}    // namespace shaletray::testbed
