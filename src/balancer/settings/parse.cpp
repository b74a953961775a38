// The parser of the settings language: its PEGTL grammar, and the builder of values from the parse tree.
#include <fmt/format.h>

#include <charconv>
#include <cmath>
#include <tao/pegtl.hpp>
#include <tao/pegtl/contrib/parse_tree.hpp>

#include "balancer/settings/value.h"

namespace shaletray::settings {
namespace {

namespace peg = tao::pegtl;

// Bounds the recursion of the parser; no settings need deeper nesting.
constexpr std::size_t kMaxDepth = 64, kMaxFileSize = 1024 * 1024;

// ---- grammar ----
// As in CUE, a newline ends a field, so a binary operator must end its line rather than start the next one.
// NOLINTBEGIN(readability-identifier-naming): rules and controls follow the naming of PEGTL

struct comment : peg::seq<peg::two<'/'>, peg::until<peg::at<peg::eolf>>> {};
struct blank : peg::star<peg::sor<peg::one<' ', '\t', '\r'>, comment>> {};
struct space : peg::star<peg::sor<peg::one<' ', '\t', '\r', '\n'>, comment>> {};

struct escape : peg::seq<peg::one<'\\'>, peg::sor<peg::one<'"', '\\', '/', 'b', 'f', 'n', 'r', 't'>,
                                                  peg::seq<peg::one<'u'>, peg::rep<4, peg::xdigit>>>> {};
struct text_end : peg::one<'"'> {};
struct text : peg::seq<peg::one<'"'>, peg::star<peg::sor<escape, peg::seq<peg::not_one<'"', '\\', '\n'>>>>,
                       text_end> {};
struct word_char : peg::sor<peg::alnum, peg::one<'_', '$'>> {};
struct name : peg::seq<peg::sor<peg::alpha, peg::one<'_'>>, peg::star<word_char>> {};
struct definition : peg::seq<peg::one<'#'>, name> {};

struct digits
    : peg::seq<peg::digit, peg::star<peg::sor<peg::digit, peg::seq<peg::one<'_'>, peg::at<peg::digit>>>>> {};
struct exponent : peg::seq<peg::one<'e', 'E'>, peg::opt<peg::one<'+', '-'>>, peg::plus<peg::digit>> {};
struct multiplier : peg::seq<peg::one<'K', 'M', 'G', 'T'>, peg::opt<peg::one<'i'>>> {};
struct number : peg::seq<peg::opt<peg::one<'-', '+'>>, digits, peg::opt<peg::one<'.'>, digits>,
                         peg::opt<exponent>, peg::opt<multiplier>, peg::not_at<word_char>> {};

struct either;
struct record;
struct list;
struct group_end : peg::one<')'> {};
struct group : peg::seq<peg::one<'('>, space, either, space, group_end> {};
struct primary : peg::sor<text, number, record, list, group, definition, name> {};
struct bound_op : peg::sor<peg::string<'>', '='>, peg::string<'<', '='>, peg::string<'!', '='>,
                           peg::string<'=', '~'>, peg::string<'!', '~'>, peg::one<'>', '<'>> {};
struct no_bound : peg::failure {};
struct bound_to : peg::sor<text, number, name, no_bound> {};
struct bound : peg::seq<bound_op, space, bound_to> {};
struct operand : peg::sor<bound, primary> {};
struct both : peg::list<operand, peg::seq<blank, peg::one<'&'>, space>> {};
struct mark : peg::one<'*'> {};
struct alternative : peg::seq<peg::opt<mark, blank>, both> {};
struct either : peg::list<alternative, peg::seq<blank, peg::one<'|'>, space>> {};

struct optional_mark : peg::one<'?'> {};
struct label : peg::sor<text, definition, name> {};
struct head : peg::seq<label, blank, peg::opt<optional_mark, blank>, peg::one<':'>, space> {};
struct no_value : peg::failure {};    // parse_tree raises messages only for leaf rules
struct field_value : peg::sor<either, no_value> {};
struct field : peg::seq<peg::plus<head>, field_value> {};    // several heads: a: b: 3 means a: {b: 3}
struct field_end : peg::sor<peg::seq<blank, peg::one<','>, space>, peg::seq<blank, peg::one<'\n'>, space>> {};
struct fields : peg::seq<space, peg::opt<peg::list<field, field_end>, peg::opt<field_end>>, space> {};
struct record_end : peg::one<'}'> {};
struct record : peg::seq<peg::one<'{'>, fields, record_end> {};
struct rest : peg::seq<peg::string<'.', '.', '.'>, blank, peg::opt<either>> {};
struct item : peg::sor<rest, either> {};
struct list_end : peg::one<']'> {};
struct list
    : peg::seq<
          peg::one<'['>, space,
          peg::opt<peg::list<item, peg::seq<space, peg::one<','>, space>>, peg::opt<space, peg::one<','>>>,
          space, list_end> {};
struct whole_file : peg::sor<peg::seq<space, record, space, peg::eof>, peg::seq<fields, peg::eof>> {};

struct messages {
    template <class Rule>
    static constexpr const char* message = nullptr;
};
template <>
inline constexpr const char* messages::message<text_end> =
    "expected the closing \" of a text on its own line";
template <>
inline constexpr const char* messages::message<group_end> = "expected )";
template <>
inline constexpr const char* messages::message<record_end> =
    "expected } or a further field on a line of its own";
template <>
inline constexpr const char* messages::message<list_end> = "expected ] or , and a further item";
template <>
inline constexpr const char* messages::message<no_bound> = "expected a value after the comparison";
template <>
inline constexpr const char* messages::message<no_value> = "expected a value after the colon";
template <class Rule>
using control = peg::must_if<messages>::control<Rule>;

template <class Rule>
using selector = peg::parse_tree::selector<
    Rule, peg::parse_tree::store_content::on<text, number, name, definition, bound_op, mark, optional_mark>,
    peg::parse_tree::remove_content::on<record, list, rest, both, either, alternative, bound, field,
                                        whole_file>>;
// NOLINTEND(readability-identifier-naming)
using Node = peg::parse_tree::node;

// ---- values ----

class Builder {
public:
    explicit Builder(const std::string& file) : file_name_(file) {}

