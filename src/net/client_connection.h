// One client's connection: a request in, its answer out, then the next.
#pragma once

#include <memory>

#include "core/engine.h"
#include "net/stream.h"
#include "platform/config.h"
#include "platform/messages.h"

namespace shaletray {

class ClientConnection;

// What the connections of one listener share.
struct ClientContext {
    Engine& engine;
    const Config& config;
    Counters& counters;
    Reactor& reactor;
    std::function<bool()> ready;
    std::function<void(ClientConnection&)> closed;    // gives the connection up, to be destroyed later
    bool stopping = false;
};

class ClientConnection : public Retired, private Front, private StreamOwner {
public:
    ClientConnection(ClientContext& context, const Poco::Net::StreamSocket& socket);
    ~ClientConnection() override;

    bool idle() const { return state_ == State::Reading && stream_.input().empty(); }
    TimePoint since() const { return since_; }
    // Closes it where it only waits; what a client has sent meanwhile is read first.
    void close_if_idle();
    // Closes a connection that stood still for too long.
    void sweep(TimePoint now);

private:
    enum class State { Reading, Waiting, Writing, Lingering, Closed };

    void served(Payload&& answer) override;
    void refused(Duration retry_after) override;
    void failed() override;
    void on_input() override;
    void on_sent() override;
    void on_broken() override;

    void process();
    void take_request();
    void reject(const Rejection& rejection);
    void answer(int status, std::string_view headers, std::string_view body);
    void answered();
    void close();

    ClientContext& context_;
    Stream stream_;
    http::Parser parser_{http::Parser::Kind::Request};
    State state_ = State::Reading;
    RequestId request_{};
    bool keep_alive_ = true, continued_ = false, processing_ = false;
    bool begun_ = false;    // some of a request is here
    TimePoint since_;       // when the state last changed, or the request began
};

}    // namespace shaletray
