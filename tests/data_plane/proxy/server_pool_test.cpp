// A pool and its engine against a scripted server: which answer is whose, and what connections are kept.
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
    AnswerMatch match_answer(const ExchangeContext& asked, const http::Parser& parser,
                             const http::Buffer& buffer) const override {
        const std::string_view reservation_id = parser.header(buffer, "X-Id");
        return reservation_id == asked.request_id  ? AnswerMatch::Match
               : reservation_id.starts_with("old") ? AnswerMatch::EarlierRequest
                                                   : AnswerMatch::Mismatch;
    }
    Outcome outcome_of(const ExchangeContext&, const http::Parser& parser,
                       const http::Buffer&) const override {
        return parser.status_code() / 100 == 2 ? Outcome::Ok
               : parser.status_code() == 503   ? Outcome::Full
                                               : Outcome::Error;
    }
    Payload answer_of(const http::Parser& parser, const http::Buffer& buffer, bool with_body) const override {
        Payload answer;
        answer.status_code = parser.status_code();
        if (with_body) answer.body = parser.body(buffer);
        return answer;
    }
    std::optional<Duration> server_idle_timeout(const http::Parser& parser,
                                                const http::Buffer& buffer) const override {
        const std::string_view told = parser.header(buffer, "Keep-Alive");
        if (told.empty()) return std::nullopt;
        return std::chrono::seconds(told.back() - '0');
    }
};

struct TestHostTable : HostTable {
    Host host;
    const Host* find_host(HostId) const override { return &host; }
    bool may_send_to(HostId, TimePoint) const override { return true; }
};

struct TestDownstream : DownstreamConnection {
    std::string received;
    void on_answer(Payload&& answer) override {
        received = fmt::format("served {} {}", answer.status_code, answer.body);
    }
    void on_rejected(Duration, RejectionReason) override { received = "refused"; }
    void on_failed(FailureReason reason, Payload&& answer) override {
        received = reason == FailureReason::DeadlineExceeded ? "late" : "broken";
        if (is_error_response(answer)) received += fmt::format(" {} {}", answer.status_code, answer.body);
    }
};

decision::Settings one_class() {
    decision::Settings settings;
    settings.classes.resize(1);
    settings.classes[0].aim = settings.classes[0].give_up = 10s;
    settings.plans.resize(1);
    return settings;
}

// An engine with its pool, as each service has them.
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
    void ask(DownstreamConnection& downstream, const std::string& reservation_id, bool is_repeatable = true) {
        IncomingRequest incoming;
        incoming.time_budget = 5s;
        incoming.payload.request_id = reservation_id;
        incoming.payload.is_repeatable = is_repeatable;
        engine.submit(downstream, std::move(incoming));
    }
    Engine engine;
    ServerPool pool;
};

struct TestEnvironment {
    explicit TestEnvironment(std::size_t max_count = 10, ServerPool::Limits limits = {1s, 5s, 0})
        : budget(max_count) {
        hosts.host.address = server.address().toString();
        server.setBlocking(false);
        for (int index = 0; index < 2; ++index)
            services.push_back(std::make_unique<TestService>(loop, counters, hosts, dialect, budget, limits));
    }
    // Looks at what came to the server.
    void accept_and_read() {
        while (server.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            clients.push_back(server.acceptConnection());
            read.emplace_back();
        }
        char bytes[4096];
        for (std::size_t index = 0; index < clients.size(); ++index) {
            if (!clients[index].poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) continue;
            const int count = clients[index].receiveBytes(bytes, sizeof bytes);
            if (count > 0) read[index].append(bytes, static_cast<std::size_t>(count));
        }
    }
    void run_until(const std::function<bool()>& condition) {
        const bool held = loop.until([&] {
            accept_and_read();
            return condition();
        });
        cr_assert(held, "told %s", downstream.received.c_str());
    }
    void answer(std::size_t at, const std::string& text) {
        read[at].clear();
        try {
            clients[at].sendBytes(text.data(), static_cast<int>(text.size()));
        } catch (const Poco::Exception&) {
            // The pool had seen enough.
        }
    }
    // One request of a service, answered on the connection that is to carry it.
    void exchange(std::size_t service, std::size_t on, const std::string& headers = "",
                  bool is_repeatable = true) {
        downstream.received.clear();
        services[service]->ask(downstream, "x", is_repeatable);
        run_until([&] { return on < clients.size() && !read[on].empty(); });
        answer(on, fmt::format("HTTP/1.1 200 OK\r\nX-Id: x\r\n{}Content-Length: 0\r\n\r\n", headers));
        run_until([&] { return !downstream.received.empty(); });
        loop.clock.ahead += 1ms;    // more than a connection needs to settle
    }

