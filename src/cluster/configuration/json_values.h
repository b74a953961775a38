// What the values of a configuration can be asked to be, by Boost.JSON's try_value_to; what is wrong with one
// is an error code that reads as the end of a sentence about it.
#pragma once

#include <boost/json/value_to.hpp>
#include <cstdint>
#include <string_view>

#include "cluster/configuration/configuration.h"

namespace shaletray::configuration {

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

struct DurationValue {
    Duration value{0};
};
struct RevisionValue {
    std::uint64_t value = 0;
};
struct IntegerValue {    // cut to what an int can hold
    int value = 0;
};
struct NonNegativeInteger {    // likewise, and not below 0
    int value = 0;
};
struct ByteCount {
    std::size_t value = 0;
};
struct NonNegativeNumber {    // not below 0
    double value = 0.0;
};
struct TextValue {
    std::string_view value;
};
struct HeaderText {    // fit to stand in a header or a request line
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

}    // namespace shaletray::configuration
