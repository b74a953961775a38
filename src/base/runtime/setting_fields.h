// The fields of the settings file by their names.
#pragma once

#include <boost/leaf/result.hpp>
#include <string>

#include "base/runtime/settings_file.h"

namespace shaletray::runtime {

// Applies one line of the file. Unknown fields are ignored: a file may be meant for several programs and
// versions. Errors: SettingsError.
boost::leaf::result<void> apply_setting(NodeSettings& settings, const std::string& field,
                                        const std::string& text);

}    // namespace shaletray::runtime
