// What pilots and lighthouses tell each other, as bytes.
#include "lighthouse/watch.h"

#include <criterion/criterion.h>

#include <random>

using namespace shaletray;

namespace {

watch::News news() {
    watch::News n;
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
    const watch::Have have{5, 12, 34, 56, 78, 11};
    cr_assert(watch::decode_have(watch::encode(have)).value() == have);
    cr_assert(watch::decode_have(watch::encode(watch::Have{})).value() == watch::Have{});
    cr_assert(watch::decode_news(watch::encode(news())).value() == news());
    cr_assert(!watch::decode_news(watch::encode(have)));
    cr_assert(watch::encode(have).size() < 64);
}

Test(watch, survives_bytes_that_are_no_message) {
    std::mt19937_64 draw(7);
    const std::string good[] = {watch::encode(news()), watch::encode(watch::Have{5, 12, 34, 56, 78, 11})};
    cr_assert(!watch::decode(""));
    for (int i = 0; i < 20000; ++i) {
        std::string bytes = good[draw() % 2];
        for (int n = 0; n < 3; ++n) bytes[draw() % bytes.size()] = static_cast<char>(draw());
        if (draw() % 2 == 0) bytes.resize(draw() % (bytes.size() + 1));
        const auto message = watch::decode(bytes);
        if (!message) continue;
        if (const auto* n = std::get_if<watch::News>(&message.value()))
            cr_assert(n->update.size() + n->servers.size() <= 16 * bytes.size() + 8192);
    }
}
