#include "system/scoreboard.h"

#include <functional>

namespace shaletray::testbed {

void Board::sent(const std::string& id, Try what) { tries_[id].what = std::move(what); }

bool Board::heard(const std::string& id, int status, std::string_view seal, std::string_view body) {
    Known& known = tries_.at(id);
    if (status == 429 || status == 503 || status == 408 || status == 421) {
        known.refused = true;
        return false;
    }
    if (status >= 300 && status < 500) ++seen_.denied;
    if (status < 200 || status >= 300) return false;
    const auto it = known.seals.find(std::string(seal));
    const bool good = it != known.seals.end() && it->second == std::hash<std::string_view>()(body);
    if (!good) ++seen_.mixed;
    return good;
}

void Board::ran(const std::string& id, const std::string& service, std::string_view tenant,
                std::string_view method, std::string_view target, std::string_view body) {
    ++runs_;
    const auto it = tries_.find(id);
    if (it == tries_.end()) {
        ++seen_.unasked;
        return;
    }
    Known& known = it->second;
    ++known.runs;
    if (on_execution_) on_execution_(std::string(tenant));
    const Try& t = known.what;
    if (t.method != method || t.target != target || t.body != body) ++seen_.unasked;
    if (t.tenant != tenant) ++seen_.wrong_tenant;
    const auto others = allowed_.find(t.service);
    if (t.service != service && (others == allowed_.end() || !others->second.contains(service)))
        ++seen_.wrong_service;
}

void Board::answered(const std::string& id, const std::string& seal, const std::string& body) {
    const auto it = tries_.find(id);
    if (it != tries_.end()) it->second.seals[seal] = std::hash<std::string_view>()(body);
}

Board::Breaches Board::breaches() const {
    Breaches all = seen_;
    for (const auto& [id, known] : tries_) {
        if (known.what.repeatable) continue;
        all.twice += known.runs > 1;
        all.refused_ran += known.refused && known.runs > 0;
    }
    return all;
}

std::uint64_t Board::repeats() const {
    std::uint64_t all = 0;
    for (const auto& [id, count] : arrivals_) all += count - 1;
    return all;
}

nlohmann::json to_json(const Board::Breaches& violations) {
    return {{"run_twice", violations.twice},
            {"refused_yet_run", violations.refused_ran},
            {"unasked", violations.unasked},
            {"wrong_service", violations.wrong_service},
            {"wrong_tenant", violations.wrong_tenant},
            {"mixed", violations.mixed},
            {"denied", violations.denied}};
}

}    // namespace shaletray::testbed
