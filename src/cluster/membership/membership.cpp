#include "cluster/membership/membership.h"

#include <algorithm>
#include <bit>
#include <deque>
#include <random>

#include "cluster/membership/member_table.h"
#include "cluster/membership/packet.h"

namespace shaletray::membership {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kMostMembers = 8000;
constexpr std::size_t kSmall = 32;      // up to here everybody meets everybody within a few rounds
constexpr std::size_t kMet = 20;        // and up to here each one's proof that it hears this process is new
constexpr std::size_t kMiddle = 128;    // and up to here beats prove life; above, a sample stands for all
constexpr std::size_t kSmallPings = 3, kPings = 2;    // a round
constexpr std::size_t kDrawn = 8;                     // of these the one unheard for longest is pinged
constexpr std::size_t kBeats = 24;                    // in a packet
constexpr std::size_t kMostProbes = 32, kMostRelays = 128, kMostSamples = 64, kMostNews = 512;
constexpr std::size_t kMostSeeds = 16, kMostCorrections = 8;
constexpr int kPages = 4;                     // for one Ask
constexpr Duration kPatience = 250ms;         // for an answer, before others are asked to try
constexpr Duration kGap = 1s;                 // without a call of this process: it did not run
constexpr Duration kDrain = 200ms;            // after such a gap what comes may be as old as the gap
constexpr Duration kKeepGone = 120s;          // what is Gone is known, so that nobody brings it back,
constexpr Duration kKeepUnheard = 180s;       // and so that newcomers hear that it may run
constexpr int kRounds = 3;                    // times the logarithm of the members: packets that carry a news
constexpr int kEager = 8, kEagerLarge = 6;    // of them, those sent at once
constexpr std::size_t kEagerPeers = 4, kEagerPeersLarge = 3;
constexpr Duration kSuspicionNews = 2s;    // a suspicion is news for so long: then most have heard of it
constexpr Duration kEagerDelay = 10ms, kPace = 100ms, kPaceLarge = 250ms;
constexpr Duration kStill = 1s;    // without a change here, after which another's sum should be the same
constexpr int kAgreed = 6;
constexpr Duration kShortestSync = 500ms, kShortestSyncLarge = 1500ms, kLongestSync = 16s;
constexpr int kSeedRounds = 8;         // between looks at a seed that is not known to run
constexpr int kLighthouseTries = 3;    // of each seed, before a lighthouse goes on without it
constexpr Duration kLongestJoin = 2s, kUnjoined = 150ms;
constexpr std::size_t kFewSamples = 4;
constexpr int kEchoed = 4;    // of this process's rounds: its older beats, told by others, prove nothing

enum class Source { News, Join, Sync };

}    // namespace

class Convoy::Impl {
public:
    Impl(Settings settings, TimePoint now)
        : s_(std::move(settings)),
          roll_(kMostMembers),
          random_(s_.seed ^ Roll::place(s_.me.address) ^ s_.me.life),
          last_(now) {
        me_.facts = s_.me;
        me_.heard = now;
        self_.address = s_.me.address;
        self_.member = &me_;
        self_.place = Roll::place(s_.me.address);
        self_.beat = 1;
        sum_self();
        number_ = static_cast<std::uint32_t>(random_());
        round_at_ = now + Duration(static_cast<Duration::rep>(
                              draw(static_cast<std::size_t>(std::max<Duration::rep>(1, s_.every.count())))));
        join_at_ = now;
        patience_ = kPatience;
        seeds(s_.seeds);
        next_seed_ = draw(std::max<std::size_t>(1, seeds_.size()));
        tell(self_, true);
    }

    void heard(const std::string& from, const std::string& bytes, TimePoint now, Actions& out) {
        if (left_ || from == self_.address) return;
        wake(now);
        flush(out);
        ++tallies_.heard;
        tallies_.heard_bytes += bytes.size();
        boost::leaf::result<Packet> decoded = decode(bytes);
        if (!decoded) {
            ++tallies_.spoilt;
            return;
        }
        take(from, *decoded, now, out);
    }

    void seen(const std::string& address, std::uint64_t life, TimePoint now) {
        Record* const r = roll_.find(address);
        if (left_ || r == nullptr || r->member->ended || r->member->facts.life != life) return;
        evidence(*r, now, changed_);
    }

    void tick(TimePoint now, Actions& out) {
        if (left_) return;
        wake(now);
        flush(out);
        if (pull_ && now >= pull_->at) pull_late(now, out);
        if (!joined_ && !pull_ && now >= join_at_) join(now, out);
        probe(now, out);
        if (now >= round_at_) round(now, out);
        if (now >= push_at_) push(now, out);
    }

    TimePoint next() const {
        if (left_) return TimePoint::max();
        TimePoint at = std::min(round_at_, push_at_);
        if (pull_) at = std::min(at, pull_->at);
        if (!joined_ && !pull_) at = std::min(at, join_at_);
        for (const Probe& p : probes_)
            if (p.record->probed) at = std::min(at, p.next);
        return at;
    }

    void counts(std::uint32_t pilots) {
        if (me_.facts.counts == pilots) return;
        me_.facts.counts = pilots;
        bump(false);
    }

    void disk(std::uint64_t number) {
        if (me_.facts.disk == number) return;
        me_.facts.disk = number;
        bump(false);
    }

    void quorum(bool votes) {
        if (me_.facts.quorum == votes) return;
        me_.facts.quorum = votes;
        bump(true);
    }

