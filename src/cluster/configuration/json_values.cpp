#include "cluster/configuration/json_values.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <limits>

namespace shaletray::configuration {

namespace json = boost::json;

namespace {

constexpr double kMaxMicroseconds = 1e15;    // about 30 years; sums of a few durations do not overflow
constexpr double kMaxByteCount = 1e15;       // larger counts are clamped to it, so that they fit a size_t

class ValueErrorCategory : public boost::system::error_category {
public:
    const char* name() const noexcept override { return "configuration"; }
    std::string message(int error) const override {
        switch (ValueError{error}) {
            case ValueError::NotText: return "is not a string";
            case ValueError::InvalidCharacter: return "has a character that is not allowed in a header";
            case ValueError::NotDuration: return "is not a duration such as \"1500ms\" or \"2.5s\"";
            case ValueError::NotNumber: return "is not a number";
            case ValueError::NotInteger: return "is not an integer";
            case ValueError::Negative: return "is below 0";
            case ValueError::NotBoolean: return "is neither true nor false";
            case ValueError::InvalidRouteKind: return "is neither idempotent nor non_idempotent";
            case ValueError::InvalidRevision: return "is not \"r\" followed by a number above 0";
            case ValueError::NotArray: return "is not an array";
            case ValueError::NotObject: return "is not an object";
        }
        return "is invalid";
    }
};

// Converts a number without a fraction, whether the parser represents it as an integer or as a double.
json::result<double> integral_number(const json::value& value) {
    double number = 0.0;
    if (const std::int64_t* const signed_value = value.if_int64())
        number = static_cast<double>(*signed_value);
    else if (const std::uint64_t* const unsigned_value = value.if_uint64())
        number = static_cast<double>(*unsigned_value);
    else if (const double* const real = value.if_double(); real != nullptr && std::trunc(*real) == *real)
        number = *real;
    else return to_error_code(ValueError::NotInteger);
    return number;
}

}    // namespace

boost::system::error_code to_error_code(ValueError error) {
    static const ValueErrorCategory kCategory;
    return {static_cast<int>(error), kCategory};
}

std::string message_of(ValueError error) { return to_error_code(error).message(); }

json::result<TextValue> tag_invoke(ConversionTag<TextValue>, const json::value& value) {
    const json::string* const text = value.if_string();
    if (text == nullptr) return to_error_code(ValueError::NotText);
    return TextValue{{text->data(), text->size()}};
}

json::result<HeaderText> tag_invoke(ConversionTag<HeaderText>, const json::value& value) {
    const json::result<TextValue> text = json::try_value_to<TextValue>(value);
    if (!text) return text.error();
    for (const char c : text->value)
        if (static_cast<unsigned char>(c) < 0x20 || c == 0x7f)
            return to_error_code(ValueError::InvalidCharacter);
    return HeaderText{text->value};
}

json::result<DurationValue> tag_invoke(ConversionTag<DurationValue>, const json::value& value) {
    const json::result<TextValue> text = json::try_value_to<TextValue>(value);
    if (!text) return to_error_code(ValueError::NotDuration);
    double number = 0.0;
    const char* const end = text->value.data() + text->value.size();
    const auto [parsed_end, error] = std::from_chars(text->value.data(), end, number);
    const std::string_view unit(parsed_end, static_cast<std::size_t>(end - parsed_end));
    if (error != std::errc{} || (unit != "ms" && unit != "s")) return to_error_code(ValueError::NotDuration);
    const double microseconds = number * (unit == "s" ? 1e6 : 1e3);
    // The negated comparison rejects NaN too.
    if (!(std::abs(microseconds) <= kMaxMicroseconds)) return to_error_code(ValueError::NotDuration);
    long long rounded = std::llround(microseconds);
    // A duration above 0 is not rounded to 0, which has a special meaning in some fields.
    if (microseconds > 0.0) rounded = std::max(1LL, rounded);
    return DurationValue{Duration(rounded)};
}

json::result<RevisionValue> tag_invoke(ConversionTag<RevisionValue>, const json::value& value) {
    const json::result<TextValue> text = json::try_value_to<TextValue>(value);
    if (!text || !text->value.starts_with('r')) return to_error_code(ValueError::InvalidRevision);
    RevisionValue revision;
    const char* const end = text->value.data() + text->value.size();
    const auto [parsed_end, error] = std::from_chars(text->value.data() + 1, end, revision.value);
    if (error != std::errc{} || parsed_end != end || revision.value == 0)
        return to_error_code(ValueError::InvalidRevision);
    return revision;
}

json::result<IntegerValue> tag_invoke(ConversionTag<IntegerValue>, const json::value& value) {
    const json::result<double> number = integral_number(value);
    if (!number) return number.error();
    constexpr double kMinValue = std::numeric_limits<int>::min(), kMaxValue = std::numeric_limits<int>::max();
    return IntegerValue{static_cast<int>(std::clamp(*number, kMinValue, kMaxValue))};
}

json::result<NonNegativeInteger> tag_invoke(ConversionTag<NonNegativeInteger>, const json::value& value) {
    const json::result<IntegerValue> number = json::try_value_to<IntegerValue>(value);
    if (!number) return number.error();
    if (number->value < 0) return to_error_code(ValueError::Negative);
    return NonNegativeInteger{number->value};
}

json::result<ByteCount> tag_invoke(ConversionTag<ByteCount>, const json::value& value) {
    const json::result<double> number = integral_number(value);
    if (!number) return number.error();
    if (*number < 0.0) return to_error_code(ValueError::Negative);
    return ByteCount{static_cast<std::size_t>(std::min(*number, kMaxByteCount))};
}

json::result<NonNegativeNumber> tag_invoke(ConversionTag<NonNegativeNumber>, const json::value& value) {
    if (!value.is_number()) return to_error_code(ValueError::NotNumber);
    const double number = value.to_number<double>();
    if (!std::isfinite(number)) return to_error_code(ValueError::NotNumber);
    if (number < 0.0) return to_error_code(ValueError::Negative);
    return NonNegativeNumber{number};
}

json::result<RouteKind> tag_invoke(ConversionTag<RouteKind>, const json::value& value) {
    const json::result<TextValue> text = json::try_value_to<TextValue>(value);
    if (text && text->value == "idempotent") return RouteKind::Idempotent;
    if (text && text->value == "non_idempotent") return RouteKind::NonIdempotent;
    return to_error_code(ValueError::InvalidRouteKind);
}

const json::value* find_member(const json::object& fields, std::string_view name) {
    const json::value* const value = fields.if_contains({name.data(), name.size()});
    return value == nullptr || value->is_null() ? nullptr : value;
}

}    // namespace shaletray::configuration
