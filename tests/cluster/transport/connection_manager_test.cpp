// Mailers of one process on loopback, driven turn by turn until something holds.
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

struct Place {
    std::vector<Letter> heard;
    std::optional<Mailer> mailer;

    Place(Loop& loop, std::uint64_t life, const std::string& address = "127.0.0.1:0",
          Mailer::Limits limits = Mailer::Limits()) {
        mailer.emplace(loop.reactor, address, life, limits,
                       [this](Letter&& letter) { heard.push_back(std::move(letter)); });
    }
    const std::string& address() const { return mailer->address(); }
};

bool connected(Poco::Net::StreamSocket& socket) {
    char byte = 0;
    try {
        socket.setBlocking(false);
        return socket.receiveBytes(&byte, 1) < 0;
    } catch (const Poco::Exception& error) {
        return error.code() == POCO_EWOULDBLOCK;
    }
}

}    // namespace

Test(mailer, sessions_keep_the_order_and_carry_large_letters) {
    Loop loop;
    Place a(loop, 1), b(loop, 2);
    const std::string large(5 * 1024 * 1024, 'L');
    a.mailer->session(b.address(), Kind::Lamp, "0");
    a.mailer->session(b.address(), Kind::Lamp, large);
    for (int i = 2; i < 2000; ++i) a.mailer->session(b.address(), Kind::Lamp, std::to_string(i));
    a.mailer->session(a.address(), Kind::Watch, "own");
    cr_assert(a.heard.empty());
    cr_assert(loop.until([&] { return b.heard.size() == 2000 && a.heard.size() == 1; }));
    for (int i = 0; i < 2000; ++i)
        cr_assert(b.heard[static_cast<std::size_t>(i)].bytes == (i == 1 ? large : std::to_string(i)));
    cr_assert(b.heard[0].from == a.address() && b.heard[0].life == 1 && b.heard[0].kind == Kind::Lamp);
    cr_assert(a.heard[0].from == a.address() && a.heard[0].kind == Kind::Watch);
    cr_assert(a.mailer->counts().dropped == 0 && b.mailer->counts().spoilt == 0);
}

Test(mailer, datagrams_go_both_ways_and_bad_addresses_are_dropped) {
    Loop loop;
    Place a(loop, 1), b(loop, 2);
    a.mailer->datagram(b.address(), Kind::Convoy, "ping");
    b.mailer->datagram(a.address(), Kind::Convoy, "pong");
    cr_assert(loop.until([&] { return a.heard.size() == 1 && b.heard.size() == 1; }));
    cr_assert(a.heard[0].bytes == "pong" && b.heard[0].bytes == "ping" && a.heard[0].life == 2);
    for (const char* nowhere : {"", "lighthouse:80", "127.0.0.1", "127.0.0.1:x", "127.0.0.1:99999"}) {
        a.mailer->datagram(nowhere, Kind::Convoy, "x");
        a.mailer->session(nowhere, Kind::Convoy, "x");
    }
    a.mailer->datagram(b.address(), Kind::Convoy, std::string(70000, 'x'));
    cr_assert(a.mailer->counts().dropped == 11);
}

// What is written into a connection as it breaks may be lost; what comes later arrives, once, in order.
Test(mailer, a_peer_that_restarts_hears_on) {
    Loop loop(20);
    Place a(loop, 1);
    std::optional<Place> b(std::in_place, loop, 2);
    const std::string at = b->address();
    a.mailer->session(at, Kind::Lamp, "first");
    cr_assert(loop.until([&] { return b->heard.size() == 1; }));
    for (std::uint64_t life = 3; life < 6; ++life) {
        b.reset();
        a.mailer->session(at, Kind::Lamp, "perhaps");
        // It notices that nobody is there, and keeps trying while something waits.
        cr_assert(loop.until([&] {
            const std::uint64_t before = a.mailer->counts().sent;
            a.mailer->session(at, Kind::Lamp, "later");
            return a.mailer->counts().sent == before;
        }));
        b.emplace(loop, life, at);
        a.mailer->session(at, Kind::Lamp, "last");
        cr_assert(loop.until([&] { return !b->heard.empty() && b->heard.back().bytes == "last"; }));
        b->mailer->session(a.address(), Kind::Lamp, "hello");
        cr_assert(loop.until([&] { return !a.heard.empty() && a.heard.back().life == life; }));
    }
}

