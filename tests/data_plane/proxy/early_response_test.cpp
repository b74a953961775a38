// Requests that get their response while their body is still arriving, on a connection whose bodies are
// streamed for want of memory. A request is submitted once at most, and what follows on its connection is
// read from the next head.
#include <string_view>

#include "data_plane/proxy/client_connection_fixture.h"

using namespace shaletray;
using namespace shaletray::test;

namespace {

// Too little to buffer any body: each of 64 KiB and more is streamed.
constexpr ClientCapacity kNoBodyMemory{.max_sockets = 1024, .max_memory_mb = 0.001};
constexpr std::size_t kFirstPartSize = 70'000;    // enough for a request to be submitted
constexpr std::size_t kRestSize = 60'000;         // little enough to be read while nobody takes it

enum class Framing { ContentLength, Chunked };

std::string upload_head(Framing framing, int id, std::size_t body_size) {
    return fmt::format("POST /{} HTTP/1.1\r\n{}\r\n\r\n", id,
                       framing == Framing::Chunked ? "Transfer-Encoding: chunked"
                                                   : fmt::format("Content-Length: {}", body_size));
}

std::string body_part(Framing framing, std::size_t size) {
    const std::string bytes(size, 'b');
    return framing == Framing::Chunked ? fmt::format("{:x}\r\n{}\r\n", size, bytes) : bytes;
}

std::string body_end(Framing framing) { return framing == Framing::Chunked ? "0\r\n\r\n" : ""; }

// A server's connection: takes the body until it is paused, and may end its request at a chunk, as it does
// where writing the chunk fails.
struct TestSink : BodySink {
    std::string bytes;
    bool ended = false;
    std::function<void()> on_chunk;
    void on_body_chunk(std::string_view chunk) override {
        bytes += chunk;
        if (on_chunk) std::exchange(on_chunk, nullptr)();
    }
    void on_body_end(bool complete) override { ended = complete; }
};

struct UploadEnvironment : TestEnvironment {
    UploadEnvironment() : TestEnvironment(kNoBodyMemory) {}

    RequestUpload& upload(std::size_t index) { return *requests.at(index).incoming.payload.upload; }
    void submit_upload(Framing framing, int id, std::size_t body_size) {
        const std::size_t count = requests.size();
        send_text(upload_head(framing, id, body_size) + body_part(framing, kFirstPartSize));
        run_until([&] { return requests.size() == count + 1; });
        cr_assert(requests.back().incoming.payload.upload != nullptr);
    }
    void answer(std::size_t index, Answer answer) {
        cr_assert(std::exchange(requests.at(index).is_open, false));
        deliver(*requests.at(index).downstream, answer);
    }
    std::string status_line(int status) const { return fmt::format("HTTP/1.1 {} ", status); }
    // The connection was kept, and serves this request as its next one.
    void expect_next_request_served(int id, std::size_t expected_responses) {
        send_text(get_request(id));
        run_until([&] { return requests.back().incoming.payload.head == std::to_string(id); });
        cr_assert(respond(requests.size() - 1));
        run_until([&] { return response_count() == expected_responses; });
        cr_assert(received.ends_with(fmt::format("for {};", id)), "%s", received.c_str());
    }
};

// Answers an upload whose last byte has arrived and has not been passed on: its connection serves the next
// request.
void check_rest_is_dropped(Framing framing, const AnswerKind& kind) {
    UploadEnvironment environment;
    environment.submit_upload(framing, 1, kFirstPartSize + kRestSize);
    environment.send_text(body_part(framing, kRestSize) + body_end(framing));
    environment.run_until([&] { return environment.upload(0).is_complete(); });
    environment.answer(0, kind.answer);
    environment.run_until([&] { return environment.response_count() == 1; });
    environment.expect_next_request_served(2, 2);
    cr_assert(environment.requests.size() == 2 && environment.cancelled_count == 0,
              "status %d: %zu submitted", kind.status, environment.requests.size());
    cr_assert(environment.received.starts_with(environment.status_line(kind.status)));
}

}    // namespace

// Guards against review case 1: a refused upload was submitted again with the tail of its body, and ran
// (issue 65).
Test(early_responses, answered_upload_whose_rest_has_arrived_is_not_submitted_again) {
    for (const AnswerKind& kind : kAnswerKinds) check_rest_is_dropped(Framing::ContentLength, kind);
}