    void seeds(std::vector<std::string> seeds) {
        std::vector<Seed> kept;
        for (const std::string& address : seeds) {
            if (address == self_.address || address.empty() || kept.size() >= kMostSeeds) continue;
            if (std::any_of(kept.begin(), kept.end(), [&](const Seed& s) { return s.address == address; }))
                continue;
            const auto old = std::find_if(seeds_.begin(), seeds_.end(),
                                          [&](const Seed& s) { return s.address == address; });
            kept.push_back(old != seeds_.end() ? *old : Seed{address, 0, false});
        }
        const bool same = std::equal(kept.begin(), kept.end(), seeds_.begin(), seeds_.end(),
                                     [](const Seed& a, const Seed& b) { return a.address == b.address; });
        seeds_ = std::move(kept);
        if (seeds_.empty()) joined_ = true;
        if (same) return;
        patience_ = kPatience;
        asked_ = 0;
        join_at_ = last_;
    }

    void leave(TimePoint now, Actions& out) {
        if (left_) return;
        ++self_.version;
        me_.state = State::Gone;
        Packet p = head(Kind::Told);
        me_.ended = true;
        self_.whole = false;
        p.entries.push_back(self_.entry());
        const std::string bytes = encode(p);
        std::vector<Record*> to;
        if (roll_.here() <= kMiddle) {
            for (std::size_t i = 0; i < roll_.size(); ++i)
                if (roll_.at(i)->member->state != State::Gone) to.push_back(roll_.at(i));
        } else {
            to = draw_alive(kMiddle / 2, nullptr);
            for (std::size_t i = 0; i < roll_.size() && to.size() < kMiddle; ++i) {
                Record* const r = roll_.at(i);
                if (r->member->facts.role == Role::Lighthouse && r->member->state == State::Alive)
                    to.push_back(r);
            }
        }
        for (const Record* r : to) post(r->address, bytes, out);
        left_ = true;
        last_ = std::max(last_, now);
    }

    const std::map<std::string, Member>& members() const { return roll_.members(); }
    const Facts& me() const { return me_.facts; }
    bool joined() const { return joined_; }
    const Tallies& tallies() const { return tallies_; }

    double heard_part(TimePoint now, Duration within) const {
        if (roll_.pilots() == 0) return 1.0;
        if (roll_.here() < kMiddle) {
            std::size_t heard = 0;
            for (const auto& [address, m] : roll_.members())
                if (m.facts.role == Role::Pilot && m.state != State::Gone && m.heard != TimePoint{} &&
                    now - m.heard <= within)
                    ++heard;
            return static_cast<double>(heard) / static_cast<double>(roll_.pilots());
        }
        // Those that were drawn and pinged stand for all that are Alive; the Suspected are unheard.
        std::size_t suspected = 0;
        for (const Record* r : roll_.lost())
            if (r->member->state == State::Suspected && r->member->facts.role == Role::Pilot) ++suspected;
        const double alive = static_cast<double>(roll_.pilots() - std::min(suspected, roll_.pilots()));
        return alive / static_cast<double>(roll_.pilots()) * part(now, within, [](const Sample& s) {
                   return std::pair(s.record->member->facts.role == Role::Pilot,
                                    s.record->member->heard >= s.sent);
               });
    }

    bool meets_each() const { return roll_.here() <= kMet; }

    double answered_part(TimePoint now, Duration within) const {
        if (roll_.here() == 0) return 1.0;
        return part(now, within, [](const Sample& s) { return std::pair(true, s.answered); });
    }

private:
    struct Seed {
        std::string address;
        int tries = 0;
        bool done = false;    // it answered with all that it knows
    };
    struct Probe {
        Record* record = nullptr;
        TimePoint first{}, next{};
        int tries = 1;
        std::uint32_t number = 0;
    };
    struct Relay {
        std::uint32_t number = 0, theirs = 0;
        std::string about, to;
    };
    struct Sample {    // a ping of a round
        Record* record = nullptr;
        TimePoint sent{};
        std::uint32_t number = 0;
        bool answered = false;    // by the one that was pinged, perhaps through a third one
    };
    struct Pull {    // of what another one knows
        std::string from;
        bool join = false, moved = false, news = false;
        int tries = 1;
        TimePoint at{};
        std::string after;
        std::vector<std::uint64_t> buckets;
        std::map<std::string, Packet> ahead;    // pages that overtook others, without their entries
    };

    // Of the pings sent in this time, the last few at least. `look`: whether it counts, and for yes or no.
    template <typename Look>
    double part(TimePoint now, Duration within, Look&& look) const {
        std::size_t asked = 0, yes = 0;
        for (auto s = samples_.rbegin(); s != samples_.rend(); ++s) {
            if (now - s->sent < kPatience) continue;
            if (now - s->sent > within + kPatience && asked >= kFewSamples) break;
            const auto [counts, good] = look(*s);
            asked += counts;
            yes += counts && good;
        }
        return asked == 0 ? 0.0 : static_cast<double>(yes) / static_cast<double>(asked);
    }

    // ---- small things ----

    std::size_t draw(std::size_t below) { return static_cast<std::size_t>(random_() % below); }
    bool large() const { return roll_.here() >= kMiddle; }
    Duration shortest_sync() const { return large() ? kShortestSyncLarge : kShortestSync; }
    int limit() const { return kRounds * static_cast<int>(std::bit_width(roll_.here() + 1)) + 2; }
    int eager() const { return large() ? kEagerLarge : kEager; }
    std::uint64_t digest() const { return roll_.digest() ^ self_.sum; }
    void sum_self() {
        self_.sum = Roll::sum(self_.place, me_.facts.life, self_.version);
        self_.hash = Roll::short_hash(self_.place, me_.facts.life);
    }
    static void mark(const std::string& address, std::vector<std::string>& changed) {
        if (changed.empty() || changed.back() != address) changed.push_back(address);
    }
    void flush(Actions& out) {
        for (const std::string& address : changed_) mark(address, out.changed);
        changed_.clear();
    }

