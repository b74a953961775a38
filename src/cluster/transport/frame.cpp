#include "cluster/transport/frame.h"

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <kj/exception.h>
#include <kj/io.h>

#include <cstring>

#include "cluster/transport/envelope.capnp.h"

namespace shaletray::transport {
namespace {

constexpr std::size_t kWordBytes = sizeof(capnp::word);

std::string write_envelope(Kind kind, std::string_view sender, std::uint64_t incarnation,
                           std::string_view payload, std::size_t header_bytes) {
    // All fits into the first segment, so nothing is copied twice but the letter itself.
    const std::size_t word_count = kMaxEnvelopeOverhead / kWordBytes + payload.size() / kWordBytes;
    capnp::MallocMessageBuilder message(static_cast<unsigned>(word_count));
    auto envelope = message.initRoot<schema::Envelope>();
    envelope.setVersion(kProtocolVersion);
    envelope.setKind(static_cast<std::uint8_t>(kind));
    envelope.setLife(incarnation);
    auto sender_builder = envelope.initFrom(static_cast<unsigned>(sender.size()));
    std::copy(sender.begin(), sender.end(), sender_builder.begin());
    auto payload_builder = envelope.initBytes(static_cast<unsigned>(payload.size()));
    std::copy(payload.begin(), payload.end(), payload_builder.begin());

    const auto segments = message.getSegmentsForOutput();
    const std::size_t size = capnp::computeSerializedSizeInWords(segments) * kWordBytes;
    std::string output(header_bytes + size, '\0');
    for (std::size_t i = 0; i < header_bytes; ++i) output[i] = static_cast<char>(size >> (8 * i) & 0xff);
    kj::ArrayOutputStream stream(kj::arrayPtr(reinterpret_cast<kj::byte*>(output.data()) + header_bytes,
                                              static_cast<std::size_t>(size)));
    capnp::writeMessage(stream, segments);
    return output;
}

}    // namespace

std::string write_datagram(Kind kind, std::string_view sender, std::uint64_t incarnation,
                           std::string_view payload) {
    return write_envelope(kind, sender, incarnation, payload, 0);
}

std::string write_frame(Kind kind, std::string_view sender, std::uint64_t incarnation,
                        std::string_view payload) {
    return write_envelope(kind, sender, incarnation, payload, kFrameHeaderBytes);
}

boost::leaf::result<Message> read_message(std::string_view bytes) {
    if (bytes.empty() || bytes.size() % kWordBytes != 0) return boost::leaf::new_error(FrameError::Malformed);
    // Words have to stand at their own boundaries.
    auto words = kj::heapArray<capnp::word>(bytes.size() / kWordBytes);
    std::memcpy(static_cast<void*>(words.begin()), bytes.data(), bytes.size());
    capnp::ReaderOptions options;
    options.traversalLimitInWords = words.size() + 16;    // every byte once
    options.nestingLimit = 4;
    try {
        capnp::FlatArrayMessageReader reader(words, options);
        if (reader.getEnd() != words.end()) return boost::leaf::new_error(FrameError::Malformed);
        const auto envelope = reader.getRoot<schema::Envelope>();
        if (envelope.getVersion() != kProtocolVersion)
            return boost::leaf::new_error(FrameError::UnsupportedVersion);
        if (envelope.getKind() < static_cast<std::uint8_t>(Kind::Membership) ||
            envelope.getKind() > static_cast<std::uint8_t>(Kind::Quota))
            return boost::leaf::new_error(FrameError::UnknownKind);
        const auto sender = envelope.getFrom();
        if (sender.size() == 0 || sender.size() > kMaxSenderBytes)
            return boost::leaf::new_error(FrameError::InvalidSender);
        const auto payload = envelope.getBytes();
        Message message;
        message.kind = static_cast<Kind>(envelope.getKind());
        message.sender.assign(sender.begin(), sender.end());
        message.incarnation = envelope.getLife();
        message.payload.assign(reinterpret_cast<const char*>(payload.begin()), payload.size());
        return message;
    } catch (const kj::Exception&) {
        return boost::leaf::new_error(FrameError::Malformed);
    }
}

std::size_t frame_length(std::string_view bytes) {
    if (bytes.size() < kFrameHeaderBytes) return 0;
    std::size_t length = 0;
    for (std::size_t i = 0; i < kFrameHeaderBytes; ++i)
        length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    return length;
}

}    // namespace shaletray::transport
