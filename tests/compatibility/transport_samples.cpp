// Envelopes of the transport between processes, for each kind of content, as a datagram and as a frame.
#include "cluster/transport/frame.h"
#include "compatibility/field_list.h"
#include "compatibility/samples.h"

namespace shaletray::compatibility {
namespace {

using transport::Kind;

std::string fields_of(const transport::Message& letter) {
    FieldList fields;
    fields.add("kind", letter.kind).add("from", letter.sender).add("life", letter.incarnation);
    return fields.add("bytes", letter.payload).text();
}

std::string read_datagram(std::string_view bytes) {
    const auto letter = transport::read_message(bytes);
    return letter ? fields_of(*letter) : std::string(kUnreadable);
}

std::string read_frame(std::string_view bytes) {
    if (transport::frame_length(bytes) + transport::kFrameHeaderBytes != bytes.size())
        return std::string(kUnreadable);
    return read_datagram(bytes.substr(transport::kFrameHeaderBytes));
}

}    // namespace

std::vector<MessageSample> transport_samples() {
    struct Content {
        Kind kind;
        const char* name;
    };
    std::vector<MessageSample> all;
    for (const auto& [kind, name] :
         {Content{Kind::Membership, "membership"}, Content{Kind::Consensus, "register"},
          Content{Kind::Registry, "registry"}, Content{Kind::Subscription, "watch"},
          Content{Kind::Quota, "quota"}}) {
        const transport::Message letter{kind, "10.1.0.24:7100", 0x0102030405060708,
                                        std::string("content\0of ", 11) + name};
        all.push_back({std::string("transport-datagram-") + name,
                       write_datagram(kind, letter.sender, letter.incarnation, letter.payload),
                       fields_of(letter), read_datagram});
        all.push_back({std::string("transport-frame-") + name,
                       write_frame(kind, letter.sender, letter.incarnation, letter.payload),
                       fields_of(letter), read_frame});
    }
    return all;
}

}    // namespace shaletray::compatibility
