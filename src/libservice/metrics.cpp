// Metrics registry; histograms use Boost.Histogram.
#include "metrics.h"

#include <map>
#include <mutex>
#include <sstream>

#include <boost/histogram.hpp>

namespace MangoCourse {

namespace {

namespace bh = boost::histogram;
using LogAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = decltype(bh::make_histogram(LogAxis(1, 1.0, 2.0)));

constexpr unsigned histogramBins = 42;
constexpr double minBucketSeconds = 50e-6;
constexpr double maxBucketSeconds = 100.0;

std::string bracedLabels(const std::string &labels)
{
    return labels.empty() ? "" : "{" + labels + "}";
}

struct DurationSeries {
    Histogram histogram = bh::make_histogram(LogAxis(histogramBins, minBucketSeconds, maxBucketSeconds));
    double sum = 0;
};

// All time series of one metric name, by labels.
template<typename T>
struct Family {
    std::string help;
    std::map<std::string, T> series;
};

void writeHistogram(std::ostream &out, const std::string &name, const std::string &labels, const DurationSeries &series)
{
    const std::string separator = labels.empty() ? "" : ",";
    double total = series.histogram.at(-1);
    for (const auto &cell : bh::indexed(series.histogram)) {
        total += *cell;
        out << name << "_bucket{" << labels << separator << "le=\"" << cell.bin().upper() << "\"} " << total << "\n";
    }
    total += series.histogram.at(static_cast<int>(histogramBins));
    out << name << "_bucket{" << labels << separator << "le=\"+Inf\"} " << total << "\n";
    out << name << "_sum" << bracedLabels(labels) << " " << series.sum << "\n";
    out << name << "_count" << bracedLabels(labels) << " " << total << "\n";
}

}

class Metrics::Private
{
public:
    mutable std::mutex mutex;
    std::map<std::string, Family<std::uint64_t>> counters;
    std::map<std::string, Family<double>> gauges;
    std::map<std::string, Family<DurationSeries>> histograms;
};

Metrics::Metrics()
    : d(std::make_unique<Private>())
{
}

Metrics::~Metrics() = default;

void Metrics::add(const std::string &name, const std::string &help, const std::string &labels, std::uint64_t amount)
{
    const std::scoped_lock lock(this->d->mutex);
    Family<std::uint64_t> &family = this->d->counters[name];
    family.help = help;
    family.series[labels] += amount;
}

void Metrics::set(const std::string &name, const std::string &help, double value, const std::string &labels)
{
    const std::scoped_lock lock(this->d->mutex);
    Family<double> &family = this->d->gauges[name];
    family.help = help;
    family.series[labels] = value;
}

void Metrics::removeGauge(const std::string &name)
{
    const std::scoped_lock lock(this->d->mutex);
    this->d->gauges.erase(name);
}

void Metrics::observe(const std::string &name, const std::string &help, const std::string &labels, std::chrono::microseconds duration)
{
    const double seconds = std::chrono::duration<double>(duration).count();
    const std::scoped_lock lock(this->d->mutex);
    Family<DurationSeries> &family = this->d->histograms[name];
    family.help = help;
    DurationSeries &series = family.series[labels];
    series.histogram(seconds);
    series.sum += seconds;
}

std::string Metrics::toText() const
{
    const std::scoped_lock lock(this->d->mutex);
    std::ostringstream out;
    for (const auto &[name, family] : this->d->counters) {
        out << "# HELP " << name << " " << family.help << "\n# TYPE " << name << " counter\n";
        for (const auto &[labels, value] : family.series) {
            out << name << bracedLabels(labels) << " " << value << "\n";
        }
    }
    for (const auto &[name, family] : this->d->gauges) {
        out << "# HELP " << name << " " << family.help << "\n# TYPE " << name << " gauge\n";
        for (const auto &[labels, value] : family.series) {
            out << name << bracedLabels(labels) << " " << value << "\n";
        }
    }
    for (const auto &[name, family] : this->d->histograms) {
        out << "# HELP " << name << " " << family.help << "\n# TYPE " << name << " histogram\n";
        for (const auto &[labels, series] : family.series) {
            writeHistogram(out, name, labels, series);
        }
    }
    return out.str();
}

}
