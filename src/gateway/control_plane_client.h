// What a pilot knows of the configuration and the servers, from what lighthouses tell it; and what it says to
// them. Pure. A chart never goes back within a life.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "cluster/configuration/configuration.h"
#include "cluster/registry/service_registry.h"
#include "cluster/subscription/subscription.h"

namespace shaletray::gateway {

class Lookout {
public:
    struct Settings {
        std::string me;    // internal address
        std::uint64_t life = 0;
        std::size_t watched = 3;                            // lighthouses at a time
        Duration every = std::chrono::milliseconds(500);    // between two words to each
        Duration silent_after =
            std::chrono::milliseconds(1500);    // another one is watched then, where there is one
    };
    struct Actions {
        struct Send {
            std::string to, bytes;
        };
        std::vector<Send> sends;
        bool chart_changed = false, servers_changed = false;
    };
    explicit Lookout(Settings settings);

    void life(std::uint64_t life) { settings_.life = life; }
    // All lighthouses that are known, by internal address; those in `suspected` are watched last.
    void lighthouses(std::vector<std::string> known, std::vector<std::string> suspected);
    void heard(const std::string& from, std::uint64_t life, std::string_view bytes, TimePoint now,
               Actions& out);
    void tick(TimePoint now, std::uint32_t counts, Actions& out);
    TimePoint next() const { return next_; }

    const std::shared_ptr<const configuration::Table>& table() const { return table_; }
    const std::map<std::string, registry::Server>& servers() const { return roster_.servers(); }
    // A lighthouse that a majority bore out has told this life all that there is, and this life has it.
    bool caught_up() const { return caught_up_ && table_ != nullptr; }
    // The lighthouses whose last word, not older than `within`, was borne out by a majority.
    std::vector<std::string> confirmed(TimePoint now, Duration within) const;
    struct Counts {
        std::uint64_t news = 0, wholes = 0, patches = 0, spoilt = 0;
    };
    const Counts& counts() const { return counts_; }

private:
    struct Watched {
        std::uint64_t life = 0, sequence = 0;    // of its muster, as far as it is known here
        TimePoint asked{};                       // first, since it was last heard
        TimePoint heard{}, repaired{};
        TimePoint since{}, confirmed_at{};    // watched; last word that a majority bore out
        bool confirmed = false;
    };
    void say(const std::string& to, Watched& watched, TimePoint now, Actions& out);
    void choose(TimePoint now);
    bool take_chart(const subscription::News& news, Actions& out);
    std::uint64_t version() const { return table_ ? table_->chart().version : 0; }

    Settings settings_;
    std::vector<std::string> known_;    // in the order of preference
    std::map<std::string, Watched> watched_;
    std::size_t turn_ = 0;    // of known_
    std::shared_ptr<const configuration::Table> table_;
    configuration::Chart none_;
    std::uint64_t digest_ = 0;
    registry::Roster roster_;
    bool caught_up_ = false, wants_whole_ = false;
    std::uint32_t pilots_ = 0;
    TimePoint next_{};
    Counts counts_;
};

}    // namespace shaletray::gateway
