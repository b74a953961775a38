// Tests that responses match their requests, what a client learns about the execution of its request, and
// which requests are retried. Checks only what clients and servers observe.
#include <random>

#include "gateway/data_plane_fixture.h"

using namespace shaletray;
using namespace shaletray::test;
using namespace std::chrono_literals;

namespace {

struct Observation {
    LoopbackClient::ReceivedResponse response;
    int arrivals = 0, executions = 0;
};

// Sends one request. The servers apply the given behaviours to its attempts in turn, and then respond
// normally. `divisor`: only the first 1/divisor of the request's bytes is sent.
Observation run_scenario(bool unsafe, const std::vector<ServerBehaviour>& behaviours, std::size_t bytes = 2,
                         std::size_t divisor = 1) {
    DataPlaneFixture fixture(3);
    std::size_t next = 0;
    fixture.choose_behaviour = [&](const ServerRequest&, bool complete) {
        if (!complete)
            return next < behaviours.size() && behaviours[next] == ServerBehaviour::ResetDuringRead
                       ? behaviours[next++]
                       : ServerBehaviour::Respond;
        return next < behaviours.size() ? behaviours[next++] : ServerBehaviour::Respond;
    };
    LoopbackClient client(fixture.listener->address());
    const std::string text = request_text(unsafe, "x", std::string(bytes, 'b'));
    client.send(text.substr(0, text.size() / divisor));
    std::optional<LoopbackClient::ReceivedResponse> response;
    cr_assert(fixture.run_until(
        [&] { return (response = client.next_response()).has_value() || client.disconnected; }, 3000));
    cr_assert(response.has_value());
    const int before = fixture.executions["x"];
    fixture.run_until([] { return false; }, 500);    // nothing may be executed afterwards
    cr_assert(fixture.executions["x"] == before);
    cr_assert(!client.next_response().has_value());
    return {*response, fixture.arrivals["x"], fixture.executions["x"]};
}

void check_observation(const char* description, const Observation& observation, int status, int arrivals,
                       int executions) {
    cr_assert(observation.response.status == status && observation.arrivals == arrivals &&
                  observation.executions == executions,
              "%s: status %d, %d arrivals, %d executions", description, observation.response.status,
              observation.arrivals, observation.executions);
    if (status != 200) return;
    cr_assert(observation.response.id == "x" && observation.response.seal == "seal-x" &&
              observation.response.body.starts_with("of x"));
}

}    // namespace

Test(responses, possibly_executed_unsafe_request_fails_and_is_not_retried) {
    const struct {
        const char* name;
        ServerBehaviour behaviour;
        int status;
    } cases[] = {{"reset after execution", ServerBehaviour::ResetAfterExecution, 502},
                 {"reset before it was read", ServerBehaviour::ResetBeforeRead, 502},
                 {"truncated response", ServerBehaviour::TruncatedResponse, 502},
                 {"response truncated by a reset", ServerBehaviour::ResetDuringResponse, 502},
                 {"no response", ServerBehaviour::NoResponse, 504},
                 {"response that is not HTTP", ServerBehaviour::MalformedResponse, 502},
                 {"success without an id", ServerBehaviour::SuccessWithoutId, 502},
                 {"failure without an id", ServerBehaviour::FailureWithoutId, 502},
                 {"success response of another request", ServerBehaviour::WrongId, 504},
                 {"restart of the server", ServerBehaviour::Restart, 502},
                 {"503 without X-Not-Executed", ServerBehaviour::Unmarked503, 502},
                 {"429 without X-Not-Executed", ServerBehaviour::Unmarked429, 502},
                 {"status 500 of the server", ServerBehaviour::ServerError, 500}};
    for (const auto& test_case : cases) {
        const Observation observation = run_scenario(true, {test_case.behaviour});
        check_observation(test_case.name, observation, test_case.status, 1,
                          executes_request(test_case.behaviour) ? 1 : 0);
        cr_assert(!observation.response.has_retry_after && observation.response.seal.empty(), "%s",
                  test_case.name);
        cr_assert(
            observation.response.body == (test_case.behaviour == ServerBehaviour::ServerError ? "why-x" : ""),
            "%s", test_case.name);
    }
}

