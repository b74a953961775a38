#include "cluster/consensus/database_folder.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <string_view>
#include <system_error>
#include <vector>

namespace shaletray::consensus {
namespace {

// The state consists of a few entries, so small buffers suffice and keep the files small.
constexpr std::size_t kWriteBufferSize = 256 * 1024;
constexpr std::size_t kMaxFileSize = 1024 * 1024;
constexpr std::size_t kCacheSize = 64 * 1024;
constexpr int kMaxOpenFiles = 64;    // far more than the few files of such a database

constexpr auto kCurrentFile = "CURRENT";    // of LevelDB: names the MANIFEST in use
constexpr auto kLostFolder = "lost";        // of LevelDB: files that a repair could not use
constexpr auto kWatermarkFile = "MARK";
constexpr auto kUntrustedFile = "DISTRUST";
// Files that may exist although no database was ever completely created, and thus no state written to it.
constexpr std::array<std::string_view, 5> kNamesWithoutDatabase{"LOCK", kWatermarkFile, kUntrustedFile,
                                                                "MANIFEST-000001", "000001.dbtmp"};
// Files that are kept when the database is recreated.
constexpr std::array<std::string_view, 4> kNamesToKeep{".", "..", kWatermarkFile, kUntrustedFile};

template <class Names>
bool contains_name(const Names& names, const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
}

}    // namespace

bool is_damaged(const leveldb::Status& status) { return !status.ok() && !status.IsIOError(); }

DatabaseFolder::DatabaseFolder(std::string folder, SyncingFileSystem& file_system)
    : folder_(std::move(folder)),
      file_system_(file_system),
      env_(file_system, folder_),
      cache_(leveldb::NewLRUCache(kCacheSize)) {}

leveldb::Status DatabaseFolder::prepare() {
    std::error_code error;
    std::filesystem::create_directories(folder_, error);
    if (error) return leveldb::Status::IOError(folder_, error.message());
    const std::string parent_folder = std::filesystem::path(folder_).parent_path().string();
    leveldb::Status status = file_system_.SyncFolder(parent_folder);
    if (status.ok()) is_untrusted_ = env_.FileExists(file_path(kUntrustedFile));
    return status;
}

bool DatabaseFolder::has_database_files() const {
    std::error_code error;
    for (const auto& entry : std::filesystem::directory_iterator(folder_, error))
        if (!contains_name(kNamesWithoutDatabase, entry.path().filename().string())) return true;
    return false;
}

leveldb::Status DatabaseFolder::open() {
    database_.reset();
    const bool database_exists = has_database_files();
    if (database_exists && !std::filesystem::exists(file_path(kCurrentFile)))
        return leveldb::Status::Corruption("file CURRENT is missing");
    leveldb::Options options = make_options();
    options.create_if_missing = !database_exists;
    leveldb::DB* database = nullptr;
    const leveldb::Status status = leveldb::DB::Open(options, folder_, &database);
    database_.reset(database);
    return status;
}

leveldb::Status DatabaseFolder::repair() {
    database_.reset();
    const leveldb::Status status = leveldb::RepairDB(folder_, make_options());
    remove_lost_files();
    return status;
}

leveldb::Status DatabaseFolder::recreate() {
    database_.reset();
    remove_lost_files();
    std::vector<std::string> file_names;
    leveldb::Status status = env_.GetChildren(folder_, &file_names);
    for (const std::string& file_name : file_names)
        if (status.ok() && !contains_name(kNamesToKeep, file_name))
            status = env_.RemoveFile(file_path(file_name));
    if (status.ok()) status = env_.SyncDirectory();
    return status.ok() ? open() : status;
}

leveldb::Status DatabaseFolder::mark_untrusted() {
    leveldb::WritableFile* marker = nullptr;
    leveldb::Status status = env_.NewWritableFile(file_path(kUntrustedFile), &marker);
    const std::unique_ptr<leveldb::WritableFile> owned_marker(marker);
    if (status.ok()) status = env_.SyncDirectory();
    is_untrusted_ = is_untrusted_ || status.ok();
    return status;
}

leveldb::Status DatabaseFolder::mark_trusted() {
    leveldb::Status status = env_.RemoveFile(file_path(kUntrustedFile));
    if (status.ok()) status = env_.SyncDirectory();
    is_untrusted_ = is_untrusted_ && !status.ok();
    return status;
}

std::string DatabaseFolder::watermark_path() const { return file_path(kWatermarkFile); }

leveldb::Options DatabaseFolder::make_options() {
    leveldb::Options options;
    options.env = &env_;
    options.info_log = &null_logger_;
    options.write_buffer_size = kWriteBufferSize;
    options.max_file_size = kMaxFileSize;
    options.max_open_files = kMaxOpenFiles;
    options.block_cache = cache_.get();
    options.compression = leveldb::kNoCompression;
    return options;
}

void DatabaseFolder::remove_lost_files() {
    std::error_code ignored_error;
    std::filesystem::remove_all(file_path(kLostFolder), ignored_error);
}

}    // namespace shaletray::consensus
