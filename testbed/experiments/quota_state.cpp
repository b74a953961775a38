// The ledger and the exchange at size, in virtual time and without sockets: 100,000 customers seen by three
// gateways, 1,000 of them in use. What a customer costs in memory, a request in time and calls, and how long
// a gateway that starts anew takes to have its shares again.
//   SEED= CUSTOMERS= ACTIVE= from the environment. Ends non-zero where a bound breaks.
#include <fmt/format.h>
#include <malloc.h>

#include <chrono>
#include <cstdlib>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <vector>

#include "balancer/shared_counter/store_exchange.h"
#include "simulator/board.h"

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;
using limits::CustomerId;
using limits::Duration;
using limits::QuotaStateTable;
using limits::TimePoint;
using shared_counter::RespReader;
using shared_counter::StoreExchange;

constexpr int kGateways = 3;

struct Gateway {
    std::unique_ptr<QuotaStateTable> ledger;
    shared_counter::SharedCounterStatistics stats;
    std::unique_ptr<StoreExchange> exchange;
    std::uint64_t requests = 0;
};

class Scale {
public:
    Scale(std::uint64_t seed, std::size_t customers, std::size_t active)
        : random_(seed), customers_(customers), active_(active) {
        for (int i = 0; i < kGateways; ++i) start(i);
    }

