#include "cluster/registry/endpoint_view.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <boost/multi_index/hashed_index.hpp>
#include <boost/multi_index/mem_fun.hpp>
#include <boost/multi_index/member.hpp>
#include <boost/multi_index/ordered_index.hpp>
#include <boost/multi_index/sequenced_index.hpp>
#include <boost/multi_index_container.hpp>
#include <limits>
#include <unordered_map>

#include "base/runtime/capnp_codec.h"
#include "cluster/registry/registry.capnp.h"

namespace shaletray::registry {
namespace {

namespace leaf = boost::leaf;
namespace mi = boost::multi_index;

constexpr std::size_t kMostKeepers = 1024, kMostNames = 1'000'000;
// With nothing changed, who else was heard of is told in one answer of so many: a reader has many such.
constexpr std::uint64_t kTellKeepersEvery = 4;

using Servers = std::map<std::string, Server>;

struct Record {
    Servers::iterator at;
    std::uint64_t sequence = 0;       // when it last changed
    std::uint64_t told = 0;           // the call's number then
    std::uint64_t keeper_life = 0;    // of the life that had its latest call
    TimePoint first{};                // when a keeper first had a call of it
    TimePoint looked{};               // by tick
    TimePoint ended{};                // when it became Gone or Lost here
    std::uint32_t keeper = 0;
    State said = State::InService;    // what the words say, where it is doubted or displaced
    bool left = false;                // it said farewell itself
    bool doubted = false;             // called Lost only since its keeper is unheard of
    bool displaced = false;           // called Gone only since another has its address
    bool was_own = false;             // this one kept it once: who was told so has to hear what came after

    std::string_view id() const { return at->first; }
    std::string_view address() const { return at->second.address; }
    State words() const { return doubted || displaced ? said : at->second.state; }
};

struct ById;
struct BySequence;
struct ByAddress;
struct ByLook;
using Records = mi::multi_index_container<
    Record, mi::indexed_by<
                mi::hashed_unique<mi::tag<ById>, mi::const_mem_fun<Record, std::string_view, &Record::id>,
                                  std::hash<std::string_view>>,
                mi::ordered_unique<mi::tag<BySequence>, mi::member<Record, std::uint64_t, &Record::sequence>>,
                mi::hashed_non_unique<mi::tag<ByAddress>,
                                      mi::const_mem_fun<Record, std::string_view, &Record::address>,
                                      std::hash<std::string_view>>,
                mi::sequenced<mi::tag<ByLook>>>>;
using Place = Records::iterator;

struct Keeper {
    std::string address;
    std::uint64_t life = 0;     // 0: never heard of
    std::uint64_t known = 0;    // its changes up to this one
    TimePoint heard{};
    bool settled = false;    // each server that lives has called somebody since that life began
};

bool alive(State state) { return state == State::InService || state == State::Draining; }
int rank(State state) {
    switch (state) {
        case State::InService: return 0;
        case State::Draining: return 1;
        case State::Lost: return 2;
        case State::Gone: break;
    }
    return 3;
}

std::uint32_t ms(Duration d) {
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(d).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::uint32_t>::max()));
}
Duration from_ms(std::uint32_t count) { return std::chrono::milliseconds(count); }

}    // namespace

class View::Impl {
public:
    explicit Impl(Settings settings) : settings_(std::move(settings)) {
        keepers_.push_back({settings_.me, settings_.life, 0, {}, false});
    }

    void life(std::uint64_t life) {
        for (auto it = records_.begin(); it != records_.end(); ++it)
            if (own(*it)) records_.modify(it, [&](Record& r) { r.keeper_life = life; });
        settings_.life = keepers_[0].life = life;
    }

    bool called(const Server& server, TimePoint now) {
        started(now);
        const auto it = records_.find(std::string_view(server.id));
        if (it == records_.end()) {
            Server whole = server;
            whole.at = now;
            displace(add(std::move(whole), 0, settings_.life, now, false, now), now);
            return true;
        }
        const Server& known = it->at->second;
        if (it->left || server.calls <= known.calls) return false;
        const Duration ramp_now = std::max(Duration(0), known.ramp_left - (now - known.at));
        const bool changed = known.state != server.state || !own(*it) || it->doubted ||
                             known.address != server.address || known.service != server.service ||
                             known.zone != server.zone || known.revision != server.revision ||
                             known.capacity != server.capacity || contested(it) ||
                             std::chrono::abs(ramp_now - server.ramp_left) > kRampSlack;
        if (!changed) {    // what comes all the time
            Server& s = it->at->second;
            s.calls = server.calls;
            s.ramp_left = server.ramp_left;
            s.at = now;
            look(it, now);
            return true;
        }
        Server whole = server;
        whole.at = now;
        assign(it, std::move(whole), 0, settings_.life, now, now);
        return true;
    }

