// The admin API of a running gateway on its admin address: routes and replies. Pure; AdminOperations carries
// the calls out.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "base/http/line_protocol.h"
#include "base/http/message.h"

namespace shaletray::operations {

// Operations of the admin API; implemented by the service and called on the reactor's thread.
class AdminOperations {
public:
    virtual ~AdminOperations() = default;
    virtual bool is_ready() const = 0;
    virtual std::string metrics_text() const = 0;    // Prometheus text format
    // False if the server is unknown. Both are idempotent.
    virtual bool eject_server(const std::string& server) = 0;
    virtual bool reinstate_server(const std::string& server) = 0;
    virtual void set_draining(bool is_draining) = 0;
};

// The response to an admin call.
struct AdminReply {
    int status_code = 200;
    std::string text;
    std::string_view content_type = "text/plain; charset=utf-8";
    std::string_view allowed_methods = {};    // for status 405
};

// Carries out a call. A query in `target` is ignored. Status 404 for unknown paths and servers, 405 for other
// methods, 400 for a missing or malformed id.
AdminReply answer_call(AdminOperations& operations, std::string_view method, std::string_view target,
                       std::string_view body);

// One call per connection; malformed or oversized requests get an error response.
class AdminProtocol : public LineProtocol {
public:
    static constexpr std::size_t kMaxHeadSize = 8 * 1024, kMaxBodySize = 4 * 1024;
    explicit AdminProtocol(AdminOperations& operations) : operations_(operations) {}
    NextStep process_input(http::Buffer& in, std::string& out) override;

private:
    AdminOperations& operations_;
    http::Parser parser_{http::Parser::Kind::Request, {kMaxHeadSize, kMaxBodySize, 64}};
    bool continue_sent_ = false;
};

}    // namespace shaletray::operations
