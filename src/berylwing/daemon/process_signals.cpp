#include "berylwing/daemon/process_signals.hpp"

#include <csignal>
#include <system_error>

namespace berylwing {

namespace {

void changeMask(int operation)
{
    sigset_t signals {};
    sigemptyset(&signals);
    for (const auto signal : { SIGTERM, SIGINT, SIGHUP })
        sigaddset(&signals, signal);
    if (const auto error = pthread_sigmask(operation, &signals, nullptr))
        throw std::system_error { error, std::generic_category(), "cannot change the signal mask" };
}

} // namespace

void blockHandledSignals() { changeMask(SIG_BLOCK); }

void unblockHandledSignals() { changeMask(SIG_UNBLOCK); }

} // namespace berylwing
