// Types of values in the configuration text, converted by Boost.JSON's try_value_to. The message of a
// conversion's error code is the predicate of a sentence about the value, such as "is not a number".
#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value_to.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "cluster/configuration/configuration.h"

namespace shaletray::configuration {

// Why a value is rejected.
enum class ValueError {
    NotText = 1,
    InvalidCharacter,
    NotDuration,
    NotNumber,
    NotInteger,
    Negative,
    NotBoolean,
    InvalidRouteKind,
    InvalidRevision,
    NotArray,
    NotObject
};
boost::system::error_code to_error_code(ValueError error);
std::string message_of(ValueError error);

// A duration such as "1500ms" or "2.5s", which may be negative.
struct DurationValue {
    Duration value{0};
};
// A revision such as "r7", above 0.
struct RevisionValue {
    std::uint64_t value = 0;
};
// An integer, clamped to the range of int.
struct IntegerValue {
    int value = 0;
};
// An integer of at least 0, clamped to the range of int.
struct NonNegativeInteger {
    int value = 0;
};
// A number of bytes.
struct ByteCount {
    std::size_t value = 0;
};
// A finite number of at least 0.
struct NonNegativeNumber {
    double value = 0.0;
};
// A string. Refers to the JSON value, which must outlive it.
struct TextValue {
    std::string_view value;
};
// A string without control characters, valid in a header or a request line.
struct HeaderText {
    std::string_view value;
};

template <class T>
using ConversionTag = boost::json::try_value_to_tag<T>;

boost::json::result<TextValue> tag_invoke(ConversionTag<TextValue>, const boost::json::value& value);
boost::json::result<HeaderText> tag_invoke(ConversionTag<HeaderText>, const boost::json::value& value);
boost::json::result<DurationValue> tag_invoke(ConversionTag<DurationValue>, const boost::json::value& value);
boost::json::result<RevisionValue> tag_invoke(ConversionTag<RevisionValue>, const boost::json::value& value);
boost::json::result<IntegerValue> tag_invoke(ConversionTag<IntegerValue>, const boost::json::value& value);
boost::json::result<NonNegativeInteger> tag_invoke(ConversionTag<NonNegativeInteger>,
                                                   const boost::json::value& value);
boost::json::result<ByteCount> tag_invoke(ConversionTag<ByteCount>, const boost::json::value& value);
boost::json::result<NonNegativeNumber> tag_invoke(ConversionTag<NonNegativeNumber>,
                                                  const boost::json::value& value);
boost::json::result<RouteKind> tag_invoke(ConversionTag<RouteKind>, const boost::json::value& value);

// Returns the member of that name; nullptr where it is absent or null.
const boost::json::value* find_member(const boost::json::object& fields, std::string_view name);

}    // namespace shaletray::configuration
