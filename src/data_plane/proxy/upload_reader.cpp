#include "data_plane/proxy/upload_reader.h"

#include <string>
#include <utility>

namespace shaletray {

// What the engine and the server's connection see of an upload. They may hold it for longer than the client's
// connection exists.
class UploadReader::StreamedUpload : public RequestUpload {
public:
    StreamedUpload(UploadReader& reader, std::string_view initial_body,
                   std::optional<std::uint64_t> content_length, TimePoint now)
        : reader_(&reader),
          initial_body_(initial_body),
          content_length_(content_length),
          last_received_at_(now) {}

    std::string_view initial_body() const override { return initial_body_; }
    bool is_streaming() const override { return sink_ != nullptr; }
    bool is_complete() const override { return complete_; }
    TimePoint last_received_at() const override { return last_received_at_; }
    std::optional<std::uint64_t> total_length() const override { return content_length_; }
    void start(BodySink& sink) override {
        std::string().swap(initial_body_);
        sink_ = &sink;
        set_reading(true);
    }
    void set_reading(bool enabled) override {
        reading_enabled_ = enabled;
        if (enabled && reader_ != nullptr) reader_->on_server_ready_();
    }

    bool is_reading_enabled() const { return reading_enabled_; }
    bool is_delivering() const { return is_delivering_; }    // deliver() is on the call stack
    void deliver(std::string_view bytes) {
        is_delivering_ = true;
        sink_->on_body_chunk(bytes);
        is_delivering_ = false;
    }
    void end() { sink_->on_body_end(true); }
    void on_received(TimePoint received_at, bool complete) {
        last_received_at_ = received_at;
        complete_ = complete;
    }
    void detach() { reader_ = nullptr; }

private:
    UploadReader* reader_;
    std::string initial_body_;
    std::optional<std::uint64_t> content_length_;
    BodySink* sink_ = nullptr;
    bool reading_enabled_ = false, complete_ = false, is_delivering_ = false;
    TimePoint last_received_at_;
};

UploadReader::UploadReader(Stream& stream, http::Parser& parser, const Clock& clock,
                           std::function<void()> on_server_ready)
    : stream_(stream), parser_(parser), clock_(clock), on_server_ready_(std::move(on_server_ready)) {}

std::shared_ptr<RequestUpload> UploadReader::begin() {
    http::Buffer& input = stream_.input_buffer();
    const std::string_view initial_body = parser_.body(input);
    upload_ = std::make_shared<StreamedUpload>(*this, initial_body, parser_.content_length(), clock_.now());
    initial_bytes_ = initial_body.size();
    delivered_bytes_ = 0;
    paused_time_ = Duration(0);
    parser_.consume_body(input, initial_bytes_);
    return upload_;
}

UploadReader::Progress UploadReader::forward() {
    const std::shared_ptr<StreamedUpload> upload =
        upload_;    // kept alive, since the server's connection may end it
    if (upload->is_delivering()) return Progress::Receiving;
    if (const Progress progress = receive(*upload); progress != Progress::Receiving) return progress;
    deliver(*upload);
    if (upload_ != upload) return Progress::Ended;
    if (parser_.is_complete() && parser_.body(stream_.input_buffer()).empty() && upload->is_streaming())
        return Progress::Delivered;
    pause_client_if_behind(*upload);
    return Progress::Receiving;
}

// Parses what has arrived.
UploadReader::Progress UploadReader::receive(StreamedUpload& upload) {
    http::Buffer& input = stream_.input_buffer();
    const std::size_t buffered_before = parser_.body(input).size();
    if (!parser_.is_complete() && parser_.parse(input) == http::ParseStatus::Malformed)
        return Progress::Malformed;
    if (initial_bytes_ + received_bytes() > parser_.limits().max_body_size) return Progress::TooLong;
    const bool has_progressed =
        parser_.is_complete() ? !upload.is_complete() : parser_.body(input).size() > buffered_before;
    if (has_progressed) upload.on_received(clock_.now(), parser_.is_complete());
    return Progress::Receiving;
}

// The bytes leave the buffer before the server's connection gets them: it may end the request within the
// call, and what is in the buffer then belongs to the next message.
void UploadReader::deliver(StreamedUpload& upload) {
    http::Buffer& input = stream_.input_buffer();
    if (!upload.is_reading_enabled() || parser_.body(input).empty()) return;
    const std::string bytes(parser_.body(input));
    parser_.consume_body(input, bytes.size());
    delivered_bytes_ += bytes.size();
    upload.deliver(bytes);
}

void UploadReader::pause_client_if_behind(const StreamedUpload& upload) {
    const TimePoint now = clock_.now();
    const bool is_behind = !upload.is_reading_enabled() && stream_.input_buffer().size() > kMaxReadAheadBytes;
    if (is_behind && paused_at_ == TimePoint{}) paused_at_ = now;
    else if (!is_behind && paused_at_ != TimePoint{})
        paused_time_ += now - std::exchange(paused_at_, TimePoint{});
    stream_.set_reading(!is_behind);
}

void UploadReader::finish() {
    const std::shared_ptr<StreamedUpload> upload = upload_;
    abandon();
    stream_.set_reading(true);
    upload->end();
}

void UploadReader::abandon() {
    if (!upload_) return;
    upload_->detach();
    upload_.reset();
    paused_at_ = TimePoint{};
}

bool UploadReader::awaits_client() const {
    return upload_ && !upload_->is_complete() && paused_at_ == TimePoint{};
}

std::size_t UploadReader::received_bytes() const {
    return delivered_bytes_ + parser_.body(stream_.input_buffer()).size();
}

}    // namespace shaletray
