#include "harness.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

using Clock = std::chrono::steady_clock;
using nlohmann::json;

constexpr std::string_view kObjectsPath = "/-/objects/";
constexpr std::string_view kCrlf = "\r\n";
/** Time in which a client expects its answer; longer than any deadline in the cases. */
constexpr Milliseconds kClientTimeout { 10'000 };
/** Time for which the store and the engines keep an idle connection. */
constexpr Milliseconds kIdleTimeout { 60'000 };
/** Time that the store takes for an answer. */
constexpr Milliseconds kStoreDelay { 4 };
/** Time after which a case ends itself. */
constexpr Milliseconds kMaxLength { 110'000 };
/** Limits of one page of a list. */
constexpr std::size_t kPageItems = 500;
constexpr std::size_t kPageBytes = 1'000'000;
constexpr int kFirstBlock = 60;
constexpr int kLastBlock = 199;

const Clock::time_point kStart = Clock::now();

/** Processes and folders of the hosts that run. */
std::map<pid_t, std::string> runningHosts;

sockaddr_in parseAddress(const std::string& text)
{
    const auto colon = text.find(':');
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    if (inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr) != 1)
        throw std::runtime_error { "not an address: " + text };
    return address;
}

int listenOn(const std::string& text)
{
    const auto address = parseAddress(text);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0
        || ::listen(descriptor, 512) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

std::string lowerCase(std::string text)
{
    for (auto& character : text)
        character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    return text;
}

Message parseHead(const std::string& head)
{
    Message message;
    std::size_t begin = 0;
    while (begin < head.size()) {
        const auto end = std::min(head.find(kCrlf, begin), head.size());
        const auto line = head.substr(begin, end - begin);
        begin = end + kCrlf.size();
        if (message.firstLine.empty()) {
            message.firstLine = line;
            continue;
        }
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.fields[lowerCase(line.substr(0, colon))] = value == std::string::npos ? "" : line.substr(value);
    }
    return message;
}

std::string queryParameter(const std::string& target, const std::string& name)
{
    const auto query = target.find('?');
    std::istringstream items { query == std::string::npos ? "" : target.substr(query + 1) };
    for (std::string item; std::getline(items, item, '&');) {
        if (item.starts_with(name + "="))
            return item.substr(name.size() + 1);
    }
    return {};
}

std::string decodePercent(const std::string& text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index) {
        if (text[index] != '%' || index + 2 >= text.size()) {
            decoded += text[index];
            continue;
        }
        decoded += static_cast<char>(std::stoi(text.substr(index + 1, 2), nullptr, 16));
        index += 2;
    }
    return decoded;
}

std::uint64_t toNumber(const std::string& text) { return text.empty() ? 0 : std::stoull(text); }

std::string secondWord(const std::string& line)
{
    const auto begin = line.find(' ') + 1;
    return line.substr(begin, line.find(' ', begin) - begin);
}

} // namespace

Milliseconds elapsed() { return std::chrono::duration_cast<Milliseconds>(Clock::now() - kStart); }

void record(const std::string& line)
{
    static std::mutex mutex;
    static std::ofstream file { std::string { std::getenv("CASE_FOLDER") } + "/record.txt" };
    const std::lock_guard lock { mutex };
    file << elapsed().count() << " ms  " << line << std::endl;
}

void finish(int code)
{
    while (!runningHosts.empty()) {
        const auto [process, folder] = *runningHosts.begin();
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
        std::filesystem::remove_all(folder);
        runningHosts.erase(process);
    }
    record("exit      " + std::to_string(code));
    // The threads of the stand-ins go on until the end of the process.
    std::_Exit(code);
}

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view { value } != "0";
}

std::string reserveBlock()
{
    std::thread { [] {
        std::this_thread::sleep_for(kMaxLength);
        record("the case takes too long");
        finish(2);
    } }.detach();
    std::srand(static_cast<unsigned>(::getpid()));
    for (int attempt = 0; attempt < kLastBlock; ++attempt) {
        const auto block = "127." + std::to_string(kFirstBlock + std::rand() % (kLastBlock - kFirstBlock));
        // The socket stays open, so that a case that runs at the same time takes another block.
        if (listenOn(block + ".250.1:7999") >= 0)
            return block;
    }
    throw std::runtime_error { "no free block of addresses" };
}

