#pragma once

namespace berylwing {

class ConfigurationWatcher;
class FailureDomain;
class Registrar;
struct Peer;

} // namespace berylwing
