// Count, sum, maximum and quantiles by Boost.Accumulators.
#include "peridotgrade/ops/distribution.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <mutex>

namespace peridotgrade {

namespace accumulators = boost::accumulators;
namespace tag = boost::accumulators::tag;

namespace {

    constexpr std::array<double, 4> Probabilities { 0.5, 0.9, 0.95, 0.99 };
    // The P-square method has no estimate until there is a sample for each of its markers.
    constexpr std::size_t PSquareMarkerCount = 2 * Probabilities.size() + 3;

    using Accumulator = accumulators::accumulator_set<double,
        accumulators::stats<tag::count, tag::sum, tag::max, tag::extended_p_square>>;

} // namespace

class Distribution::Impl {
public:
    Impl()
        : samples(accumulators::extended_p_square_probabilities = Probabilities)
    {
    }

    void add(std::chrono::nanoseconds sample)
    {
        std::lock_guard lock(this->mutex);
        this->samples(std::chrono::duration<double> { sample }.count());
    }

    DistributionSummary summary() const
    {
        using Seconds = std::chrono::duration<double>;
        std::lock_guard lock(this->mutex);
        DistributionSummary result;
        result.count = accumulators::count(this->samples);
        if (result.count == 0)
            return result;
        result.sum = Seconds { accumulators::sum(this->samples) };
        result.max = Seconds { accumulators::max(this->samples) };
        if (result.count < PSquareMarkerCount)
            return result;
        auto estimates = accumulators::extended_p_square(this->samples);
        for (std::size_t index = 0; index < Probabilities.size(); ++index)
            result.quantiles.push_back(Quantile { Probabilities[index], Seconds { estimates[index] } });
        return result;
    }

private:
    mutable std::mutex mutex;
    Accumulator samples;
};

Distribution::Distribution()
    : impl(std::make_unique<Impl>())
{
}

Distribution::~Distribution() = default;

void Distribution::add(std::chrono::nanoseconds sample) { this->impl->add(sample); }

DistributionSummary Distribution::summary() const { return this->impl->summary(); }

} // namespace peridotgrade
