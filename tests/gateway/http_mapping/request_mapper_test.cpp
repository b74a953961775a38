// Tests the interpretation of clients' requests, also split at any position, and of servers' responses.
#include "gateway/http_mapping/request_mapper.h"

#include <criterion/criterion.h>

#include <string>

#include "gateway/http_mapping/upstream_codec.h"

namespace {

using namespace std::chrono_literals;
using namespace shaletray;
using namespace shaletray::http_mapping;

std::shared_ptr<const configuration::ConfigurationIndex> make_index(std::uint64_t version = 1) {
    configuration::Configuration routing_configuration;
    routing_configuration.version = version;
    configuration::Route claims_route;
    claims_route.name = "claims";
    claims_route.hostname = "a.example";
    claims_route.path_prefix = "/claims/";
    claims_route.kind = configuration::RouteKind::NonIdempotent;
    claims_route.timeout = 800ms;
    claims_route.priority = 3;
    claims_route.targets = {{"pay", 1}};
    configuration::Route open_route = claims_route;
    open_route.name = "open";
    open_route.path_prefix = "/claims/open/";
    open_route.kind = configuration::RouteKind::Idempotent;
    open_route.is_public = true;
    routing_configuration.routes = {claims_route, open_route};
    routing_configuration.services = {{"pay", "/health", 10}};
    routing_configuration.tenants = std::vector<configuration::Tenant>{{"norte", {"k1", "k2"}, 0, 5.0, 5.0},
                                                                       {"sur", {"k3"}, {}, 0.0, 0.0}};
    return std::make_shared<const configuration::ConfigurationIndex>(std::move(routing_configuration));
}

struct ReadResult {
    http::Buffer buffer;
    http::Parser parser{http::Parser::Kind::Request};
    std::variant<MappedRequest, ImmediateRejection> result;

