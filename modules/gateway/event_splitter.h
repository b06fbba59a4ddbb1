#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// A complete event of a stream with its bytes as received.
struct stream_event {
    std::string_view bytes;
    std::string_view id; ///< empty if it has none
};

/// Cuts an event stream into complete events.
class event_splitter
{
public:
    /// Adds received bytes. Then call next() until it returns nothing.
    void add(std::string_view bytes);

    /// The next complete event; valid until the next call.
    [[nodiscard]] std::optional<stream_event> next();

    /// Whether bytes of an incomplete event are left.
    [[nodiscard]] bool has_partial() const { return consumed_ < buffer_.size(); }

    /// Forgets an incomplete event.
    void clear();

private:
    std::string buffer_;
    std::size_t consumed_{0};
};

} // namespace jujubevalve
