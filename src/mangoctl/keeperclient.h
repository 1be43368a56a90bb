// mangoctl's calls to keepers: the first one that answers is used.
#pragma once

#include <string>
#include <vector>

#include <mangocourse/fleetstate.h>

#include "httpclient.h"

namespace MangoCourse {

// The fate of one submitted record, in the keeper's words.
struct RecordResult {
    std::string id;
    std::string result;
    std::string reason;
    Offset offset = 0;
};

class KeeperClient
{
public:
    // Takes a comma-separated list of addresses.
    static Result<KeeperClient> create(const std::string &addresses, const std::string &token);

    Result<std::string> get(const std::string &target);
    Result<FleetState> fleet();

    // Returns the settings revision alone, without the whole fleet.
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
