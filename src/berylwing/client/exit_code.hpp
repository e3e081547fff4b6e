#pragma once

namespace berylwing {

/** @brief Exit codes of the operators' client. */
enum class ExitCode {
    Done = 0,
    /** The platform was unreachable, refused the call or did not answer a read; nothing was changed. */
    Unavailable = 1,
    /** The command line is invalid. */
    Usage = 2,
    /** A document has validation errors; nothing was changed. */
    Findings = 3,
    /** The object has another version than expected, such as after a concurrent change; nothing was changed. */
    Conflict = 4,
    /** The object does not exist. */
    NotFound = 5,
    /** The response to a write was lost and it is unknown whether the write took effect. */
    OutcomeUnknown = 6,
};

} // namespace berylwing
