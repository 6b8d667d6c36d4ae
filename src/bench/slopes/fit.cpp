// Ordinary least squares.
#include "fit.h"

#include <cstdio>

namespace peridotgrade::bench {

Fit fitLine(const std::vector<Point>& points)
{
    double n = static_cast<double>(points.size());
    double meanX = 0;
    double meanY = 0;
    for (const Point& point : points) {
        meanX += point.x / n;
        meanY += point.y / n;
    }
    double xx = 0;
    double xy = 0;
    double yy = 0;
    for (const Point& point : points) {
        xx += (point.x - meanX) * (point.x - meanX);
        xy += (point.x - meanX) * (point.y - meanY);
        yy += (point.y - meanY) * (point.y - meanY);
    }
    Fit fit;
    fit.slope = xx > 0 ? xy / xx : 0;
    fit.intercept = meanY - fit.slope * meanX;
    fit.r2 = yy > 0 ? fit.slope * xy / yy : 1;
    return fit;
}

void printFit(const std::string& name, const std::string& unit, const std::vector<Point>& points)
{
    Fit fit = fitLine(points);
    std::printf("%-34s slope=%.4g %s intercept=%.4g r2=%.4f points:", name.c_str(), fit.slope, unit.c_str(),
        fit.intercept, fit.r2);
    for (const Point& point : points)
        std::printf(" %.6g:%.6g", point.x, point.y);
    std::printf("\n");
}

} // namespace peridotgrade::bench
