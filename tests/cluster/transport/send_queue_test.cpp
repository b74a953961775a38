// Tests of the limits and the order of SendQueue.
#include "cluster/transport/send_queue.h"

#include <criterion/criterion.h>

using namespace shaletray;
using namespace shaletray::transport;
using namespace std::chrono_literals;

Test(send_queue, limits_bytes_and_age_and_keeps_the_order) {
    SendQueue queue(100);
    std::size_t dropped = 0;
    for (int i = 0; i < 10; ++i) {
        dropped += queue.push(std::string(30, static_cast<char>('a' + i)), TimePoint(1s * i));
        cr_assert(queue.total_bytes() <= 100);
    }
    cr_assert(dropped == 7);
    cr_assert(queue.expire(TimePoint(8s)) == 1);
    cr_assert(queue.take_batch(60) == std::string(30, 'i') + std::string(30, 'j'));
    cr_assert(queue.batch_frames() == 2 && queue.total_bytes() == 60 && queue.empty());
    // The batch being written counts but can no longer be dropped. The newest frame is never dropped.
    cr_assert(queue.push(std::string(50, 'k'), TimePoint(9s)) == 0);
    cr_assert(queue.push(std::string(200, 'l'), TimePoint(9s)) == 1);
    cr_assert(queue.discard_batch() == 2 && queue.total_bytes() == 200);
    cr_assert(queue.take_batch(60).size() == 200);
}

Test(send_queue, tells_when_the_oldest_frame_was_pushed) {
    SendQueue queue(1000);
    queue.push(std::string(30, 'a'), TimePoint(1s));
    queue.push(std::string(30, 'b'), TimePoint(2s));
    cr_assert(queue.oldest_push() == TimePoint(1s));
    queue.take_batch(30);    // the batch counts until it is written
    cr_assert(queue.oldest_push() == TimePoint(1s));
    queue.mark_written();
    cr_assert(queue.oldest_push() == TimePoint(2s));
}
