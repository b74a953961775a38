// Lighthouses that tell each other of servers, over links that lose what they like.
#include "controller/registry_forwarder.h"

#include <criterion/criterion.h>

#include <memory>
#include <random>

using namespace shaletray;
using namespace std::chrono_literals;
using controller::Relay;

namespace {

TimePoint at(Duration d) { return TimePoint(1'000'000s + d); }

struct Lighthouse {
    Lighthouse(std::string a, std::uint64_t l)
        : address(std::move(a)), life(l), muster({address, l, 1500ms, 4}), relay(muster) {}
    std::string address;
    std::uint64_t life;
    registry::Muster muster;
    Relay relay;
    std::vector<Relay::Send> out;
};

struct World {
    World() {
        for (const char* a : {"10.0.0.1:7100", "10.0.0.2:7100", "10.0.0.3:7100"}) begin(a, 1);
    }
    void begin(const std::string& address, std::uint64_t life) {
        all[address] = std::make_unique<Lighthouse>(address, life);
        std::vector<std::string> others;
        for (const auto& [a, l] : all)
            if (a != address) others.push_back(a);
        for (auto& [a, l] : all) {
            std::vector<std::string> rest;
            for (const auto& [b, m] : all)
                if (a != b) rest.push_back(b);
            l->relay.others(rest);
        }
    }
    void step(double lost) {
        now += 100ms;
        for (auto& [address, l] : all) {
            l->muster.tick(at(now));
            l->relay.tell(at(now), l->out);
            l->relay.tick(at(now), l->out);
        }
        for (auto& [address, l] : all)
            for (const auto& send : std::exchange(l->out, {})) {
                ++letters;
                bytes += send.bytes.size();
                if (std::uniform_real_distribution<>(0, 1)(draw) < lost) continue;
                all.at(send.to)->relay.heard(address, l->life, send.bytes, at(now));
            }
    }
    void beat(const std::string& to, const std::string& id, std::uint64_t calls,
              registry::State state = registry::State::InService) {
        registry::Beat b;
        b.server.id = id;
        b.server.service = "s";
        b.server.address = "10.128.0.9:" + id;
        b.server.calls = calls;
        b.server.state = state;
        all.at(to)->muster.beat(b, at(now));
    }
    bool agree() const {
        const auto& first = all.begin()->second->muster.servers();
        for (const auto& [address, l] : all) {
            const auto& servers = l->muster.servers();
            if (servers.size() != first.size()) return false;
            for (const auto& [id, s] : servers) {
                const auto it = first.find(id);
                if (it == first.end() || it->second.state != s.state) return false;
            }
        }
        return true;
    }
    std::map<std::string, std::unique_ptr<Lighthouse>> all;
    Duration now = 0s;
    std::mt19937_64 draw{1};
    std::size_t letters = 0, bytes = 0;
};

}    // namespace

Test(relay, brings_all_to_one_view_whatever_was_lost) {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        World w;
        w.draw.seed(seed);
        std::uint64_t calls = 0;
        for (int i = 0; i < 100; ++i) {
            const std::string to = "10.0.0." + std::to_string(w.draw() % 3 + 1) + ":7100";
            const std::string id = std::to_string(8000 + w.draw() % 10);
            if (w.draw() % 20 == 0) w.all.at(to)->muster.deregister(id, at(w.now));
            else
                w.beat(to, id, ++calls,
                       w.draw() % 5 == 0 ? registry::State::Draining : registry::State::InService);
            w.step(0.5);
            if (i == 50) w.begin("10.0.0.2:7100", 2);    // one begins anew
        }
        // What only the old life kept is heard of again by a next call.
        for (int id = 8000; id < 8010; ++id)
            w.beat("10.0.0." + std::to_string(w.draw() % 3 + 1) + ":7100", std::to_string(id), ++calls);
        for (int i = 0; i < 45; ++i) w.step(0.0);
        cr_assert(w.agree(), "seed %lu", seed);
        cr_assert(!w.all.begin()->second->muster.servers().empty());
    }
}

Test(relay, says_little_in_calm_and_a_change_once) {
    World w;
    for (int i = 0; i < 200; ++i) w.beat("10.0.0.1:7100", std::to_string(8000 + i), 1);
    for (int i = 0; i < 30; ++i) w.step(0.0);
    cr_assert(w.agree());
    w.letters = w.bytes = 0;
    for (std::uint64_t i = 0; i < 10; ++i) {
        for (int n = 0; n < 200; ++n) w.beat("10.0.0.1:7100", std::to_string(8000 + n), 2 + i);
        w.step(0.0);
    }
    cr_assert(w.letters == 6 && w.bytes < 6 * 300, "%zu, %zu bytes", w.letters, w.bytes);
    w.letters = 0;
    w.beat("10.0.0.1:7100", "8000", 50, registry::State::Draining);
    w.step(0.0);
    cr_assert(w.agree() && w.letters <= 8);
}

Test(relay, keeps_servers_whose_keeper_was_given_a_later_life) {
    World w;
    w.begin("10.0.0.1:7100", 500);    // and a clock that is set back, while the old life is remembered
    w.beat("10.0.0.1:7100", "8000", 1);
    for (int i = 0; i < 20; ++i) w.step(0.0);
    w.begin("10.0.0.1:7100", 400);
    std::uint64_t calls = 1;
    const auto run = [&](int steps) {
        for (int i = 0; i < steps; ++i) {
            if (i % 15 == 0) w.beat("10.0.0.1:7100", "8000", ++calls);
            w.step(0.0);
            const auto& there = w.all.at("10.0.0.3:7100")->muster.servers();
            cr_assert(there.at("8000").state == registry::State::InService);
        }
    };
    run(10);
    Lighthouse& back = *w.all.at("10.0.0.1:7100");
    back.life = 501;    // as the others say it has to be
    back.muster.life(501);
    back.relay.life();
    run(300);
    cr_assert(w.agree());
}
