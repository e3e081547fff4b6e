#pragma once

#include "berylwing/core/task.hpp"
#include "berylwing/memory/host_memory.hpp"
#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <boost/system/error_code.hpp>
#include <cstdint>
#include <functional>

namespace berylwing {

/** @brief Bytes that a connection reads at once; its share of the budget covers as much unparsed input. */
inline constexpr std::size_t kCallerReadBytes = 16 * 1024;

/** @brief Functions by which a request reader uses its connection. */
struct RequestReaderHooks {
    /** Reads some bytes; sets the error on failure. */
    std::function<Task<std::size_t>(boost::asio::mutable_buffer, boost::system::error_code&)> readSome;
    /** Called when a body begins a window in which it has to make progress. */
    std::function<void()> onProgress;
};

/**
 * @brief Reads the requests of one caller's connection within the bounds of the plan and the memory of the host.
 *
 * Whatever is read is reserved first. What a caller sends beside the body, such as chunk extensions and trailers, is
 * bounded by the limit for heads.
 */
class RequestReader {
public:
    /** @brief Parser of a request whose body is held in memory. */
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

private:
    /** Parses what was read, which may be too little. */
    static void parse(Parser& parser, boost::beast::flat_buffer& input, boost::system::error_code& error);
    [[nodiscard]] Task<std::size_t> readMore(boost::system::error_code& error);
    /** Reserves memory for the fields of a head that has arrived as a whole. */
    [[nodiscard]] Task<bool> reserveHead();
    /** Reserves memory for trailers, which the parser stores as soon as they have arrived as a whole. */
    [[nodiscard]] bool tryReserveTrailers();
    /** Checks if what surrounds the body has outgrown the limit. */
    [[nodiscard]] bool isFramingTooLarge(const Parser& parser) const;

public:
    /**
     * @brief Creates a reader.
     * @param inputBuffer Bytes that were read from the connection and not parsed yet.
     * @param callerHold What the connection holds of the memory.
     * @param readerHooks Functions of the connection.
     */
    RequestReader(boost::beast::flat_buffer& inputBuffer, CallerHold& callerHold, RequestReaderHooks readerHooks);

    /** @brief Sets limits of the next request on its parser. @param parser Parser. @param headerBytes Limit of heads
     * and of what surrounds bodies. @param bodyBytes Limit of bodies. */
    void begin(Parser& parser, std::uint32_t headerBytes, std::uint64_t bodyBytes);

    /**
     * @brief Reads a head.
     * @param parser Parser.
     * @return Error; no_memory if the host has none to spare, end_of_stream or partial_message if the caller closed.
     */
    [[nodiscard]] Task<boost::system::error_code> readHead(Parser& parser);

    /** @brief Checks if the body may be read: under pressure only one that is known to be small or may be.
     * @param parser Parser that has read the head. @return False if the request is to be refused. */
    [[nodiscard]] bool admitsBody(const Parser& parser) const;

    /** @brief Reads a body. @param parser Parser that has read the head. @return Error, as of readHead(). */
    [[nodiscard]] Task<boost::system::error_code> readBody(Parser& parser);

private:
    boost::beast::flat_buffer& input;
    CallerHold& hold;
    RequestReaderHooks hooks;
    std::uint32_t maxHeaderBytes = 0;
    /** Called by the parser for each chunk, the last one after all trailers have arrived. */
    std::function<void(std::uint64_t, boost::beast::string_view, boost::system::error_code&)> onChunk;
    /** Bytes that were received for the current body, parsed or not. */
    std::size_t bodyInput = 0;
};

} // namespace berylwing
