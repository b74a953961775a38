// Lets other threads wake the reactor's thread: after wake(), the task runs there in a later iteration. Calls
// before the task runs are merged into one.
#pragma once

#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <atomic>
#include <functional>

#include "base/net/reactor.h"

namespace shaletray {

// Created and destroyed on the reactor's thread; only wake() may be called from others.
class Waker {
public:
    // Throws std::runtime_error if no pipe can be created.
    Waker(Reactor& reactor, std::function<void()> task);
    ~Waker();
    Waker(const Waker&) = delete;
    Waker& operator=(const Waker&) = delete;
    // Safe from any thread. Everything that the caller wrote before is visible to the task.
    void wake();

private:
    void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&);

    Reactor& reactor_;
    std::function<void()> task_;
    Poco::Net::StreamSocket poll_socket_;    // the pipe's read end, wrapped so that POCO can poll it
    int read_descriptor_ = -1, write_descriptor_ = -1;
    std::atomic<bool> wake_pending_{false};
};

}    // namespace shaletray
