#include "requests/server_sequence.h"

#include <algorithm>
#include <charconv>
#include <fmt/core.h>
#include <iterator>

namespace jujubevalve
{

std::string backend_key::to_text() const
{
    return fmt::format("{}.{}.{}", incarnation, server, n);
}

std::optional<backend_key> backend_key::parse(std::string_view text)
{
    const auto first = text.find('.');
    const auto last = text.rfind('.');
    if (first == std::string_view::npos || first == 0 || last <= first + 1) {
        return std::nullopt;
    }
    backend_key key{std::string{text.substr(0, first)},
                    std::string{text.substr(first + 1, last - first - 1)}, 0};
    const auto digits = text.substr(last + 1);
    const auto* const end = digits.data() + digits.size();
    const auto [stop, error] = std::from_chars(digits.data(), end, key.n);
    if (error != std::errc{} || stop != end || key.n < 1) {
        return std::nullopt;
    }
    return key;
}

std::optional<std::int64_t> server_sequence::take()
{
    if (outstanding_.size() >= sequence_window) {
        return std::nullopt;
    }
    const auto n = reusable_.empty() ? next_++ : *reusable_.begin();
    reusable_.erase(n);
    outstanding_.insert(n);
    return n;
}

void server_sequence::settled(std::int64_t n)
{
    outstanding_.erase(n);
}

void server_sequence::not_delivered(std::int64_t n)
{
    if (outstanding_.erase(n) > 0) {
        reusable_.insert(n);
    }
}

sequence_snapshot server_sequence::snapshot() const
{
    sequence_snapshot current{next_, {}};
    std::set_union(outstanding_.begin(), outstanding_.end(), reusable_.begin(), reusable_.end(),
                   std::back_inserter(current.unsettled));
    return current;
}

} // namespace jujubevalve
