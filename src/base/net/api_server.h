// Calls over HTTP/1.1: each whole request goes to a taker, which answers it at once or at any later time. A
// connection's calls are taken one after the other, so those that were sent ahead are answered in order.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketNotification.h>

#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "base/common/log.h"
#include "base/http/message.h"
#include "base/net/stream.h"

namespace shaletray {

struct Call {    // its views hold while it is taken
    std::string_view method, target, body;
};
struct Reply {
    int status = 200;
    std::string body = {};
    std::string_view type = "application/json";
    std::string headers = {};    // further ones, each with its line's end
};

class CallServer;

// Who waits for an answer. Kept by whoever is to answer; only for the reactor's thread.
class Caller {
public:
    bool gone() const { return connection_ == nullptr; }    // or answered already
    void answer(Reply reply);                               // nothing, where the caller is gone

private:
    friend class CallServer;
    void* connection_ = nullptr;
    CallServer* server_ = nullptr;
};

class CallServer {
public:
    struct Limits {
        std::size_t most = 256;                 // connections; the one that is idle longest makes room
        std::size_t head = 8 * 1024;            // bytes
        std::size_t body = 64 * 1024 * 1024;    // bytes, unless `body_of` says less
        std::size_t held = 96 * 1024 * 1024;    // bytes of all calls together that were not taken yet
        Duration patience = std::chrono::seconds(3);    // for a head, from its first byte on
        std::size_t pace = 64 * 1024;    // bytes a second that a body has to bring, after `patience`
        Duration idle = std::chrono::seconds(30);    // between two calls
    };
    // What a call's body may be, by its method and target; asked as soon as its head is there.
    using BodyOf = std::function<std::size_t(std::string_view method, std::string_view target)>;
    using Taker = std::function<void(const Call&, std::shared_ptr<Caller>)>;

    // Throws Poco::Exception where the address cannot be listened on.
    static Poco::Net::ServerSocket listen(const std::string& address);
    // The descriptors are the caller's to keep back: `limits.most` and one.
    CallServer(Reactor& reactor, Poco::Net::ServerSocket socket, Limits limits, Taker take,
               BodyOf body_of = {});
    ~CallServer();
    CallServer(const CallServer&) = delete;
    CallServer& operator=(const CallServer&) = delete;

    std::string address() const { return socket_.address().toString(); }
    // Answers end their connections from now on, idle ones are closed, and no new ones are accepted.
    void stop();
    std::size_t under_way() const { return busy_.size(); }    // connections with a call or a part of one
    struct Counts {
        std::uint64_t accepted = 0, calls = 0, refused = 0, gone = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    friend class Caller;
    struct Connection;
    using List = std::list<std::unique_ptr<Connection>>;

    void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
    bool accept();
    void accept_on(bool wanted);
    void pause_accepting();
    void serve(Connection& c);
    bool take_next(Connection& c);
    void refuse(Connection& c, int status, std::string_view why);
    void answer(Connection& c, Reply reply);
    void write(Connection& c, const Reply& reply);
    void settle(Connection& c);
    void sent(Connection& c);
    void hold(Connection& c);
    void close(Connection& c);
    void sweep();

    Reactor& reactor_;
    Poco::Net::ServerSocket socket_;
    Limits limits_;
    Taker take_;
    BodyOf body_of_;
    List busy_, idle_;    // the longest standing first
    std::size_t held_ = 0;
    bool accepting_ = false, stopping_ = false;
    Timers::Id sweep_timer_ = 0, pause_timer_ = 0;
    LogGate gate_;
    Counts counts_;
};

// Answers GET /readiness, and nothing else, by 200 or 503.
std::unique_ptr<CallServer> serve_readiness(Reactor& reactor, const std::string& address,
                                            std::function<bool()> ready);

}    // namespace shaletray
