// What experiments with real gateways are made of, all on loopback and on one reactor: processes, stand-in
// workers with their discovery, relays that can be cut, and open-loop callers.
#pragma once

#include <Poco/Net/ServerSocket.h>
#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/http/message.h"
#include "base/net/reactor.h"
#include "base/net/stream.h"

namespace shaletray::testbed {

// A child process; killed with this object. Its standard error goes to a file.
class Process {
public:
    Process(std::vector<std::string> words, std::map<std::string, std::string> environment, std::string log);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void signal(int number);
    // SIGKILL, and until it is gone.
    void kill();
    // SIGTERM, and until it is gone; its exit status, or -1 where it ended otherwise or had to be killed.
    int end();
    // Time on a core since its start, in seconds.
    double cpu() const;
    double peak_mb() const;    // of memory that was resident at a time
    bool alive();
    pid_t pid() const { return pid_; }
    std::string log_text() const;

private:
    int reap();
    pid_t pid_ = 0;
    std::string log_;
};

int free_port();

// What a gateway under test is started with; nothing of ours may stand in its way.
std::map<std::string, std::string> gateway_environment(const std::string& config,
                                                       const std::string& settings = {});

class Acceptor {
public:
    using Take = std::function<void(const Poco::Net::StreamSocket&)>;
    // Port 0: any.
    Acceptor(Reactor& reactor, int port, Take take);
    Acceptor(Reactor& reactor, const std::string& address, Take take);
    ~Acceptor();
    int port() const { return socket_.address().port(); }
    std::string address() const { return socket_.address().toString(); }

private:
    void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
    Reactor& reactor_;
    Poco::Net::ServerSocket socket_;
    Take take_;
};

// One HTTP connection of a stand-in server.
class HttpPeer;

// Workers that answer each request after a while with its id, and a discovery that lists them.
class Workers {
public:
    using Seen = std::function<void(int worker, std::string_view target, TimePoint at)>;
    Workers(Reactor& reactor, int count, Duration work, Seen seen);
    ~Workers();

    std::string discovery() const { return discovery_->address(); }
    std::string list() const;    // as discovery gives it

private:
    friend class HttpPeer;
    void accept(int worker, const Poco::Net::StreamSocket& socket);
    void serve(HttpPeer& peer);
    void forget(HttpPeer& peer);

    Reactor& reactor_;
    Duration work_;
    Seen seen_;
    std::vector<std::unique_ptr<Acceptor>> workers_;
    std::unique_ptr<Acceptor> discovery_;
    std::list<std::unique_ptr<HttpPeer>> peers_;
};

// Between a gateway and a store. Cut, it swallows all that comes, and new connections stay silent.
class Relay {
public:
    Relay(Reactor& reactor, std::string to);
    ~Relay();
    std::string address() const { return acceptor_->address(); }
    // Connections that stand are ended where it is cut and where it is joined: as a network does that lost
    // them.
    void cut(bool is);

private:
    class Pair;
    void accept(const Poco::Net::StreamSocket& socket);
    void forget(Pair& pair);

    Reactor& reactor_;
    std::string to_;
    bool cut_ = false;
    std::unique_ptr<Acceptor> acceptor_;
    std::list<std::unique_ptr<Pair>> pairs_;
};

// Asks one gateway, each request when it is due, on as many connections as it takes.
class Caller {
public:
    // 0: the connection ended without an answer.
    using Answered = std::function<void(int status, Duration retry_after)>;
    Caller(Reactor& reactor, std::string address);
    ~Caller();
    // A ticket, for who may leave before the answer.
    std::uint64_t ask(const std::string& request, Answered answered);
    // Closes the connection on which that is asked; nothing is told of it.
    void leave(std::uint64_t ticket);
    std::size_t open() const { return busy_; }

private:
    class Line;
    void ended(Line& line, int status, Duration retry_after, bool keep);

    Reactor& reactor_;
    std::string address_;
    std::list<std::unique_ptr<Line>> lines_;
    std::size_t busy_ = 0;
    std::uint64_t last_ = 0;
};

}    // namespace shaletray::testbed
