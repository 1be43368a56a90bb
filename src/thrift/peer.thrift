// Messages between mangocourse processes, sent as Thrift compact structs in HTTP bodies.
namespace cpp MangoCourse.Rpc

struct LogRecord { 1: i64 offset, 2: binary payload }
struct ListingEntry { 1: string instance, 2: string host, 3: i32 port, 4: string state, 5: i64 version }

// Long poll of a gate or keeper for fleet records after afterOffset and listing entries after listingVersion. The reply holds a snapshot instead
// of records if those are no longer buffered.
struct PullRequest { 1: string process, 2: string dataCentre, 3: string role, 4: i64 afterOffset, 5: i64 listingVersion, 6: i32 waitMs }
struct PullReply {
  1: list<LogRecord> records,
  2: list<ListingEntry> listing,
  3: i64 listingVersion,
  4: i32 liveGates,
  5: bool caughtUp,
  6: binary snapshot,
  7: i64 snapshotOffset,
  8: i64 endOffset
}

// Records to append to the jobs stream of the keeper's data centre, and the verdict on each.
struct SubmitRequest { 1: string stream, 2: list<binary> records, 3: i32 waitMs }
struct SubmitVerdict { 1: string id, 2: bool known, 3: bool accepted, 4: string reason, 5: i64 offset }
struct SubmitReply { 1: list<SubmitVerdict> verdicts }

// Claims waiting jobs for a gate. The offset of each claim is the fencing token of the job.
struct ClaimRequest { 1: string gate, 2: i32 maxJobs, 3: i32 waitMs }
struct ClaimedJob { 1: string job, 2: string serviceName, 3: string team, 4: binary payload, 5: i64 claim, 6: i32 leaseMs, 7: bool idempotent }
struct ClaimReply { 1: list<ClaimedJob> jobs }

// State of one job, by the id TEAM:KEY that contains its idempotency key.
struct JobQuery { 1: string job, 2: i32 waitMs }
struct JobView { 1: bool known, 2: string state, 3: i64 claim, 4: string holder, 5: i32 status, 6: binary outcome, 7: string reason }

// Status that keepers exchange.
struct PeerStatus { 1: string process, 2: string dataCentre, 3: i64 offset, 4: i64 revision, 5: i32 liveGates }