// An idempotent request is retried at another server if there is time left.
Test(responses, idempotent_request_is_retried_at_another_server) {
    for (const ServerBehaviour behaviour :
         {ServerBehaviour::ResetAfterExecution, ServerBehaviour::ResetBeforeRead,
          ServerBehaviour::TruncatedResponse, ServerBehaviour::ResetDuringResponse,
          ServerBehaviour::MalformedResponse, ServerBehaviour::SuccessWithoutId,
          ServerBehaviour::FailureWithoutId, ServerBehaviour::Restart, ServerBehaviour::Unmarked503,
          ServerBehaviour::Unmarked429, ServerBehaviour::ServerError, ServerBehaviour::Overloaded})
        check_observation(fmt::format("behaviour {}", static_cast<int>(behaviour)).c_str(),
                          run_scenario(false, {behaviour}), 200, 2, executes_request(behaviour) ? 2 : 1);
}

// A server cannot have executed a request that it never received completely, or that it states as not
// executed.
Test(responses, unexecuted_request_is_retried_and_finally_rejected) {
    check_observation("overloaded", run_scenario(true, {ServerBehaviour::Overloaded}), 200, 2, 1);
    const Observation overloaded = run_scenario(
        true, {ServerBehaviour::Overloaded, ServerBehaviour::Overloaded, ServerBehaviour::Overloaded});
    cr_assert(overloaded.response.status == 503 && overloaded.response.has_retry_after &&
              overloaded.arrivals > 1 && overloaded.executions == 0);
    check_observation("overloaded, then a reset",
                      run_scenario(true, {ServerBehaviour::Overloaded, ServerBehaviour::ResetAfterExecution}),
                      502, 2, 1);
    const std::size_t large_size =
        12 * 1024 * 1024;    // more than the socket accepts at once, but still buffered completely
    check_observation("reset while the request is read",
                      run_scenario(true, {ServerBehaviour::ResetDuringRead}, large_size), 200, 2, 1);
    check_observation("reset after a large request",
                      run_scenario(true, {ServerBehaviour::ResetAfterExecution}, large_size), 502, 1, 1);
    // A streamed request cannot be retried, and a server does not execute an incomplete request.
    const Observation partial = run_scenario(true, {ServerBehaviour::ResetDuringRead}, 24 * 1024 * 1024, 2);
    check_observation("reset during a streamed request", partial, 503, 1, 0);

    DataPlaneFixture fixture_without_servers(2);
    for (auto& server : fixture_without_servers.servers) server->shut_down();
    LoopbackClient client(fixture_without_servers.listener->address());
    client.send(request_text(true, "x", "bb"));
    std::optional<LoopbackClient::ReceivedResponse> response;
    cr_assert(fixture_without_servers.run_until(
        [&] { return (response = client.next_response()).has_value(); }, 3000));
    cr_assert(response->status == 503 && response->has_retry_after);
}

// Each behaviour leaves bytes or a changed state on a connection that is reused. These must not be matched to
// a later request.
Test(responses, leftover_bytes_on_a_connection_match_no_later_request) {
    for (const bool unsafe : {false, true}) {
        for (const ServerBehaviour behaviour :
             {ServerBehaviour::Respond, ServerBehaviour::DuplicateResponse, ServerBehaviour::LateDuplicate,
              ServerBehaviour::CloseAfterResponse, ServerBehaviour::PreviousResponseFirst}) {
            DataPlaneFixture fixture(1);
            int number = 0;
            fixture.choose_behaviour = [&](const ServerRequest&, bool) {
                return ++number % 2 != 0 ? behaviour : ServerBehaviour::PreviousResponseFirst;
            };
            fixture.delay_turns = [] { return 1; };
            LoopbackClient client(fixture.listener->address());
            for (int i = 0; i < 12; ++i) {
                const std::string id = fmt::format("n{}", i);
                client.send(request_text(unsafe, id, "bb"));
                std::optional<LoopbackClient::ReceivedResponse> response;
                cr_assert(
                    fixture.run_until([&] { return (response = client.next_response()).has_value(); }, 3000));
                // A duplicate that arrives while the next request is pending is skipped without a failure.
                cr_assert(response->status == 200 && response->id == id &&
                              response->body == fixture.response_bodies[id],
                          "behaviour %d, %s: %d %s", static_cast<int>(behaviour), id.c_str(),
                          response->status, response->body.c_str());
                cr_assert(fixture.executions[id] == 1);
            }
        }
    }
}

