// Calls from coroutines to the keeper: Thrift over HTTP, a fresh connection each.
#pragma once

#include <mangocourse/processsettings.h>

#include "asiotypes.h"
#include "thriftcodec.h"

namespace MangoCourse {

// Posts bytes and returns the answer's body; Unavailable where nothing was sent, Timeout where it may have arrived.
net::awaitable<Result<std::string>> postToPeer(
    net::io_context &context, Endpoint endpoint, std::string token, std::string target, std::string body, std::chrono::milliseconds limit);

// The same with Thrift messages.
template<typename Reply, typename Message>
net::awaitable<Result<Reply>> callPeer(
    net::io_context &context, Endpoint endpoint, std::string token, std::string target, Message message, std::chrono::milliseconds limit)
{
    const Result<std::string> answer = co_await postToPeer(context, std::move(endpoint), std::move(token), std::move(target), toThrift(message), limit);
    if (!answer) {
        co_return tl::unexpected(answer.error());
    }
    co_return fromThrift<Reply>(*answer);
}

}
