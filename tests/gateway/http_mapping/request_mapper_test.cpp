// What clients' requests and servers' answers mean: fed as bytes, whole and cut anywhere.
#include "gateway/http_mapping/request_mapper.h"

#include <criterion/criterion.h>

#include <string>

namespace {

using namespace std::chrono_literals;
using namespace shaletray;
using namespace shaletray::http_mapping;

std::shared_ptr<const configuration::Table> table(std::uint64_t version = 1) {
    configuration::Chart c;
    c.version = version;
    configuration::Route claims;
    claims.name = "claims";
    claims.hostname = "a.example";
    claims.path_prefix = "/claims/";
    claims.kind = configuration::RouteKind::NonIdempotent;
    claims.timeout = 800ms;
    claims.priority = 3;
    claims.to = {{"pay", 1}};
    configuration::Route open = claims;
    open.name = "open";
    open.path_prefix = "/claims/open/";
    open.kind = configuration::RouteKind::Idempotent;
    open.is_public = true;
    c.routes = {claims, open};
    c.services = {{"pay", "/health", 10}};
    c.tenants = std::vector<configuration::Tenant>{{"norte", {"k1", "k2"}, 0, 5.0, 5.0},
                                                   {"sur", {"k3"}, {}, 0.0, 0.0}};
    return std::make_shared<const configuration::Table>(std::move(c));
}

struct Read {
    http::Buffer buffer;
    http::Parser parser{http::Parser::Kind::Request};
    std::variant<Taken, Rejection> result;

