// Heartbeat bodies in the format that servers send.
#pragma once

#include <string_view>

namespace shaletray::control_api {

constexpr std::string_view kHeartbeatBody =
    R"({"address":"10.128.0.9:8080","system_info":{"service":"s"},"status":{"state":"in_service","call_count":4}})";
constexpr std::string_view kDrainingBody =
    R"({"address":"10.128.0.9:8080","system_info":{"service":"s"},"status":{"state":"draining","call_count":5}})";

}    // namespace shaletray::control_api