// Guards against the 400s of the same review: the decoder took the next request's head for a part of the
// body.
Test(early_responses, answered_upload_in_chunks_leaves_the_next_request_readable) {
    for (const AnswerKind& kind : kAnswerKinds) check_rest_is_dropped(Framing::Chunked, kind);
}

// Requests that were sent behind the answered upload are read after it, neither lost nor taken for a part of
// it.
Test(early_responses, requests_behind_an_answered_upload_are_served_in_order) {
    for (const Framing framing : {Framing::ContentLength, Framing::Chunked}) {
        UploadEnvironment environment;
        environment.submit_upload(framing, 1, kFirstPartSize + kRestSize);
        environment.send_text(body_part(framing, kRestSize) + body_end(framing) + get_request(2) +
                              post_request(3));
        environment.run_until([&] { return environment.upload(0).is_complete(); });
        cr_assert(environment.requests.size() == 1);
        environment.answer(0, Answer::OverQuota);
        environment.run_until([&] { return environment.requests.size() == 2; });
        environment.respond(1);
        environment.run_until([&] { return environment.requests.size() == 3; });
        environment.respond(2);
        environment.run_until([&] { return environment.response_count() == 3; });
        cr_assert(environment.requests[1].incoming.payload.head == "2");
        cr_assert(environment.requests[2].incoming.payload.head == "3");
        environment.expect_next_request_served(4, 4);
    }
}

// The rest of a body that has not arrived cannot be told from a next request: the connection closes after the
// answer, and what still arrives is dropped.
Test(early_responses, connection_of_an_upload_answered_before_its_end_closes) {
    for (const Framing framing : {Framing::ContentLength, Framing::Chunked}) {
        for (const AnswerKind& kind : kAnswerKinds) {
            UploadEnvironment environment;
            environment.submit_upload(framing, 1, kFirstPartSize + kRestSize);
            environment.answer(0, kind.answer);
            environment.run_until([&] { return environment.response_count() == 1; });
            environment.send_text(body_part(framing, kRestSize) + body_end(framing) + get_request(2));
            environment.run_until([&] { return environment.connection_ended; });
            environment.client.close();
            environment.run_until([&] { return environment.listener->client_count() == 0; });
            cr_assert(environment.requests.size() == 1 && environment.response_count() == 1 &&
                      environment.cancelled_count == 0);
            cr_assert(environment.received.starts_with(environment.status_line(kind.status)));
            cr_assert(environment.received.find("Connection: close") != std::string::npos);
        }
    }
}

// A body that its server has paused stays in the buffer; the answer must not leave it there.
Test(early_responses, upload_paused_by_its_server_is_not_submitted_again) {
    for (const Framing framing : {Framing::ContentLength, Framing::Chunked}) {
        UploadEnvironment environment;
        environment.submit_upload(framing, 1, kFirstPartSize + 2 * kRestSize);
        TestSink sink;
        environment.upload(0).start(sink);
        environment.send_text(body_part(framing, kRestSize));
        environment.run_until([&] { return sink.bytes.size() == kRestSize; });
        environment.upload(0).set_reading(false);
        environment.send_text(body_part(framing, kRestSize) + body_end(framing));
        environment.run_until([&] { return environment.upload(0).is_complete(); });
        environment.answer(0, Answer::ServerError);
        environment.run_until([&] { return environment.response_count() == 1; });
        environment.expect_next_request_served(2, 2);
        cr_assert(environment.requests.size() == 2 && sink.bytes.size() == kRestSize && !sink.ended);
    }
}

