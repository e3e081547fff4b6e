#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <string_view>

namespace berylwing {

/** @brief Coroutine type of every asynchronous operation of the project. */
template <typename Type> using Task = boost::asio::awaitable<Type>;

/** @brief Executor on which a host's coroutines run. */
using Executor = boost::asio::any_io_executor;

/**
 * @brief Starts a coroutine that nobody waits for; an exception that leaves it is logged.
 * @param executor Executor on which the coroutine runs.
 * @param name Name of the task in the log line of a failure.
 * @param task Coroutine to run.
 */
void spawn(const Executor& executor, std::string_view name, Task<void> task);

/**
 * @brief Lets every other ready coroutine of the executor run before the caller goes on.
 * @return Awaitable that completes on the next turn of the executor.
 */
[[nodiscard]] Task<void> yieldTurn();

} // namespace berylwing
