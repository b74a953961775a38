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
    Process(std::vector<std::string> arguments, std::map<std::string, std::string> environment,
            std::string log_path);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void send_signal(int signal_number);
    // SIGKILL, and until it is gone.
    void kill();
    // SIGTERM, and until it is gone; its exit status, or -1 where it ended otherwise or had to be killed.
    int terminate();
    // Time on a core since its start, in seconds.
    double cpu_seconds() const;
    double peak_mb() const;    // of memory that was resident at a time
    bool is_alive();
    pid_t pid() const { return pid_; }
    std::string log_text() const;

private:
    int reap_child();
    pid_t pid_ = 0;
    std::string log_path_;
};

int find_free_port();

// What a gateway under test is started with; nothing of ours may stand in its way.
std::map<std::string, std::string> gateway_environment(const std::string& config,
                                                       const std::string& settings = {});

class TestListener {
public:
    using ConnectionHandler = std::function<void(const Poco::Net::StreamSocket&)>;
    // Port 0: any.
    TestListener(Reactor& reactor, int port, ConnectionHandler handle_connection);
    TestListener(Reactor& reactor, const std::string& address, ConnectionHandler handle_connection);
    ~TestListener();
    int port() const { return socket_.address().port(); }
    std::string address() const { return socket_.address().toString(); }

private:
    void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);
    Reactor& reactor_;
    Poco::Net::ServerSocket socket_;
    ConnectionHandler handle_connection_;
};

// One HTTP connection of a stand-in server.
class HttpServerConnection;

// Workers that answer each request after a while with its id, and a discovery that lists them.
class StandInWorkers {
public:
    using RequestObserver = std::function<void(int worker, std::string_view target, TimePoint at)>;
    StandInWorkers(Reactor& reactor, int count, Duration service_time, RequestObserver on_request);
    ~StandInWorkers();

    std::string discovery_address() const { return discovery_->address(); }
    std::string host_list() const;    // as discovery gives it

private:
    friend class HttpServerConnection;
    void accept_connection(int worker, const Poco::Net::StreamSocket& socket);
    void process_input(HttpServerConnection& connection);
    void remove_connection(HttpServerConnection& connection);

    Reactor& reactor_;
    Duration service_time_;
    RequestObserver on_request_;
    std::vector<std::unique_ptr<TestListener>> workers_;
    std::unique_ptr<TestListener> discovery_;
    std::list<std::unique_ptr<HttpServerConnection>> connections_;
};

// Between a gateway and a store. Cut, it swallows all that comes, and new connections stay silent.
class FaultProxy {
public:
    FaultProxy(Reactor& reactor, std::string target_address);
    ~FaultProxy();
    std::string address() const { return acceptor_->address(); }
    // Connections that stand are ended where it is cut and where it is joined: as a network does that lost
    // them.
    void set_partitioned(bool partitioned);

private:
    class ConnectionPair;
    void accept_connection(const Poco::Net::StreamSocket& socket);
    void remove_pair(ConnectionPair& pair);

    Reactor& reactor_;
    std::string target_address_;
    bool partitioned_ = false;
    std::unique_ptr<TestListener> acceptor_;
    std::list<std::unique_ptr<ConnectionPair>> pairs_;
};

// Asks one gateway, each request when it is due, on as many connections as it takes.
class HttpLoadClient {
public:
    // 0: the connection ended without an answer.
    using AnswerCallback = std::function<void(int status, Duration retry_after)>;
    HttpLoadClient(Reactor& reactor, std::string address);
    ~HttpLoadClient();
    // A ticket, for who may leave before the answer.
    std::uint64_t send_request(const std::string& request, AnswerCallback on_answer);
    // Closes the connection on which that is asked; nothing is told of it.
    void abandon_request(std::uint64_t ticket);
    std::size_t open_requests() const { return busy_connections_; }

private:
    class Connection;
    void on_request_ended(Connection& connection, int status, Duration retry_after, bool keep_alive);

    Reactor& reactor_;
    std::string address_;
    std::list<std::unique_ptr<Connection>> connections_;
    std::size_t busy_connections_ = 0;
    std::uint64_t last_ticket_ = 0;
};

}    // namespace shaletray::testbed
