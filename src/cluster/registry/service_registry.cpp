#include "cluster/registry/service_registry.h"

#include "cluster/registry/endpoint_view.h"

namespace shaletray::registry {

namespace leaf = boost::leaf;

Muster::Muster(Settings settings) {
    View::Settings s;
    s.me = std::move(settings.me);
    s.life = life_ = settings.life;
    s.silence = settings.heartbeat * settings.missed;
    view_ = std::make_unique<View>(std::move(s));
}
Muster::~Muster() = default;
Muster::Muster(Muster&&) noexcept = default;
Muster& Muster::operator=(Muster&&) noexcept = default;

void Muster::life(std::uint64_t life) {
    life_ = life;
    view_->life(life);
}
bool Muster::beat(const Beat& beat, TimePoint now) { return view_->called(beat.server, now); }
bool Muster::deregister(std::string_view id, TimePoint now) { return view_->left(id, now); }
void Muster::merge(const std::string& from, std::string_view bytes, TimePoint now) {
    if (!view_->take(from, bytes, now)) ++spoilt_;
}
void Muster::tick(TimePoint now) { view_->tick(now); }
std::uint64_t Muster::sequence() const { return view_->sequence(); }
std::string Muster::changes(std::uint64_t since, bool own_only, TimePoint now) const {
    return view_->changes(since, own_only, now);
}
std::uint64_t Muster::known(const std::string& lighthouse, std::uint64_t life) const {
    return view_->known(lighthouse, life);
}
const std::map<std::string, Server>& Muster::servers() const { return view_->servers(); }

Roster::Roster() : view_(std::make_unique<View>(View::Settings{})) {}
Roster::~Roster() = default;
Roster::Roster(Roster&&) noexcept = default;
Roster& Roster::operator=(Roster&&) noexcept = default;
leaf::result<std::vector<std::string>> Roster::take(std::string_view bytes, TimePoint now) {
    BOOST_LEAF_AUTO(changed, view_->take({}, bytes, now));
    for (std::string& id : view_->tick(now)) changed.push_back(std::move(id));
    return changed;
}
const std::map<std::string, Server>& Roster::servers() const { return view_->servers(); }

}    // namespace shaletray::registry
