#include "cluster/consensus/replicated_register.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <deque>
#include <set>

#include "cluster/consensus/message.h"

namespace shaletray::consensus {
namespace {

using namespace std::chrono_literals;
using Kind = Message::Kind;

constexpr std::size_t kMostProposals = 64, kMostConfirms = 4096, kMostHeld = 512;
constexpr std::size_t kMostFollowers = 256;
constexpr std::uint64_t kBehind = 2;    // decrees: one may be under way to it
constexpr int kWishRounds = 20, kTellings = 6;

std::uint64_t mix(std::uint64_t x) {    // splitmix64's
    x += 0x9e3779b97f4a7c15ull;
    x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ull;
    x = (x ^ (x >> 27)) * 0x94d049bb133111ebull;
    return x ^ (x >> 31);
}

std::string hex(std::uint64_t x) {
    std::string out(16, '0');
    for (auto at = out.rbegin(); at != out.rend(); ++at, x >>= 4) *at = "0123456789abcdef"[x & 15];
    return out;
}

bool holds(const std::vector<Member>& voters, const Member& member) {
    return std::find(voters.begin(), voters.end(), member) != voters.end();
}

std::size_t majority(const std::vector<Member>& voters) { return voters.size() / 2 + 1; }

}    // namespace

class Lamp::Impl {
public:
    Impl(Settings settings, Saved saved, TimePoint now)
        : settings_(std::move(settings)), saved_(std::move(saved)) {
        // An emptied disk's number counts wherever it was given.
        if (saved_.disk == 0) saved_.disk = settings_.me.disk;
        settings_.me.disk = saved_.disk;
        random_ = mix(mix(settings_.seed) ^ mix(static_cast<std::uint64_t>(now.time_since_epoch().count())) ^
                      saved_.disk);
        for (const char c : settings_.me.address) random_ = mix(random_ ^ static_cast<unsigned char>(c));
        life_ = settings_.me.address + "#" + hex(draw());
        nonce_ = draw();
        patience_ = settings_.round_time;
        if (saved_.decree.voters.empty() && !settings_.founders.empty()) {
            std::set<std::string> founders(settings_.founders.begin(), settings_.founders.end());
            for (const std::string& address : founders) saved_.decree.voters.push_back({address, 0});
            dirty_ = true;
        }
        if (saved_.accepted.round == 0 || !saved_.pending ||
            saved_.pending->number != saved_.decree.number + 1) {
            saved_.pending.reset();
            saved_.accepted = {};
        }
    }

    void propose(Ticket ticket, std::uint64_t version, std::string text, TimePoint until) {
        if (proposals_.size() >= kMostProposals) return done(ticket, Answer::Unsettled);
        proposals_.push_back({ticket, version, std::move(text), turn_, until});
    }
    void quorum_read(Ticket ticket, TimePoint until) {
        if (confirms_.size() >= kMostConfirms) return done(ticket, Answer::Unsettled);
        confirms_.push_back({ticket, turn_, until});
    }
    void change_voters(std::vector<Member> from, std::vector<Member> to) {
        if (to.empty() || from == to || from != saved_.decree.voters) return;
        wish_ = Wish{std::move(from), std::move(to), now_ + settings_.round_time * kWishRounds};
    }
    bool follows(const Member& member, Duration within) const {
        const auto it = followers_.find(member.address);
        return it != followers_.end() && it->second.disk == member.disk && now_ - it->second.at <= within &&
               it->second.decree + kBehind >= at();
    }
    void heard(const std::string& from, const std::string& bytes) {
        boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<void> {
                BOOST_LEAF_AUTO(message, decode(bytes));
                if (from.empty() || from == settings_.me.address) return boost::leaf::new_error();
                hear(from, message);
                return {};
            },
            [&] { ++dropped_; });
    }
    void stored(std::uint64_t token) { stored_ = std::max(stored_, std::min(token, issued_)); }
    void others(std::vector<std::string> addresses) {
        others_ = std::move(addresses);
        std::erase_if(followers_, [this](const auto& f) {
            return std::find(others_.begin(), others_.end(), f.first) == others_.end();
        });
    }

