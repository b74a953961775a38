// In which order the requests of one client connection are submitted and get their responses.
#include <random>

#include "data_plane/proxy/client_connection_fixture.h"

using namespace shaletray;
using namespace shaletray::test;

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
