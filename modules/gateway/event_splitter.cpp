#include "gateway/event_splitter.h"

#include <algorithm>
#include <utility>

namespace jujubevalve
{

namespace
{
/// Longest end of an event: an empty line with CRLF.
constexpr std::size_t max_terminator_bytes = 4;

std::string_view id_of(std::string_view event)
{
    while (!event.empty()) {
        const auto end = std::min(event.find('\n'), event.size());
        auto line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        if (line.starts_with("id:")) {
            line.remove_prefix(3);
            return line.starts_with(' ') ? line.substr(1) : line;
        }
    }
    return {};
}

constexpr std::string_view line_with_response_begin = "\nHTTP/1.";
constexpr std::string_view response_begin = line_with_response_begin.substr(1);

// Comments begin with a colon; empty lines end the event.
bool has_only_comments(std::string_view event)
{
    while (!event.empty()) {
        if (event.front() != ':' && event.front() != '\r' && event.front() != '\n') {
            return false;
        }
        event.remove_prefix(std::min(event.find('\n'), event.size() - 1) + 1);
    }
    return true;
}
} // namespace

void event_splitter::add(std::string_view bytes)
{
    buffer_.erase(0, consumed_);
    searched_ -= std::min(searched_, std::exchange(consumed_, 0));
    buffer_.append(bytes);
}

std::optional<stream_event> event_splitter::next()
{
    const std::string_view rest{buffer_.data() + consumed_, buffer_.size() - consumed_};
    const auto from = std::max(searched_, consumed_) - consumed_;
    const auto lf = rest.find("\n\n", from);
    const auto crlf = rest.find("\r\n\r\n", from);
    if (lf == std::string_view::npos && crlf == std::string_view::npos) {
        searched_ = buffer_.size() - std::min(max_terminator_bytes - 1, rest.size());
        return std::nullopt;
    }
    const auto size = crlf < lf ? crlf + 4 : lf + 2;
    const auto bytes = rest.substr(0, size);
    consumed_ += size;
    const bool has_response_head = bytes.starts_with(response_begin) ||
                                   bytes.find(line_with_response_begin) != std::string_view::npos;
    return stream_event{bytes, id_of(bytes), has_only_comments(bytes), has_response_head};
}

void event_splitter::clear()
{
    buffer_.clear();
    consumed_ = 0;
    searched_ = 0;
}

} // namespace jujubevalve
