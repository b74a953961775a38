#include "balancer/shared_counter/resp.h"

#include <fmt/format.h>
#include <hiredis/hiredis.h>

#include <cstdlib>

namespace shaletray::shared_counter {
namespace {

struct ReplyDeleter {
    void operator()(redisReply* reply) const { freeReplyObject(reply); }
};

std::string reply_text(const redisReply& r) {
    return r.str == nullptr ? std::string() : std::string(r.str, r.len);
}

RespReply convert_reply(const redisReply& r) {
    RespReply out;
    switch (r.type) {
        case REDIS_REPLY_STRING: out.kind = RespReply::Kind::Text, out.text = reply_text(r); break;
        case REDIS_REPLY_STATUS: out.kind = RespReply::Kind::Status, out.text = reply_text(r); break;
        case REDIS_REPLY_ERROR: out.kind = RespReply::Kind::Error, out.text = reply_text(r); break;
        case REDIS_REPLY_INTEGER: out.kind = RespReply::Kind::Integer, out.integer = r.integer; break;
        case REDIS_REPLY_ARRAY:
            out.kind = RespReply::Kind::List;
            for (std::size_t index = 0; index < r.elements; ++index)
                out.items.push_back(convert_reply(*r.element[index]));
            break;
        default: break;
    }
    return out;
}

}    // namespace

std::string serialize_command(const std::vector<std::string>& words) {
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
    const std::string result(bytes, static_cast<std::size_t>(length));
    redisFreeCommand(bytes);
    return result;
}

void RespReader::Free::operator()(redisReader* reader) const { redisReaderFree(reader); }

RespReader::RespReader() : reader_(redisReaderCreate()) {
    if (!reader_) throw std::bad_alloc();
}

void RespReader::feed(std::string_view bytes) {
    pending_bytes_ += bytes.size();
    if (pending_bytes_ > kMaxReplySize) throw RespProtocolError("a reply longer than any that is asked for");
    if (redisReaderFeed(reader_.get(), bytes.data(), bytes.size()) != REDIS_OK)
        throw RespProtocolError(reader_->errstr);
}

std::optional<RespReply> RespReader::next_reply() {
    void* raw = nullptr;
    if (redisReaderGetReply(reader_.get(), &raw) != REDIS_OK) throw RespProtocolError(reader_->errstr);
    if (raw == nullptr) return std::nullopt;
    const std::unique_ptr<redisReply, ReplyDeleter> reply(static_cast<redisReply*>(raw));
    pending_bytes_ = 0;
    return convert_reply(*reply);
}

}    // namespace shaletray::shared_counter
