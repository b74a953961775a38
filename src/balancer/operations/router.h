// What operators may ask of a running gateway over its second address, and how each call is answered. Pure:
// the only place that knows the calls' names. What they do is behind Operations.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "base/http/line_protocol.h"
#include "base/http/message.h"

namespace shaletray::operations {

class AdminOperations {
public:
    virtual ~AdminOperations() = default;
    virtual bool is_ready() const = 0;
    virtual std::string metrics_text() const = 0;    // Prometheus text format
    // False where no such server is known. Either may come twice.
    virtual bool eject_server(const std::string& server) = 0;
    virtual bool reinstate_server(const std::string& server) = 0;
    virtual void set_draining(bool wanted) = 0;
};

struct AdminReply {
    int status_code = 200;
    std::string text;
    std::string_view content_type = "text/plain; charset=utf-8";
    std::string_view allowed_methods = {};    // with 405: the method that the call takes
};

// `target` may carry a query, which says nothing. Unknown paths 404, other methods 405, no or a malformed id
// 400, an unknown one 404.
AdminReply answer_call(AdminOperations& operations, std::string_view method, std::string_view target,
                       std::string_view body);

// One call a connection; what is no HTTP, or larger than a call may be, is answered and closed.
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
