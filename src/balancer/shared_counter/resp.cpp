#include "balancer/shared_counter/resp.h"

#include <fmt/format.h>
#include <hiredis/hiredis.h>

#include <cstdlib>

namespace shaletray::shared_counter {
namespace {

struct FreeReply {
    void operator()(redisReply* reply) const { freeReplyObject(reply); }
};

std::string text_of(const redisReply& r) {
    return r.str == nullptr ? std::string() : std::string(r.str, r.len);
}

Reply converted(const redisReply& r) {
    Reply out;
    switch (r.type) {
        case REDIS_REPLY_STRING: out.kind = Reply::Kind::Text, out.text = text_of(r); break;
        case REDIS_REPLY_STATUS: out.kind = Reply::Kind::Status, out.text = text_of(r); break;
        case REDIS_REPLY_ERROR: out.kind = Reply::Kind::Error, out.text = text_of(r); break;
        case REDIS_REPLY_INTEGER: out.kind = Reply::Kind::Integer, out.integer = r.integer; break;
        case REDIS_REPLY_ARRAY:
            out.kind = Reply::Kind::List;
            for (std::size_t i = 0; i < r.elements; ++i) out.items.push_back(converted(*r.element[i]));
            break;
        default: break;
    }
    return out;
}

}    // namespace

std::string write_command(const std::vector<std::string>& words) {
    std::vector<const char*> texts;
    std::vector<std::size_t> lengths;
    for (const std::string& word : words) {
        texts.push_back(word.data());
        lengths.push_back(word.size());
    }
    char* bytes = nullptr;
    const int length =
        redisFormatCommandArgv(&bytes, static_cast<int>(words.size()), texts.data(), lengths.data());
    if (length < 0) throw std::bad_alloc();
    const std::string out(bytes, static_cast<std::size_t>(length));
    redisFreeCommand(bytes);
    return out;
}

void Replies::Free::operator()(redisReader* reader) const { redisReaderFree(reader); }

Replies::Replies() : reader_(redisReaderCreate()) {
    if (!reader_) throw std::bad_alloc();
}

void Replies::feed(std::string_view bytes) {
    unread_ += bytes.size();
    if (unread_ > kLongest) throw NotResp("a reply longer than any that is asked for");
    if (redisReaderFeed(reader_.get(), bytes.data(), bytes.size()) != REDIS_OK)
        throw NotResp(reader_->errstr);
}

std::optional<Reply> Replies::next() {
    void* raw = nullptr;
    if (redisReaderGetReply(reader_.get(), &raw) != REDIS_OK) throw NotResp(reader_->errstr);
    if (raw == nullptr) return std::nullopt;
    const std::unique_ptr<redisReply, FreeReply> reply(static_cast<redisReply*>(raw));
    unread_ = 0;
    return converted(*reply);
}

}    // namespace shaletray::shared_counter
