#pragma once

#include <string>

namespace jujubevalve
{

/// One call to a plain service.
struct plain_call {
    std::string kind; ///< last segment of the path /v1/calls/<kind>, not escaped
    std::string idempotency_key;
    std::string fencing_token;
    std::string body;

    friend bool operator==(const plain_call&, const plain_call&) = default;
};

} // namespace jujubevalve
