// Beats, and what lighthouses and pilots make of each other's words.
#include "cluster/registry/service_registry.h"

#include <criterion/criterion.h>

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <random>

#include "base/runtime/capnp_codec.h"
#include "cluster/registry/next_registry.capnp.h"
#include "cluster/registry/registry.capnp.h"

using namespace shaletray;
using namespace shaletray::registry;
using namespace std::chrono_literals;

namespace {

TimePoint at(Duration d) { return TimePoint(1'000'000s + d); }

Beat beat(const std::string& id, std::uint64_t calls, State state = State::InService, int place = 1) {
    Beat b;
    b.server.id = id;
    b.server.service = "recibos";
    b.server.address = "10.128.0." + std::to_string(place) + ":8080";
    b.server.zone = "santander-a";
    b.server.revision = "v1";
    b.server.capacity = 6;
    b.server.state = state;
    b.server.calls = calls;
    return b;
}

Muster lighthouse(int n, std::uint64_t life = 1) {
    return Muster({"10.0.0." + std::to_string(n) + ":7100", life, 1500ms, 4});
}
std::string name(int n) { return "10.0.0." + std::to_string(n) + ":7100"; }

State state(const std::map<std::string, Server>& servers, const std::string& id) {
    const auto it = servers.find(id);
    cr_assert(it != servers.end(), "%s is not known", id.c_str());
    return it->second.state;
}
bool holds(const std::map<std::string, Server>& servers, const std::string& id, State wanted) {
    const auto it = servers.find(id);
    return it != servers.end() && it->second.state == wanted;
}

// The words of two lighthouses that servers call in turn, and what is true in the end.
struct Day {
    std::vector<std::string> words;    // for pilots, in the order of their making
    std::map<std::string, State> truth;
    Muster one = lighthouse(1), two = lighthouse(2);
    TimePoint end;
};
std::unique_ptr<Day> day(std::uint64_t seed) {
    auto d = std::make_unique<Day>();
    std::mt19937_64 draw(seed);
    std::map<std::string, std::uint64_t> calls;
    std::uint64_t told_one = 0, told_two = 0;
    TimePoint now = at(0s);
    for (int step = 0; step < 200; ++step) {
        now += std::chrono::milliseconds(draw() % 50);
        const int n = static_cast<int>(draw() % 12);
        const std::string id = "i-" + std::to_string(n);
        Muster& to = draw() % 4 == 0 ? d->two : d->one;
        if (d->truth[id] == State::Gone) continue;
        if (draw() % 40 == 0) {
            d->truth[id] = State::Gone;
            to.deregister(id, now);
        } else {
            const State s =
                d->truth[id] == State::Draining || draw() % 10 == 0 ? State::Draining : State::InService;
            d->truth[id] = s;
            to.beat(beat(id, ++calls[id], s, n), now);
        }
        if (draw() % 3 == 0) {
            d->words.push_back(d->one.changes(told_one, false, now));
            told_one = d->one.sequence();
            d->words.push_back(d->two.changes(told_two, false, now));
            told_two = d->two.sequence();
        }
        if (draw() % 5 == 0) {
            d->one.merge(name(2), d->two.changes(0, true, now), now);
            d->two.merge(name(1), d->one.changes(0, true, now), now);
        }
    }
    d->words.push_back(d->one.changes(0, false, now));
    d->words.push_back(d->two.changes(0, false, now));
    d->end = now;
    return d;
}

}    // namespace

Test(beat, is_read_with_and_without_what_may_be_left_out) {
    const auto b = read_beat(
        "i-7f3a91c2",
        R"({"address":"10.128.0.9:8080","news":[1],"system_info":{"service":"huvo11a","revision":"v1","zone":"z",
            "capacity":2},"status":{"state":"draining","call_count":4,"ramp_left":"2.5s"}})");
    cr_assert(b.value().server.id == "i-7f3a91c2" && b->server.address == "10.128.0.9:8080");
    cr_assert(b->server.service == "huvo11a" && b->server.revision == "v1" && b->server.zone == "z");
    cr_assert(b->server.capacity == 2 && b->server.state == State::Draining && b->server.calls == 4);
    cr_assert(b->server.ramp_left == 2500ms);
    const auto least =
        read_beat("i", R"({"address":"a:1","system_info":{"service":"s","slots":3,"version":"v2"},
                                          "status":{"state":"in_service","call_count":0}})");
    cr_assert(least.value().server.capacity == 3 && least->server.revision == "v2");
}

