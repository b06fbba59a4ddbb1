#include "standins/fencing_check.h"

#include "core/settings.h"

#include <charconv>
#include <utility>

namespace jujubevalve
{

namespace
{
std::vector<std::int64_t> parse_token(std::string_view token)
{
    std::vector<std::int64_t> numbers;
    for (const auto& part : split_list(token, '.')) {
        std::int64_t number = 0;
        const auto* const end = part.data() + part.size();
        const auto [rest, error] = std::from_chars(part.data(), end, number);
        if (error != std::errc{} || rest != end) {
            return {};
        }
        numbers.push_back(number);
    }
    return numbers;
}
} // namespace

bool fencing_check::accept(std::string_view token)
{
    auto numbers = parse_token(token);
    if (numbers < highest_) {
        return false;
    }
    highest_ = std::move(numbers);
    return true;
}

} // namespace jujubevalve