    bool left(std::string_view id, TimePoint now) {
        started(now);
        auto it = records_.find(id);
        if (it == records_.end()) {    // so that a call of it that is late finds out
            Server s;
            s.id = std::string(id);
            s.state = State::Gone;
            s.at = now;
            add(std::move(s), 0, settings_.life, now, true, now);
            return true;
        }
        if (it->left) return false;
        farewell(it, 0, settings_.life, now);
        return true;
    }

    leaf::result<std::vector<std::string>> take(const std::string& from, std::string_view bytes,
                                                TimePoint now) {
        started(now);
        std::vector<std::string> changed;
        const auto before = sequence_;
        leaf::result<void> taken =
            runtime::unpack<wire::Words>(bytes, [&](wire::Words::Reader words) -> leaf::result<void> {
                BOOST_LEAF_CHECK(check(from, words));
                apply(words, now);
                return {};
            });
        if (!taken) return taken.error();
        for (auto it = records_.get<BySequence>().upper_bound(before); it != records_.get<BySequence>().end();
             ++it)
            changed.emplace_back(it->id());
        return changed;
    }

    std::vector<std::string> tick(TimePoint now) {
        started(now);
        std::vector<std::string> changed;
        auto& due = records_.get<ByLook>();
        while (!due.empty() && due.front().looked + settings_.silence <= now) {
            const Place it = records_.project<ById>(due.begin());
            const Record& r = *it;
            const Server& s = r.at->second;
            if (!alive(s.state)) {
                if (now - r.ended >= (r.doubted ? settings_.doubted : settings_.remembered)) {
                    changed.emplace_back(r.id());
                    forget(it);
                    continue;
                }
            } else if (own(r) ? s.at + settings_.silence <= now : doubtful(r, now)) {
                lose(it, !own(r), now);
                changed.emplace_back(r.id());
            }
            look(it, now);
        }
        return changed;
    }

    std::string changes(std::uint64_t since, bool own_only, TimePoint now) const {
        std::vector<const Record*> told;
        const auto& by_sequence = records_.get<BySequence>();
        for (auto it = by_sequence.upper_bound(since); it != by_sequence.end(); ++it)
            if (!own_only || own(*it) || it->was_own || orphaned(*it)) told.push_back(&*it);
        capnp::MallocMessageBuilder message(static_cast<unsigned>(64 + 16 * told.size()));
        auto words = message.initRoot<wire::Words>();
        words.setSince(since);
        words.setSequence(sequence_);
        write_keepers(words, !told.empty() || ++answers_ % kTellKeepersEvery == 0, now);
        if (!told.empty()) write_entries(words, told, now);
        return runtime::pack(message);
    }

    std::uint64_t sequence() const { return sequence_; }
    std::uint64_t known(const std::string& keeper, std::uint64_t life) const {
        for (const Keeper& k : keepers_)
            if (k.address == keeper) return k.life == life ? k.known : 0;
        return 0;
    }
    const Servers& servers() const { return servers_; }

private:
    static constexpr Duration kRampSlack = std::chrono::seconds(1), kTimesApart = std::chrono::seconds(1);

    void started(TimePoint now) {
        if (started_ == TimePoint{}) started_ = now;
        keepers_[0].heard = now;
        keepers_[0].settled = now - started_ >= 2 * settings_.silence;
    }

    bool own(const Record& r) const {
        return r.keeper == 0 && r.keeper_life == settings_.life && !settings_.me.empty();
    }
    // A farewell that its keeper forgot when it began anew.
    bool orphaned(const Record& r) const { return r.left && r.keeper_life < keepers_[r.keeper].life; }
    // Nobody speaks for it any more: its keeper is unheard of, or began anew and knows nothing of it.
    bool doubtful(const Record& r, TimePoint now) const {
        const Keeper& k = keepers_[r.keeper];
        return now - k.heard >= 2 * settings_.silence || (k.life > r.keeper_life && k.settled);
    }

