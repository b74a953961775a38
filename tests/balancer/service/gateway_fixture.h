// Fixture for tests of a whole gateway on real sockets, with stub servers and a stub of the discovery service
// that use POCO's HTTP server.
#pragma once

#include <Poco/Net/DatagramSocket.h>
#include <Poco/Net/HTTPClientSession.h>
#include <Poco/Net/HTTPRequest.h>
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPResponse.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequestImpl.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Pipe.h>
#include <Poco/PipeStream.h>
#include <Poco/Process.h>
#include <Poco/StreamCopier.h>
#include <Poco/TemporaryFile.h>
#include <fmt/format.h>
#include <gtest/gtest.h>

#include <atomic>
#include <condition_variable>
#include <csignal>
#include <fstream>
#include <mutex>
#include <thread>

#include "balancer/service/gateway_service.h"
#include "decision/gateway_settings.h"

namespace shaletray::test {

using namespace std::chrono_literals;
using Poco::Net::HTTPRequest;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;

using RequestFunction = std::function<void(HTTPServerRequest&, HTTPServerResponse&)>;

struct FunctionHandler : Poco::Net::HTTPRequestHandler {
    explicit FunctionHandler(RequestFunction function) : function_(std::move(function)) {}
    void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) override {
        function_(request, response);
    }

private:
    RequestFunction function_;
};

struct FunctionHandlerFactory : Poco::Net::HTTPRequestHandlerFactory {
    explicit FunctionHandlerFactory(RequestFunction function) : function_(std::move(function)) {}
    Poco::Net::HTTPRequestHandler* createRequestHandler(const HTTPServerRequest&) override {
        return new FunctionHandler(function_);    // the server owns it
    }

private:
    RequestFunction function_;
};

class HttpStub {
public:
    explicit HttpStub(const RequestFunction& function)
        : socket_(Poco::Net::SocketAddress("127.0.0.1", 0)),
          server_(new FunctionHandlerFactory(function), socket_, new Poco::Net::HTTPServerParams) {
        server_.start();
    }
    ~HttpStub() { server_.stopAll(true); }
    std::string address() const { return socket_.address().toString(); }
    int connections() const { return server_.totalConnections(); }

private:
    Poco::Net::ServerSocket socket_;
    Poco::Net::HTTPServer server_;
};

// A server that answers with the request's id and body, or misbehaves according to its mode.
struct StubServer {
    enum class Mode { Answer, Reset, Hang, Slow };
    explicit StubServer(Mode initial_mode = Mode::Answer) : mode(initial_mode) {}

    Mode mode;
    std::atomic<int> requests{0};
    std::atomic<bool> is_stopping{false};
    std::atomic<int> reported_units{0};    // actual units that its responses report; 0: not reported
    HttpStub stub{[this](HTTPServerRequest& request, HTTPServerResponse& response) {
        std::string body;
        Poco::StreamCopier::copyToString(request.stream(), body);
        ++requests;
        if (mode == Mode::Reset) {
            auto& real = dynamic_cast<Poco::Net::HTTPServerRequestImpl&>(request);
            real.socket().setLinger(true, 0);
            real.detachSocket().close();
            return;
        }
        while (mode == Mode::Hang && !is_stopping) std::this_thread::sleep_for(5ms);
        if (mode == Mode::Slow) std::this_thread::sleep_for(300ms);
        const std::string answer = request.get("X-Correlation-Id") + ":" + body;
        response.setContentLength(static_cast<int>(answer.size()));
        if (reported_units > 0) response.set("X-Cost-Units", std::to_string(reported_units));
        response.send() << answer;
    }};
    ~StubServer() { is_stopping = true; }
};

// Answers each request with the same bytes, whatever they are, and leaves the connection open.
class RawServer {
public:
    explicit RawServer(std::string answer) : answer_(std::move(answer)) {
        thread_ = std::thread([this] { serve(); });
    }
    ~RawServer() {
        is_stopping_ = true;
        thread_.join();
    }
    std::string address() const { return socket_.address().toString(); }
    std::atomic<int> requests{0};

private:
    void serve() {
        std::vector<Poco::Net::StreamSocket> open;
        while (!is_stopping_) {
            if (socket_.poll(Poco::Timespan(0, 1000), Poco::Net::Socket::SELECT_READ))
                open.push_back(socket_.acceptConnection());
            for (Poco::Net::StreamSocket& client : open) {
                if (!client.poll(Poco::Timespan(0, 0), Poco::Net::Socket::SELECT_READ)) continue;
                char bytes[4096];
                try {
                    if (client.receiveBytes(bytes, sizeof bytes) <= 0) continue;
                    ++requests;
                    client.sendBytes(answer_.data(), static_cast<int>(answer_.size()));
                } catch (const Poco::Exception&) {
                    // The gateway may close the connection at any time.
                }
            }
        }
    }

    std::string answer_;
    Poco::Net::ServerSocket socket_{Poco::Net::SocketAddress("127.0.0.1", 0)};
    std::atomic<bool> is_stopping_{false};
    std::thread thread_;
};

