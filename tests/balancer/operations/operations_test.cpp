// Operation of a gateway on real sockets: the admin API, reloads, drains and handover.
#include <Poco/File.h>

#include "balancer/handover/handover_server.h"
#include "balancer/handover/handover_state.h"
#include "balancer/operations/router.h"
#include "balancer/service/gateway_fixture.h"
#include "base/net/unix_socket.h"

namespace shaletray::test {
namespace {

struct FakeOperations : operations::AdminOperations {
    bool is_ready() const override { return ready; }
    std::string metrics_text() const override { return "edge_in_progress 0\n"; }
    bool eject_server(const std::string& id) override { return record_call("out " + id); }
    bool reinstate_server(const std::string& id) override { return record_call("back " + id); }
    void set_draining(bool is_draining) override { record_call(is_draining ? "drain" : "serve"); }
    bool record_call(const std::string& call) {
        calls.push_back(call);
        return call.find("nobody") == std::string::npos;
    }
    bool ready = true;
    std::vector<std::string> calls;
};

TEST(Router, CallsGetTheDocumentedStatus) {
    const struct {
        const char *method, *target, *body;
        int status;
        const char* expected_call;
    } cases[] = {{"GET", "/ops/readiness", "", 200, ""},
                 {"GET", "/ops/stats?x=1", "", 200, ""},
                 {"PUT", "/ops/servers/down", "s-1\r\n", 200, "out s-1"},
                 {"PUT", "/ops/servers/up", " s-1", 200, "back s-1"},
                 {"PUT", "/ops/servers/down", "nobody", 404, "out nobody"},
                 {"PUT", "/ops/servers/down", "", 400, ""},
                 {"PUT", "/ops/servers/down", "a b", 400, ""},
                 {"PUT", "/ops/drain/start", "", 200, "drain"},
                 {"PUT", "/ops/drain/stop", "", 200, "serve"},
                 {"GET", "/ops/drain/stop", "", 405, ""},
                 {"PUT", "/ops/stats", "", 405, ""},
                 {"GET", "/ops", "", 404, ""}};
    for (const auto& c : cases) {
        FakeOperations fake;
        EXPECT_EQ(operations::answer_call(fake, c.method, c.target, c.body).status_code, c.status)
            << c.target;
        EXPECT_EQ(fake.calls.empty() ? "" : fake.calls.front(), c.expected_call) << c.target;
    }
    FakeOperations fake;
    fake.ready = false;
    EXPECT_EQ(operations::answer_call(fake, "GET", "/ops/readiness", "").status_code, 503);
}

std::string call_admin(const Gateway& gateway, const std::string& start_line, const std::string& body = "") {
    return RawConnection(gateway.admin_address(),
                         fmt::format("{} HTTP/1.1\r\nHost: ops\r\nContent-Length: {}\r\n\r\n{}", start_line,
                                     body.size(), body))
        .read_to_end();
}
bool is_success(const std::string& answer) { return answer.starts_with("HTTP/1.1 2"); }
double metric_value(const Gateway& gateway, const std::string& name) {
    const std::string all = call_admin(gateway, "GET /ops/stats");
    const std::size_t at = all.find("\n" + name + " ");
    return at == std::string::npos ? -1.0 : std::stod(all.substr(at + name.size() + 2));
}

TEST(Operations, MetricsMatchTheTraffic) {
    StubServer good, slow(StubServer::Mode::Slow);
    DiscoveryStub discovery(member("a", good.stub.address()));
    Gateway gateway(discovery.address(), member("a", good.stub.address()));
    Client client(gateway);
    for (int i = 0; i < 3; ++i) EXPECT_EQ(client.send_request("/read").status, 200);
    int refused = 0;
    for (int i = 0; i < 8; ++i) refused += client.send_request("/submit", "metered", "50m").status == 429;
    EXPECT_GT(refused, 0);
    EXPECT_EQ(metric_value(gateway, "edge_passed_total{category=\"read\"}"), 3);
    EXPECT_EQ(metric_value(gateway, "edge_passed_total{category=\"submit\"}"), 8 - refused);
    EXPECT_EQ(metric_value(gateway, "edge_dropped_total{category=\"submit\"}"), refused);
    EXPECT_EQ(metric_value(gateway, "edge_bad_gateway_total{category=\"pay\"}"), 0);
    EXPECT_EQ(metric_value(gateway, "edge_upstream_tries_total"), good.requests);
    EXPECT_EQ(metric_value(gateway, "edge_known_servers"), 1);
    EXPECT_EQ(metric_value(gateway, "edge_in_progress"), 0);
    discovery.announce(member("b", slow.stub.address()) + "," +
                       member("a", good.stub.address(), "terminated"));
    std::thread waiting_client([&] { client.send_request("/read"); });
    while (slow.requests == 0) std::this_thread::sleep_for(1ms);
    EXPECT_EQ(metric_value(gateway, "edge_in_progress"), 1);
    EXPECT_EQ(metric_value(gateway, "edge_known_servers"), 1);
    waiting_client.join();
}

TEST(Operations, SilentAdminConnectionsDoNotBlockOthers) {
    DiscoveryStub discovery("");
    Gateway gateway(discovery.address(), "");
    std::vector<std::unique_ptr<RawConnection>> silent;
    for (int i = 0; i < 60; ++i)
        silent.push_back(std::make_unique<RawConnection>(gateway.admin_address(), "GET /ops/rea"));
    EXPECT_TRUE(call_admin(gateway, "GET /ops/readiness").starts_with("HTTP/1.1 503 "));
    EXPECT_TRUE(
        call_admin(gateway, "PUT /ops/servers/down", std::string(5000, 'x')).starts_with("HTTP/1.1 413 "));
    EXPECT_TRUE(call_admin(gateway, "nonsense").starts_with("HTTP/1.1 400 "));
}

TEST(Operations, EjectedServerGetsNoRequestsUntilItIsReinstated) {
    StubServer a, b;
    DiscoveryStub discovery(member_entries(a, b));
    Gateway gateway(discovery.address(), member_entries(a, b));
    Client client(gateway);
    while (a.requests == 0) ASSERT_EQ(client.send_request("/read").status, 200);
    EXPECT_FALSE(is_success(call_admin(gateway, "PUT /ops/servers/down", "nobody")));
    EXPECT_TRUE(is_success(call_admin(gateway, "PUT /ops/servers/down", "a")));
    EXPECT_TRUE(is_success(call_admin(gateway, "PUT /ops/servers/down", "a")));
    EXPECT_EQ(metric_value(gateway, "edge_skipped_servers"), 1);
    const int requests_before = a.requests;
    discovery.announce(member("a", a.stub.address(), "terminated"));
    discovery.announce(member("a", a.stub.address()));
    for (int i = 0; i < 20; ++i) EXPECT_EQ(client.send_request("/read").status, 200);
    EXPECT_EQ(a.requests, requests_before);
    const int other_requests_before = b.requests;
    EXPECT_TRUE(is_success(call_admin(gateway, "PUT /ops/servers/up", "a")));
    EXPECT_EQ(metric_value(gateway, "edge_skipped_servers"), 0);
    const auto deadline = std::chrono::steady_clock::now() + 20s;
    while (a.requests == requests_before && std::chrono::steady_clock::now() < deadline)
        client.send_request("/read");
    EXPECT_GT(a.requests, requests_before);
    EXPECT_LT((a.requests - requests_before) * 2,
              b.requests - other_requests_before);    // it was reinstated as a cold server
}

// Every invalid file that the operators' documentation lists, then a valid one.
TEST(Operations, ReloadAppliesClassesAndAttemptsAndInvalidFileChangesNothing) {
    StubServer server(StubServer::Mode::Slow);
    DiscoveryStub discovery(member("a", server.stub.address()));
    const std::string known = member("a", server.stub.address()),
                      good = config_text(discovery.address(), known);
    GatewayService service(parse_config(good));
    const auto changed = [&](const std::string& from, const std::string& to) {
        std::string text = good;
        return text.replace(text.find(from), from.size(), to);
    };
    for (const std::string& broken :
         {std::string(), good.substr(0, good.size() / 2), changed(R"("discovery")", R"("disc")"),
          changed(R"("peer_listen")", R"("pl")"), changed(R"("drainGrace":250000,)", ""),
          changed(R"("slo":1000000,)", ""), changed(R"("hardLimit":2000000)", R"("hardLimit":0)"),
          changed(R"("hardLimit":2000000)", R"("hardLimit":-1)"), changed(R"("sendCap":5)", R"("sendCap":0)"),
          changed(R"("name":"pay")", R"("name":"read")")})
        EXPECT_THROW(service.apply_reload(parse_config(broken)), std::exception) << broken.substr(0, 80);
    EXPECT_FALSE(service.apply_reload(parse_config(good)));

    std::atomic<int> step{0};
    std::thread service_thread([&] {
        service.run([&] {
            if (step == 1) {    // removes "read" while one of its requests is in progress
                service.apply_reload(parse_config(changed(R"({"name":"read","idempotency":"safe")",
                                                          R"({"name":"fresh","idempotency":"safe")")));
                step = 2;
            }
            if (step == 3) service.request_stop();
        });
    });
    Answer in_progress;
    std::thread waiting_client([&] { in_progress = Client(service.client_address()).send_request("/read"); });
    while (server.requests == 0) std::this_thread::sleep_for(1ms);
    EXPECT_EQ(Client(service.client_address()).send_request("/fresh").status, 404);
    step = 1;
    while (step != 2) std::this_thread::sleep_for(1ms);
    EXPECT_EQ(Client(service.client_address()).send_request("/read").status, 404);
    waiting_client.join();
    EXPECT_EQ(in_progress.status, 200);
    EXPECT_EQ(Client(service.client_address()).send_request("/submit").status, 200);
    EXPECT_EQ(
        RawConnection(service.client_address(),
                      "GET /fresh HTTP/1.1\r\nX-Correlation-Id: f\r\nX-Tier: open\r\nConnection: close\r\n"
                      "Cookie: customer=00000000b4d65521\r\nX-Call-Terms: units=2,spread=1,first=0\r\n\r\n")
            .read_to_end()
            .substr(9, 3),
        "200");
    step = 3;
    service_thread.join();
    EXPECT_EQ(service.counters().classes.at("read").answered, 1U);
    EXPECT_EQ(service.counters().classes.at("fresh").answered, 1U);
}

TEST(Operations, DrainFailsReadinessButServesAndClosesConnections) {
    StubServer server(StubServer::Mode::Slow);
    DiscoveryStub discovery(member("a", server.stub.address()));
    Gateway gateway(discovery.address(), member("a", server.stub.address()));
    const RawConnection idle(gateway, "GET /health/ready HTTP/1.1\r\n\r\n");
    Answer answer;
    std::thread waiting_client([&] { answer = Client(gateway).send_request("/read"); });
    while (server.requests == 0) std::this_thread::sleep_for(1ms);
    EXPECT_TRUE(is_success(call_admin(gateway, "PUT /ops/drain/start")));
    EXPECT_FALSE(is_success(call_admin(gateway, "GET /ops/readiness")));
    EXPECT_EQ(Client(gateway).send_request("/health/ready").status, 503);
    EXPECT_TRUE(idle.read_to_end().starts_with("HTTP/1.1 200 "));      // and then the connection was closed
    EXPECT_FALSE(Client(gateway).send_request("/read").keep_alive);    // a new request is served all the same
    waiting_client.join();
    EXPECT_EQ(answer.status, 200);
    EXPECT_FALSE(answer.keep_alive);
    EXPECT_TRUE(is_success(call_admin(gateway, "PUT /ops/drain/stop")));
    EXPECT_EQ(Client(gateway).send_request("/health/ready").status, 200);
    EXPECT_TRUE(Client(gateway).send_request("/read").keep_alive);
}

TEST(Handover, StateRoundTripsAndInvalidTextIsRejected) {
    const handover::HandoverState h{true, {{"s-1", TimePoint(5s)}}, "module 1\nout x\n"};
    const std::string text = handover::serialize_state(h);
    const handover::HandoverState read = handover::parse_state(text);
    EXPECT_TRUE(read.is_draining);
    ASSERT_EQ(read.ejected_hosts.size(), 1U);
    EXPECT_EQ(read.ejected_hosts[0].id, "s-1");
    EXPECT_EQ(read.ejected_hosts[0].ejected_at, TimePoint(5s));
    EXPECT_EQ(read.module_state, h.module_state);
    for (std::size_t length = 0; length < text.size(); ++length)
        EXPECT_THROW(handover::parse_state(text.substr(0, length)), std::invalid_argument) << length;
    EXPECT_THROW(handover::parse_state("shaletray-handover 2 0\n"), std::invalid_argument);
}

TEST(Operations, SuccessorTakesOverWithoutRefusingClients) {
    Poco::Net::ServerSocket reserved;    // an address for both processes that no other program gets
    reserved.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true, true);
    const std::string address = reserved.address().toString();
    const Poco::TemporaryFile folder;
    Poco::File(folder.path()).createDirectory();
    setenv("TMPDIR", folder.path().c_str(), 1);
    StubServer a, b(StubServer::Mode::Slow);
    DiscoveryStub discovery(member_entries(a, b));
    std::string config = config_text(discovery.address(), member_entries(a, b));
    const std::string default_listen = R"("listen":"127.0.0.1:0")";
    config.replace(config.find(default_listen), default_listen.size(), R"("listen":")" + address + "\"");
    auto predecessor = std::make_unique<Gateway>(parse_config(config));
    EXPECT_EQ(Client(address).send_request("/submit", "metered").status, 200);
    EXPECT_EQ(Client(address).send_request("/submit", "metered").status, 200);
    EXPECT_TRUE(is_success(call_admin(*predecessor, "PUT /ops/servers/down", "a")));
    const auto read_once = [&](int id) {
        return RawConnection(address,
                             fmt::format("GET /read HTTP/1.1\r\nX-Correlation-Id: r{}\r\nX-Tier: open\r\n"
                                         "Cookie: customer=00000000b4d65522\r\nConnection: close\r\n"
                                         "X-Call-Terms: units=2,spread=1,first=0\r\n\r\n",
                                         id))
            .read_to_end();
    };
    std::atomic<bool> is_stopping{false};
    std::atomic<int> served{0}, failed{0};
    std::thread client_flood([&] {    // one connection per request, throughout the handover
        for (int i = 0; !is_stopping; ++i) ++(read_once(i).starts_with("HTTP/1.1 200 ") ? served : failed);
    });
    std::string in_progress;
    std::thread waiting_client([&] { in_progress = read_once(-1); });
    const int before = a.requests;
    const auto wait_for = [&](int count) {
        for (const auto end = std::chrono::steady_clock::now() + 10s;
             served < count && std::chrono::steady_clock::now() < end;)
            std::this_thread::sleep_for(1ms);
        EXPECT_GE(served, count);
    };
    wait_for(2);
    Gateway successor(parse_config(config));
    EXPECT_TRUE(predecessor->wait_until_stopped(10s));    // by itself, after answering all accepted requests
    waiting_client.join();
    wait_for(served + 3);
    is_stopping = true;
    client_flood.join();
    unsetenv("TMPDIR");
    EXPECT_TRUE(in_progress.starts_with("HTTP/1.1 200 ")) << in_progress;
    EXPECT_EQ(failed, 0);
    EXPECT_EQ(a.requests, before);    // still ejected
    EXPECT_EQ(Client(address).send_request("/submit", "metered").status, 200);
    EXPECT_EQ(Client(address).send_request("/submit", "metered").status,
              429);    // the units were used before the handover
    EXPECT_GT(successor.stop_and_join().requests_accepted, 0U);
}

