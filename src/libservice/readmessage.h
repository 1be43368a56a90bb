// Reads complete HTTP messages.
#pragma once

#include <algorithm>

#include "asiotypes.h"

namespace MangoCourse {

// Reads a message into the parser and returns the number of bytes read. The buffer is first grown to the expected size of the body: Beast fills a
// buffer without spare capacity 512 bytes at a time, each in a separate event loop iteration.
template<typename Stream, typename Parser>
net::awaitable<std::size_t> readMessage(Stream &stream, beast::flat_buffer &buffer, Parser &parser, SystemErrorCode &error)
{
    // Bounds the buffer, and so the bytes taken from the socket at once.
    constexpr std::uint64_t maxReadBytes = 64 * 1024;
    std::size_t bytes = 0;
    // Parses a body that arrives with the header in the same event loop iteration.
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
    const std::uint64_t expectedBytes = parser.content_length() ? *parser.content_length() : maxReadBytes;
    buffer.reserve(static_cast<std::size_t>(std::min(expectedBytes, maxReadBytes)));
    bytes += co_await http::async_read(stream, buffer, parser, captureError(error));
    co_return bytes;
}

}
