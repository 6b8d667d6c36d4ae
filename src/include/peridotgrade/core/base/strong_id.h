// Strong identifiers: one template that keeps ids of different kinds apart.
#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace peridotgrade {

/// An identifier of the kind named by `Tag`, held as a `Rep`. Ids of different tags do not compare or
/// convert. Values are ordered and hashable, so they serve as keys of any container.
template <typename Tag, typename Rep> class StrongId {
public:
    using ValueType = Rep;

    StrongId() = default;
    explicit StrongId(Rep value)
        : value(std::move(value))
    {
    }

    /// The raw value, for codecs and logs.
    const Rep& raw() const { return this->value; }

    // clang-tidy 14 mistakes the zero of a rewritten comparison for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const StrongId&, const StrongId&) = default;
    friend std::ostream& operator<<(std::ostream& out, const StrongId& id) { return out << id.value; }

private:
    Rep value {};
};

} // namespace peridotgrade

template <typename Tag, typename Rep> struct std::hash<peridotgrade::StrongId<Tag, Rep>> {
    std::size_t operator()(const peridotgrade::StrongId<Tag, Rep>& id) const
    {
        return std::hash<Rep> {}(id.raw());
    }
};
