#include "cluster/configuration/route_reader.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "cluster/configuration/hash_index.h"
#include "cluster/configuration/lookup_keys.h"

namespace shaletray::configuration {

namespace json = boost::json;
using namespace std::chrono_literals;

namespace {

constexpr Duration kMaxTimeout = 10min;
constexpr double kMaxTotalWeight = 1u << 31;    // per route; the rounded weights add up to less than 2^32

}    // namespace

std::span<const RouteReader::Column> RouteReader::columns() {
    static constexpr Column kColumns[] = {
        {"name", &RouteReader::read_name},
        {"hostname", &RouteReader::read_hostname},
        {"path_prefix", &RouteReader::read_path_prefix},
        {"route_type", &RouteReader::read_route_type},
        {"timeout", &RouteReader::read_timeout},
        {"target_latency", &RouteReader::read_target_latency},
        {"priority", &RouteReader::read_priority},
        {"traffic_split", &RouteReader::read_traffic_split},
        {"max_attempts", &RouteReader::read_max_attempts},
        {"public", &RouteReader::read_is_public},
        {"service", &RouteReader::read_service},
    };
    return kColumns;
}

bool RouteReader::read_name(const json::value& value, std::string_view field) {
    return read_name_as<TextValue>(value, field);
}

bool RouteReader::read_hostname(const json::value& value, std::string_view field) {
    has_host_ = true;
    return convert_cell_as<TextValue>(value, field, current_entry().hostname);
}

bool RouteReader::read_path_prefix(const json::value& value, std::string_view field) {
    std::string& prefix = current_entry().path_prefix;
    if (!convert_cell_as<TextValue>(value, field, prefix)) return false;
    return prefix.starts_with('/') || fail_cell(field, "does not start with a slash");
}

bool RouteReader::read_route_type(const json::value& value, std::string_view field) {
    return convert_cell(value, field, current_entry().kind);
}

bool RouteReader::read_timeout(const json::value& value, std::string_view field) {
    DurationValue duration;
    if (!convert_cell(value, field, duration)) return false;
    if (duration.value <= Duration(0)) return fail_cell(field, "must be above 0");
    if (duration.value > kMaxTimeout) return fail_cell(field, "is longer than ten minutes");
    current_entry().timeout = duration.value;
    return true;
}

bool RouteReader::read_target_latency(const json::value& value, std::string_view field) {
    Duration& target = current_entry().target_latency;
    if (!convert_cell_as<DurationValue>(value, field, target)) return false;
    return target >= Duration(0) || fail_cell(field, ValueError::Negative);
}

bool RouteReader::read_priority(const json::value& value, std::string_view field) {
    return convert_cell_as<IntegerValue>(value, field, current_entry().priority);
}

bool RouteReader::read_max_attempts(const json::value& value, std::string_view field) {
    int& attempts = current_entry().max_attempts;
    if (!convert_cell_as<NonNegativeInteger>(value, field, attempts)) return false;
    return attempts > 0 || fail_cell(field, "must be at least 1");
}

bool RouteReader::read_is_public(const json::value& value, std::string_view field) {
    const bool* const is_public = value.if_bool();
    if (is_public == nullptr) return fail_cell(field, ValueError::NotBoolean);
    current_entry().is_public = *is_public;
    return true;
}

bool RouteReader::read_service(const json::value& value, std::string_view field) {
    return convert_cell_as<TextValue>(value, field, service_name_);
}

bool RouteReader::read_traffic_split(const json::value& value, std::string_view field) {
    const json::array* const split = value.if_array();
    if (split == nullptr) return fail_cell(field, ValueError::NotArray);
    has_split_ = !split->empty();
    has_split_list_ = true;
    if (!has_split_) return true;
    std::vector<double> weights;
    for (const json::value& split_member : *split) {
        const std::optional<double> weight = read_split_member(split_member, field, weights.size());
        if (!weight) return false;
        weights.push_back(*weight);
    }
    return assign_weights(weights, field);
}

std::optional<double> RouteReader::read_split_member(const json::value& value, std::string_view field,
                                                     std::size_t index) {
    const auto fail = [&](const std::string& member, std::string reason) {
        fail_cell(std::string(field) + "[" + std::to_string(index) + "]" + member, std::move(reason));
        return std::nullopt;
    };
    const json::object* const fields = value.if_object();
    if (fields == nullptr) return fail("", message_of(ValueError::NotObject));
    const json::value* const service = find_member(*fields, "service");
    const json::value* const weight = find_member(*fields, "weight");
    if (service == nullptr) return fail(".service", "is missing");
    if (weight == nullptr) return fail(".weight", "is missing");
    const json::result<TextValue> name = json::try_value_to<TextValue>(*service);
    const json::result<NonNegativeNumber> number = json::try_value_to<NonNegativeNumber>(*weight);
    if (!name) return fail(".service", name.error().message());
    if (!number) return fail(".weight", number.error().message());
    current_entry().targets.push_back({std::string(name->value), 0});
    return number->value;
}

bool RouteReader::assign_weights(const std::vector<double>& weights, std::string_view field) {
    const double total = std::accumulate(weights.begin(), weights.end(), 0.0);
    if (!(total > 0.0)) return fail_cell(field, "has weights whose sum is 0");
    if (!std::isfinite(total)) return fail_cell(field, "has weights whose sum is too large");
    const bool all_integers = std::all_of(weights.begin(), weights.end(),
                                          [](double weight) { return std::trunc(weight) == weight; });
    // Integers are kept. Other weights are scaled to the full range, and none of them becomes 0.
    const double scale = all_integers && total <= kMaxTotalWeight ? 1.0 : kMaxTotalWeight / total;
    std::vector<WeightedService>& targets = current_entry().targets;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        if (weights[i] <= 0.0) continue;
        const auto scaled = static_cast<std::uint32_t>(std::lround(weights[i] * scale));
        targets[i].weight = std::max(1u, scaled);
    }
    return true;
}

