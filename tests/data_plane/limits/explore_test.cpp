// Two gateways, two stores and a ceiling of three units, in every order of a few steps: rows written, read,
// lost and fallen back, time passing, gateways started anew.
#include <gtest/gtest.h>

#include <array>
#include <iostream>
#include <string>

#include "data_plane/limits/simulated_gateways.h"

namespace shaletray::limits {
namespace {

using namespace std::chrono_literals;

constexpr CustomerId kOnly{1};

QuotaTableSettings settings(int own_index, std::uint64_t incarnation, double burst) {
    QuotaTableSettings settings;
    settings.own_index = own_index;
    settings.gateway_count = 2;
    settings.plans.resize(1);
    settings.plans[0] = {"empresa", 1.0, 3.0, 0, 2.0, burst, 1.0, 1.0, 0.0, 0.0};
    settings.max_request_units = 1.0;
    settings.lease_duration = 2s;
    settings.reserve_fraction = 0.25;
    settings.incarnation = incarnation;
    return settings;
}

struct State {
    struct Store {
        std::array<std::optional<QuotaRow>, 2> now, before;
    };
    TimePoint now = TimePoint{} + 100s;
    std::vector<QuotaStateTable> ledgers;
    std::vector<test::Grants> grants;
    std::array<Store, 2> stores;
    std::array<std::uint64_t, 2> lives{100, 200};
    double burst;
    test::Reference reference;

    explicit State(double of) : burst(of) {
        for (int index = 0; index < 2; ++index)
            ledgers.emplace_back(settings(index, lives[static_cast<std::size_t>(index)], burst), now);
        grants.resize(2);
        reference = {2.0, burst, burst, 0.0, now};
        for (std::size_t index = 0; index < 2; ++index) ask(index);
    }
    void tick(std::size_t index) {
        std::vector<Allowance> changed;
        ledgers[index].tick(now, changed);
        for (const Allowance& a : changed) grants[index].on_allowance(a, now);
    }
    void ask(std::size_t index) {
        tick(index);
        if (const auto a = ledgers[index].on_request(kOnly, 0, 0, 2, index == 0 ? 0.2 : 3.0, now))
            grants[index].on_allowance(*a, now);
    }
    bool admit(std::size_t index) {
        ask(index);
        if (!grants[index].admit(kOnly, 1.0, true, now)) return false;
        ledgers[index].record_admission(kOnly, 1.0, now);
        reference.admit(1.0, now);
        return true;
    }
    void write(std::size_t index, std::size_t store) {
        ledgers[index].rewrite_all_rows();
        for (const auto& [id, row] : ledgers[index].rows_due(now, 1)) {
            stores[store].before[index] = stores[store].now[index];
            stores[store].now[index] = row;
        }
        tick(index);
    }
    void read(std::size_t index, std::size_t store) {
        const auto& row = stores[store].now[1 - index];
        if (row) ledgers[index].on_row(kOnly, static_cast<int>(1 - index), *row, now);
        tick(index);
    }
    void restart(std::size_t index, bool clock_back) {
        lives[index] = clock_back ? lives[index] - 7 : lives[index] + 10;    // never one that was before
        ledgers[index] = QuotaStateTable(settings(static_cast<int>(index), lives[index], burst), now);
        grants[index] = {};
        ask(index);
    }
    double sum() {
        for (std::size_t index = 0; index < 2; ++index) tick(index);
        return ledgers[0].rate_limit_share(kOnly, now) + ledgers[1].rate_limit_share(kOnly, now);
    }
};

constexpr int kSteps = 18;

// False where the step does nothing here, so that what follows was explored without it.
bool step(State& s, int which) {
    if (which < 2) return s.admit(static_cast<std::size_t>(which));
    if (which < 6) return s.write((which - 2) % 2, (which - 2) / 2), true;
    if (which < 10) {
        const auto reader = static_cast<std::size_t>(which - 6) % 2,
                   store = static_cast<std::size_t>(which - 6) / 2;
        if (!s.stores[store].now[1 - reader]) return false;
        return s.read(reader, store), true;
    }
    if (which < 14) {    // a store falls back for one gateway's row, or altogether
        State::Store& store = s.stores[static_cast<std::size_t>(which - 10) % 2];
        if (!store.now[0] && !store.now[1]) return false;
        if (which < 12) store.now = {};
        else std::swap(store.now, store.before);
        return true;
    }
    if (which < 16) return s.restart(static_cast<std::size_t>(which - 14), false), true;
    if (which == 16) return s.restart(0, true), true;
    s.now += 500ms;
    for (std::size_t index = 0; index < 2; ++index) s.ask(index);
    return true;
}

struct ExplorationResult {
    std::uint64_t states = 0;
    double max_share_sum = 0.0, max_debt = 0.0;
    std::string worst;
};

void explore(const State& from, int depth, const std::string& path, ExplorationResult& found) {
    ++found.states;
    if (depth == 0) return;
    for (int which = 0; which < kSteps; ++which) {
        State next = from;
        if (!step(next, which)) continue;
        const std::string taken = path + " " + std::to_string(which);
        const double sum = next.sum(), deep = next.reference.lowest_level;
        if (sum > found.max_share_sum || deep < found.max_debt) found.worst = taken;
        found.max_share_sum = std::max(found.max_share_sum, sum);
        found.max_debt = std::min(found.max_debt, deep);
        explore(next, depth - 1, taken, found);
    }
}

// The steps before which all orders are tried: from the start, from leases in force, from a lease being
// lowered.
class Exploration : public testing::TestWithParam<std::tuple<double, std::vector<int>>> {};

TEST_P(Exploration, KeepsTheCeilingInEveryOrder) {
    const auto& [burst, prefix] = GetParam();
    State state(burst);
    for (const int which : prefix) step(state, which);
    ASSERT_LE(state.sum(), 1.0 + 1e-9);
#ifdef __SANITIZE_ADDRESS__
    constexpr int kDepth = 4;
#else
    constexpr int kDepth = 5;
#endif
    ExplorationResult found;
    explore(state, kDepth, "", found);
    EXPECT_LE(found.max_share_sum, 1.0 + 1e-9) << found.worst;
    EXPECT_GE(found.max_debt, -1e-9) << found.worst;
    EXPECT_GT(found.states, 100u);
    std::cout << found.states << " states\n";
}

INSTANTIATE_TEST_SUITE_P(
    From, Exploration,
    // Three units, of which each gateway can hold one at least, and four, of which a part is never leased.
    testing::Combine(testing::Values(3.0, 4.0),
                     testing::Values(std::vector<int>{}, std::vector<int>{3, 6, 2, 7, 3, 6, 2},
                                     std::vector<int>{17, 17, 17, 17, 3, 6, 2, 7, 3, 6, 2, 7},
                                     std::vector<int>{17, 17, 17, 17, 17, 3, 6, 2, 7, 1, 3, 6, 17, 2, 17},
                                     std::vector<int>{17, 17, 17, 17, 17, 3, 6, 2, 4, 7, 3, 5, 6, 2, 14,
                                                      17})));

}    // namespace
}    // namespace shaletray::limits
