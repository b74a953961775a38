#include "net/server_connection.h"

#include <utility>

namespace shaletray {

void ServerConnection::begin(std::string message) {
    message_ = std::move(message);
    began_ = false;
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
    if (stream_.sent_all()) state_ = State::Reading;
}

void ServerConnection::on_sent() {
    if (state_ == State::Writing) state_ = State::Reading;
}

void ServerConnection::on_input() {
    if (state_ == State::Idle) {
        owner_.idle_broken(
            *this);    // nobody asked: whatever it is, the next answer must not be taken for it
        return;
    }
    if (state_ != State::Reading && state_ != State::Writing) return;
    http::Buffer& input = stream_.input();
    http::Status status = parser_.parse(input);
    // Interim answers say nothing yet.
    while (status == http::Status::Done && parser_.status() < 200) {
        input.consume(parser_.size());
        parser_.reset();
        status = parser_.parse(input);
    }
    if (parser_.head_done() && parser_.status() == 200 && !std::exchange(began_, true))
        owner_.answer_began(*this);
    // What cannot be understood is as good as a connection that broke after the request: it may have run.
    if (status == http::Status::Bad) return end(Outcome::Reset, false);
    if (status == http::Status::More) return;
    const bool whole = state_ == State::Reading && input.size() == parser_.size();
    end(outcome_of(parser_, input), whole && parser_.keep_alive());
}

void ServerConnection::on_broken() {
    switch (state_) {
        case State::Dialling:
        case State::Writing: return end(Outcome::ConnectFailed, false);
        case State::Reading: return end(Outcome::Reset, false);
        case State::Idle: return owner_.idle_broken(*this);
        default: return;
    }
}

void ServerConnection::end(Outcome outcome, bool reusable) {
    state_ = reusable ? State::Idle : State::Closed;
    owner_.exchange_ended(*this, outcome, reusable);
}

void ServerConnection::release() {
    stream_.input().consume(parser_.size());
    parser_.reset();
}

void ServerConnection::close() {
    state_ = State::Closed;
    stream_.close();
}

}    // namespace shaletray
