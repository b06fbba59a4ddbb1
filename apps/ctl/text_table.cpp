#include "ctl/text_table.h"

#include <algorithm>
#include <ctime>
#include <fmt/chrono.h>
#include <fmt/format.h>
#include <utility>

namespace jujubevalve
{

text_table::text_table(std::vector<std::string> heading)
    : lines_{std::move(heading)}
{
}

void text_table::add(std::vector<std::string> cells)
{
    lines_.push_back(std::move(cells));
}

std::string text_table::to_text() const
{
    std::vector<std::size_t> widths(lines_.front().size(), 0);
    for (const auto& line : lines_) {
        for (std::size_t i = 0; i < widths.size(); ++i) {
            widths[i] = std::max(widths[i], line.at(i).size());
        }
    }
    std::string text;
    for (const auto& line : lines_) {
        std::string padded;
        for (std::size_t i = 0; i < widths.size(); ++i) {
            padded += fmt::format("{:<{}}  ", line[i], widths[i]);
        }
        text += padded.substr(0, padded.find_last_not_of(' ') + 1) + "\n";
    }
    return text;
}

std::string utc_text(time_ms at)
{
    // The calendar functions throw beyond year 9999.
    constexpr time_ms last{253'402'300'799'000};
    const auto shown = std::clamp(at, time_ms{0}, last);
    return fmt::format("{:%Y-%m-%d %H:%M:%S}Z",
                       fmt::gmtime(static_cast<std::time_t>(shown.count() / 1000)));
}

} // namespace jujubevalve
