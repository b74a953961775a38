#include "gateway/control_plane_client.h"

#include <algorithm>

namespace shaletray::gateway {
namespace {

// The same order at a pilot for as long as it lives, another one at each: lighthouses get even parts.
std::size_t preference(const std::string& me, const std::string& lighthouse) {
    return std::hash<std::string>{}(me + "|" + lighthouse);
}

}    // namespace

Lookout::Lookout(Settings settings) : settings_(std::move(settings)) {}

void Lookout::lighthouses(std::vector<std::string> known, std::vector<std::string> suspected) {
    const auto by_preference = [this](const std::string& a, const std::string& b) {
        return preference(settings_.me, a) < preference(settings_.me, b);
    };
    std::sort(known.begin(), known.end(), by_preference);
    std::sort(suspected.begin(), suspected.end(), by_preference);
    known_ = std::move(known);
    known_.insert(known_.end(), suspected.begin(), suspected.end());
    std::erase_if(watched_, [this](const auto& item) {
        return std::find(known_.begin(), known_.end(), item.first) == known_.end();
    });
}

std::vector<std::string> Lookout::confirmed(TimePoint now, Duration within) const {
    std::vector<std::string> those;
    for (const auto& [address, w] : watched_)
        if (w.confirmed && now - w.heard <= within) those.push_back(address);
    return those;
}

// Those that answer stay; in the place of one that does not, the next one is tried. So it is where a majority
// bore nothing out that one says: those that are watched may be cut off together, and what they say old.
void Lookout::choose(TimePoint now) {
    const auto silent = [&](const Watched& w) {
        return w.asked != TimePoint{} && now - std::max(w.heard, w.asked) > settings_.silent_after;
    };
    const auto unconfirmed = [&](const Watched& w) {
        return w.asked != TimePoint{} && now - std::max(w.confirmed_at, w.since) > settings_.silent_after;
    };
    if (known_.size() > settings_.watched)
        std::erase_if(watched_,
                      [&](const auto& item) { return silent(item.second) || unconfirmed(item.second); });
    for (std::size_t tried = 0; watched_.size() < settings_.watched && tried < known_.size(); ++tried) {
        const std::string& next = known_[turn_++ % known_.size()];
        const auto [it, is_new] = watched_.try_emplace(next);
        if (is_new) it->second.since = now;
    }
}

void Lookout::say(const std::string& to, Watched& watched, TimePoint now, Actions& out) {
    subscription::Have have;
    have.life = settings_.life;
    if (table_ && !wants_whole_) {
        have.version = table_->chart().version;
        have.digest = digest_;
    }
    have.known_life = watched.life;
    have.known_sequence = watched.sequence;
    have.counts = pilots_;
    if (watched.asked < watched.heard || watched.asked == TimePoint{}) watched.asked = now;
    out.sends.push_back({to, subscription::encode(have)});
}

void Lookout::tick(TimePoint now, std::uint32_t counts, Actions& out) {
    pilots_ = counts;
    if (now < next_) return;
    next_ = now + settings_.every;
    choose(now);
    for (auto& [address, watched] : watched_) say(address, watched, now, out);
}

void Lookout::heard(const std::string& from, std::uint64_t life, std::string_view bytes, TimePoint now,
                    Actions& out) {
    const auto it = watched_.find(from);
    if (it == watched_.end()) return;    // not asked, or not any more
    boost::leaf::result<subscription::News> read = subscription::decode_news(bytes);
    if (!read || read->life != life) {
        ++counts_.spoilt;
        return;
    }
    const subscription::News& news = *read;
    Watched& watched = it->second;
    ++counts_.news;
    watched.heard = now;
    watched.confirmed = news.confirmed;
    if (news.confirmed) watched.confirmed_at = now;
    if (watched.life != news.life) {
        watched.life = news.life;
        watched.sequence = 0;
    }
    bool lacks = take_chart(news, out);
    if (!news.servers.empty()) {
        boost::leaf::result<std::vector<std::string>> changed = roster_.take(news.servers, now);
        if (!changed) ++counts_.spoilt;
        else out.servers_changed = out.servers_changed || !changed->empty();
        if (!changed) return;
    }
    if (news.since <= watched.sequence) watched.sequence = std::max(watched.sequence, news.sequence);
    else lacks = true;
    const bool all = !lacks && watched.sequence >= news.sequence;
    if (news.confirmed && all && news.version > 0 && version() >= news.version) caught_up_ = true;
    if (lacks && now - watched.repaired >= settings_.every / 5) {
        watched.repaired = now;
        say(from, watched, now, out);
    }
}

// True where this pilot is behind what it was told of.
bool Lookout::take_chart(const subscription::News& news, Actions& out) {
    if (news.version <= version()) return false;    // never back
    if (news.update.empty()) return true;
    boost::leaf::result<configuration::Chart> next =
        configuration::read_update(table_ ? table_->chart() : none_, news.update);
    if (!next || next->version != news.version) {
        // A patch to something else, or damaged: the whole is asked for where that goes on.
        ++counts_.spoilt;
        wants_whole_ = true;
        return true;
    }
    ++(table_ && !wants_whole_ ? counts_.patches : counts_.wholes);
    wants_whole_ = false;
    table_ = std::make_shared<const configuration::Table>(std::move(*next));
    digest_ = configuration::digest_of(table_->chart());
    out.chart_changed = true;
    return false;
}

}    // namespace shaletray::gateway