void RouteReader::begin_entry() {
    EntryTableReader::begin_entry();
    current_entry().timeout = kMaxTimeout;
    service_name_.clear();
    has_host_ = has_split_ = has_split_list_ = false;
}

bool RouteReader::finish_entry() {
    if (!EntryTableReader::finish_entry()) return false;
    Route& route = current_entry();
    if (!has_host_) return fail_cell("hostname", "is missing");
    if (route.path_prefix.empty()) return fail_cell("path_prefix", "is missing");
    if (service_name_.empty() && !has_split_)
        return has_split_list_ ? fail_cell("traffic_split", "is empty")
                               : fail_cell("service", "is missing, and so is traffic_split");
    route_has_split_.push_back(has_split_);
    if (!has_split_) route.targets.push_back({service_name_, 1});
    else if (!service_name_.empty()) services_beside_split_.emplace_back(current_row(), service_name_);
    return true;
}

bool RouteReader::fail_unknown_service(std::uint32_t row, std::string_view field, const std::string& name) {
    return fail_row(row, field, "names the unknown service \"" + name + "\"");
}

bool RouteReader::validate_targets(std::uint32_t row, const ServiceReader& services) {
    const std::vector<WeightedService>& targets = entry(row).targets;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const std::string& name = targets[i].service;
        if (services.contains(name)) continue;
        const std::string field =
            route_has_split_[row] ? "traffic_split[" + std::to_string(i) + "].service" : "service";
        return fail_unknown_service(row, field, name);
    }
    return true;
}

bool RouteReader::validate(const ServiceReader& services) {
    for (const auto& [row, name] : services_beside_split_)
        if (!services.contains(name)) return fail_unknown_service(row, "service", name);
    HashIndex known_routes(entry_count());
    for (std::uint32_t row = 0; row < entry_count(); ++row) {
        if (!validate_targets(row, services)) return false;
        Route& route = entry(row);
        std::erase_if(route.targets, [](const WeightedService& target) { return target.weight == 0; });
        route.targets.shrink_to_fit();
        const std::string_view host = host_without_port(route.hostname);
        const std::uint64_t hash = route_hash(host, route.path_prefix);
        const std::uint32_t other = known_routes.find(hash, [&](std::uint32_t candidate) {
            const Route& known = entry(candidate);
            return known.path_prefix == route.path_prefix &&
                   hosts_equal(host_without_port(known.hostname), host);
        });
        if (other != HashIndex::kNone)
            return fail_row(row, "path_prefix",
                            "is already used by " + row_path(section(), other) + " on the same hostname");
        known_routes.add(hash, row);
    }
    return true;
}

}    // namespace shaletray::configuration
