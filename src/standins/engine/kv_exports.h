// Prefill results that are retained for export for a limited time.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace peridotgrade::standins {

/// Retained KV caches by handle. Not thread safe.
class KvExports {
public:
    struct Export {
        std::string stream;
        std::uint64_t bytes = 0;
        /// Number of transfers in progress; an export is not evicted while there are any.
        std::uint32_t readers = 0;
        /// True once the retention time is over; the export is then evicted when its last reader ends.
        bool isExpired = false;
    };

    void add(const std::string& handle, std::string stream, std::uint64_t bytes)
    {
        this->byHandle[handle] = Export { std::move(stream), bytes };
    }

    Export* find(const std::string& handle)
    {
        auto found = this->byHandle.find(handle);
        return found == this->byHandle.end() ? nullptr : &found->second;
    }

    /// Removes the export; returns its stream.
    std::optional<std::string> remove(const std::string& handle)
    {
        auto found = this->byHandle.find(handle);
        if (found == this->byHandle.end())
            return std::nullopt;
        std::string stream = std::move(found->second.stream);
        this->byHandle.erase(found);
        return stream;
    }

    void removeByStream(const std::string& stream)
    {
        for (auto next = this->byHandle.begin(); next != this->byHandle.end();)
            next = next->second.stream == stream ? this->byHandle.erase(next) : std::next(next);
    }

    void clear() { this->byHandle.clear(); }

private:
    std::map<std::string, Export> byHandle;
};

} // namespace peridotgrade::standins
