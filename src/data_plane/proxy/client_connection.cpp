#include "data_plane/proxy/client_connection.h"

#include <utility>

namespace shaletray {
namespace {

using namespace std::chrono_literals;

// Bytes per second: the slowest rate at which a body may arrive, in addition to the time allowed for the
// head.
constexpr double kMinTransferRate = 48.0 * 1024.0;
// Transient connections close after their response once there are more than max_sockets / 16 of them.
constexpr std::size_t kTransientSocketDivisor = 16;
constexpr Duration kResponseStallTimeout = 15s;    // for a client that does not read its response
constexpr Duration kLingerTimeout = 1s;            // for a client to read the last response before the close
// Bytes read and discarded after the last response. After a response in the middle of a body, the rest of the
// body is discarded at the same minimum rate, since many clients read a response only after sending their
// body.
constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;
// Fractions of the memory that may hold long bodies, which are buffered until they are complete and then as
// long as an attempt may need them. Up to two more copies exist: the client's input buffer, and a server's
// unsent bytes.
constexpr double kAllBodiesMemoryFraction = 1.0 / 4, kSingleBodyMemoryFraction = 1.0 / 8;
// Reserved beyond a body's length, so that the buffer grows only once.
constexpr std::size_t kBufferReserveSize = 8 * 1024;
constexpr int kReadyStatus = 200, kNotReadyStatus = 503;

GatewayAnswer rejection_response(const ImmediateRejection& rejection) {
    return {rejection.status_code, "Content-Type: text/plain\r\n", std::string(rejection.reason) + "\n"};
}

}    // namespace

ClientConnection::ClientConnection(ClientContext& context, const Poco::Net::StreamSocket& socket)
    : context_(context),
      stream_(context.reactor, *this),
      parser_(http::Parser::Kind::Request, context.request_mapping.parser_limits()),
      upload_reader_(stream_, parser_, context.reactor.clock(), [this] { forward_upload(); }),
      state_since_(context.reactor.clock().now()) {
    stream_.attach(socket);
    ++context_.counters.clients_accepted;
    ++context_.counters.open_clients;
    update_eviction_position();
}

ClientConnection::~ClientConnection() {
    enter_state(State::Closed);    // removes it from the shared context
    finish_streamed_response();
    upload_reader_.abandon();
    release_body_memory();
    for (const auto& pending_request : pending_requests_) release_request(*pending_request);
    --context_.counters.open_clients;
}

// The only place where the state changes, and with it the connection's eviction position.
void ClientConnection::enter_state(State state) {
    state_ = state;
    head_completed_at_ = TimePoint{};
    state_since_ = context_.reactor.clock().now();
    update_eviction_position();
}

void ClientConnection::update_eviction_position() {
    const std::pair<EvictionClass, TimePoint> new_position{eviction_class(), state_since_};
    if (new_position == eviction_position_) return;
    if (eviction_position_.first != EvictionClass::NotEvictable)
        context_.evictable_connections.erase({eviction_position_.first, eviction_position_.second, this});
    const auto is_transient = [](EvictionClass kind) {
        return kind == EvictionClass::NoRequestYet || kind == EvictionClass::AfterOneRequest;
    };
    context_.transient_connections -= is_transient(eviction_position_.first);
    eviction_position_ = new_position;
    context_.transient_connections += is_transient(eviction_position_.first);
    if (eviction_position_.first != EvictionClass::NotEvictable)
        context_.evictable_connections.insert({eviction_position_.first, eviction_position_.second, this});
}

// Clients that send one request, or only readiness checks, and then stay silent occupy connections that other
// clients wait for. While there are many such connections, the response closes the connection: unlike a later
// close, this cannot coincide with the arrival of a request.
bool ClientConnection::should_close_transient() const {
    return request_count_ <= 1 &&
           context_.transient_connections * kTransientSocketDivisor > context_.capacity.max_sockets;
}

EvictionClass ClientConnection::eviction_class() const {
    if (state_ == State::Lingering) return EvictionClass::AfterLastResponse;
    if (state_ != State::Reading) return EvictionClass::NotEvictable;
    return request_count_ == 0   ? EvictionClass::NoRequestYet
           : request_count_ == 1 ? EvictionClass::AfterOneRequest
                                 : EvictionClass::KeptAlive;
}

// Releases what was reserved for a request that has its response.
void ClientConnection::release_request(PendingRequest& pending_request) {
    context_.buffered_body_bytes -= std::exchange(pending_request.reserved_body_bytes, 0);
    if (pending_request.request_id.empty()) return;
    context_.open_request_ids.erase(pending_request.request_id);
    pending_request.request_id.clear();
}

void ClientConnection::on_input() {
    if (state_ == State::Lingering) {
        discarded_bytes_ += stream_.input_buffer().size();
        stream_.input_buffer().consume(stream_.input_buffer().size());
        if (discarded_bytes_ > (responded_early_ ? parser_.limits().max_body_size : kMaxDiscardedBytes))
            stream_.set_reading(false);
        return;
    }
    // The timeout runs from a request's first byte, so that a request that arrives slowly does not renew it
    // with every byte. For the first request it runs from the connection's start.
    if (state_ == State::Reading && !std::exchange(request_started_, true) && request_count_ > 0)
        enter_state(State::Reading);
    if (upload_reader_.is_active()) forward_upload();
    else process_input();
    if (state_ != State::Reading && stream_.input_buffer().size() > kMaxReadAheadBytes)
        stream_.set_reading(false);
}

// Whether the client's next request may be parsed: while others are open, only if all of them allow
// pipelining, and never after a request whose response closes the connection.
bool ClientConnection::can_read() const {
    if (state_ == State::Reading) return true;
    if ((state_ != State::Waiting && state_ != State::Writing) ||
        pending_requests_.size() >= kMaxPendingRequests)
        return false;
    return pending_requests_.back()->allows_pipelining && pending_requests_.back()->keep_alive &&
           !deferred_request_ && !context_.is_closing_down();
}

// A response may be written while its request is being submitted. The nested call then returns at once and
// the outer loop continues.
void ClientConnection::process_input() {
    if (is_processing_) return;
    is_processing_ = true;
    while (can_read()) {
        if (deferred_request_) {
            start_deferred_request();
            continue;
        }
        const bool had_head = parser_.head_complete();
        const http::ParseStatus status = parser_.parse(stream_.input_buffer());
        if (!had_head && parser_.head_complete()) ++context_.counters.request_heads_read;
        if (status == http::ParseStatus::Malformed) {
            reject_request(context_.request_mapping.map_parse_error(parser_.error()));
        } else if (status == http::ParseStatus::Complete) {
            accept_request();
        } else {
            if (parser_.head_complete() && head_completed_at_ == TimePoint{})
                head_completed_at_ = context_.reactor.clock().now();
            // While requests are pending, the client would read it as a response to one of them.
            if (parser_.expects_continue() && pending_requests_.empty() &&
                !std::exchange(continue_sent_, true) && !stream_.write_bytes(std::string(kContinueResponse)))
                close_connection();
            const std::size_t buffered_bytes = parser_.body(stream_.input_buffer()).size();
            if (!can_read() || buffered_bytes < kUploadStreamingThreshold ||
                reserve_body_memory(buffered_bytes) || !pending_requests_.empty())
                break;
            accept_request();
        }
    }
    is_processing_ = false;
}

void ClientConnection::accept_request() {
    http::Buffer& input = stream_.input_buffer();
    const bool keep_alive = parser_.keep_alive(), http10 = parser_.is_http10(),
               complete = parser_.is_complete();
    if (complete && context_.request_mapping.is_readiness_check(parser_, input)) {
        prepare_next_message();
        const bool is_ready = context_.is_ready() && !context_.is_closing_down();
        GatewayAnswer readiness_response{is_ready ? kReadyStatus : kNotReadyStatus, "",
                                         is_ready ? "ready\n" : "not ready\n"};
        return set_response(add_pending_request(keep_alive, http10), std::move(readiness_response));
    }
    ++request_count_;    // not for readiness checks: their clients may never send a request
    auto request = context_.request_mapping.map_request(parser_, input, context_.reactor.clock().now());
    if (const auto* rejection = std::get_if<ImmediateRejection>(&request)) return reject_request(*rejection);
    MappedRequest& mapped_request = std::get<MappedRequest>(request);
    mapped_request.allows_pipelining = mapped_request.allows_pipelining && complete && !http10;
    if (pending_requests_.empty() || mapped_request.allows_pipelining)
        return start_request(std::move(mapped_request), keep_alive, http10, complete);
    deferred_request_ = std::make_unique<DeferredRequest>(
        DeferredRequest{std::move(mapped_request), keep_alive, http10, context_.reactor.clock().now()});
    prepare_next_message();
}

// Its time budget includes the time that it was deferred.
void ClientConnection::start_deferred_request() {
    const std::unique_ptr<DeferredRequest> deferred = std::move(deferred_request_);
    IncomingRequest& incoming = deferred->request.incoming;
    const Duration deferral_time = context_.reactor.clock().now() - deferred->deferred_at;
    incoming.time_budget = std::max(Duration(0), incoming.time_budget - deferral_time);
    start_request(std::move(deferred->request), deferred->keep_alive, deferred->is_http10, true);
}

// `complete`: the message was received completely; otherwise its body is still being received.
void ClientConnection::start_request(MappedRequest&& request, bool keep_alive, bool http10, bool complete) {
    if (!request.request_id.empty() && !context_.open_request_ids.insert(request.request_id).second)
        return reject_request({409, "a request with this id is still open"});
    IncomingRequest& incoming = request.incoming;
    if (!complete) {
        release_body_memory();
        incoming.payload.upload = upload_reader_.begin();
        ++context_.counters.streamed_uploads;
        continue_sent_ = false;
    } else if (parser_.is_complete()) {
        prepare_next_message();
    }
    PendingRequest* const pending_request = &add_pending_request(keep_alive, http10);
    pending_request->request_id = std::move(request.request_id);
    pending_request->allows_pipelining = request.allows_pipelining;
    pending_request->is_being_received = !complete;
    pending_request->is_submitting = true;
    ++context_.counters.requests_submitted;
    const std::uint64_t request_ticket =
        context_.request_handler.submit(*pending_request, std::move(incoming));
    // submit() adds no other request: if this one is not the last, it already has its response.
    if (pending_requests_.empty() || pending_requests_.back().get() != pending_request ||
        pending_request->has_response)
        return;
    pending_request->is_submitting = false;
    pending_request->request_ticket = request_ticket;
    if (state_ == State::Closed) context_.request_handler.cancel(request_ticket);
    else forward_upload();
}

ClientConnection::PendingRequest& ClientConnection::add_pending_request(bool keep_alive, bool http10) {
    PendingRequest& pending_request =
        *pending_requests_.emplace_back(std::make_unique<PendingRequest>(*this));
    pending_request.keep_alive = keep_alive;
    pending_request.is_http10 = http10;
    pending_request.reserved_body_bytes = std::exchange(reserved_body_bytes_, 0);
    if (state_ == State::Reading) enter_state(State::Waiting);
    return pending_request;
}

// Consumes the message that was parsed and prepares for the next one.
void ClientConnection::prepare_next_message() {
    stream_.input_buffer().consume(parser_.message_size());
    parser_.reset();
    parser_.set_limits(context_.request_mapping.parser_limits());
    continue_sent_ = false;
    head_completed_at_ = TimePoint{};
}

// ---- streamed requests ----

// A body that arrives slowly would occupy a server for seconds, so it is buffered completely before its
// request is submitted, if there is memory for that.
bool ClientConnection::reserve_body_memory(std::size_t buffered_bytes) {
    const double memory = context_.capacity.max_memory_mb * 1024 * 1024;
    const double body_memory = static_cast<double>(parser_.content_length().value_or(buffered_bytes));
    const std::size_t other_bytes = context_.buffered_body_bytes - reserved_body_bytes_;
    if (body_memory > memory * kSingleBodyMemoryFraction ||
        static_cast<double>(other_bytes) + body_memory > memory * kAllBodiesMemoryFraction)
        return false;
    if (reserved_body_bytes_ == 0)
        stream_.input_buffer().reserve(static_cast<std::size_t>(body_memory) - buffered_bytes +
                                       kBufferReserveSize);
    reserved_body_bytes_ = static_cast<std::size_t>(body_memory);
    context_.buffered_body_bytes = other_bytes + reserved_body_bytes_;
    return true;
}

void ClientConnection::release_body_memory() {
    context_.buffered_body_bytes -= std::exchange(reserved_body_bytes_, 0);
}

// Passes on what has arrived of the body of a request that is being streamed.
void ClientConnection::forward_upload() {
    // Nothing is passed on before the request's ticket is known.
    if (!upload_reader_.is_active() || pending_requests_.back()->is_submitting) return;
    switch (upload_reader_.forward()) {
        case UploadReader::Progress::Receiving:
        case UploadReader::Progress::Ended: break;
        case UploadReader::Progress::Malformed:
            reject_upload(context_.request_mapping.map_parse_error(parser_.error()));
            break;
        case UploadReader::Progress::TooLong:
            reject_upload(context_.request_mapping.map_parse_error(http::ParseError::BodyTooLarge));
            break;
        case UploadReader::Progress::Delivered:
            prepare_next_message();
            pending_requests_.back()->is_being_received = false;
            upload_reader_.finish();
            break;
    }
}

// Nobody waits for the rest of a message whose request has its response. What has arrived of it must not be
// read as a message of its own, or as this one once more.
void ClientConnection::drop_rest_of_message(PendingRequest& request) {
    if (!request.is_being_received) return;
    if (upload_reader_.is_active())
        ++(parser_.is_complete() ? context_.counters.uploads_answered_received
                                 : context_.counters.uploads_answered_incomplete);
    upload_reader_.abandon();
    if (!parser_.is_complete()) return;    // the connection closes after the response
    prepare_next_message();
    request.is_being_received = false;
}

// The body turned out to be malformed after its request was submitted; it is the only pending one then.
void ClientConnection::reject_upload(const ImmediateRejection& rejection) {
    PendingRequest& pending_request = *pending_requests_.front();
    context_.request_handler.cancel(pending_request.request_ticket);
    pending_request.keep_alive = false;
    set_response(pending_request, rejection_response(rejection));
}

// Rejects the message that was just parsed, completely or in part.
void ClientConnection::reject_request(const ImmediateRejection& rejection) {
    GatewayAnswer local_response = rejection_response(rejection);
    const bool keeps_connection = rejection.keep_alive && parser_.is_complete();
    const bool keep_alive = keeps_connection && parser_.keep_alive(), http10 = parser_.is_http10();
    PendingRequest& pending_request = add_pending_request(keep_alive, http10);
    pending_request.allows_pipelining = keeps_connection && !http10;
    pending_request.is_being_received = parser_.head_complete();
    set_response(pending_request, std::move(local_response));
}

// ---- responses ----

void ClientConnection::PendingRequest::on_answer(Payload&& response) {
    client_connection.set_response(*this, std::move(response));
}

void ClientConnection::PendingRequest::on_rejected(Duration retry_after, RejectionReason reason) {
    client_connection.set_response(
        *this, client_connection.context_.request_mapping.rejection_answer(reason, retry_after));
}

void ClientConnection::PendingRequest::on_failed(FailureReason reason, Payload&& response) {
    if (is_error_response(response)) client_connection.set_response(*this, std::move(response));
    else
        client_connection.set_response(*this,
                                       client_connection.context_.request_mapping.failure_answer(reason));
}

void ClientConnection::set_response(PendingRequest& request, GatewayAnswer&& local_response) {
    Payload response;
    response.status_code = local_response.status_code;
    response.head = std::move(local_response.headers);
    response.body = std::move(local_response.body);
    set_response(request, std::move(response));
}

// `request` may be destroyed when this returns.
void ClientConnection::set_response(PendingRequest& request, Payload&& response) {
    request.has_response = true;
    if (state_ == State::Closed) return;
    request.queued_response = std::move(response);
    drop_rest_of_message(request);
    release_request(request);
    write_ready_responses();
}

// Writes all responses that are ready, in request order. A nested call leaves the work to the outer loop.
void ClientConnection::write_ready_responses() {
    if (is_writing_) return;
    is_writing_ = true;
    while (state_ == State::Waiting && pending_requests_.front()->has_response)
        write_response(*pending_requests_.front());
    is_writing_ = false;
}

// A connection that must close does so after its last pending response, so that no response is lost.
void ClientConnection::write_response(PendingRequest& request) {
    Payload response = std::move(request.queued_response);
    ++context_.counters.answers_by_status[response.status_code];
    responded_early_ = request.is_being_received;
    const bool ends_connection =
        pending_requests_.size() == 1 && (context_.is_closing_down() || should_close_transient());
    keep_alive_ = request.keep_alive && !responded_early_ && !ends_connection;
    enter_state(State::Writing);
    if (response.body_stream) return stream_response(std::move(response), request.is_http10);
    if (keep_alive_) response.head += context_.request_mapping.keep_alive_headers();
    if (!stream_.write_bytes(
            shaletray::write_answer(response.status_code, response.head, response.body, keep_alive_)))
        return close_connection();
    if (stream_.all_sent()) on_response_written();
}

// ---- streamed responses ----

void ClientConnection::stream_response(Payload&& response, bool http10) {
    const std::optional<std::uint64_t> length = response.body_stream->total_length();
    response_framing_ = length   ? BodyFraming::ContentLength
                        : http10 ? BodyFraming::UntilClose
                                 : BodyFraming::Chunked;
    if (response_framing_ == BodyFraming::UntilClose) keep_alive_ = false;
    response_stream_ = std::move(response.body_stream);
    ++context_.counters.open_streamed_answers;
    if (keep_alive_) response.head += context_.request_mapping.keep_alive_headers();
    if (!stream_.write_bytes(write_answer_head(response.status_code, response.head, response_framing_,
                                               length.value_or(0), keep_alive_)))
        return close_connection();
    const std::shared_ptr<BodyStream> response_stream =
        response_stream_;    // kept alive, since the first chunk may end it
    response_stream->start(*this);
}

void ClientConnection::on_body_chunk(std::string_view bytes) {
    if (state_ != State::Writing) return;
    state_since_ = context_.reactor.clock().now();    // restarts the stall timeout
    if (!stream_.write_bytes(response_framing_ == BodyFraming::Chunked ? write_chunk(bytes)
                                                                       : std::string(bytes)))
        return close_connection();
    if (!stream_.all_sent() && response_stream_) response_stream_->set_reading(false);
}

// A truncated response must not look complete: the connection is closed in the middle of it.
void ClientConnection::on_body_end(bool complete) {
    if (state_ != State::Writing) return;
    if (!complete) return close_connection();
    finish_streamed_response();
    if (response_framing_ == BodyFraming::Chunked && !stream_.write_bytes(write_chunk("")))
        return close_connection();
    if (stream_.all_sent()) on_response_written();
}

void ClientConnection::finish_streamed_response() {
    if (!response_stream_) return;
    response_stream_.reset();
    --context_.counters.open_streamed_answers;
}

void ClientConnection::on_all_sent() {
    if (state_ != State::Writing) return;
    state_since_ = context_.reactor.clock().now();
    if (response_stream_) response_stream_->set_reading(true);
    else on_response_written();
}

void ClientConnection::on_response_written() {
    pending_requests_.erase(pending_requests_.begin());
    if (!keep_alive_) {
        deferred_request_.reset();
        // Closing a socket with unread input resets the connection, and the client may lose the response.
        enter_state(State::Lingering);
        stream_.shutdown_sending();
        stream_.input_buffer().consume(stream_.input_buffer().size());
        stream_.set_reading(true);
        return;
    }
    enter_state(pending_requests_.empty() ? State::Reading : State::Waiting);
    request_started_ = !stream_.input_buffer().empty();
    stream_.set_reading(true);
    write_ready_responses();
    process_input();
}

void ClientConnection::on_disconnected() { close_connection(); }

void ClientConnection::close_if_idle() {
    if (is_idle()) stream_.read_available();
    if (is_idle()) close_connection();
}

bool ClientConnection::evict() {
    if (state_ == State::Reading) stream_.read_available();
    if (state_ != State::Reading && state_ != State::Lingering) return state_ == State::Closed;
    close_connection();
    return true;
}

// How long the connection may stay in its state. Clients that send nothing or only part of a request must not
// occupy a descriptor for long, since there may be many of them.
Duration ClientConnection::state_timeout() const {
    if (state_ == State::Lingering && !responded_early_) return kLingerTimeout;
    if (state_ == State::Writing) return kResponseStallTimeout;
    const Duration head_timeout = context_.request_mapping.header_timeout();
    const auto body_timeout = [head_timeout](std::size_t bytes) {
        return head_timeout + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                                  static_cast<double>(bytes) / kMinTransferRate));
    };
    if (state_ == State::Lingering) return body_timeout(discarded_bytes_);
    const std::size_t buffered_bytes = parser_.body(stream_.input_buffer()).size();
    // The time during which backpressure pauses the client does not count.
    if (upload_reader_.is_active())
        return body_timeout(upload_reader_.received_bytes()) + upload_reader_.paused_time();
    if (head_completed_at_ != TimePoint{})
        return head_completed_at_ - state_since_ + body_timeout(buffered_bytes);
    return request_count_ == 0 || request_started_ ? head_timeout
                                                   : context_.request_mapping.idle_timeout(request_count_);
}

void ClientConnection::close_if_stalled(TimePoint now) {
    const bool is_sending = upload_reader_.awaits_client();
    if ((state_ == State::Waiting && !is_sending) || now - state_since_ <= state_timeout()) return;
    if (is_idle()) return close_if_idle();
    const ImmediateRejection timeout_rejection{408, "the request was not received completely in time"};
    if (is_sending) return reject_upload(timeout_rejection);
    if (state_ == State::Reading) return reject_request(timeout_rejection);
    close_connection();
}

void ClientConnection::close_connection() {
    if (state_ == State::Closed) return;
    enter_state(State::Closed);
    finish_streamed_response();
    upload_reader_.abandon();
    release_body_memory();
    stream_.close();
    for (const auto& pending_request : pending_requests_) {
        release_request(*pending_request);
        pending_request->queued_response.body_stream.reset();    // of a response that waited for earlier ones
        if (!pending_request->has_response && !pending_request->is_submitting)
            context_.request_handler.cancel(pending_request->request_ticket);
    }
    context_.on_connection_closed(*this);
}

}    // namespace shaletray
