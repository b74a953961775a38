#include "cluster/ownership/ownership_table.h"

#include <algorithm>

#include "base/runtime/capnp_codec.h"
#include "cluster/ownership/ownership.capnp.h"

namespace shaletray::ownership {

namespace leaf = boost::leaf;

namespace {

// Far above any real table; bounds the memory that a message can make the reader allocate.
constexpr std::uint32_t kMaxRows = kKeyCount;
constexpr std::size_t kMaxNameLength = 512;

// Assigns indices to names in the order of their first use.
class NameList {
public:
    std::uint32_t index_of(const std::string& name) {
        const auto [entry, is_new] = indices_.try_emplace(name, static_cast<std::uint32_t>(names_.size()));
        if (is_new) names_.push_back(&entry->first);
        return entry->second;
    }
    const std::vector<const std::string*>& names() const { return names_; }

private:
    std::map<std::string, std::uint32_t> indices_;
    std::vector<const std::string*> names_;
};

void write_row(wire::Row::Builder builder, const Assignment& row, NameList& names) {
    builder.setFirst(row.keys.first);
    builder.setLast(row.keys.last);
    builder.setOwner(names.index_of(row.owner));
    builder.setFence(row.fence);
    builder.setChanged(row.changed);
    builder.setSettled(row.settled);
    if (!row.previous_owner.empty()) builder.setPreviousOwner(names.index_of(row.previous_owner) + 1);
    builder.setPreviousFence(row.previous_fence);
    if (!row.handover.empty()) builder.setHandover(runtime::text_reader_of(row.handover));
}

// Reports an invalid index as Cap'n Proto's own exception, so that all malformed input is handled alike.
const std::string& name_at(const std::vector<std::string>& names, std::uint32_t index) {
    KJ_REQUIRE(index < names.size(), "name index out of range");
    return names[index];
}

Assignment read_row(wire::Row::Reader reader, const std::vector<std::string>& names) {
    Assignment row;
    row.keys = {reader.getFirst(), reader.getLast()};
    KJ_REQUIRE(row.keys.first <= row.keys.last, "first key of a row is above its last key");
    row.owner = name_at(names, reader.getOwner());
    row.fence = reader.getFence();
    row.changed = reader.getChanged();
    row.settled = reader.getSettled();
    if (reader.getPreviousOwner() > 0) row.previous_owner = name_at(names, reader.getPreviousOwner() - 1);
    row.previous_fence = reader.getPreviousFence();
    row.handover = std::string(runtime::text_of(reader.getHandover()));
    return row;
}

OwnershipTable read_table(wire::Table::Reader reader) {
    OwnershipTable table;
    table.version = reader.getVersion();
    table.hold = std::chrono::milliseconds(reader.getHoldMs());
    std::vector<std::string> names;
    for (const auto name : reader.getNames()) {
        KJ_REQUIRE(name.size() <= kMaxNameLength, "name exceeds the maximum length");
        names.emplace_back(runtime::text_of(name));
    }
    for (const auto service : reader.getServices()) {
        Assignments& rows = table.services[name_at(names, service.getName())];
        KJ_REQUIRE(service.getRows().size() <= kMaxRows, "service exceeds the maximum number of rows");
        for (const auto row : service.getRows()) {
            rows.push_back(read_row(row, names));
            KJ_REQUIRE(rows.size() < 2 || rows[rows.size() - 2].keys.last < rows.back().keys.first,
                       "rows overlap or are not in ascending order");
        }
    }
    return table;
}

}    // namespace

std::string encode(const OwnershipTable& table) { return encode_changes(table, 0); }

std::string encode_changes(const OwnershipTable& table, std::uint64_t version) {
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::Table>();
    root.setVersion(table.version);
    root.setHoldMs(static_cast<std::uint32_t>(table.hold / std::chrono::milliseconds(1)));
    NameList names;
    auto services = root.initServices(static_cast<unsigned>(table.services.size()));
    unsigned service_index = 0;
    for (const auto& [name, assignments] : table.services) {
        auto service = services[service_index++];
        service.setName(names.index_of(name));
        std::vector<const Assignment*> changed;
        for (const Assignment& row : assignments)
            if (row.changed > version) changed.push_back(&row);
        auto rows = service.initRows(static_cast<unsigned>(changed.size()));
        for (unsigned i = 0; i < rows.size(); ++i) write_row(rows[i], *changed[i], names);
    }
    auto name_list = root.initNames(static_cast<unsigned>(names.names().size()));
    for (unsigned i = 0; i < name_list.size(); ++i)
        name_list.set(i, runtime::text_reader_of(*names.names()[i]));
    return runtime::pack(message);
}

leaf::result<OwnershipTable> decode(std::string_view bytes) {
    if (bytes.empty()) return OwnershipTable{};
    return runtime::unpack<wire::Table>(
        bytes, [](wire::Table::Reader reader) -> leaf::result<OwnershipTable> { return read_table(reader); });
}

}    // namespace shaletray::ownership
