#include "berylwing/core/json_text.hpp"

#include <algorithm>
#include <cmath>
#include <spdlog/spdlog.h>

namespace berylwing {

namespace {

/** Limit of an error text, which may contain the whole unreadable value. */
constexpr std::size_t kMaxErrorBytes = 200;
constexpr std::string_view kSpaces = " \t\r\n";

/** Finds the ends of values without parsing them. */
class Scanner {
public:
    explicit Scanner(std::string_view jsonText)
        : text { jsonText }
    {
    }

    /** Skips spaces and returns the next character. */
    char peek()
    {
        this->position = std::min(this->text.find_first_not_of(kSpaces, this->position), this->text.size());
        return this->current();
    }

    bool skipIf(char expected)
    {
        const bool isNext = this->peek() == expected;
        this->position += isNext ? 1 : 0;
        return isNext;
    }

    void skip(char expected)
    {
        if (!this->skipIf(expected))
            throw JsonTextError { std::string { "expected " } + expected + " at byte "
                + std::to_string(this->position) };
    }

    void skipString()
    {
        this->skip('"');
        while (this->current() != '"')
            this->position += this->current() == '\\' ? 2 : 1;
        ++this->position;
    }

    /** Returns the maximum depth of the values that begin up to the end of the text. */
    std::size_t measureDepth()
    {
        std::size_t depth = 0;
        std::size_t maxDepth = 0;
        for (; this->position < this->text.size(); ++this->position) {
            const auto next = this->current();
            if (next == '"') {
                this->skipString();
                --this->position;
            } else if (next == '{' || next == '[') {
                maxDepth = std::max(maxDepth, ++depth);
            } else if ((next == '}' || next == ']') && depth > 0) {
                --depth;
            }
        }
        return maxDepth;
    }

    std::string_view readValue()
    {
        const auto first = this->peek();
        const auto begin = this->position;
        if (first == '"')
            this->skipString();
        else if (first == '{' || first == '[')
            this->skipNested();
        else
            this->position = std::min(this->text.find_first_of(",]} \t\r\n", begin), this->text.size());
        return this->text.substr(begin, this->position - begin);
    }

private:
    [[nodiscard]] char current() const
    {
        if (this->position >= this->text.size())
            throw JsonTextError { "unexpected end of the text" };
        return this->text[this->position];
    }

    void skipNested()
    {
        std::size_t depth = 0;
        do {
            const auto next = this->current();
            if (next == '"') {
                this->skipString();
                continue;
            }
            if (next == '{' || next == '[')
                ++depth;
            else if (next == '}' || next == ']')
                --depth;
            ++this->position;
        } while (depth > 0);
    }

    std::string_view text;
    std::size_t position = 0;
};

bool isNested(std::string_view value) { return value.starts_with('{') || value.starts_with('['); }

/** Checks if the text of a member is small and of its form. */
bool canKeep(std::string_view value, JsonMemberForm form)
{
    if (value.size() > kMaxJsonMemberBytes)
        return false;
    if (form == JsonMemberForm::Scalar || !value.starts_with('['))
        return !isNested(value);
    const auto items = splitJsonArray(value);
    return std::none_of(items.begin(), items.end(), isNested);
}

void checkJsonText(std::string_view text)
{
    if (Scanner { text }.measureDepth() > kMaxJsonDepth)
        throw JsonTextError { "nested too deeply" };
    if (!nlohmann::json::accept(text))
        throw JsonTextError { "not valid JSON" };
}

std::string readName(std::string_view text)
{
    if (text.find('\\') == std::string_view::npos)
        return std::string { text.substr(1, text.size() - 2) };
    return parseJsonText(text).get<std::string>();
}

} // namespace

JsonObjectText::JsonObjectText(std::string_view text)
{
    Scanner scanner { text };
    scanner.skip('{');
    if (scanner.skipIf('}'))
        return;
    do {
        if (scanner.peek() != '"')
            throw JsonTextError { "expected the name of a member" };
        auto name = readName(scanner.readValue());
        scanner.skip(':');
        this->members.emplace_back(std::move(name), scanner.readValue());
    } while (scanner.skipIf(','));
    scanner.skip('}');
}

std::optional<std::string_view> JsonObjectText::find(std::string_view name) const
{
    const auto found = std::find_if(
        this->members.rbegin(), this->members.rend(), [name](const auto& member) { return member.first == name; });
    if (found == this->members.rend())
        return std::nullopt;
    return found->second;
}

std::string_view JsonObjectText::at(std::string_view name) const
{
    if (const auto found = this->find(name))
        return *found;
    throw JsonTextError { "missing member " + std::string { name } };
}

std::vector<std::string_view> splitJsonArray(std::string_view text)
{
    std::vector<std::string_view> items;
    Scanner scanner { text };
    scanner.skip('[');
    if (scanner.skipIf(']'))
        return items;
    do
        items.push_back(scanner.readValue());
    while (scanner.skipIf(','));
    scanner.skip(']');
    return items;
}

nlohmann::json parseJsonText(std::string_view text)
{
    if (Scanner { text }.measureDepth() > kMaxJsonDepth)
        throw JsonTextError { "nested too deeply" };
    try {
        return nlohmann::json::parse(text);
    } catch (const nlohmann::json::exception& error) {
        throw JsonTextError { std::string { error.what() }.substr(0, kMaxErrorBytes) };
    }
}

nlohmann::json readDocumentMembers(std::string_view text, std::span<const JsonMember> members, std::string_view place)
{
    try {
        if (!text.substr(std::min(text.find_first_not_of(kSpaces), text.size())).starts_with('{')) {
            if (text.size() > kMaxJsonMemberBytes)
                throw JsonTextError { "a large document that is no object" };
            return parseJsonText(text);
        }
        checkJsonText(text);
        const JsonObjectText object { text };
        auto kept = nlohmann::json::object();
        for (const auto& member : members) {
            const auto value = object.find(member.name);
            if (!value)
                continue;
            const bool isKept = canKeep(*value, member.form);
            if (!isKept)
                spdlog::warn("leaving out the value of {} in {}, of {} bytes", member.name, place, value->size());
            kept[std::string { member.name }] = isKept ? parseJsonText(*value) : nlohmann::json::object();
        }
        return kept;
    } catch (const JsonTextError& error) {
        spdlog::warn("cannot read the document of {}: {}", place, error.what());
        return nlohmann::json::value_t::discarded;
    }
}

nlohmann::json readDocument(std::string_view text, std::string_view place)
{
    try {
        return parseJsonText(text);
    } catch (const JsonTextError& error) {
        spdlog::warn("cannot read the document of {}: {}", place, error.what());
        return nlohmann::json::value_t::discarded;
    }
}

std::optional<std::uint64_t> readNumber(const nlohmann::json& value, std::uint64_t max)
{
    std::uint64_t number = 0;
    if (value.is_number_unsigned()) {
        number = value.get<std::uint64_t>();
    } else if (value.is_number_float()) {
        // Two to the power of 64, the first number that does not fit.
        constexpr double kEnd = 18446744073709551616.0;
        const auto decimal = value.get<double>();
        if (std::isnan(decimal) || decimal < 0 || decimal >= kEnd)
            return std::nullopt;
        number = static_cast<std::uint64_t>(decimal);
    } else {
        return std::nullopt;
    }
    if (number > max)
        return std::nullopt;
    return number;
}

} // namespace berylwing