// A server that has silently dropped an idle connection resets it at the next request, whose outcome is then
// unknown. Where the server states no idle timeout, an unsafe request must go on a new connection.
Test(responses, reset_of_a_stale_connection_is_a_failure_and_never_a_rejection) {
    const struct {
        bool unsafe, timeout_stated;
        int status, executions;
    } cases[] = {{false, false, 200, 1}, {false, true, 200, 1}, {true, false, 200, 1}, {true, true, 502, 0}};
    for (const auto& [unsafe, timeout_stated, status, executions] : cases) {
        DataPlaneFixture fixture(1);
        if (timeout_stated) fixture.idle_timeout_header = "Keep-Alive: timeout=5\r\n";
        fixture.choose_behaviour = [](const ServerRequest&, bool) {
            return ServerBehaviour::ResetOnNextInput;
        };
        LoopbackClient client(fixture.listener->address());
        std::vector<int> statuses;
        for (int i = 0; i < 2; ++i) {
            const std::string id = fmt::format("n{}", i);
            client.send(request_text(unsafe, id, "bb"));
            std::optional<LoopbackClient::ReceivedResponse> response;
            cr_assert(
                fixture.run_until([&] { return (response = client.next_response()).has_value(); }, 3000));
            statuses.push_back(response->status);
            fixture.run_until([] { return false; }, 50);
        }
        cr_assert(statuses[0] == 200 && statuses[1] == status, "%d", statuses[1]);
        cr_assert(fixture.executions["n1"] == executions);
    }
}

namespace {

// Clients that keep several safe and unsafe requests open, disconnect and reconnect, and record the
// responses.
class LoadGenerator {
public:
    LoadGenerator(DataPlaneFixture& fixture, unsigned seed) : fixture_(fixture), random_(seed) {
        for (int i = 0; i < 6; ++i) clients_.emplace_back();
    }
    bool run_turn(int max_requests) {
        for (ClientConnection& connection : clients_) {
            if (!connection.client) {
                if (request_count_ >= max_requests) continue;
                connection.client = std::make_unique<LoopbackClient>(fixture_.listener->address());
            }
            while (connection.client) {
                const auto response = connection.client->next_response();
                if (!response) break;
                on_response(connection, *response);
            }
            if (connection.client && (connection.client->disconnected ||
                                      (connection.client->close_announced && connection.pending.empty())))
                reconnect(connection);
            if (!connection.client) continue;
            if (!connection.pending.empty()) {
                if (random_() % 400 == 0) reconnect(connection);    // with requests in flight
            } else if (request_count_ < max_requests && random_() % 3 == 0) {
                send_requests(connection);
            }
        }
        return request_count_ >= max_requests &&
               std::all_of(clients_.begin(), clients_.end(),
                           [](const ClientConnection& connection) { return connection.pending.empty(); });
    }
    // Checks that no request reported as not executed was executed, no unsafe one was executed twice, and
    // only requests of these clients were executed.
    void check_results() const {
        for (const auto& [id, times] : fixture_.executions) {
            cr_assert(unsafe_by_id_.contains(id), "%s was not requested", id.c_str());
            if (unsafe_by_id_.at(id)) cr_assert(times <= 1, "%s was executed %d times", id.c_str(), times);
        }
        for (const std::string& id : not_executed_)
            cr_assert(!fixture_.executions.contains(id), "%s was reported as not executed, but was executed",
                      id.c_str());
    }

