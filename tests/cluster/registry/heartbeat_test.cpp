// Tests of the heartbeat parser.
#include <criterion/criterion.h>

#include <boost/leaf/handle_errors.hpp>
#include <string>
#include <utility>
#include <vector>

#include "cluster/registry/service_registry.h"

using namespace shaletray;
using namespace shaletray::registry;
using namespace std::chrono_literals;

Test(heartbeat, parses_with_and_without_optional_fields) {
    const auto heartbeat = parse_heartbeat(
        "i-7f3a91c2",
        R"({"address":"10.128.0.9:8080","news":[1],"system_info":{"service":"huvo11a","revision":"v1","zone":"z",
            "capacity":2},"status":{"state":"draining","call_count":4,"ramp_left":"2.5s"}})");
    cr_assert(heartbeat.value().server.id == "i-7f3a91c2" && heartbeat->server.address == "10.128.0.9:8080");
    cr_assert(heartbeat->server.service == "huvo11a" && heartbeat->server.revision == "v1" &&
              heartbeat->server.zone == "z");
    cr_assert(heartbeat->server.capacity == 2 && heartbeat->server.state == State::Draining &&
              heartbeat->server.call_count == 4);
    cr_assert(heartbeat->server.slow_start_left == 2500ms);
    const auto minimal =
        parse_heartbeat("i", R"({"address":"a:1","system_info":{"service":"s","slots":3,"version":"v2"},
                                          "status":{"state":"in_service","call_count":0}})");
    cr_assert(minimal.value().server.capacity == 3 && minimal->server.revision == "v2");
}

Test(heartbeat, parses_held_key_ranges_and_skips_malformed_rows) {
    const auto with_rows = [](const std::string& held, const std::string& released) {
        return parse_heartbeat(
                   "i", R"({"address":"a:1","system_info":{"service":"s"},"status":{"state":"in_service",)"
                        R"("call_count":1},"held_duties":)" +
                            held + R"(,"released":)" + released + "}")
            .value();
    };
    const Heartbeat valid = with_rows("[[0,4095,7],[9000,9000,12]]", R"([[4096,65535,"5c0e"]])");
    cr_assert(valid.malformed_rows == 0);
    cr_assert(valid.holds.held == std::vector<ownership::HeldRange>({{{0, 4095}, 7}, {{9000, 9000}, 12}}));
    cr_assert(valid.holds.released == std::vector<ownership::ReleasedRange>({{{4096, 65535}, "5c0e"}}));
    for (const std::string row : {"[5,4,1]", "[0,65536,1]", "[-1,4,1]", "[0,1]", "[0,1,-1]", "[0,1,\"f\"]",
                                  "7", "[0.5,2,1]", "[0,1,2,3]"}) {
        const Heartbeat partial = with_rows("[" + row + ",[1,2,3]]", "[]");
        cr_assert(partial.malformed_rows == 1 && partial.holds.held.size() == 1, "%s", row.c_str());
    }
    cr_assert(with_rows("{}", "7").malformed_rows == 2);
    cr_assert(with_rows("null", "null").malformed_rows == 0);
}

Test(heartbeat, error_names_the_malformed_field) {
    const auto error_of = [](std::string_view body) {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::string> {
                BOOST_LEAF_CHECK(parse_heartbeat("i", body));
                return std::string("valid");
            },
            [](const std::string& text) { return text; }, [] { return std::string("unexpected error"); });
    };
    const std::string info = R"("system_info":{"service":"s"})",
                      status = R"("status":{"state":"draining","call_count":1)";
    const std::string address = R"({"address":"a:1",)";
    cr_assert(error_of(address + info + "," + status + "}}") == "valid");
    for (const auto& [body, field] : std::vector<std::pair<std::string, std::string>>{
             {"", "body:"},
             {"[]", "body:"},
             {"{}", "address:"},
             {R"({"address":7})", "address:"},
             {address + status + "}}", "system_info.service:"},
             {address + R"("system_info":{"service":""},)" + status + "}}", "system_info.service:"},
             {address + R"("system_info":{"service":"s","capacity":0},)" + status + "}}",
              "system_info.capacity:"},
             {address + info + "}", "status.state:"},
             {address + info + R"(,"status":{"state":"well","call_count":1}})", "status.state:"},
             {address + info + R"(,"status":{"state":"draining","call_count":-1}})", "status.call_count:"},
             {address + info + R"(,"status":{"state":"draining","call_count":1.5}})", "status.call_count:"},
             {address + info + "," + status + R"(,"ramp_left":"soon"}})", "status.ramp_left:"}})
        cr_assert(error_of(body).starts_with(field), "%s gives %s", body.c_str(), error_of(body).c_str());
}
