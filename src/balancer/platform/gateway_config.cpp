#include "balancer/platform/gateway_config.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>

#include "decision/wire/wire_codec.h"

namespace shaletray {
namespace {

using Json = nlohmann::json;

std::string text_field(const Json& object, const char* name, bool is_required) {
    const auto it = object.find(name);
    if (it == object.end() || it->is_null()) {
        if (is_required) throw ConfigError(fmt::format("field {}: missing", name));
        return {};
    }
    if (!it->is_string()) throw ConfigError(fmt::format("field {}: not a string", name));
    return it->get<std::string>();
}

std::vector<std::string> text_list_field(const Json& object, const char* name) {
    std::vector<std::string> texts;
    const auto it = object.find(name);
    if (it == object.end() || it->is_null()) return texts;
    if (!it->is_array()) throw ConfigError(fmt::format("field {}: not a list", name));
    for (const Json& item : *it) {
        if (!item.is_string()) throw ConfigError(fmt::format("field {}: not a list of strings", name));
        texts.push_back(item.get<std::string>());
    }
    return texts;
}

Json object_field(const Json& object, const char* name) {
    const auto it = object.find(name);
    if (it == object.end() || it->is_null()) return Json::object();
    if (!it->is_object()) throw ConfigError(fmt::format("field {}: not an object", name));
    return *it;
}

double number_field(const Json& object, const char* name, double fallback) {
    const auto it = object.find(name);
    if (it == object.end() || it->is_null()) return fallback;
    if (!it->is_number()) throw ConfigError(fmt::format("field {}: not a number", name));
    return it->get<double>();
}

// Paths of all fields below `object`. "known" is not descended into: the entries of the server list are
// checked when they are parsed.
std::set<std::string> field_names(const Json& object, const std::string& within) {
    std::set<std::string> fields;
    for (const auto& [name, value] : object.items()) {
        const std::string path = within + name;
        fields.insert(path);
        if (path == "known") continue;
        if (value.is_object()) fields.merge(field_names(value, path + "."));
        if (!value.is_array()) continue;
        std::optional<std::set<std::string>> all;
        for (const Json& item : value) {
            std::set<std::string> own;
            if (item.is_object()) own = field_names(item, path + ".");
            if (!all) all = std::move(own);
            else std::erase_if(*all, [&](const std::string& field) { return !own.contains(field); });
        }
        if (all) fields.merge(*all);
    }
    return fields;
}

std::uint64_t derive_seed(const std::string& text) {
    std::uint64_t seed = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
    if (error != std::errc{} || end != text.data() + text.size())
        throw ConfigError("field seed: not a hexadecimal number");
    return seed;
}

// A host name would be resolved at each reconnect, which would block all clients.
void check_discovery(const GatewayConfig& config) {
    if (!is_numeric_address(config.discovery_address))
        throw ConfigError("field discovery: not a numeric address with a port");
}

void parse_module_settings(const Json& settings, GatewayConfig& config) {
    try {
        config.settings = decision::wire::parse_settings(settings);
    } catch (const decision::wire::BadMessage& error) {
        throw ConfigError(error.what());
    }
    if (config.settings.classes.empty()) throw ConfigError("field settings.classes: missing or empty");
    if (config.settings.plans.empty()) throw ConfigError("field settings.tiersOfService: missing or empty");
    config.locations.zones = text_list_field(settings, "zones");
    config.locations.kinds = text_list_field(settings, "kinds");
    for (const Json& item : settings.at("classes")) {
        config.engine_class_indexes.push_back(static_cast<int>(config.engine_class_indexes.size()));
        const auto stream = item.find("stream");
        config.streams_by_class.push_back(stream != item.end() && stream->is_boolean() &&
                                          stream->get<bool>());
    }
    std::set<std::string> names;
    for (const decision::ClassSettings& c : config.settings.classes) {
        if (c.name.empty()) throw ConfigError("field settings.classes.name: missing or empty");
        if (!names.insert(c.name).second)
            throw ConfigError(fmt::format("field settings.classes.name: {} is defined twice", c.name));
        if (c.give_up <= Duration(0))
            throw ConfigError(fmt::format("field settings.classes.hardLimit of {}: must be above 0", c.name));
    }
    if (config.settings.send_cap <= 0) throw ConfigError("field settings.limits.sendCap: must be above 0");
    const Json limits = object_field(settings, "limits");
    config.connection_idle_timeout =
        Duration(static_cast<std::int64_t>(number_field(limits, "connIdle", 15e6)));
    config.dial_timeout = Duration(static_cast<std::int64_t>(number_field(limits, "dialTimeout", 250e3)));
    if (config.connection_idle_timeout <= Duration(0))
        throw ConfigError("field settings.limits.connIdle: must be above 0");
    if (config.dial_timeout <= Duration(0))
        throw ConfigError("field settings.limits.dialTimeout: must be above 0");
}

}    // namespace

Duration GatewayConfig::max_deadline() const {
    Duration longest{0};
    for (const auto& c : settings.classes) longest = std::max(longest, c.give_up);
    return longest;
}

GatewayConfig parse_config(const std::string& text) {
    const Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded() || !json.is_object()) throw ConfigError("not a JSON object");
    GatewayConfig config;
    config.present_fields = field_names(json, "");
    config.name = text_field(json, "name", false);
    config.listen_address = text_field(json, "listen", true);
    config.discovery_address = text_field(json, "discovery", true);
    config.admin_address = text_field(json, "admin_addr", false);
    config.peer_listen_address = text_field(json, "peer_listen", false);
    config.all_peer_addresses = text_field(json, "peers_all", false);
    check_discovery(config);
    config.peers = text_list_field(json, "peers");
    if (const std::string seed = text_field(json, "seed", false); !seed.empty())
        config.seed = derive_seed(seed);
    const double sockets = number_field(object_field(json, "limits"), "sockets", 1024);
    if (!(sockets >= static_cast<double>(kMinSockets) && sockets <= 1e6))
        throw ConfigError(fmt::format("field limits.sockets: must be {} to 1000000", kMinSockets));
    config.max_sockets = static_cast<std::size_t>(sockets);
    config.max_memory_mb = number_field(object_field(json, "limits"), "memory_mb", config.max_memory_mb);
    if (!(config.max_memory_mb >= 1.0 && config.max_memory_mb <= 1e6))
        throw ConfigError("field limits.memory_mb: must be 1 to 1000000");
    const auto settings = json.find("settings");
    if (settings == json.end() || !settings->is_object())
        throw ConfigError("field settings: missing or not an object");
    parse_module_settings(*settings, config);
    if (config.settings.may_tell && !config.peers.empty() &&
        config.peers.size() != static_cast<std::size_t>(config.settings.gateways)) {
        throw ConfigError(fmt::format("field peers: {} addresses for {} gateways", config.peers.size(),
                                      config.settings.gateways));
    }
    if (const auto known = json.find("known"); known != json.end() && known->is_object()) {
        std::string error;
        if (!parse_member_list(known->dump(), config.locations, config.known_hosts, error))
            throw ConfigError("field known: " + error);
    }
    return config;
}

