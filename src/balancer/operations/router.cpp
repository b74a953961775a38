#include "balancer/operations/router.h"

#include <fmt/format.h>

#include <algorithm>

#include "balancer/platform/messages.h"

namespace shaletray::operations {
namespace {

constexpr std::size_t kMaxIdLength = 256;

// Parses a discovery id: printable, without inner blanks. Trailing newlines, which command-line tools append,
// are ignored.
bool parse_server_id(std::string_view body, std::string& id) {
    while (!body.empty() && (body.back() == '\n' || body.back() == '\r')) body.remove_suffix(1);
    id = http::trim(body);
    return !id.empty() && id.size() <= kMaxIdLength &&
           std::all_of(id.begin(), id.end(), [](char c) { return c > 0x20 && c != 0x7f; });
}

AdminReply handle_server_call(AdminOperations& operations, std::string_view body, bool is_ejection) {
    std::string id;
    if (!parse_server_id(body, id)) return {400, "the body must be a server's id\n"};
    if (!(is_ejection ? operations.eject_server(id) : operations.reinstate_server(id)))
        return {404, fmt::format("no server {} is known\n", id)};
    return {200, fmt::format("server {} is {}\n", id, is_ejection ? "out" : "back")};
}

AdminReply handle_drain_call(AdminOperations& operations, bool is_draining) {
    operations.set_draining(is_draining);
    return {200, is_draining ? "draining\n" : "serving\n"};
}

}    // namespace

AdminReply answer_call(AdminOperations& operations, std::string_view method, std::string_view target,
                       std::string_view body) {
    struct Route {
        std::string_view path, method;
        AdminReply (*serve)(AdminOperations&, std::string_view);
    };
    static constexpr Route kRoutes[] = {
        {"/ops/readiness", "GET",
         [](AdminOperations& o, std::string_view) {
             return o.is_ready() ? AdminReply{200, "ready\n"} : AdminReply{503, "not ready\n"};
         }},
        {"/ops/stats", "GET",
         [](AdminOperations& o, std::string_view) {
             return AdminReply{200, o.metrics_text(), "text/plain; version=0.0.4; charset=utf-8"};
         }},
        {"/ops/servers/down", "PUT",
         [](AdminOperations& o, std::string_view id) { return handle_server_call(o, id, true); }},
        {"/ops/servers/up", "PUT",
         [](AdminOperations& o, std::string_view id) { return handle_server_call(o, id, false); }},
        {"/ops/drain/start", "PUT",
         [](AdminOperations& o, std::string_view) { return handle_drain_call(o, true); }},
        {"/ops/drain/stop", "PUT",
         [](AdminOperations& o, std::string_view) { return handle_drain_call(o, false); }},
    };
    const std::string_view path = target.substr(0, target.find('?'));
    for (const Route& route : kRoutes) {
        if (route.path != path) continue;
        if (route.method != method)
            return {405, fmt::format("{} takes {}\n", path, route.method), "text/plain; charset=utf-8",
                    route.method};
        return route.serve(operations, body);
    }
    return {404, "no such call\n"};
}

LineProtocol::NextStep AdminProtocol::process_input(http::Buffer& in, std::string& out) {
    const http::ParseStatus status = parser_.parse(in);
    if (status == http::ParseStatus::Incomplete) {
        if (parser_.expects_continue() && !std::exchange(continue_sent_, true)) out += kContinueResponse;
        return NextStep::ReadMore;
    }
    AdminReply reply;
    if (status == http::ParseStatus::Malformed) {
        const ImmediateRejection rejection = rejection_for(parser_.error());
        reply = {rejection.status_code, std::string(rejection.reason) + "\n"};
    } else {
        reply = answer_call(operations_, parser_.method(in), parser_.target(in), parser_.body(in));
    }
    std::string headers = fmt::format("Content-Type: {}\r\nCache-Control: no-store\r\n", reply.content_type);
    if (!reply.allowed_methods.empty()) headers += fmt::format("Allow: {}\r\n", reply.allowed_methods);
    out += write_answer(reply.status_code, headers, reply.text, false);
    in.consume(in.size());
    return NextStep::Close;
}

}    // namespace shaletray::operations
