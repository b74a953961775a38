// Messages of the quota exchange between gateways.
#include "cluster/quota/message.h"
#include "compatibility/field_list.h"
#include "compatibility/samples.h"

namespace shaletray::compatibility {
namespace {

std::string fields_of(const quota::Message& message) {
    FieldList fields;
    fields.add("life", message.incarnation).add("sequence", message.sequence).add("stamp", message.timestamp);
    fields.add("echo_life", message.echoed_incarnation)
        .add("echo", message.echoed_timestamp)
        .add("held", message.echo_delay);
    fields.add("entries", message.entries.size());
    fields.within("entry");
    for (const quota::Entry& entry : message.entries) {
        fields.add("tenant", entry.tenant).add("free", entry.available).add("gift", entry.transfer);
        fields.add("want", entry.max_transfer)
            .add("urgent", entry.urgent)
            .add("pressed", entry.under_pressure);
    }
    return fields.text();
}

std::string read(std::string_view bytes) {
    const auto message = quota::decode(bytes);
    return message ? fields_of(*message) : std::string(kUnreadable);
}

MessageSample sample(const std::string& name, const quota::Message& message) {
    return {"quota-" + name, encode(message), fields_of(message), read};
}

}    // namespace

std::vector<MessageSample> quota_message_samples() {
    const quota::Message first{7, 1, 1'700'000'000'000'001, 0, 0, 0, {}};
    // The hash of a tenant's name is a part of the format.
    const quota::Message balance{7,
                                 8,
                                 1'700'000'000'000'002,
                                 9,
                                 1'699'999'999'999'999,
                                 250'000,
                                 {{quota::tenant_id("acme"), -1.5F, 0.0F, 3.25F, true, false},
                                  {quota::tenant_id("globex"), 100.0F, 0.015625F, 0.0F, false, true},
                                  {1, 0.0F, 0.0F, 0.0F, false, false},
                                  {2, 0.5F, 0.5F, 0.5F, true, true}}};
    return {sample("first", first), sample("balance", balance)};
}

}    // namespace shaletray::compatibility
