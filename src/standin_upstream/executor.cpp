// Implements a stand-in executor.
#include "executor.h"

#include <cmath>

#include <nlohmann/json.hpp>
#include <xxhash.h>

namespace MangoCourse {

namespace {

// Instances that the list has shown as leaving for longer than this must not receive new work.
constexpr std::chrono::milliseconds newWorkGrace{5000};
// Sigma of the log-normal factor between actual and declared run times. It is large on purpose: the system must not rely on declared times.
constexpr double runTimeSigma = 0.35;

std::string_view toStringView(beast::string_view view)
{
    return {view.data(), view.size()};
}

HttpResponse makeRefusal(const http::fields &request, bool isLeaving)
{
    HttpResponse response(http::status::service_unavailable, 11);
    response.set(http::field::retry_after, "0");
    response.set("X-Request-Id", request["X-Request-Id"]);
    response.keep_alive(!isLeaving);
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

Executor::Executor(net::io_context &context, const InstanceEntrySpec &spec, const FleetFile &fleet, RunRecorder &recorder)
    : context(context)
    , spec(spec)
    , fleet(fleet)
    , recorder(recorder)
    , acceptor(context)
    , random(XXH3_64bits(spec.instance.value.data(), spec.instance.value.size()))
{
}

Result<std::shared_ptr<Executor>> Executor::create(net::io_context &context, const InstanceEntrySpec &spec, const FleetFile &fleet, RunRecorder &recorder)
{
    auto executor = std::make_shared<Executor>(context, spec, fleet, recorder);
    if (!executor->listen()) {
        return makeError(ErrorCode::Unavailable, "cannot listen", spec.instance.value);
    }
    return executor;
}

bool Executor::listen()
{
    SystemErrorCode error;
    const tcp::endpoint listenEndpoint(net::ip::make_address("127.0.0.1"), this->port);
    this->acceptor = tcp::acceptor(this->context);
    this->acceptor.open(listenEndpoint.protocol(), error);
    this->acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    this->acceptor.bind(listenEndpoint, error);
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
            return self->acceptConnections();
        },
        net::detached);
    return true;
}

net::awaitable<void> Executor::acceptConnections()
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
                return self->serveConnection(stream);
            },
            net::detached);
    }
}

bool Executor::refusesNewWork() const
{
    return this->desiredState != DesiredState::Live;
}

std::chrono::microseconds Executor::sampleRunTime(const ServiceSpec *service)
{
    if (service == nullptr || service->runTime.count() == 0) {
        return {};
    }
    std::lognormal_distribution<double> factor(0.0, runTimeSigma);
    return std::chrono::microseconds(static_cast<std::int64_t>(std::chrono::microseconds(service->runTime).count() * factor(this->random)));
}

std::optional<HttpResponse> Executor::refuseIfUnavailable(const http::fields &header)
{
    if (this->refusesNewWork()) {
        ++this->recorder.refusedLeaving;
        return makeRefusal(header, true);
    }
    if (this->running >= this->spec.spec.slots) {
        ++this->recorder.refusedBusy;
        return makeRefusal(header, false);
    }
    return std::nullopt;
}

void Executor::beginRun(const http::fields &header, const ServiceSpec *service)
{
    const bool idempotent = service == nullptr || service->idempotent;
    this->recorder.recordRun(std::string(toStringView(header["X-Request-Id"])), std::string(toStringView(header["Idempotency-Key"])), idempotent);
    if (this->leavingFor > newWorkGrace) {
        ++this->recorder.lateNewWork;
    }
    ++this->running;
}

net::awaitable<HttpResponse> Executor::run(const HttpRequest &request, const ServiceSpec *service)
{
    HttpResponse response(this->failing ? http::status::internal_server_error : http::status::ok, 11);
    response.keep_alive(request.keep_alive());
    const std::string requestId(toStringView(request["X-Request-Id"]));
    response.set("X-Request-Id", requestId);
    response.set(http::field::content_type, "application/json");
    if (this->failing) {
        co_return response;
    }
    const std::chrono::microseconds time = this->sampleRunTime(service);
    if (time.count() > 0) {
        SystemErrorCode error;
        net::steady_timer timer(this->context, time);
        co_await timer.async_wait(captureError(error));
    }
    response.body() = R"({"id":")" + requestId + R"(","digest":")" + hexDigest(request.body()) + "\"}";
    co_return response;
}

net::awaitable<bool> Executor::serveRequest(beast::tcp_stream &stream, beast::flat_buffer &buffer)
{
    SystemErrorCode error;
    http::request_parser<http::string_body> parser;
    parser.body_limit(unlimitedBody);
    co_await http::async_read_header(stream, buffer, parser, captureError(error));
    if (error) {
        co_return false;
    }
    std::optional<HttpResponse> refusal = this->refuseIfUnavailable(parser.get());
    if (refusal) {
        // A caller that does not wait for "100 Continue" is already sending its body: read the body so that the connection stays usable.
        const bool isWaitingForContinue = parser.get()[http::field::expect] == "100-continue";
        if (!isWaitingForContinue) {
            co_await http::async_read(stream, buffer, parser, captureError(error));
        }
        refusal->prepare_payload();
        co_await http::async_write(stream, *refusal, captureError(error));
        co_return !error && refusal->keep_alive();
    }
    const ServiceSpec *service = this->fleet.service(serviceOf(toStringView(parser.get().target())));
    this->beginRun(parser.get(), service);
    if (parser.get()[http::field::expect] == "100-continue") {
        http::response<http::empty_body> continueResponse(http::status::continue_, 11);
        co_await http::async_write(stream, continueResponse, captureError(error));
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

net::awaitable<void> Executor::serveConnection(std::shared_ptr<beast::tcp_stream> stream)
{
    beast::flat_buffer buffer;
    while (co_await this->serveRequest(*stream, buffer)) {
    }
    this->connections.erase(stream);
}

void Executor::shutDown()
{
    SystemErrorCode error;
    this->up = false;
    this->acceptor.close(error);
    this->recorder.cut += static_cast<std::uint64_t>(this->running);
    for (const auto &stream : this->connections) {
        stream->socket().close(error);
    }
}

void Executor::setDesiredState(DesiredState state, std::chrono::milliseconds leavingDuration)
{
    this->desiredState = state;
    this->leavingFor = leavingDuration;
    if (state == DesiredState::Down && this->up) {
        this->shutDown();
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
