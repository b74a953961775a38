// Concurrent operators, each with one call at a time: concurrent changes with the same version, stale
// changes, reads, lost responses, and changes repeated at another gateway. They reach each gateway through a
// fault proxy. The calls are recorded for the check of testbed/operation_history.h. Everything runs on the
// reactor's thread.
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

// Owns the fault proxies and the history.
class OperatorGroup {
public:
    // What the operators send.
    struct Settings {
        int operator_count = 3;
        std::uint64_t seed = 1;
        // The text of a configuration; it differs for each body.
        std::function<std::string(std::uint64_t version, std::uint64_t body)> make_configuration_text;
    };
    // Results of the calls; `resets` counts injected faults.
    struct Statistics {
        std::uint64_t changes = 0, acknowledged = 0, conflicts = 0, rejected = 0, indeterminate = 0;
        std::uint64_t reads = 0, attempts = 0, abandoned_replies = 0, resets = 0;
    };
    OperatorGroup(HttpCalls& calls, Settings settings);
    ~OperatorGroup();
    OperatorGroup(const OperatorGroup&) = delete;
    OperatorGroup& operator=(const OperatorGroup&) = delete;

    // Replaces the addresses to call; calls in progress go on.
    void set_gateways(const std::vector<std::string>& addresses);
    void start_operators();
    void stop_operators();    // no further calls; those in progress go on
    bool is_quiet() const { return active_calls_ == 0; }
    // Submits a change with a new highest version that no other change uses, and waits for each response.
    // `on_done` receives whether it was acknowledged within `timeout`.
    void submit_change(Duration timeout, std::function<void(bool)> on_done);
    // Reads once; `on_done` receives whether that succeeded.
    void read_configuration(Duration timeout, std::function<void(bool)> on_done);
    const Statistics& statistics() const { return statistics_; }
    const std::vector<history::Operation>& history() const { return history_; }

private:
    struct Call;
    using OutcomeCallback = std::function<void(history::Operation::Outcome)>;
    void start_next_call(int operator_index);
    void start_call(history::Operation operation, std::string text, Duration timeout, bool abandons_reply,
                    OutcomeCallback on_outcome);
    void send_attempt(const std::shared_ptr<Call>& call);
    void on_reply(const std::shared_ptr<Call>& call, const HttpReply& reply);
    void finish_call(Call& call, history::Operation::Outcome outcome);
    void inject_fault();
    history::Operation draw_change();
    std::int64_t elapsed_time() const;
    std::size_t draw_index(std::size_t upper_bound) { return random_() % upper_bound; }

    HttpCalls& calls_;
    Settings settings_;
    std::mt19937_64 random_;
    std::map<std::string, std::unique_ptr<FaultProxy>> proxies_;    // by gateway address
    std::vector<std::string> gateways_;
    std::vector<history::Operation> history_;
    std::uint64_t last_version_ = 0, last_body_ = 0;
    std::set<std::uint64_t> uncontested_versions_;    // versions for which no second change is sent
    Statistics statistics_;
    int active_calls_ = 0;
    bool is_running_ = false;
    std::vector<Timers::Id> call_timers_;
    Timers::Id fault_timer_ = 0;
    std::shared_ptr<int> lifetime_token_ = std::make_shared<int>(0);
};

}    // namespace shaletray::testbed
