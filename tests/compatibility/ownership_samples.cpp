// The table of the owners of shard keys, as it stands in entries, and its changes, as gateways receive them.
#include "cluster/ownership/ownership_table.h"
#include "compatibility/field_list.h"
#include "compatibility/samples.h"

namespace shaletray::compatibility {
namespace {

using namespace std::chrono_literals;
using ownership::Assignment;
using ownership::OwnershipTable;

std::string fields_of(const OwnershipTable& table) {
    FieldList fields;
    fields.add("version", table.version).add("hold_us", table.hold.count());
    for (const auto& [service, rows] : table.services) {
        fields.add("service", service);
        for (const Assignment& row : rows) {
            fields.add("first", row.keys.first).add("last", row.keys.last).add("owner", row.owner);
            fields.add("fence", row.fence).add("changed", row.changed).add("settled", row.settled);
            fields.add("previous_owner", row.previous_owner).add("previous_fence", row.previous_fence);
            fields.add("handover", row.handover);
        }
    }
    return fields.text();
}

std::string read_table(std::string_view bytes) {
    const auto table = ownership::decode(bytes);
    return table ? fields_of(*table) : std::string(kUnreadable);
}

OwnershipTable table() {
    OwnershipTable table{12, 4000ms, {}};
    table.services["ledgers"] = {{{0, 0}, "i-1", 12, 12, true, "", 7, ""},
                                 {{1, 32767}, "i-2", 12, 12, false, "i-1", 7, ""},
                                 {{32768, 65535}, "i-2", 7, 9, true, "i-3", 5, "5c0e7a21d94b36f8"}};
    table.services["saves"] = {};
    return table;
}

}    // namespace

std::vector<MessageSample> ownership_samples() {
    OwnershipTable changed = table();
    changed.services["ledgers"].pop_back();
    return {{"ownership-table", encode(table()), fields_of(table()), read_table},
            {"ownership-changes", ownership::encode_changes(table(), 9), fields_of(changed), read_table}};
}

}    // namespace shaletray::compatibility
