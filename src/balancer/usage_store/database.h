// RAII wrapper of SQLite: connections, prepared statements, transactions, schema migrations, errors that
// state what an operator can do, and a lock that allows one writer per file. Not thread-safe.
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

// A failed database operation; the text says what an operator can do.
class StoreError : public std::runtime_error {
public:
    enum class Kind { Corrupt, Full, ReadOnly, NewerSchema, InUse, Unreadable, Other };
    StoreError(Kind kind, const std::string& text) : std::runtime_error(text), kind_(kind) {}
    Kind kind() const { return kind_; }

private:
    Kind kind_;
};

class Database;

// A prepared statement, reset after each use. The database must outlive it.
class Statement {
public:
    Statement(Database& database, std::string_view sql);
    ~Statement();
    Statement(Statement&& other) noexcept;
    Statement(const Statement&) = delete;
    Statement& operator=(const Statement&) = delete;

    // Binds the arguments, executes the statement and ignores its rows. Throws StoreError.
    template <class... Args>
    void run(const Args&... args) {
        for_each_row([] {}, args...);
    }
    // As run(), but calls `row` for each row, whose columns the column functions return.
    template <class Row, class... Args>
    void for_each_row(Row row, const Args&... args) {
        const Reset reset{*this};
        int index = 0;
        (bind_value(++index, args), ...);
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
    void bind_value(int index, std::int64_t value);
    void bind_value(int index, std::uint64_t value) { bind_value(index, static_cast<std::int64_t>(value)); }
    void bind_value(int index, int value) { bind_value(index, static_cast<std::int64_t>(value)); }
    void bind_value(int index, unsigned value) { bind_value(index, static_cast<std::int64_t>(value)); }
    void bind_value(int index, std::string_view value);
    void bind_value(int index, const std::string& value) { bind_value(index, std::string_view(value)); }
    void bind_value(int index, const char* value) { bind_value(index, std::string_view(value)); }
    bool step_row();
    void reset_statement() noexcept;

    Database* database_;
    sqlite3_stmt* statement_ = nullptr;
};

// How to open a database.
struct OpenSettings {
    std::string path;
    bool is_writer = true;              // takes the writer lock; otherwise the caller only reads
    std::uint64_t max_bytes = 0;        // of the file; 0: no limit
    std::vector<const char*> schema;    // migrations in order; user_version counts those applied
};

// An open database; all functions throw StoreError.
class Database {
public:
    // Opens the file. A writer applies missing migrations; a reader needs them applied.
    explicit Database(OpenSettings settings);
    ~Database();
    Database(const Database&) = delete;
    Database& operator=(const Database&) = delete;

    void execute(const char* sql);
    // The first column of the first row.
    std::int64_t query_integer(const char* sql);
    std::int64_t changed_rows() const;    // by the last statement
    // Runs `body` in a transaction, which an exception rolls back.
    void run_transaction(const std::function<void()>& body);
    // Syncs everything committed to disk and merges the write-ahead log into the file.
    void checkpoint_log();
    // Makes a consistent copy while the database is in use.
    void backup_to(const std::string& destination);
    // The problems that SQLite's integrity check finds; empty if there are none.
    std::vector<std::string> check_integrity();
    void compact();
    const std::string& path() const { return settings_.path; }

private:
    friend class Statement;
    [[noreturn]] void throw_error(const std::string& operation) const;
    void open_file();
    void migrate_schema();

    OpenSettings settings_;
    int lock_descriptor_ = -1;
    sqlite3* handle_ = nullptr;
};

}    // namespace shaletray::usage_store
