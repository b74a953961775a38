#include "base/net/waker.h"

#include <Poco/NObserver.h>
#include <Poco/Net/StreamSocketImpl.h>
#include <fcntl.h>
#include <unistd.h>

#include <stdexcept>

namespace shaletray {
namespace {

struct PipeEnd : Poco::Net::StreamSocket {
    explicit PipeEnd(int fd) : StreamSocket(new Poco::Net::StreamSocketImpl(fd)) {}
};

}    // namespace

Waker::Waker(Reactor& reactor, std::function<void()> task) : reactor_(reactor), task_(std::move(task)) {
    int ends[2];
    if (::pipe2(ends, O_NONBLOCK | O_CLOEXEC) != 0) throw std::runtime_error("no pipe can be made");
    reading_ = ends[0];
    writing_ = ends[1];
    reads_ = PipeEnd(reading_);    // closes it in the end
    reactor_.addEventHandler(
        reads_, Poco::NObserver<Waker, Poco::Net::ReadableNotification>(*this, &Waker::on_readable));
}

Waker::~Waker() {
    reactor_.removeEventHandler(
        reads_, Poco::NObserver<Waker, Poco::Net::ReadableNotification>(*this, &Waker::on_readable));
    ::close(writing_);
}

void Waker::wake() {
    if (woken_.exchange(true)) return;
    const char byte = 0;
    // A full pipe wakes as well.
    if (::write(writing_, &byte, 1) < 0) return;
}

void Waker::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    char bytes[16];
    while (::read(reading_, bytes, sizeof bytes) > 0) {
    }
    woken_ = false;    // before the task looks: what is done from now on wakes anew
    task_();
    reactor_.reckon_timeout();
}

}    // namespace shaletray
