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

/// Splits the bytes of a text/event-stream into events; comments are skipped.
class sse_parser
{
public:
    /// Events longer than this many bytes make the parser fail.
    explicit sse_parser(std::size_t max_event_bytes = 1024 * 1024);

    /// Takes bytes and returns the events that they complete, in order.
    std::vector<sse_event> feed(std::string_view bytes);

    /// Whether an event was too long. Later bytes are ignored.
    [[nodiscard]] bool failed() const { return failed_; }

private:
    void take_line(std::string_view line, std::vector<sse_event>& events);

    std::size_t max_event_bytes_;
    std::string line_;
    sse_event current_;
    bool has_data_{false};
    bool failed_{false};
};

} // namespace jujubevalve
