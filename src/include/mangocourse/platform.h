// The platform's instance list and the acts it offers on instances, as the decisions see them.
#pragma once

#include <concepts>
#include <map>
#include <string_view>

#include <mangocourse/error.h>
#include <mangocourse/ids.h>

namespace MangoCourse {

// What the platform says an instance is doing. The list lags behind the truth.
enum class InstanceState {
    Live,
    Draining,
    Drained,
    Rebooting,
    Down,
};

// Returns the wire spelling, such as "draining".
std::string_view toString(InstanceState state);

// Returns the state of that name, or ErrorCode::Decode.
Result<InstanceState> parseInstanceState(std::string_view name);

// One line of the instance list. `token` is the fencing token of the last act, `lastRebootToken` that of the last finished reboot, `closedToken` the
// highest one under which no act can come any more: an undrain or a finished reboot closes its token.
struct ListedInstance {
    InstanceState state = InstanceState::Live;
    PoolId pool;
    Offset token = 0;
    Offset lastRebootToken = 0;
    Offset closedToken = 0;
};

using InstanceListing = std::map<InstanceId, ListedInstance>;

// Acts on one instance. Each carries the offset of the record that allows it; the platform refuses a token below the
// last one it saw, and a closed one, so a repeated or late call cannot do harm.
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
