// A gateway's view of the loads that the owners of pools publish.
#pragma once

#include <memory>
#include <optional>

#include <mangocourse/admission.h>

#include "eventlog.h"
#include "streamreader.h"

namespace MangoCourse {

// Follows the loads in the background while submissions come, at most every 250 ms.
class LoadView : public std::enable_shared_from_this<LoadView>
{
public:
    static std::shared_ptr<LoadView> create(net::io_context &context, RecordStore &store, EventLog &log);

    // Called for each submission; starts to follow the loads unless that is in progress. Does not wait for a read.
    void noteSubmission();
    // See AdmissionControl::decide(); `now` is in boot time.
    AdmissionDecision decide(const JobDemand &demand, TimePoint now);

private:
    LoadView(net::io_context &context, RecordStore &store, EventLog &log);
    net::awaitable<void> follow();
    void apply(const StoredRecord &record);

    net::io_context &context;
    EventLog &log;
    AdmissionControl control;
    StreamReader reader;
    // Time up to which the loads were known before the read in progress; nothing if that read delivers a snapshot.
    std::optional<TimePoint> knownUpTo;
    TimePoint lastSubmissionAt{};
    bool isFollowing = false;
    bool wasRead = true;
};

}
