#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// Memory that several limited_buffers, also of several threads, may use together.
class buffer_memory
{
public:
    /// Every buffer may hold `guaranteed_bytes`, however much the others use.
    buffer_memory(std::size_t total_bytes, std::size_t guaranteed_bytes);

    [[nodiscard]] std::size_t used() const { return used_; }

private:
    friend class limited_buffer;

    /// Records that a buffer grows. Returns false, without effect, if it must not.
    [[nodiscard]] bool grow(std::size_t size, std::size_t by);
    void release(std::size_t size) { used_ -= size; }

    std::size_t total_bytes_;
    std::size_t guaranteed_bytes_;
    std::atomic<std::size_t> used_{0};
};

/// Holds a response until it is complete. Responses without end then use up a limited amount of
/// memory, and the usual small ones are not affected by them.
class limited_buffer
{
public:
    limited_buffer(buffer_memory& memory, std::size_t max_bytes);
    ~limited_buffer() { clear(); }
    limited_buffer(const limited_buffer&) = delete;
    limited_buffer& operator=(const limited_buffer&) = delete;

    /// Returns false, without effect, if the bytes exceed the max size or the memory.
    [[nodiscard]] bool append(std::string_view bytes);

    [[nodiscard]] const std::string& bytes() const { return bytes_; }

    /// Discards the content and frees its memory.
    void clear();

    /// Returns the content, which no longer counts towards the memory, and leaves the buffer empty.
    [[nodiscard]] std::string take();

private:
    buffer_memory& memory_;
    std::size_t max_bytes_;
    std::string bytes_;
};

} // namespace jujubevalve
