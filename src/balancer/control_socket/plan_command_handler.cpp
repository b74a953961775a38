#include "balancer/control_socket/plan_command_handler.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace shaletray::control_socket {
namespace {

using Json = nlohmann::json;
using plans::Book;

Json failure(const std::string& why, const std::string& text) {
    return {{"ok", false}, {"why", why}, {"text", text}};
}

Json terms_json(const plans::InForce& f) {
    return {{"plan", f.plan},
            {"version", f.version},
            {"assigned", f.assigned},
            {"rate", f.figures.rate},
            {"burst", f.figures.burst},
            {"ceiling_rate", f.figures.ceiling_rate},
            {"ceiling_burst", f.figures.ceiling_burst}};
}

Json reservation_json(const plans::Reservation& r, const plans::Desk& desk, TimePoint now) {
    const auto redeemed = desk.redeemed().find(r.version);
    return {{"id", r.made.id},
            {"version", r.version},
            {"customer", plans::customer_text(r.made.customer)},
            {"units", r.made.units},
            {"carved", r.carved(now)},
            {"redeemed_here", redeemed == desk.redeemed().end() ? 0.0 : redeemed->second},
            {"from", plans::time_text(r.made.from)},
            {"until", plans::time_text(r.end)},
            {"state", now >= r.end     ? "over"
                      : r.open(now)    ? "open"
                      : now >= r.start ? "carving"
                                       : "ahead"}};
}

std::string text_of(const Json& json, const char* name) {
    const auto it = json.find(name);
    return it != json.end() && it->is_string() ? it->get<std::string>() : std::string();
}

TimePoint time_of(const Json& json, TimePoint now) {
    const auto it = json.find("at");
    if (it == json.end()) return now;
    const auto at = it->is_string() ? plans::read_time(it->get<std::string>()) : std::nullopt;
    if (!at) throw plans::BadChange("at: expected a time such as 2026-12-01T08:00:00Z, found " + it->dump());
    return *at;
}

std::uint64_t whole_of(const Json& json, const char* name, std::uint64_t fallback) {
    const auto it = json.find(name);
    if (it == json.end()) return fallback;
    if (!it->is_number_unsigned())
        throw plans::BadChange(fmt::format("{}: expected a whole number from 0, found {}", name, it->dump()));
    return it->get<std::uint64_t>();
}

Json list(const Book& book, TimePoint at) {
    Json plans = Json::array();
    for (const std::string& name : book.plans()) {
        const auto f = book.terms(name, at);
        if (!f) {
            plans.push_back({{"plan", name}, {"state", "not yet"}});
            continue;
        }
        Json one = terms_json(*f);
        one["plan"] = name;
        one["customers"] = book.customers_of(name, at);
        one["newest"] = book.version_of("plan:" + name);
        plans.push_back(one);
    }
    return {{"ok", true}, {"version", book.version()}, {"at", plans::time_text(at)}, {"plans", plans}};
}

Json show(const Json& asked, const plans::Desk& desk, TimePoint now) {
    const Book& book = desk.book();
    const TimePoint at = time_of(asked, now);
    if (const std::string id = text_of(asked, "reservation"); !id.empty()) {
        const plans::Reservation* r = book.reservation(id);
        if (r == nullptr) return failure("unknown", "there is no reservation \"" + id + "\"");
        return {{"ok", true}, {"reservation", reservation_json(*r, desk, at)}};
    }
    if (const std::string plan = text_of(asked, "plan"); !plan.empty()) {
        const auto f = book.terms(plan, at);
        if (!f) return failure("unknown", "there is no plan \"" + plan + "\" at that time");
        Json one = terms_json(*f);
        one["newest"] = book.version_of("plan:" + plan);
        return {{"ok", true}, {"at", plans::time_text(at)}, {"plan", one}};
    }
    const auto customer = plans::read_customer(text_of(asked, "customer"));
    if (!customer)
        return failure("wrong", "expected a plan, a reservation or a customer of sixteen hexadecimal digits");
    const std::string assigned = book.assigned(*customer, at);
    Json reservations = Json::array();
    for (const plans::Reservation* r : book.reservations_of(*customer))
        reservations.push_back(reservation_json(*r, desk, at));
    Json out = {{"ok", true},
                {"at", plans::time_text(at)},
                {"customer", plans::customer_text(*customer)},
                {"assigned", assigned},
                {"newest", book.version_of("customer:" + plans::customer_text(*customer))},
                {"carved", book.carved(*customer, at)},
                {"reservations", reservations}};
    if (!assigned.empty())
        if (const auto f = book.terms(assigned, at)) out["terms"] = terms_json(*f);
    return out;
}

Json history(const Json& asked, const Book& book) {
    const std::string subject = text_of(asked, "subject");
    const std::uint64_t after = whole_of(asked, "after", 0);
    const std::uint64_t most = std::min<std::uint64_t>(whole_of(asked, "most", 100), kMostListed);
    Json changes = Json::array();
    for (std::uint64_t v = after + 1; v <= book.version() && changes.size() < most; ++v) {
        const plans::Change& c = book.log()[v - 1];
        if (!subject.empty() && plans::subject_of(c.body) != subject) continue;
        changes.push_back(Json::parse(plans::write_change(c)));
    }
    return {{"ok", true}, {"version", book.version()}, {"changes", changes}};
}

Json propose(Json asked, const plans::Desk& desk, bool keeper, const Office::Make& make, TimePoint now) {
    if (!keeper)
        return failure("not the keeper", "this gateway follows the book; changes are made at its keeper");
    asked.erase("do");
    const Book& book = desk.book();
    plans::Proposal p = plans::read_proposal(asked.dump());
    const auto outcome = book.propose(p, now);
    if (const auto* no = std::get_if<plans::Refusal>(&outcome)) {
        Json out = failure(plans::name_of(no->why), no->text);
        if (no->newest > 0) out["newest"] = no->newest;
        if (!no->newest_by.empty()) out["newest_by"] = no->newest_by;
        if (no->fits) out["fits"] = *no->fits;
        return out;
    }
    const auto& change = std::get<plans::Change>(outcome);
    const bool again = change.version <= book.version();    // the same request once more
    if (!again) make(change);
    return {{"ok", true},
            {"again", again},
            {"version", change.version},
            {"at", plans::time_text(change.at)},
            {"moved", p.at.has_value() && *p.at < change.at}};
}

}    // namespace

