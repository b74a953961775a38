#include "controller/api/control_command.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace shaletray::control_api {
namespace {

namespace leaf = boost::leaf;

constexpr std::size_t kMaxIdLength = 256;    // characters
constexpr std::string_view kReplacePath = "/configuration/replace";
constexpr std::string_view kReadPath = "/configuration/read";
constexpr std::string_view kMembersPath = "/members/";    // followed by an id and one of the suffixes below
constexpr std::string_view kHeartbeatSuffix = "/heartbeat";
constexpr std::string_view kDeregisterSuffix = "/deregister";

enum class Path { Unknown, Heartbeat, Deregister, Replace, Read };
struct Target {
    Path path = Path::Unknown;
    std::string_view id;
};

Target parse_target(std::string_view target) {
    target = target.substr(0, target.find('?'));
    if (target == kReplacePath) return {Path::Replace, {}};
    if (target == kReadPath) return {Path::Read, {}};
    if (!target.starts_with(kMembersPath)) return {};
    target.remove_prefix(kMembersPath.size());
    for (const auto& [suffix, path] :
         {std::pair(kHeartbeatSuffix, Path::Heartbeat), {kDeregisterSuffix, Path::Deregister}}) {
        if (!target.ends_with(suffix)) continue;
        const std::string_view id = target.substr(0, target.size() - suffix.size());
        if (id.find('/') == std::string_view::npos) return {path, id};
    }
    return {};
}

// Ids are written to headers and logs without escaping, so only characters that need none are allowed.
bool is_valid_id(std::string_view id) {
    return !id.empty() && id.size() <= kMaxIdLength && std::all_of(id.begin(), id.end(), [](char character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') ||
               (character >= 'A' && character <= 'Z') || character == '-' || character == '_' ||
               character == '.' || character == ':' || character == '~';
    });
}

}    // namespace

Response to_response(const CommandError& command_error) {
    Response response = error(command_error.status, command_error.message);
    response.allowed_method = command_error.allowed_method;
    return response;
}

leaf::result<Command> decode_command(std::string_view method, std::string_view target,
                                     std::string_view body) {
    const auto reject = [](HttpStatus status, std::string message, std::string allowed_method = {}) {
        return leaf::new_error(CommandError{status, std::move(message), std::move(allowed_method)});
    };
    const Target parsed = parse_target(target);
    if (parsed.path == Path::Unknown) return reject(HttpStatus::NotFound, "no such path");
    const std::string expected_method = parsed.path == Path::Read ? "GET" : "POST";
    if (method != expected_method)
        return reject(HttpStatus::MethodNotAllowed, "takes " + expected_method, expected_method);
    if (body.size() > max_body_size(method, target))
        return reject(HttpStatus::PayloadTooLarge, "the body is too large");
    if (parsed.path == Path::Replace) return Command(ReplaceConfiguration{std::string(body)});
    if (parsed.path == Path::Read) return Command(ReadConfiguration{});
    if (!is_valid_id(parsed.id))
        return reject(HttpStatus::BadRequest, "id: not one of letters, digits and -_.:~");
    if (parsed.path == Path::Deregister) return Command(Deregister{std::string(parsed.id)});
    return leaf::try_handle_some(
        [&]() -> leaf::result<Command> {
            BOOST_LEAF_AUTO(heartbeat, registry::parse_heartbeat(parsed.id, body));
            return Command(HeartbeatCommand{std::move(heartbeat)});
        },
        [&](const std::string& message) -> leaf::result<Command> {
            return reject(HttpStatus::BadRequest, message);
        });
}

std::size_t max_body_size(std::string_view, std::string_view target) {
    return parse_target(target).path == Path::Replace ? kMaxConfigurationSize : kMaxHeartbeatSize;
}

}    // namespace shaletray::control_api
