// Records what clients sent, servers ran and clients received, by the id of each attempt, and counts
// violations of the rules that are visible from outside the system. Everything runs on the reactor's thread.
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
class Board {
public:
    // An attempt as its client sent it.
    struct Try {
        std::string service, tenant, method, target, body;
        bool repeatable = false;    // idempotent
    };
    // Violations; all are 0 in a correct system.
    struct Breaches {
        std::uint64_t twice = 0;            // ids of requests that must not be repeated, yet ran again
        std::uint64_t refused_ran = 0;      // ids of such requests that ran despite a rejection
        std::uint64_t unasked = 0;          // executions of what no client sent, or of altered requests
        std::uint64_t wrong_service = 0;    // executions by another service
        std::uint64_t wrong_tenant = 0;     // executions for another tenant
        std::uint64_t mixed = 0;            // responses that differ from the server's
        std::uint64_t denied = 0;           // valid requests that the system answered with a 4xx of its own
        std::uint64_t all() const {
            return twice + refused_ran + unasked + wrong_service + wrong_tenant + mixed + denied;
        }
    };

    // Called for each execution of what a client sent, with the tenant for which the server was told to run
    // it.
    using ExecutionObserver = std::function<void(const std::string& tenant)>;
    void set_execution_observer(ExecutionObserver observer) { on_execution_ = std::move(observer); }

    // Called by clients, before an attempt is sent.
    void sent(const std::string& id, Try what);
    // Requests to `service` may also run at `instead`, after a change of the configuration.
    void also_allowed(const std::string& service, const std::string& instead) {
        allowed_[service].insert(instead);
    }
    // A complete response to it has arrived. True if it is a valid success.
    bool heard(const std::string& id, int status, std::string_view seal, std::string_view body);

    // Called by servers: an attempt arrived, was executed, was answered.
    void arrived(const std::string& id) { ++arrivals_[id]; }
    void ran(const std::string& id, const std::string& service, std::string_view tenant,
             std::string_view method, std::string_view target, std::string_view body);
    void answered(const std::string& id, const std::string& seal, const std::string& body);

    Breaches breaches() const;
    std::uint64_t runs() const { return runs_; }
    // Arrivals at servers beyond the first for each id.
    std::uint64_t repeats() const;
    std::size_t tries() const { return tries_.size(); }

private:
    struct Known {
        Try what;
        std::uint32_t runs = 0;
        bool refused = false;
        std::map<std::string, std::size_t> seals;    // with the hash of each response's body
    };
    std::unordered_map<std::string, Known> tries_;
    std::unordered_map<std::string, std::uint32_t> arrivals_;
    std::map<std::string, std::set<std::string>> allowed_;
    Breaches seen_;
    std::uint64_t runs_ = 0;
    ExecutionObserver on_execution_;
};

nlohmann::json to_json(const Board::Breaches& violations);

}    // namespace shaletray::testbed
