// The whole way of a request, over loopback: clients' sockets, the pilot's door, desk, engines and pools, and
// servers that do to each request what a script says. One thread and a clock that is stepped: nothing sleeps.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/net/loop.h"
#include "data_plane/proxy/client_listener.h"
#include "gateway/request_dispatcher.h"

namespace shaletray::test {

// What a server does to a request. Those from Answer to Restart have run it, the others have not.
enum class Do {
    Answer,
    Slow,          // answers some turns later
    Twice,         // a second copy of the answer in the same write
    CopyLater,     // a second copy some turns later, where the next answer is expected
    OldFirst,      // the connection's last answer once more, then its own
    CloseAfter,    // says so, and does
    Forget,        // answers, and resets at whatever comes next on this connection, unread
    Cut,           // ends the connection in the middle of the answer
    CutByReset,    // the same, by a reset
    Reset,         // after the request was read and run
    Silent,        // for good
    Fail,          // 500
    Unsaid503,     // a promise that no X-Not-Executed makes true
    Unsaid429,
    Garbage,        // no answer in the protocol
    NoId,           // a whole success without an id
    NoIdFail,       // a whole failure without an id
    OtherId,        // a whole success of another request that is open, and nothing else
    Restart,        // all its connections are reset, and another server is at its address
    Full,           // 503 with X-Not-Executed
    ResetUnread,    // before any of it was read
    ResetWithin,    // once a part of it was read
    kCount
};
inline bool runs(Do what) { return what <= Do::Restart; }

struct Ask {
    std::string id, method, target, body, tells;    // tells: the server that it names
};

// One address. The server there may be followed by another one with another id.
class ScriptedServer {
public:
    struct Connection {
        Poco::Net::StreamSocket socket;
        http::Buffer in;
        http::Parser parser{http::Parser::Kind::Request, {16 * 1024, 64 * 1024 * 1024, 100}};
        std::string last;    // answer
        bool forgotten = false, open = true, waits = false;
        std::uint64_t number = 0;
    };
    explicit ScriptedServer(std::string name) : id(std::move(name)) {
        listening_.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true, false);
        listening_.listen(64);
        listening_.setBlocking(false);
        address = listening_.address().toString();
    }
    void look(const std::function<void(ScriptedServer&, Connection&)>& came) {
        if (!listens_) return;
        while (listening_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            Connection& c = connections.emplace_back();
            c.socket = listening_.acceptConnection();
            c.socket.setBlocking(false);
            c.socket.setNoDelay(true);    // the clock runs ahead of the system's
            c.number = ++last_;
        }
        for (Connection& c : connections) {
            if (c.open) came(*this, c);
        }
        connections.remove_if([](const Connection& c) { return !c.open; });
    }
    void go() {    // nobody listens there any more
        listens_ = false;
        for (Connection& c : connections) reset(c);
        connections.clear();
        listening_.close();
    }
    static void reset(Connection& c) {
        if (!std::exchange(c.open, false)) return;
        c.socket.setLinger(true, 0);
        c.socket.close();
    }
    static void say(Connection& c, const std::string& bytes) {
        if (!c.open) return;
        try {
            c.socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        } catch (const Poco::Exception&) {
            c.open = false;    // the pool had seen enough
        }
    }

    std::string id, address;
    std::list<Connection> connections;

private:
    Poco::Net::ServerSocket listening_;
    bool listens_ = true;
    std::uint64_t last_ = 0;
};

class AnswersSite {
public:
    // What is to be done to a request of which all, or at least the head, is here.
    std::function<Do(const Ask&, bool whole)> script = [](const Ask&, bool) { return Do::Answer; };
    std::function<int()> turns = [] { return 5; };    // that something comes later
    std::map<std::string, int> arrivals, ran;         // by id
    std::map<std::string, std::string> bodies;        // of good answers, by id
    std::map<Do, int> done;

