/// \file
/// Where log lines go: standard output, without ever waiting for its reader
/// and with a bound on lines a second.
#ifndef GREENGAGESPAR_BASE_LOG_OUTPUT_H
#define GREENGAGESPAR_BASE_LOG_OUTPUT_H

#include "greengagespar/base/clock.h"
#include <cstdint>
#include <ostream>
#include <streambuf>
#include <string>

namespace greengagespar {

/// Bounds of a log.
struct LogOutputLimits {
  int LinesPerSecond = 400; ///< More are counted and left out.
  /// Bytes kept for a reader that is slow; more are counted and left out.
  std::size_t MaxWaiting = std::size_t{256} * 1024;
};

namespace detail {

/// Gathers lines and writes them when asked. Lines over the bounds are counted;
/// a line with their number follows as soon as there is room.
class LogBuffer : public std::streambuf {
public:
  LogBuffer(int fd, LogOutputLimits limits) : Fd(fd), Limits(limits) {}

  /// Writes as much as the reader takes now.
  void flush();
  std::uint64_t dropped() const { return Dropped; }

protected:
  int_type overflow(int_type c) override;
  std::streamsize xsputn(const char *text, std::streamsize n) override;

private:
  void endLine();

  int Fd;
  LogOutputLimits Limits;
  std::string Line;
  std::string Waiting;
  Clock::time_point Second{};
  int LinesInSecond = 0;
  std::uint64_t Dropped = 0;
  std::uint64_t DroppedUntold = 0;
};

} // namespace detail

/// A stream for initLogging(). Call flush() from a timer and before the end of
/// the process. Not thread safe.
class LogOutput : public std::ostream {
public:
  /// Writes to the descriptor \p fd, which outlives the stream.
  LogOutput(int fd, LogOutputLimits limits)
      : std::ostream(nullptr), Buffer(fd, limits) {
    rdbuf(&Buffer);
  }
  /// Writes as much as the reader takes now; never waits.
  void writeWaiting() { Buffer.flush(); }
  /// Lines left out since the start.
  std::uint64_t dropped() const { return Buffer.dropped(); }

private:
  detail::LogBuffer Buffer;
};

/// One log message of name=value pairs after the name of an event.
class LogLine {
public:
  explicit LogLine(std::string_view event) : Text(event) {}

  /// Adds a pair. Values with blanks or quotes are quoted.
  LogLine &add(std::string_view name, std::string_view value);
  LogLine &add(std::string_view name, std::int64_t value);
  /// Adds a time in milliseconds with one decimal.
  LogLine &addMs(std::string_view name, Clock::duration time);

  const std::string &text() const { return Text; }

private:
  std::string Text;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_BASE_LOG_OUTPUT_H
