#include "base/net/stream.h"

#include <Poco/NObserver.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <sys/socket.h>

namespace shaletray {
namespace {

constexpr std::size_t kReadAtLeast = 4096;

struct RetiredStream : Retired {
    explicit RetiredStream(std::unique_ptr<Stream> s) : stream(std::move(s)) {}
    std::unique_ptr<Stream> stream;
};

}    // namespace

void retire(Reactor& reactor, std::unique_ptr<Stream> stream) {
    stream->close();
    reactor.retire(std::make_unique<RetiredStream>(std::move(stream)));
}

void Stream::adopt(const Poco::Net::StreamSocket& accepted, bool local) {
    socket_ = accepted;
    open_ = true;
    socket_.setBlocking(false);
    if (!local) socket_.setNoDelay(true);
    read_on(true);
}

bool Stream::dial(const std::string& address) {
    try {
        open_ = connecting_ = true;
        socket_.connectNB(Poco::Net::SocketAddress(address));
        socket_.setNoDelay(true);
        watch_for(false, true);
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
    watch_for(reads_, !sent_all());
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
    } catch (const Poco::Exception& error) {
        return error.code() == POCO_EWOULDBLOCK;    // thrown, where the system takes nothing more for now
    }
}

Stream::Read Stream::read() {
    try {
        char* const to = input_.prepare(kReadAtLeast);
        const int n = socket_.receiveBytes(to, static_cast<int>(input_.room()));
        if (n < 0) return Read::Nothing;
        if (n == 0) {
            ended_ = true;
            return Read::Ended;
        }
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
            watch_for(true, !sent_all());
            owner_.on_connected();
        }
    } else if (!flush()) {
        owner_.on_broken();
    } else if (sent_all()) {
        watch_for(reads_, false);
        owner_.on_sent();
    }
    reactor_.reckon_timeout();
}

void Stream::read_on(bool wanted) { watch_for(wanted, writes_); }

// POCO 1.11 goes on polling for what a removed handler wanted while the socket has another handler: left in
// place after a dial, a writable socket would wake every turn and keep a whole core busy. Only the removal of
// the last handler ends the polling, so all are removed before those still wanted are added.
void Stream::watch_for(bool reads, bool writes) {
    if (!open_ || (reads == reads_ && writes == writes_)) return;
    const Poco::NObserver<Stream, Poco::Net::ReadableNotification> on_read(*this, &Stream::on_readable);
    const Poco::NObserver<Stream, Poco::Net::WritableNotification> on_write(*this, &Stream::on_writable);
    if (reads_) reactor_.removeEventHandler(socket_, on_read);
    if (writes_) reactor_.removeEventHandler(socket_, on_write);
    if (reads) reactor_.addEventHandler(socket_, on_read);
    if (writes) reactor_.addEventHandler(socket_, on_write);
    reads_ = reads;
    writes_ = writes;
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
    watch_for(false, false);
    open_ = false;
    socket_.close();
}

}    // namespace shaletray