    Loop loop;
    Counters counters;
    http_mapping::Fleet fleet{{{"a"}, 300ms}};
    quota::Tide tide;
    http_mapping::Passage passage;
    std::optional<gateway::Desk> desk;
    std::optional<Listener> listener;
    std::vector<std::unique_ptr<ScriptedServer>> servers;

    explicit AnswersSite(int count, std::uint64_t seed = 1) : tide(tide_settings(), loop.clock.now()) {
        gateway::DeskSettings d;
        d.seed = seed;
        d.retry_slack = 5000.0;
        desk.emplace(d, loop.reactor, loop.timers, counters, fleet, tide, [] {});
        for (int i = 0; i < count; ++i)
            servers.push_back(std::make_unique<ScriptedServer>(fmt::format("i-{}", ++last_server_)));
        auto table = std::make_shared<const configuration::Table>(chart_of());
        passage.chart(table);
        tell_fleet();
        desk->chart(table);
        listener.emplace(*desk, passage, ClientRoom{1024, 128.0}, counters, loop.reactor,
                         Listener::listen("127.0.0.1:0"), 200, [] { return true; });
        loop.reactor.spin(true);
    }
    // The list as it stands, told to the pilot.
    void tell_fleet() {
        std::map<std::string, registry::Server> all;
        for (const auto& server : servers) {
            registry::Server s;
            s.id = server->id;
            s.service = "pay";
            s.address = server->address;
            s.zone = "a";
            s.capacity = 4;
            s.at = loop.clock.now();
            all[s.id] = s;
        }
        fleet.take(all, loop.clock.now());
        desk->servers_changed({"pay"});
    }
    // False where it did not come true within so many turns, of a millisecond of the clock each.
    bool turn_until(const std::function<bool()>& condition, int most = 15000) {
        int left = most;
        bool held = false;
        loop.until([&] {
            ++turn_;
            loop.clock.ahead += 1ms;
            for (auto& server : servers)
                server->look([this](ScriptedServer& s, ScriptedServer::Connection& c) { read(s, c); });
            for (auto it = later_.begin(); it != later_.end() && it->first <= turn_;) {
                const auto task = std::move(it->second);
                it = later_.erase(it);
                task();
            }
            held = condition();
            return held || --left <= 0;
        });
        return held;
    }
    void in_turns(int turns, std::function<void()> task) { later_.emplace(turn_ + turns, std::move(task)); }
    int turn() const { return turn_; }

    static std::string good(const Ask& ask, const std::string& body, const std::string& more = "") {
        return fmt::format(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: seal-{}\r\n{}Content-Length: {}\r\n\r\n{}",
            ask.id, ask.id, more, body.size(), body);
    }

private:
    static quota::Settings tide_settings() {
        quota::Settings s;
        s.me = "127.0.0.1:1";
        s.life = 1;
        return s;
    }
    static configuration::Chart chart_of() {
        configuration::Chart c;
        c.version = 1;
        configuration::Route pay;
        pay.name = "pay";
        pay.hostname = "a.example";
        pay.path_prefix = "/pay/";
        pay.kind = configuration::RouteKind::NonIdempotent;
        pay.timeout = 400ms;
        pay.target_latency = 300ms;
        pay.to = {{"pay", 1}};
        pay.max_attempts = 3;
        configuration::Route read = pay;
        read.name = "read";
        read.path_prefix = "/read/";
        read.kind = configuration::RouteKind::Idempotent;
        c.routes = {pay, read};
        c.services = {{"pay", "/health", 0}};
        return c;
    }

