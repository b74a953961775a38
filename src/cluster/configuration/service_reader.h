// Reads the table of services.
#pragma once

#include <span>
#include <string_view>

#include "cluster/configuration/table_reader.h"

namespace shaletray::configuration {

class ServiceReader : public EntryTableReader<ServiceReader, Service> {
public:
    explicit ServiceReader(ParseReport& report) : EntryTableReader(Section::Services, report) {}

private:
    friend class EntryTableReader<ServiceReader, Service>;
    static std::span<const Column> columns();

    bool read_name(const boost::json::value& value, std::string_view field);
    bool read_health_check(const boost::json::value& value, std::string_view field);
    bool read_is_sharded(const boost::json::value& value, std::string_view field);
    bool read_max_connections(const boost::json::value& value, std::string_view field);
};

}    // namespace shaletray::configuration