    const Taken& taken() const { return std::get<Taken>(result); }
    int status() const {
        const auto* r = std::get_if<Rejection>(&result);
        return r == nullptr ? 0 : r->status;
    }
    const Errand& errand() const { return *static_cast<const Errand*>(taken().arrival.purpose.get()); }
};

// In two pieces, cut at `cut`.
Read read(Passage& passage, const std::string& text, std::size_t cut = 0) {
    Read r;
    r.buffer.append(text.substr(0, cut));
    r.parser.parse(r.buffer);
    r.buffer.append(text.substr(cut));
    cr_assert(r.parser.parse(r.buffer) == http::Status::Done, "%s", text.c_str());
    r.result = passage.read(r.parser, r.buffer, TimePoint{});
    return r;
}

std::string ask(const std::string& path, const std::string& more, const std::string& body = "") {
    return "POST " + path + " HTTP/1.1\r\nHost: A.example:8045\r\nX-Attempt-Id: 9c41\r\n" + more +
           (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

struct Answer {
    http::Buffer buffer;
    http::Parser parser{http::Parser::Kind::Response};
    explicit Answer(const std::string& text) {
        buffer.append(text);
        cr_assert(parser.parse(buffer) == http::Status::Done, "%s", text.c_str());
    }
};

Tongue tongue() {
    return Tongue([](HostId host) -> std::optional<Tongue::Target> {
        if (host != HostId{7}) return std::nullopt;
        return Tongue::Target{"i-7", "/health"};
    });
}

const Asked kAsked{HostId{7}, false, "9c41"};

}    // namespace

Test(passage, passes_a_request_on_and_replaces_what_is_the_systems_own) {
    Passage passage;
    passage.chart(table());
    const std::string text =
        ask("/claims/7?x=1",
            "Authorization: bearer k2\r\nX-Tenant: forged\r\nX-Target-Instance: forged\r\n"
            "X-Deadline-Remaining: 500\r\nConnection: keep-alive, X-Hop\r\nX-Hop: 1\r\nX-Other: kept\r\n",
            "abc");
    for (std::size_t cut = 0; cut < text.size(); cut += 3) {
        const Read r = read(passage, text, cut);
        cr_assert(r.status() == 0);
        cr_assert(r.taken().arrival.payload.head ==
                  "POST /claims/7?x=1 HTTP/1.1\r\nHost: A.example:8045\r\nX-Attempt-Id: 9c41\r\n"
                  "X-Other: kept\r\nX-Tenant: norte\r\nContent-Length: 3\r\n");
        cr_assert(r.taken().arrival.payload.body == "abc");
        cr_assert(r.taken().arrival.budget == 500ms);
        cr_assert(!r.taken().overlaps);
        cr_assert(r.errand().priority() == 0);
    }
}

Test(passage, finds_route_and_key_or_says_which_is_missing) {
    Passage passage;
    cr_assert(read(passage, ask("/claims/7", "Authorization: Bearer k1\r\n")).status() == 503);
    passage.chart(table());
    cr_assert(read(passage, ask("/other/7", "Authorization: Bearer k1\r\n")).status() == 404);
    cr_assert(read(passage, ask("/claims/7", "")).status() == 401);
    cr_assert(read(passage, ask("/claims/7", "Authorization: Bearer k9\r\n")).status() == 401);
    cr_assert(read(passage, ask("/claims/7", "Authorization: Basic k1\r\n")).status() == 401);
    cr_assert(read(passage, ask("/claims/7", "Authorization: Bearer k1\r\nAuthorization: Bearer k3\r\n"))
                  .status() == 400);
    cr_assert(read(passage, ask("/claims/7", "Authorization: Bearer k1\r\nX-Deadline-Remaining: soon\r\n"))
                  .status() == 400);
    const Read open = read(passage, ask("/claims/open/7", ""));
    cr_assert(open.taken().overlaps && open.errand().tenant == nullptr);
    cr_assert(open.errand().route->name == "open");
    const Read sur = read(passage, ask("/claims/7", "Authorization: Bearer k3\r\n"));
    cr_assert(sur.errand().priority() == 3, "the route's, where the tenant has none");
    cr_assert(sur.taken().arrival.budget == 800ms);
}

Test(passage, a_request_goes_by_the_chart_that_it_came_under) {
    Passage passage;
    passage.chart(table(1));
    const Read before = read(passage, ask("/claims/7", "Authorization: Bearer k1\r\n"));
    passage.chart(table(2));
    const Read after = read(passage, ask("/claims/7", "Authorization: Bearer k1\r\n"));
    cr_assert(before.errand().table->chart().version == 1);
    cr_assert(after.errand().table->chart().version == 2);
}

Test(passage, only_what_has_not_run_is_refused) {
    Passage passage;
    cr_assert(passage.refused(Refusal::Quota, 1500ms).status == 429);
    cr_assert(passage.refused(Refusal::Quota, 1500ms).headers == "Retry-After: 1.500\r\n");
    cr_assert(passage.refused(Refusal::Room, Duration(0)).status == 503);
    cr_assert(passage.failed(Failure::Broken).status == 502);
    cr_assert(passage.failed(Failure::Late).status == 504);
}

Test(tongue, names_the_server_and_what_is_left) {
    Payload p;
    p.head = "GET /x HTTP/1.1\r\n";
    cr_assert(tongue().write_request(p, HostId{7}, 1700us) ==
              "GET /x HTTP/1.1\r\nX-Deadline-Remaining: 1\r\nX-Target-Instance: i-7\r\n\r\n");
    cr_assert(tongue().write_probe(HostId{7}, "10.0.0.1:80") ==
              "GET /health HTTP/1.1\r\nHost: 10.0.0.1:80\r\n\r\n");
}

Test(tongue, an_answer_counts_only_with_its_id_and_its_seal) {
    const Tongue t = tongue();
    const auto fits = [&](const std::string& status, const std::string& headers) {
        const Answer a("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: 2\r\n\r\nab");
        return t.fits(kAsked, a.parser, a.buffer);
    };
    cr_assert(fits("200", "X-Attempt-Id: 9c41\r\nX-Server-Seal: s\r\n") == Fits::Yes);
    cr_assert(fits("200", "X-Attempt-Id: 8888\r\nX-Server-Seal: s\r\n") == Fits::Surplus);
    cr_assert(fits("200", "X-Attempt-Id: 9c41\r\n") == Fits::No);
    cr_assert(fits("200", "X-Server-Seal: s\r\n") == Fits::No);
    cr_assert(fits("200", "X-Attempt-Id: 9c41\r\nX-Server-Seal: s\r\nContent-Encoding: gzip\r\n") ==
              Fits::No);
    cr_assert(fits("503", "X-Not-Executed: 1\r\n") == Fits::No, "a promise without an id may be another's");
    cr_assert(fits("503", "X-Attempt-Id: 9c41\r\nX-Not-Executed: 1\r\n") == Fits::Yes);
    cr_assert(fits("500", "") == Fits::No, "a failure without an id may be another's too");
    cr_assert(fits("500", "X-Attempt-Id: 9c41\r\n") == Fits::Yes);
    cr_assert(fits("200", "X-Attempt-Id: 9c41\r\nX-Attempt-Id: 8888\r\nX-Server-Seal: s\r\n") == Fits::No);
    cr_assert(fits("500", "X-Attempt-Id: 9c41\r\nX-Attempt-Id: 9c41\r\n") == Fits::No);
}

Test(tongue, only_the_servers_word_says_that_it_did_not_run) {
    const Tongue t = tongue();
    const auto outcome = [&](const std::string& status, const std::string& headers) {
        const Answer a("HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: 0\r\n\r\n");
        return t.outcome_of(kAsked, a.parser, a.buffer);
    };
    cr_assert(outcome("503", "X-Not-Executed: 1\r\n") == Outcome::Full);
    cr_assert(outcome("429", "X-Not-Executed: 1\r\n") == Outcome::Full);
    cr_assert(outcome("421", "") == Outcome::Full);
    cr_assert(outcome("503", "") == Outcome::Error);
    cr_assert(outcome("500", "") == Outcome::Error);
    cr_assert(outcome("504", "") == Outcome::Error);
    cr_assert(outcome("429", "") == Outcome::Error);
    cr_assert(outcome("408", "") == Outcome::Error);
    cr_assert(outcome("404", "") == Outcome::Ok, "an answer of its own");
    cr_assert(outcome("204", "") == Outcome::Ok);
}

Test(tongue, passes_status_and_headers_on_but_for_the_connections_own) {
    const Answer a(
        "HTTP/1.1 206 X\r\nX-Server-Seal: s\r\nConnection: close\r\nKeep-Alive: timeout=10\r\n"
        "Content-Length: 2\r\n\r\nab");
    const Payload p = tongue().answer_of(a.parser, a.buffer, true);
    cr_assert(p.status == 206 && p.head == "X-Server-Seal: s\r\n" && p.body == "ab");
    cr_assert(tongue().idle_limit(a.parser, a.buffer) == Duration(10s));
}

// 503, 429 and 408 promise a client that nothing ran; without X-Not-Executed no server said so.
Test(tongue, a_promise_that_no_server_gave_is_not_passed_on) {
    for (const char* const status : {"503", "429", "408"}) {
        const Answer a("HTTP/1.1 " + std::string(status) +
                       " X\r\nX-Attempt-Id: 9c41\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\nab");
        cr_assert(tongue().fits(kAsked, a.parser, a.buffer) == Fits::Yes);
        const Payload p = tongue().answer_of(a.parser, a.buffer, true);
        cr_assert(p.status == 502 && p.head.empty() && p.body.empty(), "%s", status);
    }
}
