// Assigns the fields of the settings file to NodeSettings by their names.
#pragma once

#include <boost/leaf/result.hpp>
#include <string>

#include "base/runtime/settings_file.h"

namespace shaletray::runtime {

// Applies one line of the file. Unknown fields are ignored: a file may serve several programs and versions.
// Errors: SettingsError.
boost::leaf::result<void> apply_setting(NodeSettings& settings, const std::string& field,
                                        const std::string& text);

}    // namespace shaletray::runtime
