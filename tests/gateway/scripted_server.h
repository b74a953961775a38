// Servers over loopback that do to each request what a script says, and do not sleep.
#pragma once

#include <Poco/Net/ServerSocket.h>

#include <functional>
#include <list>
#include <string>
#include <utility>

#include "base/http/message.h"

namespace shaletray::test {

// What a server does to a request. Those from Answer to Restart have executed it, the others have not.
enum class ServerBehaviour {
    Answer,
    SlowAnswer,             // answers some turns later
    DuplicateAnswer,        // a second copy of the answer in the same write
    LateDuplicate,          // a second copy some turns later, where the next answer is expected
    PreviousAnswerFirst,    // the connection's last answer once more, then its own
    CloseAfterAnswer,       // says so, and does
    ResetOnNextInput,       // answers, and resets at whatever comes next on this connection, unread
    TruncatedAnswer,        // ends the connection in the middle of the answer
    ResetDuringAnswer,      // the same, by a reset
    ResetAfterExecution,    // after the request was read and executed
    NoAnswer,               // for good
    ServerError,            // 500
    Unmarked503,            // a promise without X-Not-Executed
    Unmarked429,
    MalformedAnswer,     // not HTTP
    SuccessWithoutId,    // a complete success without an id
    FailureWithoutId,    // a complete failure without an id
    WrongId,             // a complete success of another open request, and nothing else
    Restart,             // all its connections are reset, and another server is at its address
    Overloaded,          // 503 with X-Not-Executed
    ResetBeforeRead,     // before any of it was read
    ResetDuringRead,     // once a part of it was read
    kCount
};
inline bool executes_request(ServerBehaviour behaviour) { return behaviour <= ServerBehaviour::Restart; }

struct ServerRequest {
    std::string id, method, target, body, target_instance;    // target_instance: the server that it names
};

// One address. The server there may be followed by another one with another id.
class ScriptedServer {
public:
    struct Connection {
        Poco::Net::StreamSocket socket;
        http::Buffer input;
        http::Parser parser{http::Parser::Kind::Request, {16 * 1024, 64 * 1024 * 1024, 100}};
        std::string last_answer;    // answer
        bool resets_on_input = false, is_open = true, is_paused = false;
        std::uint64_t number = 0;
    };
    explicit ScriptedServer(std::string name) : id(std::move(name)) {
        listening_socket_.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true, false);
        listening_socket_.listen(64);
        listening_socket_.setBlocking(false);
        address = listening_socket_.address().toString();
    }
    void poll_connections(const std::function<void(ScriptedServer&, Connection&)>& on_connection) {
        if (!is_listening_) return;
        while (listening_socket_.poll(Poco::Timespan(0), Poco::Net::Socket::SELECT_READ)) {
            Connection& connection = connections.emplace_back();
            connection.socket = listening_socket_.acceptConnection();
            connection.socket.setBlocking(false);
            connection.socket.setNoDelay(true);    // the clock runs ahead of the system's
            connection.number = ++last_number_;
        }
        for (Connection& connection : connections) {
            if (connection.is_open) on_connection(*this, connection);
        }
        connections.remove_if([](const Connection& connection) { return !connection.is_open; });
    }
    void shut_down() {    // nobody listens there any more
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
            connection.is_open = false;    // the pool had closed it
        }
    }

    std::string id, address;
    std::list<Connection> connections;

private:
    Poco::Net::ServerSocket listening_socket_;
    bool is_listening_ = true;
    std::uint64_t last_number_ = 0;
};

}    // namespace shaletray::test
