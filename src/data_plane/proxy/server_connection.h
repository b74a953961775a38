// One connection to a server. It carries one exchange (request and response) at a time and is reused if the
// response allows that. Only for the reactor's thread; the pool owns the connections.
#pragma once

#include <string>

#include "base/net/stream.h"
#include "data_plane/proxy/upstream_protocol.h"

namespace shaletray {

class ServerConnection;

// Receives the events of a connection; implemented by the pool, which may drop the connection in any of them.
class ServerConnectionOwner {
public:
    virtual ~ServerConnectionOwner() = default;
    // Called when the connection is established, before its first byte is written: false if the request must
    // not be sent any more.
    virtual bool may_write_request(ServerConnection& connection) = 0;
    // The request was written completely.
    virtual void on_request_written(ServerConnection& connection) = 0;
    // The first part of a streamed upload was written.
    virtual void on_upload_started(ServerConnection& connection) = 0;
    // The head of a response that can be forwarded has arrived.
    virtual void on_response_head(ServerConnection& connection) = 0;
    // The exchange has ended. A complete response is still in the connection's buffer.
    virtual void on_exchange_ended(ServerConnection& connection, Outcome outcome, bool reusable) = 0;
    // An idle connection was closed by the server, or received unexpected bytes.
    virtual void on_idle_connection_lost(ServerConnection& connection) = 0;
    // A successful response is too long to be buffered: its head and the beginning of its body are in the
    // buffer. Chunks follow while streaming is enabled, then on_response_body_end; on_exchange_ended does not
    // come.
    virtual void on_streamed_response(ServerConnection& connection) = 0;
    virtual void on_response_body(ServerConnection& connection, std::string_view bytes) = 0;
    virtual void on_response_body_end(ServerConnection& connection, bool complete, bool reusable) = 0;
};

// Connects on first use; address and host never change.
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
    bool is_connecting() const { return state_ == State::Connecting; }
    // The received bytes are not a valid response, and no part of them may be used.
    bool is_malformed() const { return is_malformed_; }
    // A complete response has arrived.
    bool has_complete_response() const { return response_complete_; }
    const ExchangeContext& exchange() const { return exchange_; }
    // Whether it can carry another exchange: no unexpected input has arrived, and the server has not closed
    // it.
    bool is_reusable() { return state_ == State::Idle && stream_.is_quiet(); }

    // Connects first if it is new. May end the exchange before it returns. An `upload` is streamed after the
    // message, as fast as the server accepts it. `request_id` is empty for a health check.
    void start_exchange(std::string message, bool is_health_check, std::string request_id = {},
                        std::shared_ptr<RequestUpload> upload = {});
    // Backpressure of a streamed response: chunks are delivered while enabled.
    void set_streaming(bool enabled);
    // The response has been handled: ready for the next exchange.
    void mark_idle();
    void close();

private:
    enum class State { New, Connecting, Writing, Reading, Streaming, Idle, Closed };

    void on_connected() override;
    void on_input() override;
    void on_all_sent() override;
    void on_disconnected() override;
    void on_body_chunk(std::string_view bytes) override;
    void on_body_end(bool complete) override;
    http::ParseStatus read_response();
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
    std::shared_ptr<RequestUpload> pending_upload_;    // not written completely yet
    // A body of kStreamingThreshold bytes or more is streamed; one that states more than kMaxBodySize is
    // malformed.
    static constexpr std::size_t kStreamingThreshold = 64 * 1024, kMaxHeadSize = 16 * 1024, kMaxHeaders = 100,
                                 kMaxBodySize = std::size_t{1} << 30;
    http::Parser parser_{http::Parser::Kind::Response, {kMaxHeadSize, kMaxBodySize, kMaxHeaders}};
    State state_ = State::New;
    bool response_head_reported_ = false, response_complete_ = false, is_malformed_ = false,
         streaming_enabled_ = false, reading_stream_ = false;
    bool head_examined_ = false;    // a final response's head was parsed, and the next two are set
    AnswerMatch response_match_ = AnswerMatch::Match;
    bool is_forwardable_ = false;
    int skipped_responses_ = 0;    // interim and earlier responses before the expected one
};

}    // namespace shaletray
