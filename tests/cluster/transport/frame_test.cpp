// Tests of encoding and decoding envelopes and frames.
#include "cluster/transport/frame.h"

#include <criterion/criterion.h>

#include <random>

using namespace shaletray;
using namespace shaletray::transport;

Test(frame, reads_what_was_written) {
    for (const std::size_t size : {0, 1, 7, 8, 9, 1200, 100000}) {
        const std::string bytes(size, '\xfe');
        const auto message = read_message(write_datagram(Kind::Subscription, "10.1.0.24:7100", 77, bytes));
        cr_assert(message);
        cr_assert(message->kind == Kind::Subscription && message->incarnation == 77);
        cr_assert(message->sender == "10.1.0.24:7100" && message->payload == bytes);
        const std::string frame = write_frame(Kind::Subscription, "10.1.0.24:7100", 77, bytes);
        cr_assert(frame_length(frame) == frame.size() - kFrameHeaderBytes);
        cr_assert(frame.size() <= kFrameHeaderBytes + kMaxEnvelopeOverhead + size);
        cr_assert(read_message(std::string_view(frame).substr(kFrameHeaderBytes))->payload == bytes);
    }
}

// Corrupted bytes are rejected, or decoded to a message within its limits.
Test(frame, rejects_or_decodes_corrupted_bytes) {
    std::mt19937 random(5);
    const std::string complete = write_datagram(Kind::Quota, "10.1.0.24:7101", 3, std::string(64, 'x'));
    int accepted = 0, rejected = 0;
    for (int i = 0; i < 20000; ++i) {
        std::string bytes = complete;
        for (int remaining = 1 + static_cast<int>(random() % 4); remaining > 0; --remaining)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        if (random() % 4 == 0) bytes.resize(random() % (bytes.size() + 1));
        if (random() % 8 == 0) bytes.append(random() % 24, static_cast<char>(random()));
        const auto message = read_message(bytes);
        if (!message) {
            ++rejected;
            continue;
        }
        ++accepted;
        cr_assert(message->sender.size() <= kMaxSenderBytes && message->payload.size() <= bytes.size());
        cr_assert(message->kind >= Kind::Membership && message->kind <= Kind::Quota);
    }
    cr_assert(accepted > 0 && rejected > 0);
    for (std::size_t length = 0; length < complete.size(); ++length)
        cr_assert(!read_message(complete.substr(0, length)));
}
