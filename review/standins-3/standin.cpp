#include "standin.h"

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review {

namespace {

constexpr int CouldNotRun = 2;

sockaddr_in nameOf(const std::string &ip, int port) {
  sockaddr_in name{};
  name.sin_family = AF_INET;
  name.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &name.sin_addr);
  return name;
}

[[noreturn]] void giveUp(const std::string &why) {
  std::fprintf(stderr, "could not run: %s\n", why.c_str());
  std::_Exit(CouldNotRun);
}

// Whether the message is complete; moves its body out of \p bytes then.
bool takeChunks(std::string &bytes, std::string &body) {
  std::string out;
  std::size_t at = 0;
  for (;;) {
    std::size_t end = bytes.find("\r\n", at);
    if (end == std::string::npos)
      return false;
    std::size_t size = std::strtoul(bytes.c_str() + at, nullptr, 16);
    if (bytes.size() < end + 2 + size + 2)
      return false;
    out.append(bytes, end + 2, size);
    at = end + 2 + size + 2;
    if (size > 0)
      continue;
    bytes.erase(0, at);
    body = std::move(out);
    return true;
  }
}

} // namespace

std::string Message::field(std::string_view name) const {
  for (const auto &[key, value] : Fields)
    if (key.size() == name.size() &&
        strncasecmp(key.data(), name.data(), name.size()) == 0)
      return value;
  return {};
}

std::string Message::method() const { return First.substr(0, First.find(' ')); }

std::string Message::target() const {
  std::size_t from = First.find(' ');
  if (from == std::string::npos)
    return {};
  return First.substr(from + 1, First.rfind(' ') - from - 1);
}

int Message::status() const {
  std::size_t from = First.find(' ');
  return from == std::string::npos ? 0 : std::atoi(First.c_str() + from);
}

Socket::Socket(Socket &&other) noexcept
    : Fd(std::exchange(other.Fd, -1)), Pending(std::move(other.Pending)) {}

Socket &Socket::operator=(Socket &&other) noexcept {
  close();
  Fd = std::exchange(other.Fd, -1);
  Pending = std::move(other.Pending);
  return *this;
}

void Socket::close() {
  if (Fd >= 0)
    ::close(Fd);
  Fd = -1;
}

bool Socket::write(std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t n = ::send(Fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR)
      continue;
    if (n <= 0)
      return false;
    bytes.remove_prefix(static_cast<std::size_t>(n));
  }
  return true;
}

ReadEnd Socket::read(Message &message, Clock::time_point until, bool isAnswer) {
  message = {};
  bool hasHead = false;
  for (;;) {
    std::size_t end = hasHead ? 0 : Pending.find("\r\n\r\n");
    if (!hasHead && end != std::string::npos) {
      hasHead = true;
      std::string head = Pending.substr(0, end + 2);
      Pending.erase(0, end + 4);
      for (std::size_t at = 0; at < head.size();) {
        std::size_t stop = head.find("\r\n", at);
        std::string line = head.substr(at, stop - at);
        at = stop + 2;
        std::size_t colon = line.find(':');
        if (message.First.empty())
          message.First = line;
        else if (colon != std::string::npos)
          message.Fields.emplace_back(
              line.substr(0, colon),
              line.substr(std::min(line.size(),
                                   line.find_first_not_of(' ', colon + 1))));
      }
    }
    if (hasHead) {
      std::string length = message.field("Content-Length");
      bool isChunked = message.field("Transfer-Encoding") == "chunked";
      std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
      if (isChunked && takeChunks(Pending, message.Body))
        return ReadEnd::Whole;
      if (!isChunked && (!length.empty() || !isAnswer) &&
          Pending.size() >= size) {
        message.Body = Pending.substr(0, size);
        Pending.erase(0, size);
        return ReadEnd::Whole;
      }
    }
    auto left =
        std::chrono::ceil<std::chrono::milliseconds>(until - Clock::now())
            .count();
    pollfd it{Fd, POLLIN, 0};
    if (left <= 0 || ::poll(&it, 1, static_cast<int>(left)) == 0) {
      message.Body = Pending;
      return ReadEnd::Late;
    }
    char buf[65536];
    ssize_t n = ::recv(Fd, buf, sizeof buf, 0);
    if (n > 0) {
      Pending.append(buf, static_cast<std::size_t>(n));
      continue;
    }
    message.Body = Pending;
    bool isUnframed = hasHead && isAnswer && n == 0 &&
                      message.field("Content-Length").empty() &&
                      message.field("Transfer-Encoding").empty();
    if (isUnframed)
      return ReadEnd::Whole;
    return hasHead || !Pending.empty() ? ReadEnd::Broken : ReadEnd::Nothing;
  }
}

