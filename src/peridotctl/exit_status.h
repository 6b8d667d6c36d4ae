// Exit statuses of peridotctl, for scripts.
#pragma once

namespace peridotgrade::ctl {

enum ExitStatus : int {
    Done = 0,
    Failed = 1,
    /// `check-configuration` found warnings and no error.
    HasWarnings = 1,
    /// A settings file, a set of intents or a configuration is invalid.
    BadInput = 2,
    Unreachable = 4,
    /// Another plan was confirmed first, so this one never takes effect, or its base version is too old.
    PlanIsVoid = 5,
    /// The log refused the confirmation; nothing has changed.
    NotConfirmed = 6,
    /// An answer was lost, or the record was not read back in time; confirming again tells the outcome.
    Undecided = 7,
    /// The latest version is not in force yet at some node or engine.
    NotInForce = 8,
    Unauthorized = 9,
};

} // namespace peridotgrade::ctl
