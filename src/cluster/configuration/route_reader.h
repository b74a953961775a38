// Reads the table of routes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cluster/configuration/service_reader.h"
#include "cluster/configuration/table_reader.h"

namespace shaletray::configuration {

// A route names a single service, or services with weights (its traffic split). The split takes precedence
// where a route has both.
class RouteReader : public EntryTableReader<RouteReader, Route> {
public:
    explicit RouteReader(ParseReport& report) : EntryTableReader(Section::Routes, report) {}

    // Checks that routes name existing services and that no two share a host and path prefix, and removes
    // targets of weight 0. Called after all rows were read.
    bool validate(const ServiceReader& services);

private:
    friend class EntryTableReader<RouteReader, Route>;
    static std::span<const Column> columns();

    bool read_name(const boost::json::value& value, std::string_view field);
    bool read_hostname(const boost::json::value& value, std::string_view field);
    bool read_path_prefix(const boost::json::value& value, std::string_view field);
    bool read_route_type(const boost::json::value& value, std::string_view field);
    bool read_timeout(const boost::json::value& value, std::string_view field);
    bool read_target_latency(const boost::json::value& value, std::string_view field);
    bool read_priority(const boost::json::value& value, std::string_view field);
    bool read_max_attempts(const boost::json::value& value, std::string_view field);
    bool read_is_public(const boost::json::value& value, std::string_view field);
    bool read_service(const boost::json::value& value, std::string_view field);
    bool read_traffic_split(const boost::json::value& value, std::string_view field);

    void begin_entry() override;
    bool finish_entry() override;
    // Reads a member of a traffic split and adds it to the current route's targets with weight 0. Returns the
    // configured weight, or nothing where an error was reported.
    std::optional<double> read_split_member(const boost::json::value& value, std::string_view field,
                                            std::size_t index);
    // Converts the configured weights to the integer weights of the current route's targets.
    bool assign_weights(const std::vector<double>& weights, std::string_view field);

    bool fail_unknown_service(std::uint32_t row, std::string_view field, const std::string& name);
    bool validate_targets(std::uint32_t row, const ServiceReader& services);

    // State of the current route:
    bool has_host_ = false;
    bool has_split_list_ = false, has_split_ = false;    // a traffic_split, and one with members
    std::string service_name_;

    // State of all routes:
    std::vector<bool> route_has_split_;    // by row
    // Rows that name a service besides their traffic split, and that service, which must exist too.
    std::vector<std::pair<std::uint32_t, std::string>> services_beside_split_;
};

}    // namespace shaletray::configuration