    // Every call from outside is a turn: what was asked in a later one is asked later, whatever the clock
    // says.
    void begin(TimePoint now, Actions& out) {
        now_ = std::max(now_, now);
        out_ = &out;
        ++turn_;
    }
    void end() {
        for (;;) {
            advance();
            if (dirty_) {
                dirty_ = false;
                out_->stores.push_back({++issued_, saved_});
            }
            for (Reply& reply : replies_) {
                reply.token = issued_;
                held_.push_back(std::move(reply));
            }
            replies_.clear();
            while (held_.size() > kMostHeld) held_.pop_front();    // as if lost on the way
            while (!held_.empty() && held_.front().token <= stored_) {
                const Reply reply = std::move(held_.front());
                held_.pop_front();
                send(reply.to, reply.message);
            }
            if (own_.empty()) break;
            std::vector<Message> own;
            own.swap(own_);
            for (const Message& message : own) hear(settings_.me.address, message);
        }
        out_ = nullptr;
    }

    std::optional<TimePoint> next() const {
        std::optional<TimePoint> at;
        const auto by = [&at](TimePoint when) {
            if (!at || when < *at) at = when;
        };
        if (dirty_) by(now_);
        for (const Proposal& p : proposals_) by(p.until);
        for (const Confirm& c : confirms_) by(c.until);
        if (wish_) by(wish_->until);
        if (round_) by(round_->due);
        if (!round_ && this->at() > 0 && wants_decision()) by(retry_at_);
        if (read_) by(read_->patience ? std::min(read_->due, *read_->patience) : read_->due);
        if (this->at() == 0 && waits()) by(seek_at_);
        if (wanted_) by(wanted_->due);
        if (telling_) by(telling_->due);
        return at;
    }
    const Decree& decree() const { return saved_.decree; }
    std::optional<TimePoint> confirmed() const { return confirmed_; }
    bool is_voter() const { return holds(saved_.decree.voters, settings_.me); }
    std::uint64_t dropped() const { return dropped_; }
    std::string picture() const;

private:
    struct Proposal {
        Ticket ticket = 0;
        std::uint64_t version = 0;
        std::string text;
        std::uint64_t asked = 0;    // turn
        TimePoint until;
    };
    struct Confirm {
        Ticket ticket = 0;
        std::uint64_t asked = 0;
        TimePoint until;
    };
    struct Wish {
        std::vector<Member> from, to;    // voters
        TimePoint until;
    };
    struct Follower {    // what a lighthouse last said of itself
        std::uint64_t disk = 0, decree = 0;
        TimePoint at;
    };
    struct Round {    // about the next decree
        bool accepting = false;
        Ballot ballot;
        TimePoint begun, due;    // of the phase
        std::uint64_t turn = 0;
        Duration wait{};
        std::set<std::string> yes, no;
        Ballot own;    // what was accepted here when it began
        std::optional<Decree> own_value;
        Ballot best;    // the highest that was accepted by any who promised
        std::optional<Decree> value;
    };
    struct Read {
        std::uint64_t nonce = 0;
        TimePoint begun, due;
        std::uint64_t turn = 0;
        Duration wait{};
        std::map<std::string, bool> answers;    // of those that hold this decree: is something accepted?
        std::optional<TimePoint> patience;      // until which another's work is left to end by itself
    };
    struct Reply {
        std::uint64_t token = 0;
        std::string to;
        Message message;
    };
    struct Wanted {    // one answer at a time, as a link may be slow and texts long
        std::uint64_t at = 0;
        std::string from;          // who told of it last
        std::uint64_t held = 0;    // the version, when asked
        TimePoint asked, due;
        int tries = 0;
    };
    struct Telling {    // of a decree that was decided here, to the sets of voters
        std::uint64_t at = 0;
        std::set<std::string> lacking;
        TimePoint due;
        Duration wait{};
        int tries = 0;
    };

    std::uint64_t at() const { return saved_.decree.voters.empty() ? 0 : saved_.decree.number + 1; }
    bool votes() const { return settings_.votes && is_voter(); }
    std::uint64_t draw() { return mix(random_ += 0x9e3779b97f4a7c15ull); }
    Duration draw(Duration from, Duration to) {
        return from +
               Duration(static_cast<Duration::rep>(
                   draw() % static_cast<std::uint64_t>(std::max<Duration::rep>((to - from).count(), 1))));
    }
    void done(Ticket ticket, Answer answer) { out_->done.push_back({ticket, answer}); }

