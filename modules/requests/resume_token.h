#pragma once

#include "core/result.h"

#include <string>
#include <string_view>

namespace jujubevalve
{

/// The backend request whose stream a caller can resume.
struct resume_target {
    std::string server;      ///< backend server name
    std::string backend_key; ///< text form of the request's backend_key

    friend bool operator==(const resume_target&, const resume_target&) = default;
};

/// Signs and verifies the value of the header `Jujubevalve-Resume`:
/// `jr1.<mac>.<server>/<backend key>`. The MAC covers the client account and the body, so that a
/// stream is resumed only for the request that started it.
class resume_token
{
public:
    /// While the fleet secret is being changed, `previous_secret` is the old secret; otherwise it
    /// is empty.
    explicit resume_token(std::string secret, std::string previous_secret = {});

    [[nodiscard]] std::string issue(const resume_target& target, std::string_view account,
                                    std::string_view body_digest) const;

    /// Checks the MAC and returns the target. Fails with `invalid_field`; the request can then
    /// still run from the beginning.
    [[nodiscard]] result<resume_target> verify(std::string_view value, std::string_view account,
                                               std::string_view body_digest) const;

private:
    [[nodiscard]] static std::string mac(std::string_view secret, std::string_view target,
                                         std::string_view account, std::string_view body_digest);

    std::string secret_;
    std::string previous_secret_;
};

} // namespace jujubevalve
