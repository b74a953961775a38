// Calls of servers and operators, decoded.
#include "controller/api/control_command.h"

#include <criterion/criterion.h>

#include <boost/leaf/handle_errors.hpp>

using namespace shaletray;
using namespace shaletray::control_api;

namespace {

constexpr std::string_view kHeartbeatBody =
    R"({"address":"10.128.0.9:8080","system_info":{"service":"s"},"status":{"state":"in_service","call_count":4}})";
constexpr std::string_view kDrainingBody =
    R"({"address":"10.128.0.9:8080","system_info":{"service":"s"},"status":{"state":"draining","call_count":5}})";

CommandError command_error(std::string_view method, std::string_view target, std::string_view body = {}) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<CommandError> {
            BOOST_LEAF_CHECK(decode_command(method, target, body));
            return CommandError{200, {}, {}};
        },
        [](const CommandError& error) { return error; },
        [] {
            return CommandError{0, {}, {}};
        });
}

}    // namespace

Test(command, is_what_path_method_and_body_say) {
    const auto heartbeat = decode_command("POST", "/members/i-7f3a91c2/heartbeat", kHeartbeatBody);
    cr_assert(std::get<HeartbeatCommand>(heartbeat.value()).heartbeat.server.id == "i-7f3a91c2");
    const auto deregister = decode_command("POST", "/members/i-7f3a91c2/deregister?x=1", "");
    cr_assert(std::get<Deregister>(deregister.value()).id == "i-7f3a91c2");
    const auto replace = decode_command("POST", "/configuration/replace", "{");
    cr_assert(std::get<ReplaceConfiguration>(replace.value()).text == "{");
    cr_assert(
        std::holds_alternative<ReadConfiguration>(decode_command("GET", "/configuration/read", "").value()));
}

Test(command, is_refused_with_the_status_that_fits) {
    for (const char* target : {"/", "/members/heartbeat", "/members/a/b/heartbeat", "/members/a",
                               "/configuration", "/configuration/read/", "/members/a/beat"})
        cr_assert(command_error("POST", target, kHeartbeatBody).status == 404, "%s", target);
    cr_assert(command_error("GET", "/members/i/heartbeat").status == 405);
    cr_assert(command_error("GET", "/configuration/replace").allowed_method == "POST");
    cr_assert(command_error("POST", "/configuration/read").allowed_method == "GET");
    cr_assert(command_error("POST", "/members//heartbeat", kHeartbeatBody).status == 400);
    cr_assert(command_error("POST", "/members/i%0a/deregister").status == 400);
    const CommandError error = command_error("POST", "/members/i/heartbeat", "{}");
    cr_assert(error.status == 400 && error.message.starts_with("address:"));
    const std::string long_heartbeat = std::string(kHeartbeatBody) + std::string(kMaxHeartbeatSize, ' ');
    cr_assert(command_error("POST", "/members/i/heartbeat", long_heartbeat).status == 413);
    cr_assert(command_error("POST", "/configuration/replace", long_heartbeat).status == 200);
    cr_assert(max_body_size("POST", "/members/i/heartbeat") == kMaxHeartbeatSize);
    cr_assert(max_body_size("POST", "/configuration/replace") == kMaxConfigurationSize);
    cr_assert(max_body_size("POST", "/nowhere") == kMaxHeartbeatSize);
}

Test(queue, lets_who_leaves_go_first_and_is_bounded) {
    CommandQueue queue(2);
    const auto push = [&](std::string_view method, std::string_view target, std::string_view body) {
        return queue.push({decode_command(method, target, body).value(), {}, {}, {}});
    };
    cr_assert(push("POST", "/configuration/replace", "{}"));
    cr_assert(push("POST", "/members/a/heartbeat", kHeartbeatBody) && push("GET", "/configuration/read", ""));
    cr_assert(!push("POST", "/members/b/heartbeat", kHeartbeatBody));
    cr_assert(push("POST", "/members/c/heartbeat", kDrainingBody) &&
              push("POST", "/members/d/deregister", ""));
    cr_assert(queue.size() == 5);
    cr_assert(std::get<HeartbeatCommand>(queue.pop()->command).heartbeat.server.id == "c");
    cr_assert(std::get<Deregister>(queue.pop()->command).id == "d");
    cr_assert(std::get<HeartbeatCommand>(queue.pop()->command).heartbeat.server.id == "a");
    cr_assert(std::holds_alternative<ReadConfiguration>(queue.pop()->command));
    cr_assert(std::holds_alternative<ReplaceConfiguration>(queue.pop()->command) && !queue.pop() &&
              queue.size() == 0);
}
