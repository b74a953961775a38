// Tests ApiServer over loopback connections, its reactor on a separate thread.
#include "base/net/api_server.h"

#include <criterion/criterion.h>
#include <unistd.h>

#include <deque>
#include <random>
#include <thread>

#include "base/net/waker.h"

using namespace shaletray;
using namespace std::chrono_literals;

namespace {

// Replies to "/now..." at once; other calls are held until a call of "/release" replies to them, the newest
// first. "/kept" returns the number of held calls, "/gone" that of abandoned ones.
struct TestServer {
    explicit TestServer(ApiServer::Limits limits = {}) {
        server = std::make_unique<ApiServer>(
            reactor, ApiServer::listen("127.0.0.1:0"), limits,
            [this](const ApiCall& call, std::shared_ptr<ApiCaller> caller) {
                const std::string body = std::string(call.method) + " " + std::string(call.target) + " " +
                                         std::to_string(call.body.size());
                if (call.target == "/release") {
                    int reply_count = 0;
                    while (!held_calls.empty()) {    // a reply may start the next call of its connection
                        const auto [held_caller, text] = std::move(held_calls.back());
                        held_calls.pop_back();
                        if (!held_caller->is_abandoned()) ++reply_count;
                        held_caller->send_reply({200, text});
                    }
                    caller->send_reply({200, std::to_string(reply_count)});
                } else if (call.target == "/kept") {
                    caller->send_reply({200, std::to_string(held_calls.size())});
                } else if (call.target == "/gone") {
                    caller->send_reply({200, std::to_string(server->counters().abandoned)});
                } else if (call.target.starts_with("/now")) {
                    caller->send_reply({200, body});
                } else {
                    held_calls.emplace_back(std::move(caller), body);
                }
            },
            [](std::string_view, std::string_view target) {
                return target == "/now/small" ? std::size_t{10} : std::size_t{1000000};
            });
        thread = std::thread([this] { reactor.run(); });
    }
    ~TestServer() {
        reactor.stop();
        thread.join();
    }
    Poco::Net::StreamSocket connect() {
        Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(server->address())};
        socket.setReceiveTimeout(Poco::Timespan(5, 0));
        return socket;
    }

    SystemClock clock;
    Timers timers;
    Reactor reactor{clock, timers};
    std::deque<std::pair<std::shared_ptr<ApiCaller>, std::string>> held_calls;
    std::unique_ptr<ApiServer> server;
    std::thread thread;
};

void send_text(Poco::Net::StreamSocket& socket, const std::string& text) {
    cr_assert(socket.sendBytes(text.data(), static_cast<int>(text.size())) == static_cast<int>(text.size()));
}
// Reads `count` responses, or fewer if the connection ends. Returns their bodies, or "(STATUS)" if it is not
// 200.
std::vector<std::string> receive_responses(Poco::Net::StreamSocket& socket, std::size_t count,
                                           http::Buffer& buffer) {
    std::vector<std::string> bodies;
    http::Parser parser(http::Parser::Kind::Response);
    while (bodies.size() < count) {
        if (parser.parse(buffer) == http::ParseStatus::Complete) {
            bodies.push_back(parser.status_code() == 200 ? std::string(parser.body(buffer))
                                                         : "(" + std::to_string(parser.status_code()) + ")");
            buffer.consume(parser.message_size());
            parser.reset();
            continue;
        }
        const int received = socket.receiveBytes(buffer.reserve(4096), 4096);
        if (received <= 0) break;
        buffer.commit(static_cast<std::size_t>(received));
    }
    return bodies;
}
using Texts = std::vector<std::string>;
// The descriptor that is assigned next: while it stays the same, so does the set of lower ones in use.
int lowest_free_descriptor() {
    const int lowest = dup(0);
    close(lowest);
    return lowest;
}

}    // namespace

