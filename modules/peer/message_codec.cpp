#include "peer/message_codec.h"

#include <thrift/protocol/TCompactProtocol.h>

namespace jujubevalve
{

namespace
{
std::shared_ptr<thrift_memory> copy_to_memory(const std::string& payload)
{
    auto memory = std::make_shared<thrift_memory>();
    memory->write(reinterpret_cast<const std::uint8_t*>(payload.data()),
                  static_cast<std::uint32_t>(payload.size()));
    return memory;
}
} // namespace

std::shared_ptr<thrift_protocol> make_protocol(const std::shared_ptr<thrift_memory>& memory)
{
    return std::make_shared<apache::thrift::protocol::TCompactProtocol>(memory);
}

std::shared_ptr<thrift_protocol> make_protocol(const std::string& payload)
{
    return make_protocol(copy_to_memory(payload));
}

message_reader::message_reader(const std::string& payload)
    : protocol_{make_protocol(payload)}
{
    protocol_->readMessageBegin(name_, type_, call_id_);
}

} // namespace jujubevalve
