#include "controller/configuration_publisher.h"

#include <algorithm>

namespace shaletray::controller {

void Gallery::chart(configuration::Chart chart) {
    updates_.clear();
    Held held;
    held.digest = configuration::digest_of(chart);
    if (!charts_.empty()) {
        // What a patch leads to shares the rows that it leaves alone, and most pilots hold the one before.
        const Held& before = charts_.back();
        std::string patch = configuration::write_patch(*before.chart, chart);
        if (auto shared = configuration::read_update(*before.chart, patch)) {
            chart = std::move(*shared);
            updates_.emplace(std::pair(before.chart->version, before.digest), std::move(patch));
        }
    }
    held.chart = std::make_shared<const configuration::Chart>(std::move(chart));
    charts_.push_back(std::move(held));
    if (charts_.size() > settings_.charts) charts_.pop_front();
}

const std::string& Gallery::update_from(std::uint64_t version, std::uint64_t digest) {
    const auto [it, is_new] = updates_.try_emplace({version, digest});
    if (!is_new) return it->second;
    const auto base = std::find_if(charts_.begin(), charts_.end(), [&](const Held& h) {
        return h.chart->version == version && h.digest == digest;
    });
    it->second = base == charts_.end() ? configuration::write_whole(*charts_.back().chart)
                                       : configuration::write_patch(*base->chart, *charts_.back().chart);
    return it->second;
}

std::string Gallery::news(Watcher& watcher, TimePoint now) {
    subscription::News news;
    news.life = settings_.life;
    news.confirmed = confirmed_;
    if (!charts_.empty()) {
        news.version = version();
        news.digest = charts_.back().digest;
        if (watcher.version < news.version) {
            news.update = update_from(watcher.version, watcher.digest);
            watcher.version = news.version;
            watcher.digest = news.digest;
        }
    }
    news.since = watcher.sequence;
    news.sequence = muster_.sequence();
    news.servers = muster_.changes(news.since, false, now);    // with no change it still tells who runs
    watcher.sequence = news.sequence;
    return subscription::encode(news);
}

void Gallery::heard(const std::string& from, const subscription::Have& have, TimePoint now,
                    std::vector<Send>& out) {
    Watcher& watcher = watchers_[from];
    watcher.version = have.version;
    watcher.digest = have.digest;
    watcher.sequence =
        have.known_life == settings_.life ? std::min(have.known_sequence, muster_.sequence()) : 0;
    watcher.heard = now;
    out.push_back({from, news(watcher, now)});
}

void Gallery::tell(TimePoint now, std::vector<Send>& out) {
    std::map<Stand, std::pair<std::string, Watcher>> told;    // most stand at the same point
    for (auto it = watchers_.begin(); it != watchers_.end();) {
        Watcher& watcher = it->second;
        if (now - watcher.heard > settings_.forgotten) {
            it = watchers_.erase(it);
            continue;
        }
        const bool lacks = watcher.version < version() || watcher.sequence < muster_.sequence();
        if (lacks && now - watcher.heard <= settings_.reported) {
            auto& [bytes, after] = told[{watcher.version, watcher.digest, watcher.sequence}];
            if (bytes.empty()) {
                bytes = news(watcher, now);
                after = watcher;
            }
            watcher = {after.version, after.digest, after.sequence, watcher.heard};
            out.push_back({it->first, bytes});
        }
        ++it;
    }
}

}    // namespace shaletray::controller
