#include "balancer/settings/operator_settings.h"

#include <fmt/format.h>

#include <utility>

#include "balancer/settings/record.h"
#include "balancer/settings/schema.h"

namespace shaletray::settings {
namespace {

using Kind = Value::Kind;

StoreSettings read_store(const Record& record, const std::string& path) {
    StoreSettings store{record.text_at("address"), record.text_at("username"), record.text_at("password"),
                        record.integer_at<int>("database")};
    const auto reject = [&](const std::string& name, const std::string& message) {
        throw_problem(record.value_at(name)->position, path + "." + name, message);
    };
    const int port = std::stoi(store.address.substr(store.address.rfind(':') + 1));
    if (port < 1 || port > 65535)
        reject("address", fmt::format("expected a port of 1 to 65535, found {}", port));
    if (record.has("password_file")) {
        if (record.has("password")) reject("password_file", "expected this or password, found both");
        store.password = read_file(record.text_at("password_file"));
        while (!store.password.empty() && (store.password.back() == '\n' || store.password.back() == '\r'))
            store.password.pop_back();
        if (store.password.empty())
            reject("password_file", "expected a password in that file, found nothing");
    }
    if (!store.username.empty() && store.password.empty())
        reject("username", "expected a password with it, found none");
    return store;
}

CounterSettings read_counter(const Record& record) {
    CounterSettings counter;
    const auto& stores = record.value_at("stores")->items;
    for (std::size_t i = 0; i < stores.size(); ++i)
        counter.stores.push_back(read_store(Record(stores[i]), fmt::format("counter.stores[{}]", i)));
    counter.key_prefix = record.text_at("prefix");
    counter.lease_duration = record.duration_at("lease");
    counter.isolation_timeout = record.duration_at("alone_after");
    counter.demand_window = record.duration_at("demand_window");
    counter.interval = record.duration_at("every");
    counter.standby_interval = record.duration_at("standby_every");
    counter.timeout = record.duration_at("timeout");
    counter.reserve = record.number_at("reserve");
    counter.isolated_share = record.number_at("alone_share");
    counter.max_customers = record.integer_at<std::size_t>("most_customers");
    counter.max_rows_per_call = record.integer_at<std::size_t>("most_rows");
    // Leases must be renewed several times before they expire; otherwise one lost call would expire them.
    if (counter.lease_duration < 4 * counter.interval) {
        throw SettingsFileError(
            {{record.value_at("lease")->position, "counter.lease",
              fmt::format("expected at least four times counter.every, found {} with every {}",
                          record.value_at("lease")->to_text(), record.value_at("every")->to_text())}});
    }
    return counter;
}

PlansSettings read_plans(const Record& record) {
    PlansSettings plans;
    for (const ValuePtr& item : record.value_at("plans")->items) {
        const Record plan_record(item);
        plans.plans.push_back(
            {plan_record.text_at("plan"),
             plan_record.has("like") ? plan_record.text_at("like") : plan_record.text_at("plan"),
             plan_record.number_at("rate"), plan_record.number_at("burst"),
             plan_record.number_at("ceiling_rate"), plan_record.number_at("ceiling_burst"),
             plan_record.number_at("ceiling_slack")});
    }
    for (const ValuePtr& item : record.value_at("customers")->items)
        plans.customers.emplace_back(Record(item).text_at("customer"), Record(item).text_at("plan"));
    plans.table_path = record.text_at("book");
    plans.is_owner = record.bool_at("keeper");
    plans.table_overrides_request = record.text_at("precedence") == "book";
    plans.control_socket_path = record.text_at("control");
    plans.control_mode = std::stoi(record.text_at("control_mode"), nullptr, 8);
    plans.lead_time = record.duration_at("lead");
    plans.max_reserved_fraction = record.number_at("most_carved");
    plans.reject_damaged = record.text_at("on_damage") == "refuse";
    return plans;
}

UsageSettings read_usage(const Record& record) {
    UsageSettings usage;
    usage.journal_directory = record.text_at("journal");
    usage.store_path = record.text_at("store");
    usage.export_directory = record.text_at("files");
    usage.export_format = record.text_at("form");
    usage.endpoint = record.text_at("endpoint");
    usage.segment_records = record.integer_at<std::uint32_t>("segment_rows");
    usage.max_segments = record.integer_at<std::uint64_t>("most_segments");
    usage.reject_on_failure = record.text_at("on_trouble") == "refuse";
    usage.max_store_bytes = record.size_at("most_store");
    usage.settling_time = record.duration_at("settle");
    usage.interval = record.duration_at("every");
    usage.max_batch_lines = record.integer_at<std::uint32_t>("lines");
    usage.retained_batches = record.integer_at<int>("keep_batches");
    usage.timeout = record.duration_at("timeout");
    usage.check_interval = record.duration_at("check_every");
    usage.plans = record.texts_at("plans");
    usage.classes = record.texts_at("classes");
    return usage;
}

void write_value(const Value& value, int depth, std::string& out) {
    const std::string indent(static_cast<std::size_t>(depth), '\t');
    if (value.kind == Kind::Record) {
        out += "{\n";
        for (const std::string& name : value.field_order) {
            out += indent + "\t" + name + ": ";
            if (name == "password") out += "\"...\"";
            else write_value(*value.fields.at(name).value, depth + 1, out);
            out += "\n";
        }
        out += indent + "}";
    } else if (value.kind == Kind::List) {
        out += "[";
        for (std::size_t i = 0; i < value.items.size(); ++i) {
            if (i > 0) out += ", ";
            write_value(*value.items[i], depth, out);
        }
        out += "]";
    } else {
        out += value.to_text();
    }
}

}    // namespace

OperatorSettings parse_operator_settings(std::string_view text, const std::string& file) {
    const Record record(resolve_settings(text, file, kSchema, "schema.cue"));
    OperatorSettings settings;
    if (record.has("counter")) settings.counter = read_counter(Record(record.value_at("counter")));
    if (record.has("plans")) settings.plans = read_plans(Record(record.value_at("plans")));
    if (record.has("log")) {
        const Record log_record(record.value_at("log"));
        settings.log = LogSettings{log_record.text_at("level"), log_record.text_at("form") == "json"};
    }
    if (record.has("usage")) settings.usage = read_usage(Record(record.value_at("usage")));
    return settings;
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
