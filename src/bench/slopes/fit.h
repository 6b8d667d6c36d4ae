// A straight line through measured points.
#pragma once

#include <string>
#include <vector>

namespace peridotgrade::bench {

/// One measured point.
struct Point {
    double x = 0;
    double y = 0;
};

/// Least squares line and how well it fits.
struct Fit {
    double slope = 0;
    double intercept = 0;
    /// Share of the variance that the line explains.
    double r2 = 0;
};

Fit fitLine(const std::vector<Point>& points);

/// Prints the points and the line: `name: x=... y=... ... slope=... unit, intercept=..., r2=...`.
void printFit(const std::string& name, const std::string& unit, const std::vector<Point>& points);

} // namespace peridotgrade::bench
