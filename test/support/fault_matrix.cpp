#include "support/fault_matrix.hpp"

namespace berylwing::test {

FaultCell::FaultCell(TestFleet& testFleet, Step atStep, Fault withFault, std::string atEndpoint)
    : fleet { testFleet }
    , step { atStep }
    , fault { withFault }
    , endpoint { std::move(atEndpoint) }
{
    this->fleet.onStep = [this](const std::string& host, Step reached) {
        if (reached == this->step && this->victim.empty())
            this->begin(host);
    };
}

FaultCell::~FaultCell() { this->fleet.onStep = {}; }

void FaultCell::begin(const std::string& host)
{
    this->victim = host;
    this->domain = this->fleet.host(host).status().at("domain").get<std::string>();
    auto& platform = this->fleet.platform;
    const auto cutFromAll = [this, &host](bool silently) {
        for (const auto& other : this->fleet.hosts()) {
            if (other != host)
                this->fleet.cut(host, other, silently);
        }
    };
    switch (this->fault) {
    case Fault::KillHost:
        return this->fleet.kill(host);
    case Fault::PauseHost:
        return this->fleet.pause(host);
    case Fault::CutHostSilently:
        return cutFromAll(true);
    case Fault::CutHostRefusing:
        return cutFromAll(false);
    case Fault::CutHostFromPlatform:
        platform.unreachableHosts.insert(host);
        return;
    case Fault::PlatformDown:
    case Fault::PlatformDownThenHostKilled:
        platform.failureMode = PlatformFailureMode::Down;
        return;
    case Fault::PlatformAnswersLost:
    case Fault::AnswersLostThenHostKilled:
        platform.failureMode = PlatformFailureMode::AnswersLost;
        return;
    case Fault::PlatformWritesDelayed:
        platform.failureMode = PlatformFailureMode::WritesDelayed;
        return;
    case Fault::PlatformSlow:
        platform.failureMode = PlatformFailureMode::Slow;
        return;
    case Fault::EndpointRestarts:
        return this->fleet.endpoints.restart(this->endpoint);
    case Fault::EndpointDown:
        this->fleet.endpoints.at(this->endpoint).down = true;
        return;
    case Fault::EndpointFrozen:
        this->fleet.endpoints.at(this->endpoint).frozen = true;
        return;
    case Fault::KillHostAndPlatformDown:
        platform.failureMode = PlatformFailureMode::Down;
        return this->fleet.kill(host);
    case Fault::PauseHostAndAnswersLost:
        platform.failureMode = PlatformFailureMode::AnswersLost;
        return this->fleet.pause(host);
    }
}

void FaultCell::end()
{
    if (!this->wasReached())
        return;
    const bool isKilledLast
        = this->fault == Fault::PlatformDownThenHostKilled || this->fault == Fault::AnswersLostThenHostKilled;
    if (isKilledLast)
        this->fleet.kill(this->victim);
    this->fleet.platform.failureMode = PlatformFailureMode::None;
    this->fleet.platform.unreachableHosts.clear();
    this->fleet.healAll();
    auto& target = this->fleet.endpoints.at(this->endpoint);
    target.down = false;
    target.frozen = false;
    target.model.warm = true;
    if (this->fleet.isAlive(this->victim))
        this->fleet.resume(this->victim);
    else
        this->fleet.start(this->victim, this->domain);
}

void forEachCell(const std::function<void(Step, Fault)>& run)
{
    for (std::size_t step = 0; step < kStepNames.size(); ++step) {
        for (std::size_t fault = 0; fault < kFaultNames.size(); ++fault)
            run(static_cast<Step>(step), static_cast<Fault>(fault));
    }
}

} // namespace berylwing::test
