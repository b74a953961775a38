#include "balancer/shared_counter/resp.h"

#include <fmt/format.h>
#include <hiredis/hiredis.h>

#include <cstdlib>

namespace shaletray::shared_counter {
namespace {

struct ReplyDeleter {
    void operator()(redisReply* reply) const { freeReplyObject(reply); }
};

std::string reply_text(const redisReply& raw_reply) {
    return raw_reply.str == nullptr ? std::string() : std::string(raw_reply.str, raw_reply.len);
}

RespReply convert_reply(const redisReply& raw_reply) {
    RespReply converted;
    switch (raw_reply.type) {
        case REDIS_REPLY_STRING:
            converted.kind = RespReply::Kind::Text, converted.text = reply_text(raw_reply);
            break;
        case REDIS_REPLY_STATUS:
            converted.kind = RespReply::Kind::Status, converted.text = reply_text(raw_reply);
            break;
        case REDIS_REPLY_ERROR:
            converted.kind = RespReply::Kind::Error, converted.text = reply_text(raw_reply);
            break;
        case REDIS_REPLY_INTEGER:
            converted.kind = RespReply::Kind::Integer, converted.integer = raw_reply.integer;
            break;
        case REDIS_REPLY_ARRAY:
            converted.kind = RespReply::Kind::List;
            for (std::size_t index = 0; index < raw_reply.elements; ++index)
                converted.items.push_back(convert_reply(*raw_reply.element[index]));
            break;
        default: break;
    }
    return converted;
}

}    // namespace

std::string serialize_command(const std::vector<std::string>& arguments) {
    std::vector<const char*> texts;
    std::vector<std::size_t> lengths;
    for (const std::string& argument : arguments) {
        texts.push_back(argument.data());
        lengths.push_back(argument.size());
    }
    char* bytes = nullptr;
    const int length =
        redisFormatCommandArgv(&bytes, static_cast<int>(arguments.size()), texts.data(), lengths.data());
    if (length < 0) throw std::bad_alloc();
    const std::string result(bytes, static_cast<std::size_t>(length));
    redisFreeCommand(bytes);
    return result;
}

void RespReader::ReaderDeleter::operator()(redisReader* reader) const { redisReaderFree(reader); }

RespReader::RespReader() : reader_(redisReaderCreate()) {
    if (!reader_) throw std::bad_alloc();
}

void RespReader::feed(std::string_view bytes) {
    pending_bytes_ += bytes.size();
    if (pending_bytes_ > kMaxReplySize) throw RespProtocolError("a reply exceeds the maximum size");
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
