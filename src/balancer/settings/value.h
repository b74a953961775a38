// Values of the settings' language, a strict subset of CUE (https://cuelang.org/docs/reference/spec/): every
// value, type, range and default stands in one lattice, and a file and a schema are unified in it. Pure.
// docs/operate/settings.md states the subset.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace shaletray::settings {

struct SourcePosition {
    std::string file;
    std::size_t line = 0, column = 0;    // from 1; 0: none
};

struct Problem {
    SourcePosition position;
    std::string path;       // of the field, as in a.b[2]; empty for the file as a whole
    std::string message;    // what was expected and what stands there
    std::string to_line() const;
};

// All that is wrong, one line each.
class SettingsFileError : public std::runtime_error {
public:
    explicit SettingsFileError(std::vector<Problem> problems);
    const std::vector<Problem>& problems() const { return problems_; }

private:
    std::vector<Problem> problems_;
};

// Throws BadSettingsFile with this one problem.
[[noreturn]] void throw_problem(SourcePosition place, std::string path, std::string text);

struct Value;
using ValuePtr = std::shared_ptr<const Value>;

// What may stand at a place: one value, or a type with bounds, or several alternatives.
struct Value {
    enum class Kind { Top, Null, Bool, Number, Text, Type, Record, List, Choice };
    enum class Unit { None, Duration, Size };
    enum class Op { Less, LessEqual, More, MoreEqual, Not, Match, NoMatch };
    struct Bound {
        Op op{};
        ValuePtr limit;
    };
    struct Field {
        ValuePtr value;
        bool is_optional = false;
    };
    struct Alternative {
        ValuePtr value;
        bool is_default = false;
    };
    static constexpr int kNull = 1, kBool = 2, kInt = 4, kFloat = 8, kText = 16, kRecord = 32, kList = 64;

    Kind kind = Kind::Top;
    SourcePosition position;
    bool bool_value = false;
    double number_value = 0.0;
    bool is_integer = false;    // a Number written without point or exponent
    std::string text_value;
    int type_mask = 0;    // Type: any of those above
    Unit unit = Unit::None;
    std::vector<Bound> bounds;
    std::vector<std::string> field_order;    // Record: names as they were first written
    std::map<std::string, Field> fields;
    bool is_closed = false;         // only the named fields may be there
    std::vector<ValuePtr> items;    // List
    ValuePtr rest_type;             // List: what further items must be; none: there are none
    std::vector<Alternative> alternatives;

    // As it would be written; long ones are cut.
    std::string to_text() const;
};

// Reads one file. Throws BadSettingsFile with one problem where its form is wrong.
ValuePtr parse(std::string_view text, const std::string& file);
// Both at once. Appends a problem for each place where they cannot hold together, and goes on.
ValuePtr unify(const ValuePtr& a, const ValuePtr& b, const std::string& path, std::vector<Problem>& problems);
// Takes the defaults, and appends a problem for each place where no one value is left.
ValuePtr resolve_value(const ValuePtr& value, const std::string& path, std::vector<Problem>& problems);

// A duration such as 1h30m, 1.5s, 250ms, 40us in microseconds, a size such as 64KiB, 1.5MB, 12 in bytes.
// Nothing where the text is no such thing.
std::optional<double> parse_duration(std::string_view text);
std::optional<double> parse_size(std::string_view text);

}    // namespace shaletray::settings
