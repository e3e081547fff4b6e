#pragma once

#include <optional>
#include <string>

namespace berylwing {

/** @brief Compresses a text. @param text Text. @return Text in the gzip format. */
[[nodiscard]] std::string compressText(const std::string& text);

/**
 * @brief Restores a compressed text.
 * @param compressed Text in the gzip format.
 * @return Text; nothing if it is damaged or larger than the objects of any store.
 */
[[nodiscard]] std::optional<std::string> decompressText(const std::string& compressed);

} // namespace berylwing
