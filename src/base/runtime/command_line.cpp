#include "base/runtime/command_line.h"

#include <gflags/gflags.h>

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>

#include "base/common/log.h"
#include "base/runtime/log_sink.h"

DEFINE_string(settings, "", "the settings file; without it SHALETRAY_BOOT names it");
DEFINE_string(log_level, "info", "error, warning, info or debug");
DEFINE_int32(metrics_port, 0, "the port of this node's address at which GET /metrics is served; 0: none");
DEFINE_bool(check, false, "check the settings file, say what is wrong with it, and end");

namespace shaletray::runtime {

namespace leaf = boost::leaf;

namespace {

// Minimum interval between log lines about an invalid settings file, which is read again every few seconds.
constexpr std::chrono::seconds kRejectionLogInterval(60);

constexpr int kMaxPort = 65535;

// Prints why the process cannot start and returns its exit status.
int report_failure(const std::string& reason) {
    std::fprintf(stderr, "%s\n", reason.c_str());
    return EXIT_FAILURE;
}

// The path given on the command line or in the environment; empty if neither is set.
std::string settings_path() {
    if (!FLAGS_settings.empty()) return FLAGS_settings;
    const char* const environment_path = std::getenv("SHALETRAY_BOOT");
    return environment_path == nullptr ? std::string() : std::string(environment_path);
}

}    // namespace

leaf::result<std::string> read_file(const std::string& path) {
    std::ifstream stream(path, std::ios::binary);
    std::string text(std::istreambuf_iterator<char>(stream), {});
    if (!stream.is_open() || stream.bad()) return leaf::new_error(SettingsError{path + ": cannot be read"});
    return text;
}

std::variant<Startup, int> parse_command_line(int argc, char** argv, const std::string& program) {
    gflags::SetUsageMessage(program + " [--settings FILE] [--log_level LEVEL] [--check]");
    gflags::SetVersionString(SHALETRAY_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (argc > 1) return report_failure(std::string("unexpected argument: ") + argv[1]);
    if (!set_log_level(std::string_view(FLAGS_log_level)))
        return report_failure("--log_level: must be error, warning, info or debug");
    if (FLAGS_metrics_port < 0 || FLAGS_metrics_port > kMaxPort)
        return report_failure("--metrics_port: must be a port, or 0");
    Startup startup;
    startup.settings_path = settings_path();
    if (startup.settings_path.empty())
        return report_failure("neither --settings nor SHALETRAY_BOOT names a settings file");
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::variant<Startup, int>> {
            BOOST_LEAF_ASSIGN(startup.settings_text, read_file(startup.settings_path));
            BOOST_LEAF_ASSIGN(startup.settings, parse_node_settings(startup.settings_text));
            if (FLAGS_metrics_port > 0)
                startup.settings.metrics_address =
                    startup.settings.ip + ":" + std::to_string(FLAGS_metrics_port);
            if (!FLAGS_check) return startup;
            std::printf("%s: good\n", startup.settings_path.c_str());
            return EXIT_SUCCESS;
        },
        [&](const SettingsError& error) -> std::variant<Startup, int> {
            return report_failure(error.message);
        },
        [&]() -> std::variant<Startup, int> {
            return report_failure(startup.settings_path + ": cannot be used");
        });
}

std::optional<NodeSettings> reload_settings(Startup& startup) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<NodeSettings>> {
            BOOST_LEAF_AUTO(text, read_file(startup.settings_path));
            if (text == startup.settings_text) return std::optional<NodeSettings>();
            startup.settings_text = text;
            BOOST_LEAF_ASSIGN(startup.settings, parse_node_settings(text));
            log_event(LogLevel::Info, "settings_changed", {log_field("path", startup.settings_path)});
            return std::optional<NodeSettings>(startup.settings);
        },
        [](const SettingsError& error) -> std::optional<NodeSettings> {
            static LogRateLimiter log_limiter(kRejectionLogInterval);
            if (log_limiter.try_acquire())
                log_event(LogLevel::Warning, "settings_rejected", {log_field("reason", error.message)});
            return std::nullopt;
        },
        []() -> std::optional<NodeSettings> { return std::nullopt; });
}

}    // namespace shaletray::runtime
