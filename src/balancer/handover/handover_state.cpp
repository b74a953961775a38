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
        throw std::invalid_argument("a handover with a field that is no number");
    return value;
}

// Up to `end`, which is consumed.
std::string_view split_at(std::string_view& text, char end) {
    const std::size_t at = text.find(end);
    if (at == std::string_view::npos) throw std::invalid_argument("a handover that was cut off");
    const std::string_view found = text.substr(0, at);
    text.remove_prefix(at + 1);
    return found;
}

}    // namespace

std::string serialize_state(const HandoverState& h) {
    std::string body = fmt::format("draining {}\n", h.is_draining ? 1 : 0);
    for (const EjectedHost& o : h.ejected_hosts)
        body += fmt::format("out {} {}\n", o.ejected_at.time_since_epoch().count(), o.id);
    body += "state\n" + h.module_state;
    return fmt::format("{} {} {}\n{}", kFormatName, kFormatVersion, body.size(), body);
}

HandoverState parse_state(std::string_view text) {
    if (split_at(text, ' ') != kFormatName) throw std::invalid_argument("no handover");
    if (const int version = parse_number<int>(split_at(text, ' ')); version != kFormatVersion)
        throw std::invalid_argument(fmt::format("a handover of version {}", version));
    if (parse_number<std::size_t>(split_at(text, '\n')) != text.size())
        throw std::invalid_argument("a handover that was cut off");
    HandoverState h;
    while (true) {
        std::string_view line = split_at(text, '\n');
        if (line == "state") break;
        const std::string_view word = split_at(line, ' ');
        if (word == "draining") h.is_draining = line == "1";
        else if (word == "out") {
            const TimePoint since(Duration(parse_number<std::int64_t>(split_at(line, ' '))));
            h.ejected_hosts.push_back({std::string(line), since});
        }
    }
    h.module_state = text;
    return h;
}

}    // namespace shaletray::handover
