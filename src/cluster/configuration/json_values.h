// What the values of a configuration can be asked to be, by Boost.JSON's try_value_to; what is wrong with one
// is an error code that reads as the end of a sentence about it.
#pragma once

#include <boost/json/value_to.hpp>
#include <cstdint>
#include <string_view>

#include "cluster/configuration/configuration.h"

namespace shaletray::configuration {

enum class Fault { Text = 1, Line, Time, Number, Whole, Negative, Truth, Kind, Revision, List, Object };
boost::system::error_code wrong(Fault fault);

struct Time {
    Duration value{0};
};
struct Revision {
    std::uint64_t value = 0;
};
struct Whole {    // cut to what an int can hold
    int value = 0;
};
struct Count {    // likewise, and not below 0
    int value = 0;
};
struct Bytes {
    std::size_t value = 0;
};
struct Amount {    // not below 0
    double value = 0.0;
};
struct Text {
    std::string_view value;
};
struct Line {    // fit to stand in a header or a request line
    std::string_view value;
};

template <class T>
using Tag = boost::json::try_value_to_tag<T>;

boost::json::result<Text> tag_invoke(Tag<Text>, const boost::json::value& value);
boost::json::result<Line> tag_invoke(Tag<Line>, const boost::json::value& value);
boost::json::result<Time> tag_invoke(Tag<Time>, const boost::json::value& value);
boost::json::result<Revision> tag_invoke(Tag<Revision>, const boost::json::value& value);
boost::json::result<Whole> tag_invoke(Tag<Whole>, const boost::json::value& value);
boost::json::result<Count> tag_invoke(Tag<Count>, const boost::json::value& value);
boost::json::result<Bytes> tag_invoke(Tag<Bytes>, const boost::json::value& value);
boost::json::result<Amount> tag_invoke(Tag<Amount>, const boost::json::value& value);
boost::json::result<RouteKind> tag_invoke(Tag<RouteKind>, const boost::json::value& value);

}    // namespace shaletray::configuration
