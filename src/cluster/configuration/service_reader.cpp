#include "cluster/configuration/service_reader.h"

namespace shaletray::configuration {

namespace json = boost::json;

std::span<const ServiceReader::Column> ServiceReader::columns() {
    static constexpr Column kColumns[] = {
        {"name", &ServiceReader::read_name},
        {"health_check", &ServiceReader::read_health_check},
        {"max_connections", &ServiceReader::read_max_connections},
        {"sharded", &ServiceReader::read_is_sharded},
    };
    return kColumns;
}

bool ServiceReader::read_name(const json::value& value, std::string_view field) {
    return read_name_as<TextValue>(value, field);
}

bool ServiceReader::read_health_check(const json::value& value, std::string_view field) {
    return convert_cell_as<HeaderText>(value, field, current_entry().health_check);
}

bool ServiceReader::read_is_sharded(const json::value& value, std::string_view field) {
    const bool* const is_sharded = value.if_bool();
    if (is_sharded == nullptr) return fail_cell(field, ValueError::NotBoolean);
    current_entry().is_sharded = *is_sharded;
    return true;
}

bool ServiceReader::read_max_connections(const json::value& value, std::string_view field) {
    return convert_cell_as<NonNegativeInteger>(value, field, current_entry().max_connections);
}

}    // namespace shaletray::configuration
