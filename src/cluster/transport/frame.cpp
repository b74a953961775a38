#include "cluster/transport/frame.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>

#include "base/runtime/capnp_codec.h"
#include "cluster/transport/envelope.capnp.h"

namespace shaletray::transport {

namespace leaf = boost::leaf;

namespace {

constexpr std::size_t kWordBytes = sizeof(capnp::word);
constexpr int kMaxEnvelopeDepth = 4;    // an envelope holds no structs or lists of structs

std::string write_envelope(Kind kind, std::string_view sender, std::uint64_t incarnation,
                           std::string_view payload, std::size_t header_bytes) {
    // The first segment is large enough for the message, so that the payload is copied only once.
    const std::size_t word_count = kMaxEnvelopeOverhead / kWordBytes + payload.size() / kWordBytes;
    capnp::MallocMessageBuilder message(static_cast<unsigned>(word_count));
    auto envelope = message.initRoot<wire::Envelope>();
    envelope.setVersion(kProtocolVersion);
    envelope.setKind(static_cast<std::uint8_t>(kind));
    envelope.setIncarnation(incarnation);
    auto sender_builder = envelope.initSender(static_cast<unsigned>(sender.size()));
    std::copy(sender.begin(), sender.end(), sender_builder.begin());
    auto payload_builder = envelope.initPayload(static_cast<unsigned>(payload.size()));
    std::copy(payload.begin(), payload.end(), payload_builder.begin());
    return runtime::serialize(message, header_bytes);
}

bool is_known_kind(std::uint8_t kind) {
    return kind >= static_cast<std::uint8_t>(Kind::Membership) &&
           kind <= static_cast<std::uint8_t>(Kind::Quota);
}

leaf::result<Message> read_envelope(wire::Envelope::Reader envelope) {
    if (envelope.getVersion() != kProtocolVersion) return leaf::new_error(FrameError::UnsupportedVersion);
    if (!is_known_kind(envelope.getKind())) return leaf::new_error(FrameError::UnknownKind);
    const auto sender = envelope.getSender();
    if (sender.size() == 0 || sender.size() > kMaxSenderBytes)
        return leaf::new_error(FrameError::InvalidSender);
    Message message;
    message.kind = static_cast<Kind>(envelope.getKind());
    message.sender = runtime::text_of(sender);
    message.incarnation = envelope.getIncarnation();
    message.payload = runtime::text_of(envelope.getPayload());
    return message;
}

}    // namespace

std::string write_datagram(Kind kind, std::string_view sender, std::uint64_t incarnation,
                           std::string_view payload) {
    return write_envelope(kind, sender, incarnation, payload, 0);
}

std::string write_frame(Kind kind, std::string_view sender, std::uint64_t incarnation,
                        std::string_view payload) {
    std::string frame = write_envelope(kind, sender, incarnation, payload, kFrameHeaderBytes);
    const std::size_t length = frame.size() - kFrameHeaderBytes;
    for (std::size_t i = 0; i < kFrameHeaderBytes; ++i)
        frame[i] = static_cast<char>(length >> (8 * i) & 0xff);
    return frame;
}

leaf::result<Message> read_message(std::string_view bytes) {
    // Each word is read once; the few extra words allow for the way Cap'n Proto counts reads.
    const runtime::ReadLimits limits{.max_words = bytes.size() / kWordBytes + 16,
                                     .max_depth = kMaxEnvelopeDepth};
    return leaf::try_handle_some(
        [&] { return runtime::deserialize<wire::Envelope>(bytes, limits, read_envelope); },
        [](const runtime::MalformedMessage&) -> leaf::result<Message> {
            return leaf::new_error(FrameError::Malformed);
        });
}

std::size_t frame_length(std::string_view bytes) {
    if (bytes.size() < kFrameHeaderBytes) return 0;
    std::size_t length = 0;
    for (std::size_t i = 0; i < kFrameHeaderBytes; ++i)
        length |= static_cast<std::size_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
    return length;
}

}    // namespace shaletray::transport