Test(api_server, answers_pipelined_requests_in_order) {
    TestServer test_server;
    auto client = test_server.connect(), other = test_server.connect();
    http::Buffer buffer, other_buffer;
    send_text(client,
              "GET /later/1 HTTP/1.1\r\n\r\nPOST /now/2 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /now/3 "
              "HTTP/1.1\r\n\r\n");
    // Waits until the handler holds the first call.
    Texts released;
    while (released != Texts{"1"}) {
        send_text(other, "GET /release HTTP/1.1\r\n\r\n");
        released = receive_responses(other, 1, other_buffer);
    }
    cr_assert(receive_responses(client, 3, buffer) ==
              (Texts{"GET /later/1 0", "POST /now/2 3", "GET /now/3 0"}));
    send_text(client,
              "POST /now/4 HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: "
              "close\r\n\r\n2\r\nab\r\n0\r\n\r\n");
    cr_assert(receive_responses(client, 2, buffer) == Texts{"POST /now/4 2"});    // then the connection ends
}

Test(api_server, rejects_large_or_malformed_requests_and_closes_the_connection) {
    TestServer test_server;
    for (const auto& [text, status] :
         {std::pair("POST /now/small HTTP/1.1\r\nContent-Length: 11\r\n\r\n", "(413)"),
          {"POST /now/small HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nabcdefghijk\r\n0\r\n\r\n",
           "(413)"},
          {"POST /now HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n", "(413)"},
          {"\x16\x03\x01", "(400)"}}) {
        auto client = test_server.connect();
        http::Buffer buffer;
        send_text(client, text);
        cr_assert(receive_responses(client, 2, buffer) == Texts{status}, "%s", text);
    }
}

Test(api_server, closes_an_idle_connection_for_a_new_one_and_detects_disconnected_clients) {
    ApiServer::Limits limits;
    limits.max_connections = 2;
    TestServer test_server(limits);
    auto idle = test_server.connect();
    http::Buffer idle_buffer, busy_buffer, buffer;
    send_text(idle, "GET /now/1 HTTP/1.1\r\n\r\n");
    cr_assert(receive_responses(idle, 1, idle_buffer) == Texts{"GET /now/1 0"});
    auto busy = test_server.connect();
    send_text(busy, "GET /later HTTP/1.1\r\n\r\n");
    auto client = test_server.connect();    // replaces the idle one
    send_text(client, "GET /now/2 HTTP/1.1\r\n\r\n");
    cr_assert(receive_responses(client, 1, buffer) == Texts{"GET /now/2 0"});
    cr_assert(receive_responses(idle, 1, idle_buffer) == Texts{});
    busy.close();
    Texts cancelled;
    while (cancelled != Texts{"1"}) {    // the disconnect is noticed in a later iteration
        send_text(client, "GET /gone HTTP/1.1\r\n\r\n");
        cancelled = receive_responses(client, 1, buffer);
    }
    send_text(client, "GET /release HTTP/1.1\r\n\r\n");
    cr_assert(receive_responses(client, 1, buffer) == Texts{"0"});
}

// A file descriptor is reused as soon as it is closed: the reply to a call of the previous connection must be
// dropped, not sent to the connection that has its descriptor now.
Test(api_server, drops_the_reply_to_a_closed_connection_whose_descriptor_was_reused) {
    TestServer test_server;
    auto control = test_server.connect();
    http::Buffer control_buffer, buffer;
    const auto call = [&](const std::string& path) {
        send_text(control, "GET " + path + " HTTP/1.1\r\n\r\n");
        return receive_responses(control, 1, control_buffer).at(0);
    };
    auto first = test_server.connect();
    send_text(first, "POST /later/first HTTP/1.1\r\nContent-Length: 1\r\n\r\na");
    while (call("/kept") != "1") {
    }
    const int free_descriptor = lowest_free_descriptor();
    first.close();
    while (call("/gone") != "1") {
    }
    auto second = test_server.connect();
    send_text(second, "GET /later/second HTTP/1.1\r\n\r\nGET /now/third HTTP/1.1\r\n\r\n");
    while (call("/kept") != "2") {
    }
    cr_assert(lowest_free_descriptor() == free_descriptor);
    cr_assert(call("/release") == "1");
    cr_assert(receive_responses(second, 2, buffer) == (Texts{"GET /later/second 0", "GET /now/third 0"}));
    cr_assert(second.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) == 0);
}

