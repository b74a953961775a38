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

struct TestDialect : Dialect {
    std::string write_request(const Payload& request, HostId, Duration) const override {
        return fmt::format("GET / HTTP/1.1\r\nX-Id: {}\r\n\r\n", request.id);
    }
    std::string write_probe(HostId, std::string_view) const override { return "GET /up HTTP/1.1\r\n\r\n"; }
    Fits fits(const Asked& asked, const http::Parser& parser, const http::Buffer& buffer) const override {
        const std::string_view id = parser.header(buffer, "X-Id");
        return id == asked.id ? Fits::Yes : id.starts_with("old") ? Fits::Surplus : Fits::No;
    }
    Outcome outcome_of(const Asked&, const http::Parser& parser, const http::Buffer&) const override {
        return parser.status() / 100 == 2 ? Outcome::Ok
               : parser.status() == 503   ? Outcome::Full
                                          : Outcome::Error;
    }
    Payload answer_of(const http::Parser& parser, const http::Buffer& buffer, bool with_body) const override {
        Payload answer;
        answer.status = parser.status();
        if (with_body) answer.body = parser.body(buffer);
        return answer;
    }
    std::optional<Duration> idle_limit(const http::Parser& parser,
                                       const http::Buffer& buffer) const override {
        const std::string_view told = parser.header(buffer, "Keep-Alive");
        if (told.empty()) return std::nullopt;
        return std::chrono::seconds(told.back() - '0');
    }
};

struct TestHosts : Hosts {
    Host host;
    const Host* find(HostId) const override { return &host; }
    bool may_begin(HostId, TimePoint) const override { return true; }
};

struct TestFront : Front {
    std::string told;
    void served(Payload&& answer) override { told = fmt::format("served {} {}", answer.status, answer.body); }
    void refused(Duration, Refusal) override { told = "refused"; }
    void failed(Failure why, Payload&& answer) override {
        told = why == Failure::Late ? "late" : "broken";
        if (says_failure(answer)) told += fmt::format(" {} {}", answer.status, answer.body);
    }
};

decision::Settings one_class() {
    decision::Settings s;
    s.classes.resize(1);
    s.classes[0].aim = s.classes[0].give_up = 10s;
    s.plans.resize(1);
    return s;
}

// An engine with its pool, as each service has them.
struct Service : Mail, ListSource {
    Service(Loop& loop, Counters& counters, const Hosts& hosts, const Dialect& dialect,
            ConnectionBudget& budget, ServerPool::Limits limits)
        : engine(one_class(), 1, loop.clock, loop.timers, counters),
          pool(engine, hosts, dialect, budget, counters, loop.reactor, limits) {
        engine.connect(pool, *this, *this);
        engine.behave({true, true});
        decision::HostList list;
        list.hosts.resize(1);
        list.hosts[0].host = HostId{1};
        engine.list_heard(std::move(list));
    }
    void tell(PeerId, const std::vector<std::uint8_t>&) override {}
    void subscribe() override {}
    void ask(Front& front, const std::string& id) {
        Arrival arrival;
        arrival.budget = 5s;
        arrival.payload.id = id;
        engine.take(front, std::move(arrival));
    }
    Engine engine;
    ServerPool pool;
};

struct Site {
    explicit Site(std::size_t most = 10, ServerPool::Limits limits = {1s, 5s, 0}) : budget(most) {
        hosts.host.address = server.address().toString();
        server.setBlocking(false);
        for (int i = 0; i < 2; ++i)
            services.push_back(std::make_unique<Service>(loop, counters, hosts, dialect, budget, limits));
    }
    // Looks at what came to the server.
    void look() {
        while (server.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            clients.push_back(server.acceptConnection());
            read.emplace_back();
        }
        char bytes[4096];
        for (std::size_t i = 0; i < clients.size(); ++i) {
            if (!clients[i].poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) continue;
            const int n = clients[i].receiveBytes(bytes, sizeof bytes);
            if (n > 0) read[i].append(bytes, static_cast<std::size_t>(n));
        }
    }
    void until(const std::function<bool()>& condition) {
        const bool held = loop.until([&] {
            look();
            return condition();
        });
        cr_assert(held, "told %s", front.told.c_str());
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
    void exchange(std::size_t service, std::size_t on, const std::string& headers = "") {
        front.told.clear();
        services[service]->ask(front, "x");
        until([&] { return on < clients.size() && !read[on].empty(); });
        answer(on, fmt::format("HTTP/1.1 200 OK\r\nX-Id: x\r\n{}Content-Length: 0\r\n\r\n", headers));
        until([&] { return !front.told.empty(); });
        loop.clock.ahead += 1ms;    // more than a connection needs to settle
    }

    Loop loop;
    Counters counters;
    TestHosts hosts;
    TestDialect dialect;
    ConnectionBudget budget;
    Poco::Net::ServerSocket server{Poco::Net::SocketAddress("127.0.0.1", 0)};
    std::vector<Poco::Net::StreamSocket> clients;
    std::vector<std::string> read;
    TestFront front;
    std::vector<std::unique_ptr<Service>> services;
};

const std::string kMine = "HTTP/1.1 200 OK\r\nX-Id: x\r\nContent-Length: 4\r\n\r\nmine";

std::string surplus(const std::string& framing, const std::string& body) {
    return fmt::format("HTTP/1.1 200 OK\r\nX-Id: old1\r\n{}\r\n\r\n{}", framing, body);
}

}    // namespace

