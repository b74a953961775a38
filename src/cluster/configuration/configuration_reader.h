// Builds a configuration from the values of the operator's text.
#pragma once

#include <boost/json/value.hpp>
#include <string_view>

#include "cluster/configuration/configuration.h"
#include "cluster/configuration/parse_report.h"
#include "cluster/configuration/route_reader.h"
#include "cluster/configuration/service_reader.h"
#include "cluster/configuration/tenant_reader.h"

namespace shaletray::configuration {

// Takes the values that the document consists of, one at a time, so that only one row of a large text is in
// memory as JSON. Functions return false once they have reported an error; nothing is called after that.
class ConfigurationReader {
public:
    explicit ConfigurationReader(ParseReport& report)
        : report_(report), routes_(report), services_(report), tenants_(report) {}

    bool read_revision(const boost::json::value& value);
    bool read_limits(const boost::json::value& value);
    TableReader& table(Section section);

    // After the text was read once: all members that it needs are there.
    bool check_complete();
    // After all rows were read: validates what concerns several of them, and builds the configuration.
    bool finish();
    // What finish() built.
    Configuration& config() { return config_; }

private:
    template <class T>
    bool convert(const boost::json::value& value, std::string_view location, std::string_view field,
                 T& target);
    bool read_byte_limit(const boost::json::object& limits, std::string_view field, std::size_t& target);
    bool read_time_limit(const boost::json::object& limits, std::string_view field, Duration& target);

    ParseReport& report_;
    Configuration config_;
    RouteReader routes_;
    ServiceReader services_;
    TenantReader tenants_;
};

}    // namespace shaletray::configuration
