// Reports the first error in the configuration text, with the path of the invalid member.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "cluster/configuration/configuration_error.h"

namespace shaletray::configuration {

// Members of the document that contain a table.
enum class Section : std::uint8_t { Routes, Services, Tenants };
inline constexpr Section kSections[] = {Section::Routes, Section::Services, Section::Tenants};

inline std::string_view section_name(Section section) {
    static constexpr std::string_view kNames[] = {"routes", "services", "tenants"};
    return kNames[static_cast<std::size_t>(section)];
}

// Returns the path of a row for error messages, such as "routes[3]".
inline std::string row_path(Section section, std::size_t row) {
    return std::string(section_name(section)) + "[" + std::to_string(row) + "]";
}

// Holds the error that stopped parsing. Parsing functions return false after they have reported one, like the
// callbacks of Boost.JSON's parser.
class ParseReport {
public:
    bool has_error() const { return error_.has_value(); }
    const ConfigurationError& error() const { return *error_; }
    // Records an error and returns false. An empty `field` means that the value at `location` itself is
    // invalid.
    bool fail(std::string_view location, std::string_view field, std::string reason) {
        std::string path(location);
        if (!location.empty() && !field.empty()) path += '.';
        path += field;
        error_ = ConfigurationError{std::move(path), std::move(reason)};
        return false;
    }

private:
    std::optional<ConfigurationError> error_;
};

}    // namespace shaletray::configuration
