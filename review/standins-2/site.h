/// \file
/// Stand-ins for the users' platform, servers and callers, and the processes of
/// the system, for the scripts of this review. Each connection of a stand-in
/// has a thread of its own. Uses the C++ library and POSIX only.
#ifndef GREENGAGESPAR_REVIEW_STANDINS_2_SITE_H
#define GREENGAGESPAR_REVIEW_STANDINS_2_SITE_H

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

namespace greengagespar::review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// Exit codes of a script.
inline constexpr int RuleHeld = 0;
inline constexpr int RuleBroken = 1;
inline constexpr int CouldNotRun = 2;

/// Writes lines with the time since its start to a file. Thread safe.
class Record {
public:
  explicit Record(const std::string &file);
  void line(const std::string &text);

private:
  std::mutex Lock;
  std::ofstream Out;
  Clock::time_point Start = Clock::now();
};

/// Returns a port of 127.0.0.1 that is free. Throws if there is none.
int freePort();
/// Returns "127.0.0.HOST:PORT".
std::string loopback(int port, int host = 1);
/// Listens at a port of 127.0.0.HOST. Throws if it can't.
int listenAt(int port, int host);

/// A message as it was read.
struct Message {
  std::string First; ///< The request line or the status line.
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;
  bool IsWhole = false;

  /// Returns the field \p name; empty: there is none.
  std::string field(std::string_view name) const;
  std::string method() const { return First.substr(0, First.find(' ')); }
  std::string target() const;
  int status() const;
};

/// A connected socket.
class Socket {
public:
  explicit Socket(int fd = -1) : Fd(fd) {}
  ~Socket() { close(); }
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;

  /// Connects to a port of 127.0.0.HOST. With \p isSlow, the kernel keeps few
  /// bytes for the other side. Returns whether it is connected.
  bool connect(int port, bool isSlow = false, int host = 1);
  bool send(std::string_view bytes);
  /// Reads one message that has a length, is chunked or ends with the
  /// connection. Empty: the connection ended before it began.
  std::optional<Message> read(milliseconds timeout, bool isAnswer);
  /// Reads up to \p most bytes that have arrived. Returns -1 at the end.
  std::ptrdiff_t readSome(char *to, std::size_t most, milliseconds timeout);
  /// Whether the other side closes the connection within \p timeout.
  bool isClosedWithin(milliseconds timeout);
  void close(bool resets = false);
  /// Ends a read in another thread.
  void shutdown();

private:
  bool fill(Clock::time_point until);

  int Fd;
  std::string Buffer;
  bool IsAtEnd = false;
};

/// Accepts connections at a port of 127.0.0.HOST and calls a handler with each
/// request. The handler answers on the socket.
class Listener {
public:
  using Handler = std::function<void(Socket &, const Message &)>;

  Listener(int port, Handler handler, int host = 1);
  ~Listener();
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

  int port() const { return Port; }

private:
  void accept();

  int Port;
  Handler Handle;
  int Fd;
  std::atomic<bool> Ends = false;
  std::mutex Lock;
  std::vector<std::shared_ptr<Socket>> Sockets;
  std::vector<std::thread> Threads;
  std::thread Acceptor;
};

/// The platform's store. Lists objects in pages of 1 MB at most and answers
/// watches as soon as there is an event.
class Store {
public:
  Store();
  ~Store();

  /// Writes an object; \p spec is its JSON text.
  void put(const std::string &kind, const std::string &name,
           const std::string &spec);
  void remove(const std::string &kind, const std::string &name);
  /// Drops the history, so that watches of before get 410.
  void compact();
  int port() const { return Calls.port(); }

private:
  struct Change {
    std::uint64_t Revision;
    std::string Kind;
    std::string Text;
  };

  void answer(Socket &socket, const Message &request);
  std::string list(const std::string &kind, const std::string &after);

  std::mutex Lock;
  std::condition_variable News;
  bool Ends = false;
  std::uint64_t Revision = 10;
  std::uint64_t HistoryAfter = 0;
  std::map<std::string, std::map<std::string, std::string>> Objects;
  std::vector<Change> History;
  Listener Calls;
};

/// Returns the JSON text of a server's entry.
std::string serverEntry(const std::string &service, const std::string &address,
                        std::uint64_t born, const std::string &zone = "z");

/// Returns the bytes of a signed answer to \p request.
std::string signedAnswer(const Message &request, int status,
                         std::string_view body,
                         const std::string &moreFields = "");

/// A process of the system.
class Process {
public:
  /// Starts PROGRAM of the deploy file's build with "direct --settings" and a
  /// file in \p folder that holds \p settings.
  Process(const std::string &program, const std::string &folder,
          const std::string &name, const std::string &settings);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  pid_t pid() const { return Pid; }
  void signal(int number) const;
  /// Whether the process runs. \p how is set to what ended it.
  bool isRunning(std::string *how = nullptr);

private:
  pid_t Pid = -1;
  std::string Ended; ///< Empty while it runs.
};

/// The ports of an entry.
struct EntryPorts {
  int Listen = freePort();
  int Ready = freePort();
  int Directory = freePort();
  int Link = freePort();
};

/// Returns the settings of an entry, as the platform fills them in on the small
/// sites. \p more are further members, each with a comma before it.
std::string entrySettings(const std::string &name, const EntryPorts &ports,
                          int storePort, const std::string &more = "");

/// Waits until the entry answers that it is ready.
bool waitReady(const EntryPorts &ports, milliseconds timeout);

/// A temporary folder, removed at the end.
class Folder {
public:
  Folder();
  ~Folder();
  Folder(const Folder &) = delete;
  Folder &operator=(const Folder &) = delete;
  const std::string &path() const { return Path; }

private:
  std::string Path;
};

/// Whether the script plays the disruption; not with TROUBLE=0.
bool hasTrouble();

/// Runs \p play with the record of the case whose folder is the first argument.
/// Returns what the script exits with.
int runCase(int argc, char **argv, const std::function<int(Record &)> &play);

} // namespace greengagespar::review

#endif // GREENGAGESPAR_REVIEW_STANDINS_2_SITE_H