Test(beat, says_which_field_is_wrong) {
    const auto why = [](std::string_view body) {
        return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<std::string> {
                BOOST_LEAF_CHECK(read_beat("i", body));
                return std::string("good");
            },
            [](const std::string& text) { return text; }, [] { return std::string("?"); });
    };
    const std::string info = R"("system_info":{"service":"s"})",
                      calls = R"("status":{"state":"draining","call_count":1)";
    const std::string address = R"({"address":"a:1",)";
    cr_assert(why(address + info + "," + calls + "}}") == "good");
    for (const auto& [body, field] : std::vector<std::pair<std::string, std::string>>{
             {"", "body:"},
             {"[]", "body:"},
             {"{}", "address:"},
             {R"({"address":7})", "address:"},
             {address + calls + "}}", "system_info.service:"},
             {address + R"("system_info":{"service":""},)" + calls + "}}", "system_info.service:"},
             {address + R"("system_info":{"service":"s","capacity":0},)" + calls + "}}",
              "system_info.capacity:"},
             {address + info + "}", "status.state:"},
             {address + info + R"(,"status":{"state":"well","call_count":1}})", "status.state:"},
             {address + info + R"(,"status":{"state":"draining","call_count":-1}})", "status.call_count:"},
             {address + info + R"(,"status":{"state":"draining","call_count":1.5}})", "status.call_count:"},
             {address + info + "," + calls + R"(,"ramp_left":"soon"}})", "status.ramp_left:"}})
        cr_assert(why(body).starts_with(field), "%s gives %s", body.c_str(), why(body).c_str());
}

Test(muster, takes_each_call_once_and_no_late_one) {
    Muster m = lighthouse(1);
    cr_assert(m.beat(beat("i", 5), at(0s)));
    const auto sequence = m.sequence();
    cr_assert(m.beat(beat("i", 6), at(1s)));
    cr_assert(m.sequence() == sequence);    // nothing that others need to know
    cr_assert(m.beat(beat("i", 8, State::Draining), at(2s)));
    cr_assert(m.sequence() > sequence);
    cr_assert(!m.beat(beat("i", 7), at(3s)) && !m.beat(beat("i", 8), at(3s)));
    cr_assert(state(m.servers(), "i") == State::Draining);
    cr_assert(m.deregister("i", at(4s)) && !m.deregister("i", at(4s)));
    cr_assert(!m.beat(beat("i", 9), at(5s)));
    cr_assert(state(m.servers(), "i") == State::Gone);
    // Also where only the farewell was heard; and in the end it is forgotten.
    cr_assert(m.deregister("j", at(5s)) && !m.beat(beat("j", 1), at(6s)));
    for (Duration t = 6s; t < 80s; t += 500ms) m.tick(at(t));
    cr_assert(m.servers().empty());
}

Test(roster, holds_the_same_whatever_order_words_come_in) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        const auto d = day(seed);
        std::mt19937_64 draw(seed);
        for (int reader = 0; reader < 3; ++reader) {
            Roster r;
            std::vector<std::string> words = d->words;
            std::shuffle(words.begin(), words.end(), draw);
            std::map<std::string, std::uint64_t> drained;
            for (const std::string& w : words) {
                for (std::uint64_t times = draw() % 3 + 1; times > 0; --times) cr_assert(r.take(w, d->end));
                for (const auto& [id, s] : r.servers()) {    // no older word undoes a drain
                    if (s.state == State::Draining) drained.try_emplace(id, s.calls);
                    cr_assert(s.state != State::InService || !drained.contains(id) || s.calls > drained[id]);
                }
            }
            for (const auto& [id, truth] : d->truth)
                cr_assert(holds(r.servers(), id, truth), "seed %lu, %s", seed, id.c_str());
        }
    }
}

Test(muster, merges_the_same_either_way_and_twice) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        const auto d = day(seed);
        const std::string one = d->one.changes(0, true, d->end), two = d->two.changes(0, true, d->end);
        Muster a = lighthouse(3), b = lighthouse(3);
        a.merge(name(1), one, d->end);
        a.merge(name(2), two, d->end);
        b.merge(name(2), two, d->end);
        b.merge(name(1), one, d->end);
        const auto sequence = b.sequence();
        b.merge(name(2), two, d->end);
        b.merge(name(1), one, d->end);
        cr_assert(b.sequence() == sequence && b.spoilt() == 0);
        cr_assert(a.servers().size() == b.servers().size());
        for (const auto& [id, s] : a.servers()) {
            cr_assert(holds(b.servers(), id, s.state));
            cr_assert(s.state == State::Gone || b.servers().at(id).calls == s.calls);
            if (d->truth[id] == State::Gone) cr_assert(s.state == State::Gone);
        }
    }
}

