// Messages of Cap'n Proto as packed bytes, and back. The one place where its exceptions become errors. Header
// only: a library that includes it links Cap'n Proto by its schema.
#pragma once

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <algorithm>
#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace shaletray::runtime {

// Bytes that are no message of the kind they were taken for.
struct MalformedMessage {
    std::string reason;
};

inline std::string pack(capnp::MessageBuilder& message) {
    kj::VectorOutputStream stream;
    capnp::writePackedMessage(stream, message);
    const auto bytes = stream.getArray();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

// Calls `read` with the message's root, which is valid during the call only. Errors: Spoilt, and what `read`
// returns as one.
template <class Root, class Handler>
auto unpack(std::string_view bytes, Handler&& handler)
    -> decltype(handler(std::declval<typename Root::Reader>())) {
    try {
        kj::ArrayInputStream stream(
            kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
        // Packing shortens ours to a sixteenth at the most; what claims to unfold to more is not believed.
        capnp::ReaderOptions options;
        options.traversalLimitInWords = 1024 + 2 * static_cast<std::uint64_t>(bytes.size());
        options.nestingLimit = 16;
        capnp::PackedMessageReader message(stream, options);
        return handler(message.getRoot<Root>());
    } catch (const kj::Exception& error) {
        return boost::leaf::new_error(MalformedMessage{error.getDescription().cStr()});
    }
}

inline std::string_view text_of(capnp::Data::Reader data) {
    return {reinterpret_cast<const char*>(data.begin()), data.size()};
}
inline std::string_view text_of(capnp::Text::Reader text) { return {text.begin(), text.size()}; }
inline capnp::Data::Reader data_of(std::string_view bytes) {
    return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}
inline capnp::Text::Reader text_reader_of(const std::string& text) { return {text.c_str(), text.size()}; }

}    // namespace shaletray::runtime
