// Two toy servers and a toy discovery for a first try of the gateway, all on loopback addresses:
//   toy_server [milliseconds of work for each request]
// The servers answer every request with a line of their own; discovery lists both for ever.
#include <Poco/Net/HTTPRequestHandler.h>
#include <Poco/Net/HTTPRequestHandlerFactory.h>
#include <Poco/Net/HTTPServer.h>
#include <Poco/Net/HTTPServerRequest.h>
#include <Poco/Net/HTTPServerResponse.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/NullStream.h>
#include <Poco/StreamCopier.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <string>
#include <thread>

namespace {

using namespace std::chrono_literals;
using Poco::Net::HTTPServerRequest;
using Poco::Net::HTTPServerResponse;
using Handle = std::function<void(HTTPServerRequest&, HTTPServerResponse&)>;

std::atomic<bool> over{false};

class Handler : public Poco::Net::HTTPRequestHandler {
public:
    explicit Handler(Handle handle) : handle_(std::move(handle)) {}
    void handleRequest(HTTPServerRequest& request, HTTPServerResponse& response) override {
        Poco::NullOutputStream nowhere;
        Poco::StreamCopier::copyStream(request.stream(), nowhere);
        handle_(request, response);
    }

private:
    Handle handle_;
};

class Factory : public Poco::Net::HTTPRequestHandlerFactory {
public:
    explicit Factory(Handle handle) : handle_(std::move(handle)) {}
    Poco::Net::HTTPRequestHandler* createRequestHandler(const HTTPServerRequest&) override {
        return new Handler(handle_);
    }

private:
    Handle handle_;
};

class Server {
public:
    Server(const std::string& address, const Handle& handle)
        : server_(new Factory(handle), Poco::Net::ServerSocket(Poco::Net::SocketAddress(address)),
                  new Poco::Net::HTTPServerParams) {
        server_.start();
    }
    ~Server() { server_.stopAll(true); }

private:
    Poco::Net::HTTPServer server_;
};

Handle worker(const std::string& name, std::chrono::milliseconds work) {
    return [=](HTTPServerRequest& request, HTTPServerResponse& response) {
        if (request.getURI() != "/health/live") std::this_thread::sleep_for(work);
        const std::string text = name + " served " + request.getMethod() + " " + request.getURI() + "\n";
        response.set("X-Backend-Load", "latency_ms=" + std::to_string(work.count()) + ",util=0.10");
        response.setContentType("text/plain");
        response.setContentLength(static_cast<int>(text.size()));
        response.send() << text;
    };
}

std::string member(const std::string& id, const std::string& address) {
    return R"({"id":")" + id + R"(","host_port":")" + address +
           R"(","locality":"room-a","flavor":"std-2core","cell":0,"phase":"in_service","size":1.0,"up_since_ms":0})";
}

void watch(HTTPServerRequest&, HTTPServerResponse& response) {
    response.setChunkedTransferEncoding(true);
    std::ostream& out = response.send();
    out << R"({"revision":2,"complete":true,"members":[)" << member("toy-1", "127.0.0.1:4001") << ","
        << member("toy-2", "127.0.0.1:4002") << "]}\n"
        << std::flush;
    for (int i = 1; !over && out.good(); ++i) {
        std::this_thread::sleep_for(100ms);
        if (i % 20 == 0) out << "\n" << std::flush;    // nothing has changed
    }
}

}    // namespace

int main(int count, char** arguments) {
    std::signal(SIGINT, [](int) { over = true; });
    std::signal(SIGTERM, [](int) { over = true; });
    std::signal(SIGPIPE, SIG_IGN);
    try {
        const std::chrono::milliseconds work(count > 1 ? std::atoi(arguments[1]) : 20);
        const Server one("127.0.0.1:4001", worker("toy-1", work)),
            two("127.0.0.1:4002", worker("toy-2", work));
        const Server discovery("127.0.0.1:8500", watch);
        std::cout << "toy servers on 127.0.0.1:4001 and 4002, discovery on 127.0.0.1:8500" << std::endl;
        while (!over) std::this_thread::sleep_for(50ms);
        return EXIT_SUCCESS;
    } catch (const Poco::Exception& error) {
        std::cerr << "toy_server: " << error.displayText() << '\n';
        return EXIT_FAILURE;
    }
}