Socket connectTo(const std::string &address) {
  std::size_t colon = address.rfind(':');
  sockaddr_in name =
      nameOf(address.substr(0, colon), std::atoi(address.c_str() + colon + 1));
  Socket out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  int on = 1;
  setsockopt(out.fd(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  if (::connect(out.fd(), reinterpret_cast<sockaddr *>(&name), sizeof name) !=
      0)
    out.close();
  return out;
}

int freePort() {
  // Below the ports that the kernel gives to outgoing connections.
  constexpr int first = 20000;
  constexpr int count = 12000;
  static std::atomic<int> next = ::getpid() % count * 101;
  for (int i = 0; i < count; ++i) {
    int port = first + next++ % count;
    Socket it(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in name = nameOf("0.0.0.0", port);
    if (::bind(it.fd(), reinterpret_cast<sockaddr *>(&name), sizeof name) == 0)
      return port;
  }
  giveUp("no free port");
}

int listenFd(const std::string &ip, int &port) {
  constexpr int backlog = 1024;
  int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in name = nameOf(ip, port);
  socklen_t size = sizeof name;
  if (::bind(fd, reinterpret_cast<sockaddr *>(&name), size) != 0 ||
      ::listen(fd, backlog) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr *>(&name), &size) != 0)
    giveUp("can't listen at " + ip + ":" + std::to_string(port));
  port = ntohs(name.sin_port);
  return fd;
}

int listenAt(const std::string &ip, int port, std::function<void(int)> use) {
  int fd = listenFd(ip, port);
  std::thread([fd, use = std::move(use)] {
    for (;;) {
      int peer = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
      if (peer < 0)
        continue;
      int nodelay = 1;
      setsockopt(peer, IPPROTO_TCP, TCP_NODELAY, &nodelay, sizeof nodelay);
      std::thread([peer, use] { use(peer); }).detach();
    }
  }).detach();
  return port;
}

HttpServer::HttpServer(const std::string &ip, int port, Handler handler) {
  Port = listenAt(ip, port, [handler = std::move(handler)](int fd) {
    Socket socket(fd);
    Message request;
    auto never = Clock::now() + std::chrono::hours(1);
    while (socket.isOpen() && socket.read(request, never) == ReadEnd::Whole)
      handler(request, socket);
  });
  At = ip + ":" + std::to_string(Port);
}

std::string answerText(int status, const std::string &fields,
                       std::string_view body) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         std::string(body);
}

Store::Store() {
  Server.emplace("127.0.0.1", 0, [this](const Message &request, Socket &it) {
    onCall(request, it);
  });
}

void Store::put(const std::string &kind, const std::string &name,
                const std::string &spec) {
  std::lock_guard lock(Mutex);
  Kinds[kind][name] = {++Revision, spec};
  Changed.notify_all();
}

std::string Store::objectText(const std::string &name,
                              const Object &object) const {
  return R"({"metadata":{"name":")" + name + R"(","revision":)" +
         std::to_string(object.Revision) +
         R"(,"created":1,"finalizers":[],"deleting":false},"spec":)" +
         object.Spec + R"(,"status":null})";
}

void Store::onCall(const Message &request, Socket &socket) {
  std::string target = request.target();
  const std::string prefix = "/-/objects/";
  std::string kind = target.substr(std::min(prefix.size(), target.size()));
  std::size_t query = std::min(kind.find('?'), kind.size());
  std::string asked = kind.substr(query);
  kind.resize(query);
  auto numberOf = [&](const std::string &name) -> std::uint64_t {
    std::size_t at = asked.find(name + "=");
    return at == std::string::npos
               ? 0
               : std::strtoull(asked.c_str() + at + name.size() + 1, nullptr,
                               10);
  };
  std::unique_lock lock(Mutex);
  bool isWatch = asked.find("watch=") != std::string::npos;
  std::uint64_t after = numberOf("watch");
  auto hasNews = [&] {
    return std::ranges::any_of(Kinds[kind], [&](const auto &it) {
      return it.second.Revision > after;
    });
  };
  if (isWatch)
    Changed.wait_for(lock, std::chrono::milliseconds(numberOf("waitMs")),
                     hasNews);
  std::string list;
  for (const auto &[name, it] : Kinds[kind]) {
    if (isWatch && it.Revision <= after)
      continue;
    std::string text = objectText(name, it);
    list += list.empty() ? "" : ",";
    list += isWatch ? R"({"removed":false,"object":)" + text + "}" : text;
  }
  std::string body = isWatch
                         ? R"({"events":[)" + list + R"(],"asOf":)"
                         : R"({"items":[)" + list + R"(],"more":false,"asOf":)";
  body += std::to_string(Revision) + "}";
  lock.unlock();
  if (!socket.write(answerText(
          200, "Content-Type: application/json\r\nStore-Era: 1\r\n", body)))
    socket.close();
}

Process::Process(const std::vector<std::string> &command,
                 const std::string &output) {
  std::vector<std::string> words = command;
  std::vector<char *> args;
  args.reserve(words.size() + 1);
  for (std::string &it : words)
    args.push_back(it.data());
  args.push_back(nullptr);
  Pid = ::fork();
  if (Pid != 0)
    return;
  ::prctl(PR_SET_PDEATHSIG, SIGKILL);
  int fd = ::open(output.c_str(), O_CREAT | O_WRONLY | O_APPEND, 0644);
  ::dup2(fd, STDOUT_FILENO);
  ::dup2(fd, STDERR_FILENO);
  ::execv(args[0], args.data());
  std::_Exit(127);
}

Process::~Process() {
  if (ended())
    return;
  ::kill(Pid, SIGCONT);
  ::kill(Pid, SIGKILL);
  ::waitpid(Pid, nullptr, 0);
}

void Process::signal(int number) const { ::kill(Pid, number); }

std::optional<std::string> Process::ended() {
  int status = 0;
  if (!End && ::waitpid(Pid, &status, WNOHANG) == Pid)
    End = WIFSIGNALED(status)
              ? "ended by signal " + std::to_string(WTERMSIG(status))
              : "ended with status " + std::to_string(WEXITSTATUS(status));
  return End;
}

std::vector<std::string> writeEntrySettings(EntryPlan &plan) {
  auto address = [&] { return plan.Ip + ":" + std::to_string(freePort()); };
  plan.Listen = address();
  plan.Ready = address();
  if (plan.Link.empty())
    plan.Link = address();
  if (plan.Peers.empty())
    plan.Peers = plan.Link;
  std::string file = plan.Folder + "/" + plan.Name + ".json";
  std::ofstream(file) << "{\n  \"name\": \"" << plan.Name
                      << "\",\n  \"data_centre\": \"kigali-a\",\n"
                      << "  \"listen\": \"" << plan.Listen << "\",\n"
                      << "  \"ready\": \"" << plan.Ready << "\",\n"
                      << "  \"directory\": \"" << address() << "\",\n"
                      << "  \"link\": \"" << plan.Link << "\",\n"
                      << "  \"store\": \"" << plan.Store << "\",\n"
                      << "  \"metrics\": \"" << address() << "\",\n"
                      << "  \"rank_port\": " << plan.RankPort << ",\n"
                      << "  \"peers\": [\"" << plan.Peers << "\"],\n"
                      << "  \"grace_s\": 8,\n  \"retry_share\": 0.2,\n"
                      << "  \"extra_retries\": 90,\n"
                      << "  \"retry_window_s\": 10,\n"
                      << "  \"registration_heartbeat_ms\": 1200,\n"
                      << "  \"change_time_ms\": 2000,\n"
                      << "  \"memory_mb\": 260\n}\n";
  return {"target/bin/greengagespar-entry", "direct", "--settings", file};
}

bool waitReady(const std::string &ready, std::chrono::milliseconds time) {
  for (auto end = Clock::now() + time; Clock::now() < end;) {
    Socket it = connectTo(ready);
    Message answer;
    if (it.isOpen() && it.write("GET /-/ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
        it.read(answer, Clock::now() + std::chrono::seconds(1), true) ==
            ReadEnd::Whole &&
        answer.status() == 200)
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
  }
  return false;
}

Record::Record(const std::string &folder)
    : File(folder + "/record.txt"), Start(Clock::now()) {
  std::ofstream out(File, std::ios::trunc);
}

void Record::line(const std::string &text) {
  std::lock_guard lock(Mutex);
  auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() -
                                                                  Start)
                .count();
  std::ofstream(File, std::ios::app) << ms << " ms: " << text << '\n';
}

bool hasTrouble() {
  const char *it = std::getenv("TROUBLE");
  return !it || std::string_view(it) != "0";
}

TempFolder::TempFolder() {
  std::string pattern =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (!::mkdtemp(pattern.data()))
    giveUp("no temporary folder");
  Path = pattern;
}

void TempFolder::remove() const {
  std::error_code ec;
  std::filesystem::remove_all(Path, ec);
}

} // namespace review
