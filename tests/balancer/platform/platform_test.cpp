// Tests of parsing the platform's configuration, server lists and HTTP headers, with tables of cases.
#include <gtest/gtest.h>

#include "balancer/platform/gateway_config.h"
#include "balancer/platform/messages.h"
#include "decision/gateway_settings.h"

namespace shaletray {
namespace {

using namespace std::chrono_literals;
using decision::HostState;
using decision::ListKind;
using test::config_text;
using test::member;

const GatewayConfig& test_config() {
    static const GatewayConfig kConfig = parse_config(config_text("127.0.0.1:1"));
    return kConfig;
}

// The status that the request is rejected with, or 0.
int status_of(const std::string& start, const std::string& headers, IncomingRequest* request = nullptr) {
    http::Parser parser(http::Parser::Kind::Request);
    http::Buffer buffer;
    buffer.append(start + " HTTP/1.1\r\n" + headers + "\r\nab");
    if (parser.parse(buffer) != http::ParseStatus::Complete) return -1;
    auto read = read_request(parser, buffer, test_config());
    if (const auto* rejection = std::get_if<ImmediateRejection>(&read)) return rejection->status_code;
    if (request != nullptr) *request = std::get<IncomingRequest>(std::move(read));
    return 0;
}

const std::string kId = "X-Correlation-Id: 9b\r\n", kPlan = "X-Tier: capped\r\n",
                  kCookie = "Cookie: a=b; customer=00000000b4d65521\r\n",
                  kTerms = "X-Call-Terms: units=2,spread=1,first=0\r\n", kLeft = "X-Time-Left: 480m\r\n";

TEST(Requests, AreParsedOrRejected) {
    const std::string all = kId + kPlan + kCookie + kTerms + kLeft;
    const struct {
        std::string start, headers;
        int status;
    } cases[] = {
        {"GET /read", all, 0},
        {"GET /read/x?y=1", all, 0},
        {"GET /read?y=1", kId + kPlan + kCookie + kTerms, 0},
        {"POST /submit", all + "Idempotency-Key: k\r\n", 0},
        {"POST /submit", all, 400},
        {"POST /pay", all, 0},
        {"GET /read", all + "Content-Length: 2\r\n", 400},
        {"POST /read", all, 405},
        {"GET /submit", all, 405},
        {"GET /other", all, 404},
        {"GET /", all, 404},
        {"GET /read", kPlan + kCookie + kTerms, 400},
        {"GET /read", kId + kCookie + kTerms, 400},
        {"GET /read", kId + "X-Tier: gold\r\n" + kCookie + kTerms, 400},
        {"GET /read", kId + kPlan + kTerms, 400},
        {"GET /read", kId + kPlan + "Cookie: customer=xyz\r\n" + kTerms, 400},
        {"GET /read", kId + kPlan + kCookie, 400},
        {"GET /read", kId + kPlan + kCookie + "X-Call-Terms: units=2,spread=1\r\n", 400},
        {"GET /read", kId + kPlan + kCookie + "X-Call-Terms: units=0,spread=1,first=0\r\n", 400},
        {"GET /read", kId + kPlan + kCookie + "X-Call-Terms: units=nan,spread=1,first=0\r\n", 400},
        {"GET /read", kId + kPlan + kCookie + "X-Call-Terms: units=1e9,spread=1,first=0\r\n", 400},
        {"GET /read", kId + kPlan + kCookie + "X-Call-Terms: units=-2,spread=1,first=0\r\n", 400},
        {"GET /read", kId + kPlan + kCookie + "X-Call-Terms: units=1,spread=1,first=0,units=2\r\n", 400},
        {"GET /read", kId + kPlan + kCookie + "X-Call-Terms: units=x,units=2,spread=1,first=0\r\n", 400},
        {"GET /read", kId + kPlan + kCookie + "X-Call-Terms: units=2,spread=2,first=0\r\n", 400},
        {"GET /read", kId + kPlan + "Cookie: customer=0000000200000000\r\n" + kTerms, 400},
        {"GET /read", kId + kPlan + "Cookie: customer=00000001ffffffff\r\n" + kTerms, 0},
        {"GET /read",
         kId + kPlan + "Cookie: customer=0000000000000001; customer=0000000000000002\r\n" + kTerms, 400},
        {"GET /read", all + kId, 400},
        {"GET /read", all + "x-tier: open\r\n", 400},
        {"GET /read", all + "X-Time-Left: 1m\r\n", 400},
        {"GET /read", "X-Correlation-Id: " + std::string(300, 'x') + "\r\n" + kPlan + kCookie + kTerms, 400},
        {"GET /read", kId + kPlan + kCookie + "X-Call-Terms: units=2,spread=1,first=1\r\n", 400},
        {"GET /read", kId + kPlan + kCookie + kTerms + "X-Time-Left: 480\r\n", 400},
    };
    for (const auto& c : cases)
        EXPECT_EQ(status_of(c.start, c.headers), c.status) << c.start << "\n" << c.headers;
}

TEST(Requests, CarryWhatTheServerNeeds) {
    IncomingRequest request;
    ASSERT_EQ(status_of("GET /read/x?y=1", kId + kPlan + kCookie + kTerms + kLeft, &request), 0);
    EXPECT_EQ(request.customer, decision::CustomerId{0xb4d65521});
    EXPECT_EQ(request.plan_index, 1);
    EXPECT_EQ(request.units, 2.0);
    EXPECT_EQ(request.time_budget, 480ms);
    ASSERT_EQ(status_of("GET /read", kId + kPlan + kCookie + kTerms + "X-Time-Left: 9000m\r\n", &request), 0);
    EXPECT_EQ(request.time_budget, 2000ms);    // the limit of its class
    ASSERT_EQ(status_of("GET /read/x?y=1", kId + kPlan + kCookie + kTerms + kLeft, &request), 0);
    EXPECT_EQ(write_request(request.payload, 100us),
              "GET /read/x?y=1 HTTP/1.1\r\nX-Correlation-Id: 9b\r\nX-Time-Left: 100u\r\n\r\n");
}

TEST(Parsing, TimeLeft) {
    const struct {
        const char* text;
        bool is_valid;
        Duration time_left;
    } cases[] = {{"480m", true, 480ms}, {"15u", true, 15us}, {"1.5m", true, 1500us}, {"0m", true, 0us},
                 {"", false, {}},       {"480", false, {}},  {"m", false, {}},       {"-1m", false, {}},
                 {"1s", false, {}},     {"nanm", false, {}}, {"1e30m", false, {}},   {"4 m", false, {}}};
    for (const auto& c : cases) {
        Duration time_left{0};
        EXPECT_EQ(parse_time_left(c.text, time_left), c.is_valid) << c.text;
        EXPECT_EQ(time_left, c.time_left) << c.text;    // invalid texts leave the value unchanged
    }
}

TEST(Parsing, LoadReport) {
    EXPECT_EQ(parse_load("inflight=7, util=0.61,latency_ms=14.5,new=1"),
              (LoadReport{{"outstanding", 7}, {"utilization", 0.61}, {"recent_ms", 14.5}, {"new", 1}}));
    EXPECT_EQ(parse_load("inflight=x,util=nan,queue=2"), (LoadReport{{"backlog", 2}}));
    EXPECT_EQ(parse_load("nonsense"), LoadReport{});
    EXPECT_EQ(parse_load("inflight=-3,util=1e300,queue=2"), (LoadReport{{"backlog", 2}}));
}

TEST(Answers, StatusAndHeadersDetermineTheOutcome) {
    const struct {
        const char *status, *headers;
        Outcome outcome;
    } cases[] = {{"200 OK", "", Outcome::Ok},
                 {"500 E", "", Outcome::Error},
                 {"503 S", "X-Unprocessed: 1\r\n", Outcome::Full},
                 {"504 T", "x-unprocessed: 1\r\n", Outcome::Full},
                 {"503 S", "", Outcome::Error},
                 {"503 S", "X-Unprocessed: 0\r\n", Outcome::Error},
                 {"500 E", "X-Unprocessed: 1\r\n", Outcome::Error},
                 {"404 N", "", Outcome::Error}};
    for (const auto& c : cases) {
        http::Parser parser(http::Parser::Kind::Response);
        http::Buffer buffer;
        buffer.append(std::string("HTTP/1.1 ") + c.status + "\r\nContent-Length: 0\r\n" + c.headers + "\r\n");
        ASSERT_EQ(parser.parse(buffer), http::ParseStatus::Complete);
        EXPECT_EQ(outcome_of(parser, buffer), c.outcome) << c.status << " " << c.headers;
    }
    EXPECT_EQ(format_retry_after(250ms), "Retry-After: 0.250\r\n");
    EXPECT_EQ(format_retry_after(0ms), "");
}

TEST(Answers, ReportedUnitsAreParsedOrMalformed) {
    const std::pair<const char*, double> cases[] = {
        {"", kUnitsUnreported},
        {"X-Cost-Units: 3\r\n", 3.0},
        {"x-cost-units: 2.5\r\n", 2.5},
        {"X-Cost-Units: 0\r\n", kUnitsMalformed},
        {"X-Cost-Units: three\r\n", kUnitsMalformed},
        {"X-Cost-Units: nan\r\n", kUnitsMalformed},
        {"X-Cost-Units: 3\r\nX-Cost-Units: 3\r\n", kUnitsMalformed}};
    for (const auto& [headers, units] : cases) {
        http::Parser parser(http::Parser::Kind::Response);
        http::Buffer buffer;
        buffer.append(std::string("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n") + headers + "\r\n");
        ASSERT_EQ(parser.parse(buffer), http::ParseStatus::Complete);
        EXPECT_EQ(settled_units_of(parser, buffer), units) << headers;
    }
}

TEST(Configuration, ErrorsNameTheField) {
    const std::string valid_text = config_text("127.0.0.1:1");
    const struct {
        std::string from, to, expected;
    } cases[] = {{"{", "[", "not a JSON object"},
                 {"\"listen\"", "\"x\"", "listen"},
                 {"\"8c1f\"", "\"8g\"", "seed"},
                 {"\"sockets\":256", "\"sockets\":3", "sockets"},
                 {"\"settings\"", "\"x\"", "settings"},
                 {"\"classes\"", "\"x\"", "classes"},
                 {"\"safe\"", "\"sure\"", "idempotency"},
                 {"[\"127.0.0.1:9\"]", "[\"a\",\"b\"]", "peers"},
                 {"\"members\":[]", "\"members\":1", "known"}};
    for (const auto& c : cases) {
        std::string text = valid_text;
        text.replace(text.find(c.from), c.from.size(), c.to);
        try {
            parse_config(text);
            ADD_FAILURE() << c.from;
        } catch (const ConfigError& error) {
            EXPECT_NE(std::string(error.what()).find(c.expected), std::string::npos) << error.what();
        }
    }
    EXPECT_EQ(parse_config(valid_text).seed, 0x8c1fU);
}

HostMemberList list_of(const std::string& members, bool complete = true) {
    HostMemberList list;
    std::string error;
    const std::string text = std::string(R"({"revision":4,"complete":)") + (complete ? "true" : "false") +
                             R"(,"members":[)" + members + "]}";
    EXPECT_TRUE(parse_member_list(text, test_config().locations, list, error)) << error;
    return list;
}

TEST(Lists, AreParsedAndMalformedEntriesAreSkipped) {
    const HostMemberList list = list_of(member("a", "127.0.0.1:1", "in_service", 1234) + R"(,{"id":"b"},7,)" +
                                        member("c", "name:1") + "," + member("d", "127.0.0.1:0"));
    ASSERT_EQ(list.members.size(), 1U);
    EXPECT_EQ(list.skipped, 4U);
    EXPECT_EQ(list.members[0].entry.born, TimePoint(1234ms));
    EXPECT_EQ(list.members[0].entry.zone, 1);
    EXPECT_EQ(list.members[0].entry.kind, 1);
    EXPECT_EQ(list_of(member("a", "127.0.0.1:1")).members[0].entry.born, TimePoint{});
    HostMemberList ignored;
    std::string error;
    for (const char* bad : {"", "x", "[]", "{}", R"({"revision":1,"complete":true})",
                            R"({"revision":"1","complete":true,"members":[]})"}) {
        EXPECT_FALSE(parse_member_list(bad, test_config().locations, ignored, error)) << bad;
    }
}

TEST(Lists, HostIdsAgreeOnAllGatewaysAndAreUnique) {
    // These two ids have the same hash; the order of a list must not determine which server gets which host
    // id.
    const std::string one = member("costarring", "127.0.0.1:1"), other = member("liquid", "[::1]:2");
    HostDirectory a(250ms), b(250ms);
    const auto x = a.apply_list(list_of(one + "," + other), ListKind::Full, {});
    const auto y = b.apply_list(list_of(other + "," + one), ListKind::Full, {});
    ASSERT_EQ(x.hosts.size(), 2U);
    EXPECT_NE(x.hosts[0].host, x.hosts[1].host);
    for (std::size_t i = 0; i < 2; ++i)
        EXPECT_EQ(a.find_host(x.hosts[i].host)->id, b.find_host(x.hosts[i].host)->id);
}

TEST(Lists, DrainedOrRemovedServersGetNothingAfterTheGracePeriod) {
    HostDirectory hosts(250ms);
    const TimePoint start(100s);
    const HostId a =
        hosts.apply_list(list_of(member("a", "127.0.0.1:1")), ListKind::Full, start).hosts[0].host;
    EXPECT_TRUE(hosts.may_send_to(a, start + 9s));
    const HostMemberList draining_list = list_of(member("a", "127.0.0.1:1", "terminating"), false);
    hosts.apply_list(draining_list, ListKind::Delta, start + 1s);
    EXPECT_TRUE(hosts.may_send_to(a, start + 1s + 50ms));
    hosts.apply_list(draining_list, ListKind::Delta,
                     start + 1s + 200ms);    // listed again: the grace period does not restart
    EXPECT_FALSE(hosts.may_send_to(a, start + 1s + 240ms));
    hosts.apply_list(list_of(member("a", "127.0.0.1:1")), ListKind::Full, start + 2s);
    EXPECT_TRUE(hosts.may_send_to(a, start + 9s));
    hosts.apply_list(list_of(""), ListKind::Full,
                     start + 10s);    // a full list removes servers that it lacks
    EXPECT_FALSE(hosts.may_send_to(a, start + 10s));
    EXPECT_EQ(hosts.size(), 0U);
}

}    // namespace
}    // namespace shaletray
