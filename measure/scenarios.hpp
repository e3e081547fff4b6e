#pragma once

#include "figure.hpp"

namespace berylwing::measure {

/** @brief Measures control traffic, CPU time and memory per host for failure domains of several sizes. */
void measureControl(Report& report);

/** @brief Measures traffic between gateways and their store calls for failure domains of several sizes. */
void measureExchange(Report& report);

/** @brief Measures memory and CPU time of the configuration catalog for several numbers of workspaces. */
void measureConfiguration(Report& report);

/** @brief Measures memory, object size and commit time of a ledger shard for several numbers of claims. */
void measureLedger(Report& report);

/** @brief Measures the CPU time of a chunk that is relayed through two hosts, without sockets. */
void measureRelay(Report& report);

/** @brief Measures prefix cache reuse and load skew of returning chats under churn, compared with other placements. */
void measurePlacement(Report& report);

/** @brief Measures the recovery time of an endpoint and the share of answered chats while a failure domain is out. */
void measureRecovery(Report& report);

} // namespace berylwing::measure
