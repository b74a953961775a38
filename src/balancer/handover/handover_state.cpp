#include "balancer/handover/handover_state.h"

#include <fmt/format.h>

#include <charconv>
#include <stdexcept>

namespace shaletray::handover {
namespace {

constexpr std::string_view kName = "shaletray-handover";

template <class Number>
Number number(std::string_view text) {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size())
        throw std::invalid_argument("a handover with a field that is no number");
    return value;
}

// Up to `end`, which is consumed.
std::string_view cut(std::string_view& text, char end) {
    const std::size_t at = text.find(end);
    if (at == std::string_view::npos) throw std::invalid_argument("a handover that was cut off");
    const std::string_view found = text.substr(0, at);
    text.remove_prefix(at + 1);
    return found;
}

}    // namespace

std::string write(const Handover& h) {
    std::string body = fmt::format("draining {}\n", h.draining ? 1 : 0);
    for (const TakenOut& o : h.out)
        body += fmt::format("out {} {}\n", o.since.time_since_epoch().count(), o.id);
    body += "state\n" + h.module;
    return fmt::format("{} {} {}\n{}", kName, kVersion, body.size(), body);
}

Handover read(std::string_view text) {
    if (cut(text, ' ') != kName) throw std::invalid_argument("no handover");
    if (const int version = number<int>(cut(text, ' ')); version != kVersion)
        throw std::invalid_argument(fmt::format("a handover of version {}", version));
    if (number<std::size_t>(cut(text, '\n')) != text.size())
        throw std::invalid_argument("a handover that was cut off");
    Handover h;
    while (true) {
        std::string_view line = cut(text, '\n');
        if (line == "state") break;
        const std::string_view word = cut(line, ' ');
        if (word == "draining") h.draining = line == "1";
        else if (word == "out") {
            const TimePoint since(Duration(number<std::int64_t>(cut(line, ' '))));
            h.out.push_back({std::string(line), since});
        }
    }
    h.module = text;
    return h;
}

}    // namespace shaletray::handover
