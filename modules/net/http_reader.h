#pragma once

#include "net/http_head.h"

#include <cstddef>
#include <memory>
#include <string_view>

namespace jujubevalve
{

/// Receives the head, body and end of each message in turn.
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

/// State of an http_reader.
enum class read_state {
    reading,        ///< all bytes were consumed
    message_ended,  ///< stopped after a complete message; next() continues
    head_too_large, ///< the start line and header fields exceed the limit
    malformed,      ///< the bytes are not a valid message
};

/// Incremental HTTP/1.1 parser. It stops after each message, so that the caller decides when to
/// start the next one. Rejects a message with both Content-Length and Transfer-Encoding.
class http_reader
{
public:
    enum class kind { requests, responses };

    http_reader(kind message_kind, std::size_t max_head_bytes, http_reader_listener& listener);
    ~http_reader();
    http_reader(const http_reader&) = delete;
    http_reader& operator=(const http_reader&) = delete;

    /// Parses bytes and returns how many were consumed. Updates state().
    std::size_t feed(std::string_view bytes);

    /// Call when the peer has closed the connection normally. Completes a response that is
    /// delimited by the close; any other partial message is malformed. Updates state().
    void feed_end();

    /// Treats the next response as one without a body, as for a HEAD request.
    void expect_no_body();

    /// Starts the next message after `message_ended`.
    void next();

    [[nodiscard]] read_state state() const;

    /// Whether part of the current message has been consumed.
    [[nodiscard]] bool in_message() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve
