// Building blocks of experiments with real gateways on loopback: child processes, stand-in workers with a
// discovery service, fault proxies and open-loop load clients. Apart from Process, everything runs on one
// reactor's thread.
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

// A child process, killed when this object is destroyed. Its standard error goes to a file.
class Process {
public:
    Process(std::vector<std::string> arguments, std::map<std::string, std::string> environment,
            std::string log_path);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void send_signal(int signal_number);
    // Sends SIGKILL and waits for its end.
    void kill();
    // Sends SIGTERM and waits for its end; the exit status, or -1 if it ended otherwise or had to be killed.
    int terminate();
    // CPU time since its start, in seconds.
    double cpu_seconds() const;
    double peak_mb() const;    // peak resident memory
    bool is_alive();
    pid_t pid() const { return pid_; }
    std::string log_text() const;

private:
    int reap_child();
    pid_t pid_ = 0;
    std::string log_path_;
};

// A TCP port on loopback that is free now.
int find_free_port();

// The environment of a gateway under test, without variables of this process that would affect it.
std::map<std::string, std::string> gateway_environment(const std::string& config,
                                                       const std::string& settings = {});

// Accepts connections and passes them to a handler.
class TestListener {
public:
    using ConnectionHandler = std::function<void(const Poco::Net::StreamSocket&)>;
    // Port 0: any free one.
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

// Workers that answer each request with its id after a service time, and a discovery service that lists them.
class StandInWorkers {
public:
    using RequestObserver = std::function<void(int worker, std::string_view target, TimePoint at)>;
    StandInWorkers(Reactor& reactor, int count, Duration service_time, RequestObserver on_request);
    ~StandInWorkers();

    std::string discovery_address() const { return discovery_->address(); }
    std::string host_list() const;    // as the discovery service sends it

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

// A TCP proxy before a server. While partitioned, it discards all bytes, and new connections stay silent.
class FaultProxy {
public:
    FaultProxy(Reactor& reactor, std::string target_address);
    ~FaultProxy();
    std::string address() const { return acceptor_->address(); }
    // Connections stay open and silent while partitioned; when the partition ends, they are closed, like
    // those that a network has lost.
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

// Sends requests to one gateway when they are due (open loop), on as many connections as that takes.
class HttpLoadClient {
public:
    // Status 0: the connection ended without a response.
    using AnswerCallback = std::function<void(int status, Duration retry_after)>;
    HttpLoadClient(Reactor& reactor, std::string address);
    ~HttpLoadClient();
    // Returns a ticket for abandon_request.
    std::uint64_t send_request(const std::string& request, AnswerCallback on_answer);
    // Closes the connection of that request; its callback is not called.
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
