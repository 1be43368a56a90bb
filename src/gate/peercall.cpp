// Calls the keeper over HTTP from coroutines.
#include "peercall.h"

#include "controltraffic.h"

namespace MangoCourse {

net::awaitable<Result<std::string>> postToPeer(
    net::io_context &context, Endpoint endpoint, std::string token, std::string target, std::string body, std::chrono::milliseconds timeout)
{
    SystemErrorCode error;
    beast::tcp_stream stream(context);
    stream.expires_after(timeout);
    const auto address = net::ip::make_address(endpoint.host, error);
    co_await stream.async_connect(tcp::endpoint(address, endpoint.port), captureError(error));
    if (error) {
        co_return makeError(ErrorCode::Unavailable, "cannot connect: " + error.message(), toString(endpoint));
    }
    HttpRequest request(http::verb::post, target, 11);
    request.set(http::field::host, toString(endpoint));
    request.set(http::field::authorization, "Bearer " + token);
    request.body() = std::move(body);
    request.keep_alive(false);
    request.prepare_payload();
    controlTraffic().sent += co_await http::async_write(stream, request, captureError(error));
    HttpResponse response;
    beast::flat_buffer buffer;
    if (!error) {
        controlTraffic().received += co_await http::async_read(stream, buffer, response, captureError(error));
    }
    if (error) {
        co_return makeError(ErrorCode::Timeout, "no answer: " + error.message(), toString(endpoint));
    }
    if (response.result() != http::status::ok) {
        co_return makeError(ErrorCode::Refused, std::to_string(response.result_int()), toString(endpoint) + target);
    }
    co_return std::move(response.body());
}

}
