#include "system/scoreboard.h"

#include <functional>
#include <utility>

namespace shaletray::testbed {

void Scoreboard::record_sent(const std::string& id, Attempt attempt) {
    AttemptRecord& record = attempts_[id];
    record.attempt = std::move(attempt);
    const std::string body = std::exchange(record.attempt.body, {});
    record.body_size = body.size();
    record.body_hash = std::hash<std::string_view>()(body);
}

bool Scoreboard::record_received(const std::string& id, int status, std::string_view seal,
                                 std::string_view body) {
    AttemptRecord& record = attempts_.at(id);
    if (status == 429 || status == 503 || status == 408 || status == 421) {
        record.is_rejected = true;
        return false;
    }
    if (status >= 300 && status < 500) ++violations_.denied_requests;
    if (status < 200 || status >= 300) return false;
    const auto it = record.seals.find(std::string(seal));
    const bool is_valid = it != record.seals.end() && it->second == std::hash<std::string_view>()(body);
    if (!is_valid) ++violations_.mismatched_responses;
    return is_valid;
}

void Scoreboard::record_execution(const std::string& id, const std::string& service, std::string_view tenant,
                                  std::string_view method, std::string_view target, std::string_view body) {
    ++execution_count_;
    const auto it = attempts_.find(id);
    if (it == attempts_.end()) {
        ++violations_.unknown_requests;
        return;
    }
    AttemptRecord& record = it->second;
    ++record.execution_count;
    if (on_execution_) on_execution_(std::string(tenant));
    const Attempt& sent = record.attempt;
    const bool has_same_body =
        record.body_size == body.size() && record.body_hash == std::hash<std::string_view>()(body);
    if (sent.method != method || sent.target != target || !has_same_body) ++violations_.unknown_requests;
    if (sent.tenant != tenant) ++violations_.wrong_tenant;
    const auto substitutes = substitute_services_.find(sent.service);
    if (sent.service != service &&
        (substitutes == substitute_services_.end() || !substitutes->second.contains(service)))
        ++violations_.wrong_service;
}

void Scoreboard::record_response(const std::string& id, const std::string& seal, const std::string& body) {
    const auto it = attempts_.find(id);
    if (it != attempts_.end()) it->second.seals[seal] = std::hash<std::string_view>()(body);
}

Scoreboard::Violations Scoreboard::count_violations() const {
    Violations total = violations_;
    for (const auto& [id, record] : attempts_) {
        if (record.attempt.is_idempotent) continue;
        total.repeated_executions += record.execution_count > 1;
        total.executed_after_rejection += record.is_rejected && record.execution_count > 0;
    }
    return total;
}

std::uint64_t Scoreboard::repeat_count() const {
    std::uint64_t total = 0;
    for (const auto& [id, count] : arrivals_) total += count - 1;
    return total;
}

nlohmann::json to_json(const Scoreboard::Violations& violations) {
    return {{"run_twice", violations.repeated_executions},
            {"refused_yet_run", violations.executed_after_rejection},
            {"unasked", violations.unknown_requests},
            {"wrong_service", violations.wrong_service},
            {"wrong_tenant", violations.wrong_tenant},
            {"mixed", violations.mismatched_responses},
            {"surplus", violations.surplus_responses},
            {"denied", violations.denied_requests}};
}

}    // namespace shaletray::testbed
