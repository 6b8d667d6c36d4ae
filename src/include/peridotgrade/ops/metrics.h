// The metrics of a process, and their text form.
#pragma once

#include "peridotgrade/ops/counter.h"
#include "peridotgrade/ops/distribution.h"

#include <functional>
#include <memory>
#include <string>

namespace peridotgrade {

/// What a metric is called. `label` parts metrics of one name, for example `reason="no_capacity"`; it may be
/// empty.
struct MetricName {
    std::string name;
    std::string help;
    std::string labelKey;
    std::string labelValue;
};

/// Holds all metrics of a process and writes them as Prometheus text. Asking twice for one name and label
/// gives the same metric. References stay good as long as the registry. Thread safe.
class MetricsRegistry {
public:
    MetricsRegistry();
    ~MetricsRegistry();
    MetricsRegistry(const MetricsRegistry&) = delete;
    MetricsRegistry& operator=(const MetricsRegistry&) = delete;

    Counter& counter(const MetricName& name);
    Distribution& distribution(const MetricName& name);
    /// Values that are read when the text is written. `read` must be thread safe.
    void gauge(const MetricName& name, std::function<double()> read);
    void callbackCounter(const MetricName& name, std::function<double()> read);

    std::string text() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

/// Adds what every process shows: violations of each invariant, processor time, resident memory.
void addProcessMetrics(MetricsRegistry& metrics);

} // namespace peridotgrade
