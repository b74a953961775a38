// Reads the table of tenants.
#pragma once

#include <cstddef>
#include <span>
#include <string_view>

#include "cluster/configuration/table_reader.h"

namespace shaletray::configuration {

class TenantReader : public EntryTableReader<TenantReader, Tenant> {
public:
    explicit TenantReader(ParseReport& report) : EntryTableReader(Section::Tenants, report) {}

    // Checks that no two tenants share an API key. Called after all rows were read.
    bool validate_api_keys();

private:
    friend class EntryTableReader<TenantReader, Tenant>;
    static std::span<const Column> columns();

    bool read_name(const boost::json::value& value, std::string_view field);
    bool read_api_keys(const boost::json::value& value, std::string_view field);
    bool read_priority(const boost::json::value& value, std::string_view field);
    bool read_rate_per_s(const boost::json::value& value, std::string_view field);
    bool read_burst(const boost::json::value& value, std::string_view field);

    std::size_t key_count_ = 0;    // of all tenants
};

}    // namespace shaletray::configuration
