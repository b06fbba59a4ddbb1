#include "core/digest.h"

#include <array>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdexcept>
#include <vector>
#include <xxhash.h>

namespace jujubevalve
{

namespace
{
const unsigned char* bytes_of(std::string_view data)
{
    return reinterpret_cast<const unsigned char*>(data.data());
}

std::string to_hex(const unsigned char* data, std::size_t size)
{
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(size * 2);
    for (std::size_t i = 0; i < size; ++i) {
        text += digits[data[i] >> 4U];
        text += digits[data[i] & 15U];
    }
    return text;
}
} // namespace

std::string sha256_hex(std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(), nullptr);
    return to_hex(digest.data(), size);
}

std::string hmac_sha256_hex(std::string_view key, std::string_view data)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()), bytes_of(data), data.size(),
         digest.data(), &size);
    return to_hex(digest.data(), size);
}

bool equal_constant_time(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

std::uint64_t hash64(std::string_view data, std::uint64_t seed)
{
    return XXH3_64bits_withSeed(data.data(), data.size(), seed);
}

std::string random_hex(std::size_t bytes)
{
    std::vector<unsigned char> data(bytes);
    if (RAND_bytes(data.data(), static_cast<int>(bytes)) != 1) {
        throw std::runtime_error("the operating system returned no random bytes");
    }
    return to_hex(data.data(), data.size());
}

} // namespace jujubevalve
