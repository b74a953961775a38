#include "data_plane/proxy/client_connection.h"

#include <utility>

namespace shaletray {
namespace {

using namespace std::chrono_literals;

// In bytes a second: a body may come as slowly, give or take as much time again as there was for the head.
constexpr double kMinTransferRate = 48.0 * 1024.0;
constexpr std::size_t kCrowdedSocketDivisor =
    16;    // of the descriptors: so many connections that pass by are a crowd
constexpr Duration kAnswerStallTimeout = 15s;    // an answer that is not taken
constexpr Duration kLingerTimeout = 1s;    // for a client to read an answer before the connection is cut
constexpr std::size_t kMaxPipelinedBytes = 96 * 1024;    // what a client may send ahead of its answer
// What is read and thrown away behind the last answer. Where that came in the middle of a body, the rest of
// it is, at the same pace as before: many clients look for an answer only behind their body.
constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;
// Of the memory: for long bodies that are held until they are whole, and then for as long as an attempt may
// need them. For a moment there are two more of one: the client's buffer, and what a server has not taken.
constexpr double kAllBodiesMemoryFraction = 1.0 / 4, kSingleBodyMemoryFraction = 1.0 / 8;
constexpr std::size_t kBufferReserveSize = 8 * 1024;    // behind a body, so that its buffer grows once
constexpr int kReadyStatus = 200, kNotReadyStatus = 503;

GatewayAnswer rejection_answer(const ImmediateRejection& rejection) {
    return {rejection.status_code, "Content-Type: text/plain\r\n", std::string(rejection.reason) + "\n"};
}

}    // namespace

// A long request's body on its way. The engine may hold it for longer than there is a client.
class ClientConnection::StreamedUpload : public RequestUpload {
public:
    StreamedUpload(ClientConnection& connection, std::string_view initial_body,
                   std::optional<std::uint64_t> content_length, TimePoint now)
        : client_(&connection), first_(initial_body), length_(content_length), moved_(now) {}

    std::string_view initial_body() const override { return first_; }
    bool is_streaming() const override { return sink_ != nullptr; }
    bool is_complete() const override { return whole_; }
    TimePoint last_received_at() const override { return moved_; }
    std::optional<std::uint64_t> total_length() const override { return length_; }
    void start(BodySink& sink) override {
        std::string().swap(first_);
        sink_ = &sink;
        set_reading(true);
    }
    void set_reading(bool enabled) override {
        wanted_ = enabled;
        if (enabled && client_ != nullptr) client_->forward_upload();
    }

    bool wanted() const { return wanted_; }
    BodySink* sink() const { return sink_; }
    void on_received(TimePoint received_at, bool complete) {
        moved_ = received_at;
        whole_ = complete;
    }
    void detach() { client_ = nullptr; }

private:
    ClientConnection* client_;
    std::string first_;
    std::optional<std::uint64_t> length_;
    BodySink* sink_ = nullptr;
    bool wanted_ = false, whole_ = false;
    TimePoint moved_;
};

ClientConnection::ClientConnection(ClientContext& context, const Poco::Net::StreamSocket& socket)
    : context_(context),
      stream_(context.reactor, *this),
      parser_(http::Parser::Kind::Request, context.request_mapping.parser_limits()),
      state_since_(context.reactor.clock().now()) {
    stream_.attach(socket);
    ++context_.counters.clients_accepted;
    ++context_.counters.open_clients;
    update_eviction_position();
}

ClientConnection::~ClientConnection() {
    enter_state(State::Closed);    // nothing here may be found by those that stay
    finish_streamed_answer();
    finish_upload();
    release_body_memory();
    for (const auto& pending_request : pending_requests_) release_request(*pending_request);
    --context_.counters.open_clients;
}

// The one place where the state changes, and with it the connection's place among the spare ones.
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

// Where many clients ask once, or for readiness only, and do not come back, their connections are of no use
// to them and of harm to others: clients may hold only so many, and those that wait for one are late. The
// answer then ends the connection, which unlike a later close cannot cross a request.
bool ClientConnection::is_crowded() const {
    return request_count_ <= 1 &&
           context_.transient_connections * kCrowdedSocketDivisor > context_.capacity.max_sockets;
}

EvictionClass ClientConnection::eviction_class() const {
    if (state_ == State::Lingering) return EvictionClass::AfterAnswer;
    if (state_ != State::Reading) return EvictionClass::NotEvictable;
    return request_count_ == 0   ? EvictionClass::NoRequestYet
           : request_count_ == 1 ? EvictionClass::AfterOneRequest
                                 : EvictionClass::KeptAlive;
}

// What was kept for a request that has its answer.
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
        if (discarded_bytes_ > (answered_early_ ? parser_.limits().max_body_size : kMaxDiscardedBytes))
            stream_.set_reading(false);
        return;
    }
    // From a request's first byte on: one that trickles in must not begin its time anew with every byte. The
    // first request's time began with the connection.
    if (state_ == State::Reading && !std::exchange(request_started_, true) && request_count_ > 0)
        enter_state(State::Reading);
    if (active_upload_) forward_upload();
    else process_input();
    if (state_ != State::Reading && stream_.input_buffer().size() > kMaxPipelinedBytes)
        stream_.set_reading(false);
}

