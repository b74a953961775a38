// The core in virtual time: lighthouses with their own convoy, lamp and steward, wired as Lighthouse does, on
// machines that are killed, frozen, cut off, lose power or disks, and are replaced by empty ones elsewhere.
#pragma once

#include <criterion/criterion.h>

#include <algorithm>
#include <memory>
#include <queue>
#include <random>
#include <set>

#include "cluster/consensus/register_cluster.h"
#include "cluster/membership/membership.h"
#include "controller/voter_reconciler.h"

namespace shaletray::controller::test {

using namespace std::chrono_literals;
using consensus::test::kLess;

struct Core {
    static constexpr Duration kCatchUp = 4s, kContact = 3s, kAck = 4s;
    struct Machine {
        std::string address;
        consensus::Saved disk;    // what a loss of power leaves
        std::vector<consensus::Actions::Store> unsynced;
        std::optional<consensus::Lamp> lamp;
        std::unique_ptr<membership::Convoy> convoy;
        std::optional<Steward> steward;
        std::uint64_t life = 0;
        TimePoint frozen{}, starts{}, reads{}, looks{}, leaves{}, lost_until{};
        bool gone = false;     // for good
        bool counts = true;    // false: its successor counts in its stead
        bool hands_on = false;
    };
    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        std::size_t to = 0, from = 0;
        std::uint64_t life = 0;    // stores: of the process that wrote
        std::uint64_t token = 0, from_life = 0;
        bool convoy = false;
        std::string bytes;
        bool operator<(const Event& o) const { return std::tie(at, order) > std::tie(o.at, o.order); }
    };
    struct Order {
        std::uint64_t version = 0, least = 0;    // least: what had been acknowledged before
        TimePoint asked;
        bool read = false;
    };

    std::mt19937_64 random;
    TimePoint now = TimePoint{} + 1000s;
    std::vector<Machine> machines;
    std::priority_queue<Event> events;
    std::set<std::pair<std::size_t, std::size_t>> cut;
    std::map<consensus::Ticket, Order> orders;
    consensus::test::Register chosen;
    std::size_t losses;
    bool diskless = false;    // whoever starts again has nothing, and is another voter
    std::uint64_t order = 0, tickets = 0, version = 0, unsettled = 0, settled = 0;

    Core(std::uint64_t seed, std::size_t founders, std::size_t size, std::size_t may_lose)
        : random(seed), losses(may_lose) {
        for (std::size_t i = 0; i < size; ++i) machines.push_back(machine(i));
        for (std::size_t i = 0; i < size; ++i) {
            if (i >= founders) machines[i].disk.disk = random() | 1;
            start(i, founders);
        }
    }
    static Machine machine(std::size_t i) {
        Machine m;
        m.address = "10.1." + std::to_string(i / 100) + "." + std::to_string(10 + i % 100) + ":7100";
        return m;
    }
    std::uint64_t below(std::uint64_t n) { return random() % n; }
    bool chance(double p) { return std::uniform_real_distribution<>()(random) < p; }
    bool up(std::size_t i) const { return machines[i].lamp && machines[i].frozen <= now; }

    void start(std::size_t i, std::size_t founders = 0) {
        Machine& m = machines[i];
        if (diskless && m.life != 0) {
            m.disk = {};
            m.disk.disk = random() | 1;
        }
        std::vector<std::string> seeds;
        if (founders > 0)
            for (std::size_t o = 0; o < founders; ++o) seeds.push_back(machines[o].address);
        for (std::size_t o = 0; founders == 0 && o < machines.size() && seeds.size() < 3; ++o)
            if (!machines[o].gone && o != i) seeds.push_back(machines[o].address);
        m.life = static_cast<std::uint64_t>(now.time_since_epoch().count()) + ++order;
        consensus::Settings l;
        l.me = {m.address, m.disk.disk};
        if (founders > 0) l.founders = seeds;
        l.seed = random();
        m.lamp.emplace(l, m.disk, now);
        membership::Settings c;
        c.me = {m.address, membership::Role::Lighthouse,
                m.address, "z" + std::to_string(i % 3),
                "r",       m.address,
                true,      m.disk.disk,
                m.life,    0};
        c.seeds = seeds;
        c.seed = random();
        m.convoy = std::make_unique<membership::Convoy>(c, now);
        m.steward.emplace(Steward::Settings{{m.address, m.disk.disk}, losses, kCatchUp}, now);
        m.reads = m.looks = now;
        m.leaves = m.frozen = m.starts = TimePoint{};
        m.hands_on = false;
        members_changed(i);
        take(i);
    }
    // A process that dies leaves what it wrote, some of it perhaps not synced; a loss of power what was
    // synced.
    void stop(std::size_t i, bool power) {
        Machine& m = machines[i];
        if (!power && !m.unsynced.empty() && chance(0.5)) m.disk = m.unsynced[below(m.unsynced.size())].saved;
        m.unsynced.clear();
        m.lamp.reset();
        m.convoy.reset();
        m.steward.reset();
    }
    void lose(std::size_t i, Duration down, bool power, bool wiped) {
        stop(i, power || wiped);
        if (wiped) {
            machines[i].disk = {};
            machines[i].disk.disk = random() | 1;
        }
        machines[i].starts = now + down;
        lost(i, down);
    }
    void lost(std::size_t i, Duration down) {
        machines[i].lost_until = std::max(machines[i].lost_until, now + down + kCatchUp);
    }
    // A SIGTERM: it hands its vote on, says goodbye and ends.
    void leave(std::size_t i) {
        Machine& m = machines[i];
        m.leaves = now + 300ms;
        m.steward->leave();
        m.convoy->quorum(false);
        look(i);
    }
    std::size_t join() {
        machines.push_back(machine(machines.size()));
        machines.back().disk.disk = random() | 1;
        start(machines.size() - 1);
        lost(machines.size() - 1, 0s);
        return machines.size() - 1;
    }
    // The one that left for good stops counting once its successor has had its time.
    std::size_t replace(std::size_t i) {
        machines[i].gone = true;
        if (machines[i].lamp) stop(i, true);
        machines[i].counts = false;
        return join();
    }
    std::size_t lost_now() const {
        return static_cast<std::size_t>(std::count_if(
            machines.begin(), machines.end(),
            [&](const Machine& m) { return m.counts && (!m.lamp || m.lost_until > now || m.frozen > now); }));
    }

