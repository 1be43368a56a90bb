// The platform's service as this project meets it: streams of an append-only log, the instance list, acts on instances.
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

// One line of the list with the instance's address.
struct AddressedInstance {
    ListedInstance listed;
    Endpoint endpoint;
    std::int64_t version = 0;
};

// The list at a version; `changed` holds the lines that changed after the version asked for.
struct ListingDelta {
    std::int64_t version = 0;
    std::map<InstanceId, AddressedInstance> changed;
};

// Blocking; each duty has its own. Satisfies the Platform concept.
class PlatformClient
{
public:
    static Result<std::unique_ptr<PlatformClient>> create(const Endpoint &endpoint);
    ~PlatformClient();

    // Appends all payloads in order. On Timeout they may have been appended: append them again, the fold drops the second ones.
    Result<Offset> append(const std::string &stream, const std::vector<std::string> &payloads);

    // Reads after an offset; waits up to `wait` for the first new record.
    Result<LogBatch> read(const std::string &stream, Offset after, int limit, std::chrono::milliseconds wait);

    // Reads the newest record of a stream, or none.
    Result<LogBatch> readNewest(const std::string &stream);

    // Reads what changed in the list; waits up to `wait` for a change.
    Result<ListingDelta> listing(std::int64_t sinceVersion, std::chrono::milliseconds wait);

    Result<void> drain(const InstanceId &instance, Offset token);
    Result<void> undrain(const InstanceId &instance, Offset token);
    Result<void> reboot(const InstanceId &instance, Offset token);
    Result<void> relabel(const InstanceId &instance, Offset token, const PoolId &pool);

    // Ends the current call and every later one. May be called from another thread.
    void interrupt();

    static constexpr std::chrono::milliseconds callLimit{3000};

private:
    class Private;
    explicit PlatformClient(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

static_assert(Log<PlatformClient>);
static_assert(Platform<PlatformClient>);

}
