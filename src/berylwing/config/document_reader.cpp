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

template <typename Number> std::string rangeText(Number min, Number max)
{
    return "a number from " + nlohmann::json(min).dump() + " to " + nlohmann::json(max).dump();
}

} // namespace

DocumentReader::DocumentReader(const nlohmann::json& value, std::string documentPath, Findings& collected)
    : object { value.is_object() ? value : emptyObject() }
    , path { std::move(documentPath) }
    , findings { collected }
{
    if (!value.is_object())
        this->findings.add(this->path, value.dump(), "an object");
}

const nlohmann::json* DocumentReader::find(std::string_view name, bool required)
{
    this->known.emplace(name);
    const auto found = this->object.find(std::string { name });
    if (found != this->object.end())
        return &*found;
    if (required)
        this->findings.add(this->pathOf(name), "nothing", "a value");
    return nullptr;
}

std::string DocumentReader::pathOf(std::string_view name) const { return this->path + "/" + std::string { name }; }

std::string DocumentReader::readString(std::string_view name, const char* fallback)
{
    const auto* value = this->find(name, fallback == nullptr);
    if (value == nullptr)
        return fallback == nullptr ? std::string {} : fallback;
    if (value->is_string() && (fallback != nullptr || !value->get<std::string>().empty()))
        return value->get<std::string>();
    this->findings.add(this->pathOf(name), value->dump(), "a text");
    return {};
}

std::int64_t DocumentReader::readInteger(
    std::string_view name, std::int64_t min, std::int64_t max, std::int64_t fallback)
{
    const auto* value = this->find(name, false);
    if (value == nullptr)
        return fallback;
    if (value->is_number_integer()) {
        const auto number = value->get<std::int64_t>();
        if (number >= min && number <= max)
            return number;
    }
    this->findings.add(this->pathOf(name), value->dump(), rangeText(min, max));
    return fallback;
}

double DocumentReader::readNumber(std::string_view name, double min, double max, double fallback)
{
    const auto* value = this->find(name, false);
    if (value == nullptr)
        return fallback;
    if (value->is_number()) {
        const auto number = value->get<double>();
        if (number >= min && number <= max)
            return number;
    }
    this->findings.add(this->pathOf(name), value->dump(), rangeText(min, max));
    return fallback;
}

bool DocumentReader::readBool(std::string_view name, bool fallback)
{
    const auto* value = this->find(name, false);
    if (value == nullptr)
        return fallback;
    if (value->is_boolean())
        return value->get<bool>();
    this->findings.add(this->pathOf(name), value->dump(), "true or false");
    return fallback;
}

std::map<std::string, std::string, std::less<>> DocumentReader::readTexts(std::string_view name)
{
    std::map<std::string, std::string, std::less<>> texts;
    const auto* value = this->find(name, false);
    if (value == nullptr)
        return texts;
    const bool isValid = value->is_object()
        && std::all_of(value->begin(), value->end(), [](const nlohmann::json& text) { return text.is_string(); });
    if (!isValid) {
        this->findings.add(this->pathOf(name), value->dump(), "an object whose values are strings");
        return texts;
    }
    for (const auto& [key, text] : value->items())
        texts.emplace(key, text.get<std::string>());
    return texts;
}

void DocumentReader::reportUnknownNames()
{
    for (const auto& [name, value] : this->object.items()) {
        if (!this->known.contains(name))
            this->findings.add(this->pathOf(name), "an unknown name", "a known name");
    }
}

nlohmann::json parseDocument(std::string_view text, std::string_view path, Findings& findings)
{
    try {
        return nlohmann::json::parse(text, nullptr, true, true);
    } catch (const nlohmann::json::parse_error& error) {
        const auto end = text.begin() + static_cast<std::ptrdiff_t>(std::min(error.byte, text.size()));
        const auto line = 1 + std::count(text.begin(), end, '\n');
        findings.add(std::string { path } + ":" + std::to_string(line), error.what(), "JSON, with comments");
        return nlohmann::json::object();
    }
}

} // namespace berylwing
