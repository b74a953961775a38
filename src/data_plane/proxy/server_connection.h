// One connection to a server. It carries one exchange at a time, and is kept for the next where the answer
// allows that.
#pragma once

#include <string>

#include "base/net/stream.h"
#include "data_plane/proxy/upstream_protocol.h"

namespace shaletray {

class ServerConnection;

// Told by a connection; the pool decides what follows.
class ServerConnectionOwner {
public:
    virtual ~ServerConnectionOwner() = default;
    // Just dialled and about to carry the first byte: false where it must not go there any more.
    virtual bool may_begin(ServerConnection& connection) = 0;
    virtual void request_written(ServerConnection& connection) = 0;    // whole
    virtual void upload_began(ServerConnection& connection) = 0;       // its first part is written
    virtual void answer_began(ServerConnection& connection) = 0;
    // The exchange has ended, and by its outcome. With a whole answer, that is still in the connection's
    // buffer.
    virtual void exchange_ended(ServerConnection& connection, Outcome outcome, bool reusable) = 0;
    virtual void idle_broken(ServerConnection& connection) = 0;
    // A good answer is too long to be held: its head and the first of its body are in the buffer. Pieces
    // follow as they are wanted, and then its end; exchange_ended does not come.
    virtual void answer_flows(ServerConnection& connection) = 0;
    virtual void body_came(ServerConnection& connection, std::string_view bytes) = 0;
    virtual void body_ended(ServerConnection& connection, bool whole, bool reusable) = 0;
};

class ServerConnection : public Retired, private StreamOwner, private BodySink {
public:
    ServerConnection(Reactor& reactor, ServerConnectionOwner& owner, const Dialect& dialect, HostId host,
                     std::string address)
        : owner_(owner),
          dialect_(dialect),
          address_(std::move(address)),
          asked_{host},
          stream_(reactor, *this) {}

    HostId host() const { return asked_.host; }
    const std::string& address() const { return address_; }
    const http::Parser& parser() const { return parser_; }
    const http::Buffer& input() const { return stream_.input(); }
    bool dialling() const { return state_ == State::Dialling; }
    // What came is no answer: nothing in it counts.
    bool spoilt() const { return spoilt_; }
    // What came is a whole answer.
    bool answered() const { return answered_; }
    const Asked& asked() const { return asked_; }
    // Fit for another exchange: nothing stray has come in, and it has not been ended.
    bool fit() { return state_ == State::Idle && stream_.quiet(); }

    // Dials first where it is new. May end the exchange at once. What follows the message, if anything, is
    // passed on as it comes, as fast as the server takes it. `id`: of the request; `probe`: none.
    void begin(std::string message, bool probe, std::string id = {}, std::shared_ptr<Upload> upload = {});
    // Pieces of a flowing answer are wanted, or not for now.
    void flow_on(bool wanted);
    // The answer has been looked at: ready for the next exchange.
    void release();
    void close();

private:
    enum class State { New, Dialling, Writing, Reading, Flowing, Idle, Closed };

    void on_connected() override;
    void on_input() override;
    void on_sent() override;
    void on_broken() override;
    void on_body(std::string_view bytes) override;
    void on_body_end(bool whole) override;
    http::Status read_answer();
    void write();
    void written();
    void let_go();
    void end(Outcome outcome, bool reusable);
    void end_spoilt();
    void flow();
    void end_flow(bool whole);

    ServerConnectionOwner& owner_;
    const Dialect& dialect_;
    std::string address_;
    Asked asked_;
    Stream stream_;
    std::string message_;
    std::shared_ptr<Upload> upload_;    // what is still to be written
    // From kFlowFrom bytes on a body is passed on in pieces; one that states more than kLongestBody is
    // spoilt.
    static constexpr std::size_t kFlowFrom = 64 * 1024, kLongestHead = 16 * 1024, kMostHeaders = 100,
                                 kLongestBody = std::size_t{1} << 30;
    http::Parser parser_{http::Parser::Kind::Response, {kLongestHead, kLongestBody, kMostHeaders}};
    State state_ = State::New;
    bool began_ = false, answered_ = false, spoilt_ = false, wanted_ = false, flowing_ = false;
    bool judged_ = false;    // the head of a final answer is here, and these two are known
    Fits fits_ = Fits::Yes;
    bool good_ = false;
    int skipped_ = 0;    // answers before the one that counts
};

}    // namespace shaletray
