#include "cluster/consensus/state_records.h"

#include <leveldb/write_batch.h>

#include <boost/leaf/handle_errors.hpp>
#include <memory>
#include <optional>
#include <string>

namespace shaletray::consensus {
namespace {

constexpr auto kHeaderKey = "head";

std::string text_key(std::uint64_t slot) { return "text" + std::to_string(slot); }

// Each write has its own two slots for texts.
std::uint64_t committed_slot(std::uint64_t sequence) { return sequence * 2; }
std::uint64_t accepted_slot(std::uint64_t sequence) { return sequence * 2 + 1; }

leveldb::Status read_header(leveldb::DB& database, StateHeader& header) {
    leveldb::ReadOptions read_options;
    read_options.verify_checksums = true;
    std::string bytes;
    const leveldb::Status status = database.Get(read_options, kHeaderKey, &bytes);
    if (!status.ok()) return status;
    return boost::leaf::try_handle_all(
        [&]() -> boost::leaf::result<leveldb::Status> {
            BOOST_LEAF_ASSIGN(header, decode_state_header(bytes));
            return leveldb::Status::OK();
        },
        [](const DecodeError& error) { return leveldb::Status::Corruption("state header", error.reason); },
        [] { return leveldb::Status::Corruption("state header"); });
}

leveldb::Status read_text(leveldb::DB& database, const StateHeader::TextReference& reference,
                          std::string& text) {
    if (reference.slot != 0) {
        leveldb::ReadOptions read_options;
        read_options.verify_checksums = true;
        read_options.fill_cache = false;
        const leveldb::Status status = database.Get(read_options, text_key(reference.slot), &text);
        if (status.IsNotFound()) return leveldb::Status::Corruption("text is missing");
        if (!status.ok()) return status;
    }
    if (!make_text_reference(reference.slot, text).has_same_content(reference))
        return leveldb::Status::Corruption("text does not match its hash");
    return leveldb::Status::OK();
}

LogEntry without_text(const LogEntry& entry) {
    LogEntry copy;
    copy.number = entry.number;
    copy.voters = entry.voters;
    copy.version = entry.version;
    copy.earlier_digests = entry.earlier_digests;
    copy.ownership_table = entry.ownership_table;
    return copy;
}

PersistentState without_texts(const PersistentState& state) {
    PersistentState copy;
    copy.disk_id = state.disk_id;
    copy.committed = without_text(state.committed);
    copy.promised_ballot = state.promised_ballot;
    copy.accepted_ballot = state.accepted_ballot;
    if (state.accepted_entry) copy.accepted_entry = without_text(*state.accepted_entry);
    return copy;
}

// Returns a reference to the text if it is already stored, else adds it to the batch under this slot.
StateHeader::TextReference add_text(const std::string& text, std::uint64_t slot,
                                    const StateHeader* stored_header, leveldb::WriteBatch& batch) {
    const StateHeader::TextReference reference = make_text_reference(slot, text);
    if (reference.slot == 0) return reference;
    if (stored_header)
        for (const auto& stored : {stored_header->committed_text, stored_header->accepted_text})
            if (stored.slot != 0 && reference.has_same_content(stored)) return stored;
    batch.Put(text_key(reference.slot), text);
    return reference;
}

// Adds the texts that are not stored yet to the batch, and the references to the header.
void add_texts(const PersistentState& state, const StateHeader* stored_header, StateHeader& header,
               leveldb::WriteBatch& batch) {
    header.committed_text =
        add_text(state.committed.text, committed_slot(header.sequence), stored_header, batch);
    if (!state.accepted_entry) return;
    const std::uint64_t own_slot = accepted_slot(header.sequence);
    header.accepted_text = add_text(state.accepted_entry->text, own_slot, stored_header, batch);
    if (header.accepted_text.slot == own_slot &&
        header.accepted_text.has_same_content(header.committed_text)) {
        batch.Delete(text_key(own_slot));    // both entries share one text
        header.accepted_text = header.committed_text;
    }
}

// Deletes the texts to which the old header refers but the new one does not.
void delete_superseded_texts(const StateHeader& stored_header, const StateHeader& header,
                             leveldb::WriteBatch& batch) {
    for (const std::uint64_t slot : {stored_header.committed_text.slot, stored_header.accepted_text.slot}) {
        const bool is_used = slot == header.committed_text.slot || slot == header.accepted_text.slot;
        if (slot != 0 && !is_used) batch.Delete(text_key(slot));
    }
}

// Deletes all keys of the database that the header does not use.
void delete_unused_keys(leveldb::DB& database, const StateHeader& header, leveldb::WriteBatch& batch) {
    const std::string committed_key = text_key(header.committed_text.slot);
    const std::string accepted_key = text_key(header.accepted_text.slot);
    const std::unique_ptr<leveldb::Iterator> iterator(database.NewIterator({}));
    for (iterator->SeekToFirst(); iterator->Valid(); iterator->Next()) {
        const leveldb::Slice key = iterator->key();
        if (key != kHeaderKey && key != committed_key && key != accepted_key) batch.Delete(key);
    }
}

}    // namespace

leveldb::Status read_records(leveldb::DB& database, LoadedRecords& records) {
    StateHeader& header = records.header;
    records.has_committed_entry = false;
    leveldb::Status status = read_header(database, header);
    if (!status.ok()) return status;
    status = read_text(database, header.committed_text, header.state.committed.text);
    records.has_committed_entry = status.ok();
    if (status.ok() && header.state.accepted_entry)
        status = read_text(database, header.accepted_text, header.state.accepted_entry->text);
    return status;
}

leveldb::Status write_records(leveldb::DB& database, const PersistentState& state, std::uint64_t sequence,
                              const StateHeader* stored_header, StateHeader& written_header) {
    leveldb::WriteBatch batch;
    StateHeader header;
    header.sequence = sequence;
    add_texts(state, stored_header, header, batch);
    if (stored_header) delete_superseded_texts(*stored_header, header, batch);
    else delete_unused_keys(database, header, batch);
    header.state = without_texts(state);
    batch.Put(kHeaderKey, encode(header));
    leveldb::WriteOptions write_options;
    write_options.sync = true;
    leveldb::Status status = database.Write(write_options, &batch);
    if (status.ok()) written_header = std::move(header);
    return status;
}

}    // namespace shaletray::consensus