    Loop loop;
    Counters counters;
    TestHostTable hosts;
    TestProtocol dialect;
    ConnectionBudget budget;
    Poco::Net::ServerSocket server{Poco::Net::SocketAddress("127.0.0.1", 0)};
    std::vector<Poco::Net::StreamSocket> clients;
    std::vector<std::string> read;
    TestDownstream downstream;
    std::vector<std::unique_ptr<TestService>> services;
};

const std::string kOwnAnswer = "HTTP/1.1 200 OK\r\nX-Id: x\r\nContent-Length: 4\r\n\r\nmine";

std::string surplus_answer(const std::string& framing, const std::string& body) {
    return fmt::format("HTTP/1.1 200 OK\r\nX-Id: old1\r\n{}\r\n\r\n{}", framing, body);
}

}    // namespace

Test(servers, only_the_answer_to_what_was_asked_counts) {
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string shorter = surplus_answer("Content-Length: 5", "other"),
                      longer = surplus_answer("Content-Length: 200000", std::string(200000, 'o')),
                      chunked = surplus_answer("Transfer-Encoding: chunked", "5\r\nother\r\n0\r\n\r\n");
    const struct {
        std::string bytes, told;
    } cases[] = {
        {kOwnAnswer, "served 200 mine"},
        {shorter + kOwnAnswer, "served 200 mine"},
        {longer + kOwnAnswer, "served 200 mine"},
        {interim + chunked + shorter + interim + kOwnAnswer, "served 200 mine"},
        {"HTTP/1.1 500 No\r\nX-Id: old1\r\nContent-Length: 0\r\n\r\n" + kOwnAnswer, "served 200 mine"},
        {"HTTP/1.1 200 OK\r\nX-Id: y\r\nContent-Length: 0\r\n\r\n" + kOwnAnswer, "broken"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "broken"},
        {"HTTP/1.1 503 Full\r\nX-Id: x\r\nContent-Length: 0\r\n\r\n", "refused"},
        {"HTTP/1.1 500 No\r\nX-Id: x\r\nContent-Length: 4\r\n\r\nwhy?", "broken 500 why?"},
    };
    std::mt19937 random(1);
    for (const auto& c : cases) {
        for (const bool cut : {false, true}) {
            TestEnvironment site;
            site.services[0]->ask(site.downstream, "x");
            site.run_until([&] { return !site.read.empty() && site.read[0].ends_with("\r\n\r\n"); });
            for (std::size_t at = 0; at < c.bytes.size();) {
                const std::size_t piece =
                    cut ? 1 + random() % (c.bytes.size() > 999 ? 50000 : 30) : c.bytes.size();
                site.answer(0, c.bytes.substr(at, piece));
                at += piece;
                if (cut) site.run_until([&] { return true; });
            }
            site.run_until([&] { return !site.downstream.received.empty(); });
            cr_assert(site.downstream.received == c.told, "%s: %s", c.bytes.substr(0, 90).c_str(),
                      site.downstream.received.c_str());
        }
    }
}

