// Tests of ConnectionManager on the loopback interface. The event loop runs while a test waits for a
// condition.
#include "cluster/transport/connection_manager.h"

#include <Poco/Net/NetException.h>
#include <Poco/Net/ServerSocket.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/Net/StreamSocket.h>
#include <criterion/criterion.h>

#include <functional>
#include <optional>

#include "base/net/loop.h"
#include "cluster/transport/frame.h"

using namespace shaletray;
using namespace shaletray::transport;
using shaletray::test::Loop;
using namespace std::chrono_literals;

namespace {

struct TestNode {
    std::vector<Message> received;
    std::optional<ConnectionManager> manager;

    TestNode(Loop& loop, std::uint64_t incarnation, const std::string& address = "127.0.0.1:0",
             ConnectionManager::Limits limits = ConnectionManager::Limits()) {
        manager.emplace(loop.reactor, address, incarnation, limits,
                        [this](Message&& message) { received.push_back(std::move(message)); });
    }
    const std::string& address() const { return manager->address(); }
};

bool is_connected(Poco::Net::StreamSocket& socket) {
    char byte = 0;
    try {
        socket.setBlocking(false);
        return socket.receiveBytes(&byte, 1) < 0;
    } catch (const Poco::Exception& error) {
        return error.code() == POCO_EWOULDBLOCK;
    }
}

}    // namespace

Test(connection_manager, sessions_deliver_large_messages_in_order) {
    Loop loop;
    TestNode sender(loop, 1), receiver(loop, 2);
    const std::string large(5 * 1024 * 1024, 'L');
    sender.manager->send_session_message(receiver.address(), Kind::Consensus, "0");
    sender.manager->send_session_message(receiver.address(), Kind::Consensus, large);
    for (int i = 2; i < 2000; ++i)
        sender.manager->send_session_message(receiver.address(), Kind::Consensus, std::to_string(i));
    sender.manager->send_session_message(sender.address(), Kind::Subscription, "own");
    cr_assert(sender.received.empty());
    cr_assert(loop.until([&] { return receiver.received.size() == 2000 && sender.received.size() == 1; }));
    for (int i = 0; i < 2000; ++i)
        cr_assert(receiver.received[static_cast<std::size_t>(i)].payload ==
                  (i == 1 ? large : std::to_string(i)));
    cr_assert(receiver.received[0].sender == sender.address() && receiver.received[0].incarnation == 1 &&
              receiver.received[0].kind == Kind::Consensus);
    cr_assert(sender.received[0].sender == sender.address() && sender.received[0].kind == Kind::Subscription);
    cr_assert(sender.manager->counters().dropped == 0 && receiver.manager->counters().malformed == 0);
}

Test(connection_manager, delivers_datagrams_and_drops_invalid_destinations) {
    Loop loop;
    TestNode first(loop, 1), second(loop, 2);
    first.manager->send_datagram(second.address(), Kind::Membership, "ping");
    second.manager->send_datagram(first.address(), Kind::Membership, "pong");
    cr_assert(loop.until([&] { return first.received.size() == 1 && second.received.size() == 1; }));
    cr_assert(first.received[0].payload == "pong" && second.received[0].payload == "ping" &&
              first.received[0].incarnation == 2);
    for (const char* invalid_address : {"", "controller:80", "127.0.0.1", "127.0.0.1:x", "127.0.0.1:99999"}) {
        first.manager->send_datagram(invalid_address, Kind::Membership, "x");
        first.manager->send_session_message(invalid_address, Kind::Membership, "x");
    }
    first.manager->send_datagram(second.address(), Kind::Membership, std::string(70000, 'x'));
    cr_assert(first.manager->counters().dropped == 11);
}

// Messages that are written while a connection fails may be lost; later ones arrive once and in order.
Test(connection_manager, reconnects_to_a_restarted_peer) {
    Loop loop(20);
    TestNode sender(loop, 1);
    std::optional<TestNode> receiver(std::in_place, loop, 2);
    const std::string receiver_address = receiver->address();
    sender.manager->send_session_message(receiver_address, Kind::Consensus, "first");
    cr_assert(loop.until([&] { return receiver->received.size() == 1; }));
    for (std::uint64_t incarnation = 3; incarnation < 6; ++incarnation) {
        receiver.reset();
        sender.manager->send_session_message(receiver_address, Kind::Consensus, "perhaps");
        // The sender detects that the peer is down, and keeps dialling while messages are queued.
        cr_assert(loop.until([&] {
            const std::uint64_t before = sender.manager->counters().sent;
            sender.manager->send_session_message(receiver_address, Kind::Consensus, "later");
            return sender.manager->counters().sent == before;
        }));
        receiver.emplace(loop, incarnation, receiver_address);
        sender.manager->send_session_message(receiver_address, Kind::Consensus, "last");
        cr_assert(loop.until(
            [&] { return !receiver->received.empty() && receiver->received.back().payload == "last"; }));
        receiver->manager->send_session_message(sender.address(), Kind::Consensus, "hello");
        cr_assert(loop.until(
            [&] { return !sender.received.empty() && sender.received.back().incarnation == incarnation; }));
    }
}

