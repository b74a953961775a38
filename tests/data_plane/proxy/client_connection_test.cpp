// Clients' connections between a scripted intake and a real socket: what is begun when, and in which order it
// is answered.
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

// "/7": a request of that id. What is read may be overlapped; what is posted may not.
struct TestDoor : Door {
    std::variant<Taken, Rejection> read(const http::Parser& parser, const http::Buffer& buffer,
                                        TimePoint) override {
        if (parser.target(buffer).starts_with("/no")) return Rejection{404, "no route", true};
        Taken taken;
        taken.id = parser.target(buffer).substr(1);
        taken.overlaps = parser.method(buffer) == "GET";
        taken.arrival.budget = 1000ms;
        taken.arrival.payload.head = taken.id;
        return taken;
    }
    http::Limits limits() const override { return {}; }
    Duration header_timeout() const override { return 10s; }
    Duration idle_timeout(std::uint64_t) const override { return 10s; }
    Final refused(Refusal, Duration) const override { return {503}; }
    Final failed(Failure) const override { return {502}; }
    std::string_view kept_headers() const override { return "Keep-Alive: timeout=9\r\n"; }
};

// An answer that its server breaks off when told.
struct TestFlow : BodyFlow {
    BodySink* sink = nullptr;
    bool* let_go;
    explicit TestFlow(bool& gone) : let_go(&gone) {}
    ~TestFlow() override { *let_go = true; }
    void begin(BodySink& to) override { (sink = &to)->on_body("some"); }
    void go_on(bool) override {}
    std::optional<std::uint64_t> length() const override { return std::nullopt; }
};

struct Site : Intake {
    struct Request {
        Front* front;
        Arrival arrival;
        bool open = true;
    };

    std::uint64_t take(Front& front, Arrival&& arrival) override {
        taken.push_back({&front, std::move(arrival)});
        most_open = std::max(most_open, open());
        const std::size_t ticket = taken.size();
        if (on_take) std::exchange(on_take, nullptr)();
        return ticket;
    }
    void withdraw(std::uint64_t ticket) override {
        cr_assert(taken.at(ticket - 1).open);
        taken.at(ticket - 1).open = false;
        ++withdrawn;
    }
    std::size_t open() const {
        return static_cast<std::size_t>(
            std::count_if(taken.begin(), taken.end(), [](const Request& r) { return r.open; }));
    }
    bool serve(std::size_t at, std::shared_ptr<BodyFlow> flow = {}) {
        if (!std::exchange(taken.at(at).open, false)) return false;
        Payload answer;
        answer.status = 201;
        answer.body = "for " + taken.at(at).arrival.payload.head + ";";
        answer.flow = std::move(flow);
        taken.at(at).front->served(std::move(answer));
        return true;
    }

    std::vector<Request> taken;
    std::size_t withdrawn = 0, most_open = 0;
    std::function<void()> on_take;
    Loop loop;
    Counters counters;
    TestDoor door;
    std::optional<Listener> listener{std::in_place,
                                     *this,
                                     door,
                                     ClientRoom{},
                                     counters,
                                     loop.reactor,
                                     Listener::listen("127.0.0.1:0"),
                                     100,
                                     [] { return true; }};
    Poco::Net::StreamSocket client{Poco::Net::SocketAddress(listener->address())};
    std::string got;
    bool ended = false;

    void say(const std::string& text) { client.sendBytes(text.data(), static_cast<int>(text.size())); }
    void look() {
        char bytes[4096];
        while (!ended && client.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            const int n = client.receiveBytes(bytes, sizeof bytes);
            if (n <= 0) ended = true;
            else got.append(bytes, static_cast<std::size_t>(n));
        }
    }
    void until(const std::function<bool()>& condition) {
        const bool held = loop.until([&] {
            look();
            return condition();
        });
        cr_assert(held, "taken %zu, withdrawn %zu, got %s", taken.size(), withdrawn, got.c_str());
    }
    std::size_t answers() const {
        std::size_t count = 0;
        for (std::size_t at = 0; (at = got.find("HTTP/1.1 ", at)) != std::string::npos; ++at) ++count;
        return count;
    }
};

std::string get(int id) { return fmt::format("GET /{} HTTP/1.1\r\n\r\n", id); }
std::string post(int id) { return fmt::format("POST /{} HTTP/1.1\r\nContent-Length: 2\r\n\r\nab", id); }

}    // namespace

