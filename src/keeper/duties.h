// The duties of a keeper. Each runs on its own thread with blocking clients until stop is requested.
#pragma once

#include <stop_token>

#include "keeperstate.h"

namespace MangoCourse {

// Applies the records of the fleet stream. While the log is unreachable, pulls them from peers.
Result<void> followFleet(const std::stop_token &stop, KeeperState &state);

// Applies the records of this data centre's jobs stream to the job ledger.
Result<void> followLedger(const std::stop_token &stop, KeeperState &state);

// Long-polls the platform for changes of the instance listing.
Result<void> followListing(const std::stop_token &stop, KeeperState &state);

// Appends the submitted records to the log.
Result<void> appendRecords(const std::stop_token &stop, KeeperState &state);

// Plans and performs waves, moves and health reports, writes snapshots and releases expired claims.
Result<void> maintain(const std::stop_token &stop, KeeperState &state);

// Exchanges offset, settings revision and number of live gates with one other keeper at a time.
Result<void> exchangeWithPeers(const std::stop_token &stop, KeeperState &state);

}
