// What others than the ledger put on the board and read from it, in the same calls as the rows. Whatever
// stands there may be lost, old or somebody else's: a notice is written again until it is read back.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "decision/control.h"

namespace shaletray::plans {

class FieldExchange {
public:
    virtual ~FieldExchange() = default;
    virtual std::vector<std::pair<std::string, std::string>> fields_to_write() = 0;
    virtual std::vector<std::string> fields_to_read() = 0;
    // Of each wanted field that was there; the others are told as absent.
    virtual void on_field_read(const std::string& field, const std::string& value,
                               decision::TimePoint now) = 0;
    virtual void on_field_absent(const std::string& field) = 0;
};

}    // namespace shaletray::plans
