#include "data_plane/proxy/server_connection.h"

#include <utility>

#include "base/http/answer.h"

namespace shaletray {
namespace {

constexpr int kMostSkipped = 32;

}    // namespace

void ServerConnection::begin(std::string message, bool probe, std::string id,
                             std::shared_ptr<Upload> upload) {
    message_ = std::move(message);
    upload_ = std::move(upload);
    asked_.probe = probe;
    asked_.id = std::move(id);
    began_ = answered_ = judged_ = false;
    skipped_ = 0;
    if (state_ == State::Idle) return write();
    state_ = State::Dialling;
    if (!stream_.dial(address_)) end(Outcome::ConnectFailed, false);
}

void ServerConnection::on_connected() {
    if (state_ != State::Dialling) return;
    // The list may have taken the server out of service while the connection came up.
    if (!owner_.may_begin(*this)) return end(Outcome::ConnectFailed, false);
    write();
}

void ServerConnection::write() {
    state_ = State::Writing;
    if (!stream_.send(std::exchange(message_, {}))) return end(Outcome::ConnectFailed, false);
    if (stream_.sent_all()) written();
}

void ServerConnection::on_sent() {
    if (state_ == State::Writing) written();
}

// All that there is so far is with the system.
void ServerConnection::written() {
    const std::shared_ptr<Upload> upload = upload_;    // which the next piece may end
    if (!upload) {
        state_ = State::Reading;
        owner_.request_written(*this);
    } else if (upload->given()) {
        upload->go_on(true);
    } else {
        owner_.upload_began(*this);
        upload->begin(*this);
    }
}

void ServerConnection::on_body(std::string_view bytes) {
    if (state_ != State::Writing || !upload_) return;
    if (!stream_.send(upload_->length() ? std::string(bytes) : write_chunk(bytes)))
        return end(Outcome::ConnectFailed, false);
    if (!stream_.sent_all()) upload_->go_on(false);
}

// One that is cut short ends with its request, since the client is gone then.
void ServerConnection::on_body_end(bool whole) {
    if (state_ != State::Writing || !whole || !upload_) return;
    const bool chunked = !std::exchange(upload_, nullptr)->length();
    if (chunked && !stream_.send(write_chunk(""))) return end(Outcome::ConnectFailed, false);
    if (stream_.sent_all()) written();
}

void ServerConnection::let_go() {
    if (const std::shared_ptr<Upload> upload = std::exchange(upload_, nullptr); upload && upload->given())
        upload->go_on(false);
}

void ServerConnection::on_input() {
    if (state_ == State::Idle) {
        owner_.idle_broken(
            *this);    // nobody asked: whatever it is, the next answer must not be taken for it
        return;
    }
    if (state_ == State::Flowing) return flow();
    if (state_ != State::Reading && state_ != State::Writing) return;
    const http::Status status = read_answer();
    if (judged_ && good_ && !std::exchange(began_, true)) owner_.answer_began(*this);
    if (status == http::Status::Bad) return end_spoilt();
    http::Buffer& input = stream_.input();
    if (status == http::Status::More) {
        // The first of a long answer is what its client waits for. Where no length is stated, only what is
        // here tells how long it is.
        const bool flows = state_ == State::Reading && judged_ && good_ &&
                           parser_.length().value_or(parser_.body(input).size()) >= kFlowFrom;
        if (!flows) {
            // What is no good answer, or comes before its request was written, is not held at any length.
            if (parser_.head_done() && parser_.body(input).size() >= kFlowFrom) end_spoilt();
            return;
        }
        state_ = State::Flowing;
        wanted_ = false;
        stream_.read_on(false);
        return owner_.answer_flows(*this);
    }
    // A server begins once it has the whole request: what is good before that answers something else.
    if (good_ && state_ == State::Writing) return end_spoilt();
    const bool whole = state_ == State::Reading && input.size() == parser_.size();
    answered_ = true;
    end(dialect_.outcome_of(asked_, parser_, input), whole && parser_.keep_alive());
}

// Up to the answer that counts, and how far that one is here. Those before it say nothing of the request; but
// they must not go on for ever, nor lead to another protocol.
http::Status ServerConnection::read_answer() {
    http::Buffer& input = stream_.input();
    while (true) {
        const http::Status status = parser_.parse(input);
        if (!parser_.head_done()) return status;
        const bool interim = parser_.status() < 200;
        if (!interim && !std::exchange(judged_, true)) {
            fits_ = dialect_.fits(asked_, parser_, input);
            good_ = fits_ == Fits::Yes && dialect_.good(asked_, parser_, input);
        }
        if (status == http::Status::Bad || (judged_ && fits_ == Fits::No)) return http::Status::Bad;
        if (judged_ && fits_ == Fits::Yes) return status;
        if (status == http::Status::More) {
            parser_.drop_body(input, parser_.body(input).size());
            return status;
        }
        if (++skipped_ > kMostSkipped || parser_.status() == 101) return http::Status::Bad;
        input.consume(parser_.size());
        parser_.reset();
        judged_ = false;
    }
}

void ServerConnection::on_broken() {
    switch (state_) {
        case State::Dialling:
        case State::Writing: return end(Outcome::ConnectFailed, false);
        case State::Reading:
            answered_ =
                stream_.ended() && judged_ && fits_ == Fits::Yes && parser_.end() == http::Status::Done;
            return end(answered_ ? dialect_.outcome_of(asked_, parser_, stream_.input()) : Outcome::Reset,
                       false);
        case State::Flowing: return end_flow(stream_.ended() && parser_.end() == http::Status::Done);
        case State::Idle: return owner_.idle_broken(*this);
        default: return;
    }
}

void ServerConnection::flow_on(bool wanted) {
    if (state_ != State::Flowing || wanted == wanted_) return;
    wanted_ = wanted;
    stream_.read_on(wanted);
    if (wanted && !flowing_) flow();
}

// Who takes the pieces may stop them, or let go of them, while he is given one.
void ServerConnection::flow() {
    flowing_ = true;
    http::Buffer& input = stream_.input();
    const http::Status status = parser_.parse(input);
    if (const std::string_view bytes = parser_.body(input); !bytes.empty()) {
        const std::size_t count = bytes.size();
        owner_.body_came(*this, bytes);
        if (state_ == State::Flowing) parser_.drop_body(input, count);
    }
    flowing_ = false;
    if (state_ != State::Flowing || status == http::Status::More) return;
    end_flow(status == http::Status::Done);
}

void ServerConnection::end_flow(bool whole) {
    const bool reusable =
        whole && !stream_.ended() && stream_.input().size() == parser_.size() && parser_.keep_alive();
    stream_.read_on(true);
    state_ = reusable ? State::Idle : State::Closed;
    owner_.body_ended(*this, whole, reusable);
}

void ServerConnection::end(Outcome outcome, bool reusable) {
    let_go();
    state_ = reusable ? State::Idle : State::Closed;
    owner_.exchange_ended(*this, outcome, reusable);
}

// A spoilt answer is a failed attempt that may have run. It is no reset: its server goes on answering, and to
// take one for a process that ended would put most of the fleet out of use when a few answers spoil.
void ServerConnection::end_spoilt() {
    spoilt_ = true;
    end(Outcome::Error, false);
}

void ServerConnection::release() {
    stream_.input().consume(parser_.size());
    parser_.reset();
}

void ServerConnection::close() {
    let_go();
    state_ = State::Closed;
    stream_.close();
}

}    // namespace shaletray
