// Client of the platform's service: streams of an append-only log, the instance list, and actions on instances.
#pragma once

#include <chrono>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <mangocourse/log.h>
#include <mangocourse/platform.h>
#include <mangocourse/processsettings.h>

namespace MangoCourse {

// An entry of the instance list with the instance's endpoint and the list version at which it last changed.
struct AddressedInstance {
    ListedInstance listed;
    Endpoint endpoint;
    std::int64_t version = 0;
};

// The changes of the instance list since a requested version, up to `version`.
struct ListingDelta {
    std::int64_t version = 0;
    std::map<InstanceId, AddressedInstance> changed;
};

// Blocking, and not thread-safe except for interrupt(); each duty has its own client. Satisfies the Log and Platform concepts.
class PlatformClient
{
public:
    static Result<std::unique_ptr<PlatformClient>> create(const Endpoint &endpoint);
    ~PlatformClient();

    // Appends all payloads in order. After Timeout they may have been appended; append them again, since duplicates are ignored when records are applied.
    Result<Offset> append(const std::string &stream, const std::vector<std::string> &payloads);

    // Reads up to `limit` records after an offset; waits up to `wait` for the first new record.
    Result<LogBatch> read(const std::string &stream, Offset after, int limit, std::chrono::milliseconds wait);

    // Reads the newest record of a stream; the batch is empty if there is none.
    Result<LogBatch> readNewest(const std::string &stream);

    // Reads the changes of the instance list since a version; waits up to `wait` for a change.
    Result<ListingDelta> listing(std::int64_t sinceVersion, std::chrono::milliseconds wait);

    Result<void> drain(const InstanceId &instance, Offset token);
    Result<void> undrain(const InstanceId &instance, Offset token);
    Result<void> reboot(const InstanceId &instance, Offset token);
    Result<void> relabel(const InstanceId &instance, Offset token, const PoolId &pool);

    // Makes the current call and every later one return Timeout. Thread-safe.
    void interrupt();

    static constexpr std::chrono::milliseconds callTimeout{3000};

private:
    class Private;
    explicit PlatformClient(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

static_assert(Log<PlatformClient>);
static_assert(Platform<PlatformClient>);

}
