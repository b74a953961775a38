// Tests of encoding and decoding subscription messages.
#include "cluster/subscription/subscription.h"

#include <criterion/criterion.h>

#include <random>

using namespace shaletray;

namespace {

subscription::ControlUpdate sample_update() {
    subscription::ControlUpdate update;
    update.incarnation = 1'700'000'000'000'000;
    update.quorum_confirmed = true;
    update.version = 12;
    update.digest = 0xfedcba9876543210;
    update.configuration_delta = std::string(3000, '\0') + "patch";
    update.since_sequence = 3;
    update.sequence = 9;
    update.endpoint_changes = std::string("bytes\0more", 10);
    return update;
}

}    // namespace

Test(subscription, decodes_what_was_encoded) {
    const subscription::ClientState client_state{5, 12, 34, 56, 78, 11};
    cr_assert(subscription::decode_client_state(subscription::encode(client_state)).value() == client_state);
    cr_assert(subscription::decode_client_state(subscription::encode(subscription::ClientState{})).value() ==
              subscription::ClientState{});
    cr_assert(subscription::decode_control_update(subscription::encode(sample_update())).value() ==
              sample_update());
    cr_assert(!subscription::decode_control_update(subscription::encode(client_state)));
    cr_assert(subscription::encode(client_state).size() < 64);
}

Test(subscription, rejects_or_decodes_corrupted_bytes) {
    std::mt19937_64 random(7);
    const std::string valid_messages[] = {
        subscription::encode(sample_update()),
        subscription::encode(subscription::ClientState{5, 12, 34, 56, 78, 11})};
    cr_assert(!subscription::decode(""));
    for (int i = 0; i < 20000; ++i) {
        std::string bytes = valid_messages[random() % 2];
        for (int change = 0; change < 3; ++change)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        if (random() % 2 == 0) bytes.resize(random() % (bytes.size() + 1));
        const auto message = subscription::decode(bytes);
        if (!message) continue;
        if (const auto* update = std::get_if<subscription::ControlUpdate>(&message.value()))
            cr_assert(update->configuration_delta.size() + update->endpoint_changes.size() <=
                      16 * bytes.size() + 8192);
    }
}
