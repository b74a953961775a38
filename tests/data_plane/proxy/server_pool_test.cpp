// A connection pool and its engine against a scripted server: which response belongs to which request, and
// which connections are reused.
#include "data_plane/proxy/server_pool.h"

#include <Poco/Net/ServerSocket.h>
#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <optional>
#include <random>

#include "base/net/loop.h"

using namespace shaletray;
using namespace std::chrono_literals;
using shaletray::test::Loop;

namespace {

struct TestProtocol : UpstreamProtocol {
    std::string write_request(const Payload& request, HostId, Duration) const override {
        return fmt::format("GET / HTTP/1.1\r\nX-Id: {}\r\n\r\n", request.request_id);
    }
    std::string write_health_check(HostId, std::string_view) const override {
        return "GET /up HTTP/1.1\r\n\r\n";
    }
    AnswerMatch match_answer(const ExchangeContext& exchange_context, const http::Parser& parser,
                             const http::Buffer& buffer) const override {
        const std::string_view response_id = parser.header(buffer, "X-Id");
        return response_id == exchange_context.request_id ? AnswerMatch::Match
               : response_id.starts_with("old")           ? AnswerMatch::EarlierRequest
                                                          : AnswerMatch::Mismatch;
    }
    Outcome outcome_of(const ExchangeContext&, const http::Parser& parser,
                       const http::Buffer&) const override {
        return parser.status_code() / 100 == 2 ? Outcome::Ok
               : parser.status_code() == 503   ? Outcome::Full
                                               : Outcome::Error;
    }
    Payload answer_of(const http::Parser& parser, const http::Buffer& buffer, bool with_body) const override {
        Payload response;
        response.status_code = parser.status_code();
        if (with_body) response.body = parser.body(buffer);
        return response;
    }
    std::optional<Duration> server_idle_timeout(const http::Parser& parser,
                                                const http::Buffer& buffer) const override {
        const std::string_view keep_alive = parser.header(buffer, "Keep-Alive");
        if (keep_alive.empty()) return std::nullopt;
        return std::chrono::seconds(keep_alive.back() - '0');
    }
};

struct TestHostTable : HostTable {
    Host host;
    const Host* find_host(HostId) const override { return &host; }
    bool may_send_to(HostId, TimePoint) const override { return true; }
};

struct TestDownstream : DownstreamConnection {
    std::string received;
    void on_answer(Payload&& response) override {
        received = fmt::format("succeeded {} {}", response.status_code, response.body);
    }
    void on_rejected(Duration, RejectionReason) override { received = "rejected"; }
    void on_failed(FailureReason reason, Payload&& response) override {
        received = reason == FailureReason::DeadlineExceeded ? "timed out" : "failed";
        if (is_error_response(response))
            received += fmt::format(" {} {}", response.status_code, response.body);
    }
};

decision::Settings one_class() {
    decision::Settings settings;
    settings.classes.resize(1);
    settings.classes[0].aim = settings.classes[0].give_up = 10s;
    settings.plans.resize(1);
    return settings;
}

// The engine and connection pool of one service.
struct TestService : PeerMessenger, HostListSource {
    TestService(Loop& loop, Counters& counters, const HostTable& hosts, const UpstreamProtocol& protocol,
                ConnectionBudget& budget, ServerPool::Limits limits)
        : engine(one_class(), 1, loop.clock, loop.timers, counters),
          pool(engine, hosts, protocol, budget, counters, loop.reactor, limits) {
        engine.connect(pool, *this, *this);
        engine.set_response_policy({true, true});
        decision::HostList list;
        list.hosts.resize(1);
        list.hosts[0].host = HostId{1};
        engine.on_host_list(std::move(list));
    }
    void send_to_peer(PeerId, const std::vector<std::uint8_t>&) override {}
    void subscribe() override {}
    void submit_request(DownstreamConnection& downstream, const std::string& request_id,
                        bool is_repeatable = true) {
        IncomingRequest incoming;
        incoming.time_budget = 5s;
        incoming.payload.request_id = request_id;
        incoming.payload.is_repeatable = is_repeatable;
        engine.submit(downstream, std::move(incoming));
    }
    Engine engine;
    ServerPool pool;
};

struct TestEnvironment {
    explicit TestEnvironment(std::size_t max_connections = 10, ServerPool::Limits limits = {1s, 5s, 0})
        : budget(max_connections) {
        hosts.host.address = server.address().toString();
        server.setBlocking(false);
        for (int index = 0; index < 2; ++index)
            services.push_back(
                std::make_unique<TestService>(loop, counters, hosts, upstream_protocol, budget, limits));
    }
    // Accepts connections and reads requests, on the server's side.
    void accept_and_read() {
        while (server.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            clients.push_back(server.acceptConnection());
            received_requests.emplace_back();
        }
        char bytes[4096];
        for (std::size_t index = 0; index < clients.size(); ++index) {
            if (!clients[index].poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) continue;
            const int count = clients[index].receiveBytes(bytes, sizeof bytes);
            if (count > 0) received_requests[index].append(bytes, static_cast<std::size_t>(count));
        }
    }
    void run_until(const std::function<bool()>& condition) {
        const bool condition_met = loop.until([&] {
            accept_and_read();
            return condition();
        });
        cr_assert(condition_met, "received %s", downstream.received.c_str());
    }
    void respond(std::size_t connection, const std::string& text) {
        received_requests[connection].clear();
        try {
            clients[connection].sendBytes(text.data(), static_cast<int>(text.size()));
        } catch (const Poco::Exception&) {
            // The pool has closed the connection.
        }
    }
    // Processes one request of a service, which must arrive on the given connection.
    void exchange(std::size_t service, std::size_t connection, const std::string& headers = "",
                  bool is_repeatable = true) {
        downstream.received.clear();
        services[service]->submit_request(downstream, "x", is_repeatable);
        run_until([&] { return connection < clients.size() && !received_requests[connection].empty(); });
        respond(connection,
                fmt::format("HTTP/1.1 200 OK\r\nX-Id: x\r\n{}Content-Length: 0\r\n\r\n", headers));
        run_until([&] { return !downstream.received.empty(); });
        loop.clock.ahead += 1ms;    // longer than the delay before an idle connection may be reused
    }

