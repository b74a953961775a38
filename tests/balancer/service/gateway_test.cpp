// Tests of a whole gateway on real sockets: its guarantees for requests and quotas, and its operation.
#include "balancer/service/gateway_fixture.h"

namespace shaletray::test {
namespace {

TEST(Guarantees, EveryAcceptedRequestGetsOneFinalAnswer) {
    StubServer silent(StubServer::Mode::Hang), good;
    {
        DiscoveryStub discovery(member("a", silent.stub.address()));
        Gateway gateway(discovery.address(), member("a", silent.stub.address()));
        const Answer late = Client(gateway).send_request("/submit", "open", "400m");
        EXPECT_NE(late.status, 200);
        const Counters& counters = gateway.stop_and_join();
        EXPECT_EQ(counters.requests_accepted, 1U);
        EXPECT_EQ(counters.requests_overdue,
                  0U);    // the decision module answered, not the engine's fallback timeout
    }
    silent.is_stopping = true;
    DiscoveryStub discovery(member("b", good.stub.address()));
    Gateway gateway(discovery.address(), member("b", good.stub.address()));
    Client client(gateway);
    const std::string body(60'000, 'x');
    EXPECT_EQ(client.send_request("/submit", "open", "1500m", body).body, "id-1:" + body);
    EXPECT_EQ(client.send_request("/read").body, "id-2:");
    EXPECT_EQ(client.send_request("/health/ready").status, 200);
}

TEST(Guarantees, PossiblyExecutedRequestIsNeitherRetriedNorRefused) {
    StubServer a(StubServer::Mode::Reset), b(StubServer::Mode::Reset);
    DiscoveryStub discovery(member_entries(a, b));
    Gateway gateway(discovery.address(), member_entries(a, b));
    const Answer answer = Client(gateway).send_request("/pay");
    EXPECT_EQ(answer.status, 502);    // 429 or 503 would tell the client that a retry is safe
    EXPECT_EQ(a.requests + b.requests, 1);
    EXPECT_EQ(gateway.stop_and_join().outcomes[static_cast<std::size_t>(Outcome::Reset)], 1U);
}

// The change is written before the request: whichever socket becomes readable first, the list must be read
// first.
TEST(Guarantees, DrainedServerGetsNoNewRequests) {
    StubServer a, b;
    DiscoveryStub discovery(member_entries(a, b));
    Gateway gateway(discovery.address(), member_entries(a, b));
    Client client(gateway);
    while (a.requests == 0) ASSERT_EQ(client.send_request("/read").status, 200);
    discovery.announce(member("a", a.stub.address(), "terminating"));
    const int before = a.requests;
    for (int i = 0; i < 20; ++i) EXPECT_EQ(client.send_request("/read").status, 200);
    EXPECT_EQ(a.requests, before);
    EXPECT_GE(b.requests, 20);
}

TEST(Guarantees, ColdServerGetsOnlyWhatTheDecisionModuleSends) {
    StubServer warm, cold;
    const long now = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
    const std::string members =
        member("a", warm.stub.address()) + "," + member("b", cold.stub.address(), "in_service", now);
    DiscoveryStub discovery(members);
    Gateway gateway(discovery.address(), members);
    Client client(gateway);
    for (int i = 0; i < 60; ++i) EXPECT_EQ(client.send_request("/read").status, 200);
    EXPECT_LT(cold.requests * 2, warm.requests);
    EXPECT_LE(cold.stub.connections(), cold.requests);    // no connection is opened in advance
    EXPECT_EQ(gateway.stop_and_join().attempts_sent,
              static_cast<Counters::Counter>(warm.requests + cold.requests));
}

TEST(Guarantees, HardLimitOfACustomerHolds) {
    StubServer server;
    DiscoveryStub discovery(member("a", server.stub.address()));
    const auto start = std::chrono::steady_clock::now();
    Gateway gateway(discovery.address(), member("a", server.stub.address()));
    std::atomic<int> refused{0}, with_retry_after{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < 8; ++i) {
        clients.emplace_back([&] {
            Client client(gateway);
            for (int k = 0; k < 4; ++k) {
                const Answer answer = client.send_request("/read", "capped");
                refused += answer.status == 429;
                with_retry_after += !answer.retry_after.empty();
            }
        });
    }
    for (std::thread& client : clients) client.join();
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
    EXPECT_LE(2.0 * server.requests, 8.0 + 4.0 * took.count() + 1.0);
    EXPECT_GT(refused, 0);
    EXPECT_GE(refused, with_retry_after);
}

// Requests are estimated at 2 units, and the quota of 6 practically does not refill. Charged the actual 3
// units, two requests exhaust it; charged the estimate, three do.
TEST(Guarantees, QuotaIsChargedTheUnitsThatResponsesReport) {
    for (const int units : {3, 0}) {
        StubServer server;
        server.reported_units = units;
        DiscoveryStub discovery(member("a", server.stub.address()));
        Gateway gateway(discovery.address(), member("a", server.stub.address()), settled(kSettings));
        Client client(gateway);
        int served = 0;
        for (int i = 0; i < 6; ++i) served += client.send_request("/read", "metered").status == 200;
        const Counters& counters = gateway.stop_and_join();
        EXPECT_EQ(served, units > 0 ? 2 : 3) << "reported " << units;
        EXPECT_EQ(counters.units_settled, units > 0 ? 2U : 0U);
        EXPECT_EQ(counters.units_unreported, units > 0 ? 0U : 3U);    // the estimate was charged
    }
}

TEST(Operations, ShutdownAnswersAcceptedRequestsAndClosesConnections) {
    StubServer slow(StubServer::Mode::Slow);
    DiscoveryStub discovery(member("a", slow.stub.address()));
    Gateway gateway(discovery.address(), member("a", slow.stub.address()));
    Client client(gateway), late(gateway);
    std::thread stopper([&] {
        while (slow.requests == 0) std::this_thread::sleep_for(1ms);
        gateway.stop();
    });
    const Answer answer = client.send_request("/read");
    stopper.join();
    EXPECT_EQ(answer.status, 200);
    EXPECT_FALSE(answer.keep_alive);
    EXPECT_EQ(late.send_request("/health/ready").status, 503);    // still accepted, and reported as not ready
    gateway.stop_and_join();
}

// A write handler that stays registered would end every poll at once; see Stream::watch_for. Allows a tenth
// of the iterations that this would cause.
TEST(Operations, IdleConnectionDoesNotKeepTheGatewayBusy) {
    StubServer server;
    DiscoveryStub discovery(member("a", server.stub.address()));
    Gateway gateway(discovery.address(), member("a", server.stub.address()));
    EXPECT_EQ(Client(gateway).send_request("/read").status, 200);
    const long before = gateway.iterations;
    const auto start = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(300ms);
    const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
    EXPECT_LT(static_cast<double>(gateway.iterations - before), 500.0 * took.count());
}

TEST(Operations, BrokenDiscoveryWatchReconnectsAndDeliversMissedChanges) {
    StubServer a, b;
    DiscoveryStub discovery(member_entries(a, b));
    Gateway gateway(discovery.address(), member_entries(a, b));
    Client client(gateway);
    EXPECT_EQ(client.send_request("/read").status, 200);
    discovery.close_watch();
    discovery.announce(member("a", a.stub.address(), "terminated"));
    const int before = a.requests;
    for (int i = 0; i < 10; ++i) EXPECT_EQ(client.send_request("/read").status, 200);
    EXPECT_EQ(a.requests, before);
    EXPECT_GE(gateway.stop_and_join().discovery_watches, 2U);
}

// An address may pass to another process, and pooled connections to the previous one no longer work.
TEST(Operations, PooledConnectionIsNotUsedAfterItsServerRestarted) {
    StubServer server;
    DiscoveryStub discovery(member("a", server.stub.address()));
    Gateway gateway(discovery.address(), member("a", server.stub.address()));
    Client client(gateway);
    EXPECT_EQ(client.send_request("/read").status, 200);
    std::this_thread::sleep_for(5ms);    // the connection is back in the pool
    discovery.announce(member("a", server.stub.address(), "in_service", 1000));
    EXPECT_EQ(client.send_request("/read").status, 200);
    EXPECT_EQ(gateway.stop_and_join().server_connections_dialled, 2U);
}

// Runs the whole program: without a signal handler SIGHUP would kill it. A discovery address from the
// environment must not override that of the reloaded file, and an unreadable file must change nothing.
TEST(Operations, ReloadChangesDiscoveryAndInvalidFileChangesNothing) {
    StubServer a, b;
    DiscoveryStub first(member("a", a.stub.address())), second(member("b", b.stub.address()));
    const Poco::TemporaryFile file, settings_file;
    std::ofstream(settings_file.path()) << "";
    const auto write = [&](const std::string& text) { std::ofstream(file.path()) << text; };
    write(config_text(first.address(), member("a", a.stub.address())));
    Poco::Pipe errors;
    Poco::ProcessHandle program = Poco::Process::launch(SHALETRAY, {}, {}, nullptr, nullptr, &errors,
                                                        {{"EDGE_CONFIG", file.path()},
                                                         {"EDGE_DISCOVERY", first.address()},
                                                         {"SHALETRAY_LOG", "info"},
                                                         {"SHALETRAY_SETTINGS", settings_file.path()}});
    Poco::PipeInputStream log(errors);
    const auto wait_for_log_line = [&](const std::string& text) {
        std::string line;
        while (std::getline(log, line) && line.find(text) == std::string::npos) {
        }
        return line;
    };
    const std::string listens = wait_for_log_line(" address=");
    Client client(listens.substr(listens.rfind('=') + 1));
    EXPECT_EQ(client.send_request("/read").status, 200);
    EXPECT_EQ(a.requests, 1);
    write("{");
    kill(program.id(), SIGHUP);
    EXPECT_NE(wait_for_log_line("event=reload.failed"), "");
    EXPECT_EQ(client.send_request("/read").status, 200);    // on the same connection
    write(config_text(second.address()));
    kill(program.id(), SIGHUP);
    EXPECT_NE(wait_for_log_line("event=discovery.moved"), "");
    while (b.requests == 0) ASSERT_EQ(client.send_request("/read").status, 200);
    std::ofstream(settings_file.path()) << "log: form: \"json\"\n";
    kill(program.id(), SIGHUP);
    EXPECT_NE(wait_for_log_line("\"event\":\"reload.nothing\""), "");
    std::ofstream(settings_file.path()) << "log: level: \"error\"\n";
    kill(program.id(), SIGHUP);
    kill(program.id(), SIGTERM);
    EXPECT_NE(wait_for_log_line("reloads: done=1 failed=1"), "");
    EXPECT_EQ(program.wait(), 0);
}

TEST(Operations, DatagramsFromUnknownPeersAreDropped) {
    DiscoveryStub discovery("");
    Gateway gateway(discovery.address(), "");
    Poco::Net::DatagramSocket unknown_peer(Poco::Net::SocketAddress("127.0.0.1", 0));
    const std::string datagram(200, '\x01'), oversized_datagram(300, '\x01');
    for (const std::string& text : {datagram, oversized_datagram, std::string()})
        unknown_peer.sendTo(text.data(), static_cast<int>(text.size()),
                            Poco::Net::SocketAddress(gateway.peer_address()));
    const Counters& counters =
        gateway.stop_and_join();    // the last iterations read all that was sent before
    EXPECT_EQ(counters.peer_messages_dropped, 3U);
    EXPECT_EQ(counters.peer_messages_received, 0U);
}

// Counted as resets, they would eject their server at once, as if its process had ended.
TEST(Operations, MalformedResponsesAreErrorsAndTheirServerStaysInUse) {
    std::string endless;
    for (int i = 0; i < 40; ++i) endless += "HTTP/1.1 102 Processing\r\n\r\n";
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    for (const std::string& answer :
         {std::string("\x01noise\r\n\r\n"), ok + "Content-Length: 3000000000\r\n\r\nabc",
          ok + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab",
          endless + ok + "Content-Length: 2\r\n\r\nab", ok + "Pad: " + std::string(20'000, 'p'),
          "HTTP/1.1 500 E\r\nContent-Length: 900000\r\n\r\n" + std::string(100'000, 'l')}) {
        RawServer malformed_server(answer);
        DiscoveryStub discovery(member("a", malformed_server.address()));
        Gateway gateway(discovery.address(), member("a", malformed_server.address()));
        EXPECT_NE(Client(gateway).send_request("/pay").status, 200);
        const Counters& counters = gateway.stop_and_join();
        EXPECT_EQ(counters.outcomes[static_cast<std::size_t>(Outcome::Error)], 1U);
        EXPECT_EQ(counters.malformed_answers, 1U);
        EXPECT_EQ(counters.health_checks, 0U);
    }
}

// Bytes after a complete response must not be read as the response to the next request.
TEST(Operations, ExtraBytesAfterAResponseAreNotTakenForTheNextOne) {
    const std::string good =
        "HTTP/1.1 200 OK\r\nX-Backend-Load: x=y,=,recent_ms=-1\r\nContent-Length: 2\r\n\r\n";
    RawServer server("HTTP/1.1 100 Continue\r\n\r\n" + good + "ab" + good + "cd");
    DiscoveryStub discovery(member("a", server.address()));
    Gateway gateway(discovery.address(), member("a", server.address()));
    Client client(gateway);
    for (int i = 0; i < 3; ++i) EXPECT_EQ(client.send_request("/read").body, "ab");
    EXPECT_EQ(gateway.stop_and_join().server_connections_dialled, 3U);
}

TEST(Operations, ResponseWithoutLengthEndsWithItsConnection) {
    int request_count = 0;
    HttpStub server([&](HTTPServerRequest&, HTTPServerResponse& response) {
        ++request_count;
        response.setKeepAlive(false);
        response.send() << "until the end";
    });
    DiscoveryStub discovery(member("a", server.address()));
    Gateway gateway(discovery.address(), member("a", server.address()));
    Client client(gateway);
    for (int i = 0; i < 2; ++i) EXPECT_EQ(client.send_request("/pay").body, "until the end");
    EXPECT_EQ(request_count, 2);
    EXPECT_EQ(gateway.stop_and_join().server_connections_dialled, 2U);
}

// The body is far larger than the buffer of a response: the slow client reads nothing until backpressure must
// have stopped the server.
TEST(Operations, LongResponsesAreStreamedWhateverTheirFraming) {
    std::string body;
    for (int i = 0; body.size() < 8'000'000; ++i) body += fmt::format("{} ", i);
    std::string mode;
    HttpStub server([&](HTTPServerRequest&, HTTPServerResponse& response) {
        if (mode == "length" || mode == "short")
            response.setContentLength64(static_cast<Poco::Int64>(body.size()));
        else response.setChunkedTransferEncoding(mode == "chunks");
        response.setKeepAlive(mode == "length" || mode == "chunks");
        response.send() << (mode == "short" ? body.substr(0, 500'000) : body) << std::flush;
    });
    DiscoveryStub discovery(member("a", server.address()));
    Gateway gateway(discovery.address(), member("a", server.address()));
    int request_count = 0;
    for (const char* framing : {"length", "chunks", "close", "length"}) {
        mode = framing;
        Client client(gateway);
        const Answer received = client.send_request("/read");
        EXPECT_EQ(received.status, 200) << mode;
        EXPECT_EQ(received.body.size(), body.size()) << mode;
        EXPECT_TRUE(received.body == body) << mode;
        EXPECT_EQ(client.send_request("/health/ready").status, 200) << mode;    // on the same connection
        const RawConnection slow(gateway,
                                 fmt::format("GET /read HTTP/1.1\r\nX-Correlation-Id: s{}\r\nX-Tier: open\r\n"
                                             "Cookie: customer=00000000b4d65521\r\nConnection: close\r\n"
                                             "X-Call-Terms: units=2,spread=1,first=0\r\n\r\n",
                                             ++request_count));
        std::this_thread::sleep_for(100ms);
        const std::string rest = slow.read_to_end();
        EXPECT_GE(rest.size(), body.size()) << mode;
        EXPECT_TRUE(rest.starts_with("HTTP/1.1 200 "));
    }
    mode = "short";    // the client can detect the truncation
    const Answer truncated = Client(gateway).send_request("/read");
    EXPECT_LT(truncated.body.size(), body.size());
    {
        mode = "length";
        const RawConnection leaving_client(gateway,
                                           "GET /read HTTP/1.1\r\nX-Correlation-Id: l\r\nX-Tier: open\r\n"
                                           "Cookie: customer=00000000b4d65521\r\n"
                                           "X-Call-Terms: units=2,spread=1,first=0\r\n\r\n");
        std::this_thread::sleep_for(50ms);
    }
    EXPECT_TRUE(Client(gateway).send_request("/read").body == body);
    const Counters& counters = gateway.stop_and_join();
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

// One of the two servers does not exist: attempts on it fail before the first part is written and are
// retried.
TEST(Operations, LongRequestsArePassedOnInPiecesWhateverTheirFraming) {
    std::string body;
    for (int i = 0; body.size() < 8'000'000; ++i) body += fmt::format("{} ", i);
    std::string received;
    bool slow = false;
    HttpStub server([&](HTTPServerRequest& request, HTTPServerResponse& response) {
        if (slow) std::this_thread::sleep_for(200ms);
        received.clear();
        Poco::StreamCopier::copyToString(request.stream(), received);
        response.setContentLength(2);
        response.send() << "ok";
    });
    const std::string both = member("a", server.address()) + "," + member("gone", "127.0.0.1:1");
    DiscoveryStub discovery(both);
    for (int round = 0; round < 4; ++round) {
        GatewayConfig config = parse_config(config_text(discovery.address(), both));
        const bool buffers_body = round < 2;    // until the body is complete
        config.max_memory_mb = buffers_body ? 192 : 32;
        Gateway gateway(config);
        slow = round % 2 == 1;
        Client client(gateway);
        EXPECT_EQ(client.send_request("/submit", "open", "1500m", body).body, "ok");
        EXPECT_TRUE(received == body) << round;
        EXPECT_EQ(client.send_request("/health/ready").status, 200);    // on the same connection
        RawConnection chunks(gateway, long_request("Transfer-Encoding: chunked", round));
        for (std::size_t at = 0; at < body.size(); at += 300'007) {
            const std::string piece = body.substr(at, 300'007);
            chunks.send(fmt::format("{:x}\r\n{}\r\n", piece.size(), piece));
        }
        chunks.send("0\r\n\r\n");
        EXPECT_TRUE(chunks.read_to_end().ends_with("\r\n\r\nok"));
        EXPECT_TRUE(received == body) << round;
        const Counters& counters = gateway.stop_and_join();
        EXPECT_EQ(counters.streamed_uploads, buffers_body ? 0U : 2U);
        EXPECT_EQ(counters.classes.at("submit").answered, 2U);
    }
}

// Guards against uploads that are refused and then submitted again with the tail of their body (issue 65):
// here each waits for units of its customer's quota until its time is up, while the rest of it arrives.
TEST(Operations, UploadRefusedAtItsQuotaIsNotSubmittedAgain) {
    const std::string body(150'000, 'x');
    std::atomic<int> served{0}, truncated{0};
    HttpStub server([&](HTTPServerRequest& request, HTTPServerResponse& response) {
        std::string received;
        Poco::StreamCopier::copyToString(request.stream(), received);
        const bool is_whole = request.getMethod() == "GET" || received == body;
        ++(is_whole ? served : truncated);
        response.setContentLength(2);
        response.send() << "ok";
    });
    DiscoveryStub discovery(member("a", server.address()));
    GatewayConfig config = parse_config(config_text(discovery.address(), member("a", server.address())));
    config.max_memory_mb = 1;    // too small to buffer this body
    Gateway gateway(config);
    Client client(gateway);
    int answered = 0, refused = 0;
    for (int i = 0; i < 12; ++i) answered += client.send_request("/read", "capped", "100m").status == 200;
    for (int i = 0; i < 6; ++i) {
        const Answer answer = client.send_request("/submit", "capped", "200m", body);
        EXPECT_TRUE(answer.status == 200 || answer.status == 429) << answer.status;
        ++(answer.status == 200 ? answered : refused);
        EXPECT_EQ(client.send_request("/health/ready").body, "ready\n");
    }
    const Counters& counters = gateway.stop_and_join();
    EXPECT_EQ(truncated, 0);
    EXPECT_EQ(served, answered);
    EXPECT_GT(refused, 0);
    EXPECT_GT(counters.uploads_answered_received, 0U);
    EXPECT_LE(counters.requests_submitted, counters.request_heads_read);
}

// A server that closes the connection during an upload has not executed the request: it is refused at once
// and not retried. A client that stalls gets status 408, and the attempt of a client that disconnects is
// cancelled.
TEST(Operations, InterruptedUploadIsAnsweredOnceAndNotRetried) {
    std::string mode;
    std::atomic<int> complete_uploads{0}, interrupted_uploads{0};
    HttpStub server([&](HTTPServerRequest& request, HTTPServerResponse& response) {
        if (mode == "breaks") {
            auto& real = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request);
            real.socket().setLinger(true, 0);
            real.detachSocket().close();
            return;
        }
        std::string received;
        Poco::StreamCopier::copyToString(request.stream(), received);
        ++(received.size() == 1'000'000 ? complete_uploads : interrupted_uploads);
        response.setContentLength(2);
        response.send() << "ok";
    });
    DiscoveryStub discovery(member("a", server.address()));
    GatewayConfig config = parse_config(config_text(discovery.address(), member("a", server.address())));
    config.max_memory_mb = 4;    // too small to buffer this body
    Gateway gateway(config);
    const std::string head = long_request("Content-Length: 1000000", 1), part(200'000, 'x');
    mode = "breaks";
    EXPECT_TRUE(RawConnection(gateway, head + part).read_to_end().starts_with("HTTP/1.1 429"));
    mode = "reads";
    {
        const auto start = std::chrono::steady_clock::now();
        EXPECT_TRUE(RawConnection(gateway, head + part).read_to_end().starts_with("HTTP/1.1 408"));
        EXPECT_LT(std::chrono::steady_clock::now() - start, 8s);
    }
    { const RawConnection leaving_client(gateway, head + part); }
    EXPECT_EQ(Client(gateway).send_request("/submit", "open", "1500m", std::string(1'000'000, 'x')).body,
              "ok");
    for (int i = 0; i < 1000 && interrupted_uploads < 2; ++i) std::this_thread::sleep_for(5ms);
    EXPECT_EQ(complete_uploads, 1);
    EXPECT_EQ(interrupted_uploads, 2);
    const Counters& counters = gateway.stop_and_join();
    EXPECT_EQ(counters.streamed_uploads, 4U);
    EXPECT_EQ(counters.attempts_written, 1U);
    EXPECT_EQ(counters.classes.at("submit").dropped, 1U);
}

TEST(Operations, RequestHeadMayTakeTwoSecondsAndItsBodyLonger) {
    StubServer server;
    DiscoveryStub discovery(member("a", server.stub.address()));
    Gateway gateway(discovery.address(), member("a", server.stub.address()));
    RawConnection slow(
        gateway, "POST http://api.internal/submit HTTP/1.1\r\nX-Correlation-Id: 9b\r\nX-Tier: open\r\n");
    std::this_thread::sleep_for(1900ms);
    slow.send(
        "Cookie: customer=00000000b4d65521\r\nX-Call-Terms: units=2,spread=1,first=0\r\n"
        "Idempotency-Key: k\r\nConnection: close\r\nContent-Length: 4\r\n\r\nab");
    std::this_thread::sleep_for(1300ms);
    slow.send("cd");
    EXPECT_TRUE(slow.read_to_end().ends_with("\r\n\r\n9b:abcd"));
}

// Each such client holds a descriptor, and there may be hundreds of them.
TEST(Operations, SilentAndIncompleteClientsAreDisconnectedSoon) {
    DiscoveryStub discovery("");
    Gateway gateway(discovery.address(), "");
    const auto start = std::chrono::steady_clock::now();
    const RawConnection silent(gateway, ""), incomplete(gateway, "GET /read HTTP/1.1\r\nHost:");
    EXPECT_EQ(silent.read_to_end(), "");
    EXPECT_TRUE(incomplete.read_to_end().starts_with("HTTP/1.1 408 "));
    // Well above the expected two seconds, and well below the minutes that idle clients may stay.
    EXPECT_LT(std::chrono::steady_clock::now() - start, 20s);
}

TEST(Operations, ActiveClientStaysConnectedWhileSilentOnesFillTheDescriptors) {
    StubServer server;
    DiscoveryStub discovery(member("a", server.stub.address()));
    Gateway gateway(discovery.address(), member("a", server.stub.address()));
    Client active_client(gateway);
    for (int i = 0; i < 2; ++i) EXPECT_EQ(active_client.send_request("/read").status, 200);
    std::vector<std::unique_ptr<RawConnection>> silent;    // more than there are descriptors for
    for (int i = 0; i < 200; ++i) silent.push_back(std::make_unique<RawConnection>(gateway, ""));
    EXPECT_EQ(Client(gateway).send_request("/read").status, 200);
    EXPECT_EQ(active_client.send_request("/read").status, 200);
    EXPECT_EQ(gateway.stop_and_join().clients_accepted, 202U);    // the active client did not reconnect
}

// Guards against a fault in which clients with a limited number of connections waited while connections that
// had been used once stayed idle.
TEST(Operations, AnswersCloseConnectionsWhenManyClientsAskOnce) {
    StubServer server;
    DiscoveryStub discovery(member("a", server.stub.address()));
    Gateway gateway(discovery.address(), member("a", server.stub.address()));
    Client active_client(gateway);
    EXPECT_TRUE(active_client.send_request("/read").keep_alive);
    EXPECT_TRUE(active_client.send_request("/read").keep_alive);
    std::vector<std::unique_ptr<Client>> single_request_clients;
    for (int i = 0; i < 20; ++i) {    // more than a sixteenth of the descriptors
        single_request_clients.push_back(std::make_unique<Client>(gateway));
        single_request_clients.back()->send_request(i % 2 == 0 ? "/read" : "/health/ready");
    }
    EXPECT_FALSE(Client(gateway).send_request("/read").keep_alive);
    EXPECT_FALSE(Client(gateway).send_request("/health/ready").keep_alive);
    EXPECT_TRUE(active_client.send_request("/read").keep_alive);
}

// A server could take the second request for a copy of the first.
TEST(Operations, RequestWithTheIdOfAnOpenRequestIsRejected) {
    StubServer slow(StubServer::Mode::Slow);
    DiscoveryStub discovery(member("a", slow.stub.address()));
    Gateway gateway(discovery.address(), member("a", slow.stub.address()));
    const std::string request_text =
        "GET /read HTTP/1.1\r\nX-Correlation-Id: 9b\r\nX-Tier: open\r\nCookie: customer=00000000b4d65521\r\n"
        "X-Call-Terms: units=2,spread=1,first=0\r\nConnection: close\r\n\r\n";
    const RawConnection first(gateway, request_text);
    while (slow.requests == 0) std::this_thread::sleep_for(1ms);
    EXPECT_TRUE(RawConnection(gateway, request_text).read_to_end().starts_with("HTTP/1.1 409 "));
    EXPECT_TRUE(first.read_to_end().starts_with("HTTP/1.1 200 "));
    EXPECT_TRUE(RawConnection(gateway, request_text)
                    .read_to_end()
                    .starts_with("HTTP/1.1 200 "));    // the id is free again
}

TEST(Operations, MalformedRequestIsAnsweredAndTheConnectionClosed) {
    DiscoveryStub discovery("");
    Gateway gateway(discovery.address(), "");
    const struct {
        std::string text, start;
    } cases[] = {{"nonsense\r\n\r\n", "HTTP/1.1 400 "},
                 {"GET /other HTTP/1.1\r\n\r\n", "HTTP/1.1 404 "},
                 {"POST /submit HTTP/1.1\r\nContent-Length: 67108865\r\n\r\n", "HTTP/1.1 413 "},
                 {"GET /read HTTP/1.1\r\nA: " + std::string(20'000, 'x'), "HTTP/1.1 431 "},
                 {"GET /health/ready HTTP/1.0\r\n\r\n", "HTTP/1.1 503 "}};
    for (const auto& c : cases) {
        const std::string answer = RawConnection(gateway, c.text).read_to_end();
        EXPECT_TRUE(answer.starts_with(c.start)) << answer;
        EXPECT_NE(answer.find("Connection: close"), std::string::npos);
    }
}

}    // namespace
}    // namespace shaletray::test
