// Corrects callers' estimates of run times by how well earlier ones have held.
#pragma once

#include <chrono>

namespace MangoCourse {

// Learns the relation between estimates and run times of one kind of work, as a line between their logarithms. Where estimates are good it returns
// them, corrected by a factor; the worse they are, the closer it comes to the typical run time. Without observations it returns the estimate.
class EstimateCorrection
{
public:
    // Adds an observation. Estimates and run times that are not positive are ignored.
    void add(std::chrono::milliseconds estimate, std::chrono::milliseconds actual);

    // Returns the expected run time; zero for an estimate that is not positive.
    std::chrono::milliseconds expected(std::chrono::milliseconds estimate) const;

private:
    // Weighted sums over the observations; older ones count less.
    double weight = 0.0;
    double sumEstimate = 0.0;
    double sumActual = 0.0;
    double sumEstimateSquared = 0.0;
    double sumProduct = 0.0;
    double sumActualSquared = 0.0;
};

}