    // After a time in which this process did not run it knows nothing of the others: nobody is suspected for
    // it, and what it thought of them before is not passed on.
    void wake(TimePoint now) {
        if (now - last_ > std::max<Duration>(kGap, 2 * s_.every)) {
            woke_ = now;
            woke_number_ = number_;
            for (Probe& p : probes_) p.record->probed = false;
            probes_.clear();
            samples_.clear();
            for (Record* r : roll_.lost())
                if (r->member->state == State::Suspected) r->suspected = now;
            bump(false);
            sync_now_ = true;
            round_at_ = now;
            pull_.reset();
        }
        last_ = std::max(last_, now);
    }

    // Since when a member could have been heard.
    TimePoint since(const Record& r) const { return std::max({r.member->heard, r.known, woke_}); }

    void bump(bool whole) {
        ++self_.version;
        sum_self();
        tell(self_, whole);
    }

    // Puts the news of a member before all other news.
    void tell(Record& r, bool whole, int told = 0) {
        if (told >= limit()) return;
        if (r.news) {
            std::erase(news_, &r);
            whole = whole || r.whole;
        }
        r.whole = whole;
        r.told = told;
        r.news = true;
        insert(&r);
        while (news_.size() > kMostNews) {
            news_.back()->news = false;
            news_.pop_back();
        }
        if (told < eager()) push_soon();
    }

    // The queue stays in the order of how often its news were told.
    void insert(Record* r) {
        const auto told = [](const Record* a, const Record* b) { return a->told < b->told; };
        news_.insert(r->told == 0 ? news_.begin() : std::upper_bound(news_.begin(), news_.end(), r, told), r);
    }

    void push_soon() {
        push_at_ =
            std::min(push_at_, std::max(last_ + kEagerDelay, last_push_ + (large() ? kPaceLarge : kPace)));
    }

    // ---- packets ----

    Packet head(Kind kind, std::uint32_t number = 0) const {
        Packet p;
        p.kind = kind;
        p.number = number;
        p.joined = joined_;
        p.lighthouse = me_.facts.role == Role::Lighthouse;
        p.members = static_cast<std::uint16_t>(roll_.here());
        p.life = me_.facts.life;
        p.version = self_.version;
        p.beat = self_.beat;
        p.digest = digest();
        return p;
    }

    void post(const std::string& to, std::string bytes, Actions& out) {
        ++tallies_.sent;
        tallies_.sent_bytes += bytes.size();
        out.sends.push_back({to, std::move(bytes)});
    }
    void send(const std::string& to, Packet& p, Actions& out) {
        post(to, encode_fitting(p, s_.longest), out);
    }

    std::size_t size(const Packet& p) const {
        std::size_t size = 100 + p.beats.size() * 6 + p.row.size() * 9 / 8 + p.buckets.size() * 9;
        for (const Entry& e : p.entries) size += entry_size(e);
        return size;
    }

    // News that others may not know, the least told first. `below`: only news told so seldom.
    void add_news(Packet& p, int copies, int below) {
        std::size_t size = this->size(p);
        const std::size_t all = news_.size();
        std::vector<Record*> again;
        for (std::size_t i = 0; i < all; ++i) {
            Record* const r = news_.front();
            if (r->told >= below) break;    // the rest was told as often or oftener
            Entry e = r->entry();
            const std::size_t more = entry_size(e);
            if (size + more > s_.longest) break;
            news_.pop_front();
            const bool old = r->member->state == State::Suspected &&
                             (last_ - r->suspected > kSuspicionNews || r->suspected <= woke_);
            if (old || (r->member->state == State::Gone && !r->member->ended)) {    // forgotten: not said
                r->news = false;
                continue;
            }
            r->told += copies;
            if (r->told < limit()) {
                again.push_back(r);
            } else {
                r->news = false;
            }
            size += more;
            p.entries.push_back(std::move(e));
        }
        for (Record* r : again) insert(r);
    }

    // All that is not Gone, this process included, in the order of the addresses; `unheard`: and what said no
    // goodbye.
    template <typename F>
    void in_order(const std::string& from, F&& f, bool unheard = false) {
        bool self = from < self_.address, on = true;
        roll_.walk(from, [&](Record& r) {
            if (self && self_.address < r.address) {
                self = false;
                on = f(self_);
            }
            const bool left_out = r.member->state == State::Gone && (!unheard || r.member->ended);
            return on = on && (left_out || f(r));
        });
        if (self && on) f(self_);
    }

    std::uint8_t beat_of(const Record& r, TimePoint now) const {
        if (&r == &self_) return self_.beat;
        return now - r.beat_at <= s_.suspect_after ? r.beat : 0;
    }

    // Beats as last known: a row of all of them, which a receiver with another sum cannot read.
    void add_row(Packet& p, TimePoint now) {
        if (large()) return;
        p.row.reserve(roll_.here() + 1);
        in_order("", [&](const Record& r) {
            p.row.push_back(beat_of(r, now));
            return true;
        });
    }

    // For a receiver with another sum: those of some, in turn, by their names.
    void add_beats(Packet& p, TimePoint now) {
        if (large()) return;
        for (std::size_t i = 0; i < roll_.size() && p.beats.size() < kBeats; ++i) {
            beat_at_ = (beat_at_ + 1) % roll_.size();
            const Record& r = *roll_.at(beat_at_);
            if (r.member->state == State::Gone || beat_of(r, now) == 0) continue;
            p.beats.emplace_back(r.hash, r.beat);
        }
    }

    // A beat as told by another one, where that proves anything: it is later than the one known.
    void take_beat(Record& r, std::uint8_t beat, TimePoint now, Actions& out) {
        if (beat == 0 || r.member->ended || &r == &self_) return;
        const int later = r.beat == 0 ? 0 : (beat - r.beat + 255) % 255;
        if (r.beat != 0 && (later == 0 || later > 127)) return;
        if (r.beat != 0) evidence(r, now, out.changed);
        r.beat = beat;
        r.beat_at = now;
    }

