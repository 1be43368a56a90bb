// Strongly typed identifiers, so that a pool's name cannot be passed as an instance's name.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace MangoCourse {

// An identifier of the kind given by Tag; empty means "none".
template<typename Tag>
struct Id {
    std::string value;

    // clang-tidy 14 mistakes the defaulted comparison for a null pointer.
    auto operator<=>(const Id &) const = default; // NOLINT(modernize-use-nullptr)
    bool isEmpty() const
    {
        return this->value.empty();
    }
};

using InstanceId = Id<struct InstanceTag>;
using PoolId = Id<struct PoolTag>;
using DataCentreId = Id<struct DataCentreTag>;
using RackId = Id<struct RackTag>;
using ServiceId = Id<struct ServiceTag>;
using TeamId = Id<struct TeamTag>;
using WaveId = Id<struct WaveTag>;
using JobId = Id<struct JobTag>;
using RecordId = Id<struct RecordTag>;
using ProcessId = Id<struct ProcessTag>;

// A position in a stream of the platform's log. The first record is at 1; 0 means "before the first record".
using Offset = std::int64_t;

// The number of accepted settings changes. Within a process it never decreases.
using Revision = std::int64_t;

}

template<typename Tag>
struct std::hash<MangoCourse::Id<Tag>> {
    std::size_t operator()(const MangoCourse::Id<Tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.value);
    }
};
