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

constexpr float kAbsurd = 1e9F;
constexpr std::size_t kLongest = 4096;    // bytes read; a later version may send longer ones than we do

bool sound(float value) { return std::isfinite(value) && std::fabs(value) < kAbsurd; }

}    // namespace

std::string encode(const Message& message) {
    capnp::word scratch[256] = {};
    capnp::MallocMessageBuilder builder(kj::arrayPtr(scratch, 256));
    auto root = builder.initRoot<wire::Balance>();
    root.setLife(message.life);
    root.setSequence(message.sequence);
    root.setStamp(message.stamp);
    root.setEchoLife(message.echo_life);
    root.setEcho(message.echo);
    root.setHeld(message.held);
    auto entries = root.initEntries(static_cast<unsigned>(message.entries.size()));
    for (unsigned i = 0; i < entries.size(); ++i) {
        const Entry& from = message.entries[i];
        auto to = entries[i];
        to.setTenant(from.tenant);
        to.setFree(from.free);
        to.setGift(from.gift);
        to.setWant(from.want);
        to.setFlags(static_cast<std::uint8_t>((from.urgent ? 1 : 0) | (from.pressed ? 2 : 0)));
    }
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, builder);
    const auto bytes = out.getArray();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

leaf::result<Message> decode(std::string_view bytes) {
    if (bytes.size() > kLongest) return leaf::new_error(BadMessage::TooLong);
    Message message;
    try {    // the only place where the library's exceptions can arise
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader reader(in, {.traversalLimitInWords = 4 * kLongest, .nestingLimit = 8});
        const auto root = reader.getRoot<wire::Balance>();
        message = {root.getLife(),
                   root.getSequence(),
                   root.getStamp(),
                   root.getEchoLife(),
                   root.getEcho(),
                   root.getHeld(),
                   {}};
        const auto entries = root.getEntries();
        if (entries.size() > kLongest / sizeof(std::uint64_t)) return leaf::new_error(BadMessage::TooLong);
        message.entries.reserve(entries.size());
        for (const auto from : entries) {
            const Entry e{from.getTenant(),
                          from.getFree(),
                          from.getGift(),
                          from.getWant(),
                          (from.getFlags() & 1) != 0,
                          (from.getFlags() & 2) != 0};
            if (!sound(e.free) || !sound(e.gift) || !sound(e.want) || e.gift < 0.0F || e.want < 0.0F)
                return leaf::new_error(BadMessage::Amount);
            message.entries.push_back(e);
        }
    } catch (const kj::Exception&) {
        return leaf::new_error(BadMessage::Unreadable);
    }
    return message;
}

std::uint64_t tenant_id(std::string_view name) { return XXH3_64bits(name.data(), name.size()); }

}    // namespace shaletray::quota
