// The JSON description of the ownership table for operators.
#include "controller/ownership_report.h"

#include <criterion/criterion.h>

using namespace shaletray;
using namespace shaletray::controller;

Test(ownership_report, describes_owner_and_state_of_each_range) {
    ownership::OwnershipTable table{9, std::chrono::seconds(4), {}};
    table.services["saves"] = {{{0, 99}, "i-1", 7, 7, true},
                               {{100, 199}, "i-2", 9, 9, false, "i-1", 7},
                               {{200, 65535}, "i-3", 9, 9, false}};
    cr_assert(
        describe_ownership(table, {{"saves", 1.5}}) ==
        R"({"version":9,"hold_ms":4000,"services":[{"name":"saves","busiest_server_load":1.5E0,"rows":[)"
        R"({"first":0,"last":99,"owner":"i-1","fence":7,"state":"granted"},)"
        R"({"first":100,"last":199,"owner":"i-2","fence":9,"state":"awaiting_release","previous_owner":"i-1"},)"
        R"({"first":200,"last":65535,"owner":"i-3","fence":9,"state":"awaiting_expiry"}]}]})");
    cr_assert(describe_ownership({}, {}) == R"({"version":0,"hold_ms":0,"services":[]})");
}
