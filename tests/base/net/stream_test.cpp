// Events pending in a reactor iteration for a connection that is closed in the same iteration: they must not
// be delivered to a new connection that has got the same file descriptor.
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

// Counts the events of its stream.
struct TestStreamOwner : StreamOwner {
    explicit TestStreamOwner(Reactor& reactor) : stream(reactor, *this) {}
    void on_connected() override {
        ++connect_count;
        if (connect_callback) connect_callback();
    }
    void on_input() override { ++event_count; }
    void on_all_sent() override { ++event_count; }
    void on_disconnected() override { ++event_count; }
    Stream stream;
    std::function<void()> connect_callback;
    int connect_count = 0, event_count = 0;
};

}    // namespace

Test(stream, does_not_deliver_events_of_a_closed_connection_to_the_next_user_of_its_descriptor) {
    Loop loop;
    Poco::Net::ServerSocket accepting_server(Poco::Net::SocketAddress("127.0.0.1", 0));
    // A listener whose backlog is full, so that further connects stay pending.
    Poco::Net::ServerSocket full_server;
    full_server.bind(Poco::Net::SocketAddress("127.0.0.1", 0), true, false);
    full_server.listen(0);
    std::vector<std::unique_ptr<TestStreamOwner>> backlog_fillers;
    for (int i = 0; i < 4; ++i) {
        backlog_fillers.push_back(std::make_unique<TestStreamOwner>(loop.reactor));
        cr_assert(backlog_fillers.back()->stream.connect(full_server.address().toString()));
    }
    loop.until([&] { return backlog_fillers.front()->connect_count > 0; });

    // Two connects complete in one iteration. The first callback closes the other stream and starts a
    // connect, which stays pending, on its descriptor.
    TestStreamOwner streams[2] = {TestStreamOwner(loop.reactor), TestStreamOwner(loop.reactor)},
                    next_stream(loop.reactor);
    bool descriptor_reused = false;
    for (TestStreamOwner& current : streams) {
        cr_assert(current.stream.connect(accepting_server.address().toString()));
        current.connect_callback = [&] {
            TestStreamOwner& other = &current == &streams[0] ? streams[1] : streams[0];
            const int descriptor = static_cast<int>(other.stream.socket().impl()->sockfd());
            // All lower descriptors are taken, so that the closed one is assigned next.
            std::vector<int> reserved_descriptors;
            for (int duplicate = dup(0);; duplicate = dup(0)) {
                reserved_descriptors.push_back(duplicate);
                if (duplicate > descriptor) break;
            }
            other.stream.close();
            cr_assert(next_stream.stream.connect(full_server.address().toString()));
            descriptor_reused = static_cast<int>(next_stream.stream.socket().impl()->sockfd()) == descriptor;
            for (const int duplicate : reserved_descriptors) ::close(duplicate);
        };
    }
    int iteration_count = 0;
    loop.until(
        [&] { return streams[0].connect_count + streams[1].connect_count > 0 && ++iteration_count > 20; });
    cr_assert(descriptor_reused);
    cr_assert(streams[0].connect_count + streams[1].connect_count == 1);
    cr_assert(streams[0].event_count + streams[1].event_count == 0);
    cr_assert(next_stream.connect_count == 0 && next_stream.event_count == 0);
}
