#include "site.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace greengagespar::review {

namespace {

// The store's pages hold 1 MB or 500 objects at most.
constexpr std::size_t PageBytes = 1'000'000;
constexpr std::size_t PageObjects = 500;

// Segment size of a caller behind an ordinary network; that of the loopback
// interface is 64 KB, and the kernel would keep megabytes for it.
constexpr int NetworkSegment = 1448;
constexpr int SmallBuffer = 4096;

sockaddr_in addressOf(int port, int host = 1) {
  constexpr std::uint32_t loopbackNet = 0x7f000000;
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_addr.s_addr = htonl(loopbackNet + static_cast<std::uint32_t>(host));
  name.sin_port = htons(static_cast<std::uint16_t>(port));
  return name;
}

std::string unquoted(std::string_view target, std::string_view key) {
  std::string text(key);
  text += '=';
  std::size_t at = target.find(text);
  if (at == std::string_view::npos)
    return {};
  target.remove_prefix(at + text.size());
  return std::string(target.substr(0, target.find('&')));
}

std::string objectText(const std::string &name, std::uint64_t revision,
                       const std::string &spec) {
  return R"({"metadata":{"name":")" + name + R"(","revision":)" +
         std::to_string(revision) + R"(},"spec":)" + spec + "}";
}

std::string jsonAnswer(int status, const std::string &body) {
  return "HTTP/1.1 " + std::to_string(status) +
         " X\r\nStore-Era: 1\r\nContent-Type: application/json\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

Record::Record(const std::string &file) : Out(file) {}

void Record::line(const std::string &text) {
  std::lock_guard lock(Lock);
  std::chrono::duration<double> at = Clock::now() - Start;
  Out << std::fixed << std::setprecision(3) << at.count() << ' ' << text
      << std::endl;
}

int freePort() {
  static std::mt19937 random{std::random_device{}()};
  static std::set<int> given;
  static std::mutex lock;
  std::lock_guard guard(lock);
  std::uniform_int_distribution<int> pick(10000, 32000);
  constexpr int maxTries = 1000;
  for (int i = 0; i < maxTries; ++i) {
    int port = pick(random);
    int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name = addressOf(port);
    bool isFree =
        bind(fd, reinterpret_cast<sockaddr *>(&name), sizeof(name)) == 0;
    ::close(fd);
    if (isFree && given.insert(port).second)
      return port;
  }
  throw std::runtime_error("no free port");
}

int listenAt(int port, int host) {
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in name = addressOf(port, host);
  bool isBound =
      bind(fd, reinterpret_cast<sockaddr *>(&name), sizeof(name)) == 0;
  if (!isBound || ::listen(fd, 1024) != 0)
    throw std::runtime_error("can't listen on port " + std::to_string(port));
  return fd;
}

std::string loopback(int port, int host) {
  return "127.0.0." + std::to_string(host) + ":" + std::to_string(port);
}

std::string Message::field(std::string_view name) const {
  for (const auto &[key, value] : Fields)
    if (key.size() == name.size() &&
        strncasecmp(key.data(), name.data(), name.size()) == 0)
      return value;
  return {};
}

std::string Message::target() const {
  std::size_t from = First.find(' ') + 1;
  return First.substr(from, First.find(' ', from) - from);
}

int Message::status() const {
  return std::atoi(First.c_str() + std::min(First.size(), First.find(' ')));
}

bool Socket::connect(int port, bool isSlow, int host) {
  Fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (isSlow) {
    setsockopt(Fd, SOL_SOCKET, SO_RCVBUF, &SmallBuffer, sizeof(SmallBuffer));
    setsockopt(Fd, IPPROTO_TCP, TCP_MAXSEG, &NetworkSegment,
               sizeof(NetworkSegment));
  }
  int on = 1;
  setsockopt(Fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  sockaddr_in name = addressOf(port, host);
  return ::connect(Fd, reinterpret_cast<sockaddr *>(&name), sizeof(name)) == 0;
}

bool Socket::send(std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t n = ::send(Fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

bool Socket::fill(Clock::time_point until) {
  if (IsAtEnd)
    return false;
  auto left = std::chrono::ceil<milliseconds>(until - Clock::now());
  pollfd ready{Fd, POLLIN, 0};
  if (left.count() < 0 || poll(&ready, 1, static_cast<int>(left.count())) != 1)
    return false;
  std::array<char, 65536> buf{};
  ssize_t n = recv(Fd, buf.data(), buf.size(), 0);
  IsAtEnd = n <= 0;
  if (n > 0)
    Buffer.append(buf.data(), static_cast<std::size_t>(n));
  return n > 0;
}

std::ptrdiff_t Socket::readSome(char *to, std::size_t most,
                                milliseconds timeout) {
  pollfd ready{Fd, POLLIN, 0};
  if (poll(&ready, 1, static_cast<int>(timeout.count())) != 1)
    return 0;
  ssize_t n = recv(Fd, to, most, 0);
  return n > 0 ? n : -1;
}

std::optional<Message> Socket::read(milliseconds timeout, bool isAnswer) {
  auto until = Clock::now() + timeout;
  std::size_t end = 0;
  while ((end = Buffer.find("\r\n\r\n")) == std::string::npos)
    if (!fill(until))
      return std::nullopt;
  Message message;
  std::istringstream head(Buffer.substr(0, end));
  Buffer.erase(0, end + 4);
  std::string text;
  while (std::getline(head, text)) {
    if (!text.empty() && text.back() == '\r')
      text.pop_back();
    std::size_t colon = text.find(": ");
    if (message.First.empty())
      message.First = text;
    else if (colon != std::string::npos)
      message.Fields.emplace_back(text.substr(0, colon),
                                  text.substr(colon + 2));
  }
  std::string length = message.field("Content-Length");
  if (message.field("Transfer-Encoding") == "chunked") {
    for (;;) {
      std::size_t line = 0;
      while ((line = Buffer.find("\r\n")) == std::string::npos)
        if (!fill(until))
          return message;
      std::size_t size = std::strtoul(Buffer.c_str(), nullptr, 16);
      while (Buffer.size() < line + 2 + size + 2)
        if (!fill(until))
          return message;
      message.Body += Buffer.substr(line + 2, size);
      Buffer.erase(0, line + 2 + size + 2);
      if (size == 0)
        break;
    }
  } else if (!length.empty()) {
    std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
    while (Buffer.size() < size)
      if (!fill(until))
        return message;
    message.Body = Buffer.substr(0, size);
    Buffer.erase(0, size);
  } else if (isAnswer) {
    while (fill(until)) {
    }
    message.Body = std::exchange(Buffer, {});
    message.IsWhole = IsAtEnd;
    return message;
  }
  message.IsWhole = true;
  return message;
}

bool Socket::isClosedWithin(milliseconds timeout) {
  auto until = Clock::now() + timeout;
  while (fill(until)) {
  }
  return IsAtEnd;
}

void Socket::close(bool resets) {
  if (Fd < 0)
    return;
  linger hard{1, 0};
  if (resets)
    setsockopt(Fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
  ::close(std::exchange(Fd, -1));
}

void Socket::shutdown() {
  if (Fd >= 0)
    ::shutdown(Fd, SHUT_RDWR);
}

Listener::Listener(int port, Handler handler, int host)
    : Port(port), Handle(std::move(handler)), Fd(listenAt(port, host)),
      Acceptor([this] { accept(); }) {}

Listener::~Listener() {
  Ends = true;
  ::shutdown(Fd, SHUT_RDWR);
  Acceptor.join();
  ::close(Fd);
  {
    std::lock_guard lock(Lock);
    for (auto &it : Sockets)
      it->shutdown();
  }
  for (std::thread &it : Threads)
    it.join();
}

void Listener::accept() {
  while (!Ends) {
    int fd = accept4(Fd, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0)
      continue;
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    auto socket = std::make_shared<Socket>(fd);
    std::lock_guard lock(Lock);
    Sockets.push_back(socket);
    Threads.emplace_back([this, socket] {
      while (!Ends) {
        auto request = socket->read(std::chrono::hours(1), false);
        if (!request || !request->IsWhole)
          break;
        Handle(*socket, *request);
      }
      socket->shutdown();
    });
  }
}

Store::Store()
    : Calls(freePort(), [this](Socket &socket, const Message &request) {
        answer(socket, request);
      }) {}

Store::~Store() {
  std::lock_guard lock(Lock);
  Ends = true;
  News.notify_all();
}

void Store::put(const std::string &kind, const std::string &name,
                const std::string &spec) {
  std::lock_guard lock(Lock);
  std::string text = objectText(name, ++Revision, spec);
  Objects[kind][name] = text;
  History.push_back(
      {Revision, kind, R"({"removed":false,"object":)" + text + "}"});
  News.notify_all();
}

void Store::remove(const std::string &kind, const std::string &name) {
  std::lock_guard lock(Lock);
  Objects[kind].erase(name);
  std::string text = objectText(name, ++Revision, "{}");
  History.push_back(
      {Revision, kind, R"({"removed":true,"object":)" + text + "}"});
  News.notify_all();
}

void Store::compact() {
  std::lock_guard lock(Lock);
  HistoryAfter = ++Revision;
  History.clear();
  News.notify_all();
}

std::string Store::list(const std::string &kind, const std::string &after) {
  std::string items;
  std::size_t count = 0;
  bool hasMore = false;
  const auto &all = Objects[kind];
  for (auto it = all.upper_bound(after); it != all.end(); ++it) {
    bool fits =
        items.size() + it->second.size() <= PageBytes && count < PageObjects;
    hasMore = count > 0 && !fits;
    if (hasMore)
      break;
    items += (count++ > 0 ? "," : "") + it->second;
  }
  return R"({"items":[)" + items + R"(],"more":)" +
         (hasMore ? "true" : "false") + R"(,"asOf":)" +
         std::to_string(Revision) + "}";
}

void Store::answer(Socket &socket, const Message &request) {
  std::string target = request.target();
  std::string path = target.substr(0, target.find('?'));
  std::string kind = path.substr(path.rfind('/') + 1);
  std::string watch = unquoted(target, "watch");
  std::unique_lock lock(Lock);
  if (watch.empty()) {
    std::string body = list(kind, unquoted(target, "after"));
    lock.unlock();
    socket.send(jsonAnswer(200, body));
    return;
  }
  std::uint64_t after = std::strtoull(watch.c_str(), nullptr, 10);
  auto until = Clock::now() +
               milliseconds(std::atoi(unquoted(target, "waitMs").c_str()));
  auto eventsAfter = [&] {
    std::string events;
    for (const Change &it : History)
      if (it.Kind == kind && it.Revision > after)
        events += (events.empty() ? "" : ",") + it.Text;
    return events;
  };
  News.wait_until(lock, until, [&] {
    return Ends || after < HistoryAfter || !eventsAfter().empty();
  });
  bool isGone = after < HistoryAfter;
  std::string body = R"({"events":[)" + eventsAfter() + R"(],"asOf":)" +
                     std::to_string(Revision) + "}";
  lock.unlock();
  socket.send(isGone ? jsonAnswer(410, "{}") : jsonAnswer(200, body));
}

std::string serverEntry(const std::string &service, const std::string &address,
                        std::uint64_t born, const std::string &zone) {
  return R"({"service":")" + service + R"(","address":")" + address +
         R"(","zone":")" + zone +
         R"(","version":"v1","slots":200,"state":"ready",)"
         R"("coldRemainingMs":0,"sequence":1,"born":)" +
         std::to_string(born) + "}";
}

std::string signedAnswer(const Message &request, int status,
                         std::string_view body, const std::string &moreFields) {
  std::string out =
      "HTTP/1.1 " + std::to_string(status) +
      " X\r\nX-Request-Id: " + request.field("X-Request-Id") +
      "\r\nX-Server-Signature: 3e1b.07\r\nKeep-Alive: timeout=5\r\n" +
      moreFields + "Content-Length: " + std::to_string(body.size()) +
      "\r\n\r\n";
  out.append(body);
  return out;
}

Process::Process(const std::string &program, const std::string &folder,
                 const std::string &name, const std::string &settings) {
  std::string base = folder + "/" + name;
  std::string file = base + ".json";
  std::ofstream(file) << settings;
  std::string path = "target/bin/" + program;
  if (access(path.c_str(), X_OK) != 0)
    throw std::runtime_error(path + " is not built");
  pid_t parent = getpid();
  Pid = fork();
  if (Pid != 0)
    return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent)
    _exit(CouldNotRun);
  int out = open((base + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(out, STDOUT_FILENO);
  dup2(out, STDERR_FILENO);
  execl(path.c_str(), path.c_str(), "direct", "--settings", file.c_str(),
        static_cast<char *>(nullptr));
  _exit(CouldNotRun);
}

Process::~Process() {
  if (!isRunning())
    return;
  kill(Pid, SIGKILL);
  waitpid(Pid, nullptr, 0);
}

void Process::signal(int number) const { kill(Pid, number); }

bool Process::isRunning(std::string *how) {
  int status = 0;
  if (Ended.empty() && waitpid(Pid, &status, WNOHANG) == Pid)
    Ended = WIFSIGNALED(status)
                ? "signal " + std::to_string(WTERMSIG(status))
                : "exit code " + std::to_string(WEXITSTATUS(status));
  if (how)
    *how = Ended;
  return Ended.empty();
}

std::string entrySettings(const std::string &name, const EntryPorts &ports,
                          int storePort, const std::string &more) {
  auto text = [](const char *key, const std::string &value) {
    return "\"" + std::string(key) + R"(":")" + value + "\",";
  };
  return "{" + text("name", name) + text("data_centre", "z") +
         text("listen", loopback(ports.Listen)) +
         text("ready", loopback(ports.Ready)) +
         text("directory", loopback(ports.Directory)) +
         text("link", loopback(ports.Link)) +
         text("store", loopback(storePort)) +
         R"("grace_s":8,"retry_share":0.2,"extra_retries":90,)"
         R"("retry_window_s":10,"registration_heartbeat_ms":1200,)"
         R"("change_time_ms":2000)" +
         more + "}";
}

bool waitReady(const EntryPorts &ports, milliseconds timeout) {
  auto until = Clock::now() + timeout;
  while (Clock::now() < until) {
    Socket socket;
    if (socket.connect(ports.Ready) &&
        socket.send("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n"))
      if (auto it = socket.read(milliseconds(500), true);
          it && it->status() == 200)
        return true;
    std::this_thread::sleep_for(milliseconds(50));
  }
  return false;
}

Folder::Folder() {
  std::string name = std::filesystem::temp_directory_path() / "review-XXXXXX";
  if (!mkdtemp(name.data()))
    throw std::runtime_error("no temporary folder");
  Path = name;
}

Folder::~Folder() {
  std::error_code ec;
  std::filesystem::remove_all(Path, ec);
}

bool hasTrouble() {
  const char *it = std::getenv("TROUBLE");
  return !it || std::string_view(it) != "0";
}

int runCase(int argc, char **argv, const std::function<int(Record &)> &play) {
  if (argc < 2) {
    std::cerr << "usage: " << argv[0] << " FOLDER\n";
    return CouldNotRun;
  }
  std::signal(SIGPIPE, SIG_IGN);
  try {
    Record record(std::string(argv[1]) + "/record.txt");
    record.line(std::string("disruption: ") + (hasTrouble() ? "yes" : "no"));
    int code = play(record);
    record.line(code == RuleHeld     ? "the rule held"
                : code == RuleBroken ? "the rule was broken"
                                     : "the case could not run");
    std::cout << (code == RuleHeld     ? "held"
                  : code == RuleBroken ? "broken"
                                       : "could not run")
              << "\n";
    return code;
  } catch (const std::exception &e) {
    std::cerr << e.what() << "\n";
    return CouldNotRun;
  }
}

} // namespace greengagespar::review
