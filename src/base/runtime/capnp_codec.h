// Encoding and decoding of Cap'n Proto messages, in the packed form (`pack`, `unpack`) and in the plain one
// (`serialize`, `deserialize`). Only this module turns exceptions of Cap'n Proto into errors. Input is
// untrusted: decoding any bytes yields a message or an error.
//
// Header only: a library that includes it links Cap'n Proto through its schema.
#pragma once

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <boost/leaf/error.hpp>
#include <boost/leaf/result.hpp>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <utility>

namespace shaletray::runtime {

// The error of bytes that are not a valid message of the expected type.
struct MalformedMessage {
    std::string reason;
};

// Limits on reading a message, so that a small message cannot cost much memory or time.
struct ReadLimits {
    std::uint64_t max_words = 0;    // words read in total; a word counts each time it is visited
    int max_depth = 0;              // of nested structs and lists
};

// Text and data are converted without a copy: the result is valid as long as the argument.
inline std::string_view text_of(capnp::Data::Reader data) {
    return {reinterpret_cast<const char*>(data.begin()), data.size()};
}
inline std::string_view text_of(capnp::Text::Reader text) { return {text.begin(), text.size()}; }
inline capnp::Data::Reader data_of(std::string_view bytes) {
    return {reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()};
}
inline capnp::Text::Reader text_reader_of(const std::string& text) { return {text.c_str(), text.size()}; }

namespace detail {

// Appends what is written to a string.
class StringOutputStream : public kj::OutputStream {
public:
    explicit StringOutputStream(std::string& output) : output_(output) {}
    void write(const void* bytes, std::size_t size) override {
        output_.append(static_cast<const char*>(bytes), size);
    }

private:
    std::string& output_;
};

inline capnp::ReaderOptions reader_options(const ReadLimits& limits) {
    capnp::ReaderOptions options;
    options.traversalLimitInWords = limits.max_words;
    options.nestingLimit = limits.max_depth;
    return options;
}

inline auto malformed(const kj::Exception& error) {
    return boost::leaf::new_error(MalformedMessage{error.getDescription().cStr()});
}

}    // namespace detail

// Returns the message in the packed form, after `header_bytes` zero bytes that the caller fills in.
inline std::string pack(capnp::MessageBuilder& message, std::size_t header_bytes = 0) {
    std::string bytes;
    bytes.reserve(header_bytes + capnp::computeSerializedSizeInWords(message) * sizeof(capnp::word));
    bytes.resize(header_bytes);
    detail::StringOutputStream stream(bytes);
    capnp::writePackedMessage(stream, message);
    return bytes;
}

// Returns the message in the plain form, after `header_bytes` zero bytes that the caller fills in.
inline std::string serialize(capnp::MessageBuilder& message, std::size_t header_bytes = 0) {
    const auto segments = message.getSegmentsForOutput();
    const std::size_t size = capnp::computeSerializedSizeInWords(segments) * sizeof(capnp::word);
    std::string bytes(header_bytes + size, '\0');
    kj::byte* const body = reinterpret_cast<kj::byte*>(bytes.data()) + header_bytes;
    kj::ArrayOutputStream stream(kj::arrayPtr(body, size));
    capnp::writeMessage(stream, segments);
    return bytes;
}

// The size of a packed message once unpacked, in words. Errors: MalformedMessage.
inline boost::leaf::result<std::uint64_t> unpacked_word_count(std::string_view bytes) {
    try {
        return std::uint64_t{capnp::computeUnpackedSizeInWords(data_of(bytes))};
    } catch (const kj::Exception& error) {
        return detail::malformed(error);
    }
}

// Calls `handler` with the root of a packed message, which is valid during the call only. Errors:
// MalformedMessage, and those that `handler` returns.
template <class Root, class Handler>
auto unpack(std::string_view bytes, const ReadLimits& limits, Handler&& handler)
    -> decltype(handler(std::declval<typename Root::Reader>())) {
    try {
        kj::ArrayInputStream stream(data_of(bytes));
        capnp::PackedMessageReader reader(stream, detail::reader_options(limits));
        return handler(reader.getRoot<Root>());
    } catch (const kj::Exception& error) {
        return detail::malformed(error);
    }
}

// The same with limits that suit the system's messages: packing shortens them to a sixteenth at most, so a
// message that claims to unpack to more than that is rejected.
template <class Root, class Handler>
auto unpack(std::string_view bytes, Handler&& handler)
    -> decltype(handler(std::declval<typename Root::Reader>())) {
    const ReadLimits limits{.max_words = 1024 + 2 * std::uint64_t{bytes.size()}, .max_depth = 16};
    return unpack<Root>(bytes, limits, std::forward<Handler>(handler));
}

// Calls `handler` with the root of a plain message, which is valid during the call only. The message takes up
// all of `bytes`. Errors: MalformedMessage, and those that `handler` returns.
template <class Root, class Handler>
auto deserialize(std::string_view bytes, const ReadLimits& limits, Handler&& handler)
    -> decltype(handler(std::declval<typename Root::Reader>())) {
    if (bytes.empty() || bytes.size() % sizeof(capnp::word) != 0)
        return boost::leaf::new_error(MalformedMessage{"size is not a whole number of words"});
    // The reader needs words at their alignment, which `bytes` need not have.
    auto words = kj::heapArray<capnp::word>(bytes.size() / sizeof(capnp::word));
    std::memcpy(words.asBytes().begin(), bytes.data(), bytes.size());
    try {
        capnp::FlatArrayMessageReader reader(words, detail::reader_options(limits));
        if (reader.getEnd() != words.end())
            return boost::leaf::new_error(MalformedMessage{"bytes after the message"});
        return handler(reader.getRoot<Root>());
    } catch (const kj::Exception& error) {
        return detail::malformed(error);
    }
}

}    // namespace shaletray::runtime
