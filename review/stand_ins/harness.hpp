#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <vector>

/** Stand-ins of the platform for the cases of the review: a store, engines, clients and the processes of the hosts. */
namespace review {

using Milliseconds = std::chrono::milliseconds;

/** Returns the time since the start of the case. */
[[nodiscard]] Milliseconds elapsed();

/** Writes one line, with the time, to record.txt in the folder that the environment variable CASE_FOLDER names. */
void record(const std::string& line);

/** Checks if the case runs with its disruption; TROUBLE=0 turns it off. */
[[nodiscard]] bool hasTrouble();

/** Ends all hosts and the case itself. @param code 1 if the rule was broken, 0 if it held, 2 if the case could not run.
 */
[[noreturn]] void finish(int code);

/** Returns an unused block of loopback addresses, as the first two numbers ("127.83"). */
[[nodiscard]] std::string reserveBlock();

/** A request or a response. */
struct Message {
    std::string firstLine;
    /** Header fields by lower-case name. */
    std::map<std::string, std::string> fields;
    std::string body;
    /** Whether the body is complete. */
    bool isComplete = false;

    [[nodiscard]] std::string field(const std::string& name) const;
    /** Status of a response; 0 if there is none. */
    [[nodiscard]] int status() const;
};

/** A connected socket that is closed by the destructor. */
class Socket {
public:
    explicit Socket(int socketDescriptor = -1)
        : descriptor { socketDescriptor }
    {
    }
    Socket(Socket&& other) noexcept;
    Socket& operator=(Socket&& other) noexcept;
    ~Socket() { this->close(); }

    /** Connects to an address such as "127.0.0.1:80"; the socket is not open on failure. */
    [[nodiscard]] static Socket connect(const std::string& address);

    [[nodiscard]] bool isOpen() const { return this->descriptor >= 0; }
    /** Sends all bytes. @return False if the peer has closed the connection. */
    bool send(std::string_view bytes) const;
    /** Reads a message. @return Nothing if the connection ended before its head, or after the timeout. */
    [[nodiscard]] std::optional<Message> read(Milliseconds timeout);
    /** Checks if the peer has closed its side. */
    [[nodiscard]] bool isClosedByPeer() const;
    void close();

private:
    [[nodiscard]] bool readMore(std::chrono::steady_clock::time_point deadline);

    int descriptor;
    std::string buffer;
};

/** Accepts connections on an address and serves each in a thread. */
class Listener {
public:
    using Handler = std::function<void(Socket&)>;

    Listener(const std::string& address, Handler connectionHandler);

    /** Ends the listening, so that the address refuses connections. */
    void stop() const;

private:
    Handler handler;
    int descriptor;
};

/** The platform's store: objects by kind and name with revisions, conditional writes and watches. */
class Store {
public:
    explicit Store(const std::string& address);

    /** Writes the specification of an object, as the operator and the engines do. */
    void put(const std::string& kind, const std::string& name, const nlohmann::json& spec);

private:
    struct Change {
        std::uint64_t revision;
        std::string kind;
        nlohmann::json event;
    };

    void serve(Socket& socket);
    [[nodiscard]] std::pair<int, nlohmann::json> answer(const Message& request);
    [[nodiscard]] nlohmann::json watch(const std::string& kind, std::uint64_t after, Milliseconds wait);
    [[nodiscard]] nlohmann::json list(const std::string& kind, const std::string& afterName);
    void write(const std::string& kind, const std::string& name, const nlohmann::json& spec);
    void remove(const std::string& kind, const std::string& name);

    std::mutex mutex;
    std::condition_variable changed;
    std::map<std::pair<std::string, std::string>, nlohmann::json> objects;
    std::deque<Change> history;
    std::uint64_t revision = 1;
    std::optional<Listener> listener;
};

/** One run of a request at an engine. */
struct Run {
    std::string attemptId;
    std::string target;
    std::string tenant;
    std::string body;
    Milliseconds begunAt {};
    /** End of the run: it was answered, or the engine noticed that the connection was closed. */
    std::optional<Milliseconds> endedAt;
};

/** An engine that runs requests and records them. */
class Engine {
public:
    /** Runs a request; returns the answer without its id and signature, or nothing to close the connection. */
    using Work = std::function<std::optional<std::string>(Engine&, const Message&, Socket&)>;

    Engine(std::string instanceId, std::string listenAddress, Work requestWork);

    [[nodiscard]] const std::string& id() const { return this->instance; }
    [[nodiscard]] const std::string& address() const { return this->listenAddress; }
    [[nodiscard]] std::vector<Run> runs();
    /** Refuses connections from now on, as after a crash; the work in progress has to end by itself. */
    void stopListening() { this->listener->stop(); }
    /** Formats a complete answer that names the request and bears the engine's signature. */
    [[nodiscard]] std::string format(const Message& request, const std::string& status, const std::string& body) const;
    /** Works for a time, or until the connection is closed. @return False if it was closed. */
    [[nodiscard]] static bool work(Socket& socket, Milliseconds length);

private:
    void serve(Socket& socket);

    std::string instance;
    std::string listenAddress;
    Work requestWork;
    std::mutex mutex;
    std::deque<Run> recorded;
    std::optional<Listener> listener;
};

/** A host of the system: the gateway's process with the settings of a small deployment. */
class Host {
public:
    /** Starts the process. Its output goes to a file, or to the given descriptor, which the host takes over. */
    Host(const std::string& name, const std::string& domain, const std::string& ip, const std::string& store,
        int logDescriptor = -1);
    Host(const Host&) = delete;
    Host& operator=(const Host&) = delete;

    [[nodiscard]] std::string callers() const { return this->ip + ":8227"; }
    /** Waits until the host says that it is ready. */
    [[nodiscard]] bool waitUntilReady(Milliseconds timeout) const;
    [[nodiscard]] bool isRunning();
    void kill();

private:
    void forget();

    std::string ip;
    std::string folder;
    pid_t process = 0;
};

/** Returns a route of the configuration. */
[[nodiscard]] nlohmann::json makeRoute(
    const std::string& prefix, const std::string& kind, const std::string& service, int timeoutMs);

/** Returns a configuration with the two services and the limits of a small deployment. */
[[nodiscard]] nlohmann::json makeConfiguration(
    std::uint64_t version, const nlohmann::json& routes, const nlohmann::json& tenants);

/** Returns the entry of an engine in the store. */
[[nodiscard]] nlohmann::json makeEntry(const Engine& engine, const std::string& service, const std::string& zone);

/** Returns the head of a client's request without the fields that describe its body, and without its end. */
[[nodiscard]] std::string makeHead(
    const std::string& method, const std::string& target, const std::string& attemptId, const std::string& key);

/** Sends a request with a body of known length on a connection of its own and reads the answer. */
[[nodiscard]] std::optional<Message> request(const Host& host, const std::string& method, const std::string& target,
    const std::string& attemptId, const std::string& key, const std::string& body);

} // namespace review