// The server's connection may fail while it is handed a chunk, so that the request is answered within the
// call. The bytes of that chunk belong to the answered request, also where a next upload begins at once.
Test(early_responses, upload_answered_while_a_chunk_is_passed_on_leaves_the_next_one_whole) {
    for (const Framing framing : {Framing::ContentLength, Framing::Chunked}) {
        UploadEnvironment environment;
        environment.submit_upload(framing, 1, kFirstPartSize + kRestSize);
        const std::string second_body = body_part(framing, kFirstPartSize) + body_end(framing);
        environment.send_text(body_part(framing, kRestSize) + body_end(framing));
        environment.run_until([&] { return environment.upload(0).is_complete(); });
        environment.send_text(get_request(2) + upload_head(framing, 3, kFirstPartSize) + second_body);
        environment.run_until([] { return true; });
        TestSink sink;
        sink.on_chunk = [&] { environment.answer(0, Answer::NoCapacity); };
        environment.upload(0).start(sink);
        environment.run_until([&] { return environment.requests.size() == 2; });
        environment.respond(1);
        environment.run_until([&] { return environment.requests.size() == 3; });
        cr_assert(sink.bytes.size() == kRestSize && !sink.ended);
        cr_assert(environment.requests[1].incoming.payload.head == "2");
        cr_assert(environment.requests[2].incoming.payload.head == "3");
        TestSink second_sink;
        std::size_t initial_size = 0;
        if (environment.requests[2].incoming.payload.upload) {
            initial_size = environment.upload(2).initial_body().size();
            environment.upload(2).start(second_sink);
            environment.run_until([&] { return second_sink.ended; });
            cr_assert(initial_size + second_sink.bytes.size() == kFirstPartSize);
        }
        environment.respond(2);
        environment.run_until([&] { return environment.response_count() == 3; });
        environment.expect_next_request_served(4, 4);
    }
}

// A client that leaves takes the rest of its body along: nothing is submitted, and its open request is
// cancelled once.
Test(early_responses, client_that_leaves_in_its_upload_has_nothing_submitted_again) {
    for (const bool answered : {false, true}) {
        for (const bool arrived : {false, true}) {
            UploadEnvironment environment;
            environment.submit_upload(Framing::ContentLength, 1, kFirstPartSize + kRestSize);
            if (arrived) {
                environment.send_text(body_part(Framing::ContentLength, kRestSize));
                environment.run_until([&] { return environment.upload(0).is_complete(); });
            }
            if (answered) environment.answer(0, Answer::OverQuota);
            environment.client.close();
            environment.connection_ended = true;
            environment.run_until([&] { return environment.listener->client_count() == 0; });
            cr_assert(environment.requests.size() == 1);
            cr_assert(environment.cancelled_count == (answered ? 0 : 1));
        }
    }
}

// An upload whose server has taken all of it is answered as any other request.
Test(early_responses, upload_that_was_passed_on_whole_keeps_its_connection) {
    for (const Framing framing : {Framing::ContentLength, Framing::Chunked}) {
        UploadEnvironment environment;
        environment.submit_upload(framing, 1, kFirstPartSize + kRestSize);
        TestSink sink;
        environment.upload(0).start(sink);
        environment.send_text(body_part(framing, kRestSize) + body_end(framing) + get_request(2));
        environment.run_until([&] { return sink.ended; });
        cr_assert(sink.bytes.size() == kRestSize && environment.requests.size() == 1);
        environment.respond(0);
        environment.run_until([&] { return environment.requests.size() == 2; });
        environment.respond(1);
        environment.run_until([&] { return environment.response_count() == 2; });
        environment.expect_next_request_served(3, 3);
    }
}

// The part of a body that was submitted with its request counts towards the limit, too: without it a body in
// chunks could be longer than allowed by that part.
Test(early_responses, upload_in_chunks_that_exceeds_the_limit_is_rejected) {
    const std::size_t limit = TestRequestMapping().parser_limits().max_body_size;
    for (const std::size_t excess : {std::size_t{0}, std::size_t{1}}) {
        UploadEnvironment uploads;
        uploads.submit_upload(Framing::Chunked, 1, limit);
        TestSink sink;
        uploads.upload(0).start(sink);
        for (std::size_t sent = kFirstPartSize; sent < limit + excess;) {
            const std::size_t size = std::min(kRestSize, limit + excess - sent);
            uploads.send_text(body_part(Framing::Chunked, size));
            sent += size;
            uploads.run_until([] { return true; });
        }
        uploads.send_text(body_end(Framing::Chunked));
        if (excess == 0) {
            uploads.run_until([&] { return sink.ended; });
            continue;
        }
        uploads.run_until([&] { return uploads.connection_ended; });
        cr_assert(uploads.received.starts_with("HTTP/1.1 413 ") && uploads.cancelled_count == 1 &&
                  !sink.ended);
    }
}
