// Fields of a decoded value as text, one a line, so that two values can be compared field by field.
#pragma once

#include <fmt/format.h>

#include <string>
#include <string_view>
#include <type_traits>

#include "base/common/clock.h"

namespace shaletray::compatibility {

class FieldList {
public:
    // Arithmetic values, enumerations, time points, durations and strings; strings are escaped.
    template <class Value>
    FieldList& add(std::string_view name, const Value& value) {
        text_ += fmt::format("{}{}={}\n", prefix_, name, formatted(value));
        return *this;
    }
    // Fields that are added until the next call of this are named within `prefix`.
    void within(std::string prefix) { prefix_ = prefix.empty() ? "" : std::move(prefix) + "."; }
    const std::string& text() const { return text_; }

private:
    template <class Value>
    static std::string formatted(const Value& value) {
        if constexpr (std::is_same_v<Value, bool>) return value ? "true" : "false";
        else if constexpr (std::is_enum_v<Value>)
            return fmt::format("{}",
                               static_cast<std::uint64_t>(
                                   static_cast<std::make_unsigned_t<std::underlying_type_t<Value>>>(value)));
        else if constexpr (std::is_integral_v<Value>) return fmt::format("{}", value);
        else if constexpr (std::is_floating_point_v<Value>) return fmt::format("{:a}", value);
        else if constexpr (std::is_same_v<Value, TimePoint>)
            return fmt::format("{}us", value.time_since_epoch().count());
        else if constexpr (std::is_same_v<Value, Duration>) return fmt::format("{}us", value.count());
        else return escaped(value);
    }
    static std::string escaped(std::string_view value) {
        std::string out = "\"";
        for (const char c : value) {
            if (c >= 0x20 && c < 0x7f && c != '"' && c != '\\') out += c;
            else out += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
        }
        return out + '"';
    }

    std::string text_, prefix_;
};

}    // namespace shaletray::compatibility
