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
    virtual void on_request_written(ServerConnection& connection) = 0;    // whole
    virtual void on_upload_started(ServerConnection& connection) = 0;     // its first part is written
    virtual void on_answer_started(ServerConnection& connection) = 0;
    // The exchange has ended, and by its outcome. With a whole answer, that is still in the connection's
    // buffer.
    virtual void on_exchange_ended(ServerConnection& connection, Outcome outcome, bool reusable) = 0;
    virtual void on_idle_connection_lost(ServerConnection& connection) = 0;
    // A good answer is too long to be held: its head and the first of its body are in the buffer. Pieces
    // follow as they are wanted, and then its end; exchange_ended does not come.
    virtual void on_streamed_answer(ServerConnection& connection) = 0;
    virtual void on_answer_body(ServerConnection& connection, std::string_view bytes) = 0;
    virtual void on_answer_body_end(ServerConnection& connection, bool complete, bool reusable) = 0;
};

class ServerConnection : public RetiredObject, private StreamOwner, private BodySink {
public:
    ServerConnection(Reactor& reactor, ServerConnectionOwner& owner, const UpstreamProtocol& protocol,
                     HostId host, std::string address)
        : owner_(owner),
          protocol_(protocol),
          address_(std::move(address)),
          exchange_{host},
          stream_(reactor, *this) {}

    HostId host() const { return exchange_.host; }
    const std::string& address() const { return address_; }
    const http::Parser& parser() const { return parser_; }
    const http::Buffer& input() const { return stream_.input_buffer(); }
    bool is_dialling() const { return state_ == State::Dialling; }
    // What came is no answer: nothing in it counts.
    bool is_malformed() const { return is_malformed_; }
    // What came is a whole answer.
    bool is_answered() const { return is_answered_; }
    const ExchangeContext& exchange() const { return exchange_; }
    // Fit for another exchange: nothing stray has come in, and it has not been ended.
    bool is_reusable() { return state_ == State::Idle && stream_.is_quiet(); }

    // Dials first where it is new. May end the exchange at once. What follows the message, if anything, is
    // passed on as it comes, as fast as the server takes it. `id`: of the request; `probe`: none.
    void start_exchange(std::string message, bool is_health_check, std::string request_id = {},
                        std::shared_ptr<RequestUpload> upload = {});
    // Pieces of a flowing answer are wanted, or not for now.
    void set_streaming(bool enabled);
    // The answer has been looked at: ready for the next exchange.
    void mark_idle();
    void close();

private:
    enum class State { New, Dialling, Writing, Reading, Streaming, Idle, Closed };

    void on_connected() override;
    void on_input() override;
    void on_all_sent() override;
    void on_disconnected() override;
    void on_body_chunk(std::string_view bytes) override;
    void on_body_end(bool complete) override;
    http::ParseStatus read_answer();
    void write_message();
    void on_message_written();
    void release_upload();
    void finish_exchange(Outcome outcome, bool reusable);
    void finish_malformed();
    void read_streamed_body();
    void finish_streamed_body(bool complete);

    ServerConnectionOwner& owner_;
    const UpstreamProtocol& protocol_;
    std::string address_;
    ExchangeContext exchange_;
    Stream stream_;
    std::string message_;
    std::shared_ptr<RequestUpload> pending_upload_;    // what is still to be written
    // From kFlowFrom bytes on a body is passed on in pieces; one that states more than kLongestBody is
    // spoilt.
    static constexpr std::size_t kStreamingThreshold = 64 * 1024, kMaxHeadSize = 16 * 1024, kMaxHeaders = 100,
                                 kMaxBodySize = std::size_t{1} << 30;
    http::Parser parser_{http::Parser::Kind::Response, {kMaxHeadSize, kMaxBodySize, kMaxHeaders}};
    State state_ = State::New;
    bool answer_started_ = false, is_answered_ = false, is_malformed_ = false, streaming_enabled_ = false,
         reading_stream_ = false;
    bool head_examined_ = false;    // the head of a final answer is here, and these two are known
    AnswerMatch answer_match_ = AnswerMatch::Match;
    bool is_forwardable_ = false;
    int skipped_answers_ = 0;    // answers before the one that counts
};

}    // namespace shaletray
