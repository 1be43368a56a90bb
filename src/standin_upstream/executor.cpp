// HTTP behaviour of one stand-in executor.
#include "executor.h"

#include <cmath>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace MangoCourse {

namespace {

// New work later than this after the list showed the instance as leaving breaks a promise.
constexpr std::chrono::milliseconds lateNewWorkAfter{5000};
// True run times scatter around the declared ones: they are far off by design.
constexpr double runTimeSpread = 0.35;

std::string_view text(beast::string_view view)
{
    return {view.data(), view.size()};
}

HttpResponse refusal(const http::fields &request, bool leaving)
{
    HttpResponse response(http::status::service_unavailable, 11);
    response.set(http::field::retry_after, "0");
    response.set("X-Request-Id", request["X-Request-Id"]);
    response.keep_alive(!leaving);
    return response;
}

ServiceId serviceOf(std::string_view target)
{
    const auto slash = target.rfind('/');
    return ServiceId{std::string(target.substr(slash + 1))};
}

std::string hexDigest(const std::string &body)
{
    std::array<char, 17> digest{};
    std::snprintf(digest.data(), digest.size(), "%016llx", static_cast<unsigned long long>(XXH3_64bits(body.data(), body.size())));
    return digest.data();
}

}

Executor::Executor(net::io_context &context, const InstanceEntrySpec &spec, const FleetFile &fleet, RunRecorder &book)
    : context(context)
    , spec(spec)
    , fleet(fleet)
    , book(book)
    , acceptor(context)
    , random(XXH3_64bits(spec.instance.value.data(), spec.instance.value.size()))
{
}

Result<std::shared_ptr<Executor>> Executor::create(net::io_context &context, const InstanceEntrySpec &spec, const FleetFile &fleet, RunRecorder &book)
{
    auto executor = std::make_shared<Executor>(context, spec, fleet, book);
    if (!executor->listen()) {
        return makeError(ErrorCode::Unavailable, "cannot listen", spec.instance.value);
    }
    return executor;
}

bool Executor::listen()
{
    SystemErrorCode error;
    const tcp::endpoint wantedEndpoint(net::ip::make_address("127.0.0.1"), this->port);
    this->acceptor = tcp::acceptor(this->context);
    this->acceptor.open(wantedEndpoint.protocol(), error);
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    this->acceptor.bind(wantedEndpoint, error);
    if (!error) {
        this->acceptor.listen(net::socket_base::max_listen_connections, error);
    }
    if (error) {
        return false;
    }
    this->port = this->acceptor.local_endpoint().port();
    this->up = true;
    net::co_spawn(
        this->context,
        [self = this->shared_from_this()] {
            return self->accept();
        },
        net::detached);
    return true;
}

net::awaitable<void> Executor::accept()
{
    SystemErrorCode error;
    while (!error) {
        tcp::socket socket = co_await this->acceptor.async_accept(captureError(error));
        if (error || static_cast<int>(this->connections.size()) >= this->spec.spec.connections) {
            continue;
        }
        SystemErrorCode ignored;
        socket.set_option(tcp::no_delay(true), ignored);
        auto stream = std::make_shared<beast::tcp_stream>(std::move(socket));
        this->connections.insert(stream);
        net::co_spawn(
            this->context,
            [self = this->shared_from_this(), stream] {
                return self->serve(stream);
            },
            net::detached);
    }
}

bool Executor::refusesNewWork() const
{
    return this->wanted != DesiredState::Live;
}

std::chrono::microseconds Executor::runTime(const ServiceSpec *service)
{
    if (service == nullptr || service->runTime.count() == 0) {
        return {};
    }
    std::lognormal_distribution<double> spread(0.0, runTimeSpread);
    return std::chrono::microseconds(static_cast<std::int64_t>(std::chrono::microseconds(service->runTime).count() * spread(this->random)));
}

std::optional<HttpResponse> Executor::refuse(const http::fields &header)
{
    if (this->refusesNewWork()) {
        ++this->book.refusedLeaving;
        return refusal(header, true);
    }
    if (this->running >= this->spec.spec.slots) {
        ++this->book.refusedBusy;
        return refusal(header, false);
    }
    return std::nullopt;
}

