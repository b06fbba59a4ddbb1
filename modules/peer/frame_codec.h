#pragma once

#include "core/result.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// Which end of a connection a codec is for.
enum class frame_side { client, server };

/// Frames of one connection. A frame is its payload size (4 bytes, big-endian), the payload and
/// the first 16 bytes of HMAC-SHA256 with the fleet secret over both nonces, the direction, the
/// frame number and the payload. The frame number is not sent: each end counts, so that a frame
/// that is replayed, left out, reordered or taken from another connection has a wrong MAC. Frame 0
/// of each direction is preceded by its sender's nonce; the MAC of the client's frame 0 uses zeros
/// as server nonce. After both frames 0, one thread may seal while another one feeds and opens.
class frame_codec
{
public:
    static constexpr std::size_t nonce_bytes = 16;
    static constexpr std::size_t mac_bytes = 16; // RFC 2104 section 5 allows half the output

    /// Bytes that a frame takes beyond its payload; frame 0 takes `nonce_bytes` more.
    static constexpr std::size_t overhead_bytes = 4 + mac_bytes;

    frame_codec(std::string secret, frame_side side, std::size_t max_payload_bytes);

    /// The bytes to send for the next payload, or the failure request_too_large.
    result<std::string> seal(std::string_view payload);

    /// Adds received bytes.
    void feed(std::string_view bytes);

    /// Takes the next complete payload, or nothing if bytes are missing. Fails with
    /// request_too_large or peer_unauthenticated; the connection is then useless.
    result<std::optional<std::string>> open();

private:
    [[nodiscard]] std::string mac(frame_side sender, std::int64_t number,
                                  std::string_view payload) const;

    std::string secret_;
    frame_side side_;
    std::size_t max_payload_bytes_;
    std::string client_nonce_;
    std::string server_nonce_;
    std::int64_t sent_{0};
    std::int64_t opened_{0};
    std::string buffer_;
    std::size_t used_{0};
};

} // namespace jujubevalve