// A surplus answer that only the end of the connection ends is nobody's, and the request may have run.
Test(servers, a_connection_that_ends_with_another_answer_is_a_break) {
    TestEnvironment site;
    site.services[0]->ask(site.downstream, "x");
    site.run_until([&] { return !site.read.empty() && !site.read[0].empty(); });
    site.answer(0, "HTTP/1.1 200 OK\r\nX-Id: old1\r\n\r\nother");
    site.clients[0].shutdownSend();
    site.run_until([&] { return !site.downstream.received.empty(); });
    cr_assert(site.downstream.received == "broken", "%s", site.downstream.received.c_str());
}

Test(servers, a_request_that_waits_too_long_may_have_run) {
    TestEnvironment site;
    site.services[0]->ask(site.downstream, "x");
    site.run_until([&] { return !site.read.empty() && !site.read[0].empty(); });
    site.loop.clock.ahead += 6s;
    site.run_until([&] { return !site.downstream.received.empty(); });
    cr_assert(site.downstream.received == "late", "%s", site.downstream.received.c_str());
}

// Servers may forget connections that they state nothing of.
Test(servers, what_must_not_repeat_goes_on_a_connection_of_a_proven_age_or_on_a_new_one) {
    TestEnvironment site;
    site.exchange(0, 0);
    site.loop.clock.ahead += 300ms;
    site.exchange(0, 1, "", false);
    site.loop.clock.ahead += 300ms;
    site.exchange(0, 1);    // the most recently used one, which proves 300 ms
    site.loop.clock.ahead += 200ms;
    site.exchange(0, 1, "", false);
    site.loop.clock.ahead += 900ms;
    site.exchange(0, 2, "", false);
    site.exchange(1, 3, "Keep-Alive: timeout=4\r\n");
    site.loop.clock.ahead += 2s;
    site.exchange(1, 3, "", false);    // the server has stated more
    cr_assert(site.counters.server_connections_dialled == 4);
}

// Closed in time by what the server says, kept where it says nothing, and not kept where it says 0.
Test(servers, connections_are_kept_as_long_as_their_server_says) {
    TestEnvironment site;
    site.exchange(0, 0);
    site.loop.clock.ahead += 700ms;
    site.exchange(0, 0, "Keep-Alive: timeout=1\r\n");
    site.loop.clock.ahead += 500ms;
    site.exchange(0, 0, "Keep-Alive: timeout=1\r\n");
    site.loop.clock.ahead += 700ms;
    site.exchange(0, 1, "Keep-Alive: timeout=0\r\n");
    site.exchange(0, 2);
    cr_assert(site.budget.open_connections() == 1 && site.budget.idle_connections() == 1);
    site.loop.clock.ahead += 7s;
    site.run_until([&] { return site.budget.open_connections() == 0; });
}

// Of all pools the longest idle one makes room; where none is idle, nothing is sent.
Test(servers, pools_share_their_budget) {
    TestEnvironment site(2);
    TestDownstream held;
    site.exchange(0, 0);
    site.services[0]->ask(held, "x");
    site.run_until([&] { return !site.read[0].empty(); });
    site.exchange(0, 1);
    site.exchange(1, 2);    // in the place of the first service's second one
    cr_assert(site.budget.open_connections() == 2 && held.received.empty());
    TestDownstream third, fourth;
    site.services[1]->ask(third, "x");
    site.services[1]->ask(fourth, "x");
    cr_assert(third.received.empty() && fourth.received == "refused");
    site.services.clear();
    cr_assert(site.budget.open_connections() == 0 && site.budget.idle_connections() == 0);
}

Test(servers, one_server_gets_no_more_connections_than_it_may) {
    TestEnvironment site(10, {1s, 5s, 2});
    TestDownstream fronts[3];
    for (TestDownstream& downstream : fronts) site.services[0]->ask(downstream, "x");
    cr_assert(fronts[0].received.empty() && fronts[1].received.empty() && fronts[2].received == "refused");
}
