// Runs gateway instances for the simulator: reads batches of events from standard input, passes them to the
// instances, and writes their actions to standard output.
#include <iostream>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "decision/wire/wire_codec.h"

namespace {

using shaletray::decision::Action;
using shaletray::decision::Event;
using shaletray::decision::Gateway;
using shaletray::decision::TimePoint;
namespace wire = shaletray::decision::wire;

// The instances by number, and the replies of the current batch.
class Host {
public:
    // Processes one line of input. Writes the replies to a batch when it is complete.
    void process_line(const std::string& line) {
        const wire::Message message = wire::parse_line(line);
        if (message.name == "ROUND") {
            now_ = TimePoint(shaletray::decision::Duration(message.integer("wall")));
            return;
        }
        if (message.name == "OVER_TO_YOU") {
            reply_ += "{\"NEXT\":{}}\n";
            std::cout << reply_ << std::flush;
            reply_.clear();
            return;
        }
        const std::int64_t who = message.integer("who");
        if (message.name == "BOOT") {
            boot(who, message);
        } else if (message.name == "CRASH_NOW") {
            find(who, message.name);
            instances_.erase(who);
        } else {
            Gateway& gateway = find(who, message.name);
            Event event;
            if (wire::parse_event(message, event)) deliver(who, gateway, event);
        }
    }

private:
    void boot(std::int64_t who, const wire::Message& message) {
        const auto setup = message.fields.find("setup");
        if (setup == message.fields.end() || !setup->is_object()) {
            throw wire::BadMessage("event BOOT, field setup: missing or not an object");
        }
        const auto seed = static_cast<std::uint64_t>(message.integer_or("initSeed", 0));
        instances_.insert_or_assign(who, Gateway(wire::parse_settings(*setup), seed));
    }

    Gateway& find(std::int64_t who, const std::string& event) {
        const auto it = instances_.find(who);
        if (it == instances_.end()) {
            throw wire::BadMessage("event " + event + ", field who: no instance " + std::to_string(who));
        }
        return it->second;
    }

    void deliver(std::int64_t who, Gateway& gateway, const Event& event) {
        actions_.clear();
        try {
            gateway.handle(now_, event, actions_);
        } catch (const std::exception& error) {
            const wire::Json fields = {{"who", who}, {"bodyText", error.what()}};
            reply_ += wire::Json{{"BAIL_OUT", fields}}.dump() + "\n";
            return;
        }
        for (const Action& action : actions_) wire::write_action(who, action, reply_);
    }

    TimePoint now_{};
    std::map<std::int64_t, Gateway> instances_;
    std::vector<Action> actions_;
    std::string reply_;
};

}    // namespace

int main() {
    std::ios::sync_with_stdio(false);
    Host host;
    std::string line;
    for (std::size_t number = 1; std::getline(std::cin, line); ++number) {
        if (line.empty()) continue;
        try {
            host.process_line(line);
        } catch (const std::exception& error) {
            std::cerr << "line " << number << ": " << error.what() << '\n';
            return 1;
        }
    }
    return 0;
}
