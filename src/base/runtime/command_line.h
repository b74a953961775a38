// The command line of the system's programs, by gflags: --settings FILE (else SHALETRAY_BOOT names it),
// --log_level LEVEL, --check, --version, --help.
#pragma once

#include <boost/leaf/result.hpp>
#include <optional>
#include <string>
#include <variant>

#include "base/runtime/settings_file.h"

namespace shaletray::runtime {

struct Startup {
    std::string settings_path, settings_text;    // of the settings file, as it was read
    NodeSettings settings;
};
// A whole file. Errors: BadSettings.
boost::leaf::result<std::string> read_file(const std::string& path);
// Sets the log's level. The other case is the status that the process ends with, after one line that says
// why: what was asked for is done (--check), or the command line or the settings are no good.
std::variant<Startup, int> parse_command_line(int argc, char** argv, const std::string& program);
// The file once more: its settings where it says something else than before and can be read. What cannot be
// read is logged once, and changes nothing.
std::optional<NodeSettings> reload_settings(Startup& startup);

}    // namespace shaletray::runtime
