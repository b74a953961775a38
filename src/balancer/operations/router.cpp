#include "balancer/operations/router.h"

#include <fmt/format.h>

#include <algorithm>

#include "balancer/platform/messages.h"

namespace shaletray::operations {
namespace {

constexpr std::size_t kLongestId = 256;

// An id as discovery has it: printable, without blanks within. A line's end behind it is the caller's tool's.
bool read_id(std::string_view body, std::string& id) {
    while (!body.empty() && (body.back() == '\n' || body.back() == '\r')) body.remove_suffix(1);
    id = http::trimmed(body);
    return !id.empty() && id.size() <= kLongestId &&
           std::all_of(id.begin(), id.end(), [](char c) { return c > 0x20 && c != 0x7f; });
}

Reply server_call(Operations& operations, std::string_view body, bool out) {
    std::string id;
    if (!read_id(body, id)) return {400, "the body must be a server's id\n"};
    if (!(out ? operations.take_out(id) : operations.bring_back(id)))
        return {404, fmt::format("no server {} is known\n", id)};
    return {200, fmt::format("server {} is {}\n", id, out ? "out" : "back")};
}

Reply drain_call(Operations& operations, bool wanted) {
    operations.drain(wanted);
    return {200, wanted ? "draining\n" : "serving\n"};
}

}    // namespace

Reply answer(Operations& operations, std::string_view method, std::string_view target,
             std::string_view body) {
    struct Known {
        std::string_view path, method;
        Reply (*serve)(Operations&, std::string_view);
    };
    static constexpr Known kCalls[] = {
        {"/ops/readiness", "GET",
         [](Operations& o, std::string_view) {
             return o.ready() ? Reply{200, "ready\n"} : Reply{503, "not ready\n"};
         }},
        {"/ops/stats", "GET",
         [](Operations& o, std::string_view) {
             return Reply{200, o.figures(), "text/plain; version=0.0.4; charset=utf-8"};
         }},
        {"/ops/servers/down", "PUT",
         [](Operations& o, std::string_view id) { return server_call(o, id, true); }},
        {"/ops/servers/up", "PUT",
         [](Operations& o, std::string_view id) { return server_call(o, id, false); }},
        {"/ops/drain/start", "PUT", [](Operations& o, std::string_view) { return drain_call(o, true); }},
        {"/ops/drain/stop", "PUT", [](Operations& o, std::string_view) { return drain_call(o, false); }},
    };
    const std::string_view path = target.substr(0, target.find('?'));
    for (const Known& call : kCalls) {
        if (call.path != path) continue;
        if (call.method != method)
            return {405, fmt::format("{} takes {}\n", path, call.method), "text/plain; charset=utf-8",
                    call.method};
        return call.serve(operations, body);
    }
    return {404, "no such call\n"};
}

Talk::Next Call::take(http::Buffer& in, std::string& out) {
    const http::Status status = parser_.parse(in);
    if (status == http::Status::More) {
        if (parser_.expects_continue() && !std::exchange(continued_, true)) out += kContinue;
        return Next::Wait;
    }
    Reply reply;
    if (status == http::Status::Bad) {
        const Rejection rejection = rejection_of(parser_.fault());
        reply = {rejection.status, std::string(rejection.reason) + "\n"};
    } else {
        reply = answer(operations_, parser_.method(in), parser_.target(in), parser_.body(in));
    }
    std::string headers = fmt::format("Content-Type: {}\r\nCache-Control: no-store\r\n", reply.type);
    if (!reply.allow.empty()) headers += fmt::format("Allow: {}\r\n", reply.allow);
    out += write_answer(reply.status, headers, reply.text, false);
    in.consume(in.size());
    return Next::End;
}

}    // namespace shaletray::operations