    int run() {
        const std::size_t empty = mallinfo2().uordblks;
        // All customers come once, in ten seconds, through any gateway.
        const Duration each = Duration(10'000'000) / static_cast<std::int64_t>(customers_);
        for (std::size_t id = 0; id < customers_; ++id) {
            now_ += each;
            ask(static_cast<int>(random_() % kGateways), id);
            if (now_ >= next_tick_) tick();
        }
        const std::size_t full = mallinfo2().uordblks;
        std::size_t tracked = 0;
        for (const Gateway& g : gateways_) tracked += g.ledger->statistics(now_).tracked_customers;
        const double bytes =
            static_cast<double>(full - empty) / static_cast<double>(std::max<std::size_t>(1, tracked));
        // Then some of them only, at a hundred requests a second a gateway.
        serve(45s);
        for (Gateway& g : gateways_) g.requests = g.stats.calls = 0;
        const auto began = std::chrono::steady_clock::now();
        serve(20s);
        const double took = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
        std::uint64_t requests = 0, calls = 0, live = 0, left = 0, alone = 0;
        for (const Gateway& g : gateways_) {
            requests += g.requests;
            calls += g.stats.calls;
            live += g.ledger->statistics(now_).exchanging_customers;
            alone += g.ledger->statistics(now_).isolated_customers;
            left += g.ledger->statistics(now_).tracked_customers;
        }
        const double per_request = 1e6 * took / static_cast<double>(requests);
        // A gateway starts anew: until half of what is in use is shared with it again.
        const std::size_t before = gateways_[0].ledger->statistics(now_).exchanging_customers;
        start(0);
        const TimePoint restarted = now_;
        while (gateways_[0].ledger->statistics(now_).exchanging_customers < before / 2 &&
               now_ - restarted < 60s)
            serve(100ms);
        const double back = std::chrono::duration<double>(now_ - restarted).count();
        const double calls_per_request = static_cast<double>(calls) / static_cast<double>(requests);
        fmt::print("customers seen          {:>12}\nin use                  {:>12}\n", customers_, active_);
        fmt::print("bytes a tracked one     {:>12.0f}\ntracked an idle minute later {:>7}\n", bytes, left);
        fmt::print("rows travelling         {:>12}\nof those not heard of all {:>10}\n", live, alone);
        fmt::print("calls a request         {:>12.3f}\n", calls_per_request);
        fmt::print("us a request, all three and the store {:.1f}\n", per_request);
        fmt::print("s until half is shared after a start  {:.1f}\n", back);
        std::vector<std::string> broken;
        if (bytes > 1500.0) broken.push_back("a customer takes more than 1500 bytes");
        if (calls_per_request > 0.05) broken.push_back("more than 0.05 calls a request");
        if (left > static_cast<std::uint64_t>(kGateways) * (active_ + active_ / 2))
            broken.push_back("idle customers are kept");
        if (alone * 10 > live) broken.push_back("rows do not travel as fast as they have to");
        if (back > 30.0) broken.push_back("a started gateway is alone for more than 30 s");
        for (const std::string& what : broken) fmt::print("BROKEN: {}\n", what);
        const nlohmann::json out = {{"experiment", "ledger"},
                                    {"customers", customers_},
                                    {"active", active_},
                                    {"bytes_per_customer", bytes},
                                    {"calls_per_request", calls_per_request},
                                    {"us_per_request", per_request},
                                    {"tracked_after_idle", left},
                                    {"live", live},
                                    {"alone", alone},
                                    {"s_until_half_shared_after_start", back},
                                    {"broken", broken}};
        fmt::print("{}\n", out.dump());
        return broken.empty() ? 0 : 1;
    }

private:
    void start(int i) {
        Gateway& g = gateways_[static_cast<std::size_t>(i)];
        limits::QuotaTableSettings s;
        s.own_index = i;
        s.gateway_count = kGateways;
        // One that its customers hardly use, and one so narrow that shares have to go where they ask.
        s.plans.resize(2);
        for (const std::size_t narrow : {0, 1}) {
            s.plans[narrow].rate = narrow ? 0.4 : 5.0;
            s.plans[narrow].burst = narrow ? 12.0 : 20.0;
            s.plans[narrow].ceiling_rate = 2 * s.plans[narrow].rate;
            s.plans[narrow].ceiling_burst = 2 * s.plans[narrow].burst;
        }
        s.max_request_units = 4.0;
        s.incarnation =
            static_cast<std::uint64_t>(now_.time_since_epoch().count()) + static_cast<std::uint64_t>(i);
        s.max_customers = customers_;
        g.exchange.reset();
        g.ledger = std::make_unique<QuotaStateTable>(s, now_);
        shared_counter::StoreExchangeSettings e;
        shared_counter::StoreSessionSettings one;
        one.key_prefix = "x";
        one.own_index = i;
        one.gateway_count = kGateways;
        e.stores = {one};
        g.exchange = std::make_unique<StoreExchange>(e, *g.ledger, g.stats);
    }
    static int narrow(std::size_t id) { return id % 4 == 0; }
    void ask(int i, std::size_t id) {
        Gateway& g = gateways_[static_cast<std::size_t>(i)];
        ++g.requests;
        if (g.ledger->on_request(CustomerId{id + 1}, narrow(id), 0, kGateways, 1.0, now_))
            g.ledger->record_admission(CustomerId{id + 1}, 1.0, now_);
    }
    void tick() {
        next_tick_ = now_ + 25ms;
        for (Gateway& g : gateways_) {
            std::vector<limits::Allowance> changed;
            g.ledger->tick(now_, changed);
            shared_counter::StoreSession& session = g.exchange->session_at(0);
            if (session.wants_connection(now_)) {
                session.on_dialling(now_);
                session.on_connected(now_);
            }
            g.exchange->tick(now_);
            RespReader commands;
            commands.feed(session.take_output());
            while (const auto command = commands.next_reply())
                session.on_received(board_.answer(*command), now_);
        }
    }
    void serve(Duration time) {
        for (const TimePoint end = now_ + time; now_ < end;) {
            now_ += Duration(1'000'000 / (100 * kGateways));
            const std::size_t id = random_() % active_;
            ask(static_cast<int>(random_() % 4 == 0 ? random_() % kGateways : id % kGateways), id);
            if (now_ >= next_tick_) tick();
        }
    }

    std::mt19937_64 random_;
    std::size_t customers_, active_;
    TimePoint now_ = TimePoint{} + 100h, next_tick_{};
    Board board_;
    std::vector<Gateway> gateways_{kGateways};
};

std::size_t environment_size(const char* name, std::size_t fallback) {
    const char* const text = std::getenv(name);
    if (text == nullptr || *text == '\0') return fallback;
    char* end = nullptr;
    const unsigned long long value = std::strtoull(text, &end, 10);
    if (*end != '\0' || value < 1 || value > 10'000'000)
        throw std::runtime_error(fmt::format("{} must be a whole number of 1 to 10000000", name));
    return static_cast<std::size_t>(value);
}

}    // namespace
}    // namespace shaletray::testbed

int main() {
    try {
        const std::size_t seed = shaletray::testbed::environment_size("SEED", 1);
        const std::size_t customers = shaletray::testbed::environment_size("CUSTOMERS", 100'000);
        const std::size_t active = std::min(customers, shaletray::testbed::environment_size("ACTIVE", 1000));
        return shaletray::testbed::Scale(seed, customers, active).run();
    } catch (const std::exception& error) {
        fmt::print(stderr, "{}\n", error.what());
        return 2;
    }
}
