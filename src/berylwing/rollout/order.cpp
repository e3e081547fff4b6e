#include "berylwing/rollout/order.hpp"

#include "berylwing/core/finding.hpp"
#include "berylwing/core/hash.hpp"

namespace berylwing {

namespace {

std::string readText(const nlohmann::json& value, const std::string& path, const char* field, Findings& findings)
{
    const auto found = value.find(field);
    if (found != value.end() && found->is_string() && !found->get_ref<const std::string&>().empty())
        return found->get<std::string>();
    findings.add(path + "/" + field, found == value.end() ? "nothing" : found->dump(), "a text");
    return {};
}

} // namespace

std::uint64_t RolloutOrder::id() const
{
    const auto seed = hashText(this->name, static_cast<std::uint64_t>(this->duration.count()) ^ this->createdAt << 32U);
    return hashText(this->version, hashText(this->service, seed));
}

RolloutOrder readRolloutOrder(const std::string& name, std::uint64_t revision, const nlohmann::json& value)
{
    const auto path = "rollouts/" + name;
    Findings findings;
    if (!value.is_object()) {
        findings.add(path, value.type_name(), "an object");
        findings.throwIfAny();
    }
    RolloutOrder order;
    order.name = name;
    order.revision = revision;
    order.service = readText(value, path, "service", findings);
    order.version = readText(value, path, "version", findings);
    const auto duration = value.find("duration_ms");
    if (duration != value.end() && duration->is_number_integer())
        order.duration = Duration { duration->get<Duration::rep>() };
    else
        findings.add(path + "/duration_ms", duration == value.end() ? "nothing" : duration->dump(), "a number");
    const auto state = kRolloutStateNames.find(value.value("state", std::string {}));
    if (!state)
        findings.add(path + "/state", value.value("state", std::string {}), "the state of an order");
    findings.throwIfAny();
    order.state = *state;
    order.createdAt = value.value("created", std::uint64_t {});
    return order;
}

} // namespace berylwing
