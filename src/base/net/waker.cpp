#include "base/net/waker.h"

#include <Poco/NObserver.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <fcntl.h>
#include <unistd.h>

#include <stdexcept>

namespace shaletray {
namespace {

struct PipeEnd : Poco::Net::StreamSocket {
    explicit PipeEnd(int descriptor) : StreamSocket(new Poco::Net::StreamSocketImpl(descriptor)) {}
};

}    // namespace

Waker::Waker(Reactor& reactor, std::function<void()> task) : reactor_(reactor), task_(std::move(task)) {
    int ends[2];
    if (::pipe2(ends, O_NONBLOCK | O_CLOEXEC) != 0) throw std::runtime_error("cannot create a pipe");
    read_descriptor_ = ends[0];
    write_descriptor_ = ends[1];
    poll_socket_ = PipeEnd(read_descriptor_);    // owns the descriptor from here on
    reactor_.addEventHandler(
        poll_socket_, Poco::NObserver<Waker, Poco::Net::ReadableNotification>(*this, &Waker::on_readable));
}

Waker::~Waker() {
    reactor_.removeEventHandler(
        poll_socket_, Poco::NObserver<Waker, Poco::Net::ReadableNotification>(*this, &Waker::on_readable));
    ::close(write_descriptor_);
}

void Waker::wake() {
    if (wake_pending_.exchange(true)) return;
    const char byte = 0;
    // Writing to a full pipe fails, which is harmless: the bytes in it wake the reactor.
    if (::write(write_descriptor_, &byte, 1) < 0) return;
}

void Waker::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    char bytes[16];
    while (::read(read_descriptor_, bytes, sizeof bytes) > 0) {
    }
    wake_pending_ = false;    // cleared before the task runs, so that work added during it wakes again
    task_();
    reactor_.update_poll_timeout();
}

}    // namespace shaletray