    void changed(Place it) {
        records_.modify(it, [this](Record& r) {
            r.sequence = ++sequence_;
            r.told = r.at->second.calls;
        });
    }
    void look(Place it, TimePoint now) {
        records_.modify(it, [&](Record& r) { r.looked = now; });
        auto& by_look = records_.get<ByLook>();
        by_look.relocate(by_look.end(), records_.project<ByLook>(it));
    }

    Place add(Server server, std::uint32_t keeper, std::uint64_t life, TimePoint first, bool left,
              TimePoint now) {
        Record r;
        r.at = servers_.emplace(server.id, std::move(server)).first;
        r.sequence = ++sequence_;
        r.told = r.at->second.calls;
        r.keeper = keeper;
        r.keeper_life = life;
        r.first = first;
        r.looked = r.ended = now;
        r.left = left;
        return records_.insert(r).first;
    }

    void assign(Place it, Server server, std::uint32_t keeper, std::uint64_t life, TimePoint first,
                TimePoint now) {
        records_.modify(it, [&](Record& r) {
            r.was_own = r.was_own || own(r);
            r.keeper = keeper;
            r.keeper_life = life;
            r.first = std::min(r.first, first);
            r.doubted = r.displaced = false;
            if (!alive(server.state)) r.ended = now;
            r.at->second = std::move(server);
        });
        changed(it);
        look(it, now);
        displace(it, now);
    }

    void farewell(Place it, std::uint32_t keeper, std::uint64_t life, TimePoint now) {
        records_.modify(it, [&](Record& r) {
            r.was_own = r.was_own || own(r);
            r.keeper = keeper;
            r.keeper_life = life;
            r.left = true;
            r.doubted = r.displaced = false;
            r.ended = now;
            r.at->second.state = State::Gone;
        });
        changed(it);
        look(it, now);
    }

    void lose(Place it, bool doubted, TimePoint now) {
        records_.modify(it, [&](Record& r) {
            r.said = r.at->second.state;
            r.doubted = doubted;
            r.ended = now;
            r.at->second.state = State::Lost;
        });
        changed(it);
    }

    void forget(Place it) {
        if (it->doubted) keepers_[it->keeper].known = 0;    // it may be told of again, from the beginning
        const Servers::iterator at = it->at;
        records_.erase(it);
        servers_.erase(at);
    }

    // Two servers at one address: one of them came after the other had ended. Times of what was under way for
    // long are too late, so this can be wrong: it is not told to others, and undone by the next call.
    void displace(Place it, TimePoint now) {
        if (!alive(it->at->second.state) || it->address().empty()) return;
        std::vector<Place> ended;
        const auto [begin, end] = records_.get<ByAddress>().equal_range(it->address());
        for (auto other = begin; other != end; ++other) {
            const State state = other->at->second.state;
            if (other->id() == it->id() || state == State::Gone) continue;
            if (other->at->second.at + kTimesApart < it->first)
                ended.push_back(records_.project<ById>(other));
            else if (it->at->second.at + kTimesApart < other->first && alive(state)) ended.push_back(it);
        }
        for (const Place p : ended) {
            if (p->displaced) continue;
            records_.modify(p, [&](Record& r) {
                r.said = r.words();
                r.ended = now;
                r.doubted = false;
                r.displaced = true;
                r.at->second.state = State::Gone;
            });
            changed(p);
        }
    }

    // Others may believe that the other one at its address came later: its next call tells them.
    bool contested(Place it) const {
        const auto [begin, end] = records_.get<ByAddress>().equal_range(it->address());
        return std::any_of(begin, end, [&](const Record& other) {
            return other.id() != it->id() && alive(other.at->second.state);
        });
    }

    // ---- words of others ----

    leaf::result<void> check(const std::string& from, wire::Words::Reader words) const {
        const auto bad = [](const char* why) { return leaf::new_error(std::string(why)); };
        const auto keepers = words.getKeepers();
        if (keepers.size() == 0 || keepers.size() > kMostKeepers) return bad("keepers: none or too many");
        for (const auto k : keepers)
            if (k.getAddress().size() == 0 || k.getLife() == 0) return bad("keepers: no address or no life");
        if (!from.empty() && runtime::text_of(keepers[0].getAddress()) != from)
            return bad("keepers: another teller");
        if (words.getSince() > words.getSequence()) return bad("since: after the sequence");
        const auto names = words.getNames();
        if (names.size() > kMostNames) return bad("names: too many");
        for (const auto name : names) static_cast<void>(name.size());
        for (const auto e : words.getEntries()) {
            if (e.getId().size() == 0) return bad("entries: no id");
            if (e.getService() >= names.size() || e.getZone() >= names.size() ||
                e.getRevision() >= names.size())
                return bad("entries: no such name");
            if (e.getKeeper() >= keepers.size()) return bad("entries: no such keeper");
            if (e.getState() > static_cast<std::uint8_t>(State::Lost)) return bad("entries: no such state");
            if (e.getCapacity() > static_cast<std::uint32_t>(std::numeric_limits<int>::max()))
                return bad("entries: capacity");
            static_cast<void>(e.getAddress().size());
        }
        return {};
    }

