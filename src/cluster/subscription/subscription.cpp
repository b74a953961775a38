#include "cluster/subscription/subscription.h"

#include "cluster/subscription/subscription.capnp.h"

namespace shaletray::subscription {
namespace {

namespace leaf = boost::leaf;

Have read(wire::Have::Reader from) {
    Have h;
    h.life = from.getLife();
    h.version = from.getVersion();
    h.digest = from.getDigest();
    h.known_life = from.getKnownLife();
    h.known_sequence = from.getKnownSequence();
    h.counts = from.getCounts();
    return h;
}

News read(wire::News::Reader from) {
    News n;
    n.life = from.getLife();
    n.confirmed = from.getConfirmed();
    n.version = from.getVersion();
    n.digest = from.getDigest();
    n.update = runtime::text_of(from.getUpdate());
    n.since = from.getSince();
    n.sequence = from.getSequence();
    n.servers = runtime::text_of(from.getServers());
    return n;
}

}    // namespace

std::string encode(const Have& have) {
    capnp::MallocMessageBuilder message(64);
    auto to = message.initRoot<wire::Message>().initHave();
    to.setLife(have.life);
    to.setVersion(have.version);
    to.setDigest(have.digest);
    to.setKnownLife(have.known_life);
    to.setKnownSequence(have.known_sequence);
    to.setCounts(have.counts);
    return runtime::pack(message);
}

std::string encode(const News& news) {
    capnp::MallocMessageBuilder message(
        static_cast<unsigned>(64 + (news.update.size() + news.servers.size()) / sizeof(capnp::word)));
    auto to = message.initRoot<wire::Message>().initNews();
    to.setLife(news.life);
    to.setConfirmed(news.confirmed);
    to.setVersion(news.version);
    to.setDigest(news.digest);
    if (!news.update.empty()) to.setUpdate(runtime::data_of(news.update));
    to.setSince(news.since);
    to.setSequence(news.sequence);
    if (!news.servers.empty()) to.setServers(runtime::data_of(news.servers));
    return runtime::pack(message);
}

leaf::result<std::variant<Have, News>> decode(std::string_view bytes) {
    return runtime::unpack<wire::Message>(
        bytes, [](wire::Message::Reader message) -> leaf::result<std::variant<Have, News>> {
            switch (message.which()) {
                case wire::Message::HAVE: return read(message.getHave());
                case wire::Message::NEWS: return read(message.getNews());
            }
            return leaf::new_error(runtime::Spoilt{"neither Have nor News"});
        });
}

leaf::result<Have> decode_have(std::string_view bytes) {
    BOOST_LEAF_AUTO(message, decode(bytes));
    if (auto* const have = std::get_if<Have>(&message)) return *have;
    return leaf::new_error(runtime::Spoilt{"not a Have"});
}

leaf::result<News> decode_news(std::string_view bytes) {
    BOOST_LEAF_AUTO(message, decode(bytes));
    if (auto* const news = std::get_if<News>(&message)) return std::move(*news);
    return leaf::new_error(runtime::Spoilt{"not News"});
}

}    // namespace shaletray::subscription