    ValuePtr build_file(const Node& root) {
        // The file is a record whose braces are optional.
        const Node* top = root.children.front().get();
        if (top->children.size() == 1 && top->children[0]->is_type<record>()) top = top->children[0].get();
        return build_record(*top, root.children.front()->begin(), true);
    }

private:
    using Position = decltype(std::declval<Node>().begin());

    [[noreturn]] void throw_syntax_error(const Position& at, std::string text) const {
        throw_problem({file_name_, at.line, at.column}, "", std::move(text));
    }
    std::shared_ptr<Value> make_value(const Position& at, Value::Kind kind) const {
        auto value = std::make_shared<Value>();
        value->kind = kind;
        value->position = {file_name_, at.line, at.column};
        return value;
    }
    ValuePtr build_value(const Node& node) {
        if (node.is_type<text>()) {
            auto value = make_value(node.begin(), Value::Kind::Text);
            value->text_value = unescape_text(node);
            return value;
        }
        if (node.is_type<number>()) return build_number(node);
        if (node.is_type<name>()) return build_name(node);
        if (node.is_type<definition>()) return build_reference(node);
        if (node.is_type<record>()) return build_record(node, node.begin(), false);
        if (node.is_type<list>()) return build_list(node);
        if (node.is_type<bound>()) return build_bound(node);
        if (node.is_type<both>()) return build_conjunction(node);
        if (node.is_type<either>()) return build_alternatives(node);
        throw_syntax_error(node.begin(), "unsupported syntax");
    }
    std::string unescape_text(const Node& node) const {
        const std::string_view raw = node.string_view().substr(1, node.string_view().size() - 2);
        std::string out;
        for (std::size_t i = 0; i < raw.size(); ++i) {
            if (raw[i] != '\\') {
                out += raw[i];
                continue;
            }
            const char c = raw[++i];
            static constexpr std::string_view kFrom = "bfnrt", kTo = "\b\f\n\r\t";
            if (c == 'u') {
                unsigned code = 0;
                std::from_chars(raw.data() + i + 1, raw.data() + i + 5, code, 16);
                if (code == 0 || (code >= 0xd800 && code < 0xe000))
                    throw_syntax_error(node.begin(), "this character may not be written as an escape");
                append_utf8(out, code);
                i += 4;
            } else if (const std::size_t at = kFrom.find(c); at != std::string_view::npos) {
                out += kTo[at];
            } else {
                out += c;
            }
        }
        return out;
    }
    static void append_utf8(std::string& out, unsigned code) {
        if (code < 0x80) {
            out += static_cast<char>(code);
        } else if (code < 0x800) {
            out += static_cast<char>(0xc0 | (code >> 6));
            out += static_cast<char>(0x80 | (code & 0x3f));
        } else {
            out += static_cast<char>(0xe0 | (code >> 12));
            out += static_cast<char>(0x80 | ((code >> 6) & 0x3f));
            out += static_cast<char>(0x80 | (code & 0x3f));
        }
    }
    ValuePtr build_number(const Node& node) const {
        std::string plain;
        for (const char c : node.string_view())
            if (c != '_' && c != '+') plain += c;
        auto value = make_value(node.begin(), Value::Kind::Number);
        double factor = 1.0;
        const std::size_t unit = plain.find_first_of("KMGT");
        if (unit != std::string::npos) {
            const double base = plain.back() == 'i' ? 1024.0 : 1000.0;
            factor = std::pow(base, 1.0 + static_cast<double>(std::string_view("KMGT").find(plain[unit])));
            plain.resize(unit);
        }
        value->is_integer = plain.find_first_of(".eE") == std::string::npos;
        const auto [end, error] =
            std::from_chars(plain.data(), plain.data() + plain.size(), value->number_value);
        value->number_value *= factor;
        if (error != std::errc{} || end != plain.data() + plain.size() || !std::isfinite(value->number_value))
            throw_syntax_error(node.begin(), "the number is too large");
        return value;
    }
    ValuePtr build_name(const Node& node) const {
        const std::string_view word = node.string_view();
        if (word == "true" || word == "false") {
            auto value = make_value(node.begin(), Value::Kind::Bool);
            value->bool_value = word == "true";
            return value;
        }
        if (word == "null") return make_value(node.begin(), Value::Kind::Null);
        if (word == "_") return make_value(node.begin(), Value::Kind::Top);
        static const std::map<std::string_view, int> kTypes = {{"bool", Value::kBool},
                                                               {"int", Value::kInt},
                                                               {"float", Value::kFloat},
                                                               {"number", Value::kInt | Value::kFloat},
                                                               {"string", Value::kText}};
        const auto type = kTypes.find(word);
        if (type == kTypes.end())
            throw_syntax_error(node.begin(),
                               fmt::format("{} is neither a type nor a value; texts must be quoted", word));
        auto value = make_value(node.begin(), Value::Kind::Type);
        value->type_mask = type->second;
        return value;
    }
    ValuePtr build_reference(const Node& node) const {
        const std::string_view word = node.string_view();
        if (word == "#Duration" || word == "#Size") {
            auto value = make_value(node.begin(), Value::Kind::Type);
            value->type_mask = Value::kText;
            value->unit = word == "#Size" ? Value::Unit::Size : Value::Unit::Duration;
            if (word == "#Size") value->type_mask |= Value::kInt;
            return value;
        }
        const auto it = definitions_.find(std::string(word));
        if (it == definitions_.end())
            throw_syntax_error(node.begin(), fmt::format("{} is not defined above", word));
        return it->second;
    }
    ValuePtr build_record(const Node& node, const Position& at, bool top) {
        auto value = make_value(at, Value::Kind::Record);
        for (const auto& child : node.children) add_field(*value, *child, top);
        return value;
    }
    void add_field(Value& into, const Node& node, bool top) {
        std::vector<std::pair<const Node*, bool>> heads;    // each with whether it is optional
        for (std::size_t i = 0; i + 1 < node.children.size(); ++i) {
            if (node.children[i]->is_type<optional_mark>()) heads.back().second = true;
            else heads.emplace_back(node.children[i].get(), false);
        }
        if (heads.size() > kMaxDepth) throw_syntax_error(node.begin(), "nested too deeply");
        ValuePtr value = build_value(*node.children.back());
        for (; heads.size() > 1; heads.pop_back()) {    // a: b: 3, from the innermost out
            auto inner = make_value(heads.back().first->begin(), Value::Kind::Record);
            add_named(*inner, *heads.back().first, heads.back().second, value, false);
            value = inner;
        }
        add_named(into, *heads[0].first, heads[0].second, value, top);
    }
    void add_named(Value& into, const Node& label_node, bool optional, const ValuePtr& value, bool top) {
        const Node* const key = &label_node;
        if (key->is_type<definition>()) {
            if (!top)
                throw_syntax_error(key->begin(), "definitions are only allowed at the top level of the file");
            auto closed = std::make_shared<Value>(*value);
            closed->is_closed = closed->kind == Value::Kind::Record;
            if (!definitions_.emplace(std::string(key->string_view()), closed).second)
                throw_syntax_error(key->begin(), fmt::format("{} is defined twice", key->string_view()));
            return;
        }
        const std::string field_name =
            key->is_type<text>() ? unescape_text(*key) : std::string(key->string_view());
        const auto [it, is_new] = into.fields.try_emplace(field_name, Value::Field{value, optional});
        if (is_new) {
            into.field_order.push_back(field_name);
            return;
        }
        // As in CUE, a repeated field must satisfy both values.
        std::vector<Problem> problems;
        it->second.value = unify(it->second.value, value, field_name, problems);
        it->second.is_optional = it->second.is_optional && optional;
        if (!problems.empty()) throw SettingsFileError(std::move(problems));
    }
    ValuePtr build_list(const Node& node) {
        auto value = make_value(node.begin(), Value::Kind::List);
        for (const auto& child : node.children) {
            if (value->rest_type) throw_syntax_error(child->begin(), "nothing may follow ... in a list");
            if (child->is_type<rest>()) {
                value->rest_type = child->children.empty() ? make_value(child->begin(), Value::Kind::Top)
                                                           : build_value(*child->children.front());
            } else {
                value->items.push_back(build_value(*child));
            }
        }
        return value;
    }
    ValuePtr build_bound(const Node& node) {
        static const std::map<std::string_view, Value::Op> kOps = {
            {"<", Value::Op::Less},       {"<=", Value::Op::LessEqual}, {">", Value::Op::More},
            {">=", Value::Op::MoreEqual}, {"!=", Value::Op::Not},       {"=~", Value::Op::Match},
            {"!~", Value::Op::NoMatch}};
        const Value::Op op = kOps.at(node.children[0]->string_view());
        const ValuePtr limit = build_value(*node.children[1]);
        auto value = make_value(node.begin(), Value::Kind::Type);
        const bool match = op == Value::Op::Match || op == Value::Op::NoMatch;
        if (limit->kind == Value::Kind::Text) value->type_mask = Value::kText;
        else if (limit->kind == Value::Kind::Number && !match) value->type_mask = Value::kInt | Value::kFloat;
        else if (op == Value::Op::Not && limit->kind == Value::Kind::Null) value->type_mask = ~Value::kNull;
        else throw_syntax_error(node.begin(), "this value cannot be a limit of this comparison");
        // Sizes may be numbers or texts, so a text limit also applies to numbers.
        value->bounds.push_back({op, limit});
        return value;
    }
    ValuePtr build_conjunction(const Node& node) {
        std::vector<Problem> problems;
        ValuePtr value = build_value(*node.children.front());
        for (std::size_t i = 1; i < node.children.size(); ++i)
            value = unify(value, build_value(*node.children[i]), "", problems);
        if (!problems.empty()) throw SettingsFileError(std::move(problems));
        return value;
    }
    ValuePtr build_alternatives(const Node& node) {
        auto value = make_value(node.begin(), Value::Kind::Choice);
        for (const auto& child : node.children) {
            const bool marked = child->children.size() > 1;
            value->alternatives.push_back({build_value(*child->children.back()), marked});
        }
        if (value->alternatives.size() == 1 && !value->alternatives[0].is_default)
            return value->alternatives[0].value;
        return value;
    }

