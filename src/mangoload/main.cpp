// mangoload: generates open-loop or closed-loop load on gates and checks every answer.
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "caller.h"
#include "httpclient.h"
#include "tool.h"

DEFINE_string(gates, "", "addresses of the gates, comma-separated");
DEFINE_string(readiness, "", "admin addresses of the gates in the same order: sends only to ready gates, like the platform's load balancer");
DEFINE_string(fleet, "", "fleet file that names services and their load");
DEFINE_string(upstream, "", "control address of the stand-in upstream, asked which of the requests answered \"not run\" ran nevertheless");
DEFINE_string(mode, "open", "open: arrivals at the fleet file's rates; closed: as fast as --connections allow");
DEFINE_string(service, "", "closed mode: the service to call");
DEFINE_int32(connections, 16, "closed mode: requests in flight");
DEFINE_int32(body_bytes, 512, "closed mode: body size in bytes");
DEFINE_int32(seconds, 40, "length of the load in seconds");
DEFINE_double(scale, 1.0, "factor on every rate");
DEFINE_double(burst_seconds, 4.0, "length of each burst; 0 for none");
DEFINE_int32(large_bodies, 40, "open mode: requests with a body of 8 MiB, spread over the run");
DEFINE_uint64(seed, 1, "seed of arrivals and bodies");

namespace MangoCourse {

namespace {

using Steady = std::chrono::steady_clock;

constexpr double burstFactor = 5.0;
constexpr double lullFactor = 0.05;
constexpr std::size_t largeBodyBytes = 8 * 1024 * 1024;
constexpr std::chrono::seconds callTimeout{70};
constexpr std::size_t maxIdsPerQuery = 5000;
constexpr std::chrono::milliseconds readinessInterval{50};

// Generates the load of one run and collects its report.
class LoadGenerator
{
public:
    LoadGenerator(net::io_context &context, const FleetFile &fleet, std::vector<Endpoint> gates, std::vector<Endpoint> admins)
        : context(context)
        , fleet(fleet)
        , gates(std::move(gates))
        , admins(std::move(admins))
        , isGateReady(this->gates.size(), true)
        , pool(context)
        , random(FLAGS_seed)
        , started(Steady::now())
    {
    }

    void startOpen();
    void startClosed();
    LoadReport &report()
    {
        return this->loadReport;
    }

private:
    double rateFactorAt(std::size_t service, double elapsedSeconds) const;
    net::awaitable<void> generateArrivals(std::size_t service);
    net::awaitable<void> generateLargeArrivals();
    net::awaitable<void> runClosedLoopCaller(const ServiceSpec &service);
    net::awaitable<void> watchReadiness(std::size_t gate);
    const Endpoint &selectGate();
    LoadRequest makeRequest(const ServiceSpec &service, std::size_t bytes);
    double secondsSinceStart() const
    {
        return std::chrono::duration<double>(Steady::now() - this->started).count();
    }

