#include "cluster/configuration/configuration_parser.h"

#include <boost/json/basic_parser_impl.hpp>
#include <string>
#include <utility>

#include "cluster/configuration/configuration_reader.h"
#include "cluster/configuration/json_handler.h"

namespace shaletray::configuration {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

using Parser = json::basic_parser<JsonHandler>;

constexpr std::size_t kMaxTextBytes = 64 * 1024 * 1024;

// Makes one pass over the text. Returns false where the report holds an error.
bool parse_text(Parser& parser, std::string_view text, ParseReport& report) {
    json::error_code error;
    const std::size_t consumed = parser.write_some(false, text.data(), text.size(), error);
    if (!error && consumed < text.size()) error = json::make_error_code(json::error::extra_data);
    if (!error) return true;
    if (report.has_error()) return false;
    return report.fail("", "body",
                       "is not valid JSON: " + error.message() + " at byte " + std::to_string(consumed));
}

// Makes one or two passes over the text, as the order of its members requires.
bool read_text(ConfigurationReader& reader, std::string_view text, ParseReport& report) {
    Parser parser({}, reader, report);
    if (!parse_text(parser, text, report) || !reader.check_complete()) return false;
    if (!parser.handler().needs_second_pass()) return true;
    parser.reset();
    parser.handler().begin_second_pass();
    return parse_text(parser, text, report);
}

}    // namespace

leaf::result<Configuration> parse_configuration(std::string_view text) {
    if (text.size() > kMaxTextBytes)
        return leaf::new_error(ConfigurationError{"body", "is larger than 64 MiB"});
    ParseReport report;
    ConfigurationReader reader(report);
    if (!read_text(reader, text, report) || !reader.finish()) return leaf::new_error(report.error());
    return std::move(reader.config());
}

}    // namespace shaletray::configuration
