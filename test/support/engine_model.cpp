#include "support/engine_model.hpp"

#include "berylwing/core/hash.hpp"
#include <algorithm>

namespace berylwing::test {

std::vector<std::string> EngineModel::answer(const std::string& engine, const std::string& body, std::size_t tokens)
{
    std::vector<std::string> parts;
    for (std::size_t index = 0; index < tokens; ++index) {
        const auto token = hashText(body, index) % 100000;
        parts.push_back("data: {\"engine\":\"" + engine + "\",\"index\":" + std::to_string(index) + ",\"token\":\"t"
            + std::to_string(token) + "\"}\n\n");
    }
    parts.emplace_back("data: [DONE]\n\n");
    return parts;
}

bool EngineModel::begin()
{
    ++this->startedRequests;
    ++this->running;
    auto& most = this->warm ? this->maxRunningWarm : this->maxRunningCold;
    most = std::max(most, this->running);
    if (this->warm || this->running <= this->coldLimit)
        return true;
    ++this->overloadCrashes;
    return false;
}

void EngineModel::end()
{
    if (this->running > 0)
        --this->running;
}

void EngineModel::restart()
{
    ++this->boot;
    this->running = 0;
    this->warm = false;
}

} // namespace berylwing::test