    const std::string& file_name_;
    std::map<std::string, ValuePtr> definitions_;
};

void check_nesting_depth(std::string_view text, const std::string& file) {
    std::size_t depth = 0, line = 1;
    bool is_quoted = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char c = text[i];
        line += c == '\n';
        if (is_quoted) {
            if (c == '\\') ++i;
            else is_quoted = c != '"' && c != '\n';
        } else if (c == '"') {
            is_quoted = true;
        } else if (text.substr(i, 2) == "//") {
            while (i + 1 < text.size() && text[i + 1] != '\n') ++i;
        } else if (c == '{' || c == '[' || c == '(') {
            if (++depth > kMaxDepth) throw_problem({file, line, 0}, "", "nested too deeply");
        } else if ((c == '}' || c == ']' || c == ')') && depth > 0) {
            --depth;
        }
    }
}

}    // namespace

ValuePtr parse(std::string_view source, const std::string& file) {
    if (source.size() > kMaxFileSize) throw_problem({file, 0, 0}, "", "longer than 1 MiB");
    check_nesting_depth(source, file);
    peg::memory_input in(source.data(), source.data() + source.size(), file);
    try {
        const auto root = peg::parse_tree::parse<whole_file, selector, peg::nothing, control>(in);
        if (!root) {
            const auto at = in.position();
            throw_problem({file, at.line, at.column}, "", "expected fields as in name: value");
        }
        return Builder(file).build_file(*root);
    } catch (const peg::parse_error& error) {
        const auto& at = error.positions().front();
        throw_problem({file, at.line, at.column}, "", std::string(error.message()));
    }
}

}    // namespace shaletray::settings
