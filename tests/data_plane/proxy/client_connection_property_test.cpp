// A property test of client connections: random requests, cut at random bytes, with random memory for bodies,
// answers of every kind at every moment, servers that pause, and clients that leave. Judged is what a client
// and a server can see. A failing case is shrunk, and its text says how to replay it:
// RC_PARAMS="reproduce=..." in the environment; RC_PARAMS="seed=7 max_success=100000" plays other cases.
#include <Poco/Net/ServerSocket.h>
#include <rapidcheck.h>

#include <array>
#include <cstdlib>
#include <map>

#include "data_plane/proxy/client_connection_fixture.h"

using namespace shaletray;
using namespace shaletray::test;

namespace {

constexpr const char* kDefaultParameters = "seed=65 max_success=10000 max_size=100";
constexpr int kMaxTurns = 20'000;    // of the reactor, until a case counts as stalled

// How the scripted handler treats a request when it is submitted.
enum class Handling { AnswerLater, AnswerAtOnce, AnswerInChunk, kCount };

struct RequestPlan {
    bool is_post = false, is_chunked = false, expects_continue = false;
    std::size_t body_size = 0;
    Handling handling = Handling::AnswerLater;
    Answer answer = Answer::ServerResult;
};

enum class StepKind { Send, AnswerNewest, AnswerOldest, StartSink, PauseSink, ResumeSink, Leave, kCount };
struct Step {
    StepKind kind = StepKind::Send;
    std::size_t client = 0;
    std::size_t size = 0;    // bytes to send
};

struct CasePlan {
    double memory_mb = 0.0;
    std::vector<std::vector<RequestPlan>> clients;    // the requests of each
    std::vector<Step> steps;
};

// ---- generation: plans are decoded from numbers, which shrink towards plain requests and few steps ----

RequestPlan decode_request(const std::vector<unsigned>& numbers) {
    // Ranges of body sizes in bytes: empty to small, buffered, streamed where memory is short, long.
    constexpr std::array<std::size_t, 9> kSizeLimits = {0,      10,      300,     20'000,   60'000,
                                                        80'000, 130'000, 250'000, 2'500'000};
    RequestPlan plan;
    plan.is_post = numbers[0] % 4 != 0;
    plan.is_chunked = numbers[1] % 2 == 1;
    plan.expects_continue = numbers[2] % 8 == 7;
    const std::size_t range =
        numbers[3] % 64 == 63 ? kSizeLimits.size() - 1 : numbers[3] % (kSizeLimits.size() - 1);
    const std::size_t lower = range == 0 ? 0 : kSizeLimits[range - 1];
    if (plan.is_post && kSizeLimits[range] > 0)
        plan.body_size = lower + numbers[4] % (kSizeLimits[range] - lower + 1);
    plan.handling = static_cast<Handling>(numbers[5] % static_cast<unsigned>(Handling::kCount));
    plan.answer = kAnswerKinds[numbers[6] % std::size(kAnswerKinds)].answer;
    return plan;
}

Step decode_step(const std::vector<unsigned>& numbers, std::size_t client_count) {
    Step step;
    // Half of the steps send, and one in 64 leaves.
    const unsigned kind = numbers[0] % 64;
    if (kind < 32) step.kind = StepKind::Send;
    else if (kind == 63) step.kind = StepKind::Leave;
    else step.kind = static_cast<StepKind>(1 + kind % (static_cast<unsigned>(StepKind::Leave) - 1));
    step.client = numbers[1] % client_count;
    step.size = std::size_t{1} << (numbers[2] % 20);
    step.size += numbers[3] % step.size;
    return step;
}

rc::Gen<CasePlan> case_plans() {
    constexpr unsigned kNumberLimit = 1u << 24;
    const auto number = rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0u, kNumberLimit));
    const auto request = rc::gen::container<std::vector<unsigned>>(7, number);
    const auto requests = rc::gen::mapcat(rc::gen::inRange<std::size_t>(1, 5), [request](std::size_t count) {
        return rc::gen::container<std::vector<std::vector<unsigned>>>(count, request);
    });
    const auto clients = rc::gen::mapcat(rc::gen::inRange<std::size_t>(1, 4), [requests](std::size_t count) {
        return rc::gen::container<std::vector<std::vector<std::vector<unsigned>>>>(count, requests);
    });
    const auto step = rc::gen::container<std::vector<unsigned>>(4, number);
    const auto steps = rc::gen::container<std::vector<std::vector<unsigned>>>(step);
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0u, 4u), clients, steps), [](const auto& numbers) {
        constexpr std::array<double, 4> kMemoryMb = {0.001, 0.5, 1.0, 32.0};
        CasePlan plan;
        plan.memory_mb = kMemoryMb[std::get<0>(numbers)];
        for (const auto& request_numbers : std::get<1>(numbers)) {
            plan.clients.emplace_back();
            for (const auto& request_number : request_numbers)
                plan.clients.back().push_back(decode_request(request_number));
        }
        for (const auto& step_numbers : std::get<2>(numbers))
            plan.steps.push_back(decode_step(step_numbers, plan.clients.size()));
        return plan;
    });
}

}    // namespace

