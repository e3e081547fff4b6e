#include "berylwing/config/capacity_settings.hpp"

namespace berylwing {

namespace {

constexpr double kBytesPerMb = 1024 * 1024;
constexpr double kMinMemoryMb = 32;
constexpr double kMinCallerMemoryMb = 8;
constexpr double kMaxMemoryMb = 1 << 20;
/** Memory and descriptors of the smallest machines, for settings without them. */
constexpr double kDefaultMemoryMb = 160;
constexpr std::int64_t kDefaultDescriptors = 4100;
constexpr std::int64_t kMinDescriptors = 264;
constexpr std::int64_t kMaxDescriptors = 1 << 24;
constexpr std::int64_t kMaxProgressBytes = 1 << 30;
constexpr std::int64_t kMaxProgressMs = 3'600'000;

} // namespace

HostCapacity readCapacity(DocumentReader& reader, std::string_view fileName, Findings& findings)
{
    HostCapacity capacity;
    const auto memoryMb = reader.readNumber("memory_mb", kMinMemoryMb, kMaxMemoryMb, kDefaultMemoryMb);
    const auto maxDescriptors = reader.readInteger("max_fds", kMinDescriptors, kMaxDescriptors, kDefaultDescriptors);
    const auto callerMemoryMb = reader.readNumber("caller_memory_mb", kMinCallerMemoryMb, kMaxMemoryMb, memoryMb / 2);
    capacity.bytes = static_cast<std::size_t>(callerMemoryMb * kBytesPerMb);
    capacity.connections = static_cast<std::size_t>(
        reader.readInteger("caller_connections", 1, kMaxDescriptors, callerConnectionsOf(maxDescriptors)));
    capacity.bodyProgressBytes = static_cast<std::size_t>(reader.readInteger(
        "body_progress_bytes", 0, kMaxProgressBytes, static_cast<std::int64_t>(capacity.bodyProgressBytes)));
    capacity.bodyProgressWindow
        = Duration { reader.readInteger("body_progress_ms", 1, kMaxProgressMs, capacity.bodyProgressWindow.count()) };
    if (callerMemoryMb >= memoryMb)
        findings.add(
            std::string { fileName } + "/caller_memory_mb", std::to_string(callerMemoryMb), "less than memory_mb");
    if (static_cast<std::int64_t>(capacity.connections) > maxDescriptors - kFileDescriptors)
        findings.add(std::string { fileName } + "/caller_connections", std::to_string(capacity.connections),
            "at most max_fds less " + std::to_string(kFileDescriptors));
    return capacity;
}

} // namespace berylwing
