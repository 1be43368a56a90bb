// Counters, gauges and histograms of one process, exported in Prometheus text format.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace MangoCourse {

// Thread-safe. Histograms have logarithmic buckets from 50 us to 100 s.
class Metrics
{
public:
    Metrics();
    ~Metrics();

    // Adds to a counter. `help` is the description in the export. `labels` is empty or in Prometheus syntax, such as `class="counter"`.
    void add(const std::string &name, const std::string &help, const std::string &labels = {}, std::uint64_t amount = 1);

    // Sets a gauge; see add() for the labels.
    void set(const std::string &name, const std::string &help, double value, const std::string &labels = {});
    // Removes the gauge with all its labels.
    void removeGauge(const std::string &name);

    // Records one duration in a histogram, which is exported in seconds.
    void observe(const std::string &name, const std::string &help, const std::string &labels, std::chrono::microseconds duration);

    // Returns all metrics in Prometheus text format.
    std::string toText() const;

private:
    class Private;
    std::unique_ptr<Private> d;
};

}
