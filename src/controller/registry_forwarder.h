// What lighthouses tell each other of the servers that each keeps: changes at once, and every second a word
// that they run, which also says up to where the reader is known. What was lost with a connection is told
// again from there. Pure.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "cluster/registry/service_registry.h"

namespace shaletray::controller {

class Relay {
public:
    struct Send {
        std::string to, bytes;
    };
    explicit Relay(registry::Muster& muster) : muster_(muster) {}

    void others(const std::vector<std::string>& addresses);    // all lighthouses that are known, without this
    void life();    // this lighthouse's was raised: all are told all anew
    // Bytes that are no such message are counted, and nothing else. What they tell is in the muster then.
    void heard(const std::string& from, std::uint64_t life, std::string_view bytes, TimePoint now);
    // What changed since the others were told.
    void tell(TimePoint now, std::vector<Send>& out);
    void tick(TimePoint now, std::vector<Send>& out);
    TimePoint next() const { return next_; }
    std::uint64_t spoilt() const { return spoilt_; }

private:
    struct Other {
        std::uint64_t life = 0;     // 0: not heard yet
        std::uint64_t told = 0;     // our changes up to this one were sent
        std::uint64_t knows = 0;    // these it has, as it says
        TimePoint waits_since{};    // for it to know more of what was told
    };
    void say(const std::string& to, Other& other, TimePoint now, std::vector<Send>& out);

    registry::Muster& muster_;
    std::map<std::string, Other> others_;
    TimePoint next_{};
    std::uint64_t spoilt_ = 0;
};

}    // namespace shaletray::controller