    Message message(Kind kind) const {
        Message m;
        m.kind = kind;
        m.disk = saved_.disk;
        m.at = at();
        return m;
    }
    void put_value(Message& m, const Decree& value) const {
        m.text_as_before = value.version == saved_.decree.version && value.text == saved_.decree.text;
        m.value = value;
        m.value->earlier.clear();
        if (m.text_as_before) m.value->text.clear();
    }
    // The value with its text in place, or none where it is not one that can follow the decree held.
    std::optional<Decree> take_value(const Message& m) const {
        if (!m.value || m.value->number != at()) return std::nullopt;
        Decree value = *m.value;
        const Decree& held = saved_.decree;
        if (m.text_as_before) value.text = held.text;
        if (value.version < held.version || (value.version == held.version && value.text != held.text))
            return std::nullopt;
        value.earlier = earlier(value.version);
        return value;
    }
    // What a decree of this version remembers that follows the one held: the same at every voter.
    std::vector<Digest> earlier(std::uint64_t version) const {
        const Decree& held = saved_.decree;
        std::vector<Digest> out = held.earlier;
        if (version == held.version || held.version == 0) return out;
        out.push_back(digest(held.version, held.text));
        if (out.size() > kMostEarlier) out.erase(out.begin());
        return out;
    }
    void send(const std::string& to, const Message& m) {
        if (to == settings_.me.address) own_.push_back(m);
        else out_->sends.push_back({to, encode(m)});
    }
    template <class Addresses>
    void send_all(const Addresses& to, const Message& m) {
        std::string bytes;
        for (const std::string& address : to) {
            if (address == settings_.me.address) {
                own_.push_back(m);
                continue;
            }
            if (bytes.empty()) bytes = encode(m);
            out_->sends.push_back({address, bytes});
        }
    }
    // Waits for all that the answer may rest on to be on the disk.
    void reply(const std::string& to, Message m) { replies_.push_back({0, to, std::move(m)}); }

    std::set<std::string> voter_addresses() const {
        std::set<std::string> out;
        for (const Member& m : saved_.decree.voters) out.insert(m.address);
        return out;
    }
    bool counts(const std::string& from, const Message& m) const {
        return holds(saved_.decree.voters, {from, m.disk});
    }

    void hear(const std::string& from, const Message& m) {
        if (followers_.contains(from) || followers_.size() < kMostFollowers)
            followers_[from] = {m.disk, m.at, now_};
        switch (m.kind) {
            case Kind::Prepare: hear_prepare(from, m); break;
            case Kind::Accept: hear_accept(from, m); break;
            case Kind::Promise: hear_promise(from, m); break;
            case Kind::Accepted: hear_accepted(from, m); break;
            case Kind::Refused: hear_refused(from, m); break;
            case Kind::Ask: {
                Message answer = message(Kind::State);
                answer.nonce = m.nonce;
                answer.pending = saved_.accepted.round != 0;
                reply(from, std::move(answer));
                break;
            }
            case Kind::State: hear_state(from, m); break;
            case Kind::Notice:
                // What was accepted under the ballot under which the next decree was chosen is that decree.
                if (at() > 0 && m.at == at() + 1 && saved_.pending && saved_.accepted == m.ballot)
                    adopt(Decree(*saved_.pending), m.ballot);
                if (m.at == at()) reply(from, message(Kind::Kept));
                else if (m.at < at()) notify(from);
                break;
            case Kind::Wanted:
                if (m.at < at()) {
                    Message learn = message(Kind::Learn);
                    learn.nonce = m.nonce;
                    learn.ballot = chosen_;
                    learn.value = saved_.decree;
                    learn.text_as_before = m.at > 0 && m.nonce == saved_.decree.version;
                    if (learn.text_as_before) learn.value->text.clear();
                    send(from, learn);
                }
                break;
            case Kind::Learn: hear_learn(from, m); break;
            case Kind::Kept:
                if (telling_ && m.at >= telling_->at) telling_->lacking.erase(from);
                if (telling_ && telling_->lacking.empty()) telling_.reset();
                if (read_ && m.at == at() && counts(from, m) && !read_->answers.contains(from)) {
                    Message ask = message(Kind::Ask);
                    ask.nonce = read_->nonce;
                    send(from, ask);
                }
                break;
            case Kind::None: break;
        }
        if (m.at > at()) want(from, m.at);
    }

