#include "data_plane/proxy/server_connection.h"

#include <utility>

#include "base/http/answer.h"

namespace shaletray {
namespace {

constexpr int kMaxSkippedResponses = 32;    // per exchange

}    // namespace

void ServerConnection::start_exchange(std::string message, bool is_health_check, std::string request_id,
                                      std::shared_ptr<RequestUpload> upload) {
    message_ = std::move(message);
    pending_upload_ = std::move(upload);
    exchange_.is_health_check = is_health_check;
    exchange_.request_id = std::move(request_id);
    response_head_reported_ = response_complete_ = head_examined_ = false;
    skipped_responses_ = 0;
    if (state_ == State::Idle) return write_message();
    state_ = State::Connecting;
    if (!stream_.connect(address_)) finish_exchange(Outcome::ConnectFailed, false);
}

void ServerConnection::on_connected() {
    if (state_ != State::Connecting) return;
    // The server may have been removed from the list while the connection was being established.
    if (!owner_.may_write_request(*this)) return finish_exchange(Outcome::ConnectFailed, false);
    write_message();
}

void ServerConnection::write_message() {
    state_ = State::Writing;
    if (!stream_.write_bytes(std::exchange(message_, {})))
        return finish_exchange(Outcome::ConnectFailed, false);
    if (stream_.all_sent()) on_message_written();
}

void ServerConnection::on_all_sent() {
    if (state_ == State::Writing) on_message_written();
}

// The kernel has accepted all bytes that were written so far.
void ServerConnection::on_message_written() {
    const std::shared_ptr<RequestUpload> upload =
        pending_upload_;    // kept alive, since the next chunk may end it
    if (!upload) {
        state_ = State::Reading;
        owner_.on_request_written(*this);
    } else if (upload->is_streaming()) {
        upload->set_reading(true);
    } else {
        owner_.on_upload_started(*this);
        upload->start(*this);
    }
}

void ServerConnection::on_body_chunk(std::string_view bytes) {
    if (state_ != State::Writing || !pending_upload_) return;
    if (!stream_.write_bytes(pending_upload_->total_length() ? std::string(bytes) : write_chunk(bytes)))
        return finish_exchange(Outcome::ConnectFailed, false);
    if (!stream_.all_sent()) pending_upload_->set_reading(false);
}

// An upload that is cut short needs no action: its client has disconnected, which cancels the request.
void ServerConnection::on_body_end(bool complete) {
    if (state_ != State::Writing || !complete || !pending_upload_) return;
    const bool chunked = !std::exchange(pending_upload_, nullptr)->total_length();
    if (chunked && !stream_.write_bytes(write_chunk("")))
        return finish_exchange(Outcome::ConnectFailed, false);
    if (stream_.all_sent()) on_message_written();
}

void ServerConnection::release_upload() {
    if (const std::shared_ptr<RequestUpload> upload = std::exchange(pending_upload_, nullptr);
        upload && upload->is_streaming())
        upload->set_reading(false);
}

void ServerConnection::on_input() {
    if (state_ == State::Idle) {
        owner_.on_idle_connection_lost(*this);    // unexpected bytes must not be read as the next response
        return;
    }
    if (state_ == State::Streaming) return read_streamed_body();
    if (state_ != State::Reading && state_ != State::Writing) return;
    const http::ParseStatus status = read_response();
    if (head_examined_ && is_forwardable_ && !std::exchange(response_head_reported_, true))
        owner_.on_response_head(*this);
    if (status == http::ParseStatus::Malformed) return finish_malformed();
    http::Buffer& input = stream_.input_buffer();
    if (status == http::ParseStatus::Incomplete) {
        // A long response is streamed so that its client gets the beginning at once. Without a stated length,
        // the number of bytes received so far decides.
        const bool is_streamed =
            state_ == State::Reading && head_examined_ && is_forwardable_ &&
            parser_.content_length().value_or(parser_.body(input).size()) >= kStreamingThreshold;
        if (!is_streamed) {
            // An error response, or one that precedes the end of its request, is not buffered without bound.
            if (parser_.head_complete() && parser_.body(input).size() >= kStreamingThreshold)
                finish_malformed();
            return;
        }
        state_ = State::Streaming;
        streaming_enabled_ = false;
        stream_.set_reading(false);
        return owner_.on_streamed_response(*this);
    }
    // A server responds once it has the complete request: a success before that belongs to another request.
    if (is_forwardable_ && state_ == State::Writing) return finish_malformed();
    const bool complete = state_ == State::Reading && input.size() == parser_.message_size();
    response_complete_ = true;
    protocol_.on_response(exchange_, parser_, input);
    finish_exchange(protocol_.outcome_of(exchange_, parser_, input), complete && parser_.keep_alive());
}

// Skips interim responses and those to earlier requests, and returns the parse status of the expected one.
// The number of skipped responses is bounded, and a protocol switch is malformed.
http::ParseStatus ServerConnection::read_response() {
    http::Buffer& input = stream_.input_buffer();
    while (true) {
        const http::ParseStatus status = parser_.parse(input);
        if (!parser_.head_complete()) return status;
        const bool interim = parser_.status_code() < 200;
        if (!interim && !std::exchange(head_examined_, true)) {
            response_match_ = protocol_.match_answer(exchange_, parser_, input);
            is_forwardable_ =
                response_match_ == AnswerMatch::Match && protocol_.is_forwardable(exchange_, parser_, input);
        }
        if (status == http::ParseStatus::Malformed ||
            (head_examined_ && response_match_ == AnswerMatch::Mismatch))
            return http::ParseStatus::Malformed;
        if (head_examined_ && response_match_ == AnswerMatch::Match) return status;
        if (status == http::ParseStatus::Incomplete) {
            parser_.consume_body(input, parser_.body(input).size());
            return status;
        }
        if (++skipped_responses_ > kMaxSkippedResponses || parser_.status_code() == 101)
            return http::ParseStatus::Malformed;
        input.consume(parser_.message_size());
        parser_.reset();
        head_examined_ = false;
    }
}

void ServerConnection::on_disconnected() {
    switch (state_) {
        case State::Connecting:
        case State::Writing: return finish_exchange(Outcome::ConnectFailed, false);
        case State::Reading:
            response_complete_ = stream_.is_ended() && head_examined_ &&
                                 response_match_ == AnswerMatch::Match &&
                                 parser_.finish() == http::ParseStatus::Complete;
            if (response_complete_) protocol_.on_response(exchange_, parser_, stream_.input_buffer());
            return finish_exchange(response_complete_
                                       ? protocol_.outcome_of(exchange_, parser_, stream_.input_buffer())
                                       : Outcome::Reset,
                                   false);
        case State::Streaming:
            return finish_streamed_body(stream_.is_ended() &&
                                        parser_.finish() == http::ParseStatus::Complete);
        case State::Idle: return owner_.on_idle_connection_lost(*this);
        default: return;
    }
}

void ServerConnection::set_streaming(bool enabled) {
    if (state_ != State::Streaming || enabled == streaming_enabled_) return;
    streaming_enabled_ = enabled;
    stream_.set_reading(enabled);
    if (enabled && !reading_stream_) read_streamed_body();
}

// The receiver may pause or release the stream while it handles a chunk.
void ServerConnection::read_streamed_body() {
    reading_stream_ = true;
    http::Buffer& input = stream_.input_buffer();
    const http::ParseStatus status = parser_.parse(input);
    if (const std::string_view bytes = parser_.body(input); !bytes.empty()) {
        const std::size_t count = bytes.size();
        owner_.on_response_body(*this, bytes);
        if (state_ == State::Streaming) parser_.consume_body(input, count);
    }
    reading_stream_ = false;
    if (state_ != State::Streaming || status == http::ParseStatus::Incomplete) return;
    finish_streamed_body(status == http::ParseStatus::Complete);
}

void ServerConnection::finish_streamed_body(bool complete) {
    const bool reusable = complete && !stream_.is_ended() &&
                          stream_.input_buffer().size() == parser_.message_size() && parser_.keep_alive();
    stream_.set_reading(true);
    state_ = reusable ? State::Idle : State::Closed;
    owner_.on_response_body_end(*this, complete, reusable);
}

void ServerConnection::finish_exchange(Outcome outcome, bool reusable) {
    release_upload();
    state_ = reusable ? State::Idle : State::Closed;
    owner_.on_exchange_ended(*this, outcome, reusable);
}

// A malformed response is a failed attempt that may have run. It is not reported as Outcome::Reset, which
// means that the server process ended: a few malformed responses would then eject most servers.
void ServerConnection::finish_malformed() {
    is_malformed_ = true;
    finish_exchange(Outcome::Error, false);
}

void ServerConnection::mark_idle() {
    stream_.input_buffer().consume(parser_.message_size());
    parser_.reset();
}

void ServerConnection::close() {
    release_upload();
    state_ = State::Closed;
    stream_.close();
}

}    // namespace shaletray