    // This process's own beat, as another one knows it: so that one hears of this one.
    void take_echo(Record* from, std::uint8_t beat, TimePoint now) {
        if (from == nullptr || beat == 0 || from->member->ended) return;
        const int age = (self_.beat - beat + 255) % 255;
        if (age > kEchoed) return;
        TimePoint& answered = from->member->answered;
        answered = std::max(answered, now - age * s_.every);
    }

    void take_beats(Record* from, const Packet& p, TimePoint now, Actions& out) {
        for (const auto& [hash, beat] : p.beats) {
            if (hash == self_.hash) take_echo(from, beat, now);
            if (Record* const r = roll_.by_hash(hash); r != nullptr) take_beat(*r, beat, now, out);
        }
        if (p.row.empty() || p.digest != digest() || p.row.size() != roll_.here() + 1) return;
        std::size_t at = 0;
        in_order("", [&](Record& r) {
            if (&r == &self_) take_echo(from, p.row[at], now);
            take_beat(r, p.row[at], now, out);
            return ++at < p.row.size();
        });
    }

    std::vector<Record*> draw_alive(std::size_t count, const Record* but) {
        std::vector<Record*> drawn;
        if (roll_.size() == 0) return drawn;
        if (roll_.size() <= 2 * count + 8) {
            for (std::size_t i = 0; i < roll_.size(); ++i)
                if (roll_.at(i)->member->state == State::Alive && roll_.at(i) != but)
                    drawn.push_back(roll_.at(i));
            std::shuffle(drawn.begin(), drawn.end(), random_);
            if (drawn.size() > count) drawn.resize(count);
            return drawn;
        }
        for (std::size_t tries = 0; tries < 4 * count && drawn.size() < count; ++tries) {
            Record* const r = roll_.at(draw(roll_.size()));
            if (r->member->state == State::Alive && r != but &&
                std::find(drawn.begin(), drawn.end(), r) == drawn.end())
                drawn.push_back(r);
        }
        return drawn;
    }

    // ---- what others say ----

    void take(const std::string& from, const Packet& p, TimePoint now, Actions& out) {
        Record* r = roll_.find(from);
        std::vector<Entry> corrections;
        bool lost = false;
        std::uint32_t lost_version = 0;
        if (r != nullptr) {
            if (r->member->ended && p.life == r->member->facts.life) return;    // said before it left
            if (p.life < r->member->facts.life) corrections.push_back(r->whole_entry());
            lost = r->member->state != State::Alive && p.life == r->member->facts.life;
            lost_version = r->version;
        }
        const Source source = p.kind != Kind::Page ? Source::News : joined_ ? Source::Sync : Source::Join;
        bool news = false;
        for (const Entry& e : p.entries)
            news = learn(e, from, source, p.check, now, out, corrections) || news;
        r = roll_.find(from);
        const bool fresh = woke_ == TimePoint{} || now - woke_ > kDrain ||
                           (p.kind == Kind::Answer && static_cast<std::int32_t>(p.number - woke_number_) > 0);
        bool who = r == nullptr && !roll_.full();
        if (r != nullptr && p.life >= r->member->facts.life && !r->member->ended) {
            if (p.life > r->member->facts.life || p.version > r->version) who = true;
            if (p.life == r->member->facts.life && p.about.empty()) {
                if (fresh) {
                    r->beat = p.beat;
                    r->beat_at = now;
                    evidence(*r, now, out.changed);
                    if (lost && r->version == lost_version) {
                        Entry e = r->entry();    // so that it says anew that it runs
                        e.state = State::Suspected;
                        corrections.push_back(std::move(e));
                    }
                }
            }
        }
        const bool same_life = r != nullptr && p.life == r->member->facts.life;
        if (fresh && same_life && (p.digest == digest() || p.members <= roll_.here()))
            r->member->agreed = now;
        if (fresh && same_life && p.kind == Kind::Page) r->member->answered = now;    // it was asked
        if (fresh) take_beats(same_life ? r : nullptr, p, now, out);
        switch (p.kind) {
            case Kind::Ping: {
                Packet answer = head(Kind::Answer, p.number);
                reply(answer, who, p.who, corrections);
                add_news(answer, 1, limit());
                if (p.digest == digest()) {
                    add_row(answer, now);
                } else {
                    add_beats(answer, now);
                }
                send(from, answer, out);
                compare(from, p, now, out);
                return;
            }
            case Kind::Answer: answered(from, p, now, out); break;
            case Kind::PingFor: relay(from, p, out); break;
            case Kind::Told:
            case Kind::Ask: break;
            case Kind::Page: page(from, p, news, now, out); break;
        }
        if (who || p.who || !corrections.empty()) {
            Packet told = head(Kind::Told);
            reply(told, who, p.who, corrections);
            add_news(told, 1, limit());
            send(from, told, out);
        }
        if (p.kind == Kind::Ask) pages(from, p, out);
        if (p.kind == Kind::Answer && p.about.empty()) compare(from, p, now, out);
    }

    void reply(Packet& p, bool who, bool asked, std::vector<Entry>& corrections) {
        p.who = who;
        p.check = !corrections.empty();
        if (corrections.size() > kMostCorrections) corrections.resize(kMostCorrections);
        for (Entry& e : corrections) p.entries.push_back(std::move(e));
        if (asked) p.entries.push_back(self_.whole_entry());
    }

