// Runs the duties of a process, its long-running tasks: one thread each, restarted after a failure, stopped in reverse order.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <stop_token>
#include <string>
#include <vector>

#include <mangocourse/error.h>

namespace MangoCourse {

// A named task. `run` should return only once a stop is requested. After an error or an exception the supervisor restarts it; when it returns
// success, the duty ends.
struct Duty {
    std::string name;
    std::function<Result<void>(std::stop_token)> run;
};

// The state of one duty, for state dumps.
struct DutyReport {
    std::string name;
    bool running = false;
    int restarts = 0;
    std::string lastError;
};

// Restarts are delayed by an exponential back-off from `initialBackoff` to `maxBackoff`, so that a duty that keeps failing does not spin.
class Supervisor
{
public:
    // Creates a supervisor; `name` prefixes the names of its duties in reports.
    static Result<std::unique_ptr<Supervisor>> create(std::string name);
    ~Supervisor();
    Supervisor(const Supervisor &) = delete;
    Supervisor &operator=(const Supervisor &) = delete;

    // Starts a duty in a new thread. Returns Refused after stop().
    Result<void> start(Duty duty);

    // Stops the duties in reverse order of their start and waits for each one to return.
    void stop();

    std::vector<DutyReport> report() const;

    static constexpr std::chrono::milliseconds initialBackoff{50};
    static constexpr std::chrono::milliseconds maxBackoff{2000};

private:
    class Private;
    explicit Supervisor(std::unique_ptr<Private> impl);
    std::unique_ptr<Private> d;
};

}
