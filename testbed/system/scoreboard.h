// What was asked, what ran and what was answered, by the id of each try: the rules that can be judged from
// the outside. Everything of one thread.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace shaletray::testbed {

class Board {
public:
    struct Try {
        std::string service, tenant, method, target, body;
        bool repeatable = false;
    };
    struct Breaches {
        std::uint64_t twice = 0;            // ids of requests that may not be repeated, and ran again
        std::uint64_t refused_ran = 0;      // the same: promised not to have run, yet they did
        std::uint64_t unasked = 0;          // runs of what no client sent, or of something changed
        std::uint64_t wrong_service = 0;    // runs
        std::uint64_t wrong_tenant = 0;     // runs
        std::uint64_t mixed = 0;            // answers that are not the server's
        std::uint64_t denied = 0;           // proper requests answered with a 4xx of the system's own
        std::uint64_t all() const {
            return twice + refused_ran + unasked + wrong_service + wrong_tenant + mixed + denied;
        }
    };

    // By clients. A route may be served by further services once a configuration said so.
    void sent(const std::string& id, Try what);
    void also_allowed(const std::string& service, const std::string& instead) {
        allowed_[service].insert(instead);
    }
    // An answer to it, whole. True where it is a success that counts.
    bool heard(const std::string& id, int status, std::string_view seal, std::string_view body);

    // By servers.
    void arrived(const std::string& id) { ++arrivals_[id]; }
    void ran(const std::string& id, const std::string& service, std::string_view tenant,
             std::string_view method, std::string_view target, std::string_view body);
    void answered(const std::string& id, const std::string& seal, const std::string& body);

    Breaches breaches() const;
    std::uint64_t runs() const { return runs_; }
    // Arrivals at servers beyond the first of each id.
    std::uint64_t repeats() const;
    std::size_t tries() const { return tries_.size(); }

private:
    struct Known {
        Try what;
        std::uint32_t runs = 0;
        bool refused = false;
        std::map<std::string, std::size_t> seals;    // each with its body's hash
    };
    std::unordered_map<std::string, Known> tries_;
    std::unordered_map<std::string, std::uint32_t> arrivals_;
    std::map<std::string, std::set<std::string>> allowed_;
    Breaches seen_;
    std::uint64_t runs_ = 0;
};

nlohmann::json to_json(const Board::Breaches& violations);

}    // namespace shaletray::testbed
