// A model of the shared counter's store, with the commands that the store exchange sends. Takes parsed RESP
// commands and returns RESP replies; does no I/O.
#pragma once

#include <fmt/format.h>

#include <map>
#include <string>

#include "balancer/shared_counter/resp.h"

namespace shaletray::testbed {

class Board {
public:
    std::string answer(const shared_counter::RespReply& command) {
        const std::vector<shared_counter::RespReply>& words = command.items;
        const std::string& name = words.at(0).text;
        if (name == "INFO") return "$11\r\nrun_id:1234\r\n";
        if (name == "PEXPIRE") return ":1\r\n";
        auto& hash = hashes_[words.at(1).text];
        if (name == "HSET") {
            for (std::size_t i = 2; i + 1 < words.size(); i += 2) hash[words[i].text] = words[i + 1].text;
            return ":1\r\n";
        }
        std::string out = fmt::format("*{}\r\n", words.size() - 2);
        for (std::size_t i = 2; i < words.size(); ++i) {
            const auto it = hash.find(words[i].text);
            out += it == hash.end() ? std::string("$-1\r\n")
                                    : fmt::format("${}\r\n{}\r\n", it->second.size(), it->second);
        }
        return out;
    }

private:
    std::map<std::string, std::map<std::string, std::string>> hashes_;
};

}    // namespace shaletray::testbed
