#include "system/http_calls.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;

constexpr Duration kAttemptTimeout = 1s, kInitialRetryDelay = 50ms, kMaxRetryDelay = 1s;
constexpr int kMaxRedirects = 2, kMaxDenials = 3;
constexpr std::size_t kMaxReplySize = 80 * 1024 * 1024, kMinBytesPerMillisecond = 4096;

}    // namespace

class HttpCalls::Call : public StreamOwner {
public:
    Call(HttpCalls& owner, Reactor& reactor) : stream(reactor, *this), calls_(owner) {}
    ~Call() override { calls_.reactor_.cancel_timer(timer); }
    void on_input() override {
        const http::ParseStatus status = parser.parse(stream.input_buffer());
        if (status == http::ParseStatus::Malformed) return calls_.on_call_ended(*this, {});
        if (status == http::ParseStatus::Complete) finish_call();
    }
    void on_disconnected() override {
        if (stream.is_ended() && parser.head_complete() && parser.finish() == http::ParseStatus::Complete)
            finish_call();
        else calls_.on_call_ended(*this, {});
    }

    Stream stream;
    http::Parser parser{http::Parser::Kind::Response, {16 * 1024, kMaxReplySize, 100}};
    std::string method, path, body;
    TimePoint deadline{};
    int redirects = 0;
    ReplyCallback on_reply;
    Timers::Id timer = 0;

private:
    void finish_call() {
        const http::Buffer& in = stream.input_buffer();
        calls_.on_call_ended(*this, {parser.status_code(), std::string(parser.header(in, "Location")),
                                     std::string(parser.body(in))});
    }
    HttpCalls& calls_;
};

HttpCalls::HttpCalls(Reactor& reactor) : reactor_(reactor) {}

HttpCalls::~HttpCalls() {
    active_calls_.clear();
    reactor_.destroy_retired();
}

void HttpCalls::send_request(const std::string& address, const std::string& method, const std::string& path,
                             const std::string& body, Duration timeout, ReplyCallback on_reply) {
    start_call(address, method, path, body, timeout, kMaxRedirects, std::move(on_reply));
}

void HttpCalls::start_call(const std::string& address, const std::string& method, const std::string& path,
                           const std::string& body, Duration timeout, int redirects, ReplyCallback on_reply) {
    active_calls_.push_back(std::make_unique<Call>(*this, reactor_));
    Call& call = *active_calls_.back();
    call.method = method;
    call.path = path;
    call.body = body;
    call.redirects = redirects;
    call.on_reply = std::move(on_reply);
    call.deadline = reactor_.clock().now() + timeout;
    call.timer = reactor_.schedule_after(timeout, [this, &call] { on_call_ended(call, {}); });
    std::string out =
        fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n", method, path, address);
    if (!body.empty())
        out += fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n", body.size());
    if (call.stream.connect(address) && call.stream.write_bytes(out + "\r\n" + body)) return;
    reactor_.cancel_timer(call.timer);
    call.timer = reactor_.schedule_after(Duration(0), [this, &call] { on_call_ended(call, {}); });
}

void HttpCalls::on_call_ended(Call& call, const HttpReply& reply) {
    struct RetiredCall : RetiredObject {    // the call may be on the call stack
        explicit RetiredCall(std::unique_ptr<Call> retired) : call(std::move(retired)) {}
        std::unique_ptr<Call> call;
    };
    call.stream.close();
    reactor_.cancel_timer(call.timer);
    const auto it = std::find_if(active_calls_.begin(), active_calls_.end(),
                                 [&](const auto& active) { return active.get() == &call; });
    reactor_.destroy_later(std::make_unique<RetiredCall>(std::move(*it)));
    active_calls_.erase(it);
    constexpr std::string_view kScheme = "http://";
    const std::string_view redirect_target = reply.location;
    if (reply.status_code == 307 && call.redirects > 0 && redirect_target.starts_with(kScheme)) {
        const std::size_t slash = redirect_target.find('/', kScheme.size());
        const std::string address(redirect_target.substr(kScheme.size(), slash - kScheme.size()));
        return start_call(address, call.method,
                          slash == redirect_target.npos ? "/" : std::string(redirect_target.substr(slash)),
                          call.body, call.deadline - reactor_.clock().now(), call.redirects - 1,
                          std::move(call.on_reply));
    }
    call.on_reply(reply);
}

ControlClient::ControlClient(HttpCalls& calls, std::vector<std::string> gateways, std::uint64_t seed)
    : calls_(calls), gateways_(std::move(gateways)), random_(seed) {
    std::shuffle(gateways_.begin(), gateways_.end(), random_);
}

ControlClient::~ControlClient() { cancel_call(); }

void ControlClient::cancel_call() {
    calls_.reactor().cancel_timer(retry_timer_);
    current_call_.reset();
}

void ControlClient::start_call(const std::string& method, const std::string& path,
                               std::function<std::string()> make_body, Duration timeout,
                               ReplyCallback on_done) {
    cancel_call();
    method_ = method;
    path_ = path;
    make_body_ = std::move(make_body);
    on_done_ = std::move(on_done);
    deadline_ = calls_.reactor().clock().now() + timeout;
    retry_delay_ = kInitialRetryDelay;
    denial_count_ = 0;
    next_gateway_ = random_() % gateways_.size();
    start_attempt();
}

void ControlClient::start_attempt() {
    attempted_address_ = preferred_.empty() ? gateways_[next_gateway_++ % gateways_.size()] : preferred_;
    const std::string body = make_body_();
    const Duration attempt_timeout =
        kAttemptTimeout + std::chrono::milliseconds(body.size() / kMinBytesPerMillisecond);
    current_call_ = std::make_shared<int>(0);
    calls_.send_request(attempted_address_, method_, path_, body, attempt_timeout,
                        [this, call_token = std::weak_ptr<int>(current_call_)](const HttpReply& reply) {
                            if (!call_token.expired()) on_reply(reply);
                        });
}

void ControlClient::on_reply(const HttpReply& reply) {
    const int status = reply.status_code;
    const bool is_denied = status >= 400 && status < 500 && status != 408 && status != 429;
    const bool is_definite = (status >= 200 && status < 300) || status == 400 || status == 409 ||
                             status == 412 || status == 413 || status == 422 ||
                             (is_denied && ++denial_count_ >= kMaxDenials);
    if (!is_definite && attempted_address_ == preferred_) preferred_.clear();
    Reactor& reactor = calls_.reactor();
    if (is_definite || reactor.clock().now() + retry_delay_ >= deadline_) {
        current_call_.reset();
        const ReplyCallback callback = on_done_;    // a copy, since it may start another call
        return callback(reply);
    }
    retry_timer_ = reactor.schedule_after(retry_delay_, [this] {
        retry_timer_ = 0;
        start_attempt();
    });
    retry_delay_ = std::min(retry_delay_ * 2, kMaxRetryDelay);
}

}    // namespace shaletray::testbed
