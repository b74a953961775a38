#include "base/runtime/capnp_codec.h"

#include <criterion/criterion.h>

#include <random>

#include "base/runtime/sample.capnp.h"

using namespace shaletray;

namespace {

using Reader = runtime::sample::Sample::Reader;

constexpr runtime::ReadLimits kLimits{.max_words = 4096, .max_depth = 8};
constexpr std::size_t kHeaderBytes = 5;

// Builds a sample with `depth` nested `inner` samples; the innermost one has the content.
void fill(capnp::MessageBuilder& message, int depth = 0) {
    auto builder = message.initRoot<runtime::sample::Sample>();
    const std::string data(1000, 'd'), text = "text";
    for (; depth > 0; --depth) builder = builder.initInner();
    builder.setNumber(7);
    builder.setData(runtime::data_of(data));
    builder.setText(runtime::text_reader_of(text));
}

boost::leaf::result<std::string> read_sample(Reader sample) {
    std::string content = std::to_string(sample.getNumber());
    content += runtime::text_of(sample.getData());
    content += runtime::text_of(sample.getText());
    if (sample.hasInner()) sample.getInner().getNumber();
    return content;
}

const std::string kExpected = "7" + std::string(1000, 'd') + "text";

}    // namespace

Test(capnp_codec, round_trips_messages_in_both_forms) {
    capnp::MallocMessageBuilder message;
    fill(message);
    const std::string packed = runtime::pack(message), serialized = runtime::serialize(message);
    cr_assert(runtime::unpack<runtime::sample::Sample>(packed, read_sample).value() == kExpected);
    cr_assert(runtime::unpack<runtime::sample::Sample>(packed, kLimits, read_sample).value() == kExpected);
    cr_assert(runtime::deserialize<runtime::sample::Sample>(serialized, kLimits, read_sample).value() ==
              kExpected);
    cr_assert(runtime::unpacked_word_count(packed).value() * sizeof(capnp::word) == serialized.size());
}

Test(capnp_codec, reserves_space_for_a_header) {
    capnp::MallocMessageBuilder message;
    fill(message);
    const std::string header(kHeaderBytes, '\0');
    cr_assert(runtime::pack(message, kHeaderBytes) == header + runtime::pack(message));
    cr_assert(runtime::serialize(message, kHeaderBytes) == header + runtime::serialize(message));
}

Test(capnp_codec, rejects_messages_beyond_the_limits) {
    capnp::MallocMessageBuilder message;
    fill(message, 2);
    const std::string serialized = runtime::serialize(message);
    const auto read_innermost = [](Reader sample) -> boost::leaf::result<std::uint64_t> {
        return sample.getInner().getInner().getNumber();
    };
    const auto read_within = [&](runtime::ReadLimits limits) {
        return runtime::deserialize<runtime::sample::Sample>(serialized, limits, read_innermost);
    };
    cr_assert(read_within(kLimits).value() == 7);
    cr_assert(!read_within({.max_words = kLimits.max_words, .max_depth = 2}));
    cr_assert(!read_within({.max_words = 2, .max_depth = kLimits.max_depth}));
}

Test(capnp_codec, corrupt_bytes_give_an_error_or_a_message) {
    std::mt19937 random(3);
    capnp::MallocMessageBuilder message;
    fill(message);
    const std::string packed = runtime::pack(message), serialized = runtime::serialize(message);
    for (std::size_t length = 0; length < serialized.size(); ++length)
        cr_assert(!runtime::deserialize<runtime::sample::Sample>(serialized.substr(0, length), kLimits,
                                                                 read_sample));
    cr_assert(!runtime::deserialize<runtime::sample::Sample>(serialized + std::string(8, '\0'), kLimits,
                                                             read_sample));
    for (int iteration = 0; iteration < 5000; ++iteration) {
        std::string damaged_packed = packed, damaged_serialized = serialized;
        damaged_packed[random() % packed.size()] = static_cast<char>(random());
        damaged_serialized[random() % serialized.size()] = static_cast<char>(random());
        // With sanitizers enabled, this also detects reads out of bounds.
        const auto unpacked = runtime::unpack<runtime::sample::Sample>(damaged_packed, read_sample);
        const auto deserialized =
            runtime::deserialize<runtime::sample::Sample>(damaged_serialized, kLimits, read_sample);
        if (unpacked) cr_assert(unpacked->size() <= 16 * packed.size() + 8192);
        if (deserialized) cr_assert(deserialized->size() <= 2 * serialized.size());
    }
}
