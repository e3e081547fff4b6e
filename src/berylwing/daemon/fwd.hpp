#pragma once

namespace berylwing {

struct Settings;

int runDaemon(const Settings& settings);

} // namespace berylwing
