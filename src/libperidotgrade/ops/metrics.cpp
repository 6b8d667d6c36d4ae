// Stores metrics by name and label and writes them in the Prometheus text format.
#include "peridotgrade/ops/metrics.h"

#include <charconv>
#include <map>
#include <mutex>
#include <variant>

namespace peridotgrade {

namespace {

    using ValueCallback = std::function<double()>;

    struct CallbackMetric {
        ValueCallback read;
        bool isCounter = false;
    };

    using Metric = std::variant<std::unique_ptr<Counter>, std::unique_ptr<Distribution>, CallbackMetric>;

    /// All metrics of one name, by label value.
    struct Family {
        std::string help;
        std::string labelKey;
        std::map<std::string, Metric> byLabel;
    };

    std::string numberText(double value)
    {
        char digits[32];
        auto [end, status] = std::to_chars(digits, digits + sizeof(digits), value);
        return { digits, end };
    }

    std::string escaped(const std::string& value)
    {
        std::string result;
        for (char c : value) {
            if (c == '\\' || c == '"')
                result += '\\';
            result += c == '\n' ? ' ' : c;
        }
        return result;
    }

    std::string_view typeOf(const Metric& metric)
    {
        if (std::holds_alternative<std::unique_ptr<Distribution>>(metric))
            return "summary";
        const auto* read = std::get_if<CallbackMetric>(&metric);
        return read != nullptr && !read->isCounter ? "gauge" : "counter";
    }

    std::string labels(const std::string& first, const std::string& second)
    {
        if (first.empty() && second.empty())
            return {};
        std::string separator = first.empty() || second.empty() ? "" : ",";
        return "{" + first + separator + second + "}";
    }

    void writeLine(std::string& out, const std::string& name, const std::string& labelText, double value)
    {
        out += name + labelText + " " + numberText(value) + "\n";
    }

    void writeDistribution(
        std::string& out, const std::string& name, const std::string& label, const Distribution& distribution)
    {
        DistributionSummary summary = distribution.summary();
        for (const Quantile& quantile : summary.quantiles) {
            std::string probability = "quantile=\"" + numberText(quantile.probability) + "\"";
            writeLine(out, name, labels(label, probability), quantile.value.count());
        }
        // The maximum, which is exact.
        if (summary.count > 0)
            writeLine(out, name, labels(label, "quantile=\"1\""), summary.max.count());
        writeLine(out, name + "_sum", labels(label, ""), summary.sum.count());
        writeLine(out, name + "_count", labels(label, ""), static_cast<double>(summary.count));
    }

    void writeMetric(
        std::string& out, const std::string& name, const std::string& label, const Metric& metric)
    {
        if (const auto* distribution = std::get_if<std::unique_ptr<Distribution>>(&metric)) {
            writeDistribution(out, name, label, **distribution);
            return;
        }
        const auto* counter = std::get_if<std::unique_ptr<Counter>>(&metric);
        double value = counter != nullptr ? static_cast<double>((*counter)->value())
                                          : std::get<CallbackMetric>(metric).read();
        writeLine(out, name, labels(label, ""), value);
    }

} // namespace

class MetricsRegistry::Impl {
public:
    template <typename Value> Value& findOrCreate(const MetricName& name)
    {
        std::lock_guard lock(this->mutex);
        Metric& metric = this->findOrInsert(name, [] { return Metric { std::make_unique<Value>() }; });
        return *std::get<std::unique_ptr<Value>>(metric);
    }

    void addCallback(const MetricName& name, CallbackMetric read)
    {
        std::lock_guard lock(this->mutex);
        this->findOrInsert(name, [&read] { return Metric { std::move(read) }; });
    }

    std::string text() const
    {
        std::lock_guard lock(this->mutex);
        std::string out;
        for (const auto& [name, family] : this->families) {
            out += "# HELP " + name + " " + family.help + "\n# TYPE " + name + " ";
            out += typeOf(family.byLabel.begin()->second);
            out += "\n";
            for (const auto& [value, metric] : family.byLabel) {
                std::string label
                    = family.labelKey.empty() ? "" : family.labelKey + "=\"" + escaped(value) + "\"";
                writeMetric(out, name, label, metric);
            }
        }
        return out;
    }

private:
    template <typename Make> Metric& findOrInsert(const MetricName& name, Make make)
    {
        Family& family = this->families[name.name];
        family.help = name.help;
        family.labelKey = name.labelKey;
        auto found = family.byLabel.find(name.labelValue);
        if (found == family.byLabel.end())
            found = family.byLabel.emplace(name.labelValue, make()).first;
        return found->second;
    }

    mutable std::mutex mutex;
    /// Invariant: no family is empty, and all metrics of a family are of one kind.
    std::map<std::string, Family> families;
};

MetricsRegistry::MetricsRegistry()
    : impl(std::make_unique<Impl>())
{
}

MetricsRegistry::~MetricsRegistry() = default;

Counter& MetricsRegistry::counter(const MetricName& name) { return this->impl->findOrCreate<Counter>(name); }

Distribution& MetricsRegistry::distribution(const MetricName& name)
{
    return this->impl->findOrCreate<Distribution>(name);
}

void MetricsRegistry::gauge(const MetricName& name, std::function<double()> read)
{
    this->impl->addCallback(name, CallbackMetric { std::move(read), false });
}

void MetricsRegistry::callbackCounter(const MetricName& name, std::function<double()> read)
{
    this->impl->addCallback(name, CallbackMetric { std::move(read), true });
}

std::string MetricsRegistry::text() const { return this->impl->text(); }

} // namespace peridotgrade
