// Handles Boost.JSON's parser events for the configuration text.
#pragma once

#include <array>
#include <boost/json/error.hpp>
#include <boost/json/monotonic_resource.hpp>
#include <boost/json/string_view.hpp>
#include <boost/json/value_stack.hpp>
#include <cstddef>
#include <cstdint>
#include <string>

#include "cluster/configuration/configuration_reader.h"
#include "cluster/configuration/parse_report.h"

namespace shaletray::configuration {

// The handler of a boost::json::basic_parser. It tracks the outer structure of the document, collects the
// values within it (the revision, the limits, column names, each row), and passes each to the reader once it
// is complete. Rows that precede the names of their columns are skipped, and read in a second pass over the
// same text. Callbacks return false to stop the parser; the report then holds the error.
class JsonHandler {
public:
    // Limits that basic_parser requires. Only the size of the whole text is limited, by the caller.
    static constexpr std::size_t max_object_size = ~std::size_t{0}, max_array_size = ~std::size_t{0};
    static constexpr std::size_t max_key_size = ~std::size_t{0}, max_string_size = ~std::size_t{0};
    using ErrorCode = boost::json::error_code;
    using StringView = boost::json::string_view;

    JsonHandler(ConfigurationReader& reader, ParseReport& report)
        : reader_(reader), report_(report), memory_(buffer_, sizeof buffer_) {}

    // Whether the first pass skipped rows.
    bool needs_second_pass() const;
    void begin_second_pass() { second_pass_ = true; }

    bool on_document_begin(ErrorCode&) { return true; }
    bool on_document_end(ErrorCode&) { return true; }
    bool on_object_begin(ErrorCode& error) { return begin_container(Shape::Object, error); }
    bool on_object_end(std::size_t count, ErrorCode& error);
    bool on_array_begin(ErrorCode& error) { return begin_container(Shape::Array, error); }
    bool on_array_end(std::size_t count, ErrorCode& error);
    bool on_key_part(StringView text, std::size_t, ErrorCode&);
    bool on_key(StringView text, std::size_t, ErrorCode& error);
    bool on_string_part(StringView text, std::size_t, ErrorCode& error);
    bool on_string(StringView text, std::size_t, ErrorCode& error);
    bool on_number_part(StringView, ErrorCode&) { return true; }
    bool on_int64(std::int64_t number, StringView, ErrorCode& error) {
        return handle_scalar(Shape::Scalar, error, [&] { values_.push_int64(number); });
    }
    bool on_uint64(std::uint64_t number, StringView, ErrorCode& error) {
        return handle_scalar(Shape::Scalar, error, [&] { values_.push_uint64(number); });
    }
    bool on_double(double number, StringView, ErrorCode& error) {
        return handle_scalar(Shape::Scalar, error, [&] { values_.push_double(number); });
    }
    bool on_bool(bool value, ErrorCode& error) {
        return handle_scalar(Shape::Scalar, error, [&] { values_.push_bool(value); });
    }
    bool on_null(ErrorCode& error) {
        return handle_scalar(Shape::Null, error, [&] { values_.push_null(); });
    }
    bool on_comment_part(StringView, ErrorCode&) { return true; }
    bool on_comment(StringView, ErrorCode&) { return true; }

private:
    // The innermost open container of the outer structure.
    enum class Level : std::uint8_t { Outside, Root, Section, Rows };
    // Whether the parser is in the outer structure, or within a value that is collected or skipped.
    enum class Mode : std::uint8_t { Traverse, Keep, Skip };
    enum class Shape : std::uint8_t { Null, Scalar, Array, Object };
    // The member of the outer structure whose value follows.
    enum class Member : std::uint8_t { Other, Revision, Limits, Section, Columns, Rows };

    static Level inner_level(Level level);
    static Level outer_level(Level level);

    bool abort_parse(ErrorCode& error);
    bool keep_value();
    bool skip_value();
    bool fail_shape(std::string_view location, std::string_view field, ValueError error);

    void select_root_member();
    void select_section_member();
    // Called at the start of a value in the outer structure: enters, collects or skips it. Returns false
    // where the value has the wrong shape.
    bool begin_value(Shape shape);
    bool begin_section(Shape shape);
    bool begin_rows(Shape shape);
    bool begin_container(Shape shape, ErrorCode& error);
    // Called after each part of a collected or skipped value. Once the value is complete, passes a collected
    // one to the reader.
    bool finish_value(ErrorCode& error);
    bool pass_to_reader();

    template <class Push>
    bool handle_scalar(Shape shape, ErrorCode& error, Push push) {
        if (mode_ == Mode::Traverse && !begin_value(shape)) return abort_parse(error);
        if (mode_ == Mode::Keep) push();
        return finish_value(error);
    }
    template <class Push>
    bool end_container(ErrorCode& error, Push push) {
        if (mode_ == Mode::Traverse) {
            level_ = outer_level(level_);
            return true;
        }
        if (mode_ == Mode::Keep) push();
        --open_containers_;
        return finish_value(error);
    }
    bool& skipped_rows(Section section) { return skipped_rows_[static_cast<std::size_t>(section)]; }

    ConfigurationReader& reader_;
    ParseReport& report_;
    unsigned char buffer_[4096];    // bytes; enough for the values of most rows
    boost::json::monotonic_resource memory_;
    boost::json::value_stack values_;    // of the value being collected
    Level level_ = Level::Outside;
    Mode mode_ = Mode::Traverse;
    Member member_ = Member::Other;
    Section section_ = Section::Routes;    // the open one, or the last one
    int open_containers_ = 0;              // within the value being collected or skipped
    bool in_string_ = false;               // part of a string was received, and more follows
    bool second_pass_ = false;
    std::array<bool, std::size(kSections)> skipped_rows_{};    // by the first pass, per section
    std::string key_;                                          // the parts of a key received so far
};

}    // namespace shaletray::configuration
