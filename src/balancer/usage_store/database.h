// SQLite, owned: connections, prepared statements and transactions that each end in one place, errors that
// say what an operator can do, a schema that only moves forward, and one writer to a file.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

struct sqlite3;
struct sqlite3_stmt;

namespace shaletray::usage_store {

class StoreError : public std::runtime_error {
public:
    enum class Kind { Corrupt, Full, ReadOnly, NewerSchema, InUse, Unreadable, Other };
    StoreError(Kind kind, const std::string& text) : std::runtime_error(text), kind_(kind) {}
    Kind kind() const { return kind_; }

private:
    Kind kind_;
};

class Database;

// A prepared statement; bound and stepped by its owner, and reset after each use.
class Statement {
public:
    Statement(Database& database, std::string_view sql);
    ~Statement();
    Statement(Statement&& other) noexcept;
    Statement(const Statement&) = delete;
    Statement& operator=(const Statement&) = delete;

    // Runs it with these; rows are given to `row`.
    template <class... Args>
    void run(const Args&... args) {
        for_each_row([] {}, args...);
    }
    template <class Row, class... Args>
    void for_each_row(Row row, const Args&... args) {
        const Reset reset{*this};
        int at = 0;
        (bind_value(++at, args), ...);
        while (step_row()) row();
    }
    std::int64_t integer_column(int column) const;
    std::string text_column(int column) const;
    bool is_null_column(int column) const;

private:
    struct Reset {
        Statement& target;
        ~Reset() { target.reset_statement(); }
    };
    void bind_value(int at, std::int64_t value);
    void bind_value(int at, std::uint64_t value) { bind_value(at, static_cast<std::int64_t>(value)); }
    void bind_value(int at, int value) { bind_value(at, static_cast<std::int64_t>(value)); }
    void bind_value(int at, unsigned value) { bind_value(at, static_cast<std::int64_t>(value)); }
    void bind_value(int at, std::string_view value);
    void bind_value(int at, const std::string& value) { bind_value(at, std::string_view(value)); }
    void bind_value(int at, const char* value) { bind_value(at, std::string_view(value)); }
    bool step_row();
    void reset_statement() noexcept;

    Database* database_;
    sqlite3_stmt* statement_ = nullptr;
};

struct OpenSettings {
    std::string path;
    bool is_writer = true;              // takes the lock; readers look on
    std::uint64_t max_bytes = 0;        // of the file; 0: no bound
    std::vector<const char*> schema;    // step by step; how many were taken is kept in the file
};

class Database {
public:
    // Throws StoreError with a line an operator can use.
    explicit Database(OpenSettings settings);
    ~Database();
    Database(const Database&) = delete;
    Database& operator=(const Database&) = delete;

    void execute(const char* sql);
    std::int64_t query_integer(const char* sql);
    std::int64_t changed_rows() const;
    // All of it holds, or none.
    void run_transaction(const std::function<void()>& what);
    // What was committed is on the disk from here on, and the log is folded into the file.
    void checkpoint_log();
    // A whole copy that can be opened, made while this is in use.
    void backup_to(const std::string& to);
    // All that SQLite finds wrong, nothing where it is sound.
    std::vector<std::string> check_integrity();
    void compact();
    const std::string& path() const { return settings_.path; }

private:
    friend class Statement;
    [[noreturn]] void throw_error(const std::string& doing) const;
    void open_file();
    void migrate_schema();

    OpenSettings settings_;
    int lock_descriptor_ = -1;
    sqlite3* handle_ = nullptr;
};

}    // namespace shaletray::usage_store
