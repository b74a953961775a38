#include "balancer/settings/operator_settings.h"

#include <fmt/format.h>

#include <utility>

#include "balancer/settings/record.h"
#include "balancer/settings/schema.h"

namespace shaletray::settings {
namespace {

using Kind = Value::Kind;

StoreSettings store_of(const Record& r, const std::string& path) {
    StoreSettings s{r.text("address"), r.text("username"), r.text("password"), r.whole<int>("database")};
    const auto wrong = [&](const std::string& name, const std::string& text) {
        fail(r.at(name)->place, path + "." + name, text);
    };
    const int port = std::stoi(s.address.substr(s.address.rfind(':') + 1));
    if (port < 1 || port > 65535)
        wrong("address", fmt::format("expected a port of 1 to 65535, found {}", port));
    if (r.has("password_file")) {
        if (r.has("password")) wrong("password_file", "expected this or password, found both");
        s.password = read_file(r.text("password_file"));
        while (!s.password.empty() && (s.password.back() == '\n' || s.password.back() == '\r'))
            s.password.pop_back();
        if (s.password.empty()) wrong("password_file", "expected a password in that file, found nothing");
    }
    if (!s.username.empty() && s.password.empty())
        wrong("username", "expected a password with it, found none");
    return s;
}

CounterSettings counter_of(const Record& r) {
    CounterSettings c;
    const auto& stores = r.at("stores")->items;
    for (std::size_t i = 0; i < stores.size(); ++i)
        c.stores.push_back(store_of(Record(stores[i]), fmt::format("counter.stores[{}]", i)));
    c.prefix = r.text("prefix");
    c.lease = r.duration("lease");
    c.alone_after = r.duration("alone_after");
    c.demand_window = r.duration("demand_window");
    c.every = r.duration("every");
    c.standby_every = r.duration("standby_every");
    c.timeout = r.duration("timeout");
    c.reserve = r.number("reserve");
    c.alone_share = r.number("alone_share");
    c.most_customers = r.whole<std::size_t>("most_customers");
    c.most_rows = r.whole<std::size_t>("most_rows");
    // Leases that are not renewed several times in their life would come and go with each lost call.
    if (c.lease < 4 * c.every) {
        throw BadSettingsFile(
            {{r.at("lease")->place, "counter.lease",
              fmt::format("expected at least four times counter.every, found {} with every {}",
                          r.at("lease")->shown(), r.at("every")->shown())}});
    }
    return c;
}

PlansSettings plans_of(const Record& r) {
    PlansSettings p;
    for (const ValuePtr& item : r.at("plans")->items) {
        const Record one(item);
        p.plans.push_back({one.text("plan"), one.has("like") ? one.text("like") : one.text("plan"),
                           one.number("rate"), one.number("burst"), one.number("ceiling_rate"),
                           one.number("ceiling_burst"), one.number("ceiling_slack")});
    }
    for (const ValuePtr& item : r.at("customers")->items)
        p.customers.emplace_back(Record(item).text("customer"), Record(item).text("plan"));
    p.book = r.text("book");
    p.keeper = r.truth("keeper");
    p.book_wins = r.text("precedence") == "book";
    p.control = r.text("control");
    p.control_mode = std::stoi(r.text("control_mode"), nullptr, 8);
    p.lead = r.duration("lead");
    p.most_carved = r.number("most_carved");
    p.refuse_damage = r.text("on_damage") == "refuse";
    return p;
}

UsageSettings usage_of(const Record& r) {
    UsageSettings u;
    u.journal = r.text("journal");
    u.store = r.text("store");
    u.files = r.text("files");
    u.form = r.text("form");
    u.endpoint = r.text("endpoint");
    u.segment_rows = r.whole<std::uint32_t>("segment_rows");
    u.most_segments = r.whole<std::uint64_t>("most_segments");
    u.refuse_trouble = r.text("on_trouble") == "refuse";
    u.most_store = r.size("most_store");
    u.settle = r.duration("settle");
    u.every = r.duration("every");
    u.lines = r.whole<std::uint32_t>("lines");
    u.keep_batches = r.whole<int>("keep_batches");
    u.timeout = r.duration("timeout");
    u.check_every = r.duration("check_every");
    u.plans = r.texts("plans");
    u.classes = r.texts("classes");
    return u;
}

void write(const Value& v, int depth, std::string& out) {
    const std::string indent(static_cast<std::size_t>(depth), '\t');
    if (v.kind == Kind::Record) {
        out += "{\n";
        for (const std::string& name : v.order) {
            out += indent + "\t" + name + ": ";
            if (name == "password") out += "\"...\"";
            else write(*v.fields.at(name).value, depth + 1, out);
            out += "\n";
        }
        out += indent + "}";
    } else if (v.kind == Kind::List) {
        out += "[";
        for (std::size_t i = 0; i < v.items.size(); ++i) {
            if (i > 0) out += ", ";
            write(*v.items[i], depth, out);
        }
        out += "]";
    } else {
        out += v.shown();
    }
}

}    // namespace

OperatorSettings read_operator_settings(std::string_view text, const std::string& file) {
    const Record r(settled(text, file, kSchema, "schema.cue"));
    OperatorSettings s;
    if (r.has("counter")) s.counter = counter_of(Record(r.at("counter")));
    if (r.has("plans")) s.plans = plans_of(Record(r.at("plans")));
    if (r.has("log")) {
        const Record log(r.at("log"));
        s.log = LogSettings{log.text("level"), log.text("form") == "json"};
    }
    if (r.has("usage")) s.usage = usage_of(Record(r.at("usage")));
    return s;
}

OperatorSettings load_operator_settings(const std::string& path) {
    return read_operator_settings(read_file(path), path);
}

std::string explained(std::string_view text, const std::string& file) {
    read_operator_settings(text, file);
    std::string out;
    const ValuePtr all = settled(text, file, kSchema, "schema.cue");
    for (const std::string& name : all->order) {
        out += name + ": ";
        write(*all->fields.at(name).value, 0, out);
        out += "\n";
    }
    return out;
}

}    // namespace shaletray::settings
