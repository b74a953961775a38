// A message between two processes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace shaletray::transport {

// The component that handles a message. The values are part of the protocol.
enum class Kind : std::uint8_t { Membership = 1, Consensus, Registry, Subscription, Quota };

constexpr std::size_t kKindCount = 5;
// Returns the array index of a kind: 0 for the first one.
constexpr std::size_t index_of(Kind kind) { return static_cast<std::size_t>(kind) - 1; }
// Returns the name in the log, in lower case.
std::string_view name_of(Kind kind);

// A received message. The identity of the sender is not verified.
struct Message {
    Kind kind{};
    std::string sender;               // internal address
    std::uint64_t incarnation = 0;    // of the sending process
    std::string payload;
};

}    // namespace shaletray::transport