    // True where it was news.
    bool learn(const Entry& e, const std::string& from, Source source, bool check, TimePoint now,
               Actions& out, std::vector<Entry>& corrections) {
        if (e.facts.address == self_.address) {
            about_me(e);
            return false;
        }
        const int told = source == Source::News ? 0 : source == Source::Sync ? limit() / 2 : limit();
        Record* r = roll_.find(e.facts.address);
        if (r == nullptr) {
            if (e.brief || e.state == State::Gone) return false;
            if (roll_.full()) {
                ++tallies_.refused;
                return false;
            }
            if (e.unheard && source == Source::Join) {    // no news: the others took it for Gone before
                roll_.add(e.facts, e.version, State::Gone, now).member->ended = false;
                mark(e.facts.address, out.changed);
                return false;
            }
            r = &roll_.add(e.facts, e.version, e.state, now);
            return changed(*r, true, told, now, out);
        }
        Member& m = *r->member;
        if (e.facts.life < m.facts.life) {
            corrections.push_back(r->whole_entry());
            return false;
        }
        if (e.facts.life > m.facts.life) {
            if (e.brief && e.state != State::Gone) return false;
            Facts facts = e.facts;
            if (e.brief) {    // it ended before it was known here
                facts = m.facts;
                facts.life = e.facts.life;
            }
            roll_.renew(*r, facts, e.version, e.state, now);
            return changed(*r, true, told, now, out);
        }
        if (r->member->ended) {
            if (e.state != State::Gone) corrections.push_back(r->entry());
            return false;
        }
        if (e.state == State::Gone) {
            r->member->ended = true;
            r->version = std::max(r->version, e.version);
            roll_.become(*r, State::Gone, now);
            return changed(*r, false, told, now, out);
        }
        if (e.version < r->version) {
            if (e.facts.address != from) corrections.push_back(r->whole_entry());
            return false;
        }
        // Only fresh suspicions are believed, of those that were not heard here.
        const bool suspicion =
            e.state == State::Suspected && m.state == State::Alive && source == Source::News;
        const bool believe = suspicion && !check && now - since(*r) >= s_.suspect_after;
        if (e.version > r->version) {
            roll_.update(*r, e);
            if (e.state == State::Alive) {    // a version that it made after it was suspected
                if (m.state != State::Alive) evidence(*r, now, out.changed);
            } else if (believe) {
                roll_.become(*r, State::Suspected, now);
            }
            return changed(*r, !e.brief, told, now, out);
        }
        if (suspicion && !believe) {
            try_it(*r, now, out);
            return false;
        }
        if (believe) {
            roll_.become(*r, State::Suspected, now);
            return changed(*r, false, told, now, out);
        }
        if (e.state == State::Alive && m.state == State::Gone && e.facts.address != from)
            corrections.push_back(r->entry());
        return false;
    }

    bool changed(Record& r, bool whole, int told, TimePoint now, Actions& out) {
        mark(r.address, out.changed);
        still_ = now;
        tell(r, whole, told);
        return true;
    }

    // What others hold of this process: an earlier life is ended by a higher number, a suspicion by a later
    // word.
    void about_me(const Entry& e) {
        if (e.facts.life > me_.facts.life || (e.facts.life == me_.facts.life && e.state == State::Gone)) {
            me_.facts.life = e.facts.life + 1;
            self_.version = 0;
            sum_self();
            tell(self_, true);
        } else if (e.facts.life == me_.facts.life &&
                   (e.version > self_.version ||
                    (e.version == self_.version && e.state == State::Suspected))) {
            self_.version = e.version;
            bump(false);
        }
    }

    void evidence(Record& r, TimePoint now, std::vector<std::string>& changed) {
        r.member->heard = std::max(r.member->heard, now);
        r.probed = false;
        if (r.member->state == State::Alive || r.member->ended) return;
        const bool alone = r.alone && large();
        roll_.become(r, State::Alive, now);
        mark(r.address, changed);
        still_ = now;
        if (!alone) return;
        // This process was cut off, not they: so are the others taken that it suspected then.
        for (Record* other : roll_.lost()) {
            if (other->member->state != State::Suspected || !other->alone) continue;
            other->known = now;
            roll_.become(*other, State::Alive, now);
            mark(other->address, changed);
        }
        for (Probe& p : probes_) {
            p.record->known = p.first = now;
            p.tries = 1;
        }
    }

    // ---- probes ----

    void answered(const std::string& from, const Packet& p, TimePoint now, Actions& out) {
        if (!p.about.empty()) {
            Record* const r = roll_.find(p.about);
            if (r == nullptr || r->member->ended) return;
            const bool ours = std::any_of(probes_.begin(), probes_.end(), [&](const Probe& probe) {
                return probe.record == r && probe.number == p.number;
            });
            const bool same = std::any_of(p.beats.begin(), p.beats.end(),
                                          [&](const auto& beat) { return beat.first == r->hash; });
            if (!ours || !same) return;
            evidence(*r, now, out.changed);
            note(*r, p.number);
            return;
        }
        if (const Record* const r = roll_.find(from); r != nullptr) note(*r, p.number);
        const auto it = std::find_if(relays_.begin(), relays_.end(), [&](const Relay& relay) {
            return relay.number == p.number && relay.about == from;
        });
        if (it == relays_.end()) return;
        if (const Record* const r = roll_.find(from); r != nullptr) {
            Packet answer = head(Kind::Answer, it->theirs);
            answer.about = from;
            answer.beats.emplace_back(r->hash, r->beat);
            send(it->to, answer, out);
        }
        relays_.erase(it);
    }

    void note(const Record& r, std::uint32_t number) {
        for (Sample& s : samples_)
            if (s.number == number && s.record == &r) {
                s.answered = true;
                r.member->answered = std::max(r.member->answered, s.sent);
            }
    }