Office::Office(const plans::Desk& desk, bool keeper, Make make)
    : desk_(desk), keeper_(keeper), make_(std::move(make)) {}

std::string Office::answer(std::string_view line, TimePoint now) {
    try {
        const Json asked = Json::parse(line, nullptr, false);
        if (!asked.is_object()) return failure("wrong", "expected one object of JSON on the line").dump();
        const std::string what = text_of(asked, "do");
        if (what == "list") return list(desk_.book(), time_of(asked, now)).dump();
        if (what == "show") return show(asked, desk_, now).dump();
        if (what == "history") return history(asked, desk_.book()).dump();
        if (what == "propose") return propose(asked, desk_, keeper_, make_, now).dump();
        if (what == "status") {
            const plans::DeskStats s = desk_.stats(now);
            return Json{{"ok", true},
                        {"version", desk_.book().version()},
                        {"chain", fmt::format("{:016x}", desk_.book().chain())},
                        {"keeper", keeper_},
                        {"late", s.late},
                        {"latest_us", s.latest.count()},
                        {"behind_us", s.behind.count()},
                        {"open_reservations", s.open}}
                .dump();
        }
        return failure("wrong", "do: expected list, show, history, propose or status").dump();
    } catch (const std::exception& error) {
        return failure("wrong", error.what()).dump();
    }
}

}    // namespace shaletray::control_socket
