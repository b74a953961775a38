#include "controller/registry_forwarder.h"

#include <algorithm>

#include "base/runtime/capnp_codec.h"
#include "controller/registry_forwarder.capnp.h"

namespace shaletray::controller {
namespace {

using namespace std::chrono_literals;
namespace leaf = boost::leaf;

constexpr Duration kEvery = 1s;
constexpr Duration kAnew = 1500ms;    // for what was told to be known, else it is told again

}    // namespace

void Relay::others(const std::vector<std::string>& addresses) {
    std::erase_if(others_, [&](const auto& item) {
        return std::find(addresses.begin(), addresses.end(), item.first) == addresses.end();
    });
    for (const std::string& address : addresses) others_.try_emplace(address);
}

void Relay::life() {
    for (auto& [address, other] : others_) other.told = other.knows = 0;
}

void Relay::heard(const std::string& from, std::uint64_t life, std::string_view bytes, TimePoint now) {
    const auto read =
        runtime::unpack<wire::Relay>(bytes, [&](wire::Relay::Reader relay) -> leaf::result<int> {
            const std::uint64_t known = relay.getKnownSequence(), of_life = relay.getKnownLife();
            muster_.merge(from, runtime::text_of(relay.getWords()), now);
            const auto it = others_.find(from);
            if (it == others_.end()) return 0;    // it will be known by the time of its next word
            Other& other = it->second;
            if (other.life != life) other.told = 0;
            other.life = life;
            const std::uint64_t knows = of_life == muster_.life() ? std::min(known, muster_.sequence()) : 0;
            if (knows > other.knows) other.waits_since = now;
            other.knows = knows;
            return 0;
        });
    if (!read) ++spoilt_;
}

void Relay::say(const std::string& to, Other& other, TimePoint now, std::vector<Send>& out) {
    capnp::MallocMessageBuilder message;
    auto relay = message.initRoot<wire::Relay>();
    relay.setKnownLife(other.life);
    relay.setKnownSequence(muster_.known(to, other.life));
    relay.setWords(runtime::data_of(muster_.changes(other.told, true, now)));
    if (other.knows >= other.told) other.waits_since = now;
    other.told = muster_.sequence();
    out.push_back({to, runtime::pack(message)});
}

void Relay::tell(TimePoint now, std::vector<Send>& out) {
    for (auto& [address, other] : others_)
        if (other.told < muster_.sequence()) say(address, other, now, out);
}

void Relay::tick(TimePoint now, std::vector<Send>& out) {
    if (now < next_) return;
    next_ = now + kEvery;
    for (auto& [address, other] : others_) {
        if (other.knows < other.told && now - other.waits_since >= kAnew) other.told = other.knows;
        say(address, other, now, out);
    }
}

}    // namespace shaletray::controller
