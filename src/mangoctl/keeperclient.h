// HTTP client for the operators' endpoints of the keepers. Each call goes to the first keeper that can be reached.
#pragma once

#include <string>
#include <vector>

#include <mangocourse/fleetstate.h>

#include "httpclient.h"

namespace MangoCourse {

// Outcome of one submitted record as the keeper reports it.
struct RecordResult {
    std::string id;
    std::string result;
    std::string reason;
    Offset offset = 0;
};

class KeeperClient
{
public:
    // Requires a comma-separated list of at least one HOST:PORT. Returns InvalidArgument if it is empty.
    static Result<KeeperClient> create(const std::string &addresses, const std::string &token);

    Result<std::string> get(const std::string &target);
    Result<FleetState> fleet();

    // Returns the settings revision without fetching the fleet state.
    Result<Revision> settingsRevision();
    Result<std::vector<RecordResult>> submit(const std::vector<Record> &records);

    const std::vector<Endpoint> &endpoints() const
    {
        return this->addresses;
    }

private:
    Result<std::string> call(http::verb method, const std::string &target, const std::string &body);

    std::vector<Endpoint> addresses;
    std::string token;
};

}
