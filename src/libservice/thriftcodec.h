// Encodes messages between processes in the Thrift compact protocol.
#pragma once

#include <memory>
#include <string>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <mangocourse/error.h>

#include "peer_types.h"

namespace MangoCourse {

// Returns the message encoded in the Thrift compact protocol.
template<typename Message>
std::string toThrift(const Message &message)
{
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

// Returns the decoded message, or ErrorCode::Decode.
template<typename Message>
Result<Message> fromThrift(const std::string &bytes)
{
    using apache::thrift::transport::TMemoryBuffer;
    // Thrift reports invalid input by exceptions.
    try {
        auto buffer = std::make_shared<TMemoryBuffer>(
            reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data())), static_cast<std::uint32_t>(bytes.size()), TMemoryBuffer::OBSERVE);
        apache::thrift::protocol::TCompactProtocol protocol(buffer);
        Message message;
        message.read(&protocol);
        return message;
    } catch (const std::exception &exception) {
        return makeError(ErrorCode::Decode, exception.what(), "peer message");
    }
}

}