    void carry(std::size_t i, const membership::Actions& out) {
        for (const auto& s : out.sends) post(i, s.to, true, s.bytes);
        if (!out.changed.empty()) members_changed(i);
    }
    void carry(std::size_t i, consensus::Actions& out) {
        Machine& m = machines[i];
        if (out.changed) take(i);
        for (consensus::Actions::Store& s : out.stores) {
            events.push({now + 1ms + Duration(below(4000)), ++order, i, i, m.life, s.token, 0, false, {}});
            m.unsynced.push_back(std::move(s));
        }
        for (const auto& s : out.sends) post(i, s.to, false, s.bytes);
        for (const auto& d : out.done) {
            const auto it = orders.find(d.ticket);
            if (it == orders.end()) continue;
            const Order asked = it->second;
            orders.erase(it);
            if (d.answer == consensus::Answer::Unsettled) {
                ++unsettled;
                continue;
            }
            ++settled;
            const std::uint64_t held = m.lamp->decree().version;
            cr_assert(held >= asked.least, "%lu answered after %lu was acknowledged", held, asked.least);
            chosen.acknowledged = std::max(chosen.acknowledged, held);
        }
    }
    void take(std::size_t i) {
        const std::string wrong = chosen.take(machines[i].lamp->decree());
        cr_assert(wrong.empty(), "%s", wrong.c_str());
    }
    void post(std::size_t from, const std::string& to, bool convoy, const std::string& bytes) {
        for (std::size_t o = 0; o < machines.size(); ++o)
            if (machines[o].address == to)
                events.push({now + 1ms + Duration(below(1000)), ++order, o, from, 0, 0, machines[from].life,
                             convoy, bytes});
    }
    void members_changed(std::size_t i) {
        std::vector<std::string> others;
        for (const auto& [address, member] : machines[i].convoy->members())
            if (member.state != membership::State::Gone) others.push_back(address);
        machines[i].lamp->others(std::move(others));
    }
    void look(std::size_t i) {
        Machine& m = machines[i];
        const auto follows = [&](const consensus::Member& o) { return m.lamp->follows(o, 2s); };
        const auto step = m.steward->next(m.lamp->decree(), m.convoy->members(), follows, now);
        m.hands_on = step.has_value();
        if (!step) return;
        consensus::Actions out;
        m.lamp->change_voters(step->from, step->to, now, out);
        carry(i, out);
    }
    void ask(std::size_t i, bool read) {
        orders[++tickets] = {read ? 0 : ++version, chosen.acknowledged, now, read};
        consensus::Actions out;
        if (read) machines[i].lamp->quorum_read(tickets, now + 900ms, now, out);
        else
            machines[i].lamp->propose(tickets, version, "v" + std::to_string(version), now + 900ms, now, out);
        carry(i, out);
    }

