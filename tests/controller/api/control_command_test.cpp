// Decoding of calls into commands, and the rejection of invalid calls.
#include "controller/api/control_command.h"

#include <criterion/criterion.h>

#include <boost/leaf/handle_errors.hpp>

#include "controller/api/heartbeat_bodies.h"

using namespace shaletray;
using namespace shaletray::control_api;

namespace {

CommandError command_error(std::string_view method, std::string_view target, std::string_view body = {}) {
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<CommandError> {
            BOOST_LEAF_CHECK(decode_command(method, target, body));
            return CommandError{HttpStatus::Ok, {}, {}};
        },
        [](const CommandError& error) { return error; },
        [] {
            return CommandError{HttpStatus{0}, {}, {}};
        });
}

}    // namespace

Test(control_command, is_decoded_from_path_method_and_body) {
    const auto heartbeat = decode_command("POST", "/members/i-7f3a91c2/heartbeat", kHeartbeatBody);
    cr_assert(std::get<HeartbeatCommand>(heartbeat.value()).heartbeat.server.id == "i-7f3a91c2");
    const auto deregister = decode_command("POST", "/members/i-7f3a91c2/deregister?x=1", "");
    cr_assert(std::get<Deregister>(deregister.value()).id == "i-7f3a91c2");
    const auto replace = decode_command("POST", "/configuration/replace", "{");
    cr_assert(std::get<ReplaceConfiguration>(replace.value()).text == "{");
    cr_assert(
        std::holds_alternative<ReadConfiguration>(decode_command("GET", "/configuration/read", "").value()));
}

Test(control_command, is_rejected_with_the_matching_status) {
    for (const char* target : {"/", "/members/heartbeat", "/members/a/b/heartbeat", "/members/a",
                               "/configuration", "/configuration/read/", "/members/a/beat"})
        cr_assert(command_error("POST", target, kHeartbeatBody).status == HttpStatus::NotFound, "%s", target);
    cr_assert(command_error("GET", "/members/i/heartbeat").status == HttpStatus::MethodNotAllowed);
    cr_assert(command_error("GET", "/configuration/replace").allowed_method == "POST");
    cr_assert(command_error("POST", "/configuration/read").allowed_method == "GET");
    cr_assert(command_error("POST", "/members//heartbeat", kHeartbeatBody).status == HttpStatus::BadRequest);
    cr_assert(command_error("POST", "/members/i%0a/deregister").status == HttpStatus::BadRequest);
    const CommandError error = command_error("POST", "/members/i/heartbeat", "{}");
    cr_assert(error.status == HttpStatus::BadRequest && error.message.starts_with("address:"));
    const std::string long_heartbeat = std::string(kHeartbeatBody) + std::string(kMaxHeartbeatSize, ' ');
    cr_assert(command_error("POST", "/members/i/heartbeat", long_heartbeat).status ==
              HttpStatus::PayloadTooLarge);
    cr_assert(command_error("POST", "/configuration/replace", long_heartbeat).status == HttpStatus::Ok);
    cr_assert(max_body_size("POST", "/members/i/heartbeat") == kMaxHeartbeatSize);
    cr_assert(max_body_size("POST", "/configuration/replace") == kMaxConfigurationSize);
    cr_assert(max_body_size("POST", "/nowhere") == kMaxHeartbeatSize);
}
