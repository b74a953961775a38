#include "balancer/control_socket/plan_command_handler.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace shaletray::control_socket {
namespace {

using Json = nlohmann::json;
using plans::PlanTable;

Json failure_reply(const std::string& why, const std::string& text) {
    return {{"ok", false}, {"why", why}, {"text", text}};
}

Json terms_to_json(const plans::EffectivePlan& plan_terms) {
    return {{"plan", plan_terms.plan_name},
            {"version", plan_terms.terms_version},
            {"assigned", plan_terms.assignment_version},
            {"rate", plan_terms.terms.rate},
            {"burst", plan_terms.terms.burst},
            {"ceiling_rate", plan_terms.terms.ceiling_rate},
            {"ceiling_burst", plan_terms.terms.ceiling_burst}};
}

Json reservation_to_json(const plans::Reservation& reservation, const plans::PlanService& plan_service,
                         TimePoint now) {
    const auto redeemed = plan_service.redeemed_units().find(reservation.version);
    return {{"id", reservation.definition.reservation_id},
            {"version", reservation.version},
            {"customer", plans::format_customer(reservation.definition.customer)},
            {"units", reservation.definition.units},
            {"carved", reservation.reserved_units(now)},
            {"redeemed_here", redeemed == plan_service.redeemed_units().end() ? 0.0 : redeemed->second},
            {"from", plans::format_time(reservation.definition.starts_at)},
            {"until", plans::format_time(reservation.ends_at)},
            {"state", now >= reservation.ends_at     ? "over"
                      : reservation.is_open(now)     ? "open"
                      : now >= reservation.starts_at ? "carving"
                                                     : "ahead"}};
}

std::string text_field(const Json& json, const char* name) {
    const auto it = json.find(name);
    return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

TimePoint time_field(const Json& json, TimePoint now) {
    const auto it = json.find("at");
    if (it == json.end()) return now;
    const auto at = it->is_string() ? plans::parse_time(it->get<std::string>()) : std::nullopt;
    if (!at)
        throw plans::InvalidChange("at: expected a time such as 2026-12-01T08:00:00Z, found " + it->dump());
    return *at;
}

std::uint64_t integer_field(const Json& json, const char* name, std::uint64_t fallback) {
    const auto it = json.find(name);
    if (it == json.end()) return fallback;
    if (!it->is_number_unsigned())
        throw plans::InvalidChange(
            fmt::format("{}: expected a whole number from 0, found {}", name, it->dump()));
    return it->get<std::uint64_t>();
}

Json list_plans(const PlanTable& plan_table, TimePoint at) {
    Json plans = Json::array();
    for (const std::string& name : plan_table.plan_names()) {
        const auto plan_terms = plan_table.plan_terms(name, at);
        if (!plan_terms) {
            plans.push_back({{"plan", name}, {"state", "not yet"}});
            continue;
        }
        Json entry = terms_to_json(*plan_terms);
        entry["plan"] = name;
        entry["customers"] = plan_table.customer_count(name, at);
        entry["newest"] = plan_table.subject_version("plan:" + name);
        plans.push_back(entry);
    }
    return {
        {"ok", true}, {"version", plan_table.version()}, {"at", plans::format_time(at)}, {"plans", plans}};
}

Json show_subject(const Json& command, const plans::PlanService& plan_service, TimePoint now) {
    const PlanTable& plan_table = plan_service.plan_table();
    const TimePoint at = time_field(command, now);
    if (const std::string id = text_field(command, "reservation"); !id.empty()) {
        const plans::Reservation* reservation = plan_table.find_reservation(id);
        if (reservation == nullptr) return failure_reply("unknown", "there is no reservation \"" + id + "\"");
        return {{"ok", true}, {"reservation", reservation_to_json(*reservation, plan_service, at)}};
    }
    if (const std::string plan = text_field(command, "plan"); !plan.empty()) {
        const auto plan_terms = plan_table.plan_terms(plan, at);
        if (!plan_terms) return failure_reply("unknown", "there is no plan \"" + plan + "\" at that time");
        Json entry = terms_to_json(*plan_terms);
        entry["newest"] = plan_table.subject_version("plan:" + plan);
        return {{"ok", true}, {"at", plans::format_time(at)}, {"plan", entry}};
    }
    const auto customer = plans::parse_customer(text_field(command, "customer"));
    if (!customer)
        return failure_reply("wrong",
                             "expected a plan, a reservation or a customer of sixteen hexadecimal digits");
    const std::string assigned = plan_table.assigned_plan_name(*customer, at);
    Json reservations = Json::array();
    for (const plans::Reservation* reservation : plan_table.customer_reservations(*customer))
        reservations.push_back(reservation_to_json(*reservation, plan_service, at));
    Json out = {{"ok", true},
                {"at", plans::format_time(at)},
                {"customer", plans::format_customer(*customer)},
                {"assigned", assigned},
                {"newest", plan_table.subject_version("customer:" + plans::format_customer(*customer))},
                {"carved", plan_table.reserved_rate(*customer, at)},
                {"reservations", reservations}};
    if (!assigned.empty())
        if (const auto plan_terms = plan_table.plan_terms(assigned, at))
            out["terms"] = terms_to_json(*plan_terms);
    return out;
}

Json change_history(const Json& command, const PlanTable& plan_table) {
    const std::string subject = text_field(command, "subject");
    const std::uint64_t after = integer_field(command, "after", 0);
    const std::uint64_t max_entries =
        std::min<std::uint64_t>(integer_field(command, "most", 100), kMaxListedEntries);
    Json changes = Json::array();
    for (std::uint64_t v = after + 1; v <= plan_table.version() && changes.size() < max_entries; ++v) {
        const plans::PlanChange& change = plan_table.change_log()[v - 1];
        if (!subject.empty() && plans::subject_of(change.body) != subject) continue;
        changes.push_back(Json::parse(plans::serialize_change(change)));
    }
    return {{"ok", true}, {"version", plan_table.version()}, {"changes", changes}};
}

Json propose_change(Json command, const plans::PlanService& plan_service, bool is_owner,
                    const PlanCommandHandler::ChangeCommitter& commit_change, TimePoint now) {
    if (!is_owner)
        return failure_reply("not the keeper",
                             "this gateway does not own the plan table; propose changes at the owner");
    command.erase("do");
    const PlanTable& plan_table = plan_service.plan_table();
    plans::ChangeProposal proposal = plans::parse_proposal(command.dump());
    const auto outcome = plan_table.validate_proposal(proposal, now);
    if (const auto* rejection = std::get_if<plans::ChangeRejection>(&outcome)) {
        Json out = failure_reply(plans::reason_name(rejection->reason), rejection->text);
        if (rejection->latest_version > 0) out["newest"] = rejection->latest_version;
        if (!rejection->latest_author.empty()) out["newest_by"] = rejection->latest_author;
        if (rejection->max_acceptable) out["fits"] = *rejection->max_acceptable;
        return out;
    }
    const auto& change = std::get<plans::PlanChange>(outcome);
    const bool is_repeated = change.version <= plan_table.version();    // a retry of an earlier request
    if (!is_repeated) commit_change(change);
    return {{"ok", true},
            {"again", is_repeated},
            {"version", change.version},
            {"at", plans::format_time(change.effective_at)},
            {"moved", proposal.effective_at.has_value() && *proposal.effective_at < change.effective_at}};
}

}    // namespace

PlanCommandHandler::PlanCommandHandler(const plans::PlanService& plan_service, bool is_owner,
                                       ChangeCommitter commit_change)
    : plan_service_(plan_service), is_owner_(is_owner), commit_change_(std::move(commit_change)) {}

std::string PlanCommandHandler::handle_line(std::string_view line, TimePoint now) {
    try {
        const Json command = Json::parse(line, nullptr, false);
        if (!command.is_object())
            return failure_reply("wrong", "expected one object of JSON on the line").dump();
        const std::string action = text_field(command, "do");
        if (action == "list") return list_plans(plan_service_.plan_table(), time_field(command, now)).dump();
        if (action == "show") return show_subject(command, plan_service_, now).dump();
        if (action == "history") return change_history(command, plan_service_.plan_table()).dump();
        if (action == "propose")
            return propose_change(command, plan_service_, is_owner_, commit_change_, now).dump();
        if (action == "status") {
            const plans::PlanServiceStatistics statistics = plan_service_.statistics(now);
            return Json{{"ok", true},
                        {"version", plan_service_.plan_table().version()},
                        {"chain", fmt::format("{:016x}", plan_service_.plan_table().chain_hash())},
                        {"keeper", is_owner_},
                        {"late", statistics.late_changes},
                        {"latest_us", statistics.max_lateness.count()},
                        {"behind_us", statistics.max_delay.count()},
                        {"open_reservations", statistics.open_reservations}}
                .dump();
        }
        return failure_reply("wrong", "do: expected list, show, history, propose or status").dump();
    } catch (const std::exception& error) {
        return failure_reply("wrong", error.what()).dump();
    }
}

}    // namespace shaletray::control_socket
