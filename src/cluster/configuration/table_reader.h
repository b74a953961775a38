// Reads one table of the configuration text: a list of column names, and rows of values in that order.
#pragma once

#include <algorithm>
#include <boost/json/value.hpp>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <numeric>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "cluster/configuration/entry_list_builder.h"
#include "cluster/configuration/json_values.h"
#include "cluster/configuration/parse_report.h"

namespace shaletray::configuration {

// Base of the table readers of all sections: checks the structure of the table and maps columns to fields.
// Functions return false after they have reported an error.
class TableReader {
public:
    TableReader(Section section, ParseReport& report) : section_(section), report_(report) {}
    virtual ~TableReader() = default;
    TableReader(const TableReader&) = delete;
    TableReader& operator=(const TableReader&) = delete;

    // Called when the section is found; its members follow in any order.
    bool begin();
    bool read_columns(const boost::json::value& value);
    bool begin_rows();
    // To be called only after read_columns().
    bool read_row(const boost::json::value& value);
    // Checks after the whole text was read that the section has all required members.
    bool check_complete(bool required);

    bool is_present() const { return is_present_; }
    bool has_columns() const { return has_columns_; }

protected:
    // Returns the index of a known column, or nothing.
    virtual std::optional<std::size_t> find_column(std::string_view name) const = 0;
    virtual std::string_view column_name(std::size_t column) const = 0;
    // Called per row: begin_entry(), read_cell() for each non-null value in a known column, finish_entry().
    virtual void begin_entry() = 0;
    virtual bool read_cell(std::size_t column, const boost::json::value& value) = 0;
    virtual bool finish_entry() = 0;

    Section section() const { return section_; }
    std::uint32_t current_row() const { return row_count_ - 1; }
    bool fail_section(std::string_view field, std::string reason) {
        return report_.fail(section_name(section_), field, std::move(reason));
    }
    bool fail_row(std::uint32_t row, std::string_view field, std::string reason) {
        return report_.fail(row_path(section_, row), field, std::move(reason));
    }
    bool fail_cell(std::string_view field, std::string reason) {
        return fail_row(current_row(), field, std::move(reason));
    }
    bool fail_cell(std::string_view field, ValueError error) { return fail_cell(field, message_of(error)); }

    // Converts a value of the current row with T's tag_invoke.
    template <class T>
    bool convert_cell(const boost::json::value& value, std::string_view field, T& target) {
        boost::json::result<T> parsed = boost::json::try_value_to<T>(value);
        if (!parsed) return fail_cell(field, parsed.error().message());
        target = std::move(*parsed);
        return true;
    }
    // The same with a wrapper type T, whose `value` is assigned to the target.
    template <class T, class Target>
    bool convert_cell_as(const boost::json::value& value, std::string_view field, Target& target) {
        T parsed;
        if (!convert_cell(value, field, parsed)) return false;
        target = parsed.value;
        return true;
    }

private:
    Section section_;
    ParseReport& report_;
    bool is_present_ = false, has_columns_ = false, has_rows_ = false;
    std::vector<std::optional<std::size_t>> columns_;    // empty for unknown columns, which are ignored
    std::uint32_t row_count_ = 0;
};

// A table whose rows are entries of one type. `Reader` is the derived class (CRTP): it provides the static
// function columns(), and a member function for each column.
template <class Reader, class Entry>
class EntryTableReader : public TableReader {
public:
    using TableReader::TableReader;

    // Sorts the entries by name, after all rows were read. Reports an error where a name is not unique.
    bool sort_by_name() {
        order_.resize(entries_.size());
        std::iota(order_.begin(), order_.end(), 0u);
        const auto precedes = [&](std::uint32_t a, std::uint32_t b) {
            const int comparison = entries_[a].name.compare(entries_[b].name);
            return comparison != 0 ? comparison < 0 : a < b;
        };
        if (!std::is_sorted(order_.begin(), order_.end(), precedes))
            std::sort(order_.begin(), order_.end(), precedes);
        for (std::size_t i = 1; i < order_.size(); ++i)
            if (entries_[order_[i]].name == entries_[order_[i - 1]].name)
                return fail_row(order_[i], "name",
                                "is already used by " + row_path(section(), order_[i - 1]));
        return true;
    }

    // Whether there is an entry of that name. To be called after sort_by_name().
    bool contains(std::string_view name) const {
        const auto found = std::lower_bound(
            order_.begin(), order_.end(), name,
            [&](std::uint32_t row, std::string_view wanted) { return entries_[row].name < wanted; });
        return found != order_.end() && entries_[*found].name == name;
    }

    // Returns the entries sorted by name. To be called once, after sort_by_name().
    EntryList<Entry> build_entries() {
        EntryListBuilder<Entry> builder;
        for (const std::uint32_t row : order_) builder.add(std::move(entries_[row]));
        entries_.clear();
        return builder.build();
    }

protected:
    struct Column {
        std::string_view name;
        bool (Reader::*read)(const boost::json::value& value, std::string_view field);
    };

    Entry& current_entry() { return entries_.back(); }
    std::uint32_t entry_count() const { return static_cast<std::uint32_t>(entries_.size()); }
    Entry& entry(std::uint32_t row) { return entries_[row]; }

    // Reads the entry's name with a wrapper type T of strings.
    template <class T>
    bool read_name_as(const boost::json::value& value, std::string_view field) {
        has_name_ = true;
        return convert_cell_as<T>(value, field, current_entry().name);
    }
    void begin_entry() override {
        entries_.emplace_back();
        has_name_ = false;
    }
    bool finish_entry() override { return has_name_ || fail_cell("name", "is missing"); }

private:
    std::optional<std::size_t> find_column(std::string_view name) const override {
        const std::span<const Column> columns = Reader::columns();
        for (std::size_t i = 0; i < columns.size(); ++i)
            if (columns[i].name == name) return i;
        return std::nullopt;
    }
    std::string_view column_name(std::size_t column) const override { return Reader::columns()[column].name; }
    bool read_cell(std::size_t column, const boost::json::value& value) override {
        const Column& known = Reader::columns()[column];
        return (static_cast<Reader*>(this)->*known.read)(value, known.name);
    }

    std::deque<Entry> entries_;           // by row; a deque does not move its elements as it grows
    std::vector<std::uint32_t> order_;    // row numbers, sorted by name
    bool has_name_ = false;               // of the current entry
};

}    // namespace shaletray::configuration
