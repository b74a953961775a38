// Parses the JSON body of a heartbeat. Error codes name the malformed field.
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <boost/leaf/error.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "base/runtime/settings_file.h"
#include "cluster/registry/service_registry.h"

namespace shaletray::registry {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

// Limit for ids, names and addresses, in bytes.
constexpr std::size_t kMaxNameLength = 256;
constexpr int kMaxCapacity = 1'000'000;
// Holds the parsed form of a typical heartbeat without an allocation.
constexpr std::size_t kParseBufferBytes = 4096;

enum class HeartbeatError {
    Body = 1,
    Address,
    Service,
    Revision,
    Zone,
    Capacity,
    State,
    CallCount,
    SlowStart
};

class HeartbeatErrorCategory : public boost::system::error_category {
public:
    const char* name() const noexcept override { return "heartbeat"; }
    std::string message(int code) const override {
        switch (HeartbeatError{code}) {
            case HeartbeatError::Body: return "body: not an object";
            case HeartbeatError::Address: return "address: not a string of the form host:port";
            case HeartbeatError::Service: return "system_info.service: not a name";
            case HeartbeatError::Revision: return "system_info.revision: not a string";
            case HeartbeatError::Zone: return "system_info.zone: not a string";
            case HeartbeatError::Capacity: return "system_info.capacity: not an integer from 1 to 1000000";
            case HeartbeatError::State: return "status.state: neither in_service nor draining";
            case HeartbeatError::CallCount: return "status.call_count: not an integer of at least 0";
            case HeartbeatError::SlowStart:
                return "status.ramp_left: not a duration such as \"1500ms\" or \"2.5s\"";
        }
        return "body: invalid";
    }
};
boost::system::error_code field_error(HeartbeatError error) {
    static const HeartbeatErrorCategory kCategory;
    return {static_cast<int>(error), kCategory};
}

// Returns the field under the first of the names that is present; null counts as absent.
const json::value* find_field(const json::object& object, std::string_view name,
                              std::string_view alternative_name = {}) {
    const json::value* value = object.if_contains(name);
    if ((value == nullptr || value->is_null()) && !alternative_name.empty())
        value = object.if_contains(alternative_name);
    return value == nullptr || value->is_null() ? nullptr : value;
}

bool read_text(const json::value* value, std::string& target, bool required) {
    if (value == nullptr) return !required;
    const json::string* text = value->if_string();
    if (text == nullptr || text->size() > kMaxNameLength || (required && text->empty())) return false;
    target.assign(text->data(), text->size());
    return true;
}

// The parts of a heartbeat, each with a tag_invoke for conversion by Boost.JSON.
struct SystemInfo {
    std::string service;
    std::string revision;
    std::string zone;
    int capacity = 1;
};
struct Status {
    State state = State::InService;
    std::uint64_t call_count = 0;
    Duration slow_start_left{0};
};

json::result<SystemInfo> tag_invoke(const json::try_value_to_tag<SystemInfo>&, const json::value& value) {
    const json::object* const object = value.if_object();
    if (object == nullptr) return field_error(HeartbeatError::Service);
    SystemInfo info;
    if (!read_text(find_field(*object, "service"), info.service, true))
        return field_error(HeartbeatError::Service);
    if (!read_text(find_field(*object, "revision", "version"), info.revision, false))
        return field_error(HeartbeatError::Revision);
    if (!read_text(find_field(*object, "zone"), info.zone, false)) return field_error(HeartbeatError::Zone);
    if (const json::value* capacity = find_field(*object, "capacity", "slots")) {
        boost::system::error_code error;
        info.capacity = capacity->is_number() ? capacity->to_number<int>(error) : 0;
        if (error || info.capacity < 1 || info.capacity > kMaxCapacity)
            return field_error(HeartbeatError::Capacity);
    }
    return info;
}

json::result<Status> tag_invoke(const json::try_value_to_tag<Status>&, const json::value& value) {
    const json::object* const object = value.if_object();
    if (object == nullptr) return field_error(HeartbeatError::State);
    Status status;
    std::string text;
    if (!read_text(find_field(*object, "state"), text, true)) return field_error(HeartbeatError::State);
    if (text == "draining") status.state = State::Draining;
    else if (text != "in_service") return field_error(HeartbeatError::State);
    const json::value* const call_count = find_field(*object, "call_count");
    boost::system::error_code error;
    if (call_count == nullptr || !call_count->is_number()) return field_error(HeartbeatError::CallCount);
    status.call_count = call_count->to_number<std::uint64_t>(error);
    if (error) return field_error(HeartbeatError::CallCount);
    if (const json::value* slow_start_value = find_field(*object, "ramp_left")) {
        if (!read_text(slow_start_value, text, true)) return field_error(HeartbeatError::SlowStart);
        const auto slow_start = runtime::parse_duration(text);
        if (!slow_start) return field_error(HeartbeatError::SlowStart);
        status.slow_start_left = *slow_start;
    }
    return status;
}

}    // namespace

