// Keeps retries a bounded share of the traffic, so that failures cannot multiply load.
#pragma once

#include <algorithm>

namespace MangoCourse {

// A token bucket that requests fill and retries empty.
class RetryBudget
{
public:
    // Sets the retries allowed per hundred requests.
    void setPercent(int percent)
    {
        this->depositPerRequest = percent / 100.0;
    }

    // Counts a first attempt.
    void countRequest()
    {
        this->tokens = std::min(maxTokens, this->tokens + this->depositPerRequest);
    }

    // Returns true and takes a token where a retry is allowed.
    [[nodiscard]] bool tryTake()
    {
        if (this->tokens < 1.0) {
            return false;
        }
        this->tokens -= 1.0;
        return true;
    }

private:
    // Enough for a burst of refusals while an instance leaves; far below a retry storm.
    static constexpr double maxTokens = 50.0;

    double depositPerRequest = 0.1;
    double tokens = 10.0;
};

}
