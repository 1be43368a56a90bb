// Weighted linear regression of logarithms.
#include <mangocourse/estimatecorrection.h>

#include <algorithm>
#include <cmath>

namespace MangoCourse {

namespace {

// Share of its weight that an observation loses with each later one: about the last 500 count.
constexpr double decay = 0.002;
// Weight of the assumption that estimates are right, in observations, and the variance of logarithms that it assumes.
constexpr double priorWeight = 12.0;
constexpr double priorVariance = 0.25;
// A run time is expected to be within this factor of its estimate.
constexpr double maxFactor = 20.0;

}

void EstimateCorrection::add(std::chrono::milliseconds estimate, std::chrono::milliseconds actual)
{
    if (estimate.count() <= 0 || actual.count() <= 0) {
        return;
    }
    const double x = std::log(static_cast<double>(estimate.count()));
    const double y = std::log(static_cast<double>(actual.count()));
    for (double *sum : {&this->weight, &this->sumEstimate, &this->sumActual, &this->sumEstimateSquared, &this->sumProduct, &this->sumActualSquared}) {
        *sum *= 1.0 - decay;
    }
    this->weight += 1.0;
    this->sumEstimate += x;
    this->sumActual += y;
    this->sumEstimateSquared += x * x;
    this->sumProduct += x * y;
    this->sumActualSquared += y * y;
}

std::chrono::milliseconds EstimateCorrection::expected(std::chrono::milliseconds estimate) const
{
    if (estimate.count() <= 0) {
        return std::chrono::milliseconds::zero();
    }
    if (this->weight <= 0.0) {
        return estimate;
    }
    const double x = std::log(static_cast<double>(estimate.count()));
    const double meanEstimate = this->sumEstimate / this->weight;
    const double meanActual = this->sumActual / this->weight;
    const double variance = std::max(0.0, this->sumEstimateSquared - this->weight * meanEstimate * meanEstimate);
    const double covariance = this->sumProduct - this->weight * meanEstimate * meanActual;
    const double slope = std::clamp((covariance + priorWeight * priorVariance) / (variance + priorWeight * priorVariance), 0.0, 1.0);
    const double residual = std::max(0.0, this->sumActualSquared - this->weight * meanActual * meanActual - slope * covariance) / this->weight;
    const double learned = this->weight / (this->weight + priorWeight);
    // The mean of a log-normal variable exceeds its median by half its variance.
    const double predicted = meanActual + slope * (x - meanEstimate) + residual / 2.0;
    const double factor = std::exp(learned * (predicted - x));
    return std::chrono::milliseconds(std::llround(static_cast<double>(estimate.count()) * std::clamp(factor, 1.0 / maxFactor, maxFactor)));
}

}