// Many connections with pipelined calls, replied to in any order, some of which close with calls in progress:
// each connection gets the replies to its own calls, in their order.
Test(api_server, sends_each_reply_to_the_connection_of_its_call_in_order) {
    for (const unsigned seed : {1U, 2U, 3U}) {
        TestServer test_server;
        std::mt19937 random(seed);
        struct ClientConnection {
            Poco::Net::StreamSocket socket;
            http::Buffer buffer;
            Texts expected, received;
            void poll_responses() {
                while (!buffer.empty() ||
                       socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) != 0) {
                    for (std::string& body : receive_responses(socket, 1, buffer))
                        received.push_back(std::move(body));
                }
            }
        };
        auto control = test_server.connect();
        http::Buffer control_buffer;
        std::vector<ClientConnection> connections;
        int number = 0, closed_with_pending_calls = 0;
        for (int iteration = 0; iteration < 300; ++iteration) {
            if (connections.size() < 12) connections.push_back({test_server.connect(), {}, {}, {}});
            ClientConnection& connection = connections[random() % connections.size()];
            if (connection.expected.size() > 20 || random() % 12 == 0) {
                closed_with_pending_calls += connection.received.size() < connection.expected.size();
                connection.socket.close();
                std::swap(connection, connections.back());
                connections.pop_back();
                continue;
            }
            std::string text;
            for (unsigned i = 0, count = 1 + random() % 4; i < count; ++i) {
                const std::string path = (random() % 2 == 0 ? "/now/" : "/later/") + std::to_string(++number);
                const std::string body(random() % 3000, 'b');
                text += "POST " + path + " HTTP/1.1\r\nContent-Length: ";
                text += std::to_string(body.size()) + "\r\n\r\n" + body;
                connection.expected.push_back("POST " + path + " " + std::to_string(body.size()));
            }
            send_text(connection.socket, text);
            if (random() % 3 == 0) {
                send_text(control, "GET /release HTTP/1.1\r\n\r\n");
                receive_responses(control, 1, control_buffer);
            }
            for (ClientConnection& connection_entry : connections) connection_entry.poll_responses();
        }
        for (ClientConnection& connection : connections) {
            while (connection.received.size() < connection.expected.size()) {
                send_text(control, "GET /release HTTP/1.1\r\n\r\n");
                receive_responses(control, 1, control_buffer);
                connection.poll_responses();
            }
            cr_assert(connection.received == connection.expected, "seed %u", seed);
        }
        cr_assert(closed_with_pending_calls > 0);
    }
}

Test(api_server, times_out_incomplete_requests) {
    ApiServer::Limits limits;
    limits.read_timeout = 10ms;
    TestServer test_server(limits);
    auto client = test_server.connect();
    http::Buffer buffer;
    send_text(client, "GET /no");
    cr_assert(receive_responses(client, 2, buffer) == Texts{"(408)"});
}

Test(status_server, serves_get_requests_for_its_pages_only) {
    SystemClock clock;
    Timers timers;
    Reactor reactor{clock, timers};
    std::vector<StatusPage> pages{metrics_page([] { return "up 1"; }),
                                  {"/owners", "application/json", [] { return "{}"; }}};
    const auto server = serve_status(
        reactor, "127.0.0.1:0", [] { return false; }, std::move(pages));
    cr_assert(server != nullptr && !serve_status(reactor, "", [] { return true; }, {}));
    cr_assert(!serve_status(reactor, server->address(), [] { return true; }, {}), "the address is taken");
    std::thread thread([&] { reactor.run(); });
    Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(server->address())};
    http::Buffer buffer;
    for (const std::string call :
         {"GET /metrics?x=1", "GET /owners", "POST /owners", "GET /else", "GET /readiness"})
        send_text(socket, call + " HTTP/1.1\r\n\r\n");
    const Texts responses = receive_responses(socket, 5, buffer);
    reactor.stop();
    thread.join();
    cr_assert(responses == (Texts{"up 1", "{}", "(405)", "(404)", "(503)"}));
}

Test(waker, runs_its_task_when_another_thread_wakes_it) {
    SystemClock clock;
    Timers timers;
    Reactor reactor(clock, timers);
    int runs = 0;
    Waker waker(reactor, [&] {
        if (++runs == 2) reactor.stop();
        else std::thread([&] { waker.wake(); }).detach();
    });
    std::thread other([&] { waker.wake(); });
    reactor.run();
    other.join();
    cr_assert(runs == 2);
}
