#include "berylwing/core/task.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <spdlog/spdlog.h>
#include <string>

namespace berylwing {

void spawn(const Executor& executor, std::string_view name, Task<void> task)
{
    boost::asio::co_spawn(executor, std::move(task), [name = std::string { name }](const std::exception_ptr& failure) {
        if (!failure)
            return;
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception& error) {
            spdlog::error("task {} failed: {}", name, error.what());
        }
    });
}

Task<void> yieldTurn()
{
    const auto executor = co_await boost::asio::this_coro::executor;
    co_await boost::asio::post(executor, boost::asio::use_awaitable);
}

} // namespace berylwing
