#include "gateway/peer_messages.h"

#include <array>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <vector>

namespace jujubevalve
{

namespace
{
using nlohmann::json;

/// A message holds an account name and a few numbers.
constexpr std::size_t max_message_bytes = 4096;
constexpr std::size_t length_bytes = 2;

/// The type of a message is the index of its alternative in peer_message.
struct fields_of {
    json operator()(const peer_hello& message) const { return json::array({message.incarnation}); }
    json operator()(const reserve_tokens& message) const
    {
        return json::array(
            {message.number, message.account, message.tokens, message.max_wait.count()});
    }
    json operator()(const tokens_reserved& message) const
    {
        return json::array({message.number, static_cast<int>(message.code)});
    }
    json operator()(const end_reservation& message) const
    {
        return json::array({message.number, message.used ? json(*message.used) : json(nullptr)});
    }
    json operator()(const reservation_ended& message) const
    {
        return json::array({message.number});
    }
};

token_count read_tokens(const json& field)
{
    const auto tokens = field.get<token_count>();
    if (tokens < 0 || tokens > max_token_count) {
        throw std::invalid_argument{"token count out of range"};
    }
    return tokens;
}

time_ms read_wait(const json& field)
{
    constexpr time_ms max_wait{3'600'000};
    const time_ms wait{field.get<std::int64_t>()};
    if (wait < time_ms{0} || wait > max_wait) {
        throw std::invalid_argument{"wait out of range"};
    }
    return wait;
}

result_code read_code(const json& field)
{
    const auto code = static_cast<result_code>(field.get<int>());
    if (describe(code).code != code) {
        throw std::invalid_argument{"unknown result code"};
    }
    return code;
}

peer_message from_fields(std::size_t type, const json& fields)
{
    switch (type) {
    case 0:
        return peer_hello{fields.at(0).get<std::string>()};
    case 1:
        return reserve_tokens{fields.at(0).get<std::uint64_t>(), fields.at(1).get<std::string>(),
                              read_tokens(fields.at(2)), read_wait(fields.at(3))};
    case 2:
        return tokens_reserved{fields.at(0).get<std::uint64_t>(), read_code(fields.at(1))};
    case 3:
        return end_reservation{fields.at(0).get<std::uint64_t>(),
                               fields.at(1).is_null() ? std::nullopt
                                                      : std::optional{read_tokens(fields.at(1))}};
    case 4:
        return reservation_ended{fields.at(0).get<std::uint64_t>()};
    default:
        throw std::invalid_argument{"unknown message type"};
    }
}
} // namespace

std::string encode_peer_message(const peer_message& message)
{
    const auto body =
        json::to_cbor(json::array({message.index(), std::visit(fields_of{}, message)}));
    std::string out;
    out.push_back(static_cast<char>(body.size() >> 8U));
    out.push_back(static_cast<char>(body.size() & 0xffU));
    return out.append(body.begin(), body.end());
}

result<std::optional<peer_message>> peer_message_reader::next()
{
    if (buffer_.size() < length_bytes) {
        return std::optional<peer_message>{};
    }
    const auto size = static_cast<std::size_t>(static_cast<unsigned char>(buffer_[0])) * 256 +
                      static_cast<unsigned char>(buffer_[1]);
    if (size > max_message_bytes) {
        return failure{result_code::malformed_json, "the message is too long"};
    }
    if (buffer_.size() < length_bytes + size) {
        return std::optional<peer_message>{};
    }
    const auto body = buffer_.substr(length_bytes, size);
    buffer_.erase(0, length_bytes + size);
    try {
        const auto message = json::from_cbor(body);
        return std::optional{from_fields(message.at(0).get<std::size_t>(), message.at(1))};
    } catch (const std::exception& error) {
        return failure{result_code::malformed_json,
                       std::string{"message of an instance: "} + error.what()};
    }
}

} // namespace jujubevalve