std::string Message::field(const std::string& name) const
{
    const auto found = this->fields.find(name);
    return found == this->fields.end() ? "" : found->second;
}

int Message::status() const
{
    return this->firstLine.starts_with("HTTP/1.1 ") ? std::atoi(this->firstLine.c_str() + 9) : 0;
}

Socket::Socket(Socket&& other) noexcept
    : descriptor { std::exchange(other.descriptor, -1) }
    , buffer { std::move(other.buffer) }
{
}

Socket& Socket::operator=(Socket&& other) noexcept
{
    this->close();
    this->descriptor = std::exchange(other.descriptor, -1);
    this->buffer = std::move(other.buffer);
    return *this;
}

Socket Socket::connect(const std::string& text)
{
    const auto address = parseAddress(text);
    Socket socket { ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
    if (::connect(socket.descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        return Socket {};
    const int on = 1;
    ::setsockopt(socket.descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return socket;
}

bool Socket::send(std::string_view bytes) const
{
    while (!bytes.empty()) {
        const auto size = ::send(this->descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(size));
    }
    return true;
}

bool Socket::readMore(Clock::time_point deadline)
{
    const auto left = std::chrono::duration_cast<Milliseconds>(deadline - Clock::now()).count();
    pollfd state { this->descriptor, POLLIN, 0 };
    if (left <= 0 || ::poll(&state, 1, static_cast<int>(left)) <= 0)
        return false;
    char bytes[65536];
    const auto size = ::recv(this->descriptor, bytes, sizeof bytes, 0);
    if (size <= 0)
        return false;
    this->buffer.append(bytes, static_cast<std::size_t>(size));
    return true;
}

std::optional<Message> Socket::read(Milliseconds timeout)
{
    const auto deadline = Clock::now() + timeout;
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!this->readMore(deadline))
            return std::nullopt;
    }
    auto message = parseHead(this->buffer.substr(0, end));
    this->buffer.erase(0, end + 4);
    if (message.field("transfer-encoding") != "chunked") {
        const auto length = toNumber(message.field("content-length"));
        while (this->buffer.size() < length) {
            if (!this->readMore(deadline))
                return message;
        }
        message.body = this->buffer.substr(0, length);
        this->buffer.erase(0, length);
        message.isComplete = true;
        return message;
    }
    while (true) {
        std::size_t line = 0;
        while ((line = this->buffer.find(kCrlf)) == std::string::npos) {
            if (!this->readMore(deadline))
                return message;
        }
        const auto size = std::stoull(this->buffer.substr(0, line), nullptr, 16);
        while (this->buffer.size() < line + size + 2 * kCrlf.size()) {
            if (!this->readMore(deadline))
                return message;
        }
        message.body += this->buffer.substr(line + kCrlf.size(), size);
        this->buffer.erase(0, line + size + 2 * kCrlf.size());
        if (size == 0) {
            message.isComplete = true;
            return message;
        }
    }
}

bool Socket::isClosedByPeer() const
{
    char byte = 0;
    const auto size = ::recv(this->descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void Socket::close()
{
    if (this->descriptor >= 0)
        ::close(std::exchange(this->descriptor, -1));
}

Listener::Listener(const std::string& address, Handler connectionHandler)
    : handler { std::move(connectionHandler) }
    , descriptor { listenOn(address) }
{
    if (this->descriptor < 0)
        throw std::runtime_error { "cannot listen on " + address };
    std::thread { [listening = this->descriptor, serve = this->handler] {
        while (true) {
            const int accepted = ::accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0 && errno == EINVAL)
                return;
            if (accepted < 0)
                continue;
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread { [serve, accepted] {
                Socket socket { accepted };
                serve(socket);
            } }.detach();
        }
    } }.detach();
}

void Listener::stop() const { ::shutdown(this->descriptor, SHUT_RDWR); }

Store::Store(const std::string& address)
{
    this->listener.emplace(address, [this](Socket& socket) { this->serve(socket); });
}

void Store::serve(Socket& socket)
{
    while (const auto request = socket.read(kIdleTimeout)) {
        std::this_thread::sleep_for(kStoreDelay);
        const auto [status, body] = this->answer(*request);
        const auto text = body.dump();
        if (!socket.send("HTTP/1.1 " + std::to_string(status) + " Status\r\nContent-Type: application/json\r\n"
                + "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text))
            return;
    }
}

std::pair<int, json> Store::answer(const Message& request)
{
    const auto words = std::count(request.firstLine.begin(), request.firstLine.end(), ' ') + 1;
    const auto target = secondWord(request.firstLine);
    if (words != 3 || !target.starts_with(kObjectsPath)) {
        record("store     bad request: " + request.firstLine);
        return { 400, json::object() };
    }
    const auto path = target.substr(kObjectsPath.size(), target.find('?') - kObjectsPath.size());
    const auto slash = path.find('/');
    const auto kind = path.substr(0, slash);
    auto name = slash == std::string::npos ? std::string {} : path.substr(slash + 1);
    const bool isGet = request.firstLine.starts_with("GET ");
    if (isGet && name.empty()) {
        const auto after = queryParameter(target, "watch");
        if (after.empty())
            return { 200, this->list(kind, decodePercent(queryParameter(target, "after"))) };
        return { 200,
            this->watch(kind, toNumber(after), Milliseconds { toNumber(queryParameter(target, "wait_ms")) }) };
    }
    const auto document = request.body.empty() ? json::object() : json::parse(request.body);
    const auto metadata = document.value("metadata", json::object());
    if (name.empty())
        name = metadata.value("name", "");
    const std::lock_guard lock { this->mutex };
    const auto found = this->objects.find({ kind, name });
    const bool isThere = found != this->objects.end();
    if (isGet)
        return isThere ? std::pair { 200, found->second } : std::pair { 404, json::object() };
    if (request.firstLine.starts_with("POST ")) {
        if (isThere)
            return { 409, found->second };
        this->write(kind, name, document.at("spec"));
        return { 201, this->objects.at({ kind, name }) };
    }
    if (!isThere)
        return { 404, json::object() };
    auto expected = toNumber(queryParameter(target, "revision"));
    if (expected == 0)
        expected = metadata.value("revision", std::uint64_t { 0 });
    if (expected != 0 && expected != found->second.at("metadata").at("revision").get<std::uint64_t>())
        return { 409, found->second };
    if (request.firstLine.starts_with("DELETE ")) {
        this->remove(kind, name);
        return { 200, json::object() };
    }
    this->write(kind, name, document.at("spec"));
    return { 200, this->objects.at({ kind, name }) };
}

json Store::list(const std::string& kind, const std::string& afterName)
{
    const std::lock_guard lock { this->mutex };
    json items = json::array();
    std::size_t bytes = 0;
    bool hasMore = false;
    for (const auto& [key, object] : this->objects) {
        if (key.first != kind || key.second <= afterName)
            continue;
        hasMore = items.size() >= kPageItems || bytes >= kPageBytes;
        if (hasMore)
            break;
        items.push_back(object);
        bytes += object.dump().size();
    }
    return { { "items", items }, { "has_more", hasMore }, { "at", this->revision } };
}

json Store::watch(const std::string& kind, std::uint64_t after, Milliseconds wait)
{
    const auto until = Clock::now() + wait;
    std::unique_lock lock { this->mutex };
    while (true) {
        json events = json::array();
        for (const auto& change : this->history) {
            if (change.kind == kind && change.revision > after)
                events.push_back(change.event);
        }
        if (!events.empty() || Clock::now() >= until)
            return { { "events", events }, { "at", this->revision } };
        this->changed.wait_until(lock, until);
    }
}

void Store::put(const std::string& kind, const std::string& name, const json& spec)
{
    const std::lock_guard lock { this->mutex };
    this->write(kind, name, spec);
}

void Store::write(const std::string& kind, const std::string& name, const json& spec)
{
    auto& object = this->objects[{ kind, name }];
    if (object.is_object() && object.at("spec") == spec)
        return;
    ++this->revision;
    const json created = object.is_object() ? object.at("metadata").at("created_revision") : json(this->revision);
    object = { { "metadata",
                   { { "name", name }, { "revision", this->revision }, { "created_revision", created },
                       { "finalizers", json::array() }, { "deletion_pending", false } } },
        { "spec", spec }, { "status", nullptr } };
    this->history.push_back({ this->revision, kind, { { "object", object }, { "deleted", false } } });
    this->changed.notify_all();
}

void Store::remove(const std::string& kind, const std::string& name)
{
    const auto object = this->objects.at({ kind, name });
    this->objects.erase({ kind, name });
    ++this->revision;
    this->history.push_back({ this->revision, kind, { { "object", object }, { "deleted", true } } });
    this->changed.notify_all();
}

Engine::Engine(std::string instanceId, std::string address, Work work)
    : instance { std::move(instanceId) }
    , listenAddress { std::move(address) }
    , requestWork { std::move(work) }
{
    this->listener.emplace(this->listenAddress, [this](Socket& socket) { this->serve(socket); });
}

std::vector<Run> Engine::runs()
{
    const std::lock_guard lock { this->mutex };
    return { this->recorded.begin(), this->recorded.end() };
}

std::string Engine::format(const Message& request, const std::string& status, const std::string& body) const
{
    const auto attemptId = request.field("attempt-id");
    return "HTTP/1.1 " + status + "\r\nAttempt-Id: " + attemptId + "\r\nServer-Signature: " + this->instance + "."
        + attemptId + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

bool Engine::work(Socket& socket, Milliseconds length)
{
    const auto until = Clock::now() + length;
    while (Clock::now() < until) {
        if (socket.isClosedByPeer())
            return false;
        std::this_thread::sleep_for(Milliseconds { 5 });
    }
    return true;
}

void Engine::serve(Socket& socket)
{
    while (const auto request = socket.read(kIdleTimeout)) {
        if (!request->isComplete)
            return;
        const auto attemptId = request->field("attempt-id");
        if (request->field("expect-instance") != this->instance) {
            if (!socket.send("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: " + attemptId
                    + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
                return;
            continue;
        }
        Run* run = nullptr;
        {
            const std::lock_guard lock { this->mutex };
            run = &this->recorded.emplace_back();
            *run = { attemptId, secondWord(request->firstLine), request->field("tenant"), request->body, elapsed(),
                std::nullopt };
        }
        review::record("run       " + attemptId + " at " + this->instance + ": " + request->firstLine + ", tenant '"
            + request->field("tenant") + "', body of " + std::to_string(request->body.size()) + " bytes");
        const auto answer = this->requestWork(*this, *request, socket);
        {
            const std::lock_guard lock { this->mutex };
            run->endedAt = elapsed();
        }
        review::record("run ends  " + attemptId + " at " + this->instance
            + (answer ? ", answered" : ", not answered: the connection is closed"));
        if (!answer || !socket.send(*answer))
            return;
    }
}

Host::Host(const std::string& name, const std::string& domain, const std::string& hostIp, const std::string& store,
    int logDescriptor)
    : ip { hostIp }
{
    char pattern[] = "/tmp/review-host-XXXXXX";
    this->folder = ::mkdtemp(pattern);
    const auto path = this->folder + "/local.json";
    // The template deploy/settings.json, filled in with the bounds of the site that the case names.
    const json settings { { "host", name }, { "domain", domain }, { "callers", this->ip + ":8227" },
        { "readiness", this->ip + ":8220" }, { "metrics", this->ip + ":9102" }, { "platform", store },
        { "digests", this->ip + ":7340" }, { "plan_lease_ms", 5000 }, { "plan_bound_ms", 2000 },
        { "endpoint_bound_ms", 2000 }, { "domain_bound_ms", 5000 }, { "stop_grace_ms", 8000 }, { "retry_ratio", 0.2 },
        { "retry_minimum", 54 }, { "retry_window_ms", 10000 } };
    std::ofstream { path } << settings.dump(2);
    this->process = ::fork();
    if (this->process != 0) {
        runningHosts[this->process] = this->folder;
        if (logDescriptor >= 0)
            ::close(logDescriptor);
        return;
    }
    // The host must not outlive the case, however that ends.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log
        = logDescriptor >= 0 ? logDescriptor : ::open((this->folder + "/log").c_str(), O_WRONLY | O_CREAT, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    const auto settingsFlag = "--settings=" + path;
    ::execl("target/src/berylwing/berylwingd", "berylwingd", "--gateway", settingsFlag.c_str(), nullptr);
    ::_exit(127);
}

void Host::kill()
{
    if (!this->isRunning())
        return;
    ::kill(this->process, SIGKILL);
    ::waitpid(this->process, nullptr, 0);
    this->forget();
}

bool Host::isRunning()
{
    if (this->process != 0 && ::waitpid(this->process, nullptr, WNOHANG) == this->process)
        this->forget();
    return this->process != 0;
}

void Host::forget()
{
    std::filesystem::remove_all(this->folder);
    runningHosts.erase(std::exchange(this->process, 0));
}

bool Host::waitUntilReady(Milliseconds timeout) const
{
    const auto until = Clock::now() + timeout;
    while (Clock::now() < until) {
        auto socket = Socket::connect(this->ip + ":8220");
        if (socket.isOpen() && socket.send("GET /-/readyz HTTP/1.1\r\nHost: platform\r\n\r\n")) {
            const auto answer = socket.read(Milliseconds { 1000 });
            if (answer && answer->status() == 200)
                return true;
        }
        std::this_thread::sleep_for(Milliseconds { 100 });
    }
    return false;
}

json makeRoute(const std::string& prefix, const std::string& kind, const std::string& service, int timeoutMs)
{
    return { { "name", "r-" + prefix.substr(1, prefix.size() - 2) }, { "hostname", "rounds.example" },
        { "path_prefix", prefix }, { "route_kind", kind }, { "timeout_ms", timeoutMs }, { "target_latency_ms", 150 },
        { "priority", 2 }, { "service", service }, { "max_attempts", kind == "idempotent" ? 2 : 1 },
        { "public", false }, { "sticky", false }, { "resumable", false } };
}

json makeConfiguration(std::uint64_t version, const json& routes, const json& tenants)
{
    json services = json::array();
    for (const auto* name : { "lm-pool", "rounds-app" })
        services.push_back({ { "name", name }, { "health_path", "/healthz" }, { "max_connections", 360 },
            { "protocol", "h1" }, { "tls", false }, { "cold_start_s", 0.0 }, { "cold_per_s", 0.0 } });
    return { { "version", version }, { "routes", routes }, { "services", services },
        { "limits",
            { { "max_header_bytes", 16384 }, { "max_body_bytes", 4194304 }, { "header_timeout_ms", 3000 },
                { "idle_timeout_ms", 15000 } } },
        { "tenants", tenants } };
}

json makeEntry(const Engine& engine, const std::string& service, const std::string& zone)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return { { "service", service }, { "address", engine.address() }, { "zone", zone }, { "version", "v1" },
        { "slots", 64 }, { "state", "ready" }, { "cold_remaining_ms", 0 }, { "sequence", 1 },
        { "born", std::chrono::duration_cast<Milliseconds>(now).count() } };
}

std::string makeHead(
    const std::string& method, const std::string& target, const std::string& attemptId, const std::string& key)
{
    auto head = method + " " + target + " HTTP/1.1\r\nHost: rounds.example\r\nAttempt-Id: " + attemptId
        + "\r\nDeadline-Ms: 6000\r\n";
    if (!key.empty())
        head += "Authorization: Bearer " + key + "\r\n";
    return head;
}

std::optional<Message> request(const Host& host, const std::string& method, const std::string& target,
    const std::string& attemptId, const std::string& key, const std::string& body)
{
    record("sent      " + attemptId + ": " + method + " " + target + ", key '" + key + "', body of "
        + std::to_string(body.size()) + " bytes");
    auto socket = Socket::connect(host.callers());
    const auto head = makeHead(method, target, attemptId, key);
    if (!socket.isOpen() || !socket.send(head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body))
        return std::nullopt;
    auto answer = socket.read(kClientTimeout);
    record("answered  " + attemptId + ": " + (answer ? answer->firstLine : "nothing"));
    return answer;
}

} // namespace review
