#pragma once

#include <boost/asio/io_context.hpp>

namespace berylwing::test {

/** @brief Executor of one host under test, whose pending work can be destroyed before the objects it refers to. */
class RuntimeContext : public boost::asio::io_context {
public:
    RuntimeContext()
        : io_context { 1 }
    {
    }

    /** @brief Destroys all suspended coroutines. */
    void destroyPending() { this->shutdown(); }
};

} // namespace berylwing::test
