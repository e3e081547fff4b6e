#pragma once

#include "berylwing/config/document_reader.hpp"
#include "berylwing/memory/host_capacity.hpp"
#include <string_view>

namespace berylwing {

/**
 * @brief Reads what callers' connections may take of a process: `memory_mb` and `max_fds`, and the settings that go
 * before what follows from these.
 * @param reader Reader of the settings file.
 * @param fileName File name for the findings.
 * @param findings Receives limits that contradict each other.
 * @return Limits; those of the smallest machines where the settings name none.
 */
[[nodiscard]] HostCapacity readCapacity(DocumentReader& reader, std::string_view fileName, Findings& findings);

} // namespace berylwing
