#include "backend/sse_parser.h"

#include <utility>

namespace jujubevalve
{

namespace
{
// Returns the value of a field line without the optional space after the colon.
std::string_view field_value(std::string_view line, std::size_t colon)
{
    auto value = line.substr(colon + 1);
    if (value.starts_with(' ')) {
        value.remove_prefix(1);
    }
    return value;
}
} // namespace

sse_parser::sse_parser(std::size_t max_event_bytes)
    : max_event_bytes_{max_event_bytes}
{
}

std::vector<sse_event> sse_parser::feed(std::string_view bytes)
{
    std::vector<sse_event> events;
    while (!bytes.empty() && !failed_) {
        const auto end = bytes.find('\n');
        line_ += bytes.substr(0, end);
        failed_ = line_.size() + current_.data.size() > max_event_bytes_;
        if (end == std::string_view::npos || failed_) {
            break;
        }
        bytes.remove_prefix(end + 1);
        if (line_.ends_with('\r')) {
            line_.pop_back();
        }
        process_line(line_, events);
        line_.clear();
    }
    return events;
}

void sse_parser::process_line(std::string_view line, std::vector<sse_event>& events)
{
    if (line.empty()) {
        if (has_data_) {
            events.push_back(std::move(current_));
        }
        current_ = {};
        has_data_ = false;
        return;
    }
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return;
    }
    const auto field = line.substr(0, colon);
    if (field == "data") {
        if (has_data_) {
            current_.data += '\n';
        }
        current_.data += field_value(line, colon);
        has_data_ = true;
    } else if (field == "id") {
        current_.id = field_value(line, colon);
    }
}

} // namespace jujubevalve
