#include "berylwing/telemetry/log.hpp"

#include <memory>
#include <nlohmann/json.hpp>
#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace berylwing {

namespace {

/** Formats the message as a JSON string, so that quotes and line breaks in it cannot corrupt the log line. */
class EscapedMessage : public spdlog::custom_flag_formatter {
public:
    void format(const spdlog::details::log_msg& message, const std::tm&, spdlog::memory_buf_t& destination) override
    {
        const nlohmann::json text = std::string { message.payload.data(), message.payload.size() };
        const auto escaped = text.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        destination.append(escaped.data(), escaped.data() + escaped.size());
    }

    std::unique_ptr<custom_flag_formatter> clone() const override
    {
        return spdlog::details::make_unique<EscapedMessage>();
    }
};

spdlog::level::level_enum toSpdlog(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return spdlog::level::debug;
    case LogLevel::Info:
        return spdlog::level::info;
    case LogLevel::Warn:
        return spdlog::level::warn;
    case LogLevel::Error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

} // namespace

void configureLog(LogLevel level, std::string_view host)
{
    const nlohmann::json hostName = std::string { host };
    auto formatter = std::make_unique<spdlog::pattern_formatter>();
    formatter->add_flag<EscapedMessage>('*').set_pattern(
        R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z","level":"%l","host":)" + hostName.dump() + R"(,"message":%*})");
    auto logger = std::make_shared<spdlog::logger>("berylwing", std::make_shared<spdlog::sinks::stderr_sink_st>());
    logger->set_formatter(std::move(formatter));
    logger->set_level(toSpdlog(level));
    spdlog::set_default_logger(std::move(logger));
}

void logRequest(LogLevel level, std::string_view requestId, std::string_view text)
{
    spdlog::log(toSpdlog(level), "request={} {}", requestId, text);
}

} // namespace berylwing
