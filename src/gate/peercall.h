// Calls the keeper from coroutines with Thrift messages over HTTP. Each call opens a new connection.
#pragma once

#include <mangocourse/processsettings.h>

#include "asiotypes.h"
#include "thriftcodec.h"

namespace MangoCourse {

// Posts the body and returns the response's body. Returns Unavailable if nothing was sent, Timeout if the request may have arrived, and Refused
// for any status other than 200.
net::awaitable<Result<std::string>> postToPeer(
    net::io_context &context, Endpoint endpoint, std::string token, std::string target, std::string body, std::chrono::milliseconds timeout);

// Posts a Thrift message and decodes the reply. Returns the errors of postToPeer() and of decoding.
template<typename Reply, typename Message>
net::awaitable<Result<Reply>> callPeer(
    net::io_context &context, Endpoint endpoint, std::string token, std::string target, Message message, std::chrono::milliseconds timeout)
{
    const Result<std::string> answer = co_await postToPeer(context, std::move(endpoint), std::move(token), std::move(target), toThrift(message), timeout);
    if (!answer) {
        co_return tl::unexpected(answer.error());
    }
    co_return fromThrift<Reply>(*answer);
}

}
