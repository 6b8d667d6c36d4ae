// Linear regression over measured points.
#pragma once

#include <string>
#include <vector>

namespace peridotgrade::bench {

/// One measurement: size and cost.
struct Point {
    double x = 0;
    double y = 0;
};

/// Least-squares line and its goodness of fit.
struct Fit {
    double slope = 0;
    double intercept = 0;
    /// Coefficient of determination.
    double r2 = 0;
};

Fit fitLine(const std::vector<Point>& points);

/// Prints the line and the points: `name slope=... unit intercept=... r2=... points: x:y x:y ...`.
void printFit(const std::string& name, const std::string& unit, const std::vector<Point>& points);

} // namespace peridotgrade::bench
