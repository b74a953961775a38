#include "base/net/line_protocol_server.h"

#include <Poco/NObserver.h>
#include <Poco/Net/NetException.h>

namespace shaletray {
namespace {

using namespace std::chrono_literals;

constexpr Duration kSweepInterval = 250ms;
constexpr Duration kLingerTimeout = 1s;    // for the peer to read the last response
constexpr int kMaxAcceptsPerEvent = 16;

}    // namespace

LineProtocolServer::LineProtocolServer(Reactor& reactor, Poco::Net::ServerSocket socket, Limits limits,
                                       std::function<std::unique_ptr<LineProtocol>()> make_protocol)
    : reactor_(reactor),
      socket_(std::move(socket)),
      limits_(limits),
      make_protocol_(std::move(make_protocol)) {
    socket_.setBlocking(false);
    reactor_.addEventHandler(socket_, Poco::NObserver<LineProtocolServer, Poco::Net::ReadableNotification>(
                                          *this, &LineProtocolServer::on_readable));
    sweep_timer_ = reactor_.schedule_after(kSweepInterval, [this] { close_stale_connections(); });
}

LineProtocolServer::~LineProtocolServer() {
    reactor_.removeEventHandler(socket_, Poco::NObserver<LineProtocolServer, Poco::Net::ReadableNotification>(
                                             *this, &LineProtocolServer::on_readable));
    reactor_.cancel_timer(sweep_timer_);
    connections_.clear();
    reactor_.destroy_retired();
}

void LineProtocolServer::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    for (int i = 0; i < kMaxAcceptsPerEvent; ++i) {
        if (!accept_one()) break;
    }
    reactor_.update_poll_timeout();
}

bool LineProtocolServer::accept_one() {
    try {
        const Poco::Net::StreamSocket accepted = socket_.acceptConnection();
        if (connections_.size() >= limits_.max_connections) close_connection(*connections_.front());
        connections_.push_back(std::make_unique<Connection>(*this, make_protocol_()));
        Connection& new_connection = *connections_.back();
        new_connection.last_active_at = reactor_.clock().now();
        new_connection.stream.attach(accepted,
                                     accepted.address().family() == Poco::Net::SocketAddress::UNIX_LOCAL);
        return true;
    } catch (const Poco::Exception&) {    // none waits, it was closed already, or descriptors ran out
        return false;
    }
}

void LineProtocolServer::process_input(Connection& connection) {
    http::Buffer& input = connection.stream.input_buffer();
    if (connection.is_closing) return input.consume(input.size());
    if (limits_.renews_on_input) connection.last_active_at = reactor_.clock().now();
    std::string output;
    connection.is_closing =
        connection.protocol->process_input(input, output) == LineProtocol::NextStep::Close;
    if (!output.empty() && !connection.stream.write_bytes(std::move(output)))
        return close_connection(connection);
    if (connection.stream.all_sent()) on_all_sent(connection);
}

// Closing a socket with unread input resets the connection, and the peer may lose the response.
void LineProtocolServer::on_all_sent(Connection& connection) {
    if (!connection.is_closing) return;
    connection.last_active_at = reactor_.clock().now();
    connection.stream.shutdown_sending();
}

void LineProtocolServer::close_connection(Connection& connection) {
    for (auto position = connections_.begin(); position != connections_.end(); ++position) {
        if (position->get() != &connection) continue;
        struct RetiredConnection : RetiredObject {    // the connection may be on the call stack
            explicit RetiredConnection(std::unique_ptr<Connection> retired)
                : connection(std::move(retired)) {}
            std::unique_ptr<Connection> connection;
        };
        connection.stream.close();
        reactor_.destroy_later(std::make_unique<RetiredConnection>(std::move(*position)));
        connections_.erase(position);
        return;
    }
}

void LineProtocolServer::close_stale_connections() {
    const TimePoint now = reactor_.clock().now();
    std::vector<Connection*> stale;
    for (const auto& connection : connections_)
        if (now - connection->last_active_at >
            (connection->is_closing ? kLingerTimeout : limits_.idle_timeout))
            stale.push_back(connection.get());
    for (Connection* connection : stale) close_connection(*connection);
    sweep_timer_ = reactor_.schedule_after(kSweepInterval, [this] { close_stale_connections(); });
}

}    // namespace shaletray