// A new connection of the same sender ends the earlier one, whose letters come first.
Test(mailer, letters_of_an_earlier_connection_never_follow_those_of_a_later) {
    Loop loop;
    Place b(loop, 2);
    const Poco::Net::SocketAddress at(b.address());
    const auto frame = [](const char* text) { return write_frame(Kind::Lamp, "10.0.0.9:7100", 1, text); };
    Poco::Net::StreamSocket old(at);
    const std::string one = frame("1");
    old.sendBytes(one.data(), static_cast<int>(one.size()));
    cr_assert(loop.until([&] { return b.heard.size() == 1; }));
    Poco::Net::StreamSocket now(at);
    const std::string two = frame("2"), half = frame("never").substr(0, 20), three = frame("3");
    now.sendBytes(three.data(), static_cast<int>(three.size()));
    old.sendBytes(two.data(), static_cast<int>(two.size()));
    old.sendBytes(half.data(), static_cast<int>(half.size()));
    cr_assert(loop.until([&] { return b.heard.size() == 3; }));
    cr_assert(b.heard[1].bytes == "2" && b.heard[2].bytes == "3");
    cr_assert(loop.until([&] { return !connected(old); }));
    cr_assert(connected(now));
}

Test(mailer, garbage_ends_only_its_own_connection) {
    Loop loop;
    Place a(loop, 1), b(loop, 2);
    a.mailer->session(b.address(), Kind::Lamp, "before");
    cr_assert(loop.until([&] { return b.heard.size() == 1; }));
    const Poco::Net::SocketAddress at(b.address());
    const std::string good = write_frame(Kind::Lamp, "10.0.0.9:7100", 1, "x");
    std::string other_version = good, too_long = good;
    too_long[3] = '\x7f';
    for (std::size_t i = kFrameHead; i < other_version.size(); ++i)
        if (other_version[i] == static_cast<char>(kVersion)) other_version[i] = 2;
    std::uint64_t spoilt = 0;
    for (const std::string& bytes : {std::string("GET / HTTP/1.1\r\n\r\n"), std::string(64, '\0'), too_long,
                                     other_version, std::string("\x08\0\0\0________", 12)}) {
        Poco::Net::StreamSocket socket(at);
        socket.sendBytes(bytes.data(), static_cast<int>(bytes.size()));
        ++spoilt;
        cr_assert(loop.until([&] { return b.mailer->counts().spoilt == spoilt; }));
        cr_assert(!connected(socket));
    }
    a.mailer->session(b.address(), Kind::Lamp, "after");
    cr_assert(loop.until([&] { return b.heard.size() == 2; }));
    cr_assert(a.mailer->counts().sent == 2 && a.mailer->counts().dropped == 0);
}

// Neither a dead port nor one that never reads may hold more than the bound, or for long.
Test(mailer, a_dead_peer_holds_a_bounded_queue) {
    Loop loop(20);
    Mailer::Limits limits;
    limits.most_queued = 100000;
    limits.silence = 200ms;
    Place a(loop, 1, "127.0.0.1:0", limits);
    Poco::Net::ServerSocket mute(Poco::Net::SocketAddress("127.0.0.1:0"), 8);
    std::string dead;
    {
        Place gone(loop, 2);
        dead = gone.address();
    }
    const std::string at_mute = mute.address().toString();
    for (int i = 0; i < 1000; ++i) a.mailer->session(dead, Kind::Lamp, std::string(1000, 'x'));
    cr_assert(a.mailer->counts().dropped >= 890);
    // In the end nothing is kept for it, and nothing was sent.
    cr_assert(loop.until([&] { return a.mailer->counts().dropped == 1000; }));
    cr_assert(a.mailer->counts().sent == 0);
    a.mailer->session(at_mute, Kind::Lamp, std::string(64 * 1024 * 1024, 'x'));
    cr_assert(loop.until([&] { return a.mailer->counts().dropped == 1001; }));
}

Test(mailer, the_longest_idle_connection_makes_room) {
    Loop loop;
    Mailer::Limits limits;
    limits.most_sessions = 3;
    Place b(loop, 2, "127.0.0.1:0", limits);
    const Poco::Net::SocketAddress at(b.address());
    std::vector<Poco::Net::StreamSocket> sockets;
    const auto speak = [&](std::size_t who) {
        const std::string frame =
            write_frame(Kind::Lamp, "10.0.0.9:" + std::to_string(7100 + who), 1, std::to_string(who));
        const std::size_t before = b.heard.size();
        sockets[who].sendBytes(frame.data(), static_cast<int>(frame.size()));
        cr_assert(loop.until([&] { return b.heard.size() == before + 1; }));
    };
    for (std::size_t i = 0; i < 3; ++i) {
        sockets.emplace_back(at);
        speak(i);
    }
    speak(0);
    sockets.emplace_back(at);
    speak(3);
    cr_assert(connected(sockets[0]) && !connected(sockets[1]) && connected(sockets[2]) &&
              connected(sockets[3]));
}
