/// \file
/// Logs: short sentences to standard error, each with the fixed prefix of the
/// part that wrote it, as text or as one JSON object a line.
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

/// How much a message matters, lowest first.
enum class LogLevel { Debug, Info, Warning, Error };

/// How a message is written.
enum class LogFormat {
  Text, ///< "<time> <level> <part>: <message>".
  Json, ///< One object a line: time, level, part, message, program.
};

/// How this process logs.
struct LogOptions {
  LogLevel Level = LogLevel::Info; ///< Lower levels are dropped.
  LogFormat Format = LogFormat::Text;
  std::string Program; ///< Named in each JSON line.
};

/// Longest message in bytes; what is over is cut off and marked with "...".
inline constexpr std::size_t MaxLogMessageBytes = 2048;

/// Returns the prefix of \p part without its colon. Thread safe.
std::string_view partName(Part part);

/// Returns "debug", "info", "warning" or "error". Thread safe.
std::string_view logLevelName(LogLevel level);

/// Finds a level by its name; empty when there is none. Thread safe.
std::optional<LogLevel> logLevelByName(std::string_view name);

/// Finds a format, "text" or "json"; empty when there is none. Thread safe.
std::optional<LogFormat> logFormatByName(std::string_view name);

/// Sends the log of this process to standard error, or to \p stream when it is
/// given; the stream must outlive all messages. Replaces what an earlier call
/// set up. Before the first call nothing is written. Call from the loop only.
void initLogging(const LogOptions &options, std::ostream *stream = nullptr);

/// Whether a message of \p level would be written. Lets callers skip the work
/// of composing it. Call from the loop only.
bool logEnabled(LogLevel level);

/// Writes one message at once. Control characters and invalid UTF-8 are
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

/// What one key of a LogLimiter has used of its allowance.
struct LogAllowance {
  Clock::time_point IntervalStart;
  int Written = 0;
  std::uint64_t Suppressed = 0;
};

/// Bounds repeated messages, for example while the platform is down: at most
/// MaxPerInterval for each key in each Interval. Not thread safe.
struct LogLimiter {
  int MaxPerInterval = 3;
  Clock::duration Interval = std::chrono::seconds(60);
  std::size_t MaxKeys = 256; ///< Keys beyond these share one allowance.
  std::unordered_map<std::string, LogAllowance> Keys;
};

/// Whether a message may be written, and what was left out before it.
struct LogAdmission {
  bool Admitted = false;
  std::uint64_t SuppressedBefore = 0; ///< Messages left out since the last one.
};

/// Decides on one message with \p key at \p now. \p now never goes back.
LogAdmission admitMessage(LogLimiter &limiter, const std::string &key,
                          Clock::time_point now);

/// Writes \p message if \p limiter admits \p key at \p now, with the number of
/// messages that were left out before it. Call from the loop only.
void logLimited(LogLimiter &limiter, const std::string &key,
                Clock::time_point now, Part part, LogLevel level,
                std::string_view message);

} // namespace greengagespar

#endif // GREENGAGESPAR_BASE_LOG_H
