// Reading a file that was unified with its schema, record by record.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "balancer/settings/value.h"

namespace shaletray::settings {

// Reads a settled record. What the schema promises is not checked again.
class Record {
public:
    explicit Record(const ValuePtr& value) : value_(value) {}

    bool has(const std::string& name) const { return value_->fields.contains(name); }
    const ValuePtr& at(const std::string& name) const { return value_->fields.at(name).value; }
    std::string text(const std::string& name) const { return has(name) ? at(name)->text : std::string(); }
    double number(const std::string& name) const { return at(name)->number; }
    template <class T>
    T whole(const std::string& name) const {
        return static_cast<T>(number(name));
    }
    bool truth(const std::string& name) const { return at(name)->truth; }
    std::uint64_t size(const std::string& name) const {
        const Value& v = *at(name);
        return static_cast<std::uint64_t>(v.kind == Value::Kind::Text ? read_size(v.text).value() : v.number);
    }
    std::vector<std::string> texts(const std::string& name) const {
        std::vector<std::string> out;
        for (const ValuePtr& item : at(name)->items) out.push_back(item->text);
        return out;
    }
    std::chrono::microseconds duration(const std::string& name) const {
        return std::chrono::microseconds(static_cast<std::int64_t>(read_duration(at(name)->text).value()));
    }

private:
    ValuePtr value_;
};

// The file unified with a schema, defaults taken. Throws BadSettingsFile with all that is wrong.
ValuePtr settled(std::string_view text, const std::string& file, const char* schema, const char* schema_name);
// Throws BadSettingsFile where it cannot be read.
std::string read_file(const std::string& path);

}    // namespace shaletray::settings
