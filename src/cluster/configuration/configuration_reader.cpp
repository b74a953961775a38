#include "cluster/configuration/configuration_reader.h"

#include <utility>

#include "cluster/configuration/json_values.h"

namespace shaletray::configuration {

namespace json = boost::json;

template <class T>
bool ConfigurationReader::convert(const json::value& value, std::string_view location, std::string_view field,
                                  T& target) {
    json::result<T> parsed = json::try_value_to<T>(value);
    if (!parsed) return report_.fail(location, field, parsed.error().message());
    target = std::move(*parsed);
    return true;
}

bool ConfigurationReader::read_revision(const json::value& value) {
    RevisionValue revision;
    if (!convert(value, "", "revision", revision)) return false;
    config_.version = revision.value;
    return true;
}

bool ConfigurationReader::read_limits(const json::value& value) {
    const json::object* const limits = value.if_object();
    if (limits == nullptr) return report_.fail("limits", "", message_of(ValueError::NotObject));
    return read_byte_limit(*limits, "max_header_bytes", config_.limits.max_header_bytes) &&
           read_byte_limit(*limits, "max_body_bytes", config_.limits.max_body_bytes) &&
           read_time_limit(*limits, "header_timeout", config_.limits.header_timeout) &&
           read_time_limit(*limits, "idle_timeout", config_.limits.idle_timeout);
}

bool ConfigurationReader::read_byte_limit(const json::object& limits, std::string_view field,
                                          std::size_t& target) {
    const json::value* const member = find_member(limits, field);
    if (member == nullptr) return true;
    ByteCount count;
    if (!convert(*member, "limits", field, count)) return false;
    if (count.value == 0) return report_.fail("limits", field, "must be above 0");
    target = count.value;
    return true;
}

bool ConfigurationReader::read_time_limit(const json::object& limits, std::string_view field,
                                          Duration& target) {
    const json::value* const member = find_member(limits, field);
    if (member == nullptr) return true;
    DurationValue duration;
    if (!convert(*member, "limits", field, duration)) return false;
    if (duration.value <= Duration(0)) return report_.fail("limits", field, "must be above 0");
    target = duration.value;
    return true;
}

TableReader& ConfigurationReader::table(Section section) {
    switch (section) {
        case Section::Routes: return routes_;
        case Section::Services: return services_;
        case Section::Tenants: break;
    }
    return tenants_;
}

bool ConfigurationReader::check_complete() {
    if (config_.version == 0) return report_.fail("", "revision", "is missing");
    for (const Section section : kSections)
        if (!table(section).check_complete(section != Section::Tenants)) return false;
    return true;
}

bool ConfigurationReader::finish() {
    if (!services_.sort_by_name()) return false;
    if (!routes_.validate(services_) || !routes_.sort_by_name()) return false;
    if (!tenants_.validate_api_keys() || !tenants_.sort_by_name()) return false;
    config_.services = services_.build_entries();
    config_.routes = routes_.build_entries();
    if (tenants_.is_present()) config_.tenants = tenants_.build_entries();
    return true;
}

}    // namespace shaletray::configuration