    const MappedRequest& accepted() const { return std::get<MappedRequest>(result); }
    int status() const {
        const auto* rejection = std::get_if<ImmediateRejection>(&result);
        return rejection == nullptr ? 0 : rejection->status_code;
    }
    const RouteMatch& route_match() const {
        return *static_cast<const RouteMatch*>(accepted().incoming.context.get());
    }
};

// Parses the request in two pieces, split at `split_at`, and maps it.
ReadResult read_request(RequestMapper& mapper, const std::string& text, std::size_t split_at = 0) {
    ReadResult read_result;
    read_result.buffer.append(text.substr(0, split_at));
    read_result.parser.parse(read_result.buffer);
    read_result.buffer.append(text.substr(split_at));
    cr_assert(read_result.parser.parse(read_result.buffer) == http::ParseStatus::Complete, "%s",
              text.c_str());
    read_result.result = mapper.map_request(read_result.parser, read_result.buffer, TimePoint{});
    return read_result;
}

std::string request_text(const std::string& path, const std::string& extra_headers,
                         const std::string& body = "") {
    return "POST " + path + " HTTP/1.1\r\nHost: A.example:8045\r\nX-Attempt-Id: 9c41\r\n" + extra_headers +
           (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

struct ParsedResponse {
    http::Buffer buffer;
    http::Parser parser{http::Parser::Kind::Response};
    explicit ParsedResponse(const std::string& text) {
        buffer.append(text);
        cr_assert(parser.parse(buffer) == http::ParseStatus::Complete, "%s", text.c_str());
    }
};

UpstreamCodec make_codec() {
    return UpstreamCodec([](HostId host) -> std::optional<UpstreamCodec::Target> {
        if (host != HostId{7}) return std::nullopt;
        return UpstreamCodec::Target{"i-7", "/health"};
    });
}

const ExchangeContext kSentRequest{HostId{7}, false, "9c41"};

}    // namespace

Test(request_mapper, forwards_a_request_and_replaces_reserved_headers) {
    RequestMapper mapper;
    mapper.set_configuration(make_index());
    const std::string text = request_text(
        "/claims/7?x=1",
        "Authorization: bearer k2\r\nX-Tenant: forged\r\nX-Target-Instance: forged\r\n"
        "X-Deadline-Remaining: 500\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-Other: kept\r\n",
        "abc");
    for (std::size_t split_at = 0; split_at < text.size(); split_at += 3) {
        const ReadResult read_result = read_request(mapper, text, split_at);
        cr_assert(read_result.status() == 0);
        cr_assert(read_result.accepted().incoming.payload.head ==
                  "POST /claims/7?x=1 HTTP/1.1\r\nHost: A.example:8045\r\nX-Attempt-Id: 9c41\r\n"
                  "X-Other: kept\r\nX-Tenant: norte\r\nContent-Length: 3\r\n");
        cr_assert(read_result.accepted().incoming.payload.body == "abc");
        cr_assert(read_result.accepted().incoming.time_budget == 500ms);
        cr_assert(!read_result.accepted().allows_pipelining);
        cr_assert(read_result.route_match().priority() == 0);
    }
}

Test(request_mapper, rejects_requests_without_a_route_or_api_key) {
    RequestMapper mapper;
    cr_assert(read_request(mapper, request_text("/claims/7", "Authorization: Bearer k1\r\n")).status() ==
              503);
    mapper.set_configuration(make_index());
    cr_assert(read_request(mapper, request_text("/other/7", "Authorization: Bearer k1\r\n")).status() == 404);
    cr_assert(read_request(mapper, request_text("/claims/7", "")).status() == 401);
    cr_assert(read_request(mapper, request_text("/claims/7", "Authorization: Bearer k9\r\n")).status() ==
              401);
    cr_assert(read_request(mapper, request_text("/claims/7", "Authorization: Basic k1\r\n")).status() == 401);
    cr_assert(read_request(mapper, request_text("/claims/7",
                                                "Authorization: Bearer k1\r\nAuthorization: Bearer k3\r\n"))
                  .status() == 400);
    cr_assert(read_request(mapper, request_text("/claims/7",
                                                "Authorization: Bearer k1\r\nX-Deadline-Remaining: soon\r\n"))
                  .status() == 400);
    const ReadResult open = read_request(mapper, request_text("/claims/open/7", ""));
    cr_assert(open.accepted().allows_pipelining && open.route_match().tenant == nullptr);
    cr_assert(open.route_match().route->name == "open");
    const ReadResult sur = read_request(mapper, request_text("/claims/7", "Authorization: Bearer k3\r\n"));
    cr_assert(sur.route_match().priority() == 3, "the route's priority, since the tenant has none");
    cr_assert(sur.accepted().incoming.time_budget == 800ms);
}

// Only routes to sharded services require a shard key. The header is forwarded.
Test(request_mapper, requires_a_shard_key_on_routes_to_sharded_services) {
    RequestMapper mapper;
    mapper.set_configuration(make_index());
    const std::string key = "Authorization: Bearer k1\r\n";
    cr_assert(read_request(mapper, request_text("/claims/1", key)).status() == 0);
    configuration::Configuration sharded = make_index()->config();
    sharded.services = {{"pay", "/health", 10, true}};
    mapper.set_configuration(std::make_shared<const configuration::ConfigurationIndex>(sharded));
    for (const std::string header :
         {"", "X-Shard-Key: 65536\r\n", "X-Shard-Key: -1\r\n", "X-Shard-Key: 1x\r\n", "X-Shard-Key:\r\n",
          "X-Shard-Key: 1\r\nX-Shard-Key: 2\r\n"})
        cr_assert(read_request(mapper, request_text("/claims/1", key + header)).status() == 400, "%s",
                  header.c_str());
    const ReadResult good = read_request(mapper, request_text("/claims/1", key + "X-Shard-Key: 65535\r\n"));
    cr_assert(good.status() == 0 && good.route_match().shard_key == 65535);
    cr_assert(good.accepted().incoming.payload.head.find("X-Shard-Key: 65535\r\n") != std::string::npos);
}

Test(request_mapper, request_keeps_the_configuration_under_which_it_arrived) {
    RequestMapper mapper;
    mapper.set_configuration(make_index(1));
    const ReadResult before = read_request(mapper, request_text("/claims/7", "Authorization: Bearer k1\r\n"));
    mapper.set_configuration(make_index(2));
    const ReadResult after = read_request(mapper, request_text("/claims/7", "Authorization: Bearer k1\r\n"));
    cr_assert(before.route_match().configuration_index->config().version == 1);
    cr_assert(after.route_match().configuration_index->config().version == 2);
}

Test(request_mapper, rejections_and_failures_have_different_status_codes) {
    RequestMapper mapper;
    cr_assert(mapper.rejection_answer(RejectionReason::Quota, 1500ms).status_code == 429);
    cr_assert(mapper.rejection_answer(RejectionReason::Quota, 1500ms).headers == "Retry-After: 1.500\r\n");
    cr_assert(mapper.rejection_answer(RejectionReason::Capacity, Duration(0)).status_code == 503);
    cr_assert(mapper.failure_answer(FailureReason::UpstreamFailed).status_code == 502);
    cr_assert(mapper.failure_answer(FailureReason::DeadlineExceeded).status_code == 504);
}

Test(upstream_codec, writes_target_instance_and_remaining_time) {
    Payload payload;
    payload.head = "GET /x HTTP/1.1\r\n";
    cr_assert(make_codec().write_request(payload, HostId{7}, 1700us) ==
              "GET /x HTTP/1.1\r\nX-Deadline-Remaining: 1\r\nX-Target-Instance: i-7\r\n\r\n");
    cr_assert(make_codec().write_health_check(HostId{7}, "10.0.0.1:80") ==
              "GET /health HTTP/1.1\r\nHost: 10.0.0.1:80\r\n\r\n");
}

Test(upstream_codec, response_matches_only_with_its_id_and_seal) {
    const UpstreamCodec codec = make_codec();
    const auto match_of = [&](const std::string& status, const std::string& headers) {
        const ParsedResponse response("HTTP/1.1 " + status + " X\r\n" + headers +
                                      "Content-Length: 2\r\n\r\nab");
        return codec.match_answer(kSentRequest, response.parser, response.buffer);
    };
    cr_assert(match_of("200", "X-Attempt-Id: 9c41\r\nX-Server-Seal: s\r\n") == AnswerMatch::Match);
    cr_assert(match_of("200", "X-Attempt-Id: 8888\r\nX-Server-Seal: s\r\n") == AnswerMatch::EarlierRequest);
    cr_assert(match_of("200", "X-Attempt-Id: 9c41\r\n") == AnswerMatch::Mismatch);
    cr_assert(match_of("200", "X-Server-Seal: s\r\n") == AnswerMatch::Mismatch);
    cr_assert(match_of("200", "X-Attempt-Id: 9c41\r\nX-Server-Seal: s\r\nContent-Encoding: gzip\r\n") ==
              AnswerMatch::Mismatch);
    cr_assert(match_of("503", "X-Not-Executed: 1\r\n") == AnswerMatch::Mismatch,
              "a 503 without an id may belong to another request");
    cr_assert(match_of("503", "X-Attempt-Id: 9c41\r\nX-Not-Executed: 1\r\n") == AnswerMatch::Match);
    cr_assert(match_of("500", "") == AnswerMatch::Mismatch,
              "a failure without an id may belong to another request, too");
    cr_assert(match_of("500", "X-Attempt-Id: 9c41\r\n") == AnswerMatch::Match);
    cr_assert(match_of("200", "X-Attempt-Id: 9c41\r\nX-Attempt-Id: 8888\r\nX-Server-Seal: s\r\n") ==
              AnswerMatch::Mismatch);
    cr_assert(match_of("500", "X-Attempt-Id: 9c41\r\nX-Attempt-Id: 9c41\r\n") == AnswerMatch::Mismatch);
}

Test(upstream_codec, only_an_explicit_statement_proves_that_nothing_was_executed) {
    const UpstreamCodec codec = make_codec();
    const auto outcome = [&](const std::string& status, const std::string& headers) {
        const ParsedResponse response("HTTP/1.1 " + status + " X\r\n" + headers +
                                      "Content-Length: 0\r\n\r\n");
        return codec.outcome_of(kSentRequest, response.parser, response.buffer);
    };
    cr_assert(outcome("503", "X-Not-Executed: 1\r\n") == Outcome::Full);
    cr_assert(outcome("429", "X-Not-Executed: 1\r\n") == Outcome::Full);
    cr_assert(outcome("421", "") == Outcome::Full);
    cr_assert(outcome("503", "") == Outcome::Error);
    cr_assert(outcome("500", "") == Outcome::Error);
    cr_assert(outcome("504", "") == Outcome::Error);
    cr_assert(outcome("429", "") == Outcome::Error);
    cr_assert(outcome("408", "") == Outcome::Error);
    cr_assert(outcome("404", "") == Outcome::Ok, "a valid result of the server");
    cr_assert(outcome("204", "") == Outcome::Ok);
}

Test(upstream_codec, distinguishes_another_instance_from_a_key_not_held) {
    std::vector<MisdirectionReason> reasons;
    const UpstreamCodec codec(
        [](HostId) {
            return std::optional<UpstreamCodec::Target>({"i-7", "/health"});
        },
        [&](HostId, MisdirectionReason reason) { reasons.push_back(reason); });
    for (const std::string headers : {"X-Instance-Id: i-8\r\n", "X-Instance-Id: i-7\r\n", ""}) {
        const ParsedResponse response("HTTP/1.1 421 X\r\n" + headers + "Content-Length: 0\r\n\r\n");
        codec.on_response(kSentRequest, response.parser, response.buffer);
    }
    const ParsedResponse other_status("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n");
    codec.on_response(kSentRequest, other_status.parser, other_status.buffer);
    using enum MisdirectionReason;
    cr_assert(reasons == std::vector<MisdirectionReason>({OtherInstance, KeyNotHeld, KeyNotHeld}));
}

Test(upstream_codec, forwards_status_and_headers_except_hop_by_hop_headers) {
    const ParsedResponse response(
        "HTTP/1.1 206 X\r\nX-Server-Seal: s\r\nConnection: close\r\nKeep-Alive: timeout=10\r\n"
        "Content-Length: 2\r\n\r\nab");
    const Payload payload = make_codec().answer_of(response.parser, response.buffer, true);
    cr_assert(payload.status_code == 206 && payload.head == "X-Server-Seal: s\r\n" && payload.body == "ab");
    cr_assert(make_codec().server_idle_timeout(response.parser, response.buffer) == Duration(10s));
}

// 503, 429 and 408 tell a client that nothing was executed, which holds only if the server sent
// X-Not-Executed.
Test(upstream_codec, unstated_promise_of_non_execution_is_not_forwarded) {
    for (const char* const status : {"503", "429", "408"}) {
        const ParsedResponse response(
            "HTTP/1.1 " + std::string(status) +
            " X\r\nX-Attempt-Id: 9c41\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\nab");
        cr_assert(make_codec().match_answer(kSentRequest, response.parser, response.buffer) ==
                  AnswerMatch::Match);
        const Payload payload = make_codec().answer_of(response.parser, response.buffer, true);
        cr_assert(payload.status_code == 502 && payload.head.empty() && payload.body.empty(), "%s", status);
    }
}