namespace rc {

template <>
struct Arbitrary<CasePlan> {
    static Gen<CasePlan> arbitrary() { return case_plans(); }
};

}    // namespace rc

namespace {

// What RapidCheck prints of a case that fails.
std::ostream& operator<<(std::ostream& out, const CasePlan& plan) {
    out << "memory " << plan.memory_mb << " MB";
    for (std::size_t client = 0; client < plan.clients.size(); ++client) {
        out << "\nclient " << client << ":";
        for (const RequestPlan& request : plan.clients[client])
            out << fmt::format(" {}{}{}({} bytes, handling {}, answer {})", request.is_post ? "POST" : "GET",
                               request.is_chunked ? " chunked" : "",
                               request.expects_continue ? " expect" : "", request.body_size,
                               static_cast<int>(request.handling), static_cast<int>(request.answer));
    }
    for (const Step& step : plan.steps)
        out << fmt::format("\nstep {} client {} size {}", static_cast<int>(step.kind), step.client,
                           step.size);
    return out << "\n";
}

// ---- one case ----

// The methods, paths and bodies of complete requests as they would be sent to a server.
struct RecordingMapping : TestRequestMapping {
    std::variant<MappedRequest, ImmediateRejection> map_request(const http::Parser& parser,
                                                                const http::Buffer& buffer,
                                                                TimePoint now) override {
        auto mapped = TestRequestMapping::map_request(parser, buffer, now);
        if (auto* const request = std::get_if<MappedRequest>(&mapped)) {
            Payload& payload = request->incoming.payload;
            payload.head = fmt::format("{} {}", parser.method(buffer), parser.target(buffer));
            payload.request_id = request->request_id;
            if (parser.is_complete()) payload.body = parser.body(buffer);
        }
        return mapped;
    }
};

// Plays one plan: a step in each turn of the reactor, then whatever is needed to end all requests.
class PlayedCase : RequestHandler {
public:
    PlayedCase(const CasePlan& plan, Loop& loop)
        : plan_(plan), loop_(loop), context_{*this,     mapping_,     {1024, plan.memory_mb},
                                             counters_, loop.reactor, [] { return true; },
                                             {},        false,        false} {
        context_.on_connection_closed = [this](ClientConnection& closed) {
            const auto found = std::ranges::find_if(
                connections_, [&](const auto& connection) { return connection.get() == &closed; });
            if (found == connections_.end()) return;
            loop_.reactor.destroy_later(std::move(*found));
            connections_.erase(found);
        };
        for (std::size_t client = 0; client < plan.clients.size(); ++client) connect_client(client);
    }
    ~PlayedCase() override {
        connections_.clear();
        loop_.reactor.destroy_retired();
    }
    PlayedCase(const PlayedCase&) = delete;
    PlayedCase& operator=(const PlayedCase&) = delete;

    // Returns what went wrong; empty if nothing did.
    std::string play() {
        int turns = 0;
        loop_.until([&] { return take_turn() || !failure_.empty() || ++turns > kMaxTurns; });
        if (failure_.empty() && turns > kMaxTurns) failure_ = "stalled: " + describe_open_requests();
        if (failure_.empty()) check_end();
        return failure_;
    }