    TimePoint due(std::size_t i) const {
        const Machine& m = machines[i];
        if (!m.lamp) return m.gone || m.starts == TimePoint{} ? TimePoint::max() : m.starts;
        TimePoint at = std::min({m.convoy->next(), m.reads, m.looks});
        if (const auto next = m.lamp->next()) at = std::min(at, *next);
        if (m.leaves != TimePoint{}) at = std::min(at, m.leaves);
        return std::max(at, m.frozen);
    }
    void tick(std::size_t i) {
        Machine& m = machines[i];
        if (!m.lamp) return start(i);
        if (m.convoy->next() <= now) {
            membership::Actions out;
            m.convoy->tick(now, out);
            carry(i, out);
        }
        consensus::Actions out;
        m.lamp->tick(now, out);
        if (m.reads <= now) {
            m.reads = now + 500ms;
            m.lamp->quorum_read(0, now + 900ms, now, out);
        }
        carry(i, out);
        if (m.looks <= now) {
            m.looks = now + 250ms;
            look(i);
        }
        if (m.leaves == TimePoint{} || m.leaves > now) return;
        if (m.hands_on && m.lamp->is_voter() && now < m.leaves + 1200ms) {
            m.leaves = now + 50ms;
            return;
        }
        membership::Actions goodbye;
        m.convoy->leave(now, goodbye);
        carry(i, goodbye);
        stop(i, false);
        m.leaves = TimePoint{};
    }
    void run(TimePoint until) {
        for (;;) {
            TimePoint at = until;
            std::size_t who = machines.size();
            for (std::size_t i = 0; i < machines.size(); ++i)
                if (const TimePoint d = due(i); d < at) {
                    at = d;
                    who = i;
                }
            if (!events.empty() && events.top().at <= at) {
                Event e = events.top();
                events.pop();
                now = std::max(now, e.at);
                deliver(std::move(e));
                continue;
            }
            now = std::max(now, at);
            if (who == machines.size()) return;
            tick(who);
        }
    }
    void run(Duration more) { run(now + more); }
    void deliver(Event e) {
        Machine& m = machines[e.to];
        if (!m.lamp || (e.life != 0 && e.life != m.life) || (e.life == 0 && cut.contains({e.from, e.to})))
            return;
        if (m.frozen > now) {    // it wakes to find it
            e.at = m.frozen;
            e.order = ++order;
            events.push(std::move(e));
            return;
        }
        if (e.convoy) {
            membership::Actions out;
            m.convoy->heard(machines[e.from].address, e.bytes, now, out);
            carry(e.to, out);
            return;
        }
        consensus::Actions out;
        if (e.token != 0) {
            while (!m.unsynced.empty() && m.unsynced.front().token <= e.token) {
                m.disk = std::move(m.unsynced.front().saved);
                m.unsynced.erase(m.unsynced.begin());
            }
            m.lamp->stored(e.token, now, out);
        } else {
            m.convoy->seen(machines[e.from].address, e.from_life, now);
            m.lamp->heard(machines[e.from].address, e.bytes, now, out);
        }
        carry(e.to, out);
    }

    // ---- what must hold once every machine that came back or is new has had its time ----
    const consensus::Decree& newest() const { return chosen.decrees.rbegin()->second; }
    const Machine* holder(const consensus::Member& voter) const {
        for (const Machine& m : machines)
            if (m.lamp && m.address == voter.address && m.disk.disk == voter.disk) return &m;
        return nullptr;
    }
    // The further losses that the voters bear; what was acknowledged is on more disks than may be lost.
    void must_bear(const char* when) const {
        const consensus::Decree& d = newest();
        std::size_t answer = 0, keep = 0;
        for (const consensus::Member& voter : d.voters)
            if (const Machine* m = holder(voter)) {
                ++answer;
                keep += m->disk.decree.version >= chosen.acknowledged ||
                        (m->disk.pending && m->disk.pending->version >= chosen.acknowledged);
            }
        cr_assert(Steward::bears(answer, d.voters.size()) >= static_cast<int>(losses),
                  "%s, at %.3f s: %zu of %zu voters answer, decree %lu", when, seconds(), answer,
                  d.voters.size(), d.number);
        cr_assert(keep > losses, "%s, at %.3f s: %zu disks keep what was acknowledged", when, seconds(),
                  keep);
    }
    double seconds() const { return std::chrono::duration<double>(now.time_since_epoch() - 1000s).count(); }
    // An order is acknowledged and read within `ack`, at any machine that runs.
    void must_serve(const char* when) {
        for (const bool read : {false, true}) {
            const TimePoint begun = now;
            const std::uint64_t wanted = read ? chosen.acknowledged : version + 1;
            std::uint64_t before = settled;
            while (before == settled) {
                std::size_t i = below(machines.size());
                while (!up(i) || machines[i].leaves != TimePoint{}) i = below(machines.size());
                if (read) ask(i, true);
                else {
                    version = wanted - 1;    // the same order again
                    ask(i, false);
                }
                run(1s);
                cr_assert(now - begun <= kAck || before != settled, "%s, at %.3f s: no %s", when, seconds(),
                          read ? "read" : "acknowledgement");
            }
            cr_assert(chosen.acknowledged >= wanted, "%s", when);
        }
    }
};

}    // namespace shaletray::controller::test
