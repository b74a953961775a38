#include "controller/configuration_loader.h"

#include <algorithm>
#include <utility>

#include "base/runtime/log_sink.h"

namespace shaletray::controller {
namespace {

// Number of concurrent proposals whose parsed configurations are cached; bounded because each takes memory.
constexpr std::size_t kMaxCheckedConfigurations = 4;

}    // namespace

bool ConfigurationLoader::check(std::string&& text, CheckCallback on_checked) {
    return validator_.validate(
        std::move(text), [this, on_checked = std::move(on_checked)](std::string parsed_text,
                                                                    ConfigurationValidator::Outcome outcome) {
            if (const auto* error = std::get_if<configuration::ConfigurationError>(&outcome))
                return on_checked(*error);
            configuration::Configuration& parsed = std::get<configuration::Configuration>(outcome);
            const std::uint64_t version = parsed.version;
            cache_checked(parsed_text, std::move(parsed));
            on_checked(ValidText{std::move(parsed_text), version});
        });
}

void ConfigurationLoader::cache_checked(const std::string& text, configuration::Configuration parsed) {
    checked_.push_back({text.size(), std::hash<std::string>{}(text), std::move(parsed)});
    if (checked_.size() > kMaxCheckedConfigurations) checked_.pop_front();
}

void ConfigurationLoader::load(const consensus::LogEntry& entry) {
    if (entry.version <= loaded_version_) return;
    loaded_version_ = entry.version;
    if (install_checked(entry)) return;
    const auto on_parsed = [this, version = entry.version](const std::string&,
                                                           ConfigurationValidator::Outcome outcome) {
        on_entry_parsed(version, std::move(outcome));
    };
    const bool is_queued = validator_.validate(std::string(entry.text), on_parsed);
    if (!is_queued) loaded_version_ = 0;
}

bool ConfigurationLoader::install_checked(const consensus::LogEntry& entry) {
    const std::size_t hash = std::hash<std::string>{}(entry.text);
    const auto is_entry = [&](const CheckedConfiguration& checked) {
        return checked.parsed.version == entry.version && checked.text_length == entry.text.size() &&
               checked.text_hash == hash;
    };
    const auto found = std::find_if(checked_.begin(), checked_.end(), is_entry);
    if (found == checked_.end()) return false;
    install_(std::move(found->parsed));
    checked_.clear();
    return true;
}

// Every text is checked before it is proposed, so an error means that the proposer runs a newer version that
// accepts more.
void ConfigurationLoader::on_entry_parsed(std::uint64_t version, ConfigurationValidator::Outcome outcome) {
    if (auto* parsed = std::get_if<configuration::Configuration>(&outcome))
        return install_(std::move(*parsed));
    runtime::log_event(LogLevel::Error, "committed_entry_unreadable", {log_field("version", version)});
}

}    // namespace shaletray::controller
