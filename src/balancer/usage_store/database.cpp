#include "balancer/usage_store/database.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sqlite3.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <utility>

namespace shaletray::usage_store {
namespace {

constexpr int kBusyTimeoutMs = 2000;    // a reader may hold the database during a checkpoint or backup
constexpr int kPageSize = 4096;

StoreError::Kind error_kind(int code) {
    switch (code & 0xff) {
        case SQLITE_CORRUPT:
        case SQLITE_NOTADB: return StoreError::Kind::Corrupt;
        case SQLITE_FULL: return StoreError::Kind::Full;
        case SQLITE_READONLY: return StoreError::Kind::ReadOnly;
        case SQLITE_CANTOPEN:
        case SQLITE_PERM: return StoreError::Kind::Unreadable;
        case SQLITE_BUSY:
        case SQLITE_LOCKED: return StoreError::Kind::InUse;
        default: return StoreError::Kind::Other;
    }
}

const char* advice_for(StoreError::Kind kind) {
    switch (kind) {
        case StoreError::Kind::Corrupt:
            return "; restore it from a backup, or move it away to start with an empty one";
        case StoreError::Kind::Full: return "; free disk space, or raise the limit on its size";
        case StoreError::Kind::ReadOnly: return "; give this user write access to the file and its directory";
        case StoreError::Kind::Unreadable:
            return "; the directory must exist and this user must have access to it";
        case StoreError::Kind::InUse: return "; only one process at a time may write to it";
        default: return "";
    }
}

}    // namespace

// ---- statements ----

Statement::Statement(Database& database, std::string_view sql) : database_(&database) {
    if (sqlite3_prepare_v3(database.handle_, sql.data(), static_cast<int>(sql.size()),
                           SQLITE_PREPARE_PERSISTENT, &statement_, nullptr) != SQLITE_OK)
        database.throw_error("preparing a statement");
}

Statement::~Statement() { sqlite3_finalize(statement_); }

Statement::Statement(Statement&& other) noexcept
    : database_(other.database_), statement_(std::exchange(other.statement_, nullptr)) {}

void Statement::bind_value(int index, std::int64_t value) {
    if (sqlite3_bind_int64(statement_, index, value) != SQLITE_OK) database_->throw_error("binding a value");
}

void Statement::bind_value(int index, std::string_view value) {
    if (sqlite3_bind_text(statement_, index, value.data(), static_cast<int>(value.size()),
                          SQLITE_TRANSIENT) != SQLITE_OK)
        database_->throw_error("binding a value");
}

bool Statement::step_row() {
    const int code = sqlite3_step(statement_);
    if (code == SQLITE_ROW) return true;
    if (code != SQLITE_DONE) database_->throw_error("executing");
    return false;
}

void Statement::reset_statement() noexcept {
    sqlite3_reset(statement_);
    sqlite3_clear_bindings(statement_);
}

std::int64_t Statement::integer_column(int column) const { return sqlite3_column_int64(statement_, column); }
bool Statement::is_null_column(int column) const {
    return sqlite3_column_type(statement_, column) == SQLITE_NULL;
}
std::string Statement::text_column(int column) const {
    const auto* const bytes = sqlite3_column_text(statement_, column);
    return bytes == nullptr ? std::string()
                            : std::string(reinterpret_cast<const char*>(bytes),
                                          static_cast<std::size_t>(sqlite3_column_bytes(statement_, column)));
}

// ---- database ----

Database::Database(OpenSettings settings) : settings_(std::move(settings)) {
    try {
        open_file();
    } catch (...) {
        sqlite3_close_v2(handle_);
        if (lock_descriptor_ >= 0) ::close(lock_descriptor_);
        throw;
    }
}

void Database::open_file() {
    if (settings_.is_writer) {
        const std::string name = settings_.path + ".lock";
        lock_descriptor_ = ::open(name.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0640);
        if (lock_descriptor_ < 0) {
            const auto kind =
                errno == EROFS || errno == EACCES ? StoreError::Kind::ReadOnly : StoreError::Kind::Unreadable;
            throw StoreError(kind, fmt::format("{}: {}{}", name, std::strerror(errno), advice_for(kind)));
        }
        if (flock(lock_descriptor_, LOCK_EX | LOCK_NB) != 0)
            throw StoreError(StoreError::Kind::InUse,
                             fmt::format("{}: another process has opened it for writing{}", settings_.path,
                                         advice_for(StoreError::Kind::InUse)));
    }
    const int flags =
        settings_.is_writer ? SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE : SQLITE_OPEN_READWRITE;
    if (sqlite3_open_v2(settings_.path.c_str(), &handle_, flags | SQLITE_OPEN_NOMUTEX, nullptr) != SQLITE_OK)
        throw_error("opening");
    sqlite3_extended_result_codes(handle_, 1);
    sqlite3_busy_timeout(handle_, kBusyTimeoutMs);
    execute("PRAGMA journal_mode=WAL");
    execute("PRAGMA synchronous=NORMAL");
    execute("PRAGMA temp_store=MEMORY");
    execute("PRAGMA cache_size=-8192");
    if (settings_.max_bytes > 0)
        execute(fmt::format("PRAGMA max_page_count={}", settings_.max_bytes / kPageSize).c_str());
    migrate_schema();
}

void Database::migrate_schema() {
    const std::int64_t applied = query_integer("PRAGMA user_version");
    const auto known = static_cast<std::int64_t>(settings_.schema.size());
    if (applied > known)
        throw StoreError(
            StoreError::Kind::NewerSchema,
            fmt::format(
                "{}: its schema has version {}, but this program supports up to {}; use a newer program",
                settings_.path, applied, known));
    if (applied < known && !settings_.is_writer)
        throw StoreError(StoreError::Kind::Other,
                         fmt::format("{}: its schema has version {} of {}; open it with its writer first",
                                     settings_.path, applied, known));
    for (std::int64_t i = applied; i < known; ++i) {
        run_transaction([&] {
            execute(settings_.schema[static_cast<std::size_t>(i)]);
            execute(fmt::format("PRAGMA user_version={}", i + 1).c_str());
        });
    }
}

Database::~Database() {
    sqlite3_close_v2(handle_);
    if (lock_descriptor_ >= 0) ::close(lock_descriptor_);
}

void Database::throw_error(const std::string& operation) const {
    const int code = handle_ == nullptr ? SQLITE_NOMEM : sqlite3_extended_errcode(handle_);
    const StoreError::Kind kind = error_kind(code);
    throw StoreError(
        kind, fmt::format("{}: {}: {}{}", settings_.path, operation,
                          handle_ == nullptr ? "out of memory" : sqlite3_errmsg(handle_), advice_for(kind)));
}

void Database::execute(const char* sql) {
    if (sqlite3_exec(handle_, sql, nullptr, nullptr, nullptr) != SQLITE_OK) throw_error("executing");
}

std::int64_t Database::query_integer(const char* sql) {
    Statement statement(*this, sql);
    std::int64_t value = 0;
    statement.for_each_row([&] { value = statement.integer_column(0); });
    return value;
}

std::int64_t Database::changed_rows() const { return sqlite3_changes64(handle_); }

void Database::run_transaction(const std::function<void()>& body) {
    execute("BEGIN IMMEDIATE");
    try {
        body();
        execute("COMMIT");
    } catch (...) {
        // SQLite rolls back on its own after some errors.
        if (sqlite3_get_autocommit(handle_) == 0)
            sqlite3_exec(handle_, "ROLLBACK", nullptr, nullptr, nullptr);
        throw;
    }
}

void Database::checkpoint_log() {
    if (sqlite3_wal_checkpoint_v2(handle_, nullptr, SQLITE_CHECKPOINT_FULL, nullptr, nullptr) != SQLITE_OK)
        throw_error("checkpointing");
}

void Database::backup_to(const std::string& destination) {
    const std::string temporary_path = destination + ".making";
    ::unlink(temporary_path.c_str());
    sqlite3* copy = nullptr;
    int code =
        sqlite3_open_v2(temporary_path.c_str(), &copy, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr);
    if (code == SQLITE_OK) {
        sqlite3_backup* const backup = sqlite3_backup_init(copy, "main", handle_, "main");
        code = backup == nullptr ? sqlite3_errcode(copy) : sqlite3_backup_step(backup, -1);
        if (backup != nullptr) sqlite3_backup_finish(backup);
        if (code == SQLITE_DONE) code = SQLITE_OK;
    }
    const std::string text = copy == nullptr ? "out of memory" : sqlite3_errstr(code);
    sqlite3_close_v2(copy);
    if (code == SQLITE_OK && ::rename(temporary_path.c_str(), destination.c_str()) == 0) return;
    ::unlink(temporary_path.c_str());
    const StoreError::Kind kind = error_kind(code);
    throw StoreError(kind, fmt::format("{}: copying: {}{}", destination, text, advice_for(kind)));
}

std::vector<std::string> Database::check_integrity() {
    std::vector<std::string> problems;
    try {
        Statement check(*this, "PRAGMA integrity_check(100)");
        check.for_each_row([&] {
            if (check.text_column(0) != "ok") problems.push_back(check.text_column(0));
        });
    } catch (const StoreError& error) {
        problems.emplace_back(error.what());
    }
    return problems;
}

void Database::compact() {
    execute("VACUUM");
    if (sqlite3_wal_checkpoint_v2(handle_, nullptr, SQLITE_CHECKPOINT_TRUNCATE, nullptr, nullptr) !=
        SQLITE_OK)
        throw_error("compacting");
}

}    // namespace shaletray::usage_store
