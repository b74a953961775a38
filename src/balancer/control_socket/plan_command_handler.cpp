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

Json terms_to_json(const plans::EffectivePlan& f) {
    return {{"plan", f.plan_name},
            {"version", f.terms_version},
            {"assigned", f.assignment_version},
            {"rate", f.terms.rate},
            {"burst", f.terms.burst},
            {"ceiling_rate", f.terms.ceiling_rate},
            {"ceiling_burst", f.terms.ceiling_burst}};
}

Json reservation_to_json(const plans::Reservation& r, const plans::PlanService& desk, TimePoint now) {
    const auto redeemed = desk.redeemed_units().find(r.version);
    return {{"id", r.definition.reservation_id},
            {"version", r.version},
            {"customer", plans::format_customer(r.definition.customer)},
            {"units", r.definition.units},
            {"carved", r.reserved_units(now)},
            {"redeemed_here", redeemed == desk.redeemed_units().end() ? 0.0 : redeemed->second},
            {"from", plans::format_time(r.definition.starts_at)},
            {"until", plans::format_time(r.ends_at)},
            {"state", now >= r.ends_at     ? "over"
                      : r.is_open(now)     ? "open"
                      : now >= r.starts_at ? "carving"
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

Json list_plans(const PlanTable& book, TimePoint at) {
    Json plans = Json::array();
    for (const std::string& name : book.plan_names()) {
        const auto f = book.plan_terms(name, at);
        if (!f) {
            plans.push_back({{"plan", name}, {"state", "not yet"}});
            continue;
        }
        Json one = terms_to_json(*f);
        one["plan"] = name;
        one["customers"] = book.customer_count(name, at);
        one["newest"] = book.subject_version("plan:" + name);
        plans.push_back(one);
    }
    return {{"ok", true}, {"version", book.version()}, {"at", plans::format_time(at)}, {"plans", plans}};
}

Json show_subject(const Json& asked, const plans::PlanService& desk, TimePoint now) {
    const PlanTable& book = desk.plan_table();
    const TimePoint at = time_field(asked, now);
    if (const std::string id = text_field(asked, "reservation"); !id.empty()) {
        const plans::Reservation* r = book.find_reservation(id);
        if (r == nullptr) return failure_reply("unknown", "there is no reservation \"" + id + "\"");
        return {{"ok", true}, {"reservation", reservation_to_json(*r, desk, at)}};
    }
    if (const std::string plan = text_field(asked, "plan"); !plan.empty()) {
        const auto f = book.plan_terms(plan, at);
        if (!f) return failure_reply("unknown", "there is no plan \"" + plan + "\" at that time");
        Json one = terms_to_json(*f);
        one["newest"] = book.subject_version("plan:" + plan);
        return {{"ok", true}, {"at", plans::format_time(at)}, {"plan", one}};
    }
    const auto customer = plans::parse_customer(text_field(asked, "customer"));
    if (!customer)
        return failure_reply("wrong",
                             "expected a plan, a reservation or a customer of sixteen hexadecimal digits");
    const std::string assigned = book.assigned_plan_name(*customer, at);
    Json reservations = Json::array();
    for (const plans::Reservation* r : book.customer_reservations(*customer))
        reservations.push_back(reservation_to_json(*r, desk, at));
    Json out = {{"ok", true},
                {"at", plans::format_time(at)},
                {"customer", plans::format_customer(*customer)},
                {"assigned", assigned},
                {"newest", book.subject_version("customer:" + plans::format_customer(*customer))},
                {"carved", book.reserved_rate(*customer, at)},
                {"reservations", reservations}};
    if (!assigned.empty())
        if (const auto f = book.plan_terms(assigned, at)) out["terms"] = terms_to_json(*f);
    return out;
}

Json change_history(const Json& asked, const PlanTable& book) {
    const std::string subject = text_field(asked, "subject");
    const std::uint64_t after = integer_field(asked, "after", 0);
    const std::uint64_t most = std::min<std::uint64_t>(integer_field(asked, "most", 100), kMaxListedEntries);
    Json changes = Json::array();
    for (std::uint64_t v = after + 1; v <= book.version() && changes.size() < most; ++v) {
        const plans::PlanChange& c = book.change_log()[v - 1];
        if (!subject.empty() && plans::subject_of(c.body) != subject) continue;
        changes.push_back(Json::parse(plans::serialize_change(c)));
    }
    return {{"ok", true}, {"version", book.version()}, {"changes", changes}};
}

Json propose_change(Json asked, const plans::PlanService& desk, bool keeper,
                    const PlanCommandHandler::ChangeMaker& make, TimePoint now) {
    if (!keeper)
        return failure_reply("not the keeper",
                             "this gateway follows the book; changes are made at its keeper");
    asked.erase("do");
    const PlanTable& book = desk.plan_table();
    plans::ChangeProposal p = plans::parse_proposal(asked.dump());
    const auto outcome = book.validate_proposal(p, now);
    if (const auto* no = std::get_if<plans::ChangeRejection>(&outcome)) {
        Json out = failure_reply(plans::reason_name(no->reason), no->text);
        if (no->latest_version > 0) out["newest"] = no->latest_version;
        if (!no->latest_author.empty()) out["newest_by"] = no->latest_author;
        if (no->max_acceptable) out["fits"] = *no->max_acceptable;
        return out;
    }
    const auto& change = std::get<plans::PlanChange>(outcome);
    const bool again = change.version <= book.version();    // the same request once more
    if (!again) make(change);
    return {{"ok", true},
            {"again", again},
            {"version", change.version},
            {"at", plans::format_time(change.effective_at)},
            {"moved", p.effective_at.has_value() && *p.effective_at < change.effective_at}};
}

}    // namespace

PlanCommandHandler::PlanCommandHandler(const plans::PlanService& desk, bool keeper, ChangeMaker make)
    : plan_service_(desk), is_owner_(keeper), make_change_(std::move(make)) {}

std::string PlanCommandHandler::handle_line(std::string_view line, TimePoint now) {
    try {
        const Json asked = Json::parse(line, nullptr, false);
        if (!asked.is_object())
            return failure_reply("wrong", "expected one object of JSON on the line").dump();
        const std::string what = text_field(asked, "do");
        if (what == "list") return list_plans(plan_service_.plan_table(), time_field(asked, now)).dump();
        if (what == "show") return show_subject(asked, plan_service_, now).dump();
        if (what == "history") return change_history(asked, plan_service_.plan_table()).dump();
        if (what == "propose")
            return propose_change(asked, plan_service_, is_owner_, make_change_, now).dump();
        if (what == "status") {
            const plans::PlanServiceStatistics s = plan_service_.statistics(now);
            return Json{{"ok", true},
                        {"version", plan_service_.plan_table().version()},
                        {"chain", fmt::format("{:016x}", plan_service_.plan_table().chain_hash())},
                        {"keeper", is_owner_},
                        {"late", s.late_changes},
                        {"latest_us", s.max_lateness.count()},
                        {"behind_us", s.max_delay.count()},
                        {"open_reservations", s.open_reservations}}
                .dump();
        }
        return failure_reply("wrong", "do: expected list, show, history, propose or status").dump();
    } catch (const std::exception& error) {
        return failure_reply("wrong", error.what()).dump();
    }
}

}    // namespace shaletray::control_socket
