#include "data_plane/plans/plan_change.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <xxhash.h>

#include <charconv>
#include <cmath>
#include <ctime>
#include <nlohmann/json.hpp>
#include <set>

namespace shaletray::plans {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kLongestText = 4096;    // of one change: nothing that an operator means is longer

std::int64_t micros(TimePoint t) { return t.time_since_epoch().count(); }

Json body_json(const Body& body) {
    struct Write {
        Json operator()(const Define& d) const {
            return {{"kind", "define"},
                    {"plan", d.plan},
                    {"like", d.like},
                    {"rate", d.terms.rate},
                    {"burst", d.terms.burst},
                    {"ceiling_rate", d.terms.ceiling_rate},
                    {"ceiling_burst", d.terms.ceiling_burst},
                    {"ceiling_slack", d.terms.ceiling_slack}};
        }
        Json operator()(const Withdraw& w) const {
            return {{"kind", "withdraw"}, {"plan", w.plan}, {"successor", w.successor}};
        }
        Json operator()(const Assign& a) const {
            return {{"kind", "assign"}, {"customer", customer_text(a.customer)}, {"plan", a.plan}};
        }
        Json operator()(const Reserve& r) const {
            return {{"kind", "reserve"},       {"id", r.id},     {"customer", customer_text(r.customer)},
                    {"units", r.units},        {"plan", r.plan}, {"from", micros(r.from)},
                    {"until", micros(r.until)}};
        }
        Json operator()(const Release& r) const { return {{"kind", "release"}, {"id", r.id}}; }
    };
    return std::visit(Write{}, body);
}

// Reads fields of one object; whatever was not asked for is wrong, as it would be lost without a word.
class Fields {
public:
    explicit Fields(std::string_view text) {
        if (text.size() > kLongestText) throw BadChange("longer than 4096 bytes");
        json_ = Json::parse(text, nullptr, false);
        if (!json_.is_object()) throw BadChange("expected one object of JSON");
    }
    std::string text(const char* name, bool needed = true) {
        const Json* const v = find(name, needed);
        if (v == nullptr) return {};
        if (!v->is_string()) throw BadChange(fmt::format("{}: expected a text, found {}", name, v->dump()));
        return v->get<std::string>();
    }
    double number(const char* name, bool needed = true) {
        const Json* const v = find(name, needed);
        if (v == nullptr) return 0.0;
        if (!v->is_number()) throw BadChange(fmt::format("{}: expected a number, found {}", name, v->dump()));
        return v->get<double>();
    }
    std::uint64_t whole(const char* name, bool needed = true) {
        const Json* const v = find(name, needed);
        if (v == nullptr) return 0;
        if (!v->is_number_unsigned())
            throw BadChange(fmt::format("{}: expected a whole number from 0, found {}", name, v->dump()));
        return v->get<std::uint64_t>();
    }
    std::optional<TimePoint> time(const char* name, bool needed = true) {
        const Json* const v = find(name, needed);
        if (v == nullptr) return std::nullopt;
        if (v->is_number_integer()) return TimePoint(Duration(v->get<std::int64_t>()));
        const auto t = v->is_string() ? read_time(v->get<std::string>()) : std::nullopt;
        if (!t)
            throw BadChange(
                fmt::format("{}: expected a time such as 2026-12-01T08:00:00Z, found {}", name, v->dump()));
        return t;
    }
    CustomerId customer(const char* name) {
        const std::string t = text(name);
        const auto id = read_customer(t);
        if (!id)
            throw BadChange(fmt::format("{}: expected sixteen hexadecimal digits, found \"{}\"", name, t));
        return *id;
    }
    void done() const {
        for (const auto& [name, value] : json_.items()) {
            if (!asked_.contains(name)) throw BadChange(fmt::format("{}: no such field here", name));
        }
    }

private:
    const Json* find(const char* name, bool needed) {
        asked_.insert(name);
        const auto it = json_.find(name);
        if (it != json_.end()) return &*it;
        if (needed) throw BadChange(fmt::format("{}: missing", name));
        return nullptr;
    }
    Json json_;
    std::set<std::string, std::less<>> asked_;
};

Body read_body(Fields& f) {
    const std::string kind = f.text("kind");
    if (kind == "define") {
        return Define{f.text("plan"), f.text("like"),
                      Terms{f.number("rate"), f.number("burst"), f.number("ceiling_rate", false),
                            f.number("ceiling_burst", false), f.number("ceiling_slack", false)}};
    }
    if (kind == "withdraw") return Withdraw{f.text("plan"), f.text("successor", false)};
    if (kind == "assign") return Assign{f.customer("customer"), f.text("plan", false)};
    if (kind == "reserve") {
        return Reserve{f.text("id"),    f.customer("customer"), f.number("units"),
                       *f.time("from"), *f.time("until"),       f.text("plan", false)};
    }
    if (kind == "release") return Release{f.text("id")};
    throw BadChange(
        fmt::format("kind: expected define, withdraw, assign, reserve or release, found \"{}\"", kind));
}

Json change_json(const Change& c) {
    Json json = body_json(c.body);
    json.update({{"version", c.version},
                 {"against", c.against},
                 {"made", micros(c.made)},
                 {"at", micros(c.at)},
                 {"author", c.author},
                 {"note", c.note},
                 {"request", c.request}});
    return json;
}

}    // namespace

