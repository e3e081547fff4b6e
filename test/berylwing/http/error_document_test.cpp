#include "berylwing/http/error_document.hpp"

#include "berylwing/http/gateway_response.hpp"
#include <catch2/catch.hpp>
#include <set>

using namespace berylwing;

// Guards against refusals that promise a caller that its request did not run although it may have.
TEST_CASE("Only a request that did not run is refused with a status that promises it", "[http]")
{
    const std::set<unsigned> promises { 408, 421, 429, 503 };
    for (std::size_t index = 0; index < kRefusalNames.size(); ++index) {
        const auto reason = static_cast<Refusal>(index);
        CAPTURE(kRefusalNames[reason]);
        for (const auto& outcome : { Outcome { OutcomeUnknown { reason } }, Outcome { RanWithoutAnswer { reason } } }) {
            CHECK_FALSE(promises.contains(toHttpStatus(outcome)));
            constexpr std::size_t kStatusBegin = 9;
            constexpr std::size_t kStatusSize = 3;
            const auto status = formatRefusal(outcome, {}, true).substr(kStatusBegin, kStatusSize);
            CHECK_FALSE(promises.contains(static_cast<unsigned>(std::stoul(status))));
        }
    }
}