    std::uint32_t keeper_at(std::string_view address) {
        for (std::uint32_t i = 0; i < keepers_.size(); ++i)
            if (keepers_[i].address == address) return i;
        keepers_.push_back({std::string(address), 0, 0, {}, false});
        return static_cast<std::uint32_t>(keepers_.size() - 1);
    }

    void heard_of(std::uint32_t index, std::uint64_t life, bool settled, TimePoint when, TimePoint now) {
        if (index == 0) return;    // this one
        Keeper& k = keepers_[index];
        // An earlier life that speaks on is a late word, or its machine's clock was set back meanwhile.
        if (life < k.life && (when != now || now - k.heard < 2 * settings_.silence)) return;
        if (life < k.life) k.life = 0;
        if (life > k.life) {
            k = {std::move(k.address), life, 0, when, settled};
            return;
        }
        k.settled |= settled;
        const bool was_silent = now - k.heard >= 2 * settings_.silence;
        k.heard = std::max(k.heard, when);
        if (was_silent && now - k.heard < 2 * settings_.silence) believe(index, life);
    }

    // The keeper was merely out of reach.
    void believe(std::uint32_t keeper, std::uint64_t life) {
        std::vector<Place> back;
        for (auto it = records_.begin(); it != records_.end(); ++it)
            if (it->doubted && it->keeper == keeper && it->keeper_life == life) back.push_back(it);
        for (const Place it : back) {
            records_.modify(it, [](Record& r) {
                r.doubted = false;
                r.at->second.state = r.said;
            });
            changed(it);
        }
    }

    void apply(wire::Words::Reader words, TimePoint now) {
        std::vector<std::uint32_t> places;
        for (const auto k : words.getKeepers()) {
            places.push_back(keeper_at(runtime::text_of(k.getAddress())));
            heard_of(places.back(), k.getLife(), k.getSettled(), now - from_ms(k.getQuiet()), now);
        }
        std::vector<std::string> names;
        for (const auto name : words.getNames()) names.emplace_back(runtime::text_of(name));
        const auto keepers = words.getKeepers();
        for (const auto e : words.getEntries())
            word(e, names, places[e.getKeeper()],
                 e.getKeeperLife() != 0 ? e.getKeeperLife() : keepers[e.getKeeper()].getLife(), now);
        Keeper& teller = keepers_[places[0]];
        if (teller.life == keepers[0].getLife() && words.getSince() <= teller.known)
            teller.known = std::max(teller.known, words.getSequence());
    }

    void word(wire::Entry::Reader e, const std::vector<std::string>& names, std::uint32_t keeper,
              std::uint64_t life, TimePoint now) {
        const auto state = static_cast<State>(e.getState());
        const TimePoint at = now - from_ms(e.getQuiet()), first = now - from_ms(e.getAge());
        auto it = records_.find(runtime::text_of(e.getId()));
        if (it != records_.end()) {
            Server& known = it->at->second;
            if (it->left) return;
            if (e.getLeft()) return farewell(it, keeper, life, now);
            if (e.getCalls() < known.calls) {
                // Another takes itself for the keeper, since a later call here changed nothing and was not
                // told.
                if (own(*it) && e.getCalls() > it->told) changed(it);
                return;
            }
            if (e.getCalls() == known.calls) {
                known.at = std::min(known.at, at);    // what was longer under way says too late a time
                if (it->keeper == keeper && life > it->keeper_life) {
                    records_.modify(it, [&](Record& r) { r.keeper_life = life; });
                    changed(it);
                }
                const State said = it->words();
                const bool other_keeper =
                    it->keeper != keeper && keepers_[keeper].address > keepers_[it->keeper].address;
                if (rank(state) <= rank(said) && !other_keeper) return;
                Server whole = known;
                whole.state = rank(state) > rank(said) ? state : said;
                return assign(it, std::move(whole), other_keeper ? keeper : it->keeper,
                              other_keeper ? life : it->keeper_life, first, now);
            }
        }
        Server s;
        s.id = runtime::text_of(e.getId());
        s.service = names[e.getService()];
        s.address = runtime::text_of(e.getAddress());
        s.zone = names[e.getZone()];
        s.revision = names[e.getRevision()];
        s.capacity = static_cast<int>(e.getCapacity());
        s.state = state;
        s.calls = e.getCalls();
        s.ramp_left = from_ms(e.getRampLeft());
        s.at = at;
        if (it != records_.end()) assign(it, std::move(s), keeper, life, first, now);
        else displace(add(std::move(s), keeper, life, first, e.getLeft(), now), now);
    }