    void read(ScriptedServer& server, ScriptedServer::Connection& c) {
        char bytes[16384];
        bool ended = false;
        try {
            for (;;) {
                if (c.forgotten && c.socket.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ))
                    return ScriptedServer::reset(c);
                const int n = c.forgotten ? -1 : c.socket.receiveBytes(bytes, sizeof bytes);
                if (n == 0) ended = true;
                if (n <= 0) break;
                c.in.append({bytes, static_cast<std::size_t>(n)});
            }
        } catch (const Poco::Exception&) {
            ended = true;
        }
        if (ended) {
            c.open = false;
            return c.socket.close();
        }
        if (c.waits || c.in.empty()) return;
        const http::Status status = c.parser.parse(c.in);
        cr_assert(status != http::Status::Bad);
        if (!c.parser.head_done()) return;
        Ask ask{std::string(c.parser.header(c.in, "X-Attempt-Id")), std::string(c.parser.method(c.in)),
                std::string(c.parser.target(c.in)), std::string(c.parser.body(c.in)),
                std::string(c.parser.header(c.in, "X-Target-Instance"))};
        if (ask.target == "/health") {
            if (status != http::Status::Done) return;
            finish(c);
            return ScriptedServer::say(
                c,
                fmt::format("HTTP/1.1 200 OK\r\nX-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", server.id));
        }
        if (status != http::Status::Done) {
            if (c.in.size() < 65536 || script(ask, false) != Do::ResetWithin) return;
            ++arrivals[ask.id];
            ++done[Do::ResetWithin];
            return ScriptedServer::reset(c);
        }
        ++arrivals[ask.id];
        finish(c);
        if (ask.tells != server.id)
            return ScriptedServer::say(
                c, fmt::format("HTTP/1.1 421 No\r\nX-Attempt-Id: {}\r\nContent-Length: 0\r\n\r\n", ask.id));
        const Do what = script(ask, true);
        ++done[what];
        if (runs(what)) ++ran[ask.id];
        act(server, c, ask, what);
    }
    static void finish(ScriptedServer::Connection& c) {
        c.in.consume(c.parser.size());
        c.parser.reset();
    }
    void act(ScriptedServer& server, ScriptedServer::Connection& c, const Ask& ask, Do what) {
        using S = ScriptedServer;
        const std::string body = fmt::format("of {} by {}", ask.id, server.id);
        bodies[ask.id] = body;
        const std::string answer = good(ask, body);
        const auto plain = [&](const std::string& head, const std::string& text) {
            S::say(c, fmt::format("HTTP/1.1 {}\r\nContent-Length: {}\r\n\r\n{}", head, text.size(), text));
        };
        const std::string mine = "X-Attempt-Id: " + ask.id;
        open_.insert(ask.id);
        switch (what) {
            case Do::Answer: S::say(c, answer); break;
            case Do::Slow:
                c.waits = true;
                on_later(server, c, [answer](S::Connection& there) {
                    there.waits = false;
                    S::say(there, answer);
                });
                break;
            case Do::Twice: S::say(c, answer + answer); break;
            case Do::CopyLater:
                S::say(c, answer);
                on_later(server, c, [answer](S::Connection& there) { S::say(there, answer); });
                break;
            case Do::OldFirst: S::say(c, c.last + answer); break;
            case Do::CloseAfter:
                S::say(c, good(ask, body, "Connection: close\r\n"));
                c.open = false;
                c.socket.close();
                break;
            case Do::Forget:
                S::say(c, answer);
                c.forgotten = true;
                break;
            case Do::Cut:
                S::say(c, answer.substr(0, answer.size() / 2));
                c.open = false;
                c.socket.close();
                break;
            case Do::CutByReset:
                S::say(c, answer.substr(0, answer.size() - 1));
                S::reset(c);
                break;
            case Do::Reset:
            case Do::ResetUnread:
            case Do::ResetWithin: S::reset(c); break;
            case Do::Silent: c.waits = true; break;
            case Do::Fail: plain("500 No\r\n" + mine, "why-" + ask.id); break;
            case Do::Unsaid503: plain("503 No\r\n" + mine + "\r\nRetry-After: 1", "busy"); break;
            case Do::Unsaid429: plain("429 No\r\n" + mine + "\r\nRetry-After: 1", "busy"); break;
            case Do::Garbage: S::say(c, "\x16\x03nothing of yours\r\n\r\n"); break;
            case Do::NoId: plain("200 OK\r\nX-Server-Seal: s", "stray"); break;
            case Do::NoIdFail: plain("500 No", "stray"); break;
            case Do::OtherId: {
                const auto other = std::find_if(open_.begin(), open_.end(),
                                                [&](const std::string& id) { return id != ask.id; });
                Ask of = ask;
                of.id = other == open_.end() ? "nobody" : *other;
                S::say(c, good(of, "stray"));
                c.waits = true;
                break;
            }
            case Do::Restart: {
                for (S::Connection& each : server.connections) S::reset(each);
                server.id = fmt::format("i-{}", ++last_server_);
                in_turns(turns() * 3, [this] { tell_fleet(); });
                break;
            }
            case Do::Full: plain("503 Full\r\n" + mine + "\r\nX-Not-Executed: 1", "full"); break;
            case Do::kCount: break;
        }
        if (what == Do::Answer || what == Do::Twice) c.last = answer;
    }
    // On that connection, where it is still there.
    void on_later(ScriptedServer& server, const ScriptedServer::Connection& c,
                  std::function<void(ScriptedServer::Connection&)> task) {
        in_turns(turns(), [&server, number = c.number, task = std::move(task)] {
            for (ScriptedServer::Connection& there : server.connections) {
                if (there.number == number && there.open) task(there);
            }
        });
    }

    int turn_ = 0, last_server_ = 0;
    std::multimap<int, std::function<void()>> later_;
    std::set<std::string> open_;
};

