#include "net/client_connection.h"

#include <utility>

namespace shaletray {
namespace {

using namespace std::chrono_literals;

constexpr Duration kIdle = 300s;    // a client that asks nothing
constexpr Duration kSlow = 15s;     // a request, or an answer, that does not get on
constexpr Duration kSlowAtStop = 2s;
constexpr Duration kLinger = 1s;             // for a client to read an answer before the connection is cut
constexpr std::size_t kAhead = 96 * 1024;    // what a client may send ahead of its answer

}    // namespace

ClientConnection::ClientConnection(ClientContext& context, const Poco::Net::StreamSocket& socket)
    : context_(context), stream_(context.reactor, *this), since_(context.reactor.clock().now()) {
    stream_.adopt(socket);
    ++context_.counters.clients_accepted;
    ++context_.counters.clients_open;
}

ClientConnection::~ClientConnection() { --context_.counters.clients_open; }

void ClientConnection::on_input() {
    if (state_ == State::Lingering) {
        stream_.input().consume(stream_.input().size());
        return;
    }
    // From a request's first byte on: one that trickles in must not begin its time anew with every byte.
    if (state_ == State::Reading && !std::exchange(begun_, true)) since_ = context_.reactor.clock().now();
    process();
    if (state_ != State::Reading && stream_.input().size() > kAhead) stream_.read_on(false);
}

// An answer may be written while its request is still being taken: the loop goes on, and never nests.
void ClientConnection::process() {
    if (processing_) return;
    processing_ = true;
    while (state_ == State::Reading) {
        const http::Status status = parser_.parse(stream_.input());
        if (status == http::Status::Bad) {
            reject(rejection_of(parser_.fault()));
        } else if (status == http::Status::Done) {
            take_request();
        } else {
            if (parser_.expects_continue() && !std::exchange(continued_, true) &&
                !stream_.send("HTTP/1.1 100 Continue\r\n\r\n"))
                close();
            break;
        }
    }
    processing_ = false;
}

void ClientConnection::take_request() {
    http::Buffer& input = stream_.input();
    keep_alive_ = parser_.keep_alive();
    since_ = context_.reactor.clock().now();
    if (asks_ready(parser_, input)) {
        input.consume(parser_.size());
        parser_.reset();
        const bool ready = context_.ready() && !context_.stopping;
        answer(ready ? kServed : kNotReady, "", ready ? "ready\n" : "not ready\n");
        return;
    }
    auto request = read_request(parser_, input, context_.config);
    if (const auto* rejection = std::get_if<Rejection>(&request)) return reject(*rejection);
    input.consume(parser_.size());
    parser_.reset();
    continued_ = false;
    state_ = State::Waiting;
    request_ = RequestId{};
    const RequestId id = context_.engine.take(*this, std::move(std::get<Arrival>(request)));
    if (state_ == State::Waiting) request_ = id;
}

void ClientConnection::reject(const Rejection& rejection) {
    keep_alive_ = false;
    answer(rejection.status, "Content-Type: text/plain\r\n", std::string(rejection.reason) + "\n");
}

void ClientConnection::served(Payload&& payload) { answer(kServed, payload.head, payload.body); }
void ClientConnection::refused(Duration wait) { answer(kRefused, retry_after(wait), ""); }
void ClientConnection::failed() { answer(kFailed, "", ""); }

void ClientConnection::answer(int status, std::string_view headers, std::string_view body) {
    if (state_ == State::Closed) return;
    ++context_.counters.answered[status];
    if (context_.stopping) keep_alive_ = false;
    state_ = State::Writing;
    since_ = context_.reactor.clock().now();
    if (!stream_.send(write_answer(status, headers, body, keep_alive_))) return close();
    if (stream_.sent_all()) answered();
}

void ClientConnection::on_sent() {
    if (state_ == State::Writing) answered();
}

void ClientConnection::answered() {
    since_ = context_.reactor.clock().now();
    if (!keep_alive_) {
        // Closing over bytes that were not read resets the connection, and the client may lose the answer.
        state_ = State::Lingering;
        stream_.end_sending();
        stream_.input().consume(stream_.input().size());
        stream_.read_on(true);
        return;
    }
    state_ = State::Reading;
    begun_ = !stream_.input().empty();
    stream_.read_on(true);
    process();
}

void ClientConnection::on_broken() { close(); }

void ClientConnection::close_if_idle() {
    if (idle()) stream_.read_now();
    if (idle()) close();
}

void ClientConnection::sweep(TimePoint now) {
    const Duration stood = now - since_;
    // At a stop, half a request is not waited for as long: it may keep the gateway from ending.
    const Duration slow = context_.stopping ? kSlowAtStop : kSlow;
    const bool over = state_ == State::Lingering ? stood > kLinger
                      : idle()                   ? stood > kIdle
                                                 : state_ != State::Waiting && stood > slow;
    if (over) close();
}

void ClientConnection::close() {
    if (state_ == State::Closed) return;
    const bool waiting = state_ == State::Waiting;
    state_ = State::Closed;
    stream_.close();
    if (waiting) context_.engine.withdraw(request_);
    context_.closed(*this);
}

}    // namespace shaletray
