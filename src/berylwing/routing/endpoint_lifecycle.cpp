#include "berylwing/routing/endpoint_lifecycle.hpp"

#include <algorithm>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>
#include <utility>

namespace berylwing {

namespace internal {

namespace front = boost::msm::front;

struct Restarted { };
struct BecameWarm { };
struct Succeeded { };
struct Failed { };
struct LeaveRequested { };
struct Rejoined { };
struct Removed { };

/** Limits of concurrent requests for each state; the transitions change the one for warming. */
struct Limits {
    std::uint32_t cold = 1;
    std::uint32_t full = 1;
    std::uint32_t warming = 1;
};

struct LifecycleDefinition : front::state_machine_def<LifecycleDefinition> {
    struct Unknown : front::state<> { };
    struct Cold : front::state<> { };
    struct Warming : front::state<> { };
    struct Warm : front::state<> { };
    struct Leaving : front::state<> { };
    struct Gone : front::state<> { };

    using initial_state = Unknown;

    struct BeginWarming {
        template <typename Event, typename Machine, typename Source, typename Target>
        void operator()(const Event&, Machine& machine, Source&, Target&) const
        {
            machine.limits.warming = std::max<std::uint32_t>(machine.limits.cold, 1);
        }
    };

    struct RaiseLimit {
        template <typename Event, typename Machine, typename Source, typename Target>
        void operator()(const Event&, Machine& machine, Source&, Target&) const
        {
            machine.limits.warming = std::min(machine.limits.full, machine.limits.warming * 2);
        }
    };

    struct IsFullyWarm {
        template <typename Event, typename Machine, typename Source, typename Target>
        bool operator()(const Event&, Machine& machine, Source&, Target&) const
        {
            return machine.limits.warming * 2 >= machine.limits.full;
        }
    };

    template <typename Source, typename Event, typename Target>
    using Transition = front::Row<Source, Event, Target, front::none, front::none>;

    // clang-format off
        struct transition_table : boost::mpl::vector<
            Transition<Unknown, Restarted, Cold>,
            Transition<Unknown, Failed, Cold>,
            Transition<Unknown, LeaveRequested, Leaving>,
            Transition<Unknown, Removed, Gone>,
            front::Row<Unknown, BecameWarm, Warming, BeginWarming, front::none>,
            front::Row<Cold, BecameWarm, Warming, BeginWarming, front::none>,
            Transition<Cold, LeaveRequested, Leaving>,
            Transition<Cold, Removed, Gone>,
            Transition<Warming, Restarted, Cold>,
            Transition<Warming, Failed, Cold>,
            front::Row<Warming, Succeeded, front::none, RaiseLimit, front::none>,
            front::Row<Warming, Succeeded, Warm, front::none, IsFullyWarm>,
            Transition<Warming, LeaveRequested, Leaving>,
            Transition<Warming, Removed, Gone>,
            Transition<Warm, Restarted, Cold>,
            Transition<Warm, Failed, Cold>,
            Transition<Warm, LeaveRequested, Leaving>,
            Transition<Warm, Removed, Gone>,
            Transition<Leaving, Rejoined, Cold>,
            Transition<Leaving, Removed, Gone>> { };
    // clang-format on

    template <typename Machine, typename Event> void no_transition(const Event&, Machine&, int) { }

    Limits limits;
};

using Machine = boost::msm::back::state_machine<LifecycleDefinition>;

} // namespace internal

struct EndpointLifecycle::Machine {
    internal::Machine states;
    std::string bootId;

    [[nodiscard]] LifecycleState state() const
    {
        return static_cast<LifecycleState>(this->ordinal(this->states.current_state()[0]));
    }

    /** Processes an event and returns true if it moved a warm or warming endpoint to cold. */
    template <typename Event> bool turnsColdOn(const Event& event)
    {
        const auto before = this->state();
        this->states.process_event(event);
        return this->state() == LifecycleState::Cold
            && (before == LifecycleState::Warming || before == LifecycleState::Warm);
    }

private:
    template <typename State>
    static constexpr int kIdOf = boost::msm::back::get_state_id<internal::Machine::stt, State>::type::value;

    /** Converts a state id of the library, which depends on the transition table, into a LifecycleState's value. */
    [[nodiscard]] int ordinal(int id) const
    {
        using Definition = internal::LifecycleDefinition;
        const std::array<int, kLifecycleNames.size()> ids { kIdOf<Definition::Unknown>, kIdOf<Definition::Cold>,
            kIdOf<Definition::Warming>, kIdOf<Definition::Warm>, kIdOf<Definition::Leaving>, kIdOf<Definition::Gone> };
        return static_cast<int>(std::find(ids.begin(), ids.end(), id) - ids.begin());
    }
};

EndpointLifecycle::EndpointLifecycle(std::uint32_t coldLimit, std::uint32_t fullLimit)
    : machine { std::make_unique<Machine>() }
{
    this->configure(coldLimit, fullLimit);
    this->machine->states.start();
}

EndpointLifecycle::~EndpointLifecycle() = default;
EndpointLifecycle::EndpointLifecycle(EndpointLifecycle&&) noexcept = default;
EndpointLifecycle& EndpointLifecycle::operator=(EndpointLifecycle&&) noexcept = default;

LifecycleState EndpointLifecycle::state() const noexcept { return this->machine->state(); }

std::uint32_t EndpointLifecycle::limit() const noexcept
{
    const auto& limits = this->machine->states.limits;
    switch (this->state()) {
    case LifecycleState::Unknown:
    case LifecycleState::Cold:
        return limits.cold;
    case LifecycleState::Warming:
        return std::min(limits.warming, limits.full);
    case LifecycleState::Warm:
        return limits.full;
    case LifecycleState::Leaving:
    case LifecycleState::Gone:
        return 0;
    }
    return 0;
}

const std::string& EndpointLifecycle::bootId() const noexcept { return this->machine->bootId; }

bool EndpointLifecycle::observeBootId(const std::string& bootId)
{
    if (bootId.empty() || bootId == this->machine->bootId)
        return false;
    this->machine->bootId = bootId;
    return this->machine->turnsColdOn(internal::Restarted {});
}

void EndpointLifecycle::observeWarm() { this->machine->states.process_event(internal::BecameWarm {}); }

bool EndpointLifecycle::observeCold() { return this->machine->turnsColdOn(internal::Restarted {}); }

void EndpointLifecycle::observeSuccess() { this->machine->states.process_event(internal::Succeeded {}); }

bool EndpointLifecycle::observeFailure() { return this->machine->turnsColdOn(internal::Failed {}); }

void EndpointLifecycle::leave() { this->machine->states.process_event(internal::LeaveRequested {}); }

void EndpointLifecycle::rejoin() { this->machine->states.process_event(internal::Rejoined {}); }

void EndpointLifecycle::remove() { this->machine->states.process_event(internal::Removed {}); }

void EndpointLifecycle::adoptState(const std::string& bootId, bool isWarm, std::uint32_t warmingLimit)
{
    this->observeBootId(bootId);
    if (!isWarm && warmingLimit <= this->machine->states.limits.cold)
        return;
    this->observeWarm();
    auto& limits = this->machine->states.limits;
    limits.warming = std::clamp(warmingLimit, limits.cold, limits.full);
    if (isWarm) {
        limits.warming = limits.full;
        this->observeSuccess();
    }
}

void EndpointLifecycle::configure(std::uint32_t coldLimit, std::uint32_t fullLimit)
{
    auto& limits = this->machine->states.limits;
    limits.cold = coldLimit;
    limits.full = fullLimit;
}

} // namespace berylwing
