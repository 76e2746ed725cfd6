/// \file
/// Writes log lines to a descriptor such as standard output. It never blocks on
/// a slow reader, and limits the number of lines per second.
#ifndef GREENGAGESPAR_BASE_LOG_OUTPUT_H
#define GREENGAGESPAR_BASE_LOG_OUTPUT_H

#include "greengagespar/base/clock.h"
#include <cstdint>
#include <ostream>
#include <streambuf>
#include <string>

namespace greengagespar {

/// Limits of a log output.
struct LogOutputLimits {
  int LinesPerSecond = 400; ///< Further lines are counted and dropped.
  /// Bytes buffered for a slow reader. Further lines are counted and dropped.
  std::size_t MaxBufferedBytes = std::size_t{256} * 1024;
};

namespace detail {

/// Buffers lines until flush() writes them. Lines over the limits are dropped
/// and counted; a line with their number precedes the next line that fits.
class LogBuffer : public std::streambuf {
public:
  LogBuffer(int fd, LogOutputLimits limits) : Fd(fd), Limits(limits) {}

  /// Writes as much as the descriptor accepts now.
  void flush();
  /// Returns the number of lines dropped since the start.
  std::uint64_t dropped() const { return Dropped; }

protected:
  int_type overflow(int_type c) override;
  std::streamsize xsputn(const char *text, std::streamsize n) override;

private:
  void endLine();

  int Fd;
  LogOutputLimits Limits;
  std::string Line;
  std::string Buffered;
  Clock::time_point SecondStart{};
  int LinesInSecond = 0;
  std::uint64_t Dropped = 0;
  std::uint64_t UnreportedDrops = 0;
};

} // namespace detail

/// A stream for initLogging(). Call writeBuffered() from a timer and before the
/// process exits. Not thread safe.
class LogOutput : public std::ostream {
public:
  /// Writes to the descriptor \p fd, which must outlive the stream.
  LogOutput(int fd, LogOutputLimits limits)
      : std::ostream(nullptr), Buffer(fd, limits) {
    rdbuf(&Buffer);
  }
  /// Writes as much as the descriptor accepts now; never blocks.
  void writeBuffered() { Buffer.flush(); }
  /// Returns the number of lines dropped since the start.
  std::uint64_t dropped() const { return Buffer.dropped(); }

private:
  detail::LogBuffer Buffer;
};

/// A structured log message: the name of an event, then name=value pairs.
class LogLine {
public:
  explicit LogLine(std::string_view event) : Text(event) {}

  /// Adds a pair. An empty value, or one with a blank, quote or equals sign, is
  /// quoted.
  LogLine &add(std::string_view name, std::string_view value);
  LogLine &add(std::string_view name, std::int64_t value);
  /// Adds \p time in milliseconds with one decimal.
  LogLine &addMs(std::string_view name, Clock::duration time);

  const std::string &text() const { return Text; }

private:
  std::string Text;
};

} // namespace greengagespar

#endif // GREENGAGESPAR_BASE_LOG_OUTPUT_H
