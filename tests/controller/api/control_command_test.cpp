// Calls of servers and operators, decoded.
#include "controller/api/control_command.h"

#include <criterion/criterion.h>

#include <boost/leaf/handle_errors.hpp>

using namespace shaletray;
using namespace shaletray::control_api;

namespace {

constexpr std::string_view kBody =
    R"({"address":"10.128.0.9:8080","system_info":{"service":"s"},"status":{"state":"in_service","call_count":4}})";
constexpr std::string_view kDraining =
    R"({"address":"10.128.0.9:8080","system_info":{"service":"s"},"status":{"state":"draining","call_count":5}})";

Refused refused(std::string_view method, std::string_view target, std::string_view body = {}) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<Refused> {
            BOOST_LEAF_CHECK(decode(method, target, body));
            return Refused{200, {}, {}};
        },
        [](const Refused& r) { return r; },
        [] {
            return Refused{0, {}, {}};
        });
}

}    // namespace

Test(command, is_what_path_method_and_body_say) {
    const auto beat = decode("POST", "/members/i-7f3a91c2/heartbeat", kBody);
    cr_assert(std::get<Beat>(beat.value()).beat.server.id == "i-7f3a91c2");
    const auto leave = decode("POST", "/members/i-7f3a91c2/deregister?x=1", "");
    cr_assert(std::get<Deregister>(leave.value()).id == "i-7f3a91c2");
    const auto replace = decode("POST", "/configuration/replace", "{");
    cr_assert(std::get<Replace>(replace.value()).text == "{");
    cr_assert(std::holds_alternative<Read>(decode("GET", "/configuration/read", "").value()));
}

Test(command, is_refused_with_the_status_that_fits) {
    for (const char* target : {"/", "/members/heartbeat", "/members/a/b/heartbeat", "/members/a",
                               "/configuration", "/configuration/read/", "/members/a/beat"})
        cr_assert(refused("POST", target, kBody).status == 404, "%s", target);
    cr_assert(refused("GET", "/members/i/heartbeat").status == 405);
    cr_assert(refused("GET", "/configuration/replace").allow == "POST");
    cr_assert(refused("POST", "/configuration/read").allow == "GET");
    cr_assert(refused("POST", "/members//heartbeat", kBody).status == 400);
    cr_assert(refused("POST", "/members/i%0a/deregister").status == 400);
    const Refused wrong = refused("POST", "/members/i/heartbeat", "{}");
    cr_assert(wrong.status == 400 && wrong.why.starts_with("address:"));
    const std::string long_beat = std::string(kBody) + std::string(kLongestBeat, ' ');
    cr_assert(refused("POST", "/members/i/heartbeat", long_beat).status == 413);
    cr_assert(refused("POST", "/configuration/replace", long_beat).status == 200);
    cr_assert(longest_body("POST", "/members/i/heartbeat") == kLongestBeat);
    cr_assert(longest_body("POST", "/configuration/replace") == kLongestText);
    cr_assert(longest_body("POST", "/nowhere") == kLongestBeat);
}

Test(queue, lets_who_leaves_go_first_and_is_bounded) {
    Queue q(2);
    const auto push = [&](std::string_view method, std::string_view target, std::string_view body) {
        return q.push({decode(method, target, body).value(), {}, {}, {}});
    };
    cr_assert(push("POST", "/configuration/replace", "{}"));
    cr_assert(push("POST", "/members/a/heartbeat", kBody) && push("GET", "/configuration/read", ""));
    cr_assert(!push("POST", "/members/b/heartbeat", kBody));
    cr_assert(push("POST", "/members/c/heartbeat", kDraining) && push("POST", "/members/d/deregister", ""));
    cr_assert(q.size() == 5);
    cr_assert(std::get<Beat>(q.pop()->command).beat.server.id == "c");
    cr_assert(std::get<Deregister>(q.pop()->command).id == "d");
    cr_assert(std::get<Beat>(q.pop()->command).beat.server.id == "a");
    cr_assert(std::holds_alternative<Read>(q.pop()->command));
    cr_assert(std::holds_alternative<Replace>(q.pop()->command) && !q.pop() && q.size() == 0);
}
