#include "balancer/handover/handover_state.h"

#include <fmt/format.h>

#include <charconv>
#include <stdexcept>

namespace shaletray::handover {
namespace {

constexpr std::string_view kFormatName = "shaletray-handover";

template <class Number>
Number parse_number(std::string_view text) {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        throw std::invalid_argument("malformed handover: expected a number");
    return value;
}

// Returns the text before the first `end`, and removes both from `text`.
std::string_view split_at(std::string_view& text, char end) {
    const std::size_t position = text.find(end);
    if (position == std::string_view::npos) throw std::invalid_argument("truncated handover");
    const std::string_view found = text.substr(0, position);
    text.remove_prefix(position + 1);
    return found;
}

}    // namespace

std::string serialize_state(const HandoverState& state) {
    std::string body = fmt::format("draining {}\n", state.is_draining ? 1 : 0);
    for (const EjectedHost& host : state.ejected_hosts)
        body += fmt::format("out {} {}\n", host.ejected_at.time_since_epoch().count(), host.id);
    body += "state\n" + state.module_state;
    return fmt::format("{} {} {}\n{}", kFormatName, kFormatVersion, body.size(), body);
}

HandoverState parse_state(std::string_view text) {
    if (split_at(text, ' ') != kFormatName) throw std::invalid_argument("not a handover");
    if (const int version = parse_number<int>(split_at(text, ' ')); version != kFormatVersion)
        throw std::invalid_argument(fmt::format("unsupported handover version {}", version));
    if (parse_number<std::size_t>(split_at(text, '\n')) != text.size())
        throw std::invalid_argument("truncated handover");
    HandoverState state;
    while (true) {
        std::string_view line = split_at(text, '\n');
        if (line == "state") break;
        const std::string_view word = split_at(line, ' ');
        if (word == "draining") state.is_draining = line == "1";
        else if (word == "out") {
            const TimePoint ejected_at(Duration(parse_number<std::int64_t>(split_at(line, ' '))));
            state.ejected_hosts.push_back({std::string(line), ejected_at});
        }
    }
    state.module_state = text;
    return state;
}

}    // namespace shaletray::handover
