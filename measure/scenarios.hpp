#pragma once

#include "figure.hpp"

namespace berylwing::measure {

/** @brief Control traffic, processor time and memory for each host, at several sizes of a failure domain. */
void measureControl(Report& report);

/** @brief Traffic between gateways and their calls to the store, at several sizes of a failure domain. */
void measureExchange(Report& report);

/** @brief Memory and time of the configuration at several numbers of workspaces. */
void measureConfiguration(Report& report);

/** @brief Memory, bytes and time of a ledger shard at several numbers of claims. */
void measureLedger(Report& report);

/** @brief Processor time of a relayed chunk and of a request through two hosts, without sockets. */
void measureRelay(Report& report);

/** @brief Cache reuse and load skew of returning chats through churn, against other ways to place them. */
void measurePlacement(Report& report);

/** @brief Service while a failure domain leaves and returns, and time to recover. */
void measureRecovery(Report& report);

} // namespace berylwing::measure
