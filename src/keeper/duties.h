// The duties of a keeper that work on their own threads with blocking clients.
#pragma once

#include <stop_token>

#include "keeperstate.h"

namespace MangoCourse {

// Folds the fleet stream; while the log is unreachable it takes records from peers.
Result<void> followFleet(const std::stop_token &stop, KeeperState &state);

// Folds this data centre's jobs stream.
Result<void> followLedger(const std::stop_token &stop, KeeperState &state);

// Keeps the instance list.
Result<void> followListing(const std::stop_token &stop, KeeperState &state);

// Appends what was submitted.
Result<void> appendRecords(const std::stop_token &stop, KeeperState &state);

// Plans and performs waves, moves and health reports; writes snapshots; ends lapsed claims.
Result<void> maintain(const std::stop_token &stop, KeeperState &state);

// Tells the other keepers how far this one is.
Result<void> exchangeWithPeers(const std::stop_token &stop, KeeperState &state);

}
