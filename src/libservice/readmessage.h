// Reading of whole HTTP messages.
#pragma once

#include <algorithm>

#include "asiotypes.h"

namespace MangoCourse {

// Reads a message into the parser and returns the bytes read. The buffer grows to the announced size of the body first: a buffer without room
// is filled 512 bytes at a time, each in a turn of its own of the event loop.
template<typename Stream, typename Parser>
net::awaitable<std::size_t> readMessage(Stream &stream, beast::flat_buffer &buffer, Parser &parser, SystemErrorCode &error)
{
    // Bytes taken from the socket at once, at most.
    constexpr std::uint64_t largestRead = 64 * 1024;
    std::size_t bytes = 0;
    // A body that comes with the header is taken in the same turn.
    parser.eager(true);
    while (!parser.is_header_done()) {
        bytes += co_await http::async_read_some(stream, buffer, parser, captureError(error));
        if (error) {
            co_return bytes;
        }
    }
    if (parser.is_done()) {
        co_return bytes;
    }
    const std::uint64_t announced = parser.content_length() ? *parser.content_length() : largestRead;
    buffer.reserve(static_cast<std::size_t>(std::min(announced, largestRead)));
    bytes += co_await http::async_read(stream, buffer, parser, captureError(error));
    co_return bytes;
}

}
