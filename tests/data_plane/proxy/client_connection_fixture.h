// Client connections between a scripted request handler, which records what is submitted and answers when the
// test says so, and a real socket.
#pragma once

#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "base/net/loop.h"
#include "data_plane/proxy/client_listener.h"

namespace shaletray::test {

using namespace std::chrono_literals;

// Maps "/7" to a request of id 7. GET requests allow pipelining, POST requests do not.
struct TestRequestMapping : RequestMapping {
    std::variant<MappedRequest, ImmediateRejection> map_request(const http::Parser& parser,
                                                                const http::Buffer& buffer,
                                                                TimePoint) override {
        if (parser.target(buffer).starts_with("/no")) return ImmediateRejection{404, "no route", true};
        MappedRequest mapped_request;
        mapped_request.request_id = parser.target(buffer).substr(1);
        mapped_request.allows_pipelining = parser.method(buffer) == "GET";
        mapped_request.incoming.time_budget = 1000ms;
        mapped_request.incoming.payload.head = mapped_request.request_id;
        return mapped_request;
    }
    http::Limits parser_limits() const override { return {.max_body_size = 4 * 1024 * 1024}; }
    Duration header_timeout() const override { return 10s; }
    Duration idle_timeout(std::uint64_t) const override { return 10s; }
    GatewayAnswer rejection_answer(RejectionReason reason, Duration) const override {
        return {reason == RejectionReason::Quota ? 429 : 503};
    }
    GatewayAnswer failure_answer(FailureReason reason) const override {
        return {reason == FailureReason::DeadlineExceeded ? 504 : 502};
    }
    std::string_view keep_alive_headers() const override { return "Keep-Alive: timeout=9\r\n"; }
};

// The ways in which a request is answered, as the engine reports them.
enum class Answer { OverQuota, NoCapacity, DeadlineExceeded, UpstreamFailed, ServerError, ServerResult };
struct AnswerKind {
    Answer answer;
    int status;
};
constexpr AnswerKind kAnswerKinds[] = {{Answer::OverQuota, 429},        {Answer::NoCapacity, 503},
                                       {Answer::DeadlineExceeded, 504}, {Answer::UpstreamFailed, 502},
                                       {Answer::ServerError, 500},      {Answer::ServerResult, 403}};

inline void deliver(DownstreamConnection& downstream, Answer answer) {
    Payload response;
    response.body = "why";
    switch (answer) {
        case Answer::OverQuota: return downstream.on_rejected(10ms, RejectionReason::Quota);
        case Answer::NoCapacity: return downstream.on_rejected(10ms, RejectionReason::Capacity);
        case Answer::DeadlineExceeded: return downstream.on_failed(FailureReason::DeadlineExceeded, {});
        case Answer::UpstreamFailed: return downstream.on_failed(FailureReason::UpstreamFailed, {});
        case Answer::ServerError:
            response.status_code = 500;
            return downstream.on_failed(FailureReason::UpstreamFailed, std::move(response));
        case Answer::ServerResult:
            response.status_code = 403;
            return downstream.on_answer(std::move(response));
    }
}

// A streamed response whose end the test controls.
struct TestBodyStream : BodyStream {
    BodySink* sink = nullptr;
    bool* released;
    explicit TestBodyStream(bool& released_flag) : released(&released_flag) {}
    ~TestBodyStream() override { *released = true; }
    void start(BodySink& target) override { (sink = &target)->on_body_chunk("some"); }
    void set_reading(bool) override {}
    std::optional<std::uint64_t> total_length() const override { return std::nullopt; }
};

struct TestEnvironment : RequestHandler {
    struct Request {
        DownstreamConnection* downstream;
        IncomingRequest incoming;
        bool is_open = true;
    };

    std::uint64_t submit(DownstreamConnection& downstream, IncomingRequest&& incoming) override {
        requests.push_back({&downstream, std::move(incoming)});
        max_open = std::max(max_open, open_count());
        const std::size_t request_id = requests.size();
        if (on_submit) std::exchange(on_submit, nullptr)();
        return request_id;
    }
    void cancel(std::uint64_t request_id) override {
        cr_assert(requests.at(request_id - 1).is_open);
        requests.at(request_id - 1).is_open = false;
        ++cancelled_count;
    }
    std::size_t open_count() const {
        return static_cast<std::size_t>(std::count_if(
            requests.begin(), requests.end(), [](const Request& request) { return request.is_open; }));
    }
    bool respond(std::size_t index, std::shared_ptr<BodyStream> body_stream = {}) {
        if (!std::exchange(requests.at(index).is_open, false)) return false;
        Payload response;
        response.status_code = 201;
        response.body = "for " + requests.at(index).incoming.payload.head + ";";
        response.body_stream = std::move(body_stream);
        requests.at(index).downstream->on_answer(std::move(response));
        return true;
    }

    explicit TestEnvironment(ClientCapacity client_capacity = {}) : capacity(client_capacity) {}

    const ClientCapacity capacity;
    std::vector<Request> requests;
    std::size_t cancelled_count = 0, max_open = 0;
    std::function<void()> on_submit;
    Loop loop;
    Counters counters;
    TestRequestMapping request_mapping;
    std::optional<ClientListener> listener{std::in_place,
                                           *this,
                                           request_mapping,
                                           capacity,
                                           counters,
                                           loop.reactor,
                                           ClientListener::listen("127.0.0.1:0"),
                                           100,
                                           [] { return true; }};
    Poco::Net::StreamSocket client{Poco::Net::SocketAddress(listener->address())};
    std::string received;
    bool connection_ended = false;

    void send_text(const std::string& text) { client.sendBytes(text.data(), static_cast<int>(text.size())); }
    void read_available() {
        char bytes[4096];
        while (!connection_ended && client.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            const int count = client.receiveBytes(bytes, sizeof bytes);
            if (count <= 0) connection_ended = true;
            else received.append(bytes, static_cast<std::size_t>(count));
        }
    }
    void run_until(const std::function<bool()>& condition) {
        const bool condition_met = loop.until([&] {
            read_available();
            return condition();
        });
        cr_assert(condition_met, "%zu submitted, %zu cancelled, received %s", requests.size(),
                  cancelled_count, received.c_str());
    }
    std::size_t response_count() const {
        std::size_t count = 0;
        for (std::size_t position = 0; (position = received.find("HTTP/1.1 ", position)) != std::string::npos;
             ++position)
            ++count;
        return count;
    }
};

inline std::string get_request(int id) { return fmt::format("GET /{} HTTP/1.1\r\n\r\n", id); }
inline std::string post_request(int id) {
    return fmt::format("POST /{} HTTP/1.1\r\nContent-Length: 2\r\n\r\nab", id);
}

}    // namespace shaletray::test
