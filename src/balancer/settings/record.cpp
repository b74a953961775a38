#include "balancer/settings/record.h"

#include <fstream>
#include <iterator>

namespace shaletray::settings {

ValuePtr resolve_settings(std::string_view text, const std::string& file, const char* schema_text,
                          const char* schema_name) {
    auto closed_schema = std::make_shared<Value>(*parse(schema_text, schema_name));
    closed_schema->is_closed = true;
    const ValuePtr schema = closed_schema;
    std::vector<Problem> problems;
    const ValuePtr unified = unify(schema, parse(text, file), "", problems);
    ValuePtr out = resolve_value(unified, "", problems);
    for (Problem& problem : problems) {    // a field that the file omits has a position only in the schema
        if (problem.position.file != file) problem.position = {file, 0, 0};
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
