// Draws a day for the users' bench: troubles of control and of servers at any moment, again and again, with
// changes of the configuration all along and a closing fault. `draw_day SEED [SECONDS]` writes it to standard
// output, the same one for a seed.
#include <cstdio>
#include <cstdlib>
#include <random>
#include <string>
#include <vector>

namespace {

std::mt19937_64 generator;

std::size_t below(std::size_t n) { return generator() % n; }
double between(double low, double high) { return std::uniform_real_distribution<>(low, high)(generator); }
template <class T>
const T& one_of(const std::vector<T>& from) {
    return from[below(from.size())];
}

struct Trouble {
    const char* text;                    // after `at` and `kind`; %.1f is a time
    double shortest = 0, longest = 0;    // of that time
    std::vector<const char*> how = {""};
};

// For machines of control: what may be added to the variant.
const std::vector<const char*> kOnCore = {"",     "leader",      "seed", "leader meet", "race hard",
                                          "meet", "leader race", "hard", "reader"};
const std::vector<Trouble> kControl = {
    {"kind = \"replace_core\", how = \"%s\"", 0, 0, {"", "planned"}},
    {"kind = \"after_ack_wipe\", for_s = %.1f, how = \"%s\"", 0.5, 6, {"", "timed", "taken"}},
    {"kind = \"after_ack_kill\", for_s = %.1f, how = \"%s\"", 0.5, 6, {"", "kill", "timed", "taken"}},
    {"kind = \"core_cut\", count = 1, for_s = %.1f, how = \"%s\"",
     1,
     26,
     {"", "one_way", "seeds", "both", "reset", "refuse", "meet", "race hard", "leader meet"}},
    {"kind = \"node_kill\", on = \"core\", count = 1, for_s = %.1f, how = \"%s\"", 0.5, 5, kOnCore},
    {"kind = \"node_kill\", on = \"core\", count = 1, for_s = %.1f, how = \"power %s\"", 0.5, 8, kOnCore},
    {"kind = \"node_freeze\", on = \"core\", count = 1, for_s = %.1f, how = \"%s\"", 0.5, 22, kOnCore},
    {"kind = \"roll_term\", on = \"core\", share = 1.0, x = 1.0, gap_s = %.1f, how = \"%s\"",
     1,
     4,
     {"", "busy", "race"}},
    {"kind = \"herd_kill\", on = \"core\", share = 1.0, for_s = %.1f, how = \"%s\"",
     0.3,
     3,
     {"", "power", "taken"}},
    {"kind = \"disk_slow\", count = 1, x = 30.0, for_s = %.1f, how = \"%s\"", 2, 12, {"", "leader"}},
    {"kind = \"clock_step\", share = 0.4, x = 4000.0, for_s = %.1f, how = \"%s\"",
     2,
     10,
     {"", "back", "ahead"}},
    {"kind = \"seed_turnover\""},
};
const std::vector<Trouble> kOthers = {
    {"kind = \"node_cut\", share = 0.2, for_s = %.1f, how = \"%s\"", 1, 26, {"", "reset", "servers"}},
    {"kind = \"node_freeze\", share = 0.2, for_s = %.1f", 0.5, 15},
    {"kind = \"node_kill\", share = 0.2, for_s = %.1f, how = \"%s\"", 0.5, 4, {"", "power"}},
    {"kind = \"herd_kill\", share = 0.6, for_s = %.1f, how = \"%s\"", 0.5, 3, {"", "power"}},
    {"kind = \"roll_term\", share = 0.4, x = 1.0, gap_s = %.1f, how = \"%s\"", 1, 3, {"", "busy"}},
    {"kind = \"hot_tenant\", x = 8.0, for_s = %.1f", 3, 12},
    {"kind = \"srv_crash\", share = 0.15, for_s = %.1f, how = \"%s\"", 2, 6, {"", "dark", "gone"}},
    {"kind = \"release\", share = 0.4, x = 1.0, gap_s = %.1f", 1, 2},
    {"kind = \"replace_with_reuse\", share = 0.15, how = \"%s\"", 0, 0, {"", "drain"}},
    {"kind = \"scale_in\", share = 0.1"},
    {"kind = \"answer_lost\", share = 0.5, x = 0.03, for_s = %.1f", 3, 10},
    {"kind = \"garble\", share = 0.5, x = 0.02, for_s = %.1f, how = \"%s\"",
     3,
     10,
     {"", "extra", "extra late"}},
};
const std::vector<Trouble> kChanges = {
    {"kind = \"config_change\", how = \"%s\"",
     0,
     0,
     {"route", "weights", "timeout", "tenant", "quota", "idle"}},
    {"kind = \"config_race\", count = 3, gap_s = %.1f", 0.4, 2},
    {"kind = \"bad_config\", count = 2, gap_s = %.1f, how = \"%s\"",
     0.5,
     1.5,
     {"", "old_version", "same_version", "stale_match", "cut_short"}},
    {"kind = \"revoke\", count = 1, gap_s = %.1f", 1, 2},
};

void print(const Trouble& t, double at) {
    const char* const how = one_of(t.how);
    std::printf("  { at = %.2f, ", at);
    if (t.longest > 0) std::printf(t.text, between(t.shortest, t.longest), how);
    else std::printf(t.text, how);
    std::printf(" },\n");
}

}    // namespace

int main(int argc, char** argv) {
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    generator.seed(seed);
    const double length = argc > 2 ? std::strtod(argv[2], nullptr) : between(40, 120);
    std::printf(
        "# Drawn by testbed/draw_day, seed %llu.\nname = \"drawn-%llu\"\nslot = \"trouble\"\nseed = %llu\n"
        "length_s = %.1f\n",
        static_cast<unsigned long long>(seed), static_cast<unsigned long long>(seed),
        static_cast<unsigned long long>(seed % 1'000'000), length + 6);
    std::printf("closing = { kind = \"%s\", down_s = %.2f, how = \"%s\" }\n",
                one_of<const char*>({"power_off_all", "wipe_after_ack", "kill_all"}), between(0.3, 3),
                one_of<const char*>({"", "timed", "taken"}));
    const double every = one_of<double>({0.35, 0.8, 2, 5});    // between two changes
    std::printf("plan = [\n");
    for (double at = 1; at < length; at += between(0.5, 1.5) * every)
        print(kChanges[below(8) < 6 ? 0 : 1 + below(kChanges.size() - 1)], at);
    std::printf("]\nfaults = [\n");
    const double pause = one_of<double>({1.5, 3, 5});
    for (double at = between(0.5, 4); at < length - 4; at += between(0.3, 1.7) * pause)
        print(below(10) < 6 ? one_of(kControl) : one_of(kOthers), at);
    std::printf("]\n");
}
