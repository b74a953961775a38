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

std::string text_of(const Json& object, const char* name, bool must) {
    const auto it = object.find(name);
    if (it == object.end() || it->is_null()) {
        if (must) throw BadConfig(fmt::format("field {}: missing", name));
        return {};
    }
    if (!it->is_string()) throw BadConfig(fmt::format("field {}: not text", name));
    return it->get<std::string>();
}

std::vector<std::string> texts_of(const Json& object, const char* name) {
    std::vector<std::string> texts;
    const auto it = object.find(name);
    if (it == object.end() || it->is_null()) return texts;
    if (!it->is_array()) throw BadConfig(fmt::format("field {}: not a list", name));
    for (const Json& item : *it) {
        if (!item.is_string()) throw BadConfig(fmt::format("field {}: not a list of texts", name));
        texts.push_back(item.get<std::string>());
    }
    return texts;
}

Json object_of(const Json& object, const char* name) {
    const auto it = object.find(name);
    if (it == object.end() || it->is_null()) return Json::object();
    if (!it->is_object()) throw BadConfig(fmt::format("field {}: not an object", name));
    return *it;
}

double number_of(const Json& object, const char* name, double fallback) {
    const auto it = object.find(name);
    if (it == object.end() || it->is_null()) return fallback;
    if (!it->is_number()) throw BadConfig(fmt::format("field {}: not a number", name));
    return it->get<double>();
}

// The list of servers is data, and its entries' fields are checked where it is read.
std::set<std::string> fields_of(const Json& object, const std::string& within) {
    std::set<std::string> fields;
    for (const auto& [name, value] : object.items()) {
        const std::string path = within + name;
        fields.insert(path);
        if (path == "known") continue;
        if (value.is_object()) fields.merge(fields_of(value, path + "."));
        if (!value.is_array()) continue;
        std::optional<std::set<std::string>> all;
        for (const Json& item : value) {
            std::set<std::string> own;
            if (item.is_object()) own = fields_of(item, path + ".");
            if (!all) all = std::move(own);
            else std::erase_if(*all, [&](const std::string& field) { return !own.contains(field); });
        }
        if (all) fields.merge(*all);
    }
    return fields;
}

std::uint64_t seed_of(const std::string& text) {
    std::uint64_t seed = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
    if (error != std::errc{} || end != text.data() + text.size())
        throw BadConfig("field seed: not a number in hex digits");
    return seed;
}

// A name would be looked up at every new watch, and all clients would wait for that.
void check_discovery(const Config& config) {
    if (!is_numeric_address(config.discovery))
        throw BadConfig("field discovery: not a numeric address with a port");
}

void read_settings(const Json& settings, Config& config) {
    try {
        config.settings = decision::wire::parse_settings(settings);
    } catch (const decision::wire::BadMessage& error) {
        throw BadConfig(error.what());
    }
    if (config.settings.classes.empty()) throw BadConfig("field settings.classes: missing or empty");
    if (config.settings.plans.empty()) throw BadConfig("field settings.tiersOfService: missing or empty");
    config.places.zones = texts_of(settings, "zones");
    config.places.kinds = texts_of(settings, "kinds");
    for (const Json& item : settings.at("classes")) {
        config.class_index.push_back(static_cast<int>(config.class_index.size()));
        const auto stream = item.find("stream");
        config.streams.push_back(stream != item.end() && stream->is_boolean() && stream->get<bool>());
    }
    std::set<std::string> names;
    for (const decision::ClassSettings& c : config.settings.classes) {
        if (c.name.empty()) throw BadConfig("field settings.classes.name: missing or empty");
        if (!names.insert(c.name).second)
            throw BadConfig(fmt::format("field settings.classes.name: {} twice", c.name));
        if (c.give_up <= Duration(0))
            throw BadConfig(fmt::format("field settings.classes.hardLimit of {}: must be above 0", c.name));
    }
    if (config.settings.send_cap <= 0) throw BadConfig("field settings.limits.sendCap: must be above 0");
    const Json limits = object_of(settings, "limits");
    config.conn_idle = Duration(static_cast<std::int64_t>(number_of(limits, "connIdle", 15e6)));
    config.dial_timeout = Duration(static_cast<std::int64_t>(number_of(limits, "dialTimeout", 250e3)));
    if (config.conn_idle <= Duration(0)) throw BadConfig("field settings.limits.connIdle: must be above 0");
    if (config.dial_timeout <= Duration(0))
        throw BadConfig("field settings.limits.dialTimeout: must be above 0");
}

}    // namespace

