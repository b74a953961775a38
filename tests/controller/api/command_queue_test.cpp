// The order in which queued commands are executed, and the bound on their number.
#include "controller/api/command_queue.h"

#include <criterion/criterion.h>

#include "controller/api/heartbeat_bodies.h"

using namespace shaletray;
using namespace shaletray::control_api;

Test(command_queue, runs_departures_first_and_is_bounded) {
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
