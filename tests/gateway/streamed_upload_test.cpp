// Long uploads through a gateway's whole data plane that streams their bodies for want of memory, while
// servers answer before they have the body, or fall silent. Checks only what clients and servers observe.
#include <random>

#include "gateway/data_plane_fixture.h"

using namespace shaletray;
using namespace shaletray::test;
using namespace std::chrono_literals;

namespace {

constexpr double kNoBodyMemoryMb = 0.001;    // every body of 64 KiB and more is streamed
constexpr int kServers = 4, kUploaders = 6;
constexpr EarlyResponse kEarlyResponses[] = {EarlyResponse::Silence,        EarlyResponse::NotExecuted503,
                                             EarlyResponse::NotExecuted429, EarlyResponse::Misdirected421,
                                             EarlyResponse::ServerError500, EarlyResponse::Refused403};

std::string upload_text(const std::string& id, const std::string& body, bool chunked, bool limited) {
    std::string text = request_text(true, id, "-");
    text.erase(text.find("Content-Length"));
    if (limited) text += "Authorization: Bearer key-limited\r\n";
    if (!chunked) return text + fmt::format("Content-Length: {}\r\n\r\n{}", body.size(), body);
    text += "Transfer-Encoding: chunked\r\n\r\n";
    constexpr std::size_t kChunkSize = 10'000;
    for (std::size_t offset = 0; offset < body.size(); offset += kChunkSize) {
        const std::string chunk = body.substr(offset, kChunkSize);
        text += fmt::format("{:x}\r\n{}\r\n", chunk.size(), chunk);
    }
    return text + "0\r\n\r\n";
}

// Clients that send one upload after another on connections that they keep as long as they may, some with a
// request behind the upload, and at times leave in the middle of one.
class Uploaders {
public:
    Uploaders(DataPlaneFixture& fixture, unsigned seed)
        : fixture_(fixture), random_(seed), clients_(kUploaders) {}

    bool run_turn(int max_requests) {
        bool all_done = true;
        for (Uploader& uploader : clients_) {
            if (!uploader.client) uploader.client.emplace(fixture_.listener->address());
            while (const auto response = uploader.client->next_response()) on_response(uploader, *response);
            const bool leaves = !uploader.pending.empty() && random_() % 1000 == 0;
            if (leaves || uploader.client->close_announced || uploader.client->disconnected)
                reconnect(uploader);
            else if (uploader.pending.empty() && request_count_ < max_requests) send_upload(uploader);
            all_done = all_done && uploader.pending.empty();
        }
        return all_done && request_count_ >= max_requests;
    }
    // A request runs once at most and with the body that was sent, and never after a promise that it does
    // not.
    void check_results() const {
        for (const auto& [id, times] : fixture_.executions) {
            cr_assert(times == 1, "%s was executed %d times", id.c_str(), times);
            cr_assert(bodies_.contains(id) && fixture_.executed_bodies.at(id) == bodies_.at(id),
                      "%s was executed with a body of %zu bytes", id.c_str(),
                      fixture_.executed_bodies.at(id).size());
        }
        for (const std::string& id : refused_)
            cr_assert(!fixture_.executions.contains(id), "%s was refused, and executed", id.c_str());
    }

