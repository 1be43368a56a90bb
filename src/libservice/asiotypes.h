// Namespace aliases for Asio and Beast, and the HTTP message types of control traffic.
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

// Beast 1.74 treats boost::none as the smallest body limit when it compares, so the largest number stands for "no limit".
inline constexpr std::uint64_t unlimitedBody = std::numeric_limits<std::uint64_t>::max();

// Returns a completion token for co_await that stores the error code in `error` instead of throwing.
inline auto captureError(SystemErrorCode &error)
{
    return net::redirect_error(net::use_awaitable, error);
}

}
