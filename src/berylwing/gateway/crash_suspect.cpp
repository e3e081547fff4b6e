#include "berylwing/gateway/crash_suspect.hpp"

#include "berylwing/core/hash.hpp"
#include <algorithm>

namespace berylwing {

std::uint64_t fingerprintOf(std::string_view workspace, std::string_view target, std::string_view body)
{
    return hashText(body, hashText(target, hashText(workspace)));
}

std::vector<CrashSuspect> listSuspects(std::string_view workspace, const GatewayRequest& request)
{
    const auto& segments = request.metadata.promptSegments;
    std::vector<CrashSuspect> suspects;
    suspects.reserve(segments.size() + 1);
    // The last segment is specific to the request, as is its fingerprint.
    for (std::size_t position = 0; position + 1 < segments.size(); ++position) {
        const auto specificity = std::min(static_cast<std::uint32_t>(position), kWholeRequest - 1);
        suspects.push_back({ hashText(segments[position].id), specificity });
    }
    suspects.push_back({ fingerprintOf(workspace, request.target, request.body), kWholeRequest });
    return suspects;
}

} // namespace berylwing