    const Counters& counters() const { return counters_; }
    std::uint64_t cancelled_count() const { return cancelled_count_; }

private:
    struct PlannedRequest {
        RequestPlan plan;
        std::string id, body;
        bool was_submitted = false;
    };
    struct Client {
        Poco::Net::StreamSocket socket;
        std::vector<PlannedRequest> requests;
        std::string unsent;    // of all its requests
        http::Buffer input;
        http::Parser parser{http::Parser::Kind::Response};
        std::size_t response_count = 0;
        bool has_left = false, close_announced = false;
    };
    // A submitted request, and the server's connection that takes its body.
    struct Submission : BodySink {
        PlayedCase* owner = nullptr;
        PlannedRequest* planned = nullptr;
        DownstreamConnection* downstream = nullptr;
        std::shared_ptr<RequestUpload> upload;
        std::string body;
        int status = 0;    // of its answer
        bool is_open = true, has_started = false, has_ended = false, is_paused = false;
        void on_body_chunk(std::string_view bytes) override {
            if (!is_open || is_paused) return owner->fail("a chunk of {} that nobody takes", planned->id);
            body += bytes;
            if (planned->plan.handling == Handling::AnswerInChunk) owner->answer(*this);
        }
        void on_body_end(bool complete) override {
            if (!is_open || !complete) return owner->fail("an end of {} that nobody waits for", planned->id);
            has_ended = true;
        }
    };

    template <class... Arguments>
    void fail(fmt::format_string<Arguments...> text, Arguments&&... arguments) {
        if (failure_.empty()) failure_ = fmt::format(text, std::forward<Arguments>(arguments)...);
    }

    void connect_client(std::size_t number) {
        Client& client = *clients_.emplace_back(std::make_unique<Client>());
        client.socket.connect(listening_socket_.address());
        client.socket.setNoDelay(true);
        client.socket.setBlocking(false);
        connections_.push_back(
            std::make_unique<ClientConnection>(context_, listening_socket_.acceptConnection()));
        for (const RequestPlan& request : plan_.clients[number]) {
            const std::string id = fmt::format("{}", 1 + number * 100 + client.requests.size());
            std::string body(request.body_size, ' ');
            for (std::size_t i = 0; i < body.size(); i += 1 + i / 64)
                body[i] = static_cast<char>('a' + (i + number + client.requests.size() * 7) % 26);
            client.unsent += request_text(request, id, body);
            client.requests.push_back({request, id, std::move(body)});
        }
    }
    static std::string request_text(const RequestPlan& plan, const std::string& id, const std::string& body) {
        std::string text = fmt::format("{} /{} HTTP/1.1\r\n", plan.is_post ? "POST" : "GET", id);
        if (plan.expects_continue) text += "Expect: 100-continue\r\n";
        if (!plan.is_post) return text + "\r\n";
        if (!plan.is_chunked) return text + fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
        text += "Transfer-Encoding: chunked\r\n\r\n";
        for (std::size_t offset = 0, size = 1; offset < body.size(); offset += size, size = size * 3 + 1)
            text += fmt::format("{:x}\r\n{}\r\n", std::min(size, body.size() - offset),
                                body.substr(offset, size));
        return text + "0\r\n\r\n";
    }

    // ---- the handler ----

    std::uint64_t submit(DownstreamConnection& downstream, IncomingRequest&& incoming) override {
        const std::uint64_t ticket = submissions_.size() + 1;
        Submission& submission = *submissions_.emplace_back(std::make_unique<Submission>());
        submission.owner = this;
        submission.downstream = &downstream;
        submission.upload = incoming.payload.upload;
        submission.body =
            submission.upload ? std::string(submission.upload->initial_body()) : incoming.payload.body;
        for (const auto& client : clients_) {
            for (PlannedRequest& planned : client->requests)
                if (planned.id == incoming.payload.request_id) submission.planned = &planned;
        }
        if (submission.planned == nullptr) {
            fail("{} was submitted, which no client sent", incoming.payload.request_id);
            return ticket;
        }
        PlannedRequest& planned = *submission.planned;
        if (std::exchange(planned.was_submitted, true)) fail("{} was submitted twice", planned.id);
        const std::string head = fmt::format("{} /{}", planned.plan.is_post ? "POST" : "GET", planned.id);
        if (incoming.payload.head != head) fail("{} was submitted as {}", planned.id, incoming.payload.head);
        if (!submission.upload && submission.body != planned.body) fail("{} has another body", planned.id);
        if (planned.plan.handling == Handling::AnswerAtOnce) answer(submission);
        return ticket;
    }
    void cancel(std::uint64_t ticket) override {
        Submission& submission = *submissions_.at(ticket - 1);
        ++cancelled_count_;
        if (!std::exchange(submission.is_open, false))
            fail("{} was cancelled after its end", submission.planned->id);
    }
    void answer(Submission& submission) {
        submission.is_open = false;
        const Answer answer = submission.planned->plan.answer;
        submission.status = std::ranges::find(kAnswerKinds, answer, &AnswerKind::answer)->status;
        if (!std::string_view(submission.planned->body).starts_with(submission.body))
            fail("{} got bytes that are not its own", submission.planned->id);
        deliver(*submission.downstream, answer);
    }