// A client's connection.
struct AnswersClient {
    explicit AnswersClient(const std::string& address) : socket(Poco::Net::SocketAddress(address)) {
        socket.setBlocking(false);
        socket.setNoDelay(true);
    }
    struct Answer {
        int status = 0;
        std::string id, seal, body;
        bool retry_after = false;
    };
    void say(const std::string& text) {
        unsent += text;
        flush();
    }
    void flush() {
        try {
            while (!unsent.empty()) {
                const int n = socket.sendBytes(unsent.data(), static_cast<int>(unsent.size()));
                if (n <= 0) return;
                unsent.erase(0, static_cast<std::size_t>(n));
            }
        } catch (const Poco::Exception& error) {
            ended = ended || error.code() != POCO_EWOULDBLOCK;
        }
    }
    std::optional<Answer> next() {
        flush();
        char bytes[16384];
        try {
            for (int n = 0; !ended && (n = socket.receiveBytes(bytes, sizeof bytes)) >= 0;) {
                if (n == 0) ended = true;
                in.append({bytes, static_cast<std::size_t>(n)});
            }
        } catch (const Poco::Exception&) {
            ended = true;
        }
        const http::Status status = parser.parse(in);
        cr_assert(status != http::Status::Bad);
        if (status != http::Status::Done) return std::nullopt;
        Answer a{parser.status(), std::string(parser.header(in, "X-Attempt-Id")),
                 std::string(parser.header(in, "X-Server-Seal")), std::string(parser.body(in)),
                 !parser.header(in, "Retry-After").empty()};
        if (!parser.keep_alive()) closes = true;
        in.consume(parser.size());
        parser.reset();
        return a;
    }

    Poco::Net::StreamSocket socket;
    http::Buffer in;
    http::Parser parser{http::Parser::Kind::Response};
    std::string unsent;
    bool ended = false, closes = false;    // closes: the last answer said so
};

inline std::string ask_text(bool unsafe, const std::string& id, const std::string& body = "",
                            int deadline_ms = 350) {
    const std::string head = fmt::format(
        "{} /{}/{} HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: {}\r\nX-Deadline-Remaining: {}\r\n",
        unsafe ? "POST" : "GET", unsafe ? "pay" : "read", id, id, deadline_ms);
    if (body.empty() && !unsafe) return head + "\r\n";
    return head + fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
}

}    // namespace shaletray::test
