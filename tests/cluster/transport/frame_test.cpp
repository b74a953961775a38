// The envelope's bytes, and what waits for a peer.
#include "cluster/transport/frame.h"

#include <criterion/criterion.h>

#include <random>

#include "cluster/transport/send_queue.h"

using namespace shaletray;
using namespace shaletray::transport;
using namespace std::chrono_literals;

Test(envelope, what_was_written_is_read) {
    for (const std::size_t size : {0, 1, 7, 8, 9, 1200, 100000}) {
        const std::string bytes(size, '\xfe');
        const auto letter = read_letter(write_datagram(Kind::Watch, "10.1.0.24:7100", 77, bytes));
        cr_assert(letter);
        cr_assert(letter->kind == Kind::Watch && letter->life == 77);
        cr_assert(letter->from == "10.1.0.24:7100" && letter->bytes == bytes);
        const std::string frame = write_frame(Kind::Watch, "10.1.0.24:7100", 77, bytes);
        cr_assert(frame_length(frame) == frame.size() - kFrameHead);
        cr_assert(frame.size() <= kFrameHead + kMostAround + size);
        cr_assert(read_letter(std::string_view(frame).substr(kFrameHead))->bytes == bytes);
    }
}

// Whatever the damage, a letter or an error comes back, and a letter of bounds that hold.
Test(envelope, damaged_bytes_are_an_error_or_a_letter) {
    std::mt19937 random(5);
    const std::string whole = write_datagram(Kind::Tide, "10.1.0.24:7101", 3, std::string(64, 'x'));
    int read = 0, refused = 0;
    for (int i = 0; i < 20000; ++i) {
        std::string bytes = whole;
        for (int n = 1 + static_cast<int>(random() % 4); n > 0; --n)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        if (random() % 4 == 0) bytes.resize(random() % (bytes.size() + 1));
        if (random() % 8 == 0) bytes.append(random() % 24, static_cast<char>(random()));
        const auto letter = read_letter(bytes);
        if (!letter) {
            ++refused;
            continue;
        }
        ++read;
        cr_assert(letter->from.size() <= kLongestFrom && letter->bytes.size() <= bytes.size());
        cr_assert(letter->kind >= Kind::Convoy && letter->kind <= Kind::Tide);
    }
    cr_assert(read > 0 && refused > 0);
    for (std::size_t cut = 0; cut < whole.size(); ++cut) cr_assert(!read_letter(whole.substr(0, cut)));
}

Test(outbox, is_bounded_in_bytes_and_age_and_keeps_the_order) {
    Outbox box(100);
    std::size_t dropped = 0;
    for (int i = 0; i < 10; ++i) {
        dropped += box.push(std::string(30, static_cast<char>('a' + i)), TimePoint(1s * i));
        cr_assert(box.bytes() <= 100);
    }
    cr_assert(dropped == 7);
    cr_assert(box.expire(TimePoint(8s)) == 1);
    cr_assert(box.take(60) == std::string(30, 'i') + std::string(30, 'j'));
    cr_assert(box.taken() == 2 && box.bytes() == 60 && box.empty());
    // What is being written counts, and cannot be dropped any more; the newest is never.
    cr_assert(box.push(std::string(50, 'k'), TimePoint(9s)) == 0);
    cr_assert(box.push(std::string(200, 'l'), TimePoint(9s)) == 1);
    cr_assert(box.lost() == 2 && box.bytes() == 200);
    cr_assert(box.take(60).size() == 200);
}