    std::map<int, int> statuses;

private:
    struct ClientConnection {
        std::unique_ptr<LoopbackClient> client;
        std::deque<std::string> pending;
    };
    void reconnect(ClientConnection& connection) {
        connection.client.reset();
        connection.pending.clear();
    }
    void send_requests(ClientConnection& connection) {
        const bool unsafe = random_() % 2 == 0;
        const int count = unsafe ? 1 : 1 + static_cast<int>(random_() % 3);
        for (int i = 0; i < count; ++i) {
            const std::string id = fmt::format("q{}", ++request_count_);
            unsafe_by_id_[id] = unsafe;
            connection.pending.push_back(id);
            const std::string body(unsafe ? (random_() % 16 == 0 ? 150000 : 1 + random_() % 40) : 0, 'b');
            connection.client->send(request_text(unsafe, id, body, 20 + static_cast<int>(random_() % 300)));
        }
    }
    void on_response(ClientConnection& connection, const LoopbackClient::ReceivedResponse& response) {
        cr_assert(!connection.pending.empty(), "unexpected response");
        const std::string id = connection.pending.front();
        connection.pending.pop_front();
        ++statuses[response.status];
        cr_assert(response.id.empty() || response.id == id, "%s for %s", response.id.c_str(), id.c_str());
        switch (response.status) {
            case 200:
                cr_assert(response.id == id && response.seal == "seal-" + id);
                cr_assert(response.body.starts_with("of " + id + " by "), "%s for %s", response.body.c_str(),
                          id.c_str());
                break;
            case 500: cr_assert(response.body == "why-" + id); break;
            case 503: not_executed_.insert(id); [[fallthrough]];
            case 502:
            case 504: cr_assert(response.body.empty() && response.seal.empty()); break;
            default: cr_assert_fail("status %d for %s", response.status, id.c_str());
        }
    }

    DataPlaneFixture& fixture_;
    std::mt19937 random_;
    std::vector<ClientConnection> clients_;
    std::map<std::string, bool> unsafe_by_id_;    // by request id; unsafe requests must not be retried
    std::set<std::string> not_executed_;
    int request_count_ = 0;
};

}    // namespace

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
// Fewer requests a seed, but enough seeds that the rarest response, a forwarded 500 (about one a seed), is
// not missing by chance.
constexpr int kRequestsPerSeed = 150, kSeeds = 12;
#else
constexpr int kRequestsPerSeed = 500, kSeeds = 6;
#endif

// Servers behave at random. Every client must get the response to its own request, and no unsafe request may
// be executed twice.
Test(responses, responses_match_and_unsafe_requests_run_once_under_random_faults) {
    std::map<ServerBehaviour, int> total_counts;
    std::map<int, int> statuses;
    int retried_count = 0;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
        DataPlaneFixture fixture(4, seed);
        std::mt19937 random(seed * 7919);
        fixture.choose_behaviour = [&](const ServerRequest&, bool complete) {
            if (!complete)
                return random() % 20 == 0 ? ServerBehaviour::ResetDuringRead : ServerBehaviour::Respond;
            if (random() % 2 == 0) return ServerBehaviour::Respond;
            const ServerBehaviour kind =
                static_cast<ServerBehaviour>(random() % static_cast<unsigned>(ServerBehaviour::kCount));
            return kind == ServerBehaviour::Restart && random() % 4 != 0 ? ServerBehaviour::SlowResponse
                                                                         : kind;
        };
        fixture.delay_turns = [&] { return 1 + static_cast<int>(random() % 40); };
        LoadGenerator load(fixture, seed);
        for (int round = 0; round < 20 && !fixture.run_until([&] { return load.run_turn(kRequestsPerSeed); });
             ++round) {
        }
        cr_assert(fixture.run_until([&] { return load.run_turn(kRequestsPerSeed); }),
                  "seed %u: requests without a response", seed);
        fixture.run_until([] { return false; }, 600);    // waits for late executions and responses
        load.check_results();
        for (const auto& [id, times] : fixture.executions) retried_count += times > 1;
        for (const auto& [kind, times] : fixture.behaviour_counts) total_counts[kind] += times;
        for (const auto& [status, times] : load.statuses) statuses[status] += times;
    }
    // Each behaviour occurred, each status was returned, and idempotent requests were retried.
    for (int kind = 0; kind < static_cast<int>(ServerBehaviour::kCount); ++kind)
        cr_assert(total_counts[static_cast<ServerBehaviour>(kind)] > 0, "behaviour %d did not occur", kind);
    for (const int status : {200, 500, 502, 503, 504}) cr_assert(statuses[status] > 0, "no %d", status);
    cr_assert(retried_count > 0 && statuses[200] > kRequestsPerSeed * kSeeds / 3);
}