static json::result<Server> tag_invoke(const json::try_value_to_tag<Server>&, const json::value& value) {
    const json::object* const object = value.if_object();
    if (object == nullptr) return field_error(HeartbeatError::Body);
    Server server;
    if (!read_text(find_field(*object, "address"), server.address, true) ||
        server.address.find(':') == std::string::npos)
        return field_error(HeartbeatError::Address);
    const json::value *info = find_field(*object, "system_info"), *status = find_field(*object, "status");
    if (info == nullptr) return field_error(HeartbeatError::Service);
    if (status == nullptr) return field_error(HeartbeatError::State);
    auto parsed_info = json::try_value_to<SystemInfo>(*info);
    if (!parsed_info) return parsed_info.error();
    const auto parsed_status = json::try_value_to<Status>(*status);
    if (!parsed_status) return parsed_status.error();
    server.service = std::move(parsed_info->service);
    server.revision = std::move(parsed_info->revision);
    server.zone = std::move(parsed_info->zone);
    server.capacity = parsed_info->capacity;
    server.state = parsed_status->state;
    server.call_count = parsed_status->call_count;
    server.slow_start_left = parsed_status->slow_start_left;
    return server;
}

namespace {

// Maximum number of rows per list of key ranges; the size limit of a heartbeat permits no more.
constexpr std::size_t kMaxHoldRows = 1024;
constexpr std::size_t kHoldRowSize = 3;

std::optional<ownership::Key> read_key(const json::value& value) {
    boost::system::error_code error;
    const auto key = value.is_number() ? value.to_number<std::int64_t>(error) : -1;
    if (error || key < 0 || key >= std::int64_t{ownership::kKeyCount}) return std::nullopt;
    return static_cast<ownership::Key>(key);
}

std::optional<ownership::KeyRange> read_range(const json::array& row) {
    if (row.size() != kHoldRowSize) return std::nullopt;
    const auto first = read_key(row[0]), last = read_key(row[1]);
    if (!first || !last || *first > *last) return std::nullopt;
    return ownership::KeyRange{*first, *last};
}

std::optional<ownership::HeldRange> read_held(const json::array& row) {
    const auto keys = read_range(row);
    if (!keys || !row[2].is_number()) return std::nullopt;
    boost::system::error_code error;
    const auto fence = row[2].to_number<std::uint64_t>(error);
    if (error) return std::nullopt;
    return ownership::HeldRange{*keys, fence};
}

std::optional<ownership::ReleasedRange> read_released(const json::array& row) {
    const auto keys = read_range(row);
    std::string handover;
    if (!keys || !read_text(&row[2], handover, false)) return std::nullopt;
    return ownership::ReleasedRange{*keys, std::move(handover)};
}

// Reads the valid rows and returns the number of malformed ones.
template <class Range, class ReadRow>
std::size_t read_rows(const json::value* value, std::vector<Range>& ranges, const ReadRow& read_row) {
    if (value == nullptr) return 0;
    const json::array* const rows = value->if_array();
    if (rows == nullptr || rows->size() > kMaxHoldRows) return 1;
    std::size_t malformed = 0;
    for (const json::value& row : *rows) {
        const json::array* const cells = row.if_array();
        std::optional<Range> range = cells == nullptr ? std::nullopt : read_row(*cells);
        if (range) ranges.push_back(std::move(*range));
        else ++malformed;
    }
    return malformed;
}

}    // namespace

leaf::result<Heartbeat> parse_heartbeat(std::string_view id, std::string_view text) {
    if (id.empty() || id.size() > kMaxNameLength)
        return leaf::new_error(std::string("id: empty or too long"));
    unsigned char buffer[kParseBufferBytes];
    json::monotonic_resource memory(buffer, sizeof buffer);
    boost::system::error_code error;
    const json::value body = json::parse({text.data(), text.size()}, error, &memory);
    if (error) return leaf::new_error("body: " + error.message());
    auto server = json::try_value_to<Server>(body);
    if (!server) return leaf::new_error(server.error().message());
    server->id = std::string(id);
    Heartbeat heartbeat{std::move(*server)};
    const json::object& fields = body.get_object();
    heartbeat.malformed_rows = read_rows(find_field(fields, "held_duties"), heartbeat.holds.held, read_held);
    heartbeat.malformed_rows +=
        read_rows(find_field(fields, "released"), heartbeat.holds.released, read_released);
    return heartbeat;
}

}    // namespace shaletray::registry
