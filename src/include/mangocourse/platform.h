// The platform's instance list and its operations on instances.
#pragma once

#include <concepts>
#include <map>
#include <string_view>

#include <mangocourse/error.h>
#include <mangocourse/ids.h>

namespace MangoCourse {

// State of an instance in the platform's list, which lags behind the real state.
enum class InstanceState {
    Live,
    Draining,
    Drained,
    Rebooting,
    Down,
};

// Returns the wire name, such as "draining".
std::string_view toString(InstanceState state);

// Parses a wire name, or returns ErrorCode::Decode.
Result<InstanceState> parseInstanceState(std::string_view name);

// One entry of the instance list. `token` is the fencing token of the last operation, `lastRebootToken` that of the last finished reboot.
// The platform refuses every further operation with a token up to `closedToken`: an undrain or a finished reboot closes its token.
struct ListedInstance {
    InstanceState state = InstanceState::Live;
    PoolId pool;
    Offset token = 0;
    Offset lastRebootToken = 0;
    Offset closedToken = 0;
};

using InstanceListing = std::map<InstanceId, ListedInstance>;

// Operations on one instance. The fencing token is the offset of the record that allows the operation. The platform refuses a token that is
// lower than the last one it received, and a closed one, so that repeated and late calls are harmless.
template<typename T>
concept Platform = requires(T platform, const InstanceId &instance, Offset token, const PoolId &pool)
{
    {
        platform.drain(instance, token)
        } -> std::same_as<Result<void>>;
    {
        platform.undrain(instance, token)
        } -> std::same_as<Result<void>>;
    {
        platform.reboot(instance, token)
        } -> std::same_as<Result<void>>;
    {
        platform.relabel(instance, token, pool)
        } -> std::same_as<Result<void>>;
};

}