Duration Config::longest_deadline() const {
    Duration longest{0};
    for (const auto& c : settings.classes) longest = std::max(longest, c.give_up);
    return longest;
}

Config parse_config(const std::string& text) {
    const Json json = Json::parse(text, nullptr, false);
    if (json.is_discarded() || !json.is_object()) throw BadConfig("not a JSON object");
    Config config;
    config.fields = fields_of(json, "");
    config.name = text_of(json, "name", false);
    config.listen = text_of(json, "listen", true);
    config.discovery = text_of(json, "discovery", true);
    config.admin = text_of(json, "admin_addr", false);
    config.peer_listen = text_of(json, "peer_listen", false);
    config.peers_all = text_of(json, "peers_all", false);
    check_discovery(config);
    config.peers = texts_of(json, "peers");
    if (const std::string seed = text_of(json, "seed", false); !seed.empty()) config.seed = seed_of(seed);
    const double sockets = number_of(object_of(json, "limits"), "sockets", 1024);
    if (!(sockets >= static_cast<double>(kFewestSockets) && sockets <= 1e6))
        throw BadConfig(fmt::format("field limits.sockets: must be {} to 1000000", kFewestSockets));
    config.sockets = static_cast<std::size_t>(sockets);
    config.memory_mb = number_of(object_of(json, "limits"), "memory_mb", config.memory_mb);
    if (!(config.memory_mb >= 1.0 && config.memory_mb <= 1e6))
        throw BadConfig("field limits.memory_mb: must be 1 to 1000000");
    const auto settings = json.find("settings");
    if (settings == json.end() || !settings->is_object())
        throw BadConfig("field settings: missing or not an object");
    read_settings(*settings, config);
    if (config.settings.may_tell && !config.peers.empty() &&
        config.peers.size() != static_cast<std::size_t>(config.settings.gateways)) {
        throw BadConfig(fmt::format("field peers: {} addresses for {} gateways", config.peers.size(),
                                    config.settings.gateways));
    }
    if (const auto known = json.find("known"); known != json.end() && known->is_object()) {
        std::string error;
        if (!parse_member_list(known->dump(), config.places, config.known, error))
            throw BadConfig("field known: " + error);
    }
    return config;
}

void check_whole(const Config& next, const Config& running) {
    for (const std::string& field : running.fields) {
        if (!next.fields.contains(field)) throw BadConfig(fmt::format("field {}: missing", field));
    }
}

Config config_from_file() {
    const char* const path = std::getenv("EDGE_CONFIG");
    if (path == nullptr || *path == '\0')
        throw BadConfig("EDGE_CONFIG is not set: it names the configuration");
    std::ifstream file(path, std::ios::binary);
    if (!file) throw BadConfig(fmt::format("{}: cannot be read", path));
    const std::string text(std::istreambuf_iterator<char>(file), {});
    try {
        return parse_config(text);
    } catch (const BadConfig& error) {
        throw BadConfig(fmt::format("{}: {}", path, error.what()));
    }
}

Config config_from_environment() {
    Config config = config_from_file();
    const auto override_with = [](const char* name, std::string& value) {
        if (const char* set = std::getenv(name); set != nullptr && *set != '\0') value = set;
    };
    override_with("EDGE_NAME", config.name);
    override_with("EDGE_LISTEN", config.listen);
    override_with("EDGE_DISCOVERY", config.discovery);
    override_with("EDGE_ADMIN_ADDR", config.admin);
    check_discovery(config);
    return config;
}

}    // namespace shaletray
