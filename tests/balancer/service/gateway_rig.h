// A whole gateway on real sockets, against servers and a discovery made of POCO's HTTP server.
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

using Handle = std::function<void(HTTPServerRequest&, HTTPServerResponse&)>;

struct Handler : Poco::Net::HTTPRequestHandler {
    explicit Handler(Handle handle) : handle_(std::move(handle)) {}
    void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) override {
        handle_(request, response);
    }

private:
    Handle handle_;
};

struct Factory : Poco::Net::HTTPRequestHandlerFactory {
    explicit Factory(Handle handle) : handle_(std::move(handle)) {}
    Poco::Net::HTTPRequestHandler* createRequestHandler(const HTTPServerRequest&) override {
        return new Handler(handle_);    // the server owns it
    }

private:
    Handle handle_;
};

class HttpStub {
public:
    explicit HttpStub(const Handle& handle)
        : socket_(Poco::Net::SocketAddress("127.0.0.1", 0)),
          server_(new Factory(handle), socket_, new Poco::Net::HTTPServerParams) {
        server_.start();
    }
    ~HttpStub() { server_.stopAll(true); }
    std::string address() const { return socket_.address().toString(); }
    int connections() const { return server_.totalConnections(); }

private:
    Poco::Net::ServerSocket socket_;
    Poco::Net::HTTPServer server_;
};

// A server that answers with the request's id and body, or does as it is told.
struct Server {
    enum class Mode { Answer, Reset, Hang, Slow };
    explicit Server(Mode how = Mode::Answer) : mode(how) {}

    Mode mode;
    std::atomic<int> requests{0};
    std::atomic<bool> over{false};
    std::atomic<int> cost{0};    // the true units that its answers tell; 0: none
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
        while (mode == Mode::Hang && !over) std::this_thread::sleep_for(5ms);
        if (mode == Mode::Slow) std::this_thread::sleep_for(300ms);
        const std::string answer = request.get("X-Correlation-Id") + ":" + body;
        response.setContentLength(static_cast<int>(answer.size()));
        if (cost > 0) response.set("X-Cost-Units", std::to_string(cost));
        response.send() << answer;
    }};
    ~Server() { over = true; }
};

// Answers each request with the same bytes, whatever they are, and leaves the connection open.
class RawServer {
public:
    explicit RawServer(std::string answer) : answer_(std::move(answer)) {
        thread_ = std::thread([this] { serve(); });
    }
    ~RawServer() {
        over_ = true;
        thread_.join();
    }
    std::string address() const { return socket_.address().toString(); }
    std::atomic<int> requests{0};

private:
    void serve() {
        std::vector<Poco::Net::StreamSocket> open;
        while (!over_) {
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
                    // The gateway ended it, as it may.
                }
            }
        }
    }

    std::string answer_;
    Poco::Net::ServerSocket socket_{Poco::Net::SocketAddress("127.0.0.1", 0)};
    std::atomic<bool> over_{false};
    std::thread thread_;
};

// Gives its list once, then each line that is told, and an empty one now and then.
class Discovery {
public:
    explicit Discovery(const std::string& members) { tell(members, true); }
    ~Discovery() {
        const std::lock_guard lock(mutex_);
        over_ = true;
        changed_.notify_all();
    }
    std::string address() const { return stub_.address(); }
    // Ends the watch that is open, once there is one.
    void hang_up() {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, 10s, [&] { return written_ > 0; });
        ++hung_up_;
        changed_.notify_all();
    }
    // Returns once the line is written.
    void tell(const std::string& members, bool complete = false) {
        std::unique_lock lock(mutex_);
        lines_.push_back(R"({"revision":)" + std::to_string(lines_.size() + 2) + R"(,"complete":)" +
                         (complete ? "true" : "false") + R"(,"members":[)" + members + "]}\n");
        changed_.notify_all();
        if (!complete) changed_.wait_for(lock, 10s, [&] { return written_ == lines_.size(); });
    }

