// The command line of the system's programs, by gflags: --settings FILE (or the environment variable
// SHALETRAY_BOOT), --log_level LEVEL, --metrics_port PORT, --check, --version, --help.
#pragma once

#include <boost/leaf/result.hpp>
#include <optional>
#include <string>
#include <variant>

#include "base/runtime/settings_file.h"

namespace shaletray::runtime {

// What a process starts with.
struct Startup {
    std::string settings_path;
    std::string settings_text;    // the file's content when it was last read
    NodeSettings settings;
};

// The content of a file. Errors: SettingsError.
boost::leaf::result<std::string> read_file(const std::string& path);
// Parses the command line, sets the log's level and reads the settings. The int is the status with which the
// process has to exit, after one line that says why: the file was only to be checked (--check), or the
// command line or the settings are invalid.
std::variant<Startup, int> parse_command_line(int argc, char** argv, const std::string& program);
// Reads the settings file again. Its settings where its content has changed and is valid. An invalid file is
// logged, at most once a minute, and changes nothing.
std::optional<NodeSettings> reload_settings(Startup& startup);

}    // namespace shaletray::runtime
