// Typed errors and the result type that every fallible function of the library returns.
#pragma once

#include <string>

#include <tl/expected.hpp>

namespace MangoCourse {

// What kind of failure it was, for code that reacts to it.
enum class ErrorCode {
    InvalidArgument,
    InvalidConfig,
    Decode,
    NotFound,
    Conflict,
    Unavailable,
    Timeout,
    Refused,
    Gap,
};

// A failure with a message for people; `where` names the file, line, field or endpoint and may be empty.
struct Error {
    ErrorCode code = ErrorCode::InvalidArgument;
    std::string message;
    std::string where;
};

template<typename T>
using Result = tl::expected<T, Error>;

// Builds the error side of a Result.
inline tl::unexpected<Error> makeError(ErrorCode code, std::string message, std::string where = {})
{
    return tl::unexpected<Error>(Error{code, std::move(message), std::move(where)});
}

// Returns "where: message", or the message alone where the place is unknown.
inline std::string describe(const Error &error)
{
    return error.where.empty() ? error.message : error.where + ": " + error.message;
}

}
