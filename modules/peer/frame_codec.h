#pragma once

#include "core/result.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// The side of a connection that a codec serves.
enum class frame_side { client, server };

/// Encodes and decodes the frames of one connection. A frame is its payload size (4 bytes,
/// big-endian), the payload and the first 16 bytes of HMAC-SHA256 with the fleet secret over both
/// nonces, the direction, the frame number and the payload. The frame number is not sent: each end
/// counts frames, so a frame that is replayed, omitted, reordered or taken from another connection
/// fails the MAC check. Frame 0 of each direction is preceded by its sender's nonce; the MAC of the
/// client's frame 0 uses zeros as the server nonce. Once both sides have exchanged frame 0, one
/// thread may call seal() while another calls feed() and open().
class frame_codec
{
public:
    static constexpr std::size_t nonce_bytes = 16;
    static constexpr std::size_t mac_bytes = 16; // RFC 2104 section 5 allows half the hash size

    /// Bytes that a frame adds to its payload; frame 0 adds another `nonce_bytes`.
    static constexpr std::size_t overhead_bytes = 4 + mac_bytes;

    frame_codec(std::string secret, frame_side side, std::size_t max_payload_bytes);

    /// Returns the frame for the next payload. Fails with request_too_large.
    result<std::string> seal(std::string_view payload);

    /// Appends received bytes to the buffer.
    void feed(std::string_view bytes);

    /// Removes and returns the next complete payload, or nullopt if bytes are missing. Fails with
    /// request_too_large or peer_unauthenticated; the connection must then be closed.
    result<std::optional<std::string>> open();

private:
    [[nodiscard]] std::string mac(frame_side sender, std::int64_t number,
                                  std::string_view payload) const;

    std::string secret_;
    frame_side side_;
    std::size_t max_payload_bytes_;
    std::string client_nonce_;
    std::string server_nonce_;
    std::int64_t frames_sealed_{0};
    std::int64_t frames_opened_{0};
    std::string buffer_;
    std::size_t consumed_bytes_{0};
};

} // namespace jujubevalve
