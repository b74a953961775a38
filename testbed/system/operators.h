// Several operators at once, each with one call under way: orders that race under one number or come too
// late, reads, answers that get lost on their way, orders sent again to others. They reach each gateway by a
// relay that can be cut and reset. What they saw is kept for testbed/operation_history.h. Everything of one
// thread.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "operation_history.h"
#include "system/http_calls.h"
#include "test_processes.h"

namespace shaletray::testbed {

class Operators {
public:
    struct Settings {
        int count = 3;
        std::uint64_t seed = 1;
        // The text of a configuration; two bodies under one version differ.
        std::function<std::string(std::uint64_t version, std::uint64_t body)> text;
    };
    struct Figures {
        std::uint64_t orders = 0, acknowledged = 0, conflicts = 0, refused = 0, unclear = 0;
        std::uint64_t reads = 0, tries = 0, answers_left = 0, resets = 0;
    };
    Operators(Calls& calls, Settings settings);
    ~Operators();
    Operators(const Operators&) = delete;
    Operators& operator=(const Operators&) = delete;

    // Whom they call from now on; calls under way go on.
    void gateways(const std::vector<std::string>& control);
    void start();
    void stop();    // no further calls; those under way go on
    bool is_quiet() const { return under_way_ == 0; }
    // One more order, over all numbers so far and under one that no other uses, by a caller who waits for
    // each answer. `done` is told whether it was acknowledged within `most`.
    void order(Duration most, std::function<void(bool)> done);
    void read(Duration most, std::function<void(bool)> done);
    const Figures& figures() const { return figures_; }
    const std::vector<history::Operation>& history() const { return history_; }

private:
    struct Call;
    using Ended = std::function<void(history::Operation::Answer)>;
    void next(int who);
    void begin(history::Operation what, std::string text, Duration most, bool leaves, Ended ended);
    void attempt(const std::shared_ptr<Call>& call);
    void answered(const std::shared_ptr<Call>& call, const CallAnswer& answer);
    void finish(Call& call, history::Operation::Answer answer);
    void trouble();
    history::Operation draw_order();
    std::int64_t now() const;
    std::size_t draw(std::size_t below) { return random_() % below; }

    Calls& calls_;
    Settings s_;
    std::mt19937_64 random_;
    std::map<std::string, std::unique_ptr<Relay>> relays_;    // by the gateway's address
    std::vector<std::string> gateways_;
    std::vector<history::Operation> history_;
    std::uint64_t last_version_ = 0, last_body_ = 0;
    std::set<std::uint64_t> alone_;    // versions that no other order races with
    Figures figures_;
    int under_way_ = 0;
    bool on_ = false;
    std::vector<Timers::Id> turns_;
    Timers::Id trouble_ = 0;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

}    // namespace shaletray::testbed
