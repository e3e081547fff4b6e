#include "berylwing/admission/share_plan.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace berylwing {

namespace {

/** Part of the average that the least urgent requests and the largest workspaces keep, so that none of them starves. */
constexpr double kFloor = 0.35;
/** Part of the room that returns may take from new requests. */
constexpr double kMaxReturnShare = 0.25;

/** Workspaces that are not listed; each of them asks for less than the smallest one that is. */
struct Others {
    double work = 0;
    double count = 0;
};

Others othersOf(const ClassDemand& demand)
{
    double listed = 0;
    double smallest = demand.fresh;
    for (const auto& each : demand.workspaces) {
        listed += each.work;
        smallest = std::min(smallest, each.work);
    }
    const auto work = std::max(0.0, demand.fresh - listed);
    return { work, work > 0 ? std::max(1.0, std::ceil(work / std::max(smallest, 1e-6))) : 0 };
}

/** Returns the largest share that each workspace may have so that all fit into the room. */
double fairLevelOf(const ClassDemand& demand, const Others& others, double room)
{
    struct Member {
        double work;
        double count;
    };
    std::vector<Member> members;
    members.reserve(demand.workspaces.size() + 1);
    for (const auto& each : demand.workspaces)
        members.push_back({ each.work, 1 });
    if (others.count > 0)
        members.push_back({ others.work / others.count, others.count });
    std::sort(
        members.begin(), members.end(), [](const Member& left, const Member& right) { return left.work < right.work; });
    double left = room;
    auto count = std::accumulate(
        members.begin(), members.end(), 0.0, [](double sum, const Member& member) { return sum + member.count; });
    for (const auto& member : members) {
        if (member.work * count >= left)
            return left / count;
        left -= member.work * member.count;
        count -= member.count;
    }
    return members.empty() ? 0 : members.back().work;
}

/** Divides the room for new requests of an urgency between the workspaces. */
void shareBetweenWorkspaces(const ClassDemand& demand, double room, ClassShare& share)
{
    const auto average = demand.fresh > 0 ? std::min(1.0, room / demand.fresh) : 1.0;
    const auto others = othersOf(demand);
    const auto floor = kFloor * average;
    // What the floor gives to large workspaces is taken from the level of all.
    auto level = fairLevelOf(demand, others, room);
    double floorWork = 0;
    for (const auto& each : demand.workspaces)
        floorWork += std::max(0.0, floor * each.work - level);
    if (floorWork > 0)
        level = fairLevelOf(demand, others, std::max(0.0, room - floorWork));
    for (const auto& each : demand.workspaces)
        share.workspaces.push_back({ each.workspace, std::clamp(level / std::max(each.work, 1e-6), floor, 1.0) });
    share.othersPart = others.work > 0 ? std::clamp(others.count * level / others.work, floor, 1.0) : 1.0;
    if (demand.workspaces.empty())
        share.othersPart = average;
    share.isAnyServedInFull = (others.work > 0 && share.othersPart >= 1)
        || std::any_of(
            share.workspaces.begin(), share.workspaces.end(), [](const WorkspacePart& each) { return each.part >= 1; });
}

} // namespace

double ClassShare::partOf(std::uint32_t workspace) const
{
    const auto position = std::lower_bound(this->workspaces.begin(), this->workspaces.end(), workspace,
        [](const WorkspacePart& each, std::uint32_t value) { return each.workspace < value; });
    return position != this->workspaces.end() && position->workspace == workspace ? position->part : this->othersPart;
}

bool ClassShare::isAboveShare(std::uint32_t workspace) const
{
    return this->isAnyServedInFull && this->partOf(workspace) < 1;
}

std::vector<ClassShare> shareRoom(const std::vector<ClassDemand>& classes, double room)
{
    std::vector<double> reserved;
    double claims = 0;
    for (const auto& each : classes) {
        reserved.push_back(std::min({ each.late, each.promised, kMaxReturnShare * room }));
        claims += each.fresh + reserved.back();
    }
    const auto average = claims > 0 ? std::min(1.0, room / claims) : 1.0;
    const auto floor = kFloor * average;
    auto left = room - floor * claims;
    std::vector<ClassShare> shares;
    for (std::size_t index = 0; index < classes.size(); ++index) {
        const auto claim = classes[index].fresh + reserved[index];
        const auto extra = std::clamp(claim * (1 - floor), 0.0, std::max(left, 0.0));
        left -= extra;
        ClassShare share;
        share.urgency = classes[index].urgency;
        share.room = floor * claim + extra;
        shares.push_back(std::move(share));
    }
    for (std::size_t index = 0; index < classes.size(); ++index) {
        const auto& demand = classes[index];
        auto& share = shares[index];
        const auto returns = std::min(reserved[index], kMaxReturnShare * share.room);
        shareBetweenWorkspaces(demand, share.room - returns, share);
        const auto spare = std::clamp(demand.late - returns, 0.0, std::max(left, 0.0));
        left -= spare;
        share.latePart = demand.late > 0 ? std::min(1.0, (returns + spare) / demand.late) : 1.0;
    }
    return shares;
}

const ClassShare* findShare(const std::vector<ClassShare>& shares, unsigned urgency)
{
    const auto found = std::find_if(
        shares.begin(), shares.end(), [urgency](const ClassShare& each) { return each.urgency == urgency; });
    return found == shares.end() ? nullptr : &*found;
}

} // namespace berylwing
