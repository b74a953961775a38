// What pilots are told, taken up as pilots do.
#include "controller/configuration_publisher.h"

#include <criterion/criterion.h>

using namespace shaletray;
using namespace std::chrono_literals;
using controller::Gallery;

namespace {

TimePoint at(Duration d) { return TimePoint(1'000'000s + d); }

configuration::Chart chart_of(std::uint64_t version) {
    std::string routes;
    for (std::uint64_t i = 0; i < 300; ++i)
        routes += std::string(i == 0 ? "" : ",") + R"(["r)" + std::to_string(i) + R"(","h.example","/p)" +
                  std::to_string(i == version ? i + 1000 : i) + R"(/","idempotent","500ms","s"])";
    return configuration::read_chart(
               R"({"revision":"r)" + std::to_string(version) +
               R"(","routes":{"columns":["name","hostname","path_prefix","route_type","timeout",)" +
               R"("service"],"rows":[)" + routes + R"(]},"services":{"columns":["name"],)" +
               R"("rows":[["s"]]},"limits":{}})")
        .value();
}

struct Pilot {
    explicit Pilot(std::string n) : name(std::move(n)) {}
    void take(const std::string& bytes, TimePoint now) {
        const auto news = subscription::decode_news(bytes);
        cr_assert(news);
        ++letters;
        bytes_taken += bytes.size();
        if (!news->update.empty()) {
            auto next = configuration::read_update(chart, news->update);
            cr_assert(next, "%s cannot use an update to %lu", name.c_str(), news->version);
            chart = std::move(*next);
        }
        cr_assert(roster.take(news->servers, now));
        if (life != news->life) sequence = 0;
        life = news->life;
        if (news->since <= sequence) sequence = std::max(sequence, news->sequence);
    }
    subscription::Have have() const {
        return {1,    chart.version, chart.version == 0 ? 0 : configuration::digest_of(chart),
                life, sequence,      1};
    }
    std::string name;
    configuration::Chart chart;
    registry::Roster roster;
    std::uint64_t life = 0, sequence = 0;
    std::size_t letters = 0, bytes_taken = 0;
};

registry::Beat beat(const std::string& id, std::uint64_t calls) {
    registry::Beat b;
    b.server.id = id;
    b.server.service = "s";
    b.server.address = "10.128.0.9:" + std::to_string(8000 + id.size());
    b.server.calls = calls;
    return b;
}

struct Rig {
    registry::Muster muster{{"10.0.0.1:7100", 5, 1500ms, 4}};
    Gallery gallery{Gallery::Settings{.life = 5}, muster};
    std::map<std::string, Pilot> pilots;
    std::vector<Gallery::Send> out;
    Pilot& pilot(const std::string& name) { return pilots.try_emplace(name, name).first->second; }
    void deliver(TimePoint now) {
        for (const auto& send : std::exchange(out, {})) pilot(send.to).take(send.bytes, now);
    }
    void report(const std::string& name, TimePoint now) {
        gallery.heard(name, pilot(name).have(), now, out);
        deliver(now);
    }
};

}    // namespace

Test(gallery, tells_at_once_who_reported_and_in_the_answer_who_did_not) {
    Rig rig;
    rig.report("a", at(0s));
    rig.report("b", at(0s));
    cr_assert(rig.pilot("a").letters == 1 && rig.pilot("a").chart.version == 0);
    rig.gallery.chart(chart_of(1));
    rig.report("b", at(4s));    // a was silent for longer than pilots are waited for
    rig.gallery.chart(chart_of(2));
    rig.muster.beat(beat("i", 1), at(4s));
    rig.gallery.tell(at(4s), rig.out);
    rig.deliver(at(4s));
    cr_assert(rig.pilot("a").letters == 1 && rig.pilot("b").chart.version == 2);
    cr_assert(rig.pilot("b").roster.servers().contains("i"));
    rig.gallery.tell(at(4s), rig.out);
    cr_assert(rig.out.empty());    // nobody lacks anything
    rig.report("a", at(5s));
    cr_assert(rig.pilot("a").chart == rig.pilot("b").chart && rig.pilot("a").roster.servers().contains("i"));
}

Test(gallery, sends_differences_to_who_holds_what_is_still_held) {
    Rig rig;
    for (std::uint64_t version = 1; version <= 20; ++version) {
        rig.gallery.chart(chart_of(version));
        rig.report(version == 1 ? "oldest" : version == 10 ? "older" : "newest", at(0s));
    }
    for (const char* name : {"oldest", "older", "newest"}) {
        Pilot& p = rig.pilot(name);
        const auto before = p.bytes_taken;
        rig.report(name, at(1s));
        cr_assert(p.chart == chart_of(20));
        // The first one's chart is not held any more, and it gets the whole.
        cr_assert((p.bytes_taken - before < 1500) == (p.name != "oldest"), "%s: %zu", name,
                  p.bytes_taken - before);
    }
}

Test(gallery, repairs_what_was_lost_and_begins_anew_with_another_life) {
    Rig rig;
    rig.gallery.chart(chart_of(1));
    rig.report("a", at(0s));
    rig.gallery.chart(chart_of(2));
    rig.muster.beat(beat("i", 1), at(0s));
    rig.gallery.tell(at(0s), rig.out);
    rig.out.clear();    // lost with a connection
    rig.muster.beat(beat("jj", 1), at(0s));
    rig.gallery.tell(at(0s), rig.out);
    rig.deliver(at(0s));
    Pilot& a = rig.pilot("a");
    cr_assert(a.chart.version == 1 && a.roster.servers().contains("jj") && !a.roster.servers().contains("i"));
    rig.report("a", at(500ms));
    cr_assert(a.chart.version == 2 && a.roster.servers().contains("i"));
    rig.muster.life(6);
    rig.gallery.life(6);
    rig.muster.deregister("i", at(1s));
    rig.report("a", at(1s));
    cr_assert(a.life == 6 && a.sequence == rig.muster.sequence());
    cr_assert(a.roster.servers().at("i").state == registry::State::Gone);
}
