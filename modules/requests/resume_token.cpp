#include "requests/resume_token.h"

#include "core/digest.h"

#include <fmt/core.h>
#include <utility>

namespace jujubevalve
{

namespace
{
constexpr std::string_view scheme = "jr1.";
constexpr std::size_t mac_digits = 32;

failure invalid(std::string_view reason)
{
    return {result_code::invalid_field, fmt::format("header Jujubevalve-Resume: {}", reason)};
}
} // namespace

resume_token::resume_token(std::string secret, std::string previous_secret)
    : secret_{std::move(secret)}
    , previous_secret_{std::move(previous_secret)}
{
}

std::string resume_token::issue(const resume_target& target, std::string_view account,
                                std::string_view body_digest) const
{
    const auto text = target.server + "/" + target.backend_key;
    return fmt::format("{}{}.{}", scheme, mac(secret_, text, account, body_digest), text);
}

result<resume_target> resume_token::verify(std::string_view value, std::string_view account,
                                           std::string_view body_digest) const
{
    if (!value.starts_with(scheme) || value.size() < scheme.size() + mac_digits + 1 ||
        value[scheme.size() + mac_digits] != '.') {
        return invalid("malformed value");
    }
    const auto given_mac = value.substr(scheme.size(), mac_digits);
    const auto text = value.substr(scheme.size() + mac_digits + 1);
    const bool matches_current =
        equal_constant_time(given_mac, mac(secret_, text, account, body_digest));
    const bool matches_previous =
        !previous_secret_.empty() &&
        equal_constant_time(given_mac, mac(previous_secret_, text, account, body_digest));
    const auto slash = text.find('/');
    if ((!matches_current && !matches_previous) || slash == std::string_view::npos) {
        return invalid("it was not issued for this client account and body");
    }
    return resume_target{std::string{text.substr(0, slash)}, std::string{text.substr(slash + 1)}};
}

std::string resume_token::mac(std::string_view secret, std::string_view target,
                              std::string_view account, std::string_view body_digest)
{
    const auto text = fmt::format("resume token\n{}\n{}\n{}", target, body_digest, account);
    return hmac_sha256_hex(secret, text).substr(0, mac_digits);
}

} // namespace jujubevalve