    void relay(const std::string& from, const Packet& p, Actions& out) {
        const Record* const r = roll_.find(p.about);
        if (r == nullptr || r->member->ended) return;
        if (relays_.size() >= kMostRelays) relays_.pop_front();
        relays_.push_back({++number_, p.number, p.about, from});
        Packet ping = head(Kind::Ping, number_);
        send(p.about, ping, out);
    }

    void ping(Record& r, std::uint32_t number, bool as_lost, TimePoint now, Actions& out) {
        Packet p = head(Kind::Ping, number);
        if (as_lost) p.entries.push_back(r.entry());    // it says anew that it runs where it does
        add_news(p, 1, limit());
        add_row(p, now);
        send(r.address, p, out);
    }

    void ping_for(const Record& r, std::uint32_t number, std::size_t helpers, Actions& out) {
        for (const Record* helper : draw_alive(helpers, &r)) {
            Packet p = head(Kind::PingFor, number);
            p.about = r.address;
            send(helper->address, p, out);
        }
    }

    void probe(TimePoint now, Actions& out) {
        std::erase_if(probes_, [](const Probe& p) {
            return !p.record->probed || p.record->member->state != State::Alive;
        });
        for (Probe& p : probes_) {
            if (now < p.next) continue;
            Record& r = *p.record;
            const Duration tried = large() ? s_.suspect_after : s_.suspect_after / 2;
            if (p.tries >= 3 && now - since(r) >= s_.suspect_after && now - p.first >= tried) {
                r.probed = false;
                roll_.become(r, State::Suspected, now);
                // Who hears of few has himself to suspect.
                r.alone = out_of_touch(now);
                changed(r, false, r.alone ? limit() : 0, now, out);
                continue;
            }
            ++p.tries;
            p.next = now + kPatience;
            ping(r, p.number, false, now, out);
            ping_for(r, p.number, 2, out);
        }
        std::erase_if(probes_, [](const Probe& p) { return !p.record->probed; });
    }

    bool out_of_touch(TimePoint now) const {
        std::size_t asked = 0, answered = 0;
        for (auto s = samples_.rbegin(); s != samples_.rend() && asked < 2 * kFewSamples; ++s) {
            if (now - s->sent < kPatience) continue;
            ++asked;
            if (s->record->member->heard >= s->sent) ++answered;
            if (asked == kFewSamples && answered == 0) return true;
        }
        return answered * 2 < asked;
    }

    // Of those drawn, the ones unheard for longest; where members are few all are drawn, and after those that
    // are unheard come those that showed for longest not that they hear this process.
    std::vector<Record*> targets(TimePoint now) {
        std::vector<Record*> chosen;
        const std::size_t wanted = roll_.here() < kSmall ? kSmallPings : kPings;
        if (roll_.here() < kSmall) {
            chosen = draw_alive(roll_.size(), nullptr);
            std::erase_if(chosen, [](const Record* r) { return r->probed; });
            const auto order = [&](const Record* r) {
                const bool heard = now - r->member->heard <= 2 * s_.every;
                return std::pair(heard, heard ? r->member->answered : r->member->heard);
            };
            std::stable_sort(chosen.begin(), chosen.end(),
                             [&](const Record* a, const Record* b) { return order(a) < order(b); });
            if (chosen.size() > wanted) chosen.resize(wanted);
            return chosen;
        }
        for (std::size_t i = 0; i < wanted; ++i) {
            Record* oldest = nullptr;
            for (Record* r : draw_alive(kDrawn, nullptr)) {
                if (r->probed || std::find(chosen.begin(), chosen.end(), r) != chosen.end()) continue;
                if (oldest == nullptr || r->member->heard < oldest->member->heard) oldest = r;
            }
            if (oldest != nullptr) chosen.push_back(oldest);
        }
        return chosen;
    }

    // Pings it, and more and more until it is heard or Suspected.
    bool try_it(Record& r, TimePoint now, Actions& out) {
        if (r.probed || probes_.size() >= kMostProbes) return false;
        r.probed = true;
        probes_.push_back({&r, now, now + kPatience, 1, ++number_});
        ping(r, number_, false, now, out);
        return true;
    }

    void round(TimePoint now, Actions& out) {
        const auto jitter = static_cast<Duration::rep>(
            draw(static_cast<std::size_t>(std::max<Duration::rep>(1, s_.every.count() / 8))));
        round_at_ = now + s_.every - Duration(s_.every.count() / 16) + Duration(jitter);
        self_.beat = static_cast<std::uint8_t>(self_.beat % 255 + 1);
        ++rounds_;
        forget(now, out);
        for (Record* r : targets(now)) {
            if (!try_it(*r, now, out)) break;
            samples_.push_back({r, now, number_, false});
            if (samples_.size() > kMostSamples) samples_.pop_front();
        }
        std::vector<Record*> lost;
        for (Record* r : roll_.lost())
            if (!r->member->ended) lost.push_back(r);
        if (!lost.empty()) {
            Record& r = *lost[draw(lost.size())];
            ping(r, ++number_, true, now, out);
            if (r.member->state == State::Suspected) ping_for(r, number_, 1, out);
        }
        if (rounds_ % kSeedRounds == 0 && joined_ && !seeds_.empty()) {
            const Seed& seed = seeds_[draw(seeds_.size())];
            const Record* const r = roll_.find(seed.address);
            if (r == nullptr || r->member->state != State::Alive) {
                Packet p = head(Kind::Ping, ++number_);
                p.entries.push_back(self_.whole_entry());
                send(seed.address, p, out);
            }
        }
    }

