#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <string_view>

namespace berylwing {

/** @brief Coroutine type of all asynchronous operations. */
template <typename Type> using Task = boost::asio::awaitable<Type>;

/** @brief Executor on which a host's coroutines run. */
using Executor = boost::asio::any_io_executor;

/**
 * @brief Starts a detached coroutine; an exception that escapes it is logged.
 * @param executor Executor on which the coroutine runs.
 * @param name Name of the task in the log.
 * @param task Coroutine to run.
 */
void spawn(const Executor& executor, std::string_view name, Task<void> task);

/**
 * @brief Lets all other ready coroutines of the executor run before the caller continues.
 * @return Awaitable that completes after the handlers that were queued before.
 */
[[nodiscard]] Task<void> yieldTurn();

} // namespace berylwing
