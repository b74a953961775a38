#include "cluster/configuration/tenant_reader.h"

#include <algorithm>

#include "cluster/configuration/hash_index.h"
#include "cluster/configuration/lookup_keys.h"

namespace shaletray::configuration {

namespace json = boost::json;

std::span<const TenantReader::Column> TenantReader::columns() {
    static constexpr Column kColumns[] = {
        {"name", &TenantReader::read_name},         {"api_keys", &TenantReader::read_api_keys},
        {"priority", &TenantReader::read_priority}, {"rate_per_s", &TenantReader::read_rate_per_s},
        {"burst", &TenantReader::read_burst},
    };
    return kColumns;
}

bool TenantReader::read_name(const json::value& value, std::string_view field) {
    return read_name_as<HeaderText>(value, field);
}

bool TenantReader::read_api_keys(const json::value& value, std::string_view field) {
    const json::array* const keys = value.if_array();
    if (keys == nullptr) return fail_cell(field, ValueError::NotArray);
    ApiKeyList& api_keys = current_entry().api_keys;
    for (std::size_t i = 0; i < keys->size(); ++i) {
        const json::result<HeaderText> key = json::try_value_to<HeaderText>((*keys)[i]);
        if (!key || key->value.empty())
            return fail_cell(std::string(field) + "[" + std::to_string(i) + "]",
                             key ? "is empty" : key.error().message());
        api_keys.push_back(key->value);
    }
    key_count_ += keys->size();
    api_keys.shrink_to_fit();
    return true;
}

bool TenantReader::read_priority(const json::value& value, std::string_view field) {
    return convert_cell_as<IntegerValue>(value, field, current_entry().priority);
}

bool TenantReader::read_rate_per_s(const json::value& value, std::string_view field) {
    return convert_cell_as<NonNegativeNumber>(value, field, current_entry().rate_per_s);
}

bool TenantReader::read_burst(const json::value& value, std::string_view field) {
    return convert_cell_as<NonNegativeNumber>(value, field, current_entry().burst);
}

bool TenantReader::validate_api_keys() {
    HashIndex known_keys(key_count_);
    for (std::uint32_t row = 0; row < entry_count(); ++row) {
        for (const std::string_view key : entry(row).api_keys) {
            const std::uint64_t hash = api_key_hash(key);
            const std::uint32_t other = known_keys.find(hash, [&](std::uint32_t candidate) {
                const ApiKeyList& keys = entry(candidate).api_keys;
                return std::find(keys.begin(), keys.end(), key) != keys.end();
            });
            // The key is a secret and is left out of the message, since errors are logged.
            if (other != HashIndex::kNone && other != row)
                return fail_row(row, "api_keys", "has a key of " + row_path(section(), other) + " too");
            if (other == HashIndex::kNone) known_keys.add(hash, row);
        }
    }
    return true;
}

}    // namespace shaletray::configuration
