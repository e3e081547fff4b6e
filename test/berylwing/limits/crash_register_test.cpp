#include "berylwing/limits/crash_register.hpp"

#include "berylwing/config/catalog.hpp"
#include "berylwing/config/objects.hpp"
#include "berylwing/membership/failure_domain.hpp"
#include "berylwing/telemetry/metrics.hpp"
#include "support/runtime_context.hpp"
#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace berylwing;

constexpr const char* kDomain = "knox";

Identity makeIdentity(const std::string& host, std::uint64_t incarnation)
{
    Identity identity;
    identity.host = host;
    identity.domain = kDomain;
    identity.incarnation = incarnation;
    return identity;
}

/** Two hosts of a failure domain that repeat to each other what they know, in messages that take long. */
class RegisterPair {
public:
    /** Host with its register. */
    struct Host {
        Host(RegisterPair& pair, const std::string& name, std::uint64_t incarnation)
            : link { pair.clock, makeIdentity(name, incarnation),
                [this](const std::string&, const std::string& bytes) {
                    this->sent.push_back(bytes);
                    return true;
                },
                pair.metrics }
            , domain { pair.clock, this->link, this->catalog, pair.metrics }
            , crashes { pair.clock, this->link, this->domain, pair.metrics }
        {
        }

        std::vector<std::string> sent;
        Link link;
        Catalog catalog;
        FailureDomain domain;
        CrashRegister crashes;
    };

    RegisterPair()
    {
        Roster roster;
        roster.domain = kDomain;
        roster.members
            = { { "here", 1, "10.0.0.1", 7000, 7001, false }, { "there", 2, "10.0.0.2", 7000, 7001, false } };
        for (auto* host : { &this->here, &this->there })
            host->catalog.apply({ ObjectKind::Roster, kDomain, 1, writeRoster(roster) });
    }

    void advance(Duration length)
    {
        constexpr Duration kTransit { 300 };
        for (const auto until = this->time + length; this->time < until;) {
            for (auto* host : { &this->here, &this->there }) {
                host->domain.sendHeartbeatsNow();
                const auto messages = std::exchange(host->sent, {});
                this->time += kTransit;
                for (const auto& bytes : messages)
                    (host == &this->here ? this->there : this->here).link.receive(bytes);
            }
        }
    }

    berylwing::test::RuntimeContext context;
    TimePoint time { Duration { 1'000'000 } };
    Clock clock { this->context.get_executor(), [this] { return this->time; } };
    Metrics metrics;
    Host here { *this, "here", 1 };
    Host there { *this, "there", 2 };
};

} // namespace

TEST_CASE("A quarantine ends in time although hosts repeat it in late messages", "[limits][quarantine]")
{
    RegisterPair pair;
    constexpr std::uint64_t kRequest = 7;
    for (int count = 0; count < 2; ++count)
        pair.here.crashes.recordCrash(kRequest);
    pair.advance(std::chrono::minutes { 50 });
    CHECK(pair.here.crashes.isQuarantined(kRequest));
    CHECK(pair.there.crashes.isQuarantined(kRequest));
    pair.advance(std::chrono::minutes { 11 });
    CHECK_FALSE(pair.here.crashes.isQuarantined(kRequest));
    CHECK_FALSE(pair.there.crashes.isQuarantined(kRequest));
}