    Loop loop;
    Counters counters;
    TestHostTable hosts;
    TestProtocol upstream_protocol;
    ConnectionBudget budget;
    Poco::Net::ServerSocket server{Poco::Net::SocketAddress("127.0.0.1", 0)};
    std::vector<Poco::Net::StreamSocket> clients;
    std::vector<std::string> received_requests;
    TestDownstream downstream;
    std::vector<std::unique_ptr<TestService>> services;
};

const std::string kMatchingResponse = "HTTP/1.1 200 OK\r\nX-Id: x\r\nContent-Length: 4\r\n\r\nmine";

std::string earlier_response(const std::string& framing, const std::string& body) {
    return fmt::format("HTTP/1.1 200 OK\r\nX-Id: old1\r\n{}\r\n\r\n{}", framing, body);
}

}    // namespace

Test(server_pool, only_a_response_to_the_request_is_accepted) {
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string shorter = earlier_response("Content-Length: 5", "other"),
                      longer = earlier_response("Content-Length: 200000", std::string(200000, 'o')),
                      chunked = earlier_response("Transfer-Encoding: chunked", "5\r\nother\r\n0\r\n\r\n");
    const struct {
        std::string bytes, expected;
    } cases[] = {
        {kMatchingResponse, "succeeded 200 mine"},
        {shorter + kMatchingResponse, "succeeded 200 mine"},
        {longer + kMatchingResponse, "succeeded 200 mine"},
        {interim + chunked + shorter + interim + kMatchingResponse, "succeeded 200 mine"},
        {"HTTP/1.1 500 No\r\nX-Id: old1\r\nContent-Length: 0\r\n\r\n" + kMatchingResponse,
         "succeeded 200 mine"},
        {"HTTP/1.1 200 OK\r\nX-Id: y\r\nContent-Length: 0\r\n\r\n" + kMatchingResponse, "failed"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "failed"},
        {"HTTP/1.1 503 Full\r\nX-Id: x\r\nContent-Length: 0\r\n\r\n", "rejected"},
        {"HTTP/1.1 500 No\r\nX-Id: x\r\nContent-Length: 4\r\n\r\nwhy?", "failed 500 why?"},
    };
    std::mt19937 random(1);
    for (const auto& test_case : cases) {
        for (const bool cut : {false, true}) {
            TestEnvironment environment;
            environment.services[0]->submit_request(environment.downstream, "x");
            environment.run_until([&] {
                return !environment.received_requests.empty() &&
                       environment.received_requests[0].ends_with("\r\n\r\n");
            });
            for (std::size_t position = 0; position < test_case.bytes.size();) {
                const std::size_t chunk_size =
                    cut ? 1 + random() % (test_case.bytes.size() > 999 ? 50000 : 30) : test_case.bytes.size();
                environment.respond(0, test_case.bytes.substr(position, chunk_size));
                position += chunk_size;
                if (cut) environment.run_until([&] { return true; });
            }
            environment.run_until([&] { return !environment.downstream.received.empty(); });
            cr_assert(environment.downstream.received == test_case.expected, "%s: %s",
                      test_case.bytes.substr(0, 90).c_str(), environment.downstream.received.c_str());
        }
    }
}

