// Seeded worlds of trouble in virtual time, which must settle when they are calm again.
#include <cstdio>
#include <cstdlib>

#include "cluster/consensus/register_cluster.h"

namespace shaletray::consensus::test {
namespace {

// Replaces disks of the voters that are gone for good, as the wiring does: one after the other.
struct Replacer {
    World& w;

    const World::Node* holder(const Member& m) const {
        for (const auto& n : w.nodes)
            if (n.address == m.address && n.disk.disk == m.disk) return &n;
        return nullptr;
    }
    std::vector<Member> gone() const {
        std::vector<Member> out = w.newest().voters;
        std::erase_if(out, [this](const Member& m) { return holder(m) != nullptr; });
        return out;
    }
    // A majority of the newest voters holds the newest decree.
    bool kept() const {
        const auto& voters = w.newest().voters;
        return static_cast<std::size_t>(std::count_if(voters.begin(), voters.end(), [this](const Member& m) {
                   return holder(m) && holder(m)->disk.decree.number == w.newest().number;
               })) > voters.size() / 2;
    }
    void step() {
        const std::vector<Member> lost = gone();
        for (std::size_t i = 0; i < w.nodes.size() && !lost.empty(); ++i) {
            const auto& voters = w.newest().voters;
            const Member spare{w.nodes[i].address, w.nodes[i].disk.disk};
            if (!w.up(i) || std::find(voters.begin(), voters.end(), spare) != voters.end()) continue;
            if (spare.address != lost[0].address && w.chance(0.5)) continue;
            std::size_t by = w.below(w.nodes.size());
            while (!w.up(by)) by = w.below(w.nodes.size());
            const std::vector<Member> to = replaced(voters, lost[0], spare);
            w.call(by, [&](Lamp& l, Actions& out) { l.change_voters(voters, to, w.now, out); });
            return;
        }
    }
};

void trouble(std::uint64_t seed, std::size_t voters) {
    World w(seed, voters);
    Replacer replacer{w};
    const std::size_t may_go = (voters - 1) / 2;
    w.lost = w.chance(0.5) ? 0.03 : 0.0;
    w.repeated = w.chance(0.5) ? 0.05 : 0.0;
    w.sync = Duration(1000 + static_cast<Duration::rep>(w.below(20'000)));
    w.join();
    w.run(500ms);
    const auto propose = [&](std::uint64_t version, const char* what) {
        if (const std::size_t i = w.below(w.nodes.size()); w.up(i))
            w.propose(i, version, what + std::to_string(version));
    };
    TimePoint safe_to_wipe = w.now;
    for (int step = 0; step < 150; ++step) {
        const std::size_t i = w.below(w.nodes.size());
        switch (w.below(16)) {
            case 0:
            case 1:
            case 2: propose(w.versions + 1, "v"); break;
            case 3: {    // two operators, at times with one number
                const std::uint64_t other = std::max<std::uint64_t>(w.versions + w.below(2), 1);
                propose(w.versions + 1, "x");
                propose(other, "y");
                break;
            }
            case 4:
            case 5:
            case 6:
                if (w.up(i)) w.confirm(i);
                break;
            case 7:
                for (std::size_t o = 0; o < w.nodes.size(); ++o) {
                    if (w.chance(0.3)) w.cut.insert({i, o});
                    if (w.chance(0.3)) w.cut.insert({o, i});
                }
                break;
            case 8:
            case 9: w.cut.clear(); break;
            case 10:
                if (w.nodes[i].lamp) w.stop(i, w.chance(0.5));
                break;
            case 11:
                if (w.chance(0.2))    // all lose power at once
                    for (std::size_t o = 0; o < w.nodes.size(); ++o) w.stop(o, true);
                break;
            case 12: w.nodes[i].frozen = w.now + Duration(w.below(3'000'000)); break;
            case 13:
            case 14:
                if (w.now >= safe_to_wipe && replacer.kept() && replacer.gone().size() < may_go) {
                    w.wipe(i);
                    safe_to_wipe = w.now + (may_go > 1 ? 0ms : 1000ms);
                    if (w.chance(0.3) && w.nodes.size() < voters + 6) w.join();
                    if (w.chance(0.3))
                        for (std::size_t o = 0; o < w.nodes.size(); ++o) w.stop(o, true);
                }
                break;
            default: break;
        }
        for (std::size_t o = 0; o < w.nodes.size(); ++o)
            if (!w.nodes[o].lamp && w.chance(0.3)) w.start(o);
        if (w.chance(0.5)) replacer.step();
        w.run(Duration(w.below(300'000)));
    }
    // Calm again: everything must settle at every lighthouse.
    w.cut.clear();
    w.lost = w.repeated = 0.0;
    for (std::size_t o = 0; o < w.nodes.size(); ++o) {
        w.nodes[o].frozen = {};
        if (!w.nodes[o].lamp) w.start(o);
    }
    w.run(6s);
    for (int tries = 0; !replacer.gone().empty() && tries < 40; ++tries) {
        replacer.step();
        w.run(1s);
    }
    cr_assert(replacer.gone().empty(), "seed %lu: a place in the voters stays empty", seed);
    cr_assert_eq(w.newest().voters.size(), voters, "seed %lu", seed);
    const std::uint64_t unsettled = w.unsettled;
    for (std::size_t o = 0; o < w.nodes.size(); ++o) {
        w.propose(o, w.versions + 1, "z" + std::to_string(w.versions + 1));
        w.confirm(o);
    }
    w.run(4s);
    cr_assert_eq(w.unsettled, unsettled, "seed %lu: %lu unsettled when calm", seed, w.unsettled - unsettled);
    cr_assert_eq(w.newest().version, w.versions, "seed %lu", seed);
    for (std::size_t o = 0; o < w.nodes.size(); ++o)
        cr_assert_eq(w.nodes[o].lamp->decree().number, w.newest().number, "seed %lu", seed);
}

// Several operators at the same moment and readers all along, on links of very unlike delays; lighthouses
// that lose power in the midst of it and are asked for something else at once.
Test(lamp, races) {
    for (std::uint64_t seed = 1; seed <= 4000 / kLess; ++seed) {
        World w(seed, 3);
        w.run(200ms);
        w.link = Duration(1000 + static_cast<Duration::rep>(w.below(150'000)));
        w.sync = Duration(1000 + static_cast<Duration::rep>(w.below(100'000)));
        w.lost = w.chance(0.5) ? 0.2 : 0.0;
        const bool deaths = w.chance(0.5);
        for (std::uint64_t step = 0; step < 12; ++step) {
            const std::size_t i = w.below(3);
            if (deaths && w.chance(0.3)) {
                w.stop(i, true);
                w.start(i);
            }
            if (w.chance(0.4)) w.propose(i, 1 + w.below(3), std::to_string(step), 20s);
            else w.confirm(i, 20s);
            w.run(Duration(w.below(60'000)));
        }
        w.run(1s);
        w.lost = 0.0;
        w.run(19s);
        cr_assert_eq(w.unsettled, 0, "seed %lu", seed);
    }
}

#define SEEDS(voters, count)                                                                   \
    Test(lamp, troubles_of_##voters) {                                                         \
        const char* more = std::getenv("LAMP_SEEDS");                                          \
        const std::uint64_t seeds = more ? std::strtoull(more, nullptr, 10) : (count) / kLess; \
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) trouble(seed, voters);             \
    }
SEEDS(3, 150)
SEEDS(5, 100)
SEEDS(8, 60)

}    // namespace
}    // namespace shaletray::consensus::test