    void forget(TimePoint now, Actions& out) {
        std::vector<Record*> old;
        std::erase_if(roll_.lost(), [](Record* r) {
            r->lost = r->member->state != State::Alive;
            return !r->lost;
        });
        for (Record* r : roll_.lost()) {
            if (r->member->state == State::Suspected) {
                if (now - r->suspected < s_.forget_after - s_.suspect_after) continue;
                roll_.become(*r, State::Gone, now);
                mark(r->address, out.changed);
                still_ = now;
            } else if (now - r->member->changed > (r->member->ended ? kKeepGone : kKeepUnheard)) {
                old.push_back(r);
            }
        }
        for (Record* r : old) {
            std::erase(news_, r);
            std::erase_if(samples_, [r](const Sample& s) { return s.record == r; });
            std::erase_if(probes_, [r](const Probe& p) { return p.record == r; });
            roll_.erase(*r);
        }
    }

    // Sends what is new to some at once, and again a moment later.
    void push(TimePoint now, Actions& out) {
        push_at_ = TimePoint::max();
        const std::vector<Record*> peers = draw_alive(large() ? kEagerPeersLarge : kEagerPeers, nullptr);
        if (peers.empty() || news_.empty()) return;
        Packet p = head(Kind::Told);
        add_news(p, static_cast<int>(peers.size()), eager());
        last_push_ = now;
        if (!p.entries.empty()) {
            const std::string bytes = encode_fitting(p, s_.longest);
            for (const Record* peer : peers) post(peer->address, bytes, out);
        }
        if (!news_.empty() && news_.front()->told < eager()) push_soon();
    }

    // ---- what others know, whole ----

    // Another's sum is not ours though nothing changed here lately: asks for what differs.
    void compare(const std::string& from, const Packet& p, TimePoint now, Actions& out) {
        if (p.digest == digest()) {
            sync_now_ = false;
            if (++agreed_ >= kAgreed) settled();
            return;
        }
        agreed_ = 0;
        const bool fewer = p.members > roll_.here() + roll_.here() / 16 + 2;
        if (pull_ || !joined_ || (now < sync_at_ && !sync_now_)) return;
        if (!sync_now_ && !fewer && now - still_ < kStill && now - synced_ < 2 * kStill) return;
        sync_now_ = false;
        Pull pull;
        pull.from = from;
        pull.buckets =
            buckets(std::clamp<std::size_t>(std::bit_ceil((roll_.here() + 1) / 8 + 1), 1, kMostBuckets));
        pull_ = std::move(pull);
        synced_ = now;
        ask(now, out);
    }

    // All that were met lately know the same lives and versions: those are no news any more.
    void settled() {
        agreed_ = 0;
        sync_wait_ = shortest_sync();
        std::erase_if(news_, [&](Record* r) {
            if (r->told < eager() || r->member->state == State::Suspected) return false;
            r->news = false;
            return true;
        });
    }

    std::vector<std::uint64_t> buckets(std::size_t count) const {
        std::vector<std::uint64_t> sums = roll_.buckets(count);
        sums[Roll::bucket(self_.place, count)] ^= self_.sum;
        return sums;
    }

    void ask(TimePoint now, Actions& out) {
        pull_->at = now + (pull_->join ? patience_ : kPatience) * (1 << (pull_->tries - 1));
        Packet p = head(Kind::Ask, ++number_);
        p.after = pull_->after;
        p.buckets = pull_->buckets;
        if (pull_->join && pull_->after.empty()) p.entries.push_back(self_.whole_entry());
        send(pull_->from, p, out);
    }

    void pages(const std::string& to, const Packet& asked, Actions& out) {
        std::vector<bool> differs;
        if (!asked.buckets.empty()) {
            const std::vector<std::uint64_t> mine = buckets(asked.buckets.size());
            for (std::size_t i = 0; i < mine.size(); ++i) differs.push_back(mine[i] != asked.buckets[i]);
        }
        const auto wanted = [&](const Record& r) {
            if (r.member->state == State::Suspected && r.suspected <= woke_ && woke_ != TimePoint{})
                return false;
            return differs.empty() || differs[Roll::bucket(r.place, differs.size())];
        };
        std::string after = asked.after;
        for (int i = 0; i < kPages; ++i) {
            Packet p = head(Kind::Page, asked.number);
            p.after = after;
            std::size_t size = this->size(p) + 60;
            p.last = true;
            in_order(
                after,
                [&](const Record& r) {
                    if (!wanted(r)) return true;
                    Entry e = r.whole_entry();
                    size += entry_size(e);
                    if (size > s_.longest && !p.entries.empty()) return p.last = false;
                    p.entries.push_back(std::move(e));
                    return true;
                },
                asked.buckets.empty());
            p.more = i == kPages - 1;
            if (!p.last) p.next = p.entries.back().facts.address;
            std::string bytes = encode(p);
            while (bytes.size() > s_.longest && p.entries.size() > 1) {
                p.entries.resize(p.entries.size() - std::max<std::size_t>(1, p.entries.size() / 8));
                p.last = false;
                p.next = p.entries.back().facts.address;
                bytes = encode(p);
            }
            post(to, std::move(bytes), out);
            if (p.last) return;
            after = p.next;
        }
    }

    void page(const std::string& from, const Packet& p, bool news, TimePoint now, Actions& out) {
        if (p.last && p.after.empty() && !joined_) whole(from, p, now);    // perhaps late
        if (!pull_ || pull_->from != from) return;
        pull_->news = pull_->news || news;
        Packet page = p;
        page.entries.clear();
        if (pull_->ahead.size() < 4 * kPages) pull_->ahead.emplace(p.after, std::move(page));
        bool more = false;
        for (auto it = pull_->ahead.find(pull_->after); it != pull_->ahead.end();
             it = pull_->ahead.find(pull_->after)) {
            const Packet at = std::move(it->second);
            pull_->ahead.erase(it);
            if (!at.last && at.next <= pull_->after) break;    // it would never end
            pull_->after = at.next;
            pull_->moved = true;
            pull_->tries = 1;
            pull_->at = now + kPatience;
            more = at.more;
            if (!at.last) continue;
            if (pull_->join) {
                whole(from, at, now);
            } else {
                sync_wait_ = pull_->news ? shortest_sync() : std::min(2 * sync_wait_, kLongestSync);
                sync_at_ = now + sync_wait_;
            }
            pull_.reset();
            return;
        }
        if (more) {
            pull_->ahead.clear();
            ask(now, out);
        }
    }