    // --- the voter

    // Who is behind is told so; who is ahead is asked by hear() itself.
    bool about_next(const std::string& from, const Message& m) {
        if (at() > 0 && m.instance == at()) return votes();
        if (m.instance < at()) notify(from);
        return false;
    }
    void hear_prepare(const std::string& from, const Message& m) {
        if (!about_next(from, m) || m.ballot.round == 0) return;
        seen_ = std::max(seen_, m.ballot.round);
        if (m.ballot < saved_.promised) return refuse(from, m);
        if (saved_.promised < m.ballot) {
            saved_.promised = m.ballot;
            dirty_ = true;
        }
        Message promise = message(Kind::Promise);
        promise.instance = m.instance;
        promise.ballot = m.ballot;
        promise.other = saved_.accepted;
        if (saved_.pending && saved_.accepted != m.other) put_value(promise, *saved_.pending);
        reply(from, std::move(promise));
    }
    void hear_accept(const std::string& from, const Message& m) {
        if (!about_next(from, m) || m.ballot.round == 0) return;
        seen_ = std::max(seen_, m.ballot.round);
        if (m.ballot < saved_.promised) return refuse(from, m);
        if (saved_.accepted != m.ballot) {    // else a copy
            std::optional<Decree> value = take_value(m);
            if (!value) return;
            saved_.promised = saved_.accepted = m.ballot;
            saved_.pending = std::move(value);
            dirty_ = true;
        }
        Message accepted = message(Kind::Accepted);
        accepted.instance = m.instance;
        accepted.ballot = m.ballot;
        reply(from, std::move(accepted));
    }
    void refuse(const std::string& from, const Message& m) {
        Message refused = message(Kind::Refused);
        refused.instance = m.instance;
        refused.ballot = m.ballot;
        refused.other = saved_.promised;
        reply(from, std::move(refused));
    }

    // --- decrees that others decided

    void notify(const std::string& to) {
        Message notice = message(Kind::Notice);
        notice.ballot = chosen_;
        send(to, notice);
    }
    void hear_learn(const std::string& from, const Message& m) {
        if (!m.value || m.value->number + 1 != m.at) return;
        const bool awaited = wanted_ && m.nonce == wanted_->held;    // else the answer to an earlier one
        if (awaited)
            patience_ =
                std::min(std::max((now_ - wanted_->asked) * 2, settings_.round_time), settings_.longest_wait);
        if (m.at > at()) {
            Decree decree = *m.value;
            if (m.text_as_before) {
                if (at() == 0 || decree.version != saved_.decree.version) return;
                decree.text = saved_.decree.text;
            }
            adopt(std::move(decree), m.ballot);
        }
        if (awaited && wanted_->at > at()) begin_wanted(wanted_->from, wanted_->at);    // it was overtaken
        else if (awaited) wanted_.reset();
        if (m.at == at()) reply(from, message(Kind::Kept));
    }
    void want(const std::string& from, std::uint64_t target) {
        if (!wanted_) return begin_wanted(from, target);
        if (target < wanted_->at && wanted_->tries == 0) return;    // else who told of that may be gone
        wanted_->at = target;
        wanted_->from = from;
    }
    void begin_wanted(std::string from, std::uint64_t target) {
        wanted_ = {target, std::move(from), saved_.decree.version, now_, now_ + patience_, 0};
        ask_wanted();
    }
    void ask_wanted() {
        Message m = message(Kind::Wanted);
        m.nonce = wanted_->held = saved_.decree.version;
        send(wanted_->from, m);
    }
    // All that is about the decree that follows begins anew with each decree.
    void adopt(Decree decree, const Ballot& chosen) {
        saved_.decree = std::move(decree);
        saved_.promised = saved_.accepted = {};
        saved_.pending.reset();
        chosen_ = chosen;
        dirty_ = true;
        out_->changed = true;
        round_.reset();
        read_.reset();
        complete_ = owes_read_ = false;
        losses_ = 0;
        seen_ = 0;
        retry_at_ = now_;
        if (wish_ && wish_->from != saved_.decree.voters) wish_.reset();    // another's change came first
        if (telling_ && telling_->at < at()) telling_.reset();
    }
    void seek() {
        std::set<std::string> to(others_.begin(), others_.end());
        to.insert(settings_.founders.begin(), settings_.founders.end());
        to.erase(settings_.me.address);
        for (const Member& m : saved_.decree.voters) to.erase(m.address);
        Message ask = message(Kind::Ask);    // any answer says how far its sender is
        send_all(to, ask);
    }

