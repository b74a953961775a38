#include "cluster/consensus/write_watermark.h"

#include <fcntl.h>
#include <unistd.h>

#include "cluster/consensus/message.h"

namespace shaletray::consensus {
namespace {

// The contents of the file.
struct Record {
    std::uint64_t sequence = 0;
    std::uint64_t checksum = 0;
};

std::uint64_t sequence_checksum(std::uint64_t sequence) {
    return checksum({reinterpret_cast<const char*>(&sequence), sizeof sequence});
}

}    // namespace

WriteWatermark::WriteWatermark(const std::string& path)
    : descriptor_(::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644)) {
    Record record;
    if (descriptor_ < 0 || ::pread(descriptor_, &record, sizeof record, 0) != sizeof record) return;
    if (record.checksum == sequence_checksum(record.sequence)) value_ = record.sequence;
}

WriteWatermark::~WriteWatermark() {
    if (descriptor_ >= 0) ::close(descriptor_);
}

void WriteWatermark::write_value(std::uint64_t sequence) {
    const Record record{sequence, sequence_checksum(sequence)};
    if (descriptor_ >= 0 && ::pwrite(descriptor_, &record, sizeof record, 0) == sizeof record)
        value_ = sequence;
}

}    // namespace shaletray::consensus
