#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// A complete server-sent event with its bytes as received.
struct stream_event {
    std::string_view bytes;
    std::string_view id;    ///< empty if the event has none
    bool is_comment{false}; ///< has no fields, as servers send to keep a connection alive
    /// A line begins like a response: behind a body without a length or chunks, the bytes of
    /// another response cannot be told from it otherwise.
    bool has_response_head{false};
};

/// Splits a server-sent event stream into complete events.
class event_splitter
{
public:
    /// Appends received bytes. Call next() afterwards until it returns nothing.
    void add(std::string_view bytes);

    /// Returns the next complete event; its views are valid until the next call.
    [[nodiscard]] std::optional<stream_event> next();

    /// Returns the number of buffered bytes behind the last complete event.
    [[nodiscard]] std::size_t partial_bytes() const { return buffer_.size() - consumed_; }

    /// Discards all buffered bytes.
    void clear();

private:
    std::string buffer_;
    std::size_t consumed_{0};
    std::size_t searched_{0}; ///< no event ends before this position
};

} // namespace jujubevalve
