#include "base/common/metric_label.h"

namespace shaletray {

std::string escape_label(std::string_view text) {
    std::string escaped;
    for (const char character : text) {
        if (character == '\\' || character == '"') escaped += '\\';
        if (character == '\n') escaped += "\\n";
        else escaped += character;
    }
    return escaped;
}

}    // namespace shaletray
