// The command line of the system's programs, by gflags: --settings FILE (or the environment variable
// SHALETRAY_BOOT), --log_level LEVEL, --metrics_port PORT, --check, --version, --help.
#pragma once

#include <boost/leaf/result.hpp>
#include <optional>
#include <string>
#include <variant>

#include "base/runtime/settings_file.h"

namespace shaletray::runtime {

// The settings of a process, and the file that they were read from.
struct Startup {
    std::string settings_path;
    std::string settings_text;    // the file's content when it was last read
    NodeSettings settings;
};

// The content of a file. Errors: SettingsError.
boost::leaf::result<std::string> read_file(const std::string& path);
// Parses the command line, sets the log level and reads the settings. An int is the process's exit status:
// the file was only to be checked (--check), or the command line or the settings are invalid, which is
// printed in one line.
std::variant<Startup, int> parse_command_line(int argc, char** argv, const std::string& program);
// Reads the settings file again and returns its settings if its content has changed and is valid. An invalid
// file is logged, at most once a minute, and changes nothing.
std::optional<NodeSettings> reload_settings(Startup& startup);

}    // namespace shaletray::runtime