// A new connection of the same sender replaces the previous one, whose messages are delivered first.
Test(connection_manager, delivers_messages_of_a_replaced_connection_first) {
    Loop loop;
    TestNode receiver(loop, 2);
    const Poco::Net::SocketAddress receiver_address(receiver.address());
    const auto frame = [](const char* text) {
        return write_frame(Kind::Consensus, "10.0.0.9:7100", 1, text);
    };
    Poco::Net::StreamSocket previous_socket(receiver_address);
    const std::string one = frame("1");
    previous_socket.sendBytes(one.data(), static_cast<int>(one.size()));
    cr_assert(loop.until([&] { return receiver.received.size() == 1; }));
    Poco::Net::StreamSocket new_socket(receiver_address);
    const std::string two = frame("2"), half = frame("never").substr(0, 20), three = frame("3");
    new_socket.sendBytes(three.data(), static_cast<int>(three.size()));
    previous_socket.sendBytes(two.data(), static_cast<int>(two.size()));
    previous_socket.sendBytes(half.data(), static_cast<int>(half.size()));
    cr_assert(loop.until([&] { return receiver.received.size() == 3; }));
    cr_assert(receiver.received[1].payload == "2" && receiver.received[2].payload == "3");
    cr_assert(loop.until([&] { return !is_connected(previous_socket); }));
    cr_assert(is_connected(new_socket));
}

Test(connection_manager, malformed_bytes_close_only_their_own_connection) {
    Loop loop;
    TestNode sender(loop, 1), receiver(loop, 2);
    sender.manager->send_session_message(receiver.address(), Kind::Consensus, "before");
    cr_assert(loop.until([&] { return receiver.received.size() == 1; }));
    const Poco::Net::SocketAddress receiver_address(receiver.address());
    const std::string valid_frame = write_frame(Kind::Consensus, "10.0.0.9:7100", 1, "x");
    std::string other_version = valid_frame, too_long = valid_frame;
    too_long[3] = '\x7f';
    for (std::size_t i = kFrameHeaderBytes; i < other_version.size(); ++i)
        if (other_version[i] == static_cast<char>(kProtocolVersion)) other_version[i] = 2;
    std::uint64_t malformed = 0;
    for (const std::string& bytes : {std::string("GET / HTTP/1.1\r\n\r\n"), std::string(64, '\0'), too_long,
                                     other_version, std::string("\x08\0\0\0________", 12)}) {
        Poco::Net::StreamSocket socket(receiver_address);
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        ++malformed;
        cr_assert(loop.until([&] { return receiver.manager->counters().malformed == malformed; }));
        cr_assert(!is_connected(socket));
    }
    sender.manager->send_session_message(receiver.address(), Kind::Consensus, "after");
    cr_assert(loop.until([&] { return receiver.received.size() == 2; }));
    cr_assert(sender.manager->counters().sent == 2 && sender.manager->counters().dropped == 0);
}

// The queues for a closed port and for a peer that never reads are bounded in bytes and in age.
Test(connection_manager, queue_for_a_failed_peer_is_bounded) {
    Loop loop(20);
    ConnectionManager::Limits limits;
    limits.max_queued_bytes = 100000;
    limits.peer_timeout = 200ms;
    TestNode sender(loop, 1, "127.0.0.1:0", limits);
    Poco::Net::ServerSocket silent_listener(Poco::Net::SocketAddress("127.0.0.1:0"), 8);
    std::string stopped_address;
    {
        TestNode stopped_node(loop, 2);
        stopped_address = stopped_node.address();
    }
    const std::string silent_address = silent_listener.address().toString();
    for (int i = 0; i < 1000; ++i)
        sender.manager->send_session_message(stopped_address, Kind::Consensus, std::string(1000, 'x'));
    cr_assert(sender.manager->counters().dropped >= 890);
    // Eventually all messages are dropped, and none was sent.
    cr_assert(loop.until([&] { return sender.manager->counters().dropped == 1000; }));
    cr_assert(sender.manager->counters().sent == 0);
    sender.manager->send_session_message(silent_address, Kind::Consensus, std::string(64 * 1024 * 1024, 'x'));
    cr_assert(loop.until([&] { return sender.manager->counters().dropped == 1001; }));
}

Test(connection_manager, closes_the_least_recently_active_connection_at_the_limit) {
    Loop loop;
    ConnectionManager::Limits limits;
    limits.max_inbound_connections = 3;
    TestNode receiver(loop, 2, "127.0.0.1:0", limits);
    const Poco::Net::SocketAddress receiver_address(receiver.address());
    std::vector<Poco::Net::StreamSocket> sockets;
    const auto send_from = [&](std::size_t socket_index) {
        const std::string frame =
            write_frame(Kind::Consensus, "10.0.0.9:" + std::to_string(7100 + socket_index), 1,
                        std::to_string(socket_index));
        const std::size_t before = receiver.received.size();
        sockets[socket_index].sendBytes(frame.data(), static_cast<int>(frame.size()));
        cr_assert(loop.until([&] { return receiver.received.size() == before + 1; }));
    };
    for (std::size_t i = 0; i < 3; ++i) {
        sockets.emplace_back(receiver_address);
        send_from(i);
    }
    send_from(0);
    sockets.emplace_back(receiver_address);
    send_from(3);
    cr_assert(is_connected(sockets[0]) && !is_connected(sockets[1]) && is_connected(sockets[2]) &&
              is_connected(sockets[3]));
}