std::string customer_text(CustomerId customer) {
    return fmt::format("{:016x}", static_cast<std::uint64_t>(customer));
}

std::optional<CustomerId> read_customer(std::string_view text) {
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, 16);
    if (text.size() != 16 || error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    return CustomerId{number};
}

std::optional<TimePoint> read_time(std::string_view text) {
    std::int64_t number = 0;
    const char* const last = text.data() + text.size();
    if (const auto [end, error] = std::from_chars(text.data(), last, number);
        error == std::errc{} && end == last && number >= 0)
        return TimePoint(Duration(number));
    const std::string copy(text);
    std::tm tm{};
    const char* rest = strptime(copy.c_str(), "%Y-%m-%dT%H:%M:%S", &tm);
    if (rest == nullptr) return std::nullopt;
    double fraction = 0.0;
    if (*rest == '.') {
        const auto [end, error] = std::from_chars(rest, copy.c_str() + copy.size(), fraction);
        if (error != std::errc{} || !(fraction >= 0.0 && fraction < 1.0)) return std::nullopt;
        rest = end;
    }
    if (std::string_view(rest) != "Z") return std::nullopt;
    // strptime takes the 31st of February for a day; the calendar does not.
    const int day = tm.tm_mday;
    const std::int64_t seconds = timegm(&tm);
    const std::time_t again = seconds;
    std::tm back{};
    if (seconds < 0 || gmtime_r(&again, &back) == nullptr || back.tm_mday != day) return std::nullopt;
    return TimePoint(Duration(seconds * 1'000'000 + std::llround(fraction * 1e6)));
}

std::string time_text(TimePoint time) {
    const std::int64_t us = micros(time);
    const std::int64_t whole = us >= 0 ? us / 1'000'000 : -((-us + 999'999) / 1'000'000);
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06}Z", fmt::gmtime(static_cast<std::time_t>(whole)),
                       us - whole * 1'000'000);
}

std::string subject_of(const Body& body) {
    struct Name {
        std::string operator()(const Define& d) const { return "plan:" + d.plan; }
        std::string operator()(const Withdraw& w) const { return "plan:" + w.plan; }
        std::string operator()(const Assign& a) const { return "customer:" + customer_text(a.customer); }
        std::string operator()(const Reserve& r) const { return "reservation:" + r.id; }
        std::string operator()(const Release& r) const { return "reservation:" + r.id; }
    };
    return std::visit(Name{}, body);
}

std::uint64_t chain_of(std::uint64_t before, const Change& change) {
    const std::string text = change_json(change).dump();
    return XXH64(text.data(), text.size(), before);
}

std::string write_change(const Change& change) {
    Json json = change_json(change);
    json["chain"] = change.chain;
    return json.dump();
}

Change read_change(std::string_view text) {
    Fields f(text);
    Change c;
    c.body = read_body(f);
    c.version = f.whole("version");
    c.against = f.whole("against");
    c.made = *f.time("made");
    c.at = *f.time("at");
    c.author = f.text("author");
    c.note = f.text("note");
    c.request = f.text("request");
    c.chain = f.whole("chain");
    f.done();
    return c;
}

std::string write_proposal(const Proposal& p) {
    Json json = body_json(p.body);
    json.update({{"against", p.against}, {"author", p.author}, {"note", p.note}, {"request", p.request}});
    if (p.at) json["at"] = micros(*p.at);
    return json.dump();
}

Proposal read_proposal(std::string_view text) {
    Fields f(text);
    Proposal p;
    p.body = read_body(f);
    p.against = f.whole("against", false);
    p.at = f.time("at", false);
    p.author = f.text("author");
    p.note = f.text("note", false);
    p.request = f.text("request", false);
    f.done();
    return p;
}

}    // namespace shaletray::plans