Test(muster, tells_a_reader_that_missed_something_from_where_he_stands) {
    Muster a = lighthouse(1), b = lighthouse(2);
    a.beat(beat("i", 1, State::InService, 1), at(0s));
    b.merge(name(1), a.changes(0, true, at(0s)), at(0s));
    const auto stands = b.known(name(1), 1);
    cr_assert(stands == a.sequence());
    a.beat(beat("j", 1, State::InService, 2), at(1s));
    const std::string lost = a.changes(stands, true, at(1s));
    const auto pushed = a.sequence();
    a.beat(beat("k", 1, State::InService, 3), at(2s));
    b.merge(name(1), a.changes(pushed, true, at(2s)), at(2s));
    cr_assert(b.servers().contains("k") && !b.servers().contains("j"));
    cr_assert(b.known(name(1), 1) == stands);    // it still lacks what was lost
    b.merge(name(1), a.changes(stands, true, at(3s)), at(3s));
    cr_assert(b.servers().contains("j") && b.known(name(1), 1) == a.sequence());
    cr_assert(b.known(name(1), 2) == 0);
    b.merge("10.0.0.9:7100", lost, at(3s));    // under another's name
    cr_assert(b.spoilt() == 1);
}

// A and B run on, as far as their links go; servers call A at first.
struct Pair {
    Muster a = lighthouse(1), b = lighthouse(2);
    Roster pilot;    // hears b, and a where it runs
    Duration now = 0s;
    void run(Duration until, bool linked, std::function<void(Duration)> calls) {
        for (; now < until; now += 500ms) {
            calls(now);
            a.tick(at(now));
            b.tick(at(now));
            if (linked) {
                b.merge(name(1), a.changes(b.known(name(1), 1), true, at(now)), at(now));
                a.merge(name(2), b.changes(a.known(name(2), 1), true, at(now)), at(now));
            }
            cr_assert(pilot.take(b.changes(0, false, at(now)), at(now)));
        }
    }
};

Test(muster, calls_lost_whom_its_keeper_misses) {
    Pair p;
    std::uint64_t calls = 0;
    p.run(8s, true, [&](Duration) { p.a.beat(beat("i", ++calls), at(p.now)); });
    cr_assert(holds(p.pilot.servers(), "i", State::InService));
    p.run(13s, true, [](Duration) {});
    cr_assert(holds(p.a.servers(), "i", State::InService));
    p.run(16s, true, [](Duration) {});
    cr_assert(holds(p.a.servers(), "i", State::Lost) && holds(p.b.servers(), "i", State::Lost));
    cr_assert(holds(p.pilot.servers(), "i", State::Lost));
    p.run(18s, true, [&](Duration) { p.b.beat(beat("i", ++calls), at(p.now)); });    // it calls another now
    cr_assert(holds(p.a.servers(), "i", State::InService) && holds(p.pilot.servers(), "i", State::InService));
}

Test(muster, does_not_call_lost_whose_keeper_is_out_of_reach_for_a_while) {
    Pair p;
    std::uint64_t calls = 0;
    const auto both = [&](Duration) {
        p.a.beat(beat("i", ++calls, State::InService, 1), at(p.now));
        p.a.beat(beat("j", calls, State::Draining, 2), at(p.now));
    };
    p.run(4s, true, both);
    p.run(12s, false, both);
    cr_assert(holds(p.b.servers(), "i", State::InService));
    p.run(30s, false, both);    // for twice the time: as far as b can know they ended with their keeper
    cr_assert(holds(p.b.servers(), "i", State::Lost) && holds(p.pilot.servers(), "j", State::Lost));
    p.run(31s, true, both);
    cr_assert(holds(p.b.servers(), "i", State::InService) && holds(p.b.servers(), "j", State::Draining));
    cr_assert(holds(p.pilot.servers(), "i", State::InService));
}

Test(muster, keeps_whom_another_took_over_and_loses_whom_nobody_did) {
    Pair p;
    std::uint64_t calls = 0;
    p.run(4s, true, [&](Duration) {
        p.a.beat(beat("i", ++calls, State::InService, 1), at(p.now));
        p.a.beat(beat("j", calls, State::InService, 2), at(p.now));
    });
    p.a = lighthouse(1, 2);    // began anew, knows nothing
    const auto one = [&](Duration) { p.b.beat(beat("i", ++calls, State::InService, 1), at(p.now)); };
    for (; p.now < 40s; p.now += 500ms) {
        one(p.now);
        p.a.tick(at(p.now));
        p.b.tick(at(p.now));
        p.b.merge(name(1), p.a.changes(p.b.known(name(1), 2), true, at(p.now)), at(p.now));
        p.a.merge(name(2), p.b.changes(0, true, at(p.now)), at(p.now));
        cr_assert(p.pilot.take(p.b.changes(0, false, at(p.now)), at(p.now)));
    }
    cr_assert(holds(p.b.servers(), "i", State::InService) && holds(p.a.servers(), "i", State::InService));
    cr_assert(holds(p.b.servers(), "j", State::Lost) && holds(p.pilot.servers(), "j", State::Lost));
}