    // --- the proposer

    bool newer(const Proposal& p) const { return p.version > saved_.decree.version; }
    bool wants_decision() const {
        return complete_ || wish_ ||
               std::any_of(proposals_.begin(), proposals_.end(), [this](const auto& p) { return newer(p); });
    }
    bool wants_read() const {
        return owes_read_ || !confirms_.empty() ||
               std::any_of(proposals_.begin(), proposals_.end(), [this](const auto& p) { return !newer(p); });
    }
    bool waits() const { return !proposals_.empty() || !confirms_.empty(); }

    void begin_round() {
        Round round;
        round.ballot = {std::max({seen_, saved_.promised.round, saved_.accepted.round}) + 1, life_};
        seen_ = round.ballot.round;
        round.begun = now_;
        round.turn = turn_;
        round.wait = settings_.round_time;
        round.due = now_ + round.wait;
        if (saved_.pending) {
            round.own = saved_.accepted;
            round.own_value = saved_.pending;
        }
        round_ = std::move(round);
        send_round(voter_addresses());
    }
    void send_round(const std::set<std::string>& to) {
        Message m = message(round_->accepting ? Kind::Accept : Kind::Prepare);
        m.instance = at();
        m.ballot = round_->ballot;
        if (round_->accepting) put_value(m, *round_->value);
        else m.other = round_->own;
        send_all(to, m);
    }
    bool about_round(const std::string& from, const Message& m) const {
        return round_ && m.instance == at() && m.ballot == round_->ballot && counts(from, m);
    }
    void hear_promise(const std::string& from, const Message& m) {
        if (!about_round(from, m) || round_->accepting) return;
        if (m.other.round != 0 && round_->best < m.other) {
            std::optional<Decree> value;
            if (m.value) value = take_value(m);
            else if (m.other == round_->own) value = round_->own_value;
            if (!value) return;    // no vote that could be followed
            round_->best = m.other;
            round_->value = std::move(value);
        }
        round_->yes.insert(from);
        if (round_->yes.size() < majority(saved_.decree.voters)) return;
        if (round_->best.round == 0) {    // nothing was chosen when this round began
            bear_out(round_->begun, round_->turn);
            complete_ = false;
            round_->value = own_value();
            if (!round_->value) return round_.reset();
        }
        round_->accepting = true;
        round_->begun = now_;
        round_->turn = turn_;
        round_->wait = settings_.round_time;
        round_->due = now_ + round_->wait;
        round_->yes.clear();
        round_->no.clear();
        round_->own_value.reset();
        send_round(voter_addresses());
    }
    // The highest version asked for here; with none, the voters's change.
    std::optional<Decree> own_value() {
        const Proposal* best = nullptr;
        for (const Proposal& p : proposals_)
            if (newer(p) && (!best || p.version > best->version)) best = &p;
        Decree value;
        value.number = at();
        value.voters = saved_.decree.voters;
        value.earlier = earlier(best ? best->version : saved_.decree.version);
        if (best) {
            value.version = best->version;
            value.text = best->text;
            return value;
        }
        if (!wish_) return std::nullopt;
        value.voters = wish_->to;
        value.version = saved_.decree.version;
        value.text = saved_.decree.text;
        return value;
    }
    void hear_accepted(const std::string& from, const Message& m) {
        if (!about_round(from, m) || !round_->accepting) return;
        round_->yes.insert(from);
        if (round_->yes.size() >= majority(saved_.decree.voters)) decide();
    }
    void hear_refused(const std::string& from, const Message& m) {
        if (m.instance == at() && counts(from, m)) seen_ = std::max(seen_, m.other.round);
        if (!about_round(from, m) || round_->yes.contains(from)) return;
        round_->no.insert(from);
        if (round_->no.size() + majority(saved_.decree.voters) > saved_.decree.voters.size()) back_off();
    }
    void back_off() {
        round_.reset();
        losses_ = std::min(losses_ + 1, 5);
        const Duration most =
            std::min<Duration>(settings_.round_time / 16 * (1 << losses_), settings_.longest_wait);
        retry_at_ = now_ + draw(most / 8, most);
    }
    void decide() {
        std::set<std::string> to = voter_addresses();
        const std::vector<Member> before = saved_.decree.voters;
        const TimePoint begun = round_->begun;
        const std::uint64_t turn = round_->turn;
        const Ballot ballot = round_->ballot;
        adopt(std::move(*round_->value), ballot);
        if (saved_.decree.voters == before) {
            // Whoever keeps it now is asked for each later one, so none was chosen when it was sent out.
            bear_out(begun, turn);
        } else owes_read_ = true;    // nothing is answered before a majority of the new voters keeps it
        to.merge(voter_addresses());
        to.erase(settings_.me.address);
        telling_ = {at(), to, now_ + settings_.round_time, settings_.round_time, 0};
        to.insert(others_.begin(), others_.end());
        to.erase(settings_.me.address);
        Message notice = message(Kind::Notice);
        notice.ballot = chosen_;
        send_all(to, notice);
        if (telling_->lacking.empty()) telling_.reset();
    }

