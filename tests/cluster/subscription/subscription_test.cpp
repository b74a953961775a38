// What pilots and lighthouses tell each other, as bytes.
#include "cluster/subscription/subscription.h"

#include <criterion/criterion.h>

#include <random>

using namespace shaletray;

namespace {

subscription::News news() {
    subscription::News n;
    n.life = 1'700'000'000'000'000;
    n.confirmed = true;
    n.version = 12;
    n.digest = 0xfedcba9876543210;
    n.update = std::string(3000, '\0') + "patch";
    n.since = 3;
    n.sequence = 9;
    n.servers = std::string("bytes\0more", 10);
    return n;
}

}    // namespace

Test(watch, comes_back_as_it_was) {
    const subscription::Have have{5, 12, 34, 56, 78, 11};
    cr_assert(subscription::decode_have(subscription::encode(have)).value() == have);
    cr_assert(subscription::decode_have(subscription::encode(subscription::Have{})).value() ==
              subscription::Have{});
    cr_assert(subscription::decode_news(subscription::encode(news())).value() == news());
    cr_assert(!subscription::decode_news(subscription::encode(have)));
    cr_assert(subscription::encode(have).size() < 64);
}

Test(watch, survives_bytes_that_are_no_message) {
    std::mt19937_64 draw(7);
    const std::string good[] = {subscription::encode(news()),
                                subscription::encode(subscription::Have{5, 12, 34, 56, 78, 11})};
    cr_assert(!subscription::decode(""));
    for (int i = 0; i < 20000; ++i) {
        std::string bytes = good[draw() % 2];
        for (int n = 0; n < 3; ++n) bytes[draw() % bytes.size()] = static_cast<char>(draw());
        if (draw() % 2 == 0) bytes.resize(draw() % (bytes.size() + 1));
        const auto message = subscription::decode(bytes);
        if (!message) continue;
        if (const auto* n = std::get_if<subscription::News>(&message.value()))
            cr_assert(n->update.size() + n->servers.size() <= 16 * bytes.size() + 8192);
    }
}
