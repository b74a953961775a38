// The body of a heartbeat. What is wrong with it is an error code, and that names the field.
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value_to.hpp>
#include <boost/leaf/error.hpp>

#include "base/runtime/settings_file.h"
#include "cluster/registry/service_registry.h"

namespace shaletray::registry {

namespace json = boost::json;
namespace leaf = boost::leaf;

namespace {

constexpr std::size_t kLongestName = 256;
constexpr int kMostCapacity = 1'000'000;

enum class Fault { Body = 1, Address, Service, Revision, Zone, Capacity, State, Calls, Ramp };

class Faults : public boost::system::error_category {
public:
    const char* name() const noexcept override { return "heartbeat"; }
    std::string message(int fault) const override {
        switch (Fault{fault}) {
            case Fault::Body: return "body: not an object";
            case Fault::Address: return "address: not a text of an address";
            case Fault::Service: return "system_info.service: not a name";
            case Fault::Revision: return "system_info.revision: not a text";
            case Fault::Zone: return "system_info.zone: not a text";
            case Fault::Capacity: return "system_info.capacity: not a whole number from 1 to 1000000";
            case Fault::State: return "status.state: neither in_service nor draining";
            case Fault::Calls: return "status.call_count: not a whole number from 0 on";
            case Fault::Ramp: return "status.ramp_left: not a time as \"1500ms\" or \"2.5s\"";
        }
        return "body: wrong";
    }
};
boost::system::error_code wrong(Fault fault) {
    static const Faults kFaults;
    return {static_cast<int>(fault), kFaults};
}

// The first of these names that is there; null counts as left out.
const json::value* find(const json::object& in, std::string_view name, std::string_view or_else = {}) {
    const json::value* value = in.if_contains(name);
    if ((value == nullptr || value->is_null()) && !or_else.empty()) value = in.if_contains(or_else);
    return value == nullptr || value->is_null() ? nullptr : value;
}

bool read_text(const json::value* value, std::string& to, bool needed) {
    if (value == nullptr) return !needed;
    const json::string* text = value->if_string();
    if (text == nullptr || text->size() > kLongestName || (needed && text->empty())) return false;
    to.assign(text->data(), text->size());
    return true;
}

// From here on what the beat is made of, each with its tag_invoke.
struct SystemInfo {
    std::string service, revision, zone;
    int capacity = 1;
};
struct Status {
    State state = State::InService;
    std::uint64_t calls = 0;
    Duration ramp_left{0};
};

json::result<SystemInfo> tag_invoke(const json::try_value_to_tag<SystemInfo>&, const json::value& value) {
    const json::object* const from = value.if_object();
    if (from == nullptr) return wrong(Fault::Service);
    SystemInfo info;
    if (!read_text(find(*from, "service"), info.service, true)) return wrong(Fault::Service);
    if (!read_text(find(*from, "revision", "version"), info.revision, false)) return wrong(Fault::Revision);
    if (!read_text(find(*from, "zone"), info.zone, false)) return wrong(Fault::Zone);
    if (const json::value* capacity = find(*from, "capacity", "slots")) {
        boost::system::error_code error;
        info.capacity = capacity->is_number() ? capacity->to_number<int>(error) : 0;
        if (error || info.capacity < 1 || info.capacity > kMostCapacity) return wrong(Fault::Capacity);
    }
    return info;
}

json::result<Status> tag_invoke(const json::try_value_to_tag<Status>&, const json::value& value) {
    const json::object* const from = value.if_object();
    if (from == nullptr) return wrong(Fault::State);
    Status status;
    std::string text;
    if (!read_text(find(*from, "state"), text, true)) return wrong(Fault::State);
    if (text == "draining") status.state = State::Draining;
    else if (text != "in_service") return wrong(Fault::State);
    const json::value* const calls = find(*from, "call_count");
    boost::system::error_code error;
    if (calls == nullptr || !calls->is_number()) return wrong(Fault::Calls);
    status.calls = calls->to_number<std::uint64_t>(error);
    if (error) return wrong(Fault::Calls);
    if (const json::value* left = find(*from, "ramp_left")) {
        if (!read_text(left, text, true)) return wrong(Fault::Ramp);
        const auto ramp = runtime::read_time(text);
        if (!ramp) return wrong(Fault::Ramp);
        status.ramp_left = *ramp;
    }
    return status;
}

}    // namespace

static json::result<Server> tag_invoke(const json::try_value_to_tag<Server>&, const json::value& value) {
    const json::object* const from = value.if_object();
    if (from == nullptr) return wrong(Fault::Body);
    Server server;
    if (!read_text(find(*from, "address"), server.address, true) ||
        server.address.find(':') == std::string::npos)
        return wrong(Fault::Address);
    const json::value *info = find(*from, "system_info"), *status = find(*from, "status");
    if (info == nullptr) return wrong(Fault::Service);
    if (status == nullptr) return wrong(Fault::State);
    auto i = json::try_value_to<SystemInfo>(*info);
    if (!i) return i.error();
    const auto s = json::try_value_to<Status>(*status);
    if (!s) return s.error();
    server.service = std::move(i->service);
    server.revision = std::move(i->revision);
    server.zone = std::move(i->zone);
    server.capacity = i->capacity;
    server.state = s->state;
    server.calls = s->calls;
    server.ramp_left = s->ramp_left;
    return server;
}

leaf::result<Beat> read_beat(std::string_view id, std::string_view text) {
    if (id.empty() || id.size() > kLongestName) return leaf::new_error(std::string("id: none, or too long"));
    unsigned char room[4096];
    json::monotonic_resource memory(room, sizeof room);
    boost::system::error_code error;
    const json::value body = json::parse({text.data(), text.size()}, error, &memory);
    if (error) return leaf::new_error("body: " + error.message());
    auto server = json::try_value_to<Server>(body);
    if (!server) return leaf::new_error(server.error().message());
    server->id = std::string(id);
    return Beat{std::move(*server)};
}

}    // namespace shaletray::registry
