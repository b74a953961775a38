#include "cluster/transport/frame.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <cstring>

#include "cluster/transport/envelope.capnp.h"

namespace shaletray::transport {
namespace {

constexpr std::size_t kWord = sizeof(capnp::word);

std::string write(Kind kind, std::string_view from, std::uint64_t life, std::string_view bytes,
                  std::size_t head) {
    // All fits into the first segment, so nothing is copied twice but the letter itself.
    const std::size_t words = kMostAround / kWord + bytes.size() / kWord;
    capnp::MallocMessageBuilder message(static_cast<unsigned>(words));
    auto envelope = message.initRoot<schema::Envelope>();
    envelope.setVersion(kVersion);
    envelope.setKind(static_cast<std::uint8_t>(kind));
    envelope.setLife(life);
    auto name = envelope.initFrom(static_cast<unsigned>(from.size()));
    std::copy(from.begin(), from.end(), name.begin());
    auto data = envelope.initBytes(static_cast<unsigned>(bytes.size()));
    std::copy(bytes.begin(), bytes.end(), data.begin());

    const auto segments = message.getSegmentsForOutput();
    const std::size_t size = capnp::computeSerializedSizeInWords(segments) * kWord;
    std::string out(head + size, '\0');
    for (std::size_t i = 0; i < head; ++i) out[i] = static_cast<char>(size >> (8 * i) & 0xff);
    kj::ArrayOutputStream stream(
        kj::arrayPtr(reinterpret_cast<kj::byte*>(out.data()) + head, static_cast<std::size_t>(size)));
    capnp::writeMessage(stream, segments);
    return out;
}

}    // namespace

std::string write_datagram(Kind kind, std::string_view from, std::uint64_t life, std::string_view bytes) {
    return write(kind, from, life, bytes, 0);
}

std::string write_frame(Kind kind, std::string_view from, std::uint64_t life, std::string_view bytes) {
    return write(kind, from, life, bytes, kFrameHead);
}

boost::leaf::result<Letter> read_letter(std::string_view envelope) {
    if (envelope.empty() || envelope.size() % kWord != 0) return boost::leaf::new_error(Spoilt::Form);
    // Words have to stand at their own boundaries.
    auto words = kj::heapArray<capnp::word>(envelope.size() / kWord);
    std::memcpy(static_cast<void*>(words.begin()), envelope.data(), envelope.size());
    capnp::ReaderOptions options;
    options.traversalLimitInWords = words.size() + 16;    // every byte once
    options.nestingLimit = 4;
    try {
        capnp::FlatArrayMessageReader message(words, options);
        if (message.getEnd() != words.end()) return boost::leaf::new_error(Spoilt::Form);
        const auto read = message.getRoot<schema::Envelope>();
        if (read.getVersion() != kVersion) return boost::leaf::new_error(Spoilt::Version);
        if (read.getKind() < static_cast<std::uint8_t>(Kind::Convoy) ||
            read.getKind() > static_cast<std::uint8_t>(Kind::Tide))
            return boost::leaf::new_error(Spoilt::Kind);
        const auto from = read.getFrom();
        if (from.size() == 0 || from.size() > kLongestFrom) return boost::leaf::new_error(Spoilt::Sender);
        const auto bytes = read.getBytes();
        Letter letter;
        letter.kind = static_cast<Kind>(read.getKind());
        letter.from.assign(from.begin(), from.end());
        letter.life = read.getLife();
        letter.bytes.assign(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
        return letter;
    } catch (const kj::Exception&) {
        return boost::leaf::new_error(Spoilt::Form);
    }
}

std::size_t frame_length(std::string_view bytes) {
    if (bytes.size() < kFrameHead) return 0;
    std::size_t length = 0;
    for (std::size_t i = 0; i < kFrameHead; ++i)
        length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    return length;
}

}    // namespace shaletray::transport
