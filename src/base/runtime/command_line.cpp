#include "base/runtime/command_line.h"

#include <gflags/gflags.h>

#include <boost/leaf/error.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>

#include "base/common/log.h"
#include "base/runtime/log_sink.h"

DEFINE_string(settings, "", "the settings file; without it SHALETRAY_BOOT names it");
DEFINE_string(log_level, "info", "error, warning, info or debug");
DEFINE_bool(check, false, "check the settings file, say what is wrong with it, and end");

namespace shaletray::runtime {

namespace leaf = boost::leaf;

leaf::result<std::string> read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    std::string text(std::istreambuf_iterator<char>(in), {});
    if (!in.is_open() || in.bad()) return leaf::new_error(BadSettings{path + ": cannot be read"});
    return text;
}

std::variant<Start, int> begin(int argc, char** argv, const std::string& program) {
    gflags::SetUsageMessage(program + " [--settings FILE] [--log_level LEVEL] [--check]");
    gflags::SetVersionString(SHALETRAY_VERSION);
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto over = [](const std::string& why) {
        std::fprintf(stderr, "%s\n", why.c_str());
        return EXIT_FAILURE;
    };
    if (argc > 1) return over(std::string("not understood: ") + argv[1]);
    if (!set_log_level(std::string_view(FLAGS_log_level)))
        return over("--log_level: must be error, warning, info or debug");
    Start start;
    start.path = FLAGS_settings;
    if (const char* named = std::getenv("SHALETRAY_BOOT"); start.path.empty() && named != nullptr)
        start.path = named;
    if (start.path.empty()) return over("neither --settings nor SHALETRAY_BOOT names a settings file");
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::variant<Start, int>> {
            BOOST_LEAF_ASSIGN(start.text, read_file(start.path));
            BOOST_LEAF_ASSIGN(start.settings, read_settings(start.text));
            if (!FLAGS_check) return start;
            std::printf("%s: good\n", start.path.c_str());
            return EXIT_SUCCESS;
        },
        [&](const BadSettings& bad) -> std::variant<Start, int> { return over(bad.what); },
        [&]() -> std::variant<Start, int> { return over(start.path + ": cannot be used"); });
}

std::optional<NodeSettings> reread(Start& start) {
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<NodeSettings>> {
            BOOST_LEAF_AUTO(text, read_file(start.path));
            if (text == start.text) return std::optional<NodeSettings>();
            start.text = text;
            BOOST_LEAF_ASSIGN(start.settings, read_settings(text));
            event(LogLevel::Info, "settings_changed", {kv("path", start.path)});
            return std::optional<NodeSettings>(start.settings);
        },
        [](const BadSettings& bad) -> std::optional<NodeSettings> {
            static LogGate gate(std::chrono::seconds(60));
            if (gate.open()) event(LogLevel::Warning, "settings_not_taken", {kv("why", bad.what)});
            return std::nullopt;
        },
        []() -> std::optional<NodeSettings> { return std::nullopt; });
}

}    // namespace shaletray::runtime
