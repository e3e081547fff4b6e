#pragma once

#include "berylwing/core/enum_names.hpp"
#include "berylwing/core/task.hpp"
#include <functional>
#include <utility>

namespace berylwing {

/** @brief Fail points on the path of a request, at which tests inject failures and delays. */
enum class Step {
    EntryAccepted,
    EntryForwarded,
    EntryAnswered,
    LedgerReceived,
    LedgerClaiming,
    LedgerClaimed,
    LedgerDispatching,
    LedgerAnswered,
    LedgerRecorded,
    OwnerReceived,
    OwnerAdmitted,
    OwnerSending,
    OwnerStreaming,
    OwnerFinished,
};

/** @brief Names of the steps in test programs. */
inline constexpr EnumNames<Step, 14> kStepNames { {
    "entry_accepted",
    "entry_forwarded",
    "entry_answered",
    "ledger_received",
    "ledger_claiming",
    "ledger_claimed",
    "ledger_dispatching",
    "ledger_answered",
    "ledger_recorded",
    "owner_received",
    "owner_admitted",
    "owner_sending",
    "owner_streaming",
    "owner_finished",
} };

/** @brief Calls a test hook at each step of a request. */
class Steps {
public:
    /** @brief Function called at a step; the request continues when it completes. */
    using Hook = std::function<Task<void>(Step)>;

    /** @brief Creates the steps. @param stepHook Hook; empty in production. */
    explicit Steps(Hook stepHook = {})
        : hook { std::move(stepHook) }
    {
    }

    /** @brief Calls the hook. @param step Step reached. @return Awaitable that completes when the hook does. */
    [[nodiscard]] Task<void> reach(Step step) const
    {
        if (this->hook)
            co_await this->hook(step);
    }

private:
    Hook hook;
};

} // namespace berylwing
