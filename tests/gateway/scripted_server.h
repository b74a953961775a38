// Servers over loopback that treat each request as a script prescribes, without sleeping.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <functional>
#include <list>
#include <string>
#include <utility>

#include "base/http/message.h"

namespace shaletray::test {

// How a server treats a request. From Respond to Restart it executes the request; with the others it does
// not.
enum class ServerBehaviour {
    Respond,
    SlowResponse,             // responds some turns later
    DuplicateResponse,        // sends a second copy of the response in the same write
    LateDuplicate,            // sends a second copy some turns later, where the next response is expected
    PreviousResponseFirst,    // repeats the connection's last response, then sends its own
    CloseAfterResponse,       // announces that it closes the connection, and closes it
    ResetOnNextInput,         // responds, and resets the connection at its next input, unread
    TruncatedResponse,        // closes the connection in the middle of the response
    ResetDuringResponse,      // resets the connection in the middle of the response
    ResetAfterExecution,      // after the request was read and executed
    NoResponse,               // never responds
    ServerError,              // 500
    Unmarked503,              // 503 without X-Not-Executed
    Unmarked429,              // 429 without X-Not-Executed
    MalformedResponse,        // not HTTP
    SuccessWithoutId,         // a complete success response without an id
    FailureWithoutId,         // a complete failure response without an id
    WrongId,                  // only a complete success response of another open request
    Restart,                  // resets all its connections; another server takes over its address
    Overloaded,               // 503 with X-Not-Executed
    ResetBeforeRead,          // resets before the request was read
    ResetDuringRead,          // resets after a part of the request was read
    kCount
};
inline bool executes_request(ServerBehaviour behaviour) { return behaviour <= ServerBehaviour::Restart; }

// How a server treats a request whose body is still arriving: it responds at once, or falls silent, and stops
// reading.
enum class EarlyResponse {
    None,
    Silence,
    NotExecuted503,
    NotExecuted429,
    Misdirected421,
    ServerError500,
    Refused403
};
constexpr std::size_t kEarlyResponseSize = 32 * 1024;    // bytes that have arrived by then
// Status line and headers, without the last line end.
inline const char* early_status_line(EarlyResponse kind) {
    switch (kind) {
        case EarlyResponse::NotExecuted503: return "503 Full\r\nX-Not-Executed: 1";
        case EarlyResponse::NotExecuted429: return "429 Full\r\nX-Not-Executed: 1";
        case EarlyResponse::Misdirected421: return "421 No";
        case EarlyResponse::ServerError500: return "500 No";
        default: return "403 No";
    }
}

struct ServerRequest {
    std::string id, method, target, body,
        target_instance;    // target_instance: the server that the request names
};

// A server at one address. Its id changes when it is replaced by another server.
class ScriptedServer {
public:
    struct Connection {
        Poco::Net::StreamSocket socket;
        http::Buffer input;
        http::Parser parser{http::Parser::Kind::Request, {16 * 1024, 64 * 1024 * 1024, 100}};
        std::string last_response;    // last response sent
        bool resets_on_input = false, is_open = true, is_paused = false;
        bool stops_reading = false,
             has_responded_early = false;    // has_responded_early: to the request at hand
        std::uint64_t number = 0;
    };
    explicit ScriptedServer(std::string name) : id(std::move(name)) {
        listening_socket_.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true, false);
        listening_socket_.listen(64);
        listening_socket_.setReceiveBufferSize(kReceiveBufferSize);
        listening_socket_.setBlocking(false);
        address = listening_socket_.address().toString();
    }
    void poll_connections(const std::function<void(ScriptedServer&, Connection&)>& on_connection) {
        if (!is_listening_) return;
        while (listening_socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            Connection& connection = connections.emplace_back();
            connection.socket = listening_socket_.acceptConnection();
            connection.socket.setBlocking(false);
            connection.socket.setNoDelay(true);    // the test's clock runs ahead of the system clock
            connection.number = ++last_number_;
        }
        for (Connection& connection : connections) {
            if (connection.is_open) on_connection(*this, connection);
        }
        connections.remove_if([](const Connection& connection) { return !connection.is_open; });
    }
    void shut_down() {    // stops listening and resets all connections
        is_listening_ = false;
        for (Connection& connection : connections) reset(connection);
        connections.clear();
        listening_socket_.close();
    }
    static void reset(Connection& connection) {
        if (!std::exchange(connection.is_open, false)) return;
        connection.socket.setLinger(true, 0);
        connection.socket.close();
    }
    static void send(Connection& connection, const std::string& bytes) {
        if (!connection.is_open) return;
        try {
            connection.socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        } catch (const Poco::Exception&) {
            connection.is_open = false;    // the server pool had closed it
        }
    }

    std::string id, address;
    std::list<Connection> connections;

private:
    static constexpr int kReceiveBufferSize =
        64 * 1024;    // bytes, so that a server that stops reading is felt
    Poco::Net::ServerSocket listening_socket_;
    bool is_listening_ = true;
    std::uint64_t last_number_ = 0;
};

}    // namespace shaletray::test