Test(servers, only_the_answer_to_what_was_asked_counts) {
    const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string shorter = surplus("Content-Length: 5", "other"),
                      longer = surplus("Content-Length: 200000", std::string(200000, 'o')),
                      chunked = surplus("Transfer-Encoding: chunked", "5\r\nother\r\n0\r\n\r\n");
    const struct {
        std::string bytes, told;
    } cases[] = {
        {kMine, "served 200 mine"},
        {shorter + kMine, "served 200 mine"},
        {longer + kMine, "served 200 mine"},
        {interim + chunked + shorter + interim + kMine, "served 200 mine"},
        {"HTTP/1.1 500 No\r\nX-Id: old1\r\nContent-Length: 0\r\n\r\n" + kMine, "served 200 mine"},
        {"HTTP/1.1 200 OK\r\nX-Id: y\r\nContent-Length: 0\r\n\r\n" + kMine, "broken"},
        {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "broken"},
        {"HTTP/1.1 503 Full\r\nX-Id: x\r\nContent-Length: 0\r\n\r\n", "refused"},
        {"HTTP/1.1 500 No\r\nX-Id: x\r\nContent-Length: 4\r\n\r\nwhy?", "broken 500 why?"},
    };
    std::mt19937 random(1);
    for (const auto& c : cases) {
        for (const bool cut : {false, true}) {
            Site site;
            site.services[0]->ask(site.front, "x");
            site.until([&] { return !site.read.empty() && site.read[0].ends_with("\r\n\r\n"); });
            for (std::size_t at = 0; at < c.bytes.size();) {
                const std::size_t piece =
                    cut ? 1 + random() % (c.bytes.size() > 999 ? 50000 : 30) : c.bytes.size();
                site.answer(0, c.bytes.substr(at, piece));
                at += piece;
                if (cut) site.until([&] { return true; });
            }
            site.until([&] { return !site.front.told.empty(); });
            cr_assert(site.front.told == c.told, "%s: %s", c.bytes.substr(0, 90).c_str(),
                      site.front.told.c_str());
        }
    }
}

// A surplus answer that only the end of the connection ends is nobody's, and the request may have run.
Test(servers, a_connection_that_ends_with_another_answer_is_a_break) {
    Site site;
    site.services[0]->ask(site.front, "x");
    site.until([&] { return !site.read.empty() && !site.read[0].empty(); });
    site.answer(0, "HTTP/1.1 200 OK\r\nX-Id: old1\r\n\r\nother");
    site.clients[0].shutdownSend();
    site.until([&] { return !site.front.told.empty(); });
    cr_assert(site.front.told == "broken", "%s", site.front.told.c_str());
}

Test(servers, a_request_that_waits_too_long_may_have_run) {
    Site site;
    site.services[0]->ask(site.front, "x");
    site.until([&] { return !site.read.empty() && !site.read[0].empty(); });
    site.loop.clock.ahead += 6s;
    site.until([&] { return !site.front.told.empty(); });
    cr_assert(site.front.told == "late", "%s", site.front.told.c_str());
}

// Closed in time by what the server says, kept where it says nothing, and not kept where it says 0.
Test(servers, connections_are_kept_as_long_as_their_server_says) {
    Site site;
    site.exchange(0, 0);
    site.loop.clock.ahead += 700ms;
    site.exchange(0, 0, "Keep-Alive: timeout=1\r\n");
    site.loop.clock.ahead += 500ms;
    site.exchange(0, 0, "Keep-Alive: timeout=1\r\n");
    site.loop.clock.ahead += 700ms;
    site.exchange(0, 1, "Keep-Alive: timeout=0\r\n");
    site.exchange(0, 2);
    cr_assert(site.budget.open() == 1 && site.budget.idle() == 1);
    site.loop.clock.ahead += 7s;
    site.until([&] { return site.budget.open() == 0; });
}

// Of all pools the longest idle one makes room; where none is idle, nothing is sent.
Test(servers, pools_share_their_budget) {
    Site site(2);
    TestFront held;
    site.exchange(0, 0);
    site.services[0]->ask(held, "x");
    site.until([&] { return !site.read[0].empty(); });
    site.exchange(0, 1);
    site.exchange(1, 2);    // in the place of the first service's second one
    cr_assert(site.budget.open() == 2 && held.told.empty());
    TestFront third, fourth;
    site.services[1]->ask(third, "x");
    site.services[1]->ask(fourth, "x");
    cr_assert(third.told.empty() && fourth.told == "refused");
    site.services.clear();
    cr_assert(site.budget.open() == 0 && site.budget.idle() == 0);
}

Test(servers, one_server_gets_no_more_connections_than_it_may) {
    Site site(10, {1s, 5s, 2});
    TestFront fronts[3];
    for (TestFront& front : fronts) site.services[0]->ask(front, "x");
    cr_assert(fronts[0].told.empty() && fronts[1].told.empty() && fronts[2].told == "refused");
}
