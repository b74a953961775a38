// Values of the settings language, a strict subset of CUE (https://cuelang.org/docs/reference/spec/): values,
// types, ranges and defaults form one lattice, in which a file and a schema are unified. Pure; values are
// immutable and shared. docs/operate/settings.md defines the subset.
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

// Where a value was written.
struct SourcePosition {
    std::string file;
    std::size_t line = 0, column = 0;    // from 1; 0: none
};

// One error in a file.
struct Problem {
    SourcePosition position;
    std::string path;       // of the field, as in a.b[2]; empty: the entire file
    std::string message;    // what was expected and what was found
    std::string to_line() const;
};

// All problems of a file, one line each.
class SettingsFileError : public std::runtime_error {
public:
    explicit SettingsFileError(std::vector<Problem> problems);
    const std::vector<Problem>& problems() const { return problems_; }

private:
    std::vector<Problem> problems_;
};

// Throws SettingsFileError with this one problem.
[[noreturn]] void throw_problem(SourcePosition position, std::string path, std::string text);

struct Value;
using ValuePtr = std::shared_ptr<const Value>;

// What a field may be: a concrete value, a type with bounds, or several alternatives.
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
    int type_mask = 0;    // Type: any of the constants above
    Unit unit = Unit::None;
    std::vector<Bound> bounds;
    std::vector<std::string> field_order;    // Record: names in the order of their first occurrence
    std::map<std::string, Field> fields;
    bool is_closed = false;         // no other fields are allowed
    std::vector<ValuePtr> items;    // List
    ValuePtr rest_type;             // List: type of further items; null: none are allowed
    std::vector<Alternative> alternatives;

    // As it would be written; long values are truncated.
    std::string to_text() const;
};

// Parses one file. Throws SettingsFileError with one problem for a syntax error.
ValuePtr parse(std::string_view text, const std::string& file);
// The values that satisfy both. Appends a problem for each field where there is none, and continues.
ValuePtr unify(const ValuePtr& a, const ValuePtr& b, const std::string& path, std::vector<Problem>& problems);
// Applies defaults, and appends a problem for each field that has no single value.
ValuePtr resolve_value(const ValuePtr& value, const std::string& path, std::vector<Problem>& problems);

// A duration such as 1h30m, 1.5s, 250ms, 40us in microseconds; a size such as 64KiB, 1.5MB, 12 in bytes.
// Empty if the text is neither.
std::optional<double> parse_duration(std::string_view text);
std::optional<double> parse_size(std::string_view text);

}    // namespace shaletray::settings
