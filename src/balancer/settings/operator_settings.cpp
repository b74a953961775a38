#include "balancer/settings/operator_settings.h"

#include <fmt/format.h>

#include <utility>

#include "balancer/settings/record.h"
#include "balancer/settings/schema.h"

namespace shaletray::settings {
namespace {

using Kind = Value::Kind;

StoreSettings read_store(const Record& r, const std::string& path) {
    StoreSettings s{r.text_at("address"), r.text_at("username"), r.text_at("password"),
                    r.integer_at<int>("database")};
    const auto wrong = [&](const std::string& name, const std::string& text) {
        throw_problem(r.value_at(name)->position, path + "." + name, text);
    };
    const int port = std::stoi(s.address.substr(s.address.rfind(':') + 1));
    if (port < 1 || port > 65535)
        wrong("address", fmt::format("expected a port of 1 to 65535, found {}", port));
    if (r.has("password_file")) {
        if (r.has("password")) wrong("password_file", "expected this or password, found both");
        s.password = read_file(r.text_at("password_file"));
        while (!s.password.empty() && (s.password.back() == '\n' || s.password.back() == '\r'))
            s.password.pop_back();
        if (s.password.empty()) wrong("password_file", "expected a password in that file, found nothing");
    }
    if (!s.username.empty() && s.password.empty())
        wrong("username", "expected a password with it, found none");
    return s;
}

CounterSettings read_counter(const Record& r) {
    CounterSettings c;
    const auto& stores = r.value_at("stores")->items;
    for (std::size_t i = 0; i < stores.size(); ++i)
        c.stores.push_back(read_store(Record(stores[i]), fmt::format("counter.stores[{}]", i)));
    c.key_prefix = r.text_at("prefix");
    c.lease_duration = r.duration_at("lease");
    c.isolation_timeout = r.duration_at("alone_after");
    c.demand_window = r.duration_at("demand_window");
    c.interval = r.duration_at("every");
    c.standby_interval = r.duration_at("standby_every");
    c.timeout = r.duration_at("timeout");
    c.reserve = r.number_at("reserve");
    c.isolated_share = r.number_at("alone_share");
    c.max_customers = r.integer_at<std::size_t>("most_customers");
    c.max_rows_per_call = r.integer_at<std::size_t>("most_rows");
    // Leases that are not renewed several times in their life would come and go with each lost call.
    if (c.lease_duration < 4 * c.interval) {
        throw SettingsFileError(
            {{r.value_at("lease")->position, "counter.lease",
              fmt::format("expected at least four times counter.every, found {} with every {}",
                          r.value_at("lease")->to_text(), r.value_at("every")->to_text())}});
    }
    return c;
}

PlansSettings read_plans(const Record& r) {
    PlansSettings p;
    for (const ValuePtr& item : r.value_at("plans")->items) {
        const Record one(item);
        p.plans.push_back({one.text_at("plan"), one.has("like") ? one.text_at("like") : one.text_at("plan"),
                           one.number_at("rate"), one.number_at("burst"), one.number_at("ceiling_rate"),
                           one.number_at("ceiling_burst"), one.number_at("ceiling_slack")});
    }
    for (const ValuePtr& item : r.value_at("customers")->items)
        p.customers.emplace_back(Record(item).text_at("customer"), Record(item).text_at("plan"));
    p.table_path = r.text_at("book");
    p.is_owner = r.bool_at("keeper");
    p.table_overrides_request = r.text_at("precedence") == "book";
    p.control_socket_path = r.text_at("control");
    p.control_mode = std::stoi(r.text_at("control_mode"), nullptr, 8);
    p.lead_time = r.duration_at("lead");
    p.max_reserved_fraction = r.number_at("most_carved");
    p.reject_damaged = r.text_at("on_damage") == "refuse";
    return p;
}

UsageSettings read_usage(const Record& r) {
    UsageSettings u;
    u.journal_directory = r.text_at("journal");
    u.store_path = r.text_at("store");
    u.export_directory = r.text_at("files");
    u.export_format = r.text_at("form");
    u.endpoint = r.text_at("endpoint");
    u.segment_records = r.integer_at<std::uint32_t>("segment_rows");
    u.max_segments = r.integer_at<std::uint64_t>("most_segments");
    u.reject_on_failure = r.text_at("on_trouble") == "refuse";
    u.max_store_bytes = r.size_at("most_store");
    u.settling_time = r.duration_at("settle");
    u.interval = r.duration_at("every");
    u.max_batch_lines = r.integer_at<std::uint32_t>("lines");
    u.retained_batches = r.integer_at<int>("keep_batches");
    u.timeout = r.duration_at("timeout");
    u.check_interval = r.duration_at("check_every");
    u.plans = r.texts_at("plans");
    u.classes = r.texts_at("classes");
    return u;
}

void write_value(const Value& v, int depth, std::string& out) {
    const std::string indent(static_cast<std::size_t>(depth), '\t');
    if (v.kind == Kind::Record) {
        out += "{\n";
        for (const std::string& name : v.field_order) {
            out += indent + "\t" + name + ": ";
            if (name == "password") out += "\"...\"";
            else write_value(*v.fields.at(name).value, depth + 1, out);
            out += "\n";
        }
        out += indent + "}";
    } else if (v.kind == Kind::List) {
        out += "[";
        for (std::size_t i = 0; i < v.items.size(); ++i) {
            if (i > 0) out += ", ";
            write_value(*v.items[i], depth, out);
        }
        out += "]";
    } else {
        out += v.to_text();
    }
}

}    // namespace

OperatorSettings parse_operator_settings(std::string_view text, const std::string& file) {
    const Record r(resolve_settings(text, file, kSchema, "schema.cue"));
    OperatorSettings s;
    if (r.has("counter")) s.counter = read_counter(Record(r.value_at("counter")));
    if (r.has("plans")) s.plans = read_plans(Record(r.value_at("plans")));
    if (r.has("log")) {
        const Record log(r.value_at("log"));
        s.log = LogSettings{log.text_at("level"), log.text_at("form") == "json"};
    }
    if (r.has("usage")) s.usage = read_usage(Record(r.value_at("usage")));
    return s;
}

OperatorSettings load_operator_settings(const std::string& path) {
    return parse_operator_settings(read_file(path), path);
}

std::string explain_settings(std::string_view text, const std::string& file) {
    parse_operator_settings(text, file);
    std::string out;
    const ValuePtr all = resolve_settings(text, file, kSchema, "schema.cue");
    for (const std::string& name : all->field_order) {
        out += name + ": ";
        write_value(*all->fields.at(name).value, 0, out);
        out += "\n";
    }
    return out;
}

}    // namespace shaletray::settings
