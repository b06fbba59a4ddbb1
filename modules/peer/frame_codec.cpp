#include "peer/frame_codec.h"

#include "core/digest.h"

#include <algorithm>
#include <array>
#include <fmt/format.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdexcept>

namespace jujubevalve
{

namespace
{
constexpr std::size_t size_bytes = 4;

std::string big_endian(std::uint64_t value, std::size_t bytes)
{
    std::string text;
    for (std::size_t i = bytes; i > 0; --i) {
        text += static_cast<char>((value >> (8 * (i - 1))) & 0xffU);
    }
    return text;
}

std::size_t read_size(std::string_view text)
{
    std::size_t value = 0;
    for (const char c : text.substr(0, size_bytes)) {
        value = (value << 8U) | static_cast<unsigned char>(c);
    }
    return value;
}

std::string make_nonce()
{
    std::array<unsigned char, frame_codec::nonce_bytes> bytes{};
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
        throw std::runtime_error("the operating system returned no random bytes");
    }
    return {bytes.begin(), bytes.end()};
}
} // namespace

frame_codec::frame_codec(std::string secret, frame_side side, std::size_t max_payload_bytes)
    : secret_{std::move(secret)}
    , side_{side}
    , max_payload_bytes_{max_payload_bytes}
    , client_nonce_(nonce_bytes, '\0')
    , server_nonce_(nonce_bytes, '\0')
{
    (side == frame_side::client ? client_nonce_ : server_nonce_) = make_nonce();
}

std::string frame_codec::mac(frame_side sender, std::int64_t number, std::string_view payload) const
{
    const bool first = sender == frame_side::client && number == 0;
    std::string data = client_nonce_;
    data += first ? std::string(nonce_bytes, '\0') : server_nonce_;
    data += sender == frame_side::client ? 'c' : 's';
    data += big_endian(static_cast<std::uint64_t>(number), 8);
    data += payload;
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), secret_.data(), static_cast<int>(secret_.size()),
         reinterpret_cast<const unsigned char*>(data.data()), data.size(), digest.data(), &size);
    return {digest.begin(), digest.begin() + mac_bytes};
}

result<std::string> frame_codec::seal(std::string_view payload)
{
    if (payload.size() > max_payload_bytes_) {
        return failure{result_code::request_too_large,
                       fmt::format("a message of {} bytes exceeds the frame limit of {}",
                                   payload.size(), max_payload_bytes_)};
    }
    std::string bytes;
    if (frames_sealed_ == 0) {
        bytes += side_ == frame_side::client ? client_nonce_ : server_nonce_;
    }
    bytes += big_endian(payload.size(), size_bytes);
    bytes += payload;
    bytes += mac(side_, frames_sealed_++, payload);
    return bytes;
}

void frame_codec::feed(std::string_view bytes)
{
    buffer_.erase(0, consumed_bytes_);
    consumed_bytes_ = 0;
    buffer_ += bytes;
}

result<std::optional<std::string>> frame_codec::open()
{
    const auto sender = side_ == frame_side::client ? frame_side::server : frame_side::client;
    auto rest = std::string_view{buffer_}.substr(consumed_bytes_);
    const std::size_t prefix = frames_opened_ == 0 ? nonce_bytes : 0;
    if (rest.size() < prefix + size_bytes) {
        return std::optional<std::string>{};
    }
    if (prefix > 0) {
        (sender == frame_side::client ? client_nonce_ : server_nonce_) = rest.substr(0, prefix);
        rest.remove_prefix(prefix);
    }
    const auto size = read_size(rest);
    if (size > max_payload_bytes_) {
        return failure{
            result_code::request_too_large,
            fmt::format("a frame of {} bytes exceeds the limit of {}", size, max_payload_bytes_)};
    }
    const auto total = size_bytes + size + mac_bytes;
    if (rest.size() < total) {
        return std::optional<std::string>{};
    }
    const auto payload = rest.substr(size_bytes, size);
    if (!equal_constant_time(mac(sender, frames_opened_, payload),
                             rest.substr(size_bytes + size, mac_bytes))) {
        return failure{result_code::peer_unauthenticated, "a frame has a wrong MAC"};
    }
    ++frames_opened_;
    consumed_bytes_ += prefix + total;
    return std::optional<std::string>{std::string{payload}};
}

} // namespace jujubevalve
