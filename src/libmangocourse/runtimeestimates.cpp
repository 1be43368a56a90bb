// Histograms of the ratio of run time to estimate.
#include <mangocourse/runtimeestimates.h>

#include <algorithm>
#include <bit>
#include <cmath>
#include <compare>
#include <string>

#include <boost/histogram.hpp>

namespace MangoCourse {

namespace {

using std::chrono::milliseconds;

// Bins are 12 % wide, which is finer than the spread of any kind of work.
constexpr unsigned binCount = 48;
// Observations are halved when a histogram holds this many.
constexpr double maxObservations = 400;
// A histogram with fewer observations tells nothing.
constexpr double minObservations = 20;
// The ratio of 1 that holds without observations counts as this many of them, and the mean is never smoothed more weakly than over `longestMean` runs.
constexpr double priorObservations = 5;
constexpr double longestMean = 50;
// What a previous owner learned counts as this many observations.
constexpr double seededObservations = 25;
// Bounds the memory; the shapes beyond are estimated by their queue.
constexpr std::size_t maxShapes = 512;

using Axis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
using Histogram = boost::histogram::histogram<std::tuple<Axis>, boost::histogram::dense_storage<double>>;

class RatioStatistics
{
public:
    double mean = 1.0;
    double observations = 0;
    // Weight of the mean before the first observation.
    double prior = priorObservations;

    void add(double ratio)
    {
        this->mean += (ratio - this->mean) / std::min(this->observations + this->prior, longestMean);
        if (this->observations >= maxObservations) {
            this->histogram *= 0.5;
            this->observations /= 2;
        }
        this->histogram(ratio);
        ++this->observations;
    }

    bool isKnown() const
    {
        return this->observations >= minObservations;
    }

    // Interpolates within the bin on the logarithmic scale.
    double quantile(double share) const
    {
        const Axis &axis = this->histogram.axis();
        double left = share * boost::histogram::algorithm::sum(this->histogram);
        for (int bin = 0; bin < axis.size(); ++bin) {
            const double count = this->histogram.at(bin);
            if (count > 0 && left <= count) {
                // The ends of the axis are not exact.
                return std::clamp(axis.value(bin + std::max(0.0, left) / count), minRunTimeRatio, maxRunTimeRatio);
            }
            left -= count;
        }
        return maxRunTimeRatio;
    }

private:
    Histogram histogram{Axis(binCount, minRunTimeRatio, maxRunTimeRatio)};
};

struct QueueStatistics {
    RatioStatistics observed;
    std::optional<RunTimeRatio> seeded;
};

// Steps whose demands and estimates are of the same power of two are alike.
struct StepShape {
    QueueId queue;
    std::string image;
    int cpu = 0;
    int memory = 0;
    int estimate = 0;

    auto operator<=>(const StepShape &) const = default; // NOLINT(modernize-use-nullptr)
};

int magnitude(std::int64_t value)
{
    return std::bit_width(static_cast<std::uint64_t>(std::max<std::int64_t>(0, value)));
}

StepShape shapeOf(const QueueId &queue, const StepSpec &step)
{
    return StepShape{queue, step.image, magnitude(step.resources.cpu), magnitude(step.resources.memory), magnitude(step.estimate.count())};
}

milliseconds scale(milliseconds estimate, double ratio)
{
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(estimate.count()) * ratio));
}

}

class RunTimeEstimates::Private
{
public:
    std::map<QueueId, QueueStatistics> queues;
    std::map<StepShape, RatioStatistics> shapes;

    const RatioStatistics *findKnown(const QueueId &queue, const StepSpec &step) const
    {
        const auto found = this->shapes.find(shapeOf(queue, step));
        return found != this->shapes.end() && found->second.isKnown() ? &found->second : nullptr;
    }
};

RunTimeEstimates::RunTimeEstimates()
    : d(std::make_unique<Private>())
{
}

RunTimeEstimates::~RunTimeEstimates() = default;

void RunTimeEstimates::add(const QueueId &queue, const StepSpec &step, milliseconds runTime)
{
    if (step.estimate <= milliseconds::zero()) {
        return;
    }
    const double exact = static_cast<double>(runTime.count()) / static_cast<double>(step.estimate.count());
    // The upper end of the axis belongs to the overflow.
    const double ratio = std::clamp(exact, minRunTimeRatio, maxRunTimeRatio * 0.999);
    this->d->queues[queue].observed.add(ratio);
    const StepShape shape = shapeOf(queue, step);
    if (this->d->shapes.contains(shape) || this->d->shapes.size() < maxShapes) {
        this->d->shapes[shape].add(ratio);
    }
}

void RunTimeEstimates::seed(const std::map<QueueId, RunTimeRatio> &ratios)
{
    for (const auto &[queue, ratio] : ratios) {
        QueueStatistics &known = this->d->queues[queue];
        if (known.observed.observations == 0) {
            known.seeded = ratio;
            known.observed.mean = std::clamp(ratio.mean, minRunTimeRatio, maxRunTimeRatio);
            known.observed.prior = seededObservations;
        }
    }
}

const double &RunTimeEstimates::queueRatio(const QueueId &queue)
{
    return this->d->queues[queue].observed.mean;
}

std::map<QueueId, RunTimeRatio> RunTimeEstimates::ratios() const
{
    std::map<QueueId, RunTimeRatio> result;
    for (const auto &[queue, known] : this->d->queues) {
        if (known.observed.isKnown()) {
            result[queue] = RunTimeRatio{known.observed.mean, known.observed.quantile(0.5)};
        } else if (known.seeded) {
            result[queue] = RunTimeRatio{known.observed.mean, known.seeded->median};
        } else if (known.observed.observations > 0) {
            // Too few for a median, and the prior holds the mean back.
            result[queue] = RunTimeRatio{known.observed.mean, std::min(1.0, known.observed.mean)};
        }
    }
    return result;
}

milliseconds RunTimeEstimates::expected(const QueueId &queue, const StepSpec &step) const
{
    if (const RatioStatistics *shape = this->d->findKnown(queue, step)) {
        return scale(step.estimate, shape->mean);
    }
    const auto found = this->d->queues.find(queue);
    return scale(step.estimate, found == this->d->queues.end() ? 1.0 : found->second.observed.mean);
}

std::optional<milliseconds> RunTimeEstimates::quantile(const QueueId &queue, const StepSpec &step, double share) const
{
    const RatioStatistics *shape = this->d->findKnown(queue, step);
    return shape == nullptr ? std::nullopt : std::optional(scale(step.estimate, shape->quantile(share)));
}

}
