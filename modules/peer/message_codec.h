#pragma once

#include <peer_types.h>

#include <cstdint>
#include <memory>
#include <string>
#include <thrift/protocol/TProtocol.h>
#include <thrift/transport/TBufferTransports.h>

namespace jujubevalve
{

/// Wire name and reply type of each request.
template <class Request>
struct message_traits;

template <>
struct message_traits<wire::gossip> {
    static constexpr const char* name = "gossip";
    using reply = wire::gossip;
};
template <>
struct message_traits<wire::config_request> {
    static constexpr const char* name = "config";
    using reply = wire::config_reply;
};
template <>
struct message_traits<wire::forward_request> {
    static constexpr const char* name = "forward";
    using reply = wire::forward_reply;
};
template <>
struct message_traits<wire::transfer_request> {
    static constexpr const char* name = "request_transfer";
    using reply = wire::transfer_reply;
};
template <>
struct message_traits<wire::transfer_offer> {
    static constexpr const char* name = "offer_transfer";
    using reply = wire::transfer_ack;
};
template <>
struct message_traits<wire::received_query> {
    static constexpr const char* name = "query_received";
    using reply = wire::received_reply;
};

using message_type = apache::thrift::protocol::TMessageType;

using thrift_memory = apache::thrift::transport::TMemoryBuffer;
using thrift_protocol = apache::thrift::protocol::TProtocol;

/// Returns a compact protocol on a memory buffer, or on a copy of a payload.
std::shared_ptr<thrift_protocol> make_protocol(const std::shared_ptr<thrift_memory>& memory);
std::shared_ptr<thrift_protocol> make_protocol(const std::string& payload);

/// Serializes a struct without a message envelope.
template <class Body>
std::string encode(const Body& body)
{
    const auto memory = std::make_shared<thrift_memory>();
    body.write(make_protocol(memory).get());
    return memory->getBufferAsString();
}

/// Serializes a struct in a Thrift message envelope with the call id as sequence number.
template <class Body>
std::string encode(const char* name, message_type type, std::int32_t call_id, const Body& body)
{
    const auto memory = std::make_shared<thrift_memory>();
    const auto protocol = make_protocol(memory);
    protocol->writeMessageBegin(name, type, call_id);
    body.write(protocol.get());
    protocol->writeMessageEnd();
    return memory->getBufferAsString();
}

/// Deserializes a struct without a message envelope. Throws apache::thrift::TException if it is
/// malformed.
template <class Body>
Body decode(const std::string& payload)
{
    Body body;
    body.read(make_protocol(payload).get());
    return body;
}

/// Reads a message: the envelope on construction, then the body of the type that name() implies.
class message_reader
{
public:
    /// Reads the envelope. Throws apache::thrift::TException if it is malformed.
    explicit message_reader(const std::string& payload);

    [[nodiscard]] const std::string& name() const { return name_; }
    [[nodiscard]] message_type type() const { return type_; }
    [[nodiscard]] std::int32_t call_id() const { return call_id_; }

    /// Reads the body. Throws apache::thrift::TException if it is malformed.
    template <class Body>
    Body body()
    {
        Body body;
        body.read(protocol_.get());
        return body;
    }

private:
    std::shared_ptr<thrift_protocol> protocol_;
    std::string name_;
    message_type type_{apache::thrift::protocol::T_CALL};
    std::int32_t call_id_{0};
};

} // namespace jujubevalve
