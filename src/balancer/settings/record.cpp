#include "balancer/settings/record.h"

#include <fstream>
#include <iterator>

namespace shaletray::settings {

ValuePtr resolve_settings(std::string_view text, const std::string& file, const char* schema_text,
                          const char* schema_name) {
    auto closed = std::make_shared<Value>(*parse(schema_text, schema_name));
    closed->is_closed = true;
    const ValuePtr schema = closed;
    std::vector<Problem> problems;
    const ValuePtr both = unify(schema, parse(text, file), "", problems);
    ValuePtr out = resolve_value(both, "", problems);
    for (Problem& p : problems) {    // a field that the file leaves out has its place in the schema only
        if (p.position.file != file) p.position = {file, 0, 0};
    }
    if (!problems.empty()) throw SettingsFileError(std::move(problems));
    return out;
}

std::string read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    std::string text(std::istreambuf_iterator<char>(in), {});
    if (!in.is_open() || in.bad()) throw_problem({path, 0, 0}, "", "cannot be read");
    return text;
}

}    // namespace shaletray::settings
