#include "base/net/stream.h"

#include <Poco/NObserver.h>
#include <Poco/Net/NetException.h>
#include <Poco/Net/SocketAddress.h>
#include <sys/socket.h>

namespace shaletray {
namespace {

constexpr std::size_t kMinReadSize = 4096;

struct RetiredStream : RetiredObject {
    explicit RetiredStream(std::unique_ptr<Stream> retired_stream) : stream(std::move(retired_stream)) {}
    std::unique_ptr<Stream> stream;
};

}    // namespace

void destroy_stream_later(Reactor& reactor, std::unique_ptr<Stream> stream) {
    stream->close();
    reactor.destroy_later(std::make_unique<RetiredStream>(std::move(stream)));
}

void Stream::attach(const Poco::Net::StreamSocket& accepted, bool is_local) {
    socket_ = accepted;
    is_open_ = true;
    socket_.setBlocking(false);
    if (!is_local) socket_.setNoDelay(true);
    set_reading(true);
}

bool Stream::connect(const std::string& address) {
    try {
        is_open_ = is_connecting_ = true;
        socket_.connectNB(Poco::Net::SocketAddress(address));
        socket_.setNoDelay(true);
        update_interest(false, true);
        return true;
    } catch (const Poco::Exception&) {
        close();
        return false;
    }
}

bool Stream::write_bytes(std::string bytes) {
    if (!is_open_) return false;
    if (all_sent()) {
        unsent_buffer_ = std::move(bytes);
        sent_bytes_ = 0;
    } else {
        unsent_buffer_ += bytes;
    }
    if (is_connecting_) return true;
    if (!flush_unsent()) return false;
    update_interest(watches_reads_, !all_sent());
    return true;
}

bool Stream::flush_unsent() {
    try {
        while (!all_sent()) {
            const int sent_count = socket_.sendBytes(unsent_buffer_.data() + sent_bytes_,
                                                     static_cast<int>(unsent_buffer_.size() - sent_bytes_));
            if (sent_count <= 0) return true;
            sent_bytes_ += static_cast<std::size_t>(sent_count);
        }
        std::string().swap(unsent_buffer_);
        sent_bytes_ = 0;
        return true;
    } catch (const Poco::Exception& error) {
        return error.code() == POCO_EWOULDBLOCK;    // POCO throws when the send buffer is full
    }
}

Stream::ReadResult Stream::read_once() {
    try {
        char* const destination = input_buffer_.reserve(kMinReadSize);
        const int read_count =
            socket_.receiveBytes(destination, static_cast<int>(input_buffer_.writable_size()));
        if (read_count < 0) return ReadResult::WouldBlock;
        if (read_count == 0) {
            peer_closed_ = true;
            return ReadResult::Ended;
        }
        input_buffer_.commit(static_cast<std::size_t>(read_count));
        return ReadResult::Data;
    } catch (const Poco::Exception&) {
        return ReadResult::Ended;
    }
}

void Stream::read_available() {
    if (!is_open_ || is_connecting_) return;
    const ReadResult result = read_once();
    if (result == ReadResult::Data) owner_.on_input();
    else if (result == ReadResult::Ended) owner_.on_disconnected();
}

bool Stream::is_quiet() {
    if (!is_open_ || !input_buffer_.empty()) return false;
    char byte = 0;
    try {
        return socket_.receiveBytes(&byte, 1, MSG_PEEK) < 0;
    } catch (const Poco::Exception&) {
        return false;
    }
}

void Stream::on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>&) {
    read_available();
    reactor_.update_poll_timeout();
}

void Stream::on_writable(const Poco::AutoPtr<Poco::Net::WritableNotification>&) {
    if (!is_open_) return;
    if (is_connecting_) {
        if (socket_.impl()->socketError() != 0) {
            owner_.on_disconnected();
        } else {
            is_connecting_ = false;
            update_interest(true, !all_sent());
            owner_.on_connected();
        }
    } else if (!flush_unsent()) {
        owner_.on_disconnected();
    } else if (all_sent()) {
        update_interest(watches_reads_, false);
        owner_.on_all_sent();
    }
    reactor_.update_poll_timeout();
}

void Stream::set_reading(bool enabled) { update_interest(enabled, watches_writes_); }

// POCO 1.11 keeps polling for the event of a removed handler while the socket has another handler: after a
// connect, a writable socket would wake every iteration and keep a core busy. Only the removal of the last
// handler ends the polling, so all are removed before those still needed are added.
void Stream::update_interest(bool watch_reads, bool watch_writes) {
    if (!is_open_ || (watch_reads == watches_reads_ && watch_writes == watches_writes_)) return;
    const Poco::NObserver<Stream, Poco::Net::ReadableNotification> read_observer(*this, &Stream::on_readable);
    const Poco::NObserver<Stream, Poco::Net::WritableNotification> write_observer(*this,
                                                                                  &Stream::on_writable);
    if (watches_reads_) reactor_.removeEventHandler(socket_, read_observer);
    if (watches_writes_) reactor_.removeEventHandler(socket_, write_observer);
    if (watch_reads) reactor_.addEventHandler(socket_, read_observer);
    if (watch_writes) reactor_.addEventHandler(socket_, write_observer);
    watches_reads_ = watch_reads;
    watches_writes_ = watch_writes;
}

void Stream::shutdown_sending() {
    try {
        if (is_open_) socket_.shutdownSend();
    } catch (const Poco::Exception&) {
        // The connection failed meanwhile, which the next read reports.
    }
}

void Stream::close() {
    if (!is_open_) return;
    update_interest(false, false);
    is_open_ = false;
    socket_.close();
}

}    // namespace shaletray
