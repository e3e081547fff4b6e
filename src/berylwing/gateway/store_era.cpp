#include "berylwing/gateway/store_era.hpp"

namespace berylwing {

void StoreEra::observe(std::uint64_t era, std::string_view source)
{
    if (era <= this->latest)
        return;
    LogLine line { LogEvent::StoreEraAdvanced };
    line.add("era", static_cast<std::int64_t>(era)).add("previous", static_cast<std::int64_t>(this->latest));
    this->log.write(line.add("from", source));
    this->latest = era;
    this->metrics.setStoreEra(era);
    this->reportAdvance();
}

} // namespace berylwing