Test(muster, takes_a_new_server_at_an_old_address_as_its_end) {
    Muster a = lighthouse(1), b = lighthouse(2);
    a.beat(beat("old", 7), at(0s));
    b.merge(name(1), a.changes(0, true, at(0s)), at(0s));
    b.beat(beat("new", 1), at(4s));
    cr_assert(holds(b.servers(), "old", State::Gone) && holds(b.servers(), "new", State::InService));
    // The words cross: neither side lets the old one end the new one.
    Muster c = lighthouse(3);
    c.merge(name(2), b.changes(0, true, at(4s)), at(4s));
    c.merge(name(1), a.changes(0, true, at(4s)), at(4s));
    cr_assert(holds(c.servers(), "new", State::InService) && holds(c.servers(), "old", State::Gone));
    Roster r;
    cr_assert(r.take(b.changes(0, false, at(4s)), at(4s)) && r.take(a.changes(0, false, at(4s)), at(4s)));
    cr_assert(holds(r.servers(), "new", State::InService) && holds(r.servers(), "old", State::Gone));
}

Test(muster, takes_back_what_late_words_made_it_conclude_of_an_address) {
    Muster a = lighthouse(1), b = lighthouse(2);
    a.beat(beat("old", 7), at(0s));
    const std::string late = a.changes(0, true, at(0s));
    b.beat(beat("new", 1), at(4s));
    Roster r;
    cr_assert(r.take(b.changes(0, false, at(4s)), at(4s)) && r.take(late, at(10s)));
    b.merge(name(1), late, at(10s));
    cr_assert(holds(r.servers(), "new", State::Gone) && holds(b.servers(), "new", State::Gone));
    b.beat(beat("new", 2), at(10s));
    cr_assert(holds(b.servers(), "new", State::InService));
    cr_assert(r.take(b.changes(0, false, at(10s)), at(10s)));
    cr_assert(holds(r.servers(), "new", State::InService));
    // Where its keeper concluded nothing, the next call is told nevertheless.
    Muster c = lighthouse(3), d = lighthouse(4);
    c.beat(beat("new", 5), at(20s));
    d.merge(name(3), c.changes(0, true, at(20s)), at(20s));
    d.beat(beat("old", 8), at(22s));
    cr_assert(holds(d.servers(), "new", State::Gone));
    c.beat(beat("new", 6), at(21500ms));
    c.merge(name(4), d.changes(0, true, at(22s)), at(22s));
    c.beat(beat("new", 7), at(23s));
    d.merge(name(3), c.changes(d.known(name(3), 1), true, at(23s)), at(23s));
    cr_assert(holds(d.servers(), "new", State::InService));
}

Test(muster, survives_bytes_that_are_no_words) {
    const auto d = day(3);
    const std::string good = d->one.changes(0, false, d->end);
    std::mt19937_64 draw(11);
    Roster r;
    cr_assert(!r.take("", d->end));
    for (int i = 0; i < 5000; ++i) {
        std::string bytes = good;
        for (int n = 0; n < 4; ++n) bytes[draw() % bytes.size()] = static_cast<char>(draw());
        if (draw() % 3 == 0) bytes.resize(draw() % bytes.size());
        static_cast<void>(r.take(bytes, d->end));
    }
}

Test(muster, understands_words_of_a_later_version_and_is_understood_by_it) {
    Muster m = lighthouse(1, 9);
    m.beat(beat("i", 3, State::Draining), at(0s));
    const std::string ours = m.changes(0, true, at(0s));
    const auto read =
        runtime::unpack<next::Words>(ours, [](next::Words::Reader w) -> boost::leaf::result<int> {
            cr_assert(w.getKeepers()[0].getLife() == 9 && w.getKeepers()[0].getPlace().size() == 0);
            cr_assert(w.getEntries()[0].getCalls() == 3 && w.getEntries()[0].getNote().size() == 0);
            return 1;
        });
    cr_assert(read);
    capnp::MallocMessageBuilder message;
    auto words = message.initRoot<next::Words>();
    auto keeper = words.initKeepers(1)[0];
    keeper.setAddress("10.0.0.2:7100");
    keeper.setLife(4);
    keeper.setPlace("hall 3");
    words.initNames(1).set(0, "recibos");
    words.setSequence(1);
    auto entry = words.initEntries(1)[0];
    entry.setId("n");
    entry.setAddress("10.128.0.7:8080");
    entry.setCalls(2);
    entry.setNote("new");
    Muster b = lighthouse(1);
    b.merge(name(2), runtime::pack(message), at(0s));
    cr_assert(b.spoilt() == 0 && holds(b.servers(), "n", State::InService) && b.known(name(2), 4) == 1);
}
