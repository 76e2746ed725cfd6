#include "standins.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <set>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

constexpr int Backlog = 512;

sockaddr_in nameOf(const Endpoint &at) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(static_cast<std::uint16_t>(at.Port));
  inet_pton(AF_INET, at.Host.c_str(), &name.sin_addr);
  return name;
}

int newSocket() { return socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0); }

bool bindTo(int fd, const Endpoint &at) {
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in name = nameOf(at);
  return bind(fd, reinterpret_cast<sockaddr *>(&name), sizeof(name)) == 0;
}

bool isFree(int port) {
  for (const char *host :
       {"127.0.0.1", "127.0.0.2", "127.0.0.3", "127.0.0.4"}) {
    int fd = newSocket();
    bool isBound = bindTo(fd, {host, port});
    close(fd);
    if (!isBound)
      return false;
  }
  return true;
}

std::size_t lengthOf(const Message &message) {
  std::string text = fieldOf(message, "Content-Length");
  return text.empty() ? 0 : std::strtoul(text.c_str(), nullptr, 10);
}

std::string objectText(const std::string &name, const std::string &spec,
                       std::uint64_t revision) {
  return R"({"metadata":{"name":")" + name + R"(","revision":)" +
         std::to_string(revision) +
         R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" + spec +
         R"(,"status":null})";
}

} // namespace

std::string textOf(const Endpoint &at) {
  return at.Host + ":" + std::to_string(at.Port);
}

std::vector<int> freePorts(std::size_t count) {
  // Below the kernel's range of ephemeral ports.
  std::uniform_int_distribution<int> pick(10000, 32000);
  std::mt19937 random{std::random_device{}()};
  std::set<int> ports;
  while (ports.size() < count)
    if (int port = pick(random); isFree(port))
      ports.insert(port);
  return {ports.begin(), ports.end()};
}

Record::Record(const std::string &path) : Out(path) {}

void Record::add(const std::string &line) {
  std::lock_guard lock(Mutex);
  auto since = std::chrono::duration<double>(Clock::now() - Start).count();
  std::array<char, 32> time{};
  std::snprintf(time.data(), time.size(), "%9.4f  ", since);
  Out << time.data() << line << '\n' << std::flush;
}

std::string fieldOf(const Message &message, const std::string &name) {
  std::size_t line = message.Head.find("\r\n");
  while (line != std::string::npos) {
    std::size_t from = line + 2;
    line = message.Head.find("\r\n", from);
    std::string text = message.Head.substr(
        from, line == std::string::npos ? std::string::npos : line - from);
    std::size_t colon = text.find(':');
    if (colon != name.size() ||
        !std::equal(name.begin(), name.end(), text.begin(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    }))
      continue;
    std::size_t value = text.find_first_not_of(' ', colon + 1);
    return value == std::string::npos ? "" : text.substr(value);
  }
  return {};
}

std::string targetOf(const Message &message) {
  std::size_t from = message.Head.find(' ') + 1;
  return message.Head.substr(from, message.Head.find(' ', from) - from);
}

int statusOf(const Message &message) {
  return std::atoi(message.Head.substr(message.Head.find(' ') + 1, 3).c_str());
}

