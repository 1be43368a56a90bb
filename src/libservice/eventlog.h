// Rate-limited structured event log: one JSON object per line on standard output. Emitting an event does not block on output.
#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>

namespace MangoCourse {

// Value of a field. Strings are written quoted and escaped, numbers and booleans as they are. Strings are copied by emit().
using EventValue = std::variant<std::string_view, const char *, std::int64_t, double, bool>;

struct EventField {
    std::string_view name;
    EventValue value;
};

// Decides which events are dropped first under load. Refusals and losses are Essential, which have ten times the rate limit.
enum class EventPriority {
    Routine,
    Essential,
};

// Buffers lines for a writer thread, which gathers them and writes them together. Lines that do not fit into the buffer are dropped and counted.
class EventLog
{
public:
    // `routineLinesPerSecond` limits the routine lines of each event name.
    static std::unique_ptr<EventLog> create(std::string process, std::uint32_t routineLinesPerSecond);
    ~EventLog();

    void emit(std::string_view event, std::initializer_list<EventField> fields, EventPriority priority = EventPriority::Routine);

    // Returns the number of lines dropped so far.
    std::uint64_t suppressed() const;

    // Writes the buffered lines. Call before the process ends.
    void flush();

private:
    class Private;
    explicit EventLog(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

}
