// Builds a configuration from the JSON values of the configuration text.
#pragma once

#include <boost/json/value.hpp>
#include <string_view>

#include "cluster/configuration/configuration.h"
#include "cluster/configuration/parse_report.h"
#include "cluster/configuration/route_reader.h"
#include "cluster/configuration/service_reader.h"
#include "cluster/configuration/tenant_reader.h"

namespace shaletray::configuration {

// Reads the values of the document one at a time, so that only one row of a large text is in memory as JSON.
// Functions return false after they have reported an error; the reader must not be used after that.
class ConfigurationReader {
public:
    explicit ConfigurationReader(ParseReport& report)
        : report_(report), routes_(report), services_(report), tenants_(report) {}

    bool read_revision(const boost::json::value& value);
    bool read_limits(const boost::json::value& value);
    TableReader& table(Section section);

    // Checks after the first pass over the text that all required members are present.
    bool check_complete();
    // Validates constraints across rows and builds the configuration. Called after all rows were read.
    bool finish();
    // The configuration that finish() built.
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
