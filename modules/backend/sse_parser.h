#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// One server-sent event.
struct sse_event {
    std::string id;
    std::string data;

    friend bool operator==(const sse_event&, const sse_event&) = default;
};

/// Parses a text/event-stream into events, skipping comments.
class sse_parser
{
public:
    /// The parser fails on an event longer than `max_event_bytes`.
    explicit sse_parser(std::size_t max_event_bytes = 1024 * 1024);

    /// Parses received bytes and returns the events that they complete, in order.
    std::vector<sse_event> feed(std::string_view bytes);

    /// Returns true after an event exceeded the size limit. Later bytes are ignored.
    [[nodiscard]] bool failed() const { return failed_; }

private:
    void process_line(std::string_view line, std::vector<sse_event>& events);

    std::size_t max_event_bytes_;
    std::string line_;
    sse_event current_;
    bool has_data_{false};
    bool failed_{false};
};

} // namespace jujubevalve