std::string answerText(int status, const std::string &fields,
                       const std::string &body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Connection::~Connection() {
  if (Fd >= 0)
    close(Fd);
}

bool Connection::isClosedByPeer() const {
  char byte = 0;
  return recv(Fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void Connection::reset() const {
  linger value{1, 0};
  setsockopt(Fd, SOL_SOCKET, SO_LINGER, &value, sizeof(value));
  shutdown(Fd, SHUT_RDWR);
}

bool Connection::send(const std::string &bytes) const {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    ssize_t n =
        ::send(Fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

std::optional<Message> Connection::receive(Clock::time_point until) {
  for (;;) {
    if (std::size_t end = Buffered.find("\r\n\r\n"); end != std::string::npos) {
      Message message{Buffered.substr(0, end), {}};
      std::size_t length = lengthOf(message);
      if (Buffered.size() >= end + 4 + length) {
        message.Body = Buffered.substr(end + 4, length);
        Buffered.erase(0, end + 4 + length);
        return message;
      }
    }
    auto left =
        std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
    pollfd ready{Fd, POLLIN, 0};
    if (left <= 0 || poll(&ready, 1, static_cast<int>(left)) != 1)
      return std::nullopt;
    std::array<char, 65536> bytes{};
    ssize_t n = recv(Fd, bytes.data(), bytes.size(), 0);
    if (n <= 0)
      return std::nullopt;
    Buffered.append(bytes.data(), static_cast<std::size_t>(n));
  }
}

std::unique_ptr<Connection> connectTo(const Endpoint &at) {
  int fd = newSocket();
  sockaddr_in name = nameOf(at);
  if (connect(fd, reinterpret_cast<sockaddr *>(&name), sizeof(name)) != 0) {
    close(fd);
    return std::make_unique<Connection>(-1);
  }
  int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return std::make_unique<Connection>(fd);
}

Listener::Listener(const Endpoint &at, Handler handler)
    : Fd(newSocket()), Handle(std::move(handler)) {
  if (!bindTo(Fd, at) || listen(Fd, Backlog) != 0)
    throw std::runtime_error("can't listen on " + textOf(at));
  Acceptor = std::thread([this] {
    for (;;) {
      int fd = accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0 && errno != EINTR && errno != ECONNABORTED)
        return;
      if (fd < 0)
        continue;
      int on = 1;
      setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      std::thread([this, fd] {
        Connection connection(fd);
        Handle(connection);
      }).detach();
    }
  });
}

Listener::~Listener() { stop(); }

void Listener::stop() {
  if (!Acceptor.joinable())
    return;
  shutdown(Fd, SHUT_RDWR);
  Acceptor.join();
  close(Fd);
}

Store::Store(const Endpoint &at)
    : Calls(at, [this](Connection &it) { serve(it); }) {}

void Store::put(const std::string &kind, const std::string &name,
                const std::string &spec) {
  change(kind, name, spec, false);
}

void Store::remove(const std::string &kind, const std::string &name) {
  change(kind, name, "{}", true);
}

void Store::change(const std::string &kind, const std::string &name,
                   const std::string &spec, bool isRemoved) {
  std::lock_guard lock(Mutex);
  ++Revision;
  std::string object = objectText(name, spec, Revision);
  if (isRemoved)
    Kinds[kind].erase(name);
  else
    Kinds[kind][name] = object;
  std::string event = isRemoved ? R"({"removed":true,"object":)"
                                : R"({"removed":false,"object":)";
  History.push_back({Revision, kind, event.append(object).append("}")});
  Changed.notify_all();
}

std::string Store::list(const std::string &kind) {
  std::lock_guard lock(Mutex);
  std::string items;
  for (const auto &[name, object] : Kinds[kind])
    items.append(items.empty() ? "" : ",").append(object);
  return R"({"items":[)" + items + R"(],"more":false,"asOf":)" +
         std::to_string(Revision) + "}";
}

std::string Store::eventsAfter(const std::string &kind,
                               std::uint64_t after) const {
  std::string events;
  for (const Change &it : History)
    if (it.Kind == kind && it.Revision > after)
      events.append(events.empty() ? "" : ",").append(it.Event);
  return events;
}

std::string Store::watch(const std::string &kind, std::uint64_t after,
                         milliseconds wait) {
  std::unique_lock lock(Mutex);
  Changed.wait_for(lock, wait,
                   [&] { return !eventsAfter(kind, after).empty(); });
  return R"({"events":[)" + eventsAfter(kind, after) + R"(],"asOf":)" +
         std::to_string(Revision) + "}";
}

void Store::serve(Connection &connection) {
  const std::string fields =
      "Content-Type: application/json\r\nStore-Era: 1\r\n";
  const std::string prefix = "/-/objects/";
  auto numberAfter = [](const std::string &text, const std::string &name) {
    std::size_t at = text.find(name);
    return at == std::string::npos
               ? 0
               : std::strtoull(text.c_str() + at + name.size(), nullptr, 10);
  };
  while (auto call =
             connection.receive(Clock::now() + std::chrono::minutes(5))) {
    std::string target = targetOf(*call);
    std::string path = target.substr(0, target.find('?'));
    if (!path.starts_with(prefix)) {
      if (!connection.send(answerText(404, fields, "{}")))
        return;
      continue;
    }
    std::string kind = path.substr(prefix.size());
    bool isWatch = target.find("watch=") != std::string::npos;
    std::string body = isWatch
                           ? watch(kind, numberAfter(target, "watch="),
                                   milliseconds(numberAfter(target, "waitMs=")))
                           : list(kind);
    if (!connection.send(answerText(200, fields, body)))
      return;
  }
}

Process::Process(std::vector<std::string> words, std::string log)
    : Words(std::move(words)), Log(std::move(log)) {
  start();
}

Process::~Process() { kill(); }

void Process::start() {
  std::vector<char *> argv;
  for (std::string &it : Words)
    argv.push_back(it.data());
  argv.push_back(nullptr);
  Pid = fork();
  if (Pid != 0)
    return;
  // The process does not outlive the script.
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  int fd = open(Log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(fd, STDOUT_FILENO);
  dup2(fd, STDERR_FILENO);
  execv(argv[0], argv.data());
  _exit(127);
}

void Process::signal(int number) const {
  if (Pid > 0)
    ::kill(Pid, number);
}

void Process::kill() {
  if (Pid <= 0)
    return;
  ::kill(Pid, SIGKILL);
  waitpid(Pid, nullptr, 0);
  Pid = -1;
}

void writeFile(const std::string &path, const std::string &text) {
  std::ofstream(path) << text;
}

std::string entrySettings(const std::vector<int> &ports, const Endpoint &store,
                          int rankPort) {
  auto at = [&](std::size_t i) {
    return "\"127.0.0.1:" + std::to_string(ports.at(i)) + "\"";
  };
  return "{\"name\": \"front-a-1\", \"data_centre\": \"kigali-a\", "
         "\"listen\": " +
         at(0) + ", \"ready\": " + at(1) + ", \"directory\": " + at(2) +
         ", \"link\": " + at(3) + ", \"store\": \"" + textOf(store) +
         "\", \"metrics\": " + at(4) +
         ", \"rank_port\": " + std::to_string(rankPort) + ", \"peers\": [" +
         at(3) +
         "], \"grace_s\": 8, \"retry_share\": 0.2, \"extra_retries\": 90, "
         "\"retry_window_s\": 10, \"registration_heartbeat_ms\": 1200}\n";
}

std::string agentSettings(const std::string &name, const Endpoint &link,
                          const Endpoint &server) {
  std::string text = "{\"name\": \"";
  text.append(name).append("\", \"link\": \"").append(textOf(link));
  text.append("\", \"server\": \"").append(textOf(server)).append("\"}\n");
  return text;
}

bool waitUntilReady(const Endpoint &ready) {
  auto limit = Clock::now() + std::chrono::seconds(15);
  while (Clock::now() < limit) {
    auto connection = connectTo(ready);
    if (connection->isOpen() &&
        connection->send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"))
      if (auto answer =
              connection->receive(Clock::now() + std::chrono::seconds(1));
          answer && statusOf(*answer) == 200)
        return true;
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

bool isTroubleWanted() {
  const char *text = std::getenv("TROUBLE");
  return !text || std::string(text) != "0";
}

} // namespace review
