#include "balancer/settings/value.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <regex>

namespace shaletray::settings {
namespace {

using Kind = Value::Kind;
using Op = Value::Op;

constexpr std::size_t kMaxShownLength = 60;
constexpr std::size_t kMaxAlternatives = 64;

int type_mask_of(const Value& v) {
    switch (v.kind) {
        case Kind::Null: return Value::kNull;
        case Kind::Bool: return Value::kBool;
        case Kind::Number: return v.is_integer ? Value::kInt : Value::kFloat;
        case Kind::Text: return Value::kText;
        case Kind::Record: return Value::kRecord;
        case Kind::List: return Value::kList;
        case Kind::Type: return v.type_mask;
        default: return ~0;
    }
}

bool is_concrete(const Value& v) {
    return v.kind == Kind::Null || v.kind == Kind::Bool || v.kind == Kind::Number || v.kind == Kind::Text;
}

bool values_equal(const Value& a, const Value& b) {
    if (a.kind != b.kind) return false;
    switch (a.kind) {
        case Kind::Bool: return a.bool_value == b.bool_value;
        case Kind::Number: return a.number_value == b.number_value;
        case Kind::Text: return a.text_value == b.text_value;
        default: return a.kind == Kind::Null;
    }
}

const char* operator_text(Op op) {
    static constexpr const char* kOps[] = {"<", "<=", ">", ">=", "!=", "=~", "!~"};
    return kOps[static_cast<std::size_t>(op)];
}

std::string type_text(const Value& v) {
    if (v.unit == Value::Unit::Duration) return "duration such as \"250ms\"";
    if (v.unit == Value::Unit::Size) return "size such as \"64MiB\"";
    static constexpr std::pair<int, const char*> kTypes[] = {{Value::kInt | Value::kFloat, "number"},
                                                             {Value::kInt, "int"},
                                                             {Value::kFloat, "float"},
                                                             {Value::kText, "string"},
                                                             {Value::kBool, "bool"},
                                                             {Value::kNull, "null"},
                                                             {Value::kRecord, "record"},
                                                             {Value::kList, "list"}};
    std::string out;
    int left = v.type_mask;
    for (const auto& [types, name] : kTypes) {
        if ((left & types) != types) continue;
        if (!out.empty()) out += " or ";
        out += name;
        left &= ~types;
    }
    return out;
}

// The number that a value is compared by: a number itself, or a text with units in the given unit.
std::optional<double> measure_text(const Value& v, Value::Unit unit) {
    if (v.kind == Kind::Number) return v.number_value;
    if (v.kind != Kind::Text) return std::nullopt;
    if (unit == Value::Unit::Duration) return parse_duration(v.text_value);
    if (unit == Value::Unit::Size) return parse_size(v.text_value);
    return std::nullopt;
}

bool matches_pattern(const std::string& text, const std::string& pattern) {
    // std::regex recurses over the text: a very long text would exhaust the stack.
    if (text.size() > 4096) return false;
    try {
        return std::regex_search(text, std::regex(pattern, std::regex::ECMAScript));
    } catch (const std::regex_error&) {
        return false;
    }
}

bool satisfies_bound(const Value& v, const Value::Bound& bound, Value::Unit unit) {
    const Value& limit = *bound.limit;
    if (bound.op == Op::Match || bound.op == Op::NoMatch)
        return v.kind == Kind::Text &&
               matches_pattern(v.text_value, limit.text_value) == (bound.op == Op::Match);
    if (bound.op == Op::Not && !measure_text(v, unit)) return !values_equal(v, limit);
    int order = 0;
    const std::optional<double> a = measure_text(v, unit), b = measure_text(limit, unit);
    if (a && b) order = *a < *b ? -1 : *a > *b ? 1 : 0;
    else if (v.kind == Kind::Text && limit.kind == Kind::Text) order = v.text_value.compare(limit.text_value);
    else return false;
    switch (bound.op) {
        case Op::Less: return order < 0;
        case Op::LessEqual: return order <= 0;
        case Op::More: return order > 0;
        case Op::MoreEqual: return order >= 0;
        default: return order != 0;
    }
}

Problem conflict_problem(const Value& expected, const Value& found, const std::string& path) {
    // The file is unified into the schema, so the second value is the one found in the file.
    return {found.position, path, fmt::format("expected {}, found {}", expected.to_text(), found.to_text())};
}

std::string join_path(const std::string& path, const std::string& name) {
    return path.empty() ? name : fmt::format("{}.{}", path, name);
}

ValuePtr unify_records(const Value& a, const Value& b, const std::string& path,
                       std::vector<Problem>& problems) {
    auto out = std::make_shared<Value>(a);
    out->is_closed = a.is_closed || b.is_closed;
    if (b.position.line > 0) out->position = b.position;
    for (const std::string& name : b.field_order) {
        const Value::Field& other_field = b.fields.at(name);
        const auto it = out->fields.find(name);
        if (it != out->fields.end()) {
            it->second.value = unify(it->second.value, other_field.value, join_path(path, name), problems);
            it->second.is_optional = it->second.is_optional && other_field.is_optional;
        } else if (a.is_closed) {
            std::string known_fields;
            for (const std::string& n : a.field_order)
                known_fields += fmt::format("{}{}", known_fields.empty() ? "" : ", ", n);
            problems.push_back(
                {other_field.value->position, join_path(path, name),
                 fmt::format("no such field; there are {}", known_fields.empty() ? "none" : known_fields)});
        } else {
            out->fields.emplace(name, other_field);
            out->field_order.push_back(name);
        }
    }
    if (b.is_closed) {
        for (const std::string& name : a.field_order) {
            if (!b.fields.contains(name))
                problems.push_back(
                    {a.fields.at(name).value->position, join_path(path, name), "no such field"});
        }
    }
    return out;
}

ValuePtr unify_lists(const Value& a, const Value& b, const std::string& path,
                     std::vector<Problem>& problems) {
    auto out = std::make_shared<Value>(b);
    out->items.clear();
    const std::size_t n = std::max(a.items.size(), b.items.size());
    for (std::size_t i = 0; i < n; ++i) {
        const ValuePtr x = i < a.items.size() ? a.items[i] : a.rest_type;
        const ValuePtr y = i < b.items.size() ? b.items[i] : b.rest_type;
        if (!x || !y) {
            problems.push_back({b.position, path,
                                fmt::format("expected {} items{}, found {}", a.items.size(),
                                            a.rest_type ? " or more" : "", b.items.size())});
            return out;
        }
        out->items.push_back(unify(x, y, fmt::format("{}[{}]", path, i), problems));
    }
    out->rest_type =
        a.rest_type && b.rest_type ? unify(a.rest_type, b.rest_type, path + "[...]", problems) : nullptr;
    return out;
}

ValuePtr unify_choice(const ValuePtr& choice, const ValuePtr& other, bool choice_first,
                      const std::string& path, std::vector<Problem>& problems) {
    auto out = std::make_shared<Value>(*choice);
    out->alternatives.clear();
    std::vector<Problem> best;
    const auto add = [&](const ValuePtr& x, const ValuePtr& y, bool is_default) {
        std::vector<Problem> own;
        const ValuePtr unified = choice_first ? unify(x, y, path, own) : unify(y, x, path, own);
        if (own.empty()) out->alternatives.push_back({unified, is_default});
        // Reports the alternative that comes closest to matching: the one whose problem is nested deepest.
        else if (best.empty() || own.front().path.size() > best.front().path.size()) best = own;
    };
    const bool marked = std::any_of(choice->alternatives.begin(), choice->alternatives.end(),
                                    [](const auto& alt) { return alt.is_default; });
    for (const Value::Alternative& x : choice->alternatives) {
        if (other->kind != Kind::Choice) {
            add(x.value, other, x.is_default);
            continue;
        }
        const bool other_marked = std::any_of(other->alternatives.begin(), other->alternatives.end(),
                                              [](const auto& alt) { return alt.is_default; });
        for (const Value::Alternative& y : other->alternatives)
            add(x.value, y.value,
                (x.is_default || !marked) && (y.is_default || !other_marked) && (marked || other_marked));
    }
    if (out->alternatives.size() > kMaxAlternatives) {
        problems.push_back({other->position, path, "too many alternatives"});
        return other;
    }
    if (out->alternatives.empty()) {
        const bool deeper = !best.empty() && best.front().path.size() > path.size();
        if (deeper) problems.insert(problems.end(), best.begin(), best.end());
        else
            problems.push_back(choice_first ? conflict_problem(*choice, *other, path)
                                            : conflict_problem(*other, *choice, path));
        return other;
    }
    if (out->alternatives.size() == 1) return out->alternatives.front().value;
    return out;
}

ValuePtr unify_type(const ValuePtr& type, const ValuePtr& other, const std::string& path,
                    std::vector<Problem>& problems, bool type_first) {
    const auto fail = [&] {
        problems.push_back(type_first ? conflict_problem(*type, *other, path)
                                      : conflict_problem(*other, *type, path));
        return other;
    };
    if (other->kind == Kind::Type) {
        auto out = std::make_shared<Value>(*type);
        out->type_mask &= other->type_mask;
        // The bounds of a type with a unit are texts, but its values may be numbers too.
        if (type->unit != Value::Unit::None || other->unit != Value::Unit::None)
            out->type_mask = type->unit != Value::Unit::None ? type->type_mask : other->type_mask;
        if (type->unit != Value::Unit::None && other->unit != Value::Unit::None && type->unit != other->unit)
            return fail();
        if (out->unit == Value::Unit::None) out->unit = other->unit;
        out->bounds.insert(out->bounds.end(), other->bounds.begin(), other->bounds.end());
        if (out->type_mask == 0) return fail();
        if (!type_first) out->position = type->position;
        return out;
    }
    const int own_type = type_mask_of(*other);
    // An integer is accepted where a float is expected.
    const bool fits = (own_type & type->type_mask) != 0 ||
                      (own_type == Value::kInt && (type->type_mask & Value::kFloat) != 0);
    if (!fits) return fail();
    if (type->unit != Value::Unit::None) {
        const auto magnitude = measure_text(*other, type->unit);
        if (!magnitude || *magnitude < 0.0) return fail();
    }
    for (const Value::Bound& bound : type->bounds) {
        if (!satisfies_bound(*other, bound, type->unit)) return fail();
    }
    return other;
}

std::optional<double> parse_with_units(std::string_view text,
                                       const std::vector<std::pair<std::string_view, double>>& units,
                                       bool allow_several, double default_unit) {
    double sum = 0.0;
    if (text.empty()) return std::nullopt;
    while (!text.empty()) {
        double value = 0.0;
        const auto [end, error] =
            std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
        if (error != std::errc{} || value < 0.0 || text.front() == '-') return std::nullopt;
        text.remove_prefix(static_cast<std::size_t>(end - text.data()));
        const auto unit = std::find_if(units.begin(), units.end(), [&](const auto& u) {
            return text.substr(0, u.first.size()) == u.first;
        });
        if (unit != units.end()) {
            text.remove_prefix(unit->first.size());
            sum += value * unit->second;
        } else if (text.empty() && default_unit > 0.0) {
            sum += value * default_unit;
        } else {
            return std::nullopt;
        }
        if (!allow_several && !text.empty()) return std::nullopt;
    }
    // Larger values would overflow in later conversions.
    return sum <= 9e15 ? std::optional(sum) : std::nullopt;
}

}    // namespace

std::string Problem::to_line() const {
    std::string out = position.file;
    if (position.line > 0) out += fmt::format(":{}", position.line);
    if (position.line > 0 && position.column > 0) out += fmt::format(":{}", position.column);
    if (!path.empty()) out += fmt::format("{}{}", out.empty() ? "" : ": ", path);
    return out.empty() ? message : out + ": " + message;
}

SettingsFileError::SettingsFileError(std::vector<Problem> problems)
    : std::runtime_error([&] {
          std::string all;
          for (const Problem& p : problems) all += fmt::format("{}{}", all.empty() ? "" : "\n", p.to_line());
          return all;
      }()),
      problems_(std::move(problems)) {}

void throw_problem(SourcePosition position, std::string path, std::string text) {
    std::vector<Problem> problems;
    problems.push_back({std::move(position), std::move(path), std::move(text)});
    throw SettingsFileError(std::move(problems));
}

std::string Value::to_text() const {
    std::string out;
    switch (kind) {
        case Kind::Top: out = "anything"; break;
        case Kind::Null: out = "null"; break;
        case Kind::Bool: out = bool_value ? "true" : "false"; break;
        case Kind::Number: out = fmt::format("{}", number_value); break;
        case Kind::Text: out = fmt::format("\"{}\"", text_value); break;
        case Kind::Record: out = "a record"; break;
        case Kind::List: out = items.empty() && !rest_type ? "an empty list" : "a list"; break;
        case Kind::Type:
            out = type_text(*this);
            if (!bounds.empty()) out += ' ';
            for (const Bound& b : bounds)
                out += fmt::format("{}{}{}", &b == &bounds.front() ? "" : " and ",
                                   settings::operator_text(b.op), b.limit->to_text());
            return out;
        case Kind::Choice:
            for (const Alternative& a : alternatives)
                out += fmt::format("{}{}", out.empty() ? "" : " or ", a.value->to_text());
            return out;
    }
    if (out.size() > kMaxShownLength) {
        out.resize(kMaxShownLength);
        out += "...";
    }
    return out;
}

ValuePtr unify(const ValuePtr& a, const ValuePtr& b, const std::string& path,
               std::vector<Problem>& problems) {
    if (a->kind == Kind::Top) return b;
    if (b->kind == Kind::Top) return a;
    if (a->kind == Kind::Choice) return unify_choice(a, b, true, path, problems);
    if (b->kind == Kind::Choice) return unify_choice(b, a, false, path, problems);
    if (a->kind == Kind::Type) return unify_type(a, b, path, problems, true);
    if (b->kind == Kind::Type) return unify_type(b, a, path, problems, false);
    if (a->kind == Kind::Record && b->kind == Kind::Record) return unify_records(*a, *b, path, problems);
    if (a->kind == Kind::List && b->kind == Kind::List) return unify_lists(*a, *b, path, problems);
    if (is_concrete(*a) && values_equal(*a, *b)) return b;
    problems.push_back(conflict_problem(*a, *b, path));
    return b;
}

ValuePtr resolve_value(const ValuePtr& value, const std::string& path, std::vector<Problem>& problems) {
    switch (value->kind) {
        case Kind::Choice: {
            const Value::Alternative* chosen = nullptr;
            int marked = 0;
            for (const Value::Alternative& a : value->alternatives) {
                if (!a.is_default) continue;
                ++marked;
                chosen = &a;
            }
            if (marked != 1) break;
            return resolve_value(chosen->value, path, problems);
        }
        case Kind::Record: {
            auto out = std::make_shared<Value>(*value);
            std::erase_if(out->field_order, [&](const std::string& name) {
                Value::Field& f = out->fields.at(name);
                // An optional field that the file omits is removed.
                if (!f.is_optional) return false;
                out->fields.erase(name);
                return true;
            });
            for (const std::string& name : out->field_order) {
                Value::Field& f = out->fields.at(name);
                f.value = resolve_value(f.value, join_path(path, name), problems);
            }
            return out;
        }
        case Kind::List: {
            auto out = std::make_shared<Value>(*value);
            out->rest_type = nullptr;
            for (std::size_t i = 0; i < out->items.size(); ++i)
                out->items[i] = resolve_value(out->items[i], fmt::format("{}[{}]", path, i), problems);
            return out;
        }
        case Kind::Type:
        case Kind::Top: break;
        default: return value;
    }
    problems.push_back({value->position, path, fmt::format("missing; expected {}", value->to_text())});
    return value;
}

std::optional<double> parse_duration(std::string_view text) {
    static const std::vector<std::pair<std::string_view, double>> kUnits = {
        {"ms", 1e3}, {"us", 1.0}, {"h", 3.6e9}, {"m", 6e7}, {"s", 1e6}};
    return parse_with_units(text, kUnits, true, 0.0);
}

std::optional<double> parse_size(std::string_view text) {
    static const std::vector<std::pair<std::string_view, double>> kUnits = {
        {"KiB", 1024.0}, {"MiB", 1048576.0}, {"GiB", 1073741824.0}, {"kB", 1e3},
        {"KB", 1e3},     {"MB", 1e6},        {"GB", 1e9},           {"B", 1.0}};
    return parse_with_units(text, kUnits, false, 1.0);
}

}    // namespace shaletray::settings
