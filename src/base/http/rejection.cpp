#include "base/http/rejection.h"

namespace shaletray {

ImmediateRejection rejection_for(http::ParseError error) {
    switch (error) {
        case http::ParseError::HeadTooLarge: return {431, "headers too large"};
        case http::ParseError::BodyTooLarge: return {413, "body too large"};
        case http::ParseError::Unsupported: return {501, "transfer coding not supported"};
        default: return {400, "malformed request"};
    }
}

}    // namespace shaletray
