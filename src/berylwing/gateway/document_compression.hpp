#pragma once

#include <optional>
#include <string>

namespace berylwing {

/** @brief Compresses a document. @param text Document. @return Document in the gzip format. */
[[nodiscard]] std::string compressDocument(const std::string& text);

/**
 * @brief Restores a compressed document.
 * @param compressed Document in the gzip format.
 * @return Document; nothing if it is damaged or larger than the objects of any store.
 */
[[nodiscard]] std::optional<std::string> decompressDocument(const std::string& compressed);

} // namespace berylwing
