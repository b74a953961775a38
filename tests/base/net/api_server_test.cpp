// The server of calls, over loopback, the reactor in a thread of its own.
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

// Answers "/now..." at once; others are kept until a call of "/release" answers the newest first.
struct Rig {
    explicit Rig(CallServer::Limits limits = {}) {
        server = std::make_unique<CallServer>(
            reactor, CallServer::listen("127.0.0.1:0"), limits,
            [this](const Call& call, std::shared_ptr<Caller> caller) {
                const std::string body = std::string(call.method) + " " + std::string(call.target) + " " +
                                         std::to_string(call.body.size());
                if (call.target == "/release") {
                    int answered = 0;
                    while (!kept.empty()) {    // an answer may bring its connection's next call
                        const auto [who, text] = std::move(kept.back());
                        kept.pop_back();
                        if (!who->gone()) ++answered;
                        who->answer({200, text});
                    }
                    caller->answer({200, std::to_string(answered)});
                } else if (call.target == "/kept") {
                    caller->answer({200, std::to_string(kept.size())});
                } else if (call.target == "/gone") {
                    caller->answer({200, std::to_string(server->counts().gone)});
                } else if (call.target.starts_with("/now")) {
                    caller->answer({200, body});
                } else {
                    kept.emplace_back(std::move(caller), body);
                }
            },
            [](std::string_view, std::string_view target) {
                return target == "/now/small" ? std::size_t{10} : std::size_t{1000000};
            });
        thread = std::thread([this] { reactor.run(); });
    }
    ~Rig() {
        reactor.stop();
        thread.join();
    }
    Poco::Net::StreamSocket dial() {
        Poco::Net::StreamSocket socket{Poco::Net::SocketAddress(server->address())};
        socket.setReceiveTimeout(Poco::Timespan(5, 0));
        return socket;
    }

    SystemClock clock;
    Timers timers;
    Reactor reactor{clock, timers};
    std::deque<std::pair<std::shared_ptr<Caller>, std::string>> kept;
    std::unique_ptr<CallServer> server;
    std::thread thread;
};

void say(Poco::Net::StreamSocket& to, const std::string& text) {
    cr_assert(to.sendBytes(text.data(), static_cast<int>(text.size())) == static_cast<int>(text.size()));
}
// Until so many answers' bodies are there, or the connection ends: the bodies, or "(status)" without one.
std::vector<std::string> answers(Poco::Net::StreamSocket& from, std::size_t count, http::Buffer& buffer) {
    std::vector<std::string> out;
    http::Parser parser(http::Parser::Kind::Response);
    while (out.size() < count) {
        if (parser.parse(buffer) == http::Status::Done) {
            out.push_back(parser.status() == 200 ? std::string(parser.body(buffer))
                                                 : "(" + std::to_string(parser.status()) + ")");
            buffer.consume(parser.size());
            parser.reset();
            continue;
        }
        const int n = from.receiveBytes(buffer.prepare(4096), 4096);
        if (n <= 0) break;
        buffer.commit(static_cast<std::size_t>(n));
    }
    return out;
}
using Texts = std::vector<std::string>;
// The one that is given next: while it is the same, the same ones below it are in use.
int lowest_free_descriptor() {
    const int lowest = dup(0);
    close(lowest);
    return lowest;
}

}    // namespace

Test(call_server, answers_in_order_what_was_sent_ahead) {
    Rig rig;
    auto client = rig.dial(), other = rig.dial();
    http::Buffer in, in_other;
    say(client,
        "GET /later/1 HTTP/1.1\r\n\r\nPOST /now/2 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /now/3 "
        "HTTP/1.1\r\n\r\n");
    // The first one is with the taker once it can be released.
    Texts released;
    while (released != Texts{"1"}) {
        say(other, "GET /release HTTP/1.1\r\n\r\n");
        released = answers(other, 1, in_other);
    }
    cr_assert(answers(client, 3, in) == (Texts{"GET /later/1 0", "POST /now/2 3", "GET /now/3 0"}));
    say(client,
        "POST /now/4 HTTP/1.1\r\nTransfer-Encoding: chunked\r\nConnection: "
        "close\r\n\r\n2\r\nab\r\n0\r\n\r\n");
    cr_assert(answers(client, 2, in) == Texts{"POST /now/4 2"});    // and then the end
}

Test(call_server, refuses_what_is_too_large_or_no_call_and_ends_there) {
    Rig rig;
    for (const auto& [text, status] :
         {std::pair("POST /now/small HTTP/1.1\r\nContent-Length: 11\r\n\r\n", "(413)"),
          {"POST /now/small HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nabcdefghijk\r\n0\r\n\r\n",
           "(413)"},
          {"POST /now HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n", "(413)"},
          {"\x16\x03\x01", "(400)"}}) {
        auto client = rig.dial();
        http::Buffer in;
        say(client, text);
        cr_assert(answers(client, 2, in) == Texts{status}, "%s", text);
    }
}

