#include "cluster/configuration/json_handler.h"

#include <algorithm>
#include <utility>

#include "cluster/configuration/json_values.h"

namespace shaletray::configuration {

namespace json = boost::json;

bool JsonHandler::needs_second_pass() const {
    return std::any_of(skipped_rows_.begin(), skipped_rows_.end(), [](bool skipped) { return skipped; });
}

// ---- parser events ----

bool JsonHandler::on_object_end(std::size_t count, ErrorCode& error) {
    return end_container(error, [&] { values_.push_object(count); });
}

bool JsonHandler::on_array_end(std::size_t count, ErrorCode& error) {
    return end_container(error, [&] { values_.push_array(count); });
}

bool JsonHandler::on_key_part(StringView text, std::size_t, ErrorCode&) {
    if (mode_ == Mode::Keep) values_.push_chars(text);
    if (mode_ == Mode::Traverse) key_.append(text.data(), text.size());
    return true;
}

bool JsonHandler::on_key(StringView text, std::size_t, ErrorCode&) {
    if (mode_ == Mode::Keep) values_.push_key(text);
    if (mode_ != Mode::Traverse) return true;
    key_.append(text.data(), text.size());
    if (level_ == Level::Root) select_root_member();
    else select_section_member();
    key_.clear();
    return true;
}

bool JsonHandler::on_string_part(StringView text, std::size_t, ErrorCode& error) {
    // The first part of a string determines whether the string is collected.
    if (mode_ == Mode::Traverse && !in_string_ && !begin_value(Shape::Scalar)) return abort_parse(error);
    in_string_ = true;
    if (mode_ == Mode::Keep) values_.push_chars(text);
    return true;
}

bool JsonHandler::on_string(StringView text, std::size_t, ErrorCode& error) {
    if (mode_ == Mode::Traverse && !in_string_ && !begin_value(Shape::Scalar)) return abort_parse(error);
    in_string_ = false;
    if (mode_ == Mode::Keep) values_.push_string(text);
    return finish_value(error);
}

// ---- outer structure ----

JsonHandler::Level JsonHandler::inner_level(Level level) {
    switch (level) {
        case Level::Outside: return Level::Root;
        case Level::Root: return Level::Section;
        default: return Level::Rows;
    }
}

JsonHandler::Level JsonHandler::outer_level(Level level) {
    switch (level) {
        case Level::Rows: return Level::Section;
        case Level::Section: return Level::Root;
        default: return Level::Outside;
    }
}

bool JsonHandler::abort_parse(ErrorCode& error) {
    // Any error code stops the parser; the report holds the actual error.
    error = json::make_error_code(json::error::exception);
    return false;
}

bool JsonHandler::keep_value() {
    mode_ = Mode::Keep;
    values_.reset(&memory_);
    return true;
}

bool JsonHandler::skip_value() {
    mode_ = Mode::Skip;
    return true;
}

bool JsonHandler::fail_shape(std::string_view location, std::string_view field, ValueError error) {
    return report_.fail(location, field, message_of(error));
}

void JsonHandler::select_root_member() {
    member_ = Member::Other;
    if (key_ == "revision") member_ = Member::Revision;
    if (key_ == "limits") member_ = Member::Limits;
    for (const Section section : kSections) {
        if (key_ != section_name(section)) continue;
        member_ = Member::Section;
        section_ = section;
    }
}

void JsonHandler::select_section_member() {
    member_ = Member::Other;
    if (key_ == "columns") member_ = Member::Columns;
    if (key_ == "rows") member_ = Member::Rows;
}

bool JsonHandler::begin_value(Shape shape) {
    if (level_ == Level::Outside)
        return shape == Shape::Object || fail_shape("", "body", ValueError::NotObject);
    if (level_ == Level::Rows) return second_pass_ || !skipped_rows(section_) ? keep_value() : skip_value();
    if (member_ == Member::Section) return begin_section(shape);
    if (member_ == Member::Rows) return begin_rows(shape);
    if (second_pass_ || member_ == Member::Other) return skip_value();
    if (member_ == Member::Limits && shape == Shape::Null) return skip_value();
    return keep_value();
}

bool JsonHandler::begin_section(Shape shape) {
    if (shape == Shape::Null) return skip_value();    // treated as absent
    if (shape != Shape::Object) return fail_shape(section_name(section_), "", ValueError::NotObject);
    return second_pass_ || reader_.table(section_).begin();
}

bool JsonHandler::begin_rows(Shape shape) {
    if (shape != Shape::Array) return fail_shape(section_name(section_), "rows", ValueError::NotArray);
    if (second_pass_) return skipped_rows(section_) || skip_value();
    skipped_rows(section_) = !reader_.table(section_).has_columns();
    return reader_.table(section_).begin_rows();
}

bool JsonHandler::begin_container(Shape shape, ErrorCode& error) {
    if (mode_ == Mode::Traverse && !begin_value(shape)) return abort_parse(error);
    if (mode_ == Mode::Traverse) level_ = inner_level(level_);
    else ++open_containers_;
    return true;
}

bool JsonHandler::finish_value(ErrorCode& error) {
    if (open_containers_ > 0) return true;
    const Mode mode = std::exchange(mode_, Mode::Traverse);
    if (mode != Mode::Keep) return true;
    const bool succeeded = pass_to_reader();
    memory_.release();
    return succeeded || abort_parse(error);
}

// Destroys the value before finish_value() releases its memory.
bool JsonHandler::pass_to_reader() {
    const json::value value = values_.release();
    if (level_ == Level::Rows) return reader_.table(section_).read_row(value);
    if (member_ == Member::Columns) return reader_.table(section_).read_columns(value);
    if (member_ == Member::Limits) return reader_.read_limits(value);
    return reader_.read_revision(value);
}

}    // namespace shaletray::configuration
