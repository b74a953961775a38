// The server of calls, over loopback, the reactor in a thread of its own.
#include "net/call_server.h"

#include <criterion/criterion.h>

#include <deque>
#include <thread>

#include "net/waker.h"

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
                    for (; !kept.empty(); kept.pop_back()) {
                        if (!kept.back().first->gone()) ++answered;
                        kept.back().first->answer({200, kept.back().second});
                    }
                    caller->answer({200, std::to_string(answered)});
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
