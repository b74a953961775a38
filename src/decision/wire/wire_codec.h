// The simulator's wire <-> the module's interface. Translation only; nothing is decided here.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "decision/control.h"

namespace shaletray::decision::wire {

using Json = nlohmann::json;

// What is wrong with a line, naming event and field; the host adds the line number.
class BadMessage : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// One object under one key, as every line is.
struct Message {
    std::string name;
    Json fields;

    std::int64_t integer(const char* field) const;    // required
    std::int64_t integer_or(const char* field, std::int64_t fallback) const;
    double number_or(const char* field, double fallback) const;
    std::string text(const char* field) const;
};

Message parse_line(const std::string& line);
Settings parse_settings(const Json& setup);
// An event for an instance; false where the module has no use for it (the counter's answers).
bool parse_event(const Message& message, Event& event);
// Appends one line for the action.
void write_action(std::int64_t who, const Action& action, std::string& out);

std::string base64_encode(const std::vector<std::uint8_t>& bytes);
std::vector<std::uint8_t> base64_decode(const std::string& text);

}    // namespace shaletray::decision::wire
