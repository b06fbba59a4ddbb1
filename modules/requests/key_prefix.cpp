#include "requests/key_prefix.h"

#include "core/digest.h"

#include <algorithm>
#include <charconv>
#include <fmt/core.h>
#include <optional>
#include <stdexcept>
#include <utility>

namespace jujubevalve
{

namespace
{
constexpr std::string_view scheme = "jv1.";
constexpr std::size_t mac_digits = 16;

failure invalid(std::string_view reason)
{
    return {result_code::invalid_key_prefix,
            fmt::format("idempotency key: {}; get a new prefix from GET /v1/instances", reason)};
}

std::optional<std::int64_t> parse_epoch(std::string_view text)
{
    std::int64_t value = 0;
    const auto* const end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, value);
    const bool canonical = text == "0" || (!text.empty() && text.front() != '0');
    if (error != std::errc{} || stop != end || value < 0 || !canonical) {
        return std::nullopt;
    }
    return value;
}
} // namespace

key_prefix::key_prefix(std::string secret, std::string previous_secret)
    : secret_{std::move(secret)}
    , previous_secret_{std::move(previous_secret)}
{
}

std::string key_prefix::issue(std::string_view incarnation, std::int64_t epoch,
                              std::string_view account) const
{
    if (incarnation.empty() || incarnation.find('.') != std::string_view::npos) {
        throw std::invalid_argument(
            fmt::format("incarnation \"{}\" is empty or contains a dot", incarnation));
    }
    return fmt::format("{}{}.{}.{}", scheme, incarnation, epoch,
                       mac(secret_, incarnation, epoch, account));
}

result<issued_key> key_prefix::verify(std::string_view key, std::string_view account) const
{
    if (!has_prefix(key)) {
        return invalid("it does not start with jv1.");
    }
    const auto rest = key.substr(scheme.size());
    const auto first = rest.find('.');
    const auto second = first == std::string_view::npos ? first : rest.find('.', first + 1);
    if (second == std::string_view::npos || rest.size() < second + 1 + mac_digits) {
        return invalid("its prefix is incomplete");
    }
    const auto incarnation = rest.substr(0, first);
    const auto epoch = parse_epoch(rest.substr(first + 1, second - first - 1));
    const auto given_mac = rest.substr(second + 1, mac_digits);
    if (incarnation.empty() || !epoch) {
        return invalid("its prefix is malformed");
    }
    const bool matches_current =
        equal_constant_time(given_mac, mac(secret_, incarnation, *epoch, account));
    const bool matches_previous =
        !previous_secret_.empty() &&
        equal_constant_time(given_mac, mac(previous_secret_, incarnation, *epoch, account));
    if (!matches_current && !matches_previous) {
        return invalid("its prefix was not issued to this client account");
    }
    const auto suffix = rest.substr(second + 1 + mac_digits);
    if (suffix.empty()) {
        return invalid("the caller's part after the prefix is missing");
    }
    return issued_key{std::string{incarnation}, *epoch, std::string{suffix}};
}

bool key_prefix::has_prefix(std::string_view key)
{
    return key.starts_with(scheme);
}

std::string key_prefix::mac(std::string_view secret, std::string_view incarnation,
                            std::int64_t epoch, std::string_view account)
{
    // The account may contain any character, so it comes last; the other fields contain no line
    // feed. The signed text is therefore unambiguous.
    const auto text = fmt::format("key prefix\n{}\n{}\n{}", incarnation, epoch, account);
    return hmac_sha256_hex(secret, text).substr(0, mac_digits);
}

status check_key(std::string_view key)
{
    if (key.empty() || key.size() > max_key_bytes) {
        return failure{result_code::invalid_field,
                       fmt::format("header Idempotency-Key has {} bytes; expected 1 to {}",
                                   key.size(), max_key_bytes)};
    }
    const bool visible =
        std::all_of(key.begin(), key.end(), [](char c) { return c > ' ' && c <= '~'; });
    if (!visible) {
        return failure{result_code::invalid_field,
                       "header Idempotency-Key contains a character that is not visible ASCII"};
    }
    return success();
}

} // namespace jujubevalve