// A response to an earlier request that ends with the connection must not be used, and the request may have
// run.
Test(server_pool, connection_closed_after_another_response_fails_the_request) {
    TestEnvironment environment;
    environment.services[0]->submit_request(environment.downstream, "x");
    environment.run_until(
        [&] { return !environment.received_requests.empty() && !environment.received_requests[0].empty(); });
    environment.respond(0, "HTTP/1.1 200 OK\r\nX-Id: old1\r\n\r\nother");
    environment.clients[0].shutdownSend();
    environment.run_until([&] { return !environment.downstream.received.empty(); });
    cr_assert(environment.downstream.received == "failed", "%s", environment.downstream.received.c_str());
}

Test(server_pool, request_that_times_out_is_reported_as_possibly_executed) {
    TestEnvironment environment;
    environment.services[0]->submit_request(environment.downstream, "x");
    environment.run_until(
        [&] { return !environment.received_requests.empty() && !environment.received_requests[0].empty(); });
    environment.loop.clock.ahead += 6s;
    environment.run_until([&] { return !environment.downstream.received.empty(); });
    cr_assert(environment.downstream.received == "timed out", "%s", environment.downstream.received.c_str());
}

// Servers that state no idle timeout may discard idle connections without closing them.
Test(server_pool, non_repeatable_request_uses_a_new_connection_or_one_of_a_safe_idle_age) {
    TestEnvironment environment;
    environment.exchange(0, 0);
    environment.loop.clock.ahead += 300ms;
    environment.exchange(0, 1, "", false);
    environment.loop.clock.ahead += 300ms;
    environment.exchange(0, 1);    // the most recently used one; shows that 300 ms are safe
    environment.loop.clock.ahead += 200ms;
    environment.exchange(0, 1, "", false);
    environment.loop.clock.ahead += 900ms;
    environment.exchange(0, 2, "", false);
    environment.exchange(1, 3, "Keep-Alive: timeout=4\r\n");
    environment.loop.clock.ahead += 2s;
    environment.exchange(1, 3, "", false);    // the server has stated a longer timeout
    cr_assert(environment.counters.server_connections_dialled == 4);
}

// Closed before the timeout that the server states, kept if it states none, and not reused if it states 0.
Test(server_pool, idle_connections_respect_the_stated_timeout) {
    TestEnvironment environment;
    environment.exchange(0, 0);
    environment.loop.clock.ahead += 700ms;
    environment.exchange(0, 0, "Keep-Alive: timeout=1\r\n");
    environment.loop.clock.ahead += 500ms;
    environment.exchange(0, 0, "Keep-Alive: timeout=1\r\n");
    environment.loop.clock.ahead += 700ms;
    environment.exchange(0, 1, "Keep-Alive: timeout=0\r\n");
    environment.exchange(0, 2);
    cr_assert(environment.budget.open_connections() == 1 && environment.budget.idle_connections() == 1);
    environment.loop.clock.ahead += 7s;
    environment.run_until([&] { return environment.budget.open_connections() == 0; });
}

// The longest idle connection of all pools is closed for a new one; if none is idle, nothing is sent.
Test(server_pool, pools_share_their_connection_budget) {
    TestEnvironment environment(2);
    TestDownstream waiting;
    environment.exchange(0, 0);
    environment.services[0]->submit_request(waiting, "x");
    environment.run_until([&] { return !environment.received_requests[0].empty(); });
    environment.exchange(0, 1);
    environment.exchange(1, 2);    // replaces the first service's second connection
    cr_assert(environment.budget.open_connections() == 2 && waiting.received.empty());
    TestDownstream third, fourth;
    environment.services[1]->submit_request(third, "x");
    environment.services[1]->submit_request(fourth, "x");
    cr_assert(third.received.empty() && fourth.received == "rejected");
    environment.services.clear();
    cr_assert(environment.budget.open_connections() == 0 && environment.budget.idle_connections() == 0);
}

Test(server_pool, connections_per_server_are_limited) {
    TestEnvironment environment(10, {1s, 5s, 2});
    TestDownstream downstreams[3];
    for (TestDownstream& downstream : downstreams) environment.services[0]->submit_request(downstream, "x");
    cr_assert(downstreams[0].received.empty() && downstreams[1].received.empty() &&
              downstreams[2].received == "rejected");
}
