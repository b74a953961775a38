// What operators may ask of a running gateway over its second address, and how each call is answered. Pure:
// the only place that knows the calls' names. What they do is behind Operations.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "base/http/line_protocol.h"
#include "base/http/message.h"

namespace shaletray::operations {

class Operations {
public:
    virtual ~Operations() = default;
    virtual bool ready() const = 0;
    virtual std::string figures() const = 0;    // Prometheus text format
    // False where no such server is known. Either may come twice.
    virtual bool take_out(const std::string& server) = 0;
    virtual bool bring_back(const std::string& server) = 0;
    virtual void drain(bool wanted) = 0;
};

struct Reply {
    int status = 200;
    std::string text;
    std::string_view type = "text/plain; charset=utf-8";
    std::string_view allow = {};    // with 405: the method that the call takes
};

// `target` may carry a query, which says nothing. Unknown paths 404, other methods 405, no or a malformed id
// 400, an unknown one 404.
Reply answer(Operations& operations, std::string_view method, std::string_view target, std::string_view body);

// One call a connection; what is no HTTP, or larger than a call may be, is answered and closed.
class Call : public Talk {
public:
    static constexpr std::size_t kLongestHead = 8 * 1024, kLongestBody = 4 * 1024;
    explicit Call(Operations& operations) : operations_(operations) {}
    Next take(http::Buffer& in, std::string& out) override;

private:
    Operations& operations_;
    http::Parser parser_{http::Parser::Kind::Request, {kLongestHead, kLongestBody, 64}};
    bool continued_ = false;
};

}    // namespace shaletray::operations
