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
    virtual void on_input() = 0;     // there is more in the buffer
    virtual void on_sent() {}        // all that waited to be written is with the system now
    virtual void on_broken() = 0;    // the other side ended the connection, or it broke
};

class Stream {
public:
    Stream(Reactor& reactor, StreamOwner& owner) : reactor_(reactor), owner_(owner) {}
    ~Stream() { close(); }
    Stream(const Stream&) = delete;
    Stream& operator=(const Stream&) = delete;

    void adopt(const Poco::Net::StreamSocket& accepted, bool local = false);    // local: of no TCP
    // False where it failed at once. Otherwise on_connected or on_broken follows.
    bool dial(const std::string& address);
    // False where the connection broke. What the system does not take now is written later, then on_sent
    // comes.
    bool send(std::string bytes);
    bool sent_all() const { return sent_ == unsent_.size(); }
    std::size_t unsent() const { return unsent_.size() - sent_; }    // bytes
    Poco::Net::StreamSocket& socket() { return socket_; }            // for its options
    http::Buffer& input() { return input_; }
    const http::Buffer& input() const { return input_; }
    // Reads what is there now, without waiting to be told.
    void read_now();
    // Nothing has come in that nobody has read, and the other side has not ended the connection.
    bool quiet();
    void read_on(bool wanted);
    void end_sending();
    void close();    // the one place where the socket is given back
    bool is_open() const { return open_; }
    // The other side ended the connection in order, after all that it had to send.
    bool ended() const { return ended_; }

private:
    enum class Read { Data, Nothing, Ended };
    Read read();
    bool flush();
    void watch_for(bool reads, bool writes);
    void on_readable(const Poco::AutoPtr<Poco::Net::ReadableNotification>& event);
    void on_writable(const Poco::AutoPtr<Poco::Net::WritableNotification>& event);

    Reactor& reactor_;
    StreamOwner& owner_;
    Poco::Net::StreamSocket socket_;
    http::Buffer input_;
    std::string unsent_;    // the message being written
    std::size_t sent_ = 0;
    bool ended_ = false;
    bool open_ = false, connecting_ = false, reads_ = false, writes_ = false;
};

// Closes a connection that may still be on the call stack; it is destroyed later.
void retire(Reactor& reactor, std::unique_ptr<Stream> stream);

}    // namespace shaletray