    // --- reading

    void begin_read() {
        read_ = Read{};
        read_->nonce = ++nonce_;
        read_->begun = now_;
        read_->turn = turn_;
        read_->wait = settings_.round_time;
        read_->due = now_ + read_->wait;
        send_read(voter_addresses());
    }
    void send_read(const std::set<std::string>& to) {
        Message ask = message(Kind::Ask);
        ask.nonce = read_->nonce;
        send_all(to, ask);
    }
    void hear_state(const std::string& from, const Message& m) {
        if (!read_ || m.nonce != read_->nonce || !counts(from, m)) return;
        if (m.at < at()) return notify(from);    // Kept has it asked again
        if (m.at > at()) return;
        read_->answers[from] = m.pending;
        const std::size_t needed = majority(saved_.decree.voters);
        const auto clear = static_cast<std::size_t>(std::count_if(
            read_->answers.begin(), read_->answers.end(), [](const auto& a) { return !a.second; }));
        if (clear >= needed) {
            bear_out(read_->begun, read_->turn);
            read_.reset();
        } else if (read_->answers.size() >= needed && !read_->patience)
            read_->patience = now_ + draw(settings_.round_time / 16, settings_.round_time / 4);
    }
    // A majority, each of which keeps the decree, said since then that it has accepted none to follow it.
    void bear_out(TimePoint since, std::uint64_t turn) {
        confirmed_ = confirmed_ ? std::max(*confirmed_, since) : since;
        borne_out_ = std::max(borne_out_, turn);
        borne_out_at_ = at();
        owes_read_ = false;
    }

    bool borne_out(std::uint64_t asked) const {
        return at() > 0 && borne_out_at_ == at() && borne_out_ >= asked;
    }

    // --- answers and times

