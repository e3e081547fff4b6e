#include "berylwing/gateway/compression.hpp"

#include <algorithm>
#include <google/protobuf/io/gzip_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <string_view>

namespace berylwing {

namespace {

namespace io = google::protobuf::io;

/** Bytes at the end of the format that hold the length of the text. */
constexpr std::size_t kLengthBytes = 4;
/** Limit that keeps a damaged text from filling the memory; objects of the store have at most 1 MB. */
constexpr std::size_t kMaxTextBytes = 4 * 1024 * 1024;

/** Reads the length of the text; the stream itself does not tell a truncated text from a complete one. */
std::optional<std::size_t> readLength(std::string_view compressed)
{
    if (compressed.size() < kLengthBytes)
        return std::nullopt;
    std::size_t length = 0;
    for (std::size_t index = 1; index <= kLengthBytes; ++index)
        length = (length << 8U) | static_cast<unsigned char>(compressed[compressed.size() - index]);
    return length;
}

} // namespace

std::string compressText(const std::string& text)
{
    std::string compressed;
    io::StringOutputStream output { &compressed };
    io::GzipOutputStream stream { &output };
    void* buffer = nullptr;
    int size = 0;
    std::size_t written = 0;
    while (written < text.size() && stream.Next(&buffer, &size)) {
        const auto count = std::min(static_cast<std::size_t>(size), text.size() - written);
        text.copy(static_cast<char*>(buffer), count, written);
        written += count;
        stream.BackUp(size - static_cast<int>(count));
    }
    stream.Close();
    return compressed;
}

std::optional<std::string> decompressText(const std::string& compressed)
{
    io::ArrayInputStream input { compressed.data(), static_cast<int>(compressed.size()) };
    io::GzipInputStream stream { &input };
    std::string text;
    const void* buffer = nullptr;
    int size = 0;
    while (stream.Next(&buffer, &size)) {
        text.append(static_cast<const char*>(buffer), static_cast<std::size_t>(size));
        if (text.size() > kMaxTextBytes)
            return std::nullopt;
    }
    if (stream.ZlibErrorMessage() != nullptr || text.size() != readLength(compressed))
        return std::nullopt;
    return text;
}

} // namespace berylwing
