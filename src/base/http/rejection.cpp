#include "base/http/rejection.h"

namespace shaletray {

Rejection rejection_of(http::Fault fault) {
    switch (fault) {
        case http::Fault::HeadTooLarge: return {431, "headers too large"};
        case http::Fault::BodyTooLarge: return {413, "body too large"};
        case http::Fault::Unsupported: return {501, "transfer coding not supported"};
        default: return {400, "malformed request"};
    }
}

}    // namespace shaletray