    void answer_proposals() {
        std::erase_if(proposals_, [&](const Proposal& p) {
            if (newer(p) || !borne_out(p.asked)) return false;
            done(p.ticket, judged(p));
            return true;
        });
    }
    Answer judged(const Proposal& p) const {    // of a version that is not over the one held
        const Decree& held = saved_.decree;
        if (p.version == held.version) return p.text == held.text ? Answer::Settled : Answer::Conflict;
        const auto known = std::find_if(held.earlier.begin(), held.earlier.end(),
                                        [&p](const Digest& d) { return d.version == p.version; });
        return known == held.earlier.end() || *known == digest(p.version, p.text) ? Answer::Superseded
                                                                                  : Answer::Conflict;
    }
    void advance() {
        answer_proposals();
        // What was borne out before a freeze is of no use after it.
        std::erase_if(confirms_, [&](const Confirm& c) {
            if (!borne_out(c.asked) || now_ >= c.until) return false;
            done(c.ticket, Answer::Settled);
            return true;
        });
        const auto late = [&](const auto& waiting) {
            if (now_ < waiting.until) return false;
            done(waiting.ticket, Answer::Unsettled);
            return true;
        };
        std::erase_if(proposals_, late);
        std::erase_if(confirms_, late);
        if (wish_ && now_ >= wish_->until) wish_.reset();
        advance_learning();
        if (at() == 0) {
            if (waits() && now_ >= seek_at_) {
                seek();
                seek_at_ = now_ + settings_.round_time;
            }
            return;
        }
        advance_round();
        advance_read();
    }
    void advance_learning() {
        if (wanted_ && now_ >= wanted_->due) {
            if (wanted_->at <= at()) wanted_.reset();    // came another way
            else if (++wanted_->tries > 3) {
                wanted_.reset();
                patience_ = settings_.round_time;
            } else {
                patience_ = std::min(patience_ * 2, settings_.longest_wait);
                wanted_->due = now_ + patience_;
                ask_wanted();
            }
        }
        if (telling_ && now_ >= telling_->due) {
            if (++telling_->tries >= kTellings) return telling_.reset();
            telling_->wait = std::min(telling_->wait * 2, settings_.longest_wait);
            telling_->due = now_ + telling_->wait;
            Message notice = message(Kind::Notice);
            notice.ballot = chosen_;
            send_all(telling_->lacking, notice);
        }
    }
    void advance_round() {
        if (read_ && read_->patience && now_ >= *read_->patience) {
            read_->patience.reset();
            complete_ = true;
        }
        if (round_ && (now_ >= round_->due || !round_->accepting) && !wants_decision()) round_.reset();
        if (round_ && now_ >= round_->due) {
            if (!round_->no.empty()) back_off();
            else {
                std::set<std::string> to = voter_addresses();
                for (const std::string& address : round_->yes) to.erase(address);
                round_->wait = std::min(round_->wait * 2, settings_.longest_wait);
                round_->due = now_ + round_->wait;
                send_round(to);
                seek();
            }
        }
        if (!round_ && wants_decision() && now_ >= retry_at_) begin_round();
    }
    void advance_read() {
        if (read_ && !wants_read()) read_.reset();
        if (read_ && now_ >= read_->due) {
            std::set<std::string> to = voter_addresses();
            for (const auto& [address, pending] : read_->answers) to.erase(address);
            read_->wait = std::min(read_->wait * 2, settings_.longest_wait);
            read_->due = now_ + read_->wait;
            send_read(to);
            seek();
        }
        // What is being accepted here would only be found to be under way.
        const bool busy = round_ && round_->accepting && now_ < round_->begun + settings_.round_time;
        if (!read_ && wants_read() && !busy) begin_read();
    }

    Settings settings_;
    Saved saved_;
    std::string life_;
    std::uint64_t random_ = 0, nonce_ = 0;
    std::vector<std::string> others_;

    TimePoint now_{};
    Actions* out_ = nullptr;
    std::uint64_t turn_ = 0, dropped_ = 0;

    bool dirty_ = false;    // saved_ has changed since it was last given out to be stored
    std::uint64_t issued_ = 0, stored_ = 0;
    std::vector<Reply> replies_;
    std::deque<Reply> held_;
    std::vector<Message> own_;    // to this lighthouse's own voter or proposer

    std::vector<Proposal> proposals_;
    std::vector<Confirm> confirms_;
    std::optional<Wish> wish_;
    std::map<std::string, Follower> followers_;
    bool complete_ = false;     // what others accepted is to be decided
    bool owes_read_ = false;    // new voters are not known to keep their decree yet
    std::optional<Round> round_;
    std::uint64_t seen_ = 0;    // the highest round heard of
    int losses_ = 0;
    TimePoint retry_at_{}, seek_at_{};
    std::optional<Read> read_;
    std::optional<Wanted> wanted_;
    Duration patience_{};    // with an answer to that, by how long the last one took
    std::optional<Telling> telling_;
    Ballot chosen_;    // under which the decree was, where known
    std::optional<TimePoint> confirmed_;
    std::uint64_t borne_out_ = 0;       // the turn of that
    std::uint64_t borne_out_at_ = 0;    // which decree it was about
};

