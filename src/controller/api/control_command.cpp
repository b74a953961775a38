#include "controller/api/control_command.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace shaletray::control_api {
namespace {

namespace leaf = boost::leaf;

constexpr std::size_t kMaxIdLength = 256;
constexpr std::string_view kMembersPath = "/members/", kReplacePath = "/configuration/replace",
                           kReadPath = "/configuration/read", kHeartbeatSuffix = "/heartbeat",
                           kDeregisterSuffix = "/deregister";

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

// Ids come back in headers and logs.
bool is_valid_id(std::string_view id) {
    return !id.empty() && id.size() <= kMaxIdLength && std::all_of(id.begin(), id.end(), [](char character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') ||
               (character >= 'A' && character <= 'Z') || character == '-' || character == '_' ||
               character == '.' || character == ':' || character == '~';
    });
}

std::size_t priority_of(const Command& command) {
    if (std::holds_alternative<Deregister>(command)) return 0;
    if (const auto* heartbeat = std::get_if<HeartbeatCommand>(&command))
        return heartbeat->heartbeat.server.state == registry::State::Draining ? 0 : 1;
    return std::holds_alternative<ReadConfiguration>(command) ? 1 : 2;
}

}    // namespace

leaf::result<Command> decode_command(std::string_view method, std::string_view target,
                                     std::string_view body) {
    const auto reject = [](int status, std::string message, std::string allowed_method = {}) {
        return leaf::new_error(CommandError{status, std::move(message), std::move(allowed_method)});
    };
    const Target parsed = parse_target(target);
    if (parsed.path == Path::Unknown) return reject(404, "no such path");
    const std::string expected_method = parsed.path == Path::Read ? "GET" : "POST";
    if (method != expected_method) return reject(405, "takes " + expected_method, expected_method);
    if (body.size() > max_body_size(method, target)) return reject(413, "the body is too large");
    if (parsed.path == Path::Replace) return Command(ReplaceConfiguration{std::string(body)});
    if (parsed.path == Path::Read) return Command(ReadConfiguration{});
    if (!is_valid_id(parsed.id)) return reject(400, "id: not one of letters, digits and -_.:~");
    if (parsed.path == Path::Deregister) return Command(Deregister{std::string(parsed.id)});
    return leaf::try_handle_some(
        [&]() -> leaf::result<Command> {
            BOOST_LEAF_AUTO(beat, registry::parse_heartbeat(parsed.id, body));
            return Command(HeartbeatCommand{std::move(beat)});
        },
        [&](const std::string& message) -> leaf::result<Command> { return reject(400, message); });
}

std::size_t max_body_size(std::string_view, std::string_view target) {
    return parse_target(target).path == Path::Replace ? kMaxConfigurationSize : kMaxHeartbeatSize;
}

bool CommandQueue::push(PendingCommand&& pending) {
    std::deque<PendingCommand>& queue = pending_[priority_of(pending.command)];
    if (queue.size() >= max_per_priority_) return false;
    queue.push_back(std::move(pending));
    return true;
}

std::optional<CommandQueue::PendingCommand> CommandQueue::pop() {
    for (std::deque<PendingCommand>& queue : pending_) {
        if (queue.empty()) continue;
        std::optional<PendingCommand> command(std::move(queue.front()));
        queue.pop_front();
        return command;
    }
    return std::nullopt;
}

std::size_t CommandQueue::size() const {
    std::size_t count = 0;
    for (const std::deque<PendingCommand>& queue : pending_) count += queue.size();
    return count;
}

}    // namespace shaletray::control_api
