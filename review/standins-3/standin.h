/// \file
/// Stand-ins that the cases of the third review share: a blocking HTTP/1.1
/// server and client, the platform's store, and child processes. Everything
/// listens on loopback addresses.
#ifndef GREENGAGESPAR_REVIEW_STANDINS_3_STANDIN_H
#define GREENGAGESPAR_REVIEW_STANDINS_3_STANDIN_H

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <sys/types.h>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

/// A request or an answer.
struct Message {
  std::string First; ///< The request line or the status line.
  std::vector<std::pair<std::string, std::string>> Fields;
  std::string Body;

  /// Returns the value of a field; empty if there is none.
  std::string field(std::string_view name) const;
  std::string method() const;
  std::string target() const;
  int status() const;
};

/// How the reading of a message ended.
enum class ReadEnd {
  Whole,   ///< The message is complete.
  Nothing, ///< The peer closed the connection before the first byte.
  Broken,  ///< The connection ended in the middle of the message.
  Late     ///< The time was over.
};

/// A TCP connection. Not thread safe.
class Socket {
public:
  explicit Socket(int fd = -1) : Fd(fd) {}
  ~Socket() { close(); }
  Socket(Socket &&other) noexcept;
  Socket &operator=(Socket &&other) noexcept;
  Socket(const Socket &) = delete;
  Socket &operator=(const Socket &) = delete;

  int fd() const { return Fd; }
  bool isOpen() const { return Fd >= 0; }
  void close();
  /// Sends all bytes. Returns false if the connection is broken.
  bool write(std::string_view bytes);
  /// Reads one message with a length or in chunks. On the end, \p message holds
  /// what has arrived. An answer without either ends with its connection.
  ReadEnd read(Message &message, Clock::time_point until,
               bool isAnswer = false);

private:
  int Fd;
  std::string Pending;
};

/// Connects to "IP:PORT". The socket is not open if that fails.
Socket connectTo(const std::string &address);

/// Returns a port on which nothing listens at any loopback address used here.
int freePort();

/// Returns a listening socket; \p port becomes a free one if it is 0. Ends the
/// process with status 2 if it can't listen.
int listenFd(const std::string &ip, int &port);

/// Accepts connections and calls \p use with the socket of each, in a thread of
/// its own, until the process ends. Returns the port, which is free if \p port
/// is 0. Ends the process with status 2 if it can't listen.
int listenAt(const std::string &ip, int port, std::function<void(int)> use);

/// Serves each connection in a thread of its own until the process ends.
class HttpServer {
public:
  using Handler = std::function<void(const Message &, Socket &)>;

  /// Listens as listenAt() does.
  HttpServer(const std::string &ip, int port, Handler handler);

  const std::string &at() const { return At; }
  int port() const { return Port; }

private:
  std::string At;
  int Port = 0;
};

/// Returns the bytes of an answer with a length.
std::string answerText(int status, const std::string &fields,
                       std::string_view body);

/// The platform's store: objects by kind and name, lists and long polls.
class Store {
public:
  Store();

  void put(const std::string &kind, const std::string &name,
           const std::string &spec);
  const std::string &at() const { return Server->at(); }

private:
  struct Object {
    std::uint64_t Revision = 0;
    std::string Spec;
  };

  void onCall(const Message &request, Socket &socket);
  std::string objectText(const std::string &name, const Object &object) const;

  std::mutex Mutex;
  std::condition_variable Changed;
  std::uint64_t Revision = 1;
  std::map<std::string, std::map<std::string, Object>> Kinds;
  std::optional<HttpServer> Server;
};

/// A child process. It is killed when this object is destroyed.
class Process {
public:
  Process(const std::vector<std::string> &command, const std::string &output);
  ~Process();
  Process(const Process &) = delete;
  Process &operator=(const Process &) = delete;

  void signal(int number) const;
  /// Returns how the process has ended; empty while it runs.
  std::optional<std::string> ended();

private:
  pid_t Pid = 0;
  std::optional<std::string> End;
};

/// Settings of an entry as the platform writes them for a small deployment.
struct EntryPlan {
  std::string Name = "front-1";
  std::string Ip = "127.0.0.1";
  std::string Store;
  std::string Folder; ///< For the settings file and the log.
  int RankPort = 0;
  std::string Link;  ///< Empty: a free address.
  std::string Peers; ///< Links of entries, with '","' between; empty: its own.
  std::string Listen, Ready; ///< Set by writeEntrySettings().
};

/// Chooses the addresses, writes the settings file and returns the command of
/// the deploy file.
std::vector<std::string> writeEntrySettings(EntryPlan &plan);

/// Waits until the entry is ready. Returns whether it was in time.
bool waitReady(const std::string &ready, std::chrono::milliseconds time);

/// The record of a run, and its end.
class Record {
public:
  explicit Record(const std::string &folder);
  void line(const std::string &text);

private:
  std::mutex Mutex;
  std::string File;
  Clock::time_point Start;
};

/// Whether the run includes the disruption.
bool hasTrouble();

/// A folder that is removed with what it holds.
class TempFolder {
public:
  TempFolder();
  ~TempFolder() { remove(); }
  void remove() const;
  const std::string &path() const { return Path; }

private:
  std::string Path;
};

} // namespace review

#endif // GREENGAGESPAR_REVIEW_STANDINS_3_STANDIN_H
