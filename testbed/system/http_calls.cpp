#include "system/http_calls.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace shaletray::testbed {
namespace {

using namespace std::chrono_literals;

constexpr Duration kPatience = 1s, kFirstPause = 50ms, kLongestPause = 1s;
constexpr int kMostRedirects = 2, kMostDenials = 3;
constexpr std::size_t kLongestAnswer = 80 * 1024 * 1024, kBytesPerMs = 4096;

}    // namespace

class Calls::Call : public StreamOwner {
public:
    Call(Calls& of, Reactor& reactor) : stream(reactor, *this), of_(of) {}
    ~Call() override { of_.reactor_.cancel(timer); }
    void on_input() override {
        const http::Status status = parser.parse(stream.input());
        if (status == http::Status::Bad) return of_.ended(*this, {});
        if (status == http::Status::Done) finish();
    }
    void on_broken() override {
        if (stream.ended() && parser.head_done() && parser.end() == http::Status::Done) finish();
        else of_.ended(*this, {});
    }

    Stream stream;
    http::Parser parser{http::Parser::Kind::Response, {16 * 1024, kLongestAnswer, 100}};
    std::string method, path, body;
    TimePoint until{};
    int redirects = 0;
    Done done;
    Timers::Id timer = 0;

private:
    void finish() {
        const http::Buffer& in = stream.input();
        of_.ended(*this, {parser.status(), std::string(parser.header(in, "Location")),
                          std::string(parser.body(in))});
    }
    Calls& of_;
};

Calls::Calls(Reactor& reactor) : reactor_(reactor) {}

Calls::~Calls() {
    calls_.clear();
    reactor_.reap();
}

void Calls::ask(const std::string& address, const std::string& method, const std::string& path,
                const std::string& body, Duration patience, Done done) {
    begin(address, method, path, body, patience, kMostRedirects, std::move(done));
}

void Calls::begin(const std::string& address, const std::string& method, const std::string& path,
                  const std::string& body, Duration patience, int redirects, Done done) {
    calls_.push_back(std::make_unique<Call>(*this, reactor_));
    Call& call = *calls_.back();
    call.method = method;
    call.path = path;
    call.body = body;
    call.redirects = redirects;
    call.done = std::move(done);
    call.until = reactor_.clock().now() + patience;
    call.timer = reactor_.after(patience, [this, &call] { ended(call, {}); });
    std::string out =
        fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n", method, path, address);
    if (!body.empty())
        out += fmt::format("Content-Type: application/json\r\nContent-Length: {}\r\n", body.size());
    if (call.stream.dial(address) && call.stream.send(out + "\r\n" + body)) return;
    reactor_.cancel(call.timer);
    call.timer = reactor_.after(Duration(0), [this, &call] { ended(call, {}); });
}

void Calls::ended(Call& call, const CallAnswer& answer) {
    struct Gone : Retired {    // it may be on the call stack
        explicit Gone(std::unique_ptr<Call> of) : call(std::move(of)) {}
        std::unique_ptr<Call> call;
    };
    call.stream.close();
    reactor_.cancel(call.timer);
    const auto it =
        std::find_if(calls_.begin(), calls_.end(), [&](const auto& c) { return c.get() == &call; });
    reactor_.retire(std::make_unique<Gone>(std::move(*it)));
    calls_.erase(it);
    constexpr std::string_view kScheme = "http://";
    const std::string_view to = answer.location;
    if (answer.status == 307 && call.redirects > 0 && to.starts_with(kScheme)) {
        const std::size_t slash = to.find('/', kScheme.size());
        const std::string address(to.substr(kScheme.size(), slash - kScheme.size()));
        return begin(address, call.method, slash == to.npos ? "/" : std::string(to.substr(slash)), call.body,
                     call.until - reactor_.clock().now(), call.redirects - 1, std::move(call.done));
    }
    call.done(answer);
}

ControlCaller::ControlCaller(Calls& calls, std::vector<std::string> gateways, std::uint64_t seed)
    : calls_(calls), gateways_(std::move(gateways)), random_(seed) {
    std::shuffle(gateways_.begin(), gateways_.end(), random_);
}

ControlCaller::~ControlCaller() { stop(); }

void ControlCaller::stop() {
    calls_.reactor().cancel(timer_);
    current_.reset();
}

void ControlCaller::call(const std::string& method, const std::string& path,
                         std::function<std::string()> body, Duration most, Done done) {
    stop();
    method_ = method;
    path_ = path;
    body_ = std::move(body);
    done_ = std::move(done);
    end_ = calls_.reactor().clock().now() + most;
    pause_ = kFirstPause;
    denials_ = 0;
    next_ = random_() % gateways_.size();
    attempt();
}

void ControlCaller::attempt() {
    asked_ = preferred_.empty() ? gateways_[next_++ % gateways_.size()] : preferred_;
    const std::string body = body_();
    const Duration patience = kPatience + std::chrono::milliseconds(body.size() / kBytesPerMs);
    current_ = std::make_shared<int>(0);
    calls_.ask(asked_, method_, path_, body, patience,
               [this, mine = std::weak_ptr<int>(current_)](const CallAnswer& answer) {
                   if (!mine.expired()) answered(answer);
               });
}

void ControlCaller::answered(const CallAnswer& answer) {
    const int s = answer.status;
    const bool denied = s >= 400 && s < 500 && s != 408 && s != 429;
    const bool clear = (s >= 200 && s < 300) || s == 400 || s == 409 || s == 412 || s == 413 || s == 422 ||
                       (denied && ++denials_ >= kMostDenials);
    if (!clear && asked_ == preferred_) preferred_.clear();
    Reactor& reactor = calls_.reactor();
    if (clear || reactor.clock().now() + pause_ >= end_) {
        current_.reset();
        const Done done = done_;    // it may call again
        return done(answer);
    }
    timer_ = reactor.after(pause_, [this] {
        timer_ = 0;
        attempt();
    });
    pause_ = std::min(pause_ * 2, kLongestPause);
}

}    // namespace shaletray::testbed