// The successor disconnects after the release and before it requests the state.
TEST(Operations, ServiceResumesIfTheSuccessorDisconnectsBeforeTakingOver) {
    const Poco::TemporaryFile folder;
    Poco::File(folder.path()).createDirectory();
    setenv("TMPDIR", folder.path().c_str(), 1);
    StubServer a, b;
    DiscoveryStub discovery(member_entries(a, b));
    std::string config = config_text(discovery.address(), member_entries(a, b));
    const std::string default_listen = R"("listen":"127.0.0.1:0")";
    std::string address;
    {
        Poco::Net::ServerSocket reserved(Poco::Net::SocketAddress("127.0.0.1", 0));
        address = reserved.address().toString();
    }
    config.replace(config.find(default_listen), default_listen.size(), R"("listen":")" + address + "\"");
    Gateway gateway(parse_config(config));
    EXPECT_EQ(Client(address).send_request("/read").status, 200);
    for (int i = 0; i < 2; ++i) {    // repeatedly
        Poco::Net::StreamSocket successor;
        successor.connect(unix_address(handover::socket_path_for(address)));
        successor.sendBytes("release\n", 8);
        char bytes[16] = {};
        EXPECT_EQ(successor.receiveBytes(bytes, sizeof bytes), 9);
        EXPECT_STREQ(bytes, "released\n");
        EXPECT_FALSE(is_success(call_admin(gateway, "GET /ops/readiness")));
        successor.close();
        for (int t = 0; t < 400 && !is_success(call_admin(gateway, "GET /ops/readiness")); ++t)
            std::this_thread::sleep_for(5ms);
        Client client(address);
        EXPECT_EQ(client.send_request("/read").status, 200);
        EXPECT_TRUE(client.send_request("/read").keep_alive);
    }
    std::this_thread::sleep_for(800ms);    // longer than a shutdown takes
    EXPECT_EQ(Client(address).send_request("/read").status, 200);
    unsetenv("TMPDIR");
}

}    // namespace
}    // namespace shaletray::test
