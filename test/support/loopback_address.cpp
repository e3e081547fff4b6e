#include "support/loopback_address.hpp"

#include <unistd.h>

namespace berylwing::test {

std::string loopbackAddressOfProcess()
{
    constexpr int kOctets = 250;
    const auto id = static_cast<int>(::getpid());
    const auto octet = [](int value) { return "." + std::to_string(value % kOctets + 1); };
    return "127" + octet(id / kOctets / kOctets) + octet(id / kOctets) + octet(id);
}

} // namespace berylwing::test
