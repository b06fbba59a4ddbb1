#include "peer/traffic_counts.h"

#include "peer/message_codec.h"

namespace jujubevalve
{

namespace
{
bool is_control(std::string_view message)
{
    return message != message_traits<wire::forward_request>::name;
}
} // namespace

traffic_counts::traffic_counts(counters& counts)
    : frames_sent_{counts.at("peer_frames_sent")}
    , frames_received_{counts.at("peer_frames_received")}
    , bytes_sent_{counts.at("peer_bytes_sent")}
    , bytes_received_{counts.at("peer_bytes_received")}
    , control_sent_{counts.at("peer_control_bytes_sent")}
    , control_received_{counts.at("peer_control_bytes_received")}
{
}

void traffic_counts::sent(std::string_view message, std::size_t bytes)
{
    const auto size = static_cast<std::int64_t>(bytes);
    ++frames_sent_;
    bytes_sent_ += size;
    if (is_control(message)) {
        control_sent_ += size;
    }
}

void traffic_counts::received(std::string_view message, std::size_t bytes)
{
    const auto size = static_cast<std::int64_t>(bytes);
    ++frames_received_;
    bytes_received_ += size;
    if (is_control(message)) {
        control_received_ += size;
    }
}

} // namespace jujubevalve
