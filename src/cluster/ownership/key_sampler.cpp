#include "cluster/ownership/key_sampler.h"

#include <utility>

namespace shaletray::ownership {

void KeySampler::record(const std::string& service, Key key) {
    KeySamples& samples = samples_[service];
    samples.service = service;
    ++samples.arrivals;
    if (samples.keys.size() < max_samples_) return samples.keys.push_back(key);
    const std::uint64_t slot = random_() % samples.arrivals;
    if (slot < max_samples_) samples.keys[slot] = key;
}

std::vector<KeySamples> KeySampler::take() {
    std::vector<KeySamples> result;
    for (auto& [service, samples] : std::exchange(samples_, {})) result.push_back(std::move(samples));
    return result;
}

}    // namespace shaletray::ownership