    // ---- our own words ----

    void write_keepers(wire::Words::Builder words, bool all, TimePoint now) const {
        std::size_t count = 1;
        if (all) count = keepers_.size();
        auto list = words.initKeepers(static_cast<unsigned>(count));
        for (std::size_t i = 0; i < count; ++i) {
            const Keeper& k = keepers_[i];
            auto to = list[static_cast<unsigned>(i)];
            to.setAddress(runtime::words_of(k.address));
            to.setLife(k.life);
            to.setSettled(i == 0 ? now - started_ >= 2 * settings_.silence : k.settled);
            to.setQuiet(i == 0 ? 0 : ms(now - k.heard));
        }
    }

    void write_entries(wire::Words::Builder words, const std::vector<const Record*>& told,
                       TimePoint now) const {
        std::unordered_map<std::string_view, std::uint32_t> places;
        std::vector<const std::string*> names;
        const auto place_of = [&](const std::string& name) {
            const auto [it, fresh] = places.try_emplace(name, static_cast<std::uint32_t>(names.size()));
            if (fresh) names.push_back(&name);
            return it->second;
        };
        auto entries = words.initEntries(static_cast<unsigned>(told.size()));
        for (std::size_t i = 0; i < told.size(); ++i) {
            const Record& r = *told[i];
            const Server& s = r.at->second;
            auto to = entries[static_cast<unsigned>(i)];
            to.setId(runtime::words_of(s.id));
            to.setAddress(runtime::words_of(s.address));
            to.setCalls(s.calls);
            to.setService(place_of(s.service));
            to.setZone(place_of(s.zone));
            to.setRevision(place_of(s.revision));
            to.setKeeper(static_cast<std::uint16_t>(r.keeper));
            to.setCapacity(static_cast<std::uint32_t>(s.capacity));
            to.setRampLeft(ms(s.ramp_left));
            to.setQuiet(ms(now - s.at));
            to.setAge(ms(now - r.first));
            to.setState(static_cast<std::uint8_t>(r.words()));
            to.setLeft(r.left);
            if (r.keeper_life != keepers_[r.keeper].life) to.setKeeperLife(r.keeper_life);
        }
        auto list = words.initNames(static_cast<unsigned>(names.size()));
        for (std::size_t i = 0; i < names.size(); ++i)
            list.set(static_cast<unsigned>(i), runtime::words_of(*names[i]));
    }

    Settings settings_;
    Servers servers_;
    Records records_;
    std::vector<Keeper> keepers_;    // the first is this one; with a pilot nobody
    std::uint64_t sequence_ = 0;
    mutable std::uint64_t answers_ = 0;
    TimePoint started_{};
};

View::View(Settings settings) : impl_(std::make_unique<Impl>(std::move(settings))) {}
View::~View() = default;
void View::life(std::uint64_t life) { impl_->life(life); }
bool View::called(const Server& server, TimePoint now) { return impl_->called(server, now); }
bool View::left(std::string_view id, TimePoint now) { return impl_->left(id, now); }
leaf::result<std::vector<std::string>> View::take(const std::string& from, std::string_view bytes,
                                                  TimePoint now) {
    return impl_->take(from, bytes, now);
}
std::vector<std::string> View::tick(TimePoint now) { return impl_->tick(now); }
std::string View::changes(std::uint64_t since, bool own_only, TimePoint now) const {
    return impl_->changes(since, own_only, now);
}
std::uint64_t View::sequence() const { return impl_->sequence(); }
std::uint64_t View::known(const std::string& keeper, std::uint64_t life) const {
    return impl_->known(keeper, life);
}
const std::map<std::string, Server>& View::servers() const { return impl_->servers(); }

}    // namespace shaletray::registry
