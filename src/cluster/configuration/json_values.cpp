#include "cluster/configuration/json_values.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace shaletray::configuration {

namespace json = boost::json;

namespace {

constexpr double kMostTime = 1e15;    // microseconds; thirty years

class Faults : public boost::system::error_category {
public:
    const char* name() const noexcept override { return "chart"; }
    std::string message(int fault) const override {
        switch (Fault{fault}) {
            case Fault::Text: return "is not a text";
            case Fault::Line: return "has a character that no header can carry";
            case Fault::Time: return "is not a time as \"1500ms\" or \"2.5s\"";
            case Fault::Number: return "is not a number";
            case Fault::Whole: return "is not a whole number";
            case Fault::Negative: return "is below 0";
            case Fault::Truth: return "is neither true nor false";
            case Fault::Kind: return "is neither idempotent nor non_idempotent";
            case Fault::Revision: return "is not \"r\" and a number above 0";
            case Fault::List: return "is not a list";
            case Fault::Object: return "is not an object";
        }
        return "is wrong";
    }
};
}    // namespace

boost::system::error_code wrong(Fault fault) {
    static const Faults kFaults;
    return {static_cast<int>(fault), kFaults};
}

json::result<Text> tag_invoke(Tag<Text>, const json::value& value) {
    const json::string* const text = value.if_string();
    if (text == nullptr) return wrong(Fault::Text);
    return Text{{text->data(), text->size()}};
}
json::result<Line> tag_invoke(Tag<Line>, const json::value& value) {
    const json::result<Text> text = json::try_value_to<Text>(value);
    if (!text) return text.error();
    for (const char c : text->value)
        if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f) return wrong(Fault::Line);
    return Line{text->value};
}
json::result<Time> tag_invoke(Tag<Time>, const json::value& value) {
    const json::result<Text> text = json::try_value_to<Text>(value);
    if (!text) return wrong(Fault::Time);
    double number = 0.0;
    const char* const end = text->value.data() + text->value.size();
    const auto [at, error] = std::from_chars(text->value.data(), end, number);
    const std::string_view unit(at, static_cast<std::size_t>(end - at));
    if (error != std::errc{} || (unit != "ms" && unit != "s")) return wrong(Fault::Time);
    const double micros = number * (unit == "s" ? 1e6 : 1e3);
    // Written so that a value that is not a number fails too.
    if (!(std::abs(micros) <= kMostTime)) return wrong(Fault::Time);
    // What is above 0 does not become it.
    return Time{Duration(micros > 0.0 ? std::max(1LL, std::llround(micros)) : std::llround(micros))};
}
json::result<Revision> tag_invoke(Tag<Revision>, const json::value& value) {
    const json::result<Text> text = json::try_value_to<Text>(value);
    if (!text || !text->value.starts_with('r')) return wrong(Fault::Revision);
    Revision revision;
    const char* const end = text->value.data() + text->value.size();
    const auto [at, error] = std::from_chars(text->value.data() + 1, end, revision.value);
    if (error != std::errc{} || at != end || revision.value == 0) return wrong(Fault::Revision);
    return revision;
}
static json::result<double> whole_number(const json::value& value) {
    double number = 0.0;
    if (const std::int64_t* i = value.if_int64()) number = static_cast<double>(*i);
    else if (const std::uint64_t* u = value.if_uint64()) number = static_cast<double>(*u);
    else if (const double* d = value.if_double(); d != nullptr && std::trunc(*d) == *d) number = *d;
    else return wrong(Fault::Whole);
    return number;
}
json::result<Whole> tag_invoke(Tag<Whole>, const json::value& value) {
    const json::result<double> number = whole_number(value);
    if (!number) return number.error();
    constexpr double kLeast = std::numeric_limits<int>::min(), kMost = std::numeric_limits<int>::max();
    return Whole{static_cast<int>(std::clamp(*number, kLeast, kMost))};
}
json::result<Count> tag_invoke(Tag<Count>, const json::value& value) {
    const json::result<Whole> number = json::try_value_to<Whole>(value);
    if (!number) return number.error();
    if (number->value < 0) return wrong(Fault::Negative);
    return Count{number->value};
}
json::result<Bytes> tag_invoke(Tag<Bytes>, const json::value& value) {
    const json::result<double> number = whole_number(value);
    if (!number) return number.error();
    if (*number < 0.0) return wrong(Fault::Negative);
    return Bytes{static_cast<std::size_t>(std::min(*number, 1e15))};
}
json::result<Amount> tag_invoke(Tag<Amount>, const json::value& value) {
    if (!value.is_number()) return wrong(Fault::Number);
    const double number = value.to_number<double>();
    if (!std::isfinite(number)) return wrong(Fault::Number);
    if (number < 0.0) return wrong(Fault::Negative);
    return Amount{number};
}

json::result<RouteKind> tag_invoke(Tag<RouteKind>, const json::value& value) {
    const json::result<Text> text = json::try_value_to<Text>(value);
    if (text && text->value == "idempotent") return RouteKind::Idempotent;
    if (text && text->value == "non_idempotent") return RouteKind::NonIdempotent;
    return wrong(Fault::Kind);
}

}    // namespace shaletray::configuration
