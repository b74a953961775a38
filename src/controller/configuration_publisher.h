// What pilots are told: for each that reported, the difference between what it has and what there is. Pure.
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "cluster/configuration/configuration.h"
#include "cluster/registry/service_registry.h"
#include "cluster/subscription/subscription.h"

namespace shaletray::controller {

class Gallery {
public:
    struct Settings {
        std::uint64_t life = 0;
        std::size_t charts = 16;                        // held for differences
        Duration reported = std::chrono::seconds(3);    // pilots heard from within this are told unasked
        Duration forgotten = std::chrono::seconds(30);
    };
    struct Send {
        std::string to, bytes;
    };
    Gallery(Settings settings, const registry::Muster& muster) : settings_(settings), muster_(muster) {}

    // This lighthouse's was raised: pilots are told all anew.
    void life(std::uint64_t life) { settings_.life = life; }
    // The newest chart that was decided on. Those before it are kept as what differs.
    void chart(configuration::Chart chart);
    std::uint64_t version() const { return charts_.empty() ? 0 : charts_.back().chart->version; }
    void confirmed(bool yes) { confirmed_ = yes; }
    void heard(const std::string& from, const subscription::Have& have, TimePoint now,
               std::vector<Send>& out);
    // To all that reported lately and lack something.
    void tell(TimePoint now, std::vector<Send>& out);
    std::size_t pilots() const { return watchers_.size(); }

private:
    struct Held {
        std::shared_ptr<const configuration::Chart> chart;
        std::uint64_t digest = 0;
    };
    struct Watcher {
        std::uint64_t version = 0, digest = 0;    // as reported, or as sent since
        std::uint64_t sequence = 0;               // of our muster, likewise
        TimePoint heard{};
    };
    using Stand = std::tuple<std::uint64_t, std::uint64_t, std::uint64_t>;    // version, digest, sequence
    std::string news(Watcher& watcher, TimePoint now);
    const std::string& update_from(std::uint64_t version, std::uint64_t digest);

    Settings settings_;
    const registry::Muster& muster_;
    std::deque<Held> charts_;                                                   // the newest last
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::string> updates_;    // to the newest, made once
    std::map<std::string, Watcher> watchers_;
    bool confirmed_ = false;
};

}    // namespace shaletray::controller
