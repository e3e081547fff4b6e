#include "berylwing/core/finding.hpp"

#include <utility>

namespace berylwing {

namespace {

/** Limit of the part of a value that is reported; a longer line does not fit into the log. */
constexpr std::size_t kMaxFoundBytes = 200;

} // namespace

std::string Findings::text() const
{
    std::string text;
    for (const auto& finding : this->list)
        text += finding.place + ": found " + finding.found + ", allowed: " + finding.allowed + "\n";
    return text;
}

void Findings::add(std::string_view place, std::string_view found, std::string_view allowed)
{
    this->list.push_back(
        { std::string { place }, std::string { found.substr(0, kMaxFoundBytes) }, std::string { allowed } });
}

void Findings::addAll(std::string_view place, const Findings& part)
{
    for (const auto& finding : part.all())
        this->add(std::string { place } + "/" + finding.place, finding.found, finding.allowed);
}

void Findings::throwIfAny() const
{
    if (!this->list.empty())
        throw ConfigurationError { *this };
}

ConfigurationError::ConfigurationError(Findings all)
    : std::runtime_error { all.text() }
    , collected { std::move(all) }
{
}

} // namespace berylwing
