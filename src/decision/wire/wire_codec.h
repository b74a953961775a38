// Codec between the simulator's JSON lines and the types of the decision module. It makes no decisions.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "decision/control.h"

namespace shaletray::decision::wire {

using Json = nlohmann::json;

// A malformed line. The message names the event and the field; the host adds the line number.
class BadMessage : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

// One line: an object with one key, the name, whose value is the object `fields`.
struct Message {
    std::string name;
    Json fields;

    // integer() and text() throw BadMessage if the field is missing, all of them if it has another type.
    std::int64_t integer(const char* field) const;
    std::int64_t integer_or(const char* field, std::int64_t fallback) const;
    double number_or(const char* field, double fallback) const;
    std::string text(const char* field) const;
};

// These functions throw BadMessage for malformed input.
Message parse_line(const std::string& line);
Settings parse_settings(const Json& setup);
// Reads an event for an instance. Returns false for events that the module does not use (responses of the
// shared counter).
bool parse_event(const Message& message, Event& event);
// Appends one line for the action.
void write_action(std::int64_t who, const Action& action, std::string& out);

// Padded base64. base64_decode() throws std::invalid_argument for anything else.
std::string base64_encode(const std::vector<std::uint8_t>& bytes);
std::vector<std::uint8_t> base64_decode(const std::string& text);

}    // namespace shaletray::decision::wire
