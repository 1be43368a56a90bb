// Counters and histograms of one process, written as Prometheus text.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace MangoCourse {

// Safe for concurrent use. Histograms are Boost.Histogram's, on a logarithmic axis from 50 us to 100 s.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    // Adds to a counter; `labels` is either empty or Prometheus text such as `class="counter"`.
    void add(const std::string &name, const std::string &help, const std::string &labels = {}, std::uint64_t amount = 1);

    // Sets a gauge.
    void set(const std::string &name, const std::string &help, double value);

    // Adds one time to a histogram in seconds.
    void observe(const std::string &name, const std::string &help, const std::string &labels, std::chrono::microseconds time);

    // Returns all of them in Prometheus' text format.
    std::string toText() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