    // ---- turns ----

    bool take_turn() {
        for (const auto& client : clients_) read_responses(*client);
        if (next_step_ < plan_.steps.size()) {
            play_step(plan_.steps[next_step_++]);
            return false;
        }
        return advance_to_end();
    }
    void play_step(const Step& step) {
        Client& client = *clients_[step.client];
        switch (step.kind) {
            case StepKind::Send: send(client, step.size); break;
            case StepKind::Leave: leave(client); break;
            case StepKind::AnswerNewest:
                if (Submission* const submission = find_open(true)) answer(*submission);
                break;
            case StepKind::AnswerOldest:
                if (Submission* const submission = find_open(false)) answer(*submission);
                break;
            case StepKind::StartSink: start_sinks(); break;
            case StepKind::PauseSink: set_paused(true); break;
            case StepKind::ResumeSink: set_paused(false); break;
            case StepKind::kCount: break;
        }
    }
    Submission* find_open(bool newest) {
        Submission* found = nullptr;
        for (const auto& submission : submissions_) {
            if (submission->is_open && (found == nullptr || newest)) found = submission.get();
        }
        return found;
    }
    void start_sinks() {
        for (std::size_t i = 0; i < submissions_.size();
             ++i) {    // a sink may end its request, and another begins
            Submission& submission = *submissions_[i];
            if (!submission.is_open || !submission.upload || submission.has_started) continue;
            submission.has_started = true;
            submission.upload->start(submission);
        }
    }
    void set_paused(bool paused) {
        for (std::size_t i = 0; i < submissions_.size(); ++i) {
            Submission& submission = *submissions_[i];
            if (!submission.is_open || !submission.has_started || submission.has_ended) continue;
            submission.is_paused = paused;
            submission.upload->set_reading(!paused);
        }
    }
    void send(Client& client, std::size_t size) {
        if (client.has_left || client.unsent.empty()) return;
        try {
            const std::size_t count = std::min(size, client.unsent.size());
            const int sent = client.socket.sendBytes(client.unsent.data(), static_cast<int>(count));
            if (sent > 0) client.unsent.erase(0, static_cast<std::size_t>(sent));
        } catch (const Poco::Exception& error) {
            if (error.code() != POCO_EWOULDBLOCK) leave(client);    // closed after an early answer
        }
    }
    void leave(Client& client) {
        if (std::exchange(client.has_left, true)) return;
        client.socket.close();
    }
    // Sends all that is left, passes all bodies on and answers each request when it is whole.
    bool advance_to_end() {
        bool all_done = true;
        for (const auto& client : clients_) {
            if (!client->close_announced) send(*client, 256 * 1024);
            if (client->close_announced || client->response_count == client->requests.size()) leave(*client);
            all_done = all_done && client->has_left;
        }
        set_paused(false);
        start_sinks();
        for (std::size_t i = 0; i < submissions_.size(); ++i) {
            Submission& submission = *submissions_[i];
            if (!submission.is_open || (submission.upload && !submission.has_ended)) continue;
            if (submission.body != submission.planned->body)
                fail("{} ended with another body", submission.planned->id);
            answer(submission);
        }
        return all_done && connections_.empty();
    }

    // ---- what clients and servers see ----

