// Interface for further fields of the shared store, exchanged in the same calls as the quota rows. The store
// may lose fields, return old values or hold fields of another installation, so a field is written again
// until it is read back.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "decision/control.h"

namespace shaletray::plans {

// Called by the store's session on the event loop thread.
class FieldExchange {
public:
    virtual ~FieldExchange() = default;
    // Names and values to write in the next exchange.
    virtual std::vector<std::pair<std::string, std::string>> fields_to_write() = 0;
    // Names to read in the next exchange.
    virtual std::vector<std::string> fields_to_read() = 0;
    // Called for each requested field that exists; on_field_absent is called for the others.
    virtual void on_field_read(const std::string& field, const std::string& value,
                               decision::TimePoint now) = 0;
    virtual void on_field_absent(const std::string& field) = 0;
};

}    // namespace shaletray::plans