std::string Lamp::Impl::picture() const {
    std::string out;
    const auto add = [&out](const auto&... parts) {
        const auto one = [&out](const auto& part) {
            if constexpr (std::is_arithmetic_v<std::decay_t<decltype(part)>>) out += std::to_string(part);
            else out += part;
            out += ' ';
        };
        (one(parts), ...);
    };
    const auto decree = [&](const Decree& d) {
        add("decree", d.number, d.version, d.text, d.earlier.size());
        for (const Member& m : d.voters) add(m.address, m.disk);
    };
    add(life_, saved_.disk, issued_ - stored_, dirty_, complete_, owes_read_, seen_);
    decree(saved_.decree);
    add("promised", saved_.promised.round, saved_.promised.proposer, "accepted", saved_.accepted.round,
        saved_.accepted.proposer);
    if (saved_.pending) decree(*saved_.pending);
    for (const Reply& r : held_)
        add("held", issued_ - r.token, r.to, static_cast<int>(r.message.kind), r.message.at,
            r.message.instance, r.message.ballot.round, r.message.ballot.proposer, r.message.other.round,
            r.message.pending);
    for (const Proposal& p : proposals_) add("proposal", p.version, p.text, p.asked <= borne_out_);
    for (const Confirm& c : confirms_) add("confirm", c.ticket, read_ && read_->turn >= c.asked);
    if (wish_)
        for (const Member& m : wish_->to) add("wish", m.address, m.disk);
    if (round_) {
        add("round", round_->accepting, round_->ballot.round, round_->best.round, round_->best.proposer);
        for (const auto& y : round_->yes) add("yes", y);
        for (const auto& n : round_->no) add("no", n);
        if (round_->value) decree(*round_->value);
    }
    if (read_) {
        add("read", nonce_ - read_->nonce, read_->patience.has_value());
        for (const auto& [address, pending] : read_->answers) add(address, pending);
    }
    if (wanted_) add("wanted", wanted_->at, wanted_->from, wanted_->tries);
    if (telling_) {
        add("telling", telling_->at);
        for (const auto& l : telling_->lacking) add(l);
    }
    return out;
}

Lamp::Lamp(Settings settings, Saved saved, TimePoint now)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(saved), now)) {}
Lamp::~Lamp() = default;
Lamp::Lamp(Lamp&&) noexcept = default;
Lamp& Lamp::operator=(Lamp&&) noexcept = default;
Lamp::Lamp(const Lamp& other) : impl_(std::make_unique<Impl>(*other.impl_)) {}

void Lamp::propose(Ticket ticket, std::uint64_t version, std::string text, TimePoint until, TimePoint now,
                   Actions& out) {
    impl_->begin(now, out);
    impl_->propose(ticket, version, std::move(text), until);
    impl_->end();
}
void Lamp::quorum_read(Ticket ticket, TimePoint until, TimePoint now, Actions& out) {
    impl_->begin(now, out);
    impl_->quorum_read(ticket, until);
    impl_->end();
}
void Lamp::change_voters(std::vector<Member> from, std::vector<Member> to, TimePoint now, Actions& out) {
    impl_->begin(now, out);
    impl_->change_voters(std::move(from), std::move(to));
    impl_->end();
}
void Lamp::heard(const std::string& from, const std::string& bytes, TimePoint now, Actions& out) {
    impl_->begin(now, out);
    impl_->heard(from, bytes);
    impl_->end();
}
void Lamp::stored(std::uint64_t token, TimePoint now, Actions& out) {
    impl_->begin(now, out);
    impl_->stored(token);
    impl_->end();
}
void Lamp::tick(TimePoint now, Actions& out) {
    impl_->begin(now, out);
    impl_->end();
}
std::optional<TimePoint> Lamp::next() const { return impl_->next(); }
void Lamp::others(std::vector<std::string> addresses) { impl_->others(std::move(addresses)); }
const Decree& Lamp::decree() const { return impl_->decree(); }
std::optional<TimePoint> Lamp::confirmed() const { return impl_->confirmed(); }
bool Lamp::follows(const Member& member, Duration within) const { return impl_->follows(member, within); }
bool Lamp::is_voter() const { return impl_->is_voter(); }
std::uint64_t Lamp::dropped() const { return impl_->dropped(); }
std::string Lamp::picture() const { return impl_->picture(); }

}    // namespace shaletray::consensus