    void pull_late(TimePoint now, Actions& out) {
        const bool give_up = pull_->moved ? pull_->tries >= 4 : pull_->join || pull_->tries >= 2;
        if (!give_up) {
            ++pull_->tries;
            pull_->ahead.clear();
            ask(now, out);
            return;
        }
        if (!pull_->join) sync_at_ = now + kShortestSync;
        pull_.reset();
    }

    // ---- joining ----

    void join(TimePoint now, Actions& out) {
        std::string from;
        if (me_.facts.role == Role::Lighthouse) {
            const auto it = std::min_element(seeds_.begin(), seeds_.end(), [](const Seed& a, const Seed& b) {
                return std::pair(a.done, a.tries) < std::pair(b.done, b.tries);
            });
            if (it == seeds_.end() || it->done || it->tries >= kLighthouseTries) {
                joined_ = true;
                return;
            }
            ++it->tries;
            from = it->address;
        } else {
            std::vector<std::string> at;
            for (const Seed& seed : seeds_) at.push_back(seed.address);
            for (const auto& [address, m] : roll_.members())
                if (m.facts.role == Role::Lighthouse && m.state != State::Gone &&
                    std::find(at.begin(), at.end(), address) == at.end() && at.size() < 2 * kMostSeeds)
                    at.push_back(address);
            if (at.empty()) {
                joined_ = true;
                return;
            }
            from = at[next_seed_++ % at.size()];
            if (++asked_ > at.size()) {    // nobody answered: once more, slower
                asked_ = 1;
                patience_ = std::min(2 * patience_, kLongestJoin);
            }
        }
        Pull pull;
        pull.from = from;
        pull.join = true;
        pull_ = std::move(pull);
        ask(now, out);
    }

    // `from` told all that it knows.
    void whole(const std::string& from, const Packet& p, TimePoint now) {
        if (joined_) return;
        const auto seed =
            std::find_if(seeds_.begin(), seeds_.end(), [&](const Seed& s) { return s.address == from; });
        if (seed != seeds_.end()) seed->done = true;
        join_at_ = now;
        sync_at_ = now + shortest_sync();
        push_soon();
        if (p.lighthouse && p.joined) {
            joined_ = true;
        } else if (me_.facts.role == Role::Pilot) {
            join_at_ = now + kUnjoined;
            asked_ = 0;
        }
    }

    Settings s_;
    Member me_;
    Record self_;
    Roll roll_;
    std::mt19937_64 random_;
    Tallies tallies_;
    bool joined_ = false, left_ = false;
    TimePoint last_{}, woke_{};           // the last call; the end of the last gap between calls
    std::uint32_t woke_number_ = 0;       // the last number before it
    std::vector<std::string> changed_;    // by calls that give nothing back

    TimePoint round_at_{};
    std::uint64_t rounds_ = 0;
    std::uint32_t number_ = 0;
    std::vector<Probe> probes_;
    std::deque<Relay> relays_;
    std::deque<Sample> samples_;
    std::size_t beat_at_ = 0;

    std::deque<Record*> news_;    // in the order of how often they were told
    TimePoint push_at_ = TimePoint::max(), last_push_{};

    std::optional<Pull> pull_;
    TimePoint still_{}, synced_{}, sync_at_{};    // the last change here, the last comparison, the next
    Duration sync_wait_ = kShortestSync;
    int agreed_ = 0;    // others in a row that know the same
    bool sync_now_ = false;

    std::vector<Seed> seeds_;
    std::size_t next_seed_ = 0, asked_ = 0;
    TimePoint join_at_{};
    Duration patience_{};
};

Convoy::Convoy(Settings settings, TimePoint now) : impl_(std::make_unique<Impl>(std::move(settings), now)) {}
Convoy::~Convoy() = default;
void Convoy::heard(const std::string& from, const std::string& bytes, TimePoint now, Actions& out) {
    impl_->heard(from, bytes, now, out);
}
void Convoy::seen(const std::string& address, std::uint64_t life, TimePoint now) {
    impl_->seen(address, life, now);
}
void Convoy::tick(TimePoint now, Actions& out) { impl_->tick(now, out); }
TimePoint Convoy::next() const { return impl_->next(); }
void Convoy::counts(std::uint32_t pilots) { impl_->counts(pilots); }
void Convoy::disk(std::uint64_t number) { impl_->disk(number); }
void Convoy::quorum(bool votes) { impl_->quorum(votes); }
void Convoy::seeds(std::vector<std::string> seeds) { impl_->seeds(std::move(seeds)); }
void Convoy::leave(TimePoint now, Actions& out) { impl_->leave(now, out); }
const std::map<std::string, Member>& Convoy::members() const { return impl_->members(); }
const Facts& Convoy::me() const { return impl_->me(); }
double Convoy::heard_part(TimePoint now, Duration within) const { return impl_->heard_part(now, within); }
double Convoy::answered_part(TimePoint now, Duration within) const {
    return impl_->answered_part(now, within);
}
bool Convoy::meets_each() const { return impl_->meets_each(); }
bool Convoy::joined() const { return impl_->joined(); }
const Tallies& Convoy::tallies() const { return impl_->tallies(); }

}    // namespace shaletray::membership
