#pragma once

#include "net/http_head.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace jujubevalve
{

/// Receives the parts of one message after another.
class http_reader_listener
{
public:
    http_reader_listener() = default;
    http_reader_listener(const http_reader_listener&) = delete;
    http_reader_listener& operator=(const http_reader_listener&) = delete;
    virtual ~http_reader_listener() = default;

    virtual void on_head(http_head head) = 0;
    virtual void on_body(std::string_view bytes) = 0;
    virtual void on_message_end() = 0;
};

/// Why reading stopped.
enum class read_state {
    reading,        ///< all bytes were taken
    message_ended,  ///< stopped behind the end of a message; next() goes on
    head_too_large, ///< the start line and the fields exceed the limit
    malformed,      ///< the bytes are not a message
};

/// Parses HTTP/1.1 incrementally. It stops behind each message, so that the caller decides when
/// the next one begins. A message with both a length and a transfer coding is malformed.
class http_reader
{
public:
    enum class kind { requests, responses };

    http_reader(kind what, std::size_t max_head_bytes, http_reader_listener& listener);
    ~http_reader();
    http_reader(const http_reader&) = delete;
    http_reader& operator=(const http_reader&) = delete;

    /// Parses bytes and returns how many were taken. Sets state().
    std::size_t feed(std::string_view bytes);

    /// The connection was closed in order: ends a response that has no length. Sets state().
    void feed_end();

    /// The next response has no body whatever its fields say, as it answers a HEAD request.
    void expect_no_body();

    /// Prepares for the next message after `message_ended`.
    void next();

    [[nodiscard]] read_state state() const;

    /// Whether some bytes of the present message have been taken.
    [[nodiscard]] bool in_message() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve
