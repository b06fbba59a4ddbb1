#include "mutator.h"

#include <array>
#include <limits>
#include <string_view>

namespace jujubevalve::fuzz
{

namespace
{
constexpr std::size_t max_span_bytes = 64;

/// Texts that decoders often treat in a special way.
constexpr auto odd_texts = std::to_array<std::string_view>({"",
                                                            "-1",
                                                            "0",
                                                            "00",
                                                            "1e308",
                                                            "-1e308",
                                                            "9223372036854775807",
                                                            "9223372036854775808",
                                                            "-9223372036854775809",
                                                            "18446744073709551616",
                                                            "0x10",
                                                            "1.5",
                                                            "NaN",
                                                            "null",
                                                            "true",
                                                            "[]",
                                                            "{}",
                                                            "\"\"",
                                                            "\r\n",
                                                            "\n\n",
                                                            ":",
                                                            ",",
                                                            "=",
                                                            "====",
                                                            "/",
                                                            "\\u0000",
                                                            "%00",
                                                            "\xff\xfe",
                                                            ";",
                                                            "chunked",
                                                            "\r\nContent-Length: 5\r\n",
                                                            "data: ",
                                                            "id: 99999999999999999999\n"});
} // namespace

mutator::mutator(std::uint64_t seed)
    : random_{seed}
{
}

std::size_t mutator::draw(std::size_t max)
{
    return std::uniform_int_distribution<std::size_t>{0, max}(random_);
}

std::string mutator::change_text(std::string text)
{
    const auto changes = 1 + draw(3);
    for (std::size_t i = 0; i < changes; ++i) {
        const auto at = draw(text.size());
        const auto length = draw(std::min(max_span_bytes, text.size() - at));
        switch (draw(6)) {
        case 0:
            if (at < text.size()) {
                text[at] = static_cast<char>(draw(255));
            }
            break;
        case 1:
            text.erase(at, length);
            break;
        case 2:
            text.insert(at, text.substr(at, length));
            break;
        case 3:
            text.resize(at);
            break;
        case 4:
            text.insert(at, std::string(length, static_cast<char>(draw(255))));
            break;
        case 5: {
            const auto digit = text.find_first_of("0123456789", at);
            if (digit != std::string::npos) {
                const auto end = text.find_first_not_of("0123456789", digit);
                text.replace(digit, std::min(end, text.size()) - digit,
                             odd_texts.at(draw(odd_texts.size() - 1)));
            }
            break;
        }
        default:
            text.insert(at, odd_texts.at(draw(odd_texts.size() - 1)));
            break;
        }
    }
    return text;
}

nlohmann::json mutator::odd_value()
{
    using limits = std::numeric_limits<std::int64_t>;
    switch (draw(13)) {
    case 0:
        return nullptr;
    case 1:
        return true;
    case 2:
        return -1;
    case 3:
        return 0;
    case 4:
        return limits::max();
    case 5:
        return limits::min();
    case 6:
        return std::numeric_limits<std::uint64_t>::max();
    case 7:
        return 1e300;
    case 8:
        return -1e300;
    case 9:
        return 0.5;
    case 10:
        return nlohmann::json::array();
    case 11:
        return nlohmann::json::object();
    case 12:
        return std::string(draw(3000), 'x');
    default:
        return std::string{odd_texts.at(draw(odd_texts.size() - 1))};
    }
}

void mutator::change_one_value(nlohmann::json& value)
{
    auto* place = &value;
    while (place->is_structured() && !place->empty() && draw(5) != 0) {
        auto item = place->begin();
        std::advance(item, static_cast<std::ptrdiff_t>(draw(place->size() - 1)));
        place = &*item;
    }
    if (place->is_structured() && !place->empty() && draw(1) == 0) {
        auto item = place->begin();
        std::advance(item, static_cast<std::ptrdiff_t>(draw(place->size() - 1)));
        place->erase(item);
        return;
    }
    *place = odd_value();
}

nlohmann::json mutator::change_values(nlohmann::json value)
{
    const auto changes = 1 + draw(2);
    for (std::size_t i = 0; i < changes; ++i) {
        change_one_value(value);
    }
    return value;
}

} // namespace jujubevalve::fuzz