    std::map<int, int> statuses;
    int kept_after_upload = 0;    // requests that were served behind one that was answered early

private:
    struct Uploader {
        std::optional<LoopbackClient> client;
        std::deque<std::string> pending;
        bool refused_before = false;    // the response before on this connection was no success
    };
    void reconnect(Uploader& uploader) { uploader = {}; }
    void send_upload(Uploader& uploader) {
        const std::string id = fmt::format("u{}", ++request_count_);
        // From a body that the gateway can read ahead to one that fills all buffers on the way.
        const std::size_t size =
            random_() % 2 == 0 ? 70'000 + random_() % 150'000 : 70'000 + random_() % 3'000'000;
        std::string body(size, 'b');
        for (std::size_t offset = 0; offset < size; offset += 7) body[offset] = static_cast<char>(random_());
        uploader.client->send(upload_text(id, body, random_() % 2 == 0, random_() % 2 == 0));
        uploader.pending.push_back(id);
        bodies_[id] = std::move(body);
        if (random_() % 2 != 0) return;
        const std::string next_id = id + "b";
        uploader.client->send(request_text(true, next_id, "bb"));
        uploader.pending.push_back(next_id);
        bodies_[next_id] = "bb";
    }
    void on_response(Uploader& uploader, const LoopbackClient::ReceivedResponse& response) {
        cr_assert(!uploader.pending.empty(), "an answer that nobody waits for: %d", response.status);
        const std::string id = uploader.pending.front();
        uploader.pending.pop_front();
        ++statuses[response.status];
        cr_assert(response.id.empty() || response.id == id, "%s for %s", response.id.c_str(), id.c_str());
        constexpr int kExpectedStatuses[] = {200, 403, 429, 500, 502, 503, 504};
        cr_assert(std::ranges::find(kExpectedStatuses, response.status) != std::end(kExpectedStatuses),
                  "status %d for %s", response.status, id.c_str());
        if (response.status == 200) {
            cr_assert(fixture_.executions[id] == 1 && response.body == fixture_.response_bodies[id]);
            kept_after_upload += uploader.refused_before;
        }
        if (response.status == 503 || response.status == 429) refused_.insert(id);
        uploader.refused_before = response.status != 200;
    }

    DataPlaneFixture& fixture_;
    std::mt19937 random_;
    std::vector<Uploader> clients_;
    std::map<std::string, std::string> bodies_;    // by request id
    std::set<std::string> refused_;                // answered with a promise that they have not run
    int request_count_ = 0;
};

constexpr unsigned kSeeds = 6;
constexpr int kUploadsPerSeed = 120;

}    // namespace

// Guards against requests that run a second time with the tail of their body, and against 400s for sound
// requests behind an upload that was answered early (issue 65), whatever a server answers and whenever.
Test(streamed_uploads, run_once_with_their_own_body_whatever_servers_answer_early) {
    std::map<EarlyResponse, int> early_counts;
    std::map<int, int> statuses;
    std::uint64_t answered_received = 0, answered_incomplete = 0;
    int kept_after_upload = 0;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
        DataPlaneFixture fixture(kServers, seed, false, kNoBodyMemoryMb);
        std::mt19937 random(seed * 7919);
        fixture.choose_early_response = [&](const ServerRequest&) {
            return random() % 3 == 0 ? kEarlyResponses[random() % std::size(kEarlyResponses)]
                                     : EarlyResponse::None;
        };
        fixture.delay_turns = [&] { return 1 + static_cast<int>(random() % 600); };
        Uploaders uploaders(fixture, seed);
        cr_assert(fixture.run_until([&] { return uploaders.run_turn(kUploadsPerSeed); }, 200'000),
                  "seed %u: requests without a response", seed);
        fixture.run_until([] { return false; }, 700);    // waits for late executions and responses
        uploaders.check_results();
        cr_assert(fixture.counters.requests_submitted <= fixture.counters.request_heads_read, "seed %u",
                  seed);
        answered_received += fixture.counters.uploads_answered_received;
        answered_incomplete += fixture.counters.uploads_answered_incomplete;
        kept_after_upload += uploaders.kept_after_upload;
        for (const auto& [kind, times] : fixture.early_response_counts) early_counts[kind] += times;
        for (const auto& [status, times] : uploaders.statuses) statuses[status] += times;
    }
    for (const EarlyResponse kind : kEarlyResponses)
        cr_assert(early_counts[kind] > 0, "early response %d did not occur", static_cast<int>(kind));
    for (const int status : {200, 429, 500, 502, 503, 504}) cr_assert(statuses[status] > 0, "no %d", status);
    cr_assert(answered_received > 0 && answered_incomplete > 0 && kept_after_upload > 0,
              "%llu received, %llu incomplete, %d kept", static_cast<unsigned long long>(answered_received),
              static_cast<unsigned long long>(answered_incomplete), kept_after_upload);
}
