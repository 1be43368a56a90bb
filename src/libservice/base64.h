// Base64 encoding of binary data for JSON.
#pragma once

#include <string>

#include <boost/archive/iterators/base64_from_binary.hpp>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>

namespace MangoCourse {

// Returns the unpadded base64 text of the bytes.
inline std::string toBase64(const std::string &bytes)
{
    using namespace boost::archive::iterators;
    using Encoder = base64_from_binary<transform_width<std::string::const_iterator, 6, 8>>;
    return std::string(Encoder(bytes.begin()), Encoder(bytes.end()));
}

// Decodes base64 text with or without padding. Throws a Boost.Serialization exception on a character outside the alphabet.
inline std::string fromBase64(std::string text)
{
    using namespace boost::archive::iterators;
    using Decoder = transform_width<binary_from_base64<std::string::const_iterator>, 8, 6>;
    text.erase(text.find_last_not_of('=') + 1);
    std::string bytes;
    const std::size_t size = text.size() * 6 / 8;
    Decoder decoder(text.begin());
    for (std::size_t index = 0; index < size; ++index) {
        bytes.push_back(*decoder);
        ++decoder;
    }
    return bytes;
}

}
