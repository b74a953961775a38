#include "cluster/configuration/table_reader.h"

namespace shaletray::configuration {

namespace json = boost::json;

bool TableReader::begin() {
    if (is_present_) return fail_section("", "appears more than once");
    is_present_ = true;
    return true;
}

bool TableReader::read_columns(const json::value& value) {
    const json::array* const names = value.if_array();
    if (names == nullptr) return fail_section("columns", message_of(ValueError::NotArray));
    if (has_columns_) return fail_section("columns", "appears more than once");
    has_columns_ = true;
    for (const json::value& cell : *names) {
        const json::string* const name = cell.if_string();
        if (name == nullptr) return fail_section("columns", "contains a value that is not a string");
        const std::optional<std::size_t> column = find_column({name->data(), name->size()});
        if (column && std::find(columns_.begin(), columns_.end(), column) != columns_.end())
            return fail_section("columns", std::string(column_name(*column)) + " appears more than once");
        columns_.push_back(column);
    }
    return true;
}

bool TableReader::begin_rows() {
    if (has_rows_) return fail_section("rows", "appears more than once");
    has_rows_ = true;
    return true;
}

bool TableReader::read_row(const json::value& value) {
    ++row_count_;
    const json::array* const cells = value.if_array();
    if (cells == nullptr) return fail_cell("", ValueError::NotArray);
    if (cells->size() != columns_.size())
        return fail_cell("", "has " + std::to_string(cells->size()) + " values for " +
                                 std::to_string(columns_.size()) + " columns");
    begin_entry();
    for (std::size_t i = 0; i < cells->size(); ++i) {
        const json::value& cell = (*cells)[i];
        if (!columns_[i] || cell.is_null()) continue;
        if (!read_cell(*columns_[i], cell)) return false;
    }
    return finish_entry();
}

bool TableReader::check_complete(bool required) {
    if (!is_present_) return !required || report_.fail("", section_name(section_), "is missing");
    if (!has_columns_) return fail_section("columns", "is missing");
    if (!has_rows_) return fail_section("rows", "is missing");
    return true;
}

}    // namespace shaletray::configuration
