// Daily operation: calls over the second address, and what they do to a gateway on real sockets.
#include <Poco/File.h>

#include "balancer/handover/handover_server.h"
#include "balancer/handover/handover_state.h"
#include "balancer/operations/router.h"
#include "balancer/service/gateway_rig.h"
#include "base/net/unix_socket.h"

namespace shaletray::test {
namespace {

struct Desk : operations::AdminOperations {
    bool is_ready() const override { return ready; }
    std::string metrics_text() const override { return "edge_in_progress 0\n"; }
    bool eject_server(const std::string& id) override { return done("out " + id); }
    bool reinstate_server(const std::string& id) override { return done("back " + id); }
    void set_draining(bool wanted) override { done(wanted ? "drain" : "serve"); }
    bool done(const std::string& what) {
        calls.push_back(what);
        return what.find("nobody") == std::string::npos;
    }
    bool ready = true;
    std::vector<std::string> calls;
};

TEST(Router, EachCallIsAnsweredAsThePageSays) {
    const struct {
        const char *method, *target, *body;
        int status;
        const char* call;
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
        Desk desk;
        EXPECT_EQ(operations::answer_call(desk, c.method, c.target, c.body).status_code, c.status)
            << c.target;
        EXPECT_EQ(desk.calls.empty() ? "" : desk.calls.front(), c.call) << c.target;
    }
    Desk desk;
    desk.ready = false;
    EXPECT_EQ(operations::answer_call(desk, "GET", "/ops/readiness", "").status_code, 503);
}

std::string call(const Gateway& gateway, const std::string& what, const std::string& body = "") {
    return Talk(gateway.admin_address(),
                fmt::format("{} HTTP/1.1\r\nHost: ops\r\nContent-Length: {}\r\n\r\n{}", what, body.size(),
                            body))
        .rest();
}
bool yes(const std::string& answer) { return answer.starts_with("HTTP/1.1 2"); }
double figure(const Gateway& gateway, const std::string& name) {
    const std::string all = call(gateway, "GET /ops/stats");
    const std::size_t at = all.find("\n" + name + " ");
    return at == std::string::npos ? -1.0 : std::stod(all.substr(at + name.size() + 2));
}

TEST(Operations, FiguresAreWhatWasCountedOnTheSockets) {
    Server good, slow(Server::Mode::Slow);
    Discovery discovery(member("a", good.stub.address()));
    Gateway gateway(discovery.address(), member("a", good.stub.address()));
    Client client(gateway);
    for (int i = 0; i < 3; ++i) EXPECT_EQ(client.ask("/read").status, 200);
    int refused = 0;
    for (int i = 0; i < 8; ++i) refused += client.ask("/submit", "metered", "50m").status == 429;
    EXPECT_GT(refused, 0);
    EXPECT_EQ(figure(gateway, "edge_passed_total{category=\"read\"}"), 3);
    EXPECT_EQ(figure(gateway, "edge_passed_total{category=\"submit\"}"), 8 - refused);
    EXPECT_EQ(figure(gateway, "edge_dropped_total{category=\"submit\"}"), refused);
    EXPECT_EQ(figure(gateway, "edge_bad_gateway_total{category=\"pay\"}"), 0);
    EXPECT_EQ(figure(gateway, "edge_upstream_tries_total"), good.requests);
    EXPECT_EQ(figure(gateway, "edge_known_servers"), 1);
    EXPECT_EQ(figure(gateway, "edge_in_progress"), 0);
    discovery.tell(member("b", slow.stub.address()) + "," + member("a", good.stub.address(), "terminated"));
    std::thread waits([&] { client.ask("/read"); });
    while (slow.requests == 0) std::this_thread::sleep_for(1ms);
    EXPECT_EQ(figure(gateway, "edge_in_progress"), 1);
    EXPECT_EQ(figure(gateway, "edge_known_servers"), 1);
    waits.join();
}

TEST(Operations, CallersThatSayNothingKeepNobodyOut) {
    Discovery discovery("");
    Gateway gateway(discovery.address(), "");
    std::vector<std::unique_ptr<Talk>> silent;
    for (int i = 0; i < 60; ++i)
        silent.push_back(std::make_unique<Talk>(gateway.admin_address(), "GET /ops/rea"));
    EXPECT_TRUE(call(gateway, "GET /ops/readiness").starts_with("HTTP/1.1 503 "));
    EXPECT_TRUE(call(gateway, "PUT /ops/servers/down", std::string(5000, 'x')).starts_with("HTTP/1.1 413 "));
    EXPECT_TRUE(call(gateway, "nonsense").starts_with("HTTP/1.1 400 "));
}

TEST(Operations, AServerThatIsTakenOutGetsNothingWhateverTheListSaysUntilItIsBack) {
    Server a, b;
    Discovery discovery(two(a, b));
    Gateway gateway(discovery.address(), two(a, b));
    Client client(gateway);
    while (a.requests == 0) ASSERT_EQ(client.ask("/read").status, 200);
    EXPECT_FALSE(yes(call(gateway, "PUT /ops/servers/down", "nobody")));
    EXPECT_TRUE(yes(call(gateway, "PUT /ops/servers/down", "a")));
    EXPECT_TRUE(yes(call(gateway, "PUT /ops/servers/down", "a")));
    EXPECT_EQ(figure(gateway, "edge_skipped_servers"), 1);
    const int before = a.requests;
    discovery.tell(member("a", a.stub.address(), "terminated"));
    discovery.tell(member("a", a.stub.address()));
    for (int i = 0; i < 20; ++i) EXPECT_EQ(client.ask("/read").status, 200);
    EXPECT_EQ(a.requests, before);
    const int others = b.requests;
    EXPECT_TRUE(yes(call(gateway, "PUT /ops/servers/up", "a")));
    EXPECT_EQ(figure(gateway, "edge_skipped_servers"), 0);
    const auto end = std::chrono::steady_clock::now() + 20s;
    while (a.requests == before && std::chrono::steady_clock::now() < end) client.ask("/read");
    EXPECT_GT(a.requests, before);
    EXPECT_LT((a.requests - before) * 2, b.requests - others);    // it came back cold
}

// Every broken file that the operators' page names, and then a good one.
TEST(Operations, AReloadTakesClassesAndAttemptsOverAndABrokenFileNothing) {
    Server server(Server::Mode::Slow);
    Discovery discovery(member("a", server.stub.address()));
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
    std::thread runs([&] {
        service.run([&] {
            if (step == 1) {    // "read" goes while a request of it is under way
                service.apply_reload(parse_config(changed(R"({"name":"read","idempotency":"safe")",
                                                          R"({"name":"fresh","idempotency":"safe")")));
                step = 2;
            }
            if (step == 3) service.request_stop();
        });
    });
    Answer under_way;
    std::thread waits([&] { under_way = Client(service.client_address()).ask("/read"); });
    while (server.requests == 0) std::this_thread::sleep_for(1ms);
    EXPECT_EQ(Client(service.client_address()).ask("/fresh").status, 404);
    step = 1;
    while (step != 2) std::this_thread::sleep_for(1ms);
    EXPECT_EQ(Client(service.client_address()).ask("/read").status, 404);
    waits.join();
    EXPECT_EQ(under_way.status, 200);
    EXPECT_EQ(Client(service.client_address()).ask("/submit").status, 200);
    EXPECT_EQ(Talk(service.client_address(),
                   "GET /fresh HTTP/1.1\r\nX-Correlation-Id: f\r\nX-Tier: open\r\nConnection: close\r\n"
                   "Cookie: customer=00000000b4d65521\r\nX-Call-Terms: units=2,spread=1,first=0\r\n\r\n")
                  .rest()
                  .substr(9, 3),
              "200");
    step = 3;
    runs.join();
    EXPECT_EQ(service.counters().classes.at("read").answered, 1U);
    EXPECT_EQ(service.counters().classes.at("fresh").answered, 1U);
}

TEST(Operations, ADrainSaysNoServesWhatComesAndEndsEachConnection) {
    Server server(Server::Mode::Slow);
    Discovery discovery(member("a", server.stub.address()));
    Gateway gateway(discovery.address(), member("a", server.stub.address()));
    const Talk idle(gateway, "GET /health/ready HTTP/1.1\r\n\r\n");
    Answer answer;
    std::thread waits([&] { answer = Client(gateway).ask("/read"); });
    while (server.requests == 0) std::this_thread::sleep_for(1ms);
    EXPECT_TRUE(yes(call(gateway, "PUT /ops/drain/start")));
    EXPECT_FALSE(yes(call(gateway, "GET /ops/readiness")));
    EXPECT_EQ(Client(gateway).ask("/health/ready").status, 503);
    EXPECT_TRUE(idle.rest().starts_with("HTTP/1.1 200 "));    // and then it was closed
    EXPECT_FALSE(Client(gateway).ask("/read").keep_alive);    // one that comes all the same is served
    waits.join();
    EXPECT_EQ(answer.status, 200);
    EXPECT_FALSE(answer.keep_alive);
    EXPECT_TRUE(yes(call(gateway, "PUT /ops/drain/stop")));
    EXPECT_EQ(Client(gateway).ask("/health/ready").status, 200);
    EXPECT_TRUE(Client(gateway).ask("/read").keep_alive);
}

TEST(Handover, IsReadAsItWasWrittenAndAnythingElseIsRefused) {
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

TEST(Operations, ANewProcessTakesOverWithoutTurningAnyoneAway) {
    Poco::Net::ServerSocket reserved;    // an address that both may use and nobody else gets
    reserved.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true, true);
    const std::string address = reserved.address().toString();
    const Poco::TemporaryFile folder;
    Poco::File(folder.path()).createDirectory();
    setenv("TMPDIR", folder.path().c_str(), 1);
    Server a, b(Server::Mode::Slow);
    Discovery discovery(two(a, b));
    std::string config = config_text(discovery.address(), two(a, b));
    const std::string any = R"("listen":"127.0.0.1:0")";
    config.replace(config.find(any), any.size(), R"("listen":")" + address + "\"");
    auto old = std::make_unique<Gateway>(parse_config(config));
    EXPECT_EQ(Client(address).ask("/submit", "metered").status, 200);
    EXPECT_EQ(Client(address).ask("/submit", "metered").status, 200);
    EXPECT_TRUE(yes(call(*old, "PUT /ops/servers/down", "a")));
    const auto read_once = [&](int id) {
        return Talk(address, fmt::format("GET /read HTTP/1.1\r\nX-Correlation-Id: r{}\r\nX-Tier: open\r\n"
                                         "Cookie: customer=00000000b4d65522\r\nConnection: close\r\n"
                                         "X-Call-Terms: units=2,spread=1,first=0\r\n\r\n",
                                         id))
            .rest();
    };
    std::atomic<bool> over{false};
    std::atomic<int> served{0}, others{0};
    std::thread flood([&] {    // a connection each, all the while
        for (int i = 0; !over; ++i) ++(read_once(i).starts_with("HTTP/1.1 200 ") ? served : others);
    });
    std::string under_way;
    std::thread waits([&] { under_way = read_once(-1); });
    const int before = a.requests;
    const auto wait_for = [&](int count) {
        for (const auto end = std::chrono::steady_clock::now() + 10s;
             served < count && std::chrono::steady_clock::now() < end;)
            std::this_thread::sleep_for(1ms);
        EXPECT_GE(served, count);
    };
    wait_for(2);
    Gateway next(parse_config(config));
    EXPECT_TRUE(old->ended(10s));    // by itself, once it has answered what it took
    waits.join();
    wait_for(served + 3);
    over = true;
    flood.join();
    unsetenv("TMPDIR");
    EXPECT_TRUE(under_way.starts_with("HTTP/1.1 200 ")) << under_way;
    EXPECT_EQ(others, 0);
    EXPECT_EQ(a.requests, before);    // still out
    EXPECT_EQ(Client(address).ask("/submit", "metered").status, 200);
    EXPECT_EQ(Client(address).ask("/submit", "metered").status, 429);    // the units were used before
    EXPECT_GT(next.end().requests_accepted, 0U);
}

// Between the old process's last client and the state it would have been given.
TEST(Operations, TheOldProcessServesOnWhereItsSuccessorIsGoneBeforeItTookOver) {
    const Poco::TemporaryFile folder;
    Poco::File(folder.path()).createDirectory();
    setenv("TMPDIR", folder.path().c_str(), 1);
    Server a, b;
    Discovery discovery(two(a, b));
    std::string config = config_text(discovery.address(), two(a, b));
    const std::string any = R"("listen":"127.0.0.1:0")";
    std::string address;
    {
        Poco::Net::ServerSocket reserved(Poco::Net::SocketAddress("127.0.0.1", 0));
        address = reserved.address().toString();
    }
    config.replace(config.find(any), any.size(), R"("listen":")" + address + "\"");
    Gateway gateway(parse_config(config));
    EXPECT_EQ(Client(address).ask("/read").status, 200);
    for (int i = 0; i < 2; ++i) {    // as often as it happens
        Poco::Net::StreamSocket successor;
        successor.connect(unix_address(handover::socket_path_for(address)));
        successor.sendBytes("release\n", 8);
        char bytes[16] = {};
        EXPECT_EQ(successor.receiveBytes(bytes, sizeof bytes), 9);
        EXPECT_STREQ(bytes, "released\n");
        EXPECT_FALSE(yes(call(gateway, "GET /ops/readiness")));
        successor.close();
        for (int t = 0; t < 400 && !yes(call(gateway, "GET /ops/readiness")); ++t)
            std::this_thread::sleep_for(5ms);
        Client client(address);
        EXPECT_EQ(client.ask("/read").status, 200);
        EXPECT_TRUE(client.ask("/read").keep_alive);
    }
    std::this_thread::sleep_for(800ms);    // past the end of a stop
    EXPECT_EQ(Client(address).ask("/read").status, 200);
    unsetenv("TMPDIR");
}

}    // namespace
}    // namespace shaletray::test
