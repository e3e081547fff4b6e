#include "berylwing/gateway/document_history.hpp"

#include "berylwing/gateway/text_patch.hpp"
#include <algorithm>
#include <iterator>
#include <utility>

namespace berylwing {

namespace {

/** Time for which other hosts can get a difference; those that have missed older ones need the document. */
constexpr Duration kPatchTtl { 10'000 };
constexpr std::size_t kMaxPatches = 64;
/** Maximum bytes of the differences that a digest repeats; they reach the hosts that have missed a digest or two. */
constexpr std::size_t kMaxNewsPatchBytes = 2000;

} // namespace

void DocumentHistory::clear()
{
    this->documents.clear();
    this->changes.clear();
}

void DocumentHistory::recordListed(const std::string& name, const std::string& text)
{
    if (text.size() > kMaxNewsDocumentBytes)
        this->documents.insert_or_assign(name, text);
}

void DocumentHistory::add(wire::StorePatch patch)
{
    this->changes.push_back({ std::move(patch), this->clock.now() });
    this->prune();
}

void DocumentHistory::prune()
{
    const auto oldest = this->clock.now() - kPatchTtl;
    while (!this->changes.empty() && (this->changes.front().at < oldest || this->changes.size() > kMaxPatches))
        this->changes.pop_front();
}

void DocumentHistory::recordChange(const wire::StoreChange& change, std::uint64_t formerFingerprint)
{
    const auto& text = change.value();
    const auto former = this->documents.find(change.name());
    if (former == this->documents.end() || text.size() <= kMaxNewsDocumentBytes) {
        this->changes.clear();
        if (former != this->documents.end())
            this->documents.erase(former);
        return this->recordListed(change.name(), text);
    }
    wire::StorePatch patch;
    *patch.mutable_patch() = makePatch(former->second, text);
    former->second = text;
    // Hosts that lack most of a document need it as a whole, which compresses better.
    if (patch.ByteSizeLong() > text.size() / 2) {
        this->changes.clear();
        return;
    }
    patch.set_name(change.name());
    patch.set_revision(change.revision());
    patch.set_version(change.version());
    patch.set_former_fingerprint(formerFingerprint);
    this->add(std::move(patch));
}

void DocumentHistory::appendRecent(wire::StoreNews& news)
{
    this->prune();
    std::size_t bytes = 0;
    auto first = this->changes.end();
    while (first != this->changes.begin()) {
        bytes += std::prev(first)->patch.ByteSizeLong();
        if (bytes > kMaxNewsPatchBytes)
            break;
        --first;
    }
    for (; first != this->changes.end(); ++first)
        *news.add_patches() = first->patch;
}

std::deque<DocumentHistory::Change>::const_iterator DocumentHistory::findFirst(std::uint64_t fingerprint) const
{
    return std::find_if(this->changes.begin(), this->changes.end(),
        [fingerprint](const Change& change) { return change.patch.former_fingerprint() == fingerprint; });
}

bool DocumentHistory::appendFrom(wire::StoreNews& news, std::uint64_t fingerprint)
{
    this->prune();
    const auto first = this->findFirst(fingerprint);
    for (auto change = first; change != this->changes.end(); ++change)
        *news.add_patches() = change->patch;
    return first != this->changes.end();
}

std::optional<std::vector<PatchedDocument>> DocumentHistory::apply(
    const wire::StoreNews& news, std::uint64_t fingerprint)
{
    const auto first = std::find_if(news.patches().begin(), news.patches().end(),
        [fingerprint](const wire::StorePatch& patch) { return patch.former_fingerprint() == fingerprint; });
    if (first == news.patches().end())
        return std::nullopt;
    std::vector<PatchedDocument> patched;
    for (auto patch = first; patch != news.patches().end(); ++patch) {
        auto document = std::find_if(patched.begin(), patched.end(),
            [&patch](const PatchedDocument& other) { return other.name == patch->name(); });
        if (document == patched.end()) {
            const auto known = this->documents.find(patch->name());
            if (known == this->documents.end())
                return std::nullopt;
            document = patched.insert(patched.end(), { patch->name(), known->second });
        }
        auto text = applyPatch(document->text, patch->patch());
        if (!text)
            return std::nullopt;
        *document = { patch->name(), std::move(*text), patch->revision(), patch->version() };
    }
    for (auto patch = first; patch != news.patches().end(); ++patch)
        this->add(*patch);
    for (const auto& document : patched)
        this->documents.insert_or_assign(document.name, document.text);
    return patched;
}

} // namespace berylwing