    void read_responses(Client& client) {
        if (client.has_left) return;
        try {
            char* const target = client.input.reserve(16 * 1024);
            const int count =
                client.socket.receiveBytes(target, static_cast<int>(client.input.writable_size()));
            if (count == 0) client.close_announced = true;
            if (count > 0) client.input.commit(static_cast<std::size_t>(count));
        } catch (const Poco::Exception& error) {
            if (error.code() != POCO_EWOULDBLOCK) client.close_announced = true;
        }
        while (failure_.empty()) {
            const http::ParseStatus status = client.parser.parse(client.input);
            if (status == http::ParseStatus::Malformed) return fail("bytes that are no answer");
            if (status != http::ParseStatus::Complete) return;
            if (client.parser.status_code() >= 200) check_response(client);
            client.input.consume(client.parser.message_size());
            client.parser.reset();
        }
    }
    void check_response(Client& client) {
        const int status = client.parser.status_code();
        if (client.response_count >= client.requests.size()) return fail("an answer too many: {}", status);
        if (client.close_announced) return fail("an answer behind the last one: {}", status);
        const PlannedRequest& planned = client.requests[client.response_count++];
        client.close_announced = !client.parser.keep_alive();
        const auto submission = std::ranges::find_if(
            submissions_, [&](const auto& candidate) { return candidate->planned == &planned; });
        if (submission == submissions_.end())
            return fail("{} got {}, and was not submitted", planned.id, status);
        if ((*submission)->is_open || (*submission)->status != status)
            return fail("{} got {} in place of {}", planned.id, status, (*submission)->status);
        if (client.close_announced && !(*submission)->upload)
            return fail("the connection closes after {}, whose body had arrived", planned.id);
    }
    void check_end() {
        if (context_.buffered_body_bytes != 0)
            return fail("{} bytes are reserved", context_.buffered_body_bytes);
        if (!context_.open_request_ids.empty())
            return fail("{} ids are open", context_.open_request_ids.size());
        if (!context_.evictable_connections.empty() || context_.transient_connections != 0)
            return fail("closed connections are listed");
        for (const auto& submission : submissions_)
            if (submission->is_open) return fail("{} is open", submission->planned->id);
        if (counters_.requests_submitted > counters_.request_heads_read) fail("more requests than heads");
    }
    std::string describe_open_requests() const {
        std::string text;
        for (std::size_t i = 0; i < clients_.size(); ++i)
            text +=
                fmt::format("client {}: {} of {} answered, {} bytes unsent; ", i, clients_[i]->response_count,
                            clients_[i]->requests.size(), clients_[i]->unsent.size());
        return text;
    }

    const CasePlan& plan_;
    Loop& loop_;
    RecordingMapping mapping_;
    Counters counters_;
    ClientContext context_;
    Poco::Net::ServerSocket listening_socket_{Poco::Net::SocketAddress("127.0.0.1", 0)};
    std::vector<std::unique_ptr<ClientConnection>> connections_;
    std::vector<std::unique_ptr<Client>> clients_;
    std::vector<std::unique_ptr<Submission>> submissions_;
    std::size_t next_step_ = 0;
    std::uint64_t cancelled_count_ = 0;
    std::string failure_;
};

}    // namespace

// Guards against requests that are submitted twice, changed, mixed up or left without an answer, in whatever
// order bytes, answers, pauses and closes come (issue 66).
Test(client_connection_properties, each_request_is_submitted_once_unchanged_and_answered_in_order) {
    setenv("RC_PARAMS", kDefaultParameters, 0);
    Loop loop;
    loop.reactor.set_busy_polling(true);
    std::uint64_t answered_received = 0, answered_incomplete = 0, cancelled = 0;
    const bool holds = rc::check("client connections", [&](const CasePlan& plan) {
        PlayedCase played(plan, loop);
        const std::string failure = played.play();
        answered_received += played.counters().uploads_answered_received;
        answered_incomplete += played.counters().uploads_answered_incomplete;
        cancelled += played.cancelled_count();
        if (!failure.empty()) RC_FAIL(failure);
    });
    cr_assert(holds);
    cr_assert(answered_received > 0 && answered_incomplete > 0 && cancelled > 0);
}
