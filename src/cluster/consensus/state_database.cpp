#include "cluster/consensus/state_database.h"

#include <algorithm>

#include "cluster/consensus/disk_id.h"

namespace shaletray::consensus {

leveldb::Status StateDatabase::load(bool founder) {
    leveldb::Status status = folder_.prepare();
    if (!status.ok()) return status;
    watermark_.emplace(folder_.watermark_path());
    const bool may_be_new = !folder_.is_untrusted() && watermark_->value() == 0;
    bool is_new = may_be_new && !folder_.has_database_files();
    LoadedRecords records;
    status = folder_.open();
    if (status.ok() && !is_new) status = read_records(folder_.database(), records);
    if (status.IsIOError()) return status;
    if (status.IsNotFound() && may_be_new) {    // the disk failed before the first write completed
        is_new = true;
        status = {};
    }
    if (status.ok() && folder_.is_untrusted()) status = leveldb::Status::Corruption("repair was interrupted");
    if (status.ok() && records.header.sequence < watermark_->value())
        status = leveldb::Status::Corruption("older than the last acknowledged write");
    sequence_ = std::max(records.header.sequence, watermark_->value());
    if (!status.ok()) return discard_state(status.ToString(), std::move(records));
    if (is_new) {
        loaded_state_.disk_id = founder ? kFounderDiskId : generate_disk_id();
        return write(loaded_state_);
    }
    loaded_state_ = std::move(records.header.state);
    stored_header_ = std::move(records.header);
    return status;
}

leveldb::Status StateDatabase::discard_state(std::string reason, LoadedRecords records) {
    discard_reason_ = std::move(reason);
    leveldb::Status status = folder_.mark_untrusted();
    if (!status.ok()) return status;
    if (!records.has_committed_entry) status = repair(records);
    if (status.IsIOError()) return status;
    loaded_state_.disk_id = generate_disk_id();
    if (records.has_committed_entry) loaded_state_.committed = std::move(records.header.state.committed);
    if (folder_.is_open()) status = write(loaded_state_);
    if (folder_.is_open() && !is_damaged(status)) return status;
    status = recreate();
    return status.ok() ? write(loaded_state_) : status;
}

leveldb::Status StateDatabase::repair(LoadedRecords& records) {
    if (!folder_.repair().ok()) return leveldb::Status::OK();    // the caller recreates the database
    leveldb::Status status = folder_.open();
    if (status.ok()) status = read_records(folder_.database(), records);
    if (!status.IsIOError()) sequence_ = std::max(records.header.sequence, watermark_->value());
    return status;
}

leveldb::Status StateDatabase::recreate() {
    stored_header_.reset();
    return folder_.recreate();
}

leveldb::Status StateDatabase::write(const PersistentState& state) {
    StateHeader header;
    const StateHeader* stored_header = stored_header_ ? &*stored_header_ : nullptr;
    leveldb::Status status = write_records(folder_.database(), state, sequence_ + 1, stored_header, header);
    if (!status.ok()) return status;
    sequence_ = header.sequence;
    stored_header_ = std::move(header);
    watermark_->write_value(sequence_);
    return folder_.is_untrusted() ? folder_.mark_trusted() : status;
}

leveldb::Status StateDatabase::reopen() {
    stored_header_.reset();
    const leveldb::Status status = folder_.open();
    if (!is_damaged(status)) return status;
    const leveldb::Status marker_status = folder_.mark_untrusted();
    return marker_status.ok() ? recreate() : marker_status;
}

}    // namespace shaletray::consensus