void Executor::start(const http::fields &header, const ServiceSpec *service)
{
    const bool idempotent = service == nullptr || service->idempotent;
    this->book.countRun(std::string(text(header["X-Request-Id"])), std::string(text(header["Idempotency-Key"])), idempotent);
    if (this->leavingFor > lateNewWorkAfter) {
        ++this->book.lateNewWork;
    }
    ++this->running;
}

net::awaitable<HttpResponse> Executor::run(const HttpRequest &request, const ServiceSpec *service)
{
    HttpResponse response(this->failing ? http::status::internal_server_error : http::status::ok, 11);
    response.keep_alive(request.keep_alive());
    const std::string requestId(text(request["X-Request-Id"]));
    response.set("X-Request-Id", requestId);
    response.set(http::field::content_type, "application/json");
    if (this->failing) {
        co_return response;
    }
    const std::chrono::microseconds time = this->runTime(service);
    if (time.count() > 0) {
        SystemErrorCode error;
        net::steady_timer timer(this->context, time);
        co_await timer.async_wait(captureError(error));
    }
    response.body() = R"({"id":")" + requestId + R"(","digest":")" + hexDigest(request.body()) + "\"}";
    co_return response;
}

net::awaitable<bool> Executor::answerOne(beast::tcp_stream &stream, beast::flat_buffer &buffer)
{
    SystemErrorCode error;
    http::request_parser<http::string_body> parser;
    parser.body_limit(unlimitedBody);
    co_await http::async_read_header(stream, buffer, parser, captureError(error));
    if (error) {
        co_return false;
    }
    std::optional<HttpResponse> refused = this->refuse(parser.get());
    if (refused) {
        // A caller that did not wait for "100 Continue" is sending its body already: read past it where it is small.
        const bool isWaiting = parser.get()[http::field::expect] == "100-continue";
        if (!isWaiting) {
            co_await http::async_read(stream, buffer, parser, captureError(error));
        }
        refused->prepare_payload();
        co_await http::async_write(stream, *refused, captureError(error));
        co_return !error && refused->keep_alive();
    }
    const ServiceSpec *service = this->fleet.service(serviceOf(text(parser.get().target())));
    this->start(parser.get(), service);
    if (parser.get()[http::field::expect] == "100-continue") {
        http::response<http::empty_body> goOn(http::status::continue_, 11);
        co_await http::async_write(stream, goOn, captureError(error));
    }
    if (!error) {
        co_await http::async_read(stream, buffer, parser, captureError(error));
    }
    if (error) {
        --this->running;
        co_return false;
    }
    const HttpRequest request = parser.release();
    HttpResponse response = co_await this->run(request, service);
    response.prepare_payload();
    co_await http::async_write(stream, response, captureError(error));
    --this->running;
    co_return !error && response.keep_alive();
}

net::awaitable<void> Executor::serve(std::shared_ptr<beast::tcp_stream> stream)
{
    beast::flat_buffer buffer;
    while (co_await this->answerOne(*stream, buffer)) {
    }
    this->connections.erase(stream);
}

void Executor::goDown()
{
    SystemErrorCode error;
    this->up = false;
    this->acceptor.close(error);
    this->book.cut += static_cast<std::uint64_t>(this->running);
    for (const auto &stream : this->connections) {
        stream->socket().close(error);
    }
}

void Executor::setWanted(DesiredState state, std::chrono::milliseconds leaving)
{
    this->wanted = state;
    this->leavingFor = leaving;
    if (state == DesiredState::Down && this->up) {
        this->goDown();
    } else if (state != DesiredState::Down && !this->up) {
        this->listen();
    }
}

void Executor::setFailing(bool value)
{
    this->failing = value;
}

const InstanceId &Executor::id() const
{
    return this->spec.instance;
}

const PoolId &Executor::pool() const
{
    return this->spec.pool;
}

Endpoint Executor::endpoint() const
{
    return Endpoint{"127.0.0.1", this->port};
}

int Executor::inFlight() const
{
    return this->running;
}

bool Executor::isUp() const
{
    return this->up;
}

}
