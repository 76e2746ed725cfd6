/// \file
/// Logging of short messages to standard error, each with the fixed prefix of
/// the part that wrote it, as text or as one JSON object per line.
#ifndef GREENGAGESPAR_BASE_LOG_H
#define GREENGAGESPAR_BASE_LOG_H

#include "greengagespar/base/clock.h"
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace greengagespar {

/// The part of the system that writes a message.
enum class Part {
  Entry,    ///< The entry program.
  Endpoint, ///< The endpoint program.
  Platform, ///< The client of the platform's object API.
  Contract, ///< Settings of teams and their acceptance.
  Host,     ///< Hosts and membership.
  Link,     ///< Links between the system's processes.
  Call,     ///< Calls of callers.
  Route,    ///< Admission, queues and choice of endpoint.
  Group,    ///< Groups of ranks and their expert maps.
  Report,   ///< Metrics and status.
};

/// The severity of a message, lowest first.
enum class LogLevel { Debug, Info, Warning, Error };

/// The format of log lines.
enum class LogFormat {
  Text, ///< "<time> <level> <part>: <message>".
  Json, ///< One object per line: time, level, part, message, program.
};

/// The logging options of a process.
struct LogOptions {
  LogLevel Level = LogLevel::Info; ///< Lower levels are not logged.
  LogFormat Format = LogFormat::Text;
  std::string Program; ///< Program name, written to each JSON line.
};

/// Longest message in bytes. A longer one is truncated and marked with "...".
inline constexpr std::size_t MaxLogMessageBytes = 2048;

/// Returns the prefix of \p part without its colon. Thread safe.
std::string_view partName(Part part);

/// Returns "debug", "info", "warning" or "error". Thread safe.
std::string_view logLevelName(LogLevel level);

/// Finds a level by its name. Returns an empty optional for any other name.
/// Thread safe.
std::optional<LogLevel> logLevelByName(std::string_view name);

/// Finds a format by its name, "text" or "json". Returns an empty optional for
/// any other name. Thread safe.
std::optional<LogFormat> logFormatByName(std::string_view name);

/// Sends the log of this process to \p stream, or to standard error when it is
/// null. The stream must outlive all messages. Replaces the setup of an earlier
/// call; before the first call, nothing is written. Call from the loop only.
void initLogging(const LogOptions &options, std::ostream *stream = nullptr);

/// Returns whether a message of \p level would be written, so that callers can
/// skip composing it otherwise. Call from the loop only.
bool logEnabled(LogLevel level);

/// Writes one message immediately. Control characters and invalid UTF-8 are
/// escaped, so that a message is always one line. Call from the loop only.
void logMessage(Part part, LogLevel level, std::string_view message);

/// Writes a message of level debug. Call from the loop only.
inline void logDebug(Part part, std::string_view message) {
  logMessage(part, LogLevel::Debug, message);
}

/// Writes a message of level info. Call from the loop only.
inline void logInfo(Part part, std::string_view message) {
  logMessage(part, LogLevel::Info, message);
}

/// Writes a message of level warning. Call from the loop only.
inline void logWarning(Part part, std::string_view message) {
  logMessage(part, LogLevel::Warning, message);
}

/// Writes a message of level error. Call from the loop only.
inline void logError(Part part, std::string_view message) {
  logMessage(part, LogLevel::Error, message);
}

/// How much of its allowance one key of a LogLimiter has used.
struct LogAllowance {
  Clock::time_point IntervalStart;
  int Written = 0;
  std::uint64_t Suppressed = 0;
};

/// Limits repeated messages, for example while the platform is down, to at most
/// MaxPerInterval for each key in each Interval. Not thread safe.
struct LogLimiter {
  int MaxPerInterval = 3;
  Clock::duration Interval = std::chrono::seconds(60);
  std::size_t MaxKeys = 256; ///< Further keys share one allowance.
  std::unordered_map<std::string, LogAllowance> Keys;
};

/// Whether a message may be written, and how many were suppressed before it.
struct LogAdmission {
  bool Admitted = false;
  std::uint64_t SuppressedBefore = 0; ///< Since the last admitted message.
};

/// Decides whether \p limiter admits one message with \p key at \p now. \p now
/// must not decrease from call to call.
LogAdmission admitMessage(LogLimiter &limiter, const std::string &key,
                          Clock::time_point now);

/// Writes \p message if \p limiter admits \p key at \p now, with the number of
/// messages that were suppressed before it. Call from the loop only.
void logLimited(LogLimiter &limiter, const std::string &key,
                Clock::time_point now, Part part, LogLevel level,
                std::string_view message);

} // namespace greengagespar

#endif // GREENGAGESPAR_BASE_LOG_H
