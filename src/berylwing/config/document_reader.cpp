#include "berylwing/config/document_reader.hpp"

#include <algorithm>
#include <utility>

namespace berylwing {

namespace {

const nlohmann::json& emptyObject()
{
    static const nlohmann::json kEmpty = nlohmann::json::object();
    return kEmpty;
}

template <typename Number> std::string rangeText(Number least, Number most)
{
    return "a number from " + nlohmann::json(least).dump() + " to " + nlohmann::json(most).dump();
}

} // namespace

DocumentReader::DocumentReader(const nlohmann::json& value, std::string placeOfObject, Findings& collected)
    : object { value.is_object() ? value : emptyObject() }
    , place { std::move(placeOfObject) }
    , findings { collected }
{
    if (!value.is_object())
        this->findings.add(this->place, value.dump(), "an object");
}

const nlohmann::json* DocumentReader::find(std::string_view name, bool required)
{
    this->known.emplace(name);
    const auto found = this->object.find(std::string { name });
    if (found != this->object.end())
        return &*found;
    if (required)
        this->findings.add(this->placeOf(name), "nothing", "a value");
    return nullptr;
}

std::string DocumentReader::placeOf(std::string_view name) const { return this->place + "/" + std::string { name }; }

std::string DocumentReader::text(std::string_view name, const char* fallback)
{
    const auto* value = this->find(name, fallback == nullptr);
    if (value == nullptr)
        return fallback == nullptr ? std::string {} : fallback;
    if (value->is_string() && (fallback != nullptr || !value->get<std::string>().empty()))
        return value->get<std::string>();
    this->findings.add(this->placeOf(name), value->dump(), "a text");
    return {};
}

std::int64_t DocumentReader::number(std::string_view name, std::int64_t least, std::int64_t most, std::int64_t fallback)
{
    const auto* value = this->find(name, false);
    if (value == nullptr)
        return fallback;
    if (value->is_number_integer()) {
        const auto number = value->get<std::int64_t>();
        if (number >= least && number <= most)
            return number;
    }
    this->findings.add(this->placeOf(name), value->dump(), rangeText(least, most));
    return fallback;
}

double DocumentReader::decimal(std::string_view name, double least, double most, double fallback)
{
    const auto* value = this->find(name, false);
    if (value == nullptr)
        return fallback;
    if (value->is_number()) {
        const auto number = value->get<double>();
        if (number >= least && number <= most)
            return number;
    }
    this->findings.add(this->placeOf(name), value->dump(), rangeText(least, most));
    return fallback;
}

bool DocumentReader::flag(std::string_view name, bool fallback)
{
    const auto* value = this->find(name, false);
    if (value == nullptr)
        return fallback;
    if (value->is_boolean())
        return value->get<bool>();
    this->findings.add(this->placeOf(name), value->dump(), "true or false");
    return fallback;
}

void DocumentReader::finish()
{
    for (const auto& [name, value] : this->object.items()) {
        if (!this->known.contains(name))
            this->findings.add(this->placeOf(name), "an unknown name", "a known name");
    }
}

nlohmann::json parseDocument(std::string_view text, std::string_view place, Findings& findings)
{
    try {
        return nlohmann::json::parse(text, nullptr, true, true);
    } catch (const nlohmann::json::parse_error& error) {
        const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(error.byte, text.size()));
        const auto line = 1 + std::count(text.begin(), end, '\n');
        findings.add(std::string { place } + ":" + std::to_string(line), error.what(), "JSON, with comments");
        return nlohmann::json::object();
    }
}

} // namespace berylwing
