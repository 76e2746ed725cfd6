/// \file
/// Small stand-ins for the review's scripts: HTTP over blocking sockets on
/// loopback addresses, the platform's store, and processes under test. Each
/// connection is served by a thread of its own.
#ifndef GREENGAGESPAR_REVIEW_STANDINS_H
#define GREENGAGESPAR_REVIEW_STANDINS_H

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
#include <sys/types.h>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

/// An IPv4 loopback address with a port.
struct Endpoint {
  std::string Host = "127.0.0.1";
  int Port = 0;
};

/// Returns the address as "HOST:PORT".
std::string textOf(const Endpoint &at);

/// Returns \p count different ports that are free on 127.0.0.1 to 127.0.0.4.
std::vector<int> freePorts(std::size_t count);

/// The lines that a script leaves behind. Thread safe.
class Record {
public:
  explicit Record(const std::string &path);
  /// Adds a line with the time since the start.
  void add(const std::string &line);

private:
  std::mutex Mutex;
  std::ofstream Out;
  Clock::time_point Start = Clock::now();
};

/// An HTTP message. Bodies have a length.
struct Message {
  std::string Head; ///< Start line and fields, without the empty line.
  std::string Body;
};

/// Returns the value of the first field \p name; empty if there is none.
std::string fieldOf(const Message &message, const std::string &name);
/// Returns the second word of the start line.
std::string targetOf(const Message &message);
/// Returns the status of an answer, 0 if there is none.
int statusOf(const Message &message);
/// Returns an answer with its length and \p fields, which are whole lines.
std::string answerText(int status, const std::string &fields,
                       const std::string &body);

/// A connection; closes its socket when it is destroyed.
class Connection {
public:
  explicit Connection(int fd) : Fd(fd) {}
  ~Connection();
  Connection(const Connection &) = delete;
  Connection &operator=(const Connection &) = delete;

  bool isOpen() const { return Fd >= 0; }
  /// Returns false when the connection ended.
  bool send(const std::string &bytes) const;
  /// Whether the other side has closed the connection.
  bool isClosedByPeer() const;
  /// Resets the connection from any thread; its own thread still closes it.
  void reset() const;
  /// Waits for a message; empty when the connection ended or \p until passed.
  std::optional<Message> receive(Clock::time_point until);

private:
  int Fd;
  std::string Buffered;
};

/// Returns a connection to \p at; it isn't open if that fails.
std::unique_ptr<Connection> connectTo(const Endpoint &at);

/// Accepts connections and calls a handler for each in a thread.
class Listener {
public:
  using Handler = std::function<void(Connection &)>;
  Listener(const Endpoint &at, Handler handler);
  ~Listener();
  /// Refuses new connections from now on.
  void stop();
  Listener(const Listener &) = delete;
  Listener &operator=(const Listener &) = delete;

private:
  int Fd;
  Handler Handle;
  std::thread Acceptor;
};

/// The platform's store: lists of objects, and watches that end with the
/// changes after a revision, or without any after their time. Thread safe.
class Store {
public:
  explicit Store(const Endpoint &at);
  /// Adds or replaces an object; \p spec is JSON.
  void put(const std::string &kind, const std::string &name,
           const std::string &spec);
  void remove(const std::string &kind, const std::string &name);

private:
  struct Change {
    std::uint64_t Revision = 0;
    std::string Kind;
    std::string Event; ///< JSON.
  };

  void serve(Connection &connection);
  void change(const std::string &kind, const std::string &name,
              const std::string &spec, bool isRemoved);
  std::string list(const std::string &kind);
  std::string watch(const std::string &kind, std::uint64_t after,
                    milliseconds wait);
  std::string eventsAfter(const std::string &kind, std::uint64_t after) const;

  std::mutex Mutex;
  std::condition_variable Changed;
  std::uint64_t Revision = 1;
  std::map<std::string, std::map<std::string, std::string>> Kinds;
  std::vector<Change> History;
  Listener Calls;
};

/// A program under test in a process of its own.
class Process {
public:
  /// Starts \p words; standard output and error go to \p log.
  Process(std::vector<std::string> words, std::string log);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void signal(int number) const;
  /// Kills the process if it runs, and waits for its end.
  void kill();
  void start();

private:
  std::vector<std::string> Words;
  std::string Log;
  pid_t Pid = -1;
};

/// Writes \p text to the file \p path.
void writeFile(const std::string &path, const std::string &text);

/// Returns the settings of an entry as platform/entry.json.template has them.
/// \p ports: listen, ready, directory, link and metrics.
std::string entrySettings(const std::vector<int> &ports, const Endpoint &store,
                          int rankPort);

/// Returns the settings of a rank's agent as platform/rank.json.template has
/// them.
std::string agentSettings(const std::string &name, const Endpoint &link,
                          const Endpoint &server);

/// Waits until the entry says that it is ready, at most 15 s.
bool waitUntilReady(const Endpoint &ready);

/// Whether the disruption is wanted: TROUBLE isn't 0.
bool isTroubleWanted();

} // namespace review

#endif // GREENGAGESPAR_REVIEW_STANDINS_H
