// Typed access to a settings file that was unified with its schema.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "balancer/settings/value.h"

namespace shaletray::settings {

// Reads the fields of a resolved record. What the schema guarantees is not checked again: accessors of a
// field require that it exists with that type, apart from has() and text_at().
class Record {
public:
    explicit Record(const ValuePtr& value) : value_(value) {}

    bool has(const std::string& name) const { return value_->fields.contains(name); }
    const ValuePtr& value_at(const std::string& name) const { return value_->fields.at(name).value; }
    std::string text_at(const std::string& name) const {
        return has(name) ? value_at(name)->text_value : std::string();
    }
    double number_at(const std::string& name) const { return value_at(name)->number_value; }
    template <class T>
    T integer_at(const std::string& name) const {
        return static_cast<T>(number_at(name));
    }
    bool bool_at(const std::string& name) const { return value_at(name)->bool_value; }
    // In bytes, from a number or a text like "64KiB".
    std::uint64_t size_at(const std::string& name) const {
        const Value& v = *value_at(name);
        return static_cast<std::uint64_t>(v.kind == Value::Kind::Text ? parse_size(v.text_value).value()
                                                                      : v.number_value);
    }
    std::vector<std::string> texts_at(const std::string& name) const {
        std::vector<std::string> out;
        for (const ValuePtr& item : value_at(name)->items) out.push_back(item->text_value);
        return out;
    }
    std::chrono::microseconds duration_at(const std::string& name) const {
        return std::chrono::microseconds(
            static_cast<std::int64_t>(parse_duration(value_at(name)->text_value).value()));
    }

private:
    ValuePtr value_;
};

// The file unified with a schema, with defaults applied. Throws SettingsFileError with all problems.
ValuePtr resolve_settings(std::string_view text, const std::string& file, const char* schema,
                          const char* schema_name);
// Throws SettingsFileError if the file cannot be read.
std::string read_file(const std::string& path);

}    // namespace shaletray::settings