// Whether the client's next request may be looked at. While others are open only beside those that overlap;
// and where the last answer will end the connection, nothing that follows is begun.
bool ClientConnection::can_read() const {
    if (state_ == State::Reading) return true;
    if ((state_ != State::Waiting && state_ != State::Writing) ||
        pending_requests_.size() >= kMaxPendingRequests)
        return false;
    return pending_requests_.back()->allows_pipelining && pending_requests_.back()->keep_alive &&
           !parked_request_ && !context_.is_closing_down();
}

// An answer may be written while its request is still being taken: the loop goes on, and never nests.
void ClientConnection::process_input() {
    if (is_processing_) return;
    is_processing_ = true;
    while (can_read()) {
        if (parked_request_) {
            start_parked_request();
            continue;
        }
        const http::ParseStatus status = parser_.parse(stream_.input_buffer());
        if (status == http::ParseStatus::Malformed) {
            reject_request(context_.request_mapping.map_parse_error(parser_.error()));
        } else if (status == http::ParseStatus::Complete) {
            accept_request();
        } else {
            if (parser_.head_complete() && head_completed_at_ == TimePoint{})
                head_completed_at_ = context_.reactor.clock().now();
            // Behind others it would be read as an answer to them.
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
        GatewayAnswer readiness_answer{is_ready ? kReadyStatus : kNotReadyStatus, "",
                                       is_ready ? "ready\n" : "not ready\n"};
        return set_answer(add_pending_request(keep_alive, http10), std::move(readiness_answer));
    }
    ++request_count_;    // whoever asks for readiness only must not pass for a usual client
    auto request = context_.request_mapping.map_request(parser_, input, context_.reactor.clock().now());
    if (const auto* rejection = std::get_if<ImmediateRejection>(&request)) return reject_request(*rejection);
    MappedRequest& mapped_request = std::get<MappedRequest>(request);
    mapped_request.allows_pipelining = mapped_request.allows_pipelining && complete && !http10;
    if (pending_requests_.empty() || mapped_request.allows_pipelining)
        return start_request(std::move(mapped_request), keep_alive, http10, complete);
    parked_request_ = std::make_unique<ParkedRequest>(
        ParkedRequest{std::move(mapped_request), keep_alive, http10, context_.reactor.clock().now()});
    prepare_next_message();
}

// Its time runs on while it waits for its turn.
void ClientConnection::start_parked_request() {
    const std::unique_ptr<ParkedRequest> parked = std::move(parked_request_);
    IncomingRequest& incoming = parked->request.incoming;
    const Duration parked_time = context_.reactor.clock().now() - parked->parked_at;
    incoming.time_budget = std::max(Duration(0), incoming.time_budget - parked_time);
    start_request(std::move(parked->request), parked->keep_alive, parked->is_http10, true);
}

// `whole`: it is done with as a message, or else its body is still coming.
void ClientConnection::start_request(MappedRequest&& request, bool keep_alive, bool http10, bool complete) {
    if (!request.request_id.empty() && !context_.open_request_ids.insert(request.request_id).second)
        return reject_request({409, "this id is that of an open request"});
    IncomingRequest& incoming = request.incoming;
    if (!complete) {
        http::Buffer& input = stream_.input_buffer();
        const std::string_view initial_body = parser_.body(input);
        release_body_memory();
        uploaded_bytes_ = 0;
        active_upload_ = std::make_shared<StreamedUpload>(*this, initial_body, parser_.content_length(),
                                                          context_.reactor.clock().now());
        incoming.payload.upload = active_upload_;
        ++context_.counters.streamed_uploads;
        parser_.consume_body(input, initial_body.size());
        continue_sent_ = false;
    } else if (parser_.is_complete()) {
        prepare_next_message();
    }
    PendingRequest* const pending_request = &add_pending_request(keep_alive, http10);
    pending_request->request_id = std::move(request.request_id);
    pending_request->allows_pipelining = request.allows_pipelining;
    pending_request->body_incomplete = !complete;
    pending_request->is_submitting = true;
    forwarding_upload_ = true;    // nothing of the rest before the request's number is known
    const std::uint64_t request_ticket =
        context_.request_handler.submit(*pending_request, std::move(incoming));
    forwarding_upload_ = false;
    // Nothing follows it before this loop goes on: where it is not the last, it was answered.
    if (pending_requests_.empty() || pending_requests_.back().get() != pending_request ||
        pending_request->has_answer)
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

// The message is done with: what follows it is another one.
void ClientConnection::prepare_next_message() {
    stream_.input_buffer().consume(parser_.message_size());
    parser_.reset();
    parser_.set_limits(context_.request_mapping.parser_limits());
    continue_sent_ = false;
    head_completed_at_ = TimePoint{};
}

// ---- long requests ----

// A body that comes slowly would hold a place at a server for seconds: it is better whole before its request
// is decided on, where the memory for that is there.
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

// Looks at what has come of the rest, and gives it to who takes it. He may stop it, or end the request.
void ClientConnection::forward_upload() {
    if (!active_upload_ || forwarding_upload_) return;
    forwarding_upload_ = true;
    http::Buffer& input = stream_.input_buffer();
    const TimePoint now = context_.reactor.clock().now();
    const std::size_t buffered_before = parser_.body(input).size();
    if (!parser_.is_complete() && parser_.parse(input) == http::ParseStatus::Malformed) {
        reject_upload(context_.request_mapping.map_parse_error(parser_.error()));
    } else if (uploaded_bytes_ + parser_.body(input).size() > parser_.limits().max_body_size) {
        reject_upload(context_.request_mapping.map_parse_error(http::ParseError::BodyTooLarge));
    } else {
        if (parser_.is_complete() ? !active_upload_->is_complete()
                                  : parser_.body(input).size() > buffered_before)
            active_upload_->on_received(now, parser_.is_complete());
        if (const std::string_view bytes = parser_.body(input); active_upload_->wanted() && !bytes.empty()) {
            const std::size_t count = bytes.size();
            active_upload_->sink()->on_body_chunk(bytes);
            if (active_upload_) {
                parser_.consume_body(input, count);
                uploaded_bytes_ += count;
            }
        }
    }
    forwarding_upload_ = false;
    if (!active_upload_) return;
    if (parser_.is_complete() && parser_.body(input).empty() && active_upload_->is_streaming()) {
        const std::shared_ptr<StreamedUpload> upload = active_upload_;
        finish_upload();
        prepare_next_message();
        stream_.set_reading(true);
        return upload->sink()->on_body_end(true);
    }
    // A client is not to blame while it is kept waiting.
    const bool was_paused = !active_upload_->wanted() && input.size() > kMaxPipelinedBytes;
    if (was_paused && reading_paused_at_ == TimePoint{}) reading_paused_at_ = now;
    else if (!was_paused && reading_paused_at_ != TimePoint{})
        state_since_ += now - std::exchange(reading_paused_at_, TimePoint{});
    stream_.set_reading(!was_paused);
}

void ClientConnection::finish_upload() {
    if (!active_upload_) return;
    active_upload_->detach();
    active_upload_.reset();
    reading_paused_at_ = TimePoint{};
}

// What is wrong with a request shows after it was taken; it is the only one then.
void ClientConnection::reject_upload(const ImmediateRejection& rejection) {
    PendingRequest& pending_request = *pending_requests_.front();
    context_.request_handler.cancel(pending_request.request_ticket);
    pending_request.keep_alive = false;
    set_answer(pending_request, rejection_answer(rejection));
}

// The message that has just been read, or a part of it, is answered here.
void ClientConnection::reject_request(const ImmediateRejection& rejection) {
    GatewayAnswer gateway_answer = rejection_answer(rejection);
    const bool keeps_connection = rejection.keep_alive && parser_.is_complete();
    const bool keep_alive = keeps_connection && parser_.keep_alive(), http10 = parser_.is_http10();
    if (keeps_connection) prepare_next_message();
    PendingRequest& pending_request = add_pending_request(keep_alive, http10);
    pending_request.allows_pipelining = keeps_connection && !http10;
    pending_request.body_incomplete = !keeps_connection;
    set_answer(pending_request, std::move(gateway_answer));
}

// ---- answers ----

void ClientConnection::PendingRequest::on_answer(Payload&& payload) {
    client_connection.set_answer(*this, std::move(payload));
}

void ClientConnection::PendingRequest::on_rejected(Duration retry_after, RejectionReason reason) {
    client_connection.set_answer(
        *this, client_connection.context_.request_mapping.rejection_answer(reason, retry_after));
}

void ClientConnection::PendingRequest::on_failed(FailureReason reason, Payload&& payload) {
    if (is_failure_answer(payload)) client_connection.set_answer(*this, std::move(payload));
    else
        client_connection.set_answer(*this,
                                     client_connection.context_.request_mapping.failure_answer(reason));
}

void ClientConnection::set_answer(PendingRequest& request, GatewayAnswer&& gateway_answer) {
    Payload payload;
    payload.status_code = gateway_answer.status_code;
    payload.head = std::move(gateway_answer.headers);
    payload.body = std::move(gateway_answer.body);
    set_answer(request, std::move(payload));
}

// It may be gone when this returns.
void ClientConnection::set_answer(PendingRequest& request, Payload&& payload) {
    request.has_answer = true;
    if (state_ == State::Closed) return;
    request.answer = std::move(payload);
    if (request.body_incomplete) finish_upload();
    release_request(request);
    write_ready_answers();
}

// As many as are there, in their order. The loop goes on, and never nests.
void ClientConnection::write_ready_answers() {
    if (is_writing_) return;
    is_writing_ = true;
    while (state_ == State::Waiting && pending_requests_.front()->has_answer)
        write_answer(*pending_requests_.front());
    is_writing_ = false;
}

// Where the connection is to end, it does behind the last of what was begun: none of that is lost.
void ClientConnection::write_answer(PendingRequest& request) {
    Payload payload = std::move(request.answer);
    ++context_.counters.answers_by_status[payload.status_code];
    answered_early_ = request.body_incomplete && parser_.head_complete() && !parser_.is_complete();
    const bool ends_connection =
        pending_requests_.size() == 1 && (context_.is_closing_down() || is_crowded());
    keep_alive_ = request.keep_alive && !answered_early_ && !ends_connection;
    enter_state(State::Writing);
    if (payload.body_stream) return stream_answer(std::move(payload), request.is_http10);
    if (keep_alive_) payload.head += context_.request_mapping.keep_alive_headers();
    if (!stream_.write_bytes(
            shaletray::write_answer(payload.status_code, payload.head, payload.body, keep_alive_)))
        return close_connection();
    if (stream_.all_sent()) on_answer_written();
}

// ---- long answers ----

void ClientConnection::stream_answer(Payload&& payload, bool http10) {
    const std::optional<std::uint64_t> length = payload.body_stream->total_length();
    answer_framing_ = length   ? BodyFraming::ContentLength
                      : http10 ? BodyFraming::UntilClose
                               : BodyFraming::Chunked;
    if (answer_framing_ == BodyFraming::UntilClose) keep_alive_ = false;
    answer_stream_ = std::move(payload.body_stream);
    ++context_.counters.open_streamed_answers;
    if (keep_alive_) payload.head += context_.request_mapping.keep_alive_headers();
    if (!stream_.write_bytes(write_answer_head(payload.status_code, payload.head, answer_framing_,
                                               length.value_or(0), keep_alive_)))
        return close_connection();
    const std::shared_ptr<BodyStream> answer_stream = answer_stream_;    // which the first piece may end
    answer_stream->start(*this);
}

void ClientConnection::on_body_chunk(std::string_view bytes) {
    if (state_ != State::Writing) return;
    state_since_ = context_.reactor.clock().now();    // it is not stuck
    if (!stream_.write_bytes(answer_framing_ == BodyFraming::Chunked ? write_chunk(bytes)
                                                                     : std::string(bytes)))
        return close_connection();
    if (!stream_.all_sent() && answer_stream_) answer_stream_->set_reading(false);
}

// What was cut short must not look whole: the connection ends in the middle of it.
void ClientConnection::on_body_end(bool complete) {
    if (state_ != State::Writing) return;
    if (!complete) return close_connection();
    finish_streamed_answer();
    if (answer_framing_ == BodyFraming::Chunked && !stream_.write_bytes(write_chunk("")))
        return close_connection();
    if (stream_.all_sent()) on_answer_written();
}

void ClientConnection::finish_streamed_answer() {
    if (!answer_stream_) return;
    answer_stream_.reset();
    --context_.counters.open_streamed_answers;
}

void ClientConnection::on_all_sent() {
    if (state_ != State::Writing) return;
    state_since_ = context_.reactor.clock().now();
    if (answer_stream_) answer_stream_->set_reading(true);
    else on_answer_written();
}

void ClientConnection::on_answer_written() {
    pending_requests_.erase(pending_requests_.begin());
    if (!keep_alive_) {
        parked_request_.reset();
        // Closing over bytes that were not read resets the connection, and the client may lose the answer.
        enter_state(State::Lingering);
        stream_.shutdown_sending();
        stream_.input_buffer().consume(stream_.input_buffer().size());
        stream_.set_reading(true);
        return;
    }
    enter_state(pending_requests_.empty() ? State::Reading : State::Waiting);
    request_started_ = !stream_.input_buffer().empty();
    stream_.set_reading(true);
    write_ready_answers();
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

// How long the connection may stay as it is. A client that says nothing, or half a request, must not hold a
// descriptor for long: clients that do are many at times.
Duration ClientConnection::state_timeout() const {
    if (state_ == State::Lingering && !answered_early_) return kLingerTimeout;
    if (state_ == State::Writing) return kAnswerStallTimeout;
    const Duration head_timeout = context_.request_mapping.header_timeout();
    const auto body_timeout = [head_timeout](std::size_t bytes) {
        return head_timeout + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
                                  static_cast<double>(bytes) / kMinTransferRate));
    };
    if (state_ == State::Lingering) return body_timeout(discarded_bytes_);
    const std::size_t buffered_bytes = parser_.body(stream_.input_buffer()).size();
    if (active_upload_) return body_timeout(uploaded_bytes_ + buffered_bytes);
    if (head_completed_at_ != TimePoint{})
        return head_completed_at_ - state_since_ + body_timeout(buffered_bytes);
    return request_count_ == 0 || request_started_ ? head_timeout
                                                   : context_.request_mapping.idle_timeout(request_count_);
}

void ClientConnection::close_if_stalled(TimePoint now) {
    const bool is_sending =
        active_upload_ && !active_upload_->is_complete() && reading_paused_at_ == TimePoint{};
    if ((state_ == State::Waiting && !is_sending) || now - state_since_ <= state_timeout()) return;
    if (is_idle()) return close_if_idle();
    const ImmediateRejection timeout_rejection{408, "the request did not come whole in time"};
    if (is_sending) return reject_upload(timeout_rejection);
    if (state_ == State::Reading) return reject_request(timeout_rejection);
    close_connection();
}

void ClientConnection::close_connection() {
    if (state_ == State::Closed) return;
    enter_state(State::Closed);
    finish_streamed_answer();
    finish_upload();
    release_body_memory();
    stream_.close();
    for (const auto& pending_request : pending_requests_) {
        release_request(*pending_request);
        pending_request->answer.body_stream.reset();    // of an answer that waited for its turn
        if (!pending_request->has_answer && !pending_request->is_submitting)
            context_.request_handler.cancel(pending_request->request_ticket);
    }
    context_.on_connection_closed(*this);
}

}    // namespace shaletray
