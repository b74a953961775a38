// The replicated register: its messages, the header of its state, and its data folders.
#include <chrono>
#include <set>
#include <stdexcept>
#include <thread>

#include "cluster/consensus/message.h"
#include "cluster/consensus/state_store.h"
#include "compatibility/field_list.h"
#include "compatibility/samples.h"

namespace shaletray::compatibility {
namespace {

using namespace std::chrono_literals;
using consensus::Ballot;
using consensus::LogEntry;
using consensus::Message;
using consensus::PersistentState;
using consensus::StateHeader;

constexpr std::uint64_t kDisk = 0xd15c000000000024;

LogEntry decree(std::uint64_t number, std::uint64_t version, std::string text, std::size_t earlier) {
    LogEntry sample{
        number,
        {{"10.1.0.24:7100", 0}, {"10.1.0.25:7100", kDisk}, {"10.2.0.24:7100", 0xd15c000000000025}},
        version,
        std::move(text),
        {}};
    for (std::uint64_t i = 1; i <= earlier; ++i)
        sample.earlier_digests.push_back({i, 0x1000000000000000 + i, 0x2000000000000000 + i});
    return sample;
}

void add(FieldList& fields, const std::string& name, const Ballot& ballot) {
    fields.add(name + ".round", ballot.round).add(name + ".proposer", ballot.proposer);
}

void add(FieldList& fields, const std::string& name, const std::optional<LogEntry>& decree) {
    fields.add(name + ".present", decree.has_value());
    if (!decree) return;
    fields.add(name + ".number", decree->number).add(name + ".version", decree->version);
    fields.add(name + ".owners", decree->ownership_table);
    fields.add(name + ".text", decree->text).add(name + ".voters", decree->voters.size());
    for (const auto& voter : decree->voters)
        fields.add(name + ".voter.address", voter.address).add(name + ".voter.disk", voter.disk_id);
    fields.add(name + ".earlier", decree->earlier_digests.size());
    for (const auto& digest : decree->earlier_digests)
        fields.add(name + ".earlier.version", digest.version)
            .add(name + ".earlier.low", digest.low)
            .add(name + ".earlier.high", digest.high);
}

void add(FieldList& fields, const PersistentState& saved) {
    fields.add("disk", saved.disk_id);
    add(fields, "decree", saved.committed);
    add(fields, "promised", saved.promised_ballot);
    add(fields, "accepted", saved.accepted_ballot);
    add(fields, "pending", saved.accepted_entry);
}

void add(FieldList& fields, const std::string& name, const StateHeader::TextReference& at) {
    fields.add(name + ".slot", at.slot).add(name + ".size", at.size);
    fields.add(name + ".low", at.low).add(name + ".high", at.high);
}

std::string fields_of(const Message& message) {
    FieldList fields;
    fields.add("kind", message.kind).add("disk", message.disk_id).add("at", message.next_instance);
    fields.add("instance", message.instance).add("nonce", message.nonce);
    add(fields, "ballot", message.ballot);
    add(fields, "other", message.other_ballot);
    fields.add("pending", message.has_accepted_entry).add("text_as_before", message.text_omitted);
    fields.add("owners_as_before", message.ownership_table_omitted);
    add(fields, "value", message.entry);
    return fields.text();
}

std::string fields_of(const StateHeader& header) {
    FieldList fields;
    add(fields, header.state);
    fields.add("sequence", header.sequence);
    add(fields, "decree_text", header.committed_text);
    add(fields, "pending_text", header.accepted_text);
    return fields.text();
}

std::string read_message(std::string_view bytes) {
    const auto message = consensus::decode(bytes);
    return message ? fields_of(*message) : std::string(kUnreadable);
}

std::string read_header(std::string_view bytes) {
    const auto header = consensus::decode_state_header(bytes);
    return header ? fields_of(*header) : std::string(kUnreadable);
}

MessageSample sample(const std::string& name, const Message& message) {
    return {"register-" + name, encode(message), fields_of(message), read_message};
}

Message message(Message::Kind kind) {
    Message sample;
    sample.kind = kind;
    sample.disk_id = kDisk;
    sample.next_instance = 7;
    sample.instance = 7;
    return sample;
}

const Ballot kBallot{12, "10.1.0.25:7100/91"}, kOther{11, "10.2.0.24:7100/17"};

std::vector<MessageSample> ballot_samples() {
    using Kind = Message::Kind;
    Message prepare = message(Kind::Prepare), promise = message(Kind::Promise),
            accept = message(Kind::Accept), accepted = message(Kind::Accepted),
            refused = message(Kind::Rejected);
    for (Message* with_ballot : {&prepare, &promise, &accept, &accepted, &refused})
        with_ballot->ballot = kBallot;
    for (Message* with_other : {&prepare, &promise, &refused}) with_other->other_ballot = kOther;
    Message promise_of_value = promise, accept_text_as_before = accept, accept_nothing_before = accept;
    promise_of_value.entry = decree(7, 41, "pending text", 3);
    accept.entry = decree(7, 42, "{\"version\": 42}", consensus::kMaxEarlierDigests);
    accept_text_as_before.entry = decree(7, 41, "", 5);
    accept_text_as_before.text_omitted = true;
    Message accept_owners = accept_text_as_before, accept_owners_as_before = accept;
    accept_owners.entry->ownership_table = std::string("owners\0\xff", 8);
    accept_owners_as_before.ownership_table_omitted = true;
    accept_nothing_before.entry = decree(1, 1, std::string("a text\0with\xff", 11), 0);
    return {sample("prepare", prepare),
            sample("promise", promise),
            sample("promise-of-value", promise_of_value),
            sample("accept", accept),
            sample("accept-text-as-before", accept_text_as_before),
            sample("accept-without-earlier", accept_nothing_before),
            sample("accept-of-owners", accept_owners),
            sample("accept-owners-as-before", accept_owners_as_before),
            sample("accepted", accepted),
            sample("refused", refused)};
}

std::vector<MessageSample> learning_samples() {
    using Kind = Message::Kind;
    Message ask = message(Kind::ReadRequest), state = message(Kind::ReadReply),
            notice = message(Kind::Commit), wanted = message(Kind::FetchRequest),
            learn = message(Kind::FetchReply), kept = message(Kind::CommitAck);
    ask.nonce = 0xfedcba9876543210;
    state.nonce = 0xfedcba9876543210;
    state.has_accepted_entry = true;
    notice.ballot = kBallot;
    wanted.nonce = 40;
    wanted.next_instance = 0;
    learn.ballot = kBallot;
    learn.nonce = 40;
    learn.entry = decree(6, 41, "{\"version\": 41}", 2);
    Message learn_text_as_before = learn;
    learn_text_as_before.entry->text.clear();
    learn_text_as_before.text_omitted = true;
    return {sample("ask", ask),       sample("state", state),
            sample("notice", notice), sample("wanted", wanted),
            sample("learn", learn),   sample("learn-text-as-before", learn_text_as_before),
            sample("kept", kept)};
}

// Texts are stored apart from the header, in which they are empty.
std::vector<MessageSample> header_samples() {
    StateHeader header;
    header.state.disk_id = kDisk;
    header.state.committed = decree(6, 41, "", consensus::kMaxEarlierDigests);
    header.state.promised_ballot = kBallot;
    header.state.accepted_ballot = kOther;
    header.sequence = 99;
    header.committed_text = consensus::make_text_reference(14, "{\"version\": 41}");
    StateHeader with_pending = header;
    with_pending.state.accepted_entry = decree(7, 42, "", 4);
    with_pending.accepted_text = consensus::make_text_reference(199, "{\"version\": 42}");
    StateHeader with_owners = with_pending;
    with_owners.state.committed.ownership_table = "owners";
    with_owners.state.accepted_entry->ownership_table = "other owners";
    return {{"register-head", encode(header), fields_of(header), read_header},
            {"register-head-pending", encode(with_pending), fields_of(with_pending), read_header},
            {"register-head-of-owners", encode(with_owners), fields_of(with_owners), read_header}};
}

std::unique_ptr<consensus::StateStore> opened(const std::string& folder) {
    auto store = consensus::StateStore::open(folder, true);
    if (!store) throw std::runtime_error("the register cannot be opened");
    return std::move(*store);
}

void put(consensus::StateStore& store, std::uint64_t token, const PersistentState& saved) {
    store.save({token, saved});
    for (int tries = 0; tries < 1000; ++tries) {
        for (const std::uint64_t done : store.take_stored_tokens())
            if (done == token) return;
        std::this_thread::sleep_for(10ms);
    }
    throw std::runtime_error("the register was not written in time");
}

// Voters changed, a promise given, the next decree accepted but not known to be chosen.
PersistentState voter() {
    PersistentState saved;
    saved.disk_id = kDisk;
    saved.committed = decree(6, 65, "{\"version\": 65, \"routes\": []}", consensus::kMaxEarlierDigests);
    saved.promised_ballot = kBallot;
    saved.accepted_ballot = kOther;
    saved.accepted_entry = decree(7, 66, "{\"version\": 66, \"routes\": [1]}", consensus::kMaxEarlierDigests);
    saved.accepted_entry->voters.push_back({"10.2.0.25:7100", 77});
    return saved;
}

PersistentState before() {
    PersistentState saved;
    saved.committed = decree(5, 65, voter().committed.text, 39);
    saved.committed.voters = {{"10.1.0.24:7100", 0}};
    saved.promised_ballot = kOther;
    return saved;
}

// Opened twice, so that a table holds the text of the committed entry, and a log the header and the accepted
// text.
void record_voter(const std::string& folder) {
    put(*opened(folder), 1, before());
    put(*opened(folder), 2, voter());
}

std::string fields_of(const PersistentState& saved, const std::string& given_up) {
    FieldList fields;
    add(fields, saved);
    fields.add("given_up", given_up);
    return fields.text();
}

std::string read_folder(const std::string& folder) {
    const auto store = opened(folder);
    return fields_of(store->loaded_state(), store->discard_reason());
}

// Entries then got a table of the owners of shard keys.
std::vector<std::string> versions_of(const std::string& name) {
    static const std::set<std::string> kWithEntry = {"register-promise-of-value",
                                                     "register-accept",
                                                     "register-accept-text-as-before",
                                                     "register-accept-without-earlier",
                                                     "register-learn",
                                                     "register-learn-text-as-before",
                                                     "register-head",
                                                     "register-head-pending"};
    if (kWithEntry.contains(name)) return {name, name + "-with-owners"};
    return {name};
}

}    // namespace

std::vector<MessageSample> register_message_samples() {
    std::vector<MessageSample> all = ballot_samples();
    for (auto& sample : learning_samples()) all.push_back(std::move(sample));
    for (auto& sample : header_samples()) all.push_back(std::move(sample));
    return in_all_versions(all, versions_of);
}

std::vector<FolderSample> register_folder_samples() {
    return {{"register-founder",
             [](const std::string& folder) { opened(folder); },
             fields_of(PersistentState{}, ""),
             read_folder,
             {"MARK"}},
            {"register-voter", record_voter, fields_of(voter(), ""), read_folder, {"MARK"}}};
}

}    // namespace shaletray::compatibility
