#include "berylwing/http/request_reader.hpp"

#include <algorithm>
#include <boost/asio/error.hpp>
#include <limits>
#include <string_view>
#include <utility>

namespace berylwing {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;

/** Bytes of chunk headers for each byte of a body; a chunk of one byte has five. */
constexpr std::size_t kMaxFramingPerByte = 16;

/** Bytes that a parsed field takes beside its text. */
constexpr std::size_t kFieldBytes = 96;
constexpr std::string_view kEndOfFields = "\r\n\r\n";

/** Returns the bytes that lines take once they are parsed as fields. */
std::size_t measureLines(std::string_view lines)
{
    return lines.size() + static_cast<std::size_t>(std::count(lines.begin(), lines.end(), '\n')) * kFieldBytes;
}

/** Returns the bytes that the fields at the beginning of a text take once they are parsed; zero without their end. */
std::size_t measureFields(std::string_view text)
{
    const auto end = text.find(kEndOfFields);
    return end == std::string_view::npos ? 0 : measureLines(text.substr(0, end));
}

std::string_view viewOf(const boost::beast::flat_buffer& input)
{
    return { static_cast<const char*>(input.data().data()), input.size() };
}

boost::system::error_code toEndOfInput(const RequestReader::Parser& parser)
{
    return parser.got_some() ? http::make_error_code(http::error::partial_message)
                             : http::make_error_code(http::error::end_of_stream);
}

} // namespace

RequestReader::RequestReader(
    boost::beast::flat_buffer& inputBuffer, CallerHold& callerHold, RequestReaderHooks readerHooks)
    : input { inputBuffer }
    , hold { callerHold }
    , hooks { std::move(readerHooks) }
    , onChunk { [this](std::uint64_t size, boost::beast::string_view, boost::system::error_code& error) {
        if (size == 0 && !this->tryReserveTrailers())
            error = asio::error::no_memory;
    } }
{
}

void RequestReader::begin(Parser& parser, std::uint32_t headerBytes, std::uint64_t bodyBytes)
{
    this->maxHeaderBytes = headerBytes;
    parser.on_chunk_header(this->onChunk);
    parser.header_limit(headerBytes);
    parser.body_limit(bodyBytes);
}

void RequestReader::parse(Parser& parser, boost::beast::flat_buffer& input, boost::system::error_code& error)
{
    if (input.size() == 0)
        return;
    const auto size = parser.put(input.data(), error);
    input.consume(size);
    if (error == http::error::need_more)
        error = {};
}

Task<bool> RequestReader::reserveHead()
{
    const auto bytes = measureFields(viewOf(this->input));
    return this->hold.grow(this->hold.fieldBytes, bytes);
}

bool RequestReader::tryReserveTrailers()
{
    // The callback does not tell where in the input the last chunk is, so that lines of the body may count as well.
    const auto text = viewOf(this->input);
    const auto end = text.rfind(kEndOfFields);
    const auto bytes = end == std::string_view::npos ? 0 : measureLines(text.substr(0, end));
    return this->hold.fieldBytes.tryGrow(this->hold.fieldBytes.size() + bytes);
}

Task<std::size_t> RequestReader::readMore(boost::system::error_code& error)
{
    // The first read of each connection is covered by what every connection holds.
    const auto hasRoom = co_await this->hold.grow(
        this->hold.connectionBytes, std::max(this->hold.connectionBytes.size(), this->input.size() + kCallerReadBytes));
    if (!hasRoom) {
        error = asio::error::no_memory;
        co_return 0;
    }
    const auto size = co_await this->hooks.readSome(this->input.prepare(kCallerReadBytes), error);
    this->input.commit(size);
    this->hold.connection.recordMoved(size);
    co_return size;
}

Task<boost::system::error_code> RequestReader::readHead(Parser& parser)
{
    boost::system::error_code error;
    parser.eager(false);
    while (!parser.is_header_done()) {
        const auto hasRoom = co_await this->reserveHead();
        if (!hasRoom)
            co_return asio::error::no_memory;
        parse(parser, this->input, error);
        if (error || parser.is_header_done())
            break;
        const auto size = co_await this->readMore(error);
        if (error == asio::error::eof || (!error && size == 0))
            co_return toEndOfInput(parser);
        if (error)
            break;
    }
    co_return error;
}

bool RequestReader::admitsBody(const Parser& parser) const
{
    const auto length = parser.content_length();
    return !this->hold.host->budget.isUnderPressure() || !length || *length <= kSmallBodyBytes;
}

bool RequestReader::isFramingTooLarge(const Parser& parser) const
{
    if (this->input.size() > this->maxHeaderBytes)
        return true;
    const auto body = parser.get().body().size();
    const auto framing = this->bodyInput > body ? this->bodyInput - body : 0;
    return framing / kMaxFramingPerByte > body + this->maxHeaderBytes;
}

Task<boost::system::error_code> RequestReader::readBody(Parser& parser)
{
    boost::system::error_code error;
    parser.eager(true);
    this->bodyInput = this->input.size();
    std::size_t movedInWindow = 0;
    this->hooks.onProgress();
    const auto& body = parser.get().body();
    while (!parser.is_done()) {
        parse(parser, this->input, error);
        if (error || parser.is_done())
            break;
        if (this->isFramingTooLarge(parser)) {
            error = http::error::header_limit;
            break;
        }
        // A body in chunks shows its size only as it comes.
        const auto isGettingLarge = !parser.content_length() && body.size() + kCallerReadBytes > kSmallBodyBytes
            && this->hold.bodyBytes.size() <= kSmallBodyBytes;
        if (isGettingLarge && this->hold.host->budget.isUnderPressure()) {
            error = asio::error::no_memory;
            break;
        }
        const auto hasRoom = co_await this->hold.grow(this->hold.bodyBytes, body.size() + kCallerReadBytes);
        if (!hasRoom) {
            error = asio::error::no_memory;
            break;
        }
        const auto size = co_await this->readMore(error);
        this->bodyInput += size;
        movedInWindow += size;
        if (movedInWindow >= this->hold.host->capacity.bodyProgressBytes) {
            movedInWindow = 0;
            this->hooks.onProgress();
        }
        if (error == asio::error::eof || (!error && size == 0))
            co_return toEndOfInput(parser);
        if (error)
            break;
    }
    if (!error) {
        const auto hasRoom = co_await this->hold.grow(this->hold.bodyBytes, body.size());
        if (!hasRoom)
            error = asio::error::no_memory;
        this->hold.bodyBytes.shrink(body.size());
    }
    co_return error;
}

} // namespace berylwing
