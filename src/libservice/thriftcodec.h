// Thrift compact encoding of the messages between processes.
#pragma once

#include <memory>
#include <string>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <mangocourse/error.h>

#include "peer_types.h"

namespace MangoCourse {

// Returns the message in Thrift's compact form.
template<typename Message>
std::string toThrift(const Message &message)
{
    auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    message.write(&protocol);
    return buffer->getBufferAsString();
}

// Returns the message, or ErrorCode::Decode.
template<typename Message>
Result<Message> fromThrift(const std::string &bytes)
{
    using apache::thrift::transport::TMemoryBuffer;
    // The library reports bad input by exceptions; they end here.
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
