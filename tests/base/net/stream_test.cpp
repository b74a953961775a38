// What a turn of the reactor still has for a connection that was closed in it.
#include "base/net/stream.h"

#include <Poco/Net/ServerSocket.h>
#include <criterion/criterion.h>
#include <unistd.h>

#include <memory>
#include <vector>

#include "base/net/loop.h"

using namespace shaletray;
using namespace std::chrono_literals;
using shaletray::test::Loop;

namespace {

// The first of two that comes up closes the other, and dials where nobody answers, with the other's
// descriptor.
struct Dialler : StreamOwner {
    explicit Dialler(Reactor& reactor) : stream(reactor, *this) {}
    void on_connected() override {
        ++connected;
        if (then) then();
    }
    void on_input() override { ++told; }
    void on_sent() override { ++told; }
    void on_broken() override { ++told; }
    Stream stream;
    std::function<void()> then;
    int connected = 0, told = 0;
};

}    // namespace

Test(stream, what_was_meant_for_a_closed_connection_is_not_told_to_its_descriptors_next_one) {
    Loop loop;
    Poco::Net::ServerSocket open(Poco::Net::SocketAddress("127.0.0.1", 0));
    // A listener whose queue is full lets nobody come up.
    Poco::Net::ServerSocket full;
    full.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true, false);
    full.listen(0);
    std::vector<std::unique_ptr<Dialler>> filling;
    for (int i = 0; i < 4; ++i) {
        filling.push_back(std::make_unique<Dialler>(loop.reactor));
        cr_assert(filling.back()->stream.dial(full.address().toString()));
    }
    loop.until([&] { return filling.front()->connected > 0; });

    Dialler pair[2] = {Dialler(loop.reactor), Dialler(loop.reactor)}, next(loop.reactor);
    bool reused = false;
    for (Dialler& one : pair) {
        cr_assert(one.stream.dial(open.address().toString()));
        one.then = [&] {
            Dialler& other = &one == &pair[0] ? pair[1] : pair[0];
            const int number = static_cast<int>(other.stream.socket().impl()->sockfd());
            std::vector<int> below;    // so that no other descriptor is given next
            for (int at = dup(0);; at = dup(0)) {
                below.push_back(at);
                if (at > number) break;
            }
            other.stream.close();
            cr_assert(next.stream.dial(full.address().toString()));
            reused = static_cast<int>(next.stream.socket().impl()->sockfd()) == number;
            for (const int at : below) ::close(at);
        };
    }
    int turns = 0;
    loop.until([&] { return pair[0].connected + pair[1].connected > 0 && ++turns > 20; });
    cr_assert(reused);
    cr_assert(pair[0].connected + pair[1].connected == 1);
    cr_assert(pair[0].told + pair[1].told == 0);
    cr_assert(next.connected == 0 && next.told == 0);
}
