// Limits retries to a share of the requests, so that failures do not multiply the load.
#pragma once

#include <algorithm>

namespace MangoCourse {

// A token bucket to which each request adds a fraction of a token; a retry takes a whole one.
class RetryBudget
{
public:
    // Sets the number of retries allowed per hundred requests.
    void setPercent(int percent)
    {
        this->depositPerRequest = percent / 100.0;
    }

    // Counts a first attempt.
    void countRequest()
    {
        this->tokens = std::min(maxTokens, this->tokens + this->depositPerRequest);
    }

    // Takes a token and returns true when a retry is allowed.
    [[nodiscard]] bool tryTake()
    {
        if (this->tokens < 1.0) {
            return false;
        }
        this->tokens -= 1.0;
        return true;
    }

private:
    // Covers a burst of refusals while an instance leaves, and stays far below a retry storm.
    static constexpr double maxTokens = 50.0;

    double depositPerRequest = 0.1;
    double tokens = 10.0;
};

}
