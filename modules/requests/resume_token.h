#pragma once

#include "core/result.h"

#include <string>
#include <string_view>

namespace jujubevalve
{

/// Where the stream of an idempotent request runs.
struct resume_target {
    std::string server;      ///< backend server name
    std::string backend_key; ///< name of the request there

    friend bool operator==(const resume_target&, const resume_target&) = default;
};

/// Signs and verifies the value of the header `Jujubevalve-Resume`:
/// `jr1.<mac>.<server>/<backend key>`. The MAC binds it to the client account and to the body, so
/// that a stream is resumed only for the request that started it.
class resume_token
{
public:
    /// `previous` is the old fleet secret during a change of it, otherwise empty.
    explicit resume_token(std::string secret, std::string previous = {});

    [[nodiscard]] std::string issue(const resume_target& target, std::string_view account,
                                    std::string_view body_digest) const;

    /// Fails with `invalid_field`; the request can still run from the start.
    [[nodiscard]] result<resume_target> verify(std::string_view value, std::string_view account,
                                               std::string_view body_digest) const;

private:
    [[nodiscard]] static std::string mac(std::string_view secret, std::string_view target,
                                         std::string_view account, std::string_view body_digest);

    std::string secret_;
    std::string previous_;
};

} // namespace jujubevalve
