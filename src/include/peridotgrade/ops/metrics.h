// Registry of the metrics of a process, and their text format.
#pragma once

#include "peridotgrade/ops/counter.h"
#include "peridotgrade/ops/distribution.h"

#include <functional>
#include <memory>
#include <string>

namespace peridotgrade {

/// Name, help text and optional label of a metric. The label distinguishes metrics of one name, for example
/// `reason="no_capacity"`; without a label, `labelKey` is empty.
struct MetricName {
    std::string name;
    std::string help;
    std::string labelKey;
    std::string labelValue;
};

/// Owns all metrics of a process and writes them in the Prometheus text format. Calls with the same name and
/// label return the same metric. References are valid for the lifetime of the registry. Thread safe.
class MetricsRegistry {
public:
    MetricsRegistry();
    ~MetricsRegistry();
    MetricsRegistry(const MetricsRegistry&) = delete;
    MetricsRegistry& operator=(const MetricsRegistry&) = delete;

    Counter& counter(const MetricName& name);
    Distribution& distribution(const MetricName& name);
    /// Metrics whose value `read` supplies whenever the text is written. `read` must be thread safe.
    void gauge(const MetricName& name, std::function<double()> read);
    void callbackCounter(const MetricName& name, std::function<double()> read);

    std::string text() const;

private:
    class Impl;
    std::unique_ptr<Impl> impl;
};

/// Adds the metrics that every process has: violations of each invariant, processor time, resident memory.
void addProcessMetrics(MetricsRegistry& metrics);

} // namespace peridotgrade
