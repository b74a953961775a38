// A non-blocking stream connection: reads into its input buffer, buffers and writes output, and notifies its
// owner, which interprets the bytes. Only for the reactor's thread.
#pragma once

#include <Poco/Net/SocketNotification.h>
#include <Poco/Net/StreamSocket.h>

#include <memory>
#include <string>

#include "base/http/buffer.h"
#include "base/net/reactor.h"

namespace shaletray {

// Receives the events of a Stream. It outlives the stream and may close it in any of these callbacks.
class StreamOwner {
public:
    virtual ~StreamOwner() = default;
    virtual void on_connected() {}    // connect() succeeded
    virtual void on_input() = 0;      // the input buffer has more bytes
    virtual void on_all_sent() {}     // the kernel has accepted all bytes that were waiting to be written
    virtual void on_disconnected() = 0;    // the peer closed the connection, or it failed
};

// One accepted or outgoing connection. Destruction closes it.
class Stream {
public:
    Stream(Reactor& reactor, StreamOwner& owner) : reactor_(reactor), owner_(owner) {}
    ~Stream() { close(); }
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    // Takes over an accepted socket. `is_local`: a Unix domain socket, on which TCP options are not set.
    void attach(const Poco::Net::StreamSocket& accepted, bool is_local = false);
    // False if it failed at once; otherwise on_connected or on_disconnected follows.
    bool connect(const std::string& address);
    // False if the connection failed. Bytes that the kernel does not accept now are written later, followed
    // by on_all_sent.
    bool write_bytes(std::string bytes);
    bool all_sent() const { return sent_bytes_ == unsent_buffer_.size(); }
    std::size_t unsent_bytes() const { return unsent_buffer_.size() - sent_bytes_; }
    Poco::Net::StreamSocket& socket() { return socket_; }    // to set its options
    // Received bytes that the owner has not consumed yet.
    http::Buffer& input_buffer() { return input_buffer_; }
    const http::Buffer& input_buffer() const { return input_buffer_; }
    // Reads what has arrived by now, without waiting for an event.
    void read_available();
    // True if there is no unread input and the peer has not closed the connection.
    bool is_quiet();
    // Backpressure: while disabled, nothing is read and the peer is slowed down by TCP.
    void set_reading(bool enabled);
    // Closes the sending direction only; the peer can still be read.
    void shutdown_sending();
    // Releases the socket; the only place that does. No callbacks follow.
    void close();
    bool is_open() const { return is_open_; }
    // The peer closed its sending direction in order, after all its bytes.
    bool is_ended() const { return peer_closed_; }

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
    std::string unsent_buffer_;    // bytes accepted by write_bytes and not entirely sent
    std::size_t sent_bytes_ = 0;
    bool peer_closed_ = false;
    bool is_open_ = false, is_connecting_ = false, watches_reads_ = false, watches_writes_ = false;
};

// Closes a stream that may still be on the call stack and defers its destruction.
void destroy_stream_later(Reactor& reactor, std::unique_ptr<Stream> stream);

}    // namespace shaletray
