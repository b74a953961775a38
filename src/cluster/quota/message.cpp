#include "cluster/quota/message.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>
#include <xxhash.h>

#include <cmath>

#include "cluster/quota/quota.capnp.h"

namespace shaletray::quota {
namespace {

constexpr float kMaxAmount = 1e9F;
constexpr std::size_t kMaxMessageSize =
    4096;    // bytes read; a later version may send longer ones than we do

bool is_valid_amount(float value) { return std::isfinite(value) && std::fabs(value) < kMaxAmount; }

}    // namespace

std::string encode(const Message& message) {
    capnp::word scratch[256] = {};
    capnp::MallocMessageBuilder builder(kj::arrayPtr(scratch, 256));
    auto root = builder.initRoot<wire::Balance>();
    root.setLife(message.incarnation);
    root.setSequence(message.sequence);
    root.setStamp(message.timestamp);
    root.setEchoLife(message.echoed_incarnation);
    root.setEcho(message.echoed_timestamp);
    root.setHeld(message.echo_delay);
    auto entries = root.initEntries(static_cast<unsigned>(message.entries.size()));
    for (unsigned i = 0; i < entries.size(); ++i) {
        const Entry& source = message.entries[i];
        auto target = entries[i];
        target.setTenant(source.tenant);
        target.setFree(source.available);
        target.setGift(source.transfer);
        target.setWant(source.max_transfer);
        target.setFlags(static_cast<std::uint8_t>((source.urgent ? 1 : 0) | (source.under_pressure ? 2 : 0)));
    }
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, builder);
    const auto bytes = stream.getArray();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

leaf::result<Message> decode(std::string_view bytes) {
    if (bytes.size() > kMaxMessageSize) return leaf::new_error(DecodeError::TooLarge);
    Message message;
    try {    // the only place where the library's exceptions can arise
        kj::ArrayInputStream input(
            kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader reader(input,
                                          {.traversalLimitInWords = 4 * kMaxMessageSize, .nestingLimit = 8});
        const auto root = reader.getRoot<wire::Balance>();
        message = {root.getLife(),
                   root.getSequence(),
                   root.getStamp(),
                   root.getEchoLife(),
                   root.getEcho(),
                   root.getHeld(),
                   {}};
        const auto entries = root.getEntries();
        if (entries.size() > kMaxMessageSize / sizeof(std::uint64_t))
            return leaf::new_error(DecodeError::TooLarge);
        message.entries.reserve(entries.size());
        for (const auto source : entries) {
            const Entry entry{source.getTenant(),
                              source.getFree(),
                              source.getGift(),
                              source.getWant(),
                              (source.getFlags() & 1) != 0,
                              (source.getFlags() & 2) != 0};
            if (!is_valid_amount(entry.available) || !is_valid_amount(entry.transfer) ||
                !is_valid_amount(entry.max_transfer) || entry.transfer < 0.0F || entry.max_transfer < 0.0F)
                return leaf::new_error(DecodeError::InvalidAmount);
            message.entries.push_back(entry);
        }
    } catch (const kj::Exception&) {
        return leaf::new_error(DecodeError::Malformed);
    }
    return message;
}

std::uint64_t tenant_id(std::string_view name) { return XXH3_64bits(name.data(), name.size()); }

}    // namespace shaletray::quota
