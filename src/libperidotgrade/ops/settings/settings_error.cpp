// Names and messages of settings errors.
#include "peridotgrade/ops/settings/settings_error.h"

#include "peridotgrade/core/base/name_table.h"

namespace peridotgrade {

namespace {

    constexpr auto KindNames = std::to_array<std::string_view>(
        { "unreadable", "not_json", "unknown_key", "missing_key", "bad_value" });

} // namespace

std::string_view nameOf(SettingsErrorKind kind) { return nameAt(KindNames, kind); }

std::string SettingsError::message() const
{
    std::string text = this->file + ": ";
    if (!this->key.empty())
        text += "key \"" + this->key + "\": ";
    text += this->problem;
    if (!this->fix.empty())
        text += "; fix: " + this->fix;
    return text;
}

} // namespace peridotgrade