// Sends its full list, then each announced change, and an empty line as keep-alive every 50 ms.
class DiscoveryStub {
public:
    explicit DiscoveryStub(const std::string& members) { announce(members, true); }
    ~DiscoveryStub() {
        const std::lock_guard lock(mutex_);
        is_stopping_ = true;
        changed_.notify_all();
    }
    std::string address() const { return stub_.address(); }
    // Closes the open watch, after waiting for one to open.
    void close_watch() {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, 10s, [&] { return written_lines_ > 0; });
        ++closed_watches_;
        changed_.notify_all();
    }
    // Returns once the line is written.
    void announce(const std::string& members, bool complete = false) {
        std::unique_lock lock(mutex_);
        lines_.push_back(R"({"revision":)" + std::to_string(lines_.size() + 2) + R"(,"complete":)" +
                         (complete ? "true" : "false") + R"(,"members":[)" + members + "]}\n");
        changed_.notify_all();
        if (!complete) changed_.wait_for(lock, 10s, [&] { return written_lines_ == lines_.size(); });
    }

private:
    void watch(HTTPServerResponse& response) {
        response.setChunkedTransferEncoding(true);
        std::ostream& out = response.send();
        std::unique_lock lock(mutex_);
        const int own_watch = closed_watches_;
        for (std::size_t next = 0; !is_stopping_ && own_watch == closed_watches_ && out.good();) {
            while (next < lines_.size()) out << lines_[next++] << std::flush;
            written_lines_ = next;
            changed_.notify_all();
            changed_.wait_for(lock, 50ms, [&] {
                return is_stopping_ || own_watch != closed_watches_ || next < lines_.size();
            });
            out << "\n" << std::flush;
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> lines_;
    std::size_t written_lines_ = 0;
    bool is_stopping_ = false;
    int closed_watches_ = 0;
    HttpStub stub_{[this](HTTPServerRequest&, HTTPServerResponse& response) { watch(response); }};
};

class Gateway {
public:
    Gateway(const std::string& discovery, const std::string& known, const std::string& settings = kSettings)
        : Gateway(parse_config(config_text(discovery, known, settings))) {}
    explicit Gateway(GatewayConfig config) : service_(std::move(config)) {
        thread_ = std::thread([this] {
            service_.run([this] {
                ++iterations;
                if (stop_) service_.request_stop();
            });
            is_stopped_ = true;
        });
    }
    ~Gateway() { stop_and_join(); }
    void stop() { stop_ = true; }
    bool wait_until_stopped(std::chrono::milliseconds timeout) const {
        for (const auto deadline = std::chrono::steady_clock::now() + timeout;
             !is_stopped_ && std::chrono::steady_clock::now() < deadline;)
            std::this_thread::sleep_for(1ms);
        return is_stopped_;
    }
    // Stops the gateway and waits for its thread; the counters may be read afterwards.
    const Counters& stop_and_join() {
        stop();
        if (thread_.joinable()) thread_.join();
        return service_.counters();
    }
    std::string address() const { return service_.client_address(); }
    std::string admin_address() const { return service_.admin_address(); }
    std::string peer_address() const { return service_.peer_address(); }

    std::atomic<long> iterations{0};

private:
    GatewayService service_;
    std::atomic<bool> stop_{false}, is_stopped_{false};
    std::thread thread_;
};

struct Answer {
    int status = 0;
    std::string body, retry_after;
    bool keep_alive = false;
};

class Client {
public:
    explicit Client(const Gateway& gateway) : Client(gateway.address()) {}
    explicit Client(const std::string& address) : session_(Poco::Net::SocketAddress(address)) {
        session_.setKeepAlive(true);
        session_.setTimeout(Poco::Timespan(20, 0));
    }
    Answer send_request(const std::string& path, const std::string& plan = "open",
                        const std::string& time_left = "1500m", const std::string& body = "") {
        const bool is_read = path.starts_with("/read") || path.starts_with("/health");
        HTTPRequest request(is_read ? "GET" : "POST", path, HTTPRequest::HTTP_1_1);
        request.set("X-Correlation-Id", fmt::format("id-{}", ++request_count_));
        request.set("X-Tier", plan);
        request.set("Cookie", "customer=00000000b4d65521");
        request.set("X-Call-Terms", "units=2,spread=1,first=0");
        request.set("X-Time-Left", time_left);
        if (path.starts_with("/submit")) request.set("Idempotency-Key", fmt::format("k{}", request_count_));
        if (!is_read) request.setContentLength(static_cast<int>(body.size()));
        session_.sendRequest(request) << body;
        Poco::Net::HTTPResponse response;
        Answer answer;
        Poco::StreamCopier::copyToString(session_.receiveResponse(response), answer.body);
        answer.status = response.getStatus();
        answer.retry_after = response.get("Retry-After", "");
        answer.keep_alive = response.getKeepAlive();
        return answer;
    }

private:
    Poco::Net::HTTPClientSession session_;
    int request_count_ = 0;
};

// A connection that sends raw text and reads until the gateway closes it.
class RawConnection {
public:
    RawConnection(const Gateway& gateway, const std::string& text) : RawConnection(gateway.address(), text) {}
    RawConnection(const std::string& address, const std::string& text)
        : socket_(Poco::Net::SocketAddress(address)) {
        socket_.setReceiveTimeout(Poco::Timespan(30, 0));
        if (!text.empty()) send(text);
    }
    void send(const std::string& text) { socket_.sendBytes(text.data(), static_cast<int>(text.size())); }
    std::string read_to_end() const {
        std::string answer;
        char bytes[512];
        Poco::Net::StreamSocket socket = socket_;    // shares the connection
        for (int count; (count = socket.receiveBytes(bytes, sizeof bytes)) > 0;)
            answer.append(bytes, bytes + count);
        return answer;
    }

private:
    Poco::Net::StreamSocket socket_;
};

inline std::string member_entries(const StubServer& a, const StubServer& b) {
    return member("a", a.stub.address()) + "," + member("b", b.stub.address());
}

}    // namespace shaletray::test
