#include "cluster/consensus/directory_syncing_env.h"

namespace shaletray::consensus {

// A log file whose first sync also makes its name durable.
class DirectorySyncingEnv::SyncedLogFile : public leveldb::WritableFile {
public:
    SyncedLogFile(DirectorySyncingEnv& env, leveldb::WritableFile* file) : env_(env), file_(file) {}
    leveldb::Status Append(const leveldb::Slice& data) override { return file_->Append(data); }
    leveldb::Status Close() override { return file_->Close(); }
    leveldb::Status Flush() override { return file_->Flush(); }
    leveldb::Status Sync() override {
        leveldb::Status status = file_->Sync();
        if (!status.ok() || name_is_synced_) return status;
        // Not SyncDirectory(): success here must not hide that the sync after another thread's rename failed.
        status = env_.file_system_.SyncFolder(env_.folder_);
        name_is_synced_ = status.ok();
        return status;
    }

private:
    DirectorySyncingEnv& env_;
    const std::unique_ptr<leveldb::WritableFile> file_;
    bool name_is_synced_ = false;
};

DirectorySyncingEnv::DirectorySyncingEnv(SyncingFileSystem& file_system, std::string folder)
    : EnvWrapper(&file_system), file_system_(file_system), folder_(std::move(folder)) {}

leveldb::Status DirectorySyncingEnv::NewWritableFile(const std::string& name, leveldb::WritableFile** file) {
    leveldb::Status status = target()->NewWritableFile(name, file);
    if (status.ok() && name.ends_with(".log")) *file = new SyncedLogFile(*this, *file);
    return status;
}

leveldb::Status DirectorySyncingEnv::RenameFile(const std::string& from, const std::string& to) {
    leveldb::Status status = target()->RenameFile(from, to);
    return status.ok() ? SyncDirectory() : status;
}

leveldb::Status DirectorySyncingEnv::RemoveFile(const std::string& name) {
    if (directory_sync_failed_)
        return leveldb::Status::IOError(name, "not removed: the last directory sync failed");
    return target()->RemoveFile(name);
}

leveldb::Status DirectorySyncingEnv::SyncDirectory() {
    const leveldb::Status status = file_system_.SyncFolder(folder_);
    directory_sync_failed_ = !status.ok();
    return status;
}

}    // namespace shaletray::consensus
