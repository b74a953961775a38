// Parses configuration texts: proposed texts are checked, committed texts are installed. A text that was
// checked here is not parsed again when it is committed.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <variant>

#include "cluster/configuration/configuration.h"
#include "cluster/consensus/replicated_register.h"
#include "controller/configuration_validator.h"

namespace shaletray::controller {

// For the reactor's thread only.
class ConfigurationLoader {
public:
    using InstallCallback = std::function<void(configuration::Configuration)>;
    // The text of a valid configuration and the configuration's version.
    struct ValidText {
        std::string text;
        std::uint64_t version = 0;
    };
    using CheckResult = std::variant<ValidText, configuration::ConfigurationError>;
    using CheckCallback = std::function<void(CheckResult)>;

    // `install` is called for committed configurations, at once or in a later turn. A short text may be
    // parsed before an older, long one, so an older version may be installed after a newer one.
    ConfigurationLoader(Reactor& reactor, InstallCallback install)
        : install_(std::move(install)), validator_(reactor) {}

    // Calls back at once or in a later turn. Returns false without a call if too many texts are queued.
    bool check(std::string&& text, CheckCallback on_checked);
    // Installs the entry's configuration, unless its version was loaded before. Does nothing if too many
    // texts are queued, and must then be called again later.
    void load(const consensus::LogEntry& entry);

private:
    // A configuration that was checked here and is not committed yet.
    struct CheckedConfiguration {
        std::size_t text_length = 0, text_hash = 0;
        configuration::Configuration parsed;
    };
    void cache_checked(const std::string& text, configuration::Configuration parsed);
    bool install_checked(const consensus::LogEntry& entry);
    void on_entry_parsed(std::uint64_t version, ConfigurationValidator::Outcome outcome);

    InstallCallback install_;
    std::deque<CheckedConfiguration> checked_;    // newest last
    std::uint64_t loaded_version_ = 0;            // newest version that was loaded or is being parsed
    ConfigurationValidator validator_;
};

}    // namespace shaletray::controller
