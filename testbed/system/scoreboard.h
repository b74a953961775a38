// Records sent requests, executions by servers and received responses by attempt id, and counts violations of
// the rules that are visible from outside the system. Everything runs on the reactor's thread.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace shaletray::testbed {

// Shared by clients and servers of one experiment.
class Scoreboard {
public:
    // An attempt as its client sent it.
    struct Attempt {
        std::string service, tenant, method, target, body;
        bool is_idempotent = false;
    };
    // Violations; all are 0 in a correct system.
    struct Violations {
        // Ids of non-idempotent requests that were executed again.
        std::uint64_t repeated_executions = 0;
        // Ids of such requests that were executed despite a rejection.
        std::uint64_t executed_after_rejection = 0;
        // Executions of requests that no client sent, or of altered requests.
        std::uint64_t unknown_requests = 0;
        std::uint64_t wrong_service = 0;           // executions by another service
        std::uint64_t wrong_tenant = 0;            // executions for another tenant
        std::uint64_t mismatched_responses = 0;    // responses that differ from the server's
        std::uint64_t surplus_responses = 0;       // responses on connections where no request waits for one
        std::uint64_t denied_requests = 0;         // valid requests that got a 4xx from the system itself
        std::uint64_t total() const {
            return repeated_executions + executed_after_rejection + unknown_requests + wrong_service +
                   wrong_tenant + mismatched_responses + surplus_responses + denied_requests;
        }
    };

    // Called for each execution of a request that a client sent, with the tenant that the server received.
    using ExecutionObserver = std::function<void(const std::string& tenant)>;
    void set_execution_observer(ExecutionObserver observer) { on_execution_ = std::move(observer); }

    // Called by clients, before an attempt is sent.
    void record_sent(const std::string& id, Attempt attempt);
    // Requests to `service` may also be executed by `substitute`, after a change of the configuration.
    void allow_substitute(const std::string& service, const std::string& substitute) {
        substitute_services_[service].insert(substitute);
    }
    // Called by clients, for each complete response. True if it is a valid success.
    bool record_received(const std::string& id, int status, std::string_view seal, std::string_view body);

    // Called by clients, for bytes on a connection where no request waits for a response.
    void record_surplus_response() { ++violations_.surplus_responses; }

    // Called by servers when an attempt arrives, is executed and is answered.
    void record_arrival(const std::string& id) { ++arrivals_[id]; }
    void record_execution(const std::string& id, const std::string& service, std::string_view tenant,
                          std::string_view method, std::string_view target, std::string_view body);
    void record_response(const std::string& id, const std::string& seal, const std::string& body);

    Violations count_violations() const;
    std::uint64_t execution_count() const { return execution_count_; }
    // Arrivals at servers beyond the first for each id.
    std::uint64_t repeat_count() const;
    std::size_t attempt_count() const { return attempts_.size(); }

private:
    struct AttemptRecord {
        Attempt attempt;    // without its body
        std::size_t body_size = 0, body_hash = 0;
        std::uint32_t execution_count = 0;
        bool is_rejected = false;
        std::map<std::string, std::size_t> seals;    // with the hash of each response's body
    };
    std::unordered_map<std::string, AttemptRecord> attempts_;
    std::unordered_map<std::string, std::uint32_t> arrivals_;
    std::map<std::string, std::set<std::string>> substitute_services_;
    Violations violations_;
    std::uint64_t execution_count_ = 0;
    ExecutionObserver on_execution_;
};

nlohmann::json to_json(const Scoreboard::Violations& violations);

}    // namespace shaletray::testbed