private:
    void watch(HTTPServerResponse& response) {
        response.setChunkedTransferEncoding(true);
        std::ostream& out = response.send();
        std::unique_lock lock(mutex_);
        const int mine = hung_up_;
        for (std::size_t next = 0; !over_ && mine == hung_up_ && out.good();) {
            while (next < lines_.size()) out << lines_[next++] << std::flush;
            written_ = next;
            changed_.notify_all();
            changed_.wait_for(lock, 50ms, [&] { return over_ || mine != hung_up_ || next < lines_.size(); });
            out << "\n" << std::flush;
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> lines_;
    std::size_t written_ = 0;
    bool over_ = false;
    int hung_up_ = 0;
    HttpStub stub_{[this](HTTPServerRequest&, HTTPServerResponse& response) { watch(response); }};
};

class Gateway {
public:
    Gateway(const std::string& discovery, const std::string& known, const std::string& settings = kSettings)
        : Gateway(parse_config(config_text(discovery, known, settings))) {}
    explicit Gateway(GatewayConfig config) : service_(std::move(config)) {
        thread_ = std::thread([this] {
            service_.run([this] {
                ++turns;
                if (stop_) service_.request_stop();
            });
            ended_ = true;
        });
    }
    ~Gateway() { end(); }
    void stop() { stop_ = true; }
    bool ended(std::chrono::milliseconds within) const {
        for (const auto end = std::chrono::steady_clock::now() + within;
             !ended_ && std::chrono::steady_clock::now() < end;)
            std::this_thread::sleep_for(1ms);
        return ended_;
    }
    // Ends it; its counters may be read then.
    const Counters& end() {
        stop();
        if (thread_.joinable()) thread_.join();
        return service_.counters();
    }
    std::string address() const { return service_.client_address(); }
    std::string admin_address() const { return service_.admin_address(); }
    std::string peer_address() const { return service_.peer_address(); }

    std::atomic<long> turns{0};

private:
    GatewayService service_;
    std::atomic<bool> stop_{false}, ended_{false};
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
    Answer ask(const std::string& path, const std::string& plan = "open", const std::string& left = "1500m",
               const std::string& body = "") {
        const bool reads = path.starts_with("/read") || path.starts_with("/health");
        HTTPRequest request(reads ? "GET" : "POST", path, HTTPRequest::HTTP_1_1);
        request.set("X-Correlation-Id", fmt::format("id-{}", ++asked_));
        request.set("X-Tier", plan);
        request.set("Cookie", "customer=00000000b4d65521");
        request.set("X-Call-Terms", "units=2,spread=1,first=0");
        request.set("X-Time-Left", left);
        if (path.starts_with("/submit")) request.set("Idempotency-Key", fmt::format("k{}", asked_));
        if (!reads) request.setContentLength(static_cast<int>(body.size()));
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
    int asked_ = 0;
};

// A client of few words: sends a text, and reads until the gateway ends the connection.
class Talk {
public:
    Talk(const Gateway& gateway, const std::string& text) : Talk(gateway.address(), text) {}
    Talk(const std::string& address, const std::string& text) : socket_(Poco::Net::SocketAddress(address)) {
        socket_.setReceiveTimeout(Poco::Timespan(30, 0));
        if (!text.empty()) say(text);
    }
    void say(const std::string& text) { socket_.sendBytes(text.data(), static_cast<int>(text.size())); }
    std::string rest() const {
        std::string answer;
        char bytes[512];
        Poco::Net::StreamSocket socket = socket_;    // a handle of the same
        for (int n; (n = socket.receiveBytes(bytes, sizeof bytes)) > 0;) answer.append(bytes, bytes + n);
        return answer;
    }

private:
    Poco::Net::StreamSocket socket_;
};

inline std::string two(const Server& a, const Server& b) {
    return member("a", a.stub.address()) + "," + member("b", b.stub.address());
}

}    // namespace shaletray::test