void check_reloadable(const GatewayConfig& next, const GatewayConfig& running) {
    for (const std::string& field : running.present_fields) {
        if (!next.present_fields.contains(field)) throw ConfigError(fmt::format("field {}: missing", field));
    }
}

GatewayConfig config_from_file() {
    const char* const path = std::getenv("EDGE_CONFIG");
    if (path == nullptr || *path == '\0')
        throw ConfigError("EDGE_CONFIG is not set: it must name the configuration file");
    std::ifstream file(path, std::ios::binary);
    if (!file) throw ConfigError(fmt::format("{}: cannot be read", path));
    const std::string text(std::istreambuf_iterator<char>(file), {});
    try {
        return parse_config(text);
    } catch (const ConfigError& error) {
        throw ConfigError(fmt::format("{}: {}", path, error.what()));
    }
}

GatewayConfig config_from_environment() {
    GatewayConfig config = config_from_file();
    const auto override_with = [](const char* name, std::string& value) {
        if (const char* set = std::getenv(name); set != nullptr && *set != '\0') value = set;
    };
    override_with("EDGE_NAME", config.name);
    override_with("EDGE_LISTEN", config.listen_address);
    override_with("EDGE_DISCOVERY", config.discovery_address);
    override_with("EDGE_ADMIN_ADDR", config.admin_address);
    check_discovery(config);
    return config;
}

}    // namespace shaletray
