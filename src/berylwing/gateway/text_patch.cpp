#include "berylwing/gateway/text_patch.hpp"

#include "berylwing/core/hash.hpp"
#include <algorithm>
#include <cstdint>
#include <unordered_map>

namespace berylwing {

namespace {

/** Bytes that have to be equal to be found again at another place of a text. */
constexpr std::size_t kBlockBytes = 32;
/** Limit that keeps a damaged patch from filling the memory; objects of the store have at most 1 MB. */
constexpr std::size_t kMaxTextBytes = 4 * 1024 * 1024;

/** Hash of a window of kBlockBytes bytes that moves over a text. */
class RollingHash {
public:
    explicit RollingHash(std::string_view window)
    {
        for (const char byte : window)
            this->value = this->value * kFactor + valueOf(byte);
    }

    void roll(char leaving, char entering)
    {
        this->value = (this->value - valueOf(leaving) * kLeavingFactor) * kFactor + valueOf(entering);
    }

    [[nodiscard]] std::uint64_t get() const noexcept { return this->value; }

private:
    static constexpr std::uint64_t kFactor = 0x9e3779b97f4a7c15;
    static constexpr std::uint64_t kLeavingFactor = [] {
        std::uint64_t power = 1;
        for (std::size_t index = 1; index < kBlockBytes; ++index)
            power *= kFactor;
        return power;
    }();

    static std::uint64_t valueOf(char byte) { return static_cast<unsigned char>(byte) + 1U; }

    std::uint64_t value = 0;
};

std::size_t commonPrefix(std::string_view left, std::string_view right)
{
    const auto length = std::min(left.size(), right.size());
    const auto end = left.begin() + static_cast<std::ptrdiff_t>(length);
    return static_cast<std::size_t>(std::mismatch(left.begin(), end, right.begin()).first - left.begin());
}

std::unordered_map<std::uint64_t, std::size_t> indexBlocks(std::string_view text)
{
    std::unordered_map<std::uint64_t, std::size_t> blocks;
    blocks.reserve(text.size() / kBlockBytes);
    for (std::size_t offset = 0; offset + kBlockBytes <= text.size(); offset += kBlockBytes)
        blocks.emplace(RollingHash { text.substr(offset, kBlockBytes) }.get(), offset);
    return blocks;
}

void addPart(wire::TextPatch& patch, std::size_t offset, std::size_t length, std::string_view inserted)
{
    patch.add_offsets(static_cast<std::uint32_t>(offset));
    patch.add_lengths(static_cast<std::uint32_t>(length));
    patch.add_inserted(inserted.data(), inserted.size());
}

} // namespace

wire::TextPatch makePatch(std::string_view former, std::string_view text)
{
    wire::TextPatch patch;
    patch.set_former(hashText(former));
    patch.set_result(hashText(text));
    // Each part is a range of the former text and what is inserted behind it.
    std::size_t copyOffset = 0;
    std::size_t copyLength = commonPrefix(former, text);
    std::size_t insertedAt = copyLength;
    std::size_t position = copyLength;
    const auto blocks
        = position < text.size() ? indexBlocks(former) : std::unordered_map<std::uint64_t, std::size_t> {};
    while (position + kBlockBytes <= text.size()) {
        RollingHash hash { text.substr(position, kBlockBytes) };
        auto found = blocks.find(hash.get());
        while (found == blocks.end() && position + kBlockBytes < text.size()) {
            hash.roll(text[position], text[position + kBlockBytes]);
            ++position;
            found = blocks.find(hash.get());
        }
        if (found == blocks.end())
            break;
        auto offset = found->second;
        const auto length = commonPrefix(former.substr(offset), text.substr(position));
        if (length < kBlockBytes) {
            ++position;
            continue;
        }
        auto begin = position;
        while (begin > insertedAt && offset > 0 && former[offset - 1] == text[begin - 1]) {
            --begin;
            --offset;
        }
        addPart(patch, copyOffset, copyLength, text.substr(insertedAt, begin - insertedAt));
        copyOffset = offset;
        copyLength = length + (position - begin);
        position += length;
        insertedAt = position;
    }
    addPart(patch, copyOffset, copyLength, text.substr(insertedAt));
    return patch;
}

std::optional<std::string> applyPatch(std::string_view former, const wire::TextPatch& patch)
{
    const auto count = patch.offsets_size();
    if (patch.former() != hashText(former) || patch.lengths_size() != count || patch.inserted_size() != count)
        return std::nullopt;
    std::string text;
    for (int index = 0; index < count; ++index) {
        const std::size_t offset = patch.offsets(index);
        const std::size_t length = patch.lengths(index);
        if (offset > former.size() || length > former.size() - offset)
            return std::nullopt;
        if (text.size() + length + patch.inserted(index).size() > kMaxTextBytes)
            return std::nullopt;
        text.append(former.substr(offset, length));
        text.append(patch.inserted(index));
    }
    return hashText(text) == patch.result() ? std::optional { std::move(text) } : std::nullopt;
}

} // namespace berylwing
