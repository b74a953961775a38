// Receives the body of a request that was submitted before all of it had arrived, and hands it to the
// connection of the server that the request is sent to. Only for the reactor's thread.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>

#include "base/http/message.h"
#include "base/net/stream.h"
#include "data_plane/engine/engine.h"

namespace shaletray {

// Bytes that are read from a client while nobody takes them: behind a request without a response, or of an
// upload that its server has paused.
constexpr std::size_t kMaxReadAheadBytes = 96 * 1024;

// Works on a client connection's parser and input buffer, which stay at the request's message while an upload
// is active. Each byte of the body is in one place: in the buffer, or with the server's connection.
class UploadReader {
public:
    enum class Progress {
        Receiving,    // waits for the client, or for the server to accept more
        Delivered,    // all of the body was handed over; finish() has to follow
        Ended,    // the server's connection ended the request meanwhile: the upload is not active any more
        Malformed,    // not a valid body
        TooLong       // longer than the parser's limit
    };

    // `stream`, `parser` and `clock` have to outlive it. `on_server_ready` is called when the server accepts
    // more bytes, and has to call forward().
    UploadReader(Stream& stream, http::Parser& parser, const Clock& clock,
                 std::function<void()> on_server_ready);
    ~UploadReader() { abandon(); }
    UploadReader(const UploadReader&) = delete;
    UploadReader& operator=(const UploadReader&) = delete;

    // Starts an upload for the message in the buffer, whose head is complete. What has arrived of its body
    // leaves the buffer as the upload's initial body.
    std::shared_ptr<RequestUpload> begin();
    bool is_active() const { return upload_ != nullptr; }
    // Parses what has arrived and hands it over if the server accepts it. Reads nothing more from the client
    // while too much of the body waits. The upload has to be active.
    Progress forward();
    // Ends an upload that was delivered whole, and tells the server's connection. The message has to be
    // consumed.
    void finish();
    // Ends an upload whose request needs the rest of the body no more. The rest stays in the buffer.
    void abandon();

    // The client is expected to send: the end of the body has not arrived, and the client is not paused.
    bool awaits_client() const;
    // Bytes of the body that have arrived since begin().
    std::size_t received_bytes() const;
    // For how long the client was paused since begin().
    Duration paused_time() const { return paused_time_; }

private:
    class StreamedUpload;

    Progress receive(StreamedUpload& upload);
    void deliver(StreamedUpload& upload);
    void pause_client_if_behind(const StreamedUpload& upload);

    Stream& stream_;
    http::Parser& parser_;
    const Clock& clock_;
    std::function<void()> on_server_ready_;
    std::shared_ptr<StreamedUpload> upload_;    // null: no upload is active
    std::size_t initial_bytes_ = 0;             // of the initial body
    std::size_t delivered_bytes_ = 0;           // handed over since
    TimePoint paused_at_{};                     // TimePoint{}: the client is not paused
    Duration paused_time_{0};
};

}    // namespace shaletray
