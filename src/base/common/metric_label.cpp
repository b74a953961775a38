#include "base/common/metric_label.h"

namespace shaletray {

std::string escape_label(std::string_view text) {
    std::string escaped;
    for (const char c : text) {
        if (c == '\\' || c == '"') escaped += '\\';
        if (c == '\n') escaped += "\\n";
        else escaped += c;
    }
    return escaped;
}

}    // namespace shaletray
