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

/// A message holds an account name and a few numbers, or some notices.
constexpr std::size_t max_message_bytes = 4096;
constexpr std::size_t length_bytes = 2;

/// Size of an encoded number, or of the start of an array, at most.
constexpr std::size_t max_number_bytes = 9;
/// A million requests a second, the most that is read of a server's limit.
constexpr std::int64_t max_limit_per_1000_s = 1'000'000'000;

/// The type of a notice is the index of its alternative in fleet_notice.
struct notice_fields {
    json operator()(const crash_notice& notice) const
    {
        return json::array({notice.server, notice.reporter, notice.at.count(), notice.suspects});
    }
    json operator()(const sound_notice& notice) const
    {
        return json::array({notice.block, notice.at.count()});
    }
    json operator()(const quarantine_notice& notice) const
    {
        return json::array({notice.block, notice.since.count(), notice.level});
    }
    json operator()(const limit_notice& notice) const
    {
        return json::array({notice.server, notice.at.count(), notice.per_1000_s.value_or(-1)});
    }
};

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
        auto fields = json::array({message.number, static_cast<int>(message.code)});
        if (message.room_expected_in) {
            fields.push_back(message.room_expected_in->count());
        }
        return fields;
    }
    json operator()(const end_reservation& message) const
    {
        return json::array({message.number, message.used ? json(*message.used) : json(nullptr)});
    }
    json operator()(const reservation_ended& message) const
    {
        return json::array({message.number});
    }
    json operator()(const share_notices& message) const
    {
        auto notices = json::array();
        for (const auto& notice : message.notices) {
            notices.push_back(json::array({notice.index(), std::visit(notice_fields{}, notice)}));
        }
        return json::array({std::move(notices)});
    }
    json operator()(const compare_notices& message) const { return json::array({message.digest}); }
    json operator()(const announced_grant& message) const
    {
        return json::array(
            {message.account, message.incarnation, message.granted, message.era, message.version});
    }
};

time_ms read_stamp(const json& field)
{
    constexpr time_ms max_stamp{std::int64_t{1} << 53U};
    const time_ms stamp{field.get<std::int64_t>()};
    if (stamp < time_ms{0} || stamp > max_stamp) {
        throw std::invalid_argument{"stamp out of range"};
    }
    return stamp;
}

fleet_notice read_notice(const json& notice)
{
    const auto& fields = notice.at(1);
    switch (notice.at(0).get<std::size_t>()) {
    case 0:
        return crash_notice{fields.at(0).get<std::uint64_t>(), fields.at(1).get<std::uint64_t>(),
                            read_stamp(fields.at(2)),
                            fields.at(3).get<std::vector<shared_prompt>>()};
    case 1:
        return sound_notice{fields.at(0).get<std::uint64_t>(), read_stamp(fields.at(1))};
    case 2: {
        const auto level = fields.at(2).get<std::int64_t>();
        if (level < 0 || level > max_quarantine_level) {
            throw std::invalid_argument{"level out of range"};
        }
        return quarantine_notice{fields.at(0).get<std::uint64_t>(), read_stamp(fields.at(1)),
                                 level};
    }
    case 3: {
        const auto limit = fields.at(2).get<std::int64_t>();
        if (limit < -1 || limit > max_limit_per_1000_s) {
            throw std::invalid_argument{"limit out of range"};
        }
        return limit_notice{fields.at(0).get<std::uint64_t>(), read_stamp(fields.at(1)),
                            limit < 0 ? std::nullopt : std::optional{limit}};
    }
    default:
        throw std::invalid_argument{"unknown notice type"};
    }
}

share_notices read_notices(const json& list)
{
    share_notices message;
    for (const auto& notice : list) {
        message.notices.push_back(read_notice(notice));
    }
    return message;
}

std::size_t max_encoded_size(const fleet_notice& notice)
{
    constexpr std::size_t max_plain_fields = 6;
    std::size_t numbers = max_plain_fields;
    if (const auto* const crash = std::get_if<crash_notice>(&notice)) {
        for (const auto& prompt : crash->suspects) {
            numbers += 1 + prompt.size();
        }
    }
    return numbers * max_number_bytes;
}

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

std::int64_t read_version(const json& field)
{
    const auto version = field.get<std::int64_t>();
    if (version < 0) {
        throw std::invalid_argument{"version out of range"};
    }
    return version;
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
        return tokens_reserved{fields.at(0).get<std::uint64_t>(), read_code(fields.at(1)),
                               fields.size() > 2 ? std::optional{read_wait(fields.at(2))}
                                                 : std::nullopt};
    case 3:
        return end_reservation{fields.at(0).get<std::uint64_t>(),
                               fields.at(1).is_null() ? std::nullopt
                                                      : std::optional{read_tokens(fields.at(1))}};
    case 4:
        return reservation_ended{fields.at(0).get<std::uint64_t>()};
    case 5:
        return read_notices(fields.at(0));
    case 6:
        return compare_notices{fields.at(0).get<std::uint64_t>()};
    case 7:
        return announced_grant{fields.at(0).get<std::string>(), fields.at(1).get<std::string>(),
                               read_tokens(fields.at(2)), read_version(fields.at(3)),
                               read_version(fields.at(4))};
    default:
        throw std::invalid_argument{"unknown message type"};
    }
}
} // namespace

namespace
{
constexpr std::size_t max_batch_bytes = max_message_bytes - 64;

/// Splits a crash notice that is too long for a message: boards add up its parts.
std::vector<fleet_notice> split_notice(const fleet_notice& notice)
{
    const auto* const crash = std::get_if<crash_notice>(&notice);
    if (crash == nullptr || max_encoded_size(notice) <= max_batch_bytes) {
        return {notice};
    }
    std::vector<fleet_notice> pieces;
    crash_notice piece{crash->server, crash->reporter, crash->at, {}};
    for (const auto& prompt : crash->suspects) {
        piece.suspects.push_back(prompt);
        if (piece.suspects.size() > 1 && max_encoded_size(piece) > max_batch_bytes) {
            piece.suspects.pop_back();
            pieces.emplace_back(piece);
            piece.suspects = {prompt};
        }
    }
    pieces.emplace_back(std::move(piece));
    return pieces;
}
} // namespace

std::vector<share_notices> to_messages(const std::vector<fleet_notice>& notices)
{
    std::vector<share_notices> messages;
    std::size_t size = max_batch_bytes;
    for (const auto& notice : notices) {
        for (auto& piece : split_notice(notice)) {
            const auto added = max_encoded_size(piece);
            if (size + added > max_batch_bytes) {
                messages.emplace_back();
                size = 0;
            }
            size += added;
            messages.back().notices.push_back(std::move(piece));
        }
    }
    return messages;
}

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
