// A supervisor tree of duties: a thread for each, started in order, restarted after a failure, stopped in reverse.
#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <stop_token>
#include <string>
#include <vector>

#include <mangocourse/error.h>

namespace MangoCourse {

// A long-running piece of work. It returns when asked to stop; an error makes the supervisor start it again.
struct Duty {
    std::string name;
    std::function<Result<void>(std::stop_token)> run;
};

// One duty's record, for state dumps.
struct DutyReport {
    std::string name;
    bool running = false;
    int restarts = 0;
    std::string lastError;
};

// Restarts back off from `initialBackoff` to `maxBackoff`, so that a duty that cannot work does not spin.
class Supervisor
{
public:
    static Result<std::unique_ptr<Supervisor>> create(std::string name);
    ~Supervisor();
    Supervisor(const Supervisor &) = delete;
    Supervisor &operator=(const Supervisor &) = delete;

    // Starts a duty after all earlier ones. Calls after stop() are refused.
    Result<void> start(Duty duty);

    // Stops the duties, last started first, and waits for each.
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
