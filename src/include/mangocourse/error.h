// Error codes and the Result type that all functions of the library return if they can fail.
#pragma once

#include <string>

#include <tl/expected.hpp>

namespace MangoCourse {

// Kind of a failure, for callers that handle kinds differently.
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

// A failure with a readable message; `where` is the file, line, field or endpoint, or empty.
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

// Returns "where: message", or only the message if `where` is empty.
inline std::string describe(const Error &error)
{
    return error.where.empty() ? error.message : error.where + ": " + error.message;
}

}