namespace {

// Sends one request with a shard key and returns the response.
LoopbackClient::ReceivedResponse send_sharded_request(DataPlaneFixture& fixture, bool unsafe,
                                                      const std::string& id) {
    LoopbackClient client(fixture.listener->address());
    std::string text = request_text(unsafe, id, "bb");
    text.insert(text.find("\r\n") + 2, "X-Shard-Key: 4711\r\n");
    client.send(text);
    std::optional<LoopbackClient::ReceivedResponse> response;
    cr_assert(fixture.run_until([&] { return (response = client.next_response()).has_value(); }, 3000));
    return *response;
}

}    // namespace

Test(shards, sampled_shard_keys_are_reported_once) {
    DataPlaneFixture fixture(2, 1, true);
    fixture.publish_owner(fixture.servers[0]->id, 2);
    cr_assert(send_sharded_request(fixture, false, "one").status == 200 &&
              send_sharded_request(fixture, true, "two").status == 200);
    const std::vector<ownership::KeySamples> samples = fixture.dispatcher->take_key_samples();
    const std::vector<ownership::KeySamples> expected{{"pay", {4711, 4711}, 2}};
    cr_assert(samples == expected);
    cr_assert(fixture.dispatcher->take_key_samples().empty());
}

Test(shards, request_goes_only_to_the_owner_of_its_key) {
    DataPlaneFixture fixture(3, 1, true);
    std::set<std::string> contacted_servers;
    fixture.choose_behaviour = [&](const ServerRequest& request, bool) {
        contacted_servers.insert(request.target_instance);
        return ServerBehaviour::Respond;
    };
    const LoopbackClient::ReceivedResponse without_owner = send_sharded_request(fixture, true, "a");
    cr_assert(without_owner.status == 503 && without_owner.has_retry_after && contacted_servers.empty(),
              "no owner is known");
    const std::string owner = fixture.servers[1]->id;
    fixture.publish_owner(owner, 1);
    for (int i = 0; i < 20; ++i)
        cr_assert(send_sharded_request(fixture, i % 2 == 0, fmt::format("b{}", i)).status == 200);
    cr_assert(contacted_servers == std::set<std::string>{owner});
    contacted_servers.clear();
    fixture.publish_owner(fixture.servers[2]->id, 2, false, owner);
    cr_assert(send_sharded_request(fixture, true, "c").status == 200 &&
                  contacted_servers == std::set<std::string>{owner},
              "until the row is settled, only the previous owner may hold the key");
    fixture.publish_owner("i-unknown", 3);
    cr_assert(send_sharded_request(fixture, false, "d").status == 503 &&
              contacted_servers == std::set<std::string>{owner});
}

// A request that the former owner rejected was not executed. It is sent once more, to the owner known by
// then.
Test(shards, rejected_request_goes_to_the_new_owner_once) {
    for (const bool unsafe : {false, true}) {
        DataPlaneFixture fixture(3, 1, true);
        std::uint64_t version = 1;
        fixture.publish_owner(fixture.servers[0]->id, version);
        std::vector<std::string> contacted_servers;
        bool always_moves = false;
        fixture.choose_behaviour = [&](const ServerRequest& request, bool) {
            contacted_servers.push_back(request.target_instance);
            const bool is_first_owner = request.target_instance == fixture.servers[0]->id;
            if (!is_first_owner && !always_moves) return ServerBehaviour::Respond;
            fixture.publish_owner(fixture.servers[is_first_owner ? 1 : 0]->id, ++version);
            return ServerBehaviour::Overloaded;
        };
        cr_assert(send_sharded_request(fixture, unsafe, "a").status == 200);
        cr_assert(contacted_servers.back() == fixture.servers[1]->id && fixture.executions["a"] == 1);
        always_moves = true;
        contacted_servers.clear();
        fixture.publish_owner(fixture.servers[0]->id, ++version);
        const LoopbackClient::ReceivedResponse response = send_sharded_request(fixture, unsafe, "b");
        cr_assert(response.status == 503 && fixture.executions["b"] == 0);
        cr_assert(fixture.arrivals["b"] <= 6, "%d", fixture.arrivals["b"]);
    }
}
