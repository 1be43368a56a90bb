// HTTP server on a loopback port for tests: a handler decides the fate of each request.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>

#include <mangocourse/processsettings.h>

#include "asiotypes.h"
#include "readmessage.h"

namespace MangoCourse {

struct LoopbackReply {
    HttpResponse response;
    // Sent after the response on the same connection.
    std::string trailingBytes = {};
    // Time from the request to the response.
    std::chrono::milliseconds answersAfter = {};
    // Time until the server closes the connection after the response.
    std::optional<std::chrono::milliseconds> closesAfter = {};
};

class LoopbackServer
{
public:
    // Returns nothing to close the connection without an answer. Requests of a connection are numbered from 1.
    using Handler = std::function<std::optional<LoopbackReply>(const HttpRequest &request, int numberOnConnection)>;

    LoopbackServer(net::io_context &context, Handler handler)
        : state(std::make_shared<State>(State{tcp::acceptor(context, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0)), std::move(handler)}))
        , address{"127.0.0.1", this->state->acceptor.local_endpoint().port()}
    {
        net::co_spawn(context, accept(this->state), net::detached);
    }

    ~LoopbackServer()
    {
        this->stopAccepting();
    }

    // Refuses further connections. Runs on the server's io_context, or before or after that runs.
    void stopAccepting()
    {
        SystemErrorCode ignored;
        this->state->acceptor.close(ignored);
    }

    Endpoint endpoint() const
    {
        return this->address;
    }

    int connections() const
    {
        return this->state->connections;
    }

private:
    struct State {
        tcp::acceptor acceptor;
        Handler handler;
        int connections = 0;
    };

    static net::awaitable<void> accept(std::shared_ptr<State> state)
    {
        while (true) {
            SystemErrorCode error;
            tcp::socket socket = co_await state->acceptor.async_accept(captureError(error));
            if (error) {
                co_return;
            }
            ++state->connections;
            net::co_spawn(state->acceptor.get_executor(), serve(state, std::move(socket)), net::detached);
        }
    }

    static net::awaitable<void> serve(std::shared_ptr<State> state, tcp::socket socket)
    {
        SystemErrorCode error;
        beast::flat_buffer buffer;
        for (int number = 1;; ++number) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(unlimitedBody);
            co_await readMessage(socket, buffer, parser, error);
            if (error) {
                co_return;
            }
            const HttpRequest request = parser.release();
            std::optional<LoopbackReply> reply = state->handler(request, number);
            if (!reply) {
                co_return;
            }
            if (reply->answersAfter > std::chrono::milliseconds::zero()) {
                net::steady_timer delay(socket.get_executor(), reply->answersAfter);
                co_await delay.async_wait(captureError(error));
            }
            reply->response.prepare_payload();
            std::ostringstream text;
            text << reply->response;
            const std::string bytes = text.str() + reply->trailingBytes;
            co_await net::async_write(socket, net::buffer(bytes), captureError(error));
            if (error) {
                co_return;
            }
            if (reply->closesAfter) {
                net::steady_timer timer(socket.get_executor(), *reply->closesAfter);
                co_await timer.async_wait(captureError(error));
                co_return;
            }
        }
    }

    std::shared_ptr<State> state;
    Endpoint address;
};

// Runs a server on a thread of its own, for clients that block.
class BackgroundServer
{
public:
    explicit BackgroundServer(LoopbackServer::Handler handler)
        : server(context, std::move(handler))
        , thread([this] {
            this->context.run();
        })
    {
    }

    ~BackgroundServer()
    {
        this->context.stop();
        this->thread.join();
    }

    net::io_context context;
    LoopbackServer server;

private:
    std::thread thread;
};

inline LoopbackReply loopbackReply(unsigned status, std::string body = {})
{
    HttpResponse response(static_cast<http::status>(status), 11);
    response.body() = std::move(body);
    return LoopbackReply{std::move(response)};
}

}
