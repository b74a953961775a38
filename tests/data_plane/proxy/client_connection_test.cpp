// Client connections between a scripted request handler and a real socket: when requests are submitted, and
// in which order they get their responses.
#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <random>

#include "base/net/loop.h"
#include "data_plane/proxy/client_listener.h"

using namespace shaletray;
using namespace std::chrono_literals;
using shaletray::test::Loop;

namespace {

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
    http::Limits parser_limits() const override { return {}; }
    Duration header_timeout() const override { return 10s; }
    Duration idle_timeout(std::uint64_t) const override { return 10s; }
    GatewayAnswer rejection_answer(RejectionReason, Duration) const override { return {503}; }
    GatewayAnswer failure_answer(FailureReason) const override { return {502}; }
    std::string_view keep_alive_headers() const override { return "Keep-Alive: timeout=9\r\n"; }
};

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

    std::vector<Request> requests;
    std::size_t cancelled_count = 0, max_open = 0;
    std::function<void()> on_submit;
    Loop loop;
    Counters counters;
    TestRequestMapping request_mapping;
    std::optional<ClientListener> listener{std::in_place,
                                           *this,
                                           request_mapping,
                                           ClientCapacity{},
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

std::string get_request(int id) { return fmt::format("GET /{} HTTP/1.1\r\n\r\n", id); }
std::string post_request(int id) {
    return fmt::format("POST /{} HTTP/1.1\r\nContent-Length: 2\r\n\r\nab", id);
}

}    // namespace

// Input is split at arbitrary bytes and requests are completed in any order: responses still come in request
// order, and the limit of open requests is kept.
Test(client_connections, pipelined_requests_get_responses_in_request_order) {
    for (const unsigned seed : {1U, 2U, 3U}) {
        TestEnvironment environment;
        std::mt19937 random(seed);
        std::string input, expected;
        const int request_count = 60;
        std::size_t forwarded_count = 0;
        for (int i = 0; i < request_count; ++i) {
            const unsigned request_kind = random() % 8;
            if (request_kind == 0) input += "GET /no HTTP/1.1\r\n\r\n", expected += "no route\n";
            else {
                input += request_kind == 1 ? post_request(i) : get_request(i),
                    expected += fmt::format("for {};", i);
                ++forwarded_count;
            }
        }
        while (!input.empty()) {
            const std::size_t chunk_size = std::min<std::size_t>(input.size(), 1 + random() % 300);
            environment.send_text(input.substr(0, chunk_size));
            input.erase(0, chunk_size);
            if (random() % 2 == 0) environment.loop.until([&] { return true; });
            if (!environment.requests.empty()) environment.respond(random() % environment.requests.size());
        }
        environment.run_until([&] {
            const std::size_t first =
                environment.requests.empty() ? 0 : random() % environment.requests.size();
            for (std::size_t i = 0; i < environment.requests.size(); ++i) {
                if (environment.respond((first + i) % environment.requests.size())) break;
            }
            return environment.response_count() == static_cast<std::size_t>(request_count);
        });
        std::string bodies;
        for (std::size_t position = 0;
             (position = environment.received.find("\r\n\r\n", position)) != std::string::npos;) {
            position += 4;
            bodies += environment.received.substr(
                position, environment.received.find("HTTP/1.1 ", position) - position);
        }
        cr_assert(bodies == expected, "%s", bodies.c_str());
        cr_assert(environment.requests.size() == forwarded_count && environment.cancelled_count == 0 &&
                  environment.max_open <= 16);
        cr_assert(environment.max_open > 1);
        cr_assert(environment.received.find("Connection: close") == std::string::npos);
    }
}

// If the connection closed before the response, the client could send the request a second time.
Test(client_connections, non_idempotent_requests_are_processed_alone) {
    TestEnvironment environment;
    environment.send_text(get_request(1) + get_request(2) + post_request(3) + get_request(4));
    environment.run_until([&] { return environment.requests.size() == 2; });
    environment.respond(1);
    environment.loop.clock.ahead += 300ms;
    environment.run_until([&] { return true; });
    cr_assert(environment.requests.size() == 2 && environment.received.empty());
    environment.respond(0);
    environment.run_until([&] { return environment.requests.size() == 3; });
    cr_assert(environment.requests[2].incoming.payload.head == "3");
    cr_assert(environment.requests[2].incoming.time_budget <= 700ms);    // less the time that it was deferred
    environment.respond(2);
    environment.run_until([&] { return environment.requests.size() == 4; });
}

// Open requests get their responses, the last one with "Connection: close", and no further request is
// submitted.
Test(client_connections, shutdown_closes_the_connection_after_its_open_requests) {
    TestEnvironment environment;
    environment.send_text(get_request(1) + get_request(2));
    environment.run_until([&] { return environment.requests.size() == 2; });
    environment.listener->start_shutdown();
    environment.send_text(get_request(3));
    environment.respond(1);
    environment.run_until([&] { return true; });
    environment.respond(0);
    environment.run_until([&] { return environment.connection_ended; });
    cr_assert(environment.requests.size() == 2 && environment.response_count() == 2);
    cr_assert(environment.received.find("Connection: close") > environment.received.find("for 1;"));
    cr_assert(environment.received.ends_with("for 2;"));
    environment.client.close();
    environment.run_until([&] { return environment.listener->client_count() == 0; });
}

Test(client_connections, client_disconnect_cancels_its_requests) {
    TestEnvironment environment;
    environment.send_text(get_request(1) + get_request(2) + get_request(3));
    environment.run_until([&] { return environment.requests.size() == 3; });
    bool released = false;
    environment.respond(1, std::make_shared<TestBodyStream>(released));
    cr_assert(!released);
    environment.client.close();
    environment.connection_ended = true;
    environment.run_until([&] { return environment.listener->client_count() == 0; });
    cr_assert(environment.cancelled_count == 2 && released);
}

// The connection may also close while the handler is submitting a request, which must then be cancelled
// exactly once.
Test(client_connections, truncated_response_closes_the_connection_and_cancels_later_requests) {
    for (const bool during_submit : {false, true}) {
        TestEnvironment environment;
        bool released = false;
        const auto body_stream = std::make_shared<TestBodyStream>(released);
        environment.send_text(get_request(1) + get_request(2));
        environment.run_until([&] { return environment.requests.size() == 2; });
        environment.respond(0, body_stream);
        environment.run_until([&] { return environment.received.ends_with("4\r\nsome\r\n"); });
        const auto break_stream = [&] { body_stream->sink->on_body_end(false); };
        if (during_submit) environment.on_submit = break_stream;
        else break_stream();
        environment.send_text(get_request(3));
        environment.run_until([&] { return environment.connection_ended; });
        cr_assert(environment.cancelled_count == environment.requests.size() - 1);
        cr_assert(environment.requests.size() == (during_submit ? 3U : 2U));
        cr_assert(environment.received.ends_with("some\r\n"));
    }
}