    net::io_context &context;
    const FleetFile &fleet;
    std::vector<Endpoint> gates;
    std::vector<Endpoint> admins;
    std::vector<bool> isGateReady;
    CallerConnectionPool pool;
    std::mt19937_64 random;
    Steady::time_point started;
    LoadReport loadReport;
    std::uint64_t requestCount = 0;
    std::size_t nextGateIndex = 0;
};

// Returns the factor on a service's mean rate. Each service in turn has a burst of --burst_seconds at five times its mean rate, followed by as long a
// lull at a twentieth of it.
double LoadGenerator::rateFactorAt(std::size_t service, double elapsedSeconds) const
{
    if (FLAGS_burst_seconds <= 0) {
        return 1.0;
    }
    const double period = FLAGS_burst_seconds * static_cast<double>(this->fleet.services.size());
    const double begin = FLAGS_burst_seconds * static_cast<double>(service);
    const double phase = elapsedSeconds - period * static_cast<double>(static_cast<std::int64_t>(elapsedSeconds / period));
    if (phase >= begin && phase < begin + FLAGS_burst_seconds) {
        return burstFactor;
    }
    const double lullBegin = begin + FLAGS_burst_seconds;
    return phase >= lullBegin && phase < lullBegin + FLAGS_burst_seconds ? lullFactor : 1.0;
}

// Round robin over the ready gates, or over all gates if none is ready.
const Endpoint &LoadGenerator::selectGate()
{
    for (std::size_t tries = 0; tries < this->gates.size(); ++tries) {
        const std::size_t gate = this->nextGateIndex++ % this->gates.size();
        if (this->isGateReady[gate]) {
            return this->gates[gate];
        }
    }
    return this->gates[this->nextGateIndex++ % this->gates.size()];
}

net::awaitable<void> LoadGenerator::watchReadiness(std::size_t gate)
{
    net::steady_timer timer(this->context);
    while (this->secondsSinceStart() < FLAGS_seconds) {
        this->isGateReady[gate] = co_await isReady(this->context, this->admins[gate]);
        SystemErrorCode error;
        timer.expires_after(readinessInterval);
        co_await timer.async_wait(captureError(error));
    }
}

LoadRequest LoadGenerator::makeRequest(const ServiceSpec &service, std::size_t bytes)
{
    LoadRequest request;
    request.service = &service;
    ++this->requestCount;
    request.id = "load-" + std::to_string(FLAGS_seed) + "-" + std::to_string(this->requestCount);
    request.team = this->fleet.teams.empty() ? "default" : this->fleet.teams[this->requestCount % this->fleet.teams.size()].value;
    request.body = request.id;
    request.body.resize(std::max(bytes, request.id.size()), static_cast<char>('a' + this->random() % 26));
    request.target = this->selectGate();
    return request;
}

net::awaitable<void> LoadGenerator::generateArrivals(std::size_t index)
{
    const ServiceSpec &service = this->fleet.services[index];
    net::steady_timer timer(this->context);
    // Arrival times do not depend on the answers (open loop), so slow answers do not reduce the load.
    double dueSeconds = 0;
    while (dueSeconds < FLAGS_seconds) {
        const double rate = service.requestsPerSecond * FLAGS_scale * this->rateFactorAt(index, dueSeconds);
        std::exponential_distribution<double> interarrivalSeconds(std::max(rate, 0.01));
        dueSeconds += std::min(interarrivalSeconds(this->random), 1.0 + FLAGS_burst_seconds);
        SystemErrorCode error;
        timer.expires_at(this->started + std::chrono::microseconds(static_cast<std::int64_t>(dueSeconds * 1e6)));
        co_await timer.async_wait(captureError(error));
        LoadRequest request = this->makeRequest(service, static_cast<std::size_t>(service.bodyBytes));
        net::co_spawn(this->context, sendRequest(this->pool, this->loadReport, std::move(request), callTimeout), net::detached);
    }
}

net::awaitable<void> LoadGenerator::generateLargeArrivals()
{
    net::steady_timer timer(this->context);
    for (int number = 0; number < FLAGS_large_bodies; ++number) {
        const double dueSeconds = FLAGS_seconds * (number + 0.5) / FLAGS_large_bodies;
        SystemErrorCode error;
        timer.expires_at(this->started + std::chrono::microseconds(static_cast<std::int64_t>(dueSeconds * 1e6)));
        co_await timer.async_wait(captureError(error));
        LoadRequest request = this->makeRequest(this->fleet.services.front(), largeBodyBytes);
        net::co_spawn(this->context, sendRequest(this->pool, this->loadReport, std::move(request), callTimeout), net::detached);
    }
}

net::awaitable<void> LoadGenerator::runClosedLoopCaller(const ServiceSpec &service)
{
    while (this->secondsSinceStart() < FLAGS_seconds) {
        co_await sendRequest(this->pool, this->loadReport, this->makeRequest(service, static_cast<std::size_t>(FLAGS_body_bytes)), callTimeout);
    }
}

void LoadGenerator::startOpen()
{
    for (std::size_t index = 0; index < this->fleet.services.size(); ++index) {
        net::co_spawn(this->context, this->generateArrivals(index), net::detached);
    }
    net::co_spawn(this->context, this->generateLargeArrivals(), net::detached);
    for (std::size_t gate = 0; gate < this->admins.size() && gate < this->gates.size(); ++gate) {
        net::co_spawn(this->context, this->watchReadiness(gate), net::detached);
    }
}

void LoadGenerator::startClosed()
{
    const ServiceSpec *service = this->fleet.service(ServiceId{FLAGS_service});
    for (int number = 0; service != nullptr && number < FLAGS_connections; ++number) {
        net::co_spawn(this->context, this->runClosedLoopCaller(*service), net::detached);
    }
}

Result<std::vector<Endpoint>> parseEndpoints(const std::string &flag, const std::string &list)
{
    std::vector<Endpoint> endpoints;
    std::stringstream stream(list);
    std::string text;
    while (std::getline(stream, text, ',')) {
        const Result<Endpoint> endpoint = parseEndpoint(text);
        if (!endpoint) {
            return makeError(ErrorCode::InvalidArgument, endpoint.error().message, flag);
        }
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

std::int64_t countNotRunButRan(const LoadReport &report)
{
    const Result<Endpoint> endpoint = parseEndpoint(FLAGS_upstream);
    auto client = HttpClient::create(endpoint.value_or(Endpoint{}));
    std::int64_t ran = 0;
    for (std::size_t begin = 0; begin < report.notRunIds.size(); begin += maxIdsPerQuery) {
        const std::size_t end = std::min(begin + maxIdsPerQuery, report.notRunIds.size());
        const std::vector<std::string> ids(
            report.notRunIds.begin() + static_cast<std::ptrdiff_t>(begin), report.notRunIds.begin() + static_cast<std::ptrdiff_t>(end));
        const Result<std::string> answer = (*client)->call(http::verb::post, "/ran", nlohmann::json(ids).dump(), std::chrono::seconds(10));
        if (!answer) {
            std::cerr << describe(answer.error()) << "\n";
            return -1;
        }
        ran += nlohmann::json::parse(*answer).at("ran").get<std::int64_t>();
    }
    return ran;
}

int runLoad()
{
    const Result<FleetFile> fleet = readFleetFile(FLAGS_fleet);
    const Result<std::vector<Endpoint>> gates = parseEndpoints("--gates", FLAGS_gates);
    const Result<std::vector<Endpoint>> admins = parseEndpoints("--readiness", FLAGS_readiness);
    if (!fleet || !gates || !admins || gates->empty()) {
        std::cerr << (!fleet ? describe(fleet.error()) : "--gates needs at least one address, --readiness may have as many") << "\n";
        return ExitCode::badUsage;
    }
    if (FLAGS_mode == "closed" && fleet->service(ServiceId{FLAGS_service}) == nullptr) {
        std::cerr << "--service: found \"" << FLAGS_service << "\", allowed are services of " << FLAGS_fleet << "\n";
        return ExitCode::badUsage;
    }
    net::io_context context{1};
    LoadGenerator load(context, *fleet, *gates, *admins);
    if (FLAGS_mode == "closed") {
        load.startClosed();
    } else {
        load.startOpen();
    }
    const auto started = Steady::now();
    context.run();
    nlohmann::json json = toJson(load.report());
    json["seconds"] = std::chrono::duration<double>(Steady::now() - started).count();
    if (!FLAGS_upstream.empty()) {
        json["not_run_but_ran"] = countNotRunButRan(load.report());
    }
    std::cout << json.dump() << std::endl;
    return ExitCode::success;
}

}

}

int main(int argc, char **argv)
{
    MangoCourse::parseFlags(argc, argv,
        "--gates=LIST --fleet=FILE [flags]\n\nLoads gates and checks every answer; prints one JSON object.\n\n"
        "Examples:\n"
        "  mangoload --gates=127.0.0.1:8080,127.0.0.1:8090 --fleet=examples/kocka-znova/fleet.toml --seconds=40\n"
        "  mangoload --gates=127.0.0.1:8080 --fleet=fleet.toml --mode=closed --service=part-identification --connections=32");
    return MangoCourse::runLoad();
}
