// One test for each of the five rules on real sockets, and what an operator does to a gateway.
#include "balancer/service/gateway_rig.h"

namespace shaletray::test {
namespace {

TEST(Rules, OneEveryRequestTakenGetsOneFinalAnswer) {
    Server silent(Server::Mode::Hang), good;
    {
        Discovery discovery(member("a", silent.stub.address()));
        Gateway gateway(discovery.address(), member("a", silent.stub.address()));
        const Answer late = Client(gateway).ask("/submit", "open", "400m");
        EXPECT_NE(late.status, 200);
        const Counters& counters = gateway.end();
        EXPECT_EQ(counters.requests_accepted, 1U);
        EXPECT_EQ(counters.requests_overdue, 0U);    // the module answered, not the engine's guard
    }
    silent.over = true;
    Discovery discovery(member("b", good.stub.address()));
    Gateway gateway(discovery.address(), member("b", good.stub.address()));
    Client client(gateway);
    const std::string body(60'000, 'x');
    EXPECT_EQ(client.ask("/submit", "open", "1500m", body).body, "id-1:" + body);
    EXPECT_EQ(client.ask("/read").body, "id-2:");
    EXPECT_EQ(client.ask("/health/ready").status, 200);
}

TEST(Rules, TwoARequestThatMayHaveRunIsNeitherRepeatedNorRefused) {
    Server a(Server::Mode::Reset), b(Server::Mode::Reset);
    Discovery discovery(two(a, b));
    Gateway gateway(discovery.address(), two(a, b));
    const Answer answer = Client(gateway).ask("/pay");
    EXPECT_EQ(answer.status, 502);    // 429 or 503 would say that trying again is harmless
    EXPECT_EQ(a.requests + b.requests, 1);
    EXPECT_EQ(gateway.end().outcomes[static_cast<std::size_t>(Outcome::Reset)], 1U);
}

// The line is written before the request: in whichever order the sockets come up, the list is read first.
TEST(Rules, ThreeNothingNewGoesToADrainedServer) {
    Server a, b;
    Discovery discovery(two(a, b));
    Gateway gateway(discovery.address(), two(a, b));
    Client client(gateway);
    while (a.requests == 0) ASSERT_EQ(client.ask("/read").status, 200);
    discovery.tell(member("a", a.stub.address(), "terminating"));
    const int before = a.requests;
    for (int i = 0; i < 20; ++i) EXPECT_EQ(client.ask("/read").status, 200);
    EXPECT_EQ(a.requests, before);
    EXPECT_GE(b.requests, 20);
}

TEST(Rules, FourAColdServerGetsNothingBeyondWhatTheModuleAsks) {
    Server warm, cold;
    const long now = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
    const std::string members =
        member("a", warm.stub.address()) + "," + member("b", cold.stub.address(), "in_service", now);
    Discovery discovery(members);
    Gateway gateway(discovery.address(), members);
    Client client(gateway);
    for (int i = 0; i < 60; ++i) EXPECT_EQ(client.ask("/read").status, 200);
    EXPECT_LT(cold.requests * 2, warm.requests);
    EXPECT_LE(cold.stub.connections(), cold.requests);    // nothing is dialled ahead
    EXPECT_EQ(gateway.end().attempts_sent, static_cast<Counters::Counter>(warm.requests + cold.requests));
}

TEST(Rules, FiveACustomersCeilingHolds) {
    Server server;
    Discovery discovery(member("a", server.stub.address()));
    const auto start = std::chrono::steady_clock::now();
    Gateway gateway(discovery.address(), member("a", server.stub.address()));
    std::atomic<int> refused{0}, advised{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < 8; ++i) {
        clients.emplace_back([&] {
            Client client(gateway);
            for (int k = 0; k < 4; ++k) {
                const Answer answer = client.ask("/read", "capped");
                refused += answer.status == 429;
                advised += !answer.retry_after.empty();
            }
        });
    }
    for (std::thread& client : clients) client.join();
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
    EXPECT_LE(2.0 * server.requests, 8.0 + 4.0 * took.count() + 1.0);
    EXPECT_GT(refused, 0);
    EXPECT_GE(refused, advised);
}

// The guess is 2 units; 6 are there and never come back. Charged the true 3, the second try leaves 0.
TEST(Rules, TheQuotaIsChargedTheTrueUnitsThatAnswersTell) {
    for (const int cost : {3, 0}) {
        Server server;
        server.cost = cost;
        Discovery discovery(member("a", server.stub.address()));
        Gateway gateway(discovery.address(), member("a", server.stub.address()), settled(kSettings));
        Client client(gateway);
        int served = 0;
        for (int i = 0; i < 6; ++i) served += client.ask("/read", "metered").status == 200;
        const Counters& counters = gateway.end();
        EXPECT_EQ(served, cost > 0 ? 2 : 3) << "told " << cost;
        EXPECT_EQ(counters.units_settled, cost > 0 ? 2U : 0U);
        EXPECT_EQ(counters.units_unreported, cost > 0 ? 0U : 3U);    // the guess was charged
    }
}

TEST(Operations, AStopAnswersWhatWasTakenAndEndsTheConnection) {
    Server slow(Server::Mode::Slow);
    Discovery discovery(member("a", slow.stub.address()));
    Gateway gateway(discovery.address(), member("a", slow.stub.address()));
    Client client(gateway), late(gateway);
    std::thread stopper([&] {
        while (slow.requests == 0) std::this_thread::sleep_for(1ms);
        gateway.stop();
    });
    const Answer answer = client.ask("/read");
    stopper.join();
    EXPECT_EQ(answer.status, 200);
    EXPECT_FALSE(answer.keep_alive);
    EXPECT_EQ(late.ask("/health/ready").status, 503);    // still accepted, and told to go elsewhere
    gateway.end();
}

// A handler left for writing would end every wait at once; see Stream::watch_for. A tenth of that is allowed.
TEST(Operations, AKeptConnectionDoesNotKeepTheGatewayBusy) {
    Server server;
    Discovery discovery(member("a", server.stub.address()));
    Gateway gateway(discovery.address(), member("a", server.stub.address()));
    EXPECT_EQ(Client(gateway).ask("/read").status, 200);
    const long before = gateway.turns;
    const auto start = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(300ms);
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
    EXPECT_LT(static_cast<double>(gateway.turns - before), 500.0 * took.count());
}

TEST(Operations, AWatchThatBreaksIsBegunAnewAndBringsWhatWasMissed) {
    Server a, b;
    Discovery discovery(two(a, b));
    Gateway gateway(discovery.address(), two(a, b));
    Client client(gateway);
    EXPECT_EQ(client.ask("/read").status, 200);
    discovery.hang_up();
    discovery.tell(member("a", a.stub.address(), "terminated"));
    const int before = a.requests;
    for (int i = 0; i < 10; ++i) EXPECT_EQ(client.ask("/read").status, 200);
    EXPECT_EQ(a.requests, before);
    EXPECT_GE(gateway.end().discovery_watches, 2U);
}

// The whole program: without a handler SIGHUP ends it, and a discovery from the environment would go before
// the new file's. What cannot be read must change nothing.
// An address may pass to another process, and a connection kept from the last one leads nowhere.
TEST(Operations, AKeptConnectionIsNotUsedOnceItsServerStartedAnew) {
    Server server;
    Discovery discovery(member("a", server.stub.address()));
    Gateway gateway(discovery.address(), member("a", server.stub.address()));
    Client client(gateway);
    EXPECT_EQ(client.ask("/read").status, 200);
    std::this_thread::sleep_for(5ms);    // it may be used again now
    discovery.tell(member("a", server.stub.address(), "in_service", 1000));
    EXPECT_EQ(client.ask("/read").status, 200);
    EXPECT_EQ(gateway.end().server_connections_dialled, 2U);
}

TEST(Operations, AReloadMovesToTheNewDiscoveryAndABadFileChangesNothing) {
    Server a, b;
    Discovery first(member("a", a.stub.address())), second(member("b", b.stub.address()));
    const Poco::TemporaryFile file, own;
    std::ofstream(own.path()) << "";
    const auto write = [&](const std::string& text) { std::ofstream(file.path()) << text; };
    write(config_text(first.address(), member("a", a.stub.address())));
    Poco::Pipe errors;
    Poco::ProcessHandle program = Poco::Process::launch(SHALETRAY, {}, {}, nullptr, nullptr, &errors,
                                                        {{"EDGE_CONFIG", file.path()},
                                                         {"EDGE_DISCOVERY", first.address()},
                                                         {"SHALETRAY_LOG", "info"},
                                                         {"SHALETRAY_SETTINGS", own.path()}});
    Poco::PipeInputStream log(errors);
    const auto logged = [&](const std::string& text) {
        std::string line;
        while (std::getline(log, line) && line.find(text) == std::string::npos) {
        }
        return line;
    };
    const std::string listens = logged(" address=");
    Client client(listens.substr(listens.rfind('=') + 1));
    EXPECT_EQ(client.ask("/read").status, 200);
    EXPECT_EQ(a.requests, 1);
    write("{");
    kill(program.id(), SIGHUP);
    EXPECT_NE(logged("event=reload.failed"), "");
    EXPECT_EQ(client.ask("/read").status, 200);    // on the same connection
    write(config_text(second.address()));
    kill(program.id(), SIGHUP);
    EXPECT_NE(logged("event=discovery.moved"), "");
    while (b.requests == 0) ASSERT_EQ(client.ask("/read").status, 200);
    std::ofstream(own.path()) << "log: form: \"json\"\n";
    kill(program.id(), SIGHUP);
    EXPECT_NE(logged("\"event\":\"reload.nothing\""), "");
    std::ofstream(own.path()) << "log: level: \"error\"\n";
    kill(program.id(), SIGHUP);
    kill(program.id(), SIGTERM);
    EXPECT_NE(logged("reloads: done=1 failed=1"), "");
    EXPECT_EQ(program.wait(), 0);
}

TEST(Operations, MailFromStrangersIsDropped) {
    Discovery discovery("");
    Gateway gateway(discovery.address(), "");
    Poco::Net::DatagramSocket stranger(Poco::Net::SocketAddress("127.0.0.1", 0));
    const std::string mail(200, '\x01'), long_mail(300, '\x01');
    for (const std::string& text : {mail, long_mail, std::string()})
        stranger.sendTo(text.data(), static_cast<int>(text.size()),
                        Poco::Net::SocketAddress(gateway.peer_address()));
    const Counters& counters = gateway.end();    // its last turns come after what was sent before
    EXPECT_EQ(counters.peer_messages_dropped, 3U);
    EXPECT_EQ(counters.peer_messages_received, 0U);
}

// As resets they would put their server out of use at once, as if its process had ended.
TEST(Operations, SpoiltAnswersAreErrorsAndTheirServerStaysInUse) {
    std::string endless;
    for (int i = 0; i < 40; ++i) endless += "HTTP/1.1 102 Processing\r\n\r\n";
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    for (const std::string& answer :
         {std::string("\x01noise\r\n\r\n"), ok + "Content-Length: 3000000000\r\n\r\nabc",
          ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
          endless + ok + "Content-Length: 2\r\n\r\nab", ok + "Pad: " + std::string(20'000, 'p'),
          "HTTP/1.1 500 E\r\nContent-Length: 900000\r\n\r\n" + std::string(100'000, 'l')}) {
        RawServer spoilt(answer);
        Discovery discovery(member("a", spoilt.address()));
        Gateway gateway(discovery.address(), member("a", spoilt.address()));
        EXPECT_NE(Client(gateway).ask("/pay").status, 200);
        const Counters& counters = gateway.end();
        EXPECT_EQ(counters.outcomes[static_cast<std::size_t>(Outcome::Error)], 1U);
        EXPECT_EQ(counters.malformed_answers, 1U);
        EXPECT_EQ(counters.health_checks, 0U);
    }
}

// Whatever comes behind a good answer must not be taken for the next one.
TEST(Operations, WhatComesBehindAGoodAnswerIsNotTakenForTheNextOne) {
    const std::string good =
        "HTTP/1.1 200 OK\r\nX-Backend-Load: x=y,=,recent_ms=-1\r\nContent-Length: 2\r\n\r\n";
    RawServer server("HTTP/1.1 100 Continue\r\n\r\n" + good + "ab" + good + "cd");
    Discovery discovery(member("a", server.address()));
    Gateway gateway(discovery.address(), member("a", server.address()));
    Client client(gateway);
    for (int i = 0; i < 3; ++i) EXPECT_EQ(client.ask("/read").body, "ab");
    EXPECT_EQ(gateway.end().server_connections_dialled, 3U);
}

TEST(Operations, AnAnswerWithoutALengthEndsWithItsConnection) {
    int asked = 0;
    HttpStub server([&](HTTPServerRequest&, HTTPServerResponse& response) {
        ++asked;
        response.setKeepAlive(false);
        response.send() << "until the end";
    });
    Discovery discovery(member("a", server.address()));
    Gateway gateway(discovery.address(), member("a", server.address()));
    Client client(gateway);
    for (int i = 0; i < 2; ++i) EXPECT_EQ(client.ask("/pay").body, "until the end");
    EXPECT_EQ(asked, 2);
    EXPECT_EQ(gateway.end().server_connections_dialled, 2U);
}

// Far more than the gateway holds of one: the client reads nothing until much of it must have been stopped.
TEST(Operations, LongAnswersArePassedOnInPiecesWhateverTheirFraming) {
    std::string body;
    for (int i = 0; body.size() < 8'000'000; ++i) body += fmt::format("{} ", i);
    std::string how;
    HttpStub server([&](HTTPServerRequest&, HTTPServerResponse& response) {
        if (how == "length" || how == "short")
            response.setContentLength64(static_cast<Poco::Int64>(body.size()));
        else response.setChunkedTransferEncoding(how == "chunks");
        response.setKeepAlive(how == "length" || how == "chunks");
        response.send() << (how == "short" ? body.substr(0, 500'000) : body) << std::flush;
    });
    Discovery discovery(member("a", server.address()));
    Gateway gateway(discovery.address(), member("a", server.address()));
    int asked = 0;
    for (const char* one : {"length", "chunks", "close", "length"}) {
        how = one;
        Client client(gateway);
        const Answer got = client.ask("/read");
        EXPECT_EQ(got.status, 200) << how;
        EXPECT_EQ(got.body.size(), body.size()) << how;
        EXPECT_TRUE(got.body == body) << how;
        EXPECT_EQ(client.ask("/health/ready").status, 200) << how;    // on the same connection
        const Talk slow(gateway, fmt::format("GET /read HTTP/1.1\r\nX-Correlation-Id: s{}\r\nX-Tier: open\r\n"
                                             "Cookie: customer=00000000b4d65521\r\nConnection: close\r\n"
                                             "X-Call-Terms: units=2,spread=1,first=0\r\n\r\n",
                                             ++asked));
        std::this_thread::sleep_for(100ms);
        const std::string rest = slow.rest();
        EXPECT_GE(rest.size(), body.size()) << how;
        EXPECT_TRUE(rest.starts_with("HTTP/1.1 200 "));
    }
    how = "short";    // the client can tell
    const Answer cut = Client(gateway).ask("/read");
    EXPECT_LT(cut.body.size(), body.size());
    {
        how = "length";
        const Talk leaves(gateway,
                          "GET /read HTTP/1.1\r\nX-Correlation-Id: l\r\nX-Tier: open\r\n"
                          "Cookie: customer=00000000b4d65521\r\n"
                          "X-Call-Terms: units=2,spread=1,first=0\r\n\r\n");
        std::this_thread::sleep_for(50ms);
    }
    EXPECT_TRUE(Client(gateway).ask("/read").body == body);
    const Counters& counters = gateway.end();
    EXPECT_EQ(counters.streamed_answers, 11U);
    EXPECT_EQ(counters.broken_streamed_answers, 1U);
    EXPECT_EQ(counters.open_streamed_answers, 0U);
}

std::string long_request(const std::string& framing, int id) {
    return fmt::format(
        "POST /submit HTTP/1.1\r\nX-Correlation-Id: u{}\r\nX-Tier: open\r\nCookie: "
        "customer=00000000b4d65521\r\n"
        "X-Call-Terms: units=2,spread=1,first=0\r\nIdempotency-Key: k\r\nConnection: close\r\n{}\r\n\r\n",
        id, framing);
}

// One server of the two is not there: its attempts end before the first part is written, and another follows.
TEST(Operations, LongRequestsArePassedOnInPiecesWhateverTheirFraming) {
    std::string body;
    for (int i = 0; body.size() < 8'000'000; ++i) body += fmt::format("{} ", i);
    std::string got;
    bool slow = false;
    HttpStub server([&](HTTPServerRequest& request, HTTPServerResponse& response) {
        if (slow) std::this_thread::sleep_for(200ms);
        got.clear();
        Poco::StreamCopier::copyToString(request.stream(), got);
        response.setContentLength(2);
        response.send() << "ok";
    });
    const std::string both = member("a", server.address()) + "," + member("gone", "127.0.0.1:1");
    Discovery discovery(both);
    for (int round = 0; round < 4; ++round) {
        GatewayConfig config = parse_config(config_text(discovery.address(), both));
        const bool holds = round < 2;    // until it is whole
        config.max_memory_mb = holds ? 192 : 32;
        Gateway gateway(config);
        slow = round % 2 == 1;
        Client client(gateway);
        EXPECT_EQ(client.ask("/submit", "open", "1500m", body).body, "ok");
        EXPECT_TRUE(got == body) << round;
        EXPECT_EQ(client.ask("/health/ready").status, 200);    // on the same connection
        Talk chunks(gateway, long_request("Transfer-Encoding: chunked", round));
        for (std::size_t at = 0; at < body.size(); at += 300'007) {
            const std::string piece = body.substr(at, 300'007);
            chunks.say(fmt::format("{:x}\r\n{}\r\n", piece.size(), piece));
        }
        chunks.say("0\r\n\r\n");
        EXPECT_TRUE(chunks.rest().ends_with("\r\n\r\nok"));
        EXPECT_TRUE(got == body) << round;
        const Counters& counters = gateway.end();
        EXPECT_EQ(counters.streamed_uploads, holds ? 0U : 2U);
        EXPECT_EQ(counters.classes.at("submit").answered, 2U);
    }
}

// A server that ends the connection in the middle has not run the request: refused at once, or tried again
// by nobody. A client that stands still is told, and one that leaves takes its attempt along.
TEST(Operations, ALongRequestThatBreaksOffIsAnsweredOnceAndSentOnByNobody) {
    std::string how;
    std::atomic<int> whole{0}, cut{0};
    HttpStub server([&](HTTPServerRequest& request, HTTPServerResponse& response) {
        if (how == "breaks") {
            auto& real = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request);
            real.socket().setLinger(true, 0);
            real.detachSocket().close();
            return;
        }
        std::string got;
        Poco::StreamCopier::copyToString(request.stream(), got);
        ++(got.size() == 1'000'000 ? whole : cut);
        response.setContentLength(2);
        response.send() << "ok";
    });
    Discovery discovery(member("a", server.address()));
    GatewayConfig config = parse_config(config_text(discovery.address(), member("a", server.address())));
    config.max_memory_mb = 4;    // none of this size is held
    Gateway gateway(config);
    const std::string head = long_request("Content-Length: 1000000", 1), part(200'000, 'x');
    how = "breaks";
    EXPECT_TRUE(Talk(gateway, head + part).rest().starts_with("HTTP/1.1 429"));
    how = "reads";
    {
        const auto begun = std::chrono::steady_clock::now();
        EXPECT_TRUE(Talk(gateway, head + part).rest().starts_with("HTTP/1.1 408"));
        EXPECT_LT(std::chrono::steady_clock::now() - begun, 8s);
    }
    { const Talk leaves(gateway, head + part); }
    EXPECT_EQ(Client(gateway).ask("/submit", "open", "1500m", std::string(1'000'000, 'x')).body, "ok");
    for (int i = 0; i < 1000 && cut < 2; ++i) std::this_thread::sleep_for(5ms);
    EXPECT_EQ(whole, 1);
    EXPECT_EQ(cut, 2);
    const Counters& counters = gateway.end();
    EXPECT_EQ(counters.streamed_uploads, 4U);
    EXPECT_EQ(counters.attempts_written, 1U);
    EXPECT_EQ(counters.classes.at("submit").dropped, 1U);
}

TEST(Operations, AClientMayTakeTwoSecondsForAHeadAndThenSomeForItsBody) {
    Server server;
    Discovery discovery(member("a", server.stub.address()));
    Gateway gateway(discovery.address(), member("a", server.stub.address()));
    Talk slow(gateway,
              "POST http://api.internal/submit HTTP/1.1\r\nX-Correlation-Id: 9b\r\nX-Tier: open\r\n");
    std::this_thread::sleep_for(1900ms);
    slow.say(
        "Cookie: customer=00000000b4d65521\r\nX-Call-Terms: units=2,spread=1,first=0\r\n"
        "Idempotency-Key: k\r\nConnection: close\r\nContent-Length: 4\r\n\r\nab");
    std::this_thread::sleep_for(1300ms);
    slow.say("cd");
    EXPECT_TRUE(slow.rest().ends_with("\r\n\r\n9b:abcd"));
}

// They hold a descriptor each, and there may be hundreds of them.
TEST(Operations, ClientsThatSayNothingOrHalfARequestAreNotWaitedForLong) {
    Discovery discovery("");
    Gateway gateway(discovery.address(), "");
    const auto start = std::chrono::steady_clock::now();
    const Talk silent(gateway, ""), half(gateway, "GET /read HTTP/1.1\r\nHost:");
    EXPECT_EQ(silent.rest(), "");
    EXPECT_TRUE(half.rest().starts_with("HTTP/1.1 408 "));
    // Far from both the two seconds that it should take and the minutes that idle clients may stay.
    EXPECT_LT(std::chrono::steady_clock::now() - start, 20s);
}

TEST(Operations, AUsualClientStaysWhileSilentOnesFillTheDescriptors) {
    Server server;
    Discovery discovery(member("a", server.stub.address()));
    Gateway gateway(discovery.address(), member("a", server.stub.address()));
    Client usual(gateway);
    for (int i = 0; i < 2; ++i) EXPECT_EQ(usual.ask("/read").status, 200);
    std::vector<std::unique_ptr<Talk>> silent;    // more than there is room for
    for (int i = 0; i < 200; ++i) silent.push_back(std::make_unique<Talk>(gateway, ""));
    EXPECT_EQ(Client(gateway).ask("/read").status, 200);
    EXPECT_EQ(usual.ask("/read").status, 200);
    EXPECT_EQ(gateway.end().clients_accepted, 202U);    // it did not have to come again
}

// Found on rf527bf: clients that may hold only so many connections waited while those that asked once stood
// idle.
TEST(Operations, InACrowdThatAsksOnceAnAnswerEndsTheConnection) {
    Server server;
    Discovery discovery(member("a", server.stub.address()));
    Gateway gateway(discovery.address(), member("a", server.stub.address()));
    Client usual(gateway);
    EXPECT_TRUE(usual.ask("/read").keep_alive);
    EXPECT_TRUE(usual.ask("/read").keep_alive);
    std::vector<std::unique_ptr<Client>> crowd;
    for (int i = 0; i < 20; ++i) {    // more than a sixteenth of the descriptors
        crowd.push_back(std::make_unique<Client>(gateway));
        crowd.back()->ask(i % 2 == 0 ? "/read" : "/health/ready");
    }
    EXPECT_FALSE(Client(gateway).ask("/read").keep_alive);
    EXPECT_FALSE(Client(gateway).ask("/health/ready").keep_alive);
    EXPECT_TRUE(usual.ask("/read").keep_alive);
}

// A server could take the second for a copy of the first.
TEST(Operations, AnIdIsNotSentOnASecondTimeWhileItsRequestIsOpen) {
    Server slow(Server::Mode::Slow);
    Discovery discovery(member("a", slow.stub.address()));
    Gateway gateway(discovery.address(), member("a", slow.stub.address()));
    const std::string ask =
        "GET /read HTTP/1.1\r\nX-Correlation-Id: 9b\r\nX-Tier: open\r\nCookie: customer=00000000b4d65521\r\n"
        "X-Call-Terms: units=2,spread=1,first=0\r\nConnection: close\r\n\r\n";
    const Talk first(gateway, ask);
    while (slow.requests == 0) std::this_thread::sleep_for(1ms);
    EXPECT_TRUE(Talk(gateway, ask).rest().starts_with("HTTP/1.1 409 "));
    EXPECT_TRUE(first.rest().starts_with("HTTP/1.1 200 "));
    EXPECT_TRUE(Talk(gateway, ask).rest().starts_with("HTTP/1.1 200 "));    // it is free again
}

TEST(Operations, BadInputIsAnsweredAndTheConnectionClosed) {
    Discovery discovery("");
    Gateway gateway(discovery.address(), "");
    const struct {
        std::string text, start;
    } cases[] = {{"nonsense\r\n\r\n", "HTTP/1.1 400 "},
                 {"GET /other HTTP/1.1\r\n\r\n", "HTTP/1.1 404 "},
                 {"POST /submit HTTP/1.1\r\nContent-Length: 67108865\r\n\r\n", "HTTP/1.1 413 "},
                 {"GET /read HTTP/1.1\r\nA: " + std::string(20'000, 'x'), "HTTP/1.1 431 "},
                 {"GET /health/ready HTTP/1.0\r\n\r\n", "HTTP/1.1 503 "}};
    for (const auto& c : cases) {
        const std::string answer = Talk(gateway, c.text).rest();
        EXPECT_TRUE(answer.starts_with(c.start)) << answer;
        EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    }
}

}    // namespace
}    // namespace shaletray::test
