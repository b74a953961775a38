// A thin driver of one TCP connection: reads into the connection's buffer, writes what it is given, and tells
// its owner. What the bytes mean is the owner's matter.
#pragma once

#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <string>

#include "base/http/buffer.h"
#include "base/net/reactor.h"

namespace shaletray {

class StreamOwner {
public:
    virtual ~StreamOwner() = default;
    virtual void on_connected() {}
    virtual void on_input() = 0;           // there is more in the buffer
    virtual void on_all_sent() {}          // all that waited to be written is with the system now
    virtual void on_disconnected() = 0;    // the other side ended the connection, or it broke
};

class Stream {
public:
    Stream(Reactor& reactor, StreamOwner& owner) : reactor_(reactor), owner_(owner) {}
    ~Stream() { close(); }
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    void attach(const Poco::Net::StreamSocket& accepted, bool is_local = false);    // local: of no TCP
    // False where it failed at once. Otherwise on_connected or on_broken follows.
    bool connect(const std::string& address);
    // False where the connection broke. What the system does not take now is written later, then on_sent
    // comes.
    bool write_bytes(std::string bytes);
    bool all_sent() const { return sent_bytes_ == unsent_buffer_.size(); }
    std::size_t unsent_bytes() const { return unsent_buffer_.size() - sent_bytes_; }    // bytes
    Poco::Net::StreamSocket& socket() { return socket_; }                               // for its options
    http::Buffer& input_buffer() { return input_buffer_; }
    const http::Buffer& input_buffer() const { return input_buffer_; }
    // Reads what is there now, without waiting to be told.
    void read_available();
    // Nothing has come in that nobody has read, and the other side has not ended the connection.
    bool is_quiet();
    void set_reading(bool enabled);
    void shutdown_sending();
    void close();    // the one place where the socket is given back
    bool is_open() const { return is_open_; }
    // The other side ended the connection in order, after all that it had to send.
    bool is_ended() const { return peer_ended_; }

private:
    enum class ReadResult { Data, WouldBlock, Ended };
    ReadResult read_once();
    bool flush_unsent();
    void update_interest(bool watch_reads, bool watch_writes);
    void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>& event);
    void on_writable(const Poco::AutoPtr<Poco::Net::WritableNotification>& event);

    Reactor& reactor_;
    StreamOwner& owner_;
    Poco::Net::StreamSocket socket_;
    http::Buffer input_buffer_;
    std::string unsent_buffer_;    // the message being written
    std::size_t sent_bytes_ = 0;
    bool peer_ended_ = false;
    bool is_open_ = false, is_connecting_ = false, watches_reads_ = false, watches_writes_ = false;
};

// Closes a connection that may still be on the call stack; it is destroyed later.
void destroy_stream_later(Reactor& reactor, std::unique_ptr<Stream> stream);

}    // namespace shaletray
