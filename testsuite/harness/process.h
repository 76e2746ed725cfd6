/// \file
/// Child processes, free ports and temporary folders for tests. Not thread
/// safe.
#ifndef GREENGAGESPAR_HARNESS_PROCESS_H
#define GREENGAGESPAR_HARNESS_PROCESS_H

#include <chrono>
#include <csignal>
#include <filesystem>
#include <functional>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace greengagespar::harness {

/// How long a test waits for something that takes milliseconds when it works.
inline constexpr std::chrono::milliseconds Patience{10000};

/// The pause between two looks at a condition.
inline constexpr std::chrono::milliseconds PollEvery{20};

/// Looks every PollEvery until \p condition holds or \p patience has passed.
/// Returns whether it held.
bool waitUntil(const std::function<bool()> &condition,
               std::chrono::milliseconds patience = Patience);

/// Returns a TCP port of 127.0.0.1 that nobody listens on, outside the range
/// that the kernel picks from. Throws std::runtime_error when there is none.
int freePort();

/// Returns the path of a program that was built with this one.
std::filesystem::path programPath(const std::string &name);

/// A folder that is removed with its content at the end.
class TempDir {
public:
  TempDir();
  ~TempDir();
  TempDir(const TempDir &) = delete;
  TempDir &operator=(const TempDir &) = delete;

  /// Returns its path.
  const std::filesystem::path &path() const { return Path; }

private:
  std::filesystem::path Path;
};

/// Returns the whole text of a file; empty when it can't be read.
std::string readFile(const std::filesystem::path &file);

/// Writes a file. Throws std::runtime_error when it can't.
void writeFile(const std::filesystem::path &file, const std::string &text);

/// What to run.
struct Command {
  std::string Program; ///< A name for programPath, or an absolute path.
  std::vector<std::string> Args;
  std::filesystem::path OutputBase; ///< Output goes to BASE.out and BASE.err.
};

/// A child process with an empty environment. It is killed when this object or
/// this process ends.
class Process {
public:
  Process() = default;
  ~Process();
  Process(Process &&other) noexcept;
  Process &operator=(Process &&other) noexcept;

  /// Starts a process. Throws std::runtime_error when it can't.
  explicit Process(const Command &command);

  /// Returns its process id; 0 when it has ended or was never started.
  pid_t pid();

  /// Sends a signal; does nothing when the process has ended.
  void signal(int number);

  /// Kills it and waits for its end.
  void kill();

  /// Waits for its end. Returns the exit status, or 128 and the signal's
  /// number; empty when \p patience has passed.
  std::optional<int> wait(std::chrono::milliseconds patience = Patience);

  /// Waits for the line "ready port=N" and returns N. Throws
  /// std::runtime_error when it does not come.
  int readyPort(std::chrono::milliseconds patience = Patience);

  /// Returns what it has printed so far.
  std::string output() const;
  std::string errors() const;

  /// Returns its resident set in kilobytes; 0 when it has ended.
  long residentKb();

  /// Returns the processor time that it has used.
  std::chrono::milliseconds processorTime();

private:
  bool reap(int flags);

  pid_t Pid = 0;
  std::optional<int> Status;
  std::filesystem::path OutputBase;
};

} // namespace greengagespar::harness

#endif // GREENGAGESPAR_HARNESS_PROCESS_H
