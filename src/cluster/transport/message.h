// A message between two of the system's processes.
#pragma once

#include <cstdint>
#include <string>

namespace shaletray::transport {

// The package that a message belongs to. The values are sent.
enum class Kind : std::uint8_t { Membership = 1, Consensus, Registry, Subscription, Quota };

// A message as its recipient gets it. The sender's identity is its own statement and not verified.
struct Message {
    Kind kind{};
    std::string sender;               // internal address
    std::uint64_t incarnation = 0;    // of the sending process
    std::string payload;
};

}    // namespace shaletray::transport
