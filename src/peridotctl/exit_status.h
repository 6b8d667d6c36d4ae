// Exit statuses of peridotctl, for scripts.
#pragma once

namespace peridotgrade::ctl {

enum ExitStatus : int {
    Done = 0,
    Failed = 1,
    /// A settings file or a set of intents is wrong.
    BadInput = 2,
    Unreachable = 4,
    /// Another plan was confirmed first; this one never takes effect.
    PlanIsVoid = 5,
    /// The log refused the confirmation: surely nothing has changed.
    NotConfirmed = 6,
    /// The log's answer was lost: confirm again to learn which.
    Undecided = 7,
    /// Some node or engine does not have the version in force yet.
    NotInForce = 8,
    Unauthorized = 9,
};

} // namespace peridotgrade::ctl