// Cut anywhere, served in any order: each answer is in its place, and no more are open at once than may be.
Test(clients, overlapping_requests_are_answered_in_their_order) {
    for (const unsigned seed : {1U, 2U, 3U}) {
        Site site;
        std::mt19937 random(seed);
        std::string text, expected;
        const int all = 60;
        std::size_t real = 0;
        for (int i = 0; i < all; ++i) {
            const unsigned kind = random() % 8;
            if (kind == 0) text += "GET /no HTTP/1.1\r\n\r\n", expected += "no route\n";
            else {
                text += kind == 1 ? post(i) : get(i), expected += fmt::format("for {};", i);
                ++real;
            }
        }
        while (!text.empty()) {
            const std::size_t piece = std::min<std::size_t>(text.size(), 1 + random() % 300);
            site.say(text.substr(0, piece));
            text.erase(0, piece);
            if (random() % 2 == 0) site.loop.until([&] { return true; });
            if (!site.taken.empty()) site.serve(random() % site.taken.size());
        }
        site.until([&] {
            const std::size_t from = site.taken.empty() ? 0 : random() % site.taken.size();
            for (std::size_t i = 0; i < site.taken.size(); ++i) {
                if (site.serve((from + i) % site.taken.size())) break;
            }
            return site.answers() == static_cast<std::size_t>(all);
        });
        std::string bodies;
        for (std::size_t at = 0; (at = site.got.find("\r\n\r\n", at)) != std::string::npos;) {
            at += 4;
            bodies += site.got.substr(at, site.got.find("HTTP/1.1 ", at) - at);
        }
        cr_assert(bodies == expected, "%s", bodies.c_str());
        cr_assert(site.taken.size() == real && site.withdrawn == 0 && site.most_open <= 16);
        cr_assert(site.most_open > 1);
        cr_assert(site.got.find("Connection: close") == std::string::npos);
    }
}

// It could be sent once more by its client, were the connection to end before its answer.
Test(clients, what_must_not_run_twice_is_begun_alone) {
    Site site;
    site.say(get(1) + get(2) + post(3) + get(4));
    site.until([&] { return site.taken.size() == 2; });
    site.serve(1);
    site.loop.clock.ahead += 300ms;
    site.until([&] { return true; });
    cr_assert(site.taken.size() == 2 && site.got.empty());
    site.serve(0);
    site.until([&] { return site.taken.size() == 3; });
    cr_assert(site.taken[2].arrival.payload.head == "3");
    cr_assert(site.taken[2].arrival.budget <= 700ms);    // its time ran
    site.serve(2);
    site.until([&] { return site.taken.size() == 4; });
}

// What was begun is answered, the last with the word that the connection ends, and no more is begun.
Test(clients, a_stop_ends_the_connection_behind_what_was_begun) {
    Site site;
    site.say(get(1) + get(2));
    site.until([&] { return site.taken.size() == 2; });
    site.listener->begin_stop();
    site.say(get(3));
    site.serve(1);
    site.until([&] { return true; });
    site.serve(0);
    site.until([&] { return site.ended; });
    cr_assert(site.taken.size() == 2 && site.answers() == 2);
    cr_assert(site.got.find("Connection: close") > site.got.find("for 1;"));
    cr_assert(site.got.ends_with("for 2;"));
    site.client.close();
    site.until([&] { return site.listener->clients() == 0; });
}

Test(clients, what_nobody_waits_for_is_withdrawn) {
    Site site;
    site.say(get(1) + get(2) + get(3));
    site.until([&] { return site.taken.size() == 3; });
    bool let_go = false;
    site.serve(1, std::make_shared<TestFlow>(let_go));
    cr_assert(!let_go);
    site.client.close();
    site.ended = true;
    site.until([&] { return site.listener->clients() == 0; });
    cr_assert(site.withdrawn == 2 && let_go);
}

// The connection ends while the intake takes a request: neither is that one forgotten, nor asked about twice.
Test(clients, an_answer_broken_off_ends_the_connection_and_what_waits_behind_it) {
    for (const bool within : {false, true}) {
        Site site;
        bool let_go = false;
        const auto flow = std::make_shared<TestFlow>(let_go);
        site.say(get(1) + get(2));
        site.until([&] { return site.taken.size() == 2; });
        site.serve(0, flow);
        site.until([&] { return site.got.ends_with("4\r\nsome\r\n"); });
        const auto breaks = [&] { flow->sink->on_body_end(false); };
        if (within) site.on_take = breaks;
        else breaks();
        site.say(get(3));
        site.until([&] { return site.ended; });
        cr_assert(site.withdrawn == site.taken.size() - 1);
        cr_assert(site.taken.size() == (within ? 3U : 2U));
        cr_assert(site.got.ends_with("some\r\n"));
    }
}
