#include "controller/api/control_command.h"

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace shaletray::control_api {
namespace {

namespace leaf = boost::leaf;

constexpr std::size_t kLongestId = 256;
constexpr std::string_view kMembers = "/members/", kReplace = "/configuration/replace",
                           kRead = "/configuration/read", kHeartbeat = "/heartbeat",
                           kDeregister = "/deregister";

enum class Path { Unknown, Heartbeat, Deregister, Replace, Read };
struct Target {
    Path path = Path::Unknown;
    std::string_view id;
};

Target read_target(std::string_view target) {
    target = target.substr(0, target.find('?'));
    if (target == kReplace) return {Path::Replace, {}};
    if (target == kRead) return {Path::Read, {}};
    if (!target.starts_with(kMembers)) return {};
    target.remove_prefix(kMembers.size());
    for (const auto& [end, path] :
         {std::pair(kHeartbeat, Path::Heartbeat), {kDeregister, Path::Deregister}}) {
        if (!target.ends_with(end)) continue;
        const std::string_view id = target.substr(0, target.size() - end.size());
        if (id.find('/') == std::string_view::npos) return {path, id};
    }
    return {};
}

// Ids come back in headers and logs.
bool good_id(std::string_view id) {
    return !id.empty() && id.size() <= kLongestId && std::all_of(id.begin(), id.end(), [](char c) {
        return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || c == '-' ||
               c == '_' || c == '.' || c == ':' || c == '~';
    });
}

std::size_t kind_of(const Command& command) {
    if (std::holds_alternative<Deregister>(command)) return 0;
    if (const auto* beat = std::get_if<Beat>(&command))
        return beat->beat.server.state == registry::State::Draining ? 0 : 1;
    return std::holds_alternative<Read>(command) ? 1 : 2;
}

}    // namespace

leaf::result<Command> decode(std::string_view method, std::string_view target, std::string_view body) {
    const auto no = [](int status, std::string why, std::string allow = {}) {
        return leaf::new_error(Refused{status, std::move(why), std::move(allow)});
    };
    const Target to = read_target(target);
    if (to.path == Path::Unknown) return no(404, "no such path");
    const std::string wanted = to.path == Path::Read ? "GET" : "POST";
    if (method != wanted) return no(405, "takes " + wanted, wanted);
    if (body.size() > longest_body(method, target)) return no(413, "the body is too large");
    if (to.path == Path::Replace) return Command(Replace{std::string(body)});
    if (to.path == Path::Read) return Command(Read{});
    if (!good_id(to.id)) return no(400, "id: not one of letters, digits and -_.:~");
    if (to.path == Path::Deregister) return Command(Deregister{std::string(to.id)});
    return leaf::try_handle_some(
        [&]() -> leaf::result<Command> {
            BOOST_LEAF_AUTO(beat, registry::read_beat(to.id, body));
            return Command(Beat{std::move(beat)});
        },
        [&](const std::string& why) -> leaf::result<Command> { return no(400, why); });
}

std::size_t longest_body(std::string_view, std::string_view target) {
    return read_target(target).path == Path::Replace ? kLongestText : kLongestBeat;
}

bool Queue::push(Order&& order) {
    std::deque<Order>& kind = waiting_[kind_of(order.command)];
    if (kind.size() >= most_) return false;
    kind.push_back(std::move(order));
    return true;
}

std::optional<Queue::Order> Queue::pop() {
    for (std::deque<Order>& kind : waiting_) {
        if (kind.empty()) continue;
        std::optional<Order> first(std::move(kind.front()));
        kind.pop_front();
        return first;
    }
    return std::nullopt;
}

std::size_t Queue::size() const {
    std::size_t count = 0;
    for (const std::deque<Order>& kind : waiting_) count += kind.size();
    return count;
}

}    // namespace shaletray::control_api
