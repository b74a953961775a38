// Lets other threads call the reactor's one: whatever they did, the task runs in a turn after it.
#pragma once

#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <functional>

#include "base/net/reactor.h"

namespace shaletray {

class Waker {
public:
    // Throws std::runtime_error where the system has no pipe left.
    Waker(Reactor& reactor, std::function<void()> task);
    ~Waker();
    Waker(const Waker&) = delete;
    Waker& operator=(const Waker&) = delete;
    void wake();    // from any thread

private:
    void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);

    Reactor& reactor_;
    std::function<void()> task_;
    Poco::Net::StreamSocket poll_socket_;    // a pipe's end; what POCO makes of it is only waited on
    int read_descriptor_ = -1, write_descriptor_ = -1;
    std::atomic<bool> wake_pending_{false};
};

}    // namespace shaletray
