#include "net/stream.h"

#include <Poco/NObserver.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <sys/socket.h>

namespace shaletray {
namespace {

constexpr std::size_t kReadAtLeast = 4096;

}    // namespace

void Stream::adopt(const Poco::Net::StreamSocket& accepted) {
    socket_ = accepted;
    open_ = true;
    socket_.setBlocking(false);
    socket_.setNoDelay(true);
    read_on(true);
}

bool Stream::dial(const std::string& address) {
    try {
        open_ = connecting_ = true;
        socket_.connectNB(Poco::Net::SocketAddress(address));
        socket_.setNoDelay(true);
        write_on(true);
        return true;
    } catch (const Poco::Exception&) {
        close();
        return false;
    }
}

bool Stream::send(std::string bytes) {
    if (!open_) return false;
    if (sent_all()) {
        unsent_ = std::move(bytes);
        sent_ = 0;
    } else {
        unsent_ += bytes;
    }
    if (connecting_) return true;
    if (!flush()) return false;
    write_on(!sent_all());
    return true;
}

bool Stream::flush() {
    try {
        while (!sent_all()) {
            const int n = socket_.sendBytes(unsent_.data() + sent_, static_cast<int>(unsent_.size() - sent_));
            if (n <= 0) return true;
            sent_ += static_cast<std::size_t>(n);
        }
        std::string().swap(unsent_);
        sent_ = 0;
        return true;
    } catch (const Poco::Exception&) {
        return false;
    }
}

Stream::Read Stream::read() {
    try {
        char* const to = input_.prepare(kReadAtLeast);
        const int n = socket_.receiveBytes(to, static_cast<int>(input_.room()));
        if (n < 0) return Read::Nothing;
        if (n == 0) return Read::Ended;
        input_.commit(static_cast<std::size_t>(n));
        return Read::Data;
    } catch (const Poco::Exception&) {
        return Read::Ended;
    }
}

void Stream::read_now() {
    if (!open_ || connecting_) return;
    const Read result = read();
    if (result == Read::Data) owner_.on_input();
    else if (result == Read::Ended) owner_.on_broken();
}

bool Stream::quiet() {
    if (!open_ || !input_.empty()) return false;
    char byte = 0;
    try {
        return socket_.receiveBytes(&byte, 1, MSG_PEEK) < 0;
    } catch (const Poco::Exception&) {
        return false;
    }
}

void Stream::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    read_now();
    reactor_.reckon_timeout();
}

void Stream::on_writable(const Poco::AutoPtr<Poco::Net::WritableNotification>&) {
    if (!open_) return;
    if (connecting_) {
        if (socket_.impl()->socketError() != 0) {
            owner_.on_broken();
        } else {
            connecting_ = false;
            read_on(true);
            write_on(!sent_all());
            owner_.on_connected();
        }
    } else if (!flush()) {
        owner_.on_broken();
    } else if (sent_all()) {
        write_on(false);
        owner_.on_sent();
    }
    reactor_.reckon_timeout();
}

void Stream::read_on(bool wanted) {
    if (!open_ || reads_ == wanted) return;
    const Poco::NObserver<Stream, Poco::Net::ReadableNotification> observer(*this, &Stream::on_readable);
    if (wanted) reactor_.addEventHandler(socket_, observer);
    else reactor_.removeEventHandler(socket_, observer);
    reads_ = wanted;
}

void Stream::write_on(bool wanted) {
    if (!open_ || writes_ == wanted) return;
    const Poco::NObserver<Stream, Poco::Net::WritableNotification> observer(*this, &Stream::on_writable);
    if (wanted) reactor_.addEventHandler(socket_, observer);
    else reactor_.removeEventHandler(socket_, observer);
    writes_ = wanted;
}

void Stream::end_sending() {
    try {
        if (open_) socket_.shutdownSend();
    } catch (const Poco::Exception&) {
        // It broke meanwhile, which reading will tell.
    }
}

void Stream::close() {
    if (!open_) return;
    read_on(false);
    write_on(false);
    open_ = false;
    socket_.close();
}

}    // namespace shaletray
