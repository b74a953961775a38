// The answers of the control API, byte by byte: callers of several versions read them.
#include "controller/api/response.h"

#include <criterion/criterion.h>

#include "controller/api/control_command.h"

using namespace shaletray;
using namespace shaletray::control_api;

Test(response, has_the_body_and_the_headers_that_callers_know) {
    cr_assert(success().body == "{}" && extra_headers(success()).empty());
    cr_assert(call_accepted("10.1.0.24:7000").body == R"({"heartbeat_target":"10.1.0.24:7000"})");
    cr_assert(call_accepted("").body == "{}");
    cr_assert(configuration_text("{\"revision\":\"7\"}").body == R"({"revision":"7"})");
    const Response later = retry_later();
    cr_assert(later.status == HttpStatus::ServiceUnavailable);
    cr_assert(later.body == R"({"error":"no majority in time"})");
    cr_assert(extra_headers(later) == "Retry-After: 0.1\r\n");
}

Test(response, escapes_messages_and_names_the_allowed_method) {
    cr_assert(error(HttpStatus::BadRequest, "a \"b\" \\ c\nd").body == R"({"error":"a \"b\" \\ c d"})");
    const Response rejection = to_response({HttpStatus::MethodNotAllowed, "takes POST", "POST"});
    cr_assert(rejection.status == HttpStatus::MethodNotAllowed);
    cr_assert(rejection.body == R"({"error":"takes POST"})");
    cr_assert(extra_headers(rejection) == "Allow: POST\r\n");
}
