#include "cluster/quota/message.h"

#include <capnp/message.h>
#include <xxhash.h>

#include <cmath>

#include "base/runtime/capnp_codec.h"
#include "cluster/quota/quota.capnp.h"

namespace shaletray::quota {
namespace {

// Far above any quota; larger amounts are rejected as corrupt.
constexpr float kMaxAmount = 1e9F;
// Above the size of messages that this version sends, as later versions may send longer ones.
constexpr std::size_t kMaxMessageSize = 4096;
// Size of the stack buffer for encoding a message; larger messages allocate memory.
constexpr std::size_t kScratchWords = 256;

constexpr runtime::ReadLimits kReadLimits{.max_words = 4 * kMaxMessageSize, .max_depth = 8};

// Bits of Entry::flags.
constexpr unsigned kUrgentFlag = 1;
constexpr unsigned kUnderPressureFlag = 2;

bool is_valid_amount(float value) { return std::isfinite(value) && std::fabs(value) < kMaxAmount; }

bool has_valid_amounts(const Entry& entry) {
    return is_valid_amount(entry.available) && is_valid_amount(entry.transfer) &&
           is_valid_amount(entry.max_transfer) && entry.transfer >= 0.0F && entry.max_transfer >= 0.0F;
}

void write_entry(const Entry& entry, wire::Entry::Builder target) {
    const unsigned flags = (entry.urgent ? kUrgentFlag : 0) | (entry.under_pressure ? kUnderPressureFlag : 0);
    target.setTenant(entry.tenant);
    target.setAvailable(entry.available);
    target.setTransfer(entry.transfer);
    target.setMaxTransfer(entry.max_transfer);
    target.setFlags(static_cast<std::uint8_t>(flags));
}

Entry read_entry(wire::Entry::Reader source) {
    Entry entry;
    entry.tenant = source.getTenant();
    entry.available = source.getAvailable();
    entry.transfer = source.getTransfer();
    entry.max_transfer = source.getMaxTransfer();
    entry.urgent = (source.getFlags() & kUrgentFlag) != 0;
    entry.under_pressure = (source.getFlags() & kUnderPressureFlag) != 0;
    return entry;
}

// Errors: DecodeError. May throw kj::Exception, which runtime::unpack catches.
leaf::result<Message> read_message(wire::Balance::Reader root) {
    Message message;
    message.incarnation = root.getIncarnation();
    message.sequence = root.getSequence();
    message.timestamp = root.getTimestamp();
    message.echoed_incarnation = root.getEchoedIncarnation();
    message.echoed_timestamp = root.getEchoedTimestamp();
    message.echo_delay = root.getEchoDelay();
    const auto entries = root.getEntries();
    if (entries.size() > kMaxMessageSize / sizeof(std::uint64_t))
        return leaf::new_error(DecodeError::TooLarge);
    message.entries.reserve(entries.size());
    for (const auto source : entries) {
        const Entry entry = read_entry(source);
        if (!has_valid_amounts(entry)) return leaf::new_error(DecodeError::InvalidAmount);
        message.entries.push_back(entry);
    }
    return message;
}

}    // namespace

std::string encode(const Message& message) {
    capnp::word scratch[kScratchWords] = {};
    capnp::MallocMessageBuilder builder(kj::arrayPtr(scratch, kScratchWords));
    auto root = builder.initRoot<wire::Balance>();
    root.setIncarnation(message.incarnation);
    root.setSequence(message.sequence);
    root.setTimestamp(message.timestamp);
    root.setEchoedIncarnation(message.echoed_incarnation);
    root.setEchoedTimestamp(message.echoed_timestamp);
    root.setEchoDelay(message.echo_delay);
    auto entries = root.initEntries(static_cast<unsigned>(message.entries.size()));
    for (unsigned i = 0; i < entries.size(); ++i) write_entry(message.entries[i], entries[i]);
    return runtime::pack(builder);
}

leaf::result<Message> decode(std::string_view bytes) {
    if (bytes.size() > kMaxMessageSize) return leaf::new_error(DecodeError::TooLarge);
    return runtime::unpack<wire::Balance>(bytes, kReadLimits, read_message);
}

std::uint64_t tenant_id(std::string_view name) { return XXH3_64bits(name.data(), name.size()); }

}    // namespace shaletray::quota
