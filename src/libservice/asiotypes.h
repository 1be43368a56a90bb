// Short names for Asio and Beast, and the typed request and response of the control side.
#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <utility>

#include <boost/asio.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace MangoCourse {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = net::ip::tcp;
using SystemErrorCode = boost::system::error_code;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

// Beast 1.74 compares against boost::none as the smallest limit, so "no limit" is the largest number.
inline constexpr std::uint64_t unlimitedBody = std::numeric_limits<std::uint64_t>::max();

// Completion token that gives an error code instead of an exception.
inline auto captureError(SystemErrorCode &error)
{
    return net::redirect_error(net::use_awaitable, error);
}

}