Test(call_server, lets_the_idle_make_room_and_knows_who_has_gone) {
    CallServer::Limits limits;
    limits.most = 2;
    Rig rig(limits);
    auto idle = rig.dial();
    http::Buffer in_idle, in_busy, in;
    say(idle, "GET /now/1 HTTP/1.1\r\n\r\n");
    cr_assert(answers(idle, 1, in_idle) == Texts{"GET /now/1 0"});
    auto busy = rig.dial();
    say(busy, "GET /later HTTP/1.1\r\n\r\n");
    auto client = rig.dial();    // instead of the idle one
    say(client, "GET /now/2 HTTP/1.1\r\n\r\n");
    cr_assert(answers(client, 1, in) == Texts{"GET /now/2 0"});
    cr_assert(answers(idle, 1, in_idle) == Texts{});
    busy.close();
    Texts gone;
    while (gone != Texts{"1"}) {    // its end is noticed in some turn
        say(client, "GET /gone HTTP/1.1\r\n\r\n");
        gone = answers(client, 1, in);
    }
    say(client, "GET /release HTTP/1.1\r\n\r\n");
    cr_assert(answers(client, 1, in) == Texts{"0"});
}

// A descriptor is given again as soon as it is free: what was asked through the one before is nobody's then.
Test(call_server, an_answer_goes_to_its_call_and_not_to_who_has_its_descriptor_now) {
    Rig rig;
    auto control = rig.dial();
    http::Buffer in_control, in;
    const auto call = [&](const std::string& path) {
        say(control, "GET " + path + " HTTP/1.1\r\n\r\n");
        return answers(control, 1, in_control).at(0);
    };
    auto first = rig.dial();
    say(first, "POST /later/first HTTP/1.1\r\nContent-Length: 1\r\n\r\na");
    while (call("/kept") != "1") {
    }
    const int free = lowest_free_descriptor();
    first.close();
    while (call("/gone") != "1") {
    }
    auto second = rig.dial();
    say(second, "GET /later/second HTTP/1.1\r\n\r\nGET /now/third HTTP/1.1\r\n\r\n");
    while (call("/kept") != "2") {
    }
    cr_assert(lowest_free_descriptor() == free);
    cr_assert(call("/release") == "1");
    cr_assert(answers(second, 2, in) == (Texts{"GET /later/second 0", "GET /now/third 0"}));
    cr_assert(second.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) == 0);
}

// Many connections, calls sent ahead, answered in any order of theirs, and some that end with calls under
// way: each gets the answers to its own calls, in their order.
Test(call_server, each_call_gets_its_own_answer_on_one_connection_of_many) {
    for (const unsigned seed : {1U, 2U, 3U}) {
        Rig rig;
        std::mt19937 random(seed);
        struct Line {
            Poco::Net::StreamSocket socket;
            http::Buffer in;
            Texts expected, got;
            void look() {
                while (!in.empty() || socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ) != 0) {
                    for (std::string& body : answers(socket, 1, in)) got.push_back(std::move(body));
                }
            }
        };
        auto control = rig.dial();
        http::Buffer in_control;
        std::vector<Line> lines;
        int number = 0, left = 0;
        for (int turn = 0; turn < 300; ++turn) {
            if (lines.size() < 12) lines.push_back({rig.dial(), {}, {}, {}});
            Line& line = lines[random() % lines.size()];
            if (line.expected.size() > 20 || random() % 12 == 0) {
                left += line.got.size() < line.expected.size();
                line.socket.close();
                std::swap(line, lines.back());
                lines.pop_back();
                continue;
            }
            std::string text;
            for (unsigned i = 0, count = 1 + random() % 4; i < count; ++i) {
                const std::string path = (random() % 2 == 0 ? "/now/" : "/later/") + std::to_string(++number);
                const std::string body(random() % 3000, 'b');
                text += "POST " + path + " HTTP/1.1\r\nContent-Length: ";
                text += std::to_string(body.size()) + "\r\n\r\n" + body;
                line.expected.push_back("POST " + path + " " + std::to_string(body.size()));
            }
            say(line.socket, text);
            if (random() % 3 == 0) {
                say(control, "GET /release HTTP/1.1\r\n\r\n");
                answers(control, 1, in_control);
            }
            for (Line& each : lines) each.look();
        }
        for (Line& line : lines) {
            while (line.got.size() < line.expected.size()) {
                say(control, "GET /release HTTP/1.1\r\n\r\n");
                answers(control, 1, in_control);
                line.look();
            }
            cr_assert(line.got == line.expected, "seed %u", seed);
        }
        cr_assert(left > 0);
    }
}

Test(call_server, ends_calls_that_do_not_get_on) {
    CallServer::Limits limits;
    limits.patience = 10ms;
    Rig rig(limits);
    auto client = rig.dial();
    http::Buffer in;
    say(client, "GET /no");
    cr_assert(answers(client, 2, in) == Texts{"(408)"});
}

Test(waker, runs_its_task_for_another_thread) {
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
