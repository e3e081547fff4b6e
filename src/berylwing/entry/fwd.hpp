#pragma once

namespace berylwing {

class Entry;
struct CallerRequest;

} // namespace berylwing
