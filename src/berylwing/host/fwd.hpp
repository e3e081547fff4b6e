#pragma once

namespace berylwing {

class Host;
struct HostDependencies;

} // namespace berylwing
