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

/// The default timeout of a test's waits. What tests wait for takes
/// milliseconds when it works.
inline constexpr std::chrono::milliseconds DefaultTimeout{10000};

/// The interval between two checks of a condition.
inline constexpr std::chrono::milliseconds PollInterval{20};

/// Checks \p condition every PollInterval until it holds or \p timeout has
/// passed. Returns whether it held.
bool waitUntil(const std::function<bool()> &condition,
               std::chrono::milliseconds timeout = DefaultTimeout);

/// Returns a TCP port of 127.0.0.1 on which no process listens, outside the
/// range from which the kernel assigns ports. Throws std::runtime_error when
/// there is none.
int freePort();

/// Returns the path of a program in the folder of the running program.
std::filesystem::path programPath(const std::string &name);

/// A temporary folder. The destructor removes it with its content.
class TempDir {
public:
  TempDir();
  ~TempDir();
  TempDir(const TempDir &) = delete;
  TempDir &operator=(const TempDir &) = delete;

  /// Returns the path of the folder.
  const std::filesystem::path &path() const { return Path; }

private:
  std::filesystem::path Path;
};

/// Returns the whole text of a file; empty when it can't be read.
std::string readFile(const std::filesystem::path &file);

/// Writes a file. Throws std::runtime_error when the write fails.
void writeFile(const std::filesystem::path &file, const std::string &text);

/// The program that a Process runs.
struct Command {
  std::string Program; ///< A name for programPath, or an absolute path.
  std::vector<std::string> Args;
  std::filesystem::path OutputBase; ///< Output goes to BASE.out and BASE.err;
                                    ///< empty: it is discarded.
};

/// A child process. Its environment is empty except for ASAN_OPTIONS, which it
/// inherits. The child is killed when this object is destroyed or when the
/// parent process ends.
class Process {
public:
  Process() = default;
  ~Process();
  Process(Process &&other) noexcept;
  Process &operator=(Process &&other) noexcept;

  /// Starts a process. Throws std::runtime_error when the program doesn't exist
  /// or the start fails.
  explicit Process(const Command &command);

  /// Returns the process id; 0 when the process has ended or was never started.
  pid_t pid();

  /// Sends a signal; does nothing when the process has ended.
  void signal(int number);

  /// Sends SIGKILL and waits until the process has ended.
  void kill();

  /// Waits until the process has ended. Returns its exit status, or 128 plus
  /// the signal's number; empty when \p timeout has passed.
  std::optional<int> wait(std::chrono::milliseconds timeout = DefaultTimeout);

  /// Waits until the process has printed the line "ready port=N" and returns N.
  /// Throws std::runtime_error when the process ends or \p timeout passes
  /// first.
  int readyPort(std::chrono::milliseconds timeout = DefaultTimeout);

  /// Returns what the process has written to its standard output so far.
  std::string output() const;

  /// Returns what the process has written to its error output so far.
  std::string errors() const;

  /// Returns the resident memory of the process in kilobytes; 0 when it has
  /// ended.
  long residentKb();

  /// Returns the processor time that the process has used; 0 when it has ended.
  std::chrono::milliseconds processorTime();

private:
  // Collects the exit status. Returns false when the process still runs.
  bool reap(int flags);

  pid_t Pid = 0;
  std::optional<int> Status;
  std::filesystem::path OutputBase;
};

} // namespace greengagespar::harness

#endif // GREENGAGESPAR_HARNESS_PROCESS_H
