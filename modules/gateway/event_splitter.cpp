#include "gateway/event_splitter.h"

namespace jujubevalve
{

namespace
{
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
} // namespace

void event_splitter::add(std::string_view bytes)
{
    buffer_.erase(0, consumed_);
    consumed_ = 0;
    buffer_.append(bytes);
}

std::optional<stream_event> event_splitter::next()
{
    const std::string_view rest{buffer_.data() + consumed_, buffer_.size() - consumed_};
    const auto lf = rest.find("\n\n");
    const auto crlf = rest.find("\r\n\r\n");
    if (lf == std::string_view::npos && crlf == std::string_view::npos) {
        return std::nullopt;
    }
    const auto size = crlf < lf ? crlf + 4 : lf + 2;
    const auto bytes = rest.substr(0, size);
    consumed_ += size;
    return stream_event{bytes, id_of(bytes)};
}

void event_splitter::clear()
{
    buffer_.clear();
    consumed_ = 0;
}

} // namespace jujubevalve
